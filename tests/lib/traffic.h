#ifndef TESTS_LIB_TRAFFIC_H
#define TESTS_LIB_TRAFFIC_H

#include "harness.h"

/**
 * DOC: Callers of a test tier
 *
 * Single calls, and threads that call again and again while a fault happens.
 * Each answer is compared with what was asked: a body, shard or coverage that
 * does not belong to the request is counted as wrong.
 */
#define LOAD_INDEX "reels"
#define LOAD_SERVICE "roster"
#define LOAD_CUSTOMER "acme"
#define LOAD_SECRET "acme-secret-of-the-tests"
#define LOAD_CALL_MS 20000

/** typedef reply_t - What a caller got. */
typedef struct {
	int status;   /* 0: no answer */
	bool refused; /* no connection was made */
	bool wrong;   /* an answer to another request, or false coverage */
	bool not_run;
	char kind[32]; /* of an error, or why a first shard is missing */
	bool complete; /* of a query */
	bool repeated; /* of a reservation */
	char body[128];
} reply_t;

/**
 * traffic_query(), traffic_reserve() - One call. It is repeated while the node
 * refuses it for the rate, which happens until the tier has divided the
 * allowance.
 */
reply_t traffic_query(const char *address, const char *body);
reply_t traffic_reserve(const char *address, const char *key, const char *body);

/** typedef caller_t - One reservation that runs in a thread. */
typedef struct {
	address_t address;
	char key[64];
	char body[64];
	reply_t reply;
	GThread *thread;
} caller_t;

caller_t *caller_begin(const char *address, const char *key, const char *body);
reply_t caller_end(caller_t *caller);

/** traffic_make_key() - A key made now. */
void traffic_make_key(char key[64], const char *text);

typedef struct traffic traffic_t;

/** typedef traffic_counts_t - Answers by kind; their sum is @sent. */
typedef struct {
	int sent;
	int complete; /* or done */
	int partial;
	int not_run;
	int unknown; /* outcome_unknown or in_progress */
	int failed;  /* other errors */
	int cut;     /* connected, but no answer */
	int refused; /* not connected */
	int wrong;
} traffic_counts_t;

/**
 * traffic_start() - Threads that call the nodes of a mask in turn.
 * @reserve: reservations, each with a key of its own; else queries
 * @pause_ms: of each thread between two calls
 */
traffic_t *traffic_start(harness_t *harness, bool reserve, unsigned nodes,
    int threads, int pause_ms);

/** traffic_set_nodes() - Changes the mask; a balancer learned of a change. */
void traffic_set_nodes(traffic_t *load, unsigned nodes);

traffic_counts_t traffic_counts(traffic_t *load);

/** traffic_wait() - Until @count more queries are complete or reserved. */
void traffic_wait(traffic_t *load, int count);

/**
 * traffic_stop() - Ends the threads. With reservations, checks the record of
 * the servers: at most one execution of each key, exactly one of each that is
 * done, none of each that was refused as not run.
 */
traffic_counts_t traffic_stop(harness_t *harness, traffic_t *load);

/**
 * traffic_start_tier() - Platform, upstreams (a query index of 4 services with
 * 2 servers of 2 slots, and the service "roster" with 2 servers of 2 slots),
 * the contract, and nodes that have answered a complete query each.
 * @nodes: 0 to leave the nodes to the test
 */
void traffic_start_tier(harness_t *harness, int nodes, int deadline_ms);

/** traffic_start_world() - The same without nodes. */
void traffic_start_world(harness_t *harness, int deadline_ms);

/**
 * traffic_wait_members() - Until so many nodes have a part of the allowance and
 * each service has a serving node and a standby.
 */
void traffic_wait_members(harness_t *harness, int count);

/** traffic_wait_complete() - Until the node answers a complete query. */
void traffic_wait_complete(harness_t *harness, int node);

/** traffic_wait_serving() - Until a node of the mask serves; returns it. */
int traffic_wait_serving(
    harness_t *harness, const char *service, unsigned among);

/** traffic_check_caps() - The servers' slots and connections were respected. */
void traffic_check_caps(harness_t *harness);

#endif
