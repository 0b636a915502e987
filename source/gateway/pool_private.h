#ifndef POOL_PRIVATE_H
#define POOL_PRIVATE_H

#include "pool.h"

/** DOC: Shared by the files of the pool: registry, connections and sweep */

#define PLACEMENT_MAX_VIEWS 64 /* servers weighed for one attempt */

typedef struct pool_connection {
	pool_t *pool;
	replica_t *replica;
	http_connection_t *http;
	attempt_t *attempt; /* NULL: idle or connecting ahead of use */
	usec_t created_at;
	usec_t idle_since;
	usec_t idle_limit; /* the server closes it after this */
	bool held; /* a callback works on it: neither reused nor freed */
} pool_connection_t;

struct pool {
	struct ev_loop *loop;
	pool_settings_t settings;
	pool_handlers_t handlers;
	uint32_t nodes;
	uint32_t node_index;
	usec_t registry_lost_at; /* last time that it did not answer */
	uint32_t opened;	 /* spare connections of this sweep */
	GHashTable *upstreams;	 /* by name */
	GHashTable *replicas;	 /* by server id */
	GHashTable *departed;	 /* departed_t of removed servers, by id */
	ev_timer sweep;
	uint32_t answered[2]; /* this half second and the one before */
	uint32_t broken[2];
	usec_t recent_since;
};

/** pool_connection_limit() - Connections to a server that are this node's. */
uint32_t pool_connection_limit(const pool_t *pool, const upstream_t *upstream);

/** pool_connections_scarce() - Whether a node has less than one connection to
 * each server of the upstream. */
bool pool_connections_scarce(const pool_t *pool, const upstream_t *upstream);

/** pool_assign() - Marks the servers of an upstream that this node uses. */
void pool_assign(pool_t *pool, upstream_t *upstream);

/** pool_connection_open() - A new connection, or NULL. */
pool_connection_t *pool_connection_open(
    pool_t *pool, replica_t *replica, usec_t now);

/** pool_connection_idle() - Whether it may carry a request. */
bool pool_connection_idle(const pool_connection_t *connection);

/**
 * pool_connection_drop() - Closes and frees it; its attempt is forgotten
 * without a report.
 */
void pool_connection_drop(pool_connection_t *connection);

/** pool_connection_fail() - Ends it and reports its attempt as broken. */
void pool_connection_fail(pool_connection_t *connection, bool refused);

void pool_close_idle(replica_t *replica);

/** pool_replica_release() - Frees a removed server without connections. */
void pool_replica_release(replica_t *replica);

/** pool_remove_left() - Forgets servers whose entry is gone for long. */
void pool_remove_left(pool_t *pool, usec_t now);

void pool_sweep_start(pool_t *pool);
void pool_sweep_stop(pool_t *pool);

/** pool_now() - The time of the event loop's iteration. */
usec_t pool_now(const pool_t *pool);

#endif
