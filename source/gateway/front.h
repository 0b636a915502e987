#ifndef FRONT_H
#define FRONT_H

#include <ev.h>
#include <netinet/in.h>

#include "exchange.h"

/**
 * DOC: Client connections
 *
 * Accepts client connections, reads requests one after the other from each of
 * them, passes them to the exchange engine and writes the responses in order.
 * When a client disconnects, its running request is cancelled.
 */

typedef struct frontend front_t;

/**
 * front_create() - Listens on @address.
 * @engine: must outlive the result
 * @error: set to a negative BW_E_* code on failure
 *
 * Return: NULL on failure.
 */
front_t *front_create(struct ev_loop *loop, const struct sockaddr_in *address,
    exchange_engine_t *engine, int *error);

/** front_destroy() - Closes all connections; accepts NULL. */
void front_destroy(front_t *frontend);

/**
 * front_stop() - Starts a graceful shutdown: each connection is closed after
 * its next response. front_close_idle() closes the idle ones.
 */
void front_stop(front_t *frontend);

/** front_close_idle() - Closes connections without a started request. */
void front_close_idle(front_t *frontend);

/** front_close_listener() - Accepts pending clients, then stops listening. */
void front_close_listener(front_t *frontend);

/** front_connections() - Number of open client connections. */
uint32_t front_connections(const front_t *frontend);

#endif
