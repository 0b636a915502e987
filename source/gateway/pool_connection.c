#include <string.h>

#include "../base/loop_clock.h"
#include "bulrushwell/event.h"
#include "pool_private.h"
#include "server_notice.h"

#define CONNECT_TIMEOUT MS(700)
/* Idle connections are closed before servers are likely to close them. */
#define DEFAULT_IDLE_LIMIT SECONDS(8)
#define IDLE_MARGIN MS(700)
/*
 * Where a node has less than one connection to each server, those to servers
 * other than the preferred one are closed this soon after use.
 */
#define SCARCE_IDLE_LIMIT SECONDS(1)
/* A connection whose server acknowledges nothing for this long is closed. */
#define SILENCE_LIMIT SECONDS(3)
/* After the deadline of an attempt, for the response of the server. */
#define EXPIRY_GRACE MS(150)
#define SWEEP_INTERVAL MS(100)
#define RECENT_INTERVAL MS(500)
#define FAILURES_BEFORE_EJECTION 3 /* in a row */
/* A server that is unreachable this soon after losing a connection crashed. */
#define CRASH_CONFIRM_TIME SECONDS(2)
#define SPARE_INTERVAL MS(400) /* between spare connections to a server */
#define SPARES_PER_SWEEP 4     /* limits the burst when nodes start together */

usec_t
pool_now(const pool_t *pool)
{
	return loop_clock_now(pool->loop);
}

bool
pool_connection_idle(const pool_connection_t *connection)
{
	return connection->attempt == NULL && !connection->in_callback &&
	    http_connection_reusable(connection->http);
}

static void
destroy_connection(pool_connection_t *connection)
{
	upstream_server_t *server = connection->server;

	pool_t *pool = connection->pool;

	g_ptr_array_remove_fast(server->connections, connection);
	http_connection_destroy(connection->http);
	g_free(connection);
	pool_server_release(pool, server);
}

void
pool_connection_drop(pool_connection_t *connection)
{
	attempt_t *attempt = connection->attempt;

	connection->attempt = NULL;
	if (attempt != NULL)
		pool_cold_ended(attempt, true);
	g_free(attempt);
	destroy_connection(connection);
}

static void
end_attempt(pool_t *pool, attempt_t *attempt, attempt_outcome_t outcome,
    const http_message_t *response)
{
	if (attempt->owner != NULL)
		pool->handlers.attempt_ended(
		    attempt->owner, attempt, outcome, response);
	g_free(attempt);
}

/*
 * A single lost response counts as a failed attempt. A server is ejected when
 * it is unreachable or loses several in a row.
 */
static void
record_connection_failure(
    upstream_server_t *server, bool unreachable, usec_t now)
{
	server->consecutive_failures++;
	if (!unreachable &&
	    server->consecutive_failures < FAILURES_BEFORE_EJECTION) {
		server_health_failed(&server->health, now);
		return;
	}
	if (server->health.ejections == 0)
		event_log(EVENT_SERVER_DOWN, "server=%s upstream=%s cause=%s",
		    server->entry.id, server->upstream->name,
		    unreachable ? "refused_or_silent" : "broken_connections");
	server_health_connection_failed(&server->health, now);
	pool_close_idle(server);
}

static void
record_interrupted_request(
    upstream_server_t *server, const attempt_t *attempt, usec_t now)
{
	if (server->interrupted_count == INTERRUPTED_REQUESTS_MAX)
		return;
	server->interrupted[server->interrupted_count++] =
	    (interrupted_request_t){attempt->fingerprint, attempt->crash, now};
}

/*
 * Called when a server is unreachable. A lost connection alone may be a lost
 * response, but if the server then refuses connections it has crashed, possibly
 * because of the requests it was running.
 */
