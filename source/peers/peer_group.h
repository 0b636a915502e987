#ifndef PEER_GROUP_H
#define PEER_GROUP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"
#include "peer_message.h"

/**
 * DOC: Which gateways of a data centre ask the store for all of them
 *
 * Load pattern: many nodes, and a configuration and servers that change. When
 * each node asks the platform's store for each change, the calls grow with the
 * nodes, and the store's rates do not. The first nodes by name that reach the
 * store are relays: they ask, and tell the others. The others follow as long as
 * a relay is heard and nothing that it knows is missing here; otherwise they
 * ask for themselves. Nothing depends on agreement: with relays too many or too
 * few, only calls are made that would not be needed.
 */

#define PEER_GROUP_MAX 256
#define PEER_RELAYS 2 /* one may fail at any time */

/**
 * PEER_LEARN_MAX - By then a node learns of a change although its relays failed
 * just before: it misses them, asks whether the store answers, and reads.
 */
#define PEER_LEARN_MAX MS(1700)

typedef enum {
	PEER_ALONE,   /* asks the store for itself */
	PEER_RELAY,   /* asks it, and tells the others */
	PEER_FOLLOWER /* is told by relays */
} peer_role_t;

typedef struct {
	name_t name;
	struct sockaddr_in address;
	bool same_data_centre; /* as this node */
} peer_address_t;

typedef struct {
	peer_address_t node;
	usec_t fresh_until; /* it is a relay, and reached the store lately */
	peer_position_t positions[PEER_TOPICS];
} peer_t;

typedef struct peer_group peer_group_t;

/** peer_group_create() - A group of this node alone. */
peer_group_t *peer_group_create(const char *own_name);
void peer_group_destroy(peer_group_t *group);

/**
 * peer_group_set() - All nodes, this one included or not; those of other data
 * centres are left out.
 * What is known of a node is kept while its address stays the same.
 */
void peer_group_set(
    peer_group_t *group, const peer_address_t *nodes, uint32_t count);

uint32_t peer_group_count(const peer_group_t *group);
const peer_t *peer_group_at(const peer_group_t *group, uint32_t index);

/** peer_address_is() - Whether the node receives datagrams there. */
bool peer_address_is(
    const peer_address_t *node, const struct sockaddr_in *address);

/** peer_group_find() - The peer with this address, or NULL. */
peer_t *peer_group_find(
    const peer_group_t *group, const struct sockaddr_in *address);

/** peer_group_note_status() - A status of @peer arrived. */
void peer_group_note_status(
    peer_t *peer, const peer_status_t *status, usec_t now);

/**
 * peer_group_role() - What this node is now.
 * @own: how far it has read the topics
 * @checked_at: when the store last answered it; 0: never
 */
peer_role_t peer_group_role(peer_group_t *group,
    const peer_position_t own[PEER_TOPICS], usec_t checked_at, usec_t now);

/**
 * peer_group_lacks() - Whether a relay that reaches the store knows of changes
 * of a topic that are missing here.
 */
bool peer_group_lacks(const peer_group_t *group, peer_topic_t topic,
    const peer_position_t *own, usec_t now);

/**
 * peer_group_knows() - Whether another relay knows the changes of a topic up to
 * @revision, so that it has told the others.
 */
bool peer_group_knows(const peer_group_t *group, peer_topic_t topic,
    int64_t revision, usec_t now);

#endif
