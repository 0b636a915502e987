#include "node_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_UPSTREAM_BODY_BYTES 4194304

/* An HTTP request to an upstream server that has not ended yet. */
typedef struct {
	served_service_t *served;
	handle_t handle;	    /* in node->attempts */
	handle_t scheduler_attempt; /* the scheduler's handle */
	job_kind_t kind;
	char id[ID128_TEXT];
	uint64_t version; /* of the index */
	uint32_t shard;
	usec_t deadline;
} http_attempt_t;

/* A cancel request to an upstream server that has not ended yet. */
typedef struct {
	served_service_t *served;
	handle_t scheduler_attempt;
} cancellation_t;

table_t *
attempt_table_create(uint32_t capacity)
{
	return table_create(sizeof(http_attempt_t), capacity);
}

static bool
header_equals(
    const http_response_t *response, const char *name, uint64_t expected)
{
	const char *text = http_response_header(response, name);
	char expected_text[24];

	snprintf(expected_text, sizeof(expected_text), "%llu",
	    (unsigned long long)expected);
	return text != NULL && strcmp(text, expected_text) == 0;
}

static bool
response_matches(const http_attempt_t *attempt, const http_response_t *response)
{
	const char *id = http_response_header(response, "X-Request-Id");

	if (id == NULL || strcmp(id, attempt->id) != 0)
		return false;
	if (attempt->kind == JOB_RESERVATION)
		return true;
	return header_equals(response, "X-Index-Version", attempt->version) &&
	    header_equals(response, "X-Shard", attempt->shard);
}

static attempt_result_t
classify_refusal(const http_response_t *response)
{
	static const struct {
		const char *text;
		attempt_result_t result;
	} errors[] = {
	    {"shed", ATTEMPT_SHED},
	    {"draining", ATTEMPT_DRAINING},
	    {"version-gone", ATTEMPT_VERSION_GONE},
	    {"wrong-shard", ATTEMPT_WRONG_SHARD},
	    {"deadline", ATTEMPT_TIMEOUT},
	};
	const char *text = http_response_header(response, "X-Error");

	for (size_t i = 0; text != NULL && i < G_N_ELEMENTS(errors); i++)
		if (strcmp(text, errors[i].text) == 0)
			return errors[i].result;
	return ATTEMPT_FAILED;
}

static attempt_result_t
classify_response(
    const http_attempt_t *attempt, const http_response_t *response)
{
	int status = http_response_status(response);
	bool answered = status >= 200 && status < 300;

	/* A 4xx without X-Error is the outcome of a reservation: the service
	 * ran it and rejected it. */
	if (attempt->kind == JOB_RESERVATION && status >= 400 && status < 500 &&
	    http_response_header(response, "X-Error") == NULL)
		answered = true;
	if (!answered)
		return classify_refusal(response);
	return response_matches(attempt, response) ? ATTEMPT_OK
						   : ATTEMPT_MISMATCH;
}

static attempt_result_t
classify_result(const http_attempt_t *attempt, http_result_t result,
    const http_response_t *response)
{
	switch (result) {
	case HTTP_ANSWERED:
		return classify_response(attempt, response);
	case HTTP_NOT_SENT:
		return ATTEMPT_NOT_SENT;
	case HTTP_CONNECTION_LOST:
		return ATTEMPT_CONNECTION_LOST;
	case HTTP_TIMEOUT:
		return ATTEMPT_TIMEOUT;
	case HTTP_TOO_LARGE:
	case HTTP_MALFORMED:
		return ATTEMPT_FAILED;
	}
	return ATTEMPT_FAILED;
}

static void
on_attempt_connected(void *context, usec_t opened_at)
{
	const http_attempt_t *attempt = context;

	scheduler_attempt_connected(
	    attempt->served->scheduler, attempt->scheduler_attempt, opened_at);
}

static void
on_attempt_done(
    void *context, http_result_t result, const http_response_t *response)
{
	http_attempt_t *attempt = context;
	served_service_t *served = attempt->served;
	slice_t bytes = http_response_body(response);
	bool answered = result == HTTP_ANSWERED;
	attempt_outcome_t outcome = {
	    .result = classify_result(attempt, result, response),
	    .http_status = answered ? http_response_status(response) : 0,
	    .announced_drain = answered &&
		http_response_header(response, "X-Draining") != NULL,
	};

	if (outcome.result == ATTEMPT_MISMATCH)
		event_log(EVENT_SERVER_LYING,
		    "a server of %s returned a response to a different request",
		    served->service);
	if (outcome.result == ATTEMPT_OK)
		outcome.body = body_create(bytes.data, bytes.size);
	scheduler_attempt_ended(served->scheduler, attempt->scheduler_attempt,
	    &outcome, clock_monotonic());
	body_unref(outcome.body);
	table_remove(served->node->attempts, attempt->handle);
}

static void
report_not_sent(served_service_t *served, handle_t attempt)
{
	attempt_outcome_t outcome = {.result = ATTEMPT_NOT_SENT};

	scheduler_attempt_ended(
	    served->scheduler, attempt, &outcome, clock_monotonic());
}

