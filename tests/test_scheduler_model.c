/* Drives the scheduler by random events of simulated servers and knows what
 * actually runs on each of them. Guards against exceeded limits, replies that
 * are lost, repeated or wrong, reservations executed twice, attempts on leaving
 * servers, suspects that run beside other requests, and jobs or charges that
 * never end. BW_SEED and BW_STEPS select one seed and its number of steps. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/ledger.h"
#include "bulrushwell/scheduler.h"

#define CHARGE_MARGIN MS(DRIFT_MARGIN_MS)
#define MAX_JOBS 4096 /* kept by the model, by tag modulo this */
#define MAX_RUNS 1024
#define MAX_PROCESSES 256
#define SERVERS 5
#define START SECONDS(1000)
#define CRASH_FINGERPRINT 13 /* of the request that crashes servers */

typedef struct {
	int incarnation;
	bool up;
	bool draining;
	bool known_leaving; /* to the scheduler */
	bool listed;
	bool sends_mismatches;
	usec_t silent_before; /* connections made earlier are silent */
	int runs;	      /* entries of model.runs that refer to it */
	int running;
	int charged; /* as far as the scheduler can know */
	int alone;   /* charged attempts that run alone */
} process_t;

typedef struct {
	bool open;
	bool cancelled;
	bool crashes_server;
	job_kind_t kind;
	usec_t deadline;
	int starts;
	int possible_runs; /* attempts that may have been executed */
	int actual_runs;
	int replies;
} model_job_t;

/* An attempt, and what its simulated server does with it. */
typedef struct {
	bool used;
	handle_t handle;
	id128_t id;
	uint64_t tag;
	int process;
	bool crashes_server;
	bool alone;
	bool running;	 /* on the server */
	bool reported;	 /* to the scheduler */
	bool charged;	 /* as far as the scheduler can know */
	usec_t deadline; /* an unreported charge ends CHARGE_MARGIN later */
	usec_t ends_at;	 /* when it ends on the server */
	usec_t outcome_at;
	attempt_outcome_t outcome;
	usec_t cancel_at; /* 0: none */
	bool cancel_works;
} run_t;

typedef struct {
	scheduler_t *scheduler;
	suspect_list_t *suspects;
	service_t service;
	uint64_t random;
	usec_t now;
	uint32_t limit;
	usec_t max_attempt_time;
	uint64_t next_tag;
	int incarnations;
	int listed[SERVERS]; /* process of each server */
	int crash_count;     /* caused by CRASH_FINGERPRINT */
	uint64_t first_attempts;
	process_t processes[MAX_PROCESSES];
	model_job_t jobs[MAX_JOBS];
	run_t runs[MAX_RUNS];
} model_t;

static uint32_t
random_below(model_t *model, uint32_t below)
{
	model->random =
	    model->random * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)(model->random >> 33) % below;
}

static bool
chance(model_t *model, uint32_t percent)
{
	return random_below(model, 100) < percent;
}

static model_job_t *
job_of(model_t *model, uint64_t tag)
{
	return &model->jobs[tag % MAX_JOBS];
}

static int
process_of(const model_t *model, const char *address)
{
	int process = -1;

	assert_int_equal(sscanf(address, "127.0.0.1:%d", &process), 1);
	assert_in_range(process, 0, MAX_PROCESSES - 1);
	return process;
}

static void
list_server(model_t *model, int server, int process, bool leaving)
{
	server_spec_t *spec = &model->service.servers[server];

	snprintf(spec->server, NAME_SIZE, "server-%d", server);
	snprintf(spec->incarnation, NAME_SIZE, "i%d",
	    model->processes[process].incarnation);
	snprintf(spec->address, ADDRESS_SIZE, "127.0.0.1:%d", process);
	spec->leaving = leaving;
	model->listed[server] = process;
	if (leaving)
		model->processes[process].known_leaving = true;
}

static void
set_servers(model_t *model)
{
	for (int i = 0; i < MAX_PROCESSES; i++)
		model->processes[i].listed = false;
	for (int i = 0; i < SERVERS; i++)
		model->processes[model->listed[i]].listed = true;
	scheduler_set_servers(model->scheduler, &model->service, model->now);
}

static void
replace_process(model_t *model, int server)
{
	int index = 0;

	while (model->processes[index].listed || model->processes[index].runs)
		assert_true(++index < MAX_PROCESSES);
	model->processes[index] =
	    (process_t){.up = true, .incarnation = model->incarnations++};
	list_server(model, server, index, false);
	model->processes[index].listed = true;
}

