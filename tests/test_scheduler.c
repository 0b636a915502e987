/* Guards the scheduler by sequences of events with the actions that they must
 * cause: a slot freed too early, a reservation sent twice, a retry or a hedge
 * that breaks its rules, a suspect beside others, a leaving server used. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/scheduler.h"

#define MAX_ATTEMPTS 64
#define MAX_SERVERS 8

typedef enum {
	END,	   /* a: attempt, b: result */
	MALFORMED, /* a: attempt; FAILED without an error status */
	DRAIN,	   /* a: attempt; OK that announces a drain */
	SUBMIT,	   /* a: tag, b: deadline (ms from the start of the case) */
	RESERVE,   /* as SUBMIT, a reservation */
	REFUSED,   /* as SUBMIT, expects the error in place of actions */
	DROP,	   /* a: tag; its query is cancelled */
	GIVE_BACK, /* another node serves what waits */
	CONFIRM,   /* a: attempt; its cancellation is confirmed */
	LOSE,	   /* a: attempt; its cancellation failed */
	LIMIT,	   /* a: limit, b: longest (ms) */
	RUN,
	SERVERS,    /* a: number listed, b: incarnation of the first one */
	UNLIST,	    /* only server a (by first use) stays listed */
	LEAVING,    /* a: server by first use; told by health */
	PEER_CRASH, /* a: fingerprint, b: crash; a peer reported it */
	CHARGED,    /* expects a charged attempts on the busiest server */
	STALE	    /* expects a stale reports so far */
} op_t;

/* Actions: S<tag>@<server>[f: fresh][r: retires connections], C<attempt>,
 * R<tag>=<error kind or ok>, X<fingerprint>. Attempts are numbered and servers
 * are lettered by first use, so that random ties change nothing. */
typedef struct {
	int at; /* ms */
	op_t op;
	int a;
	int b;
	const char *expect;
} step_t;

typedef struct {
	const char *name;
	int servers;
	int limit;
	int warm; /* jobs answered before, each after 10 ms */
	step_t steps[20];
} case_t;

typedef struct {
	scheduler_t *scheduler;
	suspect_list_t *suspects;
	service_t service;
	usec_t now;
	usec_t start;
	uint32_t limit;
	usec_t longest;
	handle_t attempts[MAX_ATTEMPTS];
	int attempt_count;
	address_t used[MAX_SERVERS];
	int used_count;
	char actions[512];
} bed_t;

static void
list_servers(bed_t *bed, int count, int incarnation)
{
	bed->service.server_count = (uint32_t)count;
	for (int i = 0; i < count; i++) {
		server_spec_t *spec = &bed->service.servers[i];

		snprintf(spec->server, NAME_SIZE, "server-%d", i);
		snprintf(spec->incarnation, NAME_SIZE, "i%d",
		    i == 0 ? incarnation : 0);
		snprintf(spec->address, ADDRESS_SIZE, "127.0.0.%d:%d", i + 1,
		    i == 0 ? 80 + incarnation : 80);
	}
	scheduler_set_servers(bed->scheduler, &bed->service, bed->now);
}

static int
server_letter(bed_t *bed, const char *address)
{
	for (int i = 0; i < bed->used_count; i++)
		if (strcmp(bed->used[i], address) == 0)
			return i;
	strcpy(bed->used[bed->used_count], address);
	return bed->used_count++;
}

static const server_spec_t *
find_spec(bed_t *bed, int letter)
{
	const server_spec_t *spec = bed->service.servers;

	while (strcmp(spec->address, bed->used[letter]) != 0)
		spec++;
	return spec;
}

static int
attempt_number(bed_t *bed, handle_t handle)
{
	for (int i = 0; i < bed->attempt_count; i++)
		if (bed->attempts[i] == handle)
			return i + 1;
	bed->attempts[bed->attempt_count] = handle;
	return ++bed->attempt_count;
}

