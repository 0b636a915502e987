#ifndef BULRUSHWELL_BUFFER_H
#define BULRUSHWELL_BUFFER_H

#include <stddef.h>

/**
 * DOC: Growable byte buffer
 *
 * A zeroed buffer_t is empty and valid. The bytes are not NUL-terminated, and
 * appending may move them.
 */

typedef struct {
	char *data;
	size_t size;
	size_t capacity;
} buffer_t;

/** buffer_free() - Releases the memory and leaves an empty buffer. */
void buffer_free(buffer_t *buffer);

/**
 * buffer_clear() - Empties the buffer. Its memory is kept for reuse unless it
 * is larger than 16 KiB.
 */
void buffer_clear(buffer_t *buffer);

/** buffer_append() - Adds bytes at the end. */
void buffer_append(buffer_t *buffer, const void *data, size_t size);

/** buffer_append_text() - Adds a string without its final NUL. */
void buffer_append_text(buffer_t *buffer, const char *text);

/** buffer_append_number() - Adds a number in decimal digits. */
void buffer_append_number(buffer_t *buffer, unsigned long long number);

/** buffer_consume() - Removes bytes from the front, at most all of them. */
void buffer_consume(buffer_t *buffer, size_t size);

#endif
