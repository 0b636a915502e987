#include "bulrushwell/http_heads.h"

void
http_heads_start(http_heads_t *heads)
{
	*heads = (http_heads_t){.result = HTTP_HEADS_SOUND};
	http_grammar_start(&heads->grammar, HTTP_LINES_RESPONSE);
}

/* After an interim head follows another one, after the final one trailers. */
static void
end_head(http_heads_t *heads)
{
	heads->complete =
	    heads->complete || !http_grammar_is_interim(&heads->grammar);
	http_grammar_start(&heads->grammar,
	    heads->complete ? HTTP_LINES_TRAILERS : HTTP_LINES_RESPONSE);
}

static http_heads_result_t
read_line(http_heads_t *heads, const char *line, size_t size)
{
	size_t used;

	heads->bytes += size;
	if (heads->bytes > HTTP_HEADS_MAX_BYTES)
		return HTTP_HEADS_TOO_LARGE;
	switch (http_grammar_read(&heads->grammar, line, size, &used)) {
	case HTTP_GRAMMAR_BROKEN:
		return HTTP_HEADS_BROKEN;
	case HTTP_GRAMMAR_END:
		end_head(heads);
		break;
	case HTTP_GRAMMAR_MORE:
		break;
	}
	return used == size ? HTTP_HEADS_SOUND : HTTP_HEADS_BROKEN;
}

http_heads_result_t
http_heads_read(http_heads_t *heads, const char *line, size_t size)
{
	if (heads->result == HTTP_HEADS_SOUND)
		heads->result = read_line(heads, line, size);
	return heads->result;
}

bool
http_heads_complete(const http_heads_t *heads)
{
	return heads->result == HTTP_HEADS_SOUND && heads->complete;
}
