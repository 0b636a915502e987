#ifndef HTTP_CONNECTION_H
#define HTTP_CONNECTION_H

#include <ev.h>
#include <netinet/in.h>

#include "bulrushwell/clock.h"
#include "http_message.h"

/**
 * DOC: HTTP client connection with one request at a time
 *
 * Data that arrives while no response is expected closes the connection.
 * Callbacks may destroy the connection.
 */

typedef enum {
	HTTP_CONNECTION_CONNECTING,
	HTTP_CONNECTION_IDLE, /* established; no request is running */
	HTTP_CONNECTION_BUSY, /* waits for a response */
	HTTP_CONNECTION_CLOSED
} http_connection_state_t;

/** typedef http_close_reason_t - Why a connection ended. */
typedef enum {
	HTTP_CLOSED_CONNECT_FAILED, /* it could not be established */
	HTTP_CLOSED_BY_PEER,	    /* end of file or reset */
	HTTP_CLOSED_MALFORMED,	    /* unexpected data or not valid HTTP */
	HTTP_CLOSED_TOO_LARGE	    /* the head or the body of a response */
} http_close_reason_t;

typedef struct http_connection http_connection_t;

typedef struct {
	/** The connection is established. */
	void (*connected)(void *owner, http_connection_t *connection);
	/**
	 * A response has arrived; @response is valid during the call. Return
	 * true when it is the final one, false to drop it and wait for another.
	 */
	bool (*responded)(void *owner, http_connection_t *connection,
	    const http_message_t *response);
	/** An interim response has arrived; may be NULL. */
	void (*interim)(void *owner, http_connection_t *connection,
	    const http_message_t *response);
	/** The connection has ended; not called after a destroy. */
	void (*closed)(void *owner, http_connection_t *connection,
	    http_close_reason_t reason);
} http_connection_handlers_t;

/**
 * http_connection_create() - Starts to connect.
 * @max_body_bytes: a longer response body closes the connection
 * @handlers: must outlive the connection
 * @owner: passed to @handlers
 *
 * Return: NULL when no socket can be created or connecting fails at once.
 */
http_connection_t *http_connection_create(struct ev_loop *loop,
    const struct sockaddr_in *address, size_t max_body_bytes,
    const http_connection_handlers_t *handlers, void *owner);

/** http_connection_destroy() - Closes without a callback; NULL is allowed. */
void http_connection_destroy(http_connection_t *connection);

/** http_connection_detect_silence() - See http_socket_detect_silence(). */
void http_connection_detect_silence(
    http_connection_t *connection, usec_t limit);

/**
 * http_connection_reserve() - Charges a request to the account of memory until
 * it was sent. Called before http_connection_send(), for a client's request.
 * @bytes: of head and body
 *
 * Return: false when there is no room.
 */
bool http_connection_reserve(http_connection_t *connection, size_t bytes);

/**
 * http_connection_send() - Sends a request on an idle connection, or as soon as
 * a connecting one is established.
 * @head: request line and headers; copied, as is @body
 * @head_only: the response has no body (HEAD)
 */
void http_connection_send(http_connection_t *connection, const buffer_t *head,
    slice_t body, bool head_only);

http_connection_state_t http_connection_state(
    const http_connection_t *connection);

/** http_connection_sent_any() - Whether any byte of the request was sent. */
bool http_connection_sent_any(const http_connection_t *connection);

/** http_connection_refused() - Whether nothing listened at the address. */
bool http_connection_refused(const http_connection_t *connection);

/** http_connection_got_interim() - Whether an interim response (1xx) to the
 * last request has arrived, or bytes that have not been read yet. */
bool http_connection_got_interim(http_connection_t *connection);

/** http_connection_unacknowledged() - Whether the peer has not acknowledged the
 * whole request. */
bool http_connection_unacknowledged(const http_connection_t *connection);

/** http_connection_discard_unsent() - When it is closed, bytes that have not
 * arrived are lost. */
void http_connection_discard_unsent(http_connection_t *connection);

/** http_connection_discard_body() - Does not keep the body of the running
 * response, of which nobody waits. */
void http_connection_discard_body(http_connection_t *connection);

/** http_connection_reusable() - Whether another request may be sent now. */
bool http_connection_reusable(const http_connection_t *connection);

#endif
