#include "bulrushwell/http_grammar.h"

#define IS_DIGIT(byte) ((byte) >= '0' && (byte) <= '9')
#define DELETE 0x7f

/* The status line before its reason: 'd' stands for a digit, 'c' for the first
 * digit of a status, 1 to 5; all else for itself. */
static const char status_line[] = "HTTP/1.d cdd ";
#define STATUS_LINE_BYTES (sizeof(status_line) - 1)

/* tchar (RFC 9110, section 5.6.2) */
static const bool is_token_byte[256] = {
    ['0' ... '9'] = true,
    ['A' ... 'Z'] = true,
    ['a' ... 'z'] = true,
    ['!'] = true,
    ['#'] = true,
    ['$'] = true,
    ['%'] = true,
    ['&'] = true,
    ['\''] = true,
    ['*'] = true,
    ['+'] = true,
    ['-'] = true,
    ['.'] = true,
    ['^'] = true,
    ['_'] = true,
    ['`'] = true,
    ['|'] = true,
    ['~'] = true,
};

/* HTAB, SP, VCHAR or obs-text: what a reason or a value is made of. */
static bool
is_text_byte(unsigned char byte)
{
	return (byte >= ' ' && byte != DELETE) || byte == '\t';
}

static bool
fits_status_line(size_t position, unsigned char byte)
{
	switch (status_line[position]) {
	case 'd':
		return IS_DIGIT(byte);
	case 'c':
		return byte >= '1' && byte <= '5';
	default:
		return byte == (unsigned char)status_line[position];
	}
}

/* The functions that read a byte return whether it is allowed. */

static bool
read_status_byte(http_grammar_t *grammar, unsigned char byte)
{
	if (!fits_status_line(grammar->position, byte))
		return false;
	if (status_line[grammar->position] == 'c')
		grammar->is_interim = byte == '1';
	if (++grammar->position == STATUS_LINE_BYTES)
		grammar->state = GRAMMAR_REASON;
	return true;
}

static bool
read_text_byte(http_grammar_t *grammar, unsigned char byte)
{
	if (byte != '\r')
		return is_text_byte(byte);
	grammar->state = GRAMMAR_LINE_END;
	return true;
}

static bool
read_request_byte(http_grammar_t *grammar, unsigned char byte)
{
	grammar->state = GRAMMAR_REQUEST;
	return read_text_byte(grammar, byte);
}

static bool
read_empty_lines(http_grammar_t *grammar, unsigned char byte)
{
	return byte == '\r' || byte == '\n' || read_request_byte(grammar, byte);
}

static bool
read_line_start(http_grammar_t *grammar, unsigned char byte)
{
	grammar->state = byte == '\r' ? GRAMMAR_HEAD_END : GRAMMAR_NAME;
	return byte == '\r' || is_token_byte[byte];
}

static bool
read_name_byte(http_grammar_t *grammar, unsigned char byte)
{
	if (byte != ':')
		return is_token_byte[byte];
	grammar->state = GRAMMAR_VALUE;
	return true;
}

static bool
read_line_feed(
    http_grammar_t *grammar, unsigned char byte, http_grammar_state_t next)
{
	grammar->state = next;
	return byte == '\n';
}

static bool
read_byte(http_grammar_t *grammar, unsigned char byte)
{
	switch (grammar->state) {
	case GRAMMAR_EMPTY_LINES:
		return read_empty_lines(grammar, byte);
	case GRAMMAR_REQUEST:
		return read_request_byte(grammar, byte);
	case GRAMMAR_STATUS:
		return read_status_byte(grammar, byte);
	case GRAMMAR_REASON:
	case GRAMMAR_VALUE:
		return read_text_byte(grammar, byte);
	case GRAMMAR_LINE_START:
		return read_line_start(grammar, byte);
	case GRAMMAR_NAME:
		return read_name_byte(grammar, byte);
	case GRAMMAR_LINE_END:
		return read_line_feed(grammar, byte, GRAMMAR_LINE_START);
	case GRAMMAR_HEAD_END:
		return read_line_feed(grammar, byte, GRAMMAR_ENDED);
	case GRAMMAR_ENDED:
		break;
	}
	return false;
}

void
http_grammar_start(http_grammar_t *grammar, http_lines_t lines)
{
	static const http_grammar_state_t first_states[] = {
	    [HTTP_LINES_REQUEST] = GRAMMAR_EMPTY_LINES,
	    [HTTP_LINES_RESPONSE] = GRAMMAR_STATUS,
	    [HTTP_LINES_TRAILERS] = GRAMMAR_LINE_START,
	};

	*grammar = (http_grammar_t){.state = first_states[lines]};
}

http_grammar_result_t
http_grammar_read(
    http_grammar_t *grammar, const char *data, size_t size, size_t *used)
{
	for (*used = 0; *used < size; (*used)++) {
		if (grammar->state == GRAMMAR_ENDED)
			return HTTP_GRAMMAR_END;
		if (!read_byte(grammar, (unsigned char)data[*used]))
			return HTTP_GRAMMAR_BROKEN;
	}
	return grammar->state == GRAMMAR_ENDED ? HTTP_GRAMMAR_END
					       : HTTP_GRAMMAR_MORE;
}

bool
http_grammar_ended(const http_grammar_t *grammar)
{
	return grammar->state == GRAMMAR_ENDED;
}

bool
http_grammar_is_interim(const http_grammar_t *grammar)
{
	return grammar->is_interim;
}
