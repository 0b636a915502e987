#ifndef DELAY_ESTIMATE_H
#define DELAY_ESTIMATE_H

#include "bulrushwell/clock.h"

/** DOC: A delay that is seldom exceeded, learned from recent ones */

typedef struct delay_estimate delay_estimate_t;

/**
 * delay_estimate_create() - Never NULL.
 * @quantile: part of the delays that the estimate is not below, from 0 to 1
 * @initial: the estimate until there are enough delays to show their tail
 */
delay_estimate_t *delay_estimate_create(double quantile, usec_t initial);
void delay_estimate_destroy(delay_estimate_t *estimate);

/** delay_estimate_record() - Adds a delay; a negative one counts as none. */
void delay_estimate_record(delay_estimate_t *estimate, usec_t delay);

/** delay_estimate_get() - The estimate now. */
usec_t delay_estimate_get(const delay_estimate_t *estimate);

#endif
