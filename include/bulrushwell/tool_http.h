#ifndef BULRUSHWELL_TOOL_HTTP_H
#define BULRUSHWELL_TOOL_HTTP_H

#include <glib.h>
#include <jansson.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: HTTP client of the tool
 *
 * Every request uses a new connection: when a reused connection breaks, libcurl
 * repeats the request by itself, and a reservation must not be repeated.
 * Proxies and redirects are not used; time and response size are bounded.
 */
#define TOOL_HTTP_MAX_RESPONSE_BYTES (64u << 20)

typedef enum {
	TOOL_HTTP_RESPONDED,
	TOOL_HTTP_NOT_SENT,   /* no byte of the request was sent */
	TOOL_HTTP_NO_RESPONSE /* sent at least in part; no complete response */
} tool_http_result_t;

typedef struct {
	const char *method;
	const char *address;	    /* IP:PORT */
	const char *path;	    /* contains only checked names */
	const char *const *headers; /* "Name: value", ended by NULL; or NULL */
	slice_t body;
	usec_t timeout;
} tool_http_request_t;

typedef struct {
	tool_http_result_t result;
	int status; /* HTTP status; 0 unless TOOL_HTTP_RESPONDED */
	GString *body;
	json_t *json;		   /* NULL if the body is not JSON */
	char transport_error[160]; /* empty if the transfer succeeded */
} tool_http_response_t;

/**
 * tool_http_send() - Sends a request; blocks until the response or the timeout.
 * @response: to be cleared with tool_http_response_clear(), also on failure
 */
void tool_http_send(
    const tool_http_request_t *request, tool_http_response_t *response);

/** tool_http_response_clear() - Frees the body and JSON and zeroes the rest. */
void tool_http_response_clear(tool_http_response_t *response);

#endif
