/* Callers of the process tests, and the tier that they use. */
#include "traffic.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MAX_THREADS 16
#define RATE_RETRY_US 10000

typedef struct {
	char key[64];
	enum { KEY_DONE, KEY_NOT_RUN, KEY_UNKNOWN } outcome;
} used_key_t;

struct traffic {
	GMutex lock;
	bool stopping;
	bool reserve;
	int pause_ms;
	unsigned nodes;
	int node_count;
	address_t addresses[HARNESS_MAX_NODES];
	int call_number; /* advances with each call and each skipped node */
	traffic_counts_t counts;
	char last_error[32];
	GArray *keys; /* used_key_t */
	int thread_count;
	GThread *threads[MAX_THREADS];
};

/* Whether a server's response body contains the hash of the request body. */
static bool
has_hash(const char *text, const char *body)
{
	char hash[64];

	snprintf(hash, sizeof(hash), "\"hash\":\"%016llx\"",
	    (unsigned long long)XXH64(body, strlen(body), 0));
	return text != NULL && strstr(text, hash) != NULL;
}

static bool
is_correct_result(const json_t *result, const char *body)
{
	const char *text = json_string_value(json_object_get(result, "body"));
	char shard[64];

	snprintf(shard, sizeof(shard), "\"shard\":%lld,",
	    (long long)json_integer_value(json_object_get(result, "shard")));
	return has_hash(text, body) && strstr(text, shard) != NULL;
}

static void
read_query_response(const json_t *json, const char *body, reply_t *reply)
{
	const json_t *results = json_object_get(json, "results");
	json_t *missing = NULL;
	int answered = -1, total = -1, complete = 0;

	if (json_unpack((json_t *)json, "{s:b,s:{s:i,s:i,s:o}}", "complete",
		&complete, "coverage", "answered", &answered, "total", &total,
		"missing", &missing) != 0) {
		reply->wrong = true;
		return;
	}
	reply->complete = complete;
	reply->wrong = (size_t)answered != json_array_size(results) ||
	    (size_t)(total - answered) != json_array_size(missing) ||
	    complete != (answered == total) || total == 0;
	if (!complete)
		g_strlcpy(reply->kind,
		    json_string_value(
			json_object_get(json_array_get(missing, 0), "reason")),
		    sizeof(reply->kind));
	for (size_t i = 0; i < json_array_size(results); i++)
		if (!is_correct_result(json_array_get(results, i), body))
			reply->wrong = true;
}

static void
read_error(const json_t *json, reply_t *reply)
{
	const json_t *error = json_object_get(json, "error");
	const char *kind = json_string_value(json_object_get(error, "kind"));

	g_strlcpy(reply->kind, kind != NULL ? kind : "", sizeof(reply->kind));
	reply->not_run = json_is_true(json_object_get(error, "not_run"));
	reply->wrong = kind == NULL;
}

static reply_t
call(const char *address, const char *path, const char *key, const char *body)
{
	const char *headers[] = {
	    "Authorization: Bearer " TRAFFIC_SECRET, key, NULL};
	http_reply_t response = harness_http(
	    "POST", address, path, headers, body, TRAFFIC_TIMEOUT_MS);
	reply_t reply = {.status = response.status,
	    .connect_failed = response.connect_failed};

	if (response.status == 200 && key == NULL) {
		read_query_response(response.json, body, &reply);
	} else if (response.status == 200) {
		const char *text =
		    json_string_value(json_object_get(response.json, "body"));

		reply.repeated =
		    json_is_true(json_object_get(response.json, "repeated"));
		reply.wrong = !has_hash(text, body);
		g_strlcpy(
		    reply.body, text != NULL ? text : "", sizeof(reply.body));
	} else if (response.status != 0) {
		read_error(response.json, &reply);
	}
	http_reply_clear(&response);
	return reply;
}

static reply_t
call_query(const char *address, const char *body)
{
	return call(address, "/v1/query/" TRAFFIC_INDEX, NULL, body);
}

static reply_t
call_reserve(const char *address, const char *key, const char *body)
{
	char header[128];

	snprintf(header, sizeof(header), "Idempotency-Key: %s", key);
	return call(address, "/v1/reserve/" TRAFFIC_SERVICE, header, body);
}

static bool
is_rate_refusal(const reply_t *reply)
{
	return reply->status == 429 && reply->not_run;
}

reply_t
traffic_query(const char *address, const char *body)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);
	reply_t reply = call_query(address, body);

	while (is_rate_refusal(&reply) && clock_monotonic() < until) {
		g_usleep(RATE_RETRY_US);
		reply = call_query(address, body);
	}
	return reply;
}

