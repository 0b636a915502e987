#ifndef ADMISSION_HOLD_H
#define ADMISSION_HOLD_H

#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Amounts held back for one borrower
 *
 * A renewed loan replaces the previous one, but the reply with the renewal may
 * be lost. The borrower may therefore be using any loan that has not expired,
 * and the lender holds back the largest of them. When the list is full, the two
 * oldest holds are merged into one with the larger amount and the later expiry.
 */

/** HOLD_LIST_MAX - Holds that are kept apart before the oldest are merged. */
#define HOLD_LIST_MAX 8

/** typedef hold_t - An amount lent, and when the lender may use it again. */
typedef struct {
	uint32_t amount;
	usec_t expires_at;
} hold_t;

typedef struct {
	uint32_t count;
	hold_t holds[HOLD_LIST_MAX];
} hold_list_t;

/**
 * hold_list_add() - Adds a hold.
 * @amount: 0 adds nothing
 * @expires_at: end of the hold
 *
 * Removes holds that have expired or that are neither larger nor longer than
 * the new one.
 */
void hold_list_add(
    hold_list_t *list, uint32_t amount, usec_t expires_at, usec_t now);

/** hold_list_amount() - The largest amount that has not expired; 0 if none. */
uint32_t hold_list_amount(const hold_list_t *list, usec_t now);

#endif
