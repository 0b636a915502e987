/* The servers of the pool as the registry lists them: new, changed, leaving and
 * removed ones. */
#include <string.h>

#include "bulrushwell/event.h"
#include "pool_private.h"

/*
 * How long the last report of a removed server is kept. A delayed report that
 * arrives later than this is taken for a new server.
 */
#define REMOVED_RECORD_TTL SECONDS(120)
/* Entries that expired during a registry outage reappear this soon after it. */
#define EXPIRED_ENTRY_GRACE MS(2600)
/* Attempts at once on a server, before there are samples. */
#define INITIAL_CONCURRENCY_LIMIT 4.0

/* A server may have begun to leave at any time before. */
#define LEAVING_SINCE_UNKNOWN 1

/*
 * Last report of a removed server, by which older reports are recognised, and
 * what it has said, which holds if its entry comes back.
 */
typedef struct {
	server_entry_t entry;
	bool said_leaving;
	usec_t removed_at;
} removed_server_t;

void
pool_server_destroy(upstream_server_t *server)
{
	g_ptr_array_free(server->connections, TRUE);
	g_free(server);
}

static void
remember_removed(pool_t *pool, const upstream_server_t *server)
{
	removed_server_t *removed = g_new0(removed_server_t, 1);

	removed->entry = server->entry;
	removed->said_leaving = server->said_leaving;
	removed->removed_at = pool_now(pool);
	g_hash_table_replace(pool->removed_servers, removed->entry.id, removed);
}

static gboolean
is_record_expired(void *key, void *value, void *context)
{
	const removed_server_t *removed = value;
	const pool_t *pool = context;

	return pool_now(pool) - removed->removed_at > REMOVED_RECORD_TTL;
}

static void
remove_server(pool_t *pool, upstream_server_t *server)
{
	remember_removed(pool, server);
	g_hash_table_remove(pool->servers, server->entry.id);
	g_ptr_array_remove_fast(server->upstream->servers, server);
	pool_assign_servers(pool, server->upstream);
	server->removed = true;
	pool_close_idle(server);
	if (server->connections->len == 0)
		pool_server_destroy(server);
	else
		g_ptr_array_add(pool->closing_servers, server);
}

void
pool_server_release(pool_t *pool, upstream_server_t *server)
{
	if (!server->removed || server->connections->len > 0)
		return;
	g_ptr_array_remove_fast(pool->closing_servers, server);
	pool_server_destroy(server);
}

/* Whether the entry now describes another process than before. */
static bool
is_different_process(const server_entry_t *old, const server_entry_t *new)
{
	return old->incarnation != new->incarnation ||
	    strcmp(old->service, new->service) != 0 ||
	    old->address.sin_addr.s_addr != new->address.sin_addr.s_addr ||
	    old->address.sin_port != new->address.sin_port;
}

/* Whether the process, whose entry is back, has said that it leaves. */
static bool
has_said_leaving(const pool_t *pool, const server_entry_t *entry)
{
	const removed_server_t *removed =
	    g_hash_table_lookup(pool->removed_servers, entry->id);

	return removed != NULL && removed->said_leaving &&
	    !is_different_process(&removed->entry, entry);
}

static void
add_server(pool_t *pool, const server_entry_t *entry, usec_t now)
{
	upstream_server_t *server = g_new0(upstream_server_t, 1);

	server->upstream = pool_get_upstream(pool, entry->service);
	server->entry = *entry;
	server->evacuated =
	    g_hash_table_contains(pool->evacuated, entry->data_centre);
	/* The requests to it before it was removed are not known any more. */
	if (g_hash_table_contains(pool->removed_servers, entry->id))
		server->cold_start_at = now + COLD_LIMIT_SPAN;
	server->said_leaving = has_said_leaving(pool, entry);
	/* Its entry may have lapsed while it was already leaving. */
	if (entry->draining || server->said_leaving)
		server->leaving_since = LEAVING_SINCE_UNKNOWN;
	server->connections = g_ptr_array_new();
	server_health_init(&server->health, INITIAL_CONCURRENCY_LIMIT, now);
	g_ptr_array_add(server->upstream->servers, server);
	g_hash_table_insert(pool->servers, server->entry.id, server);
	pool_assign_servers(pool, server->upstream);
	event_log(EVENT_SERVER_FOUND, "server=%s upstream=%s state=%s",
	    entry->id, entry->service, entry->draining ? "draining" : "ready");
}

/* Whether @new was sent before @old: reports may arrive out of order. */
static bool
is_stale_report(const server_entry_t *old, const server_entry_t *new)
{
	if (new->incarnation != old->incarnation)
		return new->incarnation < old->incarnation;
	return new->sequence < old->sequence;
}

/*
 * A leaving server may be used for a limited time only, so its leave is dated
 * back to when the registry was last known not to list it.
 */
static void
set_leaving(
    const pool_t *pool, upstream_server_t *server, bool leaving, usec_t now)
{
	if (!leaving) {
		server->leaving_since = 0;
	} else if (server->leaving_since == 0) {
		server->leaving_since =
		    MAX(pool->registry_current_at, LEAVING_SINCE_UNKNOWN);
		server->leaving_learned_at = now;
		event_log(EVENT_SERVER_LEAVING,
		    "server=%s upstream=%s age_ms=%lld said_so=%d",
		    server->entry.id, server->upstream->name,
		    (long long)((now - server->leaving_since) / USEC_PER_MS),
		    server->said_leaving);
	}
}

