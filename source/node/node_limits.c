#include "node_private.h"

#include <string.h>

/* Rate is lent only of contracts of at least this many requests a second. A
 * part of a rate that changes hands earns nothing while its loan is in doubt,
 * which starves a small contract; its tokens move one by one instead. */
#define LOAN_MIN_RATE 100

/* Customers without requests for this long have no part in the work of each
 * tick; all are looked at every APPLY_ALL_MS. With 1,000 contracts the walk
 * over all of them took 1.5 % of a core. */
#define ACTIVE_MS 3000
#define APPLY_ALL_MS 1000

#define WISH_FACTOR 1.25 /* room above the demand seen, for its growth */

customer_stats_t *
limits_customer(node_t *node, const char *customer)
{
	customer_stats_t *stats =
	    g_hash_table_lookup(node->customers, customer);

	if (stats == NULL) {
		stats = g_new0(customer_stats_t, 1);
		stats->query_latency = histogram_create();
		stats->reservation_latency = histogram_create();
		g_hash_table_insert(node->customers, g_strdup(customer), stats);
	}
	return stats;
}

void
limits_apply(node_t *node, const char *customer, usec_t now)
{
	admission_set_allowance(node->board.admission, customer,
	    allowance_rate(node->board.allowance, customer, now),
	    allowance_concurrency(node->board.allowance, customer, now), now);
}

void
limits_contract_changed(node_t *node, const contract_t *contract, usec_t now)
{
	const char *customer = contract_customer(contract);
	bool retired = contract_is_retired(contract);

	allowance_set_contract(node->board.allowance, customer,
	    retired ? 0 : contract_rate_per_s(contract),
	    retired ? 0 : contract_concurrency(contract), now);
	admission_begin(node->board.admission, customer,
	    allowance_rate(node->board.allowance, customer, now),
	    allowance_concurrency(node->board.allowance, customer, now),
	    allowance_units_since(node->board.allowance, now), now);
	limits_apply(node, customer, now);
}

static size_t
live_peers(const node_t *node)
{
	const membership_t *membership = node->board.membership;
	size_t live = 0;

	for (size_t i = 0; i < membership_count(membership); i++)
		live += membership_at(membership, i)->live ? 1 : 0;
	return live;
}

void
limits_note_request(node_t *node, const char *customer, usec_t now)
{
	usec_t *at = g_hash_table_lookup(node->active, customer);

	if (at == NULL) {
		at = g_new(usec_t, 1);
		g_hash_table_insert(node->active, g_strdup(customer), at);
	}
	*at = now;
}

void
limits_apply_all(node_t *node, usec_t now)
{
	const contract_store_t *store = node->board.contracts;

	for (size_t i = 0; i < contract_store_count(store); i++)
		limits_apply(
		    node, contract_customer(contract_store_at(store, i)), now);
	node->applied_all_at = now;
}

static void
apply_active(node_t *node, usec_t now)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, node->active);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (now - *(const usec_t *)value > MS(ACTIVE_MS))
			g_hash_table_iter_remove(&iter);
		else
			limits_apply(node, key, now);
	}
}

void
limits_tick(node_t *node, usec_t now)
{
	if (now - node->applied_all_at >= MS(APPLY_ALL_MS))
		limits_apply_all(node, now);
	else
		apply_active(node, now);
	blackboard_note_longest(&node->board, now);
	admission_set_asking(node->board.admission, live_peers(node) > 0);
	admission_tick(node->board.admission, now);
}

/* What this node lacks of one customer's allowance. */
bool
limits_make_wish(node_t *node, const contract_t *contract,
    allowance_loan_t *wish, usec_t now)
{
	const char *customer = contract_customer(contract);
	admission_stats_t stats;
	double rate, needed;
	uint32_t concurrency;

	admission_get_stats(node->board.admission, customer, &stats);
	rate = allowance_rate(node->board.allowance, customer, now);
	concurrency =
	    allowance_concurrency(node->board.allowance, customer, now);
	needed = WISH_FACTOR *
	    admission_demand(node->board.admission, customer, now);
	memset(wish, 0, sizeof(*wish));
	strcpy(wish->customer, customer);
	if (needed > rate && contract_rate_per_s(contract) >= LOAN_MIN_RATE)
		wish->rate_per_s = needed - rate;
	if (stats.running + stats.waiting + 1 > concurrency && needed > 0)
		wish->concurrency =
		    stats.running + stats.waiting + 1 - concurrency;
	return wish->rate_per_s > 0 || wish->concurrency > 0;
}

static void
list_wishes(node_t *node, usec_t now)
{
	GArray *list = node->wishes;
	size_t peers = live_peers(node);
	GHashTableIter iter;
	gpointer key;

	g_array_set_size(list, 0);
	g_hash_table_iter_init(&iter, node->active);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const contract_t *contract =
		    contract_store_find(node->board.contracts, key);
		allowance_loan_t wish;

		if (contract == NULL || list->len == MESSAGE_MAX_LIST ||
		    !limits_make_wish(node, contract, &wish, now))
			continue;
		if (peers > 1)
			wish.rate_per_s /= (double)peers;
		g_array_append_val(list, wish);
	}
}

uint32_t
limits_list_wishes(node_t *node, allowance_loan_t **wishes, usec_t now)
{
	if (node->wishes_at != now) {
		list_wishes(node, now);
		node->wishes_at = now;
	}
	*wishes = (allowance_loan_t *)(void *)node->wishes->data;
	return node->wishes->len;
}

void
limits_lend_one(node_t *node, const char *borrower, uint64_t incarnation,
    const allowance_loan_t *wish, usec_t longest, allowance_loan_t *loan,
    usec_t now)
{
	admission_stats_t stats;
	double own = WISH_FACTOR *
	    admission_demand(node->board.admission, wish->customer, now);

	admission_get_stats(node->board.admission, wish->customer, &stats);
	allowance_lend(node->board.allowance, borrower, incarnation, wish, own,
	    stats.running + stats.waiting,
	    MAX(longest, blackboard_longest(&node->board, now)), now, loan);
	if (loan->rate_per_s > 0 || loan->concurrency > 0)
		limits_apply(node, wish->customer, now);
}

uint32_t
limits_lend(node_t *node, const heartbeat_t *heartbeat,
    allowance_loan_t **loans, usec_t now)
{
	uint32_t count = 0;

	*loans = g_new0(allowance_loan_t, heartbeat->wish_count);
	for (uint32_t i = 0; i < heartbeat->wish_count; i++) {
		allowance_loan_t *loan = &(*loans)[count];

		limits_lend_one(node, heartbeat->report.node,
		    heartbeat->report.incarnation, &heartbeat->wishes[i],
		    heartbeat->longest, loan, now);
		if (loan->rate_per_s > 0 || loan->concurrency > 0)
			count++;
	}
	return count;
}

void
limits_receive_loan(node_t *node, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now)
{
	/* Applied before as well, so that a loan that ended unnoticed earns
	 * nothing. */
	limits_apply(node, loan->customer, now);
	allowance_receive_loan(
	    node->board.allowance, lender, loan, asked_at, now);
	limits_apply(node, loan->customer, now);
}
