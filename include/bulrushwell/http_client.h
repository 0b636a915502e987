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
 * twice is sent with http_request_t.fresh_connection. All callbacks run in the
 * thread of the loop.
 */
#define HTTP_CLIENT_MAX_RUNNING 8192
#define HTTP_CLIENT_MAX_HEADERS 12

typedef enum {
	HTTP_ANSWERED,	      /* a complete response */
	HTTP_NOT_SENT,	      /* no byte of the request was sent */
	HTTP_CONNECTION_LOST, /* the connection ended before the response did */
	HTTP_TIMEOUT,
	HTTP_TOO_LARGE, /* body over http_request_t.max_response, or long heads
			 */
	HTTP_MALFORMED	/* the response is not valid HTTP */
} http_result_t;

/** typedef http_response_t - Valid only during the callback. */
typedef struct http_response http_response_t;

/**
 * http_response_header() - The value of a header, or NULL. Only headers whose
 * names begin with 'X' are stored, at most 16 of them.
 */
const char *http_response_header(
    const http_response_t *response, const char *name);
int http_response_status(const http_response_t *response);
slice_t http_response_body(const http_response_t *response);

/**
 * typedef http_done_t - Called when a request has ended.
 * @response: incomplete unless @result is HTTP_ANSWERED
 */
typedef void (*http_done_t)(
    void *context, http_result_t result, const http_response_t *response);

/**
 * typedef http_connected_t - Called before a request is sent on a connection.
 * @opened_at: when the connection was established
 */
typedef void (*http_connected_t)(void *context, usec_t opened_at);

typedef struct {
	const char *method;  /* "GET", "PUT" or "POST" */
	const char *address; /* "IP:PORT" */
	const char *path;    /* begins with '/' */
	const char *headers[HTTP_CLIENT_MAX_HEADERS]; /* "Name: value" */
	size_t header_count;
	body_t *body; /* the client takes its own reference; NULL for none */
	usec_t timeout;
	size_t max_response;	    /* bytes of body */
	bool fresh_connection;	    /* use a new connection */
	bool close;		    /* close after the response */
	usec_t max_connection_age;  /* older ones are not reused; 0: no limit */
	http_connected_t connected; /* may be NULL */
	http_done_t done;
	void *context;
	/* Frees @context after @done, or instead of it when the request is
	 * cancelled or the client destroyed. NULL: @context is not owned. */
	void (*free_context)(void *context);
} http_request_t;

typedef struct http_client http_client_t;

http_client_t *http_client_create(struct ev_loop *loop);

/**
 * http_client_set_connection_limit() - Limits the connections to one address.
 * Further requests wait for a free one. 0 is no limit.
 */
void http_client_set_connection_limit(
    http_client_t *client, uint32_t connections);

/** http_client_running_count() - Number of requests that have not ended. */
uint32_t http_client_running_count(const http_client_t *client);

/** http_client_destroy() - Cancels all requests; NULL is allowed. */
void http_client_destroy(http_client_t *client);

/**
 * http_client_send() - Starts a request; @done is called later, exactly once
 * unless the request is cancelled.
 *
 * Return: a handle, or HANDLE_NONE when HTTP_CLIENT_MAX_RUNNING requests are
 * running; the caller then still owns @context.
 */
handle_t http_client_send(http_client_t *client, const http_request_t *request);

/**
 * http_client_cancel() - Closes the request's connection without calling @done.
 * Does nothing for a request that has ended.
 */
void http_client_cancel(http_client_t *client, handle_t request);

#endif
