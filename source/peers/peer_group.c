#include "peer_group.h"

#include <glib.h>
#include <string.h>

/* With fewer nodes, relays save no calls. */
#define LEAST_NODES (PEER_RELAYS + 2)
/*
 * A relay asks the store twice a second whether it answers, and says so four
 * times a second; some of that may be lost.
 */
#define RELAY_SILENCE MS(1300)
/* A node that the store has not answered for so long can't be a relay. */
#define STORE_SILENCE SECONDS(3)
/* Each node that comes before has this time to take a relay's place. */
#define PROMOTION_STEP MS(300)
#define PROMOTION_MAX SECONDS(3)
/* The datagrams with a change may come after the status that names it. */
#define CHANGE_DELAY MS(300)

struct peer_group {
	name_t own_name;
	GArray *peers;	     /* peer_t, in the order of their names */
	usec_t behind_since; /* a relay knows more than this node; 0: no */
	usec_t vacant_since; /* relays are missing; 0: no */
	peer_role_t role;
};

peer_group_t *
peer_group_create(const char *own_name)
{
	peer_group_t *group = g_new0(peer_group_t, 1);

	g_strlcpy(group->own_name, own_name, sizeof(group->own_name));
	group->peers = g_array_new(FALSE, TRUE, sizeof(peer_t));
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

bool
peer_address_is(const peer_address_t *node, const struct sockaddr_in *address)
{
	return node->address.sin_addr.s_addr == address->sin_addr.s_addr &&
	    node->address.sin_port == address->sin_port;
}

peer_t *
peer_group_find(const peer_group_t *group, const struct sockaddr_in *address)
{
	for (guint i = 0; i < group->peers->len; i++) {
		peer_t *peer = &g_array_index(group->peers, peer_t, i);

		if (peer_address_is(&peer->node, address))
			return peer;
	}
	return NULL;
}

static int
compare_names(const void *a, const void *b)
{
	const peer_t *left = a, *right = b;

	return strcmp(left->node.name, right->node.name);
}

void
peer_group_set(peer_group_t *group, const peer_address_t *nodes, uint32_t count)
{
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(peer_t));

	for (uint32_t i = 0; i < count && peers->len < PEER_GROUP_MAX; i++) {
		const peer_t *old = peer_group_find(group, &nodes[i].address);
		peer_t peer = {.node = nodes[i]};

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

const peer_t *
peer_group_at(const peer_group_t *group, uint32_t index)
{
	return &g_array_index(group->peers, peer_t, index);
}

static bool
is_fresh(const peer_t *peer, usec_t now)
{
	return now < peer->fresh_until;
}

void
peer_group_note_status(peer_t *peer, const peer_status_t *status, usec_t now)
{
	peer->fresh_until = now + RELAY_SILENCE - status->age;
	memcpy(peer->positions, status->positions, sizeof(peer->positions));
}

/* When this node is to be a relay if the nodes before it stay silent. */
static usec_t
promotion_time(const peer_group_t *group, uint32_t silent)
{
	usec_t wait = silent * PROMOTION_STEP;

	return group->vacant_since + MIN(wait, PROMOTION_MAX);
}

static bool
is_relay(peer_group_t *group, usec_t now)
{
	uint32_t before = 0, silent = 0;

	for (guint i = 0; i < group->peers->len; i++) {
		const peer_t *peer = peer_group_at(group, i);

		if (strcmp(peer->node.name, group->own_name) > 0)
			continue;
		if (is_fresh(peer, now))
			before++;
		else
			silent++;
	}
	if (before >= PEER_RELAYS) {
		group->vacant_since = 0;
		return false;
	}
	if (group->vacant_since == 0)
		group->vacant_since = now;
	return group->role == PEER_RELAY ||
	    now >= promotion_time(group, silent);
}

bool
peer_group_lacks(const peer_group_t *group, peer_topic_t topic,
    const peer_position_t *own, usec_t now)
{
	for (guint i = 0; i < group->peers->len; i++) {
		const peer_t *peer = peer_group_at(group, i);

		if (is_fresh(peer, now) &&
		    peer->positions[topic].quiet_since > own->revision)
			return true;
	}
	return false;
}

static bool
has_fresh_relay(const peer_group_t *group, usec_t now)
{
	for (guint i = 0; i < group->peers->len; i++)
		if (is_fresh(peer_group_at(group, i), now))
			return true;
	return false;
}

static bool
is_behind(peer_group_t *group, bool lacking, usec_t now)
{
	if (!lacking) {
		group->behind_since = 0;
		return false;
	}
	if (group->role != PEER_FOLLOWER)
		return true;
	if (group->behind_since == 0)
		group->behind_since = now;
	return now - group->behind_since >= CHANGE_DELAY;
}

/* Whether relays tell this node all that it has to know. */
static bool
is_covered(
    peer_group_t *group, const peer_position_t own[PEER_TOPICS], usec_t now)
{
	bool lacking = false;

	for (int i = 0; i < PEER_TOPICS; i++) {
		if (own[i].revision == 0)
			return false;
		lacking |=
		    peer_group_lacks(group, (peer_topic_t)i, &own[i], now);
	}
	return has_fresh_relay(group, now) && !is_behind(group, lacking, now);
}

peer_role_t
peer_group_role(peer_group_t *group, const peer_position_t own[PEER_TOPICS],
    usec_t checked_at, usec_t now)
{
	bool reaches_store =
	    checked_at != 0 && now - checked_at < STORE_SILENCE;
	bool relay = is_relay(group, now);

	if (group->peers->len + 1 < LEAST_NODES)
		group->role = PEER_ALONE;
	else if (relay && reaches_store)
		group->role = PEER_RELAY;
	else if (is_covered(group, own, now))
		group->role = PEER_FOLLOWER;
	else
		group->role = PEER_ALONE;
	return group->role;
}

bool
peer_group_knows(
    const peer_group_t *group, peer_topic_t topic, int64_t revision, usec_t now)
{
	for (guint i = 0; i < group->peers->len; i++) {
		const peer_t *peer = peer_group_at(group, i);

		if (is_fresh(peer, now) &&
		    peer->positions[topic].quiet_since >= revision)
			return true;
	}
	return false;
}
