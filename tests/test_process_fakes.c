/* Tests of the stand-ins themselves. If an injected fault had no effect or a
 * counter were wrong, the process tests could pass without testing anything. */
#include "lib/harness.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_TIMEOUT_MS 20000
#define CONTRACT_PATH "/v1/objects/contract/acme"

/* PUTs @body with one header line and returns the status. */
static int
put_contract(harness_t *harness, const char *precondition, const char *body)
{
	const char *headers[] = {precondition, NULL};
	http_reply_t result = harness_http("PUT", harness->platform_address,
	    CONTRACT_PATH, headers, body, REQUEST_TIMEOUT_MS);
	int status = result.status;

	http_reply_clear(&result);
	return status;
}

static int64_t
fetch_int(const char *address, const char *path, const char *field)
{
	json_t *json = harness_get_json(address, path);
	int64_t value = json_integer_value(json_object_get(json, field));

	json_decref(json);
	return value;
}

static void
updates_are_conditional(void **state)
{
	harness_t *harness = *state;
	char *large = g_strnfill(1024 * 1024 + 1, '7');
	const struct {
		const char *precondition;
		const char *body;
		int status;
		int version; /* of the object afterwards */
	} cases[] = {
	    {"If-None-Match: *", "{\"a\":1}", 200, 1},
	    {"If-None-Match: *", "{\"a\":2}", 412, 1},
	    {"If-Match: \"1\"", "{\"a\":3}", 200, 2},
	    {"If-Match: 2", "[1]", 200, 3},
	    {"If-Match: 2", "[2]", 412, 3},
	    {"If-Match: x", "[2]", 400, 3},
	    {"If-Match: 3", "{\"a\":", 400, 3},
	    {"If-Match: 3", "{\"a\":1,\"a\":2}", 400, 3},
	    {"X-None: 1", "[2]", 400, 3},
	    {"If-Match: 3", large, 413, 3},
	};

	harness_start_platform(harness);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(
		    put_contract(harness, cases[i].precondition, cases[i].body),
		    cases[i].status);
		assert_int_equal(fetch_int(harness->platform_address,
				     CONTRACT_PATH, "version"),
		    cases[i].version);
	}
	assert_int_equal(
	    fetch_int(harness->platform_address, "/fake/counters", "conflicts"),
	    2);
	g_free(large);
}

/** typedef call_t - A request to make, in a thread or at once. */
typedef struct {
	const char *method;
	const char *address;
	const char *path;
	const char *headers[6];
	const char *body;
	http_reply_t result;
	GThread *thread;
} call_t;

static gpointer
run_call(gpointer context)
{
	call_t *call = context;

	call->result = harness_http(call->method, call->address, call->path,
	    call->headers, call->body, REQUEST_TIMEOUT_MS);
	return NULL;
}

static void
start_call(call_t *call)
{
	call->thread = g_thread_new("call", run_call, call);
}

/* Waits for the answer and returns its status, 0 when there was none. */
static int
finish_call(call_t *call)
{
	int status;

	g_thread_join(call->thread);
	status = call->result.status;
	http_reply_clear(&call->result);
	return status;
}

static void
wait_for_counter(
    const char *address, const char *path, const char *field, int64_t wanted)
{
	usec_t deadline = clock_monotonic() + MS(REQUEST_TIMEOUT_MS);

	while (fetch_int(address, path, field) < wanted) {
		assert_true(clock_monotonic() < deadline);
		g_usleep(2000);
	}
}

static void
watches_see_changes_of_their_kinds(void **state)
{
	harness_t *harness = *state;
	json_t *list;
	call_t watch = {.method = "GET",
	    .path = "/v1/objects/service,contract?since=1&wait_ms=60000"};

	harness_start_platform(harness);
	watch.address = harness->platform_address;
	harness_put_object(harness, "service", "old", json_object());
	list = harness_get_json(harness->platform_address,
	    "/v1/objects/service,contract?since=1&wait_ms=50");
	assert_int_equal(json_array_size(json_object_get(list, "objects")), 0);
	assert_int_equal(
	    json_integer_value(json_object_get(list, "revision")), 1);
	json_decref(list);
	start_call(&watch);
	wait_for_counter(
	    harness->platform_address, "/fake/counters", "watches", 2);
	harness_put_object(harness, "claim", "other", json_object());
	assert_int_equal(put_contract(harness, "If-None-Match: *", "{}"), 200);
	g_thread_join(watch.thread);
	list = json_object_get(watch.result.json, "objects");
	assert_int_equal(json_array_size(list), 1);
	assert_string_equal(
	    json_string_value(json_object_get(json_array_get(list, 0), "kind")),
	    "contract");
	assert_int_equal(
	    json_integer_value(json_object_get(watch.result.json, "revision")),
	    3);
	http_reply_clear(&watch.result);
}

