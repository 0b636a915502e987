#include "node_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../http/client_pressure.h"
#include "bulrushwell/json_text.h"
#include "bulrushwell/memory_account.h"

#define QUERY_PREFIX "/v1/query/"
#define RESERVE_PREFIX "/v1/reserve/"
#define BEARER_PREFIX "Bearer "

/* Answers are due 1/50 of the allowed time before the caller's deadline, so
 * that they reach the caller in time. */
#define ANSWER_MARGIN_DIVISOR 50

/* request_tick() answers a reservation that is still open this long after its
 * deadline. */
#define ANSWER_GRACE_MS 20

void
request_answer_error(http_exchange_t *exchange, int error, const char *detail,
    int64_t retry_after_ms)
{
	GString *out = g_string_new("{\"error\":{\"kind\":");

	json_text_append(out, slice_from(error_kind(error)));
	g_string_append_printf(out,
	    ",\"code\":%d,\"not_run\":%s,\"message\":", error,
	    error_is_not_run(error) ? "true" : "false");
	json_text_append(
	    out, slice_from(detail != NULL ? detail : error_kind(error)));
	g_string_append(out, ",\"remedy\":");
	json_text_append(out, slice_from(error_remedy(error)));
	g_string_append_printf(
	    out, ",\"retry_after_ms\":%lld}}", (long long)retry_after_ms);
	http_exchange_respond(exchange, error_http_status(error),
	    "application/json", (slice_t){out->str, out->len}, retry_after_ms);
	g_string_free(out, TRUE);
}

void
request_end(request_t *request)
{
	node_t *node = request->node;

	query_release_limiter(request, clock_monotonic());
	if (request->admitted)
		limits_apply(node, contract_customer(request->contract),
		    clock_monotonic());
	if (request->admitted)
		admission_release(node->board.admission,
		    contract_customer(request->contract), clock_monotonic());
	else
		admission_cancel(node->board.admission, request->handle);
	g_hash_table_remove(node->forwarded_reservations, &request->id);
	contract_unref(request->contract);
	body_unref(request->body);
	table_remove(node->requests, request->handle);
}

void
request_refuse(request_t *request, int error, const char *detail)
{
	node_t *node = request->node;
	const char *customer = contract_customer(request->contract);
	customer_stats_t *stats = limits_customer_stats(node, customer);
	usec_t now = clock_monotonic();
	usec_t retry_after = 0;

	if (error_is_not_run(error))
		stats->refused++;
	else
		stats->unknown++;
	INVARIANT(!error_is_not_run(error) || !request->sent ||
		request->kind == REQUEST_RESERVATION,
	    "a query that was sent is refused as not run");
	if (error == BW_E_RATE)
		retry_after =
		    admission_retry_after(node->board.admission, customer, now);
	else if (error == BW_E_SUSPECT)
		retry_after = MAX(suspect_retry_at(node->board.suspects,
				      request->fingerprint, now) -
			now,
		    0);
	else if (error == BW_E_OVERLOADED && request->kind == REQUEST_QUERY)
		retry_after =
		    limiter_retry_after(node->limiter, request->target);
	if (request->exchange != NULL)
		request_answer_error(request->exchange, error, detail,
		    retry_after / USEC_PER_MS);
	request_end(request);
}

static void
start_admitted(request_t *request, usec_t now)
{
	request->admitted = true;
	switch (request->kind) {
	case REQUEST_QUERY:
		query_start(request, now);
		return;
	case REQUEST_RESERVATION:
		reserve_start(request, now);
		return;
	}
}

void
request_run_admission_actions(node_t *node)
{
	admission_action_t action;

	while (admission_next_action(node->board.admission, &action)) {
		request_t *request = table_get(node->requests, action.tag);

		if (request == NULL) {
			if (action.kind == ADMISSION_ADMIT)
				admission_release(node->board.admission,
				    action.customer, clock_monotonic());
			continue;
		}
		if (action.kind == ADMISSION_ADMIT)
			start_admitted(request, clock_monotonic());
		else
			request_refuse(request, action.error, NULL);
	}
}

static void
on_disconnect(void *context)
{
	request_t *request = context;

	request->exchange = NULL;
	if (request->kind == REQUEST_RESERVATION && request->admitted)
		return; /* it runs until its outcome is stored */
	if (request->query != HANDLE_NONE)
		query_remove(request->node->queries, request->query);
	request_end(request);
}

