#include <glib.h>

#include "scheduler_private.h"

/* Credit: each first attempt earns 1 and a hedge costs HEDGE_COST. */
#define HEDGE_COST ((uint32_t)(1.0 / SCHEDULER_HEDGE_BUDGET + 0.5))
#define HEDGE_BURST 5 /* hedges that may be saved up */

/* How often an attempt is looked at again that is slow but may not have a
 * second one at present. */
#define SHORTEST_RECHECK MS(1)

/* p99 of the recent latency, times this, is silence. */
#define SILENCE_FACTOR 3

void
scheduler_earn_hedge(scheduler_t *scheduler)
{
	if (scheduler->hedge_credit < HEDGE_COST * HEDGE_BURST)
		scheduler->hedge_credit++;
}

/* The quantiles are those of all servers; on one that is slower they are in
 * proportion to its latency. */
static usec_t
silent_after(const scheduler_t *scheduler, const attempt_t *attempt)
{
	const server_t *server = attempt->server;
	usec_t after = SILENCE_FACTOR * scheduler->latency.p99;

	if (!latency_is_known(&scheduler->latency))
		return (attempt->deadline - attempt->started) / 2;
	if (scheduler->fastest > 0 && scheduler_is_slow(scheduler, server))
		after = after * server->latency / scheduler->fastest;
	return after;
}

/* Whether the server answered on an older connection after the attempt had
 * started: then this attempt is slow and its connection is not dead. */
static bool
answers_others(const attempt_t *attempt)
{
	const server_t *server = attempt->server;

	return server->answered_at > attempt->started &&
	    server->retire_before <= attempt->started;
}

/* When an attempt is slow: at the 95th percentile, on a server that is slow or
 * has not answered yet as soon as another one would have answered. */
static usec_t
slow_after(const scheduler_t *scheduler, const attempt_t *attempt)
{
	if (scheduler->fastest > 0 &&
	    (attempt->server->latency == 0 ||
		scheduler_is_slow(scheduler, attempt->server)))
		return MIN(scheduler->latency.p95, scheduler->fastest);
	return scheduler->latency.p95;
}

static bool
may_hedge(const scheduler_t *scheduler, const job_entry_t *entry)
{
	return !entry->hedged && latency_is_known(&scheduler->latency);
}

/* Whether silence is still to be watched for. An attempt on a new connection
 * is only slow. */
static bool
may_double(const attempt_t *attempt, const job_entry_t *entry)
{
	return !attempt->fresh && !entry->doubled;
}

static void
arm_check_at(scheduler_t *scheduler, attempt_t *attempt, usec_t at)
{
	heap_remove(&scheduler->checks, &attempt->check);
	if (at < attempt->deadline)
		heap_push(&scheduler->checks, &attempt->check, at);
}

void
scheduler_arm_check(scheduler_t *scheduler, attempt_t *attempt)
{
	usec_t after = silent_after(scheduler, attempt);

	if (latency_is_known(&scheduler->latency))
		after = MIN(after, slow_after(scheduler, attempt));
	else if (attempt->fresh)
		return;
	arm_check_at(scheduler, attempt, attempt->started + after);
}

static bool
has_spare(const scheduler_t *scheduler, const job_entry_t *entry)
{
	return fair_queue_count(scheduler->queue) == 0 &&
	    scheduler->waiting == 0 && scheduler->alone.count == 0 &&
	    scheduler->hedge_credit >= HEDGE_COST && entry->running_count <= 1;
}

static bool
start_hedge(
    scheduler_t *scheduler, job_entry_t *entry, server_t *server, usec_t now)
{
	if (scheduler_start_attempt(scheduler, entry, server,
		(start_options_t){.hedge = true}, now) == NULL)
		return false;
	scheduler->hedge_credit -= HEDGE_COST;
	entry->hedged = true;
	return true;
}

/* A hedge on a slow server rarely wins and would spend the budget. */
static bool
try_hedge(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server;

	if (!has_spare(scheduler, entry))
		return false;
	server = scheduler_choose_second(scheduler, entry, false, now);
	if (server == NULL || scheduler_is_slow(scheduler, server))
		return false;
	return start_hedge(scheduler, entry, server, now);
}

