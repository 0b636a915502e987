#include "exchange.h"

#include <string.h>

#include "../base/loop_clock.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/memory_account.h"
#include "exchange_private.h"
#include "hedging.h"

/* How long copies are held back. */
#define HEDGE_PAUSE MS(2)
/* A response sent by the soft deadline's timer is slightly late. */
#define SOFT_DEADLINE_TOLERANCE MS(3)

/*
 * Key of the concurrency limit: fan-outs over the same shards share the one of
 * their first shard.
 */
const char *
exchange_limiter_key(const exchange_t *exchange)
{
	return exchange->route->targets[0].service;
}

/*
 * Late and failed fan-outs indicate overload. A timely response with missing
 * shards does not: one shard may be down or pause while others have capacity.
 */
static void
report_to_limiter(exchange_t *exchange, bool client_gone)
{
	usec_t now = engine_now(exchange->engine);
	limiter_outcome_t outcome = LIMITER_OVERLOADED;

	if (!exchange->admitted)
		return;
	if (client_gone || exchange->peer_failed)
		outcome = LIMITER_OTHER;
	else if (exchange->succeeded &&
	    now <= exchange->soft_deadline + SOFT_DEADLINE_TOLERANCE)
		outcome = LIMITER_COMPLETE;
	limiter_release(exchange->engine->limiter,
	    exchange_limiter_key(exchange), exchange_limiter_customer(exchange),
	    outcome, now - exchange->admitted_at, now);
	queues_place_freed(exchange->engine);
}

bool
exchange_hold(exchange_t *exchange, size_t more)
{
	size_t bytes = sizeof(*exchange) +
	    exchange->task_count * sizeof(task_t) +
	    exchange->common_head.capacity + exchange->failure_head.capacity +
	    exchange->failure_body.capacity + more;

	if (exchange->records != NULL)
		bytes +=
		    (size_t)exchange->records->allocated * GATHER_RECORD_BYTES;
	return memory_account_resize(&exchange->held, bytes);
}

static bool
was_sent(const exchange_t *exchange)
{
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		if (task->sent_count > 0 || task->may_have_run ||
		    task->state == TASK_ASKED || task->state == TASK_ANSWERED)
			return true;
	}
	return false;
}

/*
 * Gives back the rate that a request did not use. A token that was taken
 * earlier has been replaced meanwhile: with both, a customer could exceed its
 * limit by what has waited.
 */
static void
return_unused_rate(const exchange_t *exchange)
{
	exchange_engine_t *engine = exchange->engine;

	if (exchange->admitted_by_rate && !was_sent(exchange) &&
	    engine_now(engine) <= exchange->rate_taken_at)
		rate_gate_return(engine->rates, exchange->customer->name);
}

static void
release_exchange(exchange_t *exchange, bool client_gone)
{
	exchange_engine_t *engine = exchange->engine;

	report_to_limiter(exchange, client_gone);
	return_unused_rate(exchange);
	if (exchange->held_for_rate)
		rate_gate_cancel(
		    engine->rates, exchange->customer->name, exchange);
	ev_timer_stop(engine->loop, &exchange->timer);
	exchange_leave_queue(exchange);
	for (uint32_t i = 0; i < exchange->task_count; i++)
		task_leave_queue(&exchange->tasks[i]);
	for (uint32_t i = 0; i < exchange->task_count; i++)
		task_release(&exchange->tasks[i], client_gone);
	groups_release(exchange, client_gone);
	gather_records_destroy(exchange->records);
	buffer_free(&exchange->common_head);
	buffer_free(&exchange->failure_head);
	buffer_free(&exchange->failure_body);
	memory_account_resize(&exchange->held, 0);
	route_table_unref(exchange->table);
	engine->running--;
	g_free(exchange);
}

void
exchange_finish(exchange_t *exchange, const buffer_t *head, slice_t body)
{
	INVARIANT(!exchange->done, "a second response to one request");
	exchange->done = true;
	exchange->reply(exchange->client, head, body);
}

