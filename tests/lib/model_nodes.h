#ifndef TESTS_LIB_MODEL_NODES_H
#define TESTS_LIB_MODEL_NODES_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/ledger.h"
#include "bulrushwell/membership.h"
#include "model_world.h"

/**
 * DOC: Modelled nodes
 *
 * Each node runs the real ledger, planner, membership and assignment modules on
 * a clock of its own, wired as in the daemon.
 */
#define MAX_CHARGES 64

typedef struct {
	uint64_t id;
	usec_t given_up_at; /* deadline and a margin, own clock */
} charge_t;

typedef struct {
	int place;
	bool runs;
	bool paused;
	bool stopping;
	uint32_t wanted; /* requests that it would run at once */
	bool ready;
	usec_t resumes_at;
	usec_t restarts_at;
	usec_t offset;
	double rate;
	usec_t wall_error;
	uint32_t vm_number;
	name_t name;
	name_t vm;
	name_t data_centre;
	address_t address;
	uint64_t incarnation;
	membership_t *membership;
	ledger_t *ledger;
	assignment_t *assignment;
	uint32_t charged;
	charge_t charges[MAX_CHARGES];
	message_t held; /* checked against the limit, sent after the pause */
	uint64_t call;	/* outstanding operation, or 0 */
	bool call_writes;
	usec_t called_at;
	usec_t next_read;
	usec_t next_plan;
	usec_t wanted_since;
	GArray *inbox; /* message_t that arrived during a pause */
} node_t;

typedef struct {
	world_t world;
	usec_t longest;
	bool chaos;
	uint64_t fault_interval;  /* mean steps between faults */
	uint64_t demand_interval; /* the same for changes of demand */
	uint64_t calls;
	uint64_t dispatched;
	uint64_t loans;
	uint64_t steps;
	uint64_t releases;
	uint64_t drops;
	usec_t slowest_settling;
	node_t nodes[WORLD_NODES];
} model_t;

usec_t model_local_time(const model_t *model, const node_t *node);

/** model_is_serving() - Whether a node adopted itself as serving node. */
bool model_is_serving(const node_t *node);

void model_start_node(model_t *model, node_t *node);

/** model_end_node() - Kills the process; it restarts after a while. */
void model_end_node(model_t *model, node_t *node, usec_t restart_after);

void model_replace_vm(model_t *model, node_t *node);

/** model_step_node() - Does what is due, unless the node is paused. */
void model_step_node(model_t *model, node_t *node);

/** model_callbacks() - What the world asks of the nodes. */
world_callbacks_t model_callbacks(model_t *model);

#endif
