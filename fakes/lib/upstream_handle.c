/* Handling of requests to an upstream server. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "upstream.h"

static bool
is_frozen(upstream_t *upstream)
{
	bool frozen;

	g_mutex_lock(&upstream->lock);
	frozen = upstream->faults.freeze;
	g_mutex_unlock(&upstream->lock);
	return frozen;
}

static void
wait_while_frozen(upstream_t *upstream, fake_connection_t *connection)
{
	while (is_frozen(upstream) && !fake_server_is_stopping(upstream->http))
		fake_connection_wait(
		    connection, clock_monotonic() + SECONDS(1));
}

/* Returns how often @key has been executed. Called with the lock held. */
static int64_t
record_execution(upstream_t *upstream, const char *key)
{
	GHashTable *executions = upstream->record.executions;
	gintptr count = (gintptr)g_hash_table_lookup(executions, key) + 1;

	g_hash_table_insert(executions, g_strdup(key), (gpointer)count);
	return count;
}

bool
upstream_body_contains(const fake_request_t *request, const char *text)
{
	return text != NULL && *text != '\0' &&
	    memmem(request->body.data, request->body.size, text,
		strlen(text)) != NULL;
}

/* Returns when the run ends, or 0 when it has ended. Called with the lock
 * held. */
static usec_t
run_end_time(const upstream_t *upstream, const run_t *run)
{
	usec_t now = clock_monotonic();
	usec_t end = run->deadline;

	if (run->released || now >= run->deadline)
		return 0;
	if (run->started && !upstream->faults.freeze)
		end = MIN(end, run->end_at);
	return now >= end ? 0 : end;
}

static void
wait_for_run_end(upstream_t *upstream, run_t *run)
{
	while (!fake_server_is_stopping(upstream->http)) {
		usec_t end;

		g_mutex_lock(&upstream->lock);
		end = run_end_time(upstream, run);
		g_mutex_unlock(&upstream->lock);
		if (end == 0)
			return;
		fake_connection_wait(
		    run->connection, MIN(end, clock_monotonic() + SECONDS(60)));
	}
}

/* Releases the run. Returns true when it completed; otherwise @reply is filled
 * in. */
static bool
finish_run(upstream_t *upstream, run_t *run, fake_reply_t *reply)
{
	bool completed;

	g_mutex_lock(&upstream->lock);
	completed = run->started && !run->released && !run->cancelled &&
	    clock_monotonic() < run->deadline;
	upstream_release(upstream, run);
	if (run->cancelled) {
		upstream_refuse(reply, 503, "cancelled");
	} else if (!completed) {
		upstream->record.expired++;
		upstream_refuse(reply, 504, "deadline");
	}
	g_mutex_unlock(&upstream->lock);
	return completed;
}

/* Adds a field "pad" to the JSON object in @body. */
static void
add_padding(upstream_t *upstream, GString *body)
{
	int64_t size;
	gsize end;

	g_mutex_lock(&upstream->lock);
	size = upstream->faults.pad_bytes;
	g_mutex_unlock(&upstream->lock);
	if (size <= 0)
		return;
	g_string_truncate(body, body->len - 1);
	g_string_append(body, ",\"pad\":\"");
	end = body->len;
	g_string_set_size(body, end + (gsize)size);
	memset(body->str + end, 'x', (size_t)size);
	g_string_append(body, "\"}");
}

static void
fill_shard_reply(upstream_t *upstream, const fake_request_t *request,
    upstream_reply_fault_t reply_fault, fake_reply_t *reply)
{
	const char *index = fake_request_header(request, "X-Index");
	const char *id = fake_request_header(request, "X-Request-Id");
	long long shard = atoll(request->path + strlen("/shard/"));
	long long version =
	    atoll(fake_request_header(request, "X-Index-Version"));

	shard += reply_fault == REPLY_WRONG_SHARD;
	version += reply_fault == REPLY_WRONG_VERSION;
	fake_reply_text(reply, 200,
	    "{\"index\":\"%s\",\"version\":%lld,\"shard\":%lld,"
	    "\"server\":\"%s\",\"hash\":\"%016llx\"}",
	    index, version, shard, upstream->server,
	    (unsigned long long)XXH64(
		request->body.data, request->body.size, 0));
	add_padding(upstream, reply->body);
	fake_reply_add_header(reply, "X-Request-Id", "%s",
	    reply_fault == REPLY_WRONG_REQUEST_ID
		? "00000000000000000000000000000000"
		: id != NULL ? id
			     : "");
	fake_reply_add_header(reply, "X-Index-Version", "%lld", version);
	fake_reply_add_header(reply, "X-Shard", "%lld", shard);
	if (reply_fault == REPLY_TRUNCATED)
		reply->withheld_bytes = reply->body->len / 2;
}

/* Stores a correct reply, or replaces the reply by the stored one for
 * REPLY_REPEATED. */
static void
repeat_or_store_reply(upstream_t *upstream, upstream_reply_fault_t reply_fault,
    fake_reply_t *reply)
{
	GString *body = reply->body;

	g_mutex_lock(&upstream->lock);
	if (reply_fault == REPLY_REPEATED && upstream->last_reply.status != 0) {
		g_string_assign(body, upstream->last_reply.body->str);
		*reply = upstream->last_reply;
		reply->body = body;
	} else if (reply_fault == REPLY_CORRECT) {
		GString *stored = upstream->last_reply.body;

		g_string_assign(stored, body->str);
		upstream->last_reply = *reply;
		upstream->last_reply.body = stored;
	}
	g_mutex_unlock(&upstream->lock);
}

