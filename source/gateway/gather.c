#include "gather.h"

#include <glib.h>
#include <string.h>

/* Share comparisons tolerate the rounding of shares such as 0.89. */
#define SHARE_EPSILON 1e-9

bool
gather_is_enough(const gather_state_t *state)
{
	return state->in > 0 &&
	    state->in >= state->least * state->total - SHARE_EPSILON;
}

bool
gather_needs(const gather_state_t *state, uint32_t at_risk)
{
	return (double)state->total - at_risk <
	    state->least * state->total - SHARE_EPSILON;
}

static bool
can_be_enough(const gather_state_t *state)
{
	return state->in + state->open >=
	    state->least * state->total - SHARE_EPSILON;
}

gather_verdict_t
gather_decide(const gather_state_t *state, usec_t now)
{
	bool enough = gather_is_enough(state);

	if (state->open == 0)
		return enough ? GATHER_ANSWER : GATHER_FAIL;
	if (!can_be_enough(state))
		return GATHER_FAIL;
	if (enough && now >= state->goal_at)
		return GATHER_ANSWER;
	if (now >= state->final_at)
		return GATHER_FAIL;
	return GATHER_WAIT;
}

gather_records_t *
gather_records_create(uint32_t top)
{
	gather_records_t *records;

	top = MIN(top, GATHER_MAX_TOP);
	records =
	    g_malloc0(sizeof(*records) + (size_t)top * GATHER_RECORD_BYTES);
	records->top = top;
	return records;
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

	if (at == records->top) {
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
