#ifndef BULRUSHWELL_CODEC_H
#define BULRUSHWELL_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/id.h"
#include "bulrushwell/slice.h"

/**
 * DOC: msgpack writer and reader
 *
 * The reader walks one msgpack array. The first error (a missing field or a
 * wrong type) is kept; later reads return zero values, so a decoder checks
 * reader_error() once at its end. Unknown trailing fields are ignored, so a
 * newer release can append fields.
 */

/** typedef writer_t - Encodes values into a buffer that it owns. */
typedef struct {
	msgpack_sbuffer buffer; /* the encoded bytes */
	msgpack_packer packer;
} writer_t;

void writer_init(writer_t *writer);

/** writer_free() - Frees the buffer. */
void writer_free(writer_t *writer);

/** writer_array() - Begins an array; @count values must follow. */
void writer_array(writer_t *writer, size_t count);
void writer_int(writer_t *writer, int64_t value);
void writer_uint(writer_t *writer, uint64_t value);
void writer_bytes(writer_t *writer, slice_t bytes);

/** writer_text() - Writes a string as binary, without its final NUL. */
void writer_text(writer_t *writer, const char *text);

/** writer_id() - Writes two unsigned integers: the high and the low half. */
void writer_id(writer_t *writer, id128_t id);

/** typedef reader_t - Reads an unpacked array, which must outlive it. */
typedef struct {
	const msgpack_object *items;
	uint32_t count;
	uint32_t next; /* index of the next field */
	int error;     /* 0 or BW_E_PROTOCOL */
} reader_t;

/** reader_init() - Begins at the first field of @array. */
void reader_init(reader_t *reader, const msgpack_object *array);
int64_t reader_int(reader_t *reader);
uint64_t reader_uint(reader_t *reader);

/** reader_bytes() - A binary field; points into the unpacked message. */
slice_t reader_bytes(reader_t *reader);
id128_t reader_id(reader_t *reader);

/**
 * reader_array() - Reads a nested array.
 * @max: more elements than this are an error
 *
 * Return: a reader of the nested array, whose error the caller must check too.
 */
reader_t reader_array(reader_t *reader, uint32_t max);

/** reader_remaining() - Number of fields that were not read yet. */
uint32_t reader_remaining(const reader_t *reader);

/** reader_error() - 0, or BW_E_PROTOCOL after any error. */
int reader_error(const reader_t *reader);

/**
 * reader_text() - Copies a text field into a buffer of @size bytes.
 *
 * A field that does not fit with its final NUL, or contains a NUL, is an error.
 */
void reader_text(reader_t *reader, char *text, size_t size);

/**
 * codec_check() - Whether the bytes are exactly one msgpack value that consists
 * of arrays, integers and binary only and whose lengths fit into the input.
 *
 * Call it before unpacking: the unpacker allocates an array of the stated
 * length, so a header of five bytes could make it allocate gigabytes.
 */
bool codec_check(const char *data, size_t size);

#endif
