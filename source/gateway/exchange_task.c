/* Attempts of a task: dispatch, hedging and retries. */
#include <math.h>

#include "bulrushwell/event.h"
#include "exchange_private.h"
#include "hedging.h"

/*
 * Part of the retry budget that hedges leave for retries after failures, and
 * the additional part left by hedges to shards that the minimum share does not
 * need.
 */
#define HEDGE_RESERVE 0.25
#define OPTIONAL_HEDGE_RESERVE 0.15
/* Latest hedge, in typical attempt times before the soft deadline. */
#define HEDGE_LEAD 2.0

static uint32_t
max_attempts(const task_t *task)
{
	uint32_t limit = task->exchange->max_attempts;

	/* A suspect request may crash each server that it is sent to. */
	if (task->exchange->is_suspect)
		return 1;
	return MIN(MAX(limit, 1), TASK_MAX_ATTEMPTS);
}

bool
task_is_open(const task_t *task)
{
	return task->state == TASK_WAITING || task->state == TASK_RUNNING ||
	    task->state == TASK_ASKED;
}

void
task_fail(task_t *task, const char *cause)
{
	exchange_t *exchange = task->exchange;

	task->state = TASK_FAILED;
	event_log_sampled(EVENT_TASK_FAILED,
	    "request=%.*s route=%s upstream=%s cause=%s sent=%u",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    exchange->route->name, task->upstream->name, cause,
	    task->sent_count);
}

/*
 * When the attempt counts as late, but early enough for a hedge to be answered
 * before the soft deadline.
 */
static usec_t
hedge_time(const task_t *task, const upstream_server_t *server, usec_t now)
{
	const exchange_t *exchange = task->exchange;
	usec_t typical = latency_model_typical(exchange->route_state->latency);
	usec_t latest =
	    exchange->soft_deadline - (usec_t)(HEDGE_LEAD * typical);
	usec_t hedge_at = now +
	    hedging_late_time(
		latency_model_late(exchange->route_state->latency),
		server_load_pace(&server->load, now));

	if (hedge_at > latest)
		hedge_at = MAX(latest, now + typical);
	return hedge_at;
}

static bool
may_send_again(const task_t *task)
{
	return task->sent_count < max_attempts(task) &&
	    (task->exchange->route->idempotent || !task->may_have_run);
}

static void
send_attempt(task_t *task, upstream_server_t *server, usec_t now)
{
	exchange_t *exchange = task->exchange;
	exchange_engine_t *engine = exchange->engine;
	pool_request_t request = {
	    .head = &engine->attempt_head,
	    .body = {exchange->request->body.data,
		exchange->request->body.size},
	    .request_id = exchange->request_id,
	    .head_only = exchange->request->parser.method == HTTP_HEAD,
	    .expires_at = exchange->deadline,
	    .fingerprint = exchange->fingerprint,
	    .crash = {suspect_next_crash(
			  engine->suspects, exchange->fingerprint),
		task->connection_lost},
	    .latency = exchange->route_state->latency,
	};
	attempt_t *attempt;

	head_build_attempt(exchange, server, now, &engine->attempt_head);
	attempt = pool_start_attempt(engine->pool, server, &request, task, now);
	if (attempt == NULL) {
		/* No descriptor or memory; another attempt may still answer. */
		if (task->running_count == 0)
			task_fail(task, "no_socket");
		return;
	}
	engine->counters.attempts++;
	task->tried[task->sent_count] = server;
	task->sent_count++;
	task->running[task->running_count++] = attempt;
	task->state = TASK_RUNNING;
	task->late_at = hedge_time(task, server, now);
	task->hedge_at = exchange->route->idempotent && may_send_again(task)
	    ? task->late_at
	    : 0;
}

void
exchange_log_cold(
    const exchange_t *exchange, const upstream_t *upstream, usec_t wait)
{
	exchange->engine->counters.cold_refused++;
	event_log_sampled(EVENT_COLD_REFUSED,
	    "request=%.*s upstream=%s wait_ms=%lld",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    upstream->name, (long long)(wait / USEC_PER_MS));
}

/* Fails a task without a usable server. */
static void
fail_without_server(task_t *task, usec_t now)
{
	usec_t cold_wait =
	    pool_cold_wait(task->exchange->engine->pool, task->upstream, now);

	if (cold_wait == 0) {
		task_fail(task, "no_server");
		return;
	}
	exchange_log_cold(task->exchange, task->upstream, cold_wait);
	task_fail(task, "cold_servers");
}

