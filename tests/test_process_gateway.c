/* Guards the gateway process, between fake servers and a fake object store,
 * against wrong, duplicate, lost or misleading responses and HTTP errors. */
#include "lib/gateway_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEADLINE_MS 1500
#define STATUS_TIMEOUT_MS 4000

static void
asks_all_shards(void **state)
{
	gateway_world_t *world = world_create(*state);
	http_reply_t result =
	    world_request(world, "GET", "/all/x?y=1", DEADLINE_MS, NULL);
	const char *stamps;

	assert_int_equal(result.status, 200);
	assert_string_equal(
	    http_reply_header(&result, "bulrushwell-missing-parts"), "0");
	assert_int_equal(result.body->len, 5 * 16);
	/* The best record of each shard begins with 9, the second with 6. */
	for (int i = 0; i < 5; i++)
		assert_int_equal(result.body->str[i * 16], i < 4 ? '9' : '6');
	for (int i = 1; i < 5; i++)
		assert_true(memcmp(result.body->str + (i - 1) * 16,
				result.body->str + i * 16, 16) >= 0);
	stamps = http_reply_header(&result, "bulrushwell-part-stamps");
	for (int i = 0; i < WORLD_SHARDS; i++)
		assert_int_equal(world_run_count(world, i), 1);
	assert_non_null(stamps);
	http_reply_clear(&result);
	world_destroy(world);
}

static void
leaves_out_a_shard_that_is_down(void **state)
{
	gateway_world_t *world = world_create(*state);
	http_reply_t result;

	world_fault_service(world, 2, PLAIN_HANG, 100);
	result = world_request(world, "GET", "/all/x", DEADLINE_MS, NULL);
	assert_int_equal(result.status, 200);
	assert_string_equal(
	    http_reply_header(&result, "bulrushwell-missing-parts"), "1");
	assert_null(strstr(
	    http_reply_header(&result, "bulrushwell-part-stamps"), "i-04."));
	http_reply_clear(&result);
	world_destroy(world);
}

/* After each fault of one server, the client gets one complete response. */
static void
answers_through_a_fault_of_one_server(void **state)
{
	static const struct {
		const char *name;
		plain_fault_t fault;
	} cases[] = {
	    {"a refusal marked as not run", PLAIN_NOT_RUN},
	    {"a server's failure", PLAIN_FAIL},
	    {"503 without the mark", PLAIN_OVERLOADED},
	    {"another server at the address", PLAIN_MISDIRECTED},
	    {"a connection that ends after the request ran", PLAIN_RESET},
	    {"a body that ends early", PLAIN_TRUNCATE},
	    {"a body without a length", PLAIN_UNFRAMED},
	    {"a body without a length that is reset", PLAIN_UNFRAMED_RESET},
	    {"bytes that are not HTTP", PLAIN_GARBAGE},
	    {"an interim response", PLAIN_INTERIM},
	    {"a content encoding that was not requested", PLAIN_ENCODED},
	    {"a success without a stamp", PLAIN_UNSTAMPED},
	};
	gateway_world_t *world = world_create(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		http_reply_t result;

		for (int j = 0; j < WORLD_REPLICAS; j++)
			plain_server_set_fault(
			    world_replica(world, WORLD_ONE, j),
			    j == 0 ? cases[i].fault : PLAIN_ANSWER, 1);
		result =
		    world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
		if (result.status != 200 || result.body->len != 48)
			fail_msg("%s: status %d with %zu bytes", cases[i].name,
			    result.status, result.body->len);
		assert_null(http_reply_header(&result, "content-encoding"));
		http_reply_clear(&result);
	}
	world_destroy(world);
}

/*
 * A server's 503, 429 or 408 without the mark does not say that the request was
 * not run, so the client must not be told so when all servers send it.
 */
static void
an_unmarked_refusal_is_no_promise(void **state)
{
	gateway_world_t *world = world_create(*state);
	http_reply_t result;

	world_fault_service(world, WORLD_ONE, PLAIN_OVERLOADED, 10);
	result = world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
	assert_true(world_run_count(world, WORLD_ONE) > 0);
	assert_int_equal(result.status, 502);
	http_reply_clear(&result);
	world_destroy(world);
}

/* An unsolicited response must not be taken for that of the next request. */
static void
drops_a_late_second_response(void **state)
{
	gateway_world_t *world = world_create(*state);

	world_fault_service(world, WORLD_ONE, PLAIN_EXTRA, 100);
	for (int i = 0; i < 20; i++) {
		http_reply_t result =
		    world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
		const char *id;

		id = http_reply_header(&result, "bulrushwell-request-id");
		assert_int_equal(result.status, 200);
		assert_non_null(id);
		assert_string_equal(id, result.sent_id);
		http_reply_clear(&result);
		if (i % 3 == 0)
			g_usleep(40 * 1000);
	}
	world_destroy(world);
}

