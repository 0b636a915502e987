#ifndef BULRUSHWELL_STORE_POSITION_H
#define BULRUSHWELL_STORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/slice.h"

/**
 * DOC: Positions in the history of the platform's store
 *
 * The store may come back from an older copy of itself. Revisions then go back
 * and are given out again, and the era, which the store states in its answers,
 * rises. So a revision alone orders nothing: all that nodes know of the store
 * is ordered by its era first, then by the revision. These functions are the
 * only place where that order is defined.
 */

/* The store has not stated its era, or in a way that can't be read. */
#define STORE_ERA_UNKNOWN INT64_C(-1)

/* The greatest era that can be stated. */
#define STORE_ERA_MAX INT64_C(999999999999999999)

/**
 * typedef store_position_t - A moment in the store's history.
 * @era: 0 for a store that states none
 * @revision: within the era; 0: before all changes, or nothing was read
 */
typedef struct {
	int64_t era;
	int64_t revision;
} store_position_t;

/** store_position_compare() - Negative, 0 or positive, as @a is before, at or
 * after @b. */
int store_position_compare(store_position_t a, store_position_t b);

/** store_position_later() - The later one of two positions. */
store_position_t store_position_later(store_position_t a, store_position_t b);

/** store_position_is_set() - Whether anything was read up to the position. */
bool store_position_is_set(store_position_t position);

/**
 * store_era_parse() - Reads an era as the store states it.
 *
 * Return: STORE_ERA_UNKNOWN unless @text consists of 1 to 18 digits.
 */
int64_t store_era_parse(slice_t text);

#endif
