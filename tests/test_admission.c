/* Tests admission. Failures guarded against: a burst above the rate, a slot
 * given to a request that can't make its deadline, the wrong order, a refusal
 * later than necessary, and tokens created by moving an allowance back and
 * forth. */
#include "lib/runner.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/admission.h"
#include "bulrushwell/error.h"

#define MAX_STEPS 16

typedef struct {
	int at_ms;
	enum { END, SET, BEGIN, OFFER, FINISH, WITHDRAW, TICK } op;
	double rate;	 /* SET */
	int concurrency; /* SET */
	uint64_t tag;
	int deadline_ms;	  /* OFFER */
	int expected_duration_ms; /* OFFER */
} step_t;

#define ALLOWANCE(at, r, c)                          \
	{                                            \
		at, SET, .rate = r, .concurrency = c \
	}
#define FIRST_ALLOWANCE(at, r, c)                      \
	{                                              \
		at, BEGIN, .rate = r, .concurrency = c \
	}
#define REQUEST(at, tag, deadline, expected_duration)             \
	{                                                         \
		at, OFFER, 0, 0, tag, deadline, expected_duration \
	}
#define FINISHED(at)             \
	{                        \
		at, .op = FINISH \
	}
#define TICKED(at)             \
	{                      \
		at, .op = TICK \
	}
#define WITHDRAWN(at, withdrawn_tag)               \
	{                                          \
		at, WITHDRAW, .tag = withdrawn_tag \
	}

/* The trace has a word for each offer and action: "1+" when request 1 is
 * admitted, "1w" when it waits, and "1R", "1C", "1D" or "1X" when it is refused
 * for the rate, the concurrency, the deadline, or another reason. */