/*
 * Guards against bytes that carry no id, late or not: they answer no request.
 * If they read like a refusal, a booking would run a second time.
 */
static void
bytes_without_an_id_are_no_answer(void **state)
{
	static const plain_fault_t faults[] = {
	    PLAIN_STRAY_ANSWER, PLAIN_STRAY_REFUSAL};
	enum { REQUESTS = 20 };

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		gateway_world_t *world = world_create(*state);

		world_fault_service(world, WORLD_ONE, faults[i], 1000);
		for (int j = 0; j < REQUESTS; j++) {
			http_reply_t result = world_request(
			    world, "POST", "/once/x", DEADLINE_MS, "reel");
			const char *id = http_reply_header(
			    &result, "bulrushwell-request-id");

			assert_int_equal(result.status, 200);
			assert_non_null(id);
			assert_string_equal(id, result.sent_id);
			http_reply_clear(&result);
		}
		assert_int_equal(world_run_count(world, WORLD_ONE), REQUESTS);
		world_destroy(world);
	}
}

static const struct {
	const char *name;
	plain_fault_t fault;
	int status;
	uint32_t runs; /* at most */
} non_idempotent_cases[] = {
    {"connection lost after the request ran", PLAIN_RESET, 502, 1},
    {"body truncated", PLAIN_TRUNCATE, 502, 1},
    {"response that is not HTTP", PLAIN_GARBAGE, 502, 1},
    {"503 without the not-run mark", PLAIN_OVERLOADED, 502, 1},
    {"500 from the server", PLAIN_FAIL, 500, 1},
    {"a success without a stamp", PLAIN_UNSTAMPED, 502, 1},
    {"refused as not run by all servers", PLAIN_NOT_RUN, 503, 0},
    {"other servers at all addresses", PLAIN_MISDIRECTED, 503, 0},
};

/*
 * A request that is not idempotent must run once at most, and a 503, which says
 * that it did not run, must be true.
 */
static void
never_runs_twice_and_never_denies_a_run(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(non_idempotent_cases); i++) {
		gateway_world_t *world = world_create(*state);
		http_reply_t result;

		world_fault_service(
		    world, WORLD_ONE, non_idempotent_cases[i].fault, 100);
		result = world_request(
		    world, "POST", "/once/x", DEADLINE_MS, "reel");
		if (result.status != non_idempotent_cases[i].status)
			fail_msg("%s: status %d", non_idempotent_cases[i].name,
			    result.status);
		if (world_run_count(world, WORLD_ONE) >
		    non_idempotent_cases[i].runs)
			fail_msg("%s: ran %u times",
			    non_idempotent_cases[i].name,
			    world_run_count(world, WORLD_ONE));
		if (result.status == 502)
			assert_null(http_reply_header(
			    &result, "bulrushwell-response-stamp"));
		http_reply_clear(&result);
		world_destroy(world);
	}
}

static void
forwards_body_and_deadline(void **state)
{
	gateway_world_t *world = world_create(*state);
	http_reply_t result =
	    world_request(world, "POST", "/once/x/y?z=1", 700, "one reel");
	plain_server_record_t record;

	assert_int_equal(result.status, 200);
	plain_server_get_record(world_replica(world, WORLD_ONE, 0), &record);
	if (record.requests == 0)
		plain_server_get_record(
		    world_replica(world, WORLD_ONE, 1), &record);
	assert_string_equal(record.last_body, "one reel");
	assert_non_null(
	    strstr(record.last_head, "POST /once/x/y?z=1 HTTP/1.1\r\n"));
	assert_non_null(
	    strstr(record.last_head, "Bulrushwell-Expected-Instance: i-"));
	assert_true(record.last_deadline_ms > 0);
	assert_true(record.last_deadline_ms <= 700);
	http_reply_clear(&result);
	world_destroy(world);
}

static void
sends_no_more_attempts_than_allowed(void **state)
{
	gateway_world_t *world = world_create(*state);
	http_reply_t result;

	world_fault_service(world, WORLD_ONE, PLAIN_FAIL, 100);
	for (int shard = 0; shard < WORLD_SHARDS; shard++)
		world_fault_service(world, shard, PLAIN_FAIL, 100);
	result = world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
	assert_int_equal(result.status, 500);
	assert_int_equal(world_request_count(world, WORLD_ONE), 2);
	http_reply_clear(&result);
	result = world_request(world, "GET", "/all/x", DEADLINE_MS, NULL);
	assert_int_equal(result.status, 502);
	for (int shard = 0; shard < WORLD_SHARDS; shard++)
		assert_true(world_request_count(world, shard) <= 2);
	http_reply_clear(&result);
	world_destroy(world);
}

