#ifndef TESTS_LIB_HARNESS_QUERY_H
#define TESTS_LIB_HARNESS_QUERY_H

#include "harness.h"

/**
 * DOC: Queries in process tests
 *
 * A small tier over indexed services, callers that send distinct bodies, and
 * the checks that every query test shares. The bodies of the answers, which
 * the servers write, and the servers' records decide; the tier's own counters
 * only tell when to look.
 */
#define QUERY_INDEX "reels"
#define QUERY_KEY "query-key"
#define QUERY_CUSTOMER "acme"
#define QUERY_VERSION 7
#define QUERY_SERVICES 4
#define QUERY_SERVERS 3 /* of each service */
#define QUERY_MAX_SHARDS 8
#define QUERY_DEADLINE_MS 2000

/* An answer may be this much later than its deadline. The tier's own timers
 * need a few milliseconds; the rest is for a busy machine that runs several
 * tests at once. */
#define QUERY_GRACE_MS 500

#define QUERY_ENOUGH_MS 20000

/** QUERY_TEST() - As HARNESS_TEST(), with query_teardown(). */
#define QUERY_TEST(test) \
	cmocka_unit_test_setup_teardown(test, harness_setup, query_teardown)

/**
 * query_teardown() - Ends all processes, and fails the test when a server saw
 * more requests or connections than its caps, or a node ended by itself.
 */
int query_teardown(void **state);

/** typedef world_t - What differs between the tiers of the tests. */
typedef struct {
	int nodes;
	double p50_ms; /* of the servers; 0: 4 ms */
	double p99_ms;
	int deadline_ms; /* of the contract; 0: QUERY_DEADLINE_MS */
} world_t;

/**
 * query_start_world() - Starts platform, servers and nodes, writes a contract
 * that never limits, and waits until each node gives a complete answer.
 */
void query_start_world(harness_t *harness, const world_t *world);

/** query_put_contract() - The contract of @customer with the key @key. */
void query_put_contract(harness_t *harness, const char *customer,
    const char *key, double rate_per_s, int concurrency, int deadline_ms);

/** typedef version_map_t - Which service holds each shard of a version. */
typedef struct {
	int version;
	int shard_count;
	int services[QUERY_MAX_SHARDS]; /* numbers from 1 */
} version_map_t;

/** query_put_index() - Publishes versions; the last one is current. */
void query_put_index(
    harness_t *harness, const version_map_t *maps, size_t count);

/** query_service_fault(), query_fault_all() - One order to many servers. */
void query_service_fault(harness_t *harness, int service, const char *order);
void query_fault_all(harness_t *harness, const char *order);

/** query_server() - The name of a server, in a static buffer. */
const char *query_server(int service, int server);

/** query_post() - One query by the contract's caller. */
http_reply_t query_post(harness_t *harness, int node, const char *body);

/** query_post_as() - @deadline_ms: 0 for the contract's. */
http_reply_t query_post_as(
    const char *address, const char *key, const char *body, int deadline_ms);

/** typedef coverage_t - What an answer says of itself. */
typedef struct {
	int version;
	int total;
	int answered;
	char reasons[QUERY_MAX_SHARDS][24]; /* empty when it was answered */
} coverage_t;

/**
 * query_check_answer() - Fails the test unless an answer is true.
 *
 * Every shard of the version is either answered by the service that holds it,
 * with the version and the hash of @body, or named as missing.
 */
coverage_t query_check_answer(
    const http_reply_t *result, const char *body, int deadline_ms);

/** query_check_refusal() - Kind, remedy and @not_run of a typed error. */
void query_check_refusal(
    const http_reply_t *result, int status, const char *kind, bool not_run);

/** query_check_complete() - One query whose answer must be complete. */
coverage_t query_check_complete(harness_t *harness, int node);

/** query_wait_complete() - Until a node gives @times complete answers in a
 * row, within @timeout_ms; every answer on the way must be true. */
void query_wait_complete(
    harness_t *harness, int node, int times, int timeout_ms);

/** query_wait_metric() - Until a metric of a node is at least @wanted. */
void query_wait_metric(
    harness_t *harness, int node, const char *line, double wanted);

/** query_metric() - The sum of all metrics whose lines begin with @line. */
double query_metric(harness_t *harness, int node, const char *line);

/** query_settled_requests() - Requests that the servers received, once the
 * number stands still. */
int64_t query_settled_requests(harness_t *harness);

/** query_new_body() - A body that no other call returned. */
char *query_new_body(void);

typedef struct load load_t;

/** typedef load_result_t - Answers of a load, all of them checked. */
typedef struct {
	int complete;
	int partial;
	int refused; /* typed errors with not_run true */
	int broken;  /* no answer: the connection ended */
} load_result_t;

/**
 * load_start() - Callers that query until load_stop().
 * @nodes: bits of the nodes that they use in turn
 */
load_t *load_start(harness_t *harness, int callers, unsigned int nodes);

/** load_wait() - Until @count more answers have arrived. */
void load_wait(load_t *load, int count);

/** load_stop() - Ends the callers and checks every answer. */
load_result_t load_stop(load_t *load);

/** load_abort() - Ends the callers that a failed test left. */
void load_abort(void);

#endif
