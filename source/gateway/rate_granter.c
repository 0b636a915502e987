#include "rate_granter.h"

#include <glib.h>
#include <math.h>

/*
 * At most these parts of the whole are divided among the nodes, by demand. The
 * rest stays in the pool, for requests beyond the shares and for nodes that a
 * customer's requests have not reached before.
 */
#define DIVIDED_RATE 0.85
#define DIVIDED_BURST 0.6
/*
 * A node's share of the rate is its demand, times a factor between these: the
 * smaller the less is in the pool, because a share that exceeds the demand of
 * the moment earns tokens that no other node can use.
 */
#define HEADROOM_MIN 0.6
#define HEADROOM_MAX 1.2
/* A node's share of the burst, in requests, and what is added to it for the
 * square root of its demand in requests a second. */
#define BURST_BASE 2.0
#define BURST_SPREAD 1.5
/*
 * A share of less, in requests, would earn tokens that seldom make a whole one:
 * where a customer's requests reach most nodes, the pool serves them.
 */
#define SHARE_BURST_MIN 1.5
/* A share stays if it differs by less from the one that is due: each change
 * loses tokens. */
#define SHARE_TOLERANCE 0.2
#define DEMAND_UNIT 1000.0 /* of the messages, for one request a second */
#define LEASES_MAX 1024	   /* of one customer */

/* A share that a node holds. */
typedef struct {
	peer_rate_share_t granted;
	peer_rate_share_t counted; /* what the node may hold at most */
	uint64_t sequence;	   /* of the last grant */
	uint64_t request;	   /* the last one handled */
	double demand;		   /* as in the messages */
	usec_t ends_at;
} lease_t;

typedef struct {
	rate_limit_t limit;	   /* when it was last asked for */
	GHashTable *leases;	   /* lease_t by name of the node */
	peer_rate_share_t counted; /* of all leases together */
	double demand;		   /* of all leases together */
	bool certain;		   /* all leases are known */
	bool pool_is_own;	   /* see has_own_pool() */
	double tokens;		   /* in the pool */
	usec_t earned_at;
	usec_t next_end; /* no lease ends before */
} customer_t;

typedef struct {
	uint64_t incarnation;	   /* 0: none was heard of */
	uint64_t last_incarnation; /* the one before */
	bool listed;
	bool reported;	      /* with the same list of nodes */
	usec_t other_list_at; /* when it last had another list; 0: never */
	uint64_t report;
	uint32_t parts_received; /* a bit each */
} node_t;

struct rate_granter {
	char *name;
	uint64_t sequence;
	uint64_t nodes_hash;
	GHashTable *nodes;     /* node_t by name */
	GHashTable *customers; /* customer_t by id */
	usec_t since;	       /* since when reports are collected */
	usec_t certain_after;  /* at the latest, unless lists differ */
	bool list_changed;     /* since this node was certain */
	bool is_listed;	       /* this node, in the list that it has read */
	bool certain;
	usec_t certain_at;
};

static void
free_customer(void *data)
{
	customer_t *customer = data;

	g_hash_table_destroy(customer->leases);
	g_free(customer);
}

rate_granter_t *
rate_granter_create(const char *node, uint64_t incarnation, usec_t now)
{
	rate_granter_t *granter = g_new0(rate_granter_t, 1);

	granter->name = g_strdup(node);
	granter->sequence = incarnation >> 1;
	granter->nodes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	granter->customers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_customer);
	granter->since = now;
	granter->certain_after = now + RATE_LEASE_KEPT;
	return granter;
}

void
rate_granter_destroy(rate_granter_t *granter)
{
	if (granter == NULL)
		return;
	g_hash_table_destroy(granter->nodes);
	g_hash_table_destroy(granter->customers);
	g_free(granter->name);
	g_free(granter);
}

static node_t *
get_node(rate_granter_t *granter, const char *name)
{
	node_t *node = g_hash_table_lookup(granter->nodes, name);

	if (node == NULL) {
		node = g_new0(node_t, 1);
		g_hash_table_insert(granter->nodes, g_strdup(name), node);
	}
	return node;
}

static void
sum_leases(customer_t *customer)
{
	GHashTableIter iter;
	void *value;

	customer->counted = (peer_rate_share_t){0, 0};
	customer->demand = 0.0;
	customer->next_end = INT64_MAX;
	g_hash_table_iter_init(&iter, customer->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const lease_t *lease = value;

		customer->counted.rate += lease->counted.rate;
		customer->counted.burst += lease->counted.burst;
		customer->demand += lease->demand;
		customer->next_end = MIN(customer->next_end, lease->ends_at);
	}
}

