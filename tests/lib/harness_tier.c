/* Process test harness: platform, upstream servers and nodes. */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/id.h"

#define DATA_CENTRES 3

void
harness_start_platform(harness_t *harness)
{
	const char *arguments[] = {"--listen", harness->platform_address, NULL};

	if (harness->platform_address[0] == '\0')
		harness_find_unused_address(harness->platform_address);
	harness->platform_process = harness_spawn(
	    harness, "fake_platform", "fake_platform", arguments, true);
	harness_wait_ready(harness, harness->platform_process);
}

static int64_t
current_version(harness_t *harness, const char *path)
{
	http_reply_t reply = harness_http("GET", harness->platform_address,
	    path, NULL, NULL, HARNESS_TIMEOUT_MS);
	int64_t version =
	    json_integer_value(json_object_get(reply.json, "version"));

	if (reply.status != 200 && reply.status != 404)
		fail_msg("the platform returned status %d", reply.status);
	http_reply_clear(&reply);
	return version;
}

uint64_t
harness_put_object(
    harness_t *harness, const char *kind, const char *name, json_t *value)
{
	char *path = g_strdup_printf("/v1/objects/%s/%s", kind, name);
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	int64_t version = current_version(harness, path);
	char precondition[64];
	const char *headers[] = {precondition, NULL};
	http_reply_t reply;
	uint64_t new_version;

	if (version == 0)
		strcpy(precondition, "If-None-Match: *");
	else
		snprintf(precondition, sizeof(precondition),
		    "If-Match: \"%lld\"", (long long)version);
	reply = harness_http("PUT", harness->platform_address, path, headers,
	    text, HARNESS_TIMEOUT_MS);
	if (reply.status != 200)
		fail_msg("cannot write %s: status %d", path, reply.status);
	new_version = (uint64_t)json_integer_value(
	    json_object_get(reply.json, "version"));
	http_reply_clear(&reply);
	json_decref(value);
	free(text);
	g_free(path);
	return new_version;
}

typedef struct {
	harness_t *harness;
	const upstream_set_t *set;
	json_t *servers; /* configuration of fake_upstream */
	json_t *shards;	 /* service of each shard of the index */
} upstream_builder_t;

static json_t *
server_entry(upstream_builder_t *builder, const upstream_group_t *group,
    const char *server, const char *address)
{
	const upstream_set_t *set = builder->set;
	json_t *indexes = json_object();

	if (group->indexed)
		json_object_set_new(indexes, set->index,
		    json_pack("{s:[i],s:[i]}", "versions", set->version,
			"shards", (int)json_array_size(builder->shards)));
	return json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:o,s:{s:f,s:f},s:i}",
	    "server", server, "listen", address, "incarnation", "i-1", "slots",
	    group->slots, "connections", group->connections, "connect_ms",
	    group->connect_ms, "indexes", indexes, "latency_ms", "p50",
	    group->p50_ms, "p99", group->p99_ms, "seed",
	    set->seed + (int)json_array_size(builder->servers));
}

static json_t *
add_server(upstream_builder_t *builder, const upstream_group_t *group,
    const char *service, int number)
{
	char *server = g_strdup_printf("%s-s%d", service, number);
	char data_centre[32];
	address_t address;
	json_t *entry;

	harness_find_unused_address(address);
	snprintf(data_centre, sizeof(data_centre), "dc-%d",
	    (number - 1) % DATA_CENTRES + 1);
	json_array_append_new(
	    builder->servers, server_entry(builder, group, server, address));
	entry = json_pack("{s:s,s:s,s:s,s:s,s:s}", "server", server, "address",
	    address, "incarnation", "i-1", "data_centre", data_centre, "state",
	    "live");
	g_hash_table_insert(
	    builder->harness->servers, server, g_strdup(address));
	return entry;
}

static void
add_service(upstream_builder_t *builder, const upstream_group_t *group,
    const char *service)
{
	json_t *servers = json_array();

	for (int i = 1; i <= group->servers; i++)
		json_array_append_new(
		    servers, add_server(builder, group, service, i));
	if (group->indexed)
		json_array_append_new(builder->shards, json_string(service));
	harness_put_object(builder->harness, "service", service,
	    json_pack("{s:s,s:i,s:i,s:o}", "service", service, "slots",
		group->slots, "connections", group->connections, "servers",
		servers));
}

