#ifndef BULRUSHWELL_LEDGER_H
#define BULRUSHWELL_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Share ledger
 *
 * Decides how many requests this node may run on each server of a service at
 * one moment: its own share of the slots, plus what other holders lent it. The
 * rules are in section 5 of docs/design.md.
 */

/** LOAN_MS - A loan lasts this long from when the borrower asked for it. */
#define LOAN_MS 300

/** DRIFT_MARGIN_MS - Allowance for the clock of a server. */
#define DRIFT_MARGIN_MS 50

/**
 * DRIFT_FRACTION - Waits are longer by one part in this many. Two clocks whose
 * rates are each wrong by 1 % disagree by 2 %; at a deadline of 10 s that is
 * more than DRIFT_MARGIN_MS.
 */
#define DRIFT_FRACTION 40

typedef struct ledger ledger_t;

ledger_t *ledger_create(void);
void ledger_destroy(ledger_t *ledger);

/**
 * ledger_set_share() - Adopts this node's share of a service.
 * @slots: 0 when the node is no holder
 * @longest: the longest deadline in force
 *
 * The part by which the share grows becomes usable only after LOAN_MS +
 * @longest, plus the drift allowances; a smaller share applies at once. A share
 * that was closed is usable only after that wait as a whole.
 */
void ledger_set_share(ledger_t *ledger, const char *service, uint32_t slots,
    usec_t longest, usec_t now);

/** ledger_share() - The share as adopted, whether usable yet or not. */
uint32_t ledger_share(const ledger_t *ledger, const char *service);

/** ledger_limit() - Requests that may run on one server of the service now. */
uint32_t ledger_limit(ledger_t *ledger, const char *service, usec_t now);

/**
 * ledger_lend() - Lends what is not in use.
 * @borrower: the node that asks; a grant to another incarnation of it is
 * another loan, since attempts of the earlier process may still run
 * @charged: the most attempts charged to any server of the service
 * @queued: requests that wait on this node for the service
 * @longest: the longest deadline that the borrower stated
 *
 * Return: the slots lent; 0 when nothing can be lent.
 */
uint32_t ledger_lend(ledger_t *ledger, const char *service,
    const char *borrower, uint64_t incarnation, uint32_t charged,
    uint32_t queued, usec_t longest, usec_t now);

/**
 * ledger_receive_loan() - Records a loan.
 * @lender: the node that lent; a later loan of the same lender replaces it,
 * an answer to an earlier request does not
 * @asked_at: when this node sent the request for it
 */
void ledger_receive_loan(ledger_t *ledger, const char *service,
    const char *lender, uint32_t slots, usec_t asked_at, usec_t now);

/**
 * ledger_may_release() - Whether the node may give its share up: the share is
 * closed, the wait since it last grew is over, nothing of it is lent, and the
 * charged attempts fit into the loans that this node has. A serving node that
 * is never idle can thus give its share up too.
 * @charged: the most attempts charged to any server of the service
 */
bool ledger_may_release(
    ledger_t *ledger, const char *service, uint32_t charged, usec_t now);

/**
 * ledger_close_share() - Stops using and lending the share, ahead of giving it
 * up; ledger_set_share() with a larger share opens it again. A closed share is
 * to be given up: when a write of that is lost or loses a race, it is repeated.
 */
void ledger_close_share(ledger_t *ledger, const char *service);

/** ledger_next_change() - When some limit changes by itself; 0 for never. */
usec_t ledger_next_change(const ledger_t *ledger, usec_t now);

#endif
