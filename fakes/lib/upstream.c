/* Configuration, faults and counters of an upstream server. */
#include "upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const reply_fault_names[] = {
    [REPLY_CORRECT] = "none",
    [REPLY_WRONG_VERSION] = "version",
    [REPLY_WRONG_SHARD] = "shard",
    [REPLY_WRONG_REQUEST_ID] = "request",
    [REPLY_TRUNCATED] = "cut",
    [REPLY_REPEATED] = "repeat",
};

static void
init_state(upstream_t *upstream, int64_t seed)
{
	g_mutex_init(&upstream->lock);
	upstream->random = g_rand_new_with_seed((guint32)seed);
	upstream->runs = g_ptr_array_new();
	upstream->last_reply.body = g_string_new(NULL);
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
	fake_read_int(entry, "queue", &upstream->queue_limit);
	fake_read_int(entry, "connections", &upstream->connection_limit);
	fake_read_int(entry, "connect_ms", &upstream->connect_ms);
	fake_read_int(entry, "seed", &seed);
	read_latency(upstream, entry);
	upstream->indexes =
	    indexes != NULL ? json_deep_copy(indexes) : json_object();
	init_state(upstream, seed);
	upstream->http =
	    fake_server_create(listen, upstream_handle_request, upstream,
		UPSTREAM_MAX_BODY_BYTES, (uint32_t)upstream->connection_limit);
	return upstream;
}

static bool
set_reply_fault(upstream_t *upstream, const char *name)
{
	for (int i = REPLY_CORRECT; i <= REPLY_REPEATED; i++) {
		if (strcmp(reply_fault_names[i], name) == 0) {
			upstream->faults.reply_fault =
			    (upstream_reply_fault_t)i;
			return true;
		}
	}
	return false;
}

static void
set_draining(upstream_t *upstream, bool draining)
{
	if (draining && !upstream->faults.draining) {
		upstream->record.drain_started_at = clock_monotonic();
		upstream->record.last_drain_request_at = 0;
	}
	upstream->faults.draining = draining;
}

/* Replaces @field, "versions" or "shards", of each index named in @command. */
static void
set_index_lists(upstream_t *upstream, const json_t *command, const char *field)
{
	json_t *lists = json_object_get(command, field);
	const char *name;
	json_t *list;

	json_object_foreach (lists, name, list) {
		json_t *index = json_object_get(upstream->indexes, name);

		if (index != NULL)
			json_object_set(index, field, list);
	}
}

static void
replace_text(const json_t *command, const char *name, char **text)
{
	const json_t *value = json_object_get(command, name);

	if (value == NULL)
		return;
	g_free(*text);
	*text = g_strdup(json_string_value(value));
}

static void
set_other_faults(upstream_t *upstream, const json_t *command)
{
	const json_t *health = json_object_get(command, "health");
	const json_t *factor = json_object_get(command, "latency_factor");

	replace_text(command, "crash_on", &upstream->faults.crash_on);
	replace_text(command, "watch", &upstream->faults.watch);
	if (json_is_string(health))
		g_strlcpy(upstream->faults.health, json_string_value(health),
		    sizeof(upstream->faults.health));
	if (json_is_number(factor))
		upstream->faults.latency_factor = json_number_value(factor);
}

static bool
restart_server(upstream_t *upstream, const char *incarnation)
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

/* Called with the lock held. */
static bool
apply_faults(upstream_t *upstream, const json_t *command)
{
	upstream_faults_t *faults = &upstream->faults;
	const char *reply_fault =
	    json_string_value(json_object_get(command, "lie"));
	bool draining = faults->draining;

	if (reply_fault != NULL && !set_reply_fault(upstream, reply_fault))
		return false;
	fake_read_bool(command, "freeze", &faults->freeze);
	fake_read_bool(command, "shed", &faults->shed);
	fake_read_bool(command, "fail", &faults->fail);
	fake_read_bool(command, "ignore_cancel", &faults->ignore_cancel);
	fake_read_bool(command, "draining", &draining);
	fake_read_int(command, "drain_grace_ms", &faults->drain_grace_ms);
	fake_read_int(command, "load", &faults->load);
	fake_read_int(command, "pad_bytes", &faults->pad_bytes);
	fake_read_int(command, "connect_ms", &upstream->connect_ms);
	set_draining(upstream, draining);
	set_other_faults(upstream, command);
	set_index_lists(upstream, command, "versions");
	set_index_lists(upstream, command, "shards");
	return true;
}

bool
upstream_set_faults(upstream_t *upstream, const json_t *command)
{
	const char *incarnation =
	    json_string_value(json_object_get(command, "restart"));
	bool silence = false, lost = false, valid;

	if (incarnation != NULL && !restart_server(upstream, incarnation))
		return false;
	g_mutex_lock(&upstream->lock);
	valid = apply_faults(upstream, command);
	g_mutex_unlock(&upstream->lock);
	fake_read_bool(command, "silence_connections", &silence);
	fake_read_bool(command, "lost", &lost);
	if (silence)
		fake_server_silence(upstream->http, NULL);
	if (lost)
		fake_server_stop(upstream->http);
	fake_server_wake_all(upstream->http);
	return valid;
}

static json_t *
executions_to_json(const upstream_record_t *record)
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
upstream_record_to_json(upstream_t *upstream)
{
	const upstream_record_t *record = &upstream->record;
	fake_connection_counts_t counts;
	usec_t work_after_drain_ms = -1;
	json_t *result;

	fake_server_get_counts(upstream->http, &counts);
	g_mutex_lock(&upstream->lock);
	if (record->last_drain_request_at != 0)
		work_after_drain_ms =
		    (record->last_drain_request_at - record->drain_started_at) /
		    USEC_PER_MS;
	result = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,"
			   "s:I,s:I,s:I,s:o}",
	    "max_running", record->max_running, "max_connections",
	    (json_int_t)counts.max_open, "connections_made",
	    (json_int_t)counts.opened, "open_connections",
	    (json_int_t)counts.open, "connection_overruns",
	    (json_int_t)counts.refused, "requests", record->requests, "watched",
	    record->watched, "overruns", record->overruns, "late", record->late,
	    "expired", record->expired, "cancelled", record->cancelled,
	    "crashes", record->crashes, "shed", record->shed,
	    "refused_draining", record->refused_draining, "work_after_drain_ms",
	    (json_int_t)work_after_drain_ms, "executions",
	    executions_to_json(record));
	g_mutex_unlock(&upstream->lock);
	return result;
}
