#include "retry_budget.h"

/*
 * Part of the budget that is used. The rest covers nodes that count a window
 * at other moments, and nodes that this one has not heard of yet.
 */
#define USED_PART 0.92

static void
advance(retry_budget_t *budget, const retry_limits_t *limits, usec_t now)
{
	uint64_t slot = (uint64_t)(now / (limits->window / RETRY_BUDGET_SLOTS));
	uint64_t steps = slot - budget->slot;

	if (slot <= budget->slot)
		return;
	if (steps > RETRY_BUDGET_SLOTS)
		steps = RETRY_BUDGET_SLOTS;
	for (uint64_t i = 0; i < steps; i++) {
		budget->requests[(slot - i) % RETRY_BUDGET_SLOTS] = 0;
		budget->extras[(slot - i) % RETRY_BUDGET_SLOTS] = 0;
	}
	budget->slot = slot;
}

static uint32_t
sum(const uint32_t *slots)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < RETRY_BUDGET_SLOTS; i++)
		total += slots[i];
	return total;
}

void
retry_budget_request(
    retry_budget_t *budget, const retry_limits_t *limits, usec_t now)
{
	advance(budget, limits, now);
	budget->requests[budget->slot % RETRY_BUDGET_SLOTS]++;
}

bool
retry_budget_take(retry_budget_t *budget, const retry_limits_t *limits,
    uint32_t nodes, double reserve, usec_t now)
{
	double allowed;

	advance(budget, limits, now);
	allowed = limits->ratio * sum(budget->requests) +
	    limits->slack / (nodes > 0 ? nodes : 1);
	allowed *= USED_PART * (1.0 - reserve);
	if (sum(budget->extras) + 1 > allowed)
		return false;
	budget->extras[budget->slot % RETRY_BUDGET_SLOTS]++;
	return true;
}
