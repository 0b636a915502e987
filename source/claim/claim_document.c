/* The content of a claim object, in memory and as JSON text. */
#include "claim_document.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/contract.h"
#include "claim_document_codec.h"

#define MAX_REPEAT_WINDOW_S ((int64_t)CONTRACT_MAX_REPEAT_WINDOW_H * 3600)
/* Upper bound of the text around the two lists, including the name. */
#define DOCUMENT_OVERHEAD_BYTES 256

struct document {
	char name[2 * NAME_SIZE];
	GHashTable *entries; /* id -> entry_t */
	/* Customer -> int64_t: Unix time of the newest key removed. */
	GHashTable *removed;
	size_t size; /* of all entries */
};

char *
claim_document_entry_id(const char *customer, const char *key)
{
	return g_strdup_printf("%s/%s", customer, key);
}

static entry_t *
entry_create(const entry_spec_t *spec)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->references = 1;
	entry->spec = *spec;
	body_ref(entry->spec.body);
	entry->id = claim_document_entry_id(spec->customer, spec->key);
	claim_parse_key(spec->key, &entry->key_time);
	entry->text = claim_document_serialize_entry(spec);
	entry->size = strlen(entry->text) + 1;
	return entry;
}

static void
entry_unref(gpointer context)
{
	entry_t *entry = context;

	if (--entry->references > 0)
		return;
	body_unref(entry->spec.body);
	g_free(entry->id);
	free(entry->text);
	g_free(entry);
}

document_t *
claim_document_create(const char *name)
{
	document_t *document = g_new0(document_t, 1);

	g_strlcpy(document->name, name, sizeof(document->name));
	document->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_unref);
	document->removed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return document;
}

void
claim_document_destroy(document_t *document)
{
	if (document == NULL)
		return;
	g_hash_table_destroy(document->entries);
	g_hash_table_destroy(document->removed);
	g_free(document);
}

static void
set_removed_until(document_t *document, const char *customer, int64_t until)
{
	int64_t *stored = g_new(int64_t, 1);

	*stored = until;
	g_hash_table_replace(document->removed, g_strdup(customer), stored);
}

document_t *
claim_document_copy(const document_t *document)
{
	document_t *copy = claim_document_create(document->name);
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, document->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		((entry_t *)value)->references++;
		g_hash_table_insert(copy->entries, key, value);
	}
	g_hash_table_iter_init(&iter, document->removed);
	while (g_hash_table_iter_next(&iter, &key, &value))
		set_removed_until(copy, key, *(int64_t *)value);
	copy->size = document->size;
	return copy;
}

const entry_t *
claim_document_find(const document_t *document, const char *id)
{
	return g_hash_table_lookup(document->entries, id);
}

void
claim_document_put(document_t *document, const entry_spec_t *spec)
{
	entry_t *entry = entry_create(spec);
	const entry_t *old = claim_document_find(document, entry->id);

	if (old != NULL)
		document->size -= old->size;
	document->size += entry->size;
	g_hash_table_replace(document->entries, entry->id, entry);
}

size_t
claim_document_entry_size(const entry_spec_t *spec)
{
	char *text = claim_document_serialize_entry(spec);
	size_t size = strlen(text) + 1;

	free(text);
	return size;
}

size_t
claim_document_size(const document_t *document)
{
	/* 48 bytes hold the field names, punctuation and time of an item. */
	return document->size + DOCUMENT_OVERHEAD_BYTES +
	    g_hash_table_size(document->removed) * (NAME_SIZE + 48);
}

static bool
parse_entries(document_t *document, const json_t *claims)
{
	json_t *claim;
	size_t i;

	if (!json_is_array(claims))
		return false;
	json_array_foreach (claims, i, claim) {
		entry_spec_t spec = {0};
		bool valid = claim_document_parse_entry(claim, &spec);
		char *id = claim_document_entry_id(spec.customer, spec.key);

		valid = valid && claim_document_find(document, id) == NULL;
		if (valid)
			claim_document_put(document, &spec);
		body_unref(spec.body);
		g_free(id);
		if (!valid)
			return false;
	}
	return true;
}