/* Fails the reservations whose serving node did not reply by the deadline. */
void
request_tick(node_t *node, usec_t now)
{
	handle_t handle = HANDLE_NONE;

	if (table_count(node->requests) == 0)
		return;
	while ((handle = table_next(node->requests, handle)) != HANDLE_NONE) {
		request_t *request = table_get(node->requests, handle);

		if (request->kind != REQUEST_RESERVATION ||
		    !request->admitted ||
		    now < request->deadline + MS(ANSWER_GRACE_MS))
			continue;
		request_refuse(request,
		    request->sent ? BW_E_OUTCOME_UNKNOWN : BW_E_DEADLINE,
		    "no answer by the deadline");
	}
}

static int
parse_deadline_header(http_exchange_t *exchange, const contract_t *contract,
    usec_t now, usec_t *deadline)
{
	const char *text = http_exchange_header(exchange, "X-Deadline-Ms");
	long limit_ms = (long)contract_deadline_ms(contract);
	char *end;
	long value_ms;

	if (text != NULL) {
		value_ms = strtol(text, &end, 10);
		if (end == text || *end != '\0' || value_ms < 1)
			return BW_E_INVALID;
		limit_ms = MIN(limit_ms, value_ms);
	}
	*deadline = now + MS(limit_ms) - MS(limit_ms) / ANSWER_MARGIN_DIVISOR;
	return 0;
}

