#include "admin.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../http/http_message.h"
#include "../http/http_socket.h"
#include "bulrushwell/event.h"
#include "bulrushwell/memory_account.h"

#define RECEIVE_BYTES 4096
#define MAX_HEADER_BYTES 8192
#define MAX_BODY_BYTES 4096
#define SOCKET_BUFFER_BYTES 65536
#define RESPONSE_HEAD_BYTES 256
#define ACCEPT_PAUSE_S 0.1 /* when no descriptor is left */

struct admin {
	struct ev_loop *loop;
	ev_io listener;
	ev_timer accept_pause;
	int fd;
	admin_handler_t handler;
	void *context;
	uint32_t max_connections;
	GHashTable *connections; /* set of admin_connection_t */
	uint64_t uses;		 /* counts what connections do, in order */
};

typedef struct {
	admin_t *admin;
	ev_io readable;
	ev_io writable;
	int fd;
	http_message_t request;
	buffer_t pending; /* requests that wait until @out is sent */
	buffer_t out;
	size_t held; /* of the account of memory, for @out */
	bool close_after;
	uint64_t last_used; /* see admin_t.uses */
} admin_connection_t;

static void
close_connection(admin_connection_t *connection)
{
	admin_t *admin = connection->admin;

	ev_io_stop(admin->loop, &connection->readable);
	ev_io_stop(admin->loop, &connection->writable);
	close(connection->fd);
	http_message_free(&connection->request);
	buffer_free(&connection->pending);
	buffer_free(&connection->out);
	memory_account_resize(&connection->held, 0);
	g_hash_table_remove(admin->connections, connection);
	g_free(connection);
}

/* Return: false when there is no memory for the response. */
static bool
append_response(admin_connection_t *connection)
{
	admin_t *admin = connection->admin;
	buffer_t body = {0};
	int status = admin->handler(
	    admin->context, http_message_target(&connection->request), &body);

	if (!memory_account_resize(
		&connection->held, 2 * (body.size + RESPONSE_HEAD_BYTES))) {
		event_log_sampled(
		    EVENT_MEMORY_REFUSED, "admin=1 bytes=%zu", body.size);
		buffer_free(&body);
		return false;
	}
	connection->close_after = !connection->request.keep_alive;
	buffer_append_text(&connection->out, "HTTP/1.1 ");
	buffer_append_number(&connection->out, (unsigned long long)status);
	buffer_append_text(
	    &connection->out, status == 200 ? " OK\r\n" : " Unavailable\r\n");
	buffer_append_text(
	    &connection->out, "Content-Type: text/plain\r\nContent-Length: ");
	buffer_append_number(&connection->out, body.size);
	if (connection->close_after)
		buffer_append_text(&connection->out, "\r\nConnection: close");
	buffer_append_text(&connection->out, "\r\n\r\n");
	buffer_append(&connection->out, body.data, body.size);
	buffer_free(&body);
	http_message_reset(&connection->request);
	return true;
}

/* Return: false when the connection was closed. */
static bool
flush(admin_connection_t *connection)
{
	buffer_t *out = &connection->out;

	while (out->size > 0) {
		ssize_t n =
		    send(connection->fd, out->data, out->size, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN) {
			ev_io_start(
			    connection->admin->loop, &connection->writable);
			return true;
		}
		if (n < 0) {
			close_connection(connection);
			return false;
		}
		buffer_consume(out, (size_t)n);
	}
	memory_account_resize(&connection->held, 0);
	ev_io_stop(connection->admin->loop, &connection->writable);
	if (connection->close_after) {
		close_connection(connection);
		return false;
	}
	return true;
}

/*
 * Answers requests one after the other: the next one once the response before
 * it was sent, so that a client that reads nothing holds one response. Return:
 * false when the connection was closed.
 */