bool
task_try_dispatch(task_t *task, usec_t now)
{
	exchange_t *exchange = task->exchange;
	bool busy;
	upstream_server_t *server = pool_choose_server(exchange->engine->pool,
	    task->upstream, task->tried,
	    MIN(task->sent_count, TASK_MAX_ATTEMPTS),
	    latency_model_typical(exchange->route_state->latency), now, &busy);

	if (server != NULL)
		send_attempt(task, server, now);
	else if (busy)
		return false;
	else if (task->running_count == 0)
		fail_without_server(task, now);
	return true;
}

void
task_start(task_t *task, usec_t now)
{
	exchange_engine_t *engine = task->exchange->engine;

	retry_budget_record_request(
	    &task->upstream->retry_budget, &engine->settings.retries, now);
	if (!task_try_dispatch(task, now))
		task_enqueue(task, now);
}

static bool
take_budget(task_t *task, double reserved_share, usec_t now)
{
	exchange_engine_t *engine = task->exchange->engine;

	if (retry_budget_take(&task->upstream->retry_budget,
		&engine->settings.retries,
		pool_budget_nodes(engine->pool, task->upstream), reserved_share,
		now))
		return true;
	engine->counters.budget_denied++;
	task->retry_denied = true;
	return false;
}

void
task_hedge(task_t *task, usec_t now)
{
	exchange_engine_t *engine = task->exchange->engine;
	uint32_t sent_before = task->sent_count;
	usec_t late_at = task->late_at;
	double reserved_share = HEDGE_RESERVE;
	bool busy;

	task->hedge_at = 0;
	if (task->state != TASK_RUNNING || !may_send_again(task))
		return;
	if (pool_choose_server(engine->pool, task->upstream, task->tried,
		task->sent_count,
		latency_model_typical(task->exchange->route_state->latency),
		now, &busy) == NULL)
		return;
	if (!exchange_needs_late_shards(task->exchange, now))
		reserved_share += OPTIONAL_HEDGE_RESERVE;
	if (!take_budget(task, reserved_share, now))
		return;
	task_try_dispatch(task, now);
	if (task->sent_count == sent_before)
		return;
	engine->counters.hedges++;
	event_log_sampled(EVENT_HEDGE_SENT,
	    "request=%.*s upstream=%s server=%s late_us=%lld",
	    (int)task->exchange->request_id.size,
	    task->exchange->request_id.data, task->upstream->name,
	    task->tried[sent_before]->entry.id, (long long)(now - late_at));
}

static void
remove_running(task_t *task, const attempt_t *attempt)
{
	for (uint32_t i = 0; i < task->running_count; i++) {
		if (task->running[i] != attempt)
			continue;
		task->running[i] = task->running[--task->running_count];
		return;
	}
}

/*
 * Forgets an attempt that reached no server: it does not count as sent, and the
 * server may be tried again.
 */
static void
undo_send(task_t *task, const attempt_t *attempt)
{
	for (uint32_t i = 0; i < task->sent_count; i++) {
		if (task->tried[i] != attempt->server)
			continue;
		task->sent_count--;
		for (; i < task->sent_count; i++)
			task->tried[i] = task->tried[i + 1];
		return;
	}
}

void
task_release(task_t *task, bool client_gone)
{
	exchange_t *exchange = task->exchange;

	for (uint32_t i = 0; i < task->running_count; i++) {
		attempt_t *attempt = task->running[i];

		if (client_gone && exchange->route->idempotent)
			pool_attempt_cancel(exchange->engine->pool, attempt);
		else
			pool_attempt_abandon(attempt);
	}
	task->running_count = 0;
	g_free(task->response_stamp);
	task->response_stamp = NULL;
}

/* After a failed attempt: sends or queues another one, or fails the task. */
static void
retry(task_t *task, bool costs_budget, const char *cause, usec_t now)
{
	exchange_engine_t *engine = task->exchange->engine;

	if (task->running_count > 0 || !task_is_open(task))
		return;
	if (!may_send_again(task) || now >= task->exchange->deadline) {
		task_fail(task, cause);
		return;
	}
	if (costs_budget && !take_budget(task, 0.0, now)) {
		task_fail(task, "retry_budget");
		return;
	}
	engine->counters.retries++;
	if (!task_try_dispatch(task, now))
		task_enqueue(task, now);
}

