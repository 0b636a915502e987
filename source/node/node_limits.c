#include "node_private.h"

#include <string.h>

/* Rate is lent only from contracts of at least this many requests per second. A
 * lent part of a rate yields no tokens in the time in which both the lender and
 * the borrower might use it. This would starve a small contract, so its tokens
 * are passed to peers one by one instead. */
#define LOAN_MIN_RATE_PER_S 100

/* A tick applies the allowances of the customers that had requests in the last
 * CUSTOMER_ACTIVE_MS, and those of all customers every APPLY_ALL_INTERVAL_MS.
 * Applying 1,000 of them at every tick takes 1.5 % of a core. */
#define CUSTOMER_ACTIVE_MS 3000
#define APPLY_ALL_INTERVAL_MS 1000

#define DEMAND_HEADROOM 1.25 /* factor on measured demand, for its growth */

customer_stats_t *
limits_customer_stats(node_t *node, const char *customer)
{
	customer_stats_t *stats =
	    g_hash_table_lookup(node->customer_stats, customer);

	if (stats == NULL) {
		stats = g_new0(customer_stats_t, 1);
		stats->query_latency = histogram_create();
		stats->reservation_latency = histogram_create();
		g_hash_table_insert(
		    node->customer_stats, g_strdup(customer), stats);
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
	admission_add_customer(node->board.admission, customer,
	    allowance_rate(node->board.allowance, customer, now),
	    allowance_concurrency(node->board.allowance, customer, now),
	    allowance_units_usable_since(node->board.allowance, now), now);
	limits_apply(node, customer, now);
}

static size_t
count_live_peers(const node_t *node)
{
	const membership_t *membership = node->board.membership;
	size_t live = 0;

	for (size_t i = 0; i < membership_count(membership); i++)
		live += membership_at(membership, i)->live ? 1 : 0;
	return live;
}

void
limits_record_request(node_t *node, const char *customer, usec_t now)
{
	usec_t *last_request =
	    g_hash_table_lookup(node->active_customers, customer);

	if (last_request == NULL) {
		last_request = g_new(usec_t, 1);
		g_hash_table_insert(
		    node->active_customers, g_strdup(customer), last_request);
	}
	*last_request = now;
}

void
limits_apply_all(node_t *node, usec_t now)
{
	const contract_store_t *store = node->board.contracts;

	for (size_t i = 0; i < contract_store_count(store); i++)
		limits_apply(
		    node, contract_customer(contract_store_at(store, i)), now);
	node->limits_applied_at = now;
}

static void
apply_active_customers(node_t *node, usec_t now)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, node->active_customers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (now - *(const usec_t *)value > MS(CUSTOMER_ACTIVE_MS))
			g_hash_table_iter_remove(&iter);
		else
			limits_apply(node, key, now);
	}
}

void
limits_tick(node_t *node, usec_t now)
{
	if (now - node->limits_applied_at >= MS(APPLY_ALL_INTERVAL_MS))
		limits_apply_all(node, now);
	else
		apply_active_customers(node, now);
	blackboard_record_longest_deadline(&node->board, now);
	admission_set_peers_available(
	    node->board.admission, count_live_peers(node) > 0);
	admission_tick(node->board.admission, now);
}

bool
limits_wanted_allowance(node_t *node, const contract_t *contract,
    allowance_loan_t *wanted, usec_t now)
{
	const char *customer = contract_customer(contract);
	admission_stats_t stats;
	double rate, needed;
	uint32_t concurrency;

	admission_get_stats(node->board.admission, customer, &stats);
	rate = allowance_rate(node->board.allowance, customer, now);
	concurrency =
	    allowance_concurrency(node->board.allowance, customer, now);
	needed = DEMAND_HEADROOM *
	    admission_demand(node->board.admission, customer, now);
	memset(wanted, 0, sizeof(*wanted));
	strcpy(wanted->customer, customer);
	if (needed > rate &&
	    contract_rate_per_s(contract) >= LOAN_MIN_RATE_PER_S)
		wanted->rate_per_s = needed - rate;
	if (stats.running + stats.waiting + 1 > concurrency && needed > 0)
		wanted->concurrency =
		    stats.running + stats.waiting + 1 - concurrency;
	return wanted->rate_per_s > 0 || wanted->concurrency > 0;
}

static void
list_wanted_allowances(node_t *node, usec_t now)
{
	GArray *list = node->wanted_allowances;
	size_t peer_count = count_live_peers(node);
	GHashTableIter iter;
	gpointer key;

	g_array_set_size(list, 0);
	g_hash_table_iter_init(&iter, node->active_customers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const contract_t *contract =
		    contract_store_find(node->board.contracts, key);
		allowance_loan_t wanted;

		if (contract == NULL || list->len == MESSAGE_MAX_LIST ||
		    !limits_wanted_allowance(node, contract, &wanted, now))
			continue;
		if (peer_count > 1)
			wanted.rate_per_s /= (double)peer_count;
		g_array_append_val(list, wanted);
	}
}

uint32_t
limits_list_wanted_allowances(
    node_t *node, allowance_loan_t **wanted, usec_t now)
{
	if (node->wanted_allowances_at != now) {
		list_wanted_allowances(node, now);
		node->wanted_allowances_at = now;
	}
	*wanted = (allowance_loan_t *)(void *)node->wanted_allowances->data;
	return node->wanted_allowances->len;
}

void
limits_lend_one(node_t *node, const char *borrower, uint64_t incarnation,
    const allowance_loan_t *wanted, usec_t longest_deadline,
    allowance_loan_t *loan, usec_t now)
{
	admission_stats_t stats;
	double own_rate = DEMAND_HEADROOM *
	    admission_demand(node->board.admission, wanted->customer, now);

	admission_get_stats(node->board.admission, wanted->customer, &stats);
	allowance_lend(node->board.allowance, borrower, incarnation, wanted,
	    own_rate, stats.running + stats.waiting,
	    MAX(longest_deadline,
		blackboard_longest_deadline(&node->board, now)),
	    now, loan);
	if (loan->rate_per_s > 0 || loan->concurrency > 0)
		limits_apply(node, wanted->customer, now);
}

uint32_t
limits_lend(node_t *node, const heartbeat_t *heartbeat,
    allowance_loan_t **loans, usec_t now)
{
	uint32_t count = 0;

	*loans = g_new0(allowance_loan_t, heartbeat->wanted_allowance_count);
	for (uint32_t i = 0; i < heartbeat->wanted_allowance_count; i++) {
		allowance_loan_t *loan = &(*loans)[count];

		limits_lend_one(node, heartbeat->report.node,
		    heartbeat->report.incarnation,
		    &heartbeat->wanted_allowances[i],
		    heartbeat->longest_deadline, loan, now);
		if (loan->rate_per_s > 0 || loan->concurrency > 0)
			count++;
	}
	return count;
}

void
limits_receive_loan(node_t *node, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now)
{
	/* Applied before the new loan as well, so that an earlier loan that has
	 * expired since the last call adds no tokens. */
	limits_apply(node, loan->customer, now);
	allowance_receive_loan(
	    node->board.allowance, lender, loan, asked_at, now);
	limits_apply(node, loan->customer, now);
}