/* The run ends on the server. */
static void
stop_run(model_t *model, run_t *run)
{
	if (run->running)
		model->processes[run->process].running--;
	run->running = false;
}

/* The scheduler knows that the server doesn't run it any more. */
static void
end_charge(model_t *model, run_t *run)
{
	process_t *process = &model->processes[run->process];

	if (!run->charged)
		return;
	process->charged--;
	if (run->alone)
		process->alone--;
	run->charged = false;
}

static void
plan_failure(model_t *model, run_t *run)
{
	process_t *process = &model->processes[run->process];

	run->outcome_at = model->now + MS(1);
	if (!process->up)
		run->outcome.result = ATTEMPT_NOT_SENT;
	else if (process->draining)
		run->outcome.result = ATTEMPT_DRAINING;
	else if (chance(model, 50))
		run->outcome.result = ATTEMPT_SHED;
	else
		run->outcome.result = chance(model, 50) ? ATTEMPT_VERSION_GONE
							: ATTEMPT_WRONG_SHARD;
}

static void
plan_answer(model_t *model, run_t *run, bool silent)
{
	usec_t duration = MS(2) + random_below(model, 10000);

	if (chance(model, 3)) /* a straggler */
		duration = MS(1 + random_below(model, 600));
	run->running = true;
	model->processes[run->process].running++;
	run->ends_at = MIN(model->now + duration,
	    run->deadline + random_below(model, (uint32_t)CHARGE_MARGIN));
	run->outcome_at = run->ends_at;
	run->outcome.http_status = 200;
	if (run->ends_at > run->deadline || silent) {
		run->outcome_at = run->deadline;
		run->outcome.result = ATTEMPT_TIMEOUT;
	} else if (chance(model, 2)) {
		run->outcome.result = ATTEMPT_FAILED;
		run->outcome.http_status = chance(model, 50) ? 500 : 200;
	}
	/* These are reported while the server still runs the request. */
	if (model->processes[run->process].sends_mismatches &&
	    chance(model, 50))
		run->outcome.result = ATTEMPT_MISMATCH;
	else if (chance(model, 1))
		run->outcome.result = ATTEMPT_CONNECTION_LOST;
	else
		return;
	run->outcome_at = MIN(run->outcome_at, model->now + MS(1));
}

static run_t *
new_run(model_t *model)
{
	for (int i = 0; i < MAX_RUNS; i++)
		if (!model->runs[i].used) {
			model->runs[i] = (run_t){.used = true};
			return &model->runs[i];
		}
	fail_msg("too many attempts");
	return NULL;
}

static void
check_start(model_t *model, const scheduler_action_t *action,
    const model_job_t *job, const process_t *process)
{
	suspect_verdict_t verdict = suspect_verdict(
	    model->suspects, action->job->fingerprint, model->now);

	assert_true(job->open && !job->cancelled);
	assert_true(process->charged < (int)model->limit);
	assert_true(process->running < (int)model->limit);
	assert_false(process->known_leaving);
	assert_true(process->listed);
	assert_int_equal(process->alone, 0);
	assert_int_not_equal(verdict, SUSPECT_REFUSED);
	if (verdict == SUSPECT_ALONE)
		assert_int_equal(process->charged, 0);
	assert_true(action->deadline <= model->now + model->max_attempt_time);
	assert_true(action->deadline <= action->job->deadline);
	assert_true(action->deadline > model->now);
	/* The tries, a hedge and a resend. */
	assert_true(job->starts <= SERVERS + 3);
	for (int i = 0; i < MAX_RUNS; i++)
		assert_false(model->runs[i].used &&
		    id128_equal(model->runs[i].id, action->attempt_id));
	if (job->kind == JOB_RESERVATION) {
		assert_true(action->fresh_connection);
		assert_int_equal(job->possible_runs, 0);
	}
}

