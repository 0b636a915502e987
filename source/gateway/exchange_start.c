/* Start of an exchange: its route, its deadlines, whether it is refused, and
 * the tasks that it needs. */
#include "../http/client_pressure.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/memory_account.h"
#include "exchange_private.h"

/* Assumed when the kernel does not tell the round trip to a client. */
#define DEFAULT_ROUND_TRIP MS(6)
/*
 * Time reserved for the last response to reach the client, as a part of the
 * time that it waits.
 */
#define DEADLINE_MARGIN_RATIO 0.04
#define DEADLINE_MARGIN_MIN MS(8)
#define DEADLINE_MARGIN_MAX MS(100)
#define PEER_WAIT_MAX SECONDS(3600) /* more makes no sense */

/* How long the client still waits; negative when it does not state that. */
static int64_t
stated_wait_ms(const exchange_t *exchange)
{
	const header_names_t *names = &exchange->engine->settings.headers;
	slice_t value;

	if (!http_message_find(exchange->request, names->deadline_ms, &value))
		return -1;
	return http_parse_number(value);
}

/* The time from now until the latest response of any kind. */
static usec_t
final_allowance(const exchange_t *exchange, int64_t wait_ms)
{
	usec_t wait = MS(wait_ms);
	usec_t margin;

	if (wait_ms < 0)
		return exchange->route->timeout;
	margin = CLAMP((usec_t)(DEADLINE_MARGIN_RATIO * (double)wait),
	    DEADLINE_MARGIN_MIN, DEADLINE_MARGIN_MAX);
	return MIN(exchange->route->timeout, MAX(wait - margin, MS(1)));
}

static usec_t
soft_allowance(const exchange_t *exchange,
    const client_connection_t *connection, int64_t wait_ms)
{
	route_state_t *state = exchange->route_state;
	client_request_t request = {
	    .target_latency = exchange->route->target_latency,
	    .round_trip = connection->round_trip > 0 ? connection->round_trip
						     : DEFAULT_ROUND_TRIP,
	    .response_bytes = state->response_bytes,
	};

	if (wait_ms >= 0)
		request.time_spent =
		    wait_history_time_spent(&state->waits, MS(wait_ms));
	if (connection->first_request)
		request.time_spent =
		    MAX(request.time_spent, request.round_trip);
	return client_timing_allowance(exchange->engine->timing, &request);
}

/* A receiving node states the time that it leaves to this node. */
static void
set_peer_deadlines(exchange_t *exchange, const group_request_t *group)
{
	int64_t wait_ms = stated_wait_ms(exchange);

	exchange->deadline =
	    exchange->received_at + CLAMP(MS(wait_ms), MS(1), PEER_WAIT_MAX);
	exchange->soft_deadline = MIN(
	    exchange->received_at + group->soft_allowance, exchange->deadline);
}

static void
set_deadlines(exchange_t *exchange, const client_connection_t *connection)
{
	int64_t wait_ms = stated_wait_ms(exchange);

	exchange->deadline =
	    exchange->received_at + final_allowance(exchange, wait_ms);
	exchange->soft_deadline = exchange->received_at +
	    soft_allowance(exchange, connection, wait_ms);
	exchange->soft_deadline =
	    MIN(exchange->soft_deadline, exchange->deadline);
}

static void
assign_tasks(exchange_t *exchange)
{
	const route_t *route = exchange->route;
	pool_t *pool = exchange->engine->pool;

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		uint32_t target =
		    exchange->shard_first + i * exchange->shard_step;
		const char *service = route->targets[target].service;

		if (route->kind == ROUTE_WEIGHTED)
			service = route_state_next_target(
			    exchange->route_state, route);
		exchange->tasks[i].exchange = exchange;
		exchange->tasks[i].upstream = pool_get_upstream(pool, service);
	}
}

/*
 * Whether too few shards have a server to reach the minimum share. Requests to
 * the shards that have one would be wasted, and after them the error response
 * could not state "not run".
 */
