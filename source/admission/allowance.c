#include "bulrushwell/allowance.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "bulrushwell/admission.h"
#include "bulrushwell/assignment.h"
#include "bulrushwell/ledger.h"
#include "hold.h"

/* Keeps a quotient that is whole but for rounding from going to the next. */
#define QUANTUM_EPSILON 1e-9

typedef struct {
	name_t node;
	uint64_t incarnation;
	hold_list_t quanta;
	hold_list_t concurrency;
} grant_t;

typedef struct {
	name_t lender;
	double rate;
	uint32_t concurrency;
	usec_t asked_at;
} received_t;

typedef struct {
	name_t name;
	double rate;
	uint32_t quanta; /* of the whole contract; 0 when it is retired */
	uint32_t concurrency;
	GArray *grants;	  /* grant_t, or NULL */
	GArray *received; /* received_t, or NULL */
} part_t;

struct allowance {
	GHashTable *parts; /* name -> part_t */
	uint64_t owned;
	uint64_t closed;
	usec_t rate_usable_at[ASSIGNMENT_UNITS];
	usec_t usable_at[ASSIGNMENT_UNITS];
};

static void
free_part(void *data)
{
	part_t *part = data;

	if (part->grants != NULL)
		g_array_free(part->grants, TRUE);
	if (part->received != NULL)
		g_array_free(part->received, TRUE);
	g_free(part);
}

allowance_t *
allowance_create(void)
{
	allowance_t *allowance = g_new0(allowance_t, 1);

	allowance->parts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_part);
	return allowance;
}

void
allowance_destroy(allowance_t *allowance)
{
	if (allowance == NULL)
		return;
	g_hash_table_destroy(allowance->parts);
	g_free(allowance);
}

static part_t *
find_part(allowance_t *allowance, const char *customer)
{
	return g_hash_table_lookup(allowance->parts, customer);
}

static part_t *
get_part(allowance_t *allowance, const char *customer)
{
	part_t *part = find_part(allowance, customer);

	if (part != NULL)
		return part;
	part = g_new0(part_t, 1);
	g_strlcpy(part->name, customer, sizeof(part->name));
	g_hash_table_insert(allowance->parts, part->name, part);
	return part;
}

static double
quantum_of(const part_t *part)
{
	return part->quanta > 0 ? part->rate / part->quanta : 0;
}

/* Quanta that cover a rate of this contract. */
static uint32_t
quanta_for(const part_t *part, double rate)
{
	if (part->quanta == 0 || rate <= 0)
		return 0;
	return (uint32_t)fmin(
	    UINT32_MAX, ceil(rate / quantum_of(part) - QUANTUM_EPSILON));
}

static void
convert_grants(part_t *part, double old_quantum)
{
	for (guint i = 0; part->grants != NULL && i < part->grants->len; i++) {
		hold_list_t *quanta =
		    &g_array_index(part->grants, grant_t, i).quanta;

		for (uint32_t k = 0; k < quanta->count; k++)
			quanta->holds[k].amount = quanta_for(
			    part, quanta->holds[k].amount * old_quantum);
	}
}

void
allowance_set_contract(allowance_t *allowance, const char *customer,
    double rate_per_s, uint32_t concurrency, usec_t now)
{
	part_t *part = get_part(allowance, customer);
	double old_quantum = quantum_of(part);

	part->rate = rate_per_s;
	part->concurrency = concurrency;
	part->quanta = 0;
	if (rate_per_s > 0)
		part->quanta = (uint32_t)fmax(ALLOWANCE_MIN_BURST,
		    floor(rate_per_s * ADMISSION_BURST_SECONDS));
	convert_grants(part, old_quantum);
}

uint64_t
allowance_unit_range(uint32_t first, uint32_t count)
{
	uint64_t units = 0;

	for (uint32_t i = first; i < first + count && i < ASSIGNMENT_UNITS; i++)
		units |= (uint64_t)1 << i;
	return units;
}

