#include "bulrushwell/catalogue.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "catalogue_parse.h"

/* An index object. Only the map of the current version is kept, with a digest
 * for each listed version: 16 maps of 4,096 shards for each index would exceed
 * the memory that a node may use for control data. */
typedef struct {
	name_t index;
	uint64_t object_version;
	parsed_index_t parsed;
} index_entry_t;

/* Both arrays are sorted by name; an element begins with its name. */
struct catalogue {
	GPtrArray *services; /* service_t */
	GPtrArray *indexes;  /* index_entry_t */
};

static void
free_index(void *data)
{
	index_entry_t *entry = data;

	shard_map_unref(entry->parsed.current);
	g_free(entry);
}

catalogue_t *
catalogue_create(void)
{
	catalogue_t *catalogue = g_new0(catalogue_t, 1);

	catalogue->services = g_ptr_array_new_with_free_func(g_free);
	catalogue->indexes = g_ptr_array_new_with_free_func(free_index);
	return catalogue;
}

void
catalogue_destroy(catalogue_t *catalogue)
{
	if (catalogue == NULL)
		return;
	g_ptr_array_free(catalogue->services, TRUE);
	g_ptr_array_free(catalogue->indexes, TRUE);
	g_free(catalogue);
}

/* Binary search. Sets @position to where @name is or is to be inserted. */
static bool
find_position(const GPtrArray *array, const char *name, guint *position)
{
	guint low = 0, high = array->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		int order = strcmp(g_ptr_array_index(array, middle), name);

		if (order == 0) {
			*position = middle;
			return true;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	*position = low;
	return false;
}

static int
check_object(const char *name, uint64_t version, const error_message_t *message)
{
	name_t checked;

	if (name_set(checked, name) != 0)
		return error_message_set(message,
		    "the object's name is not valid; use lower-case letters, "
		    "digits, '-', '_' or '.'");
	if (version == 0)
		return error_message_set(
		    message, "the object's version is 0; versions begin at 1");
	return 0;
}

static int
check_capacity(
    const GPtrArray *array, guint max, const error_message_t *message)
{
	if (array->len < max)
		return 0;
	error_message_set(message,
	    "the node already stores %u objects of this kind, the maximum; "
	    "remove unused ones",
	    max);
	return BW_E_FULL;
}

int
catalogue_adopt_service(catalogue_t *catalogue, const char *name, slice_t text,
    uint64_t version, char *message, size_t message_size)
{
	const error_message_t error_message = {message, message_size};
	service_t *service;
	bool known;
	guint position;
	int error = check_object(name, version, &error_message);

	if (error != 0)
		return error;
	known = find_position(catalogue->services, name, &position);
	if (known) {
		service = g_ptr_array_index(catalogue->services, position);
		if (version <= service->version)
			return BW_E_STALE;
	}
	error = catalogue_parse_service(
	    name, text, version, &service, &error_message);
	if (error != 0)
		return error;
	if (known) {
		g_free(g_ptr_array_index(catalogue->services, position));
		g_ptr_array_index(catalogue->services, position) = service;
		return 0;
	}
	error = check_capacity(
	    catalogue->services, CATALOGUE_MAX_SERVICES, &error_message);
	if (error != 0)
		g_free(service);
	else
		g_ptr_array_insert(
		    catalogue->services, (gint)position, service);
	return error;
}

static const published_version_t *
find_version(const parsed_index_t *parsed, uint64_t version)
{
	for (uint32_t i = 0; i < parsed->version_count; i++)
		if (parsed->versions[i].version == version)
			return &parsed->versions[i];
	return NULL;
}

/* Refuses an object in which the shards of a listed version have changed.
 * A running query relies on the map that its version had when it began. */
static int
check_immutable(const parsed_index_t *old, const parsed_index_t *updated,
    const error_message_t *message)
{
	for (uint32_t i = 0; i < updated->version_count; i++) {
		const published_version_t *after = &updated->versions[i];
		const published_version_t *before =
		    find_version(old, after->version);

		if (before != NULL && before->digest != after->digest)
			return error_message_set(message,
			    "index.versions[%u].shards changed although "
			    "version %" PRIu64
			    " was published before; publish a new version",
			    i, after->version);
	}
	return 0;
}

/* Stores a newer object. When its current version is the same, the existing map
 * stays in use. */
static void
replace_index(
    index_entry_t *entry, const parsed_index_t *parsed, uint64_t version)
{
	shard_map_t *current = entry->parsed.current;

	if (shard_map_version(current) == shard_map_version(parsed->current)) {
		shard_map_unref(parsed->current);
	} else {
		shard_map_unref(current);
		current = parsed->current;
	}
	entry->parsed = *parsed;
	entry->parsed.current = current;
	entry->object_version = version;
}

static index_entry_t *
create_index(const char *name, const parsed_index_t *parsed, uint64_t version)
{
	index_entry_t *entry = g_new0(index_entry_t, 1);

	g_strlcpy(entry->index, name, sizeof(entry->index));
	entry->object_version = version;
	entry->parsed = *parsed;
	return entry;
}

int
catalogue_adopt_index(catalogue_t *catalogue, const char *name, slice_t text,
    uint64_t version, char *message, size_t message_size)
{
	const error_message_t error_message = {message, message_size};
	index_entry_t *entry = NULL;
	parsed_index_t parsed;
	guint position;
	int error = check_object(name, version, &error_message);

	if (error != 0)
		return error;
	if (find_position(catalogue->indexes, name, &position))
		entry = g_ptr_array_index(catalogue->indexes, position);
	if (entry != NULL && version <= entry->object_version)
		return BW_E_STALE;
	error = catalogue_parse_index(name, text, &parsed, &error_message);
	if (error != 0)
		return error;
	if (entry != NULL)
		error =
		    check_immutable(&entry->parsed, &parsed, &error_message);
	else
		error = check_capacity(
		    catalogue->indexes, CATALOGUE_MAX_INDEXES, &error_message);
	if (error != 0)
		shard_map_unref(parsed.current);
	else if (entry != NULL)
		replace_index(entry, &parsed, version);
	else
		g_ptr_array_insert(catalogue->indexes, (gint)position,
		    create_index(name, &parsed, version));
	return error;
}

const service_t *
catalogue_find_service(const catalogue_t *catalogue, const char *name)
{
	guint position;

	if (!find_position(catalogue->services, name, &position))
		return NULL;
	return g_ptr_array_index(catalogue->services, position);
}

shard_map_t *
catalogue_current_map(const catalogue_t *catalogue, const char *index)
{
	const index_entry_t *entry;
	guint position;

	if (!find_position(catalogue->indexes, index, &position))
		return NULL;
	entry = g_ptr_array_index(catalogue->indexes, position);
	return entry->parsed.current;
}

size_t
catalogue_service_count(const catalogue_t *catalogue)
{
	return catalogue->services->len;
}

const service_t *
catalogue_service_at(const catalogue_t *catalogue, size_t position)
{
	if (position >= catalogue->services->len)
		return NULL;
	return g_ptr_array_index(catalogue->services, position);
}

size_t
catalogue_index_count(const catalogue_t *catalogue)
{
	return catalogue->indexes->len;
}

const char *
catalogue_index_at(const catalogue_t *catalogue, size_t position)
{
	const index_entry_t *entry;

	if (position >= catalogue->indexes->len)
		return NULL;
	entry = g_ptr_array_index(catalogue->indexes, position);
	return entry->index;
}