void
task_resume(task_t *task, peer_use_t use, usec_t now)
{
	task->state = TASK_WAITING;
	if (use == PEER_NOT_ACCEPTED) {
		/* It may have sent each shard once before it saw that nobody
		 * waits. */
		task->may_have_run = true;
		task->sent_count = 1;
	}
	task_start(task, now);
}

/* Whether the response is a success that a server vouches for. */
static bool
is_stamped_success(const exchange_t *exchange, const http_message_t *response)
{
	const header_names_t *names = &exchange->engine->settings.headers;
	slice_t value;

	return http_message_status(response) / 100 == 2 &&
	    http_message_find(response, names->response_stamp, &value) &&
	    value.size > 0;
}

/* Whether the response ends the task, not just the attempt. */
static bool
is_final_response(const task_t *task, const http_message_t *response)
{
	const exchange_t *exchange = task->exchange;
	slice_t value;
	int status = http_message_status(response);

	/* An encoding was not requested: a failure of the server. */
	if (status / 100 == 2 &&
	    http_message_find(response, "Content-Encoding", &value))
		return false;
	if (exchange->route->kind == ROUTE_FANOUT)
		return is_stamped_success(exchange, response);
	if (status / 100 == 2 && !is_stamped_success(exchange, response))
		return false;
	if (!exchange->route->idempotent)
		return true;
	return status < 500 && status != 408 && status != 429;
}

static void
save_failure(task_t *task, const http_message_t *response)
{
	exchange_t *exchange = task->exchange;
	const header_names_t *names = &exchange->engine->settings.headers;
	slice_t value;

	if (exchange->route->kind == ROUTE_FANOUT ||
	    http_message_status(response) < 400 ||
	    http_message_find(response, "Content-Encoding", &value))
		return;
	buffer_clear(&exchange->failure_head);
	buffer_clear(&exchange->failure_body);
	/* Without room for its body, the client gets an error of ours. */
	if (!exchange_hold(
		exchange, 2 * (response->body.size + response->text.size)))
		return;
	buffer_append(
	    &exchange->failure_body, response->body.data, response->body.size);
	exchange->failure_status = reply_status(response);
	head_build_forwarded(names, response,
	    exchange->failure_status == http_message_status(response),
	    exchange->failure_status, response->body.size,
	    &exchange->failure_head);
	exchange_hold(exchange, 0);
}

static void
handle_response(
    task_t *task, attempt_t *attempt, const http_message_t *response)
{
	usec_t now = engine_now(task->exchange->engine);

	task->may_have_run = true;
	if (is_final_response(task, response)) {
		exchange_task_answered(task, attempt, response);
		return;
	}
	save_failure(task, response);
	retry(task, true, "server_failure", now);
	exchange_reply_if_due(task->exchange, now);
}

static void
log_failed_attempt(const task_t *task, const attempt_t *attempt,
    attempt_outcome_t outcome, usec_t now)
{
	static const char *const names[] = {"answered", "not_run", "unknown"};
	const exchange_t *exchange = task->exchange;

	event_log_sampled(EVENT_ATTEMPT_FAILED,
	    "request=%.*s route=%s upstream=%s server=%s outcome=%s ms=%.1f "
	    "failure=%.2f slowness=%.1f",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    exchange->route->name, task->upstream->name,
	    attempt->server->entry.id, names[outcome],
	    (double)(now - attempt->started_at) / USEC_PER_MS,
	    attempt->server->health.failure_rate,
	    attempt->server->health.slowness);
}

void
task_on_attempt_ended(void *owner, attempt_t *attempt,
    attempt_outcome_t outcome, const http_message_t *response)
{
	task_t *task = owner;
	exchange_t *exchange = task->exchange;
	usec_t now = engine_now(exchange->engine);

	remove_running(task, attempt);
	if (outcome != ATTEMPT_ANSWERED)
		log_failed_attempt(task, attempt, outcome, now);
	switch (outcome) {
	case ATTEMPT_ANSWERED:
		handle_response(task, attempt, response);
		return; /* the exchange may have been freed */
	case ATTEMPT_NOT_RUN:
		if (!attempt->may_have_arrived)
			undo_send(task, attempt);
		retry(task, attempt->may_have_arrived, "not_run", now);
		break;
	case ATTEMPT_UNKNOWN:
		task->may_have_run = true;
		task->connection_lost = true;
		retry(task, true, "connection_lost", now);
		break;
	}
	exchange_reply_if_due(exchange, now);
}
