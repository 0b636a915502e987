/* Guards the contract's allowance over a fleet of real processes: a small
 * contract that is refused at nodes without a part of it, and nodes that
 * together admit more than the contract. */
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
start(harness_t *harness, double rate)
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
ask(harness_t *harness, int node)
{
	const char *headers[] = {"Authorization: Bearer " KEY, NULL};
	http_reply_t result = harness_http("POST", harness->nodes[node].caller,
	    "/v1/query/motif-gallery", headers, "leaf", 2000);
	int status = result.status;

	http_reply_clear(&result);
	return status;
}

/* Without tokens that move on demand only the node that owns the contract's
 * single part answers; the others refuse every request. */
static void
small_contract_is_served_by_every_node(void **state)
{
	harness_t *harness = *state;
	int answered[NODES] = {0};
	usec_t next;

	start(harness, 5);
	/* The contract's bucket is empty when the tier has just started. */
	while (ask(harness, 0) != 200)
		;
	next = clock_monotonic();
	for (int i = 0; i < 4 * NODES; i++) {
		/* Below the rate: one request every 250 ms. */
		next = MAX(next + MS(250), clock_monotonic());
		g_usleep((gulong)MAX(next - clock_monotonic(), 1));
		answered[i % NODES] += ask(harness, i % NODES) == 200;
	}
	for (int node = 0; node < NODES; node++)
		assert_int_equal(answered[node], 4);
}

static void
fleet_stays_within_the_contract(void **state)
{
	harness_t *harness = *state;
	const double rate = 20;
	usec_t begin, elapsed;
	int answered = 0, refused = 0;

	start(harness, rate);
	begin = clock_monotonic();
	do {
		int status = ask(harness, (answered + refused) % NODES);

		assert_true(status == 200 || status == 429);
		answered += status == 200;
		refused += status == 429;
		elapsed = clock_monotonic() - begin;
	} while (elapsed < SECONDS(4));
	/* The burst of 20 a second is 2; buckets may be full at the start. */
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