static void
report_crash(pool_t *pool, upstream_server_t *server, usec_t now)
{
	for (uint32_t i = 0; i < server->interrupted_count; i++) {
		const interrupted_request_t *request = &server->interrupted[i];

		if (now - request->lost_at < CRASH_CONFIRM_TIME)
			pool->handlers.server_crashed(
			    pool->handlers.context, server, request);
	}
	server->interrupted_count = 0;
}

void
pool_connection_fail(pool_connection_t *connection, bool unreachable)
{
	pool_t *pool = connection->pool;
	upstream_server_t *server = connection->server;
	upstream_t *upstream = server->upstream;
	attempt_t *attempt = connection->attempt;
	bool may_have_arrived = attempt != NULL &&
	    (attempt->may_have_arrived ||
		http_connection_sent_any(connection->http));

	connection->attempt = NULL;
	connection->in_callback = true;
	if (unreachable || attempt != NULL)
		record_connection_failure(server, unreachable, pool_now(pool));
	if (unreachable && !may_have_arrived)
		report_crash(pool, server, pool_now(pool));
	else if (!unreachable && may_have_arrived)
		record_interrupted_request(server, attempt, pool_now(pool));
	if (attempt != NULL) {
		pool->connection_failures[0]++;
		attempt->accepted = pool_attempt_accepted(attempt);
		attempt->connection = NULL;
		attempt->may_have_arrived = may_have_arrived;
		pool_cold_ended(attempt, may_have_arrived);
		end_attempt(pool, attempt,
		    may_have_arrived ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN, NULL);
	}
	destroy_connection(connection);
	pool->handlers.capacity_available(pool->handlers.context, upstream);
}

static void
on_connected(void *owner, http_connection_t *http)
{
	pool_connection_t *connection = owner;
	upstream_server_t *server = connection->server;

	connection->idle_since = pool_now(connection->pool);
	server->interrupted_count = 0;
	pool_cold_connected(server, connection->idle_since);
	if (!server->health.unproven)
		return;
	server_health_connected(&server->health);
	event_log(EVENT_SERVER_UP, "server=%s upstream=%s", server->entry.id,
	    server->upstream->name);
}

typedef enum { NAMES_THIS, NAMES_ANOTHER, NAMES_NONE } named_request_t;

static named_request_t
named_request(
    const pool_connection_t *connection, const http_message_t *response)
{
	slice_t id;

	if (!http_message_find(
		response, connection->pool->settings.headers.request_id, &id))
		return NAMES_NONE;
	return slice_is(id, connection->attempt->request_id) ? NAMES_THIS
							     : NAMES_ANOTHER;
}

static bool
is_not_run(const pool_t *pool, const http_message_t *response)
{
	slice_t value;

	return http_message_status(response) == 421 ||
	    http_message_find(response, pool->settings.headers.not_run, &value);
}

/* Reads the server's idle timeout from "Keep-Alive: timeout=SECONDS". */
static void
read_idle_limit(pool_connection_t *connection, const http_message_t *response)
{
	slice_t value;
	const char *at;

	if (!http_message_find(response, "Keep-Alive", &value))
		return;
	at = memmem(value.data, value.size, "timeout=", strlen("timeout="));
	if (at == NULL)
		return;
	at += strlen("timeout=");
	value.size = (size_t)(value.data + value.size - at);
	value.data = at;
	for (size_t i = 0; i < value.size; i++)
		if (value.data[i] < '0' || value.data[i] > '9')
			value.size = i;
	if (http_parse_number(value) > 0)
		connection->idle_limit =
		    SECONDS(http_parse_number(value)) - IDLE_MARGIN;
}

static uint32_t
count_running(const upstream_server_t *server)
{
	uint32_t running = 0;

	for (guint i = 0; i < server->connections->len; i++) {
		const pool_connection_t *connection =
		    server->connections->pdata[i];

		running += connection->attempt != NULL;
	}
	return running;
}

