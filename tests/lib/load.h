#ifndef TESTS_LIB_LOAD_H
#define TESTS_LIB_LOAD_H

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
 * load_query(), load_reserve() - One call. It is repeated while the node
 * refuses it for the rate, which happens until the tier has divided the
 * allowance.
 */
reply_t load_query(const char *address, const char *body);
reply_t load_reserve(const char *address, const char *key, const char *body);

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

/** load_make_key() - A key made now. */
void load_make_key(char key[64], const char *text);

typedef struct load load_t;

/** typedef load_counts_t - Answers by kind; their sum is @sent. */
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
} load_counts_t;

/**
 * load_start() - Threads that call the nodes of a mask in turn.
 * @reserve: reservations, each with a key of its own; else queries
 * @pause_ms: of each thread between two calls
 */
load_t *load_start(harness_t *harness, bool reserve, unsigned nodes,
    int threads, int pause_ms);

/** load_set_nodes() - Changes the mask; a balancer learned of a change. */
void load_set_nodes(load_t *load, unsigned nodes);

load_counts_t load_counts(load_t *load);

/** load_wait() - Until @count more queries are complete or reserved. */
void load_wait(load_t *load, int count);

/**
 * load_stop() - Ends the threads. With reservations, checks the record of the
 * servers: at most one execution of each key, exactly one of each that is
 * done, none of each that was refused as not run.
 */
load_counts_t load_stop(harness_t *harness, load_t *load);

/**
 * load_start_tier() - Platform, upstreams (a query index of 4 services with 2
 * servers of 2 slots, and the service "roster" with 2 servers of 2 slots), the
 * contract, and nodes that have answered a complete query each.
 * @nodes: 0 to leave the nodes to the test
 */
void load_start_tier(harness_t *harness, int nodes, int deadline_ms);

/** load_start_world() - The same without nodes. */
void load_start_world(harness_t *harness, int deadline_ms);

/**
 * load_wait_members() - Until so many nodes have a part of the allowance and
 * each service has a serving node and a standby.
 */
void load_wait_members(harness_t *harness, int count);

/** load_wait_complete() - Until the node answers a complete query. */
void load_wait_complete(harness_t *harness, int node);

/** load_wait_serving() - Until a node of the mask serves; returns it. */
int load_wait_serving(harness_t *harness, const char *service, unsigned among);

/** load_check_caps() - The servers' slots and connections were respected. */
void load_check_caps(harness_t *harness);

#endif
