#ifndef TESTS_LIB_MODEL_WORLD_H
#define TESTS_LIB_MODEL_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/assignment.h"
#include "bulrushwell/membership.h"

/**
 * DOC: Modelled surroundings of the nodes
 *
 * One upstream server, the network between nodes and to the server, and the
 * platform, in modelled time and from one seed. The server's own list of
 * running requests is the record that the cap is judged by.
 */
#define WORLD_NODES 4
#define WORLD_SERVER WORLD_NODES /* the server's place in the network */
#define WORLD_PLACES (WORLD_NODES + 1)
#define WORLD_SERVICE "slotplan"

typedef enum {
	MESSAGE_HEARTBEAT,
	MESSAGE_REPLY,	 /* to a heartbeat */
	MESSAGE_REQUEST, /* to the server */
	MESSAGE_ANSWER	 /* of the server */
} message_kind_t;

typedef struct {
	message_kind_t kind;
	usec_t at; /* of delivery */
	int from;
	int to;
	uint64_t from_incarnation;
	uint64_t to_incarnation; /* 0: any */
	uint64_t id;		 /* heartbeat sequence or request */
	peer_report_t report;	 /* HEARTBEAT */
	bool asks;		 /* HEARTBEAT: for a loan */
	uint32_t slots;		 /* REPLY: lent */
	usec_t deadline;	 /* REQUEST: wall clock of the sender */
	usec_t started_at;	 /* REQUEST: when the server began to run it */
} message_t;

/** typedef operation_t - A call of the platform's object API. */
typedef struct {
	usec_t applied_at;
	usec_t answered_at;
	bool applied;
	bool lost; /* the answer never arrives */
	int node;
	uint64_t incarnation;
	uint64_t id;
	bool write;
	uint64_t expected; /* write: version */
	char *text;	   /* write: new object; later the stored one */
	uint64_t version;  /* of the answer */
	bool conflict;
	size_t vm_count;
	vm_entry_t *vms;
} operation_t;

typedef struct {
	name_t vm;
	int node;
	usec_t created_at;
	usec_t ended_at; /* 0: runs */
	bool shown_gone; /* after its end it is listed as gone, not omitted */
} vm_record_t;

/** typedef world_callbacks_t - What the world asks of the nodes' model. */
typedef struct {
	void (*deliver)(void *context, const message_t *message);
	void (*answer)(void *context, const operation_t *operation);
	/* Whether the process of an incarnation still exists. */
	bool (*runs)(void *context, const char *node, uint64_t incarnation);
	void *context;
} world_callbacks_t;

typedef struct {
	uint64_t random;
	usec_t now;
	uint32_t cap;
	world_callbacks_t callbacks;
	/* network */
	GArray *messages;
	usec_t cut_until[WORLD_PLACES][WORLD_PLACES];
	usec_t slow_until; /* messages may take up to 800 ms */
	uint32_t loss_percent;
	/* server */
	GArray *running; /* message_t with at = when it ends */
	usec_t server_wall;
	uint64_t next_id;
	uint32_t most_running;
	uint32_t full_odds; /* of 10,000 requests, run to their deadline */
	/* platform */
	GArray *operations;
	char *text; /* of the assignment object, or NULL */
	uint64_t version;
	usec_t down_until;
	usec_t platform_slow_until;
	usec_t lose_answers_until;
	usec_t platform_cut_until[WORLD_NODES];
	usec_t list_lag;
	usec_t listed_at; /* the VM list never goes back */
	GArray *vms;	  /* vm_record_t */
	uint64_t conflicts;
	uint64_t writes;
} world_t;

void world_init(world_t *world, uint64_t seed, uint32_t cap,
    const world_callbacks_t *callbacks);
void world_clear(world_t *world);

/** world_random() - A number below @below. */
uint64_t world_random(world_t *world, uint64_t below);
usec_t world_between(world_t *world, usec_t low, usec_t high);
bool world_percent(world_t *world, uint32_t percent);

/** world_send() - Sends a message, which may be lost or late. */
void world_send(world_t *world, const message_t *message);

/** world_call() - Starts an operation; the world owns its text. */
void world_call(world_t *world, const operation_t *operation);

/** world_step() - Advances time and does all that is due. */
void world_step(world_t *world, usec_t by);

/** world_heal() - Ends all faults of the surroundings. */
void world_heal(world_t *world);

void world_start_vm(world_t *world, int node, const char *vm);
void world_end_vm(world_t *world, const char *vm);

#endif
