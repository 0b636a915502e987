#ifndef PEER_BATCH_H
#define PEER_BATCH_H

#include <stdbool.h>

#include "bulrushwell/slice.h"
#include "peer_message.h"

/**
 * DOC: Splitting and reassembly of changes
 *
 * A relay compresses the changes of a topic and splits them into parts, one per
 * datagram. The other nodes reassemble them. A part that is missing or out of
 * order makes the batch incomplete; the node then reads the changes from the
 * store itself.
 */

typedef struct peer_batch peer_batch_t;

peer_batch_t *peer_batch_create(void);
void peer_batch_destroy(peer_batch_t *batch);

/**
 * peer_batch_add_part() - Adds a part that was received. Part 0 starts a new
 * batch.
 * @known: up to where all changes of the topic are known here. Parts are
 * ignored if changes before them are missing or all of them are known. Those of
 * a later era are taken only if they list all objects.
 *
 * Return: whether the batch is now complete, for peer_batch_uncompress().
 */
bool peer_batch_add_part(
    peer_batch_t *batch, const peer_changes_t *changes, store_position_t known);

/**
 * peer_batch_uncompress() - Uncompresses a complete batch and resets @batch.
 *
 * Return: the changes, owned by @batch and valid until the next call; empty
 * when they can't be uncompressed to the announced size.
 */
slice_t peer_batch_uncompress(peer_batch_t *batch);

/**
 * peer_batch_split() - Compresses @content and calls @send for each part of it.
 * @changes: topic, from and to of all parts
 *
 * Return: the number of parts; 0, with nothing sent, if @content is larger than
 * 1 MiB or needs more than PEER_PARTS_MAX parts.
 */
uint32_t peer_batch_split(const peer_changes_t *changes, slice_t content,
    void (*send)(void *context, const peer_changes_t *part), void *context);

#endif
