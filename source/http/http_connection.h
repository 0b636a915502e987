#ifndef HTTP_CONNECTION_H
#define HTTP_CONNECTION_H

#include <ev.h>
#include <netinet/in.h>

#include "bulrushwell/clock.h"
#include "http_message.h"

/**
 * DOC: A client connection that carries one request at a time
 *
 * Bytes that arrive while no request is waiting end the connection, as they
 * belong to no request. Callbacks may destroy the connection.
 */

typedef enum {
	HTTP_CONNECTION_CONNECTING,
	HTTP_CONNECTION_IDLE,
	HTTP_CONNECTION_BUSY,
	HTTP_CONNECTION_CLOSED
} http_connection_state_t;

/** Why a connection ended. */
typedef enum {
	HTTP_CLOSED_REFUSED, /* it was never established */
	HTTP_CLOSED_BY_PEER, /* end of file or reset */
	HTTP_CLOSED_GARBLED  /* bytes that are no response */
} http_close_reason_t;

typedef struct http_connection http_connection_t;

typedef struct {
	/** A connection is established. */
	void (*connected)(void *owner, http_connection_t *connection);
	/**
	 * The response to the request. Return true when it is the final one,
	 * false to drop it and wait for the next.
	 */
	bool (*responded)(void *owner, http_connection_t *connection,
	    const http_message_t *response);
	void (*closed)(void *owner, http_connection_t *connection,
	    http_close_reason_t reason);
} http_connection_handlers_t;

/**
 * http_connection_create() - Begins to connect.
 * @max_body_bytes: longest response body that is accepted
 *
 * Return: NULL when no socket can be had.
 */
http_connection_t *http_connection_create(struct ev_loop *loop,
    const struct sockaddr_in *address, size_t max_body_bytes,
    const http_connection_handlers_t *handlers, void *owner);

/** http_connection_destroy() - Closes it; no callback follows. */
void http_connection_destroy(http_connection_t *connection);

/** http_connection_detect_silence() - See http_socket_detect_silence(). */
void http_connection_detect_silence(
    http_connection_t *connection, usec_t limit);

/**
 * http_connection_send() - Sends a whole request on an idle connection, or on
 * one that still connects.
 * @head_only: the response has no body (HEAD)
 */
void http_connection_send(http_connection_t *connection, const buffer_t *head,
    slice_t body, bool head_only);

http_connection_state_t http_connection_state(
    const http_connection_t *connection);

/** http_connection_sent_any() - Whether a byte of the request has left. */
bool http_connection_sent_any(const http_connection_t *connection);

/** http_connection_reusable() - Whether it may carry another request. */
bool http_connection_reusable(const http_connection_t *connection);

#endif
