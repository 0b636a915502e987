#ifndef BULRUSHWELL_CLOCK_H
#define BULRUSHWELL_CLOCK_H

#include <stdint.h>

/** typedef usec_t - A point in time or a duration in microseconds. */
typedef int64_t usec_t;

#define USEC_PER_MS ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)

/** MS(), SECONDS() - Milliseconds and seconds as usec_t. */
#define MS(n) ((usec_t)(n)*USEC_PER_MS)
#define SECONDS(n) ((usec_t)(n)*USEC_PER_SEC)

/**
 * clock_monotonic() - Time since boot, including time spent suspended, so that
 * a lease also expires while the VM is suspended.
 */
usec_t clock_monotonic(void);

/** clock_wall() - Microseconds since the Unix epoch. */
usec_t clock_wall(void);

/**
 * clock_to_wall() - Converts a monotonic time to wall time.
 * @at: as of clock_monotonic()
 *
 * If the process is paused during the conversion, the result is too early,
 * never too late: a deadline that is sent after the pause is not extended by
 * it.
 */
usec_t clock_to_wall(usec_t at);

#endif
