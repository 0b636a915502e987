#include "bulrushwell/ledger.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/event.h"

/* Slots lent to one borrower until a time. */
typedef struct {
	name_t borrower;
	uint64_t incarnation;
	uint32_t slots;
	usec_t until;
} grant_t;

typedef struct {
	name_t lender;
	uint32_t slots;
	usec_t asked_at;
	usec_t expires_at;
} loan_t;

typedef struct {
	name_t service;
	uint32_t share;	  /* as adopted */
	uint32_t usable;  /* part of the share that may be used or lent */
	usec_t usable_at; /* when all of the share is usable; 0: it is */
	bool closed;	  /* ahead of giving the share up */
	GArray *grants;	  /* grant_t: lent to others */
	GArray *loans;	  /* loan_t: received from others */
} entry_t;

struct ledger {
	GHashTable *entries; /* service -> entry_t */
};

static void
destroy_entry(void *data)
{
	entry_t *entry = data;

	g_array_free(entry->grants, TRUE);
	g_array_free(entry->loans, TRUE);
	g_free(entry);
}

ledger_t *
ledger_create(void)
{
	ledger_t *ledger = g_new0(ledger_t, 1);

	ledger->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, destroy_entry);
	return ledger;
}

void
ledger_destroy(ledger_t *ledger)
{
	if (ledger == NULL)
		return;
	g_hash_table_destroy(ledger->entries);
	g_free(ledger);
}

static entry_t *
find_entry(const ledger_t *ledger, const char *service)
{
	return g_hash_table_lookup(ledger->entries, service);
}

static entry_t *
find_or_add_entry(ledger_t *ledger, const char *service)
{
	entry_t *entry = find_entry(ledger, service);

	if (entry != NULL)
		return entry;
	entry = g_new0(entry_t, 1);
	g_strlcpy(entry->service, service, sizeof(entry->service));
	entry->grants = g_array_new(FALSE, FALSE, sizeof(grant_t));
	entry->loans = g_array_new(FALSE, FALSE, sizeof(loan_t));
	g_hash_table_insert(ledger->entries, entry->service, entry);
	return entry;
}

/* How long slots that were lent now may still be in use: the loan, an attempt
 * that is dispatched at its end, and the drift of the clocks of both nodes. */
static usec_t
loan_tail(usec_t longest)
{
	usec_t nominal = MS(LOAN_MS) + longest;

	return nominal + nominal / DRIFT_FRACTION + MS(DRIFT_MARGIN_MS);
}

static void
update_entry(entry_t *entry, usec_t now)
{
	if (entry->usable_at != 0 && now >= entry->usable_at) {
		entry->usable = entry->closed ? 0 : entry->share;
		entry->usable_at = 0;
	}
	for (guint i = entry->grants->len; i-- > 0;)
		if (now >= g_array_index(entry->grants, grant_t, i).until)
			g_array_remove_index_fast(entry->grants, i);
	for (guint i = entry->loans->len; i-- > 0;)
		if (now >= g_array_index(entry->loans, loan_t, i).expires_at)
			g_array_remove_index_fast(entry->loans, i);
}

static bool
is_borrower(const grant_t *grant, const char *node, uint64_t incarnation)
{
	return grant->incarnation == incarnation &&
	    strcmp(grant->borrower, node) == 0;
}

/* The most that any running grant gives to one borrower: a borrower may not
 * have received the latest grant and use an earlier, larger one. */
static uint32_t
lent_to(const entry_t *entry, const char *node, uint64_t incarnation)
{
	uint32_t most = 0;

	for (guint i = 0; i < entry->grants->len; i++) {
		grant_t *grant = &g_array_index(entry->grants, grant_t, i);

		if (is_borrower(grant, node, incarnation))
			most = MAX(most, grant->slots);
	}
	return most;
}

static bool
is_first_of_borrower(const entry_t *entry, guint position)
{
	grant_t *grant = &g_array_index(entry->grants, grant_t, position);

	for (guint i = 0; i < position; i++)
		if (is_borrower(&g_array_index(entry->grants, grant_t, i),
			grant->borrower, grant->incarnation))
			return false;
	return true;
}

static uint32_t
lent_in_total(const entry_t *entry)
{
	uint32_t total = 0;

	for (guint i = 0; i < entry->grants->len; i++) {
		grant_t *grant = &g_array_index(entry->grants, grant_t, i);

		if (is_first_of_borrower(entry, i))
			total +=
			    lent_to(entry, grant->borrower, grant->incarnation);
	}
	return total;
}

static uint32_t
borrowed(const entry_t *entry)
{
	uint32_t total = 0;

	for (guint i = 0; i < entry->loans->len; i++)
		total += g_array_index(entry->loans, loan_t, i).slots;
	return total;
}

