#ifndef BULRUSHWELL_TABLE_H
#define BULRUSHWELL_TABLE_H

#include <stddef.h>
#include <stdint.h>

/**
 * typedef handle_t - An index and a generation. A handle to a removed element
 * never resolves again, even when its place is reused.
 */
typedef uint64_t handle_t;

#define HANDLE_NONE ((handle_t)0)

typedef struct table table_t;

/**
 * table_create() - A bounded table of elements of one size.
 * @element_size: bytes of an element
 * @capacity: the most elements that the table holds
 *
 * Pointers into the table stay valid until the element is removed.
 */
table_t *table_create(size_t element_size, uint32_t capacity);

void table_destroy(table_t *table);

/**
 * table_insert() - Adds a zeroed element.
 *
 * Return: its handle, or HANDLE_NONE when the table is full.
 */
handle_t table_insert(table_t *table, void **element);

/** table_get() - The element of a live handle, or NULL. */
void *table_get(const table_t *table, handle_t handle);

/** table_remove() - Removes an element; a stale handle does nothing. */
void table_remove(table_t *table, handle_t handle);

/** table_count() - The number of live elements. */
uint32_t table_count(const table_t *table);

/**
 * table_next() - The live handle after @handle, in no set order.
 * @handle: HANDLE_NONE to begin
 *
 * Return: HANDLE_NONE at the end. Elements may be removed while iterating.
 */
handle_t table_next(const table_t *table, handle_t handle);

#endif
