#ifndef BULRUSHWELL_HTTP_CLIENT_H
#define BULRUSHWELL_HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>

#include "bulrushwell/body.h"
#include "bulrushwell/clock.h"
#include "bulrushwell/table.h"

/**
 * DOC: HTTP client on libcurl multi and libev
 *
 * Connections are kept for reuse. libcurl repeats a request by itself when a
 * reused connection turns out to be closed, so a request that must not run
 * twice is sent with @fresh.
 */
#define HTTP_CLIENT_MAX_RUNNING 8192
#define HTTP_CLIENT_MAX_HEADERS 12

typedef enum {
	HTTP_ANSWERED, /* a complete response */
	HTTP_NOT_SENT, /* no byte of the request left this process */
	HTTP_DIED,     /* the connection ended before the response did */
	HTTP_TIMEOUT,
	HTTP_TOO_LARGE,
	HTTP_MALFORMED
} http_result_t;

typedef struct http_response http_response_t;

/** http_response_header() - The value of a header, or NULL. */
const char *http_response_header(
    const http_response_t *response, const char *name);
int http_response_status(const http_response_t *response);
slice_t http_response_body(const http_response_t *response);

/** http_response_reused() - It came over a connection used before. */
bool http_response_reused(const http_response_t *response);

typedef void (*http_done_t)(
    void *context, http_result_t result, const http_response_t *response);

typedef struct {
	const char *method; /* "GET", "PUT" or "POST" */
	const char *address;
	const char *path;			      /* begins with '/' */
	const char *headers[HTTP_CLIENT_MAX_HEADERS]; /* "Name: value" */
	size_t header_count;
	body_t *body; /* borrowed; NULL for none */
	usec_t timeout;
	size_t max_response;
	bool fresh;		   /* use a new connection */
	bool close;		   /* close the connection afterwards */
	usec_t max_connection_age; /* older ones are not reused; 0: any */
	http_done_t done;
	void *context;
	/* Frees @context after @done, or without it when the request is
	 * cancelled or its client destroyed; NULL: @context is not owned. */
	void (*free_context)(void *context);
} http_request_t;

typedef struct http_client http_client_t;

http_client_t *http_client_create(struct ev_loop *loop);
/**
 * http_client_limit() - The most connections to one address; requests beyond
 * them wait for one to become free. 0 is no limit.
 */
void http_client_limit(http_client_t *client, uint32_t connections);

/** http_client_running() - Requests that have not ended. */
uint32_t http_client_running(const http_client_t *client);

void http_client_destroy(http_client_t *client);

/**
 * http_client_send() - Starts a request; @done is called later, once.
 *
 * Return: a handle, or HANDLE_NONE when too many requests run; the context is
 * not taken over then.
 */
handle_t http_client_send(http_client_t *client, const http_request_t *request);

/** http_client_cancel() - Closes the request's connection; no callback. */
void http_client_cancel(http_client_t *client, handle_t request);

#endif
