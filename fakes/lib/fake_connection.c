/* Connections of the stand-ins: counts, limit, waiting and waking. */
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "fake_internal.h"

/* Called with the server's lock held. */
static void
uncount_connection(fake_connection_t *connection)
{
	if (connection->counted) {
		connection->counted = false;
		connection->server->counts.open--;
	}
}

bool
fake_connection_closed_by_peer(const fake_connection_t *connection)
{
	struct pollfd event = {connection->fd, POLLRDHUP, 0};

	return poll(&event, 1, 0) == 1 &&
	    (event.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Stops counting connections that the peer has closed before their threads have
 * noticed, so that a client that keeps to the limit is not refused. Called with
 * the server's lock held. */
static void
uncount_closed_connections(fake_server_t *server)
{
	for (guint i = 0; i < server->connections->len; i++) {
		fake_connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		if (connection->counted &&
		    fake_connection_closed_by_peer(connection))
			uncount_connection(connection);
	}
}

enum MHD_Result
fake_accept(void *context, const struct sockaddr *address, socklen_t size)
{
	fake_server_t *server = context;
	bool accepted = true;

	g_mutex_lock(&server->lock);
	if (server->max_connections > 0 &&
	    server->counts.open >= server->max_connections) {
		uncount_closed_connections(server);
		accepted = server->counts.open < server->max_connections;
	}
	if (!accepted)
		server->counts.refused++;
	g_mutex_unlock(&server->lock);
	return accepted ? MHD_YES : MHD_NO;
}

static fake_connection_t *
open_connection(fake_server_t *server, struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	fake_connection_t *connection = g_new0(fake_connection_t, 1);

	connection->server = server;
	connection->fd = info->connect_fd;
	connection->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	connection->counted = true;
	g_mutex_lock(&server->lock);
	g_ptr_array_add(server->connections, connection);
	server->counts.opened++;
	server->counts.open++;
	if (server->counts.open > server->counts.max_open) {
		uncount_closed_connections(server);
		server->counts.max_open =
		    MAX(server->counts.max_open, server->counts.open);
	}
	g_mutex_unlock(&server->lock);
	return connection;
}

static void
close_connection(fake_connection_t *connection)
{
	fake_server_t *server = connection->server;

	g_mutex_lock(&server->lock);
	uncount_connection(connection);
	g_ptr_array_remove_fast(server->connections, connection);
	g_mutex_unlock(&server->lock);
	close(connection->wake_fd);
	g_free(connection);
}

void
fake_notify_connection(void *context, struct MHD_Connection *mhd,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*socket_context = open_connection(context, mhd);
	else if (*socket_context != NULL)
		close_connection(*socket_context);
}

static bool
is_counted(fake_connection_t *connection)
{
	bool counted;

	g_mutex_lock(&connection->server->lock);
	counted = connection->counted;
	g_mutex_unlock(&connection->server->lock);
	return counted;
}

static void
handle_closed_by_peer(fake_connection_t *connection)
{
	g_mutex_lock(&connection->server->lock);
	uncount_connection(connection);
	g_mutex_unlock(&connection->server->lock);
}

void
fake_connection_wait(fake_connection_t *connection, usec_t deadline)
{
	struct pollfd events[2] = {
	    {connection->wake_fd, POLLIN, 0}, {connection->fd, POLLRDHUP, 0}};
	usec_t remaining = deadline - clock_monotonic();
	struct timespec timeout;
	uint64_t ignored;

	if (remaining <= 0)
		return;
	if (!is_counted(connection))
		events[1].fd = -1;
	timeout.tv_sec = remaining / USEC_PER_SEC;
	timeout.tv_nsec = remaining % USEC_PER_SEC * 1000;
	if (ppoll(events, 2, &timeout, NULL) <= 0)
		return;
	if (events[1].revents != 0)
		handle_closed_by_peer(connection);
	if (events[0].revents != 0 &&
	    read(connection->wake_fd, &ignored, sizeof(ignored)) < 0 &&
	    errno != EAGAIN)
		abort();
}

void
fake_connection_sleep(fake_connection_t *connection, usec_t deadline)
{
	while (clock_monotonic() < deadline &&
	    !fake_server_is_stopping(connection->server))
		fake_connection_wait(connection, deadline);
}

void
fake_connection_wake(fake_connection_t *connection)
{
	uint64_t one = 1;

	if (write(connection->wake_fd, &one, sizeof(one)) < 0 &&
	    errno != EAGAIN)
		abort();
}
