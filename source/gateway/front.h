#ifndef FRONT_H
#define FRONT_H

#include <ev.h>
#include <netinet/in.h>

#include "exchange.h"

/**
 * DOC: Client connections
 *
 * Reads requests one after the other from each connection, hands them to the
 * exchange engine and writes the answers in order. A connection that the client
 * closes while a request runs ends that request.
 */

typedef struct front front_t;

/** front_create() - Listens; NULL and @error when it can't. */
front_t *front_create(struct ev_loop *loop, const struct sockaddr_in *address,
    exchange_engine_t *engine, int *error);
void front_destroy(front_t *front);

/**
 * front_stop() - Begins a planned stop: each connection ends with its next
 * answer; idle ones are closed by front_close_idle().
 */
void front_stop(front_t *front);

/** front_close_idle() - Closes connections on which no request runs. */
void front_close_idle(front_t *front);

/** front_close_listener() - Takes the clients that wait, and no more. */
void front_close_listener(front_t *front);

/** front_connections() - Open client connections. */
uint32_t front_connections(const front_t *front);

#endif
