/* Evacuated data centres: their servers get no new attempts. */
#include <string.h>

#include "bulrushwell/event.h"
#include "pool_private.h"

/* The name of a data centre as the entries of its servers have it. */
static char *
cut_name(const char *name)
{
	return g_strndup(name, DATA_CENTRE_MAX - 1);
}

bool
pool_is_evacuated(const pool_t *pool, const upstream_server_t *server)
{
	return pool->awaits_evacuations || server->evacuated;
}

static void
stop_sending(upstream_server_t *server)
{
	pool_withdraw_unsent(server);
	pool_close_idle(server);
}

void
pool_update_evacuated(pool_t *pool, upstream_server_t *server)
{
	bool evacuated =
	    g_hash_table_contains(pool->evacuated, server->entry.data_centre);

	if (server->evacuated == evacuated)
		return;
	server->evacuated = evacuated;
	pool_assign_servers(pool, server->upstream);
	if (evacuated)
		stop_sending(server);
}

/* Return: the servers of a data centre, to be freed with g_ptr_array_free(). */
static GPtrArray *
find_servers(const pool_t *pool, const char *data_centre)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const upstream_server_t *server = value;

		if (strcmp(server->entry.data_centre, data_centre) == 0)
			g_ptr_array_add(found, value);
	}
	return found;
}

/* Return: the upstreams of the servers, each once, to be freed with
 * g_ptr_array_free(). */
static GPtrArray *
find_upstreams(const GPtrArray *servers)
{
	GPtrArray *found = g_ptr_array_new();

	for (guint i = 0; i < servers->len; i++) {
		const upstream_server_t *server = servers->pdata[i];

		if (!g_ptr_array_find(found, server->upstream, NULL))
			g_ptr_array_add(found, server->upstream);
	}
	return found;
}

static void
set_evacuated(const GPtrArray *servers, bool evacuated)
{
	for (guint i = 0; i < servers->len; i++) {
		upstream_server_t *server = servers->pdata[i];

		server->evacuated = evacuated;
	}
}

static void
assign_all(pool_t *pool, const GPtrArray *upstreams)
{
	for (guint i = 0; i < upstreams->len; i++)
		pool_assign_servers(pool, upstreams->pdata[i]);
}

static void
stop_sending_all(const GPtrArray *servers)
{
	for (guint i = 0; i < servers->len; i++)
		stop_sending(servers->pdata[i]);
}

/* Waiting tasks are sent elsewhere, or refused if no server is left. */
static void
report_capacity(pool_t *pool, const GPtrArray *upstreams)
{
	for (guint i = 0; i < upstreams->len; i++)
		pool->handlers.capacity_available(
		    pool->handlers.context, upstreams->pdata[i]);
}

static void
log_without_server(const GPtrArray *upstreams)
{
	for (guint i = 0; i < upstreams->len; i++) {
		const upstream_t *upstream = upstreams->pdata[i];

		if (upstream->routed && upstream->in_use_count == 0)
			event_log_sampled(EVENT_EVACUATION_WITHOUT_SERVER,
			    "upstream=%s servers=%u", upstream->name,
			    upstream->servers->len);
	}
}

/* All servers are marked before an attempt is withdrawn, which may be repeated
 * on another server at once. */
void
pool_evacuate(pool_t *pool, const char *data_centre)
{
	char *name = cut_name(data_centre);
	GPtrArray *servers, *upstreams;

	if (!g_hash_table_add(pool->evacuated, g_strdup(name))) {
		g_free(name);
		return;
	}
	servers = find_servers(pool, name);
	upstreams = find_upstreams(servers);
	set_evacuated(servers, true);
	assign_all(pool, upstreams);
	event_log_sampled(EVENT_EVACUATION_BEGAN, "data_centre=%s servers=%u",
	    name, servers->len);
	log_without_server(upstreams);
	stop_sending_all(servers);
	report_capacity(pool, upstreams);
	g_ptr_array_free(upstreams, TRUE);
	g_ptr_array_free(servers, TRUE);
	g_free(name);
}

/* It may have become cold shortly before the evacuation was revoked. */
static void
mark_restored(pool_t *pool, upstream_server_t *server, usec_t now)
{
	server->restored_at = now;
	pool_server_restored(pool, server->entry.id, now);
}

static void
restore(pool_t *pool, const char *name, usec_t now)
{
	GPtrArray *servers = find_servers(pool, name);
	GPtrArray *upstreams = find_upstreams(servers);

	set_evacuated(servers, false);
	for (guint i = 0; i < servers->len; i++)
		mark_restored(pool, servers->pdata[i], now);
	assign_all(pool, upstreams);
	event_log_sampled(EVENT_EVACUATION_ENDED, "data_centre=%s servers=%u",
	    name, servers->len);
	report_capacity(pool, upstreams);
	g_ptr_array_free(upstreams, TRUE);
	g_ptr_array_free(servers, TRUE);
}

void
pool_restore(pool_t *pool, const char *data_centre, usec_t now)
{
	char *name = cut_name(data_centre);

	if (g_hash_table_remove(pool->evacuated, name))
		restore(pool, name, now);
	g_free(name);
}

static GHashTable *
cut_names(GHashTable *names)
{
	GHashTable *cut =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, names);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_hash_table_add(cut, cut_name(key));
	return cut;
}

void
pool_reconcile_evacuations(pool_t *pool, GHashTable *present, usec_t now)
{
	GHashTable *cut = cut_names(present);
	GList *names = g_hash_table_get_keys(pool->evacuated);

	pool->awaits_evacuations = false;
	for (GList *at = names; at != NULL; at = at->next)
		if (!g_hash_table_contains(cut, at->data))
			pool_restore(pool, at->data, now);
	g_list_free(names);
	g_hash_table_destroy(cut);
}

bool
pool_awaits_evacuations(const pool_t *pool)
{
	return pool->awaits_evacuations;
}

void
pool_visit_evacuated(const pool_t *pool,
    void (*visit)(void *context, const char *data_centre), void *context)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, pool->evacuated);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		visit(context, key);
}

uint32_t
pool_evacuated_count(const pool_t *pool)
{
	return g_hash_table_size(pool->evacuated);
}

uint32_t
pool_evacuated_servers(const pool_t *pool)
{
	uint32_t count = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const upstream_server_t *)value)->evacuated;
	return count;
}
