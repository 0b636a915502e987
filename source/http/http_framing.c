#include "bulrushwell/http_framing.h"

#include <strings.h>

#define MAX_LENGTH_DIGITS 18 /* any number of so many fits into 64 bits */
#define ENCODING "chunked"

static bool
is_named(slice_t name, const char *expected)
{
	return name.size == strlen(expected) &&
	    strncasecmp(name.data, expected, name.size) == 0;
}

static bool
is_number(slice_t text)
{
	if (text.size == 0 || text.size > MAX_LENGTH_DIGITS)
		return false;
	for (size_t i = 0; i < text.size; i++)
		if (text.data[i] < '0' || text.data[i] > '9')
			return false;
	return true;
}

void
http_framing_add(http_framing_t *framing, slice_t name, slice_t value)
{
	value = slice_trim(value);
	if (is_named(name, "Content-Length")) {
		framing->lengths++;
		framing->broken |= !is_number(value);
	} else if (is_named(name, "Transfer-Encoding")) {
		framing->encodings++;
		framing->broken |= !is_named(value, ENCODING);
	}
}

bool
http_framing_is_sound(const http_framing_t *framing)
{
	return !framing->broken && framing->lengths + framing->encodings <= 1;
}

bool
http_status_has_body(int status)
{
	return status / 100 != 1 && status != 204 && status != 304;
}