static const struct {
	const char *name;
	step_t steps[MAX_STEPS];
	const char *trace;
} cases[] = {
    {"a bucket starts empty",
	{ALLOWANCE(0, 10, 9), REQUEST(0, 1, 900, 0), REQUEST(99, 2, 900, 0),
	    REQUEST(100, 3, 900, 0), REQUEST(100, 4, 900, 0)},
	"1R 2R 3+ 4R "},
    {"a new customer's bucket is filled for the time the units were held",
	{FIRST_ALLOWANCE(100, 30, 9), REQUEST(100, 1, 900, 0),
	    REQUEST(100, 2, 900, 0), FIRST_ALLOWANCE(200, 900, 9),
	    REQUEST(200, 3, 900, 0), REQUEST(200, 4, 900, 0),
	    REQUEST(200, 5, 900, 0), REQUEST(200, 6, 900, 0)},
	"1+ 2R 3+ 4+ 5+ 6R "},
    {"the burst is the rate over a tenth of a second, at least one",
	{ALLOWANCE(0, 30, 9), REQUEST(5000, 1, 9000, 0),
	    REQUEST(5000, 2, 9000, 0), REQUEST(5000, 3, 9000, 0),
	    REQUEST(5000, 4, 9000, 0), ALLOWANCE(6000, 2, 9),
	    REQUEST(9000, 5, 9900, 0), REQUEST(9000, 6, 9900, 0)},
	"1+ 2+ 3+ 4R 5+ 6R "},
    {"nothing is admitted without a rate",
	{ALLOWANCE(0, 0, 9), REQUEST(1000, 1, 9000, 0)}, "1R "},
    {"unknown customer", {REQUEST(1000, 1, 9000, 0)}, "1R "},
    {"an allowance that moves back and forth creates no tokens",
	{ALLOWANCE(0, 10, 9), ALLOWANCE(1000, 0, 9), ALLOWANCE(1000, 10, 9),
	    REQUEST(1000, 1, 9000, 0), ALLOWANCE(1050, 100, 9),
	    ALLOWANCE(1050, 10, 9), REQUEST(1099, 2, 9000, 0),
	    REQUEST(1101, 3, 9000, 0)},
	"1R 2R 3+ "},
    {"a larger rate counts from its change",
	{ALLOWANCE(0, 10, 9), REQUEST(100, 1, 900, 0), ALLOWANCE(150, 100, 9),
	    REQUEST(154, 2, 900, 0), REQUEST(156, 3, 900, 0)},
	"1+ 2R 3+ "},
    {"a smaller rate counts since the last change",
	{ALLOWANCE(0, 100, 9), ALLOWANCE(1000, 20, 9),
	    REQUEST(1000, 1, 9000, 0), REQUEST(1000, 2, 9000, 0),
	    REQUEST(1000, 3, 9000, 0), ALLOWANCE(1000, 90, 9),
	    ALLOWANCE(1020, 10, 9), REQUEST(1060, 4, 9000, 0)},
	"1+ 2+ 3R 4R "},
    {"earliest deadline first",
	{ALLOWANCE(0, 100, 1), REQUEST(1000, 1, 9000, 10),
	    REQUEST(1000, 2, 3000, 10), REQUEST(1000, 3, 2000, 10),
	    REQUEST(1000, 4, 2500, 10), FINISHED(1001), FINISHED(1002),
	    FINISHED(1003)},
	"1+ 2w 3w 4w 3+ 4+ 2+ "},
    {"a free slot goes to the waiting request",
	{ALLOWANCE(0, 100, 1), REQUEST(1000, 1, 9000, 10),
	    REQUEST(1000, 2, 3000, 10), ALLOWANCE(1000, 100, 2),
	    REQUEST(1000, 3, 2000, 10)},
	"1+ 2w 2+ 3w "},
    {"refused at the last moment to start",
	{ALLOWANCE(0, 100, 1), REQUEST(1000, 1, 9000, 50),
	    REQUEST(1000, 2, 1200, 50), TICKED(1150), TICKED(1151),
	    FINISHED(1152)},
	"1+ 2w 2C "},
    {"a late request gets no slot",
	{ALLOWANCE(0, 100, 1), REQUEST(1000, 1, 9000, 50),
	    REQUEST(1000, 2, 1200, 50), FINISHED(1151),
	    REQUEST(1151, 3, 9000, 50)},
	"1+ 2w 2C 3+ "},
    {"refused when it arrives too late",
	{ALLOWANCE(0, 100, 9), REQUEST(1000, 1, 1049, 50),
	    REQUEST(1000, 2, 1050, 50)},
	"1D 2+ "},
    {"refused when the queue ahead is too long",
	{ALLOWANCE(0, 100, 2), REQUEST(1000, 1, 9000, 50),
	    REQUEST(1000, 2, 9000, 50), REQUEST(1000, 3, 1100, 50),
	    REQUEST(1000, 4, 1100, 50), REQUEST(1000, 5, 1100, 50),
	    REQUEST(1000, 6, 1080, 50), REQUEST(1000, 7, 1110, 50)},
	"1+ 2+ 3w 4w 5w 6w 7C "},
    {"a waiting request has a token reserved",
	{ALLOWANCE(0, 20, 1), REQUEST(1000, 1, 9000, 0),
	    REQUEST(1000, 2, 9000, 0), REQUEST(1000, 3, 9000, 0),
	    FINISHED(1000), FINISHED(1000), REQUEST(1000, 4, 9000, 0)},
	"1+ 2w 3R 2+ 4R "},
    {"a request without a token is admitted when the token is there",
	{ALLOWANCE(0, 20, 1), REQUEST(1000, 1, 9000, 0),
	    REQUEST(1000, 2, 9000, 0), ALLOWANCE(1000, 0, 1),
	    ALLOWANCE(1000, 10, 1), FINISHED(1000), TICKED(1099),
	    REQUEST(1099, 3, 9000, 0), TICKED(1100)},
	"1+ 2w 3R 2+ "},
    {"a withdrawn request is not admitted",
	{ALLOWANCE(0, 100, 1), REQUEST(1000, 1, 9000, 0),
	    REQUEST(1000, 2, 2000, 0), REQUEST(1000, 2, 2000, 0),
	    WITHDRAWN(1000, 2), WITHDRAWN(1000, 7), FINISHED(1001)},
	"1+ 2w 2X "},
};

