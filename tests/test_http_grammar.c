/* Guards the grammar of the lines of a message at each byte: which of the 256
 * are allowed at a place, and where the lines end. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "bulrushwell/http_grammar.h"
#include "bulrushwell/http_heads.h"

#define TOKEN                                                          \
	"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghi" \
	"jklmnopqrstuvwxyz"
#define DIGITS "0123456789"

/* The bytes of a reason or a value: a tab, a blank, what can be seen, and what
 * is above ASCII. */
static char text_bytes[256];

/* All but @before and @after is one byte, which must be in @allowed. */
static const struct {
	const char *name;
	http_lines_t lines;
	const char *before;
	const char *after;
	const char *allowed;
} places[] = {
    {"request line", HTTP_LINES_REQUEST, "GET", "/ HTTP/1.1\r\n\r\n",
	text_bytes},
    {"CR of the request line", HTTP_LINES_REQUEST, "\r\nGET / HTTP/1.1",
	"\n\r\n", "\r"},
    {"LF of the request line", HTTP_LINES_REQUEST, "GET / HTTP/1.1\r", "\r\n",
	"\n"},
    {"first byte of a name of a request", HTTP_LINES_REQUEST,
	"GET / HTTP/1.1\r\n", ": b\r\n\r\n", TOKEN},
    {"major number", HTTP_LINES_RESPONSE, "HTTP/", ".1 200 OK\r\n\r\n", "1"},
    {"dot", HTTP_LINES_RESPONSE, "HTTP/1", "1 200 OK\r\n\r\n", "."},
    {"minor number", HTTP_LINES_RESPONSE, "HTTP/1.", " 200 OK\r\n\r\n", DIGITS},
    {"blank before the status", HTTP_LINES_RESPONSE, "HTTP/1.1",
	"200 OK\r\n\r\n", " "},
    {"first digit", HTTP_LINES_RESPONSE, "HTTP/1.1 ", "00 OK\r\n\r\n", "12345"},
    {"second digit", HTTP_LINES_RESPONSE, "HTTP/1.1 2", "0 OK\r\n\r\n", DIGITS},
    {"third digit", HTTP_LINES_RESPONSE, "HTTP/1.1 20", " OK\r\n\r\n", DIGITS},
    {"blank after the status", HTTP_LINES_RESPONSE, "HTTP/1.1 200",
	"OK\r\n\r\n", " "},
    {"first byte of the reason", HTTP_LINES_RESPONSE, "HTTP/1.1 200 ",
	"\r\n\r\n", text_bytes},
    {"reason", HTTP_LINES_RESPONSE, "HTTP/1.1 200 O", "K\r\n\r\n", text_bytes},
    {"CR of the status line", HTTP_LINES_RESPONSE, "HTTP/1.1 200 OK", "\n\r\n",
	"\r"},
    {"LF of the status line", HTTP_LINES_RESPONSE, "HTTP/1.1 200 OK\r", "\r\n",
	"\n"},
    {"first byte of a name", HTTP_LINES_RESPONSE, "HTTP/1.1 200 OK\r\n",
	": b\r\n\r\n", TOKEN},
    {"second byte of a name", HTTP_LINES_TRAILERS, "X", ": b\r\n\r\n",
	TOKEN ":"},
    {"name", HTTP_LINES_TRAILERS, "X-", "A: b\r\n\r\n", TOKEN ":"},
    {"colon", HTTP_LINES_TRAILERS, "X-A", "\r\n\r\n", ":"},
    {"first byte of a value", HTTP_LINES_TRAILERS, "X-A:", "b\r\n\r\n",
	text_bytes},
    {"value", HTTP_LINES_TRAILERS, "X-A: b", "c\r\n\r\n", text_bytes},
    {"last byte of a value", HTTP_LINES_TRAILERS, "X-A: b", "\r\n\r\n",
	text_bytes},
    {"CR of a field line", HTTP_LINES_TRAILERS, "X-A: b", "\n\r\n", "\r"},
    {"LF of a field line", HTTP_LINES_TRAILERS, "X-A: b\r", "\r\n", "\n"},
    {"first byte of the next line", HTTP_LINES_TRAILERS, "X-A: b\r\n",
	"-B: c\r\n\r\n", TOKEN},
    {"CR of the empty line", HTTP_LINES_TRAILERS, "X-A: b\r\n", "\n", "\r"},
    {"CR of the only line", HTTP_LINES_TRAILERS, "", "\n", "\r"},
    {"LF of the empty line", HTTP_LINES_TRAILERS, "X-A: b\r\n\r", "", "\n"},
};

