#include "scheduler_fixture.h"

#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "runner.h"

static void
list_servers(scheduler_fixture_t *fixture, int count, int incarnation)
{
	fixture->service.server_count = (uint32_t)count;
	for (int i = 0; i < count; i++) {
		server_spec_t *spec = &fixture->service.servers[i];

		snprintf(spec->server, NAME_SIZE, "server-%d", i);
		snprintf(spec->incarnation, NAME_SIZE, "i%d",
		    i == 0 ? incarnation : 0);
		snprintf(spec->address, ADDRESS_SIZE, "127.0.0.%d:%d", i + 1,
		    i == 0 ? 80 + incarnation : 80);
	}
	scheduler_set_servers(
	    fixture->scheduler, &fixture->service, fixture->now);
}

static int
server_letter(scheduler_fixture_t *fixture, const char *address)
{
	for (int i = 0; i < fixture->used_count; i++)
		if (strcmp(fixture->used_addresses[i], address) == 0)
			return i;
	strcpy(fixture->used_addresses[fixture->used_count], address);
	return fixture->used_count++;
}

static const server_spec_t *
find_spec(scheduler_fixture_t *fixture, int letter)
{
	const server_spec_t *spec = fixture->service.servers;

	while (strcmp(spec->address, fixture->used_addresses[letter]) != 0)
		spec++;
	return spec;
}

static int
attempt_number(scheduler_fixture_t *fixture, handle_t handle)
{
	for (int i = 0; i < fixture->attempt_count; i++)
		if (fixture->attempts[i] == handle)
			return i + 1;
	fixture->attempts[fixture->attempt_count] = handle;
	return ++fixture->attempt_count;
}

