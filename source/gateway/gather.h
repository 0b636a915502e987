#ifndef GATHER_H
#define GATHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Merging of the shard responses of a fan-out
 *
 * Load pattern: some shards pause, hang or are down while the others have
 * answered. A response within the target latency is valued at the square of
 * the share of shards that answered, a late one at a small part of that.
 * Therefore a fan-out that has the minimum share is answered at its soft
 * deadline and waits for no further shards.
 */

#define GATHER_RECORD_BYTES 16 /* shard responses are lists of such records */

/** typedef gather_decision_t - What a fan-out does now. */
typedef enum { GATHER_WAIT, GATHER_ANSWER, GATHER_FAIL } gather_decision_t;

/** typedef gather_state_t - Progress of a fan-out. */
typedef struct {
	uint32_t total;	      /* shards of the index */
	uint32_t answered;    /* shards that have answered */
	uint32_t pending;     /* shards that may still answer */
	double min_share;     /* minimum share of shards, 0 to 1 */
	usec_t soft_deadline; /* a complete answer is awaited until here */
	usec_t deadline;      /* latest time of any response */
} gather_state_t;

/** gather_decide() - Whether to wait, answer or fail at time @now. */
gather_decision_t gather_decide(const gather_state_t *state, usec_t now);

/**
 * gather_fails_without() - Whether the minimum share can't be reached without
 * @missing of the shards.
 */
bool gather_fails_without(const gather_state_t *state, uint32_t missing);

/** gather_has_min_share() - Whether enough shards have answered. */
bool gather_has_min_share(const gather_state_t *state);

/** typedef gather_records_t - The greatest records, in descending order. */
typedef struct {
	uint32_t wanted; /* maximum of @count */
	uint32_t count;
	uint32_t allocated; /* of @records */
	unsigned char (*records)[GATHER_RECORD_BYTES];
} gather_records_t;

/**
 * gather_records_create() - Creates an empty list; never NULL.
 * @wanted: records to keep
 */
gather_records_t *gather_records_create(uint32_t wanted);

/** gather_records_are_greatest() - Whether @part can be the greatest @wanted
 * records of a list: no more than these, in descending order. */
bool gather_records_are_greatest(slice_t part, uint32_t wanted);

/** gather_records_clear() - Removes all records. */
void gather_records_clear(gather_records_t *records);

/** gather_records_destroy() - Frees a list, or NULL. */
void gather_records_destroy(gather_records_t *records);

/**
 * gather_records_growth() - Memory that gather_records_add() allocates at most.
 * @bytes: of the part
 *
 * Return: bytes.
 */
size_t gather_records_growth(const gather_records_t *records, size_t bytes);

/**
 * gather_records_add() - Merges the records of one shard.
 * @part: response body; an incomplete record at its end is ignored
 *
 * Records are compared bytewise, as memcmp() does.
 */
void gather_records_add(gather_records_t *records, slice_t part);

#endif
