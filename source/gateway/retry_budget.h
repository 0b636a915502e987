#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: This node's share of the extra requests that a service accepts
 *
 * Load pattern: slow or failing servers, where every node wants to retry or
 * hedge many requests. In each window all nodes together may send
 * ratio * requests + slack extra requests. Each node may spend the ratio of its
 * own requests, so that no coordination is needed, and an equal share of the
 * slack.
 */

/** Limits of the extra requests of all nodes together. */
typedef struct {
	double ratio;  /* extra requests for each request */
	usec_t window; /* sliding window over which they are counted */
	double slack;  /* further extra requests in each window */
} retry_limits_t;

#define RETRY_BUDGET_BUCKETS 20

/** Counts of this node in the buckets of a sliding window; zeros are valid. */
typedef struct {
	uint64_t current_bucket; /* number of the newest bucket */
	uint32_t requests[RETRY_BUDGET_BUCKETS];
	uint32_t extra_requests[RETRY_BUDGET_BUCKETS];
} retry_budget_t;

/** retry_budget_record_request() - Counts a request for the service. */
void retry_budget_record_request(
    retry_budget_t *budget, const retry_limits_t *limits, usec_t now);

/**
 * retry_budget_take() - Takes one extra request from the budget.
 * @nodes: number of nodes that share the slack
 * @reserved_share: share of the budget to leave for more important uses, 0..1
 *
 * Return: whether the extra request may be sent; it is counted if so.
 */
bool retry_budget_take(retry_budget_t *budget, const retry_limits_t *limits,
    double nodes, double reserved_share, usec_t now);

#endif
