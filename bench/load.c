/* Open-loop load client: requests leave on a schedule drawn from a seed, and
 * each latency counts from the scheduled time, so that a stalled tier is
 * charged for the wait. Prints one JSON object. */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/histogram.h"
#include "bulrushwell/http_client.h"

#define MAX_ANSWER (16 * 1024 * 1024)
#define MAX_NODES 64
#define MAX_CALLERS 16
#define GRACE_MS 3000 /* waits this long past the deadline for an answer */

typedef struct {
	const char *name;
	const char *key;
	const char *path;
	bool reserves;
	bool constant; /* arrivals at equal intervals instead of Poisson */
	double rate;
	usec_t deadline;
	const char *body;
	GRand *random;
	usec_t next; /* scheduled time of the next request */
	uint64_t sent;
	uint64_t complete;
	uint64_t partial;
	uint64_t useful; /* complete within the deadline */
	uint64_t shards_answered;
	uint64_t shards_total;
	json_t *incomplete;   /* their scheduled times in ms from the start */
	json_t *refused;      /* kind -> count */
	json_t *errors;	      /* kind -> count */
	histogram_t *latency; /* of answers, microseconds */
	histogram_t *lag;     /* from the scheduled time to sending */
} caller_t;

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
	usec_t length;
	usec_t client_delay; /* one way */
	uint64_t open;
} load;

static void
count_kind(json_t *counts, const char *kind)
{
	json_int_t count = json_integer_value(json_object_get(counts, kind));

	json_object_set_new(counts, kind, json_integer(count + 1));
}

/* The number after the first occurrence of @name; 0 when there is none. */
static uint64_t
find_number(slice_t text, const char *name)
{
	const char *found = memmem(text.data, text.size, name, strlen(name));

	return found != NULL ? strtoull(found + strlen(name), NULL, 10) : 0;
}

static bool
read_query_answer(caller_t *caller, slice_t body)
{
	static const char complete[] = "\"complete\":true";
	bool whole =
	    memmem(body.data, body.size, complete, strlen(complete)) != NULL;

	caller->shards_answered += find_number(body, "\"answered\":");
	caller->shards_total += find_number(body, "\"total\":");
	return whole;
}

static void
read_answer(caller_t *caller, slice_t body, usec_t latency)
{
	bool whole = caller->reserves || read_query_answer(caller, body);

	histogram_record(caller->latency, latency);
	if (!whole) {
		caller->partial++;
		return;
	}
	caller->complete++;
	if (latency - 2 * load.client_delay <= caller->deadline)
		caller->useful++;
}

/* Counts an answer with another status than 200 by its kind. */
static void
read_error(caller_t *caller, slice_t body)
{
	json_t *answer = json_loadb(body.data, body.size, 0, NULL);
	const json_t *error = json_object_get(answer, "error");
	const char *kind = json_string_value(json_object_get(error, "kind"));
	bool refused = json_is_true(json_object_get(error, "not_run"));

	count_kind(refused ? caller->refused : caller->errors,
	    kind != NULL ? kind : "malformed");
	json_decref(answer);
}

static const char *
result_name(http_result_t result)
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
	for (size_t i = 0; i < load.caller_count; i++)
		if (load.callers[i].next < load.start + load.length)
			return;
	if (load.open == 0)
		ev_break(load.loop, EVBREAK_ALL);
}

static void
on_answer(void *context, http_result_t result, const http_response_t *response)
{
	call_t *call = context;
	caller_t *caller = call->caller;
	uint64_t complete = caller->complete;
	usec_t latency =
	    clock_monotonic() + load.client_delay - call->scheduled;

	if (result != HTTP_ANSWERED)
		count_kind(caller->errors, result_name(result));
	else if (http_response_status(response) == 200)
		read_answer(caller, http_response_body(response), latency);
	else
		read_error(caller, http_response_body(response));
	if (caller->complete == complete)
		json_array_append_new(caller->incomplete,
		    json_integer((call->scheduled - load.start) / USEC_PER_MS));
	g_free(call);
	load.open--;
	stop_when_done();
}

