#include "gateway_world.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STORE_PAGE 5 /* so that the list of servers has several pages */
#define POLL_STEP_MS 20
#define DEFAULT_TIMEOUT_MS 2000
#define DEFAULT_MAX_CONNECTIONS 40
#define DEFAULT_TOP_K 5
#define STATE_TIMEOUT_MS 4000
#define SERVER_START_TIME 1000 /* in the registry entries */

static const char *const service_names[WORLD_SHARDS + 2] = {
    "shard-a", "shard-b", "shard-c", "shard-d", "one", "two"};

static void
create_servers(gateway_world_t *world)
{
	for (int i = 0; i < WORLD_SERVERS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "i-%02d", i);
		world->servers[i] = plain_server_create(id);
	}
}

void
world_start_gateway(gateway_world_t *world)
{
	const char *arguments[] = {"--node=n1", "--data-centre=dc1",
	    "--clients", world->clients, "--health", world->health, "--metrics",
	    world->metrics, "--store", object_store_address(world->store),
	    "--drain-ms=1500", "--stop-s=6", "--retry-slack=200",
	    world->extra_flag, NULL};

	world->gateway = harness_spawn(
	    world->harness, "bulrushwell-gateway", "gateway", arguments, false);
}

static gateway_world_t *
create_empty(harness_t *harness, const char *extra_flag)
{
	gateway_world_t *world = g_new0(gateway_world_t, 1);

	world->harness = harness;
	world->extra_flag = extra_flag;
	world->timeout_ms = DEFAULT_TIMEOUT_MS;
	world->top_k = DEFAULT_TOP_K;
	world->start_time = SERVER_START_TIME;
	world->max_connections = DEFAULT_MAX_CONNECTIONS;
	world->store = object_store_create(STORE_PAGE);
	create_servers(world);
	harness_find_unused_address(world->clients);
	harness_find_unused_address(world->health);
	harness_find_unused_address(world->metrics);
	world_start_gateway(world);
	return world;
}

gateway_world_t *
world_create_empty(harness_t *harness)
{
	return create_empty(harness, NULL);
}

static bool
has_all_servers(gateway_world_t *world)
{
	return world_metric(world, "servers") == WORLD_SERVERS;
}

gateway_world_t *
world_create(harness_t *harness)
{
	return world_create_with_flag(harness, NULL);
}

gateway_world_t *
world_create_with_flag(harness_t *harness, const char *flag)
{
	gateway_world_t *world = create_empty(harness, flag);

	world_register_all(world);
	world_configure(world);
	harness_wait_status(world->health, "/ready", 200, WORLD_START_MS);
	assert_true(world_wait(has_all_servers, world, WORLD_START_MS));
	return world;
}

void
world_destroy(gateway_world_t *world)
{
	harness_kill(world->harness, world->gateway);
	for (int i = 0; i < WORLD_SERVERS; i++)
		plain_server_destroy(world->servers[i]);
	object_store_destroy(world->store);
	g_free(world);
}

void
world_register(gateway_world_t *world, int server, const char *state)
{
	static int sequence = 100;

	world_register_report(world, server, state, ++sequence);
}

void
world_register_report(
    gateway_world_t *world, int server, const char *state, int sequence)
{
	object_store_put(world->store, "servers",
	    plain_server_id(world->servers[server]),
	    json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:i}", "service",
		service_names[server / WORLD_REPLICAS], "address",
		plain_server_address(world->servers[server]), "zone",
		server % WORLD_REPLICAS == 0 ? "dc1" : "dc2", "version", "v1",
		"slots", 4, "state", state, "warmup_left_ms",
		world->warm_up_left_ms, "sequence", sequence, "born",
		world->start_time));
}

void
world_register_all(gateway_world_t *world)
{
	for (int i = 0; i < WORLD_SERVERS; i++)
		world_register(world, i, "ready");
}

static json_t *
build_route(const gateway_world_t *world, const char *prefix, const char *type)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "name", prefix,
	    "host", "example.test", "path_prefix", prefix, "route_type", type,
	    "timeout_ms", world->timeout_ms, "target_latency_ms", 400,
	    "priority", 1, "max_attempts", 2);
}

