/* Applies sequences of events to the scheduler and checks the actions that they
 * cause. Guards against a slot that is freed too early, a reservation sent
 * twice, a retry or a hedge that breaks its rules, a suspect that runs beside
 * other requests and attempts on a leaving server. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bulrushwell/error.h"
#include "lib/scheduler_fixture.h"

typedef struct {
	const char *name;
	int servers;
	int limit;
	int warm; /* jobs answered before the case, each after 10 ms */
	step_t steps[20];
} case_t;

static void
run_case(const case_t *test)
{
	scheduler_fixture_t fixture;

	print_message("  %s\n", test->name);
	fixture_open(
	    &fixture, test->servers, (uint32_t)test->limit, test->warm);
	for (int i = 0; test->steps[i].expect != NULL; i++)
		fixture_apply(&fixture, &test->steps[i], i);
	fixture_close(&fixture);
}

static const case_t cases[] = {
    {"only the answer frees a slot", 1, 2, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {0, SUBMIT, 3, 200, ""}, {5, END, 1, ATTEMPT_OK, "R1=ok S3@a"},
	    {5, END, 1, ATTEMPT_OK, ""}, {5, STALE, 1, 0, ""}}},
    {"a timed-out attempt frees its slot after its deadline and margin", 1, 1,
	1,
	{{0, SUBMIT, 1, 200, "S1@a"},
	    {10, END, 1, ATTEMPT_TIMEOUT, "C1 R1=timeout"},
	    {11, SUBMIT, 2, 400, ""}, {249, RUN, 0, 0, ""},
	    {250, RUN, 0, 0, "S2@a"}}},
    {"a confirmed cancellation frees a slot, a failed one does not", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {10, END, 1, ATTEMPT_MISMATCH, "C1"},
	    {12, FAIL_CANCEL, 1, 0, ""}, {13, CONFIRM, 1, 0, "S1@a"},
	    {14, CONFIRM, 1, 0, ""}, {14, CONFIRM, 2, 0, ""},
	    {14, STALE, 2, 0, ""}, {20, END, 2, ATTEMPT_OK, "R1=ok"}}},
    {"a malformed reply frees no slot, an error status does", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, MALFORMED, 1, 0, "C1"},
	    {2, CONFIRM, 1, 0, "S1@a"},
	    {3, END, 2, ATTEMPT_FAILED, "R1=upstream_failed"},
	    {3, CHARGED, 0, 0, ""}}},
    {"queued jobs are rejected, running attempts continue", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, ""},
	    {0, RESERVE, 3, 200, ""}, {1, LIMIT, 0, 250, ""},
	    {1, REJECT_QUEUED, 0, 0, "R2=not_served R3=not_served"},
	    {5, END, 1, ATTEMPT_OK, "R1=ok"}}},
    {"a lower limit holds back new attempts", 1, 2, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {1, LIMIT, 1, 250, ""}, {1, SUBMIT, 3, 200, ""},
	    {2, END, 1, ATTEMPT_OK, "R1=ok"},
	    {3, END, 2, ATTEMPT_OK, "R2=ok S3@a"}}},
    {"an attempt without a report ends when its charge expires", 1, 1, 1,
	{{0, LIMIT, 1, 40, ""}, {0, SUBMIT, 1, 500, "S1@a"},
	    {89, RUN, 0, 0, ""}, {90, RUN, 0, 0, "R1=timeout"}}},
    {"a job gets at most one more try than there are servers", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, END, 1, ATTEMPT_FAILED, "S1@a"},
	    {2, END, 2, ATTEMPT_FAILED, "R1=upstream_failed"},
	    {2, RESERVE, 2, 200, "S2@af"}, {3, END, 3, ATTEMPT_SHED, ""},
	    {13, RUN, 0, 0, "S2@af"},
	    {14, END, 4, ATTEMPT_NOT_SENT, "R2=overloaded"}}},
    {"the backoff of a refusing server doubles, then it gets one attempt", 1, 2,
	1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {0, END, 1, ATTEMPT_NOT_SENT, ""},
	    {1, END, 2, ATTEMPT_NOT_SENT, ""}, {9, RUN, 0, 0, ""},
	    {10, RUN, 0, 0, "S1@a"},
	    {10, END, 3, ATTEMPT_NOT_SENT, "R1=overloaded"},
	    {29, RUN, 0, 0, ""}, {30, RUN, 0, 0, "S2@a"},
	    {30, SUBMIT, 3, 200, ""}, {31, END, 4, ATTEMPT_OK, "R2=ok S3@a"},
	    {31, SUBMIT, 4, 200, "S4@a"}}},
    {"a new server runs one attempt until its first answer", 1, 2, 0,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, ""},
	    {1, END, 1, ATTEMPT_OK, "R1=ok S2@a"}, {1, SUBMIT, 3, 200, "S3@a"},
	    {2, SERVERS, 1, 1, ""}, {2, SUBMIT, 4, 200, "S4@b"},
	    {2, SUBMIT, 5, 200, ""}}},
    {"an announced drain holds until a new incarnation", 1, 2, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, DRAIN, 1, 0, "R1=ok"},
	    {2, REFUSED, 2, 200, "not_found"}, {3, SERVERS, 1, 0, ""},
	    {3, REFUSED, 2, 200, "not_found"}, {4, SERVERS, 1, 1, ""},
	    {4, SUBMIT, 3, 200, "S3@b"}, {5, SERVERS, 1, 0, ""},
	    {5, REFUSED, 4, 200, "not_found"}}},
    {"waiting jobs end when the last server leaves", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, ""},
	    {0, RESERVE, 3, 200, ""},
	    {1, LEAVING, 0, 0, "R2=not_found R3=not_found"},
	    {2, END, 1, ATTEMPT_OK, "R1=ok"}}},
    {"an unlisted server gets no attempts", 2, 2, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, UNLIST_OTHERS, 0, 0, ""},
	    {2, SUBMIT, 2, 200, "S2@a"}, {2, SUBMIT, 3, 200, ""}}},
    {"a slow attempt is hedged once within the budget; the loser is cancelled",
	2, 1, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {10, RUN, 0, 0, ""},
	    {11, RUN, 0, 0, "S1@b"}, {12, RUN, 0, 0, ""},
	    {14, END, 2, ATTEMPT_OK, "C1 R1=ok"}, {15, CONFIRM, 1, 0, ""},
	    {15, SUBMIT, 2, 200, "S2@b"}, {30, RUN, 0, 0, ""},
	    {31, RESERVE, 3, 200, "S3@af"}, {32, RUN, 0, 0, ""}}},
    {"few samples: no hedge, but a resend after half of the time", 2, 1, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {99, RUN, 0, 0, ""},
	    {100, RUN, 0, 0, "S1@bf"}, {105, END, 2, ATTEMPT_OK, "C1 R1=ok"}}},
    {"a silent connection: one resend, older connections are retired", 1, 2, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {30, RUN, 0, 0, ""},
	    {31, RUN, 0, 0, "S1@afr"}, {150, RUN, 0, 0, ""},
	    {151, END, 2, ATTEMPT_OK, "C1 R1=ok"},
	    {152, SUBMIT, 2, 300, "S2@ar"}}},
    {"an answer on a newer connection does not show that an old one works", 1,
	2, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {0, CONNECTED, 1, -20, ""}, {0, CONNECTED, 2, -10, ""},
	    {5, END, 2, ATTEMPT_OK, "R2=ok"}, {31, RUN, 0, 0, "S1@afr"}}},
    {"an answer to an earlier attempt shows nothing for a later one", 1, 2, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, CONNECTED, 1, -30, ""},
	    {5, END, 1, ATTEMPT_OK, "R1=ok"}, {6, SUBMIT, 2, 200, "S2@a"},
	    {6, CONNECTED, 2, -20, ""}, {37, RUN, 0, 0, "S2@afr"}}},
    {"a timeout on an old connection retires it", 1, 2, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {200, RUN, 0, 0, "C1 R1=timeout C2 R2=timeout"},
	    {201, CONFIRM, 1, 0, ""}, {201, SUBMIT, 3, 400, "S3@ar"}}},
    {"suspects of a crash run alone and are cleared by an answer", 1, 3, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {0, SUBMIT, 3, 200, "S3@a"},
	    {5, END, 2, ATTEMPT_CONNECTION_LOST, "X3 X2 X1 C2"},
	    {6, CONFIRM, 2, 0, ""}, {7, END, 1, ATTEMPT_OK, "R1=ok"},
	    {8, SUBMIT, 4, 300, ""}, {9, END, 3, ATTEMPT_OK, "R3=ok S2@af"},
	    {10, RUN, 0, 0, ""}, {11, END, 4, ATTEMPT_OK, "R2=ok S4@a"},
	    {12, SUBMIT, 102, 200, "S102@a"}, {13, SUBMIT, 101, 200, ""},
	    {14, END, 5, ATTEMPT_OK, "R4=ok"},
	    {15, END, 6, ATTEMPT_OK, "R102=ok S101@af"}}},
    {"a suspect is not hedged", 2, 1, 21,
	{{0, PEER_CRASH, 1, 1, ""}, {0, SUBMIT, 1, 200, "S1@af"},
	    {100, RUN, 0, 0, ""}}},
    {"after a second crash a request is refused", 2, 2, 2,
	{{0, SUBMIT, 1, 200, "S1@a"},
	    {1, END, 1, ATTEMPT_CONNECTION_LOST, "X1 C1 S1@bf"},
	    {2, SUBMIT, 101, 200, ""}, {3, SUBMIT, 2, 200, "S2@a"},
	    {4, END, 2, ATTEMPT_CONNECTION_LOST,
		"X1 C2 R1=crashes_servers R101=crashes_servers"},
	    {5, REFUSED, 101, 200, "crashes_servers"}}},
    {"connections lost in one crash count once, however late", 1, 2, 1,
	{{0, SUBMIT, 1, 300, "S1@a"}, {0, SUBMIT, 101, 310, "S101@a"},
	    {5, END, 1, ATTEMPT_CONNECTION_LOST, "X1 C1"},
	    {150, END, 2, ATTEMPT_CONNECTION_LOST, "C2"},
	    {151, CONFIRM, 1, 0, ""}, {152, CONFIRM, 2, 0, "S1@af"}}},
    {"servers that crash at once are one crash of a shared request", 2, 1, 2,
	{{0, SUBMIT, 1, 300, "S1@a"}, {0, SUBMIT, 101, 310, "S101@b"},
	    {5, END, 1, ATTEMPT_CONNECTION_LOST, "X1 C1"},
	    {6, END, 2, ATTEMPT_CONNECTION_LOST, "C2"},
	    {7, CONFIRM, 1, 0, "S101@af"}, {8, CONFIRM, 2, 0, ""},
	    {9, END, 3, ATTEMPT_OK, "R101=ok S1@bf"}}},
    {"a queued request is refused after crashes reported by peers", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 5, 200, ""},
	    {1, PEER_CRASH, 5, 1, ""}, {1, PEER_CRASH, 5, 2, ""},
	    {2, END, 1, ATTEMPT_OK, "R1=ok R5=crashes_servers"}}},
    {"a cancelled request whose connection closes is no crash", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, CANCEL, 1, 0, "C1"},
	    {2, END, 1, ATTEMPT_CONNECTION_LOST, ""}, {249, RUN, 0, 0, ""},
	    {249, CHARGED, 1, 0, ""}, {250, RUN, 0, 0, ""},
	    {250, CHARGED, 0, 0, ""}}},
    {"a cancelled query drops waiting jobs; a sent reservation goes on", 1, 1,
	1,
	{{0, RESERVE, 1, 200, "S1@af"}, {0, SUBMIT, 2, 200, ""},
	    {1, CANCEL, 2, 0, ""}, {1, CANCEL, 1, 0, ""},
	    {2, END, 1, ATTEMPT_OK, ""}, {2, CHARGED, 0, 0, ""}}},
    {"the deadline: timeout when sent, overloaded when not", 1, 1, 1,
	{{0, SUBMIT, 1, 50, "S1@a"}, {0, SUBMIT, 2, 60, ""},
	    {50, RUN, 0, 0, "C1 R1=timeout"}, {60, RUN, 0, 0, "R2=overloaded"},
	    {100, RESERVE, 3, 150, "S3@afr"}, {100, RESERVE, 4, 160, ""},
	    {150, RUN, 0, 0, "C2 R3=outcome_unknown"},
	    {160, RUN, 0, 0, "R4=overloaded"}}},
    {"an unreachable deadline is refused at once", 1, 1, 3,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 100, ""},
	    {0, REFUSED, 3, 25, "overloaded"}, {0, SUBMIT, 4, 35, ""},
	    {0, REFUSED, 5, 0, "overloaded"}}},
    {"a job that would probably be late ends in favour of later ones", 1, 1, 3,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 30, ""},
	    {0, SUBMIT, 3, 200, ""},
	    {25, END, 1, ATTEMPT_OK, "R1=ok R2=overloaded S3@a"}}},
    {"the server with the fewest attempts is chosen", 3, 2, 3,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@b"},
	    {0, SUBMIT, 3, 200, "S3@c"}}},
    {"a retry prefers a slower server that was not tried", 2, 1, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@b"},
	    {5, END, 1, ATTEMPT_OK, "R1=ok"}, {90, END, 2, ATTEMPT_OK, "R2=ok"},
	    {91, SUBMIT, 3, 300, "S3@a"},
	    {92, END, 3, ATTEMPT_FAILED, "S3@b"}}},
    {"jobs that wait for a leaving server go to another one", 2, 1, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@b"},
	    {1, END, 1, ATTEMPT_MISMATCH, "C1"}, {2, LEAVING, 1, 0, ""},
	    {3, CONFIRM, 1, 0, "S1@a"}}},
    {"no hedge while a job waits", 3, 2, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@b"},
	    {0, SUBMIT, 3, 200, "S3@c"}, {0, PEER_CRASH, 9, 1, ""},
	    {0, SUBMIT, 9, 200, ""}, {11, RUN, 0, 0, ""}}},
    {"a failing server is chosen last", 1, 2, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, END, 1, ATTEMPT_FAILED, "S1@a"},
	    {0, END, 2, ATTEMPT_FAILED, "R1=upstream_failed"},
	    {0, SUBMIT, 2, 200, "S2@a"}, {0, END, 3, ATTEMPT_FAILED, "S2@a"},
	    {0, END, 4, ATTEMPT_FAILED, "R2=upstream_failed"},
	    {0, SERVERS, 2, 0, ""}, {0, SUBMIT, 3, 200, "S3@b"},
	    {20, END, 5, ATTEMPT_OK, "R3=ok"}, {20, SUBMIT, 4, 200, "S4@b"},
	    {20, SUBMIT, 5, 200, "S5@b"}, {20, SUBMIT, 6, 200, "S6@a"}}},
    {"the server expected to finish one more attempt first is chosen", 2, 2, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@b"},
	    {5, END, 2, ATTEMPT_OK, "R2=ok"}, {25, END, 1, ATTEMPT_OK, "R1=ok"},
	    {26, SUBMIT, 3, 300, "S3@b"}, {26, SUBMIT, 4, 300, "S4@a"},
	    {26, SUBMIT, 5, 300, "S5@b"}}},
    {"a slow server is left idle until the queue would take longer", 2, 1, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@b"},
	    {5, END, 2, ATTEMPT_OK, "R2=ok"}, {90, END, 1, ATTEMPT_OK, "R1=ok"},
	    {91, SUBMIT, 3, 300, "S3@b"}, {91, SUBMIT, 4, 301, ""},
	    {91, SUBMIT, 5, 302, ""}, {91, SUBMIT, 6, 303, "S4@a"},
	    {95, END, 3, ATTEMPT_OK, "R3=ok S5@b"}}},
    {"a slow server gets a copy of a job once a second", 2, 1, 45,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@b"},
	    {5, END, 2, ATTEMPT_OK, "R2=ok"}, {90, END, 1, ATTEMPT_OK, "R1=ok"},
	    {91, SUBMIT, 3, 300, "S3@b S3@a"}, {95, END, 3, 0, "C4 R3=ok"},
	    {95, CONFIRM, 4, 0, ""}, {1090, SUBMIT, 4, 1300, "S4@b"},
	    {1091, END, 5, 0, "R4=ok"}, {1091, SUBMIT, 5, 1300, "S5@b S5@a"}}},
    {"an unresponsive server runs one attempt until it answers", 1, 2, 21,
	{{0, SUBMIT, 1, 60, "S1@a"}, {0, SUBMIT, 2, 60, "S2@a"},
	    {60, RUN, 0, 0, "C1 R1=timeout C2 R2=timeout"},
	    {111, SUBMIT, 3, 210, "S3@ar"}, {210, RUN, 0, 0, "C3 R3=timeout"},
	    {261, SUBMIT, 4, 400, "S4@ar"}, {261, SUBMIT, 5, 400, ""},
	    {270, END, 4, 0, "R4=ok S5@ar"}, {270, SUBMIT, 6, 400, "S6@ar"}}},
    {"no resend while the server answers on an older connection", 1, 2, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {0, CONNECTED, 1, -20, ""}, {0, CONNECTED, 2, -30, ""},
	    {5, END, 2, ATTEMPT_OK, "R2=ok"}, {31, RUN, 0, 0, ""},
	    {200, RUN, 0, 0, "C1 R1=timeout"}, {201, SUBMIT, 3, 400, "S3@a"}}},
};

