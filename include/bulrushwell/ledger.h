#ifndef BULRUSHWELL_LEDGER_H
#define BULRUSHWELL_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Share ledger
 *
 * Computes how many requests this node may run at once on each server of a
 * service: its own share of the slots, less what it lent to other nodes, plus
 * what other holders lent to it. The rules are in section 5 of docs/design.md.
 *
 * Slots are counted per server. Times are those of clock_monotonic().
 */

/** LOAN_MS - Duration of a loan, from when the borrower asked for it. */
#define LOAN_MS 300

/** DRIFT_MARGIN_MS - Allowed difference of the wall clocks of two machines. */
#define DRIFT_MARGIN_MS 50

/**
 * DRIFT_DIVISOR - Waits are prolonged by 1 / DRIFT_DIVISOR of their length.
 * Two clocks whose rates are each wrong by 1 % differ by 2 %, which at a
 * deadline of 10 s is more than DRIFT_MARGIN_MS.
 */
#define DRIFT_DIVISOR 40

typedef struct ledger ledger_t;

/** ledger_create() - Creates an empty ledger, owned by the caller. */
ledger_t *ledger_create(void);

/** ledger_destroy() - Frees a ledger; NULL is ignored. */
void ledger_destroy(ledger_t *ledger);

/**
 * ledger_set_share() - Sets this node's share of a service.
 * @slots: slots of each server; 0 when the node is not a holder
 * @longest_deadline: the longest deadline of any request
 *
 * Slots by which the share grows become usable only after LOAN_MS +
 * @longest_deadline and the drift allowances, since their former holder or its
 * borrowers may use them until then. A smaller share applies at once. When a
 * closed share grows, the wait applies to all of it.
 */
void ledger_set_share(ledger_t *ledger, const char *service, uint32_t slots,
    usec_t longest_deadline, usec_t now);

/** ledger_share() - The share as set last, whether usable yet or not. */
uint32_t ledger_share(const ledger_t *ledger, const char *service);

/** ledger_limit() - Requests that may run now on each server of a service. */
uint32_t ledger_limit(ledger_t *ledger, const char *service, usec_t now);

/**
 * ledger_lend() - Lends all slots of the share that are not in use.
 * @borrower: the node that asks
 * @incarnation: of the borrower; a loan to another incarnation is counted in
 * addition, since attempts of the earlier process may still run
 * @charged: the most attempts that occupy slots of any one server
 * @queued: requests that wait on this node for the service; with any, nothing
 * is lent
 * @longest_deadline: the longest deadline that the borrower stated
 *
 * Return: the number of slots lent, or 0.
 */
uint32_t ledger_lend(ledger_t *ledger, const char *service,
    const char *borrower, uint64_t incarnation, uint32_t charged,
    uint32_t queued, usec_t longest_deadline, usec_t now);

/**
 * ledger_receive_loan() - Records the answer to a request for a loan.
 * @lender: the node that answered
 * @slots: the slots lent; 0 ends an earlier loan of the same lender
 * @asked_at: when this node sent the request; the loan ends LOAN_MS later
 *
 * Replaces an earlier loan of the same lender, unless that one was requested
 * later: answers may arrive out of order.
 */
void ledger_receive_loan(ledger_t *ledger, const char *service,
    const char *lender, uint32_t slots, usec_t asked_at, usec_t now);

/**
 * ledger_may_release() - Whether the node may give up its share: the share is
 * closed, the wait since it last grew is over, none of it is lent, and the
 * running attempts fit into the slots that this node borrowed. A serving node
 * that is never idle can therefore release its share as well.
 * @charged: the most attempts that occupy slots of any one server
 */
bool ledger_may_release(
    ledger_t *ledger, const char *service, uint32_t charged, usec_t now);

/**
 * ledger_close_share() - Stops using and lending the share before it is given
 * up. The caller then writes an assignment without the share, and repeats that
 * when the write is lost or conflicts. ledger_set_share() with a larger share
 * opens it again.
 */
void ledger_close_share(ledger_t *ledger, const char *service);

/**
 * ledger_next_limit_change() - When the limit of any service next changes
 * because a wait, a loan to another node or a loan from one ends.
 *
 * Return: a time after @now, or 0 when nothing is due.
 */
usec_t ledger_next_limit_change(const ledger_t *ledger, usec_t now);

#endif
