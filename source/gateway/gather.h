#ifndef GATHER_H
#define GATHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Putting the parts of a fan-out together
 *
 * Load pattern: some shards pause, hang or are down while the others have
 * answered. An answer within the goal is worth the square of the share of
 * shards that are in, a late one a small part of that, so an answer that has
 * the least share does not wait beyond the goal.
 */

#define GATHER_RECORD_BYTES 16
#define GATHER_MAX_TOP 1024

typedef enum { GATHER_WAIT, GATHER_ANSWER, GATHER_FAIL } gather_verdict_t;

typedef struct {
	uint32_t total;	 /* shards of the index */
	uint32_t in;	 /* have answered */
	uint32_t open;	 /* may still answer */
	double least;	 /* least share of an answer */
	usec_t goal_at;	 /* latest time of a useful answer */
	usec_t final_at; /* latest time of any answer */
} gather_state_t;

/** gather_decide() - Whether to answer now. */
gather_verdict_t gather_decide(const gather_state_t *state, usec_t now);

/**
 * gather_needs() - Whether an answer is out of reach if @at_risk shards, of
 * those that have not answered, give none.
 */
bool gather_needs(const gather_state_t *state, uint32_t at_risk);

/** gather_is_enough() - Whether the parts that are in make an answer. */
bool gather_is_enough(const gather_state_t *state);

typedef struct {
	uint32_t top; /* records to keep */
	uint32_t count;
	unsigned char records[][GATHER_RECORD_BYTES];
} gather_records_t;

/** gather_records_create() - Room for the greatest @top records. */
gather_records_t *gather_records_create(uint32_t top);
void gather_records_destroy(gather_records_t *records);

/**
 * gather_records_add() - Takes the records of one part; a remainder that is
 * shorter than a record is ignored. They stay in falling order.
 */
void gather_records_add(gather_records_t *records, slice_t part);

#endif
