/* Handles the results of the reads and writes of one claim object. */
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "claim_attempt.h"

#define RETRY_DELAY_FIRST MS(50)
#define RETRY_DELAY_MAX MS(1000)
#define RETRY_MAX_DOUBLINGS 5

claim_object_t *
claim_object_find(claim_table_t *table, const char *name)
{
	return g_hash_table_lookup(table->objects, name);
}

claim_object_t *
claim_object_create(claim_table_t *table, const char *name)
{
	claim_object_t *object = g_new0(claim_object_t, 1);

	object->table = table;
	g_strlcpy(object->name, name, sizeof(object->name));
	object->attempts = g_ptr_array_new();
	object->active_attempts = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(table->objects, object->name, object);
	return object;
}

void
claim_object_destroy(gpointer context)
{
	claim_object_t *object = context;

	for (guint i = 0; i < object->attempts->len; i++)
		claim_attempt_destroy(object->attempts->pdata[i]);
	g_ptr_array_free(object->attempts, TRUE);
	g_hash_table_destroy(object->active_attempts);
	claim_document_destroy(object->document);
	claim_document_destroy(object->next_document);
	g_free(object);
}

void
claim_object_set_document(claim_object_t *object, document_t *document)
{
	size_t *cached_bytes = &object->table->cached_bytes;

	if (object->document != NULL && object->document != document) {
		*cached_bytes -= claim_document_size(object->document);
		claim_document_destroy(object->document);
	}
	if (document != NULL)
		*cached_bytes += claim_document_size(document);
	object->document = document;
}

static void
schedule_retry(claim_object_t *object, usec_t now)
{
	uint32_t doublings = MIN(object->failure_count, RETRY_MAX_DOUBLINGS);

	object->failure_count++;
	object->retry_at =
	    now + MIN(RETRY_DELAY_FIRST << doublings, RETRY_DELAY_MAX);
}

static void
reset_retry_delay(claim_object_t *object)
{
	object->failure_count = 0;
	object->retry_at = 0;
}

/* Abandons the waiting attempts whose claims are in no write in doubt. */
static void
abandon_waiting_attempts(claim_object_t *object, int error)
{
	const answer_t answer = {.error = error};

	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_WAITING && !attempt->in_doubt)
			claim_attempt_abandon(attempt, &answer);
	}
}

/* Decides from the stored content what became of an attempt whose claim was
 * written. @doubt_resolved: the write in doubt can no longer be applied. */
static void
resolve_claim(attempt_t *attempt, bool doubt_resolved, usec_t now)
{
	const entry_t *entry =
	    claim_document_find(attempt->object->document, attempt->entry_id);

	if (entry != NULL && id128_equal(entry->spec.token, attempt->token)) {
		claim_attempt_confirm(attempt, now);
		return;
	}
	attempt->phase = PHASE_WAITING;
	if (!doubt_resolved)
		return;
	attempt->in_doubt = false;
	if (attempt->abandoned)
		attempt->phase = PHASE_ENDED;
}

/* Ends an attempt if its stored entry has an outcome or is gone. */
static void
resolve_outcome(attempt_t *attempt)
{
	const entry_t *entry =
	    claim_document_find(attempt->object->document, attempt->entry_id);

	attempt->storing_outcome = false;
	if (entry == NULL || !id128_equal(entry->spec.token, attempt->token) ||
	    entry->spec.state != ENTRY_CLAIMED)
		claim_attempt_finish(attempt);
}

static void
resolve_attempts(claim_object_t *object, usec_t now)
{
	bool doubt_resolved = !object->write_in_doubt ||
	    object->version != object->in_doubt_version;

	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_CLAIMING || attempt->in_doubt)
			resolve_claim(attempt, doubt_resolved, now);
		else if (attempt->phase == PHASE_OUTCOME_KNOWN)
			resolve_outcome(attempt);
	}
	if (doubt_resolved) {
		object->write_in_doubt = false;
		reset_retry_delay(object);
	} else {
		schedule_retry(object, now);
	}
}

