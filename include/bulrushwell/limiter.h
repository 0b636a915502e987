#ifndef BULRUSHWELL_LIMITER_H
#define BULRUSHWELL_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Adaptive concurrency limit for queries
 *
 * Limits how many queries of each index run at once in the process that
 * received them. An index starts without a limit. When more than a tenth of its
 * recent answers, and at least two, show overload, the limit is set to a
 * fraction of the number of running queries. It is decreased further only by
 * answers to queries that were admitted after the previous decrease. It is
 * increased while it is in use and answers are complete in good time, and
 * removed when for some seconds it was not reached and no answer showed
 * overload.
 *
 * When the limit has fallen far and the share of overloaded answers has not,
 * the cause, such as one slow service, does not depend on the load. The limit
 * before the decreases is then restored and not decreased for some seconds.
 *
 * At the limit, a customer with fewer queries running than its weighted share
 * of the limit (at least one) is still admitted, up to twice the limit in
 * total.
 */
#define LIMITER_MAX_INDEXES 1000

/** typedef limiter_outcome_t - The kind of answer that a query had. */
typedef enum {
	LIMITER_OTHER,	       /* incomplete, but not by overload; ignored */
	LIMITER_COMPLETE,      /* complete in good time */
	LIMITER_COMPLETE_LATE, /* complete shortly before the deadline */
	LIMITER_OVERLOADED     /* shards were refused or timed out */
} limiter_outcome_t;

/** typedef limiter_stats_t - The limit of an index and its counters. */
typedef struct {
	double limit; /* running queries; 0: no limit */
	uint32_t running;
	uint64_t refused;
	uint64_t lowered;  /* decreases of the limit */
	uint64_t restored; /* limits restored: decreasing did not help */
} limiter_stats_t;

typedef struct limiter limiter_t;

limiter_t *limiter_create(void);
void limiter_destroy(limiter_t *limiter);

/**
 * limiter_admit() - Admits a query that is about to be sent, or refuses it.
 * @weight: the customer's weight from its contract; 0 counts as 1
 *
 * Return: 0, after which the caller must call limiter_release() once;
 * BW_E_OVERLOADED at the limit; BW_E_FULL when LIMITER_MAX_INDEXES other
 * indexes have queries running.
 */
int limiter_admit(limiter_t *limiter, const char *index, const char *customer,
    uint32_t weight, usec_t now);

/**
 * limiter_may_admit() - Whether limiter_admit() would admit the query now.
 *
 * Lets a query wait without being counted as refused. At the limit, the call
 * counts as use of the limit, like a call of limiter_admit().
 */
bool limiter_may_admit(limiter_t *limiter, const char *index,
    const char *customer, uint32_t weight, usec_t now);

/**
 * limiter_release() - Releases an admitted query that has ended, and adjusts
 * the limit by its outcome.
 * @elapsed: time since limiter_admit()
 */
void limiter_release(limiter_t *limiter, const char *index,
    const char *customer, limiter_outcome_t outcome, usec_t elapsed,
    usec_t now);

/**
 * limiter_retry_after() - Delay after which a refused query may be repeated.
 *
 * Return: the smoothed duration of the index's queries, at least 100 ms.
 */
usec_t limiter_retry_after(const limiter_t *limiter, const char *index);

/** limiter_get_stats() - Sets @stats; all zero for an unknown index. */
void limiter_get_stats(
    const limiter_t *limiter, const char *index, limiter_stats_t *stats);

/**
 * limiter_visit() - Calls @visit for each index in the table, in no particular
 * order. Indexes without running queries stay in it until it is full.
 */
void limiter_visit(const limiter_t *limiter,
    void (*visit)(
	void *context, const char *index, const limiter_stats_t *stats),
    void *context);

#endif