static bool
parse_removed(document_t *document, const json_t *removed)
{
	json_t *item;
	size_t i;

	if (!json_is_array(removed))
		return false;
	json_array_foreach (removed, i, item) {
		const json_t *until = json_object_get(item, "until");
		const char *text =
		    json_string_value(json_object_get(item, "customer"));
		name_t customer;

		if (json_object_size(item) != 2 || text == NULL ||
		    name_set(customer, text) != 0 || !json_is_integer(until) ||
		    g_hash_table_contains(document->removed, customer))
			return false;
		set_removed_until(
		    document, customer, json_integer_value(until));
	}
	return true;
}

document_t *
claim_document_parse(const char *name, slice_t text)
{
	document_t *document = claim_document_create(name);
	json_t *json =
	    json_loadb(text.data, text.size, JSON_REJECT_DUPLICATES, NULL);
	const char *bucket = json_string_value(json_object_get(json, "bucket"));
	bool valid = json_object_size(json) == 3 && bucket != NULL &&
	    strcmp(bucket, name) == 0 &&
	    parse_entries(document, json_object_get(json, "claims")) &&
	    parse_removed(document, json_object_get(json, "removed"));

	json_decref(json);
	if (valid)
		return document;
	claim_document_destroy(document);
	return NULL;
}

char *
claim_document_serialize(const document_t *document)
{
	GString *text = g_string_sized_new(claim_document_size(document));
	const char *separator = "";
	GHashTableIter iter;
	gpointer key, value;

	g_string_append_printf(
	    text, "{\"bucket\":\"%s\",\"claims\":[", document->name);
	g_hash_table_iter_init(&iter, document->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		g_string_append(text, separator);
		g_string_append(text, ((entry_t *)value)->text);
		separator = ",";
	}
	g_string_append(text, "],\"removed\":[");
	separator = "";
	g_hash_table_iter_init(&iter, document->removed);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		g_string_append_printf(text,
		    "%s{\"customer\":\"%s\",\"until\":%lld}", separator,
		    (char *)key, (long long)*(int64_t *)value);
		separator = ",";
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

int64_t
claim_document_removed_until(const document_t *document, const char *customer)
{
	const int64_t *until = g_hash_table_lookup(document->removed, customer);

	return until != NULL ? *until : -1;
}

static void
prune_removed(document_t *document, int64_t wall_seconds)
{
	GHashTableIter iter;
	gpointer until;

	/* A customer's record is dropped once its newest key is expired even
	 * under the longest repeat window. */
	g_hash_table_iter_init(&iter, document->removed);
	while (g_hash_table_iter_next(&iter, NULL, &until))
		if (*(int64_t *)until + MAX_REPEAT_WINDOW_S +
			CLAIM_MAX_CLOCK_SKEW_S <
		    wall_seconds)
			g_hash_table_iter_remove(&iter);
}

void
claim_document_remove_expired(document_t *document,
    repeat_window_lookup_t lookup_window, void *context, int64_t wall_seconds)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, document->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_t *entry = value;
		const char *customer = entry->spec.customer;
		int64_t window_s = lookup_window(context, customer);

		if (window_s < 0 || window_s > MAX_REPEAT_WINDOW_S)
			window_s = MAX_REPEAT_WINDOW_S;
		if (entry->key_time + window_s + CLAIM_MAX_CLOCK_SKEW_S >=
		    wall_seconds)
			continue;
		if (entry->key_time >
		    claim_document_removed_until(document, customer))
			set_removed_until(document, customer, entry->key_time);
		document->size -= entry->size;
		g_hash_table_iter_remove(&iter);
	}
	prune_removed(document, wall_seconds);
}
