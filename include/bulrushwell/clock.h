#ifndef BULRUSHWELL_CLOCK_H
#define BULRUSHWELL_CLOCK_H

#include <stdint.h>

/** typedef usec_t - A point in time or a duration in microseconds. */
typedef int64_t usec_t;

#define USEC_PER_MS ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)
#define MS(n) ((usec_t)(n)*USEC_PER_MS)
#define SECONDS(n) ((usec_t)(n)*USEC_PER_SEC)

/**
 * clock_monotonic() - Time since boot, including time spent suspended, so that
 * a lease also lapses while the VM is paused.
 */
usec_t clock_monotonic(void);

/** clock_wall() - Microseconds since the Unix epoch. */
usec_t clock_wall(void);

/**
 * clock_to_wall() - The wall time at which the monotonic clock shows @at.
 *
 * A process that is paused in between gets an earlier time, never a later one:
 * what it sends after the pause is not taken for newer than it is.
 */
usec_t clock_to_wall(usec_t at);

#endif
