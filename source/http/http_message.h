#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/buffer.h"
#include "bulrushwell/slice.h"

/**
 * DOC: One HTTP/1.1 message, parsed piece by piece
 *
 * The message keeps copies of the target, the headers and the whole body, so
 * that what is sent on is built from parsed fields and never from raw bytes.
 */

#define HTTP_MAX_HEADERS 96

typedef enum {
	HTTP_FEED_MORE, /* all bytes were taken; the message is not complete */
	HTTP_FEED_DONE, /* the message is complete */
	HTTP_FEED_BAD,	/* not valid HTTP */
	HTTP_FEED_HEADERS_TOO_LARGE,
	HTTP_FEED_BODY_TOO_LARGE
} http_feed_t;

typedef struct {
	uint32_t name, name_size;
	uint32_t value, value_size;
} http_header_t;

typedef struct {
	http_parser parser;
	buffer_t text; /* target, header names and values */
	uint32_t target_size;
	http_header_t headers[HTTP_MAX_HEADERS];
	uint32_t header_count;
	buffer_t body;
	size_t max_header_bytes;
	size_t max_body_bytes;
	http_feed_t failure; /* set by a parser callback that stops */
	bool started;	     /* a byte of the message has arrived */
	bool headers_done;
	bool complete;
	bool keep_alive;    /* the connection may be used again */
	bool ends_at_close; /* no length: the body ends with the connection */
	bool no_body;	    /* response to HEAD */
	bool in_value;	    /* the parser last gave a header value */
} http_message_t;

/** http_message_init() - Prepares a message; @type is that of http_parser. */
void http_message_init(http_message_t *message, enum http_parser_type type,
    size_t max_header_bytes, size_t max_body_bytes);

/** http_message_reset() - Forgets the content and waits for the next one. */
void http_message_reset(http_message_t *message);

void http_message_free(http_message_t *message);

/**
 * http_message_feed() - Parses bytes.
 * @used: set to the number of bytes that belong to this message
 */
http_feed_t http_message_feed(
    http_message_t *message, const char *data, size_t size, size_t *used);

/** http_message_finish() - The peer closed the connection in good order. */
http_feed_t http_message_finish(http_message_t *message);

slice_t http_message_target(const http_message_t *message);
const char *http_message_method(const http_message_t *message);
int http_message_status(const http_message_t *message);
slice_t http_header_name(const http_message_t *message, uint32_t index);
slice_t http_header_value(const http_message_t *message, uint32_t index);

/** http_message_find() - Value of the first header of that name. */
bool http_message_find(
    const http_message_t *message, const char *name, slice_t *value);

/** http_header_is() - Whether a header has this name; case is ignored. */
bool http_header_is(slice_t header, const char *name);

/** http_header_is_hop() - Whether it concerns one connection only. */
bool http_header_is_hop(slice_t header);

/** http_token_listed() - Whether a comma-separated list has @token. */
bool http_token_listed(slice_t list, slice_t token);

/** http_slice_number() - A whole number of at most 9 digits, or -1. */
int64_t http_slice_number(slice_t text);

#endif
