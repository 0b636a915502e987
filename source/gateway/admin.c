#include "admin.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../http/http_message.h"
#include "../http/http_socket.h"

#define RECEIVE_BYTES 4096
#define MAX_HEADER_BYTES 8192
#define MAX_BODY_BYTES 4096
/* Beyond it the connection that has been silent for longest is closed. */
#define MAX_CONNECTIONS 64

struct admin {
	struct ev_loop *loop;
	ev_io listener;
	int fd;
	admin_handler_t handler;
	void *context;
	GHashTable *connections; /* set of admin_connection_t */
	uint64_t uses;		 /* counts what connections do, in order */
};

typedef struct {
	admin_t *admin;
	ev_io readable;
	ev_io writable;
	int fd;
	http_message_t request;
	buffer_t out;
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
	buffer_free(&connection->out);
	g_hash_table_remove(admin->connections, connection);
	g_free(connection);
}

static void
append_response(admin_connection_t *connection)
{
	admin_t *admin = connection->admin;
	buffer_t body = {0};
	int status = admin->handler(
	    admin->context, http_message_target(&connection->request), &body);

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
	ev_io_stop(connection->admin->loop, &connection->writable);
	if (connection->close_after) {
		close_connection(connection);
		return false;
	}
	return true;
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	flush(watcher->data);
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	admin_connection_t *connection = watcher->data;
	char data[RECEIVE_BYTES];
	ssize_t n = recv(connection->fd, data, sizeof(data), 0);
	size_t parsed = 0;

	if (n < 0 && errno == EAGAIN)
		return;
	connection->last_used = ++connection->admin->uses;
	if (n <= 0) {
		close_connection(connection);
		return;
	}
	while (parsed < (size_t)n) {
		size_t consumed;
		http_feed_t result = http_message_feed(&connection->request,
		    data + parsed, (size_t)n - parsed, &consumed);

		parsed += consumed;
		if (result == HTTP_FEED_MORE)
			break;
		if (result != HTTP_FEED_DONE) {
			close_connection(connection);
			return;
		}
		append_response(connection);
	}
	flush(connection);
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

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	admin_t *admin = watcher->data;
	admin_connection_t *connection;
	int fd = http_socket_accept(admin->fd);

	if (fd < 0)
		return;
	if (g_hash_table_size(admin->connections) >= MAX_CONNECTIONS)
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
    admin_handler_t handler, void *context, int *error)
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
	admin->connections = g_hash_table_new(NULL, NULL);
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
	close(admin->fd);
	g_hash_table_destroy(admin->connections);
	g_free(admin);
}
