/* Checks of query responses, and callers that query in the background. */
#include "harness_query.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Number of the service that holds a shard. Even versions with QUERY_MAX_SHARDS
 * shards have the layout of version_8_split in test_process_query.c, with two
 * shards on each service in descending order. All other versions have shard N
 * on service N + 1, as harness_start_upstreams() writes it. */
static int
service_of_shard(int version, int total, int shard)
{
	if (version % 2 == 0 && total == QUERY_MAX_SHARDS)
		return QUERY_SERVICES - shard / 2;
	return shard + 1;
}

static void
check_shard_result(
    const json_t *entry, const coverage_t *coverage, const char *body)
{
	int shard = (int)json_integer_value(json_object_get(entry, "shard"));
	const char *text = json_string_value(json_object_get(entry, "body"));
	char hash[20], prefix[32];
	json_t *returned;

	assert_non_null(text);
	returned = json_loads(text, 0, NULL);
	if (returned == NULL)
		fail_msg(
		    "shard %d: the body is not valid JSON: %s", shard, text);
	snprintf(hash, sizeof(hash), "%016llx",
	    (unsigned long long)XXH64(body, strlen(body), 0));
	snprintf(prefix, sizeof(prefix), "slotplan-%d-",
	    service_of_shard(coverage->version, coverage->total, shard));
	if (json_integer_value(json_object_get(returned, "shard")) != shard ||
	    json_integer_value(json_object_get(returned, "version")) !=
		coverage->version ||
	    strcmp(json_string_value(json_object_get(returned, "hash")),
		hash) != 0 ||
	    !g_str_has_prefix(
		json_string_value(json_object_get(returned, "server")), prefix))
		fail_msg("shard %d: expected version %d, hash %s and a "
			 "server %s*, got %s",
		    shard, coverage->version, hash, prefix, text);
	json_decref(returned);
}

static void
mark_shard(bool *seen, const json_t *entry, int total)
{
	json_t *number = json_object_get(entry, "shard");
	int shard = (int)json_integer_value(number);

	assert_true(json_is_integer(number));
	assert_in_range(shard, 0, total - 1);
	if (seen[shard])
		fail_msg("shard %d is listed more than once", shard);
	seen[shard] = true;
}

static void
check_missing_shards(const json_t *missing, coverage_t *coverage, bool *seen)
{
	size_t i;
	json_t *entry;

	json_array_foreach (missing, i, entry) {
		const char *reason =
		    json_string_value(json_object_get(entry, "reason"));

		mark_shard(seen, entry, coverage->total);
		assert_non_null(reason);
		assert_true(*reason != '\0');
		g_strlcpy(coverage->reasons[json_integer_value(
			      json_object_get(entry, "shard"))],
		    reason, sizeof(coverage->reasons[0]));
	}
}

static void
check_latency(const http_reply_t *reply, int deadline_ms)
{
	int64_t elapsed_ms =
	    json_integer_value(json_object_get(reply->json, "elapsed_ms"));

	if (elapsed_ms > deadline_ms + QUERY_GRACE_MS ||
	    reply->elapsed > MS(deadline_ms + QUERY_GRACE_MS))
		fail_msg("response after %lld ms, elapsed_ms is %lld; the "
			 "deadline was %d ms",
		    (long long)(reply->elapsed / USEC_PER_MS),
		    (long long)elapsed_ms, deadline_ms);
}

coverage_t
query_check_answer(const http_reply_t *reply, const char *body, int deadline_ms)
{
	const json_t *coverage_json = json_object_get(reply->json, "coverage");
	const json_t *results = json_object_get(reply->json, "results");
	const json_t *missing = json_object_get(coverage_json, "missing");
	bool seen[QUERY_MAX_SHARDS] = {0};
	coverage_t coverage = {0};
	size_t i;
	json_t *entry;

	if (reply->status != 200)
		fail_msg("status %d: %s", reply->status, reply->body->str);
	coverage.version =
	    (int)json_integer_value(json_object_get(reply->json, "version"));
	coverage.total =
	    (int)json_integer_value(json_object_get(coverage_json, "total"));
	coverage.answered =
	    (int)json_integer_value(json_object_get(coverage_json, "answered"));
	assert_in_range(coverage.total, 1, QUERY_MAX_SHARDS);
	assert_int_equal(json_array_size(results), coverage.answered);
	assert_int_equal(json_array_size(missing) + json_array_size(results),
	    coverage.total);
	assert_int_equal(json_is_true(json_object_get(reply->json, "complete")),
	    coverage.answered == coverage.total);
	json_array_foreach (results, i, entry) {
		mark_shard(seen, entry, coverage.total);
		check_shard_result(entry, &coverage, body);
	}
	check_missing_shards(missing, &coverage, seen);
	check_latency(reply, deadline_ms);
	return coverage;
}