static void
record_response(pool_connection_t *connection, const http_message_t *response,
    bool not_run, bool load_reported, usec_t now)
{
	upstream_server_t *server = connection->server;
	attempt_t *attempt = connection->attempt;
	usec_t elapsed = now - attempt->started_at;
	usec_t typical = latency_model_typical(attempt->latency);
	double pace = server_load_pace(&server->load, now);
	double max_limit =
	    pool_connection_limit(connection->pool, server->upstream);

	server->consecutive_failures = 0;
	server->interrupted_count = 0;
	if (not_run) {
		server_health_overloaded(
		    &server->health, count_running(server), now);
	} else if (http_message_status(response) >= 500) {
		server_health_failed(&server->health, now);
	} else {
		if (load_reported)
			server_load_answered(&server->load, elapsed, typical);
		server_health_answered(&server->health, elapsed,
		    (usec_t)(pace * typical), max_limit, now);
		latency_model_record(attempt->latency, elapsed);
	}
}

/* Status 421: another server has taken the address, so this one is ejected. */
static void
record_misdirected(pool_connection_t *connection)
{
	upstream_server_t *server = connection->server;

	server_health_connection_failed(
	    &server->health, pool_now(connection->pool));
	event_log(EVENT_SERVER_REPLACED, "server=%s upstream=%s",
	    server->entry.id, server->upstream->name);
}

/* What the server says of itself in a response to this node's request. */
static void
apply_notice(const pool_connection_t *connection,
    const http_message_t *response, usec_t now)
{
	pool_t *pool = connection->pool;
	upstream_server_t *server = connection->server;
	server_notice_t notice;

	if (pool->settings.headers.leaving == NULL)
		return;
	notice = server_notice_read(response, pool->settings.headers.leaving);
	if (notice.backoff > 0)
		pool_server_back_off(server, notice.backoff, now);
	if (pool->settings.headers.warm_up_left != NULL)
		pool_cold_said(pool, server,
		    server_notice_warm_up_left(
			response, pool->settings.headers.warm_up_left),
		    connection->attempt->started_at, now);
	if (notice.leaving && pool_server_said_leaving(pool, server, now) &&
	    pool->handlers.server_leaving != NULL)
		pool->handlers.server_leaving(pool->handlers.context, server);
}

static void
log_bad_report(const upstream_server_t *server, const attempt_t *attempt)
{
	event_log_sampled(EVENT_LOAD_REPORT_BAD,
	    "server=%s upstream=%s request=%s", server->entry.id,
	    server->upstream->name, attempt->request_id);
}

/*
 * The attempt that is answered still counts as running. Returns whether the
 * server has reported its load.
 */
static bool
read_load_report(pool_connection_t *connection, const http_message_t *response)
{
	pool_t *pool = connection->pool;
	upstream_server_t *server = connection->server;
	load_report_t report;

	/* Status 421 is of another server, which has taken the address. */
	if (pool->settings.headers.load == NULL ||
	    http_message_status(response) == 421)
		return false;
	switch (server_notice_read_load(
	    response, pool->settings.headers.load, &report)) {
	case LOAD_NOT_REPORTED:
		return false;
	case LOAD_REPORTED:
		pool->report_counts.read++;
		server_load_reported(&server->load, &report,
		    count_running(server), pool_now(pool));
		return true;
	case LOAD_REPORT_MALFORMED:
		pool->report_counts.rejected++;
		log_bad_report(server, connection->attempt);
		return false;
	}
	return false;
}

static void
on_interim(void *owner, http_connection_t *http, const http_message_t *response)
{
	const pool_connection_t *connection = owner;
	const pool_handlers_t *handlers = &connection->pool->handlers;
	const attempt_t *attempt = connection->attempt;

	if (handlers->attempt_interim == NULL || attempt == NULL ||
	    attempt->owner == NULL)
		return;
	/* One that says only that the request was accepted has no id. */
	if (named_request(connection, response) != NAMES_ANOTHER)
		handlers->attempt_interim(attempt->owner, response);
}

