#include "bulrushwell/admission.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"

/* Time constant of the demand estimate: long enough that a node with a few
 * requests per second keeps what peers lend to it, short enough that the loan
 * ends soon after the last request. */
#define DEMAND_DECAY_SECONDS 1.0

/* When the table is full, idle entries without an allowance whose demand, in
 * requests per second, is below this are removed. */
#define DEMAND_NEGLIGIBLE 0.001

/* Upper bound of the retry time reported to clients: a longer one is of no use
 * to them, and some clients can't represent it. */
#define RETRY_AFTER_MAX_SECONDS 3600.0

/* Tolerance for rounding: many small refills that should add up to one token
 * may fall short of it by this. */
#define TOKEN_EPSILON 1e-9

typedef struct {
	name_t name;
	double rate; /* tokens per second */
	uint32_t concurrency;
	double tokens;
	usec_t refilled_at;
	uint32_t peer_tokens;	  /* received from peers */
	usec_t peer_tokens_until; /* when they expire */
	double demand; /* requests per second as of demand_updated_at */
	usec_t demand_updated_at;
	GSequence *waiting;  /* waiter_t by deadline; NULL until one waits */
	guint waiting_index; /* in waiting_customers, if stats.waiting > 0 */
	admission_stats_t stats;
} customer_t;

typedef struct {
	uint64_t tag;
	customer_t *customer;
	usec_t deadline;
	usec_t latest_start; /* it is refused when not admitted by then */
	GSequenceIter *deadline_iter;	  /* in customer->waiting */
	GSequenceIter *latest_start_iter; /* in by_latest_start */
} waiter_t;

struct admission {
	GHashTable *customers;	      /* name -> customer_t */
	GHashTable *waiters;	      /* tag -> waiter_t */
	GSequence *by_latest_start;   /* waiter_t by latest_start */
	GPtrArray *waiting_customers; /* customer_t with waiting requests */
	GQueue actions;		      /* admission_action_t */
	bool peers_available;	      /* peers can be asked for tokens */
};

static void
free_customer(void *data)
{
	customer_t *customer = data;

	if (customer->waiting != NULL)
		g_sequence_free(customer->waiting);
	g_free(customer);
}

admission_t *
admission_create(void)
{
	admission_t *admission = g_new0(admission_t, 1);

	admission->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_customer);
	admission->waiters =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	admission->by_latest_start = g_sequence_new(NULL);
	admission->waiting_customers = g_ptr_array_new();
	g_queue_init(&admission->actions);
	return admission;
}

void
admission_destroy(admission_t *admission)
{
	if (admission == NULL)
		return;
	g_queue_clear_full(&admission->actions, g_free);
	g_ptr_array_free(admission->waiting_customers, TRUE);
	g_sequence_free(admission->by_latest_start);
	g_hash_table_destroy(admission->waiters);
	g_hash_table_destroy(admission->customers);
	g_free(admission);
}

static int
compare_deadline(const void *a, const void *b, void *data)
{
	const waiter_t *first = a, *second = b;

	return (first->deadline > second->deadline) -
	    (first->deadline < second->deadline);
}

static int
compare_latest_start(const void *a, const void *b, void *data)
{
	const waiter_t *first = a, *second = b;

	return (first->latest_start > second->latest_start) -
	    (first->latest_start < second->latest_start);
}

static double
current_demand(const customer_t *customer, usec_t now)
{
	double seconds =
	    (double)(now - customer->demand_updated_at) / (double)USEC_PER_SEC;

	return customer->demand * exp(-fmax(seconds, 0) / DEMAND_DECAY_SECONDS);
}

static gboolean
is_idle(void *key, void *value, void *data)
{
	const customer_t *customer = value;
	usec_t now = *(const usec_t *)data;

	return customer->rate <= 0 && customer->concurrency == 0 &&
	    customer->stats.running == 0 && customer->stats.waiting == 0 &&
	    current_demand(customer, now) < DEMAND_NEGLIGIBLE;
}

/* Finds or creates a customer's entry; returns NULL when the table is full. */
static customer_t *
get_customer(admission_t *admission, const char *name, usec_t now)
{
	customer_t *customer = g_hash_table_lookup(admission->customers, name);

	if (customer != NULL)
		return customer;
	if (g_hash_table_size(admission->customers) >= ADMISSION_MAX_CUSTOMERS)
		g_hash_table_foreach_remove(
		    admission->customers, is_idle, &now);
	if (g_hash_table_size(admission->customers) >= ADMISSION_MAX_CUSTOMERS)
		return NULL;
	customer = g_new0(customer_t, 1);
	g_strlcpy(customer->name, name, sizeof(customer->name));
	customer->refilled_at = now;
	customer->demand_updated_at = now;
	g_hash_table_insert(admission->customers, customer->name, customer);
	return customer;
}

