#ifndef BULRUSHWELL_RESPONSE_MEMORY_H
#define BULRUSHWELL_RESPONSE_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Memory of the process for bodies of responses that arrive
 *
 * Servers may send without end, many at once. All bodies together are limited
 * to a part of the VM's memory, and one may grow only while it is not larger
 * than what is left for the others. However many long bodies there are, a
 * short one therefore still fits. To be used in one thread.
 */

/**
 * response_memory_take() - Reserves memory for the next bytes of a body.
 * @held: bytes reserved for this body, 0 at first; raised by @bytes
 *
 * Return: false, with @held unchanged, when the body is too large.
 */
bool response_memory_take(size_t *held, size_t bytes);

/** response_memory_release() - Returns all of @held, and sets it to 0. */
void response_memory_release(size_t *held);

/** response_memory_limit() - The limit of all bodies together, in bytes. */
size_t response_memory_limit(void);

#endif