static void
actions_follow_events(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(&cases[i]);
}

/* The actions after one result, and after the same result once more. */
static const struct {
	int op;
	attempt_result_t result;
	const char *first;
	const char *second;
} results[] = {
    {SUBMIT, ATTEMPT_OK, "R1=ok", NULL},
    {SUBMIT, ATTEMPT_NOT_SENT, "S1@b", ""},
    {SUBMIT, ATTEMPT_SHED, "S1@b", ""},
    {SUBMIT, ATTEMPT_DRAINING, "S1@b", "R1=not_found"},
    {SUBMIT, ATTEMPT_VERSION_GONE, "S1@b", "R1=version_gone"},
    {SUBMIT, ATTEMPT_WRONG_SHARD, "S1@b", "R1=upstream_failed"},
    {SUBMIT, ATTEMPT_MISMATCH, "C1 S1@b", "C2"},
    {SUBMIT, ATTEMPT_CONNECTION_LOST, "X1 C1 S1@bf",
	"X1 C2 R1=crashes_servers"},
    {SUBMIT, ATTEMPT_TIMEOUT, "C1 R1=timeout", NULL},
    {SUBMIT, ATTEMPT_FAILED, "S1@b", NULL},
    {RESERVE, ATTEMPT_OK, "R1=ok", NULL},
    {RESERVE, ATTEMPT_NOT_SENT, "S1@bf", ""},
    {RESERVE, ATTEMPT_SHED, "S1@bf", ""},
    {RESERVE, ATTEMPT_DRAINING, "S1@bf", "R1=not_found"},
    {RESERVE, ATTEMPT_VERSION_GONE, "R1=outcome_unknown", NULL},
    {RESERVE, ATTEMPT_WRONG_SHARD, "R1=outcome_unknown", NULL},
    {RESERVE, ATTEMPT_MISMATCH, "C1 R1=outcome_unknown", NULL},
    {RESERVE, ATTEMPT_CONNECTION_LOST, "X1 C1 R1=outcome_unknown", NULL},
    {RESERVE, ATTEMPT_TIMEOUT, "C1 R1=outcome_unknown", NULL},
    {RESERVE, ATTEMPT_FAILED, "R1=outcome_unknown", NULL},
};

