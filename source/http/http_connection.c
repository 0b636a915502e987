#include "http_connection.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "bulrushwell/memory_account.h"
#include "http_socket.h"

#define RECEIVE_BYTES 16384
/* Other connections are served after this many reads from one. */
#define MAX_READS_PER_EVENT 8
#define MAX_RESPONSE_HEADER_BYTES 32768
#define OUT_GROWTH 2 /* a buffer may have twice the size of its bytes */

struct http_connection {
	struct ev_loop *loop;
	ev_io readable;
	ev_io writable;
	int fd;
	http_connection_state_t state;
	http_message_t response;
	buffer_t out;
	size_t held; /* of the account of memory, for @out */
	size_t sent;
	bool sent_any;
	/* A call on the socket has failed. The kernel reports a reset only
	 * once: later reads look like an orderly end. */
	bool broken;
	bool reusable;
	const http_connection_handlers_t *handlers;
	void *owner;
	bool destroyed; /* freed once the running callback returns */
	int depth;	/* nesting of I/O callbacks */
	bool refused;	/* nothing listens at the address */
};

static void
release(http_connection_t *connection)
{
	http_message_free(&connection->response);
	buffer_free(&connection->out);
	memory_account_resize(&connection->held, 0);
	g_free(connection);
}

static void
leave_callback(http_connection_t *connection)
{
	connection->depth--;
	if (connection->destroyed && connection->depth == 0)
		release(connection);
}

static void
close_socket(http_connection_t *connection)
{
	if (connection->fd < 0)
		return;
	ev_io_stop(connection->loop, &connection->readable);
	ev_io_stop(connection->loop, &connection->writable);
	close(connection->fd);
	connection->fd = -1;
	connection->state = HTTP_CONNECTION_CLOSED;
}

static void
end_connection(http_connection_t *connection, http_close_reason_t reason)
{
	if (connection->state == HTTP_CONNECTION_CLOSED)
		return;
	close_socket(connection);
	connection->handlers->closed(connection->owner, connection, reason);
}

static void
set_write_interest(http_connection_t *connection, bool wanted)
{
	if (wanted)
		ev_io_start(connection->loop, &connection->writable);
	else
		ev_io_stop(connection->loop, &connection->writable);
}

/* After a failed call on the socket; returns whether the connection is lost. */
static bool
is_broken_by_error(http_connection_t *connection)
{
	if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
		return false;
	connection->broken = true;
	return true;
}

static void
flush(http_connection_t *connection)
{
	buffer_t *out = &connection->out;

	while (connection->sent < out->size) {
		ssize_t n = send(connection->fd, out->data + connection->sent,
		    out->size - connection->sent, MSG_NOSIGNAL);

		if (n < 0) {
			if (is_broken_by_error(connection))
				break; /* the read side ends the connection */
			set_write_interest(connection, true);
			return;
		}
		connection->sent_any = true;
		connection->sent += (size_t)n;
	}
	set_write_interest(connection, false);
	if (connection->sent < out->size)
		return;
	/* All of it is with the kernel. */
	buffer_clear(out);
	connection->sent = 0;
	memory_account_resize(&connection->held, 0);
}

/* The connection is reusable only if the request was sent completely and
 * nothing was received after the response. */
static void
finish_response(http_connection_t *connection, bool bytes_left)
{
	connection->reusable = connection->response.keep_alive &&
	    !connection->response.ends_at_close && !bytes_left &&
	    connection->sent == connection->out.size;
	connection->state = HTTP_CONNECTION_IDLE;
}

static bool
deliver_response(http_connection_t *connection, bool bytes_left)
{
	http_message_t *response = &connection->response;
	bool final;

	finish_response(connection, bytes_left);
	final = connection->handlers->responded(
	    connection->owner, connection, response);
	if (connection->destroyed ||
	    connection->state == HTTP_CONNECTION_CLOSED)
		return false;
	if (!final) {
		bool no_body = response->no_body;

		connection->state = HTTP_CONNECTION_BUSY;
		http_message_reset(response);
		response->no_body = no_body;
	} else if (connection->state == HTTP_CONNECTION_IDLE) {
		http_message_reset(response); /* frees the body */
	}
	return !final;
}

/* Return: whether the connection still waits for the final response. */
static bool
deliver_interim(http_connection_t *connection)
{
	if (connection->handlers->interim != NULL)
		connection->handlers->interim(
		    connection->owner, connection, &connection->response);
	if (connection->destroyed ||
	    connection->state == HTTP_CONNECTION_CLOSED)
		return false;
	http_message_skip_interim(&connection->response);
	return true;
}

static http_close_reason_t
failure_reason(http_feed_t fed)
{
	return fed == HTTP_FEED_HEADERS_TOO_LARGE ||
		fed == HTTP_FEED_BODY_TOO_LARGE
	    ? HTTP_CLOSED_TOO_LARGE
	    : HTTP_CLOSED_MALFORMED;
}

static void
parse_bytes(http_connection_t *connection, const char *data, size_t size)
{
	while (size > 0) {
		size_t used;
		http_feed_t fed;

		if (connection->state != HTTP_CONNECTION_BUSY) {
			end_connection(connection, HTTP_CLOSED_MALFORMED);
			return;
		}
		fed =
		    http_message_feed(&connection->response, data, size, &used);
		data += used;
		size -= used;
		if (fed == HTTP_FEED_MORE)
			return;
		if (fed == HTTP_FEED_INTERIM) {
			if (!deliver_interim(connection))
				return;
			continue;
		}
		if (fed != HTTP_FEED_DONE) {
			end_connection(connection, failure_reason(fed));
			return;
		}
		if (!deliver_response(connection, size > 0))
			return;
	}
}

