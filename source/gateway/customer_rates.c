#include "customer_rates.h"

#include <string.h>
#include <xxhash.h>

#include "bulrushwell/event.h"
#include "customer_rates_private.h"

#define TICK MS(250)
#define WAITING_MAX 256 /* of one customer */
/* A process that was suspended for longer may have missed other grants. */
#define SUSPENSION SECONDS(10)

static void
free_customer(void *data)
{
	rate_customer_t *customer = data;

	g_array_free(customer->waiting, TRUE);
	g_free(customer->granting_node);
	g_free(customer->name);
	g_free(customer);
}

customer_rates_t *
customer_rates_create(const rate_bound_t *bound, const char *node,
    uint64_t incarnation, usec_t now)
{
	customer_rates_t *rates = g_new0(customer_rates_t, 1);

	rates->bound = *bound;
	rates->node = g_strdup(node);
	rates->incarnation = incarnation;
	rates->granter = rate_granter_create(node, incarnation, now);
	rates->customers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_customer);
	rates->active = g_ptr_array_new();
	rates->seen = g_ptr_array_new();
	rates->nodes = g_ptr_array_new_with_free_func(g_free);
	rates->processes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rates->started_at = now;
	rates->touched_at = now;
	rates->tick_at = now;
	rates->collect_at = INT64_MAX;
	rates->decisions = g_array_new(FALSE, FALSE, sizeof(rate_decision_t));
	g_queue_init(&rates->messages);
	return rates;
}

void
customer_rates_destroy(customer_rates_t *rates)
{
	if (rates == NULL)
		return;
	rate_granter_destroy(rates->granter);
	g_hash_table_destroy(rates->customers);
	g_ptr_array_free(rates->active, TRUE);
	g_ptr_array_free(rates->seen, TRUE);
	g_ptr_array_free(rates->nodes, TRUE);
	g_hash_table_destroy(rates->processes);
	g_array_free(rates->decisions, TRUE);
	g_queue_clear_full(&rates->messages, g_free);
	g_free(rates->taken_message);
	g_free(rates->node);
	g_free(rates);
}

/* Records that the process runs. After a suspension others may have granted. */
static void
touch(customer_rates_t *rates, usec_t now)
{
	if (now - rates->touched_at >= SUSPENSION) {
		rate_granter_forget_all(rates->granter, now);
		rates_begin_collecting(rates, now);
	}
	rates->touched_at = now;
}

rate_verdict_t
customer_rates_request(customer_rates_t *rates, const char *name, void *request,
    usec_t now, usec_t *retry_after)
{
	uint64_t id = rate_customer_id(name);
	rate_customer_t *customer = g_hash_table_lookup(rates->customers, &id);
	const rate_waiting_t waiting = {.request = request, .since = now};
	rate_decision_t decision;

	if (customer == NULL)
		return RATE_ADMIT;
	touch(rates, now);
	rates_granting_node(rates, customer);
	rates_record_offer(rates, customer, now);
	rates_earn(customer, now);
	if (customer->waiting->len == 0 && rates_take_token(customer)) {
		customer->admitted++;
		return RATE_ADMIT;
	}
	if (now < customer->short_until ||
	    customer->waiting->len >= WAITING_MAX) {
		if (customer->silent &&
		    rates_take_reserve(rates, customer, now)) {
			customer->admitted++;
			return RATE_ADMIT;
		}
		customer->refused++;
		*retry_after = rates_next_retry(rates, customer, now);
		return RATE_REFUSE;
	}
	g_array_append_val(customer->waiting, waiting);
	if (rates_is_own(rates, customer->granting_node) ||
	    now - customer->asked_at >= RATES_ASK_INTERVAL)
		rates_ask(rates, customer, now);
	if (rates->decisions->len == 0)
		return RATE_HOLD;
	/* The granting node is this one. */
	decision = g_array_index(
	    rates->decisions, rate_decision_t, rates->decisions->len - 1);
	if (decision.request != request)
		return RATE_HOLD;
	g_array_set_size(rates->decisions, rates->decisions->len - 1);
	*retry_after = decision.retry_after;
	return decision.admitted ? RATE_ADMIT : RATE_REFUSE;
}

