#include "bulrushwell/scheduler.h"

#include <glib.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "scheduler_private.h"

scheduler_t *
scheduler_create(const char *service, suspect_list_t *suspects, uint64_t seed)
{
	scheduler_t *scheduler = g_new0(scheduler_t, 1);

	g_strlcpy(scheduler->service, service, sizeof(scheduler->service));
	scheduler->suspects = suspects;
	scheduler->seed = seed;
	scheduler->random = seed;
	scheduler->jobs = table_create(sizeof(job_entry_t), SCHEDULER_MAX_JOBS);
	scheduler->attempts =
	    table_create(sizeof(attempt_t), SCHEDULER_MAX_ATTEMPTS);
	scheduler->queue = fair_queue_create();
	latency_init(&scheduler->latency);
	return scheduler;
}

void
scheduler_destroy(scheduler_t *scheduler)
{
	handle_t job = HANDLE_NONE;

	if (scheduler == NULL)
		return;
	while ((job = table_next(scheduler->jobs, job)) != HANDLE_NONE)
		scheduler_free_job(scheduler, job);
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++)
		server_destroy(scheduler->records[i]);
	fair_queue_destroy(scheduler->queue);
	heap_clear(&scheduler->waiting_suspects);
	heap_clear(&scheduler->jobs_by_deadline);
	heap_clear(&scheduler->attempts_by_charge_end);
	heap_clear(&scheduler->attempts_by_check);
	latency_clear(&scheduler->latency);
	table_destroy(scheduler->jobs);
	table_destroy(scheduler->attempts);
	g_free(scheduler->actions.ring);
	g_free(scheduler);
}

static bool
is_deadline_reachable(
    const scheduler_t *scheduler, const job_t *job, usec_t now)
{
	uint32_t ahead =
	    fair_queue_ahead(scheduler->queue, job->customer, job->weight);
	usec_t wait = scheduler_wait_behind(scheduler, ahead);

	/* Leaves the 95th percentile of the latency for the attempt: with the
	 * mean, half of what an overloaded queue sends would be late. So that a
	 * short deadline alone is no reason to refuse, at most half of the
	 * remaining time is left for the attempt, but at least the mean. */
	if (wait > 0)
		wait += MAX(scheduler->latency.mean,
		    MIN(scheduler->latency.p95, (job->deadline - now) / 2));
	return now + wait < job->deadline;
}

static int
check_job(const scheduler_t *scheduler, const job_t *job, usec_t now)
{
	if (scheduler->live_count == 0)
		return BW_E_NOT_FOUND;
	if (suspect_verdict(scheduler->suspects, job->fingerprint, now) ==
	    SUSPECT_REFUSED)
		return BW_E_SUSPECT;
	return is_deadline_reachable(scheduler, job, now) ? 0 : BW_E_OVERLOADED;
}

int
scheduler_submit(scheduler_t *scheduler, const job_t *job, usec_t now)
{
	int error = check_job(scheduler, job, now);
	job_entry_t *entry = NULL;

	if (error == 0) {
		entry = scheduler_add_job(scheduler, job);
		error = entry == NULL ? BW_E_FULL : 0;
	}
	if (error != 0) {
		scheduler->stats.refused++;
		return error;
	}
	scheduler->stats.jobs++;
	scheduler_queue_job(scheduler, entry);
	return 0;
}

void
scheduler_cancel_query(scheduler_t *scheduler, id128_t query, usec_t now)
{
	job_entry_t *entry = *scheduler_query_bucket(scheduler, query);

	while (entry != NULL) {
		job_entry_t *next = entry->query_next;

		if (id128_equal(entry->job.query, query))
			scheduler_drop_job(scheduler, entry, now);
		entry = next;
	}
}

/* Jobs that wait for one server go before the fair queue, and count against
 * their customers' shares in it. When that server has no room, another one that
 * the job has not tried is used. */
static void
dispatch_waiting(scheduler_t *scheduler, server_t *server, usec_t now)
{
	heap_node_t *node;

	while ((node = heap_top(&server->waiting)) != NULL) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait_node);
		server_t *target = server;

		if (!scheduler_has_room(scheduler, server, now))
			target = scheduler_choose_second(
			    scheduler, entry, false, now);
		if (target == NULL)
			return;
		scheduler_dequeue_job(scheduler, entry);
		if (!scheduler_admit_job(scheduler, entry, now))
			continue;
		fair_queue_charge(scheduler->queue, entry->job.customer);
		if (scheduler_start_try(scheduler, entry, target,
			(attempt_options_t){0}, now) == NULL) {
			scheduler_queue_for_server(scheduler, entry, now);
			return;
		}
	}
}