static void
send_call(caller_t *caller, usec_t now)
{
	call_t *call = g_new0(call_t, 1);
	char authorization[256], key[128], body[512];
	http_request_t request = {
	    .method = "POST",
	    .address = load.nodes[load.next_node++ % load.node_count],
	    .path = caller->path,
	    .headers = {authorization, key},
	    .header_count = caller->reserves ? 2 : 1,
	    .timeout = caller->deadline + MS(GRACE_MS),
	    .max_response = MAX_ANSWER,
	    .done = on_answer,
	    .context = call,
	};

	call->caller = caller;
	call->scheduled = caller->next;
	snprintf(authorization, sizeof(authorization),
	    "Authorization: Bearer %s", caller->key);
	snprintf(key, sizeof(key), "Idempotency-Key: %lld-%s-%llu-%llu",
	    (long long)(clock_wall() / USEC_PER_SEC), caller->name,
	    (unsigned long long)load.seed, (unsigned long long)caller->sent);
	/* Bodies differ, so that no two requests share a fingerprint. */
	snprintf(body, sizeof(body), "%s %llu", caller->body,
	    (unsigned long long)caller->sent);
	request.body = body_create(body, strlen(body));
	histogram_record(caller->lag, now - caller->next - load.client_delay);
	caller->sent++;
	load.open++;
	if (http_client_send(load.http, &request) == HANDLE_NONE) {
		count_kind(caller->errors, "client_full");
		load.open--;
		g_free(call);
	}
	body_unref(request.body);
}

static void
schedule_next(caller_t *caller)
{
	double wait = 1;

	if (!caller->constant)
		wait = -log(1 - g_rand_double(caller->random));
	caller->next += (usec_t)(wait / caller->rate * USEC_PER_SEC);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	usec_t end = load.start + load.length, earliest = end;
	usec_t now = clock_monotonic();

	for (size_t i = 0; i < load.caller_count; i++) {
		caller_t *caller = &load.callers[i];

		while (caller->next < end &&
		    caller->next + load.client_delay <= now) {
			send_call(caller, now);
			schedule_next(caller);
		}
		earliest = MIN(earliest, caller->next);
	}
	if (earliest >= end) {
		stop_when_done();
		return;
	}
	ev_now_update(loop);
	ev_timer_set(timer,
	    (double)MAX(earliest + load.client_delay - clock_monotonic(), 0) /
		USEC_PER_SEC,
	    0.0);
	ev_timer_start(loop, timer);
}

static const char *
read_text(const json_t *object, const char *name, const char *other)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text != NULL ? text : other;
}

static bool
read_caller(const json_t *entry, caller_t *caller)
{
	const char *index = read_text(entry, "query", NULL);
	const char *service = read_text(entry, "reserve", NULL);

	caller->name = read_text(entry, "name", NULL);
	caller->key = read_text(entry, "key", NULL);
	caller->body = read_text(entry, "body", "load");
	caller->rate = json_number_value(json_object_get(entry, "rate"));
	caller->deadline =
	    MS(json_integer_value(json_object_get(entry, "deadline_ms")));
	caller->constant =
	    strcmp(read_text(entry, "arrivals", "poisson"), "constant") == 0;
	caller->reserves = service != NULL;
	if (caller->name == NULL || caller->key == NULL || caller->rate <= 0 ||
	    caller->deadline <= 0 || (index != NULL) == caller->reserves)
		return false;
	caller->path = caller->reserves
	    ? g_strdup_printf("/v1/reserve/%s", service)
	    : g_strdup_printf("/v1/query/%s", index);
	caller->refused = json_object();
	caller->errors = json_object();
	caller->incomplete = json_array();
	caller->latency = histogram_create();
	caller->lag = histogram_create();
	return true;
}

