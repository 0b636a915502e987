#ifndef PEER_BATCH_H
#define PEER_BATCH_H

#include <stdbool.h>

#include "bulrushwell/slice.h"
#include "peer_message.h"

/**
 * DOC: Changes of a topic as datagrams
 *
 * A relay compresses what has changed and cuts it into parts. The other nodes
 * put them together again; a part that is missing or out of order ends that,
 * and the node, which then lacks changes, asks the store for them.
 */

typedef struct peer_batch peer_batch_t;

peer_batch_t *peer_batch_create(void);
void peer_batch_destroy(peer_batch_t *batch);

/**
 * peer_batch_take() - Adds a part.
 * @revision: up to here the changes of the topic are known
 *
 * Return: whether all parts are there; peer_batch_content() then has them.
 */
bool peer_batch_take(
    peer_batch_t *batch, const peer_changes_t *changes, int64_t revision);

/**
 * peer_batch_content() - What has changed, valid until the next call; empty
 * when it can't be read.
 */
slice_t peer_batch_content(peer_batch_t *batch);

/**
 * peer_batch_cut() - Calls @send for each part of @content.
 * @changes: topic, from and to
 *
 * Return: the number of parts; 0, with nothing sent, if it is too much for
 * datagrams.
 */
uint32_t peer_batch_cut(const peer_changes_t *changes, slice_t content,
    void (*send)(void *context, const peer_changes_t *part), void *context);

#endif
