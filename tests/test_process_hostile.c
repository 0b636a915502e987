/* Tests that malformed, oversized, truncated and hostile input to the addresses
 * of a node does no harm, and that invalid objects of the platform do not
 * replace the objects in force. */
#include "lib/harness_query.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "bulrushwell/message.h"

/* Time to wait for a response to incomplete input, to which the node may send a
 * response, close the connection or wait for more. */
#define RESPONSE_WAIT_MS 200

typedef struct {
	const char *name;
	const char *text;
	/* Substring of the response; empty: any; NULL: none is expected. */
	const char *answer;
} raw_case_t;

static const raw_case_t raw_cases[] = {
    {"no bytes", "", NULL},
    {"bytes that are not HTTP", "\x01\x02\x03\xff\r\n\r\n", ""},
    {"no HTTP version", "GET /\r\n\r\n", ""},
    {"an unknown method", "BREW /v1/query/reels HTTP/1.1\r\nHost: x\r\n\r\n",
	"invalid_request"},
    {"a path to a parent directory",
	"GET /../../etc/passwd HTTP/1.1\r\nHost: x\r\n\r\n", "\"remedy\""},
    {"an encoded NUL",
	"POST /v1/query/re%00els HTTP/1.1\r\nHost: x\r\n"
	"Content-Length: 0\r\n\r\n",
	"\"remedy\""},
    {"a body that ends early",
	"POST /v1/query/reels HTTP/1.1\r\nHost: x\r\n"
	"Content-Length: 100\r\n\r\nabc",
	NULL},
    {"a negative length",
	"POST /v1/query/reels HTTP/1.1\r\nHost: x\r\n"
	"Content-Length: -1\r\n\r\n",
	""},
    {"a length that is not a number",
	"POST /v1/query/reels HTTP/1.1\r\nHost: x\r\n"
	"Content-Length: many\r\n\r\n",
	""},
    {"an invalid chunk size",
	"POST /v1/query/reels HTTP/1.1\r\nHost: x\r\n"
	"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
	""},
    {"a huge chunk",
	"POST /v1/query/reels HTTP/1.1\r\nHost: x\r\n"
	"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc",
	""},
    {"an empty key",
	"POST /v1/query/reels HTTP/1.1\r\nHost: x\r\n"
	"Authorization: Bearer \r\nContent-Length: 0\r\n\r\n",
	"unauthorised"},
};

/* Whether the node may wait for the rest of the input. */
static bool
may_get_no_response(const raw_case_t *input)
{
	return input->answer == NULL || *input->answer == '\0';
}

static int
open_connection(const char *address)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

static bool
is_response_complete(const char *answer)
{
	const char *end = strstr(answer, "\r\n\r\n");
	const char *length = strcasestr(answer, "content-length:");

	return end != NULL && length != NULL &&
	    strlen(end + 4) >= strtoul(length + 15, NULL, 10);
}

/* Sends @text and reads until a response is complete or the connection closes.
 * With @half_close the sending side is shut down after @text. */
static char *
exchange_raw(const char *address, const char *text, bool half_close)
{
	size_t size = strlen(text);
	GString *answer = g_string_new(NULL);
	int fd = open_connection(address);
	struct pollfd wait = {fd, POLLIN, 0};
	char data[4096];
	ssize_t received = 1;

	for (size_t sent = 0; sent < size;) {
		ssize_t count =
		    send(fd, text + sent, size - sent, MSG_NOSIGNAL);

		if (count <= 0)
			break;
		sent += (size_t)count;
	}
	if (half_close)
		shutdown(fd, SHUT_WR);
	while (received > 0 && !is_response_complete(answer->str) &&
	    poll(&wait, 1, half_close ? RESPONSE_WAIT_MS : QUERY_WAIT_MS) ==
		1) {
		received = read(fd, data, sizeof(data));
		if (received > 0)
			g_string_append_len(answer, data, received);
	}
	close(fd);
	return g_string_free(answer, FALSE);
}