static bool
on_responded(
    void *owner, http_connection_t *http, const http_message_t *response)
{
	pool_connection_t *connection = owner;
	pool_t *pool = connection->pool;
	upstream_t *upstream = connection->server->upstream;
	attempt_t *attempt = connection->attempt;
	bool not_run, load_reported;

	if (attempt == NULL) {
		pool_connection_fail(connection, false);
		return true;
	}
	/*
	 * Servers name the request in each response. A late response to an
	 * earlier one, or other bytes, may arrive before the right response.
	 */
	if (named_request(connection, response) != NAMES_THIS) {
		event_log(EVENT_SERVER_LYING, "server=%s request=%s",
		    connection->server->entry.id, attempt->request_id);
		return false;
	}
	not_run = is_not_run(pool, response);
	load_reported = read_load_report(connection, response);
	record_response(
	    connection, response, not_run, load_reported, pool_now(pool));
	apply_notice(connection, response, pool_now(pool));
	read_idle_limit(connection, response);
	if (http_message_status(response) == 421)
		record_misdirected(connection);
	connection->attempt = NULL;
	connection->in_callback = true;
	connection->idle_since = pool_now(pool);
	attempt->accepted = pool_attempt_accepted(attempt);
	attempt->connection = NULL;
	attempt->may_have_arrived = true;
	pool->answered[0]++;
	pool_cold_ended(attempt, http_message_status(response) != 421);
	end_attempt(pool, attempt, not_run ? ATTEMPT_NOT_RUN : ATTEMPT_ANSWERED,
	    response);
	connection->in_callback = false;
	if (!http_connection_reusable(http) ||
	    connection->server->health.unproven ||
	    pool_is_evacuated(pool, connection->server))
		destroy_connection(connection);
	pool->handlers.capacity_available(pool->handlers.context, upstream);
	return true;
}

static void
log_unusable(const pool_connection_t *connection, event_number_t event)
{
	const upstream_server_t *server = connection->server;
	const attempt_t *attempt = connection->attempt;

	event_log_sampled(event, "server=%s upstream=%s request=%s",
	    server->entry.id, server->upstream->name,
	    attempt != NULL ? attempt->request_id : "-");
}

static void
on_closed(void *owner, http_connection_t *http, http_close_reason_t reason)
{
	pool_connection_t *connection = owner;

	connection->server->refused |= http_connection_refused(http);
	if (reason == HTTP_CLOSED_MALFORMED)
		log_unusable(connection, EVENT_SERVER_MALFORMED);
	else if (reason == HTTP_CLOSED_TOO_LARGE)
		log_unusable(connection, EVENT_SERVER_TOO_LARGE);
	pool_connection_fail(connection, reason == HTTP_CLOSED_CONNECT_FAILED);
}

static const http_connection_handlers_t connection_handlers = {
    .connected = on_connected,
    .responded = on_responded,
    .interim = on_interim,
    .closed = on_closed,
};

pool_connection_t *
pool_connection_open(pool_t *pool, upstream_server_t *server, usec_t now)
{
	pool_connection_t *connection = g_new0(pool_connection_t, 1);

	connection->pool = pool;
	connection->server = server;
	connection->created_at = now;
	connection->idle_since = now;
	connection->idle_limit = DEFAULT_IDLE_LIMIT;
	connection->http = http_connection_create(pool->loop,
	    &server->entry.address, pool->settings.max_response_bytes,
	    &connection_handlers, connection);
	if (connection->http == NULL) {
		g_free(connection);
		return NULL;
	}
	http_connection_detect_silence(connection->http, SILENCE_LIMIT);
	g_ptr_array_add(server->connections, connection);
	return connection;
}