void
exchange_client_gone(exchange_t *exchange)
{
	exchange->engine->counters.client_gone++;
	event_log_sampled(EVENT_CLIENT_GONE, "request=%.*s route=%s ms=%.1f",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    exchange->route->name,
	    (double)(engine_now(exchange->engine) - exchange->received_at) /
		USEC_PER_MS);
	exchange->done = true;
	release_exchange(exchange, true);
}

/*
 * Frees an exchange that is done, unless exchange_start() still uses it.
 * Returns whether it is done.
 */
static bool
release_if_done(exchange_t *exchange)
{
	if (!exchange->done)
		return false;
	if (!exchange->starting)
		release_exchange(exchange, false);
	return true;
}

/* Returns false when there is no memory for the records. */
static bool
merge_shard_response(task_t *task, const http_message_t *response)
{
	exchange_t *exchange = task->exchange;
	slice_t response_stamp = {0};

	if (!exchange_hold(exchange,
		gather_records_growth(exchange->records, response->body.size)))
		return false;
	http_message_find(response,
	    exchange->engine->settings.headers.response_stamp, &response_stamp);
	task->response_stamp =
	    g_strndup(response_stamp.data, response_stamp.size);
	gather_records_add(exchange->records,
	    (slice_t){response->body.data, response->body.size});
	exchange_hold(exchange, 0);
	return true;
}

static void
abandon_attempts(task_t *task)
{
	for (uint32_t i = 0; i < task->running_count; i++)
		pool_attempt_abandon(task->running[i]);
	task->running_count = 0;
	task->hedge_at = 0;
}

void
exchange_task_answered(
    task_t *task, const attempt_t *attempt, const http_message_t *response)
{
	exchange_t *exchange = task->exchange;
	usec_t now = engine_now(exchange->engine);

	task->state = TASK_ANSWERED;
	abandon_attempts(task);
	if (exchange->route->kind == ROUTE_FANOUT) {
		if (!merge_shard_response(task, response))
			task_fail(task, "memory");
		exchange_reply_if_due(exchange, now);
		return;
	}
	reply_forward(exchange, attempt, response, now);
	release_if_done(exchange);
}

gather_state_t
exchange_gather_state(const exchange_t *exchange)
{
	gather_state_t state = {
	    .total = exchange->task_count,
	    .min_share = exchange->min_share,
	    .soft_deadline = exchange->soft_deadline,
	    .deadline = exchange->deadline,
	};

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		if (exchange->tasks[i].state == TASK_ANSWERED)
			state.answered++;
		else if (task_is_open(&exchange->tasks[i]))
			state.pending++;
	}
	return state;
}

bool
exchange_needs_late_shards(const exchange_t *exchange, usec_t now)
{
	gather_state_t state;
	uint32_t missing = 0;

	if (exchange->route->kind != ROUTE_FANOUT)
		return true;
	state = exchange_gather_state(exchange);
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		if (task->state == TASK_FAILED || task->state == TASK_WAITING ||
		    (task->state == TASK_RUNNING && now >= task->late_at))
			missing++;
	}
	return gather_fails_without(&state, missing);
}

static void
reply_fanout_if_due(exchange_t *exchange, usec_t now)
{
	gather_state_t state = exchange_gather_state(exchange);

	if (exchange->is_for_peer) {
		group_reply_if_due(exchange, now);
		return;
	}
	switch (gather_decide(&state, now)) {
	case GATHER_WAIT:
		break;
	case GATHER_ANSWER:
		reply_fanout(exchange, state.answered, now);
		break;
	case GATHER_FAIL:
		if (now >= exchange->deadline)
			reply_error(
			    exchange, BW_E_DEADLINE, "shards_late", now);
		else
			reply_error(
			    exchange, BW_E_OVERLOADED, "shards_missing", now);
		break;
	}
}

void
exchange_end(exchange_t *exchange)
{
	usec_t now = engine_now(exchange->engine);
	gather_state_t state = exchange_gather_state(exchange);

	if (!exchange->held_for_rate && exchange->route->kind == ROUTE_FANOUT &&
	    gather_has_min_share(&state))
		reply_fanout(exchange, state.answered, now);
	else
		reply_error(exchange, BW_E_STOPPING, "stopping", now);
	release_if_done(exchange);
}

