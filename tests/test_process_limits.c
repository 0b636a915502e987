/* Tests how a tier of node processes divides a contract's rate: nodes without a
 * part of a small rate must not refuse all requests, and all nodes together
 * must not admit more than the contract allows. */
#include "lib/harness.h"

#include <stdio.h>
#include <string.h>

#define KEY "key-of-the-workshop"
#define NODES 3

static const upstream_group_t groups[] = {
    {.name = "motif-gallery",
	.services = 4,
	.servers = 2,
	.slots = 5,
	.connections = 40,
	.connect_ms = 1,
	.p50_ms = 2,
	.p99_ms = 4,
	.indexed = true},
};

static void
start_tier(harness_t *harness, double rate)
{
	upstream_set_t set = {groups, 1, "motif-gallery", 1, 0, 1};
	contract_spec_t contract = {.customer = "al-harthi",
	    .key = KEY,
	    .indexes = "motif-gallery",
	    .services = "",
	    .rate_per_s = rate,
	    .concurrency = 6,
	    .deadline_ms = 400,
	    .repeat_window_h = 1};

	harness_start_platform(harness);
	harness_start_upstreams(harness, &set);
	harness_put_contract(harness, &contract);
	harness_start_tier(harness, NODES);
}

static int
send_query(harness_t *harness, int node)
{
	const char *headers[] = {"Authorization: Bearer " KEY, NULL};
	http_reply_t reply =
	    harness_http("POST", harness->nodes[node].caller_address,
		"/v1/query/motif-gallery", headers, "leaf", 2000);
	int status = reply.status;

	http_reply_clear(&reply);
	return status;
}

/* A rate of 5 per second is a single quantum, the smallest part of a rate that
 * can be assigned, so that one node has all of it. The others must get tokens
 * from it on demand, or they would refuse every request. */
static void
small_contract_is_served_by_every_node(void **state)
{
	harness_t *harness = *state;
	int answered[NODES] = {0};
	usec_t next;

	start_tier(harness, 5);
	/* The contract's token bucket is empty at the start of the tier. */
	while (send_query(harness, 0) != 200)
		;
	next = clock_monotonic();
	for (int i = 0; i < 4 * NODES; i++) {
		/* One request every 250 ms is below the rate. */
		next = MAX(next + MS(250), clock_monotonic());
		g_usleep((gulong)MAX(next - clock_monotonic(), 1));
		answered[i % NODES] += send_query(harness, i % NODES) == 200;
	}
	for (int node = 0; node < NODES; node++)
		assert_int_equal(answered[node], 4);
}

static void
fleet_stays_within_the_contract(void **state)
{
	harness_t *harness = *state;
	const double rate = 20;
	usec_t started, elapsed;
	int answered = 0, refused = 0;

	start_tier(harness, rate);
	started = clock_monotonic();
	do {
		int status = send_query(harness, (answered + refused) % NODES);

		assert_true(status == 200 || status == 429);
		answered += status == 200;
		refused += status == 429;
		elapsed = clock_monotonic() - started;
	} while (elapsed < SECONDS(4));
	/* A rate of 20 per second allows a burst of 2, and the buckets may be
	 * full at the start. */
	assert_true(answered <= rate * (double)elapsed / USEC_PER_SEC + 2 + 1);
	assert_true(answered >= 0.5 * rate * (double)elapsed / USEC_PER_SEC);
	print_message("%d answered, %d refused in %.2f s at %.0f a second\n",
	    answered, refused, (double)elapsed / USEC_PER_SEC, rate);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(small_contract_is_served_by_every_node),
	    HARNESS_TEST(fleet_stays_within_the_contract),
	};

	return RUN_TESTS(argc, argv, tests);
}
