#ifndef PEER_LINK_H
#define PEER_LINK_H

#include <ev.h>

#include "peer_group.h"

/**
 * DOC: Exchange of datagrams between gateways
 *
 * Relays send the other nodes of their data centre how far they have read the
 * store, and the changes in it. Every node reports requests that crash servers,
 * and servers that have said that they leave, to the nodes of all data centres,
 * which also exchange rate requests and grants (see customer_rates.h).
 * Datagrams from addresses that are not listed are dropped. Datagrams are not
 * acknowledged.
 */

typedef struct peer_link peer_link_t;

typedef struct {
	/**
	 * Applies all objects of a topic (@whole) or the changes up to
	 * revision @to that a relay has sent. @content is valid during the
	 * call.
	 *
	 * Return: whether they were applied; if not, they count as missing and
	 * are read from the store.
	 */
	bool (*changes)(void *context, peer_topic_t topic, bool whole,
	    int64_t to, slice_t content);
	/** All changes of a topic up to @position are known. */
	void (*known)(
	    void *context, peer_topic_t topic, store_position_t position);
	/** A relay has read the store in era @era. */
	void (*era)(void *context, int64_t era);
	/** A relay has stated that this node lacks no changes of a topic. */
	void (*confirmed)(void *context, peer_topic_t topic);
	/**
	 * This node reads the store itself and lacks changes of a topic that a
	 * relay knows; they are to be read now.
	 */
	void (*behind)(void *context, peer_topic_t topic);
	/** Another node found that a request crashed a server. */
	void (*suspect)(
	    void *context, uint64_t fingerprint, uint64_t crash_number);
	/** Another node was told by a server that it leaves. */
	void (*leaving)(void *context, const char *server, int64_t incarnation);
	/** A rate request or grant has arrived. @sender: name of the node */
	void (*rate)(
	    void *context, const char *sender, const peer_message_t *message);
	/** The role of this node has changed. */
	void (*role)(void *context, peer_role_t role);
	void *context;
} peer_link_handlers_t;

/** typedef peer_link_counters_t - Datagrams since the start. */
typedef struct {
	uint64_t sent;
	uint64_t received;
	uint64_t rejected; /* from unlisted senders, or malformed */
} peer_link_counters_t;

/**
 * peer_link_create() - Binds a UDP socket and starts to exchange datagrams.
 *
 * Return: NULL, with errno set, when the address can't be used.
 */
peer_link_t *peer_link_create(struct ev_loop *loop, const char *own_name,
    const struct sockaddr_in *address);
void peer_link_destroy(peer_link_t *link);

/** peer_link_set_handlers() - Must be called before the loop runs. */
void peer_link_set_handlers(
    peer_link_t *link, const peer_link_handlers_t *handlers);

/**
 * peer_link_set_may_follow() - Sets whether this node may rely on relays.
 * Default: true.
 */
void peer_link_set_may_follow(peer_link_t *link, bool may_follow);

/** peer_link_set_topics() - Sets how many topics this node follows. Default:
 * the common ones. */
void peer_link_set_topics(peer_link_t *link, int count);

/** peer_link_set_bandwidth() - Sets that of this VM's network link. */
void peer_link_set_bandwidth(peer_link_t *link, double mbps);

/** peer_link_set_nodes() - Sets the nodes of all data centres; copies them. */
void peer_link_set_nodes(
    peer_link_t *link, const peer_node_t *nodes, uint32_t count);

/** peer_link_store_answered() - Records that the store has just answered this
 * node, which may make it a relay. */
void peer_link_store_answered(peer_link_t *link);

/**
 * peer_link_distrust_relays() - Makes this node read the store itself for two
 * seconds, because the store has changes that relays have not sent.
 */
void peer_link_distrust_relays(peer_link_t *link);

/**
 * peer_link_report_suspect() - Reports to all nodes that a request crashed a
 * server.
 * @fingerprint: of the request
 * @crash_number: counted from 1, see suspect.h
 */
void peer_link_report_suspect(
    peer_link_t *link, uint64_t fingerprint, uint64_t crash_number);

/**
 * peer_link_report_leaving() - Reports to all nodes that a server has said that
 * it leaves.
 * @incarnation: of its process
 */
void peer_link_report_leaving(
    peer_link_t *link, const char *server, int64_t incarnation);

/**
 * peer_link_send() - Sends a message to one node, once.
 * @node: its name; nothing is sent to a node that is not listed
 */
void peer_link_send(
    peer_link_t *link, const char *node, const peer_message_t *message);

/**
 * peer_link_no_changes() - Records that the store has answered this node and
 * has no further changes of the topic up to @position.
 */
void peer_link_no_changes(
    peer_link_t *link, peer_topic_t topic, store_position_t position);

/**
 * peer_link_changes_read() - Records that this node has read changes of a topic
 * from the store.
 * @to: the position up to which all changes are known now
 * @complete: all objects were read, not only changes
 * @content: sent to the others if this node is a relay, unless it is empty
 */
void peer_link_changes_read(peer_link_t *link, peer_topic_t topic,
    bool complete, store_position_t to, slice_t content);

peer_role_t peer_link_role(const peer_link_t *link);
const peer_link_counters_t *peer_link_counters(const peer_link_t *link);

#endif