static void
fill_text_bytes(void)
{
	size_t count = 0;

	for (int byte = 1; byte < 256; byte++)
		if (byte == '\t' || (byte >= ' ' && byte < 0x7f) ||
		    byte >= 0x80)
			text_bytes[count++] = (char)byte;
	text_bytes[count] = '\0';
}

/* Return: the result for the bytes in pieces of @piece bytes. */
static http_grammar_result_t
read_lines(
    http_lines_t lines, const char *data, size_t size, size_t piece, size_t *at)
{
	http_grammar_result_t result = HTTP_GRAMMAR_MORE;
	http_grammar_t grammar;

	http_grammar_start(&grammar, lines);
	for (*at = 0; *at < size && result == HTTP_GRAMMAR_MORE;) {
		size_t used;

		result = http_grammar_read(
		    &grammar, data + *at, MIN(piece, size - *at), &used);
		*at += used;
	}
	return result;
}

static bool
is_allowed(const char *allowed, int byte)
{
	return byte != 0 && strchr(allowed, byte) != NULL;
}

static void
check_byte(size_t place, int byte)
{
	size_t before = strlen(places[place].before), at;
	bool allowed = is_allowed(places[place].allowed, byte);
	GString *lines = g_string_new(places[place].before);

	g_string_append_c(lines, (char)byte);
	g_string_append(lines, places[place].after);
	for (size_t piece = 1; piece <= lines->len; piece++) {
		http_grammar_result_t result = read_lines(
		    places[place].lines, lines->str, lines->len, piece, &at);

		if ((result == HTTP_GRAMMAR_END) != allowed)
			fail_msg("%s: byte %d is %s", places[place].name, byte,
			    allowed ? "refused" : "allowed");
		if (allowed && at != lines->len)
			fail_msg("%s: byte %d: ends at %zu of %zu",
			    places[place].name, byte, at, lines->len);
		if (!allowed && (result != HTTP_GRAMMAR_BROKEN || at < before))
			fail_msg("%s: byte %d: refused at %zu",
			    places[place].name, byte, at);
	}
	g_string_free(lines, TRUE);
}

static void
each_place_allows_its_bytes_only(void **state)
{
	fill_text_bytes();
	for (size_t place = 0; place < G_N_ELEMENTS(places); place++)
		for (int byte = 0; byte < 256; byte++)
			check_byte(place, byte);
}

/* What follows the empty line belongs to something else. */
static void
lines_end_with_the_empty_line(void **state)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";
	static const char more[] = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n\001\002";
	size_t at;

	assert_int_equal(read_lines(HTTP_LINES_RESPONSE, more, sizeof(more) - 1,
			     sizeof(more), &at),
	    HTTP_GRAMMAR_END);
	assert_int_equal(at, strlen(head));
	for (size_t size = 0; size < strlen(head); size++)
		assert_int_equal(
		    read_lines(HTTP_LINES_RESPONSE, head, size, 1, &at),
		    HTTP_GRAMMAR_MORE);
}

/* libcurl may report a part of a line, if the connection ends in it. */
static void
a_part_of_a_line_completes_no_head(void **state)
{
	static const char *const lines[] = {"HTTP/1.1 200 OK\r\n", "X:\r\n",
	    "Content-Length: 4\r\n", "X-A:  b:c \r\n", "\r\n"};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		for (size_t size = 0; size < strlen(lines[i]); size++) {
			char *part = g_strndup(lines[i], size);
			http_heads_t heads;

			http_heads_start(&heads);
			for (size_t j = 0; j < i; j++)
				assert_int_equal(
				    http_heads_read(
					&heads, lines[j], strlen(lines[j])),
				    HTTP_HEADS_SOUND);
			assert_int_equal(http_heads_read(&heads, part, size),
			    HTTP_HEADS_SOUND);
			assert_false(http_heads_complete(&heads));
			g_free(part);
		}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(each_place_allows_its_bytes_only),
	    cmocka_unit_test(lines_end_with_the_empty_line),
	    cmocka_unit_test(a_part_of_a_line_completes_no_head),
	};

	return RUN_TESTS(argc, argv, tests);
}
