#ifndef CONFIG_FRESHNESS_H
#define CONFIG_FRESHNESS_H

#include <stdbool.h>

#include "bulrushwell/clock.h"

/**
 * DOC: How long ago the configuration in force was known to be the store's
 *
 * A node that is late with a configuration cannot tell by itself: it hears
 * nothing. But it knows when it last heard, from the store or from a relay,
 * that there is nothing newer.
 */

/** typedef config_freshness_t - Zero-initialized but for @limit. */
typedef struct {
	usec_t limit;	    /* config-apply-ms; 0: none */
	usec_t current_at;  /* it was the store's then; 0: nothing was read */
	bool is_overdue;    /* for longer than @limit nothing was heard */
	usec_t overdue_for; /* how long it was when it ended last */
} config_freshness_t;

/**
 * config_freshness_confirm() - At @at the configuration in force was the
 * store's.
 *
 * Return: whether this ends a time without news that exceeded the limit.
 */
bool config_freshness_confirm(
    config_freshness_t *freshness, usec_t at, usec_t now);

/** config_freshness_age() - Since when nothing was heard; 0 before the first
 * news. */
usec_t config_freshness_age(const config_freshness_t *freshness, usec_t now);

/**
 * config_freshness_check() - To be called from time to time.
 *
 * Return: whether the limit has been exceeded since the last call.
 */
bool config_freshness_check(config_freshness_t *freshness, usec_t now);

#endif