static bool
a_server_saw_disconnect(gateway_world_t *world)
{
	for (int i = 0; i < WORLD_SERVERS; i++) {
		plain_server_record_t record;

		plain_server_get_record(world->servers[i], &record);
		if (record.disconnects > 0)
			return true;
	}
	return false;
}

static void
stops_servers_when_the_client_leaves(void **state)
{
	gateway_world_t *world = world_create(*state);
	int fd;

	world_fault_service(world, WORLD_ONE, PLAIN_HANG, 100);
	fd = world_connect(world);
	world_send_text(fd, WORLD_REQUEST("GET", "/one/x", ""));
	g_usleep(100 * 1000);
	close(fd);
	assert_true(world_wait(a_server_saw_disconnect, world, 500));
	assert_int_equal(world_metric(world, "client_gone_total"), 1);
	world_destroy(world);
}

typedef struct {
	const char *name;
	const char *bytes;
	const char *expected;
} protocol_case_t;

#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define LENGTH_3 "Content-Length: 3\r\n"
#define LENGTH_4 "Content-Length: 4\r\n"
#define LENGTH_9000 "Content-Length: 9000\r\n"
#define EXPECT "Expect: 100-continue\r\n"

/* Bytes that a client sends on a raw connection, and the expected response. */
static const protocol_case_t protocol_cases[] = {
    {"two pipelined requests",
	WORLD_HEAD("GET", "/one/a") WORLD_END WORLD_HEAD("GET", "/one/b")
	    WORLD_END,
	"HTTP/1.1 200"},
    {"a chunked body",
	WORLD_HEAD("POST", "/once/a") CHUNKED WORLD_END "3\r\nabc\r\n0\r\n\r\n",
	"HTTP/1.1 200"},
    {"Content-Length and chunked encoding",
	WORLD_HEAD("POST", "/once/a") LENGTH_3 CHUNKED WORLD_END
	"0\r\n\r\nGET /one/x",
	"HTTP/1.1 400"},
    {"two Content-Length headers",
	WORLD_HEAD("POST", "/once/a") LENGTH_3 LENGTH_4 WORLD_END "abcd",
	"HTTP/1.1 400"},
    {"an encoding before the chunks",
	WORLD_HEAD(
	    "POST", "/once/a") "Transfer-Encoding: gzip, chunked\r\n" WORLD_END
			       "3\r\nabc\r\n0\r\n\r\n",
	"HTTP/1.1 400"},
    {"other bytes after a chunk",
	WORLD_HEAD("POST", "/once/a") CHUNKED WORLD_END "3\r\nabcXY0\r\n\r\n",
	"HTTP/1.1 400"},
    {"a blank after Transfer-Encoding",
	WORLD_HEAD(
	    "POST", "/once/a") "Transfer-Encoding : chunked\r\n" WORLD_END
			       "3\r\nabc\r\n0\r\n\r\n",
	"HTTP/1.1 400"},
    {"a blank after Content-Length",
	WORLD_HEAD("POST", "/once/a") "Content-Length : 3\r\n" WORLD_END "abc",
	"HTTP/1.1 400"},
    {"a blank in the name of a field",
	WORLD_HEAD("GET", "/one/a") "X A: b\r\n" WORLD_END, "HTTP/1.1 400"},
    {"a control byte in the name of a field",
	WORLD_HEAD("GET", "/one/a") "X\001A: b\r\n" WORLD_END, "HTTP/1.1 400"},
    {"no name of a field", WORLD_HEAD("GET", "/one/a") ": b\r\n" WORLD_END,
	"HTTP/1.1 400"},
    {"a field line without a colon",
	WORLD_HEAD("GET", "/one/a") "X-A\r\n" WORLD_END, "HTTP/1.1 400"},
    {"a control byte in a value",
	WORLD_HEAD("GET", "/one/a") "X-A: b\vc\r\n" WORLD_END, "HTTP/1.1 400"},
    {"a folded value", WORLD_HEAD("GET", "/one/a") "X-A: b\r\n c\r\n" WORLD_END,
	"HTTP/1.1 400"},
    {"a blank before the first field",
	"GET /one/a HTTP/1.1\r\n Host: example.test\r\n\r\n", "HTTP/1.1 400"},
    {"a field line that ends with LF",
	WORLD_HEAD("GET", "/one/a") "X-A: b\n" WORLD_END, "HTTP/1.1 400"},
    {"a blank in the name of a trailer",
	WORLD_HEAD("POST", "/once/a") CHUNKED WORLD_END
	"3\r\nabc\r\n0\r\nX A: b\r\n\r\n",
	"HTTP/1.1 400"},
    {"an empty line before the request",
	"\r\n" WORLD_HEAD("GET", "/one/a") WORLD_END, "HTTP/1.1 200"},
    {"unusual names and values",
	WORLD_HEAD("GET", "/one/a") "X!#$%&'*+.^_`|~9:b\r\nX-A:\r\nX-B: \t "
				    "\xc3\xa9\tc \r\n" WORLD_END,
	"HTTP/1.1 200"},
    {"a trailer",
	WORLD_HEAD("POST", "/once/a") CHUNKED WORLD_END
	"3;a=b\r\nabc\r\n0\r\nX-A: b\r\n\r\n",
	"HTTP/1.1 200"},
    {"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
    {"a body that is too long",
	WORLD_HEAD("POST", "/once/a") LENGTH_9000 WORLD_END, "HTTP/1.1 413"},
    {"an incomplete header", "GET /one/x HTTP/1.1\r\nHost: ", "HTTP/1.1 408"},
    {"no request id", "GET /one/x HTTP/1.1\r\nHost: example.test\r\n\r\n",
	"HTTP/1.1 400"},
    {"an unknown route", WORLD_HEAD("GET", "/none/x") WORLD_END,
	"HTTP/1.1 404"},
    {"Expect: 100-continue",
	WORLD_HEAD("POST", "/once/a") EXPECT LENGTH_3 WORLD_END,
	"HTTP/1.1 100"},
};

static void
keeps_to_the_protocol(void **state)
{
	const protocol_case_t *cases = protocol_cases;
	gateway_world_t *world = world_create(*state);
	int failures = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(protocol_cases); i++) {
		int fd = world_connect(world);
		char *answer;

		world_send_text(fd, cases[i].bytes);
		answer = world_receive(fd, cases[i].expected, 3000);
		if (strstr(answer, cases[i].expected) != answer) {
			print_error("%s: '%.40s'\n", cases[i].name, answer);
			failures++;
		}
		free(answer);
		close(fd);
	}
	assert_int_equal(failures, 0);
	world_destroy(world);
}

