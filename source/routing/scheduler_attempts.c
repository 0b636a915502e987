#include <glib.h>
#include <xxhash.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "scheduler_private.h"

/* Hashes known values, which needs no system call: the query's random id makes
 * the id unique among queries, the rest makes it unique among the attempts of
 * one query. */
static id128_t
make_attempt_id(scheduler_t *scheduler, const job_t *job)
{
	const uint64_t parts[] = {job->query.hi, job->query.lo, scheduler->seed,
	    ++scheduler->attempt_number, job->shard, job->tag};
	XXH128_hash_t hash = XXH3_128bits(parts, sizeof(parts));

	return (id128_t){hash.high64, hash.low64};
}

static void
charge_server(scheduler_t *scheduler, attempt_t *attempt, server_t *server)
{
	INVARIANT(server->charged < scheduler->server_limit,
	    "server %s would get an attempt beside %u others, limit %u",
	    server->name, server->charged, scheduler->server_limit);
	INVARIANT(server_is_live(server), "server %s is leaving or not listed",
	    server->name);
	INVARIANT(
	    !server->runs_suspect && (!attempt->alone || server->charged == 0),
	    "server %s would run a suspect beside other attempts",
	    server->name);
	attempt->server = server;
	attempt->next = server->attempts;
	attempt->link = &server->attempts;
	if (attempt->next != NULL)
		attempt->next->link = &attempt->next;
	server->attempts = attempt;
	server->charged++;
	server->runs_suspect = attempt->alone;
	scheduler->stats.running++;
	scheduler->stats.max_charged =
	    MAX(scheduler->stats.max_charged, server->charged);
	heap_push(&scheduler->attempts_by_charge_end, &attempt->charge_node,
	    attempt->deadline + DRIFT_MARGIN);
}

static void
count_start(
    scheduler_t *scheduler, job_entry_t *entry, attempt_options_t options)
{
	scheduler->stats.attempts++;
	if (options.hedge)
		scheduler->stats.hedges++;
	entry->possibly_run++;
	INVARIANT(entry->job.kind == JOB_SHARD || entry->possibly_run == 1,
	    "a reservation might be executed twice");
}

attempt_t *
scheduler_start_attempt(scheduler_t *scheduler, job_entry_t *entry,
    server_t *server, attempt_options_t options, usec_t now)
{
	attempt_t *attempt;
	handle_t handle;

	INVARIANT(entry->active_count < JOB_MAX_ACTIVE,
	    "a job has too many attempts at once");
	handle = table_insert(scheduler->attempts, (void **)&attempt);
	if (handle == HANDLE_NONE)
		return NULL;
	attempt->handle = handle;
	attempt->id = make_attempt_id(scheduler, &entry->job);
	attempt->job = entry->handle;
	attempt->fingerprint = entry->job.fingerprint;
	attempt->crash_number =
	    suspect_next_crash(scheduler->suspects, attempt->fingerprint);
	attempt->started = now;
	attempt->deadline =
	    MIN(entry->job.deadline, now + scheduler->max_attempt_time);
	attempt->hedge = options.hedge;
	attempt->alone = options.alone;
	attempt->fresh_connection = options.fresh_connection || options.alone ||
	    entry->fresh_connection || entry->job.kind == JOB_RESERVATION;
	charge_server(scheduler, attempt, server);
	entry->active[entry->active_count++] = handle;
	server_mask_add(&entry->tried, server);
	count_start(scheduler, entry, options);
	if (entry->job.kind == JOB_SHARD)
		scheduler_arm_check(scheduler, attempt);
	scheduler_push_action(scheduler, SCHEDULER_START, handle);
	return attempt;
}

attempt_t *
scheduler_start_try(scheduler_t *scheduler, job_entry_t *entry,
    server_t *server, attempt_options_t options, usec_t now)
{
	attempt_t *attempt =
	    scheduler_start_attempt(scheduler, entry, server, options, now);

	if (attempt == NULL)
		return NULL;
	if (++entry->tries == 1)
		scheduler_add_hedge_credit(scheduler);
	else
		scheduler->stats.retries++;
	return attempt;
}

