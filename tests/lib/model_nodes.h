#ifndef TESTS_LIB_MODEL_NODES_H
#define TESTS_LIB_MODEL_NODES_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/ledger.h"
#include "bulrushwell/membership.h"
#include "model_world.h"

/**
 * DOC: Simulated nodes
 *
 * Each node runs the real ledger, planner, membership and assignment modules on
 * a clock of its own, connected as in the daemon.
 */
#define MAX_CHARGED_REQUESTS 64

/** typedef charged_request_t - A request that occupies a slot of the server. */
typedef struct {
	uint64_t id;
	usec_t expires_at; /* deadline and a margin, on the node's clock */
} charged_request_t;

/**
 * typedef node_t - One simulated node. Except for resumes_at and restarts_at,
 * which are in simulated time, its times are those of its own clock.
 */
typedef struct {
	int index;
	bool running;
	bool paused;
	bool stopping;
	uint32_t demand; /* requests that it has to run at once */
	bool ready;
	usec_t resumes_at;
	usec_t restarts_at;
	usec_t clock_offset;
	double clock_rate;	 /* relative to the simulated time */
	usec_t wall_clock_error; /* added to the simulated time */
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
	charged_request_t charged_requests[MAX_CHARGED_REQUESTS];
	message_t delayed_request; /* sent when the pause ends */
	uint64_t pending_call; /* id of the platform call in progress, or 0 */
	bool pending_call_is_write;
	usec_t call_started_at;
	usec_t next_read_at;
	usec_t next_plan_at;
	usec_t proposal_pending_since;
	GArray *inbox; /* message_t, received during a pause */
} node_t;

/** typedef model_t - The environment, the nodes, and counts for the report. */
typedef struct {
	world_t world;
	usec_t longest_deadline;
	bool faults_enabled;
	uint64_t fault_interval;  /* mean number of steps between faults */
	uint64_t demand_interval; /* mean steps between changes of demand */
	uint64_t call_count;
	uint64_t dispatched_count;
	uint64_t loan_count;
	uint64_t step_count;
	uint64_t release_count;
	uint64_t gone_count; /* how often a node found another proven gone */
	usec_t longest_recovery;
	node_t nodes[WORLD_NODES];
} model_t;

/** model_local_time() - The time on the monotonic clock of a node. */
usec_t model_local_time(const model_t *model, const node_t *node);

/**
 * model_is_serving() - Whether a node is the serving node according to the
 * assignment that it has adopted.
 */
bool model_is_serving(const node_t *node);

/** model_start_node() - Starts a process with a new incarnation and clock. */
void model_start_node(model_t *model, node_t *node);

/** model_end_node() - Kills the process; it restarts after @restart_after. */
void model_end_node(model_t *model, node_t *node, usec_t restart_after);

/** model_replace_vm() - Ends the VM of a node, if any, and starts a new one. */
void model_replace_vm(model_t *model, node_t *node);

/** model_step_node() - Does the due work of a node that is not paused. */
void model_step_node(model_t *model, node_t *node);

/** model_callbacks() - The functions by which the environment calls nodes. */
world_callbacks_t model_callbacks(model_t *model);

#endif
