#ifndef QUERY_QUERY_STATE_H
#define QUERY_QUERY_STATE_H

#include <glib.h>

#include "bulrushwell/query.h"

/**
 * DOC: State of the running queries
 *
 * query.c handles the events and decides when a query ends or is retried;
 * query_fanout.c keeps the shards, the nodes that they are sent to and the
 * queue of actions.
 */

/* The most nodes that one query sends shards to; a set of them is a 64-bit
 * mask. A cell has at most MEMBERSHIP_MAX_PEERS (64) nodes. */
#define QUERY_MAX_NODES 64
#define NODE_NONE UINT8_MAX

/* A shard is sent at most this often. Without the limit, two nodes that both
 * refuse it would get it alternately until the deadline. */
#define QUERY_MAX_SENDS 4

typedef enum { SHARD_PENDING, SHARD_ANSWERED, SHARD_MISSING } shard_state_t;

/*
 * One shard of a query. The SENDs of a query are numbered from 1. A SEND is
 * dispatched when query_next_action() returns it; until then, shards can be
 * added to it.
 */
typedef struct {
	uint64_t outstanding_nodes; /* mask: were sent it, have not replied */
	uint64_t version;	    /* stated by the reply with @body */
	body_t *body;
	uint32_t queued_send;	  /* latest SEND it was added to; 0: none */
	uint32_t dispatched_send; /* latest SEND it was dispatched with */
	uint8_t node_index;	  /* of the assigned node, or NODE_NONE */
	uint8_t sends;		  /* how often it was assigned to a node */
	bool was_outstanding; /* at that node already when last dispatched */
	uint8_t state;	      /* shard_state_t */
	uint8_t reason;	      /* missing_reason_t; for SHARD_MISSING */
} shard_t;

/* A queued action, or the one that query_next_action() returned last. */
typedef struct {
	query_action_t action;
	shard_map_t *map;
	GArray *shards; /* SEND: uint32_t */
	uint32_t send_number;
	uint8_t node_index;
} action_entry_t;

/* A node that shards of the query were assigned to. */
typedef struct {
	name_t node;
	uint32_t last_send; /* last one dispatched; 0: none, or it failed */
	action_entry_t *open_send; /* queued SEND to this node, or NULL */
} assigned_node_t;

typedef struct {
	handle_t handle;
	id128_t id;	 /* from query_begin(), as given in the answer */
	id128_t wire_id; /* sent to serving nodes; a retry gets a new one */
	void *context;
	shard_map_t *map;
	usec_t started_at;
	usec_t deadline;
	usec_t timer_due;
	GSequenceIter *timer;
	uint32_t retries;
	uint32_t total; /* shards of @map */
	uint32_t pending_count;
	uint32_t version_gone_count; /* shards with MISSING_VERSION_GONE */
	uint32_t last_send_number;
	uint32_t dispatched_sends; /* without those reported as failed */
	bool finished;
	shard_t *shards;
	GArray *nodes; /* assigned_node_t */
	query_answer_t answer;
	shard_result_t *results;
	missing_shard_t *missing;
} query_t;

struct query_set {
	query_router_t router;
	table_t *queries;
	GHashTable *by_id;	 /* wire_id of a running query -> query_t */
	GHashTable *latest_maps; /* index name -> shard_map_t, as last
				    reported by query_index_changed() */
	GSequence *timers;	 /* query_t by timer_due */
	GQueue actions;		 /* action_entry_t */
	action_entry_t *returned_action; /* its data is borrowed until the
					    next query_next_action() */
	uint32_t running;
	uint64_t unmatched_replies;
};

/**
 * fanout_start() - Takes a reference to @map. Its shards are pending and not
 * assigned to nodes.
 */
void fanout_start(query_t *query, shard_map_t *map);

/** fanout_clear() - Frees the shards and drops their bodies and the map. */
void fanout_clear(query_t *query);

/**
 * fanout_send() - Assigns the pending shards without a node to nodes and queues
 * SENDs. Shards of a service that no node serves become missing.
 * @except: node that must not get any of them, or NULL
 */
void fanout_send(query_set_t *set, query_t *query, const char *except);

/** fanout_find_node() - Index of a node in query_t.nodes, or NODE_NONE. */
uint8_t fanout_find_node(const query_t *query, const char *node);

/**
 * fanout_unassign() - Takes a pending shard from a node that will not run it.
 * fanout_send() assigns it again, unless it was sent QUERY_MAX_SENDS times:
 * then it becomes missing.
 */
void fanout_unassign(query_t *query, shard_t *shard);

/** fanout_set_body() - Marks a shard as answered; takes a reference to @body.
 */
void fanout_set_body(
    query_t *query, shard_t *shard, uint64_t version, body_t *body);

/** fanout_set_missing() - Marks a shard as missing. */
void fanout_set_missing(
    query_t *query, shard_t *shard, missing_reason_t reason);

/** fanout_cancel() - Queues CANCELs to the nodes with outstanding shards. */
void fanout_cancel(query_set_t *set, const query_t *query);

/** fanout_build_answer() - Fills query_t.answer and queues FINISH. */
void fanout_build_answer(query_set_t *set, query_t *query, usec_t now);

/** fanout_free_action() - Frees an action and its data; NULL is allowed. */
void fanout_free_action(action_entry_t *entry);

#endif
