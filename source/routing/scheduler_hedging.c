#include <glib.h>

#include "scheduler_private.h"

/* Each first attempt adds a credit of 1 and a hedge costs HEDGE_COST. */
#define HEDGE_COST ((uint32_t)(1.0 / SCHEDULER_HEDGE_BUDGET + 0.5))
#define HEDGE_BURST 5 /* hedges whose credit may be saved up */

/* Shortest interval between checks of an attempt that is slow but can't be
 * hedged or sent again at present. */
#define MIN_RECHECK_INTERVAL MS(1)

/* An attempt without an answer for this multiple of the recent 99th percentile
 * is taken for one on a silent connection: one that looks open but brings no
 * replies. */
#define SILENCE_FACTOR 3

void
scheduler_add_hedge_credit(scheduler_t *scheduler)
{
	if (scheduler->hedge_credit < HEDGE_COST * HEDGE_BURST)
		scheduler->hedge_credit++;
}

/* Age at which an attempt counts as silent. The quantiles are those of all
 * servers; for a slow server they are scaled by its latency. */
static usec_t
silence_threshold(const scheduler_t *scheduler, const attempt_t *attempt)
{
	const server_t *server = attempt->server;
	usec_t threshold = SILENCE_FACTOR * scheduler->latency.p99;

	if (!latency_is_known(&scheduler->latency))
		return (attempt->deadline - attempt->started) / 2;
	if (scheduler->fastest_latency > 0 &&
	    scheduler_is_slow(scheduler, server))
		threshold =
		    threshold * server->latency / scheduler->fastest_latency;
	return threshold;
}

/* Whether the server has answered on an older connection since the attempt
 * started: then the attempt is slow rather than its connection silent. */
static bool
older_connection_answers(const attempt_t *attempt)
{
	return attempt->older_connection_answered &&
	    attempt->server->retire_before <= attempt->started;
}

/* Age at which an attempt counts as slow: the 95th percentile, and for a server
 * that is slow or has not answered yet at most the time in which the fastest
 * one answers. */
static usec_t
slow_threshold(const scheduler_t *scheduler, const attempt_t *attempt)
{
	if (scheduler->fastest_latency > 0 &&
	    (attempt->server->latency == 0 ||
		scheduler_is_slow(scheduler, attempt->server)))
		return MIN(scheduler->latency.p95, scheduler->fastest_latency);
	return scheduler->latency.p95;
}

static bool
may_hedge(const scheduler_t *scheduler, const job_entry_t *entry)
{
	return !entry->hedged && latency_is_known(&scheduler->latency);
}

/* An attempt on a new connection is slow rather than its connection silent. */
static bool
may_resend(const attempt_t *attempt, const job_entry_t *entry)
{
	return !attempt->fresh_connection && !entry->resent;
}

static void
arm_check_at(scheduler_t *scheduler, attempt_t *attempt, usec_t at)
{
	heap_remove(&scheduler->attempts_by_check, &attempt->check_node);
	if (at < attempt->deadline)
		heap_push(
		    &scheduler->attempts_by_check, &attempt->check_node, at);
}

void
scheduler_arm_check(scheduler_t *scheduler, attempt_t *attempt)
{
	usec_t after = silence_threshold(scheduler, attempt);

	if (latency_is_known(&scheduler->latency))
		after = MIN(after, slow_threshold(scheduler, attempt));
	else if (attempt->fresh_connection)
		return;
	arm_check_at(scheduler, attempt, attempt->started + after);
}

/* A hedge takes a slot only while nothing waits for one. */
static bool
can_hedge_now(const scheduler_t *scheduler, const job_entry_t *entry)
{
	return fair_queue_count(scheduler->queue) == 0 &&
	    scheduler->waiting_for_server == 0 &&
	    scheduler->waiting_suspects.count == 0 &&
	    scheduler->hedge_credit >= HEDGE_COST && entry->active_count <= 1;
}

static bool
start_hedge(
    scheduler_t *scheduler, job_entry_t *entry, server_t *server, usec_t now)
{
	if (scheduler_start_attempt(scheduler, entry, server,
		(attempt_options_t){.hedge = true}, now) == NULL)
		return false;
	scheduler->hedge_credit -= HEDGE_COST;
	entry->hedged = true;
	return true;
}

/* Uses no slow server: such a hedge rarely wins and would spend the budget. */
static bool
try_hedge(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server;

	if (!can_hedge_now(scheduler, entry))
		return false;
	server = scheduler_choose_second(scheduler, entry, false, now);
	if (server == NULL || scheduler_is_slow(scheduler, server))
		return false;
	return start_hedge(scheduler, entry, server, now);
}