static json_t *
build_fanout_route(const gateway_world_t *world)
{
	json_t *fanout = build_route(world, "/all/", "idempotent");
	json_t *shards = json_array();

	for (int i = 0; i < WORLD_SHARDS; i++)
		json_array_append_new(shards, json_string(service_names[i]));
	json_object_set_new(fanout, "fanout_services", shards);
	json_object_set_new(fanout, "top_k", json_integer(world->top_k));
	json_object_set_new(fanout, "min_shard_share", json_real(0.75));
	return fanout;
}

static json_t *
build_single_route(
    const gateway_world_t *world, const char *prefix, const char *type)
{
	json_t *single = build_route(world, prefix, type);

	json_object_set_new(single, "service", json_string("one"));
	return single;
}

static json_t *
build_split_route(const gateway_world_t *world)
{
	json_t *split = build_route(world, "/split/", "idempotent");

	json_object_set_new(split, "weighted_services",
	    json_pack("[{s:s,s:i},{s:s,s:i}]", "service", "one", "weight", 3,
		"service", "two", "weight", 1));
	return split;
}

static json_t *
build_services(const gateway_world_t *world)
{
	json_t *list = json_array();

	for (int i = 0; i < WORLD_SHARDS + 2; i++)
		json_array_append_new(list,
		    json_pack("{s:s,s:i,s:i,s:f}", "name", service_names[i],
			"max_connections", world->max_connections, "warmup_s",
			4, "warmup_per_s", world->warm_up_rate));
	return list;
}

/* Routes with random names, which no compression makes shorter. */
static void
add_more_routes(const gateway_world_t *world, json_t *routes)
{
	GRand *random = g_rand_new_with_seed(1);

	for (int i = 0; i < world->more_routes; i++) {
		char prefix[40];
		json_t *route;

		snprintf(prefix, sizeof(prefix), "/%08x%08x%08x%08x/",
		    g_rand_int(random), g_rand_int(random), g_rand_int(random),
		    g_rand_int(random));
		route = build_single_route(world, prefix, "idempotent");
		json_array_append_new(routes, route);
	}
	g_rand_free(random);
}

void
world_configure(gateway_world_t *world)
{
	json_t *routes = json_pack("[o,o,o,o]", build_fanout_route(world),
	    build_single_route(world, "/one/", "idempotent"),
	    build_single_route(world, "/once/", "non_idempotent"),
	    build_split_route(world));
	json_t *spec;

	add_more_routes(world, routes);
	world->version += 3; /* versions may skip numbers */
	spec = json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version",
	    world->version, "routes", routes, "services", build_services(world),
	    "limits", "max_header_bytes", 4096, "max_body_bytes", 8192,
	    "header_timeout_ms", 1000, "idle_timeout_ms", 15000);
	if (world->tenants != NULL) {
		json_t *open = build_route(world, "/open/", "idempotent");

		json_object_set_new(open, "service", json_string("two"));
		json_object_set_new(open, "public", json_true());
		json_array_append_new(routes, open);
		json_object_set_new(
		    spec, "tenants", json_loads(world->tenants, 0, NULL));
	}
	object_store_put(world->store, "config", "main", spec);
}

static bool
has_adopted(gateway_world_t *world)
{
	return world_metric(world, "config_version") == world->version;
}

void
world_change_tenants(gateway_world_t *world, const char *tenants)
{
	world->tenants = tenants;
	world_configure(world);
	assert_true(world_wait(has_adopted, world, WORLD_START_MS));
}

plain_server_t *
world_replica(gateway_world_t *world, int service, int replica)
{
	return world->servers[service * WORLD_REPLICAS + replica];
}

void
world_fault_service(
    gateway_world_t *world, int service, plain_fault_t fault, uint32_t count)
{
	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_fault(
		    world_replica(world, service, i), fault, count);
}

/* Sums the counters of a service's servers. */
static plain_server_record_t
sum_records(gateway_world_t *world, int service)
{
	plain_server_record_t sum = {0};

	for (int i = 0; i < WORLD_REPLICAS; i++) {
		plain_server_record_t record;

		plain_server_get_record(
		    world_replica(world, service, i), &record);
		sum.runs += record.runs;
		sum.requests += record.requests;
		sum.crashes += record.crashes;
		sum.disconnects += record.disconnects;
	}
	return sum;
}