static const char *
outcome(int result)
{
	switch (result) {
	case 0:
		return "+";
	case 1:
		return "w";
	case BW_E_RATE:
		return "R";
	case BW_E_CONCURRENCY:
		return "C";
	case BW_E_DEADLINE:
		return "D";
	default:
		return "X";
	}
}

static void
run_step(admission_t *admission, const step_t *step, GString *trace)
{
	admission_action_t action;
	usec_t now = MS(step->at_ms);

	switch (step->op) {
	case SET:
		admission_set_allowance(admission, "c", step->rate,
		    (uint32_t)step->concurrency, now);
		break;
	case BEGIN: /* with units held for 50 ms */
		admission_add_customer(admission, "c", step->rate,
		    (uint32_t)step->concurrency, now - MS(50), now);
		break;
	case OFFER:
		g_string_append_printf(trace, "%d%s ", (int)step->tag,
		    outcome(admission_offer(admission, "c", step->tag,
			MS(step->deadline_ms), MS(step->expected_duration_ms),
			now)));
		break;
	case FINISH:
		admission_release(admission, "c", now);
		break;
	case WITHDRAW:
		admission_cancel(admission, step->tag);
		break;
	case TICK:
		admission_tick(admission, now);
		break;
	case END:
		break;
	}
	while (admission_next_action(admission, &action))
		g_string_append_printf(
		    trace, "%d%s ", (int)action.tag, outcome(action.error));
}

static void
events_give_the_stated_decisions(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		admission_t *admission = admission_create();
		GString *trace = g_string_new(NULL);

		for (size_t k = 0; cases[i].steps[k].op != END; k++)
			run_step(admission, &cases[i].steps[k], trace);
		if (strcmp(trace->str, cases[i].trace) != 0)
			fail_msg("%s: \"%s\" instead of \"%s\"", cases[i].name,
			    trace->str, cases[i].trace);
		g_string_free(trace, TRUE);
		admission_destroy(admission);
	}
}

/* If the demand stayed high after the last request, a loan would be kept too
 * long; if it fell at once, the node would never get a loan. */
static void
demand_follows_the_offers(void **state)
{
	admission_t *admission = admission_create();
	usec_t now = 0;

	for (int i = 0; i < 1000; i++, now += MS(10))
		admission_offer(admission, "c", 1, now, 0, now);
	assert_true(fabs(admission_demand(admission, "c", now) - 100) < 2);
	assert_true(admission_demand(admission, "c", now + SECONDS(10)) < 0.1);
	assert_true(admission_demand(admission, "other", now) == 0);
	admission_destroy(admission);
}

static void
retry_after_is_when_the_rate_allows(void **state)
{
	admission_t *admission = admission_create();

	assert_int_equal(admission_retry_after(admission, "c", 0), SECONDS(1));
	admission_set_allowance(admission, "c", 10, 9, 0);
	assert_int_equal(admission_retry_after(admission, "c", 0), MS(100));
	assert_int_equal(admission_retry_after(admission, "c", MS(40)), MS(60));
	assert_int_equal(admission_retry_after(admission, "c", MS(100)), 0);
	admission_destroy(admission);
}

/* The number of waiting requests of all customers together is bounded. */
static void
waiting_requests_are_bounded(void **state)
{
	admission_t *admission = admission_create();
	admission_stats_t stats;

	admission_set_allowance(admission, "c", 1e6, 0, 0);
	for (uint64_t i = 0; i < ADMISSION_MAX_WAITING; i++)
		assert_int_equal(admission_offer(admission, "c", i, SECONDS(9),
				     0, SECONDS(1)),
		    1);
	assert_int_equal(admission_offer(admission, "c", ADMISSION_MAX_WAITING,
			     SECONDS(9), 0, SECONDS(1)),
	    BW_E_FULL);
	admission_get_stats(admission, "c", &stats);
	assert_int_equal(stats.waiting, ADMISSION_MAX_WAITING);
	admission_destroy(admission);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(events_give_the_stated_decisions),
	    cmocka_unit_test(demand_follows_the_offers),
	    cmocka_unit_test(retry_after_is_when_the_rate_allows),
	    cmocka_unit_test(waiting_requests_are_bounded),
	};

	return RUN_TESTS(argc, argv, tests);
}
