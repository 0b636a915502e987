/* Guards the suspect list against counting a crash twice that is reported
 * twice, requests that are never refused or never cleared, growth without bound
 * and equal fingerprints of different requests. */
#include "lib/runner.h"

#include <stdbool.h>

#include "bulrushwell/suspect.h"

typedef enum { CRASH, ANSWER, VERDICT, RETRY } op_t;

typedef struct {
	op_t op;
	int at; /* s */
	uint64_t fingerprint;
	uint64_t number;
	int expect; /* CRASH: is new; VERDICT: verdict; RETRY: s */
} step_t;

static const struct {
	const char *name;
	step_t steps[12];
	int count;
} cases[] = {
    {"one crash: runs alone, an answer clears it",
	{{VERDICT, 1, 7, 0, SUSPECT_CLEAR}, {CRASH, 1, 7, 1, true},
	    {VERDICT, 1, 7, 0, SUSPECT_ALONE},
	    {VERDICT, 1, 8, 0, SUSPECT_CLEAR}, {RETRY, 1, 7, 0, 0},
	    {ANSWER, 2, 7, 0, 0}, {VERDICT, 2, 7, 0, SUSPECT_CLEAR}},
	7},
    {"one crash with several reports counts once",
	{{CRASH, 1, 7, 1, true}, {CRASH, 1, 7, 1, false},
	    {CRASH, 2, 7, 1, false}, {VERDICT, 2, 7, 0, SUSPECT_ALONE}},
	4},
    {"refused for a while after the second crash, then alone again",
	{{CRASH, 1, 7, 1, true}, {CRASH, 2, 7, 2, true},
	    {VERDICT, 2, 7, 0, SUSPECT_REFUSED}, {RETRY, 2, 7, 0, 62},
	    {VERDICT, 61, 7, 0, SUSPECT_REFUSED},
	    {VERDICT, 62, 7, 0, SUSPECT_ALONE}, {RETRY, 62, 7, 0, 0},
	    {CRASH, 63, 7, 3, true}, {VERDICT, 63, 7, 0, SUSPECT_REFUSED},
	    {ANSWER, 200, 7, 0, 0}, {VERDICT, 200, 7, 0, SUSPECT_CLEAR}},
	11},
    {"an answer does not clear a request refused by reports of peers",
	{{CRASH, 1, 7, 1, true}, {CRASH, 2, 7, 2, true}, {ANSWER, 3, 7, 0, 0},
	    {VERDICT, 3, 7, 0, SUSPECT_REFUSED}},
	4},
    {"several servers that crash at once, or copies on one, count once",
	{{CRASH, 1, 7, 1, true}, {CRASH, 1, 7, 1, false},
	    {CRASH, 3, 7, 1, false}, {VERDICT, 3, 7, 0, SUSPECT_ALONE},
	    {ANSWER, 4, 7, 0, 0}, {CRASH, 5, 7, 1, true},
	    {VERDICT, 5, 7, 0, SUSPECT_ALONE}},
	7},
    {"the second crash may be known before the first",
	{{CRASH, 1, 7, 2, true}, {CRASH, 1, 7, 1, false},
	    {VERDICT, 1, 7, 0, SUSPECT_REFUSED}},
	3},
    {"sent when it was known, reported after an answer had cleared it",
	{{CRASH, 1, 7, 1, true}, {ANSWER, 2, 7, 0, 0}, {CRASH, 3, 7, 2, true},
	    {VERDICT, 3, 7, 0, SUSPECT_REFUSED}},
	4},
    {"numbers that no node can have reached count as the first",
	{{CRASH, 1, 7, UINT64_MAX, true}, {CRASH, 1, 7, 0, false},
	    {VERDICT, 1, 7, 0, SUSPECT_ALONE}},
	3},
    {"late reports of known crashes do not count",
	{{CRASH, 1, 7, 1, true}, {CRASH, 2, 7, 2, true},
	    {CRASH, 50, 7, 1, false}, {CRASH, 50, 7, 2, false},
	    {VERDICT, 62, 7, 0, SUSPECT_ALONE}},
	5},
};