static void
results_are_followed(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(results); i++) {
		int result = (int)results[i].result;
		bool sent = results[i].op == SUBMIT;
		case_t test = {"a result", 2, 1, 2,
		    {{0, (op_t)results[i].op, 1, 200, sent ? "S1@a" : "S1@af"},
			{1, END, 1, result, results[i].first},
			{2, END, 2, result, results[i].second}}};

		run_case(&test);
	}
}

static void
submit_many(scheduler_fixture_t *fixture, const char *customer, uint32_t weight,
    int count)
{
	for (int i = 0; i < count; i++) {
		/* Later jobs have earlier deadlines. */
		job_t job = fixture_job(i + 1, fixture->now + MS(200 - i));

		job.weight = weight;
		g_strlcpy(job.customer, customer, sizeof(job.customer));
		assert_int_equal(
		    scheduler_submit(fixture->scheduler, &job, fixture->now),
		    0);
	}
}

/* Guards against a customer with many jobs that starves one with few, against
 * ignored weights and against an order within a customer that is not by
 * deadline. */
static void
customers_share_by_weight(void **state)
{
	int heavy = 0, light = 0, last_heavy = 1000;
	scheduler_fixture_t fixture;

	fixture_open(&fixture, 1, 1, 0);
	fixture.limit = 0;
	submit_many(&fixture, "heavy", 3, 60);
	submit_many(&fixture, "light", 1, 20);
	fixture.limit = 1;
	for (int i = 0; i < 40; i++) {
		scheduler_action_t action;

		scheduler_run(fixture.scheduler, 1, fixture.max_attempt_time,
		    fixture.now);
		do
			assert_true(
			    scheduler_next_action(fixture.scheduler, &action));
		while (action.kind != SCHEDULER_START);
		fixture.attempts[0] = action.attempt;
		if (strcmp(action.job->customer, "heavy") == 0) {
			heavy++;
			assert_true((int)action.job->tag < last_heavy);
			last_heavy = (int)action.job->tag;
		} else {
			light++;
		}
		assert_true(heavy <= 3 * light + 3 && light <= heavy / 3 + 1);
		fixture_end_attempt(&fixture, 1, (attempt_outcome_t){0});
	}
	assert_int_equal(heavy, 30);
	fixture_close(&fixture);
}

