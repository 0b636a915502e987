#include "heap.h"

#include <glib.h>

#define HEAP_INITIAL_CAPACITY 16

static void
set_node(heap_t *heap, uint32_t index, heap_node_t *node)
{
	heap->nodes[index] = node;
	node->position = index + 1;
}

static void
sift_up(heap_t *heap, uint32_t index, heap_node_t *node)
{
	while (index > 0) {
		uint32_t parent = (index - 1) / 2;

		if (heap->nodes[parent]->key <= node->key)
			break;
		set_node(heap, index, heap->nodes[parent]);
		index = parent;
	}
	set_node(heap, index, node);
}

static void
sift_down(heap_t *heap, uint32_t index, heap_node_t *node)
{
	for (;;) {
		uint32_t child = 2 * index + 1;

		if (child >= heap->count)
			break;
		if (child + 1 < heap->count &&
		    heap->nodes[child + 1]->key < heap->nodes[child]->key)
			child++;
		if (node->key <= heap->nodes[child]->key)
			break;
		set_node(heap, index, heap->nodes[child]);
		index = child;
	}
	set_node(heap, index, node);
}

void
heap_push(heap_t *heap, heap_node_t *node, int64_t key)
{
	if (heap->count == heap->capacity) {
		heap->capacity = heap->capacity == 0 ? HEAP_INITIAL_CAPACITY
						     : 2 * heap->capacity;
		heap->nodes =
		    g_renew(heap_node_t *, heap->nodes, heap->capacity);
	}
	node->key = key;
	sift_up(heap, heap->count++, node);
}

heap_node_t *
heap_top(const heap_t *heap)
{
	return heap->count > 0 ? heap->nodes[0] : NULL;
}

void
heap_remove(heap_t *heap, heap_node_t *node)
{
	uint32_t index = node->position - 1;
	heap_node_t *last;

	if (node->position == 0)
		return;
	node->position = 0;
	last = heap->nodes[--heap->count];
	if (last == node)
		return;
	if (index > 0 && heap->nodes[(index - 1) / 2]->key > last->key)
		sift_up(heap, index, last);
	else
		sift_down(heap, index, last);
}

void
heap_clear(heap_t *heap)
{
	g_free(heap->nodes);
	*heap = (heap_t){0};
}
