#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: This node's part of the extra requests that a service accepts
 *
 * Load pattern: slow or failing servers, where every node wants to send many
 * requests a second time. In each window all nodes together may send ratio x
 * requests + slack extra ones. Each node spends the ratio of its own requests,
 * which adds up without any exchange, and an equal part of the slack.
 */

typedef struct {
	double ratio;
	usec_t window;
	double slack; /* of all nodes together */
} retry_limits_t;

#define RETRY_BUDGET_SLOTS 20

typedef struct {
	uint64_t slot; /* number of the newest slot */
	uint32_t requests[RETRY_BUDGET_SLOTS];
	uint32_t extras[RETRY_BUDGET_SLOTS];
} retry_budget_t;

/** retry_budget_request() - A request for the service arrived here. */
void retry_budget_request(
    retry_budget_t *budget, const retry_limits_t *limits, usec_t now);

/**
 * retry_budget_take() - Asks for one extra request.
 * @nodes: number of nodes that share the slack
 * @reserve: share of the budget that must stay for more important uses, 0..1
 *
 * Return: whether it may be sent; it then counts as sent.
 */
bool retry_budget_take(retry_budget_t *budget, const retry_limits_t *limits,
    uint32_t nodes, double reserve, usec_t now);

#endif
