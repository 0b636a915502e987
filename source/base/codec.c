#include "bulrushwell/codec.h"

#include <string.h>

#include "bulrushwell/error.h"

void
writer_init(writer_t *writer)
{
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(
	    &writer->packer, &writer->buffer, msgpack_sbuffer_write);
}

void
writer_free(writer_t *writer)
{
	msgpack_sbuffer_destroy(&writer->buffer);
}

void
writer_array(writer_t *writer, size_t count)
{
	msgpack_pack_array(&writer->packer, count);
}

void
writer_int(writer_t *writer, int64_t value)
{
	msgpack_pack_int64(&writer->packer, value);
}

void
writer_uint(writer_t *writer, uint64_t value)
{
	msgpack_pack_uint64(&writer->packer, value);
}

void
writer_bytes(writer_t *writer, slice_t bytes)
{
	msgpack_pack_bin(&writer->packer, bytes.size);
	msgpack_pack_bin_body(&writer->packer, bytes.data, bytes.size);
}

void
writer_text(writer_t *writer, const char *text)
{
	writer_bytes(writer, slice_from(text));
}

void
writer_id(writer_t *writer, id128_t id)
{
	writer_uint(writer, id.hi);
	writer_uint(writer, id.lo);
}

void
reader_init(reader_t *reader, const msgpack_object *array)
{
	*reader = (reader_t){0};
	if (array->type != MSGPACK_OBJECT_ARRAY) {
		reader->error = BW_E_PROTOCOL;
		return;
	}
	reader->items = array->via.array.ptr;
	reader->count = array->via.array.size;
}

static const msgpack_object *
next_item(reader_t *reader)
{
	if (reader->error != 0)
		return NULL;
	if (reader->next == reader->count) {
		reader->error = BW_E_PROTOCOL;
		return NULL;
	}
	return &reader->items[reader->next++];
}

int64_t
reader_int(reader_t *reader)
{
	const msgpack_object *item = next_item(reader);

	if (item == NULL)
		return 0;
	if (item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return item->via.i64;
	if (item->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    item->via.u64 <= INT64_MAX)
		return (int64_t)item->via.u64;
	reader->error = BW_E_PROTOCOL;
	return 0;
}

uint64_t
reader_uint(reader_t *reader)
{
	const msgpack_object *item = next_item(reader);

	if (item == NULL)
		return 0;
	if (item->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return item->via.u64;
	reader->error = BW_E_PROTOCOL;
	return 0;
}

slice_t
reader_bytes(reader_t *reader)
{
	const msgpack_object *item = next_item(reader);

	if (item != NULL && item->type == MSGPACK_OBJECT_BIN)
		return (slice_t){item->via.bin.ptr, item->via.bin.size};
	if (item != NULL)
		reader->error = BW_E_PROTOCOL;
	return (slice_t){"", 0};
}

id128_t
reader_id(reader_t *reader)
{
	id128_t id;

	id.hi = reader_uint(reader);
	id.lo = reader_uint(reader);
	return id;
}

reader_t
reader_array(reader_t *reader, uint32_t max)
{
	const msgpack_object *item = next_item(reader);
	reader_t nested = {0};

	if (item != NULL)
		reader_init(&nested, item);
	if (item == NULL || nested.error != 0 || nested.count > max) {
		reader->error = BW_E_PROTOCOL;
		return (reader_t){.error = BW_E_PROTOCOL};
	}
	return nested;
}

uint32_t
reader_remaining(const reader_t *reader)
{
	return reader->count - reader->next;
}

int
reader_error(const reader_t *reader)
{
	return reader->error;
}

void
reader_text(reader_t *reader, char *text, size_t size)
{
	slice_t bytes = reader_bytes(reader);

	text[0] = '\0';
	if (reader->error != 0)
		return;
	if (bytes.size >= size || memchr(bytes.data, '\0', bytes.size)) {
		reader->error = BW_E_PROTOCOL;
		return;
	}
	memcpy(text, bytes.data, bytes.size);
	text[bytes.size] = '\0';
}

/* The input that has not been checked yet. */
typedef struct {
	const unsigned char *data;
	size_t size;
} cursor_t;

/* Reads a big-endian number of @width bytes. */
static bool
read_number(cursor_t *cursor, size_t width, uint64_t *number)
{
	if (cursor->size < width)
		return false;
	*number = 0;
	for (size_t i = 0; i < width; i++)
		*number = *number << 8 | cursor->data[i];
	cursor->data += width;
	cursor->size -= width;
	return true;
}

static bool
skip_bytes(cursor_t *cursor, uint64_t count)
{
	if (count > cursor->size)
		return false;
	cursor->data += count;
	cursor->size -= count;
	return true;
}

/* Skips one value; of an array, only the header.
 * @elements: set to the number of array elements that follow */
static bool
skip_value(cursor_t *cursor, uint64_t *elements)
{
	uint64_t head, length;

	*elements = 0;
	if (!read_number(cursor, 1, &head))
		return false;
	if (head <= 0x7f || head >= 0xe0)
		return true;		    /* an integer of one byte */
	if (head >= 0x90 && head <= 0x9f) { /* array of up to 15 elements */
		*elements = head & 0x0f;
		return true;
	}
	switch (head) {
	case 0xc4: /* binary with a length of 1, 2 or 4 bytes */
	case 0xc5:
	case 0xc6:
		return read_number(
			   cursor, (size_t)1 << (head - 0xc4), &length) &&
		    skip_bytes(cursor, length);
	case 0xcc: /* unsigned integer of 1, 2, 4 or 8 bytes */
	case 0xcd:
	case 0xce:
	case 0xcf:
		return skip_bytes(cursor, (uint64_t)1 << (head - 0xcc));
	case 0xd0: /* signed integer of 1, 2, 4 or 8 bytes */
	case 0xd1:
	case 0xd2:
	case 0xd3:
		return skip_bytes(cursor, (uint64_t)1 << (head - 0xd0));
	case 0xdc: /* array with a length of 2 bytes */
		return read_number(cursor, 2, elements);
	case 0xdd: /* array with a length of 4 bytes */
		return read_number(cursor, 4, elements);
	default:
		return false;
	}
}

bool
codec_check(const char *data, size_t size)
{
	cursor_t cursor = {(const unsigned char *)data, size};
	uint64_t expected = 1; /* values still to come */

	while (expected > 0) {
		uint64_t elements;

		if (!skip_value(&cursor, &elements))
			return false;
		expected = expected - 1 + elements;
		/* Each value takes at least one byte. */
		if (expected > cursor.size)
			return false;
	}
	return cursor.size == 0;
}