static void
run_step(suspect_list_t *list, const step_t *step)
{
	usec_t now = SECONDS(step->at);

	switch (step->op) {
	case CRASH:
		assert_int_equal(suspect_record_crash(list, step->fingerprint,
				     step->number, now),
		    step->expect);
		break;
	case ANSWER:
		suspect_record_answer(list, step->fingerprint, now);
		break;
	case VERDICT:
		assert_int_equal(suspect_verdict(list, step->fingerprint, now),
		    step->expect);
		break;
	case RETRY:
		assert_int_equal(suspect_retry_at(list, step->fingerprint, now),
		    SECONDS(step->expect));
		break;
	}
}

static void
verdicts_follow_crashes(void **state)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		suspect_list_t *list = suspect_list_create();

		print_message("  %s\n", cases[i].name);
		for (int j = 0; j < cases[i].count; j++)
			run_step(list, &cases[i].steps[j]);
		suspect_list_destroy(list);
	}
}

/* Crashes on one node, in the order in which they are confirmed. */
static void
a_retry_that_crashes_too_counts_twice(void **state)
{
	static const struct {
		const char *name;
		suspect_crash_t crashes[3];
		uint64_t reported[3]; /* numbers told to peers */
		suspect_verdict_t verdict;
	} late_cases[] = {
	    {"copies on one server, or on several that crash at once",
		{{1, false}, {1, false}, {1, false}}, {1, 0, 0}, SUSPECT_ALONE},
	    {"sent again after a loss that was no crash",
		{{1, true}, {1, true}}, {1, 0, 0}, SUSPECT_ALONE},
	    {"sent again after the loss", {{1, false}, {1, true}}, {1, 2, 0},
		SUSPECT_REFUSED},
	    {"the retry's crash is confirmed first", {{1, true}, {1, false}},
		{1, 2, 0}, SUSPECT_REFUSED},
	    {"sent when the first crash was known", {{1, false}, {2, false}},
		{1, 2, 0}, SUSPECT_REFUSED},
	};

	for (size_t i = 0; i < sizeof(late_cases) / sizeof(late_cases[0]);
	     i++) {
		suspect_list_t *list = suspect_list_create();

		print_message("  %s\n", late_cases[i].name);
		for (int j = 0; j < 3 && late_cases[i].crashes[j].number > 0;
		     j++)
			assert_int_equal(suspect_record_late_crash(list, 7,
					     &late_cases[i].crashes[j], 100),
			    late_cases[i].reported[j]);
		assert_int_equal(
		    suspect_verdict(list, 7, 100), late_cases[i].verdict);
		suspect_list_destroy(list);
	}
}

static void
the_oldest_is_dropped(void **state)
{
	suspect_list_t *list = suspect_list_create();

	for (uint64_t i = 1; i <= SUSPECT_MAX; i++)
		suspect_record_crash(list, i, 1, 1);
	suspect_record_crash(list, 1, 2, 2);
	suspect_record_crash(list, SUSPECT_MAX + 1, 1, 3);
	assert_int_equal(suspect_next_crash(list, 1), 3);
	assert_int_equal(suspect_next_crash(list, 2), 1);
	assert_int_equal(suspect_verdict(list, 1, 3), SUSPECT_REFUSED);
	assert_int_equal(suspect_verdict(list, 2, 3), SUSPECT_CLEAR);
	assert_int_equal(suspect_verdict(list, 3, 3), SUSPECT_ALONE);
	suspect_list_destroy(list);
}

static void
fingerprints_are_distinct_and_stable(void **state)
{
	static const char *parts[][4] = {{"c", "POST", "/shard/1", "x"},
	    {"cP", "OST", "/shard/1", "x"}, {"c", "POST", "/shard/1x", ""},
	    {"c", "POST", "/shard/2", "x"}, {"d", "POST", "/shard/1", "x"},
	    {"c", "POST", "/shard/1", "y"}, {"c", "GET", "/shard/1", "x"}};
	uint64_t seen[7];

	for (int i = 0; i < 7; i++) {
		seen[i] = suspect_fingerprint(parts[i][0], parts[i][1],
		    parts[i][2], slice_from(parts[i][3]));
		for (int j = 0; j < i; j++)
			assert_true(seen[i] != seen[j]);
	}
	/* Nodes of different builds must agree. */
	assert_true(seen[0] == UINT64_C(0xc8b92be2746d8791));
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(verdicts_follow_crashes),
	    cmocka_unit_test(a_retry_that_crashes_too_counts_twice),
	    cmocka_unit_test(the_oldest_is_dropped),
	    cmocka_unit_test(fingerprints_are_distinct_and_stable),
	};

	return RUN_TESTS(argc, argv, tests);
}
