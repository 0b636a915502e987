#ifndef ROUTING_HEAP_H
#define ROUTING_HEAP_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Intrusive binary heap, the smallest key first
 *
 * Nodes are members of other structures and hold their position, so that any of
 * them is removed in O(log n). A zeroed heap is empty.
 */
typedef struct {
	int64_t key;
	uint32_t position; /* index + 1; 0: in no heap */
} heap_node_t;

typedef struct {
	heap_node_t **nodes;
	uint32_t count;
	uint32_t capacity;
} heap_t;

/** HEAP_ENTRY() - The structure of which a node is a member. */
#define HEAP_ENTRY(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

/** heap_push() - Adds a node that is in no heap. */
void heap_push(heap_t *heap, heap_node_t *node, int64_t key);

/** heap_top() - The node with the smallest key, or NULL. */
heap_node_t *heap_top(const heap_t *heap);

/** heap_remove() - Removes a node; does nothing for a node in no heap. */
void heap_remove(heap_t *heap, heap_node_t *node);

/** heap_clear() - Frees the memory of an empty heap. */
void heap_clear(heap_t *heap);

#endif
