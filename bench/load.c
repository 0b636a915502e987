/* Open-loop load client. Requests are sent on a schedule drawn from a seed,
 * whether or not earlier ones were answered. Latency is measured from the
 * scheduled time, so that it includes the wait behind a stalled tier. Prints
 * one JSON object. */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/histogram.h"
#include "bulrushwell/http_client.h"

#define MAX_ANSWER_BYTES (16 * 1024 * 1024)
#define MAX_NODES 64
#define MAX_CALLERS 16
#define ANSWER_GRACE_MS 3000 /* wait for an answer after the deadline */

/** typedef caller_t - One caller of the plan and its results. */
typedef struct {
	const char *name;
	const char *key;
	const char *path;
	bool is_reservation;
	bool constant_interval; /* else a Poisson process */
	double rate;		/* requests per second */
	usec_t deadline;
	const char *body;
	GRand *random;
	usec_t next_at; /* scheduled time of the next request */
	uint64_t sent;
	uint64_t complete;
	uint64_t partial;
	uint64_t within_deadline; /* of the complete ones */
	uint64_t shards_answered;
	uint64_t shards_total;
	json_t *incomplete;    /* scheduled times of requests without a complete
				  answer, ms from the start */
	json_t *refused;       /* error kind -> count; these were not run */
	json_t *errors;	       /* error kind -> count */
	histogram_t *latency;  /* of answers, microseconds */
	histogram_t *send_lag; /* delay behind the schedule, microseconds */
} caller_t;

/** typedef call_t - A request that has not been answered. */
typedef struct {
	caller_t *caller;
	usec_t scheduled;
} call_t;

static struct {
	struct ev_loop *loop;
	http_client_t *http;
	ev_timer timer;
	const char *nodes[MAX_NODES];
	size_t node_count;
	size_t next_node;
	caller_t callers[MAX_CALLERS];
	size_t caller_count;
	uint64_t seed;
	usec_t start;
	usec_t start_wall;
	usec_t duration;
	usec_t network_delay; /* simulated network delay, one way */
	uint64_t open_requests;
} client;

static void
increment_count(json_t *counts, const char *kind)
{
	json_int_t count = json_integer_value(json_object_get(counts, kind));

	json_object_set_new(counts, kind, json_integer(count + 1));
}

/* Returns the number after the first occurrence of @name, or 0. */
static uint64_t
find_number_after(slice_t text, const char *name)
{
	const char *found = memmem(text.data, text.size, name, strlen(name));

	return found != NULL ? strtoull(found + strlen(name), NULL, 10) : 0;
}

/* Adds the shard counts of an answer; returns true when it is complete. */
static bool
record_coverage(caller_t *caller, slice_t body)
{
	static const char complete[] = "\"complete\":true";
	bool is_complete =
	    memmem(body.data, body.size, complete, strlen(complete)) != NULL;

	caller->shards_answered += find_number_after(body, "\"answered\":");
	caller->shards_total += find_number_after(body, "\"total\":");
	return is_complete;
}

static void
record_answer(caller_t *caller, slice_t body, usec_t latency)
{
	bool is_complete =
	    caller->is_reservation || record_coverage(caller, body);

	histogram_record(caller->latency, latency);
	if (!is_complete) {
		caller->partial++;
		return;
	}
	caller->complete++;
	/* The deadline does not cover the simulated network delay. */
	if (latency - 2 * client.network_delay <= caller->deadline)
		caller->within_deadline++;
}

/* Counts an answer with a status other than 200 under its error kind. */
static void
record_error(caller_t *caller, slice_t body)
{
	json_t *answer = json_loadb(body.data, body.size, 0, NULL);
	const json_t *error = json_object_get(answer, "error");
	const char *kind = json_string_value(json_object_get(error, "kind"));
	bool refused = json_is_true(json_object_get(error, "not_run"));

	increment_count(refused ? caller->refused : caller->errors,
	    kind != NULL ? kind : "malformed");
	json_decref(answer);
}

static const char *
result_kind(http_result_t result)
{
	switch (result) {
	case HTTP_ANSWERED:
		return "answered";
	case HTTP_NOT_SENT:
		return "not_sent";
	case HTTP_CONNECTION_LOST:
		return "connection_died";
	case HTTP_TIMEOUT:
		return "no_answer";
	case HTTP_TOO_LARGE:
		return "too_large";
	case HTTP_MALFORMED:
		return "malformed";
	}
	return "malformed";
}