static void
platform_faults_are_real(void **state)
{
	static const struct {
		const char *command;
		int status;
		bool applied;
	} cases[] = {
	    {"{\"lose_answers\":1}", 0, true},
	    {"{\"refuse_writes\":1}", 503, false},
	    {"{\"down\":true}", 0, false},
	    {"{\"down\":false}", 200, true},
	    {"{\"slow_ms\":60}", 200, true},
	};
	harness_t *harness = *state;
	int version = 1;

	harness_start_platform(harness);
	assert_int_equal(put_contract(harness, "If-None-Match: *", "{}"), 200);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		usec_t start = clock_monotonic();
		char precondition[32];

		harness_post(harness->platform_address, "/fake/faults",
		    cases[i].command);
		snprintf(precondition, sizeof(precondition), "If-Match: %d",
		    version);
		assert_int_equal(
		    put_contract(harness, precondition, "{}"), cases[i].status);
		if (strstr(cases[i].command, "slow") != NULL)
			assert_true(clock_monotonic() - start >= MS(60));
		harness_post(harness->platform_address, "/fake/faults",
		    "{\"down\":false}");
		version += cases[i].applied;
		assert_int_equal(fetch_int(harness->platform_address,
				     CONTRACT_PATH, "version"),
		    version);
	}
}

static void
stalled_watches_and_the_vm_list_lag(void **state)
{
	harness_t *harness = *state;
	call_t watch = {
	    .method = "GET", .path = "/v1/objects/contract?since=0&wait_ms=10"};
	json_t *vms;

	harness_start_platform(harness);
	watch.address = harness->platform_address;
	harness_post(harness->platform_address, "/fake/faults",
	    "{\"stall_watches\":true}");
	start_call(&watch);
	wait_for_counter(
	    harness->platform_address, "/fake/counters", "watches", 1);
	assert_int_equal(put_contract(harness, "If-None-Match: *", "{}"), 200);
	harness_post(harness->platform_address, "/fake/faults",
	    "{\"stall_watches\":false}");
	assert_int_equal(finish_call(&watch), 200);
	harness_post(harness->platform_address, "/fake/vms",
	    "{\"vms\":[{\"vm\":\"a\",\"state\":\"live\"}],\"lag_ms\":60000}");
	vms = harness_get_json(harness->platform_address, "/v1/vms");
	assert_int_equal(json_array_size(json_object_get(vms, "vms")), 0);
	json_decref(vms);
	harness_post(harness->platform_address, "/fake/vms",
	    "{\"vms\":[{\"vm\":\"a\",\"state\":\"gone\"}]}");
	vms = harness_get_json(harness->platform_address, "/v1/vms");
	assert_int_equal(json_array_size(json_object_get(vms, "vms")), 1);
	json_decref(vms);
}

static int
open_connection(const char *address)
{
	struct sockaddr_in server_address = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&server_address,
			     sizeof(server_address)),
	    0);
	return fd;
}

/* Returns true when the peer answers or closes within @ms. */
static bool
is_readable(int fd, int ms)
{
	struct pollfd event = {fd, POLLIN, 0};

	return poll(&event, 1, ms) == 1;
}

static void
silent_connections_never_answer(void **state)
{
	static const char get[] = "GET /v1/vms HTTP/1.1\r\nHost: x\r\n\r\n";
	harness_t *harness = *state;
	char answer[64];
	int fd;

	harness_start_platform(harness);
	fd = open_connection(harness->platform_address);
	assert_int_equal(write(fd, get, strlen(get)), strlen(get));
	assert_true(is_readable(fd, REQUEST_TIMEOUT_MS));
	while (is_readable(fd, 50))
		assert_true(read(fd, answer, sizeof(answer)) > 0);
	harness_post(harness->platform_address, "/fake/faults",
	    "{\"silence_connections\":true}");
	assert_int_equal(write(fd, get, strlen(get)), strlen(get));
	assert_false(is_readable(fd, 200));
	json_decref(harness_get_json(harness->platform_address, "/v1/vms"));
	close(fd);
}

