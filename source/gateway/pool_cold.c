/* Cold servers of the pool: which they are, and what this node may send them.
 */
#include "bulrushwell/event.h"
#include "pool_private.h"

/*
 * A process that did not run for longer may have missed that servers have
 * restarted. It sends one request a second to each until it has an answer.
 */
#define PAUSE_MIN SECONDS(1)
/* What is read sooner after the pause was received in it. */
#define WAKE_TIME MS(200)

static usec_t
cold_until(const upstream_server_t *server)
{
	usec_t stated = MAX(server->entry_cold_until, server->said_cold_until);

	return MAX(stated, server->assumed_cold_until);
}

usec_t
pool_cold_left(const upstream_server_t *server, usec_t now)
{
	if (server->upstream->warm_up_rate <= 0.0)
		return 0;
	return MAX(cold_until(server) - now, 0);
}

static bool
is_cold(const upstream_server_t *server, usec_t now)
{
	return pool_cold_left(server, now) > 0;
}

void
pool_cold_configure(
    const pool_t *pool, upstream_t *upstream, const service_spec_t *spec)
{
	const cold_bound_t *bound = &pool->settings.cold_bound;

	upstream->warm_up_rate = 0.0;
	if (spec == NULL || !bound->given)
		return;
	upstream->warm_up_rate = spec->warm_up_rate;
	upstream->warm_up_time = spec->warm_up_time;
	upstream->cold_share =
	    cold_limit_share(bound, spec->warm_up_rate, COLD_SENDERS);
}

/* Logs when a server that was warm at the last news of it is cold. */
static void
record_news(upstream_server_t *server, const char *source, usec_t now)
{
	bool was_cold = server->was_cold;

	server->was_cold = is_cold(server, now);
	if (server->was_cold && !was_cold)
		event_log_sampled(EVENT_SERVER_COLD,
		    "server=%s upstream=%s ms=%lld source=%s", server->entry.id,
		    server->upstream->name,
		    (long long)(pool_cold_left(server, now) / USEC_PER_MS),
		    source);
}

void
pool_cold_entry(const pool_t *pool, upstream_server_t *server, usec_t now)
{
	server->entry_cold_until = now + server->entry.warm_up_left;
	server->assumed_cold_until = 0;
	if (now >= pool->woke_at + WAKE_TIME)
		server->sure_at = now;
	record_news(server, "entry", now);
}

void
pool_cold_said(const pool_t *pool, upstream_server_t *server, usec_t left,
    usec_t sent_at, usec_t now)
{
	if (sent_at >= pool->woke_at)
		server->sure_at = now;
	server->said_cold_until = MAX(server->said_cold_until, now + left);
	record_news(server, "response", now);
}

static void
assume_cold(upstream_server_t *server, const char *source, usec_t now)
{
	server->assumed_cold_until = now + server->upstream->warm_up_time;
	record_news(server, source, now);
}

void
pool_server_restored(pool_t *pool, const char *id, usec_t now)
{
	upstream_server_t *server = g_hash_table_lookup(pool->servers, id);

	if (server != NULL)
		assume_cold(server, "restored", now);
}

void
pool_cold_connected(upstream_server_t *server, usec_t now)
{
	if (server->refused)
		assume_cold(server, "restarted", now);
	server->refused = false;
}

void
pool_set_cold_term(pool_t *pool, const cold_term_t *term)
{
	pool->cold_term = *term;
}

static bool
is_term(const pool_t *pool, usec_t now)
{
	return now >= pool->cold_term.from && now < pool->cold_term.until;
}

/* Whether this node is one of the senders of the server's data centre. */
static bool
is_sender(const pool_t *pool, const upstream_server_t *server, usec_t now)
{
	return server->entry.same_data_centre && is_term(pool, now) &&
	    now >= server->cold_start_at;
}

void
pool_cold_notice_pause(pool_t *pool, usec_t now)
{
	if (pool->active_at != 0 && now - pool->active_at > PAUSE_MIN)
		pool->woke_at = now;
	pool->active_at = now;
}

bool
pool_cold_is_probed(pool_t *pool, const upstream_server_t *server, usec_t now)
{
	pool_cold_notice_pause(pool, now);
	return server->upstream->warm_up_rate > 0.0 &&
	    server->sure_at < pool->woke_at &&
	    now < server->probed_at + COLD_LIMIT_SPAN;
}

bool
pool_cold_permits(pool_t *pool, upstream_server_t *server, usec_t now)
{
	if (!is_cold(server, now))
		return true;
	return is_sender(pool, server, now) &&
	    cold_limit_count(&server->cold_limit, now) <
	    server->upstream->cold_share;
}

usec_t
pool_cold_wait(pool_t *pool, const upstream_t *upstream, usec_t now)
{
	usec_t shortest = 0;

	for (guint i = 0; i < upstream->servers->len; i++) {
		upstream_server_t *server = upstream->servers->pdata[i];
		usec_t wait = pool_cold_left(server, now);

		if (!pool_is_in_use(pool, server, now) ||
		    pool_cold_permits(pool, server, now))
			continue;
		if (is_sender(pool, server, now))
			wait = MIN(wait,
			    cold_limit_wait(&server->cold_limit,
				upstream->cold_share, now));
		shortest = shortest == 0 ? wait : MIN(shortest, wait);
	}
	return shortest;
}

/*
 * Requests to warm servers count too, as a server may turn cold at any time.
 * What a cold server's kernel has not received is lost with the connection, or
 * with this process, rather than arriving later.
 */
void
pool_cold_started(pool_t *pool, attempt_t *attempt, usec_t now)
{
	upstream_server_t *server = attempt->server;

	if (server->upstream->warm_up_rate <= 0.0)
		return;
	attempt->counts_as_cold = true;
	cold_limit_started(&server->cold_limit);
	server->probed_at = now;
	if (!is_cold(server, now))
		return;
	pool->cold_attempts++;
	http_connection_discard_unsent(attempt->connection->http);
}

void
pool_cold_ended(attempt_t *attempt, bool arrived)
{
	cold_limit_t *limit = &attempt->server->cold_limit;

	if (!attempt->counts_as_cold)
		return;
	attempt->counts_as_cold = false;
	/* The time of the loop's iteration may be earlier than the arrival. */
	if (arrived)
		cold_limit_ended(limit, clock_monotonic());
	else
		cold_limit_undone(limit);
}

pool_cold_stats_t
pool_cold_stats(const pool_t *pool, usec_t now)
{
	pool_cold_stats_t stats = {
	    .is_sender = is_term(pool, now),
	    .attempts = pool->cold_attempts,
	};
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		stats.servers += is_cold(value, now);
	return stats;
}

void
pool_cold_check_sender(pool_t *pool, usec_t now)
{
	bool sends = is_term(pool, now);

	if (sends == pool->was_cold_sender)
		return;
	pool->was_cold_sender = sends;
	event_log_sampled(EVENT_COLD_SENDER, "sender=%d", sends);
}