static contract_t *
authenticate(node_t *node, http_exchange_t *exchange)
{
	const char *header = http_exchange_header(exchange, "Authorization");
	const char *caller;

	if (header == NULL ||
	    strncmp(header, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0)
		return NULL;
	return contract_store_authenticate(node->board.contracts,
	    slice_from(header + strlen(BEARER_PREFIX)), &caller);
}

static int
check_node_state(node_t *node, usec_t now)
{
	if (blackboard_is_isolated(&node->board, now))
		return BW_E_ISOLATED;
	if (!node->board.config_known)
		return BW_E_NOT_READY;
	return 0;
}

/* Sets the kind and target of the request from the path. */
static int
parse_target(request_t *request, const char *path)
{
	size_t prefix_length;

	if (g_str_has_prefix(path, QUERY_PREFIX)) {
		request->kind = REQUEST_QUERY;
		prefix_length = strlen(QUERY_PREFIX);
	} else if (g_str_has_prefix(path, RESERVE_PREFIX)) {
		request->kind = REQUEST_RESERVATION;
		prefix_length = strlen(RESERVE_PREFIX);
	} else {
		return BW_E_NOT_FOUND;
	}
	if (name_set(request->target, path + prefix_length) != 0)
		return BW_E_INVALID;
	return 0;
}

static int
check_target(request_t *request)
{
	const catalogue_t *catalogue = request->node->board.catalogue;

	switch (request->kind) {
	case REQUEST_QUERY:
		if (!contract_may_query(request->contract, request->target))
			return BW_E_FORBIDDEN;
		return catalogue_current_map(catalogue, request->target) != NULL
		    ? 0
		    : BW_E_NOT_FOUND;
	case REQUEST_RESERVATION:
		if (!contract_may_reserve(request->contract, request->target))
			return BW_E_FORBIDDEN;
		return catalogue_find_service(catalogue, request->target) !=
			NULL
		    ? 0
		    : BW_E_NOT_FOUND;
	}
	return BW_E_NOT_FOUND;
}

static int
check_idempotency_key(request_t *request, usec_t wall_now)
{
	const char *key =
	    http_exchange_header(request->exchange, "Idempotency-Key");
	int64_t created_s, age_s;

	if (request->kind != REQUEST_RESERVATION)
		return 0;
	if (key == NULL || strlen(key) > CLAIM_MAX_KEY_LENGTH)
		return BW_E_INVALID;
	strcpy(request->key, key);
	if (claim_parse_key(key, &created_s) != 0)
		return BW_E_INVALID;
	age_s = wall_now / USEC_PER_SEC - created_s;
	if (age_s < -CLAIM_MAX_CLOCK_SKEW_S)
		return BW_E_INVALID;
	if (age_s > (int64_t)contract_repeat_window_h(request->contract) * 3600)
		return BW_E_KEY_EXPIRED;
	return 0;
}

static const char *
error_detail(const request_t *request, int error)
{
	if (error == BW_E_INVALID && request->kind == REQUEST_RESERVATION)
		return "the header Idempotency-Key must be UNIXSECONDS-TEXT, "
		       "at most 128 characters, and X-Deadline-Ms a positive "
		       "number";
	if (error == BW_E_INVALID)
		return "X-Deadline-Ms must be a positive number of "
		       "milliseconds";
	return NULL;
}

static void
offer_for_admission(request_t *request, usec_t now)
{
	node_t *node = request->node;
	handle_t handle = request->handle;
	usec_t expected_wait = request->kind == REQUEST_QUERY
	    ? query_expected_wait(node, request->target, now)
	    : 0;
	const char *customer = contract_customer(request->contract);
	int result;

	limits_record_request(node, customer, now);
	limits_apply(node, customer, now);
	result = admission_offer(node->board.admission, customer, handle,
	    request->deadline, expected_wait, now);
	if (result < 0)
		request_refuse(request, result, NULL);
	else if (result == 0)
		start_admitted(request, now);
	else
		permit_request_tokens(node, customer, now);
}

static int
check_request(request_t *request, usec_t now)
{
	node_t *node = request->node;
	int error = check_target(request);

	if (error == 0)
		error = check_idempotency_key(request, clock_wall());
	if (error == 0)
		error = parse_deadline_header(request->exchange,
		    request->contract, now, &request->deadline);
	if (error == 0 &&
	    suspect_verdict(node->board.suspects, request->fingerprint, now) ==
		SUSPECT_REFUSED) {
		event_log(EVENT_SUSPECT_REFUSED,
		    "customer %s, index or service %s",
		    contract_customer(request->contract), request->target);
		error = BW_E_SUSPECT;
	}
	return error;
}

static void
accept_request(node_t *node, http_exchange_t *exchange, const request_t *parsed,
    usec_t now)
{
	slice_t body = http_exchange_body(exchange);
	request_t *request;
	handle_t handle =
	    table_insert(node->requests, (void **)(void *)&request);
	int error;

	if (handle == HANDLE_NONE) {
		request_answer_error(exchange, BW_E_FULL, NULL, 1000);
		return;
	}
	*request = *parsed;
	request->node = node;
	request->handle = handle;
	request->exchange = exchange;
	request->id = id128_random();
	request->started = now;
	request->body = body_create(body.data, body.size);
	contract_ref(request->contract);
	request->fingerprint = suspect_fingerprint(
	    contract_customer(request->contract),
	    http_exchange_method(exchange), http_exchange_path(exchange), body);
	http_exchange_on_disconnect(exchange, on_disconnect, request);
	error = check_request(request, now);
	if (error != 0)
		request_refuse(request, error, error_detail(request, error));
	else
		offer_for_admission(request, now);
}

/* Whether there is memory for the request, before anything of it runs. */
static bool
has_memory(const http_exchange_t *exchange)
{
	const pressure_request_t request = {
	    .held = memory_account_held(),
	    .limit = memory_account_limit(),
	};

	if (!http_exchange_is_out_of_memory(exchange) &&
	    pressure_admits(&request))
		return true;
	event_log_sampled(EVENT_MEMORY_REFUSED, "held=%zu limit=%zu",
	    request.held, request.limit);
	return false;
}

void
request_handle(void *context, http_exchange_t *exchange)
{
	node_t *node = context;
	usec_t now = clock_monotonic();
	request_t parsed = {0};
	int error = check_node_state(node, now);

	node->last_request_at = now;
	if (error == 0 && http_exchange_is_too_large(exchange))
		error = BW_E_TOO_LARGE;
	if (error == 0 && !has_memory(exchange))
		error = BW_E_FULL;
	if (error == 0)
		error = parse_target(&parsed, http_exchange_path(exchange));
	if (error == 0 && strcmp(http_exchange_method(exchange), "POST") != 0)
		error = BW_E_INVALID;
	if (error != 0) {
		request_answer_error(exchange, error,
		    error == BW_E_INVALID || error == BW_E_NOT_FOUND
			? "use POST /v1/query/INDEX or POST "
			  "/v1/reserve/SERVICE"
			: NULL,
		    0);
		return;
	}
	parsed.contract = authenticate(node, exchange);
	if (parsed.contract == NULL) {
		request_answer_error(exchange, BW_E_UNAUTHORISED, NULL, 0);
		return;
	}
	accept_request(node, exchange, &parsed, now);
}