static void
note_action(bed_t *bed, const scheduler_action_t *action)
{
	size_t used = strlen(bed->actions);
	char *text = bed->actions + used;
	size_t size = sizeof(bed->actions) - used;
	const char *space = used > 0 ? " " : "";

	switch (action->kind) {
	case SCHEDULER_START:
		assert_true(action->deadline <= bed->now + bed->longest);
		assert_true(action->deadline <= action->job->deadline);
		attempt_number(bed, action->attempt);
		snprintf(text, size, "%sS%d@%c%s%s", space,
		    (int)action->job->tag,
		    'a' + server_letter(bed, action->address),
		    action->fresh ? "f" : "",
		    action->retire_before > bed->start ? "r" : "");
		break;
	case SCHEDULER_CANCEL:
		snprintf(text, size, "%sC%d", space,
		    attempt_number(bed, action->attempt));
		break;
	case SCHEDULER_REPLY:
		assert_true(action->error != 0 || action->body != NULL);
		snprintf(text, size, "%sR%d=%s", space, (int)action->job->tag,
		    action->error == 0 ? "ok" : error_kind(action->error));
		break;
	case SCHEDULER_CRASH:
		snprintf(text, size, "%sX%d", space, (int)action->fingerprint);
		break;
	}
}

static void
run_scheduler(bed_t *bed)
{
	scheduler_action_t action;

	scheduler_run(bed->scheduler, bed->limit, bed->longest, bed->now);
	bed->actions[0] = '\0';
	while (scheduler_next_action(bed->scheduler, &action))
		note_action(bed, &action);
}

static job_t
make_job(int tag, usec_t deadline)
{
	job_t job = {.tag = (uint64_t)tag,
	    .query = {1, (uint64_t)tag},
	    .customer = "c",
	    .weight = 1,
	    .deadline = deadline,
	    .fingerprint = (uint64_t)tag % 100};

	return job;
}

static void
end_attempt(bed_t *bed, int number, attempt_outcome_t outcome)
{
	body_t *body = body_create("x", 1);

	outcome.reused = true;
	outcome.body = outcome.result == ATTEMPT_OK ? body : NULL;
	if (outcome.result == ATTEMPT_OK)
		outcome.http_status = 200;
	scheduler_attempt_ended(
	    bed->scheduler, bed->attempts[number - 1], &outcome, bed->now);
	body_drop(body);
}

static void
warm_servers(bed_t *bed, int jobs)
{
	for (int i = 0; i < jobs; i++) {
		job_t job = make_job(0, bed->now + SECONDS(1));

		assert_int_equal(
		    scheduler_submit(bed->scheduler, &job, bed->now), 0);
		run_scheduler(bed);
		bed->now += MS(10);
		end_attempt(bed, 1, (attempt_outcome_t){0});
		run_scheduler(bed);
		bed->attempt_count = 0;
	}
	bed->used_count = 0;
	bed->start = bed->now;
}

static void
apply_event(bed_t *bed, const step_t *step)
{
	scheduler_stats_t stats;

	switch (step->op) {
	case END:
		end_attempt(bed, step->a,
		    (attempt_outcome_t){.result = (attempt_result_t)step->b,
			.http_status = 500});
		break;
	case MALFORMED:
		end_attempt(bed, step->a,
		    (attempt_outcome_t){.result = ATTEMPT_FAILED});
		break;
	case DRAIN:
		end_attempt(
		    bed, step->a, (attempt_outcome_t){.announced_drain = true});
		break;
	case CONFIRM:
	case LOSE:
		scheduler_cancel_ended(bed->scheduler,
		    bed->attempts[step->a - 1], step->op == CONFIRM, bed->now);
		break;
	case CHARGED:
		assert_int_equal(scheduler_charged(bed->scheduler), step->a);
		break;
	case STALE:
		scheduler_get_stats(bed->scheduler, &stats);
		assert_int_equal(stats.stale, step->a);
		break;
	case LIMIT:
		bed->limit = (uint32_t)step->a;
		bed->longest = MS(step->b);
		break;
	case SERVERS:
		list_servers(bed, step->a, step->b);
		break;
	case UNLIST:
		bed->service.servers[0] = *find_spec(bed, step->a);
		bed->service.server_count = 1;
		scheduler_set_servers(bed->scheduler, &bed->service, bed->now);
		break;
	case LEAVING:
		scheduler_server_leaving(
		    bed->scheduler, find_spec(bed, step->a)->server, bed->now);
		break;
	case PEER_CRASH:
		suspect_crashed(bed->suspects, (uint64_t)step->a,
		    (uint64_t)step->b, bed->now);
		break;
	case GIVE_BACK:
		scheduler_give_back(bed->scheduler, bed->now);
		break;
	case DROP:
		scheduler_cancel_query(
		    bed->scheduler, (id128_t){1, (uint64_t)step->a}, bed->now);
		break;
	default:
		break;
	}
}