static void
start_run(model_t *model, const scheduler_action_t *action)
{
	model_job_t *job = job_of(model, action->job->tag);
	run_t *run = new_run(model);
	process_t *process;

	run->process = process_of(model, action->address);
	process = &model->processes[run->process];
	process->runs++;
	check_start(model, action, job, process);
	run->handle = action->attempt;
	run->id = action->attempt_id;
	run->tag = action->job->tag;
	run->deadline = action->deadline;
	run->charged = true;
	run->crashes_server = job->crashes_server;
	run->alone = suspect_verdict(model->suspects, action->job->fingerprint,
			 model->now) == SUSPECT_ALONE;
	process->charged++;
	process->alone += run->alone;
	if (job->starts++ == 0)
		model->first_attempts++;
	job->possible_runs++;
	if (!process->up || process->draining || chance(model, 4)) {
		plan_failure(model, run);
		return;
	}
	job->actual_runs++;
	plan_answer(model, run,
	    !action->fresh_connection &&
		action->retire_before <= process->silent_before);
}

static void
plan_cancel(model_t *model, const scheduler_action_t *action)
{
	for (int i = 0; i < MAX_RUNS; i++) {
		run_t *run = &model->runs[i];

		if (!run->used || run->handle != action->attempt)
			continue;
		assert_int_equal(run->cancel_at, 0);
		run->cancel_at = model->now + MS(1 + random_below(model, 4));
		run->cancel_works =
		    chance(model, 70) && model->processes[run->process].up;
	}
}

static void
check_reply(model_t *model, const scheduler_action_t *action)
{
	model_job_t *job = job_of(model, action->job->tag);

	assert_true(job->open && !job->cancelled);
	assert_int_equal(job->replies++, 0);
	job->open = false;
	assert_true(action->error <= 0);
	if (action->error == 0)
		assert_true(slice_is(body_slice(action->body), "answer"));
	/* BW_E_SUSPECT may also end a shard job that has run, as its runs
	 * crashed servers. */
	if (error_is_not_run(action->error) &&
	    (action->error != BW_E_SUSPECT || job->kind == JOB_RESERVATION)) {
		assert_int_equal(job->actual_runs, 0);
		assert_int_equal(job->possible_runs, 0);
	}
}

static void
run_scheduler(model_t *model)
{
	scheduler_action_t action;

	scheduler_run(model->scheduler, model->limit, model->max_attempt_time,
	    model->now);
	while (scheduler_next_action(model->scheduler, &action)) {
		switch (action.kind) {
		case SCHEDULER_START:
			start_run(model, &action);
			break;
		case SCHEDULER_CANCEL:
			plan_cancel(model, &action);
			break;
		case SCHEDULER_REPLY:
			check_reply(model, &action);
			break;
		case SCHEDULER_CRASH:
			assert_int_not_equal(action.crash_number, 0);
			break;
		}
	}
}

static bool
proves_end(const attempt_outcome_t *outcome)
{
	return outcome->result != ATTEMPT_MISMATCH &&
	    outcome->result != ATTEMPT_CONNECTION_LOST &&
	    outcome->result != ATTEMPT_TIMEOUT &&
	    (outcome->result != ATTEMPT_FAILED || outcome->http_status >= 400);
}

static void
report_outcome(model_t *model, run_t *run)
{
	process_t *process = &model->processes[run->process];
	body_t *body = body_create("answer", 6);
	attempt_result_t result = run->outcome.result;

	run->reported = true;
	run->outcome.announced_drain = process->draining &&
	    result != ATTEMPT_NOT_SENT && result != ATTEMPT_TIMEOUT;
	run->outcome.body = result == ATTEMPT_OK ? body : NULL;
	/* An attempt whose charge ended is unknown to the scheduler. */
	if (run->charged &&
	    (run->outcome.announced_drain || result == ATTEMPT_DRAINING))
		process->known_leaving = true;
	if (result == ATTEMPT_NOT_SENT || result == ATTEMPT_SHED ||
	    result == ATTEMPT_DRAINING)
		job_of(model, run->tag)->possible_runs--;
	if (proves_end(&run->outcome))
		end_charge(model, run);
	scheduler_attempt_ended(
	    model->scheduler, run->handle, &run->outcome, model->now);
	body_unref(body);
}

static void
report_cancel(model_t *model, run_t *run)
{
	run->cancel_at = INT64_MAX;
	if (run->cancel_works) {
		stop_run(model, run);
		end_charge(model, run);
		/* The connection of the attempt may still report an outcome. */
		if (!run->reported && chance(model, 50))
			run->outcome_at = model->now + MS(1);
	}
	scheduler_cancel_ended(
	    model->scheduler, run->handle, run->cancel_works, model->now);
}

