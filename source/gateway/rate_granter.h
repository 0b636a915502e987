#ifndef RATE_GRANTER_H
#define RATE_GRANTER_H

#include <stdbool.h>

#include "../peers/peer_message.h"
#include "rate_limit.h"

/**
 * DOC: The granting side of a rate limit over all nodes
 *
 * Load pattern: a customer's requests arrive at few of many nodes, and change
 * between them, so equal shares would refuse most of them. Each customer has
 * one granting node, which divides the customer's rate and burst among the
 * nodes that ask, by their demand. It keeps the rest as a pool of tokens, for
 * requests that exceed a node's share.
 *
 * The shares granted never add up to more than the whole. A share that is
 * reduced counts with its old size until the borrower has confirmed the new
 * one. A borrower counts the lease from when it sent its request, and the
 * granting node from its reply plus a margin, or until another process of the
 * borrower is heard of. New burst starts empty. Therefore all nodes together
 * never admit more than the burst and what the rate earns.
 *
 * A granting node that has just started, or that another node granted before,
 * is not certain: it confirms what nodes report that they hold, and grants only
 * a few tokens, and after a restart those of the pool. It becomes certain when
 * all listed nodes have reported with the same list of nodes, or when all
 * leases that it does not know have ended.
 */

/** RATE_LEASE - How long a share can be used without a further grant. A
 * partition of 12 s must not end it. */
#define RATE_LEASE SECONDS(20)
/**
 * RATE_LIST_DELAY - The longest time between the changes of the node lists of
 * two nodes: the lists are read each 20 s, and may be seconds old.
 */
#define RATE_LIST_DELAY SECONDS(25)
/**
 * RATE_LEASE_KEPT - How long a share counts after the last reply to a silent
 * node. It exceeds RATE_LIST_DELAY: by then, a borrower that has its share
 * confirmed by the next granting node is known to have left this one.
 */
#define RATE_LEASE_KEPT SECONDS(26)

typedef struct rate_granter rate_granter_t;

/**
 * rate_granter_create() - Creates the granting side of a node.
 * @node: name of this node; copied
 * @incarnation: random, not 0; differs from that of any process before
 */
rate_granter_t *rate_granter_create(
    const char *node, uint64_t incarnation, usec_t now);
void rate_granter_destroy(rate_granter_t *granter);

/**
 * rate_granter_set_nodes() - Sets the nodes whose reports are needed.
 * @names: of all nodes, with this one
 * @hash: of the names
 * @grants: whether this node grants for a customer now; others are forgotten
 */
void rate_granter_set_nodes(rate_granter_t *granter, const char *const *names,
    uint32_t count, uint64_t hash,
    bool (*grants)(void *context, uint64_t customer), void *context,
    usec_t now);

/**
 * rate_granter_set_listed() - Sets whether the list that this node has read
 * contains itself. If not, the list is older than this node's entry, and may
 * lack others that have started at the same time.
 */
void rate_granter_set_listed(rate_granter_t *granter, bool is_listed);

/** rate_granter_forget_all() - Makes this node uncertain of all grants, because
 * it was suspended. */
void rate_granter_forget_all(rate_granter_t *granter, usec_t now);

/**
 * rate_granter_handle_header() - Handles all of a request but its items. To be
 * called before the items are handled.
 *
 * Return: whether the request is to be handled; not if it is of the process
 * before the node's present one.
 */
bool rate_granter_handle_header(rate_granter_t *granter, const char *node,
    const peer_rate_request_t *request, usec_t now);

/**
 * rate_granter_handle_want() - Handles one item of a request.
 * @limit: the customer's limit
 * @sequence: of the request
 * @granted: set to what is granted
 *
 * Return: whether there is something to reply.
 */
bool rate_granter_handle_want(rate_granter_t *granter, const char *node,
    const peer_rate_want_t *want, const rate_limit_t *limit, uint64_t sequence,
    usec_t now, peer_rate_granted_t *granted);

/** rate_granter_finish_report() - Records a part of a complete report, after
 * its items were handled. */
void rate_granter_finish_report(rate_granter_t *granter, const char *node,
    const peer_rate_request_t *request, usec_t now);

/** rate_granter_is_certain() - Whether all grants are known. */
bool rate_granter_is_certain(rate_granter_t *granter, usec_t now);

/** rate_granter_has_reported() - Whether a listed node has reported what it
 * holds. */
bool rate_granter_has_reported(const rate_granter_t *granter, const char *node);

/** rate_granter_remove() - Forgets a customer. */
void rate_granter_remove(rate_granter_t *granter, uint64_t customer);

/** rate_granter_granted() - The share of all nodes together that counts as
 * granted. */
peer_rate_share_t rate_granter_granted(
    const rate_granter_t *granter, uint64_t customer);

#endif