void
query_check_refusal(
    const http_reply_t *reply, int status, const char *kind, bool not_run)
{
	const json_t *error = json_object_get(reply->json, "error");
	const char *returned_kind =
	    json_string_value(json_object_get(error, "kind"));
	const char *remedy =
	    json_string_value(json_object_get(error, "remedy"));

	if (reply->status != status || returned_kind == NULL ||
	    strcmp(returned_kind, kind) != 0 || remedy == NULL ||
	    *remedy == '\0')
		fail_msg("expected %d %s, got %d: %.500s", status, kind,
		    reply->status, reply->body->str);
	assert_int_equal(
	    json_is_true(json_object_get(error, "not_run")), not_run);
	assert_true(
	    json_integer_value(json_object_get(error, "retry_after_ms")) >= 0);
}

typedef struct {
	char *body;
	http_reply_t reply;
} exchange_t;

struct load {
	harness_t *harness;
	unsigned int nodes;
	gint stopping;
	gint response_count;
	GMutex lock;
	GPtrArray *exchanges;
	GPtrArray *threads;
};

static gpointer
run_caller(gpointer context)
{
	load_t *load = context;
	int node = 0;

	while (!g_atomic_int_get(&load->stopping)) {
		exchange_t *exchange = g_new0(exchange_t, 1);

		do
			node = (node + 1) % load->harness->node_count;
		while ((load->nodes >> node & 1) == 0);
		exchange->body = query_new_body();
		exchange->reply =
		    query_post(load->harness, node, exchange->body);
		g_mutex_lock(&load->lock);
		g_ptr_array_add(load->exchanges, exchange);
		g_mutex_unlock(&load->lock);
		g_atomic_int_inc(&load->response_count);
	}
	return NULL;
}

/* The load that runs, or NULL; at most one may run. A failed test does not
 * reach its load_stop(), so that its teardown calls load_abort(). */
static load_t *active_load;

static void
join_callers(load_t *load)
{
	g_atomic_int_set(&load->stopping, 1);
	for (guint i = 0; i < load->threads->len; i++)
		g_thread_join(load->threads->pdata[i]);
	active_load = NULL;
}

void
load_abort(void)
{
	if (active_load != NULL)
		join_callers(active_load);
}

load_t *
load_start(harness_t *harness, int callers, unsigned int nodes)
{
	load_t *load = g_new0(load_t, 1);

	assert_null(active_load);
	active_load = load;
	load->harness = harness;
	load->nodes = nodes;
	g_mutex_init(&load->lock);
	load->exchanges = g_ptr_array_new();
	load->threads = g_ptr_array_new();
	for (int i = 0; i < callers; i++)
		g_ptr_array_add(
		    load->threads, g_thread_new("caller", run_caller, load));
	return load;
}

void
load_wait(load_t *load, int count)
{
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);
	int wanted = g_atomic_int_get(&load->response_count) + count;

	while (g_atomic_int_get(&load->response_count) < wanted) {
		if (clock_monotonic() > until)
			fail_msg("fewer than %d responses in %d ms", count,
			    QUERY_WAIT_MS);
		g_usleep(2000);
	}
}

static void
count_partial(const exchange_t *exchange, const coverage_t *coverage,
    load_counts_t *counts)
{
	counts->partial++;
	print_message("%d of %d shards answered after %lld ms, missing:",
	    coverage->answered, coverage->total,
	    (long long)(exchange->reply.elapsed / USEC_PER_MS));
	for (int i = 0; i < coverage->total; i++)
		if (coverage->reasons[i][0] != '\0')
			print_message(" %d %s", i, coverage->reasons[i]);
	print_message("\n");
}

static void
check_exchange(const exchange_t *exchange, load_counts_t *counts)
{
	const json_t *error = json_object_get(exchange->reply.json, "error");
	coverage_t coverage;

	if (exchange->reply.status == 0) {
		counts->no_response++;
	} else if (exchange->reply.status == 200) {
		coverage = query_check_answer(
		    &exchange->reply, exchange->body, QUERY_DEADLINE_MS);
		if (coverage.answered == coverage.total)
			counts->complete++;
		else
			count_partial(exchange, &coverage, counts);
	} else if (json_is_true(json_object_get(error, "not_run"))) {
		counts->not_run++;
	} else {
		fail_msg("status %d: %.500s", exchange->reply.status,
		    exchange->reply.body->str);
	}
}

load_counts_t
load_stop(load_t *load)
{
	load_counts_t counts = {0};

	join_callers(load);
	for (guint i = 0; i < load->exchanges->len; i++) {
		exchange_t *exchange = load->exchanges->pdata[i];

		check_exchange(exchange, &counts);
		http_reply_clear(&exchange->reply);
		g_free(exchange->body);
		g_free(exchange);
	}
	g_ptr_array_free(load->exchanges, TRUE);
	g_ptr_array_free(load->threads, TRUE);
	g_free(load);
	return counts;
}
