#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/buffer.h"
#include "bulrushwell/http_grammar.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Incremental HTTP/1.1 parser
 *
 * A message owns copies of the target, the headers and the whole body, so that
 * what is forwarded is built from parsed fields and never from raw input. The
 * lines pass the grammar before the parser, which takes more than that.
 */

#define HTTP_MAX_HEADERS 96
#define HTTP_MAX_INTERIMS 32 /* of one response; more are not valid */

typedef enum {
	HTTP_FEED_MORE,	   /* all bytes were used; the message is incomplete */
	HTTP_FEED_DONE,	   /* the message is complete */
	HTTP_FEED_INTERIM, /* an interim response is complete */
	HTTP_FEED_BAD,	   /* not valid HTTP */
	HTTP_FEED_HEADERS_TOO_LARGE,
	HTTP_FEED_BODY_TOO_LARGE /* or no memory is left for responses */
} http_feed_t;

/** typedef http_header_t - Positions in http_message_t.text, in bytes. */
typedef struct {
	uint32_t name_offset, name_size;
	uint32_t value_offset, value_size;
} http_header_t;

typedef struct {
	http_parser parser;
	http_grammar_t grammar; /* of the head, later of the trailers */
	buffer_t text;		/* target, header names and values */
	uint32_t target_size;
	http_header_t headers[HTTP_MAX_HEADERS];
	uint32_t header_count;
	buffer_t body;
	size_t body_held; /* of the response memory */
	size_t max_header_bytes;
	size_t max_body_bytes;
	http_feed_t failure; /* returned when the parser stops */
	bool started;	     /* a byte of the message has arrived */
	bool headers_done;
	bool complete;
	bool keep_alive;    /* the connection can be reused */
	bool ends_at_close; /* no length: the body ends with the connection */
	bool discard_body;  /* the body is parsed, but not kept */
	bool no_body;	    /* response to HEAD; set by the user after reset */
	uint32_t interims;  /* interim responses (1xx) that were skipped */
	bool in_value;	    /* the parser is in a header value */
	char last_byte;	    /* that was parsed */
} http_message_t;

/**
 * http_message_init() - Prepares an empty message; free it with
 * http_message_free().
 * @type: HTTP_REQUEST or HTTP_RESPONSE
 * @max_header_bytes: limit of the target and all headers together
 */
void http_message_init(http_message_t *message, enum http_parser_type type,
    size_t max_header_bytes, size_t max_body_bytes);

/** http_message_reset() - Clears the content to parse another message. */
void http_message_reset(http_message_t *message);

void http_message_free(http_message_t *message);

/**
 * http_message_feed() - Parses bytes.
 * @used: set to the number of bytes that belong to this message
 *
 * After an interim response (1xx) http_message_skip_interim() must be called
 * before more bytes are parsed.
 */
http_feed_t http_message_feed(
    http_message_t *message, const char *data, size_t size, size_t *used);

/** http_message_discard_body() - Frees the body; the rest of it is parsed, but
 * not kept. Ends with the message. */
void http_message_discard_body(http_message_t *message);

/** http_message_skip_interim() - Prepares for the response after an interim
 * one.
 */
void http_message_skip_interim(http_message_t *message);

/**
 * http_message_finish() - Signals an orderly end of the connection, which
 * completes a body without a length.
 *
 * Return: HTTP_FEED_DONE or HTTP_FEED_BAD.
 */
http_feed_t http_message_finish(http_message_t *message);

/**
 * http_message_target(), http_header_name(), http_header_value() - Valid until
 * the message is reset.
 * @index: less than http_message_t.header_count
 */
slice_t http_message_target(const http_message_t *message);
const char *http_message_method(const http_message_t *message);
int http_message_status(const http_message_t *message);
slice_t http_header_name(const http_message_t *message, uint32_t index);
slice_t http_header_value(const http_message_t *message, uint32_t index);

/**
 * http_message_find() - Finds the first header of a name; case is ignored.
 * @value: set when it was found
 */
bool http_message_find(
    const http_message_t *message, const char *name, slice_t *value);

/** http_message_count() - Counts the headers of a name; case is ignored.
 * @value: set to the last one, if there is any */
uint32_t http_message_count(
    const http_message_t *message, const char *name, slice_t *value);

/** http_message_find_single() - Like http_message_find(), but not if there are
 * several of this name, which may contradict each other. */
bool http_message_find_single(
    const http_message_t *message, const char *name, slice_t *value);

/** http_header_is() - Whether a header has this name; case is ignored. */
bool http_header_is(slice_t header, const char *name);

/**
 * http_header_is_hop_by_hop() - Whether a header is not to be forwarded:
 * hop-by-hop headers, Content-Length and Expect.
 */
bool http_header_is_hop_by_hop(slice_t header);

/**
 * http_list_has_token() - Whether a comma-separated list contains a token; case
 * is ignored.
 */
bool http_list_has_token(slice_t list, slice_t token);

/** http_parse_number() - Parses a number of at most 9 digits; -1 if invalid. */
int64_t http_parse_number(slice_t text);

#endif