static bool
answer_pending(admin_connection_t *connection)
{
	buffer_t *pending = &connection->pending;

	while (pending->size > 0 && connection->out.size == 0) {
		size_t used;
		http_feed_t result = http_message_feed(
		    &connection->request, pending->data, pending->size, &used);

		buffer_consume(pending, used);
		if (result == HTTP_FEED_MORE)
			break;
		if (result != HTTP_FEED_DONE || !append_response(connection)) {
			close_connection(connection);
			return false;
		}
		if (!flush(connection))
			return false;
	}
	if (connection->out.size > 0)
		ev_io_stop(connection->admin->loop, &connection->readable);
	else
		ev_io_start(connection->admin->loop, &connection->readable);
	return true;
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	if (flush(watcher->data))
		answer_pending(watcher->data);
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	admin_connection_t *connection = watcher->data;
	char data[RECEIVE_BYTES];
	ssize_t n = recv(connection->fd, data, sizeof(data), 0);

	if (n < 0 && errno == EAGAIN)
		return;
	connection->last_used = ++connection->admin->uses;
	if (n <= 0) {
		close_connection(connection);
		return;
	}
	buffer_append(&connection->pending, data, (size_t)n);
	answer_pending(connection);
}

static void
close_longest_silent(admin_t *admin)
{
	admin_connection_t *oldest = NULL;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, admin->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		admin_connection_t *connection = key;

		if (oldest == NULL || connection->last_used < oldest->last_used)
			oldest = connection;
	}
	close_connection(oldest);
}

/* The connections that wait stay with the kernel meanwhile. */
static void
pause_accept(admin_t *admin)
{
	event_log_sampled(EVENT_DESCRIPTORS_USED_UP, "admin=1 errno=%d", errno);
	ev_io_stop(admin->loop, &admin->listener);
	ev_timer_set(&admin->accept_pause, ACCEPT_PAUSE_S, 0.0);
	ev_timer_start(admin->loop, &admin->accept_pause);
}

static void
on_accept_pause(struct ev_loop *loop, ev_timer *timer, int events)
{
	admin_t *admin = timer->data;

	ev_io_start(loop, &admin->listener);
}

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	admin_t *admin = watcher->data;
	admin_connection_t *connection;
	int fd = http_socket_accept(admin->fd);

	if (fd < 0) {
		if (http_socket_accept_exhausted(errno))
			pause_accept(admin);
		return;
	}
	if (g_hash_table_size(admin->connections) >= admin->max_connections)
		close_longest_silent(admin);
	connection = g_new0(admin_connection_t, 1);
	connection->admin = admin;
	connection->fd = fd;
	connection->last_used = ++admin->uses;
	http_message_init(&connection->request, HTTP_REQUEST, MAX_HEADER_BYTES,
	    MAX_BODY_BYTES);
	ev_io_init(&connection->readable, on_readable, fd, EV_READ);
	ev_io_init(&connection->writable, on_writable, fd, EV_WRITE);
	connection->readable.data = connection;
	connection->writable.data = connection;
	g_hash_table_add(admin->connections, connection);
	ev_io_start(loop, &connection->readable);
}

admin_t *
admin_create(struct ev_loop *loop, const struct sockaddr_in *address,
    uint32_t max_connections, admin_handler_t handler, void *context,
    int *error)
{
	int fd = http_socket_listen(address);
	admin_t *admin;

	if (fd < 0) {
		*error = fd;
		return NULL;
	}
	admin = g_new0(admin_t, 1);
	admin->loop = loop;
	admin->fd = fd;
	admin->handler = handler;
	admin->context = context;
	admin->max_connections = max_connections;
	admin->connections = g_hash_table_new(NULL, NULL);
	http_socket_limit_buffers(fd, SOCKET_BUFFER_BYTES);
	ev_init(&admin->accept_pause, on_accept_pause);
	admin->accept_pause.data = admin;
	ev_io_init(&admin->listener, on_accept, fd, EV_READ);
	admin->listener.data = admin;
	ev_io_start(loop, &admin->listener);
	return admin;
}

void
admin_destroy(admin_t *admin)
{
	GList *connections;

	if (admin == NULL)
		return;
	connections = g_hash_table_get_keys(admin->connections);
	for (GList *at = connections; at != NULL; at = at->next)
		close_connection(at->data);
	g_list_free(connections);
	ev_io_stop(admin->loop, &admin->listener);
	ev_timer_stop(admin->loop, &admin->accept_pause);
	close(admin->fd);
	g_hash_table_destroy(admin->connections);
	g_free(admin);
}