static void
append_action(scheduler_fixture_t *fixture, const scheduler_action_t *action)
{
	size_t used = strlen(fixture->actions);
	char *text = fixture->actions + used;
	size_t size = sizeof(fixture->actions) - used;
	const char *space = used > 0 ? " " : "";

	switch (action->kind) {
	case SCHEDULER_START:
		assert_true(action->deadline <=
		    fixture->now + fixture->max_attempt_time);
		assert_true(action->deadline <= action->job->deadline);
		attempt_number(fixture, action->attempt);
		snprintf(text, size, "%sS%d@%c%s%s", space,
		    (int)action->job->tag,
		    'a' + server_letter(fixture, action->address),
		    action->fresh_connection ? "f" : "",
		    action->retire_before > fixture->start ? "r" : "");
		break;
	case SCHEDULER_CANCEL:
		snprintf(text, size, "%sC%d", space,
		    attempt_number(fixture, action->attempt));
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

void
fixture_run(scheduler_fixture_t *fixture)
{
	scheduler_action_t action;

	scheduler_run(fixture->scheduler, fixture->limit,
	    fixture->max_attempt_time, fixture->now);
	fixture->actions[0] = '\0';
	while (scheduler_next_action(fixture->scheduler, &action))
		append_action(fixture, &action);
}

job_t
fixture_job(int tag, usec_t deadline)
{
	job_t job = {.tag = (uint64_t)tag,
	    .query = {1, (uint64_t)tag},
	    .customer = "c",
	    .weight = 1,
	    .deadline = deadline,
	    .fingerprint = (uint64_t)tag % 100};

	return job;
}

void
fixture_end_attempt(
    scheduler_fixture_t *fixture, int number, attempt_outcome_t outcome)
{
	body_t *body = body_create("x", 1);

	outcome.body = outcome.result == ATTEMPT_OK ? body : NULL;
	if (outcome.result == ATTEMPT_OK)
		outcome.http_status = 200;
	scheduler_attempt_ended(fixture->scheduler,
	    fixture->attempts[number - 1], &outcome, fixture->now);
	body_unref(body);
}

static void
warm_servers(scheduler_fixture_t *fixture, int jobs)
{
	for (int i = 0; i < jobs; i++) {
		job_t job = fixture_job(0, fixture->now + SECONDS(1));

		assert_int_equal(
		    scheduler_submit(fixture->scheduler, &job, fixture->now),
		    0);
		fixture_run(fixture);
		fixture->now += MS(10);
		fixture_end_attempt(fixture, 1, (attempt_outcome_t){0});
		fixture_run(fixture);
		fixture->attempt_count = 0;
	}
	fixture->used_count = 0;
	fixture->start = fixture->now;
}

static void
apply_event(scheduler_fixture_t *fixture, const step_t *step)
{
	scheduler_stats_t stats;

	switch (step->op) {
	case END:
		fixture_end_attempt(fixture, step->a,
		    (attempt_outcome_t){.result = (attempt_result_t)step->b,
			.http_status = 500});
		break;
	case CONNECTED:
		scheduler_attempt_connected(fixture->scheduler,
		    fixture->attempts[step->a - 1],
		    fixture->start + MS(step->b));
		break;
	case MALFORMED:
		fixture_end_attempt(fixture, step->a,
		    (attempt_outcome_t){.result = ATTEMPT_FAILED});
		break;
	case DRAIN:
		fixture_end_attempt(fixture, step->a,
		    (attempt_outcome_t){.announced_drain = true});
		break;
	case CONFIRM:
	case FAIL_CANCEL:
		scheduler_cancel_ended(fixture->scheduler,
		    fixture->attempts[step->a - 1], step->op == CONFIRM,
		    fixture->now);
		break;
	case CHARGED:
		assert_int_equal(
		    scheduler_max_charged_now(fixture->scheduler), step->a);
		break;
	case STALE:
		scheduler_get_stats(fixture->scheduler, &stats);
		assert_int_equal(stats.stale_reports, step->a);
		break;
	case LIMIT:
		fixture->limit = (uint32_t)step->a;
		fixture->max_attempt_time = MS(step->b);
		break;
	case SERVERS:
		list_servers(fixture, step->a, step->b);
		break;
	case UNLIST_OTHERS:
		fixture->service.servers[0] = *find_spec(fixture, step->a);
		fixture->service.server_count = 1;
		scheduler_set_servers(
		    fixture->scheduler, &fixture->service, fixture->now);
		break;
	case LEAVING:
		scheduler_server_leaving(fixture->scheduler,
		    find_spec(fixture, step->a)->server, fixture->now);
		break;
	case PEER_CRASH:
		suspect_record_crash(fixture->suspects, (uint64_t)step->a,
		    (uint64_t)step->b, fixture->now);
		break;
	case REJECT_QUEUED:
		scheduler_reject_queued(fixture->scheduler, fixture->now);
		break;
	case CANCEL:
		scheduler_cancel_query(fixture->scheduler,
		    (id128_t){1, (uint64_t)step->a}, fixture->now);
		break;
	default:
		break;
	}
}

void
fixture_apply(scheduler_fixture_t *fixture, const step_t *step, int number)
{
	job_t job = fixture_job(step->a, fixture->start + MS(step->b));
	int error = 0;

	fixture->now = fixture->start + MS(step->at);
	if (step->op == RESERVE)
		job.kind = JOB_RESERVATION;
	if (step->op == SUBMIT || step->op == RESERVE || step->op == REFUSED)
		error =
		    scheduler_submit(fixture->scheduler, &job, fixture->now);
	apply_event(fixture, step);
	fixture_run(fixture);
	if (step->op == REFUSED)
		snprintf(fixture->actions, sizeof(fixture->actions), "%s",
		    error_kind(error));
	else
		assert_int_equal(error, 0);
	if (strcmp(fixture->actions, step->expect) != 0)
		print_message("    at step %d\n", number);
	assert_string_equal(fixture->actions, step->expect);
}

void
fixture_open(
    scheduler_fixture_t *fixture, int servers, uint32_t limit, int warm)
{
	*fixture = (scheduler_fixture_t){
	    .now = SECONDS(100), .limit = limit, .max_attempt_time = MS(250)};
	fixture->suspects = suspect_list_create();
	fixture->scheduler = scheduler_create("slotplan", fixture->suspects, 1);
	list_servers(fixture, servers, 0);
	warm_servers(fixture, warm);
}

void
fixture_close(scheduler_fixture_t *fixture)
{
	scheduler_destroy(fixture->scheduler);
	suspect_list_destroy(fixture->suspects);
	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
}
