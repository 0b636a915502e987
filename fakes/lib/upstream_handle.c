/* Requests to an upstream server and their replies. */
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

static int64_t
record_execution(upstream_t *upstream, const char *key)
{
	GHashTable *executions = upstream->record.executions;
	gintptr count = (gintptr)g_hash_table_lookup(executions, key) + 1;

	g_hash_table_insert(executions, g_strdup(key), (gpointer)count);
	return count;
}

bool
upstream_holds_text(const fake_request_t *request, const char *text)
{
	return text != NULL && *text != '\0' &&
	    memmem(request->body.data, request->body.size, text,
		strlen(text)) != NULL;
}

/* When the run ends; 0 when it has ended. Called with the lock held. */
static usec_t
run_end(const upstream_t *upstream, const run_t *run)
{
	usec_t now = clock_monotonic();
	usec_t end = run->deadline;

	if (run->ended || now >= run->deadline)
		return 0;
	if (run->started && !upstream->faults.freeze)
		end = MIN(end, run->end);
	return now >= end ? 0 : end;
}

static void
wait_for_end(upstream_t *upstream, run_t *run)
{
	while (!fake_server_is_stopping(upstream->http)) {
		usec_t end;

		g_mutex_lock(&upstream->lock);
		end = run_end(upstream, run);
		g_mutex_unlock(&upstream->lock);
		if (end == 0)
			return;
		fake_connection_wait(
		    run->connection, MIN(end, clock_monotonic() + SECONDS(60)));
	}
}

/* Whether the run completed. */
static bool
finish_run(upstream_t *upstream, run_t *run, fake_reply_t *reply)
{
	bool done;

	g_mutex_lock(&upstream->lock);
	done = run->started && !run->ended && !run->cancelled &&
	    clock_monotonic() < run->deadline;
	upstream_release(upstream, run);
	if (run->cancelled) {
		upstream_refuse(reply, 503, "cancelled");
	} else if (!done) {
		upstream->record.expired++;
		upstream_refuse(reply, 504, "deadline");
	}
	g_mutex_unlock(&upstream->lock);
	return done;
}

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
    upstream_lie_t lie, fake_reply_t *reply)
{
	const char *index = fake_request_header(request, "X-Index");
	const char *id = fake_request_header(request, "X-Request-Id");
	long long shard = atoll(request->path + strlen("/shard/"));
	long long version =
	    atoll(fake_request_header(request, "X-Index-Version"));

	shard += lie == LIE_SHARD;
	version += lie == LIE_VERSION;
	fake_reply_text(reply, 200,
	    "{\"index\":\"%s\",\"version\":%lld,\"shard\":%lld,"
	    "\"server\":\"%s\",\"hash\":\"%016llx\"}",
	    index, version, shard, upstream->server,
	    (unsigned long long)XXH64(
		request->body.data, request->body.size, 0));
	add_padding(upstream, reply->body);
	fake_reply_header(reply, "X-Request-Id", "%s",
	    lie == LIE_REQUEST ? "00000000000000000000000000000000"
		: id != NULL   ? id
			       : "");
	fake_reply_header(reply, "X-Index-Version", "%lld", version);
	fake_reply_header(reply, "X-Shard", "%lld", shard);
	if (lie == LIE_CUT)
		reply->cut = reply->body->len / 2;
}

/* Keeps the reply for LIE_REPEAT, or replaces it by the kept one. */
static void
repeat_or_keep(upstream_t *upstream, upstream_lie_t lie, fake_reply_t *reply)
{
	GString *body = reply->body;

	g_mutex_lock(&upstream->lock);
	if (lie == LIE_REPEAT && upstream->last.status != 0) {
		g_string_assign(body, upstream->last.body->str);
		*reply = upstream->last;
		reply->body = body;
	} else if (lie == LIE_NONE) {
		GString *kept = upstream->last.body;

		g_string_assign(kept, body->str);
		upstream->last = *reply;
		upstream->last.body = kept;
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
	fake_reply_header(reply, "X-Request-Id", "%s", id != NULL ? id : "");
}

typedef struct {
	bool admitted;
	bool crash;
	int64_t execution;
	upstream_lie_t lie;
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
	    upstream_holds_text(request, upstream->faults.crash_on)) {
		result.crash = true;
		upstream->record.crashes++;
		upstream_release(upstream, run);
	}
	result.lie = upstream->faults.lie;
	g_mutex_unlock(&upstream->lock);
	return result;
}

static void
handle_work(upstream_t *upstream, const fake_request_t *request, bool reserve,
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
	wait_for_end(upstream, &run);
	if (!finish_run(upstream, &run, reply))
		return;
	if (reserve) {
		fill_reserve_reply(
		    upstream, request, admission.execution, reply);
	} else {
		fill_shard_reply(upstream, request, admission.lie, reply);
		repeat_or_keep(upstream, admission.lie, reply);
	}
}

static void
handle_cancel(
    upstream_t *upstream, const fake_request_t *request, fake_reply_t *reply)
{
	const char *id = fake_request_header(request, "X-Request-Id");
	bool ended;

	if (id == NULL) {
		upstream_refuse(reply, 400, "no-request-id");
		return;
	}
	g_mutex_lock(&upstream->lock);
	ended = upstream_cancel(upstream, id);
	g_mutex_unlock(&upstream->lock);
	fake_reply_text(reply, ended ? 200 : 202, "{}");
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

static void
handle_load(upstream_t *upstream, fake_reply_t *reply)
{
	usec_t now = clock_monotonic();
	int64_t load;

	g_mutex_lock(&upstream->lock);
	load = upstream->seen_load;
	if (now - upstream->seen_load_at >= MS(UPSTREAM_LOAD_LAG_MS)) {
		upstream->seen_load = upstream->runs->len;
		upstream->seen_load_at = now;
	}
	if (upstream->faults.load >= 0)
		load = upstream->faults.load;
	fake_reply_json(reply, 200,
	    json_pack("{s:I,s:I}", "running", (json_int_t)load, "slots",
		(json_int_t)upstream->slots));
	g_mutex_unlock(&upstream->lock);
}

static void
route(upstream_t *upstream, const fake_request_t *request, fake_reply_t *reply)
{
	bool has_key = fake_request_header(request, "Idempotency-Key") != NULL;

	if (strcmp(request->method, "POST") == 0 &&
	    g_str_has_prefix(request->path, "/shard/"))
		handle_work(upstream, request, false, reply);
	else if (fake_request_is(request, "POST", "/reserve") && has_key)
		handle_work(upstream, request, true, reply);
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
upstream_handle(
    void *context, const fake_request_t *request, fake_reply_t *reply)
{
	upstream_t *upstream = context;
	usec_t delay = (usec_t)(upstream->delay_ms * 1000);
	usec_t reply_delay = delay;

	fake_connection_sleep(request->connection, clock_monotonic() + delay);
	wait_while_frozen(upstream, request->connection);
	if (fake_server_is_stopping(upstream->http))
		return;
	route(upstream, request, reply);
	wait_while_frozen(upstream, request->connection);
	g_mutex_lock(&upstream->lock);
	if (upstream->faults.draining && reply->status != 0)
		fake_reply_header(reply, "X-Draining", "1");
	if (request->first)
		reply_delay += MS(upstream->connect_ms);
	g_mutex_unlock(&upstream->lock);
	fake_connection_sleep(
	    request->connection, clock_monotonic() + reply_delay);
}
