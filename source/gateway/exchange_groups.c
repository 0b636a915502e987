/* The receiving node: requests to the serving nodes of other groups. */
#include <stdio.h>

#include "bulrushwell/event.h"
#include "exchange_private.h"
#include "group_headers.h"

/* Peers with a higher recent share of failed requests are not asked. */
#define MAX_PEER_FAILURE_RATE 0.3
#define GROUP_TEXT_MAX 160
/* A peer that has not accepted a request after this time is not waited for: at
 * least, in usual delays of a timer, and as a part of the time until the soft
 * deadline. */
#define ACCEPT_TIME_MIN MS(8)
#define ACCEPT_DELAYS 2
#define ACCEPT_TIME_RATIO 0.4
/* Part of the time after the soft deadline within which a peer must report. */
#define REPORT_TIME_RATIO 0.5
#define STATUS_PROCESSING 102 /* the peer has accepted the request */
#define STATUS_OK 200
#define STATUS_SERVER_ERROR 500

bool
group_header_is_internal(slice_t name)
{
	return http_header_is(name, GROUP_HEADER) ||
	    http_header_is(name, CUSTOMER_HEADER) ||
	    http_header_is(name, SERVED_HEADER) ||
	    http_header_is(name, SHARDS_HEADER) ||
	    http_header_is(name, RECORDS_HEADER) ||
	    http_header_is(name, SERVING_PEERS_NOT_RUN_HEADER);
}

static void
add_group_header(const exchange_t *exchange, uint32_t group,
    usec_t report_allowance, buffer_t *head)
{
	char text[GROUP_TEXT_MAX];

	snprintf(text, sizeof(text), GROUP_HEADER ": " GROUP_FORMAT "\r\n",
	    group, exchange->group_count,
	    (unsigned long long)exchange->route->targets_hash,
	    (long long)report_allowance, exchange->top_records,
	    exchange->max_attempts, (unsigned)MAX(exchange->priority, 0));
	buffer_append_text(head, text);
}

/* Calls @visit for each task of the group that still waits for its peer. */
static void
visit_asked_tasks(const group_attempt_t *group,
    void (*visit)(task_t *task, const void *context), const void *context)
{
	exchange_t *exchange = group->exchange;

	for (uint32_t i = group->group; i < exchange->task_count;
	     i += exchange->group_count)
		if (exchange->tasks[i].state == TASK_ASKED)
			visit(&exchange->tasks[i], context);
}

typedef struct {
	peer_use_t use;
	usec_t now;
} resume_t;

static void
resume_task(task_t *task, const void *context)
{
	const resume_t *resume = context;

	task_resume(task, resume->use, resume->now);
}

/* Serves the group here, with one attempt for each shard. */
static void
resume_group(group_attempt_t *group, const upstream_server_t *peer,
    peer_use_t use, const char *cause, usec_t now)
{
	exchange_t *exchange = group->exchange;
	resume_t resume = {use, now};

	exchange->engine->counters.groups_resumed++;
	event_log_sampled(EVENT_GROUP_RESUMED,
	    "request=%.*s group=%u peer=%s cause=%s",
	    (int)exchange->request_id.size, exchange->request_id.data,
	    group->group, peer->entry.id, cause);
	visit_asked_tasks(group, resume_task, &resume);
}

/* How long a peer may take to accept a request. */
static usec_t
accept_time(const exchange_t *exchange, usec_t now)
{
	usec_t delay = client_timing_delay(exchange->engine->timing);
	double left = (double)(exchange->soft_deadline - now);

	return MAX(MAX(ACCEPT_DELAYS * delay, ACCEPT_TIME_MIN),
	    (usec_t)(ACCEPT_TIME_RATIO * left));
}