static const upstream_group_t slow_group = {.name = "slotplan",
    .services = 1,
    .servers = 1,
    .slots = 2,
    .connections = 8,
    .p50_ms = 60000,
    .p99_ms = 60000,
    .indexed = true};
static const upstream_group_t quick_group = {.name = "slotplan",
    .services = 1,
    .servers = 1,
    .slots = 2,
    .connections = 3,
    .p50_ms = 1,
    .p99_ms = 2,
    .indexed = true};

/* Starts the platform and one upstream server; returns the server's address. */
static const char *
start_server(harness_t *harness, const upstream_group_t *group)
{
	const upstream_set_t set = {.groups = group,
	    .group_count = 1,
	    .index = "reels",
	    .version = 7,
	    .seed = 1};

	harness_start_platform(harness);
	harness_start_upstreams(harness, &set);
	return harness_server_address(harness, "slotplan-s1");
}

static call_t
shard_call(const char *address, const char *id_header)
{
	return (call_t){.method = "POST",
	    .address = address,
	    .path = "/shard/0",
	    .headers = {"X-Index: reels", "X-Index-Version: 7", id_header},
	    .body = "board 4711"};
}

/* Returns the status and copies X-Error, or "", to @error. The caller clears
 * call->result. */
static int
perform_call(call_t *call, char error[32])
{
	run_call(call);
	g_strlcpy(error,
	    http_reply_header(&call->result, "X-Error") != NULL
		? http_reply_header(&call->result, "X-Error")
		: "",
	    32);
	call->thread = NULL;
	return call->result.status;
}

static void
slots_are_bounded_and_cancelled(void **state)
{
	harness_t *harness = *state;
	const char *address = start_server(harness, &slow_group);
	call_t first = shard_call(address, "X-Request-Id: one");
	call_t second = shard_call(address, "X-Request-Id: two");
	call_t third = shard_call(address, "X-Request-Id: three");
	call_t cancel = {.method = "POST",
	    .address = address,
	    .path = "/cancel",
	    .headers = {"X-Request-Id: one"},
	    .body = ""};
	char error[32];

	start_call(&first);
	start_call(&second);
	wait_for_counter(harness->control_address, "/fake/slotplan-s1/record",
	    "max_running", 2);
	assert_int_equal(perform_call(&third, error), 503);
	assert_string_equal(error, "shed");
	http_reply_clear(&third.result);
	assert_int_equal(
	    harness_record_int(harness, "slotplan-s1", "overruns"), 1);
	harness_set_faults(harness, "slotplan-s1", "{\"ignore_cancel\":true}");
	assert_int_equal(perform_call(&cancel, error), 202);
	http_reply_clear(&cancel.result);
	harness_set_faults(harness, "slotplan-s1", "{\"ignore_cancel\":false}");
	assert_int_equal(perform_call(&cancel, error), 200);
	http_reply_clear(&cancel.result);
	assert_int_equal(finish_call(&first), 503);
	/* A request that arrives after its cancellation must not run. */
	first = shard_call(address, "X-Request-Id: one");
	assert_int_equal(perform_call(&first, error), 503);
	assert_string_equal(error, "cancelled");
	http_reply_clear(&first.result);
	harness_kill(harness, harness->upstream_process);
	assert_int_equal(finish_call(&second), 0);
}

static void
deadlines_end_requests(void **state)
{
	harness_t *harness = *state;
	const char *address = start_server(harness, &slow_group);
	call_t call = shard_call(address, "X-Request-Id: one");
	char header[64], error[32];

	call.headers[3] = header;
	snprintf(header, sizeof(header), "X-Deadline: %lld",
	    (long long)(clock_wall() / USEC_PER_MS - 5));
	assert_int_equal(perform_call(&call, error), 504);
	assert_string_equal(error, "deadline");
	http_reply_clear(&call.result);
	assert_int_equal(harness_record_int(harness, "slotplan-s1", "late"), 1);
	assert_int_equal(
	    harness_record_int(harness, "slotplan-s1", "max_running"), 0);
	snprintf(header, sizeof(header), "X-Deadline: %lld",
	    (long long)(clock_wall() / USEC_PER_MS + 100));
	assert_int_equal(perform_call(&call, error), 504);
	http_reply_clear(&call.result);
	assert_int_equal(
	    harness_record_int(harness, "slotplan-s1", "expired"), 1);
}