static void
delay_units(allowance_t *allowance, uint64_t units, usec_t longest, usec_t now)
{
	for (uint32_t i = 0; i < ASSIGNMENT_UNITS; i++) {
		if ((units >> i & 1) == 0)
			continue;
		allowance->rate_usable_at[i] =
		    now + MS(LOAN_MS + DRIFT_MARGIN_MS);
		allowance->usable_at[i] =
		    allowance->rate_usable_at[i] + longest;
	}
}

void
allowance_set_units(
    allowance_t *allowance, uint64_t units, usec_t longest, usec_t now)
{
	delay_units(allowance, units & ~allowance->owned, longest, now);
	allowance->owned = units;
	allowance->closed &= units;
}

usec_t
allowance_units_since(const allowance_t *allowance, usec_t now)
{
	usec_t since = INT64_MIN;

	for (uint32_t i = 0; i < ASSIGNMENT_UNITS; i++)
		if ((allowance->owned & ~allowance->closed) >> i & 1)
			since = MAX(since, allowance->rate_usable_at[i]);
	return since == INT64_MIN || since > now ? now : since;
}

void
allowance_close_units(
    allowance_t *allowance, uint64_t units, usec_t longest, usec_t now)
{
	delay_units(allowance, allowance->closed & ~units, longest, now);
	allowance->closed = units & allowance->owned;
}

/* The part of @total that the units usable by @usable_at give. */
static uint32_t
sum_units(const allowance_t *allowance, const usec_t *usable_at, uint64_t total,
    usec_t now)
{
	uint64_t open = allowance->owned & ~allowance->closed, sum = 0;

	for (uint64_t i = 0; i < ASSIGNMENT_UNITS; i++)
		if ((open >> i & 1) != 0 && now >= usable_at[i])
			sum += (i + 1) * total / ASSIGNMENT_UNITS -
			    i * total / ASSIGNMENT_UNITS;
	return (uint32_t)sum;
}

static uint32_t
subtract(uint32_t from, uint64_t amount)
{
	return amount < from ? from - (uint32_t)amount : 0;
}

typedef struct {
	uint32_t quanta;
	uint32_t concurrency;
} own_t;

/* What this node owns and has not lent to anyone but @except. */
static own_t
count_own(const allowance_t *allowance, part_t *part, const grant_t *except,
    usec_t now)
{
	uint64_t quanta = 0, concurrency = 0;
	own_t own = {
	    sum_units(allowance, allowance->rate_usable_at, part->quanta, now),
	    sum_units(allowance, allowance->usable_at, part->concurrency, now)};

	for (guint i = 0; part->grants != NULL && i < part->grants->len; i++) {
		grant_t *grant = &g_array_index(part->grants, grant_t, i);

		if (grant == except)
			continue;
		quanta += hold_list_amount(&grant->quanta, now);
		concurrency += hold_list_amount(&grant->concurrency, now);
	}
	own.quanta = subtract(own.quanta, quanta);
	own.concurrency = subtract(own.concurrency, concurrency);
	return own;
}

static void
drop_ended_loans(part_t *part, usec_t now)
{
	for (guint i = part->received != NULL ? part->received->len : 0; i > 0;
	     i--) {
		const received_t *loan =
		    &g_array_index(part->received, received_t, i - 1);

		if (now >= loan->asked_at + MS(LOAN_MS))
			g_array_remove_index_fast(part->received, i - 1);
	}
}

double
allowance_rate(allowance_t *allowance, const char *customer, usec_t now)
{
	part_t *part = find_part(allowance, customer);
	double rate;

	if (part == NULL)
		return 0;
	drop_ended_loans(part, now);
	rate = count_own(allowance, part, NULL, now).quanta * quantum_of(part);
	for (guint i = 0; part->received != NULL && i < part->received->len;
	     i++)
		rate += g_array_index(part->received, received_t, i).rate;
	return rate;
}

