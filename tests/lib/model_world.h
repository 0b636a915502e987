#ifndef TESTS_LIB_MODEL_WORLD_H
#define TESTS_LIB_MODEL_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/assignment.h"
#include "bulrushwell/membership.h"

/**
 * DOC: Simulated environment of the nodes
 *
 * One upstream server, the network between the nodes and to the server, and the
 * platform. Time is simulated, and all random choices follow from one seed. The
 * slot limit is checked against the server's own list of running requests.
 */
#define WORLD_NODES 4
#define WORLD_SERVER WORLD_NODES /* the server's endpoint */
#define WORLD_ENDPOINTS (WORLD_NODES + 1)
#define WORLD_SERVICE "slotplan"

typedef enum {
	MESSAGE_HEARTBEAT,
	MESSAGE_REPLY,	 /* a node's answer to a heartbeat */
	MESSAGE_REQUEST, /* from a node to the server */
	MESSAGE_ANSWER	 /* the server's answer to a request */
} message_kind_t;

/** typedef message_t - A message in the network or a request that runs. */
typedef struct {
	message_kind_t kind;
	usec_t due_at; /* of delivery; of a running request: its end */
	int from;
	int to;
	uint64_t from_incarnation;
	uint64_t to_incarnation; /* 0: any */
	uint64_t id;		 /* heartbeat sequence or request id */
	peer_report_t report;	 /* HEARTBEAT */
	bool asks_for_loan;	 /* HEARTBEAT */
	uint32_t slots;		 /* REPLY: slots lent */
	usec_t deadline;	 /* REQUEST: by the sender's wall clock */
	usec_t started_at;	 /* REQUEST: when the server began to run it */
} message_t;

/**
 * typedef operation_t - A platform call that reads or writes the assignment;
 * its answer also has the VM list.
 */
typedef struct {
	usec_t applied_at;
	usec_t answered_at;
	bool applied;
	bool reply_lost; /* the caller never gets the answer */
	int node;
	uint64_t incarnation;
	uint64_t id;
	bool is_write;
	uint64_t expected_version; /* write: the version to replace */
	char *text;	  /* the new assignment; in the answer the stored one */
	uint64_t version; /* of the stored assignment */
	bool conflict;
	size_t vm_count;
	vm_entry_t *vms;
} operation_t;

/** typedef vm_record_t - A VM as the platform knows it. */
typedef struct {
	name_t vm;
	int node;
	usec_t created_at;
	usec_t ended_at;     /* 0: still running */
	bool listed_as_gone; /* after its end; false: omitted */
} vm_record_t;

/** typedef world_callbacks_t - Functions that the environment calls. */
typedef struct {
	void (*deliver_message)(void *context, const message_t *message);
	void (*deliver_answer)(void *context, const operation_t *operation);
	/* Whether the process of an incarnation still runs. */
	bool (*process_exists)(
	    void *context, const char *node, uint64_t incarnation);
	void *context;
} world_callbacks_t;

/**
 * typedef world_t - State of the environment. A fault lasts until the time in
 * its field that ends in _until.
 */
typedef struct {
	uint64_t random_state;
	usec_t now;
	uint32_t slot_limit; /* of the server */
	world_callbacks_t callbacks;
	/* network */
	GArray *messages;
	usec_t link_down_until[WORLD_ENDPOINTS][WORLD_ENDPOINTS];
	usec_t network_slow_until; /* messages may take up to 800 ms */
	uint32_t loss_percent;
	/* server */
	GArray *running_requests; /* message_t; due_at: when it ends */
	usec_t server_clock_error;
	uint64_t next_id;
	uint32_t max_running;
	uint32_t full_length_odds; /* of 10,000 requests, run to the deadline */
	/* platform */
	GArray *operations;
	char *assignment_text; /* the stored JSON, or NULL */
	uint64_t version;
	usec_t platform_down_until;
	usec_t platform_slow_until;
	usec_t lose_replies_until;
	usec_t platform_link_down_until[WORLD_NODES];
	usec_t vm_list_max_lag;
	usec_t vm_list_time; /* of the listed state; never goes back */
	GArray *vms;	     /* vm_record_t */
	uint64_t conflict_count;
	uint64_t write_count;
} world_t;

/** world_init() - Sets up an environment without faults. */
void world_init(world_t *world, uint64_t seed, uint32_t slot_limit,
    const world_callbacks_t *callbacks);

/** world_clear() - Frees what the environment owns. */
void world_clear(world_t *world);

/** world_random() - Returns a random number less than @limit. */
uint64_t world_random(world_t *world, uint64_t limit);

/** world_random_between() - Returns a random number from @low to @high. */
usec_t world_random_between(world_t *world, usec_t low, usec_t high);

/** world_random_chance() - Returns true with a probability of @percent. */
bool world_random_chance(world_t *world, uint32_t percent);

/** world_send() - Sends a message, which may be lost or late. */
void world_send(world_t *world, const message_t *message);

/** world_call() - Starts a platform call; takes ownership of its text. */
void world_call(world_t *world, const operation_t *operation);

/** world_step() - Advances time by @by and handles all that became due. */
void world_step(world_t *world, usec_t by);

/** world_heal() - Ends all faults of the network and the platform. */
void world_heal(world_t *world);

/** world_start_vm() - Adds a VM of a node to the platform's VM list. */
void world_start_vm(world_t *world, int node, const char *vm);

/** world_end_vm() - Marks a VM as ended; it is listed for a while after. */
void world_end_vm(world_t *world, const char *vm);

#endif