static void
replies_lie_as_ordered(void **state)
{
	static const struct {
		const char *command;
		int status;
		const char *id, *version, *shard; /* headers of the reply */
	} cases[] = {
	    {"{\"lie\":\"none\"}", 200, "two", "7", "0"},
	    {"{\"lie\":\"version\"}", 200, "two", "8", "0"},
	    {"{\"lie\":\"shard\"}", 200, "two", "7", "1"},
	    {"{\"lie\":\"request\"}", 200, "00000000000000000000000000000000",
		"7", "0"},
	    {"{\"lie\":\"cut\"}", 0, NULL, NULL, NULL},
	    {"{\"lie\":\"repeat\"}", 200, "two", "7", "0"},
	    {"{\"lie\":\"none\",\"versions\":{\"reels\":[8]}}", 409, NULL, NULL,
		NULL},
	    {"{\"fail\":true,\"versions\":{\"reels\":[7]}}", 500, NULL, NULL,
		NULL},
	    {"{\"fail\":false,\"shed\":true}", 503, NULL, NULL, NULL},
	};
	harness_t *harness = *state;
	const char *address = start_server(harness, &quick_group);

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		bool repeat = strstr(cases[i].command, "repeat") != NULL;
		call_t call = shard_call(address,
		    repeat ? "X-Request-Id: three" : "X-Request-Id: two");
		char error[32];

		harness_set_faults(harness, "slotplan-s1", cases[i].command);
		assert_int_equal(perform_call(&call, error), cases[i].status);
		if (cases[i].id != NULL) {
			assert_string_equal(
			    http_reply_header(&call.result, "X-Request-Id"),
			    cases[i].id);
			assert_string_equal(
			    http_reply_header(&call.result, "X-Index-Version"),
			    cases[i].version);
			assert_string_equal(
			    http_reply_header(&call.result, "X-Shard"),
			    cases[i].shard);
		}
		http_reply_clear(&call.result);
	}
}

static void
crashes_close_everything_until_the_restart(void **state)
{
	harness_t *harness = *state;
	const char *address = start_server(harness, &quick_group);
	call_t reserve = {.method = "POST",
	    .address = address,
	    .path = "/reserve",
	    .headers = {"Idempotency-Key: 1-key"},
	    .body = "poison"};
	char error[32];
	json_t *health;

	assert_int_equal(perform_call(&reserve, error), 201);
	http_reply_clear(&reserve.result);
	harness_set_faults(harness, "slotplan-s1", "{\"crash_on\":\"oiso\"}");
	assert_int_equal(perform_call(&reserve, error), 0);
	http_reply_clear(&reserve.result);
	assert_int_equal(perform_call(&reserve, error), 0);
	http_reply_clear(&reserve.result);
	harness_set_faults(harness, "slotplan-s1", "{\"restart\":\"i-2\"}");
	health = harness_get_json(address, "/health");
	assert_string_equal(
	    json_string_value(json_object_get(health, "incarnation")), "i-2");
	json_decref(health);
	assert_int_equal(harness_executions(harness, "1-key"), 2);
	assert_int_equal(
	    harness_record_int(harness, "slotplan-s1", "crashes"), 1);
}

static void
connections_over_the_cap_are_closed(void **state)
{
	harness_t *harness = *state;
	const char *address = start_server(harness, &quick_group);
	int fds[4];
	char byte;

	for (int i = 0; i < 4; i++)
		fds[i] = open_connection(address);
	assert_true(is_readable(fds[3], REQUEST_TIMEOUT_MS));
	assert_true(read(fds[3], &byte, 1) <= 0);
	assert_false(is_readable(fds[0], 0));
	assert_int_equal(
	    harness_record_int(harness, "slotplan-s1", "max_connections"), 3);
	assert_int_equal(
	    harness_record_int(harness, "slotplan-s1", "connection_overruns"),
	    1);
	/* A closed connection stops counting toward the limit at once. */
	close(fds[0]);
	fds[0] = open_connection(address);
	assert_false(is_readable(fds[0], 100));
	for (int i = 0; i < 4; i++)
		close(fds[i]);
}

