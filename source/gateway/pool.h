#ifndef POOL_H
#define POOL_H

#include <ev.h>

#include "../http/http_connection.h"
#include "cold_limit.h"
#include "cold_senders.h"
#include "latency_model.h"
#include "route_table.h"
#include "upstream.h"

/**
 * DOC: Connections to upstream servers, and the attempts that use them
 *
 * The pool keeps a bounded number of connections to each server, starts
 * attempts on the server that placement_choose() selects and reports their
 * outcome. It does not depend on how requests are routed or who sent them.
 * All functions must be called from the thread of the event loop.
 */

typedef enum {
	ATTEMPT_ANSWERED, /* the server responded */
	ATTEMPT_NOT_RUN,  /* the server did not run it and will not */
	ATTEMPT_UNKNOWN	  /* the server may have run it */
} attempt_outcome_t;

#define REQUEST_ID_MAX 64 /* bytes, including the final NUL */

typedef struct pool pool_t;
typedef struct attempt attempt_t;

/**
 * struct attempt - One request that was sent to one server. The pool owns it
 * and frees it after it has ended.
 */
struct attempt {
	upstream_server_t *server;
	void *owner; /* NULL: the outcome is not reported */
	latency_model_t *latency;
	usec_t started_at;
	usec_t expires_at;     /* deadline that the server was given */
	bool may_have_arrived; /* at least a byte of it was sent */
	bool accepted; /* at its end: the server sent an interim response */
	char request_id[REQUEST_ID_MAX];
	uint64_t fingerprint;  /* of the request, same in each attempt */
	suspect_crash_t crash; /* that it may cause */
	struct pool_connection *connection;
	bool counts_as_cold; /* in the cold_limit of the server */
};

/** Names of the response headers that the pool reads. */
typedef struct {
	const char *request_id; /* id of the request that is answered */
	const char *not_run; /* present: the server did not run the request */
	/* See server_notice_read(). NULL: servers say nothing of themselves. */
	const char *leaving;
	const char *load; /* see load_report.h; NULL: servers report nothing */
	/* How long the server stays cold, in ms. NULL: they don't say. */
	const char *warm_up_left;
} pool_headers_t;

/** Called from the event loop; @owner is the one given to pool_start_attempt().
 */
typedef struct {
	/**
	 * An attempt ended; @response is NULL unless the server responded. Both
	 * are valid only during the call.
	 */
	void (*attempt_ended)(void *owner, attempt_t *attempt,
	    attempt_outcome_t outcome, const http_message_t *response);
	/** The server has sent an interim response; may be NULL. */
	void (*attempt_interim)(void *owner, const http_message_t *response);
	/** A server of the upstream may take another attempt. */
	void (*capacity_available)(void *context, upstream_t *upstream);
	/** A server crashed while it was running the request. */
	void (*server_crashed)(void *context, const upstream_server_t *server,
	    const interrupted_request_t *interrupted);
	/** A server has said that it leaves, which this node did not know; may
	 * be NULL. */
	void (*server_leaving)(void *context, const upstream_server_t *server);
	void *context;
} pool_handlers_t;

typedef struct {
	pool_headers_t headers;
	usec_t drain_limit; /* a leaving server gets no attempts after this */
	cold_bound_t cold_bound;
	size_t max_response_bytes;
	/*
	 * Servers of an upstream that are kept connected, and used in the order
	 * of their ranks. 0: as many as the connections suffice for, and all
	 * alike.
	 */
	uint32_t connected_ranks;
	/*
	 * No server is used before pool_reconcile_evacuations() has been called
	 * for the first time.
	 */
	bool awaits_evacuations;
} pool_settings_t;

/** pool_create() - A pool without servers; copies the settings. */
pool_t *pool_create(struct ev_loop *loop, const pool_settings_t *settings,
    const pool_handlers_t *handlers);

/** pool_destroy() - Closes all connections; attempts end without a report. */
void pool_destroy(pool_t *pool);

/** pool_get_upstream() - Finds the upstream of that name, or creates it. */
upstream_t *pool_get_upstream(pool_t *pool, const char *name);

