#ifndef QUERY_QUERY_STATE_H
#define QUERY_QUERY_STATE_H

#include <glib.h>

#include "bulrushwell/query.h"

/**
 * DOC: State of the queries in flight
 *
 * query.c takes the events and decides when a query ends or is retried;
 * query_fanout.c keeps the shards, the nodes that were asked and the actions.
 */

/* The nodes that one query asks, as bits of a 64-bit mask. A cell has at most
 * MEMBERSHIP_MAX_PEERS (64) nodes. */
#define QUERY_MAX_NODES 64
#define NODE_NONE UINT8_MAX

/* A shard is sent at most this often: two nodes that both refuse it would
 * otherwise get it in turn until the deadline. */
#define QUERY_MAX_SENDS 4

typedef enum { SHARD_PENDING, SHARD_ANSWERED, SHARD_MISSING } shard_state_t;

typedef struct {
	uint64_t owing;	  /* nodes that were asked and have not replied */
	uint64_t version; /* stated by the reply that gave the body */
	body_t *body;
	uint32_t send;	 /* number of the latest SEND */
	uint32_t handed; /* number of the latest SEND handed over */
	uint8_t node;	 /* asked last, or NODE_NONE */
	uint8_t sends;
	bool owed_before; /* that node owed it before the latest SEND */
	uint8_t state;	  /* shard_state_t */
	uint8_t reason;	  /* missing_reason_t */
} shard_t;

/* An action that waits to be drained. */
typedef struct {
	query_action_t action;
	shard_map_t *map;
	GArray *shards; /* SEND: uint32_t */
	uint32_t send;
	uint8_t node;
} action_entry_t;

typedef struct {
	name_t node;
	uint32_t last_send;   /* number of the last SEND handed over */
	action_entry_t *open; /* SEND that can still take shards */
} asked_node_t;

typedef struct {
	handle_t handle;
	id128_t id;	 /* as begun; names the query to the caller */
	id128_t wire_id; /* names it to serving nodes; new for each retry */
	void *context;
	shard_map_t *map;
	usec_t begun;
	usec_t deadline;
	usec_t wake;
	GSequenceIter *timer;
	uint32_t retries;
	uint32_t total;
	uint32_t pending;
	uint32_t gone; /* missing because the version is gone */
	uint32_t send_count;
	uint32_t handed; /* SENDs handed over and not reported as failed */
	bool finished;
	shard_t *shards;
	GArray *nodes; /* asked_node_t */
	query_answer_t answer;
	shard_result_t *results;
	missing_shard_t *missing;
} query_t;

struct query_set {
	query_router_t router;
	table_t *queries;
	GHashTable *by_id;   /* id128_t of a running query -> query_t */
	GHashTable *indexes; /* name -> shard_map_t offered last */
	GSequence *timers;   /* query_t by wake */
	GQueue actions;	     /* action_entry_t */
	action_entry_t *drained;
	uint32_t running;
	uint64_t unmatched;
};

/** fanout_start() - Pins @map with every shard pending and not yet sent. */
void fanout_start(query_t *query, shard_map_t *map);

/** fanout_clear() - Drops the shards, their bodies and the map. */
void fanout_clear(query_t *query);

/**
 * fanout_send() - Sends the pending shards that no node has.
 * @except: node that does not get them, or NULL
 */
void fanout_send(query_set_t *set, query_t *query, const char *except);

/** fanout_find_node() - Position of an asked node, or NODE_NONE. */
uint8_t fanout_find_node(const query_t *query, const char *node);

/** fanout_take_back() - A node does not run this shard: it may be sent again,
 * or is missing when it was sent too often. */
void fanout_take_back(query_t *query, shard_t *shard);

void fanout_set_body(
    query_t *query, shard_t *shard, uint64_t version, body_t *body);
void fanout_set_missing(
    query_t *query, shard_t *shard, missing_reason_t reason);

/** fanout_cancel() - Tells the nodes that still owe shards. */
void fanout_cancel(query_set_t *set, const query_t *query);

/** fanout_answer() - Fills the answer and queues FINISH. */
void fanout_answer(query_set_t *set, query_t *query, usec_t now);

void fanout_free_action(action_entry_t *entry);

#endif
