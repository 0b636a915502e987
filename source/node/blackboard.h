#ifndef NODE_BLACKBOARD_H
#define NODE_BLACKBOARD_H

#include <glib.h>
#include <stdbool.h>

#include "bulrushwell/admission.h"
#include "bulrushwell/allowance.h"
#include "bulrushwell/assignment.h"
#include "bulrushwell/catalogue.h"
#include "bulrushwell/contract_store.h"
#include "bulrushwell/ledger.h"
#include "bulrushwell/membership.h"
#include "bulrushwell/settings.h"
#include "bulrushwell/suspect.h"

/**
 * STATED_DEADLINE_COUNT - Ticks of NODE_TICK_MS that cover LOAN_MS and one more
 * heartbeat interval.
 */
#define STATED_DEADLINE_COUNT 5

/**
 * typedef blackboard_t - State that the controllers of a node share.
 *
 * A controller is one of the files node_*.c; "limits" is node_limits.c. The
 * comment of each member names the controllers that write it; all others only
 * read it. The blackboard owns the objects that its members point to.
 */
typedef struct {
	settings_t settings;	     /* set once, at start */
	uint64_t incarnation;	     /* set once, at start */
	node_state_t state;	     /* stop; node.c sets READY */
	contract_store_t *contracts; /* config */
	catalogue_t *catalogue;	     /* config */
	uint64_t config_digest;	     /* config */
	bool config_known;	     /* config, node.c */
	assignment_t *assignment;    /* config; NULL: none */
	membership_t *membership;    /* peer, probe, config, node.c */
	ledger_t *ledger;	     /* assign, peer */
	allowance_t *allowance;	     /* assign, limits */
	admission_t *admission;	     /* limits, request, permit */
	suspect_list_t *suspects;    /* peer, and the schedulers of serve */
	usec_t platform_heard_at;    /* node.c: last answer; 0: never */
	bool platform_reachable;     /* node.c */
	/* limits: the longest deadline at each of the last ticks */
	usec_t stated_deadlines[STATED_DEADLINE_COUNT];
	uint32_t next_stated_deadline; /* limits: ring index */
	/* peer, stop: node name -> usec_t, when it was first known to be
	 * stopping */
	GHashTable *stopping_since;
} blackboard_t;

/**
 * HANDOVER_MAX_MS - Upper limit of blackboard_handover_time(), so that shares
 * that were lent during that time are returned before the stop is over.
 */
#define HANDOVER_MAX_MS 5000

/**
 * blackboard_init() - Creates the shared state of a new incarnation.
 * @settings: copied
 */
void blackboard_init(blackboard_t *board, const settings_t *settings);

/** blackboard_clear() - Frees what the members point to. */
void blackboard_clear(blackboard_t *board);

/**
 * MIN_LONGEST_DEADLINE_MS - The longest deadline is taken to be at least this
 * long, so contracts with deadlines up to this do not change the deadline that
 * loans are granted for.
 */
#define MIN_LONGEST_DEADLINE_MS 250

/**
 * blackboard_longest_deadline() - The longest deadline of the contracts in
 * force, as stated to peers; at least MIN_LONGEST_DEADLINE_MS.
 */
usec_t blackboard_longest_deadline(const blackboard_t *board, usec_t now);

/**
 * blackboard_record_longest_deadline() - Stores the current longest deadline
 * for blackboard_max_attempt_time(). Called every NODE_TICK_MS.
 */
void blackboard_record_longest_deadline(blackboard_t *board, usec_t now);

/**
 * blackboard_max_attempt_time() - The longest time that an attempt which is
 * dispatched now may have until its deadline.
 *
 * This is the shortest of the longest deadlines that were stated to peers in
 * the last LOAN_MS. A lender reclaims its share after the deadline that it was
 * told when it lent, so a longer one is used only after all earlier loans have
 * ended.
 */
usec_t blackboard_max_attempt_time(const blackboard_t *board, usec_t now);

/** blackboard_is_self() - Whether a holder is this incarnation of this node. */
bool blackboard_is_self(const blackboard_t *board, const holder_t *holder);

/**
 * blackboard_is_isolated() - Whether this node has recently heard neither from
 * the platform nor from a peer; see membership_is_isolated().
 */
bool blackboard_is_isolated(const blackboard_t *board, usec_t now);

/**
 * blackboard_set_stopping() - Records whether a node reports that it is
 * stopping. The time of its first such report is kept.
 */
void blackboard_set_stopping(
    blackboard_t *board, const char *node, bool stopping, usec_t now);

/**
 * blackboard_handover_time() - How long a stopping node continues to serve.
 *
 * A share that its standby lent it before the stop can be used by the standby
 * again only after the loan and the longest deadline have passed. Until then no
 * other node could serve. At most HANDOVER_MAX_MS.
 */
usec_t blackboard_handover_time(const blackboard_t *board, usec_t now);

/**
 * blackboard_find_serving_node() - Finds the node that serves a service now.
 * @except: a node to leave out, or NULL
 *
 * This is the first live holder in the assignment that is not stopping, or
 * whose handover time is not over yet; without one, the first live holder.
 *
 * Return: the node's name, owned by the assignment; NULL when there is none.
 */
const char *blackboard_find_serving_node(
    const blackboard_t *board, const char *service, const char *except);

#endif
