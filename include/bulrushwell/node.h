#ifndef BULRUSHWELL_NODE_H
#define BULRUSHWELL_NODE_H

#include "bulrushwell/settings.h"

/**
 * DOC: A node of the query tier
 *
 * A node consists of the servers and clients of its network interfaces, its
 * controllers and the state that they share. It uses libev's default loop and
 * handles SIGTERM and SIGINT, so a process has at most one.
 */
typedef struct node node_t;

/**
 * node_create() - Creates a node and opens all its sockets.
 * @settings: copied
 * @message: on error, set to a text that names the address or key that cannot
 * be used
 *
 * Return: the node, to be freed by node_destroy(); NULL on error.
 */
node_t *node_create(
    const settings_t *settings, char *message, size_t message_size);

/**
 * node_run() - Runs the event loop until a stop is complete. SIGTERM and SIGINT
 * start a stop; a second signal ends it at once.
 *
 * Return: 0, or 1 when requests were cut off by the end of the stop.
 */
int node_run(node_t *node);

/** node_destroy() - Closes all sockets and frees a node; NULL is allowed. */
void node_destroy(node_t *node);

#endif
