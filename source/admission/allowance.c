#include "bulrushwell/allowance.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "bulrushwell/admission.h"
#include "bulrushwell/assignment.h"
#include "bulrushwell/ledger.h"
#include "hold.h"

/* Tolerance for rounding, so that a quotient that should be whole is not
 * rounded up to the next integer. */
#define QUANTA_EPSILON 1e-9

/* A grant: the quanta and the concurrency lent to one incarnation of a peer,
 * the borrower. */
typedef struct {
	name_t borrower;
	uint64_t incarnation;
	hold_list_t quanta;
	hold_list_t concurrency;
} grant_t;

/* The latest loan of one lender. */
typedef struct {
	name_t lender;
	double rate; /* requests per second */
	uint32_t concurrency;
	usec_t asked_at; /* on this node's clock */
} received_loan_t;

/* A customer's contract and its loans. Rate, quanta and concurrency are those
 * of the whole contract; 0 when it is retired. */
typedef struct {
	name_t name;
	double rate; /* requests per second */
	uint32_t quanta;
	uint32_t concurrency;
	GArray *grants;	  /* grant_t, or NULL */
	GArray *received; /* received_loan_t, or NULL */
} customer_t;

struct allowance {
	GHashTable *customers; /* name -> customer_t */
	uint64_t owned;	       /* units, one bit each */
	uint64_t closed;       /* owned, but neither used nor lent */
	usec_t rate_usable_at[ASSIGNMENT_UNITS];
	usec_t concurrency_usable_at[ASSIGNMENT_UNITS];
};

static void
free_customer(void *data)
{
	customer_t *customer = data;

	if (customer->grants != NULL)
		g_array_free(customer->grants, TRUE);
	if (customer->received != NULL)
		g_array_free(customer->received, TRUE);
	g_free(customer);
}

allowance_t *
allowance_create(void)
{
	allowance_t *allowance = g_new0(allowance_t, 1);

	allowance->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_customer);
	return allowance;
}

void
allowance_destroy(allowance_t *allowance)
{
	if (allowance == NULL)
		return;
	g_hash_table_destroy(allowance->customers);
	g_free(allowance);
}

static customer_t *
find_customer(allowance_t *allowance, const char *name)
{
	return g_hash_table_lookup(allowance->customers, name);
}

static customer_t *
get_customer(allowance_t *allowance, const char *name)
{
	customer_t *customer = find_customer(allowance, name);

	if (customer != NULL)
		return customer;
	customer = g_new0(customer_t, 1);
	g_strlcpy(customer->name, name, sizeof(customer->name));
	g_hash_table_insert(allowance->customers, customer->name, customer);
	return customer;
}

/* The rate of one quantum, in requests per second. */
static double
quantum_rate(const customer_t *customer)
{
	return customer->quanta > 0 ? customer->rate / customer->quanta : 0;
}

/* The number of quanta needed for a rate, rounded up. */
static uint32_t
quanta_for(const customer_t *customer, double rate)
{
	if (customer->quanta == 0 || rate <= 0)
		return 0;
	return (uint32_t)fmin(
	    UINT32_MAX, ceil(rate / quantum_rate(customer) - QUANTA_EPSILON));
}

/* Converts lent quanta after a change of the contract, rounding up. */
static void
convert_grants(customer_t *customer, double old_quantum_rate)
{
	for (guint i = 0; customer->grants != NULL && i < customer->grants->len;
	     i++) {
		hold_list_t *quanta =
		    &g_array_index(customer->grants, grant_t, i).quanta;

		for (uint32_t k = 0; k < quanta->count; k++)
			quanta->holds[k].amount = quanta_for(customer,
			    quanta->holds[k].amount * old_quantum_rate);
	}
}

void
allowance_set_contract(allowance_t *allowance, const char *name,
    double rate_per_s, uint32_t concurrency, usec_t now)
{
	customer_t *customer = get_customer(allowance, name);
	double old_quantum_rate = quantum_rate(customer);

	customer->rate = rate_per_s;
	customer->concurrency = concurrency;
	customer->quanta = 0;
	if (rate_per_s > 0)
		customer->quanta = (uint32_t)fmax(ALLOWANCE_MIN_BURST,
		    floor(rate_per_s * ADMISSION_BURST_SECONDS));
	convert_grants(customer, old_quantum_rate);
}

