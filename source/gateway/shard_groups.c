#include "shard_groups.h"

#include <glib.h>
#include <math.h>

/* Connections that a node should have to each server of its group. */
#define CONNECTIONS_WANTED 3.0
/* Share of the connections that a server accepts, see pool.c. */
#define USABLE_CONNECTIONS 0.9
/* One of the nodes of a group may fail. */
#define MIN_GROUP_NODES 3
#define MAX_GROUPS 64
/* The groups stay while fewer would do by less than this. */
#define HYSTERESIS 1.3

uint32_t
shard_group_count(const shard_group_input_t *input)
{
	double wanted = CONNECTIONS_WANTED * input->nodes /
	    (USABLE_CONNECTIONS * MAX(input->max_connections, 1));
	uint32_t most =
	    CLAMP(input->data_centre_nodes / MIN_GROUP_NODES, 1, MAX_GROUPS);
	uint32_t groups = (uint32_t)ceil(wanted);

	/* Nodes that have a connection to each server need no groups. */
	if (wanted <= CONNECTIONS_WANTED)
		return 1;
	if (input->current > 1 && wanted <= input->current &&
	    wanted > input->current - HYSTERESIS)
		groups = input->current;
	return CLAMP(groups, 1, most);
}

uint32_t
shard_group_of(uint32_t position, uint32_t groups)
{
	return position % groups;
}

uint32_t
shard_group_size(uint32_t shards, uint32_t group, uint32_t groups)
{
	return group < shards ? (shards - group - 1) / groups + 1 : 0;
}
