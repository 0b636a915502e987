#ifndef POOL_H
#define POOL_H

#include <ev.h>

#include "../http/http_connection.h"
#include "latency_model.h"
#include "route_table.h"
#include "upstream.h"

/**
 * DOC: Connections to upstream servers, and the attempts that use them
 *
 * The pool keeps a bounded number of connections to each server, starts
 * attempts on the server that placement chooses and reports how they end. It
 * knows nothing of routes and clients.
 */

typedef enum {
	ATTEMPT_ANSWERED, /* the server responded */
	ATTEMPT_NOT_RUN,  /* the server certainly did not and will not run it */
	ATTEMPT_UNKNOWN	  /* the server may have run it */
} attempt_outcome_t;

#define REQUEST_ID_MAX 64 /* bytes of an id, with the final NUL */

typedef struct pool pool_t;
typedef struct attempt attempt_t;

struct attempt {
	replica_t *replica;
	void *owner; /* NULL: the answer is no longer wanted */
	latency_model_t *latency;
	usec_t started_at;
	usec_t expires_at;  /* the server stops work here */
	bool arrived_maybe; /* a byte of the request has left */
	char request_id[REQUEST_ID_MAX];
	uint64_t fingerprint; /* of the request, the same for each try */
	uint64_t crash;	      /* names this try, if the server crashes */
	struct pool_connection *connection;
};

/** How the pool reads what concerns it in responses. */
typedef struct {
	const char *request_id; /* header that names the request */
	const char *not_run;	/* header: the server did not run it */
} pool_headers_t;

typedef struct {
	/** An attempt ended; @response is NULL unless the server responded. */
	void (*ended)(void *owner, attempt_t *attempt,
	    attempt_outcome_t outcome, const http_message_t *response);
	/** A server of the upstream may take another attempt. */
	void (*room)(void *context, upstream_t *upstream);
	/** A server crashed while it ran the request. */
	void (*crashed)(
	    void *context, const replica_t *replica, const lost_run_t *run);
	void *context;
} pool_handlers_t;

typedef struct {
	pool_headers_t headers;
	usec_t drain_limit; /* a leaving server gets no request after this */
	size_t max_response_bytes;
} pool_settings_t;

pool_t *pool_create(struct ev_loop *loop, const pool_settings_t *settings,
    const pool_handlers_t *handlers);
void pool_destroy(pool_t *pool);

/** pool_upstream() - The upstream of that name; created when missing. */
upstream_t *pool_upstream(pool_t *pool, const char *name);

/** pool_apply() - Takes connection limits from a new route table. */
void pool_apply(pool_t *pool, const route_table_t *table);

/**
 * pool_set_nodes() - The nodes that share each server.
 * @index: which of them this one is
 */
void pool_set_nodes(pool_t *pool, uint32_t nodes, uint32_t index);
uint32_t pool_nodes(const pool_t *pool);

/**
 * pool_registry_answered() - Whether the registry was reached. Entries that
 * lapsed while it was away come back soon after.
 */
void pool_registry_answered(pool_t *pool, bool answered, usec_t now);

/** pool_server_seen() - The registry has this entry. */
void pool_server_seen(pool_t *pool, const server_entry_t *entry, usec_t now);

/** pool_server_gone() - The registry no longer has the entry. */
void pool_server_gone(pool_t *pool, const char *id, usec_t now);

/** pool_servers_absent() - Entries not listed in @present are gone. */
void pool_servers_absent(pool_t *pool, GHashTable *present, usec_t now);

/**
 * pool_choose() - The server for the next attempt.
 * @tried: servers that this task has used, by id
 * @busy: set when servers are there but none takes an attempt now
 */
replica_t *pool_choose(pool_t *pool, upstream_t *upstream,
    const replica_t *const *tried, uint32_t tried_count, usec_t typical,
    usec_t now, bool *busy);

/** pool_has_server() - Whether an attempt can be sent now or a little later. */
bool pool_has_server(
    const pool_t *pool, const upstream_t *upstream, usec_t now);

/** typedef pool_request_t - What is sent. */
typedef struct {
	const buffer_t *head;
	slice_t body;
	slice_t request_id;
	bool head_only;
	usec_t expires_at;
	uint64_t fingerprint;
	uint64_t crash;
	latency_model_t *latency;
} pool_request_t;

/** pool_send() - Starts an attempt; NULL when no connection can be had. */
attempt_t *pool_send(pool_t *pool, replica_t *replica,
    const pool_request_t *request, void *owner, usec_t now);

/**
 * pool_attempt_abandon() - The answer is no longer wanted; the server may
 * finish.
 */
void pool_attempt_abandon(attempt_t *attempt);

/** pool_attempt_cancel() - Closes the connection, so that the server stops. */
void pool_attempt_cancel(pool_t *pool, attempt_t *attempt);

/** pool_visit_servers() - Calls @visit for each server. */
void pool_visit_servers(const pool_t *pool,
    void (*visit)(void *context, const replica_t *replica), void *context);

/** pool_server_count() - Servers that may be used. */
uint32_t pool_server_count(const pool_t *pool);

/** pool_recent() - Attempts answered and broken in the last second.
 */
void pool_recent(const pool_t *pool, uint32_t *answered, uint32_t *broken);

#endif
