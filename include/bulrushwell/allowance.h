#ifndef BULRUSHWELL_ALLOWANCE_H
#define BULRUSHWELL_ALLOWANCE_H

#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: A node's part of a contract's allowance
 *
 * The rate and the concurrency of a contract are divided into
 * ASSIGNMENT_UNITS units; a node owns the units that the assignment gives to
 * its incarnation. Integers are divided so that the sum over all units is
 * exact. A node lends rate and concurrency that it does not need to a peer
 * with demand, until a time that the borrower measures from when it asked; the
 * lender does without until later. The sum over all nodes never exceeds the
 * contract.
 *
 * A rate is divided and lent in whole quanta, each of which allows a burst of
 * at least one request: the number of quanta is the contract's burst, a tenth
 * of a second of its rate but at least ALLOWANCE_MIN_BURST. So the bursts of
 * all nodes together are no more than the contract's.
 */

/**
 * ALLOWANCE_MIN_BURST - The fewest requests that a contract may send at once. A
 * node without a quantum admits nothing; with 16, each of up to 16 nodes with
 * equal units has one, however low the rate is.
 */
#define ALLOWANCE_MIN_BURST 16

typedef struct allowance allowance_t;

allowance_t *allowance_create(void);
void allowance_destroy(allowance_t *allowance);

/**
 * allowance_set_contract() - The contract's figures; 0 for a retired one.
 */
void allowance_set_contract(allowance_t *allowance, const char *customer,
    double rate_per_s, uint32_t concurrency, usec_t now);

/** allowance_unit_range() - The units @first .. @first + @count - 1 as bits. */
uint64_t allowance_unit_range(uint32_t first, uint32_t count);

/**
 * allowance_set_units() - Units that this node owns, one bit each.
 * @longest: the longest deadline in force
 *
 * A unit that the node did not own before is usable after the time for which
 * its former owner's loans and requests may last: its rate after LOAN_MS +
 * DRIFT_MARGIN_MS, its concurrency after @longest more. A unit that is no
 * longer owned is not used from now on.
 */
void allowance_set_units(
    allowance_t *allowance, uint64_t units, usec_t longest, usec_t now);

/**
 * allowance_units_since() - Since when this node's units give the rate that
 * they give now; @now when it has none. See admission_begin().
 */
usec_t allowance_units_since(const allowance_t *allowance, usec_t now);

/**
 * allowance_close_units() - Stops using and lending @units ahead of releasing
 * them. Replaces the units closed before: 0 opens all that are still owned.
 * Units whose release may have been written stay closed until an assignment is
 * adopted that shows their owner.
 *
 * A unit that is opened again is usable after the same time as a new one: it
 * may have been released, used by another node and given back in versions of
 * the assignment that this node did not see.
 */
void allowance_close_units(
    allowance_t *allowance, uint64_t units, usec_t longest, usec_t now);

/**
 * allowance_rate(), allowance_concurrency() - What this node may use now. Loans
 * and holds end by time, so they are read right before each admission.
 */
double allowance_rate(allowance_t *allowance, const char *customer, usec_t now);
uint32_t allowance_concurrency(
    allowance_t *allowance, const char *customer, usec_t now);

/** typedef allowance_loan_t - A loan of part of one customer's allowance. */
typedef struct {
	name_t customer;
	double rate_per_s;
	uint32_t concurrency;
} allowance_loan_t;

/**
 * allowance_lend() - Answers a peer's wish. A new loan to the same incarnation
 * replaces the one before.
 * @borrower: the peer and its incarnation
 * @wish: what the peer lacks
 * @own_rate: what this node needs itself
 * @own_requests: requests of the customer that run or wait here
 * @longest: the longest deadline that the borrower stated
 * @loan: set to what is lent, possibly nothing
 *
 * The lender's own admission applies the smaller allowance before the loan is
 * sent.
 */
void allowance_lend(allowance_t *allowance, const char *borrower,
    uint64_t incarnation, const allowance_loan_t *wish, double own_rate,
    uint32_t own_requests, usec_t longest, usec_t now, allowance_loan_t *loan);

/**
 * allowance_receive_loan() - A peer's answer, usable until @asked_at + LOAN_MS.
 * @asked_at: when this node sent the heartbeat that asked
 *
 * A loan that was asked for earlier than the lender's last one is ignored. The
 * customer's admission is set to what allowance_rate() gives before as well as
 * after this call, so that a loan that ended unnoticed earns nothing.
 */
void allowance_receive_loan(allowance_t *allowance, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now);

#endif
