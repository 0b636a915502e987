#include "bulrushwell/buffer.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

#define MIN_CAPACITY_BYTES 256
#define MAX_KEPT_CAPACITY_BYTES 16384 /* buffer_clear() frees more */
#define NUMBER_MAX_DIGITS 20

void
buffer_free(buffer_t *buffer)
{
	g_free(buffer->data);
	*buffer = (buffer_t){0};
}

void
buffer_clear(buffer_t *buffer)
{
	if (buffer->capacity > MAX_KEPT_CAPACITY_BYTES)
		buffer_free(buffer);
	buffer->size = 0;
}

static void
grow(buffer_t *buffer, size_t needed)
{
	size_t capacity = MAX(buffer->capacity, MIN_CAPACITY_BYTES);

	while (capacity < needed)
		capacity *= 2;
	buffer->data = g_realloc(buffer->data, capacity);
	buffer->capacity = capacity;
}

void
buffer_append(buffer_t *buffer, const void *data, size_t size)
{
	if (size == 0)
		return;
	if (buffer->size + size > buffer->capacity)
		grow(buffer, buffer->size + size);
	memcpy(buffer->data + buffer->size, data, size);
	buffer->size += size;
}

void
buffer_append_text(buffer_t *buffer, const char *text)
{
	buffer_append(buffer, text, strlen(text));
}

void
buffer_append_number(buffer_t *buffer, unsigned long long number)
{
	char digits[NUMBER_MAX_DIGITS];
	size_t start = sizeof(digits);

	do {
		digits[--start] = (char)('0' + number % 10);
		number /= 10;
	} while (number != 0);
	buffer_append(buffer, digits + start, sizeof(digits) - start);
}

void
buffer_consume(buffer_t *buffer, size_t size)
{
	if (size >= buffer->size) {
		buffer_clear(buffer);
		return;
	}
	memmove(buffer->data, buffer->data + size, buffer->size - size);
	buffer->size -= size;
}