uint64_t
allowance_unit_range(uint32_t first, uint32_t count)
{
	uint64_t units = 0;

	for (uint32_t i = first; i < first + count && i < ASSIGNMENT_UNITS; i++)
		units |= (uint64_t)1 << i;
	return units;
}

/* Makes units usable once loans and requests of a former owner have ended. */
static void
delay_units(
    allowance_t *allowance, uint64_t units, usec_t longest_deadline, usec_t now)
{
	for (uint32_t i = 0; i < ASSIGNMENT_UNITS; i++) {
		if ((units >> i & 1) == 0)
			continue;
		allowance->rate_usable_at[i] =
		    now + MS(LOAN_MS + DRIFT_MARGIN_MS);
		allowance->concurrency_usable_at[i] =
		    allowance->rate_usable_at[i] + longest_deadline;
	}
}

void
allowance_set_units(
    allowance_t *allowance, uint64_t units, usec_t longest_deadline, usec_t now)
{
	delay_units(
	    allowance, units & ~allowance->owned, longest_deadline, now);
	allowance->owned = units;
	allowance->closed &= units;
}

usec_t
allowance_units_usable_since(const allowance_t *allowance, usec_t now)
{
	usec_t since = INT64_MIN;

	for (uint32_t i = 0; i < ASSIGNMENT_UNITS; i++)
		if ((allowance->owned & ~allowance->closed) >> i & 1)
			since = MAX(since, allowance->rate_usable_at[i]);
	return since == INT64_MIN || since > now ? now : since;
}

void
allowance_close_units(
    allowance_t *allowance, uint64_t units, usec_t longest_deadline, usec_t now)
{
	delay_units(
	    allowance, allowance->closed & ~units, longest_deadline, now);
	allowance->closed = units & allowance->owned;
}

/* This node's share of @total: the sum over its open units whose @usable_at has
 * come. The shares of all units add up to @total exactly. */
static uint32_t
count_usable(const allowance_t *allowance, const usec_t *usable_at,
    uint64_t total, usec_t now)
{
	uint64_t open = allowance->owned & ~allowance->closed, sum = 0;

	for (uint64_t i = 0; i < ASSIGNMENT_UNITS; i++)
		if ((open >> i & 1) != 0 && now >= usable_at[i])
			sum += (i + 1) * total / ASSIGNMENT_UNITS -
			    i * total / ASSIGNMENT_UNITS;
	return (uint32_t)sum;
}

/* @from - @amount, or 0 if that is negative. */
static uint32_t
subtract_saturating(uint32_t from, uint64_t amount)
{
	return amount < from ? from - (uint32_t)amount : 0;
}

typedef struct {
	uint32_t quanta;
	uint32_t concurrency;
} amounts_t;

/* What this node owns and has not lent to borrowers other than @except. */
static amounts_t
count_unlent(const allowance_t *allowance, customer_t *customer,
    const grant_t *except, usec_t now)
{
	uint64_t quanta = 0, concurrency = 0;
	amounts_t own = {count_usable(allowance, allowance->rate_usable_at,
			     customer->quanta, now),
	    count_usable(allowance, allowance->concurrency_usable_at,
		customer->concurrency, now)};

	for (guint i = 0; customer->grants != NULL && i < customer->grants->len;
	     i++) {
		grant_t *grant = &g_array_index(customer->grants, grant_t, i);

		if (grant == except)
			continue;
		quanta += hold_list_amount(&grant->quanta, now);
		concurrency += hold_list_amount(&grant->concurrency, now);
	}
	own.quanta = subtract_saturating(own.quanta, quanta);
	own.concurrency = subtract_saturating(own.concurrency, concurrency);
	return own;
}

static void
drop_expired_loans(customer_t *customer, usec_t now)
{
	for (guint i = customer->received != NULL ? customer->received->len : 0;
	     i > 0; i--) {
		const received_loan_t *loan =
		    &g_array_index(customer->received, received_loan_t, i - 1);

		if (now >= loan->asked_at + MS(LOAN_MS))
			g_array_remove_index_fast(customer->received, i - 1);
	}
}

double
allowance_rate(allowance_t *allowance, const char *name, usec_t now)
{
	customer_t *customer = find_customer(allowance, name);
	double rate;

	if (customer == NULL)
		return 0;
	drop_expired_loans(customer, now);
	rate = count_unlent(allowance, customer, NULL, now).quanta *
	    quantum_rate(customer);
	for (guint i = 0;
	     customer->received != NULL && i < customer->received->len; i++)
		rate +=
		    g_array_index(customer->received, received_loan_t, i).rate;
	return rate;
}