static void
refuses_headers_beyond_the_limit(void **state)
{
	gateway_world_t *world = world_create(*state);
	GString *request = g_string_new(
	    "GET /one/x HTTP/1.1\r\nHost: example.test\r\nX-Long: ");
	int fd = world_connect(world);
	char *answer;

	for (int i = 0; i < 6000; i++)
		g_string_append_c(request, 'x');
	g_string_append(request, "\r\n\r\n");
	world_send_text(fd, request->str);
	answer = world_receive(fd, "431", 3000);
	assert_non_null(strstr(answer, "HTTP/1.1 431"));
	free(answer);
	close(fd);
	g_string_free(request, TRUE);
	world_destroy(world);
}

/* Counts responses: a hedged request may have run on a second server. */
static void
splits_by_weight(void **state)
{
	gateway_world_t *world = world_create(*state);
	int first = WORLD_ONE * WORLD_REPLICAS, answered_by_one = 0;

	for (int i = 0; i < 40; i++) {
		http_reply_t result =
		    world_request(world, "GET", "/split/x", DEADLINE_MS, NULL);
		const char *stamp =
		    http_reply_header(&result, "bulrushwell-response-stamp");

		assert_int_equal(result.status, 200);
		assert_non_null(stamp);
		for (int j = 0; j < WORLD_REPLICAS; j++)
			answered_by_one += g_str_has_prefix(
			    stamp, plain_server_id(world->servers[first + j]));
		http_reply_clear(&result);
	}
	assert_int_equal(answered_by_one, 30);
	world_destroy(world);
}

/* Without servers, a request is refused at once, not at its deadline. */
static void
refuses_at_once_without_servers(void **state)
{
	gateway_world_t *world = world_create(*state);
	http_reply_t result;

	for (int i = 0; i < WORLD_REPLICAS; i++)
		object_store_remove(world->store, "servers",
		    plain_server_id(world_replica(world, WORLD_ONE, i)));
	g_usleep(1500 * 1000);
	result = world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
	assert_int_equal(result.status, 503);
	assert_true(result.elapsed < MS(DEADLINE_MS) / 2);
	http_reply_clear(&result);
	world_destroy(world);
}

