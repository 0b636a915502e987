/* Guards admission: a burst above the rate, a place given to a request that is
 * already late, the wrong order, a refusal that comes later than it could, and
 * tokens that appear when an allowance moves back and forth. */
#include "lib/runner.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/admission.h"
#include "bulrushwell/error.h"

#define MAX_STEPS 16

typedef struct {
	int at; /* ms */
	enum { END, SET, BEGIN, OFFER, FINISH, WITHDRAW, TICK } op;
	double rate;	 /* SET */
	int concurrency; /* SET */
	uint64_t tag;
	int deadline; /* OFFER: ms */
	int needed;   /* OFFER: ms */
} step_t;

#define ALLOW(at, r, c)                              \
	{                                            \
		at, SET, .rate = r, .concurrency = c \
	}
#define FIRST(at, r, c)                                \
	{                                              \
		at, BEGIN, .rate = r, .concurrency = c \
	}
#define ASK(at, tag, deadline, needed)                 \
	{                                              \
		at, OFFER, 0, 0, tag, deadline, needed \
	}
#define ENDED(at)                \
	{                        \
		at, .op = FINISH \
	}
#define WAKE(at)               \
	{                      \
		at, .op = TICK \
	}
#define TAKE(at, number)                    \
	{                                   \
		at, WITHDRAW, .tag = number \
	}

/* The trace has a word for each offer and action: "1+" for request 1 admitted,
 * "1w" when it waits, and "1R", "1C", "1D", "1X" when it is refused for the
 * rate, the concurrency, the deadline, or another reason. */