/* Connections of a killed server end within a few milliseconds. */
static void
kill_process(model_t *model, int index)
{
	model->processes[index].up = false;
	model->processes[index].silent_before = 0;
	for (int i = 0; i < MAX_RUNS; i++) {
		run_t *run = &model->runs[i];

		if (!run->used || run->process != index)
			continue;
		stop_run(model, run);
		if (!run->reported && run->outcome.result != ATTEMPT_NOT_SENT) {
			run->outcome = (attempt_outcome_t){
			    .result = ATTEMPT_CONNECTION_LOST};
			run->outcome_at =
			    model->now + 1 + random_below(model, 3000);
		}
	}
}

static void
finish_run(model_t *model, run_t *run)
{
	bool crashes_server = run->crashes_server && run->running;

	stop_run(model, run);
	if (!crashes_server || !model->processes[run->process].up)
		return;
	kill_process(model, run->process);
	model->crash_count++;
	/* In each SUSPECT_REFUSE_S at most the attempts that run at the first
	 * crash and one more may crash a server: then the request is refused.
	 */
	assert_true(model->crash_count <=
	    8 * (1 + (model->now - START) / SECONDS(SUSPECT_REFUSE_S)));
}

static void
advance_run(model_t *model, run_t *run)
{
	if (run->running && model->now >= run->ends_at)
		finish_run(model, run);
	if (!run->reported && model->now >= run->outcome_at)
		report_outcome(model, run);
	if (run->cancel_at > 0 && model->now >= run->cancel_at)
		report_cancel(model, run);
	if (model->now >= run->deadline + CHARGE_MARGIN) {
		assert_false(run->running);
		end_charge(model, run);
		run->used = !run->reported;
		if (!run->used)
			model->processes[run->process].runs--;
	}
}

static usec_t
next_event(const model_t *model)
{
	usec_t at = scheduler_next_wakeup(model->scheduler);

	at = at == 0 ? INT64_MAX : at;
	for (int i = 0; i < MAX_RUNS; i++) {
		const run_t *run = &model->runs[i];

		if (!run->used)
			continue;
		at = MIN(at, run->deadline + CHARGE_MARGIN);
		if (run->running)
			at = MIN(at, run->ends_at);
		if (!run->reported)
			at = MIN(at, run->outcome_at);
		if (run->cancel_at > 0)
			at = MIN(at, run->cancel_at);
	}
	return at;
}

/* Advances from event to event, as the caller of a scheduler does: a wakeup
 * that is missing or in the past is a fault. */
static void
advance_time(model_t *model, usec_t until)
{
	usec_t at;

	while ((at = next_event(model)) <= until) {
		assert_true(at > model->now);
		model->now = at;
		for (int i = 0; i < MAX_RUNS; i++)
			if (model->runs[i].used)
				advance_run(model, &model->runs[i]);
		run_scheduler(model);
	}
	model->now = until;
}

static void
submit_job(model_t *model)
{
	uint64_t tag = model->next_tag;
	model_job_t *job = job_of(model, tag);
	job_t request = {.tag = tag, .weight = 1 + random_below(model, 4)};
	int error;

	if (job->open)
		return;
	request.kind = chance(model, 20) ? JOB_RESERVATION : JOB_SHARD;
	request.query = (id128_t){1, tag / 4};
	request.deadline = model->now + MS(5) + random_below(model, 400000);
	request.fingerprint = random_below(model, 500) == 0
	    ? CRASH_FINGERPRINT
	    : 100 + random_below(model, 50000);
	snprintf(request.customer, NAME_SIZE, "c%u", random_below(model, 3));
	error = scheduler_submit(model->scheduler, &request, model->now);
	if (error != 0) {
		assert_true(error_is_not_run(error));
		return;
	}
	model->next_tag++;
	*job = (model_job_t){.open = true,
	    .kind = request.kind,
	    .deadline = request.deadline,
	    .crashes_server = request.fingerprint == CRASH_FINGERPRINT};
}

static void
cancel_query(model_t *model)
{
	uint64_t query = (model->next_tag - random_below(model, 40)) / 4;

	if (model->next_tag < 100)
		return;
	for (uint64_t tag = 4 * query; tag < 4 * query + 4; tag++)
		if (tag < model->next_tag && job_of(model, tag)->open) {
			job_of(model, tag)->open = false;
			job_of(model, tag)->cancelled = true;
		}
	scheduler_cancel_query(
	    model->scheduler, (id128_t){1, query}, model->now);
}

