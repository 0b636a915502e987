#ifndef TESTS_LIB_HARNESS_H
#define TESTS_LIB_HARNESS_H

#include "runner.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Processes of a test
 *
 * Starts the programs of $BUILD/bin on ports of 127.0.0.1, each in a process
 * group of its own with its standard error in $BUILD/test-logs/, and ends them
 * all when the test ends, fails or is ended itself. Failures of the harness
 * fail the running test.
 */
#define HARNESS_MAX_PROCESSES 64
#define HARNESS_MAX_NODES 16
#define HARNESS_START_MS 20000 /* sanitizer builds start slowly under load */

typedef int process_t; /* position in the harness's table */

typedef struct {
	pid_t pid;  /* 0 once it has been waited for */
	int output; /* read end of its standard output, or -1 */
	char name[64];
} harness_process_t;

typedef struct {
	name_t node;
	name_t vm;
	address_t caller;
	address_t operator_address;
	address_t peer;
	address_t platform; /* empty: the platform's own address */
	address_t peer_via[HARNESS_MAX_NODES]; /* of each other node; empty: its
						  own */
	const char *peer_key_file;
	process_t process; /* -1 while it does not run */
} harness_node_t;

typedef struct {
	harness_process_t processes[HARNESS_MAX_PROCESSES];
	int process_count;
	address_t platform;
	process_t platform_process;
	address_t control; /* of the upstream set */
	process_t upstream_process;
	GHashTable *servers; /* server -> address */
	int node_count;
	harness_node_t nodes[HARNESS_MAX_NODES];
} harness_t;

/** HARNESS_TEST() - An entry of a cmocka table; *state is a harness_t. */
#define HARNESS_TEST(test) \
	cmocka_unit_test_setup_teardown(test, harness_setup, harness_teardown)

int harness_setup(void **state);
int harness_teardown(void **state);

/** harness_build() - $BUILD, or the directory that this program is in. */
const char *harness_build(void);

/** harness_free_address() - An address of 127.0.0.1 that nobody listens on. */
void harness_free_address(address_t address);

/**
 * harness_spawn() - Starts a program.
 * @program: of $BUILD/bin
 * @name: of its log file
 * @arguments: ended by NULL, without the program's name
 * @keep_output: read its standard output, for harness_wait_ready(); else it
 * goes to the log file
 */
process_t harness_spawn(harness_t *harness, const char *program,
    const char *name, const char *const *arguments, bool keep_output);

/** harness_wait_ready() - Waits for the line "ready". */
void harness_wait_ready(harness_t *harness, process_t process);

/** harness_wait_status() - Polls an endpoint until it answers @status. */
void harness_wait_status(
    const char *address, const char *path, int status, int timeout_ms);

void harness_signal(harness_t *harness, process_t process, int signal_number);

/** harness_kill() - SIGKILL, and waits for its end. */
void harness_kill(harness_t *harness, process_t process);

/**
 * harness_wait_exit() - Waits for a process to end by itself.
 *
 * Return: its wait status, or -1 when it still runs after @timeout_ms.
 */
int harness_wait_exit(harness_t *harness, process_t process, int timeout_ms);

/** typedef http_reply_t - An answer; status 0 when there was none. */
typedef struct {
	int status;
	bool refused; /* no connection was made */
	GString *body;
	GHashTable *headers; /* lower-case name -> value */
	json_t *json;	     /* NULL when the body is not JSON */
	usec_t elapsed;
} http_reply_t;

/**
 * harness_http() - One request on a connection of its own.
 * @headers: lines ended by NULL; may be NULL
 * @body: may be NULL
 */
http_reply_t harness_http(const char *method, const char *address,
    const char *path, const char *const *headers, const char *body,
    int timeout_ms);
void http_reply_clear(http_reply_t *result);
const char *http_reply_header(const http_reply_t *result, const char *name);

/** harness_order() - POSTs @body and fails the test unless it answers 200. */
void harness_order(const char *address, const char *path, const char *body);

/** harness_fetch() - GETs JSON and fails the test unless it answers 200. */
json_t *harness_fetch(const char *address, const char *path);

void harness_start_platform(harness_t *harness);

/** harness_put_object() - Creates or replaces; drops @value. */
uint64_t harness_put_object(
    harness_t *harness, const char *kind, const char *name, json_t *value);

/** typedef upstream_group_t - Services with equal servers. */
typedef struct {
	const char *name; /* service names: NAME, or NAME-1 .. NAME-N */
	int services;
	int servers; /* of each service */
	int slots;
	int connections;
	int connect_ms;
	double p50_ms;
	double p99_ms;
	bool indexed; /* each service holds one shard of the index */
} upstream_group_t;

typedef struct {
	const upstream_group_t *groups;
	size_t group_count;
	const char *index;
	int version;
	double delay_ms;
	int seed;
} upstream_set_t;

/**
 * harness_start_upstreams() - Starts the servers in one process and writes the
 * service and index objects. Server N of a service is SERVICE-sN, from 1.
 */
void harness_start_upstreams(harness_t *harness, const upstream_set_t *set);

const char *harness_server_address(harness_t *harness, const char *server);

/** harness_fault() - Orders faults of one server. */
void harness_fault(harness_t *harness, const char *server, const char *order);

/** harness_record() - One server's record; the caller drops it. */
json_t *harness_record(harness_t *harness, const char *server);

/** harness_record_int() - One number of a server's record. */
int64_t harness_record_int(
    harness_t *harness, const char *server, const char *field);

/** harness_record_sum(), harness_record_max() - Over all servers. */
int64_t harness_record_sum(harness_t *harness, const char *field);
int64_t harness_record_max(harness_t *harness, const char *field);

/** harness_executions() - How often a key ran, over all servers. */
int64_t harness_executions(harness_t *harness, const char *key);

/** typedef contract_spec_t - A contract to write. */
typedef struct {
	const char *customer;
	const char *key;      /* the secret of its only caller */
	const char *indexes;  /* separated by commas; may be empty */
	const char *services; /* the same */
	double rate_per_s;
	int concurrency;
	int deadline_ms;
	int repeat_window_h;
	bool retired;
} contract_spec_t;

uint64_t harness_put_contract(harness_t *harness, const contract_spec_t *spec);

/**
 * harness_name_nodes() - Chooses names and addresses of a tier that is started
 * node by node, and lists its VMs.
 */
void harness_name_nodes(harness_t *harness, int nodes);

/** harness_list_vms() - Sets the VM list; @gone is a mask of ended nodes. */
void harness_list_vms(harness_t *harness, unsigned gone, int lag_ms);

/** harness_start_tier() - Starts nodes and waits until they are ready. */
void harness_start_tier(harness_t *harness, int nodes);

/** harness_start_node() - Starts one node of the tier, without waiting. */
void harness_start_node(harness_t *harness, int node);
void harness_wait_node(harness_t *harness, int node);
void harness_kill_node(harness_t *harness, int node);

#endif