static void
check_raw_cases(const char *address)
{
	for (size_t i = 0; i < G_N_ELEMENTS(raw_cases); i++) {
		const raw_case_t *input = &raw_cases[i];
		char *answer = exchange_raw(
		    address, input->text, may_get_no_response(input));

		if (strstr(answer, " 200 ") != NULL)
			fail_msg("%s: %s", input->name, answer);
		g_free(answer);
	}
}

/* Guards against input of one caller that crashes a node or keeps it from
 * answering other callers. */
static void
hostile_callers_are_refused(void **state)
{
	harness_t *harness = *state;
	const char *address;
	char *long_text;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 1});
	address = harness->nodes[0].caller_address;
	for (size_t i = 0; i < G_N_ELEMENTS(raw_cases); i++) {
		const raw_case_t *input = &raw_cases[i];
		char *answer = exchange_raw(
		    address, input->text, may_get_no_response(input));

		if (strstr(answer, " 200 ") != NULL ||
		    (input->answer != NULL &&
			strstr(answer, input->answer) == NULL))
			fail_msg("%s: %s", input->name, answer);
		g_free(answer);
		query_check_complete(harness, 0);
	}
	long_text = g_strnfill(100000, 'p');
	for (int i = 0; i < 3; i++) {
		static const char *const formats[] = {
		    "POST /v1/query/%s HTTP/1.1\r\nHost: x\r\n\r\n",
		    "GET / HTTP/1.1\r\nAuthorization: Bearer %s\r\n\r\n",
		    "GET / HTTP/1.1\r\n%s: x\r\n\r\n"};
		char **parts = g_strsplit(formats[i], "%s", 2);
		char *text = g_strconcat(parts[0], long_text, parts[1], NULL);
		char *answer = exchange_raw(address, text, false);

		assert_null(strstr(answer, " 200 "));
		g_free(answer);
		g_free(text);
		g_strfreev(parts);
		query_check_complete(harness, 0);
	}
	g_free(long_text);
}

/* Guards against input to the operator address that crashes a node or keeps it
 * from answering callers. The operator address is read-only. */
static void
hostile_operators_are_refused(void **state)
{
	static const struct {
		const char *method;
		const char *path;
		int status;
		const char *kind;
	} cases[] = {
	    {"POST", "/v1/status", 400, "invalid_request"},
	    {"DELETE", "/metrics", 400, "invalid_request"},
	    {"GET", "/v1/contracts", 404, "not_found"},
	    {"GET", "/v1/status/../../x", 404, "not_found"},
	    {"GET", "/%00", 404, "not_found"},
	};
	harness_t *harness = *state;
	const char *address;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 1});
	address = harness->nodes[0].operator_address;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		http_reply_t reply = harness_http(cases[i].method, address,
		    cases[i].path, NULL, NULL, QUERY_WAIT_MS);

		query_check_refusal(
		    &reply, cases[i].status, cases[i].kind, true);
		http_reply_clear(&reply);
	}
	check_raw_cases(address);
	json_decref(harness_get_json(address, "/v1/status"));
	query_check_complete(harness, 0);
}

static void
send_bytes(void *dealer, const void *data, size_t size)
{
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);

	while (zmq_send(dealer, data, size, ZMQ_DONTWAIT) < 0) {
		assert_true(clock_monotonic() < until);
		g_usleep(1000);
	}
}

static void
send_message(void *dealer, message_t *message)
{
	writer_t writer;

	writer_init(&writer);
	message_encode(message, &writer);
	send_bytes(dealer, writer.buffer.data, writer.buffer.size);
	writer_free(&writer);
}

/* Sends each prefix of a valid message, and copies with one byte inverted. */
static void
send_mutations(void *dealer, message_t *message, int *sent)
{
	writer_t writer;
	char *copy;

	writer_init(&writer);
	message_encode(message, &writer);
	for (size_t i = 0; i < writer.buffer.size; i++) {
		send_bytes(dealer, writer.buffer.data, i);
		copy = g_memdup2(writer.buffer.data, writer.buffer.size);
		copy[i] = (char)(copy[i] ^ 0xff);
		send_bytes(dealer, copy, writer.buffer.size);
		g_free(copy);
		*sent += 2;
	}
	writer_free(&writer);
}