/* The server is least likely to have closed the most recently used one. */
static pool_connection_t *
most_recent_idle(const upstream_server_t *server)
{
	pool_connection_t *latest = NULL;

	for (guint i = 0; i < server->connections->len; i++) {
		pool_connection_t *connection = server->connections->pdata[i];

		if (!pool_connection_idle(connection))
			continue;
		if (latest == NULL ||
		    connection->idle_since > latest->idle_since)
			latest = connection;
	}
	return latest;
}

attempt_t *
pool_start_attempt(pool_t *pool, upstream_server_t *server,
    const pool_request_t *request, void *owner, usec_t now)
{
	pool_connection_t *connection = most_recent_idle(server);
	attempt_t *attempt;

	if (connection == NULL)
		connection = pool_connection_open(pool, server, now);
	if (connection == NULL ||
	    !http_connection_reserve(
		connection->http, request->head->size + request->body.size))
		return NULL;
	attempt = g_new0(attempt_t, 1);
	attempt->server = server;
	attempt->owner = owner;
	attempt->latency = request->latency;
	attempt->started_at = now;
	attempt->expires_at = request->expires_at;
	attempt->fingerprint = request->fingerprint;
	attempt->crash = request->crash;
	attempt->connection = connection;
	slice_to_text(request->request_id, attempt->request_id,
	    sizeof(attempt->request_id));
	connection->attempt = attempt;
	pool_cold_started(pool, attempt, now);
	http_connection_send(
	    connection->http, request->head, request->body, request->head_only);
	return attempt;
}

void
pool_attempt_abandon(attempt_t *attempt)
{
	attempt->owner = NULL;
	/* Nobody reads the answer; the connection is used again after it. */
	if (attempt->connection != NULL)
		http_connection_discard_body(attempt->connection->http);
}

bool
pool_attempt_accepted(const attempt_t *attempt)
{
	return http_connection_got_interim(attempt->connection->http);
}

bool
pool_attempt_arrived(const attempt_t *attempt)
{
	return !http_connection_unacknowledged(attempt->connection->http);
}

void
pool_attempt_withdraw(pool_t *pool, attempt_t *attempt, usec_t now)
{
	server_health_connection_failed(&attempt->server->health, now);
	http_connection_discard_unsent(attempt->connection->http);
	pool_attempt_cancel(pool, attempt);
}

void
pool_attempt_cancel(pool_t *pool, attempt_t *attempt)
{
	pool_connection_t *connection = attempt->connection;
	upstream_t *upstream = connection->server->upstream;

	attempt->owner = NULL;
	pool_connection_drop(connection);
	pool->handlers.capacity_available(pool->handlers.context, upstream);
}

void
pool_close_idle(upstream_server_t *server)
{
	guint i = 0;

	while (i < server->connections->len) {
		pool_connection_t *connection = server->connections->pdata[i];

		if (connection->attempt != NULL || connection->in_callback) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(server->connections, i);
		http_connection_destroy(connection->http);
		g_free(connection);
	}
}

static pool_connection_t *
find_unsent(const upstream_server_t *server)
{
	for (guint i = 0; i < server->connections->len; i++) {
		pool_connection_t *connection = server->connections->pdata[i];

		if (connection->attempt != NULL &&
		    !http_connection_sent_any(connection->http))
			return connection;
	}
	return NULL;
}

/* The report of the end may change the other connections of the server. */
void
pool_withdraw_unsent(upstream_server_t *server)
{
	pool_connection_t *connection;

	while ((connection = find_unsent(server)) != NULL) {
		attempt_t *attempt = connection->attempt;

		connection->attempt = NULL;
		connection->in_callback = true;
		attempt->connection = NULL;
		pool_cold_ended(attempt, false);
		end_attempt(connection->pool, attempt, ATTEMPT_NOT_RUN, NULL);
		destroy_connection(connection);
	}
}

static bool
is_connecting(const pool_connection_t *connection)
{
	return http_connection_state(connection->http) ==
	    HTTP_CONNECTION_CONNECTING;
}