reply_t
traffic_reserve(const char *address, const char *key, const char *body)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);
	reply_t reply = call_reserve(address, key, body);

	while (is_rate_refusal(&reply) && clock_monotonic() < until) {
		g_usleep(RATE_RETRY_US);
		reply = call_reserve(address, key, body);
	}
	return reply;
}

static gpointer
run_reservation(gpointer context)
{
	background_reservation_t *reservation = context;

	reservation->reply = traffic_reserve(
	    reservation->address, reservation->key, reservation->body);
	return NULL;
}

background_reservation_t *
traffic_reserve_start(const char *address, const char *key, const char *body)
{
	background_reservation_t *reservation =
	    g_new0(background_reservation_t, 1);

	g_strlcpy(reservation->address, address, sizeof(reservation->address));
	g_strlcpy(reservation->key, key, sizeof(reservation->key));
	g_strlcpy(reservation->body, body, sizeof(reservation->body));
	reservation->thread =
	    g_thread_new("caller", run_reservation, reservation);
	return reservation;
}

reply_t
traffic_reserve_finish(background_reservation_t *reservation)
{
	reply_t reply;

	g_thread_join(reservation->thread);
	reply = reservation->reply;
	g_free(reservation);
	return reply;
}

void
traffic_make_key(char key[64], const char *text)
{
	snprintf(
	    key, 64, "%lld-%s", (long long)(clock_wall() / USEC_PER_SEC), text);
}

static bool
is_outcome_unknown(const reply_t *reply)
{
	return strcmp(reply->kind, "outcome_unknown") == 0 ||
	    strcmp(reply->kind, "in_progress") == 0;
}

/* Counts a response. The caller holds the lock. */
static void
count_reply(traffic_t *traffic, const reply_t *reply)
{
	traffic_counts_t *counts = &traffic->counts;

	counts->sent++;
	counts->wrong += reply->wrong;
	if (reply->kind[0] != '\0')
		strcpy(traffic->last_error, reply->kind);
	if (reply->connect_failed)
		counts->connect_failed++;
	else if (reply->status == 0)
		counts->no_response++;
	else if (reply->status == 200 && (traffic->reserve || reply->complete))
		counts->complete++;
	else if (reply->status == 200)
		counts->partial++;
	else if (reply->not_run)
		counts->not_run++;
	else if (is_outcome_unknown(reply))
		counts->unknown++;
	else
		counts->failed++;
}

/* Returns the next node of the mask, or -1 when the mask is empty. The caller
 * holds the lock. */
static int
choose_node(traffic_t *traffic)
{
	for (int i = 0; i < traffic->node_count; i++) {
		int node = traffic->call_number++ % traffic->node_count;

		if ((traffic->nodes & 1u << node) != 0)
			return node;
	}
	return -1;
}

static void
call_once(traffic_t *traffic, int node, int number)
{
	used_key_t used = {.outcome = KEY_UNKNOWN};
	char body[64];
	reply_t reply;

	snprintf(body, sizeof(body), "board %d", number);
	if (traffic->reserve) {
		char text[32];

		snprintf(text, sizeof(text), "load-%d", number);
		traffic_make_key(used.key, text);
		reply = call_reserve(traffic->addresses[node], used.key, body);
	} else {
		reply = call_query(traffic->addresses[node], body);
	}
	if (reply.status == 200)
		used.outcome = KEY_DONE;
	else if (reply.connect_failed || reply.not_run)
		used.outcome = KEY_NOT_RUN;
	g_mutex_lock(&traffic->lock);
	count_reply(traffic, &reply);
	g_array_append_val(traffic->keys, used);
	g_mutex_unlock(&traffic->lock);
}

static gpointer
run_traffic_thread(gpointer context)
{
	traffic_t *traffic = context;

	for (;;) {
		int node, number;

		g_mutex_lock(&traffic->lock);
		node = traffic->stopping ? -2 : choose_node(traffic);
		number = traffic->call_number;
		g_mutex_unlock(&traffic->lock);
		if (node == -2)
			return NULL;
		if (node >= 0)
			call_once(traffic, node, number);
		g_usleep((gulong)traffic->pause_ms * 1000);
	}
}

