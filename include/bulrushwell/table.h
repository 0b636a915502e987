#ifndef BULRUSHWELL_TABLE_H
#define BULRUSHWELL_TABLE_H

#include <stddef.h>
#include <stdint.h>

/**
 * typedef handle_t - The index of an element's slot and the slot's generation,
 * which changes with each insertion and removal. The handle of a removed
 * element stays invalid even when its slot is reused.
 */
typedef uint64_t handle_t;

#define HANDLE_NONE ((handle_t)0)

typedef struct table table_t;

/**
 * table_create() - Creates a bounded table of elements of one size.
 * @element_size: bytes of an element
 * @capacity: maximum number of elements
 *
 * A pointer to an element stays valid until the element is removed.
 */
table_t *table_create(size_t element_size, uint32_t capacity);

/**
 * table_set_release() - Sets the function that frees what an element owns. It
 * is called for each element that is removed or left when the table is
 * destroyed.
 */
void table_set_release(table_t *table, void (*release)(void *element));

/** table_destroy() - Frees the table and its elements; NULL is allowed. */
void table_destroy(table_t *table);

/**
 * table_insert() - Adds a zeroed element.
 * @element: set to the element
 *
 * Return: its handle, or HANDLE_NONE when the table is full.
 */
handle_t table_insert(table_t *table, void **element);

/** table_get() - The element, or NULL when it has been removed. */
void *table_get(const table_t *table, handle_t handle);

/** table_remove() - Removes an element; does nothing for a stale handle. */
void table_remove(table_t *table, handle_t handle);

/** table_count() - The number of elements. */
uint32_t table_count(const table_t *table);

/**
 * table_next() - Iterates over the elements in no particular order.
 * @handle: that of the previous element, or HANDLE_NONE to begin
 *
 * Return: the next handle, or HANDLE_NONE at the end. Elements may be removed
 * while iterating.
 */
handle_t table_next(const table_t *table, handle_t handle);

#endif
