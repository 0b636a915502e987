#ifndef BULRUSHWELL_QUERY_H
#define BULRUSHWELL_QUERY_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/body.h"
#include "bulrushwell/catalogue.h"
#include "bulrushwell/clock.h"
#include "bulrushwell/id.h"
#include "bulrushwell/table.h"

/**
 * DOC: Fan-out of queries to the shards of an index
 *
 * Runs on the node that received the queries. A query is pinned to one index
 * version, and its shards are sent to the nodes that serve their services. Each
 * shard ends either with the body of a reply that names this query, this shard
 * and the pinned version, or as missing with a reason.
 *
 * The module does no I/O and reads no clock. The caller reports
 * events with the current time and then carries out the actions that
 * query_next_action() returns.
 */

/** The most queries of a set, including finished ones not yet removed. */
#define QUERY_SET_MAX_QUERIES 20000

typedef enum {
	MISSING_TIMEOUT,   /* no reply by the deadline */
	MISSING_NO_SERVER, /* the service has no server that accepts requests */
	MISSING_VERSION_GONE, /* the index version was removed meanwhile */
	MISSING_REFUSED,      /* overload or another limit */
	MISSING_CRASHED,      /* servers crashed while running its request */
	MISSING_NOT_SERVED,   /* no node serves the service now */
	MISSING_FAILED	      /* servers answered with errors */
} missing_reason_t;

/** missing_reason_text() - The reason as written in the response. */
const char *missing_reason_text(missing_reason_t reason);

/**
 * typedef query_router_t - Chooses the node that gets the shards of a service.
 * @find_node: returns a live node that serves @service and is not @except
 * (which may be NULL); NULL when there is none
 */
typedef struct {
	const char *(*find_node)(
	    void *context, const char *service, const char *except);
	void *context;
} query_router_t;

/** typedef missing_shard_t - A shard without a result, and the reason. */
typedef struct {
	uint32_t shard;
	missing_reason_t reason;
} missing_shard_t;

/** typedef shard_result_t - A shard and the body of its reply. */
typedef struct {
	uint32_t shard;
	body_t *body; /* borrowed */
} shard_result_t;

/**
 * typedef query_answer_t - The result of a query. Borrowed until the query is
 * removed.
 */
typedef struct {
	id128_t id; /* from query_begin() */
	const char *index;
	uint64_t version;
	uint32_t total;		       /* shards of the index version */
	uint32_t answered;	       /* shards with a result */
	const shard_result_t *results; /* @answered entries, sorted by shard */
	/* The other @total - @answered shards, sorted. */
	const missing_shard_t *missing;
	usec_t elapsed;
	bool sent; /* some shard was sent to a serving node */
} query_answer_t;

/** typedef query_action_t - What the caller is to do for a query. */
typedef struct {
	enum {
		QUERY_SEND,   /* send @shards to @node */
		QUERY_CANCEL, /* tell @node to stop work on the query */
		QUERY_FINISH  /* the answer is ready */
	} kind;
	handle_t query;
	id128_t id; /* SEND, CANCEL: a retry on a new version has another id */
	name_t node;
	const shard_map_t *map; /* SEND */
	const uint32_t *shards; /* SEND: borrowed until the next call */
	uint32_t shard_count;
	usec_t deadline;
	const query_answer_t *answer; /* FINISH */
} query_action_t;

typedef struct query_set query_set_t;

/** query_set_create() - An empty set of queries; copies @router. */
query_set_t *query_set_create(const query_router_t *router);

/** query_set_destroy() - Frees the set and its queries; NULL is allowed. */
void query_set_destroy(query_set_t *set);

/**
 * query_begin() - Starts a query on @map and queues its shards for sending.
 * @map: the set takes its own reference
 * @deadline: when shards without a reply become missing
 * @context: returned by query_context(); not owned
 * @query: set to the query's handle, which is valid until query_remove()
 *
 * Return: 0, BW_E_FULL, or BW_E_CONFLICT when a query with this id runs.
 */
int query_begin(query_set_t *set, id128_t id, shard_map_t *map, usec_t deadline,
    usec_t now, void *context, handle_t *query);

/** query_context() - The context of a query, or NULL for a removed one. */
void *query_context(const query_set_t *set, handle_t query);

/**
 * query_reply() - Reports a serving node's reply for one shard.
 * @id: from the QUERY_SEND
 * @node: the node that replied; ignored unless it was sent the shard
 * @version: the index version that the reply states; for an error, the version
 * that the request named
 * @error: 0 with @body, or BW_E_...
 * @body: the set takes its own reference
 *
 * A reply that matches no running query, shard or version is counted and
 * ignored. When a node replies that it does not serve the service
 * (BW_E_NOT_SERVED, BW_E_STOPPING, BW_E_ISOLATED, BW_E_NOT_READY), the shard is
 * sent to another node.
 */
void query_reply(query_set_t *set, id128_t id, const char *node, uint32_t shard,
    uint64_t version, int error, body_t *body, usec_t now);

/**
 * query_send_failed() - Reports that the last QUERY_SEND to @node failed and
 * the node did not get it. The shards are sent to another node or become
 * missing. Must be called before the next query_next_action().
 */
void query_send_failed(
    query_set_t *set, id128_t id, const char *node, usec_t now);

/**
 * query_peer_lost() - Reports that @node is silent or was replaced by a new
 * incarnation. Its pending shards are sent to another node or become missing.
 */
void query_peer_lost(query_set_t *set, const char *node, usec_t now);

/**
 * query_index_changed() - Reports the current version of an index.
 * @current: the set takes its own reference
 *
 * A query with shards whose version is gone is retried with all shards on a
 * higher version, at most twice and while a quarter of its time is left. As
 * long as a retry is possible it waits for a higher version instead of ending
 * without these shards.
 */
void query_index_changed(query_set_t *set, shard_map_t *current, usec_t now);

/** query_tick() - Handles the deadlines and other timers that are due. */
void query_tick(query_set_t *set, usec_t now);

/** query_next_timer() - When query_tick() is due; 0 when no query runs. */
usec_t query_next_timer(const query_set_t *set);

/**
 * query_remove() - Removes a query after QUERY_FINISH, or cancels a running one
 * when its client has disconnected. A stale handle is ignored.
 */
void query_remove(query_set_t *set, handle_t query);

/**
 * query_next_action() - Takes the next queued action.
 * @action: its pointers are borrowed: @answer until the query is removed, the
 * others until the next call
 *
 * Return: false when no action is queued.
 */
bool query_next_action(query_set_t *set, query_action_t *action);

/** query_running_count() - Queries without an answer. */
uint32_t query_running_count(const query_set_t *set);

/** query_unmatched_replies() - Number of replies that matched no outstanding
 * shard. */
uint64_t query_unmatched_replies(const query_set_t *set);

#endif