/* The burst: the most tokens that a bucket of this rate holds. */
static double
bucket_capacity(double rate)
{
	return rate > 0 ? fmax(1, rate * ADMISSION_BURST_SECONDS) : 0;
}

static void
refill_bucket(customer_t *customer, double rate, usec_t now)
{
	double seconds =
	    (double)(now - customer->refilled_at) / (double)USEC_PER_SEC;

	if (seconds <= 0)
		return;
	customer->tokens = fmin(
	    bucket_capacity(customer->rate), customer->tokens + rate * seconds);
	customer->refilled_at = now;
}

static bool
has_token(const customer_t *customer, uint32_t reserved)
{
	return customer->tokens + customer->peer_tokens + TOKEN_EPSILON >=
	    1.0 + reserved;
}

static void
take_token(customer_t *customer)
{
	if (customer->peer_tokens > 0)
		customer->peer_tokens--;
	else
		customer->tokens = fmax(0, customer->tokens - 1);
}

static void
admit(customer_t *customer)
{
	take_token(customer);
	customer->stats.admitted++;
	customer->stats.running++;
	INVARIANT(customer->stats.running <= customer->concurrency,
	    "customer %s: %u requests running, limit %u", customer->name,
	    customer->stats.running, customer->concurrency);
}

static void
push_action(admission_t *admission, const waiter_t *waiter, int error)
{
	admission_action_t *action = g_new0(admission_action_t, 1);

	action->kind = error == 0 ? ADMISSION_ADMIT : ADMISSION_REFUSE;
	action->tag = waiter->tag;
	memcpy(action->customer, waiter->customer->name, sizeof(name_t));
	action->error = error;
	g_queue_push_tail(&admission->actions, action);
}

static void
remove_waiting_customer(admission_t *admission, const customer_t *customer)
{
	guint index = customer->waiting_index;

	g_ptr_array_remove_index_fast(admission->waiting_customers, index);
	if (index < admission->waiting_customers->len) {
		customer_t *last =
		    g_ptr_array_index(admission->waiting_customers, index);

		last->waiting_index = index;
	}
}

static void
remove_waiter(admission_t *admission, waiter_t *waiter)
{
	customer_t *customer = waiter->customer;

	g_sequence_remove(waiter->deadline_iter);
	g_sequence_remove(waiter->latest_start_iter);
	g_hash_table_remove(admission->waiters, &waiter->tag);
	if (--customer->stats.waiting == 0)
		remove_waiting_customer(admission, customer);
}

static void
add_waiter(admission_t *admission, customer_t *customer, uint64_t tag,
    usec_t deadline, usec_t latest_start)
{
	waiter_t *waiter = g_new0(waiter_t, 1);

	if (customer->waiting == NULL)
		customer->waiting = g_sequence_new(NULL);
	waiter->tag = tag;
	waiter->customer = customer;
	waiter->deadline = deadline;
	waiter->latest_start = latest_start;
	waiter->deadline_iter = g_sequence_insert_sorted(
	    customer->waiting, waiter, compare_deadline, NULL);
	waiter->latest_start_iter = g_sequence_insert_sorted(
	    admission->by_latest_start, waiter, compare_latest_start, NULL);
	g_hash_table_insert(admission->waiters, &waiter->tag, waiter);
	if (customer->stats.waiting++ == 0) {
		customer->waiting_index = admission->waiting_customers->len;
		g_ptr_array_add(admission->waiting_customers, customer);
	}
}

/* Counts the refusal of a waiting request and returns its error: the rate if a
 * slot was free, otherwise the concurrency. */
static int
count_late_refusal(customer_t *customer)
{
	if (customer->stats.running < customer->concurrency) {
		customer->stats.refused_rate++;
		return BW_E_RATE;
	}
	customer->stats.refused_concurrency++;
	return BW_E_CONCURRENCY;
}

/* Refuses the waiting requests that were not admitted by their latest start. */
static void
refuse_late(admission_t *admission, usec_t now)
{
	while (!g_sequence_is_empty(admission->by_latest_start)) {
		waiter_t *waiter = g_sequence_get(
		    g_sequence_get_begin_iter(admission->by_latest_start));

		if (waiter->latest_start >= now)
			break;
		push_action(
		    admission, waiter, count_late_refusal(waiter->customer));
		remove_waiter(admission, waiter);
	}
}

