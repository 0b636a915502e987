#ifndef ADMISSION_HOLD_H
#define ADMISSION_HOLD_H

#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: What one borrower may still use
 *
 * A renewed loan replaces the one before, but its answer may be lost, so the
 * borrower may use any of the loans that have not ended: the lender does
 * without the largest of them. When the list is full, the two oldest become
 * one that is as large and as long as both.
 */
#define HOLD_MAX 8

typedef struct {
	uint32_t amount;
	usec_t until;
} hold_t;

typedef struct {
	uint32_t count;
	hold_t holds[HOLD_MAX];
} hold_list_t;

/** hold_list_add() - Adds a loan and drops those that it covers or that ended.
 */
void hold_list_add(
    hold_list_t *list, uint32_t amount, usec_t until, usec_t now);

/** hold_list_amount() - The largest loan that has not ended. */
uint32_t hold_list_amount(const hold_list_t *list, usec_t now);

#endif
