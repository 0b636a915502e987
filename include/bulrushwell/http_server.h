#ifndef BULRUSHWELL_HTTP_SERVER_H
#define BULRUSHWELL_HTTP_SERVER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/body.h"

/**
 * DOC: HTTP server on libmicrohttpd and libev
 *
 * Runs in the loop's thread. An exchange (a request and its response) stays
 * open until the response is given; meanwhile other requests are served.
 */
#define HTTP_SERVER_MAX_BODY 1048576 /* bytes */

typedef struct http_server http_server_t;
typedef struct http_exchange http_exchange_t;

/**
 * typedef http_handler_t - Called once per complete request. It calls
 * http_exchange_respond() at once or later.
 */
typedef void (*http_handler_t)(void *context, http_exchange_t *exchange);

/**
 * typedef http_disconnect_t - Called when the caller disconnects before the
 * response.
 */
typedef void (*http_disconnect_t)(void *exchange_context);

/**
 * http_server_create() - Listens on a numeric "IP:PORT".
 * @max_connections: beyond it idle connections are closed for new ones
 *
 * Return: NULL when the address cannot be used.
 */
http_server_t *http_server_create(struct ev_loop *loop, const char *address,
    uint32_t max_connections, http_handler_t handler, void *context);

/** http_server_close_listener() - Accepts no further connections. */
void http_server_close_listener(http_server_t *server);

/**
 * http_server_set_closing() - Adds "Connection: close" to all further
 * responses.
 */
void http_server_set_closing(http_server_t *server);

/**
 * http_server_open_exchanges() - Number of requests whose response has not been
 * sent completely.
 */
uint32_t http_server_open_exchanges(const http_server_t *server);

/** http_server_destroy() - Closes all connections; NULL is allowed. */
void http_server_destroy(http_server_t *server);

const char *http_exchange_method(const http_exchange_t *exchange);

/** http_exchange_path() - The path of the request without its query string. */
const char *http_exchange_path(const http_exchange_t *exchange);

/** http_exchange_header() - The value of a request header, or NULL. */
const char *http_exchange_header(
    const http_exchange_t *exchange, const char *name);
slice_t http_exchange_body(const http_exchange_t *exchange);

/**
 * http_exchange_is_too_large() - Whether the request body was larger than
 * HTTP_SERVER_MAX_BODY; http_exchange_body() is empty then.
 */
bool http_exchange_is_too_large(const http_exchange_t *exchange);

/**
 * http_exchange_is_out_of_memory() - Whether there was no memory for the
 * request body; http_exchange_body() is empty then.
 */
bool http_exchange_is_out_of_memory(const http_exchange_t *exchange);

/**
 * http_exchange_on_disconnect() - Sets what is called when the caller
 * disconnects. It is called at most once and never after the response; the
 * exchange must not be used afterwards.
 */
void http_exchange_on_disconnect(
    http_exchange_t *exchange, http_disconnect_t disconnect, void *context);

/**
 * http_exchange_respond() - Sends the response; the exchange must not be used
 * afterwards.
 * @body: copied
 * @retry_after_ms: sent as Retry-After, rounded up to seconds; 0: not sent
 */
void http_exchange_respond(http_exchange_t *exchange, int status,
    const char *content_type, slice_t body, int64_t retry_after_ms);

#endif
