/* Tests that a server which announces only on its health endpoint that it is
 * leaving gets no new requests from any node after three seconds. */
#include "lib/harness.h"

#define KEY "key-of-the-plant"

static const upstream_group_t groups[] = {
    {.name = "slotplan",
	.services = 3,
	.servers = 3,
	.slots = 2,
	.connections = 25,
	.connect_ms = 1,
	.p50_ms = 2,
	.p99_ms = 4,
	.indexed = true},
};

static void
start_tier(harness_t *harness)
{
	upstream_set_t set = {groups, 1, "slotplan", 1, 0, 1};
	contract_spec_t contract = {.customer = "llanberis",
	    .key = KEY,
	    .indexes = "slotplan",
	    .services = "",
	    .rate_per_s = 20000,
	    .concurrency = 100,
	    .deadline_ms = 400,
	    .repeat_window_h = 1};

	harness_start_platform(harness);
	harness_start_upstreams(harness, &set);
	harness_put_contract(harness, &contract);
	harness_start_tier(harness, 3);
}

static int
send_query(harness_t *harness, int node)
{
	const char *headers[] = {"Authorization: Bearer " KEY, NULL};
	http_reply_t reply =
	    harness_http("POST", harness->nodes[node].caller_address,
		"/v1/query/slotplan", headers, "reel", 2000);
	int status = reply.status;

	http_reply_clear(&reply);
	return status;
}

static void
send_queries_for(harness_t *harness, int milliseconds)
{
	usec_t end = clock_monotonic() + MS(milliseconds);

	for (int i = 0; clock_monotonic() < end; i++)
		send_query(harness, i % 3);
}

static void
server_that_is_leaving_by_health_gets_no_work(void **state)
{
	harness_t *harness = *state;
	int64_t before;

	start_tier(harness);
	while (send_query(harness, 0) != 200)
		;
	send_queries_for(harness, 500);
	assert_true(
	    harness_record_int(harness, "slotplan-1-s1", "requests") > 0);
	harness_set_faults(
	    harness, "slotplan-1-s1", "{\"health\":\"leaving\"}");
	send_queries_for(harness, 3000);
	before = harness_record_int(harness, "slotplan-1-s1", "requests");
	send_queries_for(harness, 1500);
	assert_int_equal(
	    harness_record_int(harness, "slotplan-1-s1", "requests"), before);
	assert_int_equal(harness_record_sum(harness, "overruns"), 0);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(server_that_is_leaving_by_health_gets_no_work),
	};

	return RUN_TESTS(argc, argv, tests);
}
