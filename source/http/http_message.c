#include "http_message.h"

#include <string.h>
#include <strings.h>

#include "bulrushwell/http_framing.h"
#include "bulrushwell/response_memory.h"

#define MAX_NUMBER_DIGITS 9

static const char *const hop_headers[] = {"connection", "keep-alive",
    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
    "content-length", "expect", "proxy-authorization", "proxy-authenticate"};

/* Results of parser callbacks; 1 and 2 have a special meaning for
 * on_headers_complete(). */
#define STOP_PARSER (-1)
#define SKIP_BODY 1

static int
stop_parsing(http_message_t *message, http_feed_t failure)
{
	message->failure = failure;
	return STOP_PARSER;
}

static bool
header_space_left(const http_message_t *message, size_t size)
{
	return message->text.size + size <= message->max_header_bytes;
}

static int
on_url(http_parser *parser, const char *at, size_t size)
{
	http_message_t *message = parser->data;

	if (!header_space_left(message, size))
		return stop_parsing(message, HTTP_FEED_HEADERS_TOO_LARGE);
	buffer_append(&message->text, at, size);
	message->target_size += (uint32_t)size;
	return 0;
}

static int
on_header_field(http_parser *parser, const char *at, size_t size)
{
	http_message_t *message = parser->data;
	http_header_t *header;

	if (message->headers_done)
		return 0; /* trailers are ignored */
	if (!header_space_left(message, size))
		return stop_parsing(message, HTTP_FEED_HEADERS_TOO_LARGE);
	if (message->header_count == 0 || message->in_value) {
		if (message->header_count == HTTP_MAX_HEADERS)
			return stop_parsing(
			    message, HTTP_FEED_HEADERS_TOO_LARGE);
		header = &message->headers[message->header_count++];
		*header = (http_header_t){
		    .name_offset = (uint32_t)message->text.size,
		};
		message->in_value = false;
	}
	header = &message->headers[message->header_count - 1];
	buffer_append(&message->text, at, size);
	header->name_size += (uint32_t)size;
	header->value_offset = (uint32_t)message->text.size;
	return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t size)
{
	http_message_t *message = parser->data;
	http_header_t *header;

	if (message->headers_done || message->header_count == 0)
		return 0;
	if (!header_space_left(message, size))
		return stop_parsing(message, HTTP_FEED_HEADERS_TOO_LARGE);
	if (memchr(at, '\0', size) != NULL)
		return stop_parsing(message, HTTP_FEED_BAD);
	header = &message->headers[message->header_count - 1];
	message->in_value = true;
	buffer_append(&message->text, at, size);
	header->value_size += (uint32_t)size;
	return 0;
}

/* Whether the head says without contradiction where the body ends. */
static bool
is_framing_sound(const http_message_t *message)
{
	http_framing_t framing = {0};

	for (uint32_t i = 0; i < message->header_count; i++)
		http_framing_add(&framing, http_header_name(message, i),
		    http_header_value(message, i));
	return http_framing_is_sound(&framing);
}

static bool
may_have_body(const http_message_t *message)
{
	return message->parser.type == HTTP_REQUEST ||
	    (!message->no_body &&
		http_status_has_body(message->parser.status_code));
}

