#include "exchange.h"

#include <string.h>

#include "../base/loop_clock.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "exchange_private.h"

/* Time that the answer needs to reach the client, and for this process. */
#define GOAL_MARGIN MS(4)
#define GOAL_MARGIN_PART 0.1
#define FRESH_MARGIN MS(6) /* the client also waited for its connection */
#define FINAL_MARGIN_PART 0.04
#define FINAL_MARGIN_MIN MS(8)
#define FINAL_MARGIN_MAX MS(100)
/* An answer that leaves at the goal leaves a little later. */
#define GOAL_TOLERANCE MS(3)

/* Routes over the same shards share one limit, that of their first shard. */
static const char *
index_name(const exchange_t *exchange)
{
	return exchange->route->targets[0].service;
}

/*
 * Late and failed fan-outs are signs of overload. A part that is missing in
 * time is not: one shard may be down or pause while the others have room.
 */
static void
report_to_limiter(exchange_t *exchange, bool client_gone)
{
	usec_t now = engine_now(exchange->engine);
	limiter_outcome_t outcome = LIMITER_OVERLOADED;

	if (!exchange->admitted)
		return;
	if (client_gone)
		outcome = LIMITER_OTHER;
	else if (exchange->answered &&
	    now <= exchange->goal_at + GOAL_TOLERANCE)
		outcome = LIMITER_COMPLETE;
	limiter_ended(exchange->engine->limiter, index_name(exchange),
	    exchange->route->name, outcome, now - exchange->received_at, now);
}

static void
release_exchange(exchange_t *exchange, bool client_gone)
{
	exchange_engine_t *engine = exchange->engine;

	report_to_limiter(exchange, client_gone);

	ev_timer_stop(engine->loop, &exchange->timer);
	for (uint32_t i = 0; i < exchange->task_count; i++)
		task_leave_queue(&exchange->tasks[i]);
	for (uint32_t i = 0; i < exchange->task_count; i++)
		task_release(&exchange->tasks[i], client_gone);
	gather_records_destroy(exchange->records);
	buffer_free(&exchange->head);
	buffer_free(&exchange->failure_head);
	buffer_free(&exchange->failure_body);
	route_table_drop(exchange->table);
	engine->running--;
	g_free(exchange);
}

void
exchange_finish(exchange_t *exchange, const buffer_t *head, slice_t body)
{
	INVARIANT(!exchange->done, "a request is answered twice");
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

/* Frees an answered exchange, unless exchange_start() still uses it. */
static bool
end_if_done(exchange_t *exchange)
{
	if (!exchange->done)
		return false;
	if (!exchange->in_start)
		release_exchange(exchange, false);
	return true;
}

static void
add_part(task_t *task, const http_message_t *response)
{
	exchange_t *exchange = task->exchange;
	slice_t stamp = {0};

	http_message_find(
	    response, exchange->engine->settings.headers.stamp, &stamp);
	task->stamp = g_strndup(stamp.data, stamp.size);
	gather_records_add(exchange->records,
	    (slice_t){response->body.data, response->body.size});
}

static void
abandon_rest(task_t *task)
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
	abandon_rest(task);
	if (exchange->route->kind == ROUTE_FANOUT) {
		add_part(task, response);
		exchange_check(exchange, now);
		return;
	}
	reply_response(exchange, attempt, response, now);
	end_if_done(exchange);
}

static gather_state_t
gather_view(const exchange_t *exchange)
{
	gather_state_t view = {
	    .total = exchange->task_count,
	    .least = exchange->route->least_share,
	    .goal_at = exchange->goal_at,
	    .final_at = exchange->final_at,
	};

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		if (exchange->tasks[i].state == TASK_ANSWERED)
			view.in++;
		else if (task_is_open(&exchange->tasks[i]))
			view.open++;
	}
	return view;
}

bool
exchange_needs(const exchange_t *exchange, usec_t now)
{
	gather_state_t view;
	uint32_t at_risk = 0;

	if (exchange->route->kind != ROUTE_FANOUT)
		return true;
	view = gather_view(exchange);
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		if (task->state == TASK_FAILED || task->state == TASK_WAITING ||
		    (task->state == TASK_RUNNING && now >= task->late_at))
			at_risk++;
	}
	return gather_needs(&view, at_risk);
}

static void
check_fanout(exchange_t *exchange, usec_t now)
{
	gather_state_t view = gather_view(exchange);

	switch (gather_decide(&view, now)) {
	case GATHER_WAIT:
		break;
	case GATHER_ANSWER:
		reply_parts(exchange, view.in, now);
		break;
	case GATHER_FAIL:
		if (now >= exchange->final_at)
			reply_error(
			    exchange, BW_E_DEADLINE, "shards_late", now);
		else
			reply_error(
			    exchange, BW_E_OVERLOADED, "shards_missing", now);
		break;
	}
}

