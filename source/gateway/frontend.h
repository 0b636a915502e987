#ifndef FRONTEND_H
#define FRONTEND_H

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

typedef struct frontend frontend_t; /* functions but _create accept NULL */

/** typedef frontend_kind_t - Who connects. */
typedef enum {
	FRONTEND_CLIENTS,
	FRONTEND_PEERS /* receiving nodes of this data centre; no others */
} frontend_kind_t;

/**
 * frontend_create() - Listens on @address.
 * @engine: must outlive the result
 * @max_clients: connections; beyond it idle ones are closed for new ones
 * @error: set to a negative BW_E_* code on failure
 *
 * Return: NULL on failure.
 */
frontend_t *frontend_create(struct ev_loop *loop, frontend_kind_t kind,
    const struct sockaddr_in *address, exchange_engine_t *engine,
    uint32_t max_clients, int *error);

/** frontend_destroy() - Closes all connections; accepts NULL. */
void frontend_destroy(frontend_t *frontend);

/**
 * frontend_stop() - Starts a planned stop: each connection is closed after
 * its next response. frontend_close_idle() closes the idle ones.
 */
void frontend_stop(frontend_t *frontend);

/** frontend_close_idle() - Closes connections on which each request has been
 * answered. Clients that have not sent any stay connected. */
void frontend_close_idle(frontend_t *frontend);

/** frontend_end_requests() - Responds at once to all requests that run, see
 * exchange_end(). */
void frontend_end_requests(frontend_t *frontend);

/** frontend_close_listener() - Accepts pending clients, then stops listening.
 */
void frontend_close_listener(frontend_t *frontend);

/** frontend_connections() - Number of open client connections. */
uint32_t frontend_connections(const frontend_t *frontend);

/** frontend_max_connections() - The limit of frontend_connections(). */
uint32_t frontend_max_connections(const frontend_t *frontend);

#endif
