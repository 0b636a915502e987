#include "server_notice.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_UNAVAILABLE 503
#define NUMBER_TEXT_MAX 32 /* longer texts are no plausible number */

/* Only digits and one point: no sign, exponent, infinity or date. */
static bool
is_decimal(const char *text)
{
	size_t digits = strspn(text, "0123456789");
	const char *rest = text + digits;

	if (digits == 0)
		return false;
	if (*rest == '.')
		rest += 1 + strspn(rest + 1, "0123456789");
	return *rest == '\0';
}

/* Return: the time, or 0 for a text that is not a number of seconds. */
static usec_t
parse_seconds(slice_t value)
{
	char text[NUMBER_TEXT_MAX];
	double seconds;

	if (value.size >= sizeof(text))
		return 0;
	slice_to_text(value, text, sizeof(text));
	if (!is_decimal(text))
		return 0;
	seconds = g_ascii_strtod(text, NULL);
	if (seconds >= (double)SERVER_BACKOFF_MAX / USEC_PER_SEC)
		return SERVER_BACKOFF_MAX;
	return (usec_t)(seconds * USEC_PER_SEC);
}

server_notice_t
server_notice_read(const http_message_t *response, const char *leaving_header)
{
	bool refused = http_message_status(response) == STATUS_UNAVAILABLE;
	server_notice_t notice = {0};

	for (uint32_t i = 0; i < response->header_count; i++) {
		slice_t name = http_header_name(response, i);
		slice_t value = http_header_value(response, i);

		if (http_header_is(name, leaving_header))
			notice.leaving |= slice_is(value, "1");
		if (refused && http_header_is(name, "Retry-After"))
			notice.backoff =
			    MAX(notice.backoff, parse_seconds(value));
	}
	return notice;
}

load_notice_t
server_notice_read_load(const http_message_t *response, const char *load_header,
    load_report_t *report)
{
	load_notice_t notice = LOAD_NOT_REPORTED;

	for (uint32_t i = 0; i < response->header_count; i++) {
		if (!http_header_is(http_header_name(response, i), load_header))
			continue;
		if (notice != LOAD_NOT_REPORTED ||
		    !load_report_parse(http_header_value(response, i), report))
			return LOAD_REPORT_MALFORMED;
		notice = LOAD_REPORTED;
	}
	return notice;
}

static usec_t
parse_milliseconds(slice_t value)
{
	usec_t time = 0;

	for (size_t i = 0; i < value.size; i++) {
		if (value.data[i] < '0' || value.data[i] > '9')
			return 0;
		time = MIN(
		    time * 10 + MS(value.data[i] - '0'), SERVER_WARM_UP_MAX);
	}
	return time;
}

usec_t
server_notice_warm_up_left(const http_message_t *response, const char *header)
{
	usec_t left = 0;

	for (uint32_t i = 0; i < response->header_count; i++)
		if (http_header_is(http_header_name(response, i), header))
			left = MAX(left,
			    parse_milliseconds(http_header_value(response, i)));
	return left;
}
