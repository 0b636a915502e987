#include <glib.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "scheduler_private.h"

static suspect_verdict_t
verdict_of(const scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	return suspect_verdict(
	    scheduler->suspects, entry->job.fingerprint, now);
}

bool
scheduler_is_refused(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	return verdict_of(scheduler, entry, now) == SUSPECT_REFUSED;
}

bool
scheduler_may_repeat(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	return verdict_of(scheduler, entry, now) == SUSPECT_CLEAR;
}

static void
blame_attempt(
    scheduler_t *scheduler, attempt_t *attempt, uint64_t crash, usec_t now)
{
	attempt->crash = crash;
	if (!suspect_crashed(
		scheduler->suspects, attempt->fingerprint, crash, now))
		return;
	event_log(EVENT_SUSPECT_ADDED, "%016llx on server %s",
	    (unsigned long long)attempt->fingerprint, attempt->server->name);
	scheduler_push_crash(scheduler, attempt->fingerprint, crash);
}

/* An attempt is blamed for one crash only: its connection may end long after
 * another one showed the crash. */
void
scheduler_blame_attempts(scheduler_t *scheduler, attempt_t *dead, usec_t now)
{
	uint64_t crash;

	if (dead->crash != 0)
		return;
	crash = server_crash(dead->server, now);
	for (attempt_t *attempt = dead->server->attempts; attempt != NULL;
	     attempt = attempt->next)
		if (attempt->crash == 0 && attempt->delivered)
			blame_attempt(scheduler, attempt, crash, now);
}

bool
scheduler_screen_job(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	switch (verdict_of(scheduler, entry, now)) {
	case SUSPECT_CLEAR:
		return true;
	case SUSPECT_ALONE:
		entry->place = PLACE_ALONE;
		heap_push(&scheduler->alone, &entry->wait, entry->job.deadline);
		return false;
	case SUSPECT_REFUSED:
		event_log(EVENT_SUSPECT_REFUSED, "%016llx",
		    (unsigned long long)entry->job.fingerprint);
		scheduler_end_job(scheduler, entry, BW_E_SUSPECT, now);
		return false;
	}
	return true;
}

/* One suspect runs at a time, so that copies of one request cannot crash
 * several servers at once. It ended when its charge did, or its server died. */
static bool
suspect_runs(const scheduler_t *scheduler)
{
	const attempt_t *attempt =
	    table_get(scheduler->attempts, scheduler->alone_attempt);

	return attempt != NULL && attempt->crash == 0;
}

/* Returns false when the first suspect has to wait. */
static bool
place_suspect(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server;
	attempt_t *attempt;

	scheduler_unplace_job(scheduler, entry);
	if (scheduler_is_refused(scheduler, entry, now)) {
		scheduler_end_job(scheduler, entry, BW_E_SUSPECT, now);
		return true;
	}
	if (scheduler_may_repeat(scheduler, entry, now)) {
		scheduler_bind_job(scheduler, entry, now);
		return true;
	}
	server = scheduler_choose_idle(scheduler, entry, now);
	if (server == NULL || server->charged > 0) {
		scheduler_screen_job(scheduler, entry, now);
		scheduler->reserved = server;
		return false;
	}
	attempt = scheduler_begin_try(
	    scheduler, entry, server, (start_options_t){.alone = true}, now);
	if (attempt == NULL) {
		scheduler_screen_job(scheduler, entry, now);
		return false;
	}
	scheduler->alone_attempt = attempt->handle;
	return true;
}

void
scheduler_place_suspects(scheduler_t *scheduler, usec_t now)
{
	heap_node_t *node = heap_top(&scheduler->alone);

	if (node == NULL || suspect_runs(scheduler) || scheduler->limit == 0) {
		scheduler->reserved = NULL;
		return;
	}
	while (node != NULL && !suspect_runs(scheduler)) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait);

		if (!place_suspect(scheduler, entry, now))
			return;
		node = heap_top(&scheduler->alone);
	}
	scheduler->reserved = NULL;
}