static void
fill_unknown_sender_request(message_t *message)
{
	static uint32_t shards[] = {0};
	static shard_group_t group = {
	    .service = "slotplan-1", .shard_count = 1, .shards = shards};

	*message = (message_t){.kind = MESSAGE_SHARD_REQUEST,
	    .sender = "stranger",
	    .sender_incarnation = 5};
	strcpy(message->shard_request.index, QUERY_INDEX);
	strcpy(message->shard_request.customer, QUERY_CUSTOMER);
	message->shard_request.version = QUERY_VERSION;
	message->shard_request.weight = 1;
	message->shard_request.remaining = SECONDS(1);
	message->shard_request.wall_deadline = clock_wall() + SECONDS(1);
	message->shard_request.body = slice_from("of a stranger");
	message->shard_request.group_count = 1;
	message->shard_request.groups = &group;
}

/* Guards against a node that crashes on, or executes, what an unknown sender
 * sends to its peer socket: truncated and corrupted messages, an oversized one,
 * multi-part ones, bytes that are not ZeroMQ, and valid requests. */
static void
strangers_at_the_peer_socket_are_dropped(void **state)
{
	harness_t *harness = *state;
	void *context = zmq_ctx_new(), *dealer;
	char endpoint[128], *huge;
	message_t message;
	int sent = 0;
	int64_t before;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 1});
	before = query_settled_requests(harness);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s",
	    harness->nodes[0].peer_address);
	dealer = zmq_socket(context, ZMQ_DEALER);
	zmq_setsockopt(dealer, ZMQ_LINGER, &(int){0}, sizeof(int));
	assert_int_equal(zmq_connect(dealer, endpoint), 0);
	fill_unknown_sender_request(&message);
	send_message(dealer, &message);
	send_mutations(dealer, &message, &sent);
	message = (message_t){.kind = MESSAGE_HEARTBEAT, .sender = "stranger"};
	send_mutations(dealer, &message, &sent);
	message =
	    (message_t){.kind = MESSAGE_SUSPECT_NOTICE, .sender = "node-1"};
	send_mutations(dealer, &message, &sent);
	zmq_send(dealer, "part", 4, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(dealer, "part", 4, ZMQ_DONTWAIT);
	query_wait_metric(
	    harness, 0, "bulrushwell_dropped_messages_total", (double)sent / 2);
	/* The node closes the connection of a message over the size limit. */
	huge = g_strnfill(16 * 1024 * 1024, 'h');
	send_bytes(dealer, huge, 16 * 1024 * 1024);
	g_free(huge);
	/* A ZeroMQ socket sends its greeting and does not answer HTTP. */
	for (size_t i = 0; i < G_N_ELEMENTS(raw_cases); i++)
		g_free(exchange_raw(
		    harness->nodes[0].peer_address, raw_cases[i].text, true));
	query_check_complete(harness, 0);
	assert_int_equal(
	    query_settled_requests(harness) - before, QUERY_SERVICES);
	zmq_close(dealer);
	zmq_ctx_term(context);
}

typedef struct {
	const char *kind;
	const char *name;
	const char *value;
} object_case_t;

