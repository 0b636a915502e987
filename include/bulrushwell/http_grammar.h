#ifndef BULRUSHWELL_HTTP_GRAMMAR_H
#define BULRUSHWELL_HTTP_GRAMMAR_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Grammar of the lines of an HTTP/1 message (RFC 9112, sections 2 to 5)
 *
 * Checks a status line and field lines byte by byte, as they arrive.
 * Where the RFC lets a recipient accept more than the grammar, or leaves it the
 * choice, a message is refused: line ends other than CRLF, folded values, other
 * white space in the status line. A node between clients and servers must not
 * read more into a message than others do.
 */

typedef enum {
	HTTP_LINES_REQUEST,  /* a request line, of which only the line end is
				checked, and field lines; perhaps empty lines
				before it */
	HTTP_LINES_RESPONSE, /* a status line and field lines */
	HTTP_LINES_TRAILERS  /* only field lines, after the last chunk */
} http_lines_t;

typedef enum {
	HTTP_GRAMMAR_MORE,  /* all bytes were used; the empty line is missing */
	HTTP_GRAMMAR_END,   /* the empty line after the lines was read */
	HTTP_GRAMMAR_BROKEN /* a byte that the grammar does not allow there */
} http_grammar_result_t;

typedef enum {
	GRAMMAR_EMPTY_LINES, /* before the request line */
	GRAMMAR_REQUEST,     /* in the request line */
	GRAMMAR_STATUS,	     /* in the status line, before the reason */
	GRAMMAR_REASON,	     /* in the reason */
	GRAMMAR_LINE_START, /* at the start of a field line or the empty line */
	GRAMMAR_NAME,	    /* in a name, after its first byte */
	GRAMMAR_VALUE,	    /* after the colon */
	GRAMMAR_LINE_END,   /* after the CR of a line */
	GRAMMAR_HEAD_END,   /* after the CR of the empty line */
	GRAMMAR_ENDED
} http_grammar_state_t;

/** typedef http_grammar_t - Its fields are private. */
typedef struct {
	http_grammar_state_t state;
	size_t position; /* in the status line, in bytes */
	bool is_interim; /* the status is 100 to 199 */
} http_grammar_t;

/** http_grammar_start() - Prepares for the first byte of @lines. */
void http_grammar_start(http_grammar_t *grammar, http_lines_t lines);

/**
 * http_grammar_read() - Reads bytes up to the end of the lines.
 * @used: set to the number of bytes that belong to the lines; on
 * HTTP_GRAMMAR_BROKEN, to those before the byte that is not allowed
 *
 * Must not be called again after HTTP_GRAMMAR_END or HTTP_GRAMMAR_BROKEN until
 * http_grammar_start() was.
 */
http_grammar_result_t http_grammar_read(
    http_grammar_t *grammar, const char *data, size_t size, size_t *used);

/** http_grammar_ended() - Whether the empty line after the lines was read. */
bool http_grammar_ended(const http_grammar_t *grammar);

/** http_grammar_is_interim() - Whether the status line that was read is that of
 * an interim response. */
bool http_grammar_is_interim(const http_grammar_t *grammar);

#endif
