#ifndef BULRUSHWELL_PLANNER_H
#define BULRUSHWELL_PLANNER_H

#include <stdbool.h>

#include "bulrushwell/assignment.h"
#include "bulrushwell/clock.h"

/**
 * DOC: Planner of the assignment
 *
 * Each node computes, from the assignment in force and from what it knows of
 * the cell, the next version of the assignment that it would write. A node is
 * usable, so that it may get shares, when it is live, ready and not gone, and
 * not the planning node while that is stopping.
 */

/** typedef planner_node_t - What the planning node knows about one node. */
typedef struct {
	name_t node;
	uint64_t incarnation; /* the latest known one */
	name_t data_centre;
	bool live;  /* heard within the silence limit, or the planning node */
	bool ready; /* neither starting nor stopping */
	bool gone;  /* this incarnation is proven to have ended */
} planner_node_t;

/** typedef planner_service_t - A service and the limits of its servers. */
typedef struct {
	name_t service;
	uint32_t slots;	      /* concurrent requests on each server */
	uint32_t connections; /* connections to each server */
} planner_service_t;

/**
 * struct planner_input - What a plan depends on besides the assignment.
 * @self: the planning node
 * @stopping: the planning node is stopping; it gets no new shares or units, and
 * planner_excess_units() returns all of its units
 * @nodes: the known nodes, including the planning node; borrowed
 * @services: the services that are to be assigned; borrowed
 * @releasable: names of the services whose share this node may give up now
 * according to ledger_may_release(); the plan releases all of them; borrowed
 * @release_units: bit mask of units that this node no longer uses; the plan
 * releases all of them
 *
 * Incarnations of a listed node before the one given are gone as well.
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
 * planner_plan() - Computes the next version of the assignment.
 * @current: the assignment in force, or NULL when none exists
 *
 * A plan gives free slots to new holders, or to a present one when two holders
 * are usable; gives units without an owner to nodes; changes the order of
 * holders; removes holders and members that are gone; and releases shares and
 * units of this node. It takes nothing from another process that may still
 * run. The version of the plan is 0 and its token is empty.
 *
 * Return: a plan owned by the caller, or NULL when nothing is to be changed.
 */
assignment_t *planner_plan(
    const assignment_t *current, const planner_input_t *input);

/**
 * planner_write_delay() - How long this node waits before it writes a plan, so
 * that usually only one node writes: proportional to the number of live nodes
 * whose names sort before its own. 0 when it is stopping, or when the plan
 * releases its own shares or units.
 */
usec_t planner_write_delay(const planner_input_t *input);

/**
 * planner_excess_units() - Units that this node should stop using and release:
 * all when it is stopping, otherwise those above an equal division among the
 * usable nodes, when another one has fewer than that.
 * @current: the assignment in force, or NULL
 *
 * Return: a bit mask of units; 0 when there is nothing to release.
 */
uint64_t planner_excess_units(
    const assignment_t *current, const planner_input_t *input);

/**
 * planner_excess_service() - Finds a service whose share this node should give
 * up, because the node that would get it holds at least two shares fewer. The
 * service must have another usable holder, and moving the share must not bring
 * both holders into one data centre.
 * @current: the assignment in force, or NULL
 *
 * Return: the name, valid as long as @current, or NULL.
 */
const char *planner_excess_service(
    const assignment_t *current, const planner_input_t *input);

#endif
