#ifndef TESTS_LIB_TRAFFIC_H
#define TESTS_LIB_TRAFFIC_H

#include "harness.h"

/**
 * DOC: Callers of a test tier
 *
 * Sends single calls, and runs threads that call repeatedly while a test causes
 * faults. Each response is compared with its request: a response whose body,
 * shards or coverage do not match is counted as wrong.
 */
#define TRAFFIC_INDEX "reels"
#define TRAFFIC_SERVICE "roster"
#define TRAFFIC_CUSTOMER "acme"
#define TRAFFIC_SECRET "acme-secret-of-the-tests"
#define TRAFFIC_TIMEOUT_MS 20000

/** typedef reply_t - What a caller learns from the response to a call. */
typedef struct {
	int status;	     /* HTTP status; 0: no response */
	bool connect_failed; /* the connection could not be established */
	bool wrong;    /* answers another request or states wrong coverage */
	bool not_run;  /* an error that states that nothing was executed */
	char kind[32]; /* of the error, or the first missing shard's reason */
	bool complete; /* of a query */
	bool repeated; /* of a reservation */
	char body[128];
} reply_t;

/**
 * traffic_query() - Sends one query.
 *
 * Repeats it while the node refuses it because of the rate, which happens until
 * the tier has divided the allowance among its nodes.
 */
reply_t traffic_query(const char *address, const char *body);

/** traffic_reserve() - Sends one reservation; repeats it like a query. */
reply_t traffic_reserve(const char *address, const char *key, const char *body);

/** typedef background_reservation_t - A reservation that is sent by a thread of
 * its own. */
typedef struct {
	address_t address;
	char key[64];
	char body[64];
	reply_t reply;
	GThread *thread;
} background_reservation_t;

/** traffic_reserve_start() - Starts a reservation; freed by
 * traffic_reserve_finish(). */
background_reservation_t *traffic_reserve_start(
    const char *address, const char *key, const char *body);

/** traffic_reserve_finish() - Waits for the response and frees @reservation. */
reply_t traffic_reserve_finish(background_reservation_t *reservation);

/** traffic_make_key() - Formats the idempotency key SECONDS-@text of now. */
void traffic_make_key(char key[64], const char *text);

/** typedef traffic_t - Threads that call the nodes of a tier. */
typedef struct traffic traffic_t;

/**
 * typedef traffic_counts_t - Number of calls by result.
 *
 * Each call is counted in @sent and in one of the members @complete to
 * @connect_failed, and in addition in @wrong when its response is wrong.
 */
typedef struct {
	int sent;
	int complete; /* complete queries, or reservations with status 200 */
	int partial;
	int not_run;
	int unknown;	    /* outcome_unknown or in_progress */
	int failed;	    /* other errors */
	int no_response;    /* connection closed without a response */
	int connect_failed; /* connection not established */
	int wrong;	    /* as in reply_t */
} traffic_counts_t;

/**
 * traffic_start() - Starts threads that call the nodes of a mask in turn.
 * @reserve: send reservations with distinct keys instead of queries
 * @nodes: bit mask of the nodes
 * @pause_ms: pause of each thread between two calls
 *
 * Return: the threads, to be ended with traffic_stop().
 */
traffic_t *traffic_start(harness_t *harness, bool reserve, unsigned nodes,
    int threads, int pause_ms);

/** traffic_set_nodes() - Changes the mask of the nodes that are called. */
void traffic_set_nodes(traffic_t *traffic, unsigned nodes);

/** traffic_counts() - Returns the counts up to now. */
traffic_counts_t traffic_counts(traffic_t *traffic);

/**
 * traffic_wait() - Waits until @count more calls are complete.
 *
 * Fails the test after TRAFFIC_TIMEOUT_MS.
 */
void traffic_wait(traffic_t *traffic, int count);

/**
 * traffic_stop() - Stops the threads and frees @traffic.
 *
 * For reservations, checks the records of the servers: a key was executed
 * exactly once after status 200, never after a refusal as not run, and at most
 * once otherwise.
 */
traffic_counts_t traffic_stop(harness_t *harness, traffic_t *traffic);

/**
 * traffic_start_tier() - Starts the platform, the upstream servers and nodes.
 * @nodes: number of nodes; each has answered a complete query at the return
 * @deadline_ms: of the contract
 *
 * The query index has 4 services with 2 servers of 2 slots. The service
 * "roster" has 2 servers of 2 slots.
 */
void traffic_start_tier(harness_t *harness, int nodes, int deadline_ms);

/**
 * traffic_start_backends() - Starts the platform and the upstream servers.
 *
 * Does what traffic_start_tier() does except for the nodes.
 */
void traffic_start_backends(harness_t *harness, int deadline_ms);

/**
 * traffic_wait_members() - Waits until the assignment covers the nodes.
 *
 * At least @count nodes must have units, which are their parts of the
 * customers' rates, and each service must have a serving node and a standby.
 * Fails the test after TRAFFIC_TIMEOUT_MS.
 */
void traffic_wait_members(harness_t *harness, int count);

/**
 * traffic_wait_complete() - Waits until a node returns a complete response.
 *
 * Fails the test after TRAFFIC_TIMEOUT_MS.
 */
void traffic_wait_complete(harness_t *harness, int node);

/**
 * traffic_wait_serving() - Waits until a node of a mask serves a service.
 * @among: bit mask of the nodes
 *
 * Fails the test after TRAFFIC_TIMEOUT_MS.
 *
 * Return: the index of the serving node.
 */
int traffic_wait_serving(
    harness_t *harness, const char *service, unsigned among);

/** traffic_check_caps() - Checks that no server exceeded its caps. */
void traffic_check_caps(harness_t *harness);

#endif