static void
the_queue_is_bounded(void **state)
{
	job_t job;
	scheduler_fixture_t fixture;

	fixture_open(&fixture, 1, 0, 0);
	for (int i = 0; i < SCHEDULER_MAX_JOBS; i++) {
		job = fixture_job(i, fixture.now + MS(200));
		assert_int_equal(
		    scheduler_submit(fixture.scheduler, &job, fixture.now), 0);
	}
	assert_int_equal(
	    scheduler_submit(fixture.scheduler, &job, fixture.now), BW_E_FULL);
	fixture_close(&fixture);
}

/* Guards against a request that is sent although its query was cancelled before
 * the START action was taken. */
static void
cancelled_starts_are_not_given_out(void **state)
{
	job_t job = fixture_job(1, SECONDS(101));
	scheduler_fixture_t fixture;

	fixture_open(&fixture, 1, 1, 0);
	job.kind = JOB_RESERVATION;
	assert_int_equal(
	    scheduler_submit(fixture.scheduler, &job, fixture.now), 0);
	scheduler_run(
	    fixture.scheduler, 1, fixture.max_attempt_time, fixture.now);
	assert_int_equal(scheduler_max_charged_now(fixture.scheduler), 1);
	scheduler_cancel_query(fixture.scheduler, job.query, fixture.now);
	assert_int_equal(scheduler_max_charged_now(fixture.scheduler), 0);
	fixture_run(&fixture);
	assert_string_equal(fixture.actions, "");
	fixture_close(&fixture);
}

