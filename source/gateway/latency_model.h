#ifndef LATENCY_MODEL_H
#define LATENCY_MODEL_H

#include "bulrushwell/clock.h"
#include "bulrushwell/histogram.h"

/**
 * DOC: Latency estimates for the attempts of one route
 *
 * Provides the typical time, by which servers are compared, and the time after
 * which an attempt is unusually late. Both follow the most recent attempts.
 */
typedef struct latency_model latency_model_t;

/**
 * latency_model_create() - A model without samples.
 * @target: target latency of the route, from which the estimates are derived
 * until there are samples
 */
latency_model_t *latency_model_create(usec_t target);
void latency_model_destroy(latency_model_t *model);

/** latency_model_record() - Adds the duration of a successful attempt. */
void latency_model_record(latency_model_t *model, usec_t elapsed);

/** latency_model_typical() - The median, or an initial estimate. */
usec_t latency_model_typical(const latency_model_t *model);

/** latency_model_late() - Duration that only few attempts exceed. */
usec_t latency_model_late(const latency_model_t *model);

#endif
