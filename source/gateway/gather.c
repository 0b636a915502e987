#include "gather.h"

#include <glib.h>
#include <string.h>

/* Tolerance for shares such as 0.89, which are not exact in binary. */
#define SHARE_EPSILON 1e-9
#define FIRST_RECORDS 16u /* room that is allocated first */

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
gather_records_create(uint32_t wanted)
{
	gather_records_t *records = g_new0(gather_records_t, 1);

	records->wanted = wanted;
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
	if (records == NULL)
		return;
	g_free(records->records);
	g_free(records);
}

/* Memory follows what the shards send, not what the route would accept. */
static void
make_room(gather_records_t *records)
{
	if (records->count < records->allocated)
		return;
	records->allocated =
	    MIN(MAX(2 * records->allocated, FIRST_RECORDS), records->wanted);
	records->records = g_realloc(
	    records->records, (size_t)records->allocated * GATHER_RECORD_BYTES);
}

size_t
gather_records_growth(const gather_records_t *records, size_t bytes)
{
	size_t needed = records->count + bytes / GATHER_RECORD_BYTES;
	size_t allocated = MIN(2 * MAX(needed, FIRST_RECORDS), records->wanted);

	return needed > records->allocated && allocated > records->allocated
	    ? (allocated - records->allocated) * GATHER_RECORD_BYTES
	    : 0;
}

/* Return: the position behind all records that are not less. */
static uint32_t
find_position(const gather_records_t *records, const char *record)
{
	uint32_t low = 0, high = records->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (memcmp(records->records[middle], record,
			GATHER_RECORD_BYTES) < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return low;
}

static void
add_record(gather_records_t *records, const char *record)
{
	uint32_t at = find_position(records, record);

	if (at == records->wanted)
		return;
	if (records->count < records->wanted) {
		make_room(records);
		records->count++;
	}
	memmove(records->records[at + 1], records->records[at],
	    (size_t)(records->count - 1 - at) * GATHER_RECORD_BYTES);
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

bool
gather_records_are_greatest(slice_t part, uint32_t wanted)
{
	size_t count = part.size / GATHER_RECORD_BYTES;

	for (size_t i = 1; i < count; i++)
		if (memcmp(part.data + (i - 1) * GATHER_RECORD_BYTES,
			part.data + i * GATHER_RECORD_BYTES,
			GATHER_RECORD_BYTES) < 0)
			return false;
	return count <= wanted;
}
