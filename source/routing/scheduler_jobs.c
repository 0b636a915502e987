#include <glib.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "scheduler_private.h"

job_entry_t **
scheduler_query_bucket(scheduler_t *scheduler, id128_t query)
{
	return &scheduler->jobs_by_query[id128_hash(&query) % QUERY_BUCKETS];
}

static void
link_query(scheduler_t *scheduler, job_entry_t *entry)
{
	job_entry_t **bucket =
	    scheduler_query_bucket(scheduler, entry->job.query);

	entry->query_next = *bucket;
	entry->query_link = bucket;
	if (entry->query_next != NULL)
		entry->query_next->query_link = &entry->query_next;
	*bucket = entry;
}

static void
unlink_query(job_entry_t *entry)
{
	*entry->query_link = entry->query_next;
	if (entry->query_next != NULL)
		entry->query_next->query_link = entry->query_link;
}

job_entry_t *
scheduler_add_job(scheduler_t *scheduler, const job_t *job)
{
	job_entry_t *entry;
	handle_t handle = table_insert(scheduler->jobs, (void **)&entry);

	if (handle == HANDLE_NONE)
		return NULL;
	entry->handle = handle;
	entry->job = *job;
	body_ref(entry->job.body);
	link_query(scheduler, entry);
	heap_push(
	    &scheduler->jobs_by_deadline, &entry->expiry_node, job->deadline);
	return entry;
}

job_entry_t *
scheduler_find_job(const scheduler_t *scheduler, handle_t job)
{
	job_entry_t *entry = table_get(scheduler->jobs, job);

	return entry != NULL && !entry->ended ? entry : NULL;
}

void
scheduler_dequeue_job(scheduler_t *scheduler, job_entry_t *entry)
{
	switch (entry->wait_state) {
	case WAIT_NONE:
		break;
	case WAIT_FAIR_QUEUE:
		fair_queue_remove(
		    scheduler->queue, entry->flow, &entry->wait_node);
		break;
	case WAIT_SERVER:
		heap_remove(&entry->wait_server->waiting, &entry->wait_node);
		scheduler->waiting_for_server--;
		break;
	case WAIT_IDLE_SERVER:
		heap_remove(&scheduler->waiting_suspects, &entry->wait_node);
		break;
	}
	entry->wait_state = WAIT_NONE;
}

void
scheduler_queue_job(scheduler_t *scheduler, job_entry_t *entry)
{
	entry->flow = fair_queue_push(scheduler->queue, entry->job.customer,
	    entry->job.weight, &entry->wait_node, entry->job.deadline);
	entry->wait_state = WAIT_FAIR_QUEUE;
}

/* The error of a job that gets no further attempt although time is left. */
static int
exhausted_error(const scheduler_t *scheduler, const job_entry_t *entry)
{
	if (entry->version_gone)
		return BW_E_VERSION_GONE;
	if (entry->possibly_run > 0)
		return BW_E_UPSTREAM;
	return scheduler->live_count > 0 ? BW_E_OVERLOADED : BW_E_NOT_FOUND;
}

void
scheduler_queue_for_server(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server = scheduler_choose_retry(scheduler, entry, now);

	if (server == NULL) {
		scheduler_end_job(
		    scheduler, entry, exhausted_error(scheduler, entry), now);
		return;
	}
	entry->wait_server = server;
	entry->wait_state = WAIT_SERVER;
	heap_push(&server->waiting, &entry->wait_node, entry->job.deadline);
	scheduler->waiting_for_server++;
}

void
scheduler_retry_job(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	/* At most one more try than there are servers. */
	if (entry->tries > scheduler->live_count) {
		scheduler_end_job(
		    scheduler, entry, exhausted_error(scheduler, entry), now);
		return;
	}
	scheduler_queue_for_server(scheduler, entry, now);
}

void
scheduler_detach_attempt(job_entry_t *entry, const attempt_t *attempt)
{
	for (uint32_t i = 0; i < entry->active_count; i++)
		if (entry->active[i] == attempt->handle) {
			entry->active[i] = entry->active[--entry->active_count];
			return;
		}
}