uint32_t
allowance_concurrency(allowance_t *allowance, const char *name, usec_t now)
{
	customer_t *customer = find_customer(allowance, name);
	uint32_t concurrency;

	if (customer == NULL)
		return 0;
	drop_expired_loans(customer, now);
	concurrency = count_unlent(allowance, customer, NULL, now).concurrency;
	for (guint i = 0;
	     customer->received != NULL && i < customer->received->len; i++)
		concurrency +=
		    g_array_index(customer->received, received_loan_t, i)
			.concurrency;
	return concurrency;
}

static void
drop_expired_grants(customer_t *customer, usec_t now)
{
	for (guint i = customer->grants != NULL ? customer->grants->len : 0;
	     i > 0; i--) {
		grant_t *grant =
		    &g_array_index(customer->grants, grant_t, i - 1);

		if (hold_list_amount(&grant->quanta, now) == 0 &&
		    hold_list_amount(&grant->concurrency, now) == 0)
			g_array_remove_index_fast(customer->grants, i - 1);
	}
}

static grant_t *
get_grant(customer_t *customer, const char *borrower, uint64_t incarnation)
{
	grant_t added = {.incarnation = incarnation};

	if (customer->grants == NULL)
		customer->grants = g_array_new(FALSE, TRUE, sizeof(grant_t));
	for (guint i = 0; i < customer->grants->len; i++) {
		grant_t *grant = &g_array_index(customer->grants, grant_t, i);

		if (grant->incarnation == incarnation &&
		    strcmp(grant->borrower, borrower) == 0)
			return grant;
	}
	g_strlcpy(added.borrower, borrower, sizeof(added.borrower));
	g_array_append_val(customer->grants, added);
	return &g_array_index(
	    customer->grants, grant_t, customer->grants->len - 1);
}

void
allowance_lend(allowance_t *allowance, const char *borrower,
    uint64_t incarnation, const allowance_loan_t *wanted, double own_rate,
    uint32_t own_requests, usec_t longest_deadline, usec_t now,
    allowance_loan_t *loan)
{
	customer_t *customer = find_customer(allowance, wanted->customer);
	grant_t *grant;
	amounts_t spare;

	*loan = (allowance_loan_t){0};
	memcpy(loan->customer, wanted->customer, sizeof(loan->customer));
	if (customer == NULL)
		return;
	drop_expired_grants(customer, now);
	grant = get_grant(customer, borrower, incarnation);
	spare = count_unlent(allowance, customer, grant, now);
	spare.quanta = MIN(
	    subtract_saturating(spare.quanta, quanta_for(customer, own_rate)),
	    quanta_for(customer, wanted->rate_per_s));
	spare.concurrency =
	    MIN(subtract_saturating(spare.concurrency, own_requests),
		wanted->concurrency);
	hold_list_add(&grant->quanta, spare.quanta,
	    now + MS(LOAN_MS + DRIFT_MARGIN_MS), now);
	hold_list_add(&grant->concurrency, spare.concurrency,
	    now + MS(LOAN_MS + DRIFT_MARGIN_MS) + longest_deadline, now);
	loan->rate_per_s = spare.quanta * quantum_rate(customer);
	loan->concurrency = spare.concurrency;
}

static received_loan_t *
get_received_loan(customer_t *customer, const char *lender)
{
	received_loan_t added = {0};

	if (customer->received == NULL)
		customer->received =
		    g_array_new(FALSE, TRUE, sizeof(received_loan_t));
	for (guint i = 0; i < customer->received->len; i++) {
		received_loan_t *loan =
		    &g_array_index(customer->received, received_loan_t, i);

		if (strcmp(loan->lender, lender) == 0)
			return loan;
	}
	g_strlcpy(added.lender, lender, sizeof(added.lender));
	added.asked_at = INT64_MIN;
	g_array_append_val(customer->received, added);
	return &g_array_index(
	    customer->received, received_loan_t, customer->received->len - 1);
}

void
allowance_receive_loan(allowance_t *allowance, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now)
{
	customer_t *customer = find_customer(allowance, loan->customer);
	received_loan_t *received;

	/* Requests of a customer without a known contract are not served. */
	if (customer == NULL)
		return;
	received = get_received_loan(customer, lender);
	if (received->asked_at > asked_at)
		return;
	received->rate = loan->rate_per_s;
	received->concurrency = loan->concurrency;
	received->asked_at = asked_at;
}
