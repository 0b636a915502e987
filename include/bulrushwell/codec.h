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
 * The reader walks one msgpack array. The first mistake (a missing field or
 * another type) is remembered; later reads return zero values, so a decoder
 * checks reader_error() once at its end. Unknown trailing fields are ignored,
 * so a newer release can append fields.
 */
typedef struct {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
} writer_t;

void writer_init(writer_t *writer);
void writer_clear(writer_t *writer);
void writer_array(writer_t *writer, size_t count);
void writer_int(writer_t *writer, int64_t value);
void writer_uint(writer_t *writer, uint64_t value);
void writer_bytes(writer_t *writer, slice_t bytes);
void writer_text(writer_t *writer, const char *text);
void writer_id(writer_t *writer, id128_t id);

typedef struct {
	const msgpack_object *items;
	uint32_t count;
	uint32_t next;
	int error;
} reader_t;

/** reader_init() - Begins at the fields of an array object. */
void reader_init(reader_t *reader, const msgpack_object *array);
int64_t reader_int(reader_t *reader);
uint64_t reader_uint(reader_t *reader);
slice_t reader_bytes(reader_t *reader);
id128_t reader_id(reader_t *reader);

/**
 * reader_array() - Begins a nested array.
 * @max: more elements than this are an error
 */
reader_t reader_array(reader_t *reader, uint32_t max);

/** reader_error() - 0, or BW_E_PROTOCOL after any mistake. */
int reader_error(const reader_t *reader);

/**
 * reader_text() - Copies a text field into a fixed buffer.
 *
 * A field that does not fit or holds a NUL is an error.
 */
void reader_text(reader_t *reader, char *text, size_t size);

/**
 * codec_check() - Whether bytes are one value made of arrays, integers and
 * binary only, whose stated lengths fit into the bytes that follow.
 *
 * The unpacker allocates an array as long as the bytes claim, so five bytes
 * could ask it for gigabytes.
 */
bool codec_check(const char *data, size_t size);

#endif
