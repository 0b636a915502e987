/* Tests each rule of shares and loans: a case is a sequence of calls with the
 * result that each must return. */
#include "lib/runner.h"

#include <stdio.h>

#include "bulrushwell/ledger.h"

#define LONGEST_DEADLINE MS(250)
#define LOAN_AND_DEADLINE (MS(LOAN_MS) + LONGEST_DEADLINE)
#define REUSE_DELAY                                              \
	(LOAN_AND_DEADLINE + LOAN_AND_DEADLINE / DRIFT_DIVISOR + \
	    MS(DRIFT_MARGIN_MS))
/* When a share set at 1 ms is usable. */
#define USABLE_AT (MS(1) + REUSE_DELAY)

typedef struct {
	enum {
		CALL_NONE, /* the end of the steps */
		CALL_SHARE,
		CALL_LIMIT,
		CALL_LEND,
		CALL_LOAN,
		CALL_CLOSE,
		CALL_RELEASE,
		CALL_NEXT
	} call;
	usec_t now;
	uint32_t value;	  /* slots passed, or the expected result */
	uint32_t charged; /* LEND, RELEASE */
	uint32_t queued;  /* LEND */
	const char *peer; /* LEND, LOAN */
	uint64_t incarnation;
	usec_t asked_at;
} ledger_step_t;

typedef struct {
	const char *name;
	ledger_step_t steps[12];
} ledger_case_t;

#define SHARE(at, slots)                                          \
	{                                                         \
		.call = CALL_SHARE, .now = (at), .value = (slots) \
	}
#define LIMIT(at, slots)                                          \
	{                                                         \
		.call = CALL_LIMIT, .now = (at), .value = (slots) \
	}
#define LEND(at, slots, used, waiting, borrower, number)                    \
	{                                                                   \
		.call = CALL_LEND, .now = (at), .value = (slots),           \
		.charged = (used), .queued = (waiting), .peer = (borrower), \
		.incarnation = (number)                                     \
	}
#define LOAN(at, slots, lender, asked)                            \
	{                                                         \
		.call = CALL_LOAN, .now = (at), .value = (slots), \
		.peer = (lender), .asked_at = (asked)             \
	}
#define CLOSE(at)                               \
	{                                       \
		.call = CALL_CLOSE, .now = (at) \
	}
#define RELEASE(at, allowed, used)                                     \
	{                                                              \
		.call = CALL_RELEASE, .now = (at), .value = (allowed), \
		.charged = (used)                                      \
	}
#define NEXT(at, change)                                          \
	{                                                         \
		.call = CALL_NEXT, .now = (at), .value = (change) \
	}

static const ledger_case_t cases[] = {
    {"a new share is usable after the wait",
	{SHARE(MS(1), 2), LIMIT(MS(1), 0), LIMIT(USABLE_AT - 1, 0),
	    LIMIT(USABLE_AT, 2)}},
    {"only the slots by which a share grows wait",
	{SHARE(MS(1), 1), LIMIT(USABLE_AT, 1), SHARE(USABLE_AT, 3),
	    LIMIT(USABLE_AT, 1), LIMIT(USABLE_AT + REUSE_DELAY, 3)}},
    {"a smaller share applies at once",
	{SHARE(MS(1), 3), LIMIT(USABLE_AT, 3), SHARE(USABLE_AT, 1),
	    LIMIT(USABLE_AT, 1), SHARE(USABLE_AT, 0), LIMIT(USABLE_AT, 0)}},
    {"a share that is not usable is not lent",
	{SHARE(MS(1), 2), LEND(MS(2), 0, 0, 0, "a", 1)}},
    {"lent slots are not used until the borrower's last attempt ended",
	{SHARE(MS(1), 2), LEND(USABLE_AT, 1, 1, 0, "a", 1), LIMIT(USABLE_AT, 1),
	    LIMIT(USABLE_AT + REUSE_DELAY - 1, 1),
	    LIMIT(USABLE_AT + REUSE_DELAY, 2)}},
    {"nothing is lent while requests wait",
	{SHARE(MS(1), 2), LEND(USABLE_AT, 0, 0, 1, "a", 1),
	    LIMIT(USABLE_AT, 2)}},
    {"a loan is renewed before it ends",
	{SHARE(MS(1), 2), LEND(USABLE_AT, 2, 0, 0, "a", 1),
	    LEND(USABLE_AT + MS(100), 2, 0, 0, "a", 1),
	    LIMIT(USABLE_AT + REUSE_DELAY, 0),
	    LIMIT(USABLE_AT + MS(100) + REUSE_DELAY, 2)}},
    {"a larger loan outlasts a smaller later one",
	{SHARE(MS(1), 2), LEND(USABLE_AT, 2, 0, 0, "a", 1),
	    LEND(USABLE_AT + MS(100), 1, 1, 0, "a", 1),
	    LIMIT(USABLE_AT + MS(101), 0), LIMIT(USABLE_AT + REUSE_DELAY, 1)}},
    {"two borrowers never get the same slot",
	{SHARE(MS(1), 2), LEND(USABLE_AT, 2, 0, 0, "a", 1),
	    LEND(USABLE_AT, 0, 0, 0, "b", 1),
	    LEND(USABLE_AT + REUSE_DELAY, 2, 0, 0, "b", 1)}},
    {"a restarted borrower waits for its earlier process",
	{SHARE(MS(1), 2), LEND(USABLE_AT, 2, 0, 0, "a", 1),
	    LEND(USABLE_AT + MS(100), 0, 0, 0, "a", 2)}},
    {"a loan lasts from the time of the request",
	{LOAN(MS(250), 1, "a", MS(50)), LIMIT(MS(250), 1),
	    LIMIT(MS(50 + LOAN_MS) - 1, 1), LIMIT(MS(50 + LOAN_MS), 0)}},
    {"an answer that arrives too late is ignored",
	{LOAN(MS(400), 1, "a", MS(50)), LIMIT(MS(400), 0)}},
    {"the answer to the latest request replaces earlier ones",
	{LOAN(MS(20), 1, "a", MS(10)), LOAN(MS(120), 2, "a", MS(110)),
	    LIMIT(MS(120), 2), LOAN(MS(130), 9, "a", MS(60)), LIMIT(MS(130), 2),
	    LOAN(MS(220), 0, "a", MS(210)), LIMIT(MS(220), 0)}},
    {"loans of two lenders add up",
	{LOAN(MS(20), 1, "a", MS(10)), LOAN(MS(20), 2, "b", MS(10)),
	    LIMIT(MS(20), 3)}},
    {"an open share is not released",
	{SHARE(MS(1), 1), RELEASE(USABLE_AT, 0, 0), CLOSE(USABLE_AT),
	    LIMIT(USABLE_AT, 0), RELEASE(USABLE_AT, 1, 0)}},
    {"a share is not released while it is lent",
	{SHARE(MS(1), 1), LEND(USABLE_AT, 1, 0, 0, "a", 1), CLOSE(USABLE_AT),
	    RELEASE(USABLE_AT + REUSE_DELAY - 1, 0, 0),
	    RELEASE(USABLE_AT + REUSE_DELAY, 1, 0)}},
    {"a share is not released before its former holder's attempts ended",
	{SHARE(MS(1), 1), CLOSE(MS(2)), RELEASE(USABLE_AT - 1, 0, 0),
	    RELEASE(USABLE_AT, 1, 0)}},
    {"a share is released when attempts fit into borrowed slots",
	{SHARE(MS(1), 1), CLOSE(USABLE_AT), RELEASE(USABLE_AT, 0, 1),
	    LOAN(USABLE_AT, 1, "a", USABLE_AT), RELEASE(USABLE_AT, 1, 1),
	    RELEASE(USABLE_AT, 0, 2), LEND(USABLE_AT, 0, 0, 0, "b", 1)}},
    {"a closed share opens when it grows, and then all of it waits",
	{SHARE(MS(1), 1), CLOSE(USABLE_AT), SHARE(USABLE_AT, 1),
	    LIMIT(USABLE_AT, 0), SHARE(USABLE_AT, 2),
	    LIMIT(USABLE_AT + REUSE_DELAY - 1, 0),
	    LIMIT(USABLE_AT + REUSE_DELAY, 2)}},
    {"the next change of a limit is predicted",
	{NEXT(0, 0), SHARE(MS(1), 1), NEXT(MS(2), USABLE_AT),
	    LOAN(MS(3), 1, "a", MS(2)), NEXT(MS(3), MS(2 + LOAN_MS))}},
};

