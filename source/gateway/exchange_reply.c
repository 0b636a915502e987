/* Sends the response of an exchange, with its counters and log line. */
#include <stdio.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "exchange_private.h"

#define ERROR_BODY_MAX 512
#define STATUS_UNAUTHORISED 401
/* Maximum Retry-After, as a part of the time left until the deadline. */
#define MAX_RETRY_WAIT_RATIO (1.0 / 3.0)
/*
 * Used before a route is found: this node has no configuration or is stopping,
 * and another node may serve the retry.
 */
#define UNROUTED_RETRY_AFTER MS(100)
/*
 * Used when it is not known when a slot becomes free, as for a service without
 * servers; it only spreads the retries.
 */
#define DEFAULT_SLOT_INTERVAL MS(20)

int
reply_status(const http_message_t *response)
{
	int status = http_message_status(response);

	if (status == 408 || status == 421 || status == 429 || status == 503)
		return 502;
	return status;
}

static bool
any_task_may_have_run(const exchange_t *exchange)
{
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		if (task->may_have_run || task->running_count > 0 ||
		    task->state == TASK_ASKED)
			return true;
	}
	return false;
}

/* Replaces a "not run" error if a server may have run the request. */
static int
reportable_error(const exchange_t *exchange, int error)
{
	if (!error_is_not_run(error) || !any_task_may_have_run(exchange))
		return error;
	return error == BW_E_DEADLINE ? BW_E_TIMEOUT : BW_E_UPSTREAM;
}

static event_number_t
reply_event(const exchange_t *exchange, int status)
{
	if (exchange->key_refused)
		return EVENT_KEY_REFUSED;
	return status < 400 ? EVENT_REQUEST_ANSWERED : EVENT_REQUEST_FAILED;
}

/* Return: the end of the log line that names the customer, if there is one. */
static char *
customer_field(const exchange_t *exchange)
{
	if (exchange->customer_name.size == 0)
		return g_strdup("");
	return g_strdup_printf(" customer=%.*s",
	    (int)exchange->customer_name.size, exchange->customer_name.data);
}

static void
log_reply(const exchange_t *exchange, int status, const char *cause, usec_t now)
{
	char *customer = customer_field(exchange);
	uint32_t sent_count = 0, answered = 0, retry_denied = 0;

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		sent_count += exchange->tasks[i].sent_count;
		answered += exchange->tasks[i].state == TASK_ANSWERED;
		retry_denied += exchange->tasks[i].retry_denied;
	}
	event_log_sampled(reply_event(exchange, status),
	    "request=%.*s route=%s version=%lld status=%d ms=%.1f tasks=%u "
	    "in=%u sent=%u denied=%u cause=%s%s",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    exchange->route != NULL ? exchange->route->name : "-",
	    (long long)(exchange->table != NULL
		    ? route_table_version(exchange->table)
		    : 0),
	    status, (double)(now - exchange->received_at) / USEC_PER_MS,
	    exchange->task_count, answered, sent_count, retry_denied, cause,
	    customer);
	g_free(customer);
}

static void
record_latency(const exchange_t *exchange, bool answered, usec_t now)
{
	if (exchange->route_state == NULL)
		return;
	histogram_record(answered ? exchange->route_state->answer_times
				  : exchange->route_state->failure_times,
	    now - exchange->received_at);
}

/* Expected time until the next slot under the concurrency limit is free. */
static usec_t
slot_interval(const exchange_t *exchange)
{
	const limiter_t *limiter = exchange->engine->limiter;
	const char *key = exchange->route->targets[0].service;
	limiter_stats_t stats;

	limiter_get_stats(limiter, key, &stats);
	if (exchange->route->kind != ROUTE_FANOUT || stats.running == 0)
		return DEFAULT_SLOT_INTERVAL;
	return limiter_retry_after(limiter, key) / stats.running;
}

/* How long until a server of a task that found none wants requests again. */
static usec_t
backoff_left(const exchange_t *exchange, usec_t now)
{
	usec_t longest = 0;

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const upstream_t *upstream = exchange->tasks[i].upstream;

		if (upstream == NULL ||
		    pool_has_usable_server(
			exchange->engine->pool, upstream, now))
			continue;
		longest = MAX(longest,
		    pool_backoff_left(exchange->engine->pool, upstream, now));
	}
	return longest;
}

usec_t
exchange_cold_wait(const exchange_t *exchange, usec_t now)
{
	pool_t *pool = exchange->engine->pool;
	usec_t longest = 0;

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const upstream_t *upstream = exchange->tasks[i].upstream;

		if (upstream != NULL &&
		    !pool_has_usable_server(pool, upstream, now))
			longest =
			    MAX(longest, pool_cold_wait(pool, upstream, now));
	}
	return longest;
}

/* Value of Retry-After in seconds; negative for none. */
static double
retry_after(const exchange_t *exchange, int status, usec_t now)
{
	usec_t wait = UNROUTED_RETRY_AFTER;

	if (status != 503 && status != 429)
		return -1.0;
	if (exchange->route_state != NULL) {
		usec_t max_wait = (usec_t)(MAX_RETRY_WAIT_RATIO *
		    (double)(exchange->deadline - now));

		if (exchange->rate_retry_after > 0)
			return (double)CLAMP(exchange->rate_retry_after, 0,
				   MAX(max_wait, 0)) /
			    USEC_PER_SEC;
		wait =
		    retry_schedule_next(&exchange->route_state->retry_schedule,
			slot_interval(exchange), max_wait, now);
		wait = MAX(wait, MIN(exchange->place_wait, max_wait));
		wait =
		    MAX(wait, MIN(exchange_cold_wait(exchange, now), max_wait));
		wait = MAX(wait, backoff_left(exchange, now));
	}
	return (double)wait / USEC_PER_SEC;
}