/* The job runs on a faster server too, so that a probe delays no answer. */
void
scheduler_probe_slow(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server;

	if (entry->job.kind != JOB_SHARD || !may_hedge(scheduler, entry) ||
	    !has_spare(scheduler, entry) ||
	    !scheduler_may_repeat(scheduler, entry, now))
		return;
	server = scheduler_choose_probe(scheduler, entry, now);
	if (server != NULL && start_hedge(scheduler, entry, server, now))
		server->probed_at = now;
}

/* Not counted against the budget of hedges: without it a silent connection
 * would cost its request the whole deadline. */
static bool
try_double(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server = scheduler_choose_second(scheduler, entry, true, now);

	if (server == NULL ||
	    scheduler_start_attempt(scheduler, entry, server,
		(start_options_t){.fresh = true}, now) == NULL)
		return false;
	scheduler->stats.doubles++;
	entry->doubled = true;
	return true;
}

static usec_t
recheck_at(const scheduler_t *scheduler, usec_t due, usec_t now)
{
	if (due > now)
		return due;
	return now + MAX(SHORTEST_RECHECK, scheduler->latency.p95 / 8);
}

static void
check_attempt(scheduler_t *scheduler, attempt_t *attempt, usec_t now)
{
	job_entry_t *entry = scheduler_find_job(scheduler, attempt->job);
	usec_t silent = attempt->started + silent_after(scheduler, attempt);
	usec_t slow = attempt->started + slow_after(scheduler, attempt);
	usec_t next = INT64_MAX;

	if (entry == NULL || !scheduler_may_repeat(scheduler, entry, now))
		return;
	if (may_double(attempt, entry) && now >= silent &&
	    !answers_others(attempt)) {
		server_mark_silent(attempt->server, attempt->started, now);
		try_double(scheduler, entry, now);
	}
	if (may_hedge(scheduler, entry) && now >= slow)
		try_hedge(scheduler, entry, now);
	if (may_double(attempt, entry))
		next = recheck_at(scheduler, silent, now);
	if (may_hedge(scheduler, entry))
		next = MIN(next, recheck_at(scheduler, slow, now));
	if (next != INT64_MAX)
		arm_check_at(scheduler, attempt, next);
}

void
scheduler_check_attempts(scheduler_t *scheduler, usec_t now)
{
	heap_node_t *node;

	while (
	    (node = heap_top(&scheduler->checks)) != NULL && node->key <= now) {
		heap_remove(&scheduler->checks, node);
		check_attempt(
		    scheduler, HEAP_ENTRY(node, attempt_t, check), now);
	}
}

/* Hedges attempts on slow servers in the moment in which a faster one has room;
 * the timed checks would miss most of these moments. */
void
scheduler_hedge_slow(scheduler_t *scheduler, usec_t now)
{
	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];
		attempt_t *attempt = server->attempts, *next;

		if (!scheduler_is_slow(scheduler, server))
			continue;
		for (; attempt != NULL; attempt = next) {
			next = attempt->next;
			if (attempt->state == RUN_ACTIVE &&
			    attempt->check.position > 0 &&
			    now - attempt->started >=
				slow_after(scheduler, attempt))
				check_attempt(scheduler, attempt, now);
		}
	}
}

/* The age is a lower bound of the latency. Left out, the slow attempts that
 * were hedged would vanish from the quantiles and the 95th percentile would
 * sink; with those of silent connections, it would grow with each of them. */
static void
record_bound(scheduler_t *scheduler, const attempt_t *attempt, usec_t now)
{
	usec_t age = now - attempt->started;

	if (age >= scheduler->latency.p95 &&
	    age < silent_after(scheduler, attempt))
		latency_record(&scheduler->latency, age);
	server_record_unanswered(attempt->server, age, now);
}

/* An attempt on an old connection that reached its deadline may mean silence
 * even where three times p99 lies behind the deadline. */
void
scheduler_note_unanswered(
    scheduler_t *scheduler, const attempt_t *attempt, usec_t now)
{
	if (attempt->state != RUN_ACTIVE || !attempt->delivered)
		return;
	if (latency_is_known(&scheduler->latency))
		record_bound(scheduler, attempt, now);
	if (!attempt->fresh && now >= attempt->deadline &&
	    !answers_others(attempt) &&
	    now - attempt->started >= scheduler->latency.p99)
		server_mark_silent(attempt->server, attempt->started, now);
}
