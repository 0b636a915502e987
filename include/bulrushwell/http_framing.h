#ifndef BULRUSHWELL_HTTP_FRAMING_H
#define BULRUSHWELL_HTTP_FRAMING_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/slice.h"

/**
 * DOC: Fields that say where the body of a message ends
 *
 * (RFC 9112, section 6.) A message is sound with one Content-Length that is a
 * number, with the one transfer encoding "chunked", or with neither. No other
 * encoding is supported, and of several lengths no one can tell which is right.
 */

/** typedef http_framing_t - Zeroed at the start of a head. Its fields are
 * private. */
typedef struct {
	uint32_t lengths;
	uint32_t encodings;
	bool broken;
} http_framing_t;

/** http_framing_add() - Takes note of a field line, whatever its name is. */
void http_framing_add(http_framing_t *framing, slice_t name, slice_t value);

/** http_framing_is_sound() - Whether the fields so far agree with each other.
 */
bool http_framing_is_sound(const http_framing_t *framing);

/** http_status_has_body() - Whether a response with this status may have a body
 * at all, whatever its fields say. */
bool http_status_has_body(int status);

#endif