/* Clients of the platform know no other "not run" status for a suspect. */
static int
error_status(int error)
{
	return error == BW_E_SUSPECT ? 503 : error_http_status(error);
}

static void
add_peer_headers(const exchange_t *exchange, bool not_run, buffer_t *head)
{
	head_add_field(head, exchange->engine->settings.headers.request_id,
	    exchange->request_id);
	if (not_run)
		buffer_append_text(
		    head, SERVING_PEERS_NOT_RUN_HEADER ": 1\r\n");
}

void
reply_error(exchange_t *exchange, int error, const char *cause, usec_t now)
{
	exchange_counters_t *counters = &exchange->engine->counters;
	char body[ERROR_BODY_MAX];
	buffer_t head = {0};
	int reported = reportable_error(exchange, error);
	int status = error_status(reported);
	int size = snprintf(body, sizeof(body),
	    "{\"error\":{\"kind\":\"%s\",\"code\":%d,\"not_run\":%s,"
	    "\"message\":\"%s\",\"remedy\":\"%s\"}}\n",
	    error_kind(reported), reported,
	    error_is_not_run(reported) ? "true" : "false", cause,
	    error_remedy(reported));

	if (error_is_not_run(reported))
		counters->refused++;
	else
		counters->failed++;
	log_reply(exchange, status, cause, now);
	record_latency(exchange, false, now);
	size = MIN(size, (int)sizeof(body) - 1);
	head_build_local(
	    status, retry_after(exchange, status, now), (size_t)size, &head);
	if (status == STATUS_UNAUTHORISED)
		buffer_append_text(&head, "WWW-Authenticate: Bearer\r\n");
	if (exchange->is_for_peer)
		add_peer_headers(exchange, error_is_not_run(reported), &head);
	exchange_finish(exchange, &head, (slice_t){body, (size_t)size});
	buffer_free(&head);
}

static void
clear_suspect(const exchange_t *exchange, usec_t now)
{
	if (exchange->is_suspect)
		suspect_record_answer(
		    exchange->engine->suspects, exchange->fingerprint, now);
}

void
reply_forward(exchange_t *exchange, const attempt_t *attempt,
    const http_message_t *response, usec_t now)
{
	const header_names_t *names = &exchange->engine->settings.headers;
	buffer_t head = {0};
	int status = reply_status(response);
	bool status_replaced = status != http_message_status(response);

	if (status < 500) {
		exchange->engine->counters.answered++;
		clear_suspect(exchange, now);
	} else
		exchange->engine->counters.failed++;
	log_reply(exchange, status, attempt->server->entry.id, now);
	record_latency(exchange, status < 500, now);
	head_build_forwarded(names, response, !status_replaced, status,
	    response->body.size, &head);
	exchange_finish(exchange, &head,
	    (slice_t){response->body.data, response->body.size});
	buffer_free(&head);
}

void
reply_last_failure(exchange_t *exchange, usec_t now)
{
	slice_t body = {
	    exchange->failure_body.data, exchange->failure_body.size};

	exchange->engine->counters.failed++;
	log_reply(exchange, exchange->failure_status, "server_failure", now);
	record_latency(exchange, false, now);
	exchange_finish(exchange, &exchange->failure_head, body);
}

void
reply_add_stamps(const exchange_t *exchange, buffer_t *head)
{
	bool first = true;

	buffer_append_text(
	    head, exchange->engine->settings.headers.part_stamps);
	buffer_append(head, ": ", 2);
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		if (task->state != TASK_ANSWERED || task->reported)
			continue;
		if (!first)
			buffer_append(head, ", ", 2);
		buffer_append_text(head, task->response_stamp);
		first = false;
	}
	buffer_append(head, "\r\n", 2);
}

void
reply_fanout(exchange_t *exchange, uint32_t answered, usec_t now)
{
	exchange_counters_t *counters = &exchange->engine->counters;
	const gather_records_t *records = exchange->records;
	size_t size = (size_t)records->count * GATHER_RECORD_BYTES;
	buffer_t head = {0};

	counters->answered++;
	exchange->succeeded = true;
	clear_suspect(exchange, now);
	if (answered < exchange->task_count)
		counters->partial++;
	log_reply(exchange, 200,
	    answered < exchange->task_count ? "partial" : "whole", now);
	record_latency(exchange, true, now);
	buffer_append_text(&head, "HTTP/1.1 200 OK\r\n");
	reply_add_stamps(exchange, &head);
	buffer_append_text(
	    &head, exchange->engine->settings.headers.missing_parts);
	buffer_append(&head, ": ", 2);
	buffer_append_number(&head, exchange->task_count - answered);
	buffer_append_text(&head, "\r\nContent-Length: ");
	buffer_append_number(&head, size);
	buffer_append(&head, "\r\n", 2);
	if (exchange->is_for_peer)
		group_response_add(exchange, &head);
	exchange->route_state->response_bytes = head.size + size;
	exchange_finish(
	    exchange, &head, (slice_t){(const char *)records->records, size});
	buffer_free(&head);
}