static const struct {
	const char *name;
	step_t steps[MAX_STEPS];
	const char *trace;
} cases[] = {
    {"a bucket begins empty",
	{ALLOW(0, 10, 9), ASK(0, 1, 900, 0), ASK(99, 2, 900, 0),
	    ASK(100, 3, 900, 0), ASK(100, 4, 900, 0)},
	"1R 2R 3+ 4R "},
    {"a new customer's bucket has filled while the units were held",
	{FIRST(100, 30, 9), ASK(100, 1, 900, 0), ASK(100, 2, 900, 0),
	    FIRST(200, 900, 9), ASK(200, 3, 900, 0), ASK(200, 4, 900, 0),
	    ASK(200, 5, 900, 0), ASK(200, 6, 900, 0)},
	"1+ 2R 3+ 4+ 5+ 6R "},
    {"the burst is a tenth of a second, at least one",
	{ALLOW(0, 30, 9), ASK(5000, 1, 9000, 0), ASK(5000, 2, 9000, 0),
	    ASK(5000, 3, 9000, 0), ASK(5000, 4, 9000, 0), ALLOW(6000, 2, 9),
	    ASK(9000, 5, 9900, 0), ASK(9000, 6, 9900, 0)},
	"1+ 2+ 3+ 4R 5+ 6R "},
    {"nothing without a rate", {ALLOW(0, 0, 9), ASK(1000, 1, 9000, 0)}, "1R "},
    {"unknown customer", {ASK(1000, 1, 9000, 0)}, "1R "},
    {"an allowance that moves back and forth earns nothing",
	{ALLOW(0, 10, 9), ALLOW(1000, 0, 9), ALLOW(1000, 10, 9),
	    ASK(1000, 1, 9000, 0), ALLOW(1050, 100, 9), ALLOW(1050, 10, 9),
	    ASK(1099, 2, 9000, 0), ASK(1101, 3, 9000, 0)},
	"1R 2R 3+ "},
    {"a larger rate counts from its change",
	{ALLOW(0, 10, 9), ASK(100, 1, 900, 0), ALLOW(150, 100, 9),
	    ASK(154, 2, 900, 0), ASK(156, 3, 900, 0)},
	"1+ 2R 3+ "},
    {"a smaller rate counts since the last change",
	{ALLOW(0, 100, 9), ALLOW(1000, 20, 9), ASK(1000, 1, 9000, 0),
	    ASK(1000, 2, 9000, 0), ASK(1000, 3, 9000, 0), ALLOW(1000, 90, 9),
	    ALLOW(1020, 10, 9), ASK(1060, 4, 9000, 0)},
	"1+ 2+ 3R 4R "},
    {"earliest deadline first",
	{ALLOW(0, 100, 1), ASK(1000, 1, 9000, 10), ASK(1000, 2, 3000, 10),
	    ASK(1000, 3, 2000, 10), ASK(1000, 4, 2500, 10), ENDED(1001),
	    ENDED(1002), ENDED(1003)},
	"1+ 2w 3w 4w 3+ 4+ 2+ "},
    {"a place that is free goes to the one that waits",
	{ALLOW(0, 100, 1), ASK(1000, 1, 9000, 10), ASK(1000, 2, 3000, 10),
	    ALLOW(1000, 100, 2), ASK(1000, 3, 2000, 10)},
	"1+ 2w 2+ 3w "},
    {"refused at the last moment to start",
	{ALLOW(0, 100, 1), ASK(1000, 1, 9000, 50), ASK(1000, 2, 1200, 50),
	    WAKE(1150), WAKE(1151), ENDED(1152)},
	"1+ 2w 2C "},
    {"a late request gets no place",
	{ALLOW(0, 100, 1), ASK(1000, 1, 9000, 50), ASK(1000, 2, 1200, 50),
	    ENDED(1151), ASK(1151, 3, 9000, 50)},
	"1+ 2w 2C 3+ "},
    {"refused when it arrives too late",
	{ALLOW(0, 100, 9), ASK(1000, 1, 1049, 50), ASK(1000, 2, 1050, 50)},
	"1D 2+ "},
    {"refused when the queue ahead is too long",
	{ALLOW(0, 100, 2), ASK(1000, 1, 9000, 50), ASK(1000, 2, 9000, 50),
	    ASK(1000, 3, 1100, 50), ASK(1000, 4, 1100, 50),
	    ASK(1000, 5, 1100, 50), ASK(1000, 6, 1080, 50),
	    ASK(1000, 7, 1110, 50)},
	"1+ 2+ 3w 4w 5w 6w 7C "},
    {"a waiting request has a token reserved",
	{ALLOW(0, 20, 1), ASK(1000, 1, 9000, 0), ASK(1000, 2, 9000, 0),
	    ASK(1000, 3, 9000, 0), ENDED(1000), ENDED(1000),
	    ASK(1000, 4, 9000, 0)},
	"1+ 2w 3R 2+ 4R "},
    {"one that waits without a token starts when it comes",
	{ALLOW(0, 20, 1), ASK(1000, 1, 9000, 0), ASK(1000, 2, 9000, 0),
	    ALLOW(1000, 0, 1), ALLOW(1000, 10, 1), ENDED(1000), WAKE(1099),
	    ASK(1099, 3, 9000, 0), WAKE(1100)},
	"1+ 2w 3R 2+ "},
    {"withdrawn",
	{ALLOW(0, 100, 1), ASK(1000, 1, 9000, 0), ASK(1000, 2, 2000, 0),
	    ASK(1000, 2, 2000, 0), TAKE(1000, 2), TAKE(1000, 7), ENDED(1001)},
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
	usec_t now = MS(step->at);

	switch (step->op) {
	case SET:
		admission_set_allowance(admission, "c", step->rate,
		    (uint32_t)step->concurrency, now);
		break;
	case BEGIN: /* with units held for 50 ms */
		admission_begin(admission, "c", step->rate,
		    (uint32_t)step->concurrency, now - MS(50), now);
		break;
	case OFFER:
		g_string_append_printf(trace, "%d%s ", (int)step->tag,
		    outcome(admission_offer(admission, "c", step->tag,
			MS(step->deadline), MS(step->needed), now)));
		break;
	case FINISH:
		admission_finish(admission, "c", now);
		break;
	case WITHDRAW:
		admission_withdraw(admission, step->tag);
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

/* Demand that outlives its requests would hold a loan; one that forgets at
 * once would never get it. */
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

/* The table of waiting requests is shared by all customers and bounded. */
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
