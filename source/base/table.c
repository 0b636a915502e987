#include "bulrushwell/table.h"

#include <glib.h>
#include <string.h>

#define CHUNK_ELEMENTS 64 /* elements allocated together; they never move */

typedef struct {
	uint32_t generation; /* odd while in use */
	uint32_t next_free;
} slot_t;

struct table {
	size_t element_size;
	uint32_t capacity;
	uint32_t high_water;		/* slots that have ever been in use */
	uint32_t count;			/* elements in use */
	uint32_t first_free;		/* index + 1, or 0 */
	void (*release)(void *element); /* NULL: elements own nothing */
	slot_t *slots;
	char **chunks;
};

static uint32_t
handle_index(handle_t handle)
{
	return (uint32_t)handle;
}

static uint32_t
handle_generation(handle_t handle)
{
	return (uint32_t)(handle >> 32);
}

static handle_t
make_handle(uint32_t index, uint32_t generation)
{
	return (handle_t)generation << 32 | index;
}

static void *
element_at(const table_t *table, uint32_t index)
{
	return table->chunks[index / CHUNK_ELEMENTS] +
	    (size_t)(index % CHUNK_ELEMENTS) * table->element_size;
}

table_t *
table_create(size_t element_size, uint32_t capacity)
{
	table_t *table = g_new0(table_t, 1);

	table->element_size = element_size;
	table->capacity = capacity;
	table->slots = g_new0(slot_t, capacity);
	table->chunks = g_new0(char *, capacity / CHUNK_ELEMENTS + 1);
	return table;
}

void
table_set_release(table_t *table, void (*release)(void *element))
{
	table->release = release;
}

static void
release_elements(table_t *table)
{
	handle_t handle = HANDLE_NONE;

	if (table->release == NULL)
		return;
	while ((handle = table_next(table, handle)) != HANDLE_NONE)
		table->release(table_get(table, handle));
}

void
table_destroy(table_t *table)
{
	if (table == NULL)
		return;
	release_elements(table);
	for (uint32_t i = 0; i < table->capacity / CHUNK_ELEMENTS + 1; i++)
		g_free(table->chunks[i]);
	g_free(table->chunks);
	g_free(table->slots);
	g_free(table);
}

handle_t
table_insert(table_t *table, void **element)
{
	uint32_t index;

	if (table->first_free != 0) {
		index = table->first_free - 1;
		table->first_free = table->slots[index].next_free;
	} else if (table->high_water < table->capacity) {
		index = table->high_water++;
		if (table->chunks[index / CHUNK_ELEMENTS] == NULL)
			table->chunks[index / CHUNK_ELEMENTS] =
			    g_malloc0(CHUNK_ELEMENTS * table->element_size);
	} else {
		return HANDLE_NONE;
	}
	table->slots[index].generation++;
	table->count++;
	*element = element_at(table, index);
	memset(*element, 0, table->element_size);
	return make_handle(index, table->slots[index].generation);
}

void *
table_get(const table_t *table, handle_t handle)
{
	uint32_t index = handle_index(handle);
	uint32_t generation = handle_generation(handle);

	if (index >= table->high_water || (generation & 1) == 0 ||
	    table->slots[index].generation != generation)
		return NULL;
	return element_at(table, index);
}

void
table_remove(table_t *table, handle_t handle)
{
	uint32_t index = handle_index(handle);
	void *element = table_get(table, handle);

	if (element == NULL)
		return;
	if (table->release != NULL)
		table->release(element);
	table->slots[index].generation++;
	table->slots[index].next_free = table->first_free;
	table->first_free = index + 1;
	table->count--;
}

uint32_t
table_count(const table_t *table)
{
	return table->count;
}

handle_t
table_next(const table_t *table, handle_t handle)
{
	uint32_t index = handle == HANDLE_NONE ? 0 : handle_index(handle) + 1;

	for (; index < table->high_water; index++)
		if (table->slots[index].generation & 1)
			return make_handle(
			    index, table->slots[index].generation);
	return HANDLE_NONE;
}
