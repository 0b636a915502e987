/* Slots of an upstream server: admission, queue, release, cancellation. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "upstream.h"

#define Z99 2.326 /* standard normal quantile of 0.99 */

void
upstream_refuse(fake_reply_t *reply, int status, const char *error)
{
	fake_reply_text(reply, status, "{\"error\":\"%s\"}", error);
	fake_reply_header(reply, "X-Error", "%s", error);
}

static double
random_normal(GRand *random)
{
	double radius = sqrt(-2 * log(1 - g_rand_double(random)));

	return radius * cos(2 * G_PI * g_rand_double(random));
}

static usec_t
random_service(upstream_t *upstream)
{
	double spread = 0, ms;

	if (upstream->p50_ms <= 0)
		return 0;
	if (upstream->p99_ms > upstream->p50_ms)
		spread = log(upstream->p99_ms / upstream->p50_ms) / Z99;
	ms = upstream->p50_ms * exp(spread * random_normal(upstream->random));
	return (usec_t)(ms * upstream->faults.latency_factor * 1000);
}

static void
start_run(upstream_t *upstream, run_t *run)
{
	run->started = true;
	run->end = clock_monotonic() + run->service;
	upstream->running++;
	fake_connection_wake(run->connection);
}

void
upstream_release(upstream_t *upstream, run_t *run)
{
	if (run->ended)
		return;
	run->ended = true;
	if (run->started)
		upstream->running--;
	g_ptr_array_remove(upstream->runs, run);
	for (guint i = 0; i < upstream->runs->len; i++) {
		run_t *next = upstream->runs->pdata[i];

		if (!next->started && upstream->running < upstream->slots)
			start_run(upstream, next);
	}
}

/* A run holds no slot after its deadline, even while its thread has not
 * noticed yet or the server is frozen. */
static void
release_expired(upstream_t *upstream)
{
	usec_t now = clock_monotonic();

	for (guint i = upstream->runs->len; i-- > 0;) {
		run_t *run = upstream->runs->pdata[i];

		if (run->deadline <= now)
			upstream_release(upstream, run);
	}
}

static bool
array_has(const json_t *array, json_int_t wanted)
{
	size_t i;
	json_t *item;

	json_array_foreach (array, i, item)
		if (json_integer_value(item) == wanted)
			return true;
	return false;
}

static const char *
check_index(const upstream_t *upstream, const fake_request_t *request)
{
	const char *name = fake_request_header(request, "X-Index");
	const char *version = fake_request_header(request, "X-Index-Version");
	const json_t *index = NULL;

	if (name != NULL)
		index = json_object_get(upstream->indexes, name);
	if (index == NULL || version == NULL ||
	    !array_has(json_object_get(index, "versions"), atoll(version)))
		return "version-gone";
	if (!array_has(json_object_get(index, "shards"),
		atoll(request->path + strlen("/shard/"))))
		return "wrong-shard";
	return NULL;
}

static bool
is_cancelled(const upstream_t *upstream, const char *id)
{
	size_t count = MIN(upstream->cancelled_count, UPSTREAM_CANCELLED);

	for (size_t i = 0; i < count; i++)
		if (strcmp(upstream->cancelled[i], id) == 0)
			return true;
	return false;
}

static usec_t
read_deadline(const fake_request_t *request)
{
	const char *text = fake_request_header(request, "X-Deadline");

	if (text == NULL)
		return INT64_MAX;
	return clock_monotonic() + MS(atoll(text)) - clock_wall();
}

static bool
refuse_draining(upstream_t *upstream, fake_reply_t *reply)
{
	usec_t now = clock_monotonic();

	if (!upstream->faults.draining)
		return false;
	upstream->record.last_after_drain = now;
	if (now <
	    upstream->record.drain_at + MS(upstream->faults.drain_grace_ms))
		return false;
	upstream->record.refused_draining++;
	upstream_refuse(reply, 503, "draining");
	return true;
}

/* Whether there is no room or the server sheds on purpose. */
static bool
refuse_load(upstream_t *upstream, fake_reply_t *reply)
{
	bool full;

	release_expired(upstream);
	full =
	    (int64_t)upstream->runs->len >= upstream->slots + upstream->queue;
	if (!full && !upstream->faults.shed)
		return false;
	upstream->record.shed++;
	if (full)
		upstream->record.overruns++;
	upstream_refuse(reply, 503, "shed");
	return true;
}

static bool
refuse_request(upstream_t *upstream, const fake_request_t *request,
    const run_t *run, fake_reply_t *reply)
{
	const char *mistake = NULL;

	if (g_str_has_prefix(request->path, "/shard/"))
		mistake = check_index(upstream, request);
	if (run->deadline <= clock_monotonic()) {
		upstream->record.late++;
		upstream_refuse(reply, 504, "deadline");
	} else if (is_cancelled(upstream, run->id)) {
		upstream_refuse(reply, 503, "cancelled");
	} else if (mistake != NULL) {
		upstream_refuse(reply, 409, mistake);
	} else if (upstream->faults.fail) {
		upstream_refuse(reply, 500, "failed");
	} else {
		return refuse_load(upstream, reply);
	}
	return true;
}

bool
upstream_admit(upstream_t *upstream, const fake_request_t *request, run_t *run,
    fake_reply_t *reply)
{
	const char *id = fake_request_header(request, "X-Request-Id");

	g_strlcpy(run->id, id != NULL ? id : "", sizeof(run->id));
	run->connection = request->connection;
	run->deadline = read_deadline(request);
	run->service = random_service(upstream);
	upstream->record.requests++;
	upstream->record.watched +=
	    upstream_holds_text(request, upstream->faults.watch);
	if (refuse_draining(upstream, reply) ||
	    refuse_request(upstream, request, run, reply))
		return false;
	g_ptr_array_add(upstream->runs, run);
	upstream->record.max_running =
	    MAX(upstream->record.max_running, (int64_t)upstream->runs->len);
	if (upstream->running < upstream->slots)
		start_run(upstream, run);
	return true;
}

bool
upstream_cancel(upstream_t *upstream, const char *id)
{
	if (upstream->faults.ignore_cancel)
		return false;
	/* The request may still be on its way: it must not run afterwards. */
	g_strlcpy(
	    upstream
		->cancelled[upstream->cancelled_count++ % UPSTREAM_CANCELLED],
	    id, UPSTREAM_MAX_ID);
	for (guint i = upstream->runs->len; i-- > 0;) {
		run_t *run = upstream->runs->pdata[i];

		if (strcmp(run->id, id) != 0)
			continue;
		run->cancelled = true;
		upstream->record.cancelled++;
		upstream_release(upstream, run);
		fake_connection_wake(run->connection);
	}
	return true;
}