/* Buffers for the header lines of one attempt. */
typedef struct {
	char id[64];
	char index[NAME_SIZE + 16];
	char version[48];
	char deadline[48];
	char customer[NAME_SIZE + 16];
	char key[SCHEDULER_KEY_SIZE + 24];
} header_lines_t;

static void
add_header(http_request_t *request, const char *text)
{
	request->headers[request->header_count++] = text;
}

static void
write_headers(header_lines_t *lines, const http_attempt_t *attempt,
    const job_t *job, http_request_t *request)
{
	usec_t wall_deadline = clock_to_wall(attempt->deadline);

	snprintf(lines->id, sizeof(lines->id), "X-Request-Id: %s", attempt->id);
	snprintf(lines->deadline, sizeof(lines->deadline), "X-Deadline: %lld",
	    (long long)(wall_deadline / USEC_PER_MS));
	snprintf(lines->customer, sizeof(lines->customer), "X-Customer: %s",
	    job->customer);
	add_header(request, "Content-Type: application/octet-stream");
	add_header(request, lines->id);
	add_header(request, lines->deadline);
	add_header(request, lines->customer);
	switch (job->kind) {
	case JOB_SHARD:
		snprintf(lines->index, sizeof(lines->index), "X-Index: %s",
		    job->index);
		snprintf(lines->version, sizeof(lines->version),
		    "X-Index-Version: %llu",
		    (unsigned long long)job->index_version);
		add_header(request, lines->index);
		add_header(request, lines->version);
		return;
	case JOB_RESERVATION:
		snprintf(lines->key, sizeof(lines->key), "Idempotency-Key: %s",
		    job->key);
		add_header(request, lines->key);
		return;
	}
}

static void
init_attempt(http_attempt_t *attempt, served_service_t *served,
    const scheduler_action_t *action)
{
	attempt->served = served;
	attempt->scheduler_attempt = action->attempt;
	attempt->kind = action->job->kind;
	attempt->version = action->job->index_version;
	attempt->shard = action->job->shard;
	attempt->deadline = action->deadline;
	id128_format(action->attempt_id, attempt->id);
}

void
attempt_start(
    served_service_t *served, const scheduler_action_t *action, usec_t now)
{
	node_t *node = served->node;
	http_attempt_t *attempt;
	handle_t handle =
	    table_insert(node->attempts, (void **)(void *)&attempt);
	header_lines_t lines;
	char path[64] = "/reserve";
	http_request_t request = {
	    .method = "POST",
	    .address = action->address,
	    .path = path,
	    .body = action->job->body,
	    .max_response = MAX_UPSTREAM_BODY_BYTES,
	    .fresh_connection = action->fresh_connection,
	    /* A fresh connection that is kept open would enlarge the pool each
	     * time. */
	    .close = action->fresh_connection &&
		action->job->kind == JOB_RESERVATION,
	    .connected = on_attempt_connected,
	    .done = on_attempt_done,
	};

	if (handle == HANDLE_NONE) {
		report_not_sent(served, action->attempt);
		return;
	}
	attempt->handle = handle;
	init_attempt(attempt, served, action);
	if (action->job->kind == JOB_SHARD)
		snprintf(path, sizeof(path), "/shard/%u", action->job->shard);
	write_headers(&lines, attempt, action->job, &request);
	request.timeout = MAX(attempt->deadline - now, 0) + MS(DRIFT_MARGIN_MS);
	if (action->retire_before != 0)
		request.max_connection_age = now - action->retire_before;
	request.context = attempt;
	if (http_client_send(served->http, &request) == HANDLE_NONE) {
		table_remove(node->attempts, handle);
		report_not_sent(served, action->attempt);
	}
}

static void
on_cancel_done(
    void *context, http_result_t result, const http_response_t *response)
{
	cancellation_t *cancellation = context;
	bool confirmed =
	    result == HTTP_ANSWERED && http_response_status(response) == 200;

	scheduler_cancel_ended(cancellation->served->scheduler,
	    cancellation->scheduler_attempt, confirmed, clock_monotonic());
}

void
attempt_cancel(
    served_service_t *served, const scheduler_action_t *action, usec_t now)
{
	cancellation_t *cancellation = g_new0(cancellation_t, 1);
	char header[64], id[ID128_TEXT];
	http_request_t request = {
	    .method = "POST",
	    .address = action->address,
	    .path = "/cancel",
	    .headers = {header},
	    .header_count = 1,
	    .timeout = blackboard_longest_deadline(&served->node->board, now) +
		MS(DRIFT_MARGIN_MS),
	    .max_response = MAX_UPSTREAM_BODY_BYTES,
	    .done = on_cancel_done,
	    .context = cancellation,
	    .free_context = g_free,
	};

	id128_format(action->attempt_id, id);
	snprintf(header, sizeof(header), "X-Request-Id: %s", id);
	cancellation->served = served;
	cancellation->scheduler_attempt = action->attempt;
	if (http_client_send(served->http, &request) == HANDLE_NONE)
		g_free(cancellation);
}