/* A probe delays no answer, as the job runs on a faster server too. */
void
scheduler_probe_slow(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server;

	if (entry->job.kind != JOB_SHARD || !may_hedge(scheduler, entry) ||
	    !can_hedge_now(scheduler, entry) ||
	    !scheduler_is_clear(scheduler, entry, now))
		return;
	server = scheduler_choose_probe(scheduler, entry, now);
	if (server != NULL && start_hedge(scheduler, entry, server, now))
		server->probed_at = now;
}

/* Sends the job again on a new connection. This doesn't count against the
 * budget of hedges: without it, a request on a silent connection would wait
 * until its deadline. */
static bool
try_resend(scheduler_t *scheduler, job_entry_t *entry, usec_t now)
{
	server_t *server = scheduler_choose_second(scheduler, entry, true, now);

	if (server == NULL ||
	    scheduler_start_attempt(scheduler, entry, server,
		(attempt_options_t){.fresh_connection = true}, now) == NULL)
		return false;
	scheduler->stats.resends++;
	entry->resent = true;
	return true;
}

static usec_t
recheck_at(const scheduler_t *scheduler, usec_t due, usec_t now)
{
	if (due > now)
		return due;
	return now + MAX(MIN_RECHECK_INTERVAL, scheduler->latency.p95 / 8);
}

static void
check_attempt(scheduler_t *scheduler, attempt_t *attempt, usec_t now)
{
	job_entry_t *entry = scheduler_find_job(scheduler, attempt->job);
	usec_t silent_at =
	    attempt->started + silence_threshold(scheduler, attempt);
	usec_t slow_at = attempt->started + slow_threshold(scheduler, attempt);
	usec_t next = INT64_MAX;

	if (entry == NULL || !scheduler_is_clear(scheduler, entry, now))
		return;
	if (may_resend(attempt, entry) && now >= silent_at &&
	    !older_connection_answers(attempt)) {
		server_mark_silent(attempt->server, attempt->started, now);
		try_resend(scheduler, entry, now);
	}
	if (may_hedge(scheduler, entry) && now >= slow_at)
		try_hedge(scheduler, entry, now);
	if (may_resend(attempt, entry))
		next = recheck_at(scheduler, silent_at, now);
	if (may_hedge(scheduler, entry))
		next = MIN(next, recheck_at(scheduler, slow_at, now));
	if (next != INT64_MAX)
		arm_check_at(scheduler, attempt, next);
}

void
scheduler_check_attempts(scheduler_t *scheduler, usec_t now)
{
	heap_node_t *node;

	while ((node = heap_top(&scheduler->attempts_by_check)) != NULL &&
	    node->key <= now) {
		heap_remove(&scheduler->attempts_by_check, node);
		check_attempt(
		    scheduler, HEAP_ENTRY(node, attempt_t, check_node), now);
	}
}

/* Runs with each scheduler_run(), so that a slow attempt is hedged as soon as a
 * faster server has room; the timed checks would miss most of these moments. */
void
scheduler_hedge_slow_servers(scheduler_t *scheduler, usec_t now)
{
	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];
		attempt_t *attempt = server->attempts, *next;

		if (!scheduler_is_slow(scheduler, server))
			continue;
		for (; attempt != NULL; attempt = next) {
			next = attempt->next;
			if (attempt->state == STATE_ACTIVE &&
			    attempt->check_node.position > 0 &&
			    now - attempt->started >=
				slow_threshold(scheduler, attempt))
				check_attempt(scheduler, attempt, now);
		}
	}
}

/* Records the age of an unanswered attempt as a lower bound of its latency.
 * Without these values the slow attempts that were hedged would be missing from
 * the quantiles and the 95th percentile would be too low. Attempts on silent
 * connections are left out, as they would make it too high. */
static void
record_latency_bound(
    scheduler_t *scheduler, const attempt_t *attempt, usec_t now)
{
	usec_t age = now - attempt->started;

	if (age >= scheduler->latency.p95 &&
	    age < silence_threshold(scheduler, attempt))
		latency_record(&scheduler->latency, age);
	server_record_unanswered(attempt->server, age, now);
}

/* An attempt on an old connection that reached its deadline may have met a
 * silent connection even where SILENCE_FACTOR times p99 is beyond the deadline.
 */
void
scheduler_record_unanswered(
    scheduler_t *scheduler, const attempt_t *attempt, usec_t now)
{
	if (attempt->state != STATE_ACTIVE || !attempt->start_taken)
		return;
	if (latency_is_known(&scheduler->latency))
		record_latency_bound(scheduler, attempt, now);
	if (!attempt->fresh_connection && now >= attempt->deadline &&
	    !older_connection_answers(attempt) &&
	    now - attempt->started >= scheduler->latency.p99)
		server_mark_silent(attempt->server, attempt->started, now);
}
