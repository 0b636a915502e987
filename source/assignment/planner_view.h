#ifndef ASSIGNMENT_PLANNER_VIEW_H
#define ASSIGNMENT_PLANNER_VIEW_H

#include "bulrushwell/planner.h"

/* Number of usable holders of a service: the serving node and a standby. */
#define TARGET_HOLDERS 2

/* The smallest difference between the numbers of services of two nodes that is
 * corrected. At a difference of 1, moving a service would only reverse it. */
#define MIN_IMBALANCE 2

/**
 * typedef planner_view_t - The input of a plan, an assignment, and for each
 * node of the input the number of services that it holds a share of, and of
 * those that it serves as the first holder.
 */
typedef struct {
	const planner_input_t *input; /* borrowed */
	assignment_t *assignment;     /* borrowed */
	size_t usable_count;	      /* usable nodes, see view_is_usable() */
	uint32_t *held_counts;	      /* by position in input->nodes */
	uint32_t *served_counts;      /* by position in input->nodes */
} planner_view_t;

/** typedef planner_candidate_t - A node that may get a free share. */
typedef struct {
	const planner_node_t *node; /* NULL: none */
	bool other_data_centre;	    /* than the other holder */
	bool below_target;	    /* holds fewer shares than an equal part */
	uint64_t weight;	    /* of rendezvous hashing */
} planner_candidate_t;

/** view_init() - Counts the services of each node; see view_clear(). */
void view_init(planner_view_t *view, const planner_input_t *input,
    assignment_t *assignment);

/** view_clear() - Frees the counts. */
void view_clear(planner_view_t *view);

/** view_recount() - Updates the counts after changes of the assignment. */
void view_recount(planner_view_t *view);

/** view_find_node() - Finds a node of the input by its name, or NULL. */
const planner_node_t *view_find_node(
    const planner_input_t *input, const char *node);

/**
 * view_is_usable() - Whether a node may get shares: it is live and ready, and
 * not the planning node while that is stopping.
 */
bool view_is_usable(const planner_input_t *input, const planner_node_t *node);

/** view_is_gone() - Whether a process of a node is proven to have ended. */
bool view_is_gone(
    const planner_input_t *input, const char *name, uint64_t incarnation);

/**
 * view_find_usable_node() - Finds a node, or NULL unless it is usable and has
 * this incarnation.
 */
const planner_node_t *view_find_usable_node(
    const planner_input_t *input, const char *name, uint64_t incarnation);

/**
 * view_find_usable_holder() - Finds the first usable holder of a service other
 * than @excluded, which may be NULL.
 */
const planner_node_t *view_find_usable_holder(const planner_input_t *input,
    const assigned_service_t *service, const char *excluded);

/**
 * view_choose_holder() - Chooses the node that gets a free share of a service.
 * @excluded: a node that must not get it, or NULL
 *
 * Prefers a data centre other than that of the other usable holder, then
 * applies rendezvous hashing with bounded loads: nodes that already hold an
 * equal part of all shares come last. Hashing alone would not balance a small
 * number of nodes.
 *
 * Return: the best candidate; its node is NULL when none is usable.
 */
planner_candidate_t view_choose_holder(const planner_view_t *view,
    const assigned_service_t *service, const char *excluded);

#endif