void
ledger_set_share(ledger_t *ledger, const char *service, uint32_t slots,
    usec_t longest, usec_t now)
{
	entry_t *entry = find_entry(ledger, service);

	if (entry == NULL && slots == 0)
		return;
	entry = find_or_add_entry(ledger, service);
	update_entry(entry, now);
	if (slots > entry->share) {
		entry->usable_at = now + loan_tail(longest);
		entry->closed = false;
	} else if (slots < entry->share) {
		entry->usable = MIN(entry->usable, slots);
	}
	entry->share = slots;
}

uint32_t
ledger_share(const ledger_t *ledger, const char *service)
{
	const entry_t *entry = find_entry(ledger, service);

	return entry != NULL ? entry->share : 0;
}

uint32_t
ledger_limit(ledger_t *ledger, const char *service, usec_t now)
{
	entry_t *entry = find_entry(ledger, service);
	uint32_t lent, limit;

	if (entry == NULL)
		return 0;
	update_entry(entry, now);
	lent = lent_in_total(entry);
	limit = entry->usable > lent ? entry->usable - lent : 0;
	INVARIANT(limit <= entry->share, "%s: own limit %u above share %u",
	    service, limit, entry->share);
	return limit + borrowed(entry);
}

/* Grants that end earlier and are no larger make no difference any more. */
static void
record_grant(entry_t *entry, const grant_t *grant)
{
	for (guint i = entry->grants->len; i-- > 0;) {
		grant_t *other = &g_array_index(entry->grants, grant_t, i);

		if (is_borrower(other, grant->borrower, grant->incarnation) &&
		    other->slots <= grant->slots &&
		    other->until <= grant->until)
			g_array_remove_index_fast(entry->grants, i);
	}
	g_array_append_val(entry->grants, *grant);
}

uint32_t
ledger_lend(ledger_t *ledger, const char *service, const char *borrower,
    uint64_t incarnation, uint32_t charged, uint32_t queued, usec_t longest,
    usec_t now)
{
	entry_t *entry = find_entry(ledger, service);
	grant_t grant = {.incarnation = incarnation};
	uint32_t others, taken;

	if (entry == NULL || queued > 0)
		return 0;
	update_entry(entry, now);
	others = lent_in_total(entry) - lent_to(entry, borrower, incarnation);
	taken = charged + others;
	if (entry->usable <= taken)
		return 0;
	g_strlcpy(grant.borrower, borrower, sizeof(grant.borrower));
	grant.slots = entry->usable - taken;
	grant.until = now + loan_tail(longest);
	record_grant(entry, &grant);
	INVARIANT(charged + grant.slots + others <= entry->share,
	    "%s: %u used and %u lent of %u", service, charged,
	    grant.slots + others, entry->share);
	return grant.slots;
}

void
ledger_receive_loan(ledger_t *ledger, const char *service, const char *lender,
    uint32_t slots, usec_t asked_at, usec_t now)
{
	entry_t *entry = find_or_add_entry(ledger, service);
	loan_t loan = {.slots = slots, .asked_at = asked_at};

	update_entry(entry, now);
	for (guint i = 0; i < entry->loans->len; i++) {
		loan_t *other = &g_array_index(entry->loans, loan_t, i);

		if (strcmp(other->lender, lender) != 0)
			continue;
		if (other->asked_at > asked_at)
			return;
		g_array_remove_index_fast(entry->loans, i);
		break;
	}
	loan.expires_at = asked_at + MS(LOAN_MS);
	if (slots == 0 || now >= loan.expires_at)
		return;
	g_strlcpy(loan.lender, lender, sizeof(loan.lender));
	g_array_append_val(entry->loans, loan);
}

bool
ledger_may_release(
    ledger_t *ledger, const char *service, uint32_t charged, usec_t now)
{
	entry_t *entry = find_entry(ledger, service);

	if (entry == NULL)
		return false;
	update_entry(entry, now);
	/* Until the share is usable, attempts of its former owner may run. The
	 * lenders of loans wait for attempts that end after the loans. */
	return entry->closed && entry->share > 0 && entry->usable_at == 0 &&
	    charged <= borrowed(entry) && entry->grants->len == 0;
}

void
ledger_close_share(ledger_t *ledger, const char *service)
{
	entry_t *entry = find_entry(ledger, service);

	if (entry == NULL)
		return;
	entry->closed = true;
	entry->usable = 0;
}

usec_t
ledger_next_change(const ledger_t *ledger, usec_t now)
{
	GHashTableIter iter;
	entry_t *entry;
	usec_t next = 0;

#define CONSIDER(at)                                          \
	do {                                                  \
		if ((at) > now && (next == 0 || (at) < next)) \
			next = (at);                          \
	} while (0)
	g_hash_table_iter_init(&iter, ledger->entries);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&entry)) {
		CONSIDER(entry->usable_at);
		for (guint i = 0; i < entry->grants->len; i++)
			CONSIDER(
			    g_array_index(entry->grants, grant_t, i).until);
		for (guint i = 0; i < entry->loans->len; i++)
			CONSIDER(
			    g_array_index(entry->loans, loan_t, i).expires_at);
	}
#undef CONSIDER
	return next;
}