traffic_t *
traffic_start(
    harness_t *harness, bool reserve, unsigned nodes, int threads, int pause_ms)
{
	traffic_t *traffic = g_new0(traffic_t, 1);

	g_mutex_init(&traffic->lock);
	traffic->reserve = reserve;
	traffic->nodes = nodes;
	traffic->pause_ms = pause_ms;
	traffic->node_count = HARNESS_MAX_NODES;
	traffic->keys = g_array_new(FALSE, FALSE, sizeof(used_key_t));
	for (int i = 0; i < HARNESS_MAX_NODES; i++)
		memcpy(traffic->addresses[i], harness->nodes[i].caller_address,
		    ADDRESS_SIZE);
	traffic->thread_count = threads;
	for (int i = 0; i < threads; i++)
		traffic->threads[i] =
		    g_thread_new("load", run_traffic_thread, traffic);
	return traffic;
}

void
traffic_set_nodes(traffic_t *traffic, unsigned nodes)
{
	g_mutex_lock(&traffic->lock);
	traffic->nodes = nodes;
	g_mutex_unlock(&traffic->lock);
}

traffic_counts_t
traffic_counts(traffic_t *traffic)
{
	traffic_counts_t counts;

	g_mutex_lock(&traffic->lock);
	counts = traffic->counts;
	g_mutex_unlock(&traffic->lock);
	return counts;
}

void
traffic_wait(traffic_t *traffic, int count)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);
	int wanted = traffic_counts(traffic).complete + count;

	while (traffic_counts(traffic).complete < wanted) {
		if (clock_monotonic() > until)
			fail_msg("callers get no complete responses: "
				 "%d sent, %d complete, %d partial, "
				 "%d not run, last error %s",
			    traffic_counts(traffic).sent,
			    traffic_counts(traffic).complete,
			    traffic_counts(traffic).partial,
			    traffic_counts(traffic).not_run,
			    traffic->last_error);
		g_usleep(5000);
	}
}

static GHashTable *
sum_executions(harness_t *harness)
{
	GHashTable *sums =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer server;

	g_hash_table_iter_init(&iter, harness->servers);
	while (g_hash_table_iter_next(&iter, &server, NULL)) {
		json_t *record = harness_record(harness, server);
		const char *key;
		json_t *count;

		json_object_foreach (
		    json_object_get(record, "executions"), key, count)
			g_hash_table_insert(sums, g_strdup(key),
			    GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(
						sums, key)) +
				(int)json_integer_value(count)));
		json_decref(record);
	}
	return sums;
}

static void
check_executions(harness_t *harness, const GArray *keys)
{
	static const struct {
		int min_runs;
		int max_runs;
	} allowed[] = {[KEY_DONE] = {1, 1},
	    [KEY_NOT_RUN] = {0, 0},
	    [KEY_UNKNOWN] = {0, 1}};
	GHashTable *sums = sum_executions(harness);

	for (guint i = 0; i < keys->len; i++) {
		const used_key_t *used = &g_array_index(keys, used_key_t, i);
		int count =
		    GPOINTER_TO_INT(g_hash_table_lookup(sums, used->key));

		if (count < allowed[used->outcome].min_runs ||
		    count > allowed[used->outcome].max_runs)
			fail_msg("key %s with outcome %d (0 done, 1 not run, 2 "
				 "unknown) was executed %d times",
			    used->key, (int)used->outcome, count);
	}
	g_hash_table_destroy(sums);
}

traffic_counts_t
traffic_stop(harness_t *harness, traffic_t *traffic)
{
	traffic_counts_t counts;

	g_mutex_lock(&traffic->lock);
	traffic->stopping = true;
	g_mutex_unlock(&traffic->lock);
	for (int i = 0; i < traffic->thread_count; i++)
		g_thread_join(traffic->threads[i]);
	counts = traffic->counts;
	if (traffic->reserve)
		check_executions(harness, traffic->keys);
	g_array_free(traffic->keys, TRUE);
	g_mutex_clear(&traffic->lock);
	g_free(traffic);
	print_message("callers: %d sent, %d complete, %d partial, %d not run, "
		      "%d unknown, %d failed, %d without response, "
		      "%d not connected, %d wrong\n",
	    counts.sent, counts.complete, counts.partial, counts.not_run,
	    counts.unknown, counts.failed, counts.no_response,
	    counts.connect_failed, counts.wrong);
	return counts;
}

