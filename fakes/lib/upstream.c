/* An upstream server's configuration, faults and record. */
#include "upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const lie_names[] = {
    [LIE_NONE] = "none",
    [LIE_VERSION] = "version",
    [LIE_SHARD] = "shard",
    [LIE_REQUEST] = "request",
    [LIE_CUT] = "cut",
    [LIE_REPEAT] = "repeat",
};

static void
init_state(upstream_t *upstream, int64_t seed)
{
	g_mutex_init(&upstream->lock);
	upstream->random = g_rand_new_with_seed((guint32)seed);
	upstream->runs = g_ptr_array_new();
	upstream->last.body = g_string_new(NULL);
	upstream->record.executions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	upstream->faults.latency_factor = 1;
	upstream->faults.drain_grace_ms = UPSTREAM_DRAIN_GRACE_MS;
	upstream->faults.load = -1;
	strcpy(upstream->faults.health, "ok");
}

static void
read_latency(upstream_t *upstream, const json_t *entry)
{
	const json_t *latency = json_object_get(entry, "latency_ms");

	upstream->p50_ms = json_number_value(json_object_get(latency, "p50"));
	upstream->p99_ms = json_number_value(json_object_get(latency, "p99"));
}

upstream_t *
upstream_create(const json_t *entry, double delay_ms)
{
	upstream_t *upstream = g_new0(upstream_t, 1);
	const json_t *indexes = json_object_get(entry, "indexes");
	const char *server = NULL, *listen = NULL, *incarnation = NULL;
	int64_t seed = 0;

	if (json_unpack((json_t *)entry, "{s:s,s:s,s:s}", "server", &server,
		"listen", &listen, "incarnation", &incarnation) != 0) {
		g_free(upstream);
		return NULL;
	}
	upstream->server = g_strdup(server);
	upstream->incarnation = g_strdup(incarnation);
	upstream->delay_ms = delay_ms;
	upstream->slots = 1;
	fake_read_int(entry, "slots", &upstream->slots);
	fake_read_int(entry, "queue", &upstream->queue);
	fake_read_int(entry, "connections", &upstream->connections);
	fake_read_int(entry, "connect_ms", &upstream->connect_ms);
	fake_read_int(entry, "seed", &seed);
	read_latency(upstream, entry);
	upstream->indexes =
	    indexes != NULL ? json_deep_copy(indexes) : json_object();
	init_state(upstream, seed);
	upstream->http = fake_server_create(listen, upstream_handle, upstream,
	    UPSTREAM_MAX_BODY, (uint32_t)upstream->connections);
	return upstream;
}

static bool
set_lie(upstream_t *upstream, const char *name)
{
	for (int i = LIE_NONE; i <= LIE_REPEAT; i++) {
		if (strcmp(lie_names[i], name) == 0) {
			upstream->faults.lie = (upstream_lie_t)i;
			return true;
		}
	}
	return false;
}

static void
set_draining(upstream_t *upstream, bool draining)
{
	if (draining && !upstream->faults.draining) {
		upstream->record.drain_at = clock_monotonic();
		upstream->record.last_after_drain = 0;
	}
	upstream->faults.draining = draining;
}

/* Replaces one list of each named index. */
static void
set_lists(upstream_t *upstream, const json_t *order, const char *field)
{
	json_t *lists = json_object_get(order, field);
	const char *name;
	json_t *list;

	json_object_foreach (lists, name, list) {
		json_t *index = json_object_get(upstream->indexes, name);

		if (index != NULL)
			json_object_set(index, field, list);
	}
}

static void
set_text(const json_t *order, const char *name, char **text)
{
	const json_t *value = json_object_get(order, name);

	if (value == NULL)
		return;
	g_free(*text);
	*text = g_strdup(json_string_value(value));
}

static void
set_text_faults(upstream_t *upstream, const json_t *order)
{
	const json_t *health = json_object_get(order, "health");
	const json_t *factor = json_object_get(order, "latency_factor");

	set_text(order, "crash_on", &upstream->faults.crash_on);
	set_text(order, "watch", &upstream->faults.watch);
	if (json_is_string(health))
		g_strlcpy(upstream->faults.health, json_string_value(health),
		    sizeof(upstream->faults.health));
	if (json_is_number(factor))
		upstream->faults.latency_factor = json_number_value(factor);
}

