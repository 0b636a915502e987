/* Guards the soft deadline of fan-outs against responses that arrive after the
 * target latency, or much before it, at near and far clients, slow and fast VMs
 * and small and large fan-outs. */
#include "lib/runner.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

#include "../source/gateway/client_timing.h"

#define REQUESTS 4000
#define WARM_UP_REQUESTS 200 /* not counted */
#define MIN_IN_TIME 0.99     /* share of the responses within the target */
/* Unused part of the target latency: a mean above it leaves shards out. */
#define MAX_UNUSED_RATIO 0.15
#define STAMP_BYTES 30 /* of each shard in the head of a response */
#define HEAD_BYTES 200
#define CORE_US_PER_EVENT 40.0 /* work for each event, on a whole core */
#define NEW_CONNECTION_SHARE 0.2
#define WAIT_MS 400

typedef struct {
	int one_way_ms; /* to the client */
	double cores;
	double link_mbps;
	int shards;
	int target_ms;
} timing_case_t;

static const timing_case_t cases[] = {
    {1, 0.12, 32, 15, 40},
    {1, 0.5, 200, 15, 40},
    {3, 0.12, 32, 15, 40},
    {3, 0.12, 32, 135, 40},
    {3, 0.5, 200, 135, 40},
    {3, 0.12, 32, 135, 80},
    {12, 0.12, 32, 135, 80},
    {12, 0.5, 200, 15, 80},
    {12, 0.5, 200, 135, 200},
};

/* A timer is late by the events that the process handles before it. */
static usec_t
random_delay(GRand *random, const timing_case_t *timing_case)
{
	double events = -log(1.0 - g_rand_double(random)) * 2.0 + 1.0;

	return (usec_t)(events * CORE_US_PER_EVENT / timing_case->cores);
}

/* The constants that were used before: a part of the target latency, and a time
 * for a client with a new connection. */
static usec_t
constant_allowance(const timing_case_t *timing_case, bool first)
{
	usec_t target = MS(timing_case->target_ms);

	return target - MS(4) - target / 10 - (first ? MS(6) : 0);
}

typedef struct {
	double in_time;
	double unused_ratio;
} outcome_t;

static outcome_t
replay(const timing_case_t *timing_case, bool constant)
{
	client_timing_t *timing = client_timing_create(timing_case->link_mbps);
	GRand *random = g_rand_new_with_seed(1);
	wait_history_t history = {0};
	usec_t target = MS(timing_case->target_ms);
	usec_t one_way = MS(timing_case->one_way_ms);
	size_t bytes = HEAD_BYTES + (size_t)(STAMP_BYTES * timing_case->shards);
	outcome_t outcome = {0};

	for (int i = 0; i < REQUESTS; i++) {
		bool first = g_rand_double(random) < NEW_CONNECTION_SHARE;
		usec_t connect = first ? 2 * one_way : 0;
		usec_t wait = (MS(WAIT_MS) - connect) / MS(1) * MS(1);
		usec_t delay = random_delay(random, timing_case);
		client_request_t request = {
		    .target_latency = target,
		    .round_trip = 2 * one_way,
		    .time_spent = wait_history_time_spent(&history, wait),
		    .response_bytes = bytes,
		};
		usec_t allowance = constant
		    ? constant_allowance(timing_case, first)
		    : client_timing_allowance(timing, &request);
		usec_t latency = connect + one_way + allowance + delay +
		    (usec_t)((double)bytes * 8 / timing_case->link_mbps) +
		    one_way;

		client_timing_record_delay(timing, delay);
		if (i < WARM_UP_REQUESTS)
			continue;
		outcome.in_time += latency <= target;
		outcome.unused_ratio +=
		    (double)(target - latency) / (double)target;
	}
	outcome.in_time /= REQUESTS - WARM_UP_REQUESTS;
	outcome.unused_ratio /= REQUESTS - WARM_UP_REQUESTS;
	g_rand_free(random);
	client_timing_destroy(timing);
	return outcome;
}

static void
responses_arrive_within_the_target(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		outcome_t outcome = replay(&cases[i], false);
		outcome_t before = replay(&cases[i], true);

		print_message("client at %d ms, %.2f cores, %d shards, target "
			      "%d ms: %.4f in time, %.3f unused; with "
			      "constants %.4f, %.3f\n",
		    cases[i].one_way_ms, cases[i].cores, cases[i].shards,
		    cases[i].target_ms, outcome.in_time, outcome.unused_ratio,
		    before.in_time, before.unused_ratio);
		assert_true(outcome.in_time >= MIN_IN_TIME);
		assert_true(outcome.unused_ratio <= MAX_UNUSED_RATIO);
	}
}

/* The constants fail the same replay at some clients. */
static void
constants_do_not_suit_all_clients(void **state)
{
	int failed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		outcome_t outcome = replay(&cases[i], true);

		failed += outcome.in_time < MIN_IN_TIME ||
		    outcome.unused_ratio > MAX_UNUSED_RATIO;
	}
	assert_true(failed > 0);
}

static void
time_spent_follows_the_longest_wait(void **state)
{
	static const struct {
		int wait_ms;
		int repeat;   /* requests with this wait */
		int spent_ms; /* at the last of them */
	} steps[] = {
	    {393, 1, 0}, /* nothing else is known yet */
	    {400, 1, 0},
	    {393, 1, 7},
	    {180, 1, 220},
	    {400, 70, 0},
	    {300, 1, 100}, /* the clients have changed their wait */
	    {300, 64, 100},
	    {300, 128, 0},
	};
	wait_history_t history = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		usec_t spent = -1;

		for (int j = 0; j < steps[i].repeat; j++)
			spent = wait_history_time_spent(
			    &history, MS(steps[i].wait_ms));
		assert_int_equal(spent, MS(steps[i].spent_ms));
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(responses_arrive_within_the_target),
	    cmocka_unit_test(constants_do_not_suit_all_clients),
	    cmocka_unit_test(time_spent_follows_the_longest_wait),
	};

	return RUN_TESTS(argc, argv, tests);
}
