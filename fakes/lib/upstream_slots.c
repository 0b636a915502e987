/* Slots of an upstream server: admission, queue, release and cancellation. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "upstream.h"

#define NORMAL_QUANTILE_99 2.326 /* 0.99 quantile of the standard normal */

void
upstream_refuse(fake_reply_t *reply, int status, const char *error)
{
	fake_reply_text(reply, status, "{\"error\":\"%s\"}", error);
	fake_reply_add_header(reply, "X-Error", "%s", error);
}

/* Standard normal variate by the Box-Muller transform. */
static double
random_normal(GRand *random)
{
	double radius = sqrt(-2 * log(1 - g_rand_double(random)));

	return radius * cos(2 * G_PI * g_rand_double(random));
}

/* Draws from the log-normal distribution that p50_ms and p99_ms describe. */
static usec_t
random_service_time(upstream_t *upstream)
{
	double sigma = 0, ms;

	if (upstream->p50_ms <= 0)
		return 0;
	if (upstream->p99_ms > upstream->p50_ms)
		sigma = log(upstream->p99_ms / upstream->p50_ms) /
		    NORMAL_QUANTILE_99;
	ms = upstream->p50_ms * exp(sigma * random_normal(upstream->random));
	return (usec_t)(ms * upstream->faults.latency_factor * 1000);
}

static void
start_run(upstream_t *upstream, run_t *run)
{
	run->started = true;
	run->end_at = clock_monotonic() + run->service_time;
	upstream->running++;
	fake_connection_wake(run->connection);
}

void
upstream_release(upstream_t *upstream, run_t *run)
{
	if (run->released)
		return;
	run->released = true;
	if (run->started)
		upstream->running--;
	g_ptr_array_remove(upstream->runs, run);
	for (guint i = 0; i < upstream->runs->len; i++) {
		run_t *next = upstream->runs->pdata[i];

		if (!next->started && upstream->running < upstream->slots)
			start_run(upstream, next);
	}
}

/* Releases runs whose deadline has passed: they hold no slot any longer, even
 * when their threads have not noticed yet or the server is frozen. */
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
array_contains(const json_t *array, json_int_t wanted)
{
	size_t i;
	json_t *item;

	json_array_foreach (array, i, item)
		if (json_integer_value(item) == wanted)
			return true;
	return false;
}

/* Returns the X-Error for a version or shard that the server does not hold, or
 * NULL. */
static const char *
check_index(const upstream_t *upstream, const fake_request_t *request)
{
	const char *name = fake_request_header(request, "X-Index");
	const char *version = fake_request_header(request, "X-Index-Version");
	const json_t *index = NULL;

	if (name != NULL)
		index = json_object_get(upstream->indexes, name);
	if (index == NULL || version == NULL ||
	    !array_contains(json_object_get(index, "versions"), atoll(version)))
		return "version-gone";
	if (!array_contains(json_object_get(index, "shards"),
		atoll(request->path + strlen("/shard/"))))
		return "wrong-shard";
	return NULL;
}

static bool
is_cancelled(const upstream_t *upstream, const char *id)
{
	size_t count =
	    MIN(upstream->cancelled_count, UPSTREAM_MAX_CANCELLED_IDS);

	for (size_t i = 0; i < count; i++)
		if (strcmp(upstream->cancelled_ids[i], id) == 0)
			return true;
	return false;
}

/* Converts X-Deadline, Unix time in ms, to the monotonic clock. */
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
	upstream->record.last_drain_request_at = now;
	if (now < upstream->record.drain_started_at +
		MS(upstream->faults.drain_grace_ms))
		return false;
	upstream->record.refused_draining++;
	upstream_refuse(reply, 503, "draining");
	return true;
}

/* Refuses when slots and queue are full, or by faults.shed. */
static bool
refuse_overload(upstream_t *upstream, fake_reply_t *reply)
{
	bool full;

	release_expired(upstream);
	full = (int64_t)upstream->runs->len >=
	    upstream->slots + upstream->queue_limit;
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
	const char *index_error = NULL;

	if (g_str_has_prefix(request->path, "/shard/"))
		index_error = check_index(upstream, request);
	if (run->deadline <= clock_monotonic()) {
		upstream->record.late++;
		upstream_refuse(reply, 504, "deadline");
	} else if (is_cancelled(upstream, run->id)) {
		upstream_refuse(reply, 503, "cancelled");
	} else if (index_error != NULL) {
		upstream_refuse(reply, 409, index_error);
	} else if (upstream->faults.fail) {
		upstream_refuse(reply, 500, "failed");
	} else {
		return refuse_overload(upstream, reply);
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
	run->service_time = random_service_time(upstream);
	upstream->record.requests++;
	upstream->record.watched +=
	    upstream_body_contains(request, upstream->faults.watch);
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
	/* Remember the id: a request that arrives later must not run. */
	g_strlcpy(upstream->cancelled_ids[upstream->cancelled_count++ %
		      UPSTREAM_MAX_CANCELLED_IDS],
	    id, UPSTREAM_ID_SIZE);
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