static uint32_t
run_step(ledger_t *ledger, const ledger_step_t *step)
{
	switch (step->call) {
	case CALL_SHARE:
		ledger_set_share(ledger, "slotplan", step->value,
		    LONGEST_DEADLINE, step->now);
		return ledger_share(ledger, "slotplan");
	case CALL_LIMIT:
		return ledger_limit(ledger, "slotplan", step->now);
	case CALL_LEND:
		return ledger_lend(ledger, "slotplan", step->peer,
		    step->incarnation, step->charged, step->queued,
		    LONGEST_DEADLINE, step->now);
	case CALL_LOAN:
		ledger_receive_loan(ledger, "slotplan", step->peer, step->value,
		    step->asked_at, step->now);
		return step->value;
	case CALL_CLOSE:
		ledger_close_share(ledger, "slotplan");
		return step->value;
	case CALL_RELEASE:
		return ledger_may_release(
		    ledger, "slotplan", step->charged, step->now);
	case CALL_NEXT:
		return (uint32_t)ledger_next_limit_change(ledger, step->now);
	case CALL_NONE:
		break;
	}
	return step->value;
}

static void
limits_follow_the_rules(void **state)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ledger_t *ledger = ledger_create();

		for (size_t j = 0; cases[i].steps[j].call != CALL_NONE; j++) {
			uint32_t result = run_step(ledger, &cases[i].steps[j]);

			if (result != cases[i].steps[j].value)
				fail_msg("%s: step %zu: %u, expected %u",
				    cases[i].name, j, result,
				    cases[i].steps[j].value);
		}
		ledger_destroy(ledger);
	}
}

/* A lender must not use lent slots while the borrower's last attempt may run,
 * with the worst clocks: the lender's is fast by 1 %, the borrower's slow by
 * 1 %, and the server's is 50 ms behind the borrower's wall clock. */
static void
waits_cover_the_drift_of_clocks(void **state)
{
	static const int deadlines[] = {1, 50, 250, 1000, 5000, 10000};

	for (size_t i = 0; i < sizeof(deadlines) / sizeof(deadlines[0]); i++) {
		usec_t longest_deadline = MS(deadlines[i]);
		double last_use =
		    MS(LOAN_MS) / 0.99 + (double)longest_deadline + MS(50);
		usec_t start = MS(100000);
		ledger_t *ledger = ledger_create();

		ledger_set_share(ledger, "slotplan", 1, longest_deadline, 0);
		assert_int_equal(ledger_lend(ledger, "slotplan", "a", 1, 0, 0,
				     longest_deadline, start),
		    1);
		assert_int_equal(ledger_limit(ledger, "slotplan",
				     start + (usec_t)(last_use * 1.01)),
		    0);
		ledger_destroy(ledger);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(limits_follow_the_rules),
	    cmocka_unit_test(waits_cover_the_drift_of_clocks),
	};

	return RUN_TESTS(argc, argv, tests);
}
