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

/** LONGEST_HISTORY - Ticks that cover LOAN_MS and one heartbeat more. */
#define LONGEST_HISTORY 5

/**
 * typedef blackboard_t - State that the controllers of a node share. Each
 * entry names the controller that writes it; all others only read.
 */
typedef struct {
	settings_t settings;	     /* main */
	uint64_t incarnation;	     /* node */
	node_state_t state;	     /* stop controller */
	contract_store_t *contracts; /* configuration controller */
	catalogue_t *catalogue;	     /* configuration controller */
	uint64_t config_digest;	     /* configuration controller */
	bool config_known;	     /* configuration controller */
	assignment_t *assignment;    /* configuration controller; NULL: none */
	membership_t *membership;    /* peer controller */
	ledger_t *ledger;	     /* assignment and peer controllers */
	allowance_t *allowance;	     /* assignment and peer controllers */
	admission_t *admission;	     /* limits controller */
	suspect_list_t *suspects;    /* serving controller */
	usec_t platform_heard_at;    /* platform events; 0: never */
	bool platform_reachable;     /* platform events */
	usec_t stated[LONGEST_HISTORY]; /* limits controller */
	uint32_t stated_next;		/* limits controller */
	GHashTable *stopping_since;	/* peer controller; node -> usec_t */
} blackboard_t;

/**
 * HANDOVER_MAX_MS - Bounds the first phase of a planned stop, so that shares
 * that were lent during it return before the stop is over.
 */
#define HANDOVER_MAX_MS 5000

void blackboard_init(blackboard_t *board, const settings_t *settings);
void blackboard_clear(blackboard_t *board);

/**
 * LONGEST_FLOOR_MS - Nodes reckon with deadlines of at least this much, so that
 * a first or shorter contract needs no change of what loans were granted for.
 */
#define LONGEST_FLOOR_MS 250

/** blackboard_longest() - The longest deadline in force, as stated to peers. */
usec_t blackboard_longest(const blackboard_t *board, usec_t now);

/** blackboard_note_longest() - Called every NODE_TICK_MS. */
void blackboard_note_longest(blackboard_t *board, usec_t now);

/**
 * blackboard_dispatch_longest() - The most time that an attempt may have left.
 *
 * The least of what was stated in the last LOAN_MS: a lender waits for the
 * deadline that it was told when it lent, so a longer one is used only after
 * all earlier loans have ended.
 */
usec_t blackboard_dispatch_longest(const blackboard_t *board, usec_t now);

/** blackboard_is_self() - Whether a holder is this incarnation. */
bool blackboard_is_self(const blackboard_t *board, const holder_t *holder);

/** blackboard_is_isolated() - Neither platform nor peers have been heard. */
bool blackboard_is_isolated(const blackboard_t *board, usec_t now);

/** blackboard_note_stopping() - Whether a node says that it is stopping. */
void blackboard_note_stopping(
    blackboard_t *board, const char *node, bool stopping, usec_t now);

/**
 * blackboard_handover() - How long a stopping node goes on serving.
 *
 * What its standby lent it before the stop is usable by the standby again only
 * after the loan and the longest deadline; until then nobody else could serve.
 */
usec_t blackboard_handover(const blackboard_t *board, usec_t now);

/**
 * blackboard_route() - The node that serves a service now.
 * @except: a node to leave out, or NULL
 *
 * The first live holder that is not past its handover, else the first live
 * one; NULL when there is none.
 */
const char *blackboard_route(
    const blackboard_t *board, const char *service, const char *except);

#endif
