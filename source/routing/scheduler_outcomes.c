#include <glib.h>

#include "bulrushwell/error.h"
#include "scheduler_private.h"

/* Whether the server executed the request, as far as an outcome tells. */
typedef enum {
	EXECUTION_NEVER,  /* the server certainly did not and will not run it */
	EXECUTION_ENDED,  /* the server answered and no longer runs it */
	EXECUTION_UNKNOWN /* the server may still run it */
} execution_t;

static execution_t
classify_execution(const attempt_outcome_t *outcome)
{
	switch (outcome->result) {
	case ATTEMPT_NOT_SENT:
	case ATTEMPT_SHED:
	case ATTEMPT_DRAINING:
		return EXECUTION_NEVER;
	case ATTEMPT_OK:
	case ATTEMPT_VERSION_GONE:
	case ATTEMPT_WRONG_SHARD:
		return EXECUTION_ENDED;
	case ATTEMPT_FAILED:
		/* A malformed reply may be that of another request. */
		return outcome->http_status >= 400 ? EXECUTION_ENDED
						   : EXECUTION_UNKNOWN;
	case ATTEMPT_MISMATCH:
	case ATTEMPT_CONNECTION_LOST:
	case ATTEMPT_TIMEOUT:
		break;
	}
	return EXECUTION_UNKNOWN;
}

static void
record_latency(scheduler_t *scheduler, const attempt_t *attempt, usec_t now)
{
	usec_t latency = now - attempt->started;

	latency_record(&scheduler->latency, latency);
	server_record_latency(attempt->server, latency, now);
}

static void
record_refusal(scheduler_t *scheduler, const attempt_t *attempt, usec_t now)
{
	server_t *server = attempt->server;

	if (server_record_refusal(server, attempt->started, now))
		scheduler_requeue_waiting(scheduler, server, now);
}

/* Updates the server's record, whether or not the job still exists. */
/* A connection on which the server answers is not silent. Whatever silenced the
 * connections of a server has spared none that was as old, so the same holds
 * for those that were opened later. */
static void
clear_younger_connections(const attempt_t *answered)
{
	attempt_t *other = answered->server->attempts;

	if (answered->connection_opened_at == 0)
		return;
	for (; other != NULL; other = other->next)
		if (other != answered &&
		    other->connection_opened_at >=
			answered->connection_opened_at)
			other->older_connection_answered = true;
}

static void
update_server(scheduler_t *scheduler, attempt_t *attempt,
    const attempt_outcome_t *outcome, usec_t now)
{
	server_t *server = attempt->server;

	switch (outcome->result) {
	case ATTEMPT_OK:
		record_latency(scheduler, attempt, now);
		server_record_answer(server, true, now);
		clear_younger_connections(attempt);
		break;
	case ATTEMPT_VERSION_GONE:
	case ATTEMPT_WRONG_SHARD:
		server_record_answer(server, true, now);
		break;
	case ATTEMPT_FAILED:
		if (classify_execution(outcome) == EXECUTION_ENDED)
			server_record_answer(server, false, now);
		server_record_failure(server, now);
		break;
	case ATTEMPT_NOT_SENT:
	case ATTEMPT_SHED:
		record_refusal(scheduler, attempt, now);
		break;
	case ATTEMPT_DRAINING:
		break;
	case ATTEMPT_MISMATCH:
		scheduler->stats.mismatches++;
		server_record_mismatch(server, now);
		break;
	case ATTEMPT_CONNECTION_LOST:
		server_record_failure(server, now);
		break;
	case ATTEMPT_TIMEOUT:
		scheduler_record_unanswered(scheduler, attempt, now);
		break;
	}
	if (outcome->announced_drain || outcome->result == ATTEMPT_DRAINING)
		scheduler_mark_leaving(scheduler, server, "its reply", now);
}

static void
deliver_answer(scheduler_t *scheduler, job_entry_t *entry, bool hedge,
    const attempt_outcome_t *outcome, usec_t now)
{
	entry->http_status = outcome->http_status;
	entry->reply = body_ref(outcome->body);
	if (hedge)
		scheduler->stats.hedge_wins++;
	scheduler_end_job(scheduler, entry, 0, now);
}