static void
admit_waiting(admission_t *admission, customer_t *customer)
{
	while (customer->stats.waiting > 0 && has_token(customer, 0) &&
	    customer->stats.running < customer->concurrency) {
		waiter_t *waiter = g_sequence_get(
		    g_sequence_get_begin_iter(customer->waiting));

		admit(customer);
		push_action(admission, waiter, 0);
		remove_waiter(admission, waiter);
	}
}

/* Refills the bucket and admits waiting requests. Callers call refuse_late()
 * first, so that no slot is given to a request that will miss its deadline. */
static void
refill_and_admit(admission_t *admission, customer_t *customer, usec_t now)
{
	refill_bucket(customer, customer->rate, now);
	if (now >= customer->peer_tokens_until)
		customer->peer_tokens = 0;
	admit_waiting(admission, customer);
}

void
admission_set_allowance(admission_t *admission, const char *name,
    double rate_per_s, uint32_t concurrency, usec_t now)
{
	customer_t *customer = get_customer(admission, name, now);

	if (customer == NULL)
		return;
	refuse_late(admission, now);
	refill_bucket(customer, fmin(customer->rate, rate_per_s), now);
	customer->rate = rate_per_s;
	customer->concurrency = concurrency;
	customer->tokens = fmin(customer->tokens, bucket_capacity(rate_per_s));
	refill_and_admit(admission, customer, now);
}

void
admission_add_customer(admission_t *admission, const char *name,
    double rate_per_s, uint32_t concurrency, usec_t since, usec_t now)
{
	if (g_hash_table_contains(admission->customers, name))
		return;
	admission_set_allowance(
	    admission, name, rate_per_s, concurrency, since);
	admission_set_allowance(admission, name, rate_per_s, concurrency, now);
}

/* Whether a request can still make its deadline after the waiting requests with
 * earlier deadlines. As many requests as the concurrency allows run at once and
 * are expected to take @expected_duration. */
static bool
can_wait(const customer_t *customer, usec_t deadline, usec_t expected_duration,
    usec_t now)
{
	uint32_t slots = customer->concurrency > 0 ? customer->concurrency : 1;
	const waiter_t key = {.deadline = deadline};
	usec_t ahead = 0;

	if (customer->waiting != NULL)
		ahead = g_sequence_iter_get_position(g_sequence_search(
		    customer->waiting, (void *)&key, compare_deadline, NULL));
	return now + (ahead / slots + 1) * expected_duration <= deadline;
}

static void
count_demand(customer_t *customer, usec_t now)
{
	customer->demand =
	    current_demand(customer, now) + 1 / DEMAND_DECAY_SECONDS;
	customer->demand_updated_at = now;
}

static int
count_refusal(uint64_t *counter, int error)
{
	(*counter)++;
	return error;
}

/* Queues a request until peers send tokens. Half of the spare time before the
 * deadline may be spent waiting. */
static int
wait_for_peer_tokens(admission_t *admission, customer_t *customer, uint64_t tag,
    usec_t deadline, usec_t expected_duration, usec_t now)
{
	if (g_hash_table_size(admission->waiters) >= ADMISSION_MAX_WAITING)
		return BW_E_FULL;
	add_waiter(admission, customer, tag, deadline,
	    now + (deadline - expected_duration - now) / 2);
	return 1;
}

int
admission_offer(admission_t *admission, const char *name, uint64_t tag,
    usec_t deadline, usec_t expected_duration, usec_t now)
{
	customer_t *customer = get_customer(admission, name, now);
	admission_stats_t *stats;

	if (customer == NULL)
		return BW_E_FULL;
	if (g_hash_table_contains(admission->waiters, &tag))
		return BW_E_CONFLICT;
	stats = &customer->stats;
	count_demand(customer, now);
	refuse_late(admission, now);
	refill_and_admit(admission, customer, now);
	if (now + expected_duration > deadline)
		return count_refusal(&stats->refused_deadline, BW_E_DEADLINE);
	if (!has_token(customer, stats->waiting))
		return admission->peers_available
		    ? wait_for_peer_tokens(admission, customer, tag, deadline,
			  expected_duration, now)
		    : count_refusal(&stats->refused_rate, BW_E_RATE);
	if (stats->running < customer->concurrency) {
		admit(customer);
		return 0;
	}
	if (!can_wait(customer, deadline, expected_duration, now))
		return count_refusal(
		    &stats->refused_concurrency, BW_E_CONCURRENCY);
	if (g_hash_table_size(admission->waiters) >= ADMISSION_MAX_WAITING)
		return BW_E_FULL;
	add_waiter(
	    admission, customer, tag, deadline, deadline - expected_duration);
	return 1;
}