static bool
has_too_few_servers(const exchange_t *exchange, usec_t now)
{
	pool_t *pool = exchange->engine->pool;
	gather_state_t state = {
	    .total = exchange->task_count,
	    .min_share = exchange->min_share,
	};
	uint32_t without_server = 0;

	if (exchange->route->kind != ROUTE_FANOUT)
		return false;
	for (uint32_t i = 0; i < exchange->task_count; i++)
		without_server += !pool_has_usable_server(
		    pool, exchange->tasks[i].upstream, now);
	return gather_fails_without(&state, without_server);
}

/* Return: whether too few shards have a server, so that it was refused. */
static bool
refuse_without_servers(exchange_t *exchange, usec_t now)
{
	usec_t cold_wait;

	if (!has_too_few_servers(exchange, now))
		return false;
	cold_wait = exchange_cold_wait(exchange, now);
	if (cold_wait > 0)
		exchange_log_cold(
		    exchange, exchange->tasks[0].upstream, cold_wait);
	exchange_refuse(exchange, BW_E_OVERLOADED,
	    cold_wait > 0 ? "cold_servers" : "no_servers", now);
	return true;
}

/* Whether this process is likely to end before the servers have answered. */
static bool
ends_before_answer(const exchange_t *exchange, usec_t now)
{
	usec_t ends_at = exchange->engine->ends_at;

	return ends_at != 0 &&
	    now + latency_model_late(exchange->route_state->latency) > ends_at;
}

bool
exchange_refuse_unservable(exchange_t *exchange, usec_t now)
{
	if (now >= exchange->deadline) {
		exchange_refuse(exchange, BW_E_DEADLINE, "too_late", now);
		return true;
	}
	if (ends_before_answer(exchange, now)) {
		exchange_refuse(exchange, BW_E_STOPPING, "stopping", now);
		return true;
	}
	/* Checked before the limiter, which would count it as overload. */
	return refuse_without_servers(exchange, now);
}

/* Return: whether the request has a valid id. */
static bool
read_request_id(exchange_t *exchange)
{
	slice_t id;

	if (!http_message_find(exchange->request,
		exchange->engine->settings.headers.request_id, &id) ||
	    id.size == 0 || id.size >= REQUEST_ID_MAX)
		return false;
	exchange->request_id = id;
	return true;
}

/* Returns 0, or the error with which to refuse the request. */
static int
find_route(exchange_t *exchange, const char **cause)
{
	const http_message_t *request = exchange->request;
	exchange_engine_t *engine = exchange->engine;
	bool has_id = read_request_id(exchange);
	slice_t host = {0};

	if (engine->table == NULL) {
		*cause = "no_configuration";
		return BW_E_NOT_READY;
	}
	/* Another gateway that asks for a group then serves it itself. */
	if (pool_awaits_evacuations(engine->pool)) {
		*cause = "no_evacuations";
		return BW_E_NOT_READY;
	}
	if (engine->refusing_requests) {
		*cause = "stopping";
		return BW_E_STOPPING;
	}
	if (!has_id) {
		*cause = "no_request_id";
		return BW_E_INVALID;
	}
	http_message_find(request, "Host", &host);
	exchange->table = route_table_ref(engine->table);
	exchange->route = route_table_match(
	    engine->table, host, http_message_target(request));
	if (exchange->route == NULL || exchange->route->target_count == 0) {
		exchange->route = NULL;
		*cause = "no_route";
		/* Another gateway may have a version that adds the route. */
		return exchange->is_for_peer ? BW_E_NOT_READY : BW_E_NOT_FOUND;
	}
	exchange->priority = exchange->route->priority;
	exchange->min_share = exchange->route->min_share;
	exchange->top_records = exchange->route->top_records;
	exchange->max_attempts = exchange->route->max_attempts;
	return 0;
}

/* Returns 0, or the error with which to refuse the request. */
static int
find_customer(exchange_t *exchange, const char **cause)
{
	if (exchange->is_for_peer)
		return customer_accept_peer(exchange, cause);
	return customer_check_key(exchange, cause);
}