static void
continue_reservation(scheduler_t *scheduler, job_entry_t *entry,
    execution_t execution, usec_t now)
{
	if (execution == EXECUTION_NEVER)
		scheduler_retry_job(scheduler, entry, now);
	else
		scheduler_end_job(scheduler, entry, BW_E_OUTCOME_UNKNOWN, now);
}

static void
continue_shard(scheduler_t *scheduler, job_entry_t *entry,
    const attempt_outcome_t *outcome, usec_t now)
{
	if (entry->active_count > 0)
		return;
	if (outcome->result == ATTEMPT_TIMEOUT)
		scheduler_end_job(scheduler, entry, BW_E_TIMEOUT, now);
	else if (scheduler_is_refused(scheduler, entry, now))
		scheduler_end_job(scheduler, entry, BW_E_SUSPECT, now);
	else
		scheduler_retry_job(scheduler, entry, now);
}

static void
update_job(job_entry_t *entry, const server_t *server,
    const attempt_outcome_t *outcome, execution_t execution)
{
	if (execution == EXECUTION_NEVER)
		entry->possibly_run--;
	if (outcome->result == ATTEMPT_VERSION_GONE)
		entry->version_gone = true;
	if (outcome->result == ATTEMPT_VERSION_GONE ||
	    outcome->result == ATTEMPT_WRONG_SHARD)
		server_mask_add(&entry->unusable, server);
	if (outcome->result == ATTEMPT_CONNECTION_LOST)
		entry->fresh_connection = true;
}

/* Ends the charge if the attempt runs no longer. This comes before the job is
 * handled, as a retry may need the slot. */
static void
release_or_abandon(scheduler_t *scheduler, attempt_t *attempt,
    execution_t execution, const attempt_outcome_t *outcome, usec_t now)
{
	bool connection_lost = outcome->result == ATTEMPT_CONNECTION_LOST;

	if (execution == EXECUTION_ENDED && attempt->alone)
		suspect_record_answer(
		    scheduler->suspects, attempt->fingerprint, now);
	/* A server may close the connection of a cancelled request, which is
	 * no crash. */
	if (connection_lost && attempt->state == STATE_ACTIVE)
		scheduler_record_crash(scheduler, attempt, now);
	if (execution == EXECUTION_UNKNOWN)
		scheduler_abandon_attempt(scheduler, attempt);
	else
		scheduler_release_attempt(scheduler, attempt, now);
}

void
scheduler_attempt_connected(
    scheduler_t *scheduler, handle_t handle, usec_t opened_at)
{
	attempt_t *attempt = table_get(scheduler->attempts, handle);

	if (attempt != NULL)
		attempt->connection_opened_at = opened_at;
}

void
scheduler_attempt_ended(scheduler_t *scheduler, handle_t handle,
    const attempt_outcome_t *outcome, usec_t now)
{
	attempt_t *attempt = table_get(scheduler->attempts, handle);
	execution_t execution = classify_execution(outcome);
	job_entry_t *entry;
	server_t *server;
	bool hedge;

	if (attempt == NULL || attempt->state == STATE_ABANDONED ||
	    !attempt->start_taken) {
		scheduler->stats.stale_reports++;
		return;
	}
	server = attempt->server;
	hedge = attempt->hedge;
	entry = attempt->state == STATE_ACTIVE
	    ? scheduler_find_job(scheduler, attempt->job)
	    : NULL;
	update_server(scheduler, attempt, outcome, now);
	if (entry != NULL) {
		scheduler_detach_attempt(entry, attempt);
		update_job(entry, server, outcome, execution);
	}
	release_or_abandon(scheduler, attempt, execution, outcome, now);
	if (entry == NULL)
		return;
	if (outcome->result == ATTEMPT_OK)
		deliver_answer(scheduler, entry, hedge, outcome, now);
	else if (entry->job.kind == JOB_RESERVATION)
		continue_reservation(scheduler, entry, execution, now);
	else
		continue_shard(scheduler, entry, outcome, now);
}
