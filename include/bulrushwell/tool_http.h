#ifndef BULRUSHWELL_TOOL_HTTP_H
#define BULRUSHWELL_TOOL_HTTP_H

#include <glib.h>
#include <jansson.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: One HTTP request of the tool
 *
 * Every request uses a connection of its own: libcurl repeats a request on its
 * own when a reused connection dies, and a reservation must not be repeated.
 * No proxy, no redirect, bounded time and size.
 */
#define TOOL_HTTP_MAX_RESPONSE_BYTES (64u << 20)

typedef enum {
	TOOL_HTTP_RESPONDED,
	TOOL_HTTP_NOT_SENT,   /* certain: nothing of the request was sent */
	TOOL_HTTP_NO_RESPONSE /* sent, in part at least; no whole answer */
} tool_http_result_t;

typedef struct {
	const char *method;
	const char *address;	    /* IP:PORT */
	const char *path;	    /* of checked names only */
	const char *const *headers; /* "Name: value", ended by NULL; or NULL */
	slice_t body;
	usec_t timeout;
} tool_http_request_t;

typedef struct {
	tool_http_result_t result;
	int status;
	GString *body;
	json_t *json; /* NULL when the body is not JSON */
	char transport_error[160];
} tool_http_response_t;

/** tool_http_send() - Blocks until the answer or the timeout. */
void tool_http_send(
    const tool_http_request_t *request, tool_http_response_t *response);

void tool_http_response_clear(tool_http_response_t *response);

#endif
