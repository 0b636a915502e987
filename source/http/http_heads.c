#include "bulrushwell/http_heads.h"

void
http_heads_start(http_heads_t *heads)
{
	*heads = (http_heads_t){.result = HTTP_HEADS_SOUND};
	http_grammar_start(&heads->grammar, HTTP_LINES_RESPONSE);
}

/* Takes a line that has passed the grammar, perhaps without its end. What
 * stands before a colon in a status line is no name of a field. */
static void
note_field(http_heads_t *heads, const char *line, size_t size)
{
	const char *colon = memchr(line, ':', size);
	slice_t name, value;

	if (colon == NULL)
		return;
	while (line[size - 1] == '\r' || line[size - 1] == '\n')
		size--; /* stops at the colon */
	name = (slice_t){line, (size_t)(colon - line)};
	value = (slice_t){colon + 1, size - name.size - 1};
	http_framing_add(&heads->framing, name, value);
}

/*
 * After an interim head follows another one, after the final one trailers.
 *
 * Return: whether the head that ends says where its body ends.
 */
static bool
end_head(http_heads_t *heads)
{
	bool sound = heads->complete || http_framing_is_sound(&heads->framing);

	heads->framing = (http_framing_t){0};
	heads->complete =
	    heads->complete || !http_grammar_is_interim(&heads->grammar);
	http_grammar_start(&heads->grammar,
	    heads->complete ? HTTP_LINES_TRAILERS : HTTP_LINES_RESPONSE);
	return sound;
}

static http_heads_result_t
read_line(http_heads_t *heads, const char *line, size_t size)
{
	bool sound = true;
	size_t used;

	heads->bytes += size;
	if (heads->bytes > HTTP_HEADS_MAX_BYTES)
		return HTTP_HEADS_TOO_LARGE;
	switch (http_grammar_read(&heads->grammar, line, size, &used)) {
	case HTTP_GRAMMAR_BROKEN:
		return HTTP_HEADS_BROKEN;
	case HTTP_GRAMMAR_END:
		sound = end_head(heads);
		break;
	case HTTP_GRAMMAR_MORE:
		note_field(heads, line, size);
		break;
	}
	return sound && used == size ? HTTP_HEADS_SOUND : HTTP_HEADS_BROKEN;
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
