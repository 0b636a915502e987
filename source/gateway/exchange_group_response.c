/* The receiving node: what the responses of serving nodes say of the shards. */
#include <string.h>

#include "exchange_private.h"
#include "group_headers.h"

/* Takes the next element of a comma-separated list; false at its end. */
static bool
next_element(slice_t *list, slice_t *element)
{
	const char *comma;

	while (list->size > 0 && (*list->data == ' ' || *list->data == ',')) {
		list->data++;
		list->size--;
	}
	if (list->size == 0)
		return false;
	comma = memchr(list->data, ',', list->size);
	*element = *list;
	if (comma != NULL)
		element->size = (size_t)(comma - list->data);
	list->data += element->size;
	list->size -= element->size;
	while (element->size > 0 && element->data[element->size - 1] == ' ')
		element->size--;
	return element->size > 0;
}

/* The task of the shard at @position in the group, if its peer may answer it.
 */
static task_t *
find_asked_task(const group_attempt_t *group, slice_t position)
{
	exchange_t *exchange = group->exchange;
	int64_t number = http_parse_number(position);
	int64_t index;

	if (number < 0)
		return NULL;
	index = group->group + number * exchange->group_count;
	if (index >= exchange->task_count ||
	    exchange->tasks[index].state != TASK_ASKED)
		return NULL;
	return &exchange->tasks[index];
}

/*
 * Checks the lists of shards and stamps, or applies them. Both lists are in the
 * same order, and no shard is named twice.
 */
static bool
walk_shards(
    const group_attempt_t *group, slice_t shards, slice_t stamps, bool apply)
{
	int64_t last = -1;
	slice_t shard, stamp;

	while (next_element(&shards, &shard)) {
		task_t *task = find_asked_task(group, shard);

		if (task == NULL || http_parse_number(shard) <= last ||
		    !next_element(&stamps, &stamp))
			return false;
		last = http_parse_number(shard);
		if (!apply)
			continue;
		task->state = TASK_ANSWERED;
		task->may_have_run = true;
		task->response_stamp = g_strndup(stamp.data, stamp.size);
	}
	return !next_element(&stamps, &stamp);
}

/*
 * Whether the response answers what was asked. A peer that has kept fewer
 * records than this node needs may have left out some that belong to the
 * answer.
 */
static bool
answers_request(const group_attempt_t *group, const http_message_t *response,
    slice_t records)
{
	const exchange_t *exchange = group->exchange;
	char expected[SERVED_TEXT_MAX];
	slice_t served;

	group_served_text(
	    exchange, group->group, exchange->group_count, expected);
	return http_message_find_single(response, SERVED_HEADER, &served) &&
	    slice_is(served, expected) &&
	    gather_records_are_greatest(records, exchange->top_records);
}

/* Returns false, without effect, for a response that makes no sense. */
static bool
take_shards(const group_attempt_t *group, const http_message_t *response,
    slice_t records)
{
	exchange_t *exchange = group->exchange;
	const header_names_t *names = &exchange->engine->settings.headers;
	slice_t shards, stamps = {0};

	if (!http_message_find(response, SHARDS_HEADER, &shards))
		return false;
	http_message_find(response, names->part_stamps, &stamps);
	if (!answers_request(group, response, records) ||
	    !walk_shards(group, shards, stamps, false))
		return false;
	if (!exchange_hold(exchange,
		gather_records_growth(exchange->records, records.size)))
		return false;
	walk_shards(group, shards, stamps, true);
	gather_records_add(exchange->records, records);
	exchange_hold(exchange, 0);
	return true;
}

/* Reads bytes in hexadecimal. Return: their number; 0 if malformed. */
static size_t
read_hex(slice_t text, char *bytes, size_t capacity)
{
	if (text.size % 2 != 0 || text.size / 2 > capacity)
		return 0;
	for (size_t i = 0; i < text.size / 2; i++) {
		int high = g_ascii_xdigit_value(text.data[2 * i]);
		int low = g_ascii_xdigit_value(text.data[2 * i + 1]);

		if (high < 0 || low < 0)
			return 0;
		bytes[i] = (char)(high << 4 | low);
	}
	return text.size / 2;
}

bool
group_response_take(
    const group_attempt_t *group, const http_message_t *response)
{
	return take_shards(group, response,
	    (slice_t){response->body.data, response->body.size});
}

group_response_t
group_response_take_interim(
    const group_attempt_t *group, const http_message_t *response)
{
	char bytes[MAX_INTERIM_RECORDS * GATHER_RECORD_BYTES] = {0};
	slice_t text, records = {.data = bytes};

	if (!http_message_find(response, RECORDS_HEADER, &text))
		return GROUP_RESPONSE_EMPTY;
	records.size = read_hex(text, bytes, sizeof(bytes));
	return take_shards(group, response, records) ? GROUP_RESPONSE_TAKEN
						     : GROUP_RESPONSE_BAD;
}