void
customer_rates_cancel(
    customer_rates_t *rates, const char *name, const void *request)
{
	uint64_t id = rate_customer_id(name);
	rate_customer_t *customer = g_hash_table_lookup(rates->customers, &id);

	for (guint i = 0; customer != NULL && i < customer->waiting->len; i++)
		if (g_array_index(customer->waiting, rate_waiting_t, i)
			.request == request) {
			g_array_remove_index(customer->waiting, i);
			return;
		}
	for (guint i = 0; i < rates->decisions->len; i++)
		if (g_array_index(rates->decisions, rate_decision_t, i)
			.request == request) {
			g_array_remove_index(rates->decisions, i);
			return;
		}
}

void
customer_rates_return(customer_rates_t *rates, const char *name, usec_t now)
{
	uint64_t id = rate_customer_id(name);
	rate_customer_t *customer = g_hash_table_lookup(rates->customers, &id);

	if (customer == NULL || customer->admitted == 0)
		return;
	rates_earn(customer, now);
	customer->admitted--;
	customer->tokens =
	    MIN(customer->tokens + 1.0, rates_share_burst(customer));
}

void
customer_rates_receive(customer_rates_t *rates, const char *sender,
    const peer_message_t *message, usec_t now)
{
	const peer_rate_request_t *request = &message->rate_request;
	peer_rate_grant_t grant;

	touch(rates, now);
	if (message->kind == PEER_RATE_GRANT) {
		rates_apply_grant(rates, sender, &message->rate_grant, now);
		return;
	}
	if (message->kind != PEER_RATE_REQUEST)
		return;
	if (rates_grant_request(rates, sender, request, now, &grant))
		rates_queue_message(rates, sender, PEER_RATE_GRANT)
		    ->message.rate_grant = grant;
	if (request->wants_report != 0)
		rates_answer_collection(rates, sender, request, now);
}

static void
advance_waiting(customer_rates_t *rates, rate_customer_t *customer, usec_t now)
{
	bool unasked = false;

	if (customer->waiting->len == 0)
		return;
	rates_earn(customer, now);
	rates_admit_waiting(rates, customer, now);
	rates_decide_without_answer(rates, customer, now);
	for (guint i = 0; i < customer->waiting->len; i++) {
		rate_waiting_t *waiting =
		    &g_array_index(customer->waiting, rate_waiting_t, i);

		if (waiting->asks < RATES_ASKS_MAX &&
		    now - waiting->asked_at >= RATES_RESEND_AFTER)
			waiting->asked = 0;
		unasked = unasked || waiting->asked == 0;
	}
	if (unasked && now - customer->asked_at >= RATES_ASK_INTERVAL)
		rates_ask(rates, customer, now);
}

void
customer_rates_advance(customer_rates_t *rates, usec_t now)
{
	touch(rates, now);
	for (guint i = 0; i < rates->active->len; i++)
		advance_waiting(
		    rates, g_ptr_array_index(rates->active, i), now);
	if (g_hash_table_size(rates->customers) > 0)
		rates_collect_reports(rates, now);
	if (now < rates->tick_at)
		return;
	rates->tick_at = now + TICK;
	rates_renew_shares(rates, now);
}

usec_t
customer_rates_next_due(const customer_rates_t *rates)
{
	usec_t due = MIN(rates->tick_at, rates->collect_at);

	if (rates->decisions->len > 0)
		return 0;
	if (g_hash_table_size(rates->customers) == 0)
		return INT64_MAX;
	for (guint i = 0; i < rates->active->len; i++)
		due = MIN(due,
		    rates_next_waiting_due(
			g_ptr_array_index(rates->active, i)));
	return due;
}

static int
compare_names(const void *left, const void *right)
{
	return strcmp(*(const char *const *)left, *(const char *const *)right);
}

static bool
has_name(const name_t *names, uint32_t count, const char *name)
{
	for (uint32_t i = 0; i < count; i++)
		if (strcmp(names[i], name) == 0)
			return true;
	return false;
}

/* Return: the hash of the sorted names, never 0. */
static uint64_t
hash_names(const GPtrArray *names)
{
	uint64_t hash = 0;

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);

		hash = XXH64(name, strlen(name) + 1, hash);
	}
	return hash != 0 ? hash : 1;
}