static void
draining_is_announced_and_then_enforced(void **state)
{
	harness_t *harness = *state;
	const char *address = start_server(harness, &quick_group);
	call_t call = shard_call(address, "X-Request-Id: one");
	char error[32];

	assert_int_equal(
	    harness_record_int(harness, "slotplan-s1", "work_after_drain_ms"),
	    -1);
	harness_set_faults(harness, "slotplan-s1", "{\"draining\":true}");
	assert_int_equal(perform_call(&call, error), 200);
	assert_string_equal(http_reply_header(&call.result, "X-Draining"), "1");
	http_reply_clear(&call.result);
	assert_true(harness_record_int(
			harness, "slotplan-s1", "work_after_drain_ms") >= 0);
	harness_set_faults(harness, "slotplan-s1", "{\"drain_grace_ms\":0}");
	assert_int_equal(perform_call(&call, error), 503);
	assert_string_equal(error, "draining");
	http_reply_clear(&call.result);
}

static void
frozen_servers_answer_after_the_thaw(void **state)
{
	harness_t *harness = *state;
	const char *address = start_server(harness, &quick_group);
	call_t call = shard_call(address, "X-Request-Id: one");
	call_t health = {
	    .method = "GET", .address = address, .path = "/health"};
	char error[32];

	harness_set_faults(harness, "slotplan-s1", "{\"freeze\":true}");
	start_call(&call);
	wait_for_counter(harness->control_address, "/fake/slotplan-s1/record",
	    "connections_made", 1);
	assert_int_equal(
	    harness_record_int(harness, "slotplan-s1", "requests"), 0);
	harness_set_faults(
	    harness, "slotplan-s1", "{\"freeze\":false,\"health\":\"bad\"}");
	assert_int_equal(finish_call(&call), 200);
	assert_int_equal(perform_call(&health, error), 503);
	http_reply_clear(&health.result);
}

/* A node refuses a contract with a missing or an unknown field, so the harness
 * must write exactly these. */
static void
contracts_have_exactly_the_agreed_fields(void **state)
{
	static const char *const fields[] = {"customer", "state", "callers",
	    "may_query", "may_reserve", "rate_per_s", "concurrency",
	    "deadline_ms", "repeat_window_h", "operation", "changed_by"};
	static const contract_spec_t spec = {
	    "acme", "secret", "reels,motifs", "", 10, 5, 250, 24, false};
	harness_t *harness = *state;
	json_t *object, *value;

	harness_start_platform(harness);
	assert_int_equal(harness_put_contract(harness, &spec), 1);
	assert_int_equal(harness_put_contract(harness, &spec), 2);
	object = harness_get_json(harness->platform_address, CONTRACT_PATH);
	value = json_object_get(object, "value");
	assert_int_equal(json_object_size(value), G_N_ELEMENTS(fields));
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		assert_non_null(json_object_get(value, fields[i]));
	assert_int_equal(
	    json_array_size(json_object_get(value, "may_query")), 2);
	json_decref(object);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(updates_are_conditional),
	    HARNESS_TEST(watches_see_changes_of_their_kinds),
	    HARNESS_TEST(platform_faults_are_real),
	    HARNESS_TEST(stalled_watches_and_the_vm_list_lag),
	    HARNESS_TEST(silent_connections_never_answer),
	    HARNESS_TEST(slots_are_bounded_and_cancelled),
	    HARNESS_TEST(deadlines_end_requests),
	    HARNESS_TEST(replies_lie_as_ordered),
	    HARNESS_TEST(crashes_close_everything_until_the_restart),
	    HARNESS_TEST(connections_over_the_cap_are_closed),
	    HARNESS_TEST(draining_is_announced_and_then_enforced),
	    HARNESS_TEST(frozen_servers_answer_after_the_thaw),
	    HARNESS_TEST(contracts_have_exactly_the_agreed_fields),
	};

	return RUN_TESTS(argc, argv, tests);
}