static usec_t
idle_limit(const pool_connection_t *connection)
{
	const upstream_server_t *server = connection->server;

	if (pool_connections_scarce(connection->pool, server->upstream) &&
	    !pool_keeps_connected(connection->pool, server))
		return MIN(SCARCE_IDLE_LIMIT, connection->idle_limit);
	return connection->idle_limit;
}

/* Return: whether the connection is still open. */
static bool
sweep_connection(pool_connection_t *connection, usec_t now)
{
	const attempt_t *attempt = connection->attempt;

	if (is_connecting(connection) &&
	    now - connection->created_at > CONNECT_TIMEOUT) {
		pool_connection_fail(connection, true);
		return false;
	}
	if (attempt != NULL && now > attempt->expires_at + EXPIRY_GRACE) {
		pool_connection_fail(connection, true);
		return false;
	}
	if (pool_connection_idle(connection) &&
	    now - connection->idle_since > idle_limit(connection)) {
		pool_connection_drop(connection);
		return false;
	}
	return true;
}

static bool
wants_spare(const pool_t *pool, const upstream_server_t *server)
{
	const upstream_t *upstream = server->upstream;

	if (!upstream->routed || server->leaving_since != 0 ||
	    pool_is_evacuated(pool, server) || server->connections->len > 0)
		return false;
	if (server->health.unproven || server->interrupted_count > 0)
		return true; /* nothing else shows whether it is up */
	return pool_keeps_connected(pool, server);
}

/* Keeps a connection ready to each server in use, at a limited rate. */
static void
open_spare(pool_t *pool, upstream_server_t *server, usec_t now)
{
	if (!wants_spare(pool, server) || now < server->health.ejected_until ||
	    now < server->next_spare_at ||
	    pool->spare_opened >= SPARES_PER_SWEEP)
		return;
	pool->spare_opened++;
	server->next_spare_at = now + SPARE_INTERVAL;
	pool_connection_open(pool, server, now);
}

static void
sweep_server(pool_t *pool, upstream_server_t *server, usec_t now)
{
	GPtrArray *connections = server->connections;
	guint i = connections->len;

	while (i-- > 0)
		if (i < connections->len)
			sweep_connection(connections->pdata[i], now);
	open_spare(pool, server, now);
}

/* Return: whether a connection was closed; its server may be freed then. */
static bool
sweep_closing_server(pool_t *pool, usec_t now)
{
	for (guint i = 0; i < pool->closing_servers->len; i++) {
		const upstream_server_t *server =
		    pool->closing_servers->pdata[i];

		for (guint j = 0; j < server->connections->len; j++)
			if (!sweep_connection(
				server->connections->pdata[j], now))
				return true;
	}
	return false;
}

static void
on_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	pool_t *pool = timer->data;
	usec_t now = pool_now(pool);
	GList *servers;

	if (now - pool->interval_started_at >= RECENT_INTERVAL) {
		pool->interval_started_at = now;
		pool->answered[1] = pool->answered[0];
		pool->connection_failures[1] = pool->connection_failures[0];
		pool->answered[0] = 0;
		pool->connection_failures[0] = 0;
	}
	pool->spare_opened = 0;
	pool_remove_drained(pool, now);
	pool_cold_notice_pause(pool, now);
	pool_cold_check_sender(pool, now);
	while (sweep_closing_server(pool, now))
		;
	servers = g_hash_table_get_values(pool->servers);
	for (GList *at = servers; at != NULL; at = at->next)
		sweep_server(pool, at->data, now);
	g_list_free(servers);
}

void
pool_sweep_start(pool_t *pool)
{
	double interval = (double)SWEEP_INTERVAL / USEC_PER_SEC;

	ev_timer_init(&pool->sweep, on_sweep, interval, interval);
	pool->sweep.data = pool;
	ev_timer_start(pool->loop, &pool->sweep);
}

void
pool_sweep_stop(pool_t *pool)
{
	ev_timer_stop(pool->loop, &pool->sweep);
}
