#ifndef BULRUSHWELL_HTTP_HEADS_H
#define BULRUSHWELL_HTTP_HEADS_H

#include <stdbool.h>

#include "bulrushwell/http_framing.h"
#include "bulrushwell/http_grammar.h"

/**
 * DOC: Heads of one response, as libcurl reports them
 *
 * libcurl passes on line by line what it takes for a head: the heads of interim
 * responses, that of the final one, and its trailers. It takes more than the
 * grammar allows, and a head that ends in the middle for a whole one.
 */

/* Of all heads of a response, interim ones and trailers included. */
#define HTTP_HEADS_MAX_BYTES (64 * 1024)

typedef enum {
	HTTP_HEADS_SOUND,
	HTTP_HEADS_BROKEN,   /* the grammar does not allow it, or where the
				body ends can't be told */
	HTTP_HEADS_TOO_LARGE /* more than HTTP_HEADS_MAX_BYTES */
} http_heads_result_t;

/** typedef http_heads_t - Its fields are private. */
typedef struct {
	http_grammar_t grammar;
	http_framing_t framing; /* of the head that is read */
	http_heads_result_t result;
	size_t bytes;
	bool complete; /* the final head is */
} http_heads_t;

/** http_heads_start() - Prepares for the first line of a response. */
void http_heads_start(http_heads_t *heads);

/**
 * http_heads_read() - Reads a line with its line end.
 *
 * Return: HTTP_HEADS_SOUND; otherwise the response is no answer, and this is
 * returned for all further lines too.
 */
http_heads_result_t http_heads_read(
    http_heads_t *heads, const char *line, size_t size);

/** http_heads_complete() - Whether all of the final head has been read. */
bool http_heads_complete(const http_heads_t *heads);

#endif