static void
stop_when_done(void)
{
	for (size_t i = 0; i < client.caller_count; i++)
		if (client.callers[i].next_at < client.start + client.duration)
			return;
	if (client.open_requests == 0)
		ev_break(client.loop, EVBREAK_ALL);
}

static void
on_answer(void *context, http_result_t result, const http_response_t *response)
{
	call_t *call = context;
	caller_t *caller = call->caller;
	uint64_t complete_before = caller->complete;
	usec_t latency =
	    clock_monotonic() + client.network_delay - call->scheduled;

	if (result != HTTP_ANSWERED)
		increment_count(caller->errors, result_kind(result));
	else if (http_response_status(response) == 200)
		record_answer(caller, http_response_body(response), latency);
	else
		record_error(caller, http_response_body(response));
	if (caller->complete == complete_before)
		json_array_append_new(caller->incomplete,
		    json_integer(
			(call->scheduled - client.start) / USEC_PER_MS));
	g_free(call);
	client.open_requests--;
	stop_when_done();
}

static void
send_call(caller_t *caller, usec_t now)
{
	call_t *call = g_new0(call_t, 1);
	char authorization[256], key[128], body[512];
	http_request_t request = {
	    .method = "POST",
	    .address = client.nodes[client.next_node++ % client.node_count],
	    .path = caller->path,
	    .headers = {authorization, key},
	    .header_count = caller->is_reservation ? 2 : 1,
	    .timeout = caller->deadline + MS(ANSWER_GRACE_MS),
	    .max_response = MAX_ANSWER_BYTES,
	    .done = on_answer,
	    .context = call,
	};

	call->caller = caller;
	call->scheduled = caller->next_at;
	snprintf(authorization, sizeof(authorization),
	    "Authorization: Bearer %s", caller->key);
	snprintf(key, sizeof(key), "Idempotency-Key: %lld-%s-%llu-%llu",
	    (long long)(clock_wall() / USEC_PER_SEC), caller->name,
	    (unsigned long long)client.seed, (unsigned long long)caller->sent);
	/* Bodies differ, so that no two requests have the same
	 * suspect_fingerprint(). */
	snprintf(body, sizeof(body), "%s %llu", caller->body,
	    (unsigned long long)caller->sent);
	request.body = body_create(body, strlen(body));
	histogram_record(
	    caller->send_lag, now - caller->next_at - client.network_delay);
	caller->sent++;
	client.open_requests++;
	if (http_client_send(client.http, &request) == HANDLE_NONE) {
		increment_count(caller->errors, "client_full");
		client.open_requests--;
		g_free(call);
	}
	body_unref(request.body);
}

static void
schedule_next(caller_t *caller)
{
	double interval = 1;

	if (!caller->constant_interval)
		interval = -log(1 - g_rand_double(caller->random));
	caller->next_at += (usec_t)(interval / caller->rate * USEC_PER_SEC);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	usec_t end = client.start + client.duration, earliest = end;
	usec_t now = clock_monotonic();

	for (size_t i = 0; i < client.caller_count; i++) {
		caller_t *caller = &client.callers[i];

		while (caller->next_at < end &&
		    caller->next_at + client.network_delay <= now) {
			send_call(caller, now);
			schedule_next(caller);
		}
		earliest = MIN(earliest, caller->next_at);
	}
	if (earliest >= end) {
		stop_when_done();
		return;
	}
	ev_now_update(loop);
	ev_timer_set(timer,
	    (double)MAX(
		earliest + client.network_delay - clock_monotonic(), 0) /
		USEC_PER_SEC,
	    0.0);
	ev_timer_start(loop, timer);
}

static const char *
get_text(const json_t *object, const char *name, const char *fallback)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text != NULL ? text : fallback;
}

static bool
parse_caller(const json_t *entry, caller_t *caller)
{
	const char *index = get_text(entry, "query", NULL);
	const char *service = get_text(entry, "reserve", NULL);

	caller->name = get_text(entry, "name", NULL);
	caller->key = get_text(entry, "key", NULL);
	caller->body = get_text(entry, "body", "load");
	caller->rate = json_number_value(json_object_get(entry, "rate"));
	caller->deadline =
	    MS(json_integer_value(json_object_get(entry, "deadline_ms")));
	caller->constant_interval =
	    strcmp(get_text(entry, "arrivals", "poisson"), "constant") == 0;
	caller->is_reservation = service != NULL;
	if (caller->name == NULL || caller->key == NULL || caller->rate <= 0 ||
	    caller->deadline <= 0 || (index != NULL) == caller->is_reservation)
		return false;
	caller->path = caller->is_reservation
	    ? g_strdup_printf("/v1/reserve/%s", service)
	    : g_strdup_printf("/v1/query/%s", index);
	caller->refused = json_object();
	caller->errors = json_object();
	caller->incomplete = json_array();
	caller->latency = histogram_create();
	caller->send_lag = histogram_create();
	return true;
}