static void
handle_end(http_connection_t *connection, bool orderly)
{
	if (orderly && connection->state == HTTP_CONNECTION_BUSY &&
	    connection->response.ends_at_close &&
	    http_message_finish(&connection->response) == HTTP_FEED_DONE)
		deliver_response(connection, false);
	if (!connection->destroyed)
		end_connection(connection, HTTP_CLOSED_BY_PEER);
}

static void
receive(http_connection_t *connection)
{
	char data[RECEIVE_BYTES];
	int reads = 0;
	ssize_t n;

	do {
		n = recv(connection->fd, data, sizeof(data), 0);
		if (n == 0) {
			handle_end(connection, !connection->broken);
			return;
		}
		if (n < 0) {
			if (is_broken_by_error(connection))
				handle_end(connection, false);
			return;
		}
		parse_bytes(connection, data, (size_t)n);
	} while (!connection->destroyed && connection->fd >= 0 &&
	    (size_t)n == sizeof(data) && ++reads < MAX_READS_PER_EVENT);
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	http_connection_t *connection = watcher->data;

	connection->depth++;
	receive(connection);
	leave_callback(connection);
}

static void
finish_connect(http_connection_t *connection)
{
	int error = 0;
	socklen_t size = sizeof(error);
	bool waiting = connection->out.size > 0;

	if (getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size) !=
		0 ||
	    error != 0) {
		connection->refused = error == ECONNREFUSED;
		end_connection(connection, HTTP_CLOSED_CONNECT_FAILED);
		return;
	}
	connection->state =
	    waiting ? HTTP_CONNECTION_BUSY : HTTP_CONNECTION_IDLE;
	ev_io_start(connection->loop, &connection->readable);
	set_write_interest(connection, false);
	connection->handlers->connected(connection->owner, connection);
	if (!connection->destroyed && waiting && connection->fd >= 0)
		flush(connection);
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	http_connection_t *connection = watcher->data;

	connection->depth++;
	if (connection->state == HTTP_CONNECTION_CONNECTING)
		finish_connect(connection);
	else
		flush(connection);
	leave_callback(connection);
}

http_connection_t *
http_connection_create(struct ev_loop *loop, const struct sockaddr_in *address,
    size_t max_body_bytes, const http_connection_handlers_t *handlers,
    void *owner)
{
	int fd = http_socket_connect(address);
	http_connection_t *connection;

	if (fd < 0)
		return NULL;
	connection = g_new0(http_connection_t, 1);
	connection->loop = loop;
	connection->fd = fd;
	connection->state = HTTP_CONNECTION_CONNECTING;
	connection->reusable = true;
	connection->handlers = handlers;
	connection->owner = owner;
	http_message_init(&connection->response, HTTP_RESPONSE,
	    MAX_RESPONSE_HEADER_BYTES, max_body_bytes);
	ev_io_init(&connection->readable, on_readable, fd, EV_READ);
	ev_io_init(&connection->writable, on_writable, fd, EV_WRITE);
	connection->readable.data = connection;
	connection->writable.data = connection;
	set_write_interest(connection, true);
	return connection;
}

void
http_connection_destroy(http_connection_t *connection)
{
	if (connection == NULL)
		return;
	close_socket(connection);
	connection->destroyed = true;
	if (connection->depth == 0)
		release(connection);
}

void
http_connection_detect_silence(http_connection_t *connection, usec_t limit)
{
	http_socket_detect_silence(connection->fd, limit);
}

bool
http_connection_reserve(http_connection_t *connection, size_t bytes)
{
	return memory_account_resize(&connection->held, OUT_GROWTH * bytes);
}

void
http_connection_send(http_connection_t *connection, const buffer_t *head,
    slice_t body, bool head_only)
{
	buffer_clear(&connection->out);
	connection->sent = 0;
	connection->sent_any = false;
	buffer_append(&connection->out, head->data, head->size);
	buffer_append(&connection->out, body.data, body.size);
	http_message_reset(&connection->response);
	connection->response.no_body = head_only;
	if (connection->state != HTTP_CONNECTION_IDLE)
		return; /* sent by finish_connect() */
	connection->state = HTTP_CONNECTION_BUSY;
	flush(connection);
}

http_connection_state_t
http_connection_state(const http_connection_t *connection)
{
	return connection->state;
}

bool
http_connection_unacknowledged(const http_connection_t *connection)
{
	return connection->fd >= 0 &&
	    (connection->state == HTTP_CONNECTION_CONNECTING ||
		http_socket_unacknowledged(connection->fd));
}

void
http_connection_discard_unsent(http_connection_t *connection)
{
	if (connection->fd >= 0)
		http_socket_reset_on_close(connection->fd);
}

void
http_connection_discard_body(http_connection_t *connection)
{
	http_message_discard_body(&connection->response);
}

bool
http_connection_refused(const http_connection_t *connection)
{
	return connection->refused;
}

bool
http_connection_got_interim(http_connection_t *connection)
{
	char byte;
	ssize_t n;

	if (connection->response.interims > 0)
		return true;
	if (connection->fd < 0)
		return false;
	n = recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n < 0)
		is_broken_by_error(connection);
	return n > 0;
}

bool
http_connection_sent_any(const http_connection_t *connection)
{
	return connection->sent_any;
}

bool
http_connection_reusable(const http_connection_t *connection)
{
	return connection->state == HTTP_CONNECTION_IDLE &&
	    connection->reusable;
}
