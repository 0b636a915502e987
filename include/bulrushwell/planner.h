#ifndef BULRUSHWELL_PLANNER_H
#define BULRUSHWELL_PLANNER_H

#include <stdbool.h>

#include "bulrushwell/assignment.h"
#include "bulrushwell/clock.h"

/** typedef planner_node_t - What the planning node knows of one node. */
typedef struct {
	name_t node;
	uint64_t incarnation; /* the latest one known */
	name_t data_centre;
	bool live;  /* heard within the silence limit, or the node itself */
	bool ready; /* neither starting nor stopping */
	bool gone;  /* this incarnation is proven gone */
} planner_node_t;

typedef struct {
	name_t service;
	uint32_t slots;
	uint32_t connections;
} planner_service_t;

/**
 * struct planner_input - Everything that a plan depends on.
 * @releasable: names of services whose share this node may give up now, by
 * ledger_may_release(); a plan always gives them up
 * @release_units: units (bits) that this node has already stopped using
 * @stopping: this node is stopping and gives up what is releasable
 *
 * An earlier incarnation of a listed node is gone as well.
 */
typedef struct planner_input {
	name_t cell;
	name_t self;
	uint64_t self_incarnation;
	bool stopping;
	const planner_node_t *nodes;
	size_t node_count;
	const planner_service_t *services;
	size_t service_count;
	const name_t *releasable;
	size_t releasable_count;
	uint64_t release_units;
} planner_input_t;

/**
 * planner_plan() - The next version that this node wants.
 * @current: the assignment in force, or NULL when none exists
 *
 * Makes only legal changes: adds holders with free shares, adds a free share to
 * a holder when two are live, reorders, drops holders that are gone, and drops
 * shares and units of this node itself. The draft has neither version nor
 * token.
 *
 * Return: a draft owned by the caller, or NULL when nothing is to change.
 */
assignment_t *planner_plan(
    const assignment_t *current, const planner_input_t *input);

/**
 * planner_delay() - How long this node leaves the change to others: its rank
 * among live nodes times a step, 0 when the change releases its own shares.
 */
usec_t planner_delay(const planner_input_t *input);

/**
 * planner_excess_units() - Units above this node's even part that it should
 * stop using and release, so that live members without units get some.
 */
uint64_t planner_excess_units(
    const assignment_t *current, const planner_input_t *input);

/**
 * planner_excess_service() - A service whose share this node should give up
 * because it holds more shares than its even part while another live ready node
 * holds fewer; NULL when balanced. Changes of less than two are ignored, and so
 * are those that would leave both holders in one data centre.
 */
const char *planner_excess_service(
    const assignment_t *current, const planner_input_t *input);

#endif