static uint32_t
count_tasks(const exchange_engine_t *engine, const http_message_t *request,
    const group_request_t *group)
{
	const route_t *route;
	slice_t host = {0};

	if (engine->table == NULL)
		return 1;
	http_message_find(request, "Host", &host);
	route = route_table_match(
	    engine->table, host, http_message_target(request));
	if (route == NULL || route->kind != ROUTE_FANOUT)
		return 1;
	if (group == NULL)
		return route->target_count;
	return MAX(
	    shard_group_size(route->target_count, group->group, group->groups),
	    1);
}

/*
 * Limits the exchange to the shards that a receiving node asks for. The two
 * nodes may have different versions of the configuration, so all but the shards
 * themselves is as the receiving node states it. Returns 0, or the error with
 * which to refuse it.
 */
static int
select_group(
    exchange_t *exchange, const group_request_t *group, const char **cause)
{
	const route_t *route = exchange->route;

	if (group == NULL || route->kind != ROUTE_FANOUT ||
	    route->targets_hash != group->targets_hash ||
	    group->group >= route->target_count || exchange->interim == NULL) {
		*cause = "other_shards";
		return BW_E_NOT_READY;
	}
	exchange->shard_first = group->group;
	exchange->shard_step = group->groups;
	/* The receiving node decides which share is enough. */
	exchange->min_share = 0.0;
	exchange->top_records = group->records;
	exchange->max_attempts = group->max_attempts;
	exchange->priority = (int)group->priority;
	exchange->engine->counters.groups_served++;
	return 0;
}

/*
 * Whether to refuse the request because earlier requests with the same content
 * crashed servers. Sets the fingerprint and is_suspect.
 */
static bool
is_refused_suspect(exchange_t *exchange, usec_t now)
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
	exchange->is_suspect = verdict != SUSPECT_CLEAR;
	return verdict == SUSPECT_REFUSED;
}

/*
 * Whether memory is too short to start the request. Checked before anything is
 * sent, so that "not run" is true.
 */
static bool
is_refused_for_memory(
    exchange_t *exchange, const client_connection_t *connection)
{
	const pressure_request_t request = {
	    .held = memory_account_held(),
	    .limit = memory_account_limit(),
	    .priority = (uint32_t)MAX(exchange->priority, 0),
	    .has_unsent = connection->has_unsent,
	};

	if (pressure_admits(&request) && exchange_hold(exchange, 0))
		return false;
	event_log_sampled(EVENT_MEMORY_REFUSED,
	    "request=%.*s route=%s held=%zu limit=%zu unsent=%d",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    exchange->route->name, request.held, request.limit,
	    request.has_unsent);
	return true;
}

void
exchange_run_tasks(exchange_t *exchange, usec_t now)
{
	if (exchange->route->kind == ROUTE_FANOUT)
		exchange->records =
		    gather_records_create(exchange->top_records);
	head_build_common(exchange);
	groups_ask(exchange, now);
	for (uint32_t i = 0; i < exchange->task_count; i++)
		if (exchange->tasks[i].state != TASK_ASKED)
			task_start(&exchange->tasks[i], now);
}

static void
start_tasks(exchange_t *exchange, usec_t now)
{
	bool refused;

	if (is_refused_suspect(exchange, now)) {
		event_log_sampled(EVENT_SUSPECT_REFUSED,
		    "request=%.*s fingerprint=%016llx",
		    (int)exchange->request_id.size, exchange->request_id.data,
		    (unsigned long long)exchange->fingerprint);
		exchange_refuse(exchange, BW_E_SUSPECT, "crashes_servers", now);
		return;
	}
	assign_tasks(exchange);
	if (exchange_refuse_unservable(exchange, now))
		return;
	if (exchange_admit(exchange, now, &refused))
		exchange_run_tasks(exchange, now);
	else if (refused)
		exchange_refuse(exchange, BW_E_OVERLOADED, "limit", now);
}

