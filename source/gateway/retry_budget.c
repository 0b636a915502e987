#include "retry_budget.h"

/*
 * Share of the budget that is used. The rest covers nodes whose windows start
 * at other times, and nodes that this one does not know of yet.
 */
#define USABLE_SHARE 0.92

/* Clears the buckets that have passed out of the sliding window. */
static void
advance_window(retry_budget_t *budget, const retry_limits_t *limits, usec_t now)
{
	uint64_t bucket =
	    (uint64_t)(now / (limits->window / RETRY_BUDGET_BUCKETS));
	uint64_t steps = bucket - budget->current_bucket;

	if (bucket <= budget->current_bucket)
		return;
	if (steps > RETRY_BUDGET_BUCKETS)
		steps = RETRY_BUDGET_BUCKETS;
	for (uint64_t i = 0; i < steps; i++) {
		budget->requests[(bucket - i) % RETRY_BUDGET_BUCKETS] = 0;
		budget->extra_requests[(bucket - i) % RETRY_BUDGET_BUCKETS] = 0;
	}
	budget->current_bucket = bucket;
}

static uint32_t
sum_buckets(const uint32_t *buckets)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < RETRY_BUDGET_BUCKETS; i++)
		total += buckets[i];
	return total;
}

void
retry_budget_record_request(
    retry_budget_t *budget, const retry_limits_t *limits, usec_t now)
{
	advance_window(budget, limits, now);
	budget->requests[budget->current_bucket % RETRY_BUDGET_BUCKETS]++;
}

bool
retry_budget_take(retry_budget_t *budget, const retry_limits_t *limits,
    double nodes, double reserved_share, usec_t now)
{
	double allowed;

	advance_window(budget, limits, now);
	allowed = limits->ratio * sum_buckets(budget->requests) +
	    limits->slack / (nodes > 1.0 ? nodes : 1.0);
	allowed *= USABLE_SHARE * (1.0 - reserved_share);
	if (sum_buckets(budget->extra_requests) + 1 > allowed)
		return false;
	budget->extra_requests[budget->current_bucket % RETRY_BUDGET_BUCKETS]++;
	return true;
}