static void
ask_peer(group_attempt_t *group, usec_t now)
{
	exchange_t *exchange = group->exchange;
	exchange_engine_t *engine = exchange->engine;
	latency_model_t *latency = exchange->route_state->group_latency;
	upstream_server_t *peer = serving_peers_choose(
	    engine->peers, group->group, latency_model_typical(latency), now);
	usec_t report_allowance = report_timing_allowance(
	    engine->report_timing, exchange->soft_deadline - now);
	buffer_t *head = &engine->attempt_head;
	pool_request_t request = {
	    .head = head,
	    .body = {exchange->request->body.data,
		exchange->request->body.size},
	    .request_id = exchange->request_id,
	    .expires_at = exchange->deadline,
	    .latency = latency,
	};

	if (peer == NULL || peer->health.failure_rate > MAX_PEER_FAILURE_RATE)
		return;
	head_build_unfinished(exchange, now, head);
	add_group_header(exchange, group->group, report_allowance, head);
	customer_add_peer_header(exchange, head);
	buffer_append(head, "\r\n", 2);
	group->attempt = pool_start_attempt(
	    serving_peers_pool(engine->peers), peer, &request, group, now);
	if (group->attempt == NULL)
		return;
	engine->counters.groups_asked++;
	group->report_due_at = now + report_allowance;
	group->check_at = now + accept_time(exchange, now);
	for (uint32_t i = group->group; i < exchange->task_count;
	     i += exchange->group_count)
		exchange->tasks[i].state = TASK_ASKED;
}

void
groups_ask(exchange_t *exchange, usec_t now)
{
	const serving_peers_t *peers = exchange->engine->peers;
	uint32_t count = serving_peers_group_count(peers);

	if (exchange->route->kind != ROUTE_FANOUT || exchange->is_for_peer ||
	    exchange->is_suspect || count <= 1 || exchange->task_count <= count)
		return;
	exchange->groups = g_new0(group_attempt_t, count);
	exchange->group_count = count;
	for (uint32_t i = 0; i < count; i++) {
		exchange->groups[i].exchange = exchange;
		exchange->groups[i].group = i;
		if (i != serving_peers_own_group(peers))
			ask_peer(&exchange->groups[i], now);
	}
}

static void
fail_asked_task(task_t *task, const void *context)
{
	const char *cause = context;

	task->may_have_run = true;
	task_fail(task, cause);
}

/*
 * Ends the shards that the peer has not answered. It has or may have sent each
 * to as many servers as the route allows: no further server may get it for this
 * request.
 */
static void
fail_group(group_attempt_t *group, const char *cause)
{
	visit_asked_tasks(group, fail_asked_task, cause);
}

/* Gives up a peer that may have sent all shards of the group. */
static void
give_up_peer(group_attempt_t *group, const char *cause)
{
	exchange_t *exchange = group->exchange;
	pool_t *pool = serving_peers_pool(exchange->engine->peers);
	attempt_t *attempt = group->attempt;

	group->attempt = NULL;
	exchange->peer_failed = true;
	fail_group(group, cause);
	pool_attempt_cancel(pool, attempt);
}

/*
 * A peer that works on the request reports from the soft deadline on. Half of
 * the time after that is left to the client for another try.
 */
static usec_t
report_due(const exchange_t *exchange)
{
	double time_left =
	    (double)(exchange->deadline - exchange->soft_deadline);

	return exchange->soft_deadline +
	    (usec_t)(REPORT_TIME_RATIO * time_left);
}

/*
 * The peer has not accepted the request in time. One whose VM has not even
 * received it will not. Any other may have just begun, and is given until the
 * soft deadline.
 */
static void
check_acceptance(group_attempt_t *group, usec_t now)
{
	exchange_t *exchange = group->exchange;
	attempt_t *attempt = group->attempt;
	upstream_server_t *peer = attempt->server;

	if (!pool_attempt_arrived(attempt)) {
		group->attempt = NULL;
		resume_group(group, peer, PEER_NOT_ACCEPTED, "silent", now);
		pool_attempt_withdraw(
		    serving_peers_pool(exchange->engine->peers), attempt, now);
		return;
	}
	server_health_failed(&peer->health, now);
	if (now < exchange->soft_deadline)
		group->check_at = exchange->soft_deadline;
	else
		give_up_peer(group, "not_accepted");
}

static void
check_group(group_attempt_t *group, usec_t now)
{
	group->check_at = 0;
	if (group->accepted) {
		server_health_failed(&group->attempt->server->health, now);
		give_up_peer(group, "silent");
		return;
	}
	group->accepted = pool_attempt_accepted(group->attempt);
	if (group->accepted)
		group->check_at = report_due(group->exchange);
	else
		check_acceptance(group, now);
}

