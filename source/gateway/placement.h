#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Which server of a service gets an attempt
 *
 * Load pattern: a few servers, each with few slots, of which some pause, turn
 * slow, fail part of their requests, fall silent or leave. Each node judges
 * them by its own attempts alone and sends where the attempt is expected to end
 * first.
 */

/** What a node knows of one server from its own attempts. */
typedef struct {
	double slowness;   /* time of its attempts relative to the typical */
	double failure;	   /* recent share of failed attempts */
	double busy;	   /* attempts that ran at once, lately on average */
	usec_t updated;	   /* when these were last brought up to date */
	double limit;	   /* attempts that may run at once */
	uint32_t refusals; /* ejections in a row */
	usec_t ejected_until;
	bool unproven; /* ejected, and no connection stood since */
} replica_health_t;

void replica_health_init(replica_health_t *health, double limit, usec_t now);

/** replica_health_answered() - An attempt ended with a response. */
void replica_health_answered(replica_health_t *health, usec_t elapsed,
    usec_t typical, double max_limit, usec_t now);

/** replica_health_failed() - The server answered with a failure. */
void replica_health_failed(replica_health_t *health, usec_t now);

/** replica_health_shed() - It refused an attempt because it is full. */
void replica_health_shed(
    replica_health_t *health, uint32_t running, usec_t now);

/** replica_health_broken() - Refused connection, reset, or silence. */
void replica_health_broken(replica_health_t *health, usec_t now);

/** replica_health_connected() - A connection was established. */
void replica_health_connected(replica_health_t *health);

/** replica_health_usable() - Whether it gets attempts now. */
bool replica_health_usable(const replica_health_t *health, usec_t now);

typedef struct {
	replica_health_t *health;
	uint32_t slots;	    /* requests that it runs at once, of all nodes */
	double sharers;	    /* nodes that send about as much as this one */
	uint32_t running;   /* attempts of this node */
	usec_t oldest_sent; /* start of the oldest of them; 0: none */
	bool can_send;	    /* a connection is idle or may be opened */
	bool has_connection;
	bool same_data_centre;
	bool warming_up;
	bool assigned; /* one of the servers that this node shall use */
	bool leaving;  /* it announced its stop, or its entry is gone */
	bool excluded; /* this task has used it already */
} replica_view_t;

#define PLACEMENT_NONE (-1)

/**
 * placement_choose() - The server where an attempt ends first.
 * @typical: usual time of an attempt of this route
 * @busy: set when servers are there but none takes an attempt now
 *
 * Return: an index, or PLACEMENT_NONE.
 */
int placement_choose(const replica_view_t *views, uint32_t count,
    usec_t typical, usec_t now, bool *busy);

/** The servers of an upstream as a node sees them. */
typedef struct {
	uint32_t count; /* servers, those of this data centre first */
	uint32_t near;	/* of these, in this data centre */
	uint32_t turn;	/* differs from node to node and between upstreams */
} placement_servers_t;

/**
 * placement_rank() - Place of the server at @position in this node's order.
 *
 * Load pattern: more nodes than connections that a server accepts. A node keeps
 * to the servers of low rank. Near servers come first; both the near and the
 * far ones follow in an order that starts elsewhere for each node, so that all
 * servers are used by about equally many nodes.
 */
uint32_t placement_rank(const placement_servers_t *servers, uint32_t position);

#endif