static const object_case_t object_cases[] = {
    {"contract", QUERY_CUSTOMER, "{}"},
    {"contract", QUERY_CUSTOMER, "[]"},
    {"contract", QUERY_CUSTOMER, "null"},
    {"contract", QUERY_CUSTOMER, "{\"customer\":\"other\"}"},
    {"contract", "stray", "\"text\""},
    {"service", "slotplan-1", "{}"},
    {"service", "slotplan-1",
	"{\"service\":\"slotplan-1\",\"slots\":0,"
	"\"connections\":25,\"servers\":[]}"},
    {"service", "slotplan-1",
	"{\"service\":\"slotplan-1\",\"slots\":2,"
	"\"connections\":1,\"servers\":[]}"},
    {"service", "slotplan-1",
	"{\"service\":\"slotplan-1\",\"slots\":2,"
	"\"connections\":25,\"servers\":[7]}"},
    {"service", "stray", "123456789012345678901234567890e5"},
    {"index", QUERY_INDEX, "{}"},
    {"index", QUERY_INDEX,
	"{\"index\":\"reels\",\"current\":8,\"versions\":[]}"},
    {"index", QUERY_INDEX,
	"{\"index\":\"reels\",\"current\":8,\"versions\":[{\"version\":7,"
	"\"shards\":[\"slotplan-1\"]}]}"},
    {"index", QUERY_INDEX,
	"{\"index\":\"reels\",\"current\":6,\"versions\":[{\"version\":6,"
	"\"shards\":[]}]}"},
    {"assignment", "other-cell", "{}"},
};

/* Guards against invalid objects that replace the objects in force, and against
 * a watch that stops at an invalid object. */
static void
malformed_objects_change_nothing(void **state)
{
	harness_t *harness = *state;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	for (size_t i = 0; i < G_N_ELEMENTS(object_cases); i++) {
		const object_case_t *object = &object_cases[i];
		json_t *value =
		    json_loads(object->value, JSON_DECODE_ANY, NULL);

		if (value == NULL)
			continue;
		harness_put_object(harness, object->kind, object->name, value);
		for (int j = 0; j < 2; j++)
			assert_int_equal(
			    query_check_complete(harness, j).version,
			    QUERY_VERSION);
	}
	/* A valid object written later is adopted. */
	query_put_contract(
	    harness, "later", "later-key", 20000, 1000, QUERY_DEADLINE_MS);
	for (int i = 0; i < 2; i++) {
		usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);
		int status = 0;

		while (status != 200) {
			http_reply_t reply =
			    query_post_as(harness->nodes[i].caller_address,
				"later-key", "later", 0);

			status = reply.status;
			http_reply_clear(&reply);
			assert_true(clock_monotonic() < until);
		}
	}
}

/* Guards against a malformed assignment or VM list that moves services or ends
 * nodes. The nodes write a valid assignment over a malformed one. */
static void
malformed_assignments_and_vm_lists_change_nothing(void **state)
{
	static const char *const values[] = {"{}", "[]", "null",
	    "{\"cell\":\"cell-1\",\"token\":\"x\",\"members\":[],"
	    "\"services\":7}",
	    "{\"cell\":\"cell-1\",\"token\":\"0\",\"members\":[{\"node\":1}],"
	    "\"services\":[]}"};
	static const char *const vms[] = {"{\"vms\":[]}", "{\"vms\":[7]}",
	    "{\"vms\":[{\"vm\":\"\",\"state\":\"live\"}]}",
	    "{\"vms\":[{\"vm\":\"vm-1\",\"state\":\"flying\"}]}"};
	harness_t *harness = *state;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	for (size_t i = 0; i < G_N_ELEMENTS(vms); i++) {
		harness_post(harness->platform_address, "/fake/vms", vms[i]);
		for (int j = 0; j < 10; j++)
			query_check_complete(harness, j % 2);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		harness_put_object(harness, "assignment", "cell-1",
		    json_loads(values[i], JSON_DECODE_ANY, NULL));
		for (int j = 0; j < 10; j++)
			query_check_complete(harness, j % 2);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    QUERY_TEST(hostile_callers_are_refused),
	    QUERY_TEST(hostile_operators_are_refused),
	    QUERY_TEST(strangers_at_the_peer_socket_are_dropped),
	    QUERY_TEST(malformed_objects_change_nothing),
	    QUERY_TEST(malformed_assignments_and_vm_lists_change_nothing),
	};

	return RUN_TESTS(argc, argv, tests);
}
