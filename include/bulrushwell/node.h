#ifndef BULRUSHWELL_NODE_H
#define BULRUSHWELL_NODE_H

#include "bulrushwell/settings.h"

/** DOC: One node: the adapters, the controllers and the blackboard. */
typedef struct node node_t;

/**
 * node_create() - Opens all sockets.
 * @why: on error, says which address or key cannot be used
 *
 * Return: NULL on error.
 */
node_t *node_create(const settings_t *settings, char *why, size_t why_size);

/**
 * node_run() - Runs until a stop is complete.
 *
 * Return: 0, or 1 when the stop cut requests.
 */
int node_run(node_t *node);

void node_destroy(node_t *node);

#endif
