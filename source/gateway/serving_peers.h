#ifndef SERVING_PEERS_H
#define SERVING_PEERS_H

#include "../peers/peer_group.h"
#include "pool.h"

/**
 * DOC: The gateways of this data centre as serving nodes of shard groups
 *
 * Keeps connections to some nodes of each group, see shard_groups.h, and
 * selects one for a request as the pool selects servers: by their recent
 * durations and failures.
 */

typedef struct serving_peers serving_peers_t;

/* In a response: the peer has sent nothing to servers. */
#define SERVING_PEERS_NOT_RUN_HEADER "Gateway-Not-Run"

/**
 * serving_peers_create() - No peers, one group.
 * @own_name: name of this node
 * @request_id: name of the header that identifies a request
 * @handlers: of the attempts on peers; copied
 */
serving_peers_t *serving_peers_create(struct ev_loop *loop,
    const char *own_name, const char *request_id,
    const pool_handlers_t *handlers);
void serving_peers_destroy(serving_peers_t *peers);

/** serving_peers_set_nodes() - Replaces the nodes; of all data centres. */
void serving_peers_set_nodes(
    serving_peers_t *peers, const peer_node_t *nodes, uint32_t count);

/**
 * serving_peers_set_max_connections() - Sets how many connections a server of a
 * shard accepts from all nodes.
 */
void serving_peers_set_max_connections(
    serving_peers_t *peers, uint32_t max_connections);

uint32_t serving_peers_group_count(const serving_peers_t *peers);

/** serving_peers_own_group() - The group that this node serves. */
uint32_t serving_peers_own_group(const serving_peers_t *peers);

/** serving_peers_pool() - The connections to the peers. */
pool_t *serving_peers_pool(serving_peers_t *peers);

/**
 * serving_peers_choose() - Selects a node of another group.
 * @typical: usual duration of a request to a group
 *
 * Return: NULL when none is usable.
 */
upstream_server_t *serving_peers_choose(
    serving_peers_t *peers, uint32_t group, usec_t typical, usec_t now);

/** serving_peers_is_listed() - Whether a node of this data centre has this IP
 * address. */
bool serving_peers_is_listed(
    const serving_peers_t *peers, const struct sockaddr_in *address);

#endif