static void
check_single(exchange_t *exchange, usec_t now)
{
	const task_t *task = &exchange->tasks[0];

	if (task->state == TASK_FAILED) {
		if (exchange->failure_head.size > 0)
			reply_kept_failure(exchange, now);
		else
			reply_error(
			    exchange, BW_E_OVERLOADED, "no_attempt_left", now);
	} else if (now >= exchange->final_at) {
		reply_error(exchange, BW_E_DEADLINE, "too_late", now);
	}
}

static void
set_timer(exchange_t *exchange, usec_t now)
{
	struct ev_loop *loop = exchange->engine->loop;
	usec_t next = exchange->final_at;

	if (exchange->route->kind == ROUTE_FANOUT && now < exchange->goal_at)
		next = MIN(next, exchange->goal_at);
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		usec_t hedge_at = exchange->tasks[i].hedge_at;

		if (hedge_at != 0 && task_is_open(&exchange->tasks[i]))
			next = MIN(next, hedge_at);
	}
	ev_timer_stop(loop, &exchange->timer);
	ev_timer_set(
	    &exchange->timer, (double)MAX(next - now, 0) / USEC_PER_SEC, 0.0);
	ev_timer_start(loop, &exchange->timer);
}

void
exchange_check(exchange_t *exchange, usec_t now)
{
	if (exchange->done || exchange->in_start)
		return;
	if (exchange->route->kind == ROUTE_FANOUT)
		check_fanout(exchange, now);
	else
		check_single(exchange, now);
	if (!end_if_done(exchange))
		set_timer(exchange, now);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	exchange_t *exchange = timer->data;
	usec_t now = engine_now(exchange->engine);

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		task_t *task = &exchange->tasks[i];

		if (task->hedge_at != 0 && now >= task->hedge_at)
			task_hedge(task, now);
	}
	exchange_check(exchange, now);
}

static void
set_times(exchange_t *exchange, bool fresh)
{
	const header_names_t *names = &exchange->engine->settings.headers;
	const route_t *route = exchange->route;
	usec_t limit = route->timeout;
	usec_t margin = GOAL_MARGIN + (usec_t)(GOAL_MARGIN_PART * route->goal);
	slice_t text;
	int64_t wait_ms = -1;

	if (http_message_find(exchange->request, names->deadline_ms, &text))
		wait_ms = http_slice_number(text);
	if (wait_ms >= 0) {
		usec_t wait = MS(wait_ms);
		usec_t reserve = (usec_t)(FINAL_MARGIN_PART * wait);

		reserve = CLAMP(reserve, FINAL_MARGIN_MIN, FINAL_MARGIN_MAX);
		limit = MIN(limit, MAX(wait - reserve, MS(1)));
	}
	if (fresh)
		margin += FRESH_MARGIN;
	exchange->final_at = exchange->received_at + limit;
	exchange->goal_at =
	    exchange->received_at + MAX(route->goal - margin, route->goal / 2);
	exchange->goal_at = MIN(exchange->goal_at, exchange->final_at);
}

static void
assign_tasks(exchange_t *exchange)
{
	const route_t *route = exchange->route;
	pool_t *pool = exchange->engine->pool;

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const char *service = route->targets[i].service;

		if (route->kind == ROUTE_WEIGHTED)
			service =
			    route_state_next_target(exchange->state, route);
		exchange->tasks[i].exchange = exchange;
		exchange->tasks[i].upstream = pool_upstream(pool, service);
	}
}

/*
 * Whether too few shards have a server for any answer. Requests to the others
 * would be run for nothing, and the client could not be told "not run".
 */
static bool
lacks_servers(const exchange_t *exchange, usec_t now)
{
	const pool_t *pool = exchange->engine->pool;
	gather_state_t view = {
	    .total = exchange->task_count,
	    .least = exchange->route->least_share,
	};
	uint32_t without = 0;

	if (exchange->route->kind != ROUTE_FANOUT)
		return false;
	for (uint32_t i = 0; i < exchange->task_count; i++)
		without +=
		    !pool_has_server(pool, exchange->tasks[i].upstream, now);
	return gather_needs(&view, without);
}

/* The error that refuses a request before anything is sent, or 0. */
static int
find_route(exchange_t *exchange, const char **cause)
{
	const http_message_t *request = exchange->request;
	exchange_engine_t *engine = exchange->engine;
	slice_t host = {0};

	if (engine->table == NULL) {
		*cause = "no_configuration";
		return BW_E_NOT_READY;
	}
	if (engine->refusing) {
		*cause = "stopping";
		return BW_E_STOPPING;
	}
	if (!http_message_find(request, engine->settings.headers.request_id,
		&exchange->request_id) ||
	    exchange->request_id.size == 0 ||
	    exchange->request_id.size >= REQUEST_ID_MAX) {
		*cause = "no_request_id";
		exchange->request_id = slice_from("-");
		return BW_E_INVALID;
	}
	http_message_find(request, "Host", &host);
	exchange->table = route_table_keep(engine->table);
	exchange->route = route_table_match(
	    engine->table, host, http_message_target(request));
	if (exchange->route == NULL || exchange->route->target_count == 0) {
		exchange->route = NULL;
		*cause = "no_route";
		return BW_E_NOT_FOUND;
	}
	return 0;
}