static void
set_times(exchange_t *exchange, const client_connection_t *connection,
    const group_request_t *group)
{
	exchange->route_state =
	    route_state_get(exchange->engine, exchange->route);
	if (group != NULL)
		set_peer_deadlines(exchange, group);
	else
		set_deadlines(exchange, connection);
}

static void
refuse_by_rate(exchange_t *exchange, usec_t retry_after, usec_t now)
{
	exchange->rate_retry_after = MAX(retry_after, 1);
	event_log_sampled(EVENT_RATE_REFUSED,
	    "request=%.*s route=%s customer=%s retry_ms=%.0f",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    exchange->route->name, exchange->customer->name,
	    (double)retry_after / USEC_PER_MS);
	reply_error(exchange, BW_E_RATE, "rate", now);
}

/* A request counts at the node that received it from the client, once. */
static rate_verdict_t
check_rate(exchange_t *exchange, usec_t *retry_after)
{
	rate_gate_t *rates = exchange->engine->rates;

	if (rates == NULL || exchange->customer == NULL)
		return RATE_ADMIT;
	return rate_gate_request(
	    rates, exchange->customer->name, exchange, retry_after);
}

/* Starts the request, refuses it, or holds it back until
 * exchange_rate_decided(). */
static void
start_within_rate(exchange_t *exchange, usec_t now)
{
	usec_t retry_after = 0;

	if (ends_before_answer(exchange, now)) {
		reply_error(exchange, BW_E_STOPPING, "stopping", now);
		return;
	}
	switch (check_rate(exchange, &retry_after)) {
	case RATE_ADMIT:
		exchange->admitted_by_rate = exchange->customer != NULL &&
		    exchange->engine->rates != NULL;
		exchange->rate_taken_at = now;
		start_tasks(exchange, now);
		break;
	case RATE_REFUSE:
		refuse_by_rate(exchange, retry_after, now);
		break;
	case RATE_HOLD:
		exchange->held_for_rate = true;
		break;
	}
}

void
exchange_rate_decided(const rate_decision_t *decision)
{
	exchange_t *exchange = decision->request;
	usec_t now = engine_now(exchange->engine);

	exchange->held_for_rate = false;
	exchange->starting = true;
	if (decision->admitted) {
		exchange->admitted_by_rate = true;
		exchange->rate_taken_at = now;
		start_tasks(exchange, now);
	} else {
		refuse_by_rate(exchange, decision->retry_after, now);
	}
	exchange->starting = false;
	exchange_continue(exchange, now);
}

exchange_t *
exchange_start(exchange_engine_t *engine, const http_message_t *request,
    const client_connection_t *connection, exchange_reply_t reply, void *client)
{
	group_request_t group_request;
	const group_request_t *group =
	    connection->is_peer && group_request_read(request, &group_request)
	    ? &group_request
	    : NULL;
	uint32_t task_count = count_tasks(engine, request, group);
	exchange_t *exchange =
	    g_malloc0(sizeof(*exchange) + task_count * sizeof(task_t));
	usec_t now = engine_now(engine);
	const char *cause;
	int error;

	exchange->engine = engine;
	exchange->request = request;
	exchange->reply = reply;
	exchange->client = client;
	exchange->received_at = now;
	exchange->request_id = slice_from("-");
	exchange->starting = true;
	exchange->shard_step = 1;
	exchange->is_for_peer = connection->is_peer;
	exchange->interim = connection->interim;
	exchange_init_timer(exchange);
	engine->running++;
	engine->counters.requests++;
	error = find_route(exchange, &cause);
	if (error == 0)
		error = find_customer(exchange, &cause);
	if (error == 0)
		exchange->task_count = task_count;
	if (error == 0 && connection->is_peer)
		error = select_group(exchange, group, &cause);
	if (error == 0)
		set_times(exchange, connection, group);
	if (error == 0 && is_refused_for_memory(exchange, connection)) {
		error = BW_E_OVERLOADED;
		cause = "memory";
	}
	if (error != 0)
		reply_error(exchange, error, cause, now);
	else
		start_within_rate(exchange, now);
	exchange->starting = false;
	return exchange_continue(exchange, now);
}
