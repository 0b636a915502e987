#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "load_report.h"

/**
 * DOC: Server selection: which server of a service gets an attempt
 *
 * Load pattern: a few servers, each with few slots, of which some pause, become
 * slow, fail part of their requests, stop responding or leave. Each node rates
 * them by its own attempts alone and selects the server with the shortest
 * expected duration. What servers report of their load and pace is used beside
 * that, see load_report.h.
 */

/** What a node has measured of one server by its own attempts. */
typedef struct {
	double slowness;	  /* duration of attempts / typical one */
	usec_t stalled_at;	  /* when the last stalled attempt ended */
	double failure_rate;	  /* recent share of failed attempts, 0..1 */
	double average_load;	  /* recent mean of running attempts */
	usec_t decayed_at;	  /* when the estimates last decayed */
	double concurrency_limit; /* attempts that may run at once */
	uint32_t ejections;	  /* in a row, without a response between */
	usec_t ejected_until;
	bool unproven; /* ejected, and no connection established since */
} server_health_t;

/** server_health_init() - A healthy server without samples. */
void server_health_init(
    server_health_t *health, double concurrency_limit, usec_t now);

/**
 * server_health_answered() - An attempt ended with a response.
 * @elapsed: its duration
 * @typical: usual duration of an attempt of the route
 * @max_concurrency: upper bound of the concurrency limit
 */
void server_health_answered(server_health_t *health, usec_t elapsed,
    usec_t typical, double max_concurrency, usec_t now);

/** server_health_failed() - An attempt failed; the server is not ejected. */
void server_health_failed(server_health_t *health, usec_t now);

/**
 * server_health_overloaded() - The server refused an attempt because it is
 * full.
 * @running: attempts of this node that it has
 */
void server_health_overloaded(
    server_health_t *health, uint32_t running, usec_t now);

/** server_health_connection_failed() - Ejects a server that refused or reset
 * connections or was silent; consecutive ejections last longer. */
void server_health_connection_failed(server_health_t *health, usec_t now);

/** server_health_connected() - A connection to the server was established. */
void server_health_connected(server_health_t *health);

/** server_health_usable() - Whether it is not ejected and may get attempts. */
bool server_health_usable(const server_health_t *health, usec_t now);

/** A server as placement_choose() compares it. */
typedef struct {
	server_health_t *health;   /* estimates decay on each comparison */
	const server_load_t *load; /* NULL: servers report nothing */
	uint32_t slots; /* requests that it runs at once, from all nodes */
	double nodes_per_server; /* nodes per server of the upstream */
	uint32_t running;	 /* attempts of this node */
	usec_t oldest_start;	 /* start of the oldest of these; 0: none */
	bool can_send;		 /* has an idle connection, or may open one */
	bool has_connection;
	bool same_data_centre;
	bool warming_up;
	bool assigned;	    /* a server that this node uses by default */
	bool leaving;	    /* draining, or deregistered */
	bool excluded;	    /* must not be selected */
	uint32_t node_rank; /* in an order that differs between nodes */
	uint32_t rank;	    /* equally good ones are used in this order */
} placement_candidate_t;

#define PLACEMENT_NONE (-1)

/**
 * placement_choose() - Selects the server that is expected to answer first. A
 * leaving server is selected only if no other one is usable.
 * @typical: usual duration of an attempt of the route
 * @busy: set to whether a usable server was at its limit
 *
 * Return: an index into @candidates, or PLACEMENT_NONE.
 */
int placement_choose(const placement_candidate_t *candidates, uint32_t count,
    usec_t typical, usec_t now, bool *busy);

/** How a node orders the servers of an upstream. */
typedef struct {
	uint32_t count;	   /* servers, those of this data centre first */
	uint32_t local;	   /* of these, in this data centre */
	uint32_t rotation; /* differs between nodes and between upstreams */
} placement_order_t;

/**
 * placement_rank() - Rank of the server at @position in this node's order.
 *
 * Load pattern: there are more nodes than connections that a server accepts. A
 * node uses the servers of low rank. Servers of its data centre come first;
 * within both groups the order is rotated by a different offset in each node,
 * so that each server is used by about as many nodes.
 */
uint32_t placement_rank(const placement_order_t *order, uint32_t position);

#endif
