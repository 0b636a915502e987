/* The claim table: checks requests, finds their objects, handles results of
 * dispatches and deadlines. */
#include "bulrushwell/claim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "claim_attempt.h"

#define MAX_KEY_TIME_DIGITS 12

claim_table_t *
claim_table_create(void)
{
	claim_table_t *table = g_new0(claim_table_t, 1);

	table->objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, claim_object_destroy);
	table->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->repeat_windows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&table->actions);
	return table;
}

void
claim_table_destroy(claim_table_t *table)
{
	claim_action_t action;

	if (table == NULL)
		return;
	while (claim_next_action(table, &action))
		continue;
	g_hash_table_destroy(table->objects);
	g_hash_table_destroy(table->attempts);
	g_hash_table_destroy(table->repeat_windows);
	g_free(table);
}

int
claim_parse_key(const char *key, int64_t *unix_seconds)
{
	size_t digits = strspn(key, "0123456789");
	size_t length = strnlen(key, CLAIM_MAX_KEY_LENGTH + 1);

	if (digits == 0 || digits > MAX_KEY_TIME_DIGITS || key[digits] != '-' ||
	    length == digits + 1 || length > CLAIM_MAX_KEY_LENGTH)
		return BW_E_INVALID;
	for (size_t i = digits; i < length; i++)
		if (key[i] <= ' ' || key[i] > '~')
			return BW_E_INVALID;
	*unix_seconds = strtoll(key, NULL, 10);
	return 0;
}

void
claim_table_wake_at(claim_table_t *table, usec_t time)
{
	if (time > 0 && (table->wakeup == 0 || time < table->wakeup))
		table->wakeup = time;
}

static int
check_request(claim_table_t *table, const claim_request_t *request, usec_t wall)
{
	int64_t key_time, wall_seconds = wall / USEC_PER_SEC;
	name_t checked;

	if (name_set(checked, request->service) != 0 ||
	    name_set(checked, request->customer) != 0 ||
	    claim_parse_key(request->key, &key_time) != 0 ||
	    key_time > wall_seconds + CLAIM_MAX_CLOCK_SKEW_S ||
	    g_hash_table_contains(table->attempts, &request->tag))
		return BW_E_INVALID;
	if (key_time + request->repeat_window_s < wall_seconds)
		return BW_E_KEY_EXPIRED;
	if (table->pending_requests >= CLAIM_MAX_PENDING_REQUESTS)
		return BW_E_FULL;
	return 0;
}

static claim_object_t *
find_or_create_object(claim_table_t *table, const claim_request_t *request)
{
	char *id = claim_document_entry_id(request->customer, request->key);
	char name[2 * NAME_SIZE];
	claim_object_t *object;

	snprintf(name, sizeof(name), "%s-%u", request->service,
	    (unsigned int)(XXH64(id, strlen(id), 0) % CLAIM_BUCKETS));
	g_free(id);
	object = claim_object_find(table, name);
	return object != NULL ? object : claim_object_create(table, name);
}

/* Makes a repeat wait for the attempt, or refuses it if its body differs. */
static void
join_attempt(attempt_t *attempt, const claim_request_t *request)
{
	const answer_t reused = {.error = BW_E_KEY_REUSED};

	if (attempt->request.digest[0] == request->digest[0] &&
	    attempt->request.digest[1] == request->digest[1])
		claim_attempt_add_waiter(attempt, request);
	else
		claim_action_answer(
		    attempt->object->table, request->tag, &reused, false);
}

int
claim_reserve(claim_table_t *table, const claim_request_t *request, usec_t now,
    usec_t wall)
{
	int error = check_request(table, request, wall);
	attempt_t *attempt;
	claim_object_t *object;
	char *id;

	if (error != 0)
		return error;
	/* The window is stored plus one, because the lookup of a customer whose
	 * window is unknown gives NULL, which is 0. */
	g_hash_table_replace(table->repeat_windows, g_strdup(request->customer),
	    GSIZE_TO_POINTER((gsize)request->repeat_window_s + 1));
	object = find_or_create_object(table, request);
	id = claim_document_entry_id(request->customer, request->key);
	attempt = g_hash_table_lookup(object->active_attempts, id);
	g_free(id);
	if (attempt != NULL)
		join_attempt(attempt, request);
	else
		claim_attempt_create(object, request);
	claim_object_start_io(object, now, wall);
	return 0;
}

void
claim_read_done(claim_table_t *table, const char *name,
    claim_io_result_t result, uint64_t version, slice_t text, usec_t now,
    usec_t wall)
{
	claim_object_t *object = claim_object_find(table, name);

	if (object == NULL)
		return;
	claim_object_read_done(object, result, version, text, now);
	claim_object_start_io(object, now, wall);
}

void
claim_write_done(claim_table_t *table, const char *name,
    claim_io_result_t result, uint64_t version, usec_t now, usec_t wall)
{
	claim_object_t *object = claim_object_find(table, name);

	if (object == NULL)
		return;
	claim_object_write_done(object, result, version, now);
	claim_object_start_io(object, now, wall);
}

static void
set_dispatch_result(attempt_t *attempt, claim_dispatch_result_t result,
    int http_status, body_t *body)
{
	const answer_t ran = {.http_status = http_status, .body = body};
	const answer_t not_sent = {.error = BW_E_OVERLOADED};
	const answer_t unknown = {.error = BW_E_OUTCOME_UNKNOWN};
	bool valid = http_status >= 100 && http_status <= 599;

	if (result == CLAIM_DISPATCH_ANSWERED && valid) {
		claim_attempt_set_outcome(attempt, ENTRY_DONE, &ran);
	} else if (result == CLAIM_DISPATCH_NOT_SENT) {
		claim_attempt_set_outcome(attempt, ENTRY_RELEASED, &not_sent);
	} else {
		event_log(EVENT_CLAIM_UNKNOWN,
		    "object=%s key=%s outcome=unknown", attempt->object->name,
		    attempt->request.key);
		claim_attempt_set_outcome(attempt, ENTRY_UNKNOWN, &unknown);
	}
}

void
claim_dispatch_done(claim_table_t *table, uint64_t tag,
    claim_dispatch_result_t result, int http_status, body_t *body, usec_t now,
    usec_t wall)
{
	attempt_t *attempt = g_hash_table_lookup(table->attempts, &tag);

	if (attempt == NULL || attempt->phase != PHASE_DISPATCHED)
		return;
	set_dispatch_result(attempt, result, http_status, body);
	claim_object_start_io(attempt->object, now, wall);
}

static void
tick_object(claim_object_t *object, usec_t now, usec_t wall)
{
	for (guint i = 0; i < object->attempts->len; i++)
		claim_attempt_expire(object->attempts->pdata[i], now);
	claim_object_start_io(object, now, wall);
	for (guint i = 0; i < object->attempts->len; i++)
		claim_table_wake_at(object->table,
		    claim_attempt_next_deadline(object->attempts->pdata[i]));
}

void
claim_tick(claim_table_t *table, usec_t now, usec_t wall)
{
	GHashTableIter iter;
	gpointer object;

	if (table->wakeup == 0 || now < table->wakeup)
		return;
	table->wakeup = 0;
	g_hash_table_iter_init(&iter, table->objects);
	while (g_hash_table_iter_next(&iter, NULL, &object))
		tick_object(object, now, wall);
}

usec_t
claim_next_wakeup(const claim_table_t *table)
{
	return table->wakeup;
}

bool
claim_is_idle(const claim_table_t *table)
{
	return g_hash_table_size(table->attempts) == 0;
}
