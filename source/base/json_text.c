#include "bulrushwell/json_text.h"

#include <stdbool.h>

static bool
needs_escape(unsigned char c)
{
	return c < 0x20 || c == '"' || c == '\\';
}

static void
append_escape(GString *out, unsigned char c)
{
	switch (c) {
	case '"':
		g_string_append(out, "\\\"");
		return;
	case '\\':
		g_string_append(out, "\\\\");
		return;
	case '\n':
		g_string_append(out, "\\n");
		return;
	default:
		g_string_append_printf(out, "\\u%04x", c);
	}
}

static void
append_valid(GString *out, const char *data, size_t size)
{
	size_t start = 0;

	for (size_t i = 0; i < size; i++) {
		if (!needs_escape((unsigned char)data[i]))
			continue;
		g_string_append_len(out, data + start, (gssize)(i - start));
		append_escape(out, (unsigned char)data[i]);
		start = i + 1;
	}
	g_string_append_len(out, data + start, (gssize)(size - start));
}

void
json_text_append(GString *out, slice_t text)
{
	const char *data = text.data;
	size_t left = text.size;

	g_string_append_c(out, '"');
	while (left > 0) {
		const char *end;
		size_t valid;

		g_utf8_validate_len(data, left, &end);
		valid = (size_t)(end - data);
		append_valid(out, data, valid);
		data += valid;
		left -= valid;
		if (left == 0)
			break;
		if (*data == '\0')
			g_string_append(out, "\\u0000");
		else
			g_string_append(out, "\xef\xbf\xbd");
		data++;
		left--;
	}
	g_string_append_c(out, '"');
}
