#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <ev.h>

#include "../http/http_message.h"
#include "../peers/peer_group.h"
#include "gather.h"
#include "pool.h"
#include "rate_gate.h"
#include "route_table.h"

/**
 * DOC: Processing of one client request, from its arrival to the response
 *
 * An exchange has one task for each upstream that the request is sent to. A
 * task makes attempts on servers of its upstream: one after the other, or in
 * parallel when the first one is late (hedging). Each exchange sends exactly
 * one response, unless the client disconnects first.
 *
 * The engine holds what all exchanges share: the route table, the connection
 * pool and the statistics of the routes.
 *
 * All functions must be called from the thread of the event loop.
 */

/** Names of the HTTP headers that are exchanged with clients and servers. */
typedef struct {
	const char *request_id;	     /* identifies a request of a client */
	const char *deadline_ms;     /* how long the sender waits */
	const char *expected_server; /* the only server that may run it */
	const char *not_run;	     /* the server did not run the request */
	const char *leaving;	     /* "1": the server has begun to leave */
	const char *load;	     /* load report of a server */
	const char *warm_up_left;    /* how long the server stays cold, in ms */
	const char *response_stamp; /* proves that a server sent the response */
	const char *part_stamps;    /* stamps of the merged responses */
	const char *missing_parts;  /* number of shards left out */
	const char *customer;	    /* whose request it is */
} header_names_t;

/**
 * typedef exchange_counters_t - Totals since the start of the process.
 * @answered: responses with a status below 500 that a server produced,
 * fan-outs included
 * @partial: fan-out responses that lack at least one shard
 * @refused: errors that state that the request was not run
 * @failed: all other errors
 * @client_gone: clients that disconnected before the response
 * @hedges: parallel attempts sent because an earlier one was late
 * @budget_denied: attempts that the retry budget did not allow
 * @keys_refused: requests without a valid customer key, also in @refused
 * @groups_served: groups of shards that receiving nodes asked this node for
 * @groups_asked: groups that this node asked its peers for
 * @groups_resumed: of these, groups that it served itself after all
 * @waited: fan-outs that waited for the concurrency limit
 * @displaced: of these, those refused because of more urgent ones
 * @cold_refused: parts of requests for which only cold servers were left, whose
 * rate was used up
 */
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
	uint64_t keys_refused;
	uint64_t groups_served;
	uint64_t groups_asked;
	uint64_t groups_resumed;
	uint64_t waited;
	uint64_t displaced;
	uint64_t cold_refused;
} exchange_counters_t;

typedef struct route_state route_state_t;
typedef struct exchange exchange_t;
typedef struct exchange_engine exchange_engine_t;

/**
 * typedef exchange_reply_t - Sends the response to the client; called once.
 * @head: status line and headers, without the blank line that ends them
 *
 * @head and @body are valid only during the call.
 */
typedef void (*exchange_reply_t)(
    void *client, const buffer_t *head, slice_t body);

/**
 * typedef engine_settings_t - Settings, which are copied.
 * @headers: the strings must outlive the engine
 * @drain_limit: time for which a leaving server still gets requests
 * @awaits_evacuations: evacuated data centres will be listed; no server is
 *     used before
 * @cold_bound: how far the rate of cold servers may be exceeded
 * @link_mbps: bandwidth of this VM's network link, in Mbit/s
 * @node: name of this node; copied
 * @rate_bound: of the customers' rates; the window is 0 without limits
 */
typedef struct {
	header_names_t headers;
	retry_limits_t retries;
	usec_t drain_limit;
	bool awaits_evacuations;
	cold_bound_t cold_bound;
	double link_mbps;
	const char *node;
	rate_bound_t rate_bound;
} engine_settings_t;

/** engine_create() - Creates an engine without a route table; never NULL. */
exchange_engine_t *engine_create(
    struct ev_loop *loop, const engine_settings_t *settings);

/** engine_destroy() - Frees an engine on which no exchange runs, or NULL. */
void engine_destroy(exchange_engine_t *engine);

/** engine_pool() - The upstream connection pool; owned by the engine. */
pool_t *engine_pool(exchange_engine_t *engine);

