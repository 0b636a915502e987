/* A customer's share at this node: its tokens, the requests that wait for one,
 * and the reserve. */
#include <math.h>

#include "bulrushwell/event.h"
#include "customer_rates_private.h"

#define DEMAND_TIME 4.0 /* seconds over which demand is averaged */
/* The part of the rate that is in the granting node's pool in any case. */
#define POOL_RATE 0.15
/* After a refusal, so long no token is asked for. */
#define SHORT_TIME MS(250)

double
rates_share_rate(const rate_customer_t *customer)
{
	return customer->limit.rate_per_s * (double)customer->share.rate /
	    PEER_RATE_WHOLE;
}

double
rates_share_burst(const rate_customer_t *customer)
{
	return customer->limit.burst * (double)customer->share.burst /
	    PEER_RATE_WHOLE;
}

/* Ends a lease that is over, and adds the tokens earned since the last call. */
void
rates_earn(rate_customer_t *customer, usec_t now)
{
	usec_t elapsed = MAX(now - customer->earned_at, 0);

	customer->earned_at = now;
	if (now >= customer->lease_until) {
		customer->share = (peer_rate_share_t){0, 0};
		customer->tokens = 0.0;
		return;
	}
	customer->tokens = MIN(customer->tokens +
		rates_share_rate(customer) * (double)elapsed / USEC_PER_SEC,
	    rates_share_burst(customer));
}

double
rates_demand(const rate_customer_t *customer, usec_t now)
{
	double elapsed = (double)(now - customer->demand_at) / USEC_PER_SEC;

	return customer->demand * exp(-MAX(elapsed, 0.0) / DEMAND_TIME);
}

static void
activate(customer_rates_t *rates, rate_customer_t *customer)
{
	if (!customer->seen)
		g_ptr_array_add(rates->seen, customer);
	customer->seen = true;
	if (!customer->active)
		g_ptr_array_add(rates->active, customer);
	customer->active = true;
}

void
rates_record_offer(
    customer_rates_t *rates, rate_customer_t *customer, usec_t now)
{
	customer->demand_before = rates_demand(customer, now);
	customer->demand = customer->demand_before + 1.0 / DEMAND_TIME;
	customer->demand_at = now;
	customer->offered_at = now;
	customer->offered++;
	activate(rates, customer);
}

/* The expected time at which a refused request is served, after those refused
 * before it. */
usec_t
rates_next_retry(
    const customer_rates_t *rates, rate_customer_t *customer, usec_t now)
{
	double rate = MAX(
	    rates_share_rate(customer), POOL_RATE * customer->limit.rate_per_s);
	usec_t interval, last = now + rates->bound.window;

	interval =
	    (usec_t)MIN(USEC_PER_SEC / rate, (double)rates->bound.window);
	customer->next_slot = MAX(customer->next_slot, now) + interval;
	customer->next_slot = MIN(customer->next_slot, last);
	return customer->next_slot - now;
}

void
rates_decide(customer_rates_t *rates, rate_customer_t *customer, void *request,
    bool admitted, usec_t now)
{
	const rate_decision_t decision = {
	    .request = request,
	    .admitted = admitted,
	    .retry_after =
		admitted ? 0 : rates_next_retry(rates, customer, now),
	};

	if (admitted)
		customer->admitted++;
	else
		customer->refused++;
	g_array_append_val(rates->decisions, decision);
}

bool
rates_take_token(rate_customer_t *customer)
{
	if (customer->tokens < 1.0)
		return false;
	customer->tokens -= 1.0;
	return true;
}

void
rates_admit_waiting(
    customer_rates_t *rates, rate_customer_t *customer, usec_t now)
{
	while (customer->waiting->len > 0 && rates_take_token(customer)) {
		rates_decide(rates, customer,
		    g_array_index(customer->waiting, rate_waiting_t, 0).request,
		    true, now);
		g_array_remove_index(customer->waiting, 0);
	}
}

/*
 * Decides on the requests that were asked for with message @asked. Replies may
 * be reordered, and tokens of each count once.
 * @tokens: thousandths
 *
 * Return: the tokens left.
 */
