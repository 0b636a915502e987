/* Tests tokens that move between nodes on demand. Failures guarded against: a
 * token that is used twice, a peer's token taken although a waiting request of
 * that peer needs it, tokens that do not expire, and a request that waits for
 * peers that have no tokens. */
#include "lib/runner.h"

#include <glib.h>
#include <stdlib.h>

#include "bulrushwell/admission.h"
#include "bulrushwell/error.h"

#define CUSTOMER "al-harthi"
#define NODES 3

static admission_t *
make_node(double rate, usec_t now)
{
	admission_t *admission = admission_create();

	admission_set_allowance(admission, CUSTOMER, 0, 10, now);
	admission_set_allowance(admission, CUSTOMER, rate, 10, now);
	admission_set_peers_available(admission, true);
	return admission;
}

static int
offer(admission_t *admission, uint64_t tag, usec_t now)
{
	return admission_offer(
	    admission, CUSTOMER, tag, now + MS(200), MS(10), now);
}

/* Takes the next action, which must be for the request @tag. Returns 0 when it
 * is admitted, the error when it is refused, and 1 without an action. */
static int
next_error(admission_t *admission, uint64_t tag)
{
	admission_action_t action;

	if (!admission_next_action(admission, &action))
		return 1;
	assert_int_equal(action.tag, tag);
	return action.kind == ADMISSION_ADMIT ? 0 : action.error;
}

static void
request_without_token_waits_for_a_peer(void **state)
{
	admission_t *node = make_node(0, 0);

	assert_int_equal(offer(node, 1, MS(5)), 1);
	assert_int_equal(
	    admission_count_without_token(node, CUSTOMER, MS(5)), 1);
	admission_add_tokens(node, CUSTOMER, 1, MS(7));
	assert_int_equal(next_error(node, 1), 0);
	assert_int_equal(
	    admission_count_without_token(node, CUSTOMER, MS(7)), 0);
	assert_int_equal(offer(node, 2, MS(8)), 1);
	admission_refuse_without_token(node, CUSTOMER, MS(9));
	assert_int_equal(next_error(node, 2), BW_E_RATE);
	assert_int_equal(offer(node, 3, MS(10)), 1);
	admission_tick(node, MS(10 + 95));
	assert_int_equal(next_error(node, 3), 1);
	admission_tick(node, MS(10 + 96));
	assert_int_equal(next_error(node, 3), BW_E_RATE);
	admission_destroy(node);
}

static void
tokens_are_taken_once_and_forgotten(void **state)
{
	admission_t *node = make_node(20, 0);

	/* A rate of 20 per second has a burst of 2, full after 100 ms. */
	assert_int_equal(admission_take_tokens(node, CUSTOMER, 5, MS(200)), 2);
	assert_int_equal(admission_take_tokens(node, CUSTOMER, 5, MS(200)), 0);
	admission_add_tokens(node, CUSTOMER, 1, MS(200));
	/* A token received from a peer is not passed on. */
	assert_int_equal(admission_take_tokens(node, CUSTOMER, 5, MS(201)), 0);
	assert_int_equal(offer(node, 1, MS(201)), 0);
	admission_add_tokens(node, CUSTOMER, 1, MS(201));
	admission_take_tokens(node, CUSTOMER, 5, MS(501));
	assert_int_equal(offer(node, 2, MS(501)), 1);
	admission_destroy(node);
}

/* A token that is reserved for a waiting request is not given to a peer. */
static void
waiting_requests_keep_their_tokens(void **state)
{
	admission_t *node = make_node(20, 0);

	admission_set_allowance(node, CUSTOMER, 20, 1, MS(100));
	assert_int_equal(offer(node, 1, MS(150)), 0);
	assert_int_equal(offer(node, 2, MS(200)), 1);
	assert_int_equal(admission_take_tokens(node, CUSTOMER, 5, MS(200)), 1);
	admission_release(node, CUSTOMER, MS(201));
	assert_int_equal(next_error(node, 2), 0);
	admission_destroy(node);
}

typedef struct {
	admission_t *nodes[NODES];
	uint32_t running[NODES];
	uint32_t admitted;
	uint64_t last_tag;
} fleet_t;

static void
count_admitted(fleet_t *fleet, int position)
{
	admission_action_t action;

	while (admission_next_action(fleet->nodes[position], &action))
		if (action.kind == ADMISSION_ADMIT) {
			fleet->admitted++;
			fleet->running[position]++;
		}
}

static void
step(fleet_t *fleet, GRand *random, usec_t now)
{
	int position = g_rand_int_range(random, 0, NODES);
	int peer = g_rand_int_range(random, 0, NODES);
	admission_t *node = fleet->nodes[position];
	uint32_t lacking, taken;

	if (offer(node, ++fleet->last_tag, now) == 0) {
		fleet->admitted++;
		fleet->running[position]++;
	}
	lacking = admission_count_without_token(node, CUSTOMER, now);
	if (lacking > 0 && peer != position) {
		taken = admission_take_tokens(
		    fleet->nodes[peer], CUSTOMER, lacking, now);
		/* One message in ten is lost; its tokens are gone. */
		if (g_rand_int_range(random, 0, 10) > 0)
			admission_add_tokens(node, CUSTOMER, taken, now);
	}
	admission_tick(node, now);
	count_admitted(fleet, position);
	count_admitted(fleet, peer);
	while (fleet->running[position] > 0) {
		fleet->running[position]--;
		admission_release(node, CUSTOMER, now);
	}
	count_admitted(fleet, position);
}

/* However tokens move, all nodes together admit no more than the rate and the
 * bursts allow. */
static void
fleet_never_exceeds_the_rate(void **state)
{
	const double rates[NODES] = {40, 10, 0};
	const double total = 50, bursts = 4 + 1;

	for (uint32_t seed = 1; seed <= 20; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		fleet_t fleet = {0};
		usec_t now = 0;

		for (int i = 0; i < NODES; i++)
			fleet.nodes[i] = make_node(rates[i], 0);
		for (int i = 0; i < 5000; i++) {
			now += g_rand_int_range(random, 100, 4000);
			step(&fleet, random, now);
			assert_true(fleet.admitted <=
			    total * (double)now / USEC_PER_SEC + bursts +
				0.001);
		}
		assert_true(
		    fleet.admitted > 0.8 * total * (double)now / USEC_PER_SEC);
		for (int i = 0; i < NODES; i++)
			admission_destroy(fleet.nodes[i]);
		g_rand_free(random);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(request_without_token_waits_for_a_peer),
	    cmocka_unit_test(tokens_are_taken_once_and_forgotten),
	    cmocka_unit_test(waiting_requests_keep_their_tokens),
	    cmocka_unit_test(fleet_never_exceeds_the_rate),
	};

	return RUN_TESTS(argc, argv, tests);
}