void
traffic_start_backends(harness_t *harness, int deadline_ms)
{
	static const upstream_group_t groups[] = {
	    {.name = "slotplan",
		.services = 4,
		.servers = 2,
		.slots = 2,
		.connections = 16,
		.p50_ms = 3,
		.p99_ms = 9,
		.indexed = true},
	    {.name = TRAFFIC_SERVICE,
		.services = 1,
		.servers = 2,
		.slots = 2,
		.connections = 16,
		.p50_ms = 3,
		.p99_ms = 9},
	};
	const upstream_set_t set = {.groups = groups,
	    .group_count = G_N_ELEMENTS(groups),
	    .index = TRAFFIC_INDEX,
	    .version = 7,
	    .seed = 1};
	const contract_spec_t contract = {TRAFFIC_CUSTOMER, TRAFFIC_SECRET,
	    TRAFFIC_INDEX, TRAFFIC_SERVICE, 20000, 400, deadline_ms, 24, false};

	harness_start_platform(harness);
	harness_start_upstreams(harness, &set);
	harness_put_contract(harness, &contract);
}

void
traffic_start_tier(harness_t *harness, int nodes, int deadline_ms)
{
	traffic_start_backends(harness, deadline_ms);
	harness_start_tier(harness, nodes);
	for (int i = 0; i < nodes; i++)
		traffic_wait_complete(harness, i);
	traffic_wait_serving(harness, TRAFFIC_SERVICE, ~0u);
	traffic_wait_members(harness, nodes);
}

void
traffic_wait_complete(harness_t *harness, int node)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);
	reply_t reply;

	do {
		reply = traffic_query(
		    harness->nodes[node].caller_address, "first board");
		if (reply.complete && !reply.wrong)
			return;
		g_usleep(10000);
	} while (clock_monotonic() < until);
	fail_msg("%s returns no complete response: %d %s",
	    harness->nodes[node].name, reply.status, reply.kind);
}

/* Whether at least @members nodes have units, and each service has two holders,
 * which are its serving node and its standby. */
static bool
is_settled(harness_t *harness, int members)
{
	http_reply_t response = harness_http("GET", harness->platform_address,
	    "/v1/objects/assignment/cell-1", NULL, NULL, TRAFFIC_TIMEOUT_MS);
	const json_t *value = json_object_get(response.json, "value");
	const json_t *list = json_object_get(value, "members");
	const json_t *services = json_object_get(value, "services");
	int count = 0;
	bool settled = json_array_size(services) > 0;

	/* Units are a bit mask in decimal text; "0" means no units. */
	for (size_t i = 0; i < json_array_size(list); i++) {
		const char *units = json_string_value(
		    json_object_get(json_array_get(list, i), "units"));

		count += units != NULL && strcmp(units, "0") != 0;
	}
	for (size_t i = 0; i < json_array_size(services); i++)
		if (json_array_size(json_object_get(
			json_array_get(services, i), "holders")) < 2)
			settled = false;
	http_reply_clear(&response);
	return settled && count >= members;
}

void
traffic_wait_members(harness_t *harness, int count)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);

	while (!is_settled(harness, count)) {
		if (clock_monotonic() > until)
			fail_msg(
			    "the assignment does not cover %d nodes in time",
			    count);
		g_usleep(10000);
	}
}

static int
find_node(const harness_t *harness, const char *name)
{
	for (int i = 0; i < harness->node_count; i++)
		if (strcmp(harness->nodes[i].name, name) == 0)
			return i;
	return -1;
}

/* Returns the serving node of a service in the stored assignment, or -1. */
static int
stored_serving_node(harness_t *harness, const char *service)
{
	http_reply_t response = harness_http("GET", harness->platform_address,
	    "/v1/objects/assignment/cell-1", NULL, NULL, TRAFFIC_TIMEOUT_MS);
	const json_t *list = json_object_get(
	    json_object_get(response.json, "value"), "services");
	int node = -1;

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);
		const json_t *holder =
		    json_array_get(json_object_get(entry, "holders"), 0);
		const char *name =
		    json_string_value(json_object_get(entry, "service"));
		const char *serving =
		    json_string_value(json_object_get(holder, "node"));

		if (name != NULL && serving != NULL &&
		    strcmp(name, service) == 0)
			node = find_node(harness, serving);
	}
	http_reply_clear(&response);
	return node;
}

int
traffic_wait_serving(harness_t *harness, const char *service, unsigned among)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);

	do {
		int node = stored_serving_node(harness, service);

		if (node >= 0 && (among & 1u << node) != 0)
			return node;
		g_usleep(10000);
	} while (clock_monotonic() < until);
	fail_msg("%s is not served by any node of the mask %x", service, among);
	return -1;
}

void
traffic_check_caps(harness_t *harness)
{
	assert_int_equal(harness_record_sum(harness, "overruns"), 0);
	assert_int_equal(harness_record_sum(harness, "connection_overruns"), 0);
	assert_true(harness_record_max(harness, "max_running") <= 2);
	assert_true(harness_record_max(harness, "max_connections") <= 16);
}