void
scheduler_release_attempt(
    scheduler_t *scheduler, attempt_t *attempt, usec_t now)
{
	server_t *server = attempt->server;

	INVARIANT(
	    server->charged > 0, "server %s has no attempts", server->name);
	*attempt->link = attempt->next;
	if (attempt->next != NULL)
		attempt->next->link = attempt->link;
	server->charged--;
	if (attempt->alone)
		server->runs_suspect = false;
	scheduler->stats.running--;
	heap_remove(&scheduler->attempts_by_charge_end, &attempt->charge_node);
	heap_remove(&scheduler->attempts_by_check, &attempt->check_node);
	if (attempt->start_taken)
		latency_record_charge_time(
		    &scheduler->latency, now - attempt->started);
	table_remove(scheduler->attempts, attempt->handle);
}

/* Removes an attempt whose START action was not taken: nothing was sent. */
static void
withdraw_attempt(scheduler_t *scheduler, attempt_t *attempt, usec_t now)
{
	job_entry_t *entry = table_get(scheduler->jobs, attempt->job);

	if (entry != NULL)
		entry->possibly_run--;
	scheduler_release_attempt(scheduler, attempt, now);
}

void
scheduler_cancel_attempt(scheduler_t *scheduler, attempt_t *attempt, usec_t now)
{
	if (!attempt->start_taken) {
		withdraw_attempt(scheduler, attempt, now);
		return;
	}
	if (attempt->state != STATE_ACTIVE)
		return;
	scheduler_record_unanswered(scheduler, attempt, now);
	attempt->state = STATE_CANCELLED;
	heap_remove(&scheduler->attempts_by_check, &attempt->check_node);
	scheduler->stats.cancels++;
	scheduler_push_action(scheduler, SCHEDULER_CANCEL, attempt->handle);
}

void
scheduler_abandon_attempt(scheduler_t *scheduler, attempt_t *attempt)
{
	if (attempt->state == STATE_ACTIVE) {
		scheduler->stats.cancels++;
		scheduler_push_action(
		    scheduler, SCHEDULER_CANCEL, attempt->handle);
	}
	attempt->state = STATE_ABANDONED;
	heap_remove(&scheduler->attempts_by_check, &attempt->check_node);
}

void
scheduler_cancel_ended(
    scheduler_t *scheduler, handle_t handle, bool confirmed, usec_t now)
{
	attempt_t *attempt = table_get(scheduler->attempts, handle);

	if (attempt == NULL || attempt->state == STATE_ACTIVE) {
		scheduler->stats.stale_reports++;
		return;
	}
	if (confirmed)
		scheduler_release_attempt(scheduler, attempt, now);
}

/* Ends the job after its last attempt's charge expired without a report. This
 * happens when the attempt's deadline is earlier than that of its job. */
static void
end_job_without_report(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	if (entry->active_count > 0)
		return;
	if (entry->job.kind == JOB_RESERVATION)
		scheduler_end_job(scheduler, entry, BW_E_OUTCOME_UNKNOWN, now);
	else
		scheduler_end_job(scheduler, entry, BW_E_TIMEOUT, now);
}

void
scheduler_expire_charges(scheduler_t *scheduler, usec_t now)
{
	heap_node_t *node;

	while ((node = heap_top(&scheduler->attempts_by_charge_end)) != NULL &&
	    node->key <= now) {
		attempt_t *attempt = HEAP_ENTRY(node, attempt_t, charge_node);
		job_entry_t *entry = NULL;

		if (attempt->state == STATE_ACTIVE) {
			entry = scheduler_find_job(scheduler, attempt->job);
			scheduler_record_unanswered(scheduler, attempt, now);
		}
		if (entry != NULL)
			scheduler_detach_attempt(entry, attempt);
		scheduler_release_attempt(scheduler, attempt, now);
		if (entry != NULL)
			end_job_without_report(scheduler, entry, now);
	}
}
