/* Guards the gateway's clients against broken answers of servers: they get none
 * as an answer, whether the request may be repeated or not, and all sound ones,
 * also unusual ones. */
#include "lib/gateway_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEADLINE_MS 1500
#define RECOVERY_MS 5000 /* longer than a server is left out */
#define MAX_TRIES 10
/* Ordinary requests before each broken answer, which earn its repeat. */
#define REQUESTS_PER_REPEAT 8
#define MALFORMED_EVENTS \
	"events_total{number=\"607\",name=\"SERVER_MALFORMED\"}"
#define STAMP_HEADER "bulrushwell-response-stamp"

/* Return: the replica that answers now; -1: none. The request is sent once, so
 * that no late copy of it meets a broken answer which is set afterwards. */
static int
answering_replica(gateway_world_t *world)
{
	http_reply_t result =
	    world_request(world, "GET", "/once/x", DEADLINE_MS, NULL);
	int replica = -1;

	for (int i = 0; i < WORLD_REPLICAS && result.status == 200; i++)
		if (strstr(result.body->str,
			plain_server_id(world_replica(world, WORLD_ONE, i))) !=
		    NULL)
			replica = i;
	http_reply_clear(&result);
	return replica;
}

static bool
is_answered(gateway_world_t *world)
{
	return answering_replica(world) >= 0;
}

static void
wait_until_answered(gateway_world_t *world, const answer_case_t *row)
{
	world_fault_service(world, WORLD_ONE, PLAIN_ANSWER, 0);
	if (!world_wait(is_answered, world, RECOVERY_MS))
		fail_msg("before %s: no answers", row->name);
}

static void
set_case(plain_server_t *server, const answer_case_t *row)
{
	plain_server_set_case(server, row);
	plain_server_set_fault(server, PLAIN_CASE, 1);
}

static bool
is_the_servers(const answer_case_t *row, const http_reply_t *result)
{
	slice_t body = answer_case_body(row);

	return result->status == answer_case_status(row) &&
	    http_reply_header(result, STAMP_HEADER) != NULL &&
	    result->body->len == body.size &&
	    memcmp(result->body->str, body.data, body.size) == 0;
}

/* Whether the gateway says in its own words that there is no answer. */
static bool
is_a_gateway_error(const http_reply_t *result)
{
	return result->status == 502 &&
	    http_reply_header(result, STAMP_HEADER) == NULL &&
	    http_reply_header(result, "x-a") == NULL;
}

/* Both servers send such an answer; the request is not repeated. */
static bool
is_passed_on_rightly(gateway_world_t *world, const answer_case_t *row)
{
	http_reply_t result;
	bool right;

	wait_until_answered(world, row);
	for (int i = 0; i < WORLD_REPLICAS; i++)
		set_case(world_replica(world, WORLD_ONE, i), row);
	result = world_request(world, "GET", "/once/x", DEADLINE_MS, NULL);
	right = row->sound ? is_the_servers(row, &result)
			   : is_a_gateway_error(&result);
	if (!right)
		print_error("%s: status %d, a body of %zu bytes\n", row->name,
		    result.status, result.body != NULL ? result.body->len : 0);
	http_reply_clear(&result);
	return right;
}

static void
check_cases(harness_t *harness, const answer_case_t *rows, size_t count)
{
	gateway_world_t *world = world_create(harness);
	int failures = 0, broken = 0;

	for (size_t i = 0; i < count; i++) {
		broken += !rows[i].sound;
		failures += !is_passed_on_rightly(world, &rows[i]);
	}
	if (failures > 0)
		fail_msg("%d of %zu answers", failures, count);
	assert_int_equal(world_metric(world, MALFORMED_EVENTS), broken);
	world_destroy(world);
}

static void
clients_get_sound_lines_only(void **state)
{
	check_cases(*state, answer_line_cases, answer_line_case_count);
}

static void
clients_get_sound_lengths_only(void **state)
{
	check_cases(*state, answer_length_cases, answer_length_case_count);
}

/* A response with this status ends with its head: what follows is no answer. */
static void
bytes_after_a_response_without_a_body_reach_no_client(void **state)
{
	static const answer_case_t rows[] = {
	    {"204", .status_line = {"HTTP/1.1 204 No\r\n", 17}},
	    {"304", .status_line = {"HTTP/1.1 304 Old\r\n", 18}},
	};
	gateway_world_t *world = world_create(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *received;
		int fd;

		wait_until_answered(world, &rows[i]);
		for (int j = 0; j < WORLD_REPLICAS; j++)
			set_case(world_replica(world, WORLD_ONE, j), &rows[i]);
		fd = world_connect(world);
		world_send_text(fd,
		    WORLD_REQUEST("GET", "/once/x", "Connection: close\r\n"));
		received = world_receive(fd, NULL, DEADLINE_MS);
		if (strstr(received, rows[i].name) == NULL ||
		    strstr(received, ANSWER_BODY) != NULL)
			fail_msg("%s: %s", rows[i].name, received);
		free(received);
		close(fd);
	}
	world_destroy(world);
}

static uint32_t
request_count(plain_server_t *server)
{
	plain_server_record_t record;

	plain_server_get_record(server, &record);
	return record.requests;
}

/* Sends requests until one reaches the server that sends the answer. */
static http_reply_t
request_broken(gateway_world_t *world, const answer_case_t *row)
{
	for (int i = 0; i < MAX_TRIES; i++) {
		http_reply_t result;
		plain_server_t *server;
		uint32_t before;

		for (int j = 0; j < REQUESTS_PER_REPEAT; j++)
			wait_until_answered(world, row);
		server = world_replica(
		    world, WORLD_ONE, MAX(answering_replica(world), 0));
		set_case(server, row);
		before = request_count(server);
		result =
		    world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
		if (request_count(server) > before)
			return result;
		http_reply_clear(&result);
	}
	fail_msg("%s: not sent", row->name);
	return (http_reply_t){0};
}

/* A request that may be repeated is answered by the other server. */
static void
broken_answers_are_repeated_elsewhere(void **state)
{
	gateway_world_t *world = world_create(*state);
	int failures = 0;

	for (size_t i = 0; i < answer_line_case_count; i++) {
		const answer_case_t *row = &answer_line_cases[i];
		http_reply_t result;

		if (row->sound)
			continue;
		result = request_broken(world, row);
		if (result.status != 200 ||
		    strstr(result.body->str, "i-") == NULL) {
			print_error(
			    "%s: status %d\n", row->name, result.status);
			failures++;
		}
		http_reply_clear(&result);
	}
	if (failures > 0)
		fail_msg("%d answers", failures);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(clients_get_sound_lines_only),
	    HARNESS_TEST(clients_get_sound_lengths_only),
	    HARNESS_TEST(bytes_after_a_response_without_a_body_reach_no_client),
	    HARNESS_TEST(broken_answers_are_repeated_elsewhere),
	};

	return RUN_TESTS(argc, argv, tests);
}
