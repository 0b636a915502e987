/* Guards placement, hedging, the retry budget and the query limit against
 * pausing, slow, refusing and silent servers and overload. Each load pattern is
 * also simulated with a simpler policy, the baseline, which must do worse. */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>

#include "lib/load_model.h"

#define SEEDS 3
#define MIN_SCORE 0.95		/* if the servers can serve the load */
#define MIN_SCORE_PAUSES 0.98	/* 99 in 100 in time, squared */
#define MIN_SCORE_REFUSING 0.70 /* if many servers refuse requests */
#define MIN_USEFUL_RATIO 0.95	/* useful answers under overload */
#define MAX_EXTRA_RATIO 0.25	/* budget ratio of 0.2, and the slack */

typedef struct {
	const char *name;
	load_pattern_t pattern;
	load_policy_t baseline_policy; /* a simpler policy */
	double min_score;	       /* the baseline must stay below it */
} load_case_t;

static const load_case_t load_cases[] = {
    {"pauses, without hedges",
	{.queries_per_s = 180,
	    .work_ms = 7,
	    .target_latency_ms = 68,
	    .pause_ms = 100,
	    .pause_interval_ms = 2400},
	LOAD_NO_HEDGES, MIN_SCORE_PAUSES},
    {"pauses, round robin",
	{.queries_per_s = 180,
	    .work_ms = 7,
	    .target_latency_ms = 68,
	    .pause_ms = 100,
	    .pause_interval_ms = 2400},
	LOAD_ROUND_ROBIN, MIN_SCORE_PAUSES},
    {"slow servers",
	{.queries_per_s = 150,
	    .work_ms = 7,
	    .target_latency_ms = 68,
	    .slow_share = 0.2,
	    .slow_factor = 8},
	LOAD_ROUND_ROBIN, MIN_SCORE},
    {"refusing servers",
	{.queries_per_s = 150,
	    .work_ms = 7,
	    .target_latency_ms = 68,
	    .refusing_share = 0.55,
	    .refusal_probability = 0.45},
	LOAD_ROUND_ROBIN, MIN_SCORE_REFUSING},
    {"silent servers",
	{.queries_per_s = 150,
	    .work_ms = 7,
	    .target_latency_ms = 68,
	    .silent_share = 0.1},
	LOAD_ROUND_ROBIN, MIN_SCORE},
};

/* @extra_ratio: set to the greatest ratio of all seeds */
static double
mean_score(
    const load_pattern_t *pattern, load_policy_t policy, double *extra_ratio)
{
	double score = 0.0;

	*extra_ratio = 0.0;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		load_pattern_t seeded = *pattern;
		load_model_result_t result;

		seeded.seed = seed;
		result = load_model_run(&seeded, policy);
		assert_true(result.queries > 1000);
		score += result.score / SEEDS;
		*extra_ratio = MAX(*extra_ratio, result.extra_ratio);
	}
	return score;
}

static void
callers_are_served_better_than_by_simpler_policies(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
		const load_case_t *load_case = &load_cases[i];
		double extra_ratio, ignored;
		double score = mean_score(
		    &load_case->pattern, LOAD_GATEWAY_POLICY, &extra_ratio);
		double baseline_score = mean_score(
		    &load_case->pattern, load_case->baseline_policy, &ignored);

		print_message("%s: score %.3f, extra attempts %.3f; baseline "
			      "policy %.3f\n",
		    load_case->name, score, extra_ratio, baseline_score);
		if (score < load_case->min_score)
			fail_msg("%s: score %.3f", load_case->name, score);
		if (baseline_score >= load_case->min_score)
			fail_msg("%s: the baseline policy scores %.3f",
			    load_case->name, baseline_score);
		if (extra_ratio > MAX_EXTRA_RATIO)
			fail_msg("%s: extra attempts %.3f", load_case->name,
			    extra_ratio);
	}
}

/*
 * A pause of a server must not keep a node away from it for longer. The slots
 * of the servers suffice here, so the attempts that leave the data centre are
 * the copies of late ones and those sent during a pause.
 */
static void
pauses_send_little_to_other_data_centres(void **state)
{
	const load_pattern_t pattern = {.queries_per_s = 60,
	    .work_ms = 7,
	    .target_latency_ms = 68,
	    .pause_ms = 100,
	    .pause_interval_ms = 2400,
	    .seed = 1};
	double pause_share =
	    (double)pattern.pause_ms / pattern.pause_interval_ms;
	load_model_result_t result =
	    load_model_run(&pattern, LOAD_GATEWAY_POLICY);

	print_message("%.3f of the attempts go to other data centres, %.3f are "
		      "copies\n",
	    result.remote_ratio, result.extra_ratio);
	assert_true(result.remote_ratio < pause_share + result.extra_ratio);
	assert_true(result.extra_ratio < MAX_EXTRA_RATIO);
}

/* Without the budget, hedges would overload servers that refuse requests. */
static void
the_budget_bounds_extra_requests(void **state)
{
	const load_pattern_t pattern = {.queries_per_s = 300,
	    .work_ms = 7,
	    .target_latency_ms = 68,
	    .refusing_share = 1.0,
	    .refusal_probability = 0.6};
	double extra_ratio, unlimited_extra_ratio;

	mean_score(&pattern, LOAD_GATEWAY_POLICY, &extra_ratio);
	mean_score(&pattern, LOAD_UNLIMITED_HEDGES, &unlimited_extra_ratio);
	assert_true(extra_ratio <= MAX_EXTRA_RATIO);
	assert_true(unlimited_extra_ratio > MAX_EXTRA_RATIO);
}

static double
useful_per_s(double queries_per_s, load_policy_t policy)
{
	load_pattern_t pattern = {.queries_per_s = queries_per_s,
	    .work_ms = 7,
	    .target_latency_ms = 68,
	    .seed = 1};

	return load_model_run(&pattern, policy).useful_per_s;
}

/* Three times the load of the best throughput must not lower it much. */
static void
overload_takes_no_useful_answers_away(void **state)
{
	static const double rates[] = {300, 400, 500, 600, 700};
	double best_useful = 0.0, best_rate = 0.0, limited, unlimited;

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		double useful = useful_per_s(rates[i], LOAD_GATEWAY_POLICY);

		if (useful > best_useful) {
			best_useful = useful;
			best_rate = rates[i];
		}
	}
	limited = useful_per_s(3 * best_rate, LOAD_GATEWAY_POLICY);
	unlimited = useful_per_s(3 * best_rate, LOAD_NO_QUERY_LIMIT);
	print_message(
	    "best throughput %.0f/s at %.0f/s; at three times the load "
	    "%.0f/s, without a limit %.0f/s\n",
	    best_useful, best_rate, limited, unlimited);
	assert_true(limited >= MIN_USEFUL_RATIO * best_useful);
	assert_true(unlimited < MIN_USEFUL_RATIO * best_useful);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		callers_are_served_better_than_by_simpler_policies),
	    cmocka_unit_test(pauses_send_little_to_other_data_centres),
	    cmocka_unit_test(the_budget_bounds_extra_requests),
	    cmocka_unit_test(overload_takes_no_useful_answers_away),
	};

	return RUN_TESTS(argc, argv, tests);
}