static void
fill_reserve_reply(upstream_t *upstream, const fake_request_t *request,
    int64_t execution, fake_reply_t *reply)
{
	const char *id = fake_request_header(request, "X-Request-Id");

	fake_reply_text(reply, 201,
	    "{\"server\":\"%s\",\"execution\":%lld,\"hash\":\"%016llx\"}",
	    upstream->server, (long long)execution,
	    (unsigned long long)XXH64(
		request->body.data, request->body.size, 0));
	fake_reply_add_header(
	    reply, "X-Request-Id", "%s", id != NULL ? id : "");
}

/** typedef admission_t - Decision on a request that has arrived. */
typedef struct {
	bool admitted;
	bool crash;
	int64_t execution; /* of this idempotency key, from 1 */
	upstream_reply_fault_t reply_fault;
} admission_t;

static admission_t
admit(upstream_t *upstream, const fake_request_t *request, run_t *run,
    fake_reply_t *reply)
{
	const char *key = fake_request_header(request, "Idempotency-Key");
	bool reserve = strcmp(request->path, "/reserve") == 0;
	admission_t result = {0};

	g_mutex_lock(&upstream->lock);
	result.admitted = upstream_admit(upstream, request, run, reply);
	if (result.admitted && reserve)
		result.execution = record_execution(upstream, key);
	if (result.admitted &&
	    upstream_body_contains(request, upstream->faults.crash_on)) {
		result.crash = true;
		upstream->record.crashes++;
		upstream_release(upstream, run);
	}
	result.reply_fault = upstream->faults.reply_fault;
	g_mutex_unlock(&upstream->lock);
	return result;
}

/* Handles a shard query, or a reservation when @reserve is set. */
static void
handle_run(upstream_t *upstream, const fake_request_t *request, bool reserve,
    fake_reply_t *reply)
{
	run_t run = {0};
	admission_t admission = admit(upstream, request, &run, reply);

	if (admission.crash) {
		fake_server_crash(upstream->http);
		reply->status = 0;
		return;
	}
	if (!admission.admitted)
		return;
	wait_for_run_end(upstream, &run);
	if (!finish_run(upstream, &run, reply))
		return;
	if (reserve) {
		fill_reserve_reply(
		    upstream, request, admission.execution, reply);
	} else {
		fill_shard_reply(
		    upstream, request, admission.reply_fault, reply);
		repeat_or_store_reply(upstream, admission.reply_fault, reply);
	}
}

static void
handle_cancel(
    upstream_t *upstream, const fake_request_t *request, fake_reply_t *reply)
{
	const char *id = fake_request_header(request, "X-Request-Id");
	bool cancelled;

	if (id == NULL) {
		upstream_refuse(reply, 400, "no-request-id");
		return;
	}
	g_mutex_lock(&upstream->lock);
	cancelled = upstream_cancel(upstream, id);
	g_mutex_unlock(&upstream->lock);
	fake_reply_text(reply, cancelled ? 200 : 202, "{}");
}

static void
handle_health(upstream_t *upstream, fake_reply_t *reply)
{
	g_mutex_lock(&upstream->lock);
	fake_reply_json(reply,
	    strcmp(upstream->faults.health, "bad") == 0 ? 503 : 200,
	    json_pack("{s:s,s:s,s:s}", "server", upstream->server,
		"incarnation", upstream->incarnation, "state",
		upstream->faults.health));
	g_mutex_unlock(&upstream->lock);
}

/* Reports the value sampled by an earlier request, so that it lags. */
static void
handle_load(upstream_t *upstream, fake_reply_t *reply)
{
	usec_t now = clock_monotonic();
	int64_t load;

	g_mutex_lock(&upstream->lock);
	load = upstream->reported_load;
	if (now - upstream->reported_load_at >= MS(UPSTREAM_LOAD_LAG_MS)) {
		upstream->reported_load = upstream->runs->len;
		upstream->reported_load_at = now;
	}
	if (upstream->faults.load >= 0)
		load = upstream->faults.load;
	fake_reply_json(reply, 200,
	    json_pack("{s:I,s:I}", "running", (json_int_t)load, "slots",
		(json_int_t)upstream->slots));
	g_mutex_unlock(&upstream->lock);
}

static void
dispatch_request(
    upstream_t *upstream, const fake_request_t *request, fake_reply_t *reply)
{
	bool has_key = fake_request_header(request, "Idempotency-Key") != NULL;

	if (strcmp(request->method, "POST") == 0 &&
	    g_str_has_prefix(request->path, "/shard/"))
		handle_run(upstream, request, false, reply);
	else if (fake_request_is(request, "POST", "/reserve") && has_key)
		handle_run(upstream, request, true, reply);
	else if (fake_request_is(request, "POST", "/cancel"))
		handle_cancel(upstream, request, reply);
	else if (fake_request_is(request, "GET", "/health"))
		handle_health(upstream, reply);
	else if (fake_request_is(request, "GET", "/load"))
		handle_load(upstream, reply);
	else
		upstream_refuse(reply, 400, "invalid");
}

void
upstream_handle_request(
    void *context, const fake_request_t *request, fake_reply_t *reply)
{
	upstream_t *upstream = context;
	usec_t delay = (usec_t)(upstream->delay_ms * 1000);
	usec_t reply_delay = delay;

	fake_connection_sleep(request->connection, clock_monotonic() + delay);
	wait_while_frozen(upstream, request->connection);
	if (fake_server_is_stopping(upstream->http))
		return;
	dispatch_request(upstream, request, reply);
	wait_while_frozen(upstream, request->connection);
	g_mutex_lock(&upstream->lock);
	if (upstream->faults.draining && reply->status != 0)
		fake_reply_add_header(reply, "X-Draining", "1");
	if (request->first_on_connection)
		reply_delay += MS(upstream->connect_ms);
	g_mutex_unlock(&upstream->lock);
	fake_connection_sleep(
	    request->connection, clock_monotonic() + reply_delay);
}
