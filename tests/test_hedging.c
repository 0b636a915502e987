/* Guards the retry budget against copies that are sent because this VM is slow:
 * it stalls or its link is congested. Each pattern is also replayed with the
 * decision that was replaced, which sent a copy of each late attempt. */
#include "lib/runner.h"

#include <glib.h>
#include <math.h>

#include "../source/gateway/hedging.h"

#define QUERIES 4000
#define SHARDS 9
#define TYPICAL_MS 5.0
#define LATE_MS 10.0 /* after which an attempt counts as late */
#define SPREAD 0.25  /* of the logarithm of a duration */
#define STALL_MS 40.0

typedef struct {
	const char *name;
	double stalled_share;	/* of queries: this process stalls */
	double congested_share; /* of queries: the link of this VM is full */
	double slow_share;	/* of attempts: the server is slow */
	double max_copies;	/* a sub-request, for healthy servers */
	double min_slow_copied; /* share of attempts on slow servers */
} pattern_t;

static const pattern_t patterns[] = {
    {"a process that stalls", 0.1, 0.0, 0.0, 0.01, 0.0},
    {"a congested link", 0.0, 0.1, 0.0, 0.01, 0.0},
    {"slow servers", 0.0, 0.0, 0.15, 0.01, 0.95},
    {"slow servers and a congested link", 0.0, 0.1, 0.15, 0.01, 0.85},
};

typedef struct {
	double copies;	    /* of attempts on healthy servers, of all */
	double slow_copied; /* of attempts on slow servers */
} outcome_t;

static double
random_duration(GRand *random)
{
	double sum = -6.0;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(random);
	return TYPICAL_MS * exp(SPREAD * sum);
}

static outcome_t
replay(const pattern_t *pattern, bool always)
{
	GRand *random = g_rand_new_with_seed(1);
	uint32_t copies = 0, slow = 0, slow_copied = 0;

	for (int i = 0; i < QUERIES; i++) {
		bool stalled = g_rand_double(random) < pattern->stalled_share;
		bool congested =
		    g_rand_double(random) < pattern->congested_share;
		bool is_slow[SHARDS], is_late[SHARDS];
		hedge_state_t state = {.shards = SHARDS,
		    .timer_delay = stalled ? MS(STALL_MS) : MS(1)};

		for (int j = 0; j < SHARDS; j++) {
			double duration = random_duration(random);

			is_slow[j] =
			    g_rand_double(random) < pattern->slow_share;
			if (is_slow[j])
				duration *= 10;
			if (congested || stalled)
				duration += STALL_MS;
			is_late[j] = duration > LATE_MS;
			state.late += is_late[j];
			slow += is_slow[j];
		}
		if (!always && hedging_holds_back(&state))
			continue;
		for (int j = 0; j < SHARDS; j++) {
			copies += is_late[j] && !is_slow[j];
			slow_copied += is_late[j] && is_slow[j];
		}
	}
	g_rand_free(random);
	return (outcome_t){(double)copies / (QUERIES * SHARDS),
	    slow > 0 ? (double)slow_copied / slow : 1.0};
}

static void
a_slow_vm_sends_no_copies(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
		const pattern_t *pattern = &patterns[i];
		outcome_t outcome = replay(pattern, false);
		outcome_t before = replay(pattern, true);

		print_message("%s: %.3f copies, %.2f of slow ones copied; "
			      "before %.3f, %.2f\n",
		    pattern->name, outcome.copies, outcome.slow_copied,
		    before.copies, before.slow_copied);
		assert_true(outcome.copies <= pattern->max_copies);
		assert_true(outcome.slow_copied >= pattern->min_slow_copied);
		if (pattern->stalled_share + pattern->congested_share > 0.0)
			assert_true(before.copies > pattern->max_copies);
	}
}

static void
few_shards_are_not_compared(void **state)
{
	static const struct {
		hedge_state_t state;
		bool holds_back;
	} cases[] = {
	    {{1, 1, 0}, false},
	    {{3, 3, 0}, false},
	    {{4, 2, 0}, false},
	    {{4, 3, 0}, true},
	    {{90, 45, 0}, false},
	    {{90, 46, 0}, true},
	    {{1, 1, MS(5)}, false},
	    {{1, 1, MS(6)}, true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		if (hedging_holds_back(&cases[i].state) != cases[i].holds_back)
			fail_msg("case %zu", i);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_slow_vm_sends_no_copies),
	    cmocka_unit_test(few_shards_are_not_compared),
	};

	return RUN_TESTS(argc, argv, tests);
}
