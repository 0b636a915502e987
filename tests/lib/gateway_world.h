#ifndef TESTS_LIB_GATEWAY_WORLD_H
#define TESTS_LIB_GATEWAY_WORLD_H

#include "harness.h"
#include "object_store.h"
#include "plain_server.h"

/**
 * DOC: Test environment of a gateway: store, servers and process
 *
 * A gateway world is a gateway process and all that it connects to. The store
 * and the servers are stand-ins in the test process. Each service has two
 * servers, one in the gateway's data centre and one in another. The
 * configuration has the host "example.test" with the routes /all/ (every
 * shard, idempotent), /one/ (service "one", idempotent), /once/ (service "one",
 * not idempotent) and /split/ (services "one" and "two" by weight 3 to 1). With
 * tenants it also has /open/ (service "two", needs no key).
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
	/* Listen addresses of the gateway. */
	address_t clients;
	address_t health;
	address_t metrics;
	int version;		/* of the last configuration written */
	int start_time;		/* of the servers, in their registry entries */
	int timeout_ms;		/* of all routes */
	double warm_up_rate;	/* of all services; 0: none */
	int warm_up_left_ms;	/* of the servers that are registered next */
	int top_k;		/* records in the answers of /all/ */
	int more_routes;	/* beside those that tests use */
	int max_connections;	/* that each server accepts from all gateways */
	const char *tenants;	/* JSON of the configuration; NULL: none */
	uint32_t polls_before;	/* the store's poll count before a check */
	const char *extra_flag; /* of all gateways; NULL: none */
} gateway_world_t;

/** world_create() - Starts everything and waits until the gateway is ready. */
gateway_world_t *world_create(harness_t *harness);

/** world_create_with_flag() - Like world_create(); @flag is one more of all
 * gateways and is borrowed. */
gateway_world_t *world_create_with_flag(harness_t *harness, const char *flag);

/**
 * world_create_empty() - Starts everything with an empty store, without waiting
 * until the gateway is ready.
 */
gateway_world_t *world_create_empty(harness_t *harness);

/** world_start_gateway() - Starts the gateway after its process has ended. */
void world_start_gateway(gateway_world_t *world);

/** world_destroy() - Kills the gateway, stops the stand-ins, frees @world. */
void world_destroy(gateway_world_t *world);

/**
 * world_register() - Writes a server's registry entry with a new sequence
 * number.
 * @server: index into @world->servers
 * @state: "ready" or "draining"
 */
void world_register(gateway_world_t *world, int server, const char *state);

/** world_register_report() - Writes an entry with the given sequence number. */
void world_register_report(
    gateway_world_t *world, int server, const char *state, int sequence);

/** world_register_all() - Writes "ready" entries of all servers. */
void world_register_all(gateway_world_t *world);

/** world_configure() - Writes the next version of the configuration. */
void world_configure(gateway_world_t *world);

/** world_change_tenants() - Writes a version with these tenants and waits until
 * the gateway has adopted it. */
void world_change_tenants(gateway_world_t *world, const char *tenants);

/**
 * world_replica() - A server of a service.
 * @service: a shard, 0 to WORLD_SHARDS - 1, or WORLD_ONE or WORLD_TWO
 * @replica: 0 (in the gateway's data centre) or 1 (in another one)
 */
plain_server_t *world_replica(gateway_world_t *world, int service, int replica);
#define WORLD_ONE WORLD_SHARDS	     /* service "one" */
#define WORLD_TWO (WORLD_SHARDS + 1) /* service "two" */

/**
 * world_fault_service() - Sets a fault on all servers of a service.
 * @count: requests of each server that the fault applies to
 */
void world_fault_service(
    gateway_world_t *world, int service, plain_fault_t fault, uint32_t count);

/** world_count_heads() - Number of servers whose last request has @text in its
 * head. */
int world_count_heads(plain_server_t **servers, int count, const char *text);

/** world_run_count() - Requests that the servers of a service have run. */
uint32_t world_run_count(gateway_world_t *world, int service);

/**
 * world_request_count() - Requests that the servers of a service have received.
 */
uint32_t world_request_count(gateway_world_t *world, int service);

/** world_crash_count() - Crashes of the servers of a service. */
uint32_t world_crash_count(gateway_world_t *world, int service);

/**
 * world_disconnect_count() - How often clients have closed the connection
 * during a fault of the servers of a service, see plain_server_record_t.
 */
uint32_t world_disconnect_count(gateway_world_t *world, int service);

/**
 * world_request() - Sends a request with a new id and waits for the response.
 * @body: NULL: none
 *
 * Return: the response; the caller frees it with http_reply_clear().
 */
http_reply_t world_request(gateway_world_t *world, const char *method,
    const char *path, int deadline_ms, const char *body);

/**
 * world_metric() - Reads a metric of the gateway.
 * @name: name without the prefix, with labels if it has any
 *
 * Return: its value, or -1 when the gateway does not have it.
 */
int64_t world_metric(gateway_world_t *world, const char *name);

/** world_count_servers() - Number of servers in a state, as /state of the
 * gateway shows them. */
int world_count_servers(gateway_world_t *world, const char *state);

/**
 * world_connect() - Opens a TCP connection to the gateway's client port.
 *
 * Return: the socket; the caller closes it.
 */
int world_connect(gateway_world_t *world);

/** world_try_connect() - Like world_connect(), but returns -1 on failure. */
int world_try_connect(gateway_world_t *world);

/** world_try_send() - Sends @text; returns whether all of it was sent. */
bool world_try_send(int fd, const char *text);

/** world_send_text() - Sends @text on a socket of world_connect(). */
void world_send_text(int fd, const char *text);

/** WORLD_HEAD() - Request line and required header lines of a request. */
#define WORLD_HEAD(method, path)                                           \
	method " " path " HTTP/1.1\r\nHost: example.test\r\n"              \
	       "Bulrushwell-Request-Id: raw1\r\nBulrushwell-Deadline-Ms: " \
	       "1500\r\n"
#define WORLD_END "\r\n" /* end of the header */

/** WORLD_REQUEST() - Text of a request; @more are additional header lines. */
#define WORLD_REQUEST(method, path, more) \
	WORLD_HEAD(method, path) more WORLD_END

/**
 * world_receive() - Receives until @text was received, the connection is closed
 * or the time is over.
 * @text: NULL: receive until the connection is closed
 *
 * Return: the bytes received; the caller frees them.
 */
char *world_receive(int fd, const char *text, int timeout_ms);

/**
 * world_wait() - Waits until @check returns true.
 *
 * Return: false after @timeout_ms.
 */
bool world_wait(bool (*check)(gateway_world_t *world), gateway_world_t *world,
    int timeout_ms);

#endif
