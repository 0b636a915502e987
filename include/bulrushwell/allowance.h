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
 */
typedef struct allowance allowance_t;

allowance_t *allowance_create(void);
void allowance_destroy(allowance_t *allowance);

/**
 * allowance_set_contract() - The contract's figures; 0 for a retired one.
 */
void allowance_set_contract(allowance_t *allowance, const char *customer,
    double rate_per_s, uint32_t concurrency, usec_t now);

/**
 * allowance_set_units() - Units that this node owns. More units are usable
 * after the same wait as a larger share in ledger_set_share().
 * @first: the number of units owned by members before this one in the
 * assignment, so that integer parts add up
 */
void allowance_set_units(allowance_t *allowance, uint32_t first, uint32_t units,
    usec_t longest, usec_t now);

/** allowance_close_units() - Stops using @units units ahead of releasing. */
void allowance_close_units(allowance_t *allowance, uint32_t units);

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
 * allowance_lend() - Answers a peer's wish.
 * @wish: what the peer lacks
 * @own_rate: what this node needs itself
 * @own_running: requests of the customer that run here
 * @loan: set to what is lent, possibly nothing
 */
void allowance_lend(allowance_t *allowance, const allowance_loan_t *wish,
    double own_rate, uint32_t own_running, usec_t longest, usec_t now,
    allowance_loan_t *loan);

void allowance_receive_loan(allowance_t *allowance, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now);

#endif