void
customer_rates_set_nodes(
    customer_rates_t *rates, const name_t *names, uint32_t count, usec_t now)
{
	bool has_own = has_name(names, count, rates->node);
	uint64_t hash;

	touch(rates, now);
	g_ptr_array_set_size(rates->nodes, 0);
	for (uint32_t i = 0; i < count; i++)
		g_ptr_array_add(rates->nodes, g_strdup(names[i]));
	if (!has_own)
		g_ptr_array_add(rates->nodes, g_strdup(rates->node));
	g_ptr_array_sort(rates->nodes, compare_names);
	for (guint i = 0; i < rates->nodes->len; i++)
		if (rates_is_own(rates, g_ptr_array_index(rates->nodes, i)))
			rates->own_index = i;
	rate_granter_set_listed(rates->granter, has_own);
	hash = hash_names(rates->nodes);
	if (hash == rates->nodes_hash)
		return;
	rates->nodes_hash = hash;
	rates->nodes_generation++;
	rate_granter_set_nodes(rates->granter,
	    (const char *const *)rates->nodes->pdata, rates->nodes->len, hash,
	    rates_grants, rates, now);
	rates_begin_collecting(rates, now);
	rates->tick_at = now;
}

void
customer_rates_begin_limits(customer_rates_t *rates)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, rates->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((rate_customer_t *)value)->kept = false;
}

static rate_customer_t *
create_customer(customer_rates_t *rates, const char *name)
{
	rate_customer_t *customer = g_new0(rate_customer_t, 1);

	customer->id = rate_customer_id(name);
	customer->name = g_strdup(name);
	customer->waiting = g_array_new(FALSE, FALSE, sizeof(rate_waiting_t));
	g_hash_table_insert(rates->customers, &customer->id, customer);
	return customer;
}

void
customer_rates_set_limit(customer_rates_t *rates, const char *name,
    double rate_per_s, double burst, usec_t now)
{
	uint64_t id = rate_customer_id(name);
	rate_customer_t *customer = g_hash_table_lookup(rates->customers, &id);
	rate_limit_t limit;

	if (rate_per_s <= 0.0)
		return;
	limit = rate_limit_derive(&rates->bound, rate_per_s, burst);
	if (customer == NULL)
		customer = create_customer(rates, name);
	else if (customer->limit.rate_per_s != limit.rate_per_s ||
	    customer->limit.burst != limit.burst)
		event_log_sampled(EVENT_RATE_CHANGED,
		    "customer=%s rate=%.2f before=%.2f", name, rate_per_s,
		    customer->limit.rate_per_s);
	/* Shares are parts of the limit, so they change with it. */
	rates_earn(customer, now);
	customer->limit = limit;
	customer->tokens = MIN(customer->tokens, rates_share_burst(customer));
	customer->kept = true;
}

/* Requests that wait for a token are admitted: the customer has no limit. */
static void
remove_customer(customer_rates_t *rates, rate_customer_t *customer)
{
	for (guint i = 0; i < customer->waiting->len; i++)
		rates_decide(rates, customer,
		    g_array_index(customer->waiting, rate_waiting_t, i).request,
		    true, rates->touched_at);
	if (customer->active)
		g_ptr_array_remove_fast(rates->active, customer);
	if (customer->seen)
		g_ptr_array_remove(rates->seen, customer);
	rate_granter_remove(rates->granter, customer->id);
}

void
customer_rates_end_limits(customer_rates_t *rates)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, rates->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		rate_customer_t *customer = value;

		if (customer->kept)
			continue;
		remove_customer(rates, customer);
		g_hash_table_iter_remove(&iter);
	}
	rates->tick_at = 0;
}

bool
customer_rates_next_decision(customer_rates_t *rates, rate_decision_t *decision)
{
	if (rates->decisions->len == 0)
		return false;
	*decision = g_array_index(rates->decisions, rate_decision_t, 0);
	g_array_remove_index(rates->decisions, 0);
	return true;
}

const rate_message_t *
customer_rates_next_message(customer_rates_t *rates)
{
	g_free(rates->taken_message);
	rates->taken_message = g_queue_pop_head(&rates->messages);
	return rates->taken_message;
}

void
customer_rates_visit(customer_rates_t *rates,
    void (*visit)(void *context, const rate_stats_t *stats), void *context,
    usec_t now)
{
	for (guint i = 0; i < rates->seen->len; i++) {
		rate_customer_t *customer = g_ptr_array_index(rates->seen, i);
		const char *node = customer->granting_node;
		rate_stats_t stats;

		rates_earn(customer, now);
		stats = (rate_stats_t){customer->name, customer->admitted,
		    customer->refused, rates_share_rate(customer),
		    customer->tokens, node != NULL ? node : "",
		    customer->silent};
		visit(context, &stats);
	}
}