static uint32_t
free_share(uint32_t counted)
{
	return PEER_RATE_WHOLE - MIN(counted, PEER_RATE_WHOLE);
}

static double
fraction(uint32_t share)
{
	return (double)share / PEER_RATE_WHOLE;
}

/* The part of the rate or the burst that is the pool's, if @counted is granted
 * and at most @divided ever is. */
static double
pool_share(const customer_t *customer, uint32_t counted, double divided)
{
	double share = fraction(free_share(counted));

	if (customer->certain)
		return share;
	return customer->pool_is_own ? MIN(share, 1.0 - divided) : 0.0;
}

static double
pool_limit(const customer_t *customer)
{
	double limit = customer->limit.burst *
	    pool_share(customer, customer->counted.burst, DIVIDED_BURST);

	return customer->certain ? limit : MAX(limit, customer->limit.start);
}

/* Adds what the rate that is not granted has earned since the last call. */
static void
earn(customer_t *customer, usec_t now)
{
	usec_t elapsed = MAX(now - customer->earned_at, 0);

	customer->tokens += customer->limit.rate_per_s *
	    pool_share(customer, customer->counted.rate, DIVIDED_RATE) *
	    (double)elapsed / USEC_PER_SEC;
	customer->tokens = MIN(customer->tokens, pool_limit(customer));
	customer->earned_at = now;
}

static void
end_leases(customer_t *customer, usec_t now)
{
	GHashTableIter iter;
	void *value;

	earn(customer, now);
	if (now < customer->next_end)
		return;
	g_hash_table_iter_init(&iter, customer->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now >= ((lease_t *)value)->ends_at)
			g_hash_table_iter_remove(&iter);
	sum_leases(customer);
}

/* A process that has ended uses no shares. */
static void
end_leases_of(rate_granter_t *granter, const char *node, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, granter->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		customer_t *customer = value;

		earn(customer, now);
		if (g_hash_table_remove(customer->leases, node))
			sum_leases(customer);
	}
}

