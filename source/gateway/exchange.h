#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <ev.h>

#include "../http/http_message.h"
#include "gather.h"
#include "pool.h"
#include "route_table.h"

/**
 * DOC: One client request, from its arrival to its answer
 *
 * An exchange has one task for each upstream that it needs. A task makes
 * attempts on servers of its upstream, one after the other or, when the first
 * is late, side by side. The exchange answers exactly once.
 */

/** Names of the headers through which clients and servers speak with us. */
typedef struct {
	const char *request_id;	     /* names one attempt of a client */
	const char *deadline_ms;     /* how long the sender waits */
	const char *expected_server; /* only this server may run it */
	const char *not_run;	     /* the server did not run the request */
	const char *stamp;	     /* proof of a server's response */
	const char *part_stamps;     /* stamps of the parts of an answer */
	const char *missing_parts;   /* shards that are not in the answer */
} header_names_t;

typedef struct {
	uint64_t requests;
	uint64_t answered;
	uint64_t partial;
	uint64_t refused;
	uint64_t failed;
	uint64_t client_gone;
	uint64_t attempts;
	uint64_t hedges;
	uint64_t retries;
	uint64_t budget_denied;
} exchange_counters_t;

typedef struct route_state route_state_t;
typedef struct exchange exchange_t;
typedef struct exchange_engine exchange_engine_t;

/** typedef exchange_reply_t - Sends the answer to the client; called once. */
typedef void (*exchange_reply_t)(
    void *client, const buffer_t *head, slice_t body);

typedef struct {
	header_names_t headers;
	retry_limits_t retries;
	usec_t drain_limit;
} engine_settings_t;

exchange_engine_t *engine_create(
    struct ev_loop *loop, const engine_settings_t *settings);
void engine_destroy(exchange_engine_t *engine);

/** engine_pool() - Its connections to upstreams. */
pool_t *engine_pool(exchange_engine_t *engine);

/** engine_adopt() - New requests use this table; takes a reference. */
void engine_adopt(exchange_engine_t *engine, route_table_t *table);

/** engine_table() - The table in force, or NULL. */
route_table_t *engine_table(const exchange_engine_t *engine);

const exchange_counters_t *engine_counters(const exchange_engine_t *engine);

/** typedef route_view_t - What is known of a route that had requests. */
typedef struct {
	const char *name;
	const latency_model_t *latency; /* of attempts */
	const histogram_t *answered;	/* times until an answer */
	const histogram_t *failed;	/* times until a failure or refusal */
} route_view_t;

/** engine_visit_routes() - Calls @visit for each route that had requests. */
void engine_visit_routes(exchange_engine_t *engine,
    void (*visit)(void *context, const route_view_t *route), void *context);

/** typedef suspect_told_t - A request crashed a server; others should know. */
typedef void (*suspect_told_t)(
    void *context, uint64_t fingerprint, uint64_t crash);

/** engine_tell_suspects() - Who is told what this node finds. */
void engine_tell_suspects(
    exchange_engine_t *engine, suspect_told_t tell, void *context);

/** engine_suspect() - Another node found that a request crashed a server. */
void engine_suspect(
    exchange_engine_t *engine, uint64_t fingerprint, uint64_t crash);

/** engine_refuse() - From now on, new requests are refused as not run. */
void engine_refuse(exchange_engine_t *engine);

/** engine_running() - Exchanges without an answer so far. */
uint32_t engine_running(const exchange_engine_t *engine);

/**
 * exchange_start() - Handles a request.
 * @request: must stay as it is until the answer
 * @fresh: the first request of its connection, which the client has spent a
 * round trip on before
 *
 * The reply may be sent before this returns; NULL is returned then.
 */
exchange_t *exchange_start(exchange_engine_t *engine,
    const http_message_t *request, bool fresh, exchange_reply_t reply,
    void *client);

/** exchange_client_gone() - The client left; no reply is sent any more. */
void exchange_client_gone(exchange_t *exchange);

#endif
