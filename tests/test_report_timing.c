/* Guards the time at which a serving node reports: replays the ways, timers and
 * processor delays of small and of busy VMs, and counts the reports that arrive
 * before the soft deadline of the receiving node. Uses no processes. */
#include "lib/runner.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>

#include "../source/gateway/report_timing.h"
#include "lib/random.h"

#define REPORTS 2000
#define LEARNING 100 /* reports that may be late before the way is known */
#define MIN_IN_TIME 0.9
#define MIN_TIME_FOR_SHARDS 0.5 /* of the time until the soft deadline */

/* What a report takes from the request on, beside its allowance. */
typedef struct {
	const char *name;
	usec_t left;	    /* until the soft deadline */
	usec_t way;	    /* there and back */
	usec_t processing;  /* mean; exponentially distributed */
	double stall_share; /* of the reports meet a stall of a VM */
	usec_t stall;
} way_case_t;

static const way_case_t way_cases[] = {
    {"a fast VM", MS(60), 300, 100, 0.0, 0},
    {"a small VM", MS(60), 300, 1000, 0.02, MS(20)},
    {"a short target on a small VM", MS(35), 300, 1000, 0.02, MS(20)},
    {"a busy VM", MS(60), 500, 5000, 0.02, MS(20)},
    {"a long target", SECONDS(1), 500, 3000, 0.02, MS(100)},
};

static double
random_unit(random_t *random)
{
	return (random_below(random, 1u << 24) + 0.5) / (double)(1u << 24);
}

static usec_t
random_overhead(const way_case_t *way, random_t *random)
{
	usec_t overhead =
	    way->way + (usec_t)(-log(random_unit(random)) * way->processing);

	if (random_unit(random) < way->stall_share)
		overhead += way->stall;
	return overhead;
}

/* Return: the share of the reports that arrive in time. */
static double
replay(const way_case_t *way)
{
	report_timing_t *timing = report_timing_create();
	random_t random = {1};
	int in_time = 0;

	for (int i = 0; i < REPORTS; i++) {
		usec_t allowance = report_timing_allowance(timing, way->left);
		usec_t overhead = random_overhead(way, &random);

		assert_true((double)allowance >=
		    MIN_TIME_FOR_SHARDS * (double)way->left);
		report_timing_record(timing, overhead);
		if (i >= LEARNING)
			in_time += allowance + overhead <= way->left;
	}
	report_timing_destroy(timing);
	return (double)in_time / (REPORTS - LEARNING);
}

/* The decision before: a millisecond for the way back. */
static double
replay_constant(const way_case_t *way)
{
	random_t random = {1};
	int in_time = 0;

	for (int i = 0; i < REPORTS; i++)
		in_time += random_overhead(way, &random) <= MS(1);
	return (double)in_time / REPORTS;
}

static void
reports_arrive_before_the_soft_deadline(void **state)
{
	bool constant_fails = false;

	for (size_t i = 0; i < sizeof(way_cases) / sizeof(way_cases[0]); i++) {
		const way_case_t *way = &way_cases[i];
		double in_time = replay(way);

		print_message("%s: %.3f in time, %.3f with a constant\n",
		    way->name, in_time, replay_constant(way));
		if (in_time < MIN_IN_TIME)
			fail_msg("%s: %.3f in time", way->name, in_time);
		constant_fails |= replay_constant(way) < MIN_IN_TIME;
	}
	assert_true(constant_fails);
}

/* However long the way is, and when the soft deadline has passed. */
static void
shards_keep_time(void **state)
{
	report_timing_t *timing = report_timing_create();

	for (int i = 0; i < REPORTS; i++)
		report_timing_record(timing, SECONDS(5));
	assert_int_equal(report_timing_allowance(timing, MS(60)), MS(30));
	assert_int_equal(report_timing_allowance(timing, 0), 0);
	assert_int_equal(report_timing_allowance(timing, -MS(5)), 0);
	report_timing_destroy(timing);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(reports_arrive_before_the_soft_deadline),
	    cmocka_unit_test(shards_keep_time),
	};

	return RUN_TESTS(argc, argv, tests);
}
