/* Results of the reads and writes of one claim object. */
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "claim_attempt.h"

#define RETRY_FIRST MS(50)
#define RETRY_MAX MS(1000)
#define RETRY_DOUBLINGS 5

object_t *
claim_object_find(claim_table_t *table, const char *name)
{
	return g_hash_table_lookup(table->objects, name);
}

object_t *
claim_object_create(claim_table_t *table, const char *name)
{
	object_t *object = g_new0(object_t, 1);

	object->table = table;
	g_strlcpy(object->name, name, sizeof(object->name));
	object->attempts = g_ptr_array_new();
	object->active = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(table->objects, object->name, object);
	return object;
}

void
claim_object_destroy(gpointer context)
{
	object_t *object = context;

	for (guint i = 0; i < object->attempts->len; i++)
		claim_attempt_destroy(object->attempts->pdata[i]);
	g_ptr_array_free(object->attempts, TRUE);
	g_hash_table_destroy(object->active);
	claim_document_destroy(object->document);
	claim_document_destroy(object->next);
	g_free(object);
}

void
claim_object_set_document(object_t *object, document_t *document)
{
	size_t *cached = &object->table->cached;

	if (object->document != NULL && object->document != document) {
		*cached -= claim_document_size(object->document);
		claim_document_destroy(object->document);
	}
	if (document != NULL)
		*cached += claim_document_size(document);
	object->document = document;
}

static void
back_off(object_t *object, usec_t now)
{
	uint32_t doublings = MIN(object->failures, RETRY_DOUBLINGS);

	object->failures++;
	object->retry_at = now + MIN(RETRY_FIRST << doublings, RETRY_MAX);
}

static void
note_success(object_t *object)
{
	object->failures = 0;
	object->retry_at = 0;
}

/* Ends the attempts whose claims certainly are in no write. */
static void
conclude_waiting(object_t *object, int error)
{
	const answer_t answer = {.error = error};

	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_WAITING && !attempt->in_doubt)
			claim_attempt_conclude(attempt, &answer);
	}
}

/* What the stored content says about an attempt whose claim was written. */
static void
settle_claim(attempt_t *attempt, bool settled, usec_t now)
{
	const entry_t *entry =
	    claim_document_find(attempt->object->document, attempt->id);

	if (entry != NULL && id128_equal(entry->spec.token, attempt->token)) {
		claim_attempt_confirm(attempt, now);
		return;
	}
	attempt->phase = PHASE_WAITING;
	if (!settled)
		return;
	attempt->in_doubt = false;
	if (attempt->abandoned)
		attempt->phase = PHASE_ENDED;
}

static void
settle_outcome(attempt_t *attempt)
{
	const entry_t *entry =
	    claim_document_find(attempt->object->document, attempt->id);

	attempt->storing = false;
	if (entry == NULL || !id128_equal(entry->spec.token, attempt->token) ||
	    entry->spec.state != ENTRY_CLAIMED)
		claim_attempt_finish(attempt);
}

static void
settle_read(object_t *object, usec_t now)
{
	bool settled =
	    !object->doubt || object->version != object->doubt_version;

	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_CLAIMING || attempt->in_doubt)
			settle_claim(attempt, settled, now);
		else if (attempt->phase == PHASE_OUTCOME)
			settle_outcome(attempt);
	}
	if (settled) {
		object->doubt = false;
		note_success(object);
	} else {
		back_off(object, now);
	}
}

/* The content that was read, or NULL for a malformed one. */
static document_t *
read_content(
    const object_t *object, claim_io_t result, uint64_t version, slice_t text)
{
	if (result == CLAIM_IO_ABSENT)
		return claim_document_create(object->name);
	return version > 0 ? claim_document_parse(object->name, text) : NULL;
}

static void
note_malformed(object_t *object, usec_t now)
{
	event_log(EVENT_PLATFORM_BAD_REPLY, "claim object %s is malformed",
	    object->name);
	claim_object_set_document(object, NULL);
	conclude_waiting(object, BW_E_PROTOCOL);
	back_off(object, now);
}

void
claim_object_read_done(object_t *object, claim_io_t result, uint64_t version,
    slice_t text, usec_t now)
{
	bool answered = result == CLAIM_IO_OK || result == CLAIM_IO_ABSENT;
	document_t *document;

	if (object->io != IO_READING)
		return;
	object->io = IO_NONE;
	if (result == CLAIM_IO_ABSENT)
		version = 0;
	/* An answer that is older than what is known is no answer. */
	if (!answered || version < object->version) {
		conclude_waiting(object, BW_E_PLATFORM_DOWN);
		back_off(object, now);
		return;
	}
	document = read_content(object, result, version, text);
	if (document == NULL) {
		note_malformed(object, now);
		return;
	}
	object->reads++;
	object->version = version;
	claim_object_set_document(object, document);
	settle_read(object, now);
}

static void
write_applied(object_t *object, uint64_t version, usec_t now)
{
	document_t *next = object->next;

	object->next = NULL;
	object->version = version;
	object->doubt = false;
	claim_object_set_document(object, next);
	note_success(object);
	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_CLAIMING)
			claim_attempt_confirm(attempt, now);
		else if (attempt->in_doubt)
			settle_claim(attempt, true, now);
		else if (attempt->storing)
			claim_attempt_finish(attempt);
	}
}

/* Neither a lost answer nor a conflict says whether an earlier copy of the
 * write took effect (the HTTP client may have repeated it): a read tells. */
static void
write_in_doubt(object_t *object)
{
	object->doubt = true;
	object->doubt_version = object->version;
	claim_object_set_document(object, NULL);
	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_CLAIMING)
			attempt->in_doubt = true;
		attempt->storing = false;
	}
}

static void
write_refused(object_t *object, usec_t now)
{
	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		attempt->storing = false;
		if (attempt->phase != PHASE_CLAIMING)
			continue;
		attempt->phase = PHASE_WAITING;
		if (attempt->abandoned && !attempt->in_doubt)
			attempt->phase = PHASE_ENDED;
	}
	conclude_waiting(object, BW_E_PLATFORM_DOWN);
	back_off(object, now);
}

void
claim_object_write_done(
    object_t *object, claim_io_t result, uint64_t version, usec_t now)
{
	if (object->io != IO_WRITING)
		return;
	object->io = IO_NONE;
	if (result == CLAIM_IO_OK && version > object->version) {
		write_applied(object, version, now);
		return;
	}
	claim_document_destroy(object->next);
	object->next = NULL;
	if (result == CLAIM_IO_REFUSED) {
		write_refused(object, now);
		return;
	}
	event_log(result == CLAIM_IO_CONFLICT ? EVENT_CLAIM_CONFLICT
					      : EVENT_CLAIM_READ_BACK,
	    "claim object %s, version %llu", object->name,
	    (unsigned long long)object->version);
	write_in_doubt(object);
}