/*
 * Guards against a query that is sent to the other shards although too few
 * shards have servers: the work is wasted, and the client is told that its
 * query may have run.
 */
static void
sends_nothing_when_too_few_shards_have_servers(void **state)
{
	/* Of 4 shards; an answer needs 3. */
	enum { SHARDS_WITHOUT_SERVERS = 2 };
	gateway_world_t *world = world_create(*state);
	uint32_t arrivals;
	http_reply_t result;

	for (int shard = 0; shard < SHARDS_WITHOUT_SERVERS; shard++)
		for (int i = 0; i < WORLD_REPLICAS; i++)
			object_store_remove(world->store, "servers",
			    plain_server_id(world_replica(world, shard, i)));
	g_usleep(1500 * 1000);
	arrivals = world_request_count(world, SHARDS_WITHOUT_SERVERS);
	result = world_request(world, "GET", "/all/x", DEADLINE_MS, NULL);
	assert_int_equal(result.status, 503);
	assert_non_null(http_reply_header(&result, "retry-after"));
	http_reply_clear(&result);
	assert_int_equal(
	    world_request_count(world, SHARDS_WITHOUT_SERVERS), arrivals);
	world_destroy(world);
}

/* Silent connections to the health address must not keep the load balancer's
 * question from being answered. */
static void
silent_health_connections_block_nothing(void **state)
{
	enum { CONNECTIONS = 200 };
	gateway_world_t *world = world_create(*state);
	gateway_world_t view = *world;
	int fds[CONNECTIONS];

	memcpy(view.clients, world->health, sizeof(view.clients));
	for (int i = 0; i < CONNECTIONS; i++)
		fds[i] = world_connect(&view);
	for (int i = 0; i < 3; i++)
		harness_wait_status(
		    world->health, "/ready", 200, STATUS_TIMEOUT_MS);
	for (int i = 0; i < CONNECTIONS; i++)
		close(fds[i]);
	world_destroy(world);
}

static bool
has_new_config(gateway_world_t *world)
{
	return world_metric(world, "config_version") == world->version;
}

static bool
a_server_of_one_saw_disconnect(gateway_world_t *world)
{
	return world_disconnect_count(world, WORLD_ONE) > 0;
}

/* The connection of a request whose server has left the registry ends with the
 * request's deadline, like any other. */
static void
connections_of_removed_servers_end(void **state)
{
	enum { LONG_DEADLINE_MS = 3500, SLACK_MS = 1500 };
	gateway_world_t *world = world_create(*state);
	http_reply_t result;

	world->timeout_ms = 2 * LONG_DEADLINE_MS;
	world_configure(world);
	assert_true(world_wait(has_new_config, world, STATUS_TIMEOUT_MS));
	world_fault_service(world, WORLD_ONE, PLAIN_HANG, 100);
	for (int i = 0; i < WORLD_REPLICAS; i++)
		object_store_remove(world->store, "servers",
		    plain_server_id(world_replica(world, WORLD_ONE, i)));
	result =
	    world_request(world, "POST", "/once/x", LONG_DEADLINE_MS, "reel");
	assert_int_equal(result.status, 504);
	http_reply_clear(&result);
	assert_true(
	    world_wait(a_server_of_one_saw_disconnect, world, SLACK_MS));
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(asks_all_shards),
	    HARNESS_TEST(leaves_out_a_shard_that_is_down),
	    HARNESS_TEST(answers_through_a_fault_of_one_server),
	    HARNESS_TEST(an_unmarked_refusal_is_no_promise),
	    HARNESS_TEST(drops_a_late_second_response),
	    HARNESS_TEST(bytes_without_an_id_are_no_answer),
	    HARNESS_TEST(never_runs_twice_and_never_denies_a_run),
	    HARNESS_TEST(forwards_body_and_deadline),
	    HARNESS_TEST(sends_no_more_attempts_than_allowed),
	    HARNESS_TEST(stops_servers_when_the_client_leaves),
	    HARNESS_TEST(keeps_to_the_protocol),
	    HARNESS_TEST(refuses_headers_beyond_the_limit),
	    HARNESS_TEST(splits_by_weight),
	    HARNESS_TEST(refuses_at_once_without_servers),
	    HARNESS_TEST(sends_nothing_when_too_few_shards_have_servers),
	    HARNESS_TEST(silent_health_connections_block_nothing),
	    HARNESS_TEST(connections_of_removed_servers_end),
	};

	return RUN_TESTS(argc, argv, tests);
}