/* Whether the job would miss its deadline more likely than not while others
 * wait for the slot. With an empty queue it is tried nevertheless, so that a
 * drop of the latency is noticed. */
static bool
is_probably_late(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	return fair_queue_count(scheduler->queue) > 0 &&
	    entry->job.deadline - now < scheduler->latency.mean;
}

static void
dispatch_queue(scheduler_t *scheduler, usec_t now)
{
	server_t *server;

	while (fair_queue_count(scheduler->queue) > 0 &&
	    (server = scheduler_choose_server(scheduler, now)) != NULL) {
		heap_node_t *node = fair_queue_pop(scheduler->queue);
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait_node);

		entry->wait_state = WAIT_NONE;
		if (!scheduler_admit_job(scheduler, entry, now))
			continue;
		if (is_probably_late(scheduler, entry, now)) {
			scheduler_end_job(
			    scheduler, entry, BW_E_OVERLOADED, now);
			continue;
		}
		if (scheduler_start_try(scheduler, entry, server,
			(attempt_options_t){0}, now) == NULL) {
			scheduler_queue_job(scheduler, entry);
			return;
		}
		scheduler_probe_slow(scheduler, entry, now);
	}
}

/* A backoff that is over must not cause another wakeup. */
static void
end_backoffs(scheduler_t *scheduler, usec_t now)
{
	for (uint32_t i = 0; i < scheduler->live_count; i++)
		if (!server_is_backing_off(scheduler->live[i], now))
			scheduler->live[i]->backoff_until = 0;
}

static void
dispatch_jobs(scheduler_t *scheduler, usec_t now)
{
	scheduler_dispatch_suspects(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++)
		dispatch_waiting(scheduler, scheduler->live[i], now);
	dispatch_queue(scheduler, now);
	/* The loops above may have queued further suspects. */
	scheduler_dispatch_suspects(scheduler, now);
}

void
scheduler_run(scheduler_t *scheduler, uint32_t server_limit,
    usec_t max_attempt_time, usec_t now)
{
	scheduler->server_limit = max_attempt_time > 0 ? server_limit : 0;
	scheduler->max_attempt_time = max_attempt_time;
	scheduler_expire_charges(scheduler, now);
	scheduler_expire_jobs(scheduler, now);
	if (scheduler->live_count == 0)
		scheduler_fail_waiting(scheduler, now);
	end_backoffs(scheduler, now);
	dispatch_jobs(scheduler, now);
	scheduler_check_attempts(scheduler, now);
	scheduler_hedge_slow_servers(scheduler, now);
}

static void
take_earliest(usec_t *wakeup, usec_t at)
{
	if (at > 0 && (*wakeup == 0 || at < *wakeup))
		*wakeup = at;
}

static bool
has_waiting_jobs(const scheduler_t *scheduler)
{
	return fair_queue_count(scheduler->queue) > 0 ||
	    scheduler->waiting_for_server > 0 ||
	    scheduler->waiting_suspects.count > 0;
}

usec_t
scheduler_next_wakeup(const scheduler_t *scheduler)
{
	const heap_t *heaps[] = {&scheduler->jobs_by_deadline,
	    &scheduler->attempts_by_charge_end, &scheduler->attempts_by_check};
	usec_t wakeup = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(heaps); i++)
		if (heap_top(heaps[i]) != NULL)
			take_earliest(&wakeup, heap_top(heaps[i])->key);
	if (!has_waiting_jobs(scheduler))
		return wakeup;
	for (uint32_t i = 0; i < scheduler->live_count; i++)
		take_earliest(&wakeup, scheduler->live[i]->backoff_until);
	return wakeup;
}

uint32_t
scheduler_max_charged_now(const scheduler_t *scheduler)
{
	uint32_t most = 0;

	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++)
		if (scheduler->records[i] != NULL)
			most = MAX(most, scheduler->records[i]->charged);
	return most;
}

void
scheduler_get_stats(const scheduler_t *scheduler, scheduler_stats_t *stats)
{
	*stats = scheduler->stats;
	stats->queued = fair_queue_count(scheduler->queue) +
	    scheduler->waiting_for_server + scheduler->waiting_suspects.count;
}
