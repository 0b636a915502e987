#ifndef SOURCE_CLAIM_CLAIM_DOCUMENT_H
#define SOURCE_CLAIM_CLAIM_DOCUMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/body.h"
#include "bulrushwell/claim.h"
#include "bulrushwell/id.h"
#include "bulrushwell/name.h"
#include "bulrushwell/slice.h"

/**
 * DOC: The content of one claim object
 *
 * Entries are immutable and shared between copies, so that the stored content
 * and the content of a write in flight exist side by side.
 */
typedef enum {
	ENTRY_CLAIMED,
	ENTRY_DONE,
	ENTRY_UNKNOWN,
	ENTRY_RELEASED
} entry_state_t;

typedef struct {
	name_t customer;
	char key[CLAIM_MAX_KEY + 1];
	uint64_t digest[2];
	id128_t token;
	entry_state_t state;
	int status;   /* DONE */
	body_t *body; /* DONE: NULL when it could not be stored */
} entry_spec_t;

typedef struct entry {
	size_t references;
	entry_spec_t spec;
	char *id; /* CUSTOMER/KEY */
	int64_t key_time;
	char *text; /* JSON */
	size_t size;
} entry_t;

typedef struct document document_t;

/** claim_document_entry_id() - The id of a customer's key; the caller frees it.
 */
char *claim_document_entry_id(const char *customer, const char *key);

document_t *claim_document_create(const char *name);
document_t *claim_document_copy(const document_t *document);
void claim_document_destroy(document_t *document);

/** claim_document_parse() - NULL for a text that is not strictly valid. */
document_t *claim_document_parse(const char *name, slice_t text);

/** claim_document_print() - JSON text; the caller frees it with g_free(). */
char *claim_document_print(const document_t *document);

/** claim_document_size() - Bytes of the printed text, at most. */
size_t claim_document_size(const document_t *document);

const entry_t *claim_document_find(const document_t *document, const char *id);

/** claim_document_can_store() - Whether a body is short enough and text. */
bool claim_document_can_store(slice_t body);

/** claim_document_put() - Adds or replaces an entry; keeps a body reference. */
void claim_document_put(document_t *document, const entry_spec_t *spec);

/** claim_document_entry_size() - Bytes that claim_document_put() would add. */
size_t claim_document_entry_size(const entry_spec_t *spec);

/** typedef document_window_t - A customer's repeat window in seconds. */
typedef int64_t (*document_window_t)(void *context, const char *customer);

/**
 * claim_document_remove_expired() - Removes entries whose keys are past the
 * window plus CLAIM_FUTURE_S, and records the time of the newest one removed.
 */
void claim_document_remove_expired(document_t *document,
    document_window_t window, void *context, int64_t wall_seconds);

/**
 * claim_document_removed_until() - A key of this time or older, of this
 * customer and without an entry, may have run; -1 when none was removed.
 *
 * Without it a longer repeat window in a later contract version would make
 * keys valid again whose entries are gone.
 */
int64_t claim_document_removed_until(
    const document_t *document, const char *customer);

#endif