uint32_t
allowance_concurrency(allowance_t *allowance, const char *customer, usec_t now)
{
	part_t *part = find_part(allowance, customer);
	uint32_t concurrency;

	if (part == NULL)
		return 0;
	drop_ended_loans(part, now);
	concurrency = count_own(allowance, part, NULL, now).concurrency;
	for (guint i = 0; part->received != NULL && i < part->received->len;
	     i++)
		concurrency +=
		    g_array_index(part->received, received_t, i).concurrency;
	return concurrency;
}

static void
drop_ended_grants(part_t *part, usec_t now)
{
	for (guint i = part->grants != NULL ? part->grants->len : 0; i > 0;
	     i--) {
		grant_t *grant = &g_array_index(part->grants, grant_t, i - 1);

		if (hold_list_amount(&grant->quanta, now) == 0 &&
		    hold_list_amount(&grant->concurrency, now) == 0)
			g_array_remove_index_fast(part->grants, i - 1);
	}
}

static grant_t *
get_grant(part_t *part, const char *node, uint64_t incarnation)
{
	grant_t added = {.incarnation = incarnation};

	if (part->grants == NULL)
		part->grants = g_array_new(FALSE, TRUE, sizeof(grant_t));
	for (guint i = 0; i < part->grants->len; i++) {
		grant_t *grant = &g_array_index(part->grants, grant_t, i);

		if (grant->incarnation == incarnation &&
		    strcmp(grant->node, node) == 0)
			return grant;
	}
	g_strlcpy(added.node, node, sizeof(added.node));
	g_array_append_val(part->grants, added);
	return &g_array_index(part->grants, grant_t, part->grants->len - 1);
}

void
allowance_lend(allowance_t *allowance, const char *borrower,
    uint64_t incarnation, const allowance_loan_t *wish, double own_rate,
    uint32_t own_requests, usec_t longest, usec_t now, allowance_loan_t *loan)
{
	part_t *part = find_part(allowance, wish->customer);
	grant_t *grant;
	own_t spare;

	*loan = (allowance_loan_t){0};
	memcpy(loan->customer, wish->customer, sizeof(loan->customer));
	if (part == NULL)
		return;
	drop_ended_grants(part, now);
	grant = get_grant(part, borrower, incarnation);
	spare = count_own(allowance, part, grant, now);
	spare.quanta = MIN(subtract(spare.quanta, quanta_for(part, own_rate)),
	    quanta_for(part, wish->rate_per_s));
	spare.concurrency =
	    MIN(subtract(spare.concurrency, own_requests), wish->concurrency);
	hold_list_add(&grant->quanta, spare.quanta,
	    now + MS(LOAN_MS + DRIFT_MARGIN_MS), now);
	hold_list_add(&grant->concurrency, spare.concurrency,
	    now + MS(LOAN_MS + DRIFT_MARGIN_MS) + longest, now);
	loan->rate_per_s = spare.quanta * quantum_of(part);
	loan->concurrency = spare.concurrency;
}

static received_t *
get_received(part_t *part, const char *lender)
{
	received_t added = {0};

	if (part->received == NULL)
		part->received = g_array_new(FALSE, TRUE, sizeof(received_t));
	for (guint i = 0; i < part->received->len; i++) {
		received_t *loan =
		    &g_array_index(part->received, received_t, i);

		if (strcmp(loan->lender, lender) == 0)
			return loan;
	}
	g_strlcpy(added.lender, lender, sizeof(added.lender));
	added.asked_at = INT64_MIN;
	g_array_append_val(part->received, added);
	return &g_array_index(
	    part->received, received_t, part->received->len - 1);
}

void
allowance_receive_loan(allowance_t *allowance, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now)
{
	part_t *part = find_part(allowance, loan->customer);
	received_t *received;

	/* A customer whose contract is not known here is not served here. */
	if (part == NULL)
		return;
	received = get_received(part, lender);
	if (received->asked_at > asked_at)
		return;
	received->rate = loan->rate_per_s;
	received->concurrency = loan->concurrency;
	received->asked_at = asked_at;
}