/** pool_apply_route_table() - Takes limits and routed upstreams from a new
 * table. */
void pool_apply_route_table(pool_t *pool, const route_table_t *table);

/**
 * pool_set_nodes() - Sets how many gateway nodes share each server.
 * @nodes: number of nodes, this one included
 * @index: position of this node among them, from 0
 */
void pool_set_nodes(pool_t *pool, uint32_t nodes, uint32_t index);

/** pool_node_count() - Number of gateway nodes. */
uint32_t pool_node_count(const pool_t *pool);

/**
 * pool_set_groups() - Sets which upstreams that are shards this node serves,
 * see shard_groups.h. To the others it keeps no connections.
 */
void pool_set_groups(pool_t *pool, uint32_t groups, uint32_t own_group);

/**
 * pool_budget_nodes() - Number of nodes among which the retry budget of an
 * upstream is divided, as seen by this node.
 */
double pool_budget_nodes(const pool_t *pool, const upstream_t *upstream);

/**
 * pool_record_registry_call() - Records whether the store of the registry has
 * answered a call. Entries that expired during an outage are expected to
 * reappear after it.
 */
void pool_record_registry_call(pool_t *pool, bool answered, usec_t now);

/**
 * pool_registry_current() - All changes of the registry up to the time @at are
 * known. A server that is then found to be leaving has begun to leave later.
 */
void pool_registry_current(pool_t *pool, usec_t at);

/** pool_update_server() - Adds or updates a server from its registry entry. */
void pool_update_server(pool_t *pool, const server_entry_t *entry, usec_t now);

/** pool_server_deregistered() - The server's entry was removed. */
void pool_server_deregistered(pool_t *pool, const char *id, usec_t now);

/**
 * pool_server_leaving() - Another node was told by the server that it leaves.
 * @incarnation: of the process that has said so; another one stays in use
 */
void pool_server_leaving(
    pool_t *pool, const char *id, int64_t incarnation, usec_t now);

/**
 * pool_server_restored() - The server may have become cold unnoticed, as after
 * an evacuation that was revoked. It counts as cold until a newer entry arrives
 * or the warm-up time of its service has passed.
 */
void pool_server_restored(pool_t *pool, const char *id, usec_t now);

/** pool_set_cold_term() - Sets when this node may send to the cold servers of
 * its data centre. */
void pool_set_cold_term(pool_t *pool, const cold_term_t *term);

/**
 * pool_cold_wait() - How long until a cold server of an upstream that has none
 * to use takes requests of this node, or is warm; 0: none is cold.
 */
usec_t pool_cold_wait(pool_t *pool, const upstream_t *upstream, usec_t now);

/** pool_cold_left() - How long the server stays cold, with its rate limited;
 * 0: it is not. */
usec_t pool_cold_left(const upstream_server_t *server, usec_t now);

/** typedef pool_cold_stats_t - Cold servers, as this node sees them. */
typedef struct {
	bool is_sender;	   /* this node may send to those of its data centre */
	uint32_t servers;  /* that are cold */
	uint64_t attempts; /* sent to cold servers since the start */
} pool_cold_stats_t;

pool_cold_stats_t pool_cold_stats(const pool_t *pool, usec_t now);

/**
 * pool_reconcile_servers() - Handles a full listing of the registry.
 * @present: ids of all entries; servers that are not in it are deregistered
 */
void pool_reconcile_servers(pool_t *pool, GHashTable *present, usec_t now);

/**
 * pool_evacuate() - No new attempt is sent to the servers of a data centre.
 * Attempts of which nothing was sent yet end as not run; the others may finish.
 */
void pool_evacuate(pool_t *pool, const char *data_centre);

/** pool_restore() - The evacuation of a data centre was revoked. */
void pool_restore(pool_t *pool, const char *data_centre, usec_t now);

/**
 * pool_reconcile_evacuations() - Handles a full list of evacuations.
 * @present: names of all evacuated data centres, as pool_evacuate() was called
 * with them; the evacuation of any other one was revoked
 */
void pool_reconcile_evacuations(pool_t *pool, GHashTable *present, usec_t now);

/** pool_awaits_evacuations() - Whether evacuations were not listed yet. */
bool pool_awaits_evacuations(const pool_t *pool);

