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
 * DOC: Process test harness
 *
 * Starts the programs of $BUILD/bin on ports of 127.0.0.1, each in its own
 * process group with its standard error in $BUILD/test-logs/, and kills them
 * all when the test finishes, fails or is terminated by a signal. A failure of
 * the harness fails the running test.
 */
#define HARNESS_MAX_PROCESSES 400 /* that one test may start */
#define HARNESS_MAX_NODES 16

/* Limit of a process start and of a request to a stand-in. Sanitizer builds
 * start slowly on a busy machine. */
#define HARNESS_TIMEOUT_MS 20000

typedef int process_t; /* index into harness_t.processes */

typedef struct {
	pid_t pid;  /* 0 once it has been reaped */
	int output; /* read end of its standard output, or -1 */
	char name[64];
} harness_process_t;

typedef struct {
	name_t name;
	name_t vm;
	address_t caller_address;
	address_t operator_address;
	address_t peer_address;
	address_t platform_address; /* empty: harness_t.platform */
	/* Address at which each other node is reached; empty: its own. */
	address_t peer_proxies[HARNESS_MAX_NODES];
	const char *peer_key_file; /* borrowed; NULL: none */
	process_t process;	   /* -1 while the node is not running */
} harness_node_t;

typedef struct {
	harness_process_t processes[HARNESS_MAX_PROCESSES];
	int process_count;
	address_t platform_address;
	process_t platform_process;
	address_t
	    control_address; /* control endpoint of the upstream servers */
	process_t upstream_process;
	GHashTable *servers; /* server name -> address */
	int node_count;
	harness_node_t nodes[HARNESS_MAX_NODES];
} harness_t;

/** HARNESS_TEST() - cmocka table entry whose *state is a harness_t. */
#define HARNESS_TEST(test) \
	cmocka_unit_test_setup_teardown(test, harness_setup, harness_teardown)

/** harness_setup() - Allocates a harness_t and stores it in @state. */
int harness_setup(void **state);

/** harness_teardown() - Kills all processes and frees the harness. */
int harness_teardown(void **state);

/**
 * harness_build_directory() - Build directory.
 *
 * Return: $BUILD, or the build directory that contains this test program. The
 * harness owns the string.
 */
const char *harness_build_directory(void);

/** harness_find_unused_address() - Sets @address to an unused 127.0.0.1:PORT.
 */
void harness_find_unused_address(address_t address);

/**
 * harness_spawn() - Starts a program.
 * @program: file name in $BUILD/bin
 * @name: prefix of the log file's name
 * @arguments: NULL-terminated, without the program's name
 * @keep_output: connect standard output to a pipe, which harness_wait_ready()
 * reads; otherwise it goes to the log file
 *
 * Return: the index of the process.
 */
process_t harness_spawn(harness_t *harness, const char *program,
    const char *name, const char *const *arguments, bool keep_output);

/**
 * harness_wait_ready() - Waits until the process prints the line "ready".
 *
 * Fails the test after HARNESS_TIMEOUT_MS. The process must have been started
 * with @keep_output true.
 */
void harness_wait_ready(harness_t *harness, process_t process);

/**
 * harness_wait_status() - Polls an endpoint until it returns HTTP @status.
 *
 * Fails the test after @timeout_ms.
 */
void harness_wait_status(
    const char *address, const char *path, int status, int timeout_ms);

/** harness_signal() - Sends a signal unless the process has been reaped. */
void harness_signal(harness_t *harness, process_t process, int signal_number);

/** harness_kill() - Kills the process group and reaps the process. */
void harness_kill(harness_t *harness, process_t process);

/**
 * harness_wait_exit() - Waits for a process to exit by itself.
 *
 * Return: its wait status, or -1 when it is still running after @timeout_ms.
 */
int harness_wait_exit(harness_t *harness, process_t process, int timeout_ms);

/**
 * typedef http_reply_t - An HTTP response; status 0 when there was none.
 *
 * Freed with http_reply_clear().
 */
typedef struct {
	int status;
	bool connect_failed; /* the connection could not be established */
	GString *body;
	GHashTable *headers; /* lower-case name -> value */
	json_t *json;	     /* NULL when the body is not JSON */
	usec_t elapsed;	     /* from the request to the end of the response */
	char sent_id[32];    /* of world_request(): the id of the request */
} http_reply_t;

/**
 * harness_http() - Sends one request on a new connection.
 * @headers: NULL-terminated header lines; may be NULL
 * @body: may be NULL
 */
http_reply_t harness_http(const char *method, const char *address,
    const char *path, const char *const *headers, const char *body,
    int timeout_ms);

/** http_reply_clear() - Frees the contents of a response and resets it. */
void http_reply_clear(http_reply_t *reply);