static void
add_group(upstream_builder_t *builder, const upstream_group_t *group)
{
	for (int i = 1; i <= group->services; i++) {
		char service[64];

		if (group->services == 1)
			snprintf(service, sizeof(service), "%s", group->name);
		else
			snprintf(
			    service, sizeof(service), "%s-%d", group->name, i);
		add_service(builder, group, service);
	}
}

static void
start_upstream_process(harness_t *harness, json_t *config)
{
	char *file = g_strdup_printf("%s/test-logs/upstreams-%d.json",
	    harness_build_directory(), (int)getpid());
	const char *arguments[] = {
	    "--config", file, "--control", harness->control_address, NULL};

	if (json_dump_file(config, file, JSON_INDENT(1)) != 0)
		fail_msg("cannot write %s", file);
	json_decref(config);
	harness_find_unused_address(harness->control_address);
	harness->upstream_process = harness_spawn(
	    harness, "fake_upstream", "fake_upstream", arguments, true);
	harness_wait_ready(harness, harness->upstream_process);
	g_free(file);
}

void
harness_start_upstreams(harness_t *harness, const upstream_set_t *set)
{
	upstream_builder_t builder = {harness, set, json_array(), json_array()};

	for (size_t i = 0; i < set->group_count; i++)
		add_group(&builder, &set->groups[i]);
	start_upstream_process(harness,
	    json_pack("{s:o,s:f}", "servers", builder.servers, "delay_ms",
		set->delay_ms));
	if (set->index != NULL)
		harness_put_object(harness, "index", set->index,
		    json_pack("{s:s,s:i,s:[{s:i,s:O}]}", "index", set->index,
			"current", set->version, "versions", "version",
			set->version, "shards", builder.shards));
	json_decref(builder.shards);
}

const char *
harness_server_address(harness_t *harness, const char *server)
{
	const char *address = g_hash_table_lookup(harness->servers, server);

	assert_non_null(address);
	return address;
}

void
harness_set_faults(harness_t *harness, const char *server, const char *faults)
{
	char path[128];

	snprintf(path, sizeof(path), "/fake/%s/faults", server);
	harness_post(harness->control_address, path, faults);
}

json_t *
harness_record(harness_t *harness, const char *server)
{
	char path[128];

	snprintf(path, sizeof(path), "/fake/%s/record", server);
	return harness_get_json(harness->control_address, path);
}

int64_t
harness_record_int(harness_t *harness, const char *server, const char *field)
{
	json_t *record = harness_record(harness, server);
	const json_t *value = json_object_get(record, field);
	int64_t number = json_integer_value(value);

	if (!json_is_integer(value))
		fail_msg("server records have no integer %s", field);
	json_decref(record);
	return number;
}

static int64_t
aggregate_records(harness_t *harness, const char *field, bool sum)
{
	GHashTableIter iter;
	gpointer server;
	int64_t aggregate = 0;

	g_hash_table_iter_init(&iter, harness->servers);
	while (g_hash_table_iter_next(&iter, &server, NULL)) {
		int64_t value = harness_record_int(harness, server, field);

		aggregate = sum ? aggregate + value : MAX(aggregate, value);
	}
	return aggregate;
}

int64_t
harness_record_sum(harness_t *harness, const char *field)
{
	return aggregate_records(harness, field, true);
}

int64_t
harness_record_max(harness_t *harness, const char *field)
{
	return aggregate_records(harness, field, false);
}

int64_t
harness_executions(harness_t *harness, const char *key)
{
	GHashTableIter iter;
	gpointer server;
	int64_t total = 0;

	g_hash_table_iter_init(&iter, harness->servers);
	while (g_hash_table_iter_next(&iter, &server, NULL)) {
		json_t *record = harness_record(harness, server);

		total += json_integer_value(json_object_get(
		    json_object_get(record, "executions"), key));
		json_decref(record);
	}
	return total;
}

static json_t *
parse_name_list(const char *names)
{
	json_t *list = json_array();
	char **parts = g_strsplit(names != NULL ? names : "", ",", -1);

	for (int i = 0; parts[i] != NULL; i++)
		if (*parts[i] != '\0')
			json_array_append_new(list, json_string(parts[i]));
	g_strfreev(parts);
	return list;
}

