/* Guards the daemon's callers, and users of the tool, against broken answers of
 * servers: none is passed on or counts as the outcome of a reservation, and
 * nothing that such an answer says of its server is believed. */
#include "lib/harness.h"
#include "lib/plain_server.h"
#include "lib/raw_server.h"
#include "lib/tool_run.h"

#include <stdio.h>
#include <string.h>

#define SERVICE "stub"
#define CALLER_KEY "stub-key"
#define DEADLINE_MS 1000
#define WAIT_MS 15000 /* longer than a server is left out */
#define ALWAYS UINT32_MAX

/* A node, and a stub as the only server of a service. */
typedef struct {
	harness_t *harness;
	plain_server_t *server;
} world_t;

static void
put_service(const world_t *world)
{
	harness_put_object(world->harness, "service", SERVICE,
	    json_pack("{s:s,s:i,s:i,s:[{s:s,s:s,s:s,s:s,s:s}]}", "service",
		SERVICE, "slots", 2, "connections", 8, "servers", "server",
		SERVICE "-s1", "address", plain_server_address(world->server),
		"incarnation", "1", "data_centre", "dc1", "state", "live"));
}

static world_t
start_world(harness_t *harness)
{
	const contract_spec_t contract = {
	    .customer = "customer",
	    .key = CALLER_KEY,
	    .indexes = "",
	    .services = SERVICE,
	    .rate_per_s = 1000,
	    .concurrency = 50,
	    .deadline_ms = DEADLINE_MS,
	    .repeat_window_h = 24,
	};
	world_t world = {
	    .harness = harness, .server = plain_server_create("stub")};

	harness_start_platform(harness);
	harness_put_contract(harness, &contract);
	put_service(&world);
	harness_start_tier(harness, 1);
	return world;
}

static void
set_answer(const world_t *world, const answer_case_t *row, const char *headers)
{
	plain_server_set_case(world->server, row);
	plain_server_set_headers(world->server, headers);
	plain_server_set_fault(world->server, PLAIN_CASE, ALWAYS);
}

static uint32_t
count_reservations(const world_t *world)
{
	plain_server_record_t record;

	plain_server_get_record(world->server, &record);
	return record.with_body;
}

static http_reply_t
try_reserve(const world_t *world)
{
	static int serial;
	char key_line[96];
	const char *headers[] = {
	    "Authorization: Bearer " CALLER_KEY, key_line, NULL};

	snprintf(key_line, sizeof(key_line), "Idempotency-Key: %lld-row-%d",
	    (long long)(clock_wall() / USEC_PER_SEC), ++serial);
	return harness_http("POST", world->harness->nodes[0].caller_address,
	    "/v1/reserve/" SERVICE, headers, "reel", WAIT_MS);
}

/* Makes reservations until one reaches the server, and returns its reply. */
static http_reply_t
reserve(const world_t *world)
{
	usec_t until = clock_monotonic() + MS(WAIT_MS);
	uint32_t before = count_reservations(world);

	while (clock_monotonic() < until) {
		http_reply_t reply = try_reserve(world);

		if (count_reservations(world) > before)
			return reply;
		http_reply_clear(&reply);
		g_usleep(10 * 1000);
	}
	fail_msg("no reservation reaches the server");
	return (http_reply_t){0};
}

static const char *const case_names[] = {"an ordinary response",
    "a name in lower case", "two blanks before the status", "status 000",
    "status 999", "a control byte in the name", "a blank in the name",
    "a blank after the name", "a control byte in the value", "a folded value",
    "a blank in the name of a trailer", "chunks and a trailer",
    "a broken name in an interim response", "an interim response"};

static void
callers_get_sound_answers_only(void **state)
{
	world_t world = start_world(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(case_names); i++) {
		const answer_case_t *row = answer_line_case(case_names[i]);
		http_reply_t reply;
		bool answered;

		set_answer(&world, row, "");
		reply = reserve(&world);
		answered = reply.status == answer_case_status(row);
		if (answered != row->sound)
			fail_msg("%s: status %d", row->name, reply.status);
		http_reply_clear(&reply);
	}
	plain_server_destroy(world.server);
}

static void
reserve_answered(const world_t *world)
{
	http_reply_t reply = reserve(world);

	assert_int_equal(reply.status, 200);
	http_reply_clear(&reply);
}

static void
reserve_unanswered(const world_t *world)
{
	http_reply_t reply = reserve(world);

	assert_int_not_equal(reply.status, 0);
	assert_int_not_equal(reply.status, 200);
	http_reply_clear(&reply);
}

static uint32_t
count_health_checks(const world_t *world)
{
	plain_server_record_t record;

	plain_server_get_record(world->server, &record);
	return record.requests - record.with_body;
}

/* Two, as the first may have been sent before. */
static void
wait_for_health_checks(const world_t *world)
{
	usec_t until = clock_monotonic() + MS(WAIT_MS);
	uint32_t before = count_health_checks(world);

	while (count_health_checks(world) < before + 2) {
		assert_true(clock_monotonic() < until);
		g_usleep(10 * 1000);
	}
}

/*
 * A server that leaves gets no more requests; this one says so only in broken
 * answers.
 * @meet: makes the node read one
 */
static void
check_still_used(harness_t *harness, void (*meet)(const world_t *world))
{
	world_t world = start_world(harness);

	set_answer(&world, answer_line_case("an ordinary response"), "");
	reserve_answered(&world);
	set_answer(&world, answer_line_case("a blank in the name"),
	    "X-Draining: 1\r\n");
	meet(&world);
	set_answer(&world, answer_line_case("an ordinary response"), "");
	reserve_answered(&world);
	plain_server_destroy(world.server);
}

static void
a_broken_answer_does_not_end_a_server(void **state)
{
	check_still_used(*state, reserve_unanswered);
}

static void
a_broken_health_report_does_not_end_a_server(void **state)
{
	check_still_used(*state, wait_for_health_checks);
}

/* Runs the tool against a node that answers so; whether it says that this is no
 * answer. */
static bool
is_refused_by_tool(harness_t *harness, const answer_case_t *row)
{
	GString *response = answer_case_text(row, "");
	raw_server_t *server =
	    raw_server_create((slice_t){response->str, response->len});
	char *words =
	    g_strdup_printf("status --node %s", raw_server_address(server));
	tool_run_t *run = tool_run_start(harness, words);
	bool refused;

	tool_run_wait(run);
	refused = strstr(run->err, "does not answer") != NULL;
	assert_int_not_equal(run->status, 0); /* sound ones aren't a node's */
	tool_run_free(run);
	raw_server_destroy(server);
	g_string_free(response, TRUE);
	g_free(words);
	return refused;
}

static void
the_tool_refuses_broken_answers(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(case_names); i++) {
		const answer_case_t *row = answer_line_case(case_names[i]);

		if (is_refused_by_tool(*state, row) == row->sound)
			fail_msg("%s: %s", row->name,
			    row->sound ? "refused" : "not refused");
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(callers_get_sound_answers_only),
	    HARNESS_TEST(a_broken_answer_does_not_end_a_server),
	    HARNESS_TEST(a_broken_health_report_does_not_end_a_server),
	    HARNESS_TEST(the_tool_refuses_broken_answers),
	};

	return RUN_TESTS(argc, argv, tests);
}
