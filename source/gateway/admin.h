#ifndef ADMIN_H
#define ADMIN_H

#include <ev.h>
#include <netinet/in.h>

#include "bulrushwell/buffer.h"
#include "bulrushwell/slice.h"

/** DOC: A small HTTP server for health checks and metrics */

typedef struct admin admin_t;

/**
 * typedef admin_handler_t - Answers a GET request.
 * @body: filled with the answer
 *
 * Return: the HTTP status.
 */
typedef int (*admin_handler_t)(void *context, slice_t path, buffer_t *body);

/** admin_create() - Listens; NULL and @error when it can't. */
admin_t *admin_create(struct ev_loop *loop, const struct sockaddr_in *address,
    admin_handler_t handler, void *context, int *error);
void admin_destroy(admin_t *admin);

#endif
