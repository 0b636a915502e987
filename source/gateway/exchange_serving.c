/* The serving node: the shards that a receiving node asks for. */
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "exchange_private.h"
#include "group_headers.h"

#define RECORDS_MAX 1000000		 /* more make no sense */
#define SOFT_ALLOWANCE_MAX SECONDS(3600) /* more makes no sense */
/* Fewer than HTTP_MAX_INTERIMS, as one says that the request was accepted. */
#define MAX_INTERIMS (HTTP_MAX_INTERIMS - 2)
/* A peer keeps idle connections for longer than this. */
#define KEEP_ALIVE_TEXT "Keep-Alive: timeout=60\r\n"

/* Takes the next field of a list of fields with one blank between them. */
static slice_t
next_field(slice_t *list)
{
	const char *blank = memchr(list->data, ' ', list->size);
	slice_t field = *list;

	if (blank != NULL)
		field.size = (size_t)(blank - list->data);
	list->data += field.size + (blank != NULL);
	list->size -= field.size + (blank != NULL);
	return field;
}

/* Reads a number that consists of digits of @base only; false if it does not,
 * or is above @max. */
static bool
read_number(slice_t *list, int base, uint64_t max, uint64_t *number)
{
	slice_t field = next_field(list);
	size_t digits_max = base == 16 ? 16 : 18; /* fit into 64 bits */

	*number = 0;
	if (field.size == 0 || field.size > digits_max)
		return false;
	for (size_t i = 0; i < field.size; i++) {
		int digit = g_ascii_xdigit_value(field.data[i]);

		if (digit < 0 || digit >= base)
			return false;
		*number = *number * (uint64_t)base + (uint64_t)digit;
	}
	return *number <= max;
}

bool
group_request_read(const http_message_t *request, group_request_t *group)
{
	uint64_t index, groups, hash, soft_us, records, attempts, priority;
	slice_t fields;

	if (!http_message_find_single(request, GROUP_HEADER, &fields) ||
	    !slice_is(next_field(&fields), GROUP_FORM) ||
	    !read_number(&fields, 10, UINT32_MAX, &index) ||
	    !read_number(&fields, 10, UINT32_MAX, &groups) ||
	    !read_number(&fields, 16, UINT64_MAX, &hash) ||
	    !read_number(&fields, 10, SOFT_ALLOWANCE_MAX, &soft_us) ||
	    !read_number(&fields, 10, RECORDS_MAX, &records) ||
	    !read_number(&fields, 10, UINT32_MAX, &attempts) ||
	    !read_number(&fields, 10, INT_MAX, &priority) || fields.size > 0)
		return false;
	*group = (group_request_t){.group = (uint32_t)index,
	    .groups = (uint32_t)groups,
	    .targets_hash = hash,
	    .soft_allowance = (usec_t)soft_us,
	    .records = (uint32_t)records,
	    .max_attempts = (uint32_t)attempts,
	    .priority = (uint32_t)priority};
	return index < groups;
}

void
group_served_text(const exchange_t *exchange, uint32_t group, uint32_t groups,
    char text[SERVED_TEXT_MAX])
{
	snprintf(text, SERVED_TEXT_MAX, SERVED_FORMAT, group, groups,
	    (unsigned long long)exchange->route->targets_hash,
	    exchange->top_records);
}

void
group_response_add(const exchange_t *exchange, buffer_t *head)
{
	const header_names_t *names = &exchange->engine->settings.headers;
	char served[SERVED_TEXT_MAX];
	bool first = true;

	head_add_field(head, names->request_id, exchange->request_id);
	group_served_text(
	    exchange, exchange->shard_first, exchange->shard_step, served);
	head_add_field(head, SERVED_HEADER, slice_from(served));
	buffer_append_text(head, SHARDS_HEADER ": ");
	for (uint32_t i = 0; i < exchange->task_count; i++) {
		const task_t *task = &exchange->tasks[i];

		if (task->state != TASK_ANSWERED || task->reported)
			continue;
		if (!first)
			buffer_append(head, ",", 1);
		buffer_append_number(head, i);
		first = false;
	}
	buffer_append_text(head, "\r\n" KEEP_ALIVE_TEXT);
}

/* Marks the answered shards as known to the receiving node. */
static void
mark_reported(exchange_t *exchange)
{
	for (uint32_t i = 0; i < exchange->task_count; i++)
		if (exchange->tasks[i].state == TASK_ANSWERED)
			exchange->tasks[i].reported = true;
	gather_records_clear(exchange->records);
}

static bool
has_unreported(const exchange_t *exchange)
{
	for (uint32_t i = 0; i < exchange->task_count; i++)
		if (exchange->tasks[i].state == TASK_ANSWERED &&
		    !exchange->tasks[i].reported)
			return true;
	return false;
}

static void
add_hex(buffer_t *head, const unsigned char *bytes, size_t size)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < size; i++) {
		buffer_append(head, &digits[bytes[i] >> 4], 1);
		buffer_append(head, &digits[bytes[i] & 15], 1);
	}
}

static void
add_report(exchange_t *exchange, buffer_t *head)
{
	const gather_records_t *records = exchange->records;

	reply_add_stamps(exchange, head);
	group_response_add(exchange, head);
	buffer_append_text(head, RECORDS_HEADER ": ");
	add_hex(head, (const unsigned char *)records->records,
	    (size_t)records->count * GATHER_RECORD_BYTES);
	buffer_append(head, "\r\n", 2);
	mark_reported(exchange);
}

/*
 * Reports the shards that have answered since the last report. The first one is
 * sent even if there are none, to show that this node works on the query.
 */
static void
send_interim(exchange_t *exchange)
{
	bool has_content = has_unreported(exchange) &&
	    exchange->records->count <= MAX_INTERIM_RECORDS;
	buffer_t head = {0};

	if (exchange->interim_count == MAX_INTERIMS ||
	    (!has_content && exchange->interim_count > 0))
		return;
	exchange->interim_count++;
	buffer_append_text(&head, "HTTP/1.1 103 Early Hints\r\n");
	if (has_content)
		add_report(exchange, &head);
	else
		head_add_field(&head,
		    exchange->engine->settings.headers.request_id,
		    exchange->request_id);
	exchange->interim(exchange->client, &head);
	buffer_free(&head);
}

void
group_reply_if_due(exchange_t *exchange, usec_t now)
{
	gather_state_t state = exchange_gather_state(exchange);

	if (state.pending > 0 && now < exchange->deadline) {
		if (now >= exchange->soft_deadline)
			send_interim(exchange);
		return;
	}
	if (state.answered > 0)
		reply_fanout(exchange, state.answered, now);
	else
		reply_error(exchange,
		    state.pending > 0 ? BW_E_DEADLINE : BW_E_OVERLOADED,
		    "no_shard", now);
}
