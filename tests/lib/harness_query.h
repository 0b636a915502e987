#ifndef TESTS_LIB_HARNESS_QUERY_H
#define TESTS_LIB_HARNESS_QUERY_H

#include "harness.h"

/**
 * DOC: Process test harness for queries
 *
 * Starts a small tier over indexed services, runs callers that send distinct
 * bodies, and provides the checks that all query tests share. The checks rely
 * on the response bodies that the servers write and on the servers' records;
 * the tier's own counters are used only to wait for a state.
 */
#define QUERY_INDEX "reels"
#define QUERY_KEY "query-key"
#define QUERY_CUSTOMER "acme"
#define QUERY_VERSION 7
#define QUERY_SERVICES 4
#define QUERY_SERVERS 3 /* per service */
#define QUERY_MAX_SHARDS 8
#define QUERY_DEADLINE_MS 2000

/* Accepted delay of a response after its deadline. The tier's own timers need a
 * few milliseconds; the rest allows for several tests running at once. */
#define QUERY_GRACE_MS 500

/* Upper limit of each wait in the tests. */
#define QUERY_WAIT_MS 20000

/** QUERY_TEST() - HARNESS_TEST() with query_teardown(). */
#define QUERY_TEST(test) \
	cmocka_unit_test_setup_teardown(test, harness_setup, query_teardown)

/**
 * query_teardown() - Kills all processes and checks how they ran.
 *
 * Fails the test when a server had more requests or connections than its caps,
 * or when a node exited by itself.
 */
int query_teardown(void **state);

/** typedef query_tier_settings_t - Settings of a test's tier. */
typedef struct {
	int nodes;
	double p50_ms;	 /* latency of the servers; 0: 4 ms */
	double p99_ms;	 /* 0: 10 ms */
	int deadline_ms; /* of the contract; 0: QUERY_DEADLINE_MS */
} query_tier_settings_t;

/**
 * query_start_tier() - Starts the platform, the servers and the nodes.
 *
 * Writes a contract whose limits the tests do not reach, and waits until each
 * node returns complete responses.
 */
void query_start_tier(
    harness_t *harness, const query_tier_settings_t *settings);

/** query_put_contract() - Writes a contract for QUERY_INDEX with one caller. */
void query_put_contract(harness_t *harness, const char *customer,
    const char *key, double rate_per_s, int concurrency, int deadline_ms);

/** typedef version_map_t - Service of each shard of an index version. */
typedef struct {
	int version;
	int shard_count;
	int services[QUERY_MAX_SHARDS]; /* numbers, starting at 1 */
} version_map_t;

/** query_put_index() - Publishes index versions; the last one is current. */
void query_put_index(
    harness_t *harness, const version_map_t *maps, size_t count);

/** query_set_service_faults() - Sets faults of all servers of a service. */
void query_set_service_faults(
    harness_t *harness, int service, const char *faults);

/** query_set_all_faults() - Sets faults of all servers of all services. */
void query_set_all_faults(harness_t *harness, const char *faults);

/** query_server_name() - Name of a server, in a static buffer. */
const char *query_server_name(int service, int server);

/**
 * query_post() - Sends one query with QUERY_KEY to a node.
 *
 * Return: the response, to be freed with http_reply_clear().
 */
http_reply_t query_post(harness_t *harness, int node, const char *body);

/**
 * query_post_as() - Sends one query with the key of another caller.
 * @deadline_ms: 0 for the contract's deadline
 */
http_reply_t query_post_as(
    const char *address, const char *key, const char *body, int deadline_ms);

/** typedef coverage_t - Coverage that a response states. */
typedef struct {
	int version;
	int total;
	int answered;
	char reasons[QUERY_MAX_SHARDS][24]; /* empty for answered shards */
} coverage_t;

/**
 * query_check_answer() - Fails the test unless a response is correct.
 * @body: of the request
 *
 * Each shard of the version must either be answered by the service that holds
 * it, with the version and the hash of @body, or be listed as missing. The
 * response must not be later than QUERY_GRACE_MS after its deadline.
 *
 * Return: the coverage that the response states.
 */
coverage_t query_check_answer(
    const http_reply_t *reply, const char *body, int deadline_ms);

/**
 * query_check_refusal() - Checks a response that is an error.
 * @kind: expected kind of the error
 * @not_run: expected field not_run of the error
 */
void query_check_refusal(
    const http_reply_t *reply, int status, const char *kind, bool not_run);

/** query_check_complete() - Sends a query; its response must be complete. */
coverage_t query_check_complete(harness_t *harness, int node);

/**
 * query_wait_complete() - Waits for @times consecutive complete responses.
 *
 * Fails the test after @timeout_ms, and when any response is incorrect.
 */
void query_wait_complete(
    harness_t *harness, int node, int times, int timeout_ms);

/**
 * query_wait_metric() - Waits until query_metric() is at least @wanted.
 *
 * Fails the test after QUERY_WAIT_MS.
 */
void query_wait_metric(
    harness_t *harness, int node, const char *line, double wanted);

/**
 * query_metric() - Sum of the metrics whose lines start with @line.
 *
 * Reads /metrics of @node; 0 when no line matches.
 */
double query_metric(harness_t *harness, int node, const char *line);

/**
 * query_settled_requests() - Number of requests that the servers received.
 *
 * Waits until the number no longer changes.
 */
int64_t query_settled_requests(harness_t *harness);

/**
 * query_new_body() - Creates a request body that differs from all others.
 *
 * Return: a string that the caller frees with g_free().
 */
char *query_new_body(void);

/** typedef load_t - Callers that send queries in the background. */
typedef struct load load_t;

/** typedef load_counts_t - Number of queries of a load by result. */
typedef struct {
	int complete;
	int partial;
	int not_run;	 /* errors with not_run true */
	int no_response; /* connection failed, or closed without a response */
} load_counts_t;

/**
 * load_start() - Starts threads that send queries until load_stop().
 * @callers: number of threads
 * @nodes: bit mask of the nodes, which each caller uses in turn
 */
load_t *load_start(harness_t *harness, int callers, unsigned int nodes);

/**
 * load_wait() - Waits until @count more responses have arrived.
 *
 * Fails the test after QUERY_WAIT_MS.
 */
void load_wait(load_t *load, int count);

/**
 * load_stop() - Stops the callers, checks all responses and frees @load.
 *
 * Return: the number of queries by result.
 */
load_counts_t load_stop(load_t *load);

/**
 * load_abort() - Stops the callers that a failed test left running.
 *
 * Does not check or free anything.
 */
void load_abort(void);

#endif