static void
run_batch(scheduler_fixture_t *fixture, int size)
{
	fixture->attempt_count = 0;
	for (int i = 0; i < size; i++) {
		job_t job = fixture_job(i, fixture->now + MS(200));

		scheduler_submit(fixture->scheduler, &job, fixture->now);
	}
	fixture_run(fixture);
	fixture->now += MS(5) + fixture->now % 1000;
	for (int i = 1; i <= size; i++)
		fixture_end_attempt(fixture, i, (attempt_outcome_t){0});
	fixture_run(fixture);
}

/* Guards against lost jobs and charges that never end in a long run.
 * BW_TIMING=1 makes it longer and prints the processor time of each
 * sub-request. */
static void
a_long_run_leaves_nothing(void **state)
{
	int rounds = getenv("BW_TIMING") != NULL ? 20000 : 200;
	scheduler_stats_t stats;
	clock_t begin;
	scheduler_fixture_t fixture;

	fixture_open(&fixture, 3, 5, 3);
	begin = clock();
	for (int i = 0; i < rounds; i++)
		run_batch(&fixture, 10);
	if (getenv("BW_TIMING") != NULL)
		print_message("%.2f us for each sub-request\n",
		    (double)(clock() - begin) * 1e6 / CLOCKS_PER_SEC /
			(rounds * 10));
	scheduler_get_stats(fixture.scheduler, &stats);
	assert_int_equal(stats.attempts, rounds * 10 + 3);
	assert_int_equal(stats.running + stats.queued, 0);
	assert_int_equal(scheduler_next_wakeup(fixture.scheduler), 0);
	fixture_close(&fixture);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(actions_follow_events),
	    cmocka_unit_test(results_are_followed),
	    cmocka_unit_test(customers_share_by_weight),
	    cmocka_unit_test(the_queue_is_bounded),
	    cmocka_unit_test(cancelled_starts_are_not_given_out),
	    cmocka_unit_test(a_long_run_leaves_nothing),
	};

	return RUN_TESTS(argc, argv, tests);
}
