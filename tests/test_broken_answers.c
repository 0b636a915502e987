/* Guards everything that reads responses against taking a broken one for an
 * answer: the gateway's reader of servers, peers and the store, the daemon's,
 * the store's client on top of them, and the tool's. Sound responses, also
 * unusual ones, must be read by all. */
#include "lib/runner.h"

#include <ev.h>
#include <glib.h>
#include <string.h>

#include "../platform/store_call.h"
#include "../source/http/http_message.h"
#include "bulrushwell/event.h"
#include "bulrushwell/http_client.h"
#include "bulrushwell/tool_http.h"
#include "lib/answer_cases.h"
#include "lib/raw_server.h"

#define LIMIT_BYTES 65536
#define CALL_TIMEOUT SECONDS(5)

/* What a reader made of a response. */
typedef struct {
	bool answered;
	int status;
	GString *body;
} reading_t;

typedef reading_t (*reader_t)(const GString *response);

static void
set_reading(reading_t *reading, int status, const char *body, size_t size)
{
	reading->answered = true;
	reading->status = status;
	reading->body = g_string_new_len(body, (gssize)size);
}

static reading_t
read_in_pieces(const GString *response, size_t piece)
{
	reading_t reading = {0};
	http_feed_t fed = HTTP_FEED_MORE;
	http_message_t message;
	size_t used = 0;

	http_message_init(&message, HTTP_RESPONSE, LIMIT_BYTES, LIMIT_BYTES);
	while (fed == HTTP_FEED_MORE && used < response->len) {
		size_t taken;

		fed = http_message_feed(&message, response->str + used,
		    MIN(piece, response->len - used), &taken);
		used += taken;
		if (fed != HTTP_FEED_INTERIM)
			continue;
		http_message_skip_interim(&message);
		fed = HTTP_FEED_MORE;
	}
	if (fed == HTTP_FEED_MORE && message.ends_at_close)
		fed = http_message_finish(&message);
	if (fed == HTTP_FEED_DONE && used == response->len)
		set_reading(&reading, http_message_status(&message),
		    message.body.data, message.body.size);
	http_message_free(&message);
	return reading;
}

static reading_t
read_whole(const GString *response)
{
	return read_in_pieces(response, response->len);
}

static reading_t
read_bytewise(const GString *response)
{
	return read_in_pieces(response, 1);
}

typedef struct {
	struct ev_loop *loop;
	reading_t reading;
	int64_t era; /* of the store's response */
} call_t;

static void
on_client_done(
    void *context, http_result_t result, const http_response_t *response)
{
	call_t *call = context;
	slice_t body = http_response_body(response);

	if (result == HTTP_ANSWERED)
		set_reading(&call->reading, http_response_status(response),
		    body.data, body.size);
	ev_break(call->loop, EVBREAK_ALL);
}

static reading_t
read_by_daemon(const GString *response)
{
	raw_server_t *server =
	    raw_server_create((slice_t){response->str, response->len});
	call_t call = {.loop = ev_loop_new(EVFLAG_AUTO)};
	http_client_t *client = http_client_create(call.loop);
	const http_request_t request = {
	    .method = "GET",
	    .address = raw_server_address(server),
	    .path = "/",
	    .timeout = CALL_TIMEOUT,
	    .max_response = LIMIT_BYTES,
	    .fresh_connection = true,
	    .done = on_client_done,
	    .context = &call,
	};

	assert_true(http_client_send(client, &request) != HANDLE_NONE);
	ev_run(call.loop, 0);
	http_client_destroy(client);
	ev_loop_destroy(call.loop);
	raw_server_destroy(server);
	return call.reading;
}

static void
on_store_response(void *context, const store_reply_t *reply)
{
	call_t *call = context;
	char *text =
	    reply->body != NULL ? json_dumps(reply->body, JSON_COMPACT) : NULL;

	if (reply->status != 0)
		set_reading(&call->reading, reply->status, text,
		    text != NULL ? strlen(text) : 0);
	free(text);
	ev_break(call->loop, EVBREAK_ALL);
}

static void
on_era(void *context, const store_reply_t *reply)
{
	call_t *call = context;

	call->era = reply->era;
	ev_break(call->loop, EVBREAK_ALL);
}

/* Guards against an era that is taken from a header that says two things, or
 * something else. */
static void
an_era_is_stated_once_and_as_a_number(void **state)
{
	static const struct {
		const char *headers;
		int64_t era;
	} cases[] = {{"", STORE_ERA_UNKNOWN}, {"Store-Era: 7\r\n", 7},
	    {"store-era:7\r\n", 7},
	    {"Store-Era: 7\r\nStore-Era: 8\r\n", STORE_ERA_UNKNOWN},
	    {"Store-Era: 7\r\nStore-Era: 7\r\n", STORE_ERA_UNKNOWN},
	    {"Store-Era: 7, 8\r\n", STORE_ERA_UNKNOWN},
	    {"Store-Era: -7\r\n", STORE_ERA_UNKNOWN},
	    {"Store-Era: \r\n", STORE_ERA_UNKNOWN}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *response = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n{}",
		    cases[i].headers);
		raw_server_t *server = raw_server_create(slice_from(response));
		struct sockaddr_in address = raw_server_socket_address(server);
		call_t call = {.loop = ev_loop_new(EVFLAG_AUTO), .era = -2};
		store_channel_t *channel =
		    store_channel_create(call.loop, &address, on_era, &call);

		store_channel_call(channel, "GET", "/", NULL, CALL_TIMEOUT);
		ev_run(call.loop, 0);
		if (call.era != cases[i].era)
			fail_msg("\"%s\": era %lld", cases[i].headers,
			    (long long)call.era);
		store_channel_destroy(channel);
		ev_loop_destroy(call.loop);
		raw_server_destroy(server);
		g_free(response);
	}
}