static void
apply_step(bed_t *bed, const step_t *step, int number)
{
	job_t job = make_job(step->a, bed->start + MS(step->b));
	int error = 0;

	bed->now = bed->start + MS(step->at);
	if (step->op == RESERVE)
		job.kind = JOB_RESERVATION;
	if (step->op == SUBMIT || step->op == RESERVE || step->op == REFUSED)
		error = scheduler_submit(bed->scheduler, &job, bed->now);
	apply_event(bed, step);
	run_scheduler(bed);
	if (step->op == REFUSED)
		snprintf(bed->actions, sizeof(bed->actions), "%s",
		    error_kind(error));
	else
		assert_int_equal(error, 0);
	if (strcmp(bed->actions, step->expect) != 0)
		print_message("    at step %d\n", number);
	assert_string_equal(bed->actions, step->expect);
}

static void
open_bed(bed_t *bed, int servers, uint32_t limit, int warm)
{
	*bed = (bed_t){.now = SECONDS(100), .limit = limit, .longest = MS(250)};
	bed->suspects = suspect_list_create();
	bed->scheduler = scheduler_create("slotplan", bed->suspects, 1);
	list_servers(bed, servers, 0);
	warm_servers(bed, warm);
}

static void
close_bed(bed_t *bed)
{
	scheduler_destroy(bed->scheduler);
	suspect_list_destroy(bed->suspects);
	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
}

static void
run_case(const case_t *test)
{
	bed_t bed;

	print_message("  %s\n", test->name);
	open_bed(&bed, test->servers, (uint32_t)test->limit, test->warm);
	for (int i = 0; test->steps[i].expect != NULL; i++)
		apply_step(&bed, &test->steps[i], i);
	close_bed(&bed);
}

