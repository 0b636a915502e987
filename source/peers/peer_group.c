#include "peer_group.h"

#include <glib.h>
#include <string.h>

/* In smaller groups relays would save no calls to the store. */
#define RELAY_MIN_NODES (PEER_RELAYS + 2)
/*
 * A relay probes the store twice per second and sends its status four times per
 * second. The timeout allows for the loss of some of these.
 */
#define RELAY_TIMEOUT MS(1300)
/* A node can't be a relay after this time without a reply from the store. */
#define STORE_TIMEOUT SECONDS(3)
/* A node becomes a relay after this delay for each silent node that precedes it
 * in the order of names, but after the maximum at the latest. */
#define PROMOTION_DELAY MS(300)
#define PROMOTION_DELAY_MAX SECONDS(3)
/* Datagrams with changes may arrive later than the status that names them, by
 * up to this time. */
#define CHANGE_GRACE MS(300)

struct peer_group {
	name_t own_name;
	int topics;	     /* that this node follows */
	int64_t era;	     /* of the store, as far as this node has read it */
	GArray *peers;	     /* group_peer_t, in the order of their names */
	usec_t behind_since; /* changes are missing here; 0: none */
	usec_t relays_missing_since; /* fewer than PEER_RELAYS; 0: enough */
	peer_role_t role;
};

peer_group_t *
peer_group_create(const char *own_name)
{
	peer_group_t *group = g_new0(peer_group_t, 1);

	g_strlcpy(group->own_name, own_name, sizeof(group->own_name));
	group->topics = PEER_COMMON_TOPICS;
	group->peers = g_array_new(FALSE, TRUE, sizeof(group_peer_t));
	return group;
}

void
peer_group_destroy(peer_group_t *group)
{
	if (group == NULL)
		return;
	g_array_free(group->peers, TRUE);
	g_free(group);
}

void
peer_group_set_topics(peer_group_t *group, int count)
{
	group->topics = count;
}

int
peer_group_topics(const peer_group_t *group)
{
	return group->topics;
}

bool
peer_node_has_address(
    const peer_node_t *node, const struct sockaddr_in *address)
{
	return node->address.sin_addr.s_addr == address->sin_addr.s_addr &&
	    node->address.sin_port == address->sin_port;
}

group_peer_t *
peer_group_find(const peer_group_t *group, const struct sockaddr_in *address)
{
	for (guint i = 0; i < group->peers->len; i++) {
		group_peer_t *peer =
		    &g_array_index(group->peers, group_peer_t, i);

		if (peer_node_has_address(&peer->node, address))
			return peer;
	}
	return NULL;
}

static int
compare_names(const void *a, const void *b)
{
	const group_peer_t *left = a, *right = b;

	return strcmp(left->node.name, right->node.name);
}

void
peer_group_set(peer_group_t *group, const peer_node_t *nodes, uint32_t count)
{
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(group_peer_t));

	for (uint32_t i = 0; i < count && peers->len < PEER_GROUP_MAX; i++) {
		const group_peer_t *old =
		    peer_group_find(group, &nodes[i].address);
		group_peer_t peer = {.node = nodes[i]};

		if (!nodes[i].same_data_centre ||
		    strcmp(nodes[i].name, group->own_name) == 0)
			continue;
		if (old != NULL && strcmp(old->node.name, nodes[i].name) == 0)
			peer = *old;
		g_array_append_val(peers, peer);
	}
	g_array_sort(peers, compare_names);
	g_array_free(group->peers, TRUE);
	group->peers = peers;
}

uint32_t
peer_group_count(const peer_group_t *group)
{
	return group->peers->len;
}

const group_peer_t *
peer_group_at(const peer_group_t *group, uint32_t index)
{
	return &g_array_index(group->peers, group_peer_t, index);
}

int64_t
peer_latest_era(const peer_position_t positions[PEER_TOPICS])
{
	int64_t era = 0;

	for (int i = 0; i < PEER_TOPICS; i++)
		era = MAX(era, positions[i].known.era);
	return era;
}

/* Whether the peer is a relay that has reached the store recently, in the era
 * of this node or a later one. */
static bool
is_active_relay(const peer_group_t *group, const group_peer_t *peer, usec_t now)
{
	return now < peer->relay_until &&
	    peer_latest_era(peer->positions) >= group->era;
}

/* A relay of an earlier version knows nothing of the later topics, and one that
 * has just started may not have read them yet. */