static reading_t
read_by_store_client(const GString *response)
{
	raw_server_t *server =
	    raw_server_create((slice_t){response->str, response->len});
	struct sockaddr_in address = raw_server_socket_address(server);
	call_t call = {.loop = ev_loop_new(EVFLAG_AUTO)};
	store_channel_t *channel =
	    store_channel_create(call.loop, &address, on_store_response, &call);

	store_channel_call(channel, "GET", "/", NULL, CALL_TIMEOUT);
	ev_run(call.loop, 0);
	store_channel_destroy(channel);
	ev_loop_destroy(call.loop);
	raw_server_destroy(server);
	return call.reading;
}

static reading_t
read_by_tool(const GString *response)
{
	raw_server_t *server =
	    raw_server_create((slice_t){response->str, response->len});
	const tool_http_request_t request = {
	    .method = "GET",
	    .address = raw_server_address(server),
	    .path = "/",
	    .timeout = CALL_TIMEOUT,
	};
	tool_http_response_t answer;
	reading_t reading = {0};

	tool_http_send(&request, &answer);
	if (answer.result == TOOL_HTTP_RESPONDED)
		set_reading(&reading, answer.status, answer.body->str,
		    answer.body->len);
	tool_http_response_clear(&answer);
	raw_server_destroy(server);
	return reading;
}

static bool
is_expected(const answer_case_t *row, const reading_t *reading)
{
	slice_t body = answer_case_body(row);

	if (!row->sound)
		return !reading->answered;
	return reading->answered &&
	    reading->status == answer_case_status(row) &&
	    reading->body->len == body.size &&
	    memcmp(reading->body->str, body.data, body.size) == 0;
}

static void
print_failure(const answer_case_t *row, const reading_t *reading)
{
	print_error("%s response with %s: ", row->sound ? "sound" : "broken",
	    row->name);
	if (reading->answered)
		print_error("status %d, a body of %zu bytes\n", reading->status,
		    reading->body->len);
	else
		print_error("no answer\n");
}

/* Prints all rows that fail. */
static void
check_cases(const answer_case_t *rows, size_t count, reader_t read)
{
	int failures = 0;

	for (size_t i = 0; i < count; i++) {
		GString *response = answer_case_text(&rows[i], "X-Id: 1\r\n");
		reading_t reading = read(response);

		if (!is_expected(&rows[i], &reading)) {
			print_failure(&rows[i], &reading);
			failures++;
		}
		if (reading.body != NULL)
			g_string_free(reading.body, TRUE);
		g_string_free(response, TRUE);
	}
	if (failures > 0)
		fail_msg("%d of %zu responses", failures, count);
}

/* An answer that ends anywhere before its end is none. */
static void
check_cuts(reader_t read)
{
	GString *response = answer_case_text(&answer_line_cases[0], "");
	size_t whole = response->len;

	while (response->len > 1) {
		reading_t reading;

		g_string_truncate(response, response->len - 1);
		reading = read(response);
		if (reading.answered)
			fail_msg("%zu of %zu bytes count as an answer",
			    response->len, whole);
	}
	g_string_free(response, TRUE);
}

/* Two tests of each reader. */
#define READER_TESTS(reader)                                                   \
	static void lines_##reader(void **state)                               \
	{                                                                      \
		check_cases(                                                   \
		    answer_line_cases, answer_line_case_count, read_##reader); \
	}                                                                      \
	static void lengths_##reader(void **state)                             \
	{                                                                      \
		check_cases(answer_length_cases, answer_length_case_count,     \
		    read_##reader);                                            \
	}

READER_TESTS(whole)
READER_TESTS(bytewise)
READER_TESTS(by_daemon)
READER_TESTS(by_store_client)
READER_TESTS(by_tool)

/* Whoever looks for the cause of a call that failed finds a line. */
static void
broken_answers_are_logged(void **state)
{
	static const answer_case_t row = {
	    .last_line = {"X A: b\r\n", sizeof("X A: b\r\n") - 1},
	};
	GString *response = answer_case_text(&row, "");

	assert_int_equal(event_count(EVENT_STORE_MALFORMED), 0);
	assert_int_equal(event_count(EVENT_SERVER_MALFORMED), 0);
	assert_false(read_by_store_client(response).answered);
	assert_false(read_by_daemon(response).answered);
	assert_int_equal(event_count(EVENT_STORE_MALFORMED), 1);
	assert_int_equal(event_count(EVENT_SERVER_MALFORMED), 1);
	g_string_free(response, TRUE);
}

static void
cut_by_tool(void **state)
{
	check_cuts(read_by_tool);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(broken_answers_are_logged), /* counts from 0 */
	    cmocka_unit_test(an_era_is_stated_once_and_as_a_number),
	    cmocka_unit_test(lines_whole),
	    cmocka_unit_test(lengths_whole),
	    cmocka_unit_test(lines_bytewise),
	    cmocka_unit_test(lengths_bytewise),
	    cmocka_unit_test(lines_by_daemon),
	    cmocka_unit_test(lengths_by_daemon),
	    cmocka_unit_test(lines_by_store_client),
	    cmocka_unit_test(lengths_by_store_client),
	    cmocka_unit_test(lines_by_tool),
	    cmocka_unit_test(lengths_by_tool),
	    cmocka_unit_test(cut_by_tool),
	};

	return RUN_TESTS(argc, argv, tests);
}
