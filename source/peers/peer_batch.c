#include "peer_batch.h"

#include <glib.h>
#include <string.h>
#include <zlib.h>

#define COMPRESSION Z_BEST_SPEED /* relays have small VMs */
#define CONTENT_MAX ((size_t)1024 * 1024)

struct peer_batch {
	int64_t from;
	int64_t to;
	uint32_t parts;
	uint32_t next;
	uint32_t whole_size;
	GByteArray *packed;
	char *content;
};

peer_batch_t *
peer_batch_create(void)
{
	peer_batch_t *batch = g_new0(peer_batch_t, 1);

	batch->packed = g_byte_array_new();
	return batch;
}

void
peer_batch_destroy(peer_batch_t *batch)
{
	if (batch == NULL)
		return;
	g_byte_array_unref(batch->packed);
	g_free(batch->content);
	g_free(batch);
}

static void
begin(peer_batch_t *batch, const peer_changes_t *changes)
{
	batch->from = changes->from;
	batch->to = changes->to;
	batch->parts = changes->parts;
	batch->whole_size = changes->whole_size;
	batch->next = 0;
	g_byte_array_set_size(batch->packed, 0);
}

static bool
is_next(const peer_batch_t *batch, const peer_changes_t *changes)
{
	return changes->from == batch->from && changes->to == batch->to &&
	    changes->parts == batch->parts && changes->part == batch->next;
}

bool
peer_batch_take(
    peer_batch_t *batch, const peer_changes_t *changes, int64_t revision)
{
	/* Changes in between would be missing, or all are known. */
	if (changes->from > revision || changes->to <= revision)
		return false;
	if (changes->part == 0)
		begin(batch, changes);
	if (!is_next(batch, changes))
		return false;
	batch->next++;
	g_byte_array_append(
	    batch->packed, (const guint8 *)changes->bytes, changes->size);
	return batch->next == batch->parts;
}

slice_t
peer_batch_content(peer_batch_t *batch)
{
	uLongf size = batch->whole_size;

	g_free(batch->content);
	batch->content = g_malloc(size + 1);
	if (uncompress((Bytef *)batch->content, &size, batch->packed->data,
		batch->packed->len) != Z_OK ||
	    size != batch->whole_size)
		size = 0;
	batch->next = 0;
	batch->parts = 0;
	g_byte_array_set_size(batch->packed, 0);
	return (slice_t){batch->content, size};
}

static void
send_parts(peer_changes_t *part, const Bytef *packed, size_t size,
    void (*send)(void *context, const peer_changes_t *part), void *context)
{
	for (part->part = 0; part->part < part->parts; part->part++) {
		size_t first = (size_t)part->part * PEER_PART_BYTES;

		part->size = (uint32_t)MIN(size - first, PEER_PART_BYTES);
		memcpy(part->bytes, packed + first, part->size);
		send(context, part);
	}
}

uint32_t
peer_batch_cut(const peer_changes_t *changes, slice_t content,
    void (*send)(void *context, const peer_changes_t *part), void *context)
{
	uLongf size = compressBound(content.size);
	peer_changes_t part = *changes;
	Bytef *packed;

	if (content.size > CONTENT_MAX)
		return 0;
	packed = g_malloc(size);
	part.whole_size = (uint32_t)content.size;
	if (compress2(packed, &size, (const Bytef *)content.data, content.size,
		COMPRESSION) == Z_OK &&
	    size <= (uLongf)PEER_PARTS_MAX * PEER_PART_BYTES)
		part.parts =
		    (uint32_t)((size + PEER_PART_BYTES - 1) / PEER_PART_BYTES);
	else
		part.parts = 0;
	send_parts(&part, packed, size, send, context);
	g_free(packed);
	return part.parts;
}
