/* Builds the heads of requests to servers and of responses to clients. */
#include <string.h>

#include "exchange_private.h"

#define RETRY_AFTER_TEXT_SIZE 32

static void
add_line(buffer_t *out, slice_t name, slice_t value)
{
	buffer_append(out, name.data, name.size);
	buffer_append(out, ": ", 2);
	buffer_append(out, value.data, value.size);
	buffer_append(out, "\r\n", 2);
}

void
head_add_field(buffer_t *out, const char *name, slice_t value)
{
	add_line(out, slice_from(name), value);
}

static void
copy_header(buffer_t *out, const http_message_t *message, uint32_t index)
{
	add_line(out, http_header_name(message, index),
	    http_header_value(message, index));
}

/* Headers listed in the Connection header are hop-by-hop too. */
static bool
is_hop_by_hop(const http_message_t *message, slice_t name)
{
	slice_t list;

	return http_header_is_hop_by_hop(name) ||
	    (http_message_find(message, "Connection", &list) &&
		http_list_has_token(list, name));
}

/* Headers that the gateway replaces in requests to servers. */
static bool
is_replaced_for_servers(const exchange_t *exchange, slice_t name)
{
	const header_names_t *names = &exchange->engine->settings.headers;

	return http_header_is(name, names->deadline_ms) ||
	    http_header_is(name, names->expected_server) ||
	    group_header_is_internal(name) ||
	    customer_drops_header(exchange, name);
}

void
head_build_common(exchange_t *exchange)
{
	const http_message_t *request = exchange->request;
	slice_t target = http_message_target(request);
	buffer_t *out = &exchange->common_head;

	buffer_append_text(out, http_message_method(request));
	buffer_append(out, " ", 1);
	buffer_append(out, target.data, target.size);
	buffer_append_text(out, " HTTP/1.1\r\n");
	for (uint32_t i = 0; i < request->header_count; i++) {
		slice_t name = http_header_name(request, i);

		if (!is_hop_by_hop(request, name) &&
		    !is_replaced_for_servers(exchange, name))
			copy_header(out, request, i);
	}
	customer_add_header(exchange, out);
	if (request->body.size > 0 || request->parser.method == HTTP_POST ||
	    request->parser.method == HTTP_PUT) {
		buffer_append_text(out, "Content-Length: ");
		buffer_append_number(out, request->body.size);
		buffer_append(out, "\r\n", 2);
	}
}

void
head_build_unfinished(exchange_t *exchange, usec_t now, buffer_t *out)
{
	const header_names_t *names = &exchange->engine->settings.headers;
	usec_t left = exchange->deadline - now;

	buffer_clear(out);
	buffer_append(
	    out, exchange->common_head.data, exchange->common_head.size);
	buffer_append_text(out, names->deadline_ms);
	buffer_append(out, ": ", 2);
	buffer_append_number(
	    out, (unsigned long long)MAX(left / USEC_PER_MS, 1));
	buffer_append(out, "\r\n", 2);
}

void
head_build_attempt(exchange_t *exchange, const upstream_server_t *server,
    usec_t now, buffer_t *out)
{
	const header_names_t *names = &exchange->engine->settings.headers;

	head_build_unfinished(exchange, now, out);
	head_add_field(
	    out, names->expected_server, slice_from(server->entry.id));
	buffer_append(out, "\r\n", 2);
}

static void
add_status_line(buffer_t *out, int status)
{
	const char *reason = http_status_str((enum http_status)status);

	buffer_append_text(out, "HTTP/1.1 ");
	buffer_append_number(out, (unsigned long long)status);
	buffer_append(out, " ", 1);
	buffer_append_text(out, reason);
	buffer_append(out, "\r\n", 2);
}

static void
add_content_length(buffer_t *out, int status, size_t body_size)
{
	if (status != 204 && status != 304) {
		buffer_append_text(out, "Content-Length: ");
		buffer_append_number(out, body_size);
		buffer_append(out, "\r\n", 2);
	}
}

void
head_build_forwarded(const header_names_t *names,
    const http_message_t *response, bool keep_stamp, int status,
    size_t body_size, buffer_t *out)
{
	add_status_line(out, status);
	for (uint32_t i = 0; i < response->header_count; i++) {
		slice_t name = http_header_name(response, i);

		if (is_hop_by_hop(response, name))
			continue;
		if (!keep_stamp && http_header_is(name, names->response_stamp))
			continue;
		copy_header(out, response, i);
	}
	add_content_length(out, status, body_size);
}

void
head_build_local(
    int status, double retry_after_s, size_t body_size, buffer_t *out)
{
	add_status_line(out, status);
	if (retry_after_s >= 0.0) {
		char text[RETRY_AFTER_TEXT_SIZE];

		g_ascii_formatd(text, sizeof(text), "%.3f", retry_after_s);
		head_add_field(out, "Retry-After", slice_from(text));
	}
	if (body_size > 0)
		buffer_append_text(out, "Content-Type: application/json\r\n");
	add_content_length(out, status, body_size);
}