static bool
states_all_topics(const peer_group_t *group, const peer_status_t *status)
{
	for (int i = PEER_COMMON_TOPICS; i < group->topics; i++)
		if (!store_position_is_set(status->positions[i].known))
			return false;
	return true;
}

void
peer_group_update_status(const peer_group_t *group, group_peer_t *peer,
    const peer_status_t *status, usec_t now)
{
	peer->relay_until = states_all_topics(group, status)
	    ? now + RELAY_TIMEOUT - status->age
	    : 0;
	memcpy(peer->positions, status->positions, sizeof(peer->positions));
}

/* When this node becomes a relay if the nodes before it stay silent. */
static usec_t
promotion_time(const peer_group_t *group, uint32_t silent)
{
	usec_t wait = silent * PROMOTION_DELAY;

	return group->relays_missing_since + MIN(wait, PROMOTION_DELAY_MAX);
}

/* Whether fewer than PEER_RELAYS of the nodes before this one, by name, are
 * active relays. A node that is no relay yet first gives the silent nodes
 * before it time to become relays. */
static bool
should_be_relay(peer_group_t *group, usec_t now)
{
	uint32_t active = 0, silent = 0;

	for (guint i = 0; i < group->peers->len; i++) {
		const group_peer_t *peer = peer_group_at(group, i);

		if (strcmp(peer->node.name, group->own_name) > 0)
			continue;
		if (is_active_relay(group, peer, now))
			active++;
		else
			silent++;
	}
	if (active >= PEER_RELAYS) {
		group->relays_missing_since = 0;
		return false;
	}
	if (group->relays_missing_since == 0)
		group->relays_missing_since = now;
	return group->role == PEER_RELAY ||
	    now >= promotion_time(group, silent);
}

bool
peer_group_has_newer(const peer_group_t *group, peer_topic_t topic,
    const peer_position_t *own, usec_t now)
{
	for (guint i = 0; i < group->peers->len; i++) {
		const group_peer_t *peer = peer_group_at(group, i);

		if (is_active_relay(group, peer, now) &&
		    store_position_compare(
			peer->positions[topic].last_change, own->known) > 0)
			return true;
	}
	return false;
}

static bool
has_active_relay(const peer_group_t *group, usec_t now)
{
	for (guint i = 0; i < group->peers->len; i++)
		if (is_active_relay(group, peer_group_at(group, i), now))
			return true;
	return false;
}

/* Whether changes are missing that are not just delayed. */
static bool
is_behind(peer_group_t *group, bool missing_changes, usec_t now)
{
	if (!missing_changes) {
		group->behind_since = 0;
		return false;
	}
	if (group->role != PEER_FOLLOWER)
		return true;
	if (group->behind_since == 0)
		group->behind_since = now;
	return now - group->behind_since >= CHANGE_GRACE;
}

/* Whether this node can rely on relays: a relay is active and no changes are
 * missing here. */
static bool
can_follow(
    peer_group_t *group, const peer_position_t own[PEER_TOPICS], usec_t now)
{
	bool missing_changes = false;

	for (int i = 0; i < group->topics; i++) {
		if (!store_position_is_set(own[i].known))
			return false;
		missing_changes |=
		    peer_group_has_newer(group, (peer_topic_t)i, &own[i], now);
	}
	return has_active_relay(group, now) &&
	    !is_behind(group, missing_changes, now);
}

peer_role_t
peer_group_update_role(peer_group_t *group,
    const peer_position_t own[PEER_TOPICS], usec_t store_answered_at,
    usec_t now)
{
	bool reaches_store =
	    store_answered_at != 0 && now - store_answered_at < STORE_TIMEOUT;
	bool relay;

	group->era = peer_latest_era(own);
	relay = should_be_relay(group, now);
	if (group->peers->len + 1 < RELAY_MIN_NODES)
		group->role = PEER_ALONE;
	else if (relay && reaches_store)
		group->role = PEER_RELAY;
	else if (can_follow(group, own, now))
		group->role = PEER_FOLLOWER;
	else
		group->role = PEER_ALONE;
	return group->role;
}

bool
peer_group_knows(const peer_group_t *group, peer_topic_t topic,
    store_position_t position, usec_t now)
{
	for (guint i = 0; i < group->peers->len; i++) {
		const group_peer_t *peer = peer_group_at(group, i);

		if (is_active_relay(group, peer, now) &&
		    store_position_compare(
			peer->positions[topic].last_change, position) >= 0)
			return true;
	}
	return false;
}