static int
on_headers_complete(http_parser *parser)
{
	http_message_t *message = parser->data;
	bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
	bool is_response = parser->type == HTTP_RESPONSE;

	message->headers_done = true;
	parser->upgrade = 0;
	if (!is_framing_sound(message))
		return stop_parsing(message, HTTP_FEED_BAD);
	if (!may_have_body(message))
		return SKIP_BODY;
	if (has_length && parser->content_length > message->max_body_bytes)
		return stop_parsing(message, HTTP_FEED_BODY_TOO_LARGE);
	message->ends_at_close =
	    is_response && (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
	return 0;
}

/*
 * The parser takes any two bytes for the line ends in a chunk, so it stops
 * after them. After the size of the last chunk, trailers follow.
 */
static int
on_chunk_header(http_parser *parser)
{
	http_message_t *message = parser->data;

	if (parser->flags & F_TRAILING)
		http_grammar_start(&message->grammar, HTTP_LINES_TRAILERS);
	http_parser_pause(parser, 1);
	return 0;
}

static int
on_chunk_complete(http_parser *parser)
{
	if ((parser->flags & F_TRAILING) == 0)
		http_parser_pause(parser, 1);
	return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t size)
{
	http_message_t *message = parser->data;

	if (message->discard_body)
		return 0;
	if (message->body.size + size > message->max_body_bytes)
		return stop_parsing(message, HTTP_FEED_BODY_TOO_LARGE);
	if (parser->type == HTTP_RESPONSE &&
	    !response_memory_take(&message->body_held, size))
		return stop_parsing(message, HTTP_FEED_BODY_TOO_LARGE);
	buffer_append(&message->body, at, size);
	return 0;
}

static int
on_message_complete(http_parser *parser)
{
	http_message_t *message = parser->data;

	message->complete = true;
	message->keep_alive = http_should_keep_alive(parser) != 0;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_chunk_header = on_chunk_header,
    .on_chunk_complete = on_chunk_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
start_parser(http_message_t *message, enum http_parser_type type)
{
	http_parser_init(&message->parser, type);
	message->parser.data = message;
	http_grammar_start(&message->grammar,
	    type == HTTP_RESPONSE ? HTTP_LINES_RESPONSE : HTTP_LINES_REQUEST);
}

void
http_message_init(http_message_t *message, enum http_parser_type type,
    size_t max_header_bytes, size_t max_body_bytes)
{
	memset(message, 0, offsetof(http_message_t, headers));
	message->max_header_bytes = max_header_bytes;
	message->max_body_bytes = max_body_bytes;
	message->body = (buffer_t){0};
	message->body_held = 0;
	start_parser(message, type);
	http_message_reset(message);
}

void
http_message_reset(http_message_t *message)
{
	start_parser(message, (enum http_parser_type)message->parser.type);
	buffer_clear(&message->text);
	buffer_clear(&message->body);
	response_memory_release(&message->body_held);
	message->target_size = 0;
	message->header_count = 0;
	message->failure = HTTP_FEED_BAD;
	message->started = false;
	message->headers_done = false;
	message->complete = false;
	message->keep_alive = false;
	message->ends_at_close = false;
	message->no_body = false;
	message->discard_body = false;
	message->interims = 0;
	message->in_value = false;
	message->last_byte = '\0';
}

void
http_message_free(http_message_t *message)
{
	buffer_free(&message->text);
	buffer_free(&message->body);
	response_memory_release(&message->body_held);
}

static bool
is_interim(const http_message_t *message)
{
	return message->parser.type == HTTP_RESPONSE &&
	    message->parser.status_code / 100 == 1;
}

/*
 * Limits @size to the bytes that the parser may have next: up to the end of the
 * lines, if it is in lines.
 *
 * Return: false when the grammar does not allow them.
 */
static bool
check_lines(http_message_t *message, const char *data, size_t *size)
{
	size_t used;

	if (http_grammar_ended(&message->grammar))
		return true;
	if (http_grammar_read(&message->grammar, data, *size, &used) ==
	    HTTP_GRAMMAR_BROKEN)
		return false;
	*size = used;
	return true;
}

/* Whether the last of the bytes that were parsed are a line end. */
static bool
ends_a_line(const http_message_t *message, const char *data, size_t size)
{
	char before = size > 1 ? data[size - 2] : message->last_byte;

	return size > 0 && before == '\r' && data[size - 1] == '\n';
}

/* Return: false when the bytes are refused. */
static bool
parse(http_message_t *message, const char *data, size_t size, size_t *used)
{
	http_parser *parser = &message->parser;
	size_t parsed = http_parser_execute(parser, &callbacks, data, size);

	*used += parsed;
	if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED && !message->complete) {
		if (!ends_a_line(message, data, parsed))
			return false;
		http_parser_pause(parser, 0);
	}
	if (parsed > 0)
		message->last_byte = data[parsed - 1];
	return message->complete || HTTP_PARSER_ERRNO(parser) == HPE_OK;
}

static http_feed_t
complete_result(http_message_t *message)
{
	if (!is_interim(message))
		return HTTP_FEED_DONE;
	return ++message->interims > HTTP_MAX_INTERIMS ? HTTP_FEED_BAD
						       : HTTP_FEED_INTERIM;
}

http_feed_t
http_message_feed(
    http_message_t *message, const char *data, size_t size, size_t *used)
{
	*used = 0;
	while (*used < size) {
		size_t next = size - *used;

		message->started = true;
		if (!check_lines(message, data + *used, &next))
			return HTTP_FEED_BAD;
		if (!parse(message, data + *used, next, used))
			return message->failure;
		if (message->complete)
			return complete_result(message);
	}
	return HTTP_FEED_MORE;
}

void
http_message_discard_body(http_message_t *message)
{
	message->discard_body = true;
	buffer_free(&message->body);
	response_memory_release(&message->body_held);
}

void
http_message_skip_interim(http_message_t *message)
{
	uint32_t interims = message->interims;
	bool no_body = message->no_body;
	bool discard_body = message->discard_body;

	http_message_reset(message);
	message->interims = interims;
	message->no_body = no_body;
	message->discard_body = discard_body;
}

http_feed_t
http_message_finish(http_message_t *message)
{
	http_parser_execute(&message->parser, &callbacks, NULL, 0);
	return message->complete ? HTTP_FEED_DONE : HTTP_FEED_BAD;
}

slice_t
http_message_target(const http_message_t *message)
{
	return (slice_t){message->text.data, message->target_size};
}

const char *
http_message_method(const http_message_t *message)
{
	return http_method_str((enum http_method)message->parser.method);
}

int
http_message_status(const http_message_t *message)
{
	return message->parser.status_code;
}

slice_t
http_header_name(const http_message_t *message, uint32_t index)
{
	const http_header_t *header = &message->headers[index];

	return (slice_t){
	    message->text.data + header->name_offset, header->name_size};
}

slice_t
http_header_value(const http_message_t *message, uint32_t index)
{
	const http_header_t *header = &message->headers[index];

	return slice_trim((slice_t){
	    message->text.data + header->value_offset, header->value_size});
}

bool
http_message_find(
    const http_message_t *message, const char *name, slice_t *value)
{
	for (uint32_t i = 0; i < message->header_count; i++) {
		if (!http_header_is(http_header_name(message, i), name))
			continue;
		*value = http_header_value(message, i);
		return true;
	}
	return false;
}

uint32_t
http_message_count(
    const http_message_t *message, const char *name, slice_t *value)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < message->header_count; i++) {
		if (!http_header_is(http_header_name(message, i), name))
			continue;
		*value = http_header_value(message, i);
		count++;
	}
	return count;
}

