#include <stdio.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "exchange_private.h"

#define ERROR_BODY_MAX 512
/* Clients wait at most this part of the time that they have left. */
#define RETURN_PART (1.0 / 3.0)
/* Until this node has a configuration; other nodes may serve before. */
#define UNROUTED_RETURN MS(100)
/* Nothing tells when a service has servers again; returns are only spread. */
#define NO_SERVER_INTERVAL MS(20)

/*
 * 408, 421, 429 and 503 promise that a request has not run, so a server's own
 * use of them, without that promise, reaches the client as 502.
 */
static bool
promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool
anything_ran(const exchange_t *exchange)
{
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		if (task->ran || task->running_count > 0)
			return true;
	}
	return false;
}

/* What may be said of a request that a server may have run. */
static int
honest_error(const exchange_t *exchange, int error)
{
	if (!error_is_not_run(error) || !anything_ran(exchange))
		return error;
	return error == BW_E_DEADLINE ? BW_E_TIMEOUT : BW_E_UPSTREAM;
}

static void
log_end(const exchange_t *exchange, int status, const char *cause, usec_t now)
{
	uint32_t sent = 0, in = 0, denied = 0;

	for (uint32_t i = 0; i < exchange->task_count; i++) {
		sent += exchange->tasks[i].sent;
		in += exchange->tasks[i].state == TASK_ANSWERED;
		denied += exchange->tasks[i].denied;
	}
	event_log_sampled(
	    status < 400 ? EVENT_REQUEST_ANSWERED : EVENT_REQUEST_FAILED,
	    "request=%.*s route=%s version=%lld status=%d ms=%.1f tasks=%u "
	    "in=%u sent=%u denied=%u cause=%s",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    exchange->route != NULL ? exchange->route->name : "-",
	    (long long)(exchange->table != NULL
		    ? route_table_version(exchange->table)
		    : 0),
	    status, (double)(now - exchange->received_at) / USEC_PER_MS,
	    exchange->task_count, in, sent, denied, cause);
}

static void
record_end(const exchange_t *exchange, bool answered, usec_t now)
{
	if (exchange->state == NULL)
		return;
	histogram_record(
	    answered ? exchange->state->answered : exchange->state->failed,
	    now - exchange->received_at);
}

/* Expected time between two places for requests of this route. */
static usec_t
place_interval(const exchange_t *exchange)
{
	const limiter_t *limiter = exchange->engine->limiter;
	const char *index = exchange->route->targets[0].service;
	limiter_stats_t stats;

	limiter_get_stats(limiter, index, &stats);
	if (exchange->route->kind != ROUTE_FANOUT || stats.running == 0)
		return NO_SERVER_INTERVAL;
	return limiter_retry_after(limiter, index) / stats.running;
}

/* In seconds; negative for none. */
static double
retry_after(const exchange_t *exchange, int status, usec_t now)
{
	usec_t wait = UNROUTED_RETURN;

	if (status != 503 && status != 429)
		return -1.0;
	if (exchange->state != NULL) {
		usec_t longest =
		    (usec_t)(RETURN_PART * (double)(exchange->final_at - now));

		wait = return_schedule_next(&exchange->state->returns,
		    place_interval(exchange), longest, now);
	}
	return (double)wait / USEC_PER_SEC;
}

/* The platform's clients know no other status that says "not run" for this. */
static int
error_status(int error)
{
	return error == BW_E_SUSPECT ? 503 : error_http_status(error);
}

void
reply_error(exchange_t *exchange, int error, const char *cause, usec_t now)
{
	exchange_counters_t *counters = &exchange->engine->counters;
	char body[ERROR_BODY_MAX];
	buffer_t head = {0};
	int said = honest_error(exchange, error);
	int status = error_status(said);
	int size = snprintf(body, sizeof(body),
	    "{\"error\":{\"kind\":\"%s\",\"code\":%d,\"not_run\":%s,"
	    "\"message\":\"%s\",\"remedy\":\"%s\"}}\n",
	    error_kind(said), said, error_is_not_run(said) ? "true" : "false",
	    cause, error_remedy(said));

	if (error_is_not_run(said))
		counters->refused++;
	else
		counters->failed++;
	log_end(exchange, status, cause, now);
	record_end(exchange, false, now);
	size = MIN(size, (int)sizeof(body) - 1);
	head_own(
	    status, retry_after(exchange, status, now), (size_t)size, &head);
	exchange_finish(exchange, &head, (slice_t){body, (size_t)size});
	buffer_free(&head);
}

static void
clear_suspect(const exchange_t *exchange, usec_t now)
{
	if (exchange->suspect)
		suspect_answered(
		    exchange->engine->suspects, exchange->fingerprint, now);
}

void
reply_response(exchange_t *exchange, const attempt_t *attempt,
    const http_message_t *response, usec_t now)
{
	const header_names_t *names = &exchange->engine->settings.headers;
	buffer_t head = {0};
	int status = http_message_status(response);
	bool changed = promises_not_run(status);

	if (changed)
		status = 502;
	if (status < 500) {
		exchange->engine->counters.answered++;
		clear_suspect(exchange, now);
	} else
		exchange->engine->counters.failed++;
	log_end(exchange, status, attempt->replica->entry.id, now);
	record_end(exchange, status < 500, now);
	head_forward(
	    names, response, !changed, status, response->body.size, &head);
	exchange_finish(exchange, &head,
	    (slice_t){response->body.data, response->body.size});
	buffer_free(&head);
}

void
reply_kept_failure(exchange_t *exchange, usec_t now)
{
	slice_t body = {
	    exchange->failure_body.data, exchange->failure_body.size};

	exchange->engine->counters.failed++;
	log_end(exchange, 500, "server_failure", now);
	record_end(exchange, false, now);
	exchange_finish(exchange, &exchange->failure_head, body);
}

static void
add_stamps(const exchange_t *exchange, buffer_t *head)
{
	bool first = true;

	buffer_append_text(
	    head, exchange->engine->settings.headers.part_stamps);
	buffer_append(head, ": ", 2);
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		if (task->state != TASK_ANSWERED)
			continue;
		if (!first)
			buffer_append(head, ", ", 2);
		buffer_append_text(head, task->stamp);
		first = false;
	}
	buffer_append(head, "\r\n", 2);
}

void
reply_parts(exchange_t *exchange, uint32_t in, usec_t now)
{
	exchange_counters_t *counters = &exchange->engine->counters;
	const gather_records_t *records = exchange->records;
	size_t size = (size_t)records->count * GATHER_RECORD_BYTES;
	buffer_t head = {0};

	counters->answered++;
	exchange->answered = true;
	clear_suspect(exchange, now);
	if (in < exchange->task_count)
		counters->partial++;
	log_end(exchange, 200, in < exchange->task_count ? "partial" : "whole",
	    now);
	record_end(exchange, true, now);
	buffer_append_text(&head, "HTTP/1.1 200 OK\r\n");
	add_stamps(exchange, &head);
	buffer_append_text(
	    &head, exchange->engine->settings.headers.missing_parts);
	buffer_append(&head, ": ", 2);
	buffer_append_number(&head, exchange->task_count - in);
	buffer_append_text(&head, "\r\nContent-Length: ");
	buffer_append_number(&head, size);
	buffer_append(&head, "\r\n", 2);
	exchange_finish(
	    exchange, &head, (slice_t){(const char *)records->records, size});
	buffer_free(&head);
}
