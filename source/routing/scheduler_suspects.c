#include <glib.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "scheduler_private.h"

static suspect_verdict_t
get_verdict(const scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	return suspect_verdict(
	    scheduler->suspects, entry->job.fingerprint, now);
}

bool
scheduler_is_refused(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	return get_verdict(scheduler, entry, now) == SUSPECT_REFUSED;
}

bool
scheduler_is_clear(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	return get_verdict(scheduler, entry, now) == SUSPECT_CLEAR;
}

/* Makes an attempt's request a suspect and tells the peers if that is new. */
static void
add_suspect(scheduler_t *scheduler, attempt_t *attempt, usec_t now)
{
	attempt->crashed = true;
	if (!suspect_record_crash(scheduler->suspects, attempt->fingerprint,
		attempt->crash_number, now))
		return;
	event_log(EVENT_SUSPECT_ADDED,
	    "request with fingerprint %016llx ran on crashed server %s",
	    (unsigned long long)attempt->fingerprint, attempt->server->name);
	scheduler_push_crash(
	    scheduler, attempt->fingerprint, attempt->crash_number);
}

/* An attempt is counted for one crash only: its own connection may be lost long
 * after the connection of another attempt showed the crash. */
void
scheduler_record_crash(scheduler_t *scheduler, attempt_t *lost, usec_t now)
{
	if (lost->crashed)
		return;
	for (attempt_t *attempt = lost->server->attempts; attempt != NULL;
	     attempt = attempt->next)
		if (!attempt->crashed && attempt->start_taken)
			add_suspect(scheduler, attempt, now);
}

bool
scheduler_admit_job(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	switch (get_verdict(scheduler, entry, now)) {
	case SUSPECT_CLEAR:
		return true;
	case SUSPECT_ALONE:
		entry->wait_state = WAIT_IDLE_SERVER;
		heap_push(&scheduler->waiting_suspects, &entry->wait_node,
		    entry->job.deadline);
		return false;
	case SUSPECT_REFUSED:
		event_log(EVENT_SUSPECT_REFUSED,
		    "request with fingerprint %016llx crashed servers",
		    (unsigned long long)entry->job.fingerprint);
		scheduler_end_job(scheduler, entry, BW_E_SUSPECT, now);
		return false;
	}
	return true;
}

/* One suspect runs at a time, so that copies of one request can't crash several
 * servers at once. It runs until its charge ends or its server crashes. */
static bool
is_suspect_running(const scheduler_t *scheduler)
{
	const attempt_t *attempt =
	    table_get(scheduler->attempts, scheduler->suspect_attempt);

	return attempt != NULL && !attempt->crashed;
}

/* Returns false when the suspect has to wait. */
static bool
dispatch_suspect(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server;
	attempt_t *attempt;

	scheduler_dequeue_job(scheduler, entry);
	if (scheduler_is_refused(scheduler, entry, now)) {
		scheduler_end_job(scheduler, entry, BW_E_SUSPECT, now);
		return true;
	}
	if (scheduler_is_clear(scheduler, entry, now)) {
		scheduler_queue_for_server(scheduler, entry, now);
		return true;
	}
	server = scheduler_choose_for_suspect(scheduler, entry, now);
	if (server == NULL || server->charged > 0) {
		scheduler_admit_job(scheduler, entry, now);
		scheduler->reserved_server = server;
		return false;
	}
	attempt = scheduler_start_try(
	    scheduler, entry, server, (attempt_options_t){.alone = true}, now);
	if (attempt == NULL) {
		scheduler_admit_job(scheduler, entry, now);
		return false;
	}
	scheduler->suspect_attempt = attempt->handle;
	return true;
}

void
scheduler_dispatch_suspects(scheduler_t *scheduler, usec_t now)
{
	heap_node_t *node = heap_top(&scheduler->waiting_suspects);

	if (node == NULL || is_suspect_running(scheduler) ||
	    scheduler->server_limit == 0) {
		scheduler->reserved_server = NULL;
		return;
	}
	while (node != NULL && !is_suspect_running(scheduler)) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait_node);

		if (!dispatch_suspect(scheduler, entry, now))
			return;
		node = heap_top(&scheduler->waiting_suspects);
	}
	scheduler->reserved_server = NULL;
}