/* The content that was read, or NULL if it is malformed. */
static document_t *
parse_content(const claim_object_t *object, claim_io_result_t result,
    uint64_t version, slice_t text)
{
	if (result == CLAIM_IO_NOT_FOUND)
		return claim_document_create(object->name);
	return version > 0 ? claim_document_parse(object->name, text) : NULL;
}

static void
handle_malformed_object(claim_object_t *object, usec_t now)
{
	event_log(EVENT_PLATFORM_BAD_REPLY, "claim object %s is malformed",
	    object->name);
	claim_object_set_document(object, NULL);
	abandon_waiting_attempts(object, BW_E_PROTOCOL);
	schedule_retry(object, now);
}

void
claim_object_read_done(claim_object_t *object, claim_io_result_t result,
    uint64_t version, slice_t text, usec_t now)
{
	bool read_succeeded =
	    result == CLAIM_IO_OK || result == CLAIM_IO_NOT_FOUND;
	document_t *document;

	if (object->io != IO_READING)
		return;
	object->io = IO_NONE;
	if (result == CLAIM_IO_NOT_FOUND)
		version = 0;
	/* A version older than the newest one seen is outdated: the read counts
	 * as failed. */
	if (!read_succeeded || version < object->version) {
		abandon_waiting_attempts(object, BW_E_PLATFORM_DOWN);
		schedule_retry(object, now);
		return;
	}
	document = parse_content(object, result, version, text);
	if (document == NULL) {
		handle_malformed_object(object, now);
		return;
	}
	object->read_count++;
	object->version = version;
	claim_object_set_document(object, document);
	resolve_attempts(object, now);
}

static void
handle_write_applied(claim_object_t *object, uint64_t version, usec_t now)
{
	document_t *next_document = object->next_document;

	object->next_document = NULL;
	object->version = version;
	object->write_in_doubt = false;
	claim_object_set_document(object, next_document);
	reset_retry_delay(object);
	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_CLAIMING)
			claim_attempt_confirm(attempt, now);
		else if (attempt->in_doubt)
			resolve_claim(attempt, true, now);
		else if (attempt->storing_outcome)
			claim_attempt_finish(attempt);
	}
}

/* Neither a lost reply nor a conflict tells whether the write was applied: the
 * HTTP client may have retried it after an earlier copy was applied. Only a
 * read can tell. */
static void
handle_write_in_doubt(claim_object_t *object)
{
	object->write_in_doubt = true;
	object->in_doubt_version = object->version;
	claim_object_set_document(object, NULL);
	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_CLAIMING)
			attempt->in_doubt = true;
		attempt->storing_outcome = false;
	}
}

static void
handle_write_refused(claim_object_t *object, usec_t now)
{
	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		attempt->storing_outcome = false;
		if (attempt->phase != PHASE_CLAIMING)
			continue;
		attempt->phase = PHASE_WAITING;
		if (attempt->abandoned && !attempt->in_doubt)
			attempt->phase = PHASE_ENDED;
	}
	abandon_waiting_attempts(object, BW_E_PLATFORM_DOWN);
	schedule_retry(object, now);
}

void
claim_object_write_done(claim_object_t *object, claim_io_result_t result,
    uint64_t version, usec_t now)
{
	if (object->io != IO_WRITING)
		return;
	object->io = IO_NONE;
	if (result == CLAIM_IO_OK && version > object->version) {
		handle_write_applied(object, version, now);
		return;
	}
	claim_document_destroy(object->next_document);
	object->next_document = NULL;
	if (result == CLAIM_IO_REFUSED) {
		handle_write_refused(object, now);
		return;
	}
	event_log(result == CLAIM_IO_CONFLICT ? EVENT_CLAIM_CONFLICT
					      : EVENT_CLAIM_READ_BACK,
	    "object=%s version=%llu next=read", object->name,
	    (unsigned long long)object->version);
	handle_write_in_doubt(object);
}
