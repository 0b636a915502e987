#include "bulrushwell/ledger.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/event.h"

/* Slots that this node lent to one process of another node. */
typedef struct {
	name_t borrower;
	uint64_t incarnation;
	uint32_t slots;
	usec_t ends_at; /* when this node may use the slots again */
} grant_t;

/* Slots that this node borrowed from another node. */
typedef struct {
	name_t lender;
	uint32_t slots;
	usec_t asked_at;
	usec_t expires_at; /* when this node must not use the slots any more */
} loan_t;

/* What the ledger knows about one service. */
typedef struct {
	name_t service;
	uint32_t share;	       /* slots that the assignment gives */
	uint32_t usable_slots; /* slots of the share that may be used or lent */
	usec_t fully_usable_at; /* when the whole share is usable; 0: no wait */
	bool closed;		/* neither used nor lent, to be released */
	GArray *grants;		/* grant_t: slots lent */
	GArray *loans;		/* loan_t: slots borrowed */
} service_entry_t;

struct ledger {
	GHashTable *entries; /* service -> service_entry_t */
};

static void
destroy_entry(void *data)
{
	service_entry_t *entry = data;

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

static service_entry_t *
find_entry(const ledger_t *ledger, const char *service)
{
	return g_hash_table_lookup(ledger->entries, service);
}

static service_entry_t *
find_or_add_entry(ledger_t *ledger, const char *service)
{
	service_entry_t *entry = find_entry(ledger, service);

	if (entry != NULL)
		return entry;
	entry = g_new0(service_entry_t, 1);
	g_strlcpy(entry->service, service, sizeof(entry->service));
	entry->grants = g_array_new(FALSE, FALSE, sizeof(grant_t));
	entry->loans = g_array_new(FALSE, FALSE, sizeof(loan_t));
	g_hash_table_insert(ledger->entries, entry->service, entry);
	return entry;
}

/* How long another node may still use slots that are lent to it now: until the
 * end of the loan, then for the attempt that it dispatched last, and for the
 * drift between the clocks of both nodes. A share that grows waits as long,
 * since its former holder may have lent it until now. */
static usec_t
slot_reuse_delay(usec_t longest_deadline)
{
	usec_t duration = MS(LOAN_MS) + longest_deadline;

	return duration + duration / DRIFT_DIVISOR + MS(DRIFT_MARGIN_MS);
}

/* Applies what became due by @now: usable shares, ended grants and loans. */
static void
apply_due_changes(service_entry_t *entry, usec_t now)
{
	if (entry->fully_usable_at != 0 && now >= entry->fully_usable_at) {
		entry->usable_slots = entry->closed ? 0 : entry->share;
		entry->fully_usable_at = 0;
	}
	for (guint i = entry->grants->len; i-- > 0;)
		if (now >= g_array_index(entry->grants, grant_t, i).ends_at)
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

/* The largest of the grants to a borrower that have not ended. The borrower may
 * not have received the latest one, and still use an earlier, larger one. */
static uint32_t
max_lent_to(
    const service_entry_t *entry, const char *node, uint64_t incarnation)
{
	uint32_t max_slots = 0;

	for (guint i = 0; i < entry->grants->len; i++) {
		grant_t *grant = &g_array_index(entry->grants, grant_t, i);

		if (is_borrower(grant, node, incarnation))
			max_slots = MAX(max_slots, grant->slots);
	}
	return max_slots;
}

static bool
is_first_grant_of_borrower(const service_entry_t *entry, guint position)
{
	grant_t *grant = &g_array_index(entry->grants, grant_t, position);

	for (guint i = 0; i < position; i++)
		if (is_borrower(&g_array_index(entry->grants, grant_t, i),
			grant->borrower, grant->incarnation))
			return false;
	return true;
}

static uint32_t
total_lent(const service_entry_t *entry)
{
	uint32_t total = 0;

	for (guint i = 0; i < entry->grants->len; i++) {
		grant_t *grant = &g_array_index(entry->grants, grant_t, i);

		if (is_first_grant_of_borrower(entry, i))
			total += max_lent_to(
			    entry, grant->borrower, grant->incarnation);
	}
	return total;
}

static uint32_t
total_borrowed(const service_entry_t *entry)
{
	uint32_t total = 0;

	for (guint i = 0; i < entry->loans->len; i++)
		total += g_array_index(entry->loans, loan_t, i).slots;
	return total;
}

void
ledger_set_share(ledger_t *ledger, const char *service, uint32_t slots,
    usec_t longest_deadline, usec_t now)
{
	service_entry_t *entry = find_entry(ledger, service);

	if (entry == NULL && slots == 0)
		return;
	entry = find_or_add_entry(ledger, service);
	apply_due_changes(entry, now);
	if (slots > entry->share) {
		entry->fully_usable_at =
		    now + slot_reuse_delay(longest_deadline);
		entry->closed = false;
	} else if (slots < entry->share) {
		entry->usable_slots = MIN(entry->usable_slots, slots);
	}
	entry->share = slots;
}

uint32_t
ledger_share(const ledger_t *ledger, const char *service)
{
	const service_entry_t *entry = find_entry(ledger, service);

	return entry != NULL ? entry->share : 0;
}

uint32_t
ledger_limit(ledger_t *ledger, const char *service, usec_t now)
{
	service_entry_t *entry = find_entry(ledger, service);
	uint32_t lent, limit;

	if (entry == NULL)
		return 0;
	apply_due_changes(entry, now);
	lent = total_lent(entry);
	limit = entry->usable_slots > lent ? entry->usable_slots - lent : 0;
	INVARIANT(limit <= entry->share,
	    "%s: the limit of %u own slots exceeds the share of %u", service,
	    limit, entry->share);
	return limit + total_borrowed(entry);
}

/* Adds a grant, and removes those to the same borrower that it supersedes: no
 * larger and ending no later. */
static void
record_grant(service_entry_t *entry, const grant_t *grant)
{
	for (guint i = entry->grants->len; i-- > 0;) {
		grant_t *other = &g_array_index(entry->grants, grant_t, i);

		if (is_borrower(other, grant->borrower, grant->incarnation) &&
		    other->slots <= grant->slots &&
		    other->ends_at <= grant->ends_at)
			g_array_remove_index_fast(entry->grants, i);
	}
	g_array_append_val(entry->grants, *grant);
}

uint32_t
ledger_lend(ledger_t *ledger, const char *service, const char *borrower,
    uint64_t incarnation, uint32_t charged, uint32_t queued,
    usec_t longest_deadline, usec_t now)
{
	service_entry_t *entry = find_entry(ledger, service);
	grant_t grant = {.incarnation = incarnation};
	uint32_t lent_to_others, unavailable;

	if (entry == NULL || queued > 0)
		return 0;
	apply_due_changes(entry, now);
	lent_to_others =
	    total_lent(entry) - max_lent_to(entry, borrower, incarnation);
	unavailable = charged + lent_to_others;
	if (entry->usable_slots <= unavailable)
		return 0;
	g_strlcpy(grant.borrower, borrower, sizeof(grant.borrower));
	grant.slots = entry->usable_slots - unavailable;
	grant.ends_at = now + slot_reuse_delay(longest_deadline);
	record_grant(entry, &grant);
	INVARIANT(charged + grant.slots + lent_to_others <= entry->share,
	    "%s: %u slots used and %u lent exceed the share of %u", service,
	    charged, grant.slots + lent_to_others, entry->share);
	return grant.slots;
}

void
ledger_receive_loan(ledger_t *ledger, const char *service, const char *lender,
    uint32_t slots, usec_t asked_at, usec_t now)
{
	service_entry_t *entry = find_or_add_entry(ledger, service);
	loan_t loan = {.slots = slots, .asked_at = asked_at};

	apply_due_changes(entry, now);
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
	service_entry_t *entry = find_entry(ledger, service);

	if (entry == NULL)
		return false;
	apply_due_changes(entry, now);
	/* Before the share is usable, attempts of its former holder may still
	 * run. Attempts that run on borrowed slots need no share: each lender
	 * waits until those that outlast its loan have ended. */
	return entry->closed && entry->share > 0 &&
	    entry->fully_usable_at == 0 && charged <= total_borrowed(entry) &&
	    entry->grants->len == 0;
}

void
ledger_close_share(ledger_t *ledger, const char *service)
{
	service_entry_t *entry = find_entry(ledger, service);

	if (entry == NULL)
		return;
	entry->closed = true;
	entry->usable_slots = 0;
}

usec_t
ledger_next_limit_change(const ledger_t *ledger, usec_t now)
{
	GHashTableIter iter;
	service_entry_t *entry;
	usec_t next = 0;

#define CONSIDER_TIME(at)                                     \
	do {                                                  \
		if ((at) > now && (next == 0 || (at) < next)) \
			next = (at);                          \
	} while (0)
	g_hash_table_iter_init(&iter, ledger->entries);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&entry)) {
		CONSIDER_TIME(entry->fully_usable_at);
		for (guint i = 0; i < entry->grants->len; i++)
			CONSIDER_TIME(
			    g_array_index(entry->grants, grant_t, i).ends_at);
		for (guint i = 0; i < entry->loans->len; i++)
			CONSIDER_TIME(
			    g_array_index(entry->loans, loan_t, i).expires_at);
	}
#undef CONSIDER_TIME
	return next;
}
