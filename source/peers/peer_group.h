#ifndef PEER_GROUP_H
#define PEER_GROUP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"
#include "peer_message.h"

/**
 * DOC: Roles of the gateways of a data centre
 *
 * In this module, a node is one that runs a gateway, and its peers are the
 * others. Load pattern: many nodes, and a configuration and servers that
 * change. If each node read each change from the platform's store, the calls
 * would grow with the number of nodes, while the store's rate limits do not.
 * Therefore the first nodes in the order of their names that reach the store
 * are relays: they read the store and send what they have read to the others.
 * The others are followers as long as a relay is active and no change that it
 * knows is missing here; otherwise they read the store themselves. The nodes
 * need not agree on the roles: too many or too few relays only cause
 * superfluous calls. A relay that is in an earlier era of the store than this
 * node, or of a version of the program that states none, is none for it.
 */

#define PEER_GROUP_MAX 256 /* peers; more are ignored */
#define PEER_RELAYS 2	   /* one may fail at any time */

/**
 * PEER_CHANGE_DELAY_MAX - The longest time until a node learns of a change if
 * its relays have just failed: it notices their silence, probes the store and
 * reads.
 */
#define PEER_CHANGE_DELAY_MAX MS(1700)

typedef enum {
	PEER_ALONE,   /* reads the store for itself only */
	PEER_RELAY,   /* reads the store and informs the others */
	PEER_FOLLOWER /* is informed by relays */
} peer_role_t;

/** typedef peer_node_t - A node and the address of its datagrams. */
typedef struct {
	name_t name;
	struct sockaddr_in address;
	bool same_data_centre; /* as this node */
} peer_node_t;

/** typedef group_peer_t - A peer of this data centre and its last status. */
typedef struct {
	peer_node_t node;
	usec_t relay_until; /* until then it counts as an active relay */
	peer_position_t positions[PEER_TOPICS];
} group_peer_t;

typedef struct peer_group peer_group_t;

/** peer_group_create() - Creates a group without peers that follows the common
 * topics. */
peer_group_t *peer_group_create(const char *own_name);
void peer_group_destroy(peer_group_t *group);

/**
 * peer_group_set_topics() - Sets how many topics this node follows. A peer that
 * does not state its position in all of them is no relay for this node.
 */
void peer_group_set_topics(peer_group_t *group, int count);

/** peer_group_topics() - How many topics this node follows. */
int peer_group_topics(const peer_group_t *group);

/**
 * peer_group_set() - Replaces the peers of the group.
 * @nodes: all nodes; this node and those of other data centres are skipped
 *
 * The status of a peer is kept if its name and address stay the same. Pointers
 * to peers that were returned before become invalid.
 */
void peer_group_set(
    peer_group_t *group, const peer_node_t *nodes, uint32_t count);

uint32_t peer_group_count(const peer_group_t *group);
const group_peer_t *peer_group_at(const peer_group_t *group, uint32_t index);

/** peer_node_has_address() - Whether the datagrams of @node have @address. */
bool peer_node_has_address(
    const peer_node_t *node, const struct sockaddr_in *address);

/** peer_latest_era() - The latest era of which any topic was read. */
int64_t peer_latest_era(const peer_position_t positions[PEER_TOPICS]);

/** peer_group_find() - The peer with this address, or NULL. */
group_peer_t *peer_group_find(
    const peer_group_t *group, const struct sockaddr_in *address);

/** peer_group_update_status() - Records a status that arrived from @peer. */
void peer_group_update_status(const peer_group_t *group, group_peer_t *peer,
    const peer_status_t *status, usec_t now);

/**
 * peer_group_update_role() - Updates and returns the role of this node.
 * @own: how far this node has read the topics
 * @store_answered_at: when the store last answered this node; 0: never
 */
peer_role_t peer_group_update_role(peer_group_t *group,
    const peer_position_t own[PEER_TOPICS], usec_t store_answered_at,
    usec_t now);

/**
 * peer_group_has_newer() - Whether an active relay knows of changes of a topic
 * that are missing here.
 */
bool peer_group_has_newer(const peer_group_t *group, peer_topic_t topic,
    const peer_position_t *own, usec_t now);

/**
 * peer_group_knows() - Whether another active relay has read the changes of a
 * topic up to @position, and therefore has sent them to the others.
 */
bool peer_group_knows(const peer_group_t *group, peer_topic_t topic,
    store_position_t position, usec_t now);

#endif