/* A random event that concerns one server. */
static void
inject_server_event(model_t *model)
{
	int server = (int)random_below(model, SERVERS);
	process_t *process = &model->processes[model->listed[server]];

	switch (random_below(model, 8)) {
	case 0:
		kill_process(model, model->listed[server]);
		break;
	case 1:
		process->draining = true;
		break;
	case 2:
		process->sends_mismatches = !process->sends_mismatches;
		break;
	case 3:
		process->silent_before = model->now;
		break;
	case 4: /* restarted before the service object shows it */
		process->up = true;
		break;
	case 5:
		replace_process(model, server);
		set_servers(model);
		break;
	case 6:
		list_server(model, server, model->listed[server], true);
		set_servers(model);
		break;
	default:
		process->known_leaving = true;
		scheduler_server_leaving(model->scheduler,
		    model->service.servers[server].server, model->now);
		break;
	}
}

static void
step_model(model_t *model)
{
	uint32_t kind = random_below(model, 1000);

	if (kind < 500)
		submit_job(model);
	else if (kind < 510)
		cancel_query(model);
	else if (kind < 513)
		inject_server_event(model);
	else if (kind < 517) {
		replace_process(model, (int)random_below(model, SERVERS));
		set_servers(model);
	} else if (kind < 519)
		model->limit = random_below(model, 5);
	else if (kind < 521)
		model->max_attempt_time = MS(50 + random_below(model, 300));
	else
		advance_time(model, model->now + random_below(model, 4000));
	if (kind < 521)
		run_scheduler(model);
}

static void
check_stats(model_t *model)
{
	scheduler_stats_t stats;

	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
	scheduler_get_stats(model->scheduler, &stats);
	assert_int_equal(stats.running + stats.queued, 0);
	assert_int_equal(scheduler_max_charged_now(model->scheduler), 0);
	assert_int_equal(scheduler_next_wakeup(model->scheduler), 0);
	assert_true((double)stats.hedges <=
	    SCHEDULER_HEDGE_BUDGET * (double)model->first_attempts);
	print_message("  jobs %llu, attempts %llu, hedges %llu, resends %llu, "
		      "retries %llu, cancels %llu, mismatches %llu\n",
	    (unsigned long long)stats.jobs, (unsigned long long)stats.attempts,
	    (unsigned long long)stats.hedges, (unsigned long long)stats.resends,
	    (unsigned long long)stats.retries,
	    (unsigned long long)stats.cancels,
	    (unsigned long long)stats.mismatches);
}

static void
run_model(uint64_t seed, uint32_t steps)
{
	model_t *model = g_new0(model_t, 1);
	clock_t begin = clock();

	model->random = seed;
	model->now = START;
	model->limit = 2;
	model->max_attempt_time = MS(250);
	model->suspects = suspect_list_create();
	model->scheduler = scheduler_create("slotplan", model->suspects, seed);
	model->service.server_count = SERVERS;
	for (int i = 0; i < SERVERS; i++)
		replace_process(model, i);
	set_servers(model);
	for (uint32_t i = 0; i < steps; i++)
		step_model(model);
	advance_time(model, model->now + SECONDS(2));
	for (int i = 0; i < MAX_JOBS; i++)
		assert_false(model->jobs[i].open);
	print_message("  seed %llu: %u steps, %.0f a second\n",
	    (unsigned long long)seed, steps,
	    steps / ((double)(clock() - begin + 1) / CLOCKS_PER_SEC));
	check_stats(model);
	scheduler_destroy(model->scheduler);
	suspect_list_destroy(model->suspects);
	g_free(model);
}

static void
random_events_keep_the_rules(void **state)
{
	static const uint32_t steps[] = {300, 1000, 3000, 20000};
	const char *seed = getenv("BW_SEED");
	const char *count = getenv("BW_STEPS");

	if (seed != NULL || count != NULL) {
		run_model(seed != NULL ? strtoull(seed, NULL, 10) : 1,
		    count != NULL ? (uint32_t)strtoul(count, NULL, 10) : 20000);
		return;
	}
	for (uint64_t i = 1; i <= 40; i++)
		run_model(i, steps[i % G_N_ELEMENTS(steps)]);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(random_events_keep_the_rules),
	};

	return RUN_TESTS(argc, argv, tests);
}