static uint32_t
count_tasks(const exchange_engine_t *engine, const http_message_t *request)
{
	const route_t *route;
	slice_t host = {0};

	if (engine->table == NULL)
		return 1;
	http_message_find(request, "Host", &host);
	route = route_table_match(
	    engine->table, host, http_message_target(request));
	return route != NULL && route->kind == ROUTE_FANOUT
	    ? route->target_count
	    : 1;
}

/* Whether as many fan-outs run as can be answered in time. */
static bool
is_beyond_limit(exchange_t *exchange, usec_t now)
{
	exchange_engine_t *engine = exchange->engine;

	if (exchange->route->kind != ROUTE_FANOUT)
		return false;
	exchange->admitted =
	    limiter_admit(engine->limiter, index_name(exchange),
		exchange->route->name, 1, now) == 0;
	return !exchange->admitted;
}

/* Whether the request has crashed servers, in other attempts of clients too. */
static bool
crashes_servers(exchange_t *exchange, usec_t now)
{
	const http_message_t *request = exchange->request;
	slice_t target = http_message_target(request);
	slice_t host = {0};
	char *host_text, *path;
	suspect_verdict_t verdict;

	http_message_find(request, "Host", &host);
	host_text = g_strndup(host.data, host.size);
	path = g_strndup(target.data, target.size);
	exchange->fingerprint =
	    suspect_fingerprint(host_text, http_message_method(request), path,
		(slice_t){request->body.data, request->body.size});
	g_free(host_text);
	g_free(path);
	verdict = suspect_verdict(
	    exchange->engine->suspects, exchange->fingerprint, now);
	exchange->suspect = verdict != SUSPECT_CLEAR;
	return verdict == SUSPECT_REFUSED;
}

static void
begin(exchange_t *exchange, bool fresh, usec_t now)
{
	exchange_engine_t *engine = exchange->engine;

	exchange->state = route_state_find(engine, exchange->route);
	set_times(exchange, fresh);
	if (crashes_servers(exchange, now)) {
		event_log_sampled(EVENT_SUSPECT_REFUSED,
		    "request=%.*s fingerprint=%016llx",
		    (int)exchange->request_id.size, exchange->request_id.data,
		    (unsigned long long)exchange->fingerprint);
		reply_error(exchange, BW_E_SUSPECT, "crashes_servers", now);
		return;
	}
	assign_tasks(exchange);
	/* Before the limit, which would take the refusal for overload. */
	if (lacks_servers(exchange, now)) {
		reply_error(exchange, BW_E_OVERLOADED, "no_servers", now);
		return;
	}
	if (is_beyond_limit(exchange, now)) {
		reply_error(exchange, BW_E_OVERLOADED, "limit", now);
		return;
	}
	if (exchange->route->kind == ROUTE_FANOUT)
		exchange->records =
		    gather_records_create(exchange->route->top_records);
	head_prepare(exchange);
	for (uint32_t i = 0; i < exchange->task_count; i++)
		task_start(&exchange->tasks[i], now);
}

exchange_t *
exchange_start(exchange_engine_t *engine, const http_message_t *request,
    bool fresh, exchange_reply_t reply, void *client)
{
	uint32_t tasks = count_tasks(engine, request);
	exchange_t *exchange =
	    g_malloc0(sizeof(*exchange) + tasks * sizeof(task_t));
	usec_t now = engine_now(engine);
	const char *cause;
	int error;

	exchange->engine = engine;
	exchange->request = request;
	exchange->reply = reply;
	exchange->client = client;
	exchange->received_at = now;
	exchange->request_id = slice_from("-");
	exchange->in_start = true;
	ev_timer_init(&exchange->timer, on_timer, 0.0, 0.0);
	exchange->timer.data = exchange;
	engine->running++;
	engine->counters.requests++;
	error = find_route(exchange, &cause);
	if (error != 0) {
		reply_error(exchange, error, cause, now);
	} else {
		exchange->task_count = tasks;
		begin(exchange, fresh, now);
	}
	exchange->in_start = false;
	if (exchange->done) {
		release_exchange(exchange, false);
		return NULL;
	}
	/* The reply may come from here, before the caller has the handle. */
	if (exchange->route->kind == ROUTE_FANOUT)
		check_fanout(exchange, now);
	else
		check_single(exchange, now);
	if (exchange->done) {
		release_exchange(exchange, false);
		return NULL;
	}
	set_timer(exchange, now);
	return exchange;
}