void
groups_check(exchange_t *exchange, usec_t now)
{
	for (uint32_t i = 0; i < exchange->group_count; i++) {
		group_attempt_t *group = &exchange->groups[i];

		if (group->attempt != NULL && group->check_at != 0 &&
		    now >= group->check_at)
			check_group(group, now);
	}
}

usec_t
groups_next_check(const exchange_t *exchange)
{
	usec_t next = INT64_MAX;

	for (uint32_t i = 0; i < exchange->group_count; i++) {
		const group_attempt_t *group = &exchange->groups[i];

		if (group->attempt != NULL && group->check_at != 0)
			next = MIN(next, group->check_at);
	}
	return next;
}

void
groups_release(exchange_t *exchange, bool client_gone)
{
	pool_t *pool = serving_peers_pool(exchange->engine->peers);

	for (uint32_t i = 0; i < exchange->group_count; i++) {
		attempt_t *attempt = exchange->groups[i].attempt;

		if (attempt == NULL)
			continue;
		if (client_gone)
			pool_attempt_cancel(pool, attempt);
		else
			pool_attempt_abandon(attempt);
	}
	g_free(exchange->groups);
	exchange->groups = NULL;
	exchange->group_count = 0;
}

/* The request to the peer ended without a response that can be used. */
static void
handle_failure(group_attempt_t *group, const attempt_t *attempt,
    const char *cause, usec_t now)
{
	server_health_failed(&attempt->server->health, now);
	group->exchange->peer_failed = true;
	if (attempt->accepted)
		fail_group(group, cause);
	else
		resume_group(
		    group, attempt->server, PEER_NOT_ACCEPTED, cause, now);
}

static void
handle_response(group_attempt_t *group, const attempt_t *attempt,
    const http_message_t *response, usec_t now)
{
	if (attempt->accepted &&
	    http_message_status(response) >= STATUS_SERVER_ERROR)
		fail_group(group, "failed_at_peer");
	else if (http_message_status(response) == STATUS_OK &&
	    group_response_take(group, response))
		fail_group(group, "left_out_by_peer");
	else
		handle_failure(group, attempt, "bad_answer", now);
}

/* The first report is sent when it is due, later ones as shards answer. */
static void
record_report(group_attempt_t *group, usec_t now)
{
	if (group->reported)
		return;
	group->reported = true;
	report_timing_record(
	    group->exchange->engine->report_timing, now - group->report_due_at);
}

void
groups_on_interim(void *owner, const http_message_t *response)
{
	group_attempt_t *group = owner;
	exchange_t *exchange = group->exchange;

	if (http_message_status(response) == STATUS_PROCESSING) {
		group->accepted = true;
		group->check_at = report_due(exchange);
		return;
	}
	record_report(group, engine_now(exchange->engine));
	/* One without records only says that the peer works on it. */
	group->check_at = 0;
	switch (group_response_take_interim(group, response)) {
	case GROUP_RESPONSE_EMPTY:
		break;
	case GROUP_RESPONSE_TAKEN:
		exchange_reply_if_due(exchange, engine_now(exchange->engine));
		break;
	case GROUP_RESPONSE_BAD:
		event_log_sampled(EVENT_PEER_BAD_MESSAGE,
		    "request=%.*s group=%u", (int)exchange->request_id.size,
		    exchange->request_id.data, group->group);
		break;
	}
}

void
groups_on_attempt_ended(void *owner, attempt_t *attempt,
    attempt_outcome_t outcome, const http_message_t *response)
{
	group_attempt_t *group = owner;
	exchange_t *exchange = group->exchange;
	usec_t now = engine_now(exchange->engine);

	group->attempt = NULL;
	switch (outcome) {
	case ATTEMPT_ANSWERED:
		handle_response(group, attempt, response, now);
		break;
	case ATTEMPT_NOT_RUN:
		resume_group(
		    group, attempt->server, PEER_SENT_NONE, "not_run", now);
		break;
	case ATTEMPT_UNKNOWN:
		handle_failure(group, attempt, "lost", now);
		break;
	}
	exchange_reply_if_due(exchange, now);
}