uint64_t
harness_put_contract(harness_t *harness, const contract_spec_t *spec)
{
	char operation[ID128_TEXT];
	char *digest =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, spec->key, -1);
	json_t *contract;

	id128_format(id128_random(), operation);
	contract =
	    json_pack("{s:s,s:s,s:[{s:s,s:s}],s:o,s:o,s:f,s:i,s:i,s:i,s:s,s:s}",
		"customer", spec->customer, "state",
		spec->retired ? "retired" : "in_force", "callers", "name",
		"test-caller", "key_sha256", digest, "may_query",
		parse_name_list(spec->indexes), "may_reserve",
		parse_name_list(spec->services), "rate_per_s", spec->rate_per_s,
		"concurrency", spec->concurrency, "deadline_ms",
		spec->deadline_ms, "repeat_window_h", spec->repeat_window_h,
		"operation", operation, "changed_by", "test");
	g_free(digest);
	return harness_put_object(
	    harness, "contract", spec->customer, contract);
}

static char *
peers_flag(const harness_t *harness, int self)
{
	GString *flag = g_string_new("--peers=");

	for (int i = 0; i < harness->node_count; i++) {
		const harness_node_t *node = &harness->nodes[i];

		const char *proxy = harness->nodes[self].peer_proxies[i];

		if (i != self)
			g_string_append_printf(flag, "%s%s@%s",
			    flag->str[flag->len - 1] == '=' ? "" : ",",
			    node->name,
			    proxy[0] != '\0' ? proxy : node->peer_address);
	}
	return g_string_free(flag, FALSE);
}

void
harness_start_node(harness_t *harness, int node_number)
{
	harness_node_t *node = &harness->nodes[node_number];
	char *flags[] = {
	    g_strdup_printf("--node=%s", node->name),
	    g_strdup_printf("--vm=%s", node->vm),
	    g_strdup("--cell=cell-1"),
	    g_strdup_printf(
		"--data-centre=dc-%d", node_number % DATA_CENTRES + 1),
	    g_strdup_printf("--caller-address=%s", node->caller_address),
	    g_strdup_printf("--operator-address=%s", node->operator_address),
	    g_strdup_printf("--peer-address=%s", node->peer_address),
	    g_strdup_printf("--platform=%s",
		node->platform_address[0] != '\0' ? node->platform_address
						  : harness->platform_address),
	    peers_flag(harness, node_number),
	    node->peer_key_file != NULL
		? g_strdup_printf("--peer-key-file=%s", node->peer_key_file)
		: NULL,
	    NULL,
	};

	node->process = harness_spawn(harness, "bulrushwelld", node->name,
	    (const char *const *)flags, false);
	for (int i = 0; flags[i] != NULL; i++)
		g_free(flags[i]);
}

void
harness_wait_node_ready(harness_t *harness, int node)
{
	harness_wait_status(harness->nodes[node].operator_address, "/readyz",
	    200, HARNESS_TIMEOUT_MS);
}

void
harness_kill_node(harness_t *harness, int node)
{
	harness_kill(harness, harness->nodes[node].process);
	harness->nodes[node].process = -1;
}

void
harness_set_vms(harness_t *harness, unsigned gone, int lag_ms)
{
	json_t *vms = json_array();
	json_t *request;
	char *text;

	for (int i = 0; i < harness->node_count; i++)
		if ((gone & 1u << i) == 0)
			json_array_append_new(vms,
			    json_pack("{s:s,s:s}", "vm", harness->nodes[i].vm,
				"state", "live"));
	request = json_pack("{s:o,s:i}", "vms", vms, "lag_ms", lag_ms);
	text = json_dumps(request, JSON_COMPACT);
	harness_post(harness->platform_address, "/fake/vms", text);
	json_decref(request);
	free(text);
}

void
harness_add_nodes(harness_t *harness, int nodes)
{
	assert_true(nodes <= HARNESS_MAX_NODES);
	for (int i = harness->node_count; i < nodes; i++) {
		harness_node_t *node = &harness->nodes[i];

		snprintf(node->name, sizeof(node->name), "node-%d", i + 1);
		snprintf(node->vm, sizeof(node->vm), "vm-%d", i + 1);
		harness_find_unused_address(node->caller_address);
		harness_find_unused_address(node->operator_address);
		harness_find_unused_address(node->peer_address);
	}
	harness->node_count = nodes;
	harness_set_vms(harness, 0, 0);
}

void
harness_start_tier(harness_t *harness, int nodes)
{
	harness_add_nodes(harness, nodes);
	for (int i = 0; i < nodes; i++)
		harness_start_node(harness, i);
	for (int i = 0; i < nodes; i++)
		harness_wait_node_ready(harness, i);
}
