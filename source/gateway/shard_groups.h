#ifndef SHARD_GROUPS_H
#define SHARD_GROUPS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Division of the shards among the nodes of a data centre
 *
 * Load pattern: hundreds of nodes, each of which answers a query in seconds,
 * and more nodes than connections that a server accepts. If every node sent to
 * every shard, its connections would be cold or refused, and its network link
 * would carry a request and a response for each shard.
 *
 * Therefore the nodes of a data centre, in the order of their names, take turns
 * in serving one of several groups of shards. The node that receives a query is
 * the receiving node: it serves its own group and sends one request to a
 * serving node of each other group. With one group every node sends to all
 * shards itself. Nodes need not agree on the groups: the receiving node states
 * which shards it asks for, and any node can serve them.
 */

/** typedef shard_group_input_t - What the number of groups depends on. */
typedef struct {
	uint32_t nodes;		    /* of all data centres */
	uint32_t data_centre_nodes; /* of this one */
	uint32_t max_connections;   /* that a server accepts from all nodes */
	uint32_t current;	    /* groups now; 0: none yet */
} shard_group_input_t;

/**
 * shard_group_count() - Number of groups, at least 1. It is kept while the
 * number of nodes varies a little.
 */
uint32_t shard_group_count(const shard_group_input_t *input);

/** shard_group_of() - The group of a node or of a shard by its position. */
uint32_t shard_group_of(uint32_t position, uint32_t groups);

/** shard_group_size() - Number of shards of a group. */
uint32_t shard_group_size(uint32_t shards, uint32_t group, uint32_t groups);

#endif