/** engine_rates() - The rate limits of customers, or NULL without limits. */
rate_gate_t *engine_rates(exchange_engine_t *engine);

/** engine_set_table() - New requests use this table; adds a reference. */
void engine_set_table(exchange_engine_t *engine, route_table_t *table);

/** engine_set_nodes() - Sets the gateway nodes of all data centres. */
void engine_set_nodes(
    exchange_engine_t *engine, const peer_node_t *nodes, uint32_t count);

/** engine_is_peer() - Whether a node of this data centre has the IP address. */
bool engine_is_peer(
    const exchange_engine_t *engine, const struct sockaddr_in *address);

/** engine_group_count() - Number of groups that shards are divided into. */
uint32_t engine_group_count(const exchange_engine_t *engine);

/** engine_table() - The current table, or NULL; adds no reference. */
route_table_t *engine_table(const exchange_engine_t *engine);

const exchange_counters_t *engine_counters(const exchange_engine_t *engine);

/** typedef route_stats_t - Latency statistics of a route. */
typedef struct {
	const char *name;
	const latency_model_t *latency;	  /* of attempts */
	const histogram_t *answer_times;  /* response times of successes */
	const histogram_t *failure_times; /* response times of errors */
} route_stats_t;

/** engine_visit_routes() - Calls @visit for each route with requests so far. */
void engine_visit_routes(exchange_engine_t *engine,
    void (*visit)(void *context, const route_stats_t *route), void *context);

/**
 * typedef engine_reports_t - Called when this node learns what the other nodes
 * should know.
 */
typedef struct {
	/**
	 * A request crashed a server.
	 * @crash_number: see suspect_record_crash()
	 */
	void (*suspect)(
	    void *context, uint64_t fingerprint, uint64_t crash_number);
	/** A server has said in a response that it leaves. */
	void (*leaving)(void *context, const char *server, int64_t incarnation);
	void *context;
} engine_reports_t;

/** engine_set_reports() - Sets the receiver of reports; copies it. */
void engine_set_reports(
    exchange_engine_t *engine, const engine_reports_t *reports);

/** engine_add_suspect() - Records a crash that another node reported. */
void engine_add_suspect(
    exchange_engine_t *engine, uint64_t fingerprint, uint64_t crash_number);

/**
 * engine_set_end() - The process ends at @end. A request that is unlikely to be
 * answered by then is refused as not run.
 */
void engine_set_end(exchange_engine_t *engine, usec_t end);

/** engine_refuse_requests() - From now on, new requests are refused as not run.
 */
void engine_refuse_requests(exchange_engine_t *engine);

/** engine_running_count() - Number of exchanges that have not ended. */
uint32_t engine_running_count(const exchange_engine_t *engine);

/** typedef client_connection_t - The connection that a request came from. */
typedef struct {
	usec_t round_trip;  /* 0: not known */
	bool first_request; /* the client has just spent a round trip on it */
	bool has_unsent;    /* an answer on it has not been sent whole */
	bool is_peer;	    /* a receiving node asks for a group of shards */
	/** Sends an interim response to a receiving node. @head: as for
	 * exchange_reply_t */
	void (*interim)(void *client, const buffer_t *head);
} client_connection_t;

/**
 * exchange_start() - Starts to process a request.
 * @request: must not change until the response is sent
 * @connection: copied
 * @reply: called once, unless exchange_client_gone() is called first
 * @client: passed to @reply
 *
 * Return: the exchange, which is freed after @reply was called, or NULL when
 * @reply was called before this function returned.
 */
exchange_t *exchange_start(exchange_engine_t *engine,
    const http_message_t *request, const client_connection_t *connection,
    exchange_reply_t reply, void *client);

/**
 * exchange_client_gone() - Ends and frees the exchange of a client that
 * disconnected; no response is sent.
 */
void exchange_client_gone(exchange_t *exchange);

/**
 * exchange_end() - Responds at once and frees the exchange: with what a fan-out
 * has received if that is enough, otherwise with an error.
 */
void exchange_end(exchange_t *exchange);

#endif