bool
http_message_find_single(
    const http_message_t *message, const char *name, slice_t *value)
{
	return http_message_count(message, name, value) == 1;
}

bool
http_header_is(slice_t header, const char *name)
{
	return strlen(name) == header.size &&
	    strncasecmp(header.data, name, header.size) == 0;
}

bool
http_header_is_hop_by_hop(slice_t header)
{
	for (size_t i = 0; i < sizeof(hop_headers) / sizeof(hop_headers[0]);
	     i++)
		if (http_header_is(header, hop_headers[i]))
			return true;
	return false;
}

bool
http_list_has_token(slice_t list, slice_t token)
{
	while (list.size > 0) {
		const char *comma = memchr(list.data, ',', list.size);
		size_t size =
		    comma != NULL ? (size_t)(comma - list.data) : list.size;
		slice_t item = slice_trim((slice_t){list.data, size});

		if (item.size == token.size &&
		    strncasecmp(item.data, token.data, token.size) == 0)
			return true;
		if (comma == NULL)
			break;
		list.data += size + 1;
		list.size -= size + 1;
	}
	return false;
}

int64_t
http_parse_number(slice_t text)
{
	int64_t number = 0;

	text = slice_trim(text);
	if (text.size == 0 || text.size > MAX_NUMBER_DIGITS)
		return -1;
	for (size_t i = 0; i < text.size; i++) {
		if (text.data[i] < '0' || text.data[i] > '9')
			return -1;
		number = number * 10 + (text.data[i] - '0');
	}
	return number;
}