/** pool_visit_evacuated() - Calls @visit for each evacuated data centre. */
void pool_visit_evacuated(const pool_t *pool,
    void (*visit)(void *context, const char *data_centre), void *context);

/** pool_evacuated_count() - Number of evacuated data centres. */
uint32_t pool_evacuated_count(const pool_t *pool);

/** pool_evacuated_servers() - Number of known servers in them. */
uint32_t pool_evacuated_servers(const pool_t *pool);

/**
 * pool_choose_server() - Selects the server for the next attempt.
 * @tried: servers that the task has used already; they are passed over
 * @typical: usual duration of an attempt of the route
 * @busy: set to whether usable servers exist but are at their limit
 *
 * Return: a server, or NULL when none can take the attempt.
 */
upstream_server_t *pool_choose_server(pool_t *pool, upstream_t *upstream,
    const upstream_server_t *const *tried, uint32_t tried_count, usec_t typical,
    usec_t now, bool *busy);

/**
 * pool_backoff_left() - How long until a server of an upstream that has none to
 * use wants requests again; 0: none of them has asked for a backoff.
 */
usec_t pool_backoff_left(
    const pool_t *pool, const upstream_t *upstream, usec_t now);

/** pool_has_usable_server() - Whether the upstream has a usable server, even if
 * it is at its limit. */
bool pool_has_usable_server(
    pool_t *pool, const upstream_t *upstream, usec_t now);

/** typedef pool_request_t - Request of an attempt; its bytes are copied. */
typedef struct {
	const buffer_t *head;
	slice_t body;
	slice_t request_id;
	bool head_only; /* HEAD request: the response has no body */
	usec_t expires_at;
	uint64_t fingerprint;
	suspect_crash_t crash; /* that it may cause */
	latency_model_t *latency;
} pool_request_t;

/**
 * pool_start_attempt() - Starts an attempt on a connection to the server.
 * @owner: passed to the handler that reports the outcome
 *
 * Return: the attempt, or NULL when no connection could be opened.
 */
attempt_t *pool_start_attempt(pool_t *pool, upstream_server_t *server,
    const pool_request_t *request, void *owner, usec_t now);

/**
 * pool_attempt_abandon() - Ignores the outcome of an attempt, but lets the
 * server finish it and keeps the connection. The caller must not use the
 * attempt any more.
 */
void pool_attempt_abandon(attempt_t *attempt);

/** pool_attempt_accepted() - Whether the server has sent an interim response.
 */
bool pool_attempt_accepted(const attempt_t *attempt);

/** pool_attempt_arrived() - Whether the server's kernel has all of the request.
 */
bool pool_attempt_arrived(const attempt_t *attempt);

/**
 * pool_attempt_withdraw() - Like pool_attempt_cancel(), for a request that has
 * not arrived: it is lost, and the server counts as unreachable.
 */
void pool_attempt_withdraw(pool_t *pool, attempt_t *attempt, usec_t now);

/** pool_attempt_cancel() - Frees an attempt without a report and closes its
 * connection, so that the server stops. */
void pool_attempt_cancel(pool_t *pool, attempt_t *attempt);

/** pool_visit_servers() - Calls @visit for each server. */
void pool_visit_servers(const pool_t *pool,
    void (*visit)(void *context, const upstream_server_t *server),
    void *context);

/** pool_server_count() - Number of known servers, leaving ones included. */
uint32_t pool_server_count(const pool_t *pool);

/**
 * pool_recent_attempts() - Attempts that ended in the last 0.5 to 1 s.
 * @answered: set to the attempts that got a response
 * @connection_failures: set to those that lost their connection
 */
void pool_recent_attempts(
    const pool_t *pool, uint32_t *answered, uint32_t *connection_failures);

/** typedef pool_report_counts_t - Load reports since the start of the process.
 */
typedef struct {
	uint64_t read;
	uint64_t rejected; /* they were malformed */
} pool_report_counts_t;

/** pool_report_counts() - Load reports that were read or rejected. */
const pool_report_counts_t *pool_report_counts(const pool_t *pool);

#endif
