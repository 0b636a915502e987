/* Process test harness for queries: the tier, and the checks after each test.
 */
#include "harness_query.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bulrushwell/id.h"

#define SERVICE_GROUP "slotplan"
#define SERVER_SLOTS 2
#define SERVER_CONNECTIONS 25
#define SETTLE_MS 50

static void
append_overrun(GString *failures, harness_t *harness, const char *server,
    const char *field, int64_t cap)
{
	char path[128];
	json_t *record;
	int64_t value;

	snprintf(path, sizeof(path), "/fake/%s/record", server);
	record = harness_get_json(harness->control_address, path);
	value = json_integer_value(json_object_get(record, field));
	if (value > cap)
		g_string_append_printf(failures, "%s: %s is %lld, cap %lld; ",
		    server, field, (long long)value, (long long)cap);
	json_decref(record);
}

static void
append_overruns(GString *failures, harness_t *harness)
{
	static const struct {
		const char *field;
		int64_t cap;
	} caps[] = {{"max_running", SERVER_SLOTS},
	    {"max_connections", SERVER_CONNECTIONS}, {"overruns", 0},
	    {"connection_overruns", 0}};
	GHashTableIter iter;
	gpointer server;

	if (harness->upstream_process < 0 ||
	    harness->processes[harness->upstream_process].pid == 0)
		return;
	g_hash_table_iter_init(&iter, harness->servers);
	while (g_hash_table_iter_next(&iter, &server, NULL))
		for (size_t i = 0; i < G_N_ELEMENTS(caps); i++)
			append_overrun(failures, harness, server, caps[i].field,
			    caps[i].cap);
}

/* Nodes exit by themselves after a crash, a failed invariant or a sanitizer
 * report. */
static void
append_exited_nodes(GString *failures, const harness_t *harness)
{
	for (int i = 0; i < harness->node_count; i++) {
		const harness_node_t *node = &harness->nodes[i];
		pid_t pid;
		siginfo_t info = {0};

		if (node->process < 0)
			continue;
		pid = harness->processes[node->process].pid;
		if (pid > 0 &&
		    waitid(P_PID, (id_t)pid, &info,
			WEXITED | WNOHANG | WNOWAIT) == 0 &&
		    info.si_pid == pid)
			g_string_append_printf(failures,
			    "%s exited with status %d; ", node->name,
			    info.si_status);
	}
}

int
query_teardown(void **state)
{
	harness_t *harness = *state;
	GString *failures = g_string_new(NULL);
	char message[512];

	load_abort();
	append_exited_nodes(failures, harness);
	append_overruns(failures, harness);
	harness_teardown(state);
	g_strlcpy(message, failures->str, sizeof(message));
	g_string_free(failures, TRUE);
	if (message[0] != '\0')
		fail_msg("%s", message);
	return 0;
}

const char *
query_server_name(int service, int server)
{
	static char name[64];

	snprintf(name, sizeof(name), SERVICE_GROUP "-%d-s%d", service, server);
	return name;
}

void
query_set_service_faults(harness_t *harness, int service, const char *faults)
{
	for (int i = 1; i <= QUERY_SERVERS; i++)
		harness_set_faults(
		    harness, query_server_name(service, i), faults);
}

void
query_set_all_faults(harness_t *harness, const char *faults)
{
	for (int i = 1; i <= QUERY_SERVICES; i++)
		query_set_service_faults(harness, i, faults);
}

void
query_put_contract(harness_t *harness, const char *customer, const char *key,
    double rate_per_s, int concurrency, int deadline_ms)
{
	const contract_spec_t spec = {.customer = customer,
	    .key = key,
	    .indexes = QUERY_INDEX,
	    .services = "",
	    .rate_per_s = rate_per_s,
	    .concurrency = concurrency,
	    .deadline_ms = deadline_ms,
	    .repeat_window_h = 24};

	harness_put_contract(harness, &spec);
}

static void
start_servers(harness_t *harness, const query_tier_settings_t *settings)
{
	const upstream_group_t group = {.name = SERVICE_GROUP,
	    .services = QUERY_SERVICES,
	    .servers = QUERY_SERVERS,
	    .slots = SERVER_SLOTS,
	    .connections = SERVER_CONNECTIONS,
	    .connect_ms = 2,
	    .p50_ms = settings->p50_ms > 0 ? settings->p50_ms : 4,
	    .p99_ms = settings->p99_ms > 0 ? settings->p99_ms : 10,
	    .indexed = true};
	const upstream_set_t set = {.groups = &group,
	    .group_count = 1,
	    .index = QUERY_INDEX,
	    .version = QUERY_VERSION,
	    .delay_ms = 0.5,
	    .seed = 11};

	harness_start_upstreams(harness, &set);
}

void
query_start_tier(harness_t *harness, const query_tier_settings_t *settings)
{
	g_setenv("BULRUSHWELL_FATAL_INVARIANTS", "1", TRUE);
	harness_start_platform(harness);
	start_servers(harness, settings);
	query_put_contract(harness, QUERY_CUSTOMER, QUERY_KEY, 20000, 2000,
	    settings->deadline_ms > 0 ? settings->deadline_ms
				      : QUERY_DEADLINE_MS);
	harness_start_tier(harness, settings->nodes);
	for (int i = 0; i < settings->nodes; i++)
		query_wait_complete(harness, i, 3, QUERY_WAIT_MS);
}