int
world_count_heads(plain_server_t **servers, int count, const char *text)
{
	int found = 0;

	for (int i = 0; i < count; i++) {
		plain_server_record_t record;

		plain_server_get_record(servers[i], &record);
		found += strstr(record.last_head, text) != NULL;
	}
	return found;
}

uint32_t
world_run_count(gateway_world_t *world, int service)
{
	return sum_records(world, service).runs;
}

uint32_t
world_request_count(gateway_world_t *world, int service)
{
	return sum_records(world, service).requests;
}

uint32_t
world_crash_count(gateway_world_t *world, int service)
{
	return sum_records(world, service).crashes;
}

uint32_t
world_disconnect_count(gateway_world_t *world, int service)
{
	return sum_records(world, service).disconnects;
}

http_reply_t
world_request(gateway_world_t *world, const char *method, const char *path,
    int deadline_ms, const char *body)
{
	static int serial; /* atomic: several threads may send requests */
	char id[32], id_line[64], deadline[64];
	const char *headers[] = {"Host: example.test", id_line, deadline, NULL};
	http_reply_t result;

	snprintf(id, sizeof(id), "q%06d", g_atomic_int_add(&serial, 1) + 1);
	snprintf(id_line, sizeof(id_line), "Bulrushwell-Request-Id: %s", id);
	snprintf(deadline, sizeof(deadline), "Bulrushwell-Deadline-Ms: %d",
	    deadline_ms);
	result = harness_http(
	    method, world->clients, path, headers, body, deadline_ms + 2000);
	g_strlcpy(result.sent_id, id, sizeof(result.sent_id));
	return result;
}

int64_t
world_metric(gateway_world_t *world, const char *name)
{
	http_reply_t result =
	    harness_http("GET", world->metrics, "/metrics", NULL, NULL, 2000);
	char *line = g_strdup_printf("bulrushwell_gateway_%s ", name);
	int64_t value = -1;

	if (result.status == 200) {
		const char *at = strstr(result.body->str, line);

		if (at != NULL)
			value = atoll(at + strlen(line));
	}
	g_free(line);
	http_reply_clear(&result);
	return value;
}

int
world_count_servers(gateway_world_t *world, const char *state)
{
	http_reply_t result = harness_http(
	    "GET", world->metrics, "/state", NULL, NULL, STATE_TIMEOUT_MS);
	const json_t *servers = json_object_get(result.json, "servers");
	int count = 0;

	assert_int_equal(result.status, 200);
	assert_int_equal(json_array_size(servers),
	    json_integer_value(json_object_get(result.json, "server_count")));
	for (size_t i = 0; i < json_array_size(servers); i++)
		count += strcmp(json_string_value(json_object_get(
				    json_array_get(servers, i), "state")),
			     state) == 0;
	http_reply_clear(&result);
	return count;
}

int
world_try_connect(gateway_world_t *world)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port =
	    htons((uint16_t)atoi(strchr(world->clients, ':') + 1));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

int
world_connect(gateway_world_t *world)
{
	int fd = world_try_connect(world);

	assert_true(fd >= 0);
	return fd;
}

bool
world_try_send(int fd, const char *text)
{
	return send(fd, text, strlen(text), MSG_NOSIGNAL) ==
	    (ssize_t)strlen(text);
}

void
world_send_text(int fd, const char *text)
{
	assert_true(world_try_send(fd, text));
}

char *
world_receive(int fd, const char *text, int timeout_ms)
{
	GString *received = g_string_new(NULL);
	gint64 deadline = g_get_monotonic_time() + timeout_ms * 1000;

	while (g_get_monotonic_time() < deadline) {
		struct pollfd poller = {.fd = fd, .events = POLLIN};
		char data[4096];
		ssize_t n;

		if (poll(&poller, 1, POLL_STEP_MS) <= 0)
			continue;
		n = recv(fd, data, sizeof(data), 0);
		if (n <= 0)
			break;
		g_string_append_len(received, data, n);
		if (text != NULL && strstr(received->str, text) != NULL)
			break;
	}
	return g_string_free(received, FALSE);
}

bool
world_wait(bool (*check)(gateway_world_t *world), gateway_world_t *world,
    int timeout_ms)
{
	gint64 deadline = g_get_monotonic_time() + timeout_ms * 1000;

	while (!check(world)) {
		if (g_get_monotonic_time() > deadline)
			return false;
		g_usleep(POLL_STEP_MS * 1000);
	}
	return true;
}
