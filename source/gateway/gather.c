#include "gather.h"

#include <glib.h>
#include <string.h>

/* Tolerance for shares such as 0.89, which are not exact in binary. */
#define SHARE_EPSILON 1e-9

bool
gather_has_min_share(const gather_state_t *state)
{
	return state->answered > 0 &&
	    state->answered >= state->min_share * state->total - SHARE_EPSILON;
}

bool
gather_fails_without(const gather_state_t *state, uint32_t missing)
{
	return (double)state->total - missing <
	    state->min_share * state->total - SHARE_EPSILON;
}

static bool
can_reach_min_share(const gather_state_t *state)
{
	return state->answered + state->pending >=
	    state->min_share * state->total - SHARE_EPSILON;
}

gather_decision_t
gather_decide(const gather_state_t *state, usec_t now)
{
	bool has_min_share = gather_has_min_share(state);

	if (state->pending == 0)
		return has_min_share ? GATHER_ANSWER : GATHER_FAIL;
	if (!can_reach_min_share(state))
		return GATHER_FAIL;
	if (has_min_share && now >= state->soft_deadline)
		return GATHER_ANSWER;
	if (now >= state->deadline)
		return GATHER_FAIL;
	return GATHER_WAIT;
}

gather_records_t *
gather_records_create(uint32_t capacity)
{
	gather_records_t *records;

	capacity = MIN(capacity, GATHER_MAX_RECORDS);
	records = g_malloc0(
	    sizeof(*records) + (size_t)capacity * GATHER_RECORD_BYTES);
	records->capacity = capacity;
	return records;
}

void
gather_records_clear(gather_records_t *records)
{
	records->count = 0;
}

void
gather_records_destroy(gather_records_t *records)
{
	g_free(records);
}

static void
add_record(gather_records_t *records, const char *record)
{
	uint32_t at = records->count;

	if (at == records->capacity) {
		if (at == 0 ||
		    memcmp(records->records[at - 1], record,
			GATHER_RECORD_BYTES) >= 0)
			return;
		at--;
	} else {
		records->count++;
	}
	while (at > 0 &&
	    memcmp(records->records[at - 1], record, GATHER_RECORD_BYTES) < 0) {
		memcpy(records->records[at], records->records[at - 1],
		    GATHER_RECORD_BYTES);
		at--;
	}
	memcpy(records->records[at], record, GATHER_RECORD_BYTES);
}

void
gather_records_add(gather_records_t *records, slice_t part)
{
	while (part.size >= GATHER_RECORD_BYTES) {
		add_record(records, part.data);
		part.data += GATHER_RECORD_BYTES;
		part.size -= GATHER_RECORD_BYTES;
	}
}