void
query_put_index(harness_t *harness, const version_map_t *maps, size_t count)
{
	json_t *versions = json_array();

	for (size_t i = 0; i < count; i++) {
		json_t *shards = json_array();

		for (int j = 0; j < maps[i].shard_count; j++)
			json_array_append_new(shards,
			    json_sprintf(
				SERVICE_GROUP "-%d", maps[i].services[j]));
		json_array_append_new(versions,
		    json_pack("{s:i,s:o}", "version", maps[i].version, "shards",
			shards));
	}
	harness_put_object(harness, "index", QUERY_INDEX,
	    json_pack("{s:s,s:i,s:o}", "index", QUERY_INDEX, "current",
		maps[count - 1].version, "versions", versions));
}

http_reply_t
query_post_as(
    const char *address, const char *key, const char *body, int deadline_ms)
{
	char *authorization = g_strdup_printf("Authorization: Bearer %s", key);
	char *deadline = g_strdup_printf("X-Deadline-Ms: %d", deadline_ms);
	const char *headers[] = {
	    authorization, deadline_ms > 0 ? deadline : NULL, NULL};
	http_reply_t reply = harness_http("POST", address,
	    "/v1/query/" QUERY_INDEX, headers, body, QUERY_WAIT_MS);

	g_free(authorization);
	g_free(deadline);
	return reply;
}

http_reply_t
query_post(harness_t *harness, int node, const char *body)
{
	return query_post_as(
	    harness->nodes[node].caller_address, QUERY_KEY, body, 0);
}

char *
query_new_body(void)
{
	static gint next_number;

	return g_strdup_printf(
	    "board %d of the test", g_atomic_int_add(&next_number, 1));
}

coverage_t
query_check_complete(harness_t *harness, int node)
{
	char *body = query_new_body();
	http_reply_t reply = query_post(harness, node, body);
	coverage_t coverage =
	    query_check_answer(&reply, body, QUERY_DEADLINE_MS);

	if (coverage.answered != coverage.total)
		fail_msg("%d of %d shards answered: %s", coverage.answered,
		    coverage.total, reply.body->str);
	http_reply_clear(&reply);
	g_free(body);
	return coverage;
}

/* Sends a query and returns whether its response is complete. @description is
 * set to the status and the body. */
static bool
query_is_complete(
    harness_t *harness, int node, char *description, size_t description_size)
{
	char *body = query_new_body();
	http_reply_t reply = query_post(harness, node, body);
	bool complete = false;
	coverage_t coverage;

	if (reply.status == 200) {
		coverage = query_check_answer(&reply, body, 10000);
		complete = coverage.answered == coverage.total;
	}
	snprintf(description, description_size, "%d %.300s", reply.status,
	    reply.body->str);
	http_reply_clear(&reply);
	g_free(body);
	return complete;
}

void
query_wait_complete(harness_t *harness, int node, int times, int timeout_ms)
{
	usec_t until = clock_monotonic() + MS(timeout_ms);
	int consecutive = 0;
	char description[320];

	while (consecutive < times) {
		consecutive = query_is_complete(harness, node, description,
				  sizeof(description))
		    ? consecutive + 1
		    : 0;
		if (consecutive < times && clock_monotonic() > until)
			fail_msg(
			    "%s returns no complete responses after %d ms: %s",
			    harness->nodes[node].name, timeout_ms, description);
		if (consecutive == 0)
			g_usleep(5000);
	}
}

double
query_metric(harness_t *harness, int node, const char *line)
{
	http_reply_t reply =
	    harness_http("GET", harness->nodes[node].operator_address,
		"/metrics", NULL, NULL, QUERY_WAIT_MS);
	char **lines = g_strsplit(reply.body->str, "\n", -1);
	double sum = 0;

	assert_int_equal(reply.status, 200);
	for (int i = 0; lines[i] != NULL; i++)
		if (g_str_has_prefix(lines[i], line) &&
		    strrchr(lines[i], ' ') != NULL)
			sum += atof(strrchr(lines[i], ' '));
	g_strfreev(lines);
	http_reply_clear(&reply);
	return sum;
}

void
query_wait_metric(harness_t *harness, int node, const char *line, double wanted)
{
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);

	while (query_metric(harness, node, line) < wanted) {
		if (clock_monotonic() > until)
			fail_msg("metric %s is still below %g", line, wanted);
		g_usleep(5000);
	}
}

int64_t
query_settled_requests(harness_t *harness)
{
	int64_t previous = -1,
		current = harness_record_sum(harness, "requests");
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);

	/* Hedged and cancelled attempts may still arrive. */
	while (current != previous && clock_monotonic() < until) {
		previous = current;
		g_usleep(SETTLE_MS * 1000);
		current = harness_record_sum(harness, "requests");
	}
	return current;
}
