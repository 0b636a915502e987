#ifndef POOL_PRIVATE_H
#define POOL_PRIVATE_H

#include "pool.h"

/** DOC: Internals of the pool, shared by pool.c and pool_connection.c */

#define PLACEMENT_MAX_CANDIDATES 64 /* servers compared for one attempt */

typedef struct pool_connection {
	pool_t *pool;
	upstream_server_t *server;
	http_connection_t *http;
	attempt_t *attempt; /* NULL: idle, or opened ahead of use */
	usec_t created_at;
	usec_t idle_since;
	usec_t idle_limit; /* idle time after which it is closed */
	bool in_callback;  /* a handler is running: neither reuse nor free it */
} pool_connection_t;

struct pool {
	struct ev_loop *loop;
	pool_settings_t settings;
	pool_handlers_t handlers;
	uint32_t node_count;
	uint32_t node_index;
	uint32_t groups; /* of shards */
	uint32_t own_group;
	/* The last outage of the registry: from its first failed call until the
	 * first answered one. 0: there was none, or it has not ended. */
	usec_t registry_lost_at;
	usec_t registry_back_at;
	/* Until then this node knew of all changes in the registry. 0: it has
	 * not read the registry yet. */
	usec_t registry_current_at;
	usec_t active_at; /* when it was last seen that this process runs */
	usec_t woke_at;	  /* after its last pause; 0: there was none */
	cold_term_t cold_term;	/* when this node may send to cold servers */
	bool was_cold_sender;	/* at the last check, for the log */
	uint64_t cold_attempts; /* sent to cold servers */
	uint32_t spare_opened;	/* spare connections opened by this sweep */
	GHashTable *upstreams;	/* by name */
	GHashTable *servers;	/* by server id */
	GHashTable *removed_servers; /* removed_server_t by server id */
	GPtrArray *closing_servers;  /* removed ones with connections */
	GHashTable *evacuated;	     /* set of the names of data centres */
	bool awaits_evacuations;     /* they were not listed yet */
	ev_timer sweep;
	uint32_t answered[2]; /* this interval and the last one */
	uint32_t connection_failures[2];
	usec_t interval_started_at;
	pool_report_counts_t report_counts;
};

/** pool_connection_limit() - Connections to a server that this node may have.
 */
uint32_t pool_connection_limit(const pool_t *pool, const upstream_t *upstream);

/** pool_connections_scarce() - Whether a node has less than one connection to
 * each server of the upstream. */
bool pool_connections_scarce(const pool_t *pool, const upstream_t *upstream);

/** pool_keeps_connected() - Whether a connection to the server is kept ready.
 */
bool pool_keeps_connected(const pool_t *pool, const upstream_server_t *server);

/** pool_assign_servers() - Selects the servers that a node uses by default. */
void pool_assign_servers(pool_t *pool, upstream_t *upstream);

/** pool_connection_open() - Opens a connection; NULL if that fails at once. */
pool_connection_t *pool_connection_open(
    pool_t *pool, upstream_server_t *server, usec_t now);

/** pool_connection_idle() - Whether it can take a request now. */
bool pool_connection_idle(const pool_connection_t *connection);

/**
 * pool_connection_drop() - Closes and frees a connection; its attempt ends
 * without a report.
 */
void pool_connection_drop(pool_connection_t *connection);

/**
 * pool_connection_fail() - Frees a failed connection and reports its attempt as
 * not run or unknown.
 * @unreachable: the server refused the connection or did not respond in time
 */
void pool_connection_fail(pool_connection_t *connection, bool unreachable);

/** pool_close_idle() - Closes the unused connections to a server. */
void pool_close_idle(upstream_server_t *server);

/**
 * pool_withdraw_unsent() - Ends the attempts on a server of which nothing was
 * sent yet as not run, and closes their connections.
 */
void pool_withdraw_unsent(upstream_server_t *server);

/** pool_is_evacuated() - Whether the server gets no attempts because its data
 * centre is evacuated, or may be. */
bool pool_is_evacuated(const pool_t *pool, const upstream_server_t *server);

/** pool_update_evacuated() - Sets whether the data centre of a new or changed
 * server is evacuated. */
void pool_update_evacuated(pool_t *pool, upstream_server_t *server);

/** pool_server_destroy() - Frees a server without connections. */
void pool_server_destroy(upstream_server_t *server);

/** pool_is_drained() - Whether a leaving server gets no more attempts. */
bool pool_is_drained(
    const pool_t *pool, const upstream_server_t *server, usec_t now);

/** pool_server_release() - Frees a removed server that has no connections. */
void pool_server_release(pool_t *pool, upstream_server_t *server);

/** pool_server_said_leaving() - The server, or a node that was told by it, says
 * that it leaves. Returns whether this node did not know. */
bool pool_server_said_leaving(
    const pool_t *pool, upstream_server_t *server, usec_t now);

/** pool_server_back_off() - The server wants no requests from this node for a
 * time. */
void pool_server_back_off(
    upstream_server_t *server, usec_t backoff, usec_t now);

/** pool_remove_drained() - Removes deregistered servers past the drain limit,
 * and expired records of removed servers. */
void pool_remove_drained(pool_t *pool, usec_t now);

/** pool_is_in_use() - Whether it may get attempts, unless it asked for a
 * backoff or is cold. */
bool pool_is_in_use(
    const pool_t *pool, const upstream_server_t *server, usec_t now);

/** pool_cold_configure() - Takes the limits of cold servers from a service of a
 * new table; NULL: it has none. */
void pool_cold_configure(
    const pool_t *pool, upstream_t *upstream, const service_spec_t *spec);

/** pool_cold_entry() - A newer entry of the server was read. */
void pool_cold_entry(const pool_t *pool, upstream_server_t *server, usec_t now);

/**
 * pool_cold_said() - A response of the server was received.
 * @left: how long it says that it stays cold; 0: it does not say so
 * @sent_at: when its request was sent
 */
void pool_cold_said(const pool_t *pool, upstream_server_t *server, usec_t left,
    usec_t sent_at, usec_t now);

/** pool_cold_connected() - A connection was established. If some were refused
 * before, another process listens there, which may be cold. */
void pool_cold_connected(upstream_server_t *server, usec_t now);

/** pool_cold_permits() - Whether the server is warm, or this node may send it a
 * request now. */
bool pool_cold_permits(pool_t *pool, upstream_server_t *server, usec_t now);

/** pool_cold_is_probed() - Whether the server may have become cold while this
 * process was suspended, and has just been sent a request that will tell. */
bool pool_cold_is_probed(
    pool_t *pool, const upstream_server_t *server, usec_t now);

/** pool_cold_started() - Counts an attempt that is about to be sent. */
void pool_cold_started(pool_t *pool, attempt_t *attempt, usec_t now);

/** pool_cold_ended() - Counts the end of an attempt, before it is freed;
 * @arrived is false if it did not reach the server or does not count. */
void pool_cold_ended(attempt_t *attempt, bool arrived);

/** pool_cold_notice_pause() - Must be called several times a second, to notice
 * that the process was suspended. */
void pool_cold_notice_pause(pool_t *pool, usec_t now);

/** pool_cold_check_sender() - Logs when this node becomes a sender or ceases to
 * be one. */
void pool_cold_check_sender(pool_t *pool, usec_t now);

/** pool_sweep_start() - Starts the periodic check of all connections. */
void pool_sweep_start(pool_t *pool);
void pool_sweep_stop(pool_t *pool);

/** pool_now() - Monotonic time of the event loop's current iteration. */
usec_t pool_now(const pool_t *pool);

#endif
