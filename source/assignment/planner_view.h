#ifndef ASSIGNMENT_PLANNER_VIEW_H
#define ASSIGNMENT_PLANNER_VIEW_H

#include "bulrushwell/planner.h"

/* Holders of a service in normal operation: serving node and standby. */
#define WANTED_HOLDERS 2

/* Differences in the number of services below this are left alone, so that a
 * correction never causes its own reversal. */
#define CLEAR_IMBALANCE 2

/**
 * typedef planner_view_t - An input with an assignment, and how many services
 * each node holds a share of and serves, by its position in the input.
 */
typedef struct {
	const planner_input_t *input;
	assignment_t *assignment;
	size_t usable_count; /* live ready nodes */
	uint32_t *held;
	uint32_t *served;
} planner_view_t;

/** typedef planner_candidate_t - The node that would get a free share. */
typedef struct {
	const planner_node_t *node; /* NULL: none */
	bool apart; /* in another data centre than the other holder */
	bool below; /* holds fewer shares than an even part */
	uint64_t weight;
} planner_candidate_t;

void view_init(planner_view_t *view, const planner_input_t *input,
    assignment_t *assignment);
void view_clear(planner_view_t *view);

/** view_count() - Counts the services of each node again. */
void view_count(planner_view_t *view);

const planner_node_t *view_find_node(
    const planner_input_t *input, const char *node);

/** view_is_usable() - Whether a node is live and ready to serve. */
bool view_is_usable(const planner_input_t *input, const planner_node_t *node);

/** view_is_gone() - Whether an incarnation of a node is proven gone. */
bool view_is_gone(
    const planner_input_t *input, const char *node, uint64_t incarnation);

/** view_usable_node() - The node when this incarnation of it is usable. */
const planner_node_t *view_usable_node(
    const planner_input_t *input, const char *node, uint64_t incarnation);

/** view_usable_holder() - The first usable holder other than @except. */
const planner_node_t *view_usable_holder(const planner_input_t *input,
    const assigned_service_t *service, const char *except);

/**
 * view_choose_holder() - The node that gets a free share of a service.
 * @except: a node that must not get it, or NULL
 *
 * Prefers another data centre than the other holder's, then rendezvous hashing
 * with bounded loads: nodes that hold an even part of all shares already come
 * last, so that small fleets are balanced as well.
 */
planner_candidate_t view_choose_holder(const planner_view_t *view,
    const assigned_service_t *service, const char *except);

#endif
