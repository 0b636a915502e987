#ifndef LATENCY_H
#define LATENCY_H

#include "bulrushwell/clock.h"
#include "bulrushwell/histogram.h"

/**
 * DOC: How long attempts of one route usually take
 *
 * Answers the typical time, by which servers are compared, and the time after
 * which an attempt is unusually late. Both follow the most recent attempts.
 */
typedef struct latency latency_t;

/**
 * latency_create() - An estimate without samples.
 * @goal: time within which the route is to be answered; what is typical is
 * guessed from it until there are samples
 */
latency_t *latency_create(usec_t goal);
void latency_destroy(latency_t *latency);

void latency_record(latency_t *latency, usec_t elapsed);

/** latency_typical() - The median, or a default before the first samples. */
usec_t latency_typical(const latency_t *latency);

/** latency_late() - Only few attempts take longer than this. */
usec_t latency_late(const latency_t *latency);

#endif