static const case_t cases[] = {
    {"only the answer frees a slot", 1, 2, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {0, SUBMIT, 3, 200, ""}, {5, END, 1, ATTEMPT_OK, "R1=ok S3@a"},
	    {5, END, 1, ATTEMPT_OK, ""}, {5, STALE, 1, 0, ""}}},
    {"a cut connection frees nothing before its deadline and margin", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"},
	    {10, END, 1, ATTEMPT_TIMEOUT, "C1 R1=timeout"},
	    {11, SUBMIT, 2, 400, ""}, {249, RUN, 0, 0, ""},
	    {250, RUN, 0, 0, "S2@a"}}},
    {"a confirmed cancellation frees a slot, a lost one does not", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {10, END, 1, ATTEMPT_MISMATCH, "C1"},
	    {12, LOSE, 1, 0, ""}, {13, CONFIRM, 1, 0, "S1@a"},
	    {14, CONFIRM, 1, 0, ""}, {14, CONFIRM, 2, 0, ""},
	    {14, STALE, 2, 0, ""}, {20, END, 2, ATTEMPT_OK, "R1=ok"}}},
    {"a malformed reply frees nothing, an error status does", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, MALFORMED, 1, 0, "C1"},
	    {2, CONFIRM, 1, 0, "S1@a"},
	    {3, END, 2, ATTEMPT_FAILED, "R1=upstream_failed"},
	    {3, CHARGED, 0, 0, ""}}},
    {"what waits is given back, what runs goes on", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, ""},
	    {0, RESERVE, 3, 200, ""}, {1, LIMIT, 0, 250, ""},
	    {1, GIVE_BACK, 0, 0, "R2=not_served R3=not_served"},
	    {5, END, 1, ATTEMPT_OK, "R1=ok"}}},
    {"a lower limit holds back new attempts", 1, 2, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {1, LIMIT, 1, 250, ""}, {1, SUBMIT, 3, 200, ""},
	    {2, END, 1, ATTEMPT_OK, "R1=ok"},
	    {3, END, 2, ATTEMPT_OK, "R2=ok S3@a"}}},
    {"an attempt without a report ends with its charge", 1, 1, 1,
	{{0, LIMIT, 1, 40, ""}, {0, SUBMIT, 1, 500, "S1@a"},
	    {89, RUN, 0, 0, ""}, {90, RUN, 0, 0, "R1=timeout"}}},
    {"tries are bounded by the servers and one more", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, END, 1, ATTEMPT_FAILED, "S1@a"},
	    {2, END, 2, ATTEMPT_FAILED, "R1=upstream_failed"},
	    {2, RESERVE, 2, 200, "S2@af"}, {3, END, 3, ATTEMPT_SHED, ""},
	    {13, RUN, 0, 0, "S2@af"},
	    {14, END, 4, ATTEMPT_NOT_SENT, "R2=overloaded"}}},
    {"a server that refuses rests longer each time and is probed gently", 1, 2,
	1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {0, END, 1, ATTEMPT_NOT_SENT, ""},
	    {1, END, 2, ATTEMPT_NOT_SENT, ""}, {9, RUN, 0, 0, ""},
	    {10, RUN, 0, 0, "S1@a"},
	    {10, END, 3, ATTEMPT_NOT_SENT, "R1=overloaded"},
	    {29, RUN, 0, 0, ""}, {30, RUN, 0, 0, "S2@a"},
	    {30, SUBMIT, 3, 200, ""}, {31, END, 4, ATTEMPT_OK, "R2=ok S3@a"},
	    {31, SUBMIT, 4, 200, "S4@a"}}},
    {"a cold server runs one attempt until its first answer", 1, 2, 0,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, ""},
	    {1, END, 1, ATTEMPT_OK, "R1=ok S2@a"}, {1, SUBMIT, 3, 200, "S3@a"},
	    {2, SERVERS, 1, 1, ""}, {2, SUBMIT, 4, 200, "S4@b"},
	    {2, SUBMIT, 5, 200, ""}}},
    {"an announced drain is believed until a new incarnation", 1, 2, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, DRAIN, 1, 0, "R1=ok"},
	    {2, REFUSED, 2, 200, "not_found"}, {3, SERVERS, 1, 0, ""},
	    {3, REFUSED, 2, 200, "not_found"}, {4, SERVERS, 1, 1, ""},
	    {4, SUBMIT, 3, 200, "S3@b"}, {5, SERVERS, 1, 0, ""},
	    {5, REFUSED, 4, 200, "not_found"}}},
    {"what waits ends when the last server leaves", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, ""},
	    {0, RESERVE, 3, 200, ""},
	    {1, LEAVING, 0, 0, "R2=not_found R3=not_found"},
	    {2, END, 1, ATTEMPT_OK, "R1=ok"}}},
    {"an unlisted server gets nothing", 2, 2, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, UNLIST, 0, 0, ""},
	    {2, SUBMIT, 2, 200, "S2@a"}, {2, SUBMIT, 3, 200, ""}}},
    {"a slow attempt is hedged once within the budget; the loser is cancelled",
	2, 1, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {10, RUN, 0, 0, ""},
	    {11, RUN, 0, 0, "S1@b"}, {12, RUN, 0, 0, ""},
	    {14, END, 2, ATTEMPT_OK, "C1 R1=ok"}, {15, CONFIRM, 1, 0, ""},
	    {15, SUBMIT, 2, 200, "S2@b"}, {30, RUN, 0, 0, ""},
	    {31, RESERVE, 3, 200, "S3@af"}, {32, RUN, 0, 0, ""}}},
    {"few samples: no hedge, and silence after half of the time", 2, 1, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {99, RUN, 0, 0, ""},
	    {100, RUN, 0, 0, "S1@bf"}, {105, END, 2, ATTEMPT_OK, "C1 R1=ok"}}},
    {"silence: one more attempt, older connections are retired", 1, 2, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {30, RUN, 0, 0, ""},
	    {31, RUN, 0, 0, "S1@afr"}, {150, RUN, 0, 0, ""},
	    {151, END, 2, ATTEMPT_OK, "C1 R1=ok"},
	    {152, SUBMIT, 2, 300, "S2@ar"}}},
    {"a timeout on an old connection retires it", 1, 2, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {200, RUN, 0, 0, "C1 R1=timeout C2 R2=timeout"},
	    {201, CONFIRM, 1, 0, ""}, {201, SUBMIT, 3, 400, "S3@ar"}}},
    {"suspects of a crash run alone, an answer clears them", 1, 3, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {0, SUBMIT, 3, 200, "S3@a"},
	    {5, END, 2, ATTEMPT_DIED, "X3 X2 X1 C2"}, {6, CONFIRM, 2, 0, ""},
	    {7, END, 1, ATTEMPT_OK, "R1=ok"}, {8, SUBMIT, 4, 300, ""},
	    {9, END, 3, ATTEMPT_OK, "R3=ok S2@af"}, {10, RUN, 0, 0, ""},
	    {11, END, 4, ATTEMPT_OK, "R2=ok S4@a"},
	    {12, SUBMIT, 102, 200, "S102@a"}, {13, SUBMIT, 101, 200, ""},
	    {14, END, 5, ATTEMPT_OK, "R4=ok"},
	    {15, END, 6, ATTEMPT_OK, "R102=ok S101@af"}}},
    {"a suspect is not hedged", 2, 1, 21,
	{{0, PEER_CRASH, 1, 1, ""}, {0, SUBMIT, 1, 200, "S1@af"},
	    {100, RUN, 0, 0, ""}}},
    {"after a second crash a request is refused", 2, 2, 2,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, END, 1, ATTEMPT_DIED, "X1 C1 S1@bf"},
	    {2, SUBMIT, 101, 200, ""}, {3, SUBMIT, 2, 200, "S2@a"},
	    {4, END, 2, ATTEMPT_DIED,
		"X1 C2 R1=crashes_servers R101=crashes_servers"},
	    {5, REFUSED, 101, 200, "crashes_servers"}}},
    {"connections of one crash count once, however late", 1, 2, 1,
	{{0, SUBMIT, 1, 300, "S1@a"}, {0, SUBMIT, 101, 310, "S101@a"},
	    {5, END, 1, ATTEMPT_DIED, "X1 C1"},
	    {150, END, 2, ATTEMPT_DIED, "C2"}, {151, CONFIRM, 1, 0, ""},
	    {152, CONFIRM, 2, 0, "S1@af"}}},
    {"a queued request that peers refuse meanwhile is refused", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 5, 200, ""},
	    {1, PEER_CRASH, 5, 1, ""}, {1, PEER_CRASH, 5, 2, ""},
	    {2, END, 1, ATTEMPT_OK, "R1=ok R5=crashes_servers"}}},
    {"a cancelled request whose connection closes is no crash", 1, 1, 1,
	{{0, SUBMIT, 1, 200, "S1@a"}, {1, DROP, 1, 0, "C1"},
	    {2, END, 1, ATTEMPT_DIED, ""}, {249, RUN, 0, 0, ""},
	    {249, CHARGED, 1, 0, ""}, {250, RUN, 0, 0, ""},
	    {250, CHARGED, 0, 0, ""}}},
    {"a cancelled query takes back what waits; a reservation goes on", 1, 1, 1,
	{{0, RESERVE, 1, 200, "S1@af"}, {0, SUBMIT, 2, 200, ""},
	    {1, DROP, 2, 0, ""}, {1, DROP, 1, 0, ""},
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
    {"a job that would be too late gives way to those behind it", 1, 1, 3,
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
    {"what waits for a leaving server goes elsewhere", 2, 1, 2,
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
    {"the server that ends its attempts and one more first is chosen", 2, 2, 2,
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
    {"a server that answered none of three runs one until it answers", 1, 2, 21,
	{{0, SUBMIT, 1, 60, "S1@a"}, {0, SUBMIT, 2, 60, "S2@a"},
	    {60, RUN, 0, 0, "C1 R1=timeout C2 R2=timeout"},
	    {111, SUBMIT, 3, 210, "S3@ar"}, {210, RUN, 0, 0, "C3 R3=timeout"},
	    {261, SUBMIT, 4, 400, "S4@ar"}, {261, SUBMIT, 5, 400, ""},
	    {270, END, 4, 0, "R4=ok S5@ar"}, {270, SUBMIT, 6, 400, "S6@ar"}}},
    {"an attempt is not silent on a server that answers others", 1, 2, 21,
	{{0, SUBMIT, 1, 200, "S1@a"}, {0, SUBMIT, 2, 200, "S2@a"},
	    {5, END, 2, ATTEMPT_OK, "R2=ok"}, {31, RUN, 0, 0, ""},
	    {200, RUN, 0, 0, "C1 R1=timeout"}, {201, SUBMIT, 3, 400, "S3@a"}}},
};

static void
actions_follow_events(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(&cases[i]);
}

/* What follows from one result, and from the same result again. */
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
    {SUBMIT, ATTEMPT_DIED, "X1 C1 S1@bf", "X1 C2 R1=crashes_servers"},
    {SUBMIT, ATTEMPT_TIMEOUT, "C1 R1=timeout", NULL},
    {SUBMIT, ATTEMPT_FAILED, "S1@b", NULL},
    {RESERVE, ATTEMPT_OK, "R1=ok", NULL},
    {RESERVE, ATTEMPT_NOT_SENT, "S1@bf", ""},
    {RESERVE, ATTEMPT_SHED, "S1@bf", ""},
    {RESERVE, ATTEMPT_DRAINING, "S1@bf", "R1=not_found"},
    {RESERVE, ATTEMPT_VERSION_GONE, "R1=outcome_unknown", NULL},
    {RESERVE, ATTEMPT_WRONG_SHARD, "R1=outcome_unknown", NULL},
    {RESERVE, ATTEMPT_MISMATCH, "C1 R1=outcome_unknown", NULL},
    {RESERVE, ATTEMPT_DIED, "X1 C1 R1=outcome_unknown", NULL},
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
submit_many(bed_t *bed, const char *customer, uint32_t weight, int count)
{
	for (int i = 0; i < count; i++) {
		/* The later ones are more urgent. */
		job_t job = make_job(i + 1, bed->now + MS(200 - i));

		job.weight = weight;
		g_strlcpy(job.customer, customer, sizeof(job.customer));
		assert_int_equal(
		    scheduler_submit(bed->scheduler, &job, bed->now), 0);
	}
}

/* Guards against a heavy customer that starves a light one, weights that are
 * ignored and an order within a customer that is not by deadline. */
static void
customers_share_by_weight(void **state)
{
	int heavy = 0, light = 0, last_heavy = 1000;
	bed_t bed;

	open_bed(&bed, 1, 1, 0);
	bed.limit = 0;
	submit_many(&bed, "heavy", 3, 60);
	submit_many(&bed, "light", 1, 20);
	bed.limit = 1;
	for (int i = 0; i < 40; i++) {
		scheduler_action_t action;

		scheduler_run(bed.scheduler, 1, bed.longest, bed.now);
		do
			assert_true(
			    scheduler_next_action(bed.scheduler, &action));
		while (action.kind != SCHEDULER_START);
		bed.attempts[0] = action.attempt;
		if (strcmp(action.job->customer, "heavy") == 0) {
			heavy++;
			assert_true((int)action.job->tag < last_heavy);
			last_heavy = (int)action.job->tag;
		} else {
			light++;
		}
		assert_true(heavy <= 3 * light + 3 && light <= heavy / 3 + 1);
		end_attempt(&bed, 1, (attempt_outcome_t){0});
	}
	assert_int_equal(heavy, 30);
	close_bed(&bed);
}

static void
the_queue_is_bounded(void **state)
{
	job_t job;
	bed_t bed;

	open_bed(&bed, 1, 0, 0);
	for (int i = 0; i < SCHEDULER_MAX_JOBS; i++) {
		job = make_job(i, bed.now + MS(200));
		assert_int_equal(
		    scheduler_submit(bed.scheduler, &job, bed.now), 0);
	}
	assert_int_equal(
	    scheduler_submit(bed.scheduler, &job, bed.now), BW_E_FULL);
	close_bed(&bed);
}

/* Guards against a request sent for a query that was cancelled before the
 * adapter took the action. */
static void
cancelled_starts_are_not_given_out(void **state)
{
	job_t job = make_job(1, SECONDS(101));
	bed_t bed;

	open_bed(&bed, 1, 1, 0);
	job.kind = JOB_RESERVATION;
	assert_int_equal(scheduler_submit(bed.scheduler, &job, bed.now), 0);
	scheduler_run(bed.scheduler, 1, bed.longest, bed.now);
	assert_int_equal(scheduler_charged(bed.scheduler), 1);
	scheduler_cancel_query(bed.scheduler, job.query, bed.now);
	assert_int_equal(scheduler_charged(bed.scheduler), 0);
	run_scheduler(&bed);
	assert_string_equal(bed.actions, "");
	close_bed(&bed);
}

static void
run_batch(bed_t *bed, int size)
{
	bed->attempt_count = 0;
	for (int i = 0; i < size; i++) {
		job_t job = make_job(i, bed->now + MS(200));

		scheduler_submit(bed->scheduler, &job, bed->now);
	}
	run_scheduler(bed);
	bed->now += MS(5) + bed->now % 1000;
	for (int i = 1; i <= size; i++)
		end_attempt(bed, i, (attempt_outcome_t){0});
	run_scheduler(bed);
}

/* Guards against jobs lost or charges kept in a long run; BW_TIMING=1 makes it
 * longer and prints the processor time of a sub-request. */
static void
a_long_run_leaves_nothing(void **state)
{
	int rounds = getenv("BW_TIMING") != NULL ? 20000 : 200;
	scheduler_stats_t stats;
	clock_t begin;
	bed_t bed;

	open_bed(&bed, 3, 5, 3);
	begin = clock();
	for (int i = 0; i < rounds; i++)
		run_batch(&bed, 10);
	if (getenv("BW_TIMING") != NULL)
		print_message("%.2f us for each sub-request\n",
		    (double)(clock() - begin) * 1e6 / CLOCKS_PER_SEC /
			(rounds * 10));
	scheduler_get_stats(bed.scheduler, &stats);
	assert_int_equal(stats.attempts, rounds * 10 + 3);
	assert_int_equal(stats.running + stats.queued, 0);
	assert_int_equal(scheduler_next_wakeup(bed.scheduler), 0);
	close_bed(&bed);
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
