#ifndef LATENCY_MODEL_H
#define LATENCY_MODEL_H

#include "bulrushwell/clock.h"
#include "bulrushwell/histogram.h"

/**
 * DOC: How long attempts of one route usually take
 *
 * Answers the typical time, by which servers are compared, and the time after
 * which an attempt is unusually late. Both follow the most recent attempts.
 */
typedef struct latency_model latency_model_t;

/**
 * latency_model_create() - An estimate without samples.
 * @goal: time within which the route is to be answered; what is typical is
 * guessed from it until there are samples
 */
latency_model_t *latency_model_create(usec_t goal);
void latency_model_destroy(latency_model_t *latency);

void latency_model_record(latency_model_t *latency, usec_t elapsed);

/** latency_model_typical() - The median, or a default before the first samples.
 */
usec_t latency_model_typical(const latency_model_t *latency);

/** latency_model_late() - Only few attempts take longer than this. */
usec_t latency_model_late(const latency_model_t *latency);

#endif
