#ifndef TESTS_LIB_GATEWAY_WORLD_H
#define TESTS_LIB_GATEWAY_WORLD_H

#include "harness.h"
#include "object_store.h"
#include "plain_server.h"

/**
 * DOC: A gateway process between stand-ins of the store and of servers
 *
 * The configuration has the host "example.test" with the routes /all/ (every
 * shard, idempotent), /one/ (service "one", idempotent), /once/ (service "one",
 * not idempotent) and /split/ (services "one" and "two" by weight 3 to 1).
 */

#define WORLD_SHARDS 4
#define WORLD_REPLICAS 2
#define WORLD_SERVERS ((WORLD_SHARDS + 2) * WORLD_REPLICAS)
#define WORLD_START_MS 15000

typedef struct {
	harness_t *harness;
	object_store_t *store;
	plain_server_t *servers[WORLD_SERVERS];
	process_t gateway;
	address_t clients;
	address_t health;
	address_t metrics;
	int version; /* of the configuration written last */
	int timeout_ms;
	uint32_t polls; /* that the store had when a check began */
} gateway_world_t;

/** world_create() - Stand-ins and a ready gateway. */
gateway_world_t *world_create(harness_t *harness);

/** world_create_empty() - As above, with nothing in the store; not ready. */
gateway_world_t *world_create_empty(harness_t *harness);
void world_destroy(gateway_world_t *world);

/** world_register() - Writes the entry of a server. */
void world_register(gateway_world_t *world, int server, const char *state);
/** world_register_report() - As above, with the number of the report. */
void world_register_report(
    gateway_world_t *world, int server, const char *state, int sequence);
void world_register_all(gateway_world_t *world);

/** world_configure() - Writes the next version of the configuration. */
void world_configure(gateway_world_t *world);

/** world_replica() - Server @replica of service @service (0: first shard). */
plain_server_t *world_replica(gateway_world_t *world, int service, int replica);
#define WORLD_ONE WORLD_SHARDS
#define WORLD_TWO (WORLD_SHARDS + 1)

/** world_fault_service() - The same fault for all servers of a service. */
void world_fault_service(
    gateway_world_t *world, int service, plain_fault_t fault, uint32_t count);

/** world_runs() - Requests that the servers of a service ran. */
uint32_t world_runs(gateway_world_t *world, int service);
uint32_t world_arrivals(gateway_world_t *world, int service);

/** world_ask() - One request with a fresh id. */
http_reply_t world_ask(gateway_world_t *world, const char *method,
    const char *path, int deadline_ms, const char *body);

/** world_metric() - A counter of the gateway, or -1. */
int64_t world_metric(gateway_world_t *world, const char *name);

/** world_connect() - A plain connection to the gateway. */
int world_connect(gateway_world_t *world);

/** world_write() - Writes text to a plain connection. */
void world_write(int fd, const char *text);

/** WORLD_REQUEST() - Bytes of a request; @more are header lines. */
#define WORLD_HEAD(method, path)                                           \
	method " " path " HTTP/1.1\r\nHost: example.test\r\n"              \
	       "Bulrushwell-Request-Id: raw1\r\nBulrushwell-Deadline-Ms: " \
	       "1500\r\n"
#define WORLD_END "\r\n"
#define WORLD_REQUEST(method, path, more) \
	WORLD_HEAD(method, path) more WORLD_END

/**
 * world_read() - Reads from a plain connection until @text or the end.
 *
 * Return: what was read; the caller frees it.
 */
char *world_read(int fd, const char *text, int timeout_ms);

/** world_wait() - Waits until @check holds, at most @timeout_ms. */
bool world_wait(bool (*check)(gateway_world_t *world), gateway_world_t *world,
    int timeout_ms);

#endif