void
admission_release(admission_t *admission, const char *name, usec_t now)
{
	customer_t *customer = g_hash_table_lookup(admission->customers, name);

	INVARIANT(customer != NULL && customer->stats.running > 0,
	    "customer %s: a request that was not running ended", name);
	if (customer == NULL || customer->stats.running == 0)
		return;
	refuse_late(admission, now);
	customer->stats.running--;
	refill_and_admit(admission, customer, now);
}

void
admission_cancel(admission_t *admission, uint64_t tag)
{
	waiter_t *waiter = g_hash_table_lookup(admission->waiters, &tag);

	if (waiter != NULL)
		remove_waiter(admission, waiter);
}

void
admission_tick(admission_t *admission, usec_t now)
{
	refuse_late(admission, now);
	for (guint i = admission->waiting_customers->len; i > 0; i--)
		refill_and_admit(admission,
		    g_ptr_array_index(admission->waiting_customers, i - 1),
		    now);
}

bool
admission_next_action(admission_t *admission, admission_action_t *action)
{
	admission_action_t *next = g_queue_pop_head(&admission->actions);

	if (next == NULL)
		return false;
	*action = *next;
	g_free(next);
	return true;
}

double
admission_demand(admission_t *admission, const char *name, usec_t now)
{
	const customer_t *customer =
	    g_hash_table_lookup(admission->customers, name);

	return customer != NULL ? current_demand(customer, now) : 0;
}

usec_t
admission_retry_after(admission_t *admission, const char *name, usec_t now)
{
	customer_t *customer = g_hash_table_lookup(admission->customers, name);
	double missing;

	if (customer == NULL || customer->rate <= 0)
		return SECONDS(1);
	refill_bucket(customer, customer->rate, now);
	if (has_token(customer, customer->stats.waiting))
		return 0;
	missing = 1 + customer->stats.waiting - customer->tokens;
	return (usec_t)ceil(
	    fmin(missing / customer->rate, RETRY_AFTER_MAX_SECONDS) *
	    (double)USEC_PER_SEC);
}

void
admission_get_stats(
    const admission_t *admission, const char *name, admission_stats_t *stats)
{
	const customer_t *customer =
	    g_hash_table_lookup(admission->customers, name);

	*stats = customer != NULL ? customer->stats : (admission_stats_t){0};
}

void
admission_set_peers_available(admission_t *admission, bool peers_available)
{
	admission->peers_available = peers_available;
}

/* Whole tokens in the bucket and received from peers. */
static uint32_t
available_tokens(const customer_t *customer)
{
	return (uint32_t)(customer->tokens + TOKEN_EPSILON) +
	    customer->peer_tokens;
}

uint32_t
admission_count_without_token(
    admission_t *admission, const char *name, usec_t now)
{
	customer_t *customer = g_hash_table_lookup(admission->customers, name);
	uint32_t tokens;

	if (customer == NULL || customer->stats.waiting == 0)
		return 0;
	refill_and_admit(admission, customer, now);
	tokens = available_tokens(customer);
	return customer->stats.waiting > tokens
	    ? customer->stats.waiting - tokens
	    : 0;
}

uint32_t
admission_take_tokens(
    admission_t *admission, const char *name, uint32_t wanted, usec_t now)
{
	customer_t *customer = g_hash_table_lookup(admission->customers, name);
	uint32_t taken = 0;

	if (customer == NULL)
		return 0;
	refill_and_admit(admission, customer, now);
	/* Tokens received from peers are not passed on: nodes could pass them
	 * around indefinitely without using them. */
	while (taken < wanted &&
	    customer->tokens + TOKEN_EPSILON >= 1.0 + customer->stats.waiting) {
		customer->tokens = fmax(0, customer->tokens - 1);
		taken++;
	}
	return taken;
}

void
admission_add_tokens(
    admission_t *admission, const char *name, uint32_t tokens, usec_t now)
{
	customer_t *customer = g_hash_table_lookup(admission->customers, name);

	if (customer == NULL)
		return;
	if (now >= customer->peer_tokens_until)
		customer->peer_tokens = 0;
	customer->peer_tokens += tokens;
	customer->peer_tokens_until = now + MS(ADMISSION_PEER_TOKEN_MS);
	refill_and_admit(admission, customer, now);
}

void
admission_refuse_without_token(
    admission_t *admission, const char *name, usec_t now)
{
	customer_t *customer = g_hash_table_lookup(admission->customers, name);
	uint32_t missing = admission_count_without_token(admission, name, now);

	for (; missing > 0; missing--) {
		waiter_t *waiter = g_sequence_get(g_sequence_iter_prev(
		    g_sequence_get_end_iter(customer->waiting)));

		customer->stats.refused_rate++;
		push_action(admission, waiter, BW_E_RATE);
		remove_waiter(admission, waiter);
	}
}