static bool
read_plan(const json_t *plan)
{
	json_t *entry;
	size_t i;

	load.seed = (uint64_t)json_integer_value(json_object_get(plan, "seed"));
	load.length = (usec_t)(USEC_PER_SEC *
	    json_number_value(json_object_get(plan, "seconds")));
	load.client_delay = (usec_t)(USEC_PER_MS *
	    json_number_value(json_object_get(plan, "client_delay_ms")));
	json_array_foreach (json_object_get(plan, "nodes"), i, entry)
		if (i < MAX_NODES && json_is_string(entry))
			load.nodes[load.node_count++] =
			    json_string_value(entry);
	json_array_foreach (json_object_get(plan, "callers"), i, entry) {
		caller_t *caller = &load.callers[i];

		if (i == MAX_CALLERS || !read_caller(entry, caller))
			return false;
		caller->random = g_rand_new_with_seed(
		    (guint32)(load.seed * MAX_CALLERS + i));
		load.caller_count++;
	}
	return load.length > 0 && load.node_count > 0 && load.caller_count > 0;
}

static double
quantile_ms(const histogram_t *histogram, double q)
{
	return (double)histogram_quantile(histogram, q) / USEC_PER_MS;
}

static json_t *
print_caller(const caller_t *caller)
{
	double seconds = (double)load.length / USEC_PER_SEC;
	double coverage = caller->shards_total == 0
	    ? 0
	    : (double)caller->shards_answered / (double)caller->shards_total;

	return json_pack("{s:s,s:f,s:I,s:I,s:I,s:O,s:O,s:I,s:f,s:f,s:f,s:f,s:f,"
			 "s:f,s:O}",
	    "name", caller->name, "rate", caller->rate, "sent",
	    (json_int_t)caller->sent, "complete", (json_int_t)caller->complete,
	    "partial", (json_int_t)caller->partial, "refused", caller->refused,
	    "errors", caller->errors, "useful", (json_int_t)caller->useful,
	    "useful_per_s", (double)caller->useful / seconds, "coverage_mean",
	    coverage, "p50_ms", quantile_ms(caller->latency, 0.5), "p99_ms",
	    quantile_ms(caller->latency, 0.99), "p999_ms",
	    quantile_ms(caller->latency, 0.999), "send_lag_p99_ms",
	    quantile_ms(caller->lag, 0.99), "incomplete_ms",
	    caller->incomplete);
}

static void
print_result(void)
{
	json_t *callers = json_array();
	json_t *result;

	for (size_t i = 0; i < load.caller_count; i++)
		json_array_append_new(callers, print_caller(&load.callers[i]));
	result = json_pack("{s:I,s:f,s:I,s:o}", "seed", (json_int_t)load.seed,
	    "seconds", (double)load.length / USEC_PER_SEC, "start_unix_ms",
	    (json_int_t)(load.start_wall / USEC_PER_MS), "callers", callers);
	json_dumpf(result, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(result);
}

int
main(int argc, char **argv)
{
	json_error_t why;
	json_t *plan;

	if (argc != 2) {
		fprintf(stderr, "usage: load PLAN.json\n");
		return 2;
	}
	plan = json_load_file(argv[1], JSON_REJECT_DUPLICATES, &why);
	if (plan == NULL) {
		fprintf(stderr, "%s:%d: %s\n", argv[1], why.line, why.text);
		return 2;
	}
	if (!read_plan(plan)) {
		fprintf(stderr,
		    "%s: needs seconds, nodes and callers, each with name, "
		    "key, rate, deadline_ms and either query or reserve\n",
		    argv[1]);
		return 2;
	}
	load.loop = ev_default_loop(EVFLAG_AUTO);
	load.http = http_client_create(load.loop);
	load.start = clock_monotonic();
	load.start_wall = clock_wall();
	for (size_t i = 0; i < load.caller_count; i++) {
		load.callers[i].next = load.start;
		schedule_next(&load.callers[i]);
	}
	ev_timer_init(&load.timer, on_timer, 0.0, 0.0);
	ev_timer_start(load.loop, &load.timer);
	ev_run(load.loop, 0);
	print_result();
	return 0;
}
