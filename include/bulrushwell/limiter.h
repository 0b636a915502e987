#ifndef BULRUSHWELL_LIMITER_H
#define BULRUSHWELL_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Adaptive limit of running queries
 *
 * Runs on the receiving node and limits how many queries of each index run at
 * once. An index starts without a limit. When more than a tenth of its recent
 * answers show overload, the limit becomes a part of the number that runs, and
 * falls further at most once for each round of queries. It rises while it is
 * in use and answers are complete in good time, and ends when nothing needed
 * it for a while.
 *
 * A limit that fell a long way without fewer signs of overload is taken back
 * for a while: the cause, such as one slow service, does not depend on it.
 *
 * At the limit, a customer with fewer queries running than its part of the
 * limit by weight (at least one) is admitted, up to twice the limit in all.
 */
#define LIMITER_MAX_INDEXES 1000

typedef enum {
	LIMITER_OTHER,	       /* not complete, for another reason */
	LIMITER_COMPLETE,      /* complete in good time */
	LIMITER_COMPLETE_LATE, /* complete shortly before the deadline */
	LIMITER_OVERLOADED     /* shards were refused or timed out */
} limiter_outcome_t;

typedef struct {
	double limit; /* 0: none */
	uint32_t running;
	uint64_t refused;
	uint64_t lowered;
	uint64_t restored; /* limits taken back because they did not help */
} limiter_stats_t;

typedef struct limiter limiter_t;

limiter_t *limiter_create(void);
void limiter_destroy(limiter_t *limiter);

/**
 * limiter_admit() - A query is about to be sent.
 * @weight: the customer's weight by contract; 0 counts as 1
 *
 * Return: 0, after which limiter_ended() follows, BW_E_OVERLOADED, or
 * BW_E_FULL when LIMITER_MAX_INDEXES others have queries running.
 */
int limiter_admit(limiter_t *limiter, const char *index, const char *customer,
    uint32_t weight, usec_t now);

/**
 * limiter_may_admit() - Whether limiter_admit() would admit now, so that a
 * query can wait without being counted as refused.
 */
bool limiter_may_admit(limiter_t *limiter, const char *index,
    const char *customer, uint32_t weight, usec_t now);

/**
 * limiter_ended() - An admitted query ended.
 * @elapsed: since limiter_admit()
 */
void limiter_ended(limiter_t *limiter, const char *index, const char *customer,
    limiter_outcome_t outcome, usec_t elapsed, usec_t now);

/** limiter_retry_after() - How long the running queries of an index take. */
usec_t limiter_retry_after(const limiter_t *limiter, const char *index);

void limiter_get_stats(
    const limiter_t *limiter, const char *index, limiter_stats_t *stats);

/** limiter_visit() - Calls @visit for each index that was queried. */
void limiter_visit(const limiter_t *limiter,
    void (*visit)(
	void *context, const char *index, const limiter_stats_t *stats),
    void *context);

#endif
