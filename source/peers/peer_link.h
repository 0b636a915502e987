#ifndef PEER_LINK_H
#define PEER_LINK_H

#include <ev.h>

#include "peer_group.h"

/**
 * DOC: The datagrams that gateways exchange
 *
 * Relays tell the other nodes of their data centre how far they have read the
 * store, and what has changed in it. A node tells all nodes which requests
 * crash servers. Datagrams of addresses that are not listed are dropped.
 * Nothing waits for an answer.
 */

typedef struct peer_link peer_link_t;

typedef struct {
	/**
	 * What a relay has read of a topic after @from, up to @to.
	 *
	 * Return: whether it was used; if not, the store is asked for it.
	 */
	bool (*changes)(void *context, peer_topic_t topic, int64_t from,
	    int64_t to, slice_t content);
	/** All changes of a topic up to @revision are known. */
	void (*known)(void *context, peer_topic_t topic, int64_t revision);
	/** This node, which asks for itself, lacks changes of a topic. */
	void (*behind)(void *context, peer_topic_t topic);
	/** Another node found that a request crashed a server. */
	void (*suspect)(void *context, uint64_t fingerprint, uint64_t crash);
	/** The role of this node is another one from now on. */
	void (*role)(void *context, peer_role_t role);
	void *context;
} peer_link_handlers_t;

typedef struct {
	uint64_t sent;
	uint64_t received;
	uint64_t rejected; /* of unlisted senders, or malformed */
} peer_link_counters_t;

/**
 * peer_link_create() - Binds the address and begins to exchange datagrams.
 *
 * Return: NULL when the address can't be used.
 */
peer_link_t *peer_link_create(struct ev_loop *loop, const char *own_name,
    const struct sockaddr_in *address);
void peer_link_destroy(peer_link_t *link);

/** peer_link_set_handlers() - To be called before the loop runs. */
void peer_link_set_handlers(
    peer_link_t *link, const peer_link_handlers_t *handlers);

/** peer_link_set_follow() - Whether it may rely on relays; it may at first. */
void peer_link_set_follow(peer_link_t *link, bool follow);

/** peer_link_set_nodes() - All nodes. */
void peer_link_set_nodes(
    peer_link_t *link, const peer_address_t *nodes, uint32_t count);

/** peer_link_checked() - The store answered this node just now. */
void peer_link_checked(peer_link_t *link);

/**
 * peer_link_doubt() - The store knows more than relays have told: this node
 * asks for itself for a while.
 */
void peer_link_doubt(peer_link_t *link);

/** peer_link_tell_suspect() - Tells all nodes that a request crashed a server.
 */
void peer_link_tell_suspect(
    peer_link_t *link, uint64_t fingerprint, uint64_t crash);

/** peer_link_quiet() - This node has read no changes up to @revision. */
void peer_link_quiet(peer_link_t *link, peer_topic_t topic, int64_t revision);

/**
 * peer_link_read() - This node has read changes up to @to.
 * @whole: it has read all objects, not only changes
 * @content: told to the others if this node is a relay; may be empty else
 */
void peer_link_read(peer_link_t *link, peer_topic_t topic, bool whole,
    int64_t to, slice_t content);

peer_role_t peer_link_role(const peer_link_t *link);
const peer_link_counters_t *peer_link_counters(const peer_link_t *link);

#endif