static void
begin_collecting(rate_granter_t *granter, usec_t wait, usec_t now)
{
	GHashTableIter iter;
	void *value;

	granter->certain = false;
	granter->since = now;
	granter->certain_after = now + wait;
	g_hash_table_iter_init(&iter, granter->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((node_t *)value)->reported = false;
}

void
rate_granter_set_nodes(rate_granter_t *granter, const char *const *names,
    uint32_t count, uint64_t hash,
    bool (*grants)(void *context, uint64_t customer), void *context, usec_t now)
{
	bool is_first = granter->nodes_hash == 0;
	GHashTableIter iter;
	void *key, *value;

	if (hash == granter->nodes_hash)
		return;
	granter->nodes_hash = hash;
	g_hash_table_iter_init(&iter, granter->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((node_t *)value)->listed = false;
	for (uint32_t i = 0; i < count; i++)
		get_node(granter, names[i])->listed = true;
	g_hash_table_iter_init(&iter, granter->customers);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (!grants(context, *(const uint64_t *)key))
			g_hash_table_iter_remove(&iter);
	granter->list_changed = !is_first;
	begin_collecting(granter,
	    is_first ? RATE_LEASE_KEPT : RATE_LIST_DELAY + RATE_LEASE_KEPT,
	    now);
}

void
rate_granter_set_listed(rate_granter_t *granter, bool is_listed)
{
	granter->is_listed = is_listed;
}

void
rate_granter_forget_all(rate_granter_t *granter, usec_t now)
{
	GHashTableIter iter;
	void *value;

	begin_collecting(granter, RATE_LEASE_KEPT, now);
	g_hash_table_iter_init(&iter, granter->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		customer_t *customer = value;

		customer->certain = false;
		customer->pool_is_own = false;
		customer->tokens = 0.0;
	}
}

/* A node that is cut off may hold what a former granting node has granted. A
 * node that was heard with another list may still use another granting node. */
static bool
is_settled(const rate_granter_t *granter, const node_t *node, usec_t now)
{
	if (!node->listed || node->reported)
		return true;
	return now >= granter->certain_after &&
	    (node->other_list_at == 0 ||
		now - node->other_list_at >= RATE_LEASE_KEPT);
}

bool
rate_granter_is_certain(rate_granter_t *granter, usec_t now)
{
	GHashTableIter iter;
	void *value;

	if (granter->certain)
		return true;
	if (granter->nodes_hash == 0 || !granter->is_listed)
		return false;
	g_hash_table_iter_init(&iter, granter->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!is_settled(granter, value, now))
			return false;
	granter->certain = true;
	granter->list_changed = false;
	granter->certain_at = now;
	return true;
}

/*
 * Whether the pool, which is never divided, is this node's: it has restarted,
 * and most nodes have the same list, so they use no other granting node.
 */
static bool
has_own_pool(const rate_granter_t *granter)
{
	GHashTableIter iter;
	void *value;
	uint32_t listed = 0, reported = 0;

	if (granter->list_changed || !granter->is_listed)
		return false;
	g_hash_table_iter_init(&iter, granter->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_t *node = value;

		listed += node->listed;
		reported += node->listed && node->reported;
	}
	return 2 * reported > listed;
}

bool
rate_granter_has_reported(const rate_granter_t *granter, const char *name)
{
	const node_t *node = g_hash_table_lookup(granter->nodes, name);

	return node != NULL && node->reported;
}

bool
rate_granter_handle_header(rate_granter_t *granter, const char *name,
    const peer_rate_request_t *request, usec_t now)
{
	node_t *node = get_node(granter, name);

	if (request->incarnation == node->last_incarnation)
		return false;
	if (request->incarnation != node->incarnation) {
		if (node->incarnation != 0)
			end_leases_of(granter, name, now);
		node->last_incarnation = node->incarnation;
		node->incarnation = request->incarnation;
		node->reported = false;
	}
	if (request->nodes_hash != granter->nodes_hash)
		node->other_list_at = now;
	return true;
}

void
rate_granter_finish_report(rate_granter_t *granter, const char *name,
    const peer_rate_request_t *request, usec_t now)
{
	node_t *node = get_node(granter, name);

	if (request->parts == 0 || request->nodes_hash != granter->nodes_hash)
		return;
	if (request->report != node->report) {
		node->report = request->report;
		node->parts_received = 0;
	}
	node->parts_received |= 1u << request->part;
	if (node->parts_received == UINT32_MAX >> (32 - request->parts))
		node->reported = true;
}

/* Without a lease, the customer's pool has earned since this node is certain.
 */
static customer_t *
create_customer(
    rate_granter_t *granter, uint64_t id, const rate_limit_t *limit, usec_t now)
{
	customer_t *customer = g_new0(customer_t, 1);

	customer->leases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	customer->certain = rate_granter_is_certain(granter, now);
	customer->limit = *limit;
	customer->tokens = limit->start;
	customer->earned_at = customer->certain ? granter->certain_at : now;
	customer->next_end = INT64_MAX;
	g_hash_table_insert(
	    granter->customers, g_memdup2(&id, sizeof(id)), customer);
	return customer;
}

static customer_t *
get_customer(
    rate_granter_t *granter, uint64_t id, const rate_limit_t *limit, usec_t now)
{
	customer_t *customer = g_hash_table_lookup(granter->customers, &id);

	if (customer == NULL)
		customer = create_customer(granter, id, limit, now);
	customer->limit = *limit;
	end_leases(customer, now);
	if (!customer->certain) {
		customer->certain = rate_granter_is_certain(granter, now);
		customer->pool_is_own = has_own_pool(granter);
	}
	return customer;
}

/* A lease that is not known here was granted by a process or node before. */
static lease_t *
get_lease(customer_t *customer, const char *node, const peer_rate_want_t *want)
{
	lease_t *lease = g_hash_table_lookup(customer->leases, node);

	if (lease != NULL || g_hash_table_size(customer->leases) >= LEASES_MAX)
		return lease;
	lease = g_new0(lease_t, 1);
	lease->granted = want->held;
	lease->counted = want->held;
	lease->sequence = want->grant;
	g_hash_table_insert(customer->leases, g_strdup(node), lease);
	return lease;
}

/* Until the last grant is confirmed, any of those before may be in force. */
static void
confirm(lease_t *lease, const peer_rate_want_t *want)
{
	if (want->grant == lease->sequence) {
		lease->counted = want->held;
		return;
	}
	lease->counted.rate = MAX(lease->counted.rate, want->held.rate);
	lease->counted.burst = MAX(lease->counted.burst, want->held.burst);
}

/*
 * The part of the whole that is due to a lease, of what the others do not hold.
 * @wanted: a part of the whole
 * @divided: the part of the whole for all leases
 */
static uint32_t
due_share(const customer_t *customer, const lease_t *lease, double wanted,
    double divided, uint32_t held, uint32_t others)
{
	uint32_t whole = (uint32_t)(divided * PEER_RATE_WHOLE);
	/* A peer may ask for tokens and state no demand. */
	double most = customer->demand > 0.0
	    ? divided * lease->demand / customer->demand
	    : 0.0;
	double due = MIN(wanted, most) * PEER_RATE_WHOLE;

	if (fabs(due - held) <= SHARE_TOLERANCE * held)
		due = held;
	return MIN((uint32_t)due, whole - MIN(others, whole));
}

static double
headroom(const customer_t *customer)
{
	double limit = pool_limit(customer);
	double level = limit > 0.0 ? customer->tokens / limit : 0.0;

	return HEADROOM_MIN +
	    (HEADROOM_MAX - HEADROOM_MIN) * CLAMP(level, 0.0, 1.0);
}

static peer_rate_share_t
next_share(const customer_t *customer, const lease_t *lease,
    const peer_rate_want_t *want)
{
	const rate_limit_t *limit = &customer->limit;
	double demand = lease->demand / DEMAND_UNIT;
	peer_rate_share_t share = want->held;

	if (!customer->certain)
		return share;
	share.rate = due_share(customer, lease,
	    headroom(customer) * demand / limit->rate_per_s, DIVIDED_RATE,
	    want->held.rate, customer->counted.rate - lease->counted.rate);
	share.burst = due_share(customer, lease,
	    (BURST_BASE + BURST_SPREAD * sqrt(demand)) / limit->burst,
	    DIVIDED_BURST, want->held.burst,
	    customer->counted.burst - lease->counted.burst);
	if (fraction(share.burst) * limit->burst < SHARE_BURST_MIN)
		share = (peer_rate_share_t){0, 0};
	return share;
}

/* Takes tokens for waiting requests out of the pool, and what no longer fits
 * into it after a grant. */
static void
grant_tokens(customer_t *customer, const peer_rate_want_t *want,
    peer_rate_granted_t *granted)
{
	uint32_t whole = (uint32_t)MIN(customer->tokens, (double)want->tokens);
	double excess;

	granted->refused = want->tokens - whole;
	customer->tokens -= whole;
	excess = MAX(customer->tokens - pool_limit(customer), 0.0);
	customer->tokens -= excess;
	granted->tokens = (uint32_t)((whole + excess) * PEER_RATE_TOKEN);
}

bool
rate_granter_handle_want(rate_granter_t *granter, const char *node,
    const peer_rate_want_t *want, const rate_limit_t *limit, uint64_t sequence,
    usec_t now, peer_rate_granted_t *granted)
{
	customer_t *customer =
	    get_customer(granter, want->customer, limit, now);
	lease_t *lease = get_lease(customer, node, want);

	if (lease == NULL)
		return false;
	granted->customer = want->customer;
	/* A request that was overtaken by a later one gets tokens only. */
	if (sequence <= lease->request) {
		granted->sequence = lease->sequence;
		granted->share = lease->granted;
		grant_tokens(customer, want, granted);
		return true;
	}
	lease->request = sequence;
	if (want->demand == 0 && want->tokens == 0 && want->held.rate == 0 &&
	    want->held.burst == 0) {
		g_hash_table_remove(customer->leases, node);
		sum_leases(customer);
		return false;
	}
	confirm(lease, want);
	lease->demand = want->demand;
	sum_leases(customer);
	lease->granted = next_share(customer, lease, want);
	lease->counted.rate = MAX(lease->counted.rate, lease->granted.rate);
	lease->counted.burst = MAX(lease->counted.burst, lease->granted.burst);
	lease->sequence = ++granter->sequence;
	lease->ends_at = now + RATE_LEASE_KEPT;
	sum_leases(customer);
	granted->sequence = lease->sequence;
	granted->share = lease->granted;
	grant_tokens(customer, want, granted);
	return true;
}

void
rate_granter_remove(rate_granter_t *granter, uint64_t customer)
{
	g_hash_table_remove(granter->customers, &customer);
}

peer_rate_share_t
rate_granter_granted(const rate_granter_t *granter, uint64_t id)
{
	const customer_t *customer =
	    g_hash_table_lookup(granter->customers, &id);

	return customer != NULL ? customer->counted : (peer_rate_share_t){0, 0};
}