/* Whether a newer report of the server is known, even if it was removed. */
static bool
is_superseded(const pool_t *pool, const upstream_server_t *server,
    const server_entry_t *entry)
{
	const removed_server_t *removed =
	    g_hash_table_lookup(pool->removed_servers, entry->id);

	if (server != NULL)
		return is_stale_report(&server->entry, entry);
	return removed != NULL && is_stale_report(&removed->entry, entry);
}

void
pool_update_server(pool_t *pool, const server_entry_t *entry, usec_t now)
{
	upstream_server_t *server =
	    g_hash_table_lookup(pool->servers, entry->id);
	bool is_news;

	if (is_superseded(pool, server, entry))
		return;
	if (server != NULL && is_different_process(&server->entry, entry)) {
		remove_server(pool, server);
		server = NULL;
	}
	is_news = server == NULL ||
	    entry->incarnation != server->entry.incarnation ||
	    entry->sequence != server->entry.sequence;
	if (server == NULL) {
		add_server(pool, entry, now);
		server = g_hash_table_lookup(pool->servers, entry->id);
	}
	server->entry = *entry;
	pool_update_evacuated(pool, server);
	/* A report that is read again is older by then. */
	if (is_news)
		pool_cold_entry(pool, server, now);
	server->reported_at = now;
	server->registered = true;
	server->warm_up_until = now + entry->warm_up_left;
	set_leaving(pool, server, entry->draining || server->said_leaving, now);
	pool->handlers.capacity_available(
	    pool->handlers.context, server->upstream);
}

bool
pool_server_said_leaving(
    const pool_t *pool, upstream_server_t *server, usec_t now)
{
	bool is_news = server->leaving_since == 0;

	server->said_leaving = true;
	set_leaving(pool, server, true, now);
	return is_news;
}

void
pool_server_back_off(upstream_server_t *server, usec_t backoff, usec_t now)
{
	if (now + backoff <= server->backoff_until)
		return;
	server->backoff_until = now + backoff;
	event_log_sampled(EVENT_SERVER_BACKOFF, "server=%s upstream=%s ms=%lld",
	    server->entry.id, server->upstream->name,
	    (long long)(backoff / USEC_PER_MS));
}

void
pool_server_leaving(
    pool_t *pool, const char *id, int64_t incarnation, usec_t now)
{
	upstream_server_t *server = g_hash_table_lookup(pool->servers, id);

	if (server != NULL && server->entry.incarnation == incarnation)
		pool_server_said_leaving(pool, server, now);
}

static void
mark_deregistered(const pool_t *pool, upstream_server_t *server, usec_t now)
{
	server->registered = false;
	set_leaving(pool, server, true, now);
}

void
pool_server_deregistered(pool_t *pool, const char *id, usec_t now)
{
	upstream_server_t *server = g_hash_table_lookup(pool->servers, id);

	if (server != NULL)
		mark_deregistered(pool, server, now);
}

void
pool_reconcile_servers(pool_t *pool, GHashTable *present, usec_t now)
{
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, pool->servers);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (!g_hash_table_contains(present, key))
			mark_deregistered(pool, value, now);
}

/*
 * Whether the entry may have expired because of a registry outage: the server
 * had not announced that it leaves, it was found missing since the outage
 * began, and its end is so recent that the entry may still come back.
 */
static bool
may_reappear(const pool_t *pool, const upstream_server_t *server, usec_t now)
{
	usec_t learned_at = server->leaving_learned_at;
	usec_t ended_at = pool->registry_back_at != 0
	    ? MIN(pool->registry_back_at, learned_at)
	    : learned_at;

	return !server->registered && !server->entry.draining &&
	    !server->said_leaving && pool->registry_lost_at != 0 &&
	    learned_at >= pool->registry_lost_at &&
	    now - ended_at < EXPIRED_ENTRY_GRACE;
}

/*
 * Whether a leaving server gets no more attempts. An entry that expired around
 * a registry outage may come back, so its server is used somewhat longer.
 */
bool
pool_is_drained(const pool_t *pool, const upstream_server_t *server, usec_t now)
{
	return server->leaving_since != 0 && !may_reappear(pool, server, now) &&
	    now - server->leaving_since >= pool->settings.drain_limit;
}

void
pool_remove_drained(pool_t *pool, usec_t now)
{
	GHashTableIter iter;
	void *value;
	GPtrArray *drained = g_ptr_array_new();

	g_hash_table_iter_init(&iter, pool->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		upstream_server_t *server = value;

		if (!server->registered && pool_is_drained(pool, server, now))
			g_ptr_array_add(drained, server);
	}
	for (guint i = 0; i < drained->len; i++)
		remove_server(pool, drained->pdata[i]);
	g_ptr_array_free(drained, TRUE);
	g_hash_table_foreach_remove(
	    pool->removed_servers, is_record_expired, pool);
}