/* @keep_started: attempts whose START action was taken are left running */
static void
cancel_attempts(
    scheduler_t *scheduler, job_entry_t *entry, bool keep_started, usec_t now)
{
	for (uint32_t i = 0; i < entry->active_count; i++) {
		attempt_t *attempt =
		    table_get(scheduler->attempts, entry->active[i]);

		if (attempt == NULL || (keep_started && attempt->start_taken))
			continue;
		scheduler_cancel_attempt(scheduler, attempt, now);
	}
	entry->active_count = 0;
}

static void
detach_job(scheduler_t *scheduler, job_entry_t *entry)
{
	INVARIANT(!entry->ended, "a job ended twice");
	scheduler_dequeue_job(scheduler, entry);
	heap_remove(&scheduler->jobs_by_deadline, &entry->expiry_node);
	unlink_query(entry);
	entry->ended = true;
	if (entry->tries == 0)
		scheduler->stats.refused++;
}

void
scheduler_end_job(
    scheduler_t *scheduler, job_entry_t *entry, int error, usec_t now)
{
	INVARIANT(entry->job.kind == JOB_SHARD || entry->possibly_run == 0 ||
		error == 0 || !error_is_not_run(error),
	    "a reservation that may have been executed is reported as not run");
	detach_job(scheduler, entry);
	cancel_attempts(scheduler, entry, false, now);
	entry->error = error;
	scheduler_push_action(scheduler, SCHEDULER_REPLY, entry->handle);
}

void
scheduler_free_job(scheduler_t *scheduler, handle_t job)
{
	job_entry_t *entry = table_get(scheduler->jobs, job);

	if (entry == NULL)
		return;
	body_unref(entry->job.body);
	body_unref(entry->reply);
	table_remove(scheduler->jobs, job);
}

/* A reservation that was sent is not cancelled: stopping it half-way would
 * leave its outcome unknown. */
void
scheduler_drop_job(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	detach_job(scheduler, entry);
	cancel_attempts(
	    scheduler, entry, entry->job.kind == JOB_RESERVATION, now);
	scheduler_free_job(scheduler, entry->handle);
}

static int
expired_error(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	if (entry->possibly_run > 0 && entry->job.kind == JOB_RESERVATION)
		return BW_E_OUTCOME_UNKNOWN;
	if (entry->wait_state != WAIT_NONE &&
	    scheduler_is_refused(scheduler, entry, now))
		return BW_E_SUSPECT;
	return entry->possibly_run > 0 ? BW_E_TIMEOUT : BW_E_OVERLOADED;
}

void
scheduler_expire_jobs(scheduler_t *scheduler, usec_t now)
{
	heap_node_t *node;

	while ((node = heap_top(&scheduler->jobs_by_deadline)) != NULL &&
	    node->key <= now) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, expiry_node);

		scheduler_end_job(scheduler, entry,
		    expired_error(scheduler, entry, now), now);
	}
}

void
scheduler_reject_queued(scheduler_t *scheduler, usec_t now)
{
	heap_node_t *node;

	while ((node = fair_queue_pop(scheduler->queue)) != NULL) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait_node);

		entry->wait_state = WAIT_NONE;
		scheduler_end_job(scheduler, entry, BW_E_NOT_SERVED, now);
	}
}

void
scheduler_fail_waiting(scheduler_t *scheduler, usec_t now)
{
	heap_node_t *node;

	while ((node = fair_queue_pop(scheduler->queue)) != NULL) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait_node);

		entry->wait_state = WAIT_NONE;
		scheduler_end_job(
		    scheduler, entry, exhausted_error(scheduler, entry), now);
	}
	while ((node = heap_top(&scheduler->waiting_suspects)) != NULL) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait_node);

		scheduler_end_job(
		    scheduler, entry, exhausted_error(scheduler, entry), now);
	}
}