static bool
parse_plan(const json_t *plan)
{
	json_t *entry;
	size_t i;

	client.seed =
	    (uint64_t)json_integer_value(json_object_get(plan, "seed"));
	client.duration = (usec_t)(USEC_PER_SEC *
	    json_number_value(json_object_get(plan, "seconds")));
	client.network_delay = (usec_t)(USEC_PER_MS *
	    json_number_value(json_object_get(plan, "client_delay_ms")));
	json_array_foreach (json_object_get(plan, "nodes"), i, entry)
		if (i < MAX_NODES && json_is_string(entry))
			client.nodes[client.node_count++] =
			    json_string_value(entry);
	json_array_foreach (json_object_get(plan, "callers"), i, entry) {
		caller_t *caller = &client.callers[i];

		if (i == MAX_CALLERS || !parse_caller(entry, caller))
			return false;
		caller->random = g_rand_new_with_seed(
		    (guint32)(client.seed * MAX_CALLERS + i));
		client.caller_count++;
	}
	return client.duration > 0 && client.node_count > 0 &&
	    client.caller_count > 0;
}

static double
quantile_ms(const histogram_t *histogram, double q)
{
	return (double)histogram_quantile(histogram, q) / USEC_PER_MS;
}

static json_t *
caller_to_json(const caller_t *caller)
{
	double seconds = (double)client.duration / USEC_PER_SEC;
	double coverage = caller->shards_total == 0
	    ? 0
	    : (double)caller->shards_answered / (double)caller->shards_total;

	return json_pack("{s:s,s:f,s:I,s:I,s:I,s:O,s:O,s:I,s:f,s:f,s:f,s:f,s:f,"
			 "s:f,s:O}",
	    "name", caller->name, "rate", caller->rate, "sent",
	    (json_int_t)caller->sent, "complete", (json_int_t)caller->complete,
	    "partial", (json_int_t)caller->partial, "refused", caller->refused,
	    "errors", caller->errors, "useful",
	    (json_int_t)caller->within_deadline, "useful_per_s",
	    (double)caller->within_deadline / seconds, "coverage_mean",
	    coverage, "p50_ms", quantile_ms(caller->latency, 0.5), "p99_ms",
	    quantile_ms(caller->latency, 0.99), "p999_ms",
	    quantile_ms(caller->latency, 0.999), "send_lag_p99_ms",
	    quantile_ms(caller->send_lag, 0.99), "incomplete_ms",
	    caller->incomplete);
}

static void
print_result(void)
{
	json_t *callers = json_array();
	json_t *result;

	for (size_t i = 0; i < client.caller_count; i++)
		json_array_append_new(
		    callers, caller_to_json(&client.callers[i]));
	result = json_pack("{s:I,s:f,s:I,s:o}", "seed", (json_int_t)client.seed,
	    "seconds", (double)client.duration / USEC_PER_SEC, "start_unix_ms",
	    (json_int_t)(client.start_wall / USEC_PER_MS), "callers", callers);
	json_dumpf(result, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(result);
}

int
main(int argc, char **argv)
{
	json_error_t error;
	json_t *plan;

	if (argc != 2) {
		fprintf(stderr, "usage: load PLAN.json\n");
		return 2;
	}
	plan = json_load_file(argv[1], JSON_REJECT_DUPLICATES, &error);
	if (plan == NULL) {
		fprintf(stderr, "%s:%d: %s\n", argv[1], error.line, error.text);
		return 2;
	}
	if (!parse_plan(plan)) {
		fprintf(stderr,
		    "%s: seconds, nodes and callers are required; each caller "
		    "needs name, key, rate, deadline_ms and either query "
		    "or reserve\n",
		    argv[1]);
		return 2;
	}
	client.loop = ev_default_loop(EVFLAG_AUTO);
	client.http = http_client_create(client.loop);
	client.start = clock_monotonic();
	client.start_wall = clock_wall();
	for (size_t i = 0; i < client.caller_count; i++) {
		client.callers[i].next_at = client.start;
		schedule_next(&client.callers[i]);
	}
	ev_timer_init(&client.timer, on_timer, 0.0, 0.0);
	ev_timer_start(client.loop, &client.timer);
	ev_run(client.loop, 0);
	print_result();
	return 0;
}