static bool
restart(upstream_t *upstream, const char *incarnation)
{
	fake_server_stop(upstream->http);
	g_mutex_lock(&upstream->lock);
	g_free(upstream->incarnation);
	upstream->incarnation = g_strdup(incarnation);
	upstream->faults.draining = false;
	upstream->faults.freeze = false;
	strcpy(upstream->faults.health, "ok");
	g_mutex_unlock(&upstream->lock);
	return fake_server_start(upstream->http);
}

static bool
set_locked(upstream_t *upstream, const json_t *order)
{
	upstream_faults_t *faults = &upstream->faults;
	const char *lie = json_string_value(json_object_get(order, "lie"));
	bool draining = faults->draining;

	if (lie != NULL && !set_lie(upstream, lie))
		return false;
	fake_read_bool(order, "freeze", &faults->freeze);
	fake_read_bool(order, "shed", &faults->shed);
	fake_read_bool(order, "fail", &faults->fail);
	fake_read_bool(order, "ignore_cancel", &faults->ignore_cancel);
	fake_read_bool(order, "draining", &draining);
	fake_read_int(order, "drain_grace_ms", &faults->drain_grace_ms);
	fake_read_int(order, "load", &faults->load);
	fake_read_int(order, "pad_bytes", &faults->pad_bytes);
	fake_read_int(order, "connect_ms", &upstream->connect_ms);
	set_draining(upstream, draining);
	set_text_faults(upstream, order);
	set_lists(upstream, order, "versions");
	set_lists(upstream, order, "shards");
	return true;
}

bool
upstream_set_faults(upstream_t *upstream, const json_t *order)
{
	const char *incarnation =
	    json_string_value(json_object_get(order, "restart"));
	bool silence = false, lost = false, valid;

	if (incarnation != NULL && !restart(upstream, incarnation))
		return false;
	g_mutex_lock(&upstream->lock);
	valid = set_locked(upstream, order);
	g_mutex_unlock(&upstream->lock);
	fake_read_bool(order, "silence_connections", &silence);
	fake_read_bool(order, "lost", &lost);
	if (silence)
		fake_server_silence(upstream->http, NULL);
	if (lost)
		fake_server_stop(upstream->http);
	fake_server_wake_all(upstream->http);
	return valid;
}

static json_t *
print_executions(const upstream_record_t *record)
{
	json_t *executions = json_object();
	GHashTableIter iter;
	gpointer key, count;

	g_hash_table_iter_init(&iter, record->executions);
	while (g_hash_table_iter_next(&iter, &key, &count))
		json_object_set_new(
		    executions, key, json_integer((gintptr)count));
	return executions;
}

json_t *
upstream_print_record(upstream_t *upstream)
{
	const upstream_record_t *record = &upstream->record;
	fake_connection_counts_t counts;
	usec_t after = -1;
	json_t *result;

	fake_server_get_counts(upstream->http, &counts);
	g_mutex_lock(&upstream->lock);
	if (record->last_after_drain != 0)
		after =
		    (record->last_after_drain - record->drain_at) / USEC_PER_MS;
	result = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,"
			   "s:I,s:I,s:I,s:o}",
	    "max_running", record->max_running, "max_connections",
	    (json_int_t)counts.max_open, "connections_made",
	    (json_int_t)counts.made, "open_connections",
	    (json_int_t)counts.open, "connection_overruns",
	    (json_int_t)counts.refused, "requests", record->requests, "watched",
	    record->watched, "overruns", record->overruns, "late", record->late,
	    "expired", record->expired, "cancelled", record->cancelled,
	    "crashes", record->crashes, "shed", record->shed,
	    "refused_draining", record->refused_draining, "work_after_drain_ms",
	    (json_int_t)after, "executions", print_executions(record));
	g_mutex_unlock(&upstream->lock);
	return result;
}
