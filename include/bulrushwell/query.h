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
 * DOC: Fan-out of one query and its coverage
 *
 * Runs on the receiving node. Every shard ends in one of two ways: with the
 * body of a reply that names this query, this shard and the pinned version, or
 * as missing with a reason.
 */
#define QUERY_MAX_RUNNING 20000

typedef enum {
	MISSING_TIMEOUT,      /* no reply by the deadline */
	MISSING_NO_SERVER,    /* the service has no server that takes work */
	MISSING_VERSION_GONE, /* the index version was dropped meanwhile */
	MISSING_REFUSED,      /* the service's queue is too long */
	MISSING_CRASHED,      /* servers died while running it */
	MISSING_NOT_SERVED,   /* no node serves the service now */
	MISSING_FAILED	      /* servers answered with errors */
} missing_reason_t;

/** missing_reason_text() - The word used in answers. */
const char *missing_reason_text(missing_reason_t reason);

/**
 * typedef query_router_t - Where the shards of a service are sent.
 * @find_node: the live node that serves @service, other than @except when
 * that is not NULL; NULL when there is none
 */
typedef struct {
	const char *(*find_node)(
	    void *context, const char *service, const char *except);
	void *context;
} query_router_t;

typedef struct {
	uint32_t shard;
	missing_reason_t reason;
} missing_shard_t;

typedef struct {
	uint32_t shard;
	body_t *body; /* borrowed */
} shard_result_t;

/** typedef query_answer_t - Borrowed until the query is removed. */
typedef struct {
	id128_t id; /* as given to query_begin() */
	const char *index;
	uint64_t version;
	uint32_t total;
	uint32_t answered;
	const shard_result_t *results;	/* answered entries, by shard */
	const missing_shard_t *missing; /* total - answered entries, by shard */
	usec_t elapsed;
	bool sent; /* some shard was handed to a serving node */
} query_answer_t;

typedef struct {
	enum {
		QUERY_SEND,   /* send these shards to a node */
		QUERY_CANCEL, /* tell a node that the query has ended */
		QUERY_FINISH  /* the answer is ready */
	} kind;
	handle_t query;
	id128_t id; /* SEND, CANCEL: changes when the query is retried whole */
	name_t node;
	const shard_map_t *map; /* SEND */
	const uint32_t *shards; /* SEND: borrowed until the next call */
	uint32_t shard_count;
	usec_t deadline;
	const query_answer_t *answer; /* FINISH */
} query_action_t;

typedef struct query_set query_set_t;

query_set_t *query_set_create(const query_router_t *router);
void query_set_destroy(query_set_t *set);

/**
 * query_begin() - Pins @map and sends every shard.
 * @context: given back by query_context()
 *
 * Return: 0, BW_E_FULL, or BW_E_CONFLICT when a query with this id runs.
 */
int query_begin(query_set_t *set, id128_t id, shard_map_t *map, usec_t deadline,
    usec_t now, void *context, handle_t *query);

void *query_context(const query_set_t *set, handle_t query);

/**
 * query_reply() - One shard's outcome from a serving node.
 * @node: who replied; only a node that was sent the shard is heard
 * @version: the version that the reply states; for an error, the version that
 * the request named
 * @error: 0 with @body, or BW_E_...
 *
 * A reply that matches no running query, shard or version is counted and
 * ignored. A node that answers that it does not serve the service
 * (BW_E_NOT_SERVED, BW_E_STOPPING, BW_E_ISOLATED, BW_E_NOT_READY) has its shard
 * sent to another one.
 */
void query_reply(query_set_t *set, id128_t id, const char *node, uint32_t shard,
    uint64_t version, int error, body_t *body, usec_t now);

/**
 * query_send_failed() - The last SEND to @node could not be handed over; its
 * shards go to another node or are missing. Called before the next action is
 * taken.
 */
void query_send_failed(
    query_set_t *set, id128_t id, const char *node, usec_t now);

/** query_peer_lost() - Sends what a silent node still owes to another one. */
void query_peer_lost(query_set_t *set, const char *node, usec_t now);

/**
 * query_index_changed() - Offers the current version of an index. A query
 * whose version is gone is retried whole on a higher one, at most twice and
 * while a quarter of its time is left. Until then it waits for a higher
 * version instead of ending without the shards that are gone.
 */
void query_index_changed(query_set_t *set, shard_map_t *current, usec_t now);

/** query_tick() - Ends queries that are due. */
void query_tick(query_set_t *set, usec_t now);

/** query_next_deadline() - When query_tick() is due; 0 when none runs. */
usec_t query_next_deadline(const query_set_t *set);

/** query_remove() - After FINISH, or when the caller has gone (cancels). */
void query_remove(query_set_t *set, handle_t query);

bool query_next_action(query_set_t *set, query_action_t *action);

uint32_t query_running(const query_set_t *set);

/** query_unmatched() - Replies that matched nothing. */
uint64_t query_unmatched(const query_set_t *set);

#endif
