#ifndef ADMIN_H
#define ADMIN_H

#include <ev.h>
#include <netinet/in.h>

#include "bulrushwell/buffer.h"
#include "bulrushwell/slice.h"

/** DOC: A small HTTP server for health checks and metrics */

typedef struct admin admin_t;

/**
 * typedef admin_handler_t - Answers a request, whatever its method.
 * @path: target of the request
 * @body: the response body is appended to it
 *
 * Return: the HTTP status.
 */
typedef int (*admin_handler_t)(void *context, slice_t path, buffer_t *body);

/**
 * admin_create() - Listens on @address; each request is passed to @handler.
 * @max_connections: beyond it the one that is silent for longest is closed
 * @error: set to a negative BW_E_* code on failure
 *
 * Return: the server, or NULL on failure.
 */
admin_t *admin_create(struct ev_loop *loop, const struct sockaddr_in *address,
    uint32_t max_connections, admin_handler_t handler, void *context,
    int *error);

/** admin_destroy() - Closes the listener and all connections. */
void admin_destroy(admin_t *admin);

#endif
