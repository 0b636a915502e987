#ifndef BULRUSHWELL_ALLOWANCE_H
#define BULRUSHWELL_ALLOWANCE_H

#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: A node's share of a contract's rate and concurrency
 *
 * The rate and the concurrency of a contract are divided into
 * ASSIGNMENT_UNITS units. A node owns the units that the assignment gives to
 * its incarnation. Each unit has a whole number of concurrent requests and of
 * quanta (see below), and those of all units add up to the total exactly.
 *
 * A node lends rate and concurrency that it does not need to a peer that needs
 * them. The borrower counts the loan's lifetime from when it sent its request,
 * and the lender from when it replied. The lender adds a margin and, for
 * concurrency, the longest deadline of a request. A loan therefore ends at the
 * borrower first, and all nodes together never exceed the contract.
 *
 * A rate is divided and lent in whole quanta, each of which allows a burst of
 * at least one request. The number of quanta is the contract's burst: its rate
 * over a tenth of a second, but at least ALLOWANCE_MIN_BURST. So the bursts of
 * all nodes together do not exceed the contract's burst.
 */

/**
 * ALLOWANCE_MIN_BURST - The smallest burst of a contract, in requests. A node
 * without a quantum gets tokens from peers on demand.
 */
#define ALLOWANCE_MIN_BURST 1

typedef struct allowance allowance_t;

allowance_t *allowance_create(void);
void allowance_destroy(allowance_t *allowance);

/**
 * allowance_set_contract() - Sets the limits of a customer's contract.
 * @rate_per_s: requests per second; 0 when the contract is retired
 * @concurrency: requests at once; 0 when the contract is retired
 */
void allowance_set_contract(allowance_t *allowance, const char *customer,
    double rate_per_s, uint32_t concurrency, usec_t now);

/**
 * allowance_unit_range() - The units from @first to @first + @count - 1, one
 * bit each; those beyond ASSIGNMENT_UNITS are left out.
 */
uint64_t allowance_unit_range(uint32_t first, uint32_t count);

/**
 * allowance_set_units() - Sets the units that this node owns, one bit each.
 * @longest_deadline: the longest deadline of any request, from its admission
 *
 * A unit that the node did not own before becomes usable when the loans and
 * requests of its former owner have ended: its rate after LOAN_MS +
 * DRIFT_MARGIN_MS, its concurrency @longest_deadline later. A unit that is no
 * longer owned stops being used at once.
 */
void allowance_set_units(allowance_t *allowance, uint64_t units,
    usec_t longest_deadline, usec_t now);

/**
 * allowance_units_usable_since() - Since when the rate of all open units of
 * this node has been usable; @now when it has none or some are not usable yet.
 * See admission_add_customer().
 */
usec_t allowance_units_usable_since(const allowance_t *allowance, usec_t now);

/**
 * allowance_close_units() - Stops using and lending @units before they are
 * released.
 * @units: replaces the set of closed units; 0 opens all that are still owned
 * @longest_deadline: as for allowance_set_units()
 *
 * A node releases units by writing an assignment in which it does not own them.
 * When such a write may have succeeded, the units must stay closed until an
 * assignment is adopted that shows their owner.
 *
 * A unit that is opened again becomes usable after the same time as a new one:
 * it may have been released, used by another node and given back in versions of
 * the assignment that this node did not see.
 */
void allowance_close_units(allowance_t *allowance, uint64_t units,
    usec_t longest_deadline, usec_t now);

/**
 * allowance_rate(), allowance_concurrency() - What this node may use now, in
 * requests per second and requests at once. Both change as loans expire, so
 * they are read right before each admission.
 */
double allowance_rate(allowance_t *allowance, const char *customer, usec_t now);
uint32_t allowance_concurrency(
    allowance_t *allowance, const char *customer, usec_t now);

/**
 * typedef allowance_loan_t - Rate and concurrency of one contract that a node
 * lends or asks for.
 */
typedef struct {
	name_t customer;
	double rate_per_s;
	uint32_t concurrency;
} allowance_loan_t;

/**
 * allowance_lend() - Lends what this node does not need to a peer. A new loan
 * to the same incarnation replaces the previous one.
 * @borrower: name of the peer
 * @incarnation: of the peer
 * @wanted: what the peer asks for
 * @own_rate: requests per second that this node needs itself
 * @own_requests: requests of the customer that run or wait on this node
 * @longest_deadline: the longest deadline that the borrower stated
 * @loan: set to what is lent, possibly nothing
 *
 * The caller must apply the reduced allowance to its own admission before it
 * sends the loan.
 */
void allowance_lend(allowance_t *allowance, const char *borrower,
    uint64_t incarnation, const allowance_loan_t *wanted, double own_rate,
    uint32_t own_requests, usec_t longest_deadline, usec_t now,
    allowance_loan_t *loan);

/**
 * allowance_receive_loan() - Records a peer's loan, usable until @asked_at +
 * LOAN_MS.
 * @asked_at: when this node sent the message that asked for it
 *
 * Ignored if a loan of this lender was asked for later. The caller must set the
 * customer's admission to allowance_rate() and allowance_concurrency() both
 * before and after this call: otherwise a loan that has expired since the last
 * update would still have earned tokens.
 */
void allowance_receive_loan(allowance_t *allowance, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now);

#endif
