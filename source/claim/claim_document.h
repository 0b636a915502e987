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
 * and the content of a write in flight can exist at the same time.
 */

/** typedef entry_state_t - State of an entry; claim.h has the stored names. */
typedef enum {
	ENTRY_CLAIMED,
	ENTRY_DONE,
	ENTRY_UNKNOWN,
	ENTRY_RELEASED
} entry_state_t;

/** typedef entry_spec_t - The stored fields of an entry. */
typedef struct {
	name_t customer;
	char key[CLAIM_MAX_KEY_LENGTH + 1];
	uint64_t digest[2];
	id128_t token;
	entry_state_t state;
	int status;   /* DONE: of HTTP; otherwise 0 */
	body_t *body; /* DONE: NULL when it could not be stored */
} entry_spec_t;

/** typedef entry_t - A reference-counted entry with its JSON text. */
typedef struct entry {
	size_t references;
	entry_spec_t spec;
	char *id;	  /* CUSTOMER/KEY */
	int64_t key_time; /* Unix seconds */
	char *text;
	size_t size; /* of the text and a comma */
} entry_t;

/** typedef document_t - The content of one claim object. */
typedef struct document document_t;

/**
 * claim_document_entry_id() - The id of a customer's key; the caller frees it
 * with g_free().
 */
char *claim_document_entry_id(const char *customer, const char *key);

/** claim_document_create() - Empty content of the object @name. */
document_t *claim_document_create(const char *name);

/** claim_document_copy() - A copy that shares the entries. */
document_t *claim_document_copy(const document_t *document);

/** claim_document_destroy() - NULL is allowed. */
void claim_document_destroy(document_t *document);

/**
 * claim_document_parse() - Parses the text of the object @name strictly.
 *
 * Return: the content, or NULL for unknown, missing or invalid fields.
 */
document_t *claim_document_parse(const char *name, slice_t text);

/** claim_document_serialize() - JSON text, to be freed with g_free(). */
char *claim_document_serialize(const document_t *document);

/** claim_document_size() - Upper bound of the printed text in bytes. */
size_t claim_document_size(const document_t *document);

/** claim_document_find() - The entry with this id, or NULL; borrowed. */
const entry_t *claim_document_find(const document_t *document, const char *id);

/** claim_document_can_store_body() - Whether it is UTF-8 and short enough. */
bool claim_document_can_store_body(slice_t body);

/** claim_document_put() - Adds or replaces an entry; references its body. */
void claim_document_put(document_t *document, const entry_spec_t *spec);

/** claim_document_entry_size() - Bytes that claim_document_put() would add. */
size_t claim_document_entry_size(const entry_spec_t *spec);

/**
 * typedef repeat_window_lookup_t - Looks up a customer's repeat window.
 *
 * Return: seconds, or a negative number if unknown.
 */
typedef int64_t (*repeat_window_lookup_t)(void *context, const char *customer);

/**
 * claim_document_remove_expired() - Removes entries whose keys are older than
 * the customer's repeat window plus CLAIM_MAX_CLOCK_SKEW_S, and records per
 * customer the time of the newest key removed.
 * @lookup_window: the longest window is assumed where it is unknown
 */
void claim_document_remove_expired(document_t *document,
    repeat_window_lookup_t lookup_window, void *context, int64_t wall_seconds);

/**
 * claim_document_removed_until() - The time of the newest key of a customer
 * whose entry was removed, in Unix seconds; -1 for none.
 *
 * A key that is not newer and has no entry may have been executed, and counts
 * as expired. Otherwise a longer repeat window in a later contract version
 * would make keys valid again whose entries were removed.
 */
int64_t claim_document_removed_until(
    const document_t *document, const char *customer);

#endif