static uint32_t
answer_waiting(customer_rates_t *rates, rate_customer_t *customer,
    uint64_t asked, uint32_t tokens, usec_t now)
{
	for (guint i = 0; i < customer->waiting->len;) {
		const rate_waiting_t *waiting =
		    &g_array_index(customer->waiting, rate_waiting_t, i);
		bool admitted = tokens >= PEER_RATE_TOKEN;

		if (waiting->asked != asked) {
			i++;
			continue;
		}
		if (admitted)
			tokens -= PEER_RATE_TOKEN;
		else
			customer->short_until = now + SHORT_TIME;
		rates_decide(rates, customer, waiting->request, admitted, now);
		g_array_remove_index(customer->waiting, i);
	}
	return tokens;
}

/* Only tokens for waiting requests may exceed the share of the burst. */
void
rates_apply_granted(customer_rates_t *rates, rate_customer_t *customer,
    const peer_rate_granted_t *granted, uint64_t request, usec_t now)
{
	usec_t lease_until = (usec_t)request + RATE_LEASE;
	uint32_t tokens;

	if (request <= customer->grants_after || lease_until <= now)
		return;
	rates_earn(customer, now);
	customer->silent = false;
	tokens = answer_waiting(rates, customer, request, granted->tokens, now);
	if (granted->sequence <= customer->grant)
		return;
	customer->grant = granted->sequence;
	customer->share = granted->share;
	customer->lease_until = MAX(customer->lease_until, lease_until);
	customer->tokens += (double)tokens / PEER_RATE_TOKEN;
	customer->tokens = MIN(customer->tokens, rates_share_burst(customer));
	rates_admit_waiting(rates, customer, now);
}

/* The requests that this node may admit in a window without a grant: a part of
 * the reserve of all nodes. */
static uint32_t
reserve_size(const customer_rates_t *rates, const rate_customer_t *customer)
{
	uint32_t nodes = rates->nodes->len;
	uint32_t whole = (uint32_t)customer->limit.reserve;
	uint32_t rank;

	if (nodes == 0)
		return 0;
	rank = (uint32_t)((rates->own_index + customer->id) % nodes);
	return MIN(whole / nodes + (rank < whole % nodes), RATES_RESERVE_MAX);
}

/* A process before may have used the reserve in the window before the start. */
bool
rates_take_reserve(
    const customer_rates_t *rates, rate_customer_t *customer, usec_t now)
{
	uint32_t size = reserve_size(rates, customer);
	uint32_t oldest;

	if (size == 0 || now < rates->started_at + rates->bound.window)
		return false;
	oldest = (customer->reserve_next + RATES_RESERVE_MAX - size) %
	    RATES_RESERVE_MAX;
	if (customer->reserve_used[oldest] != 0 &&
	    now - customer->reserve_used[oldest] <= rates->bound.window)
		return false;
	customer->reserve_used[customer->reserve_next] = now;
	customer->reserve_next =
	    (customer->reserve_next + 1) % RATES_RESERVE_MAX;
	return true;
}

/* Decides on requests whose granting node has not answered in time. */
void
rates_decide_without_answer(
    customer_rates_t *rates, rate_customer_t *customer, usec_t now)
{
	bool decided = false;

	while (customer->waiting->len > 0) {
		const rate_waiting_t *waiting =
		    &g_array_index(customer->waiting, rate_waiting_t, 0);

		if (now < waiting->since + CUSTOMER_RATES_HOLD_MAX)
			break;
		rates_decide(rates, customer, waiting->request,
		    rates_take_reserve(rates, customer, now), now);
		g_array_remove_index(customer->waiting, 0);
		decided = true;
	}
	if (!decided)
		return;
	customer->short_until = now + SHORT_TIME;
	if (!customer->silent)
		event_log_sampled(EVENT_RATE_SILENT, "customer=%s node=%s",
		    customer->name,
		    customer->granting_node != NULL ? customer->granting_node
						    : "-");
	customer->silent = true;
}

usec_t
rates_next_waiting_due(const rate_customer_t *customer)
{
	usec_t due = INT64_MAX;

	for (guint i = 0; i < customer->waiting->len; i++) {
		const rate_waiting_t *waiting =
		    &g_array_index(customer->waiting, rate_waiting_t, i);

		due = MIN(due, waiting->since + CUSTOMER_RATES_HOLD_MAX);
		if (waiting->asked == 0 && customer->granting_node != NULL)
			due = MIN(due, customer->asked_at + RATES_ASK_INTERVAL);
		else if (waiting->asks < RATES_ASKS_MAX)
			due = MIN(due, waiting->asked_at + RATES_RESEND_AFTER);
	}
	return due;
}
