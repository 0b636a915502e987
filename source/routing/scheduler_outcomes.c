#include <glib.h>

#include "bulrushwell/error.h"
#include "scheduler_private.h"

/* What a result says about the request and its server. */
typedef enum {
	SAID_NOT_RUN, /* certain: the server does not run it and never did */
	SAID_DONE,    /* the server answered: it runs no longer */
	SAID_NOTHING  /* it may still run */
} said_t;

static said_t
read_outcome(const attempt_outcome_t *outcome)
{
	switch (outcome->result) {
	case ATTEMPT_NOT_SENT:
	case ATTEMPT_SHED:
	case ATTEMPT_DRAINING:
		return SAID_NOT_RUN;
	case ATTEMPT_OK:
	case ATTEMPT_VERSION_GONE:
	case ATTEMPT_WRONG_SHARD:
		return SAID_DONE;
	case ATTEMPT_FAILED:
		/* A malformed reply may belong to another request. */
		return outcome->http_status >= 400 ? SAID_DONE : SAID_NOTHING;
	case ATTEMPT_MISMATCH:
	case ATTEMPT_DIED:
	case ATTEMPT_TIMEOUT:
		break;
	}
	return SAID_NOTHING;
}

static void
note_latency(scheduler_t *scheduler, const attempt_t *attempt, usec_t now)
{
	usec_t latency = now - attempt->started;

	latency_record(&scheduler->latency, latency);
	server_record_latency(attempt->server, latency, now);
}

static void
note_refusal(scheduler_t *scheduler, const attempt_t *attempt, usec_t now)
{
	server_t *server = attempt->server;

	if (server_record_refusal(server, attempt->started, now))
		scheduler_rebind_waiting(scheduler, server, now);
}

/* What the outcome tells about the server, whether or not the job still
 * exists. */
static void
note_server(scheduler_t *scheduler, attempt_t *attempt,
    const attempt_outcome_t *outcome, usec_t now)
{
	server_t *server = attempt->server;

	switch (outcome->result) {
	case ATTEMPT_OK:
		note_latency(scheduler, attempt, now);
		server_record_answer(server, true, now);
		if (outcome->reused)
			server->answered_at = now;
		break;
	case ATTEMPT_VERSION_GONE:
	case ATTEMPT_WRONG_SHARD:
		server_record_answer(server, true, now);
		break;
	case ATTEMPT_FAILED:
		if (read_outcome(outcome) == SAID_DONE)
			server_record_answer(server, false, now);
		server_record_failure(server, now);
		break;
	case ATTEMPT_NOT_SENT:
	case ATTEMPT_SHED:
		note_refusal(scheduler, attempt, now);
		break;
	case ATTEMPT_DRAINING:
		break;
	case ATTEMPT_MISMATCH:
		scheduler->stats.mismatches++;
		server_record_mismatch(server, now);
		break;
	case ATTEMPT_DIED:
		server_record_failure(server, now);
		break;
	case ATTEMPT_TIMEOUT:
		scheduler_note_unanswered(scheduler, attempt, now);
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
	entry->reply = body_keep(outcome->body);
	if (hedge)
		scheduler->stats.hedge_wins++;
	scheduler_end_job(scheduler, entry, 0, now);
}

static void
end_reservation(
    scheduler_t *scheduler, job_entry_t *entry, said_t said, usec_t now)
{
	if (said == SAID_NOT_RUN)
		scheduler_retry_job(scheduler, entry, now);
	else
		scheduler_end_job(scheduler, entry, BW_E_OUTCOME_UNKNOWN, now);
}

static void
continue_shard(scheduler_t *scheduler, job_entry_t *entry,
    const attempt_outcome_t *outcome, usec_t now)
{
	if (entry->running_count > 0)
		return;
	if (outcome->result == ATTEMPT_TIMEOUT)
		scheduler_end_job(scheduler, entry, BW_E_TIMEOUT, now);
	else if (scheduler_is_refused(scheduler, entry, now))
		scheduler_end_job(scheduler, entry, BW_E_SUSPECT, now);
	else
		scheduler_retry_job(scheduler, entry, now);
}

static void
note_job(job_entry_t *entry, const server_t *server,
    const attempt_outcome_t *outcome, said_t said)
{
	if (said == SAID_NOT_RUN)
		entry->possibly_run--;
	if (outcome->result == ATTEMPT_VERSION_GONE)
		entry->version_gone = true;
	if (outcome->result == ATTEMPT_VERSION_GONE ||
	    outcome->result == ATTEMPT_WRONG_SHARD)
		server_mask_add(&entry->useless, server);
	if (outcome->result == ATTEMPT_DIED)
		entry->use_fresh = true;
}

/* The charge first, then the job: a retry may need the slot. */
static void
settle_attempt(scheduler_t *scheduler, attempt_t *attempt, said_t said,
    const attempt_outcome_t *outcome, usec_t now)
{
	bool died = outcome->result == ATTEMPT_DIED;

	if (said == SAID_DONE && attempt->alone)
		suspect_answered(
		    scheduler->suspects, attempt->fingerprint, now);
	/* A server may close the connection of a cancelled request. */
	if (died && attempt->state == RUN_ACTIVE)
		scheduler_blame_attempts(scheduler, attempt, now);
	if (said == SAID_NOTHING)
		scheduler_cut_attempt(scheduler, attempt);
	else
		scheduler_release_attempt(scheduler, attempt, now);
}

void
scheduler_attempt_ended(scheduler_t *scheduler, handle_t handle,
    const attempt_outcome_t *outcome, usec_t now)
{
	attempt_t *attempt = table_get(scheduler->attempts, handle);
	said_t said = read_outcome(outcome);
	job_entry_t *entry;
	server_t *server;
	bool hedge;

	if (attempt == NULL || attempt->state == RUN_CUT ||
	    !attempt->delivered) {
		scheduler->stats.stale++;
		return;
	}
	server = attempt->server;
	hedge = attempt->hedge;
	entry = attempt->state == RUN_ACTIVE
	    ? scheduler_find_job(scheduler, attempt->job)
	    : NULL;
	note_server(scheduler, attempt, outcome, now);
	if (entry != NULL) {
		scheduler_detach_attempt(entry, attempt);
		note_job(entry, server, outcome, said);
	}
	settle_attempt(scheduler, attempt, said, outcome, now);
	if (entry == NULL)
		return;
	if (outcome->result == ATTEMPT_OK)
		deliver_answer(scheduler, entry, hedge, outcome, now);
	else if (entry->job.kind == JOB_RESERVATION)
		end_reservation(scheduler, entry, said, now);
	else
		continue_shard(scheduler, entry, outcome, now);
}