/**
 * http_reply_header() - Value of a header, whose name is case-insensitive.
 *
 * Return: a string owned by @reply, or NULL when the header is absent.
 */
const char *http_reply_header(const http_reply_t *reply, const char *name);

/** harness_post() - POSTs @body; fails the test unless the status is 200. */
void harness_post(const char *address, const char *path, const char *body);

/**
 * harness_get_json() - GETs a JSON document.
 *
 * Fails the test unless the status is 200 and the body is JSON.
 *
 * Return: a new reference.
 */
json_t *harness_get_json(const char *address, const char *path);

/** harness_start_platform() - Starts the platform stand-in and waits for it. */
void harness_start_platform(harness_t *harness);

/**
 * harness_put_object() - Creates or replaces an object of the platform.
 * @value: the function takes over the reference
 *
 * Return: the version that was written.
 */
uint64_t harness_put_object(
    harness_t *harness, const char *kind, const char *name, json_t *value);

/** typedef upstream_group_t - Services whose servers have the same settings. */
typedef struct {
	const char *name; /* service names: NAME, or NAME-1 .. NAME-N */
	int services;	  /* number of services */
	int servers;	  /* servers per service */
	int slots;	  /* per server */
	int connections;  /* per server */
	int connect_ms;	  /* extra delay of a connection's first response */
	double p50_ms;	  /* latency of a request: median */
	double p99_ms;	  /* latency of a request: 99th percentile */
	bool indexed;	  /* each service holds one shard of the index */
} upstream_group_t;

/** typedef upstream_set_t - All upstream servers of a test. */
typedef struct {
	const upstream_group_t *groups;
	size_t group_count;
	const char *index; /* NULL: none */
	int version;	   /* of the index */
	double delay_ms;   /* one way, added to each request and response */
	int seed;	   /* of the first server's latencies */
} upstream_set_t;

/**
 * harness_start_upstreams() - Starts the upstream servers.
 *
 * They run in one process. Writes the service and index objects. Server N of a
 * service is named SERVICE-sN; N starts at 1.
 */
void harness_start_upstreams(harness_t *harness, const upstream_set_t *set);

/** harness_server_address() - Address of a server, owned by the harness. */
const char *harness_server_address(harness_t *harness, const char *server);

/** harness_set_faults() - Sets faults of one server; @faults is a JSON object.
 */
void harness_set_faults(
    harness_t *harness, const char *server, const char *faults);

/**
 * harness_record() - Fetches the record that a server keeps of its requests.
 *
 * Return: a new reference to a JSON object: counters by name, and "executions"
 * with the number of executions by idempotency key.
 */
json_t *harness_record(harness_t *harness, const char *server);

/** harness_record_int() - Reads an integer of a server's record. */
int64_t harness_record_int(
    harness_t *harness, const char *server, const char *field);

/** harness_record_sum() - Sum of a record's integer over all servers. */
int64_t harness_record_sum(harness_t *harness, const char *field);

/** harness_record_max() - Maximum of a record's integer over all servers. */
int64_t harness_record_max(harness_t *harness, const char *field);

/** harness_executions() - Executions of an idempotency key on all servers. */
int64_t harness_executions(harness_t *harness, const char *key);

/** typedef contract_spec_t - Contents of a contract object. */
typedef struct {
	const char *customer;
	const char *key;      /* secret key of its only caller */
	const char *indexes;  /* separated by commas; may be empty */
	const char *services; /* separated by commas; may be empty */
	double rate_per_s;
	int concurrency;
	int deadline_ms;
	int repeat_window_h;
	bool retired;
} contract_spec_t;

/** harness_put_contract() - Writes a contract; returns its version. */
uint64_t harness_put_contract(harness_t *harness, const contract_spec_t *spec);

/**
 * harness_add_nodes() - Extends the tier to @nodes nodes; starts none.
 *
 * Assigns names and addresses to the new nodes and sets the platform's VM list.
 */
void harness_add_nodes(harness_t *harness, int nodes);

/**
 * harness_set_vms() - Sets the platform's VM list.
 * @gone: bit mask of nodes whose VMs are left out
 * @lag_ms: delay until the platform shows the list
 */
void harness_set_vms(harness_t *harness, unsigned gone, int lag_ms);

/** harness_start_tier() - Starts nodes and waits until they are ready. */
void harness_start_tier(harness_t *harness, int nodes);

/** harness_start_node() - Starts one node of the tier without waiting. */
void harness_start_node(harness_t *harness, int node);

/** harness_wait_node_ready() - Waits until /readyz of a node returns 200. */
void harness_wait_node_ready(harness_t *harness, int node);

/** harness_kill_node() - Kills a node with SIGKILL and reaps its process. */
void harness_kill_node(harness_t *harness, int node);

#endif
