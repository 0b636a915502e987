#include "peer_batch.h"

#include <glib.h>
#include <string.h>
#include <zlib.h>

#define COMPRESSION_LEVEL Z_BEST_SPEED /* gateways run on small VMs */
#define CONTENT_MAX_BYTES ((size_t)1024 * 1024)

struct peer_batch {
	int64_t era;
	int64_t from; /* revision after which the changes begin */
	int64_t to;   /* revision of the last change */
	uint32_t parts;
	uint32_t next_part; /* the one expected next */
	uint32_t uncompressed_size;
	GByteArray *compressed; /* the parts received so far */
	char *content;		/* returned by peer_batch_uncompress() */
};

peer_batch_t *
peer_batch_create(void)
{
	peer_batch_t *batch = g_new0(peer_batch_t, 1);

	batch->compressed = g_byte_array_new();
	return batch;
}

void
peer_batch_destroy(peer_batch_t *batch)
{
	if (batch == NULL)
		return;
	g_byte_array_unref(batch->compressed);
	g_free(batch->content);
	g_free(batch);
}

static void
begin_batch(peer_batch_t *batch, const peer_changes_t *changes)
{
	batch->era = changes->era;
	batch->from = changes->from;
	batch->to = changes->to;
	batch->parts = changes->parts;
	batch->uncompressed_size = changes->uncompressed_size;
	batch->next_part = 0;
	g_byte_array_set_size(batch->compressed, 0);
}

static bool
is_next_part(const peer_batch_t *batch, const peer_changes_t *changes)
{
	return changes->era == batch->era && changes->from == batch->from &&
	    changes->to == batch->to && changes->parts == batch->parts &&
	    changes->part == batch->next_part;
}

/* Whether the changes continue what is known. All objects of an era are no
 * changes to those of another one, so they continue anything. */
static bool
are_news(const peer_changes_t *changes, store_position_t known)
{
	store_position_t from = {changes->era, changes->from};
	store_position_t to = {changes->era, changes->to};
	bool lists_all = changes->from == 0;
	bool continues = changes->era == known.era &&
	    store_position_compare(from, known) <= 0;

	return store_position_compare(to, known) > 0 &&
	    (lists_all || continues);
}

bool
peer_batch_add_part(
    peer_batch_t *batch, const peer_changes_t *changes, store_position_t known)
{
	if (!are_news(changes, known))
		return false;
	if (changes->part == 0)
		begin_batch(batch, changes);
	if (!is_next_part(batch, changes))
		return false;
	batch->next_part++;
	g_byte_array_append(
	    batch->compressed, (const guint8 *)changes->bytes, changes->size);
	return batch->next_part == batch->parts;
}

slice_t
peer_batch_uncompress(peer_batch_t *batch)
{
	uLongf size = batch->uncompressed_size;

	g_free(batch->content);
	batch->content = g_malloc(size + 1);
	if (uncompress((Bytef *)batch->content, &size, batch->compressed->data,
		batch->compressed->len) != Z_OK ||
	    size != batch->uncompressed_size)
		size = 0;
	batch->next_part = 0;
	batch->parts = 0;
	g_byte_array_set_size(batch->compressed, 0);
	return (slice_t){batch->content, size};
}

static void
send_parts(peer_changes_t *part, const Bytef *compressed, size_t size,
    void (*send)(void *context, const peer_changes_t *part), void *context)
{
	for (part->part = 0; part->part < part->parts; part->part++) {
		size_t first = (size_t)part->part * PEER_PART_MAX_BYTES;

		part->size = (uint32_t)MIN(size - first, PEER_PART_MAX_BYTES);
		memcpy(part->bytes, compressed + first, part->size);
		send(context, part);
	}
}

uint32_t
peer_batch_split(const peer_changes_t *changes, slice_t content,
    void (*send)(void *context, const peer_changes_t *part), void *context)
{
	uLongf size = compressBound(content.size);
	peer_changes_t part = *changes;
	Bytef *compressed;

	if (content.size > CONTENT_MAX_BYTES)
		return 0;
	compressed = g_malloc(size);
	part.uncompressed_size = (uint32_t)content.size;
	if (compress2(compressed, &size, (const Bytef *)content.data,
		content.size, COMPRESSION_LEVEL) == Z_OK &&
	    size <= (uLongf)PEER_PARTS_MAX * PEER_PART_MAX_BYTES)
		part.parts = (uint32_t)((size + PEER_PART_MAX_BYTES - 1) /
		    PEER_PART_MAX_BYTES);
	else
		part.parts = 0;
	send_parts(&part, compressed, size, send, context);
	g_free(compressed);
	return part.parts;
}