void
exchange_refuse(exchange_t *exchange, int error, const char *cause, usec_t now)
{
	reply_error(exchange, error, cause, now);
	release_if_done(exchange);
}

static void
reply_single_if_due(exchange_t *exchange, usec_t now)
{
	const task_t *task = &exchange->tasks[0];

	if (task->state == TASK_FAILED) {
		if (exchange->failure_head.size > 0)
			reply_last_failure(exchange, now);
		else
			reply_error(
			    exchange, BW_E_OVERLOADED, "no_attempt_left", now);
	} else if (now >= exchange->deadline) {
		reply_error(exchange, BW_E_DEADLINE, "too_late", now);
	}
}

/* The client's deadline counts while a request is held back. */
static void
reply_if_due(exchange_t *exchange, usec_t now)
{
	if (exchange->held_for_rate) {
		if (now >= exchange->deadline)
			reply_error(exchange, BW_E_DEADLINE, "too_late", now);
		return;
	}
	if (exchange->route->kind == ROUTE_FANOUT)
		reply_fanout_if_due(exchange, now);
	else
		reply_single_if_due(exchange, now);
}

static void
set_timer(exchange_t *exchange, usec_t now)
{
	struct ev_loop *loop = exchange->engine->loop;
	usec_t next_at = exchange->deadline;

	if (exchange->route->kind == ROUTE_FANOUT &&
	    now < exchange->soft_deadline)
		next_at = MIN(next_at, exchange->soft_deadline);
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		usec_t hedge_at = exchange->tasks[i].hedge_at;

		if (hedge_at != 0 && task_is_open(&exchange->tasks[i]))
			next_at = MIN(next_at, hedge_at);
	}
	next_at = MIN(next_at, groups_next_check(exchange));
	exchange->wake_at = next_at;
	ev_timer_stop(loop, &exchange->timer);
	ev_timer_set(&exchange->timer,
	    (double)MAX(next_at - now, 0) / USEC_PER_SEC, 0.0);
	ev_timer_start(loop, &exchange->timer);
}

void
exchange_reply_if_due(exchange_t *exchange, usec_t now)
{
	if (exchange->done || exchange->starting)
		return;
	reply_if_due(exchange, now);
	if (!release_if_done(exchange))
		set_timer(exchange, now);
}

static bool
is_delayed_here(const exchange_t *exchange, usec_t delay, usec_t now)
{
	hedge_state_t state = {
	    .shards = exchange->task_count, .timer_delay = delay};

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		state.late +=
		    task->state == TASK_RUNNING && now >= task->late_at;
	}
	return hedging_holds_back(&state);
}

/* Sends the copies that are due, or holds them back for a while. */
static void
hedge_due_tasks(exchange_t *exchange, usec_t delay, usec_t now)
{
	bool delayed_here = is_delayed_here(exchange, delay, now);

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		task_t *task = &exchange->tasks[i];

		if (task->hedge_at == 0 || now < task->hedge_at)
			continue;
		if (delayed_here)
			task->hedge_at = now + HEDGE_PAUSE;
		else
			task_hedge(task, now);
	}
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	exchange_t *exchange = timer->data;
	usec_t now = engine_now(exchange->engine);

	usec_t delay = clock_monotonic() - exchange->wake_at;

	client_timing_record_delay(exchange->engine->timing, delay);
	hedge_due_tasks(exchange, now - exchange->wake_at, now);
	groups_check(exchange, now);
	exchange_reply_if_due(exchange, now);
}

void
exchange_init_timer(exchange_t *exchange)
{
	ev_timer_init(&exchange->timer, on_timer, 0.0, 0.0);
	exchange->timer.data = exchange;
}

exchange_t *
exchange_continue(exchange_t *exchange, usec_t now)
{
	if (!exchange->done)
		reply_if_due(exchange, now);
	if (exchange->done) {
		release_exchange(exchange, false);
		return NULL;
	}
	set_timer(exchange, now);
	return exchange;
}
