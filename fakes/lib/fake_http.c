/* HTTP server of the stand-ins, based on libmicrohttpd. */
#include "fake_http.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake_internal.h"

/* Each connection has a thread; the stacks of thousands must fit in memory. */
#define THREAD_STACK_BYTES (256 * 1024)
#define LISTEN_BACKLOG 1024

/** typedef upload_t - The part of a request body that has arrived. */
typedef struct {
	GString *body;
	bool too_large;
} upload_t;

static bool
is_silent(fake_connection_t *connection)
{
	bool silent;

	g_mutex_lock(&connection->server->lock);
	silent = connection->silent;
	g_mutex_unlock(&connection->server->lock);
	return silent;
}

/* Waits until the peer closes the connection or the server stops. */
static void
wait_until_closed(fake_connection_t *connection)
{
	while (!fake_server_is_stopping(connection->server) &&
	    !fake_connection_closed_by_peer(connection))
		fake_connection_wait(
		    connection, clock_monotonic() + SECONDS(1));
}

/* Sends the body in @context, then an error, which closes the connection before
 * the announced length. */
static ssize_t
read_truncated_body(void *context, uint64_t position, char *buffer, size_t max)
{
	const GString *body = context;

	if (position >= body->len)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	max = MIN(max, body->len - position);
	memcpy(buffer, body->str + position, max);
	return (ssize_t)max;
}

static void
free_truncated_body(void *context)
{
	g_string_free(context, TRUE);
}

static struct MHD_Response *
make_response(const fake_reply_t *reply)
{
	size_t sent_size = reply->body->len - reply->withheld_bytes;
	struct MHD_Response *response;

	if (reply->withheld_bytes > 0)
		response = MHD_create_response_from_callback(reply->body->len,
		    4096, read_truncated_body,
		    g_string_new_len(reply->body->str, (gssize)sent_size),
		    free_truncated_body);
	else
		response = MHD_create_response_from_buffer(
		    sent_size, reply->body->str, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "Content-Type", "application/json");
	for (size_t i = 0; i < reply->header_count; i++)
		MHD_add_response_header(
		    response, reply->headers[i].name, reply->headers[i].value);
	return response;
}

static enum MHD_Result
send_reply(struct MHD_Connection *mhd, fake_connection_t *connection,
    fake_reply_t *reply)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (is_silent(connection)) {
		wait_until_closed(connection);
		return MHD_NO;
	}
	if (reply->status == 0 || fake_server_is_stopping(connection->server))
		return MHD_NO;
	response = make_response(reply);
	result = MHD_queue_response(mhd, (unsigned int)reply->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
run_handler(fake_server_t *server, struct MHD_Connection *mhd,
    const char *method, const char *path, const upload_t *upload)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	fake_connection_t *connection = info->socket_context;
	fake_reply_t reply = {.status = 200, .body = g_string_new(NULL)};
	fake_request_t request = {method, path,
	    {upload->body->str, upload->body->len}, connection,
	    connection->requests++ == 0, mhd};
	enum MHD_Result result;

	if (upload->too_large)
		fake_reply_text(&reply, 413, "{\"error\":\"too_large\"}");
	else if (!is_silent(connection))
		server->handler(server->context, &request, &reply);
	result = send_reply(mhd, connection, &reply);
	g_string_free(reply.body, TRUE);
	return result;
}

/* libmicrohttpd calls this once for the headers, again for each piece of the
 * body, and last with *size 0. */
static enum MHD_Result
handle_request(void *context, struct MHD_Connection *mhd, const char *path,
    const char *method, const char *http_version, const char *data,
    size_t *size, void **request_context)
{
	fake_server_t *server = context;
	upload_t *upload = *request_context;

	if (upload == NULL) {
		upload = g_new0(upload_t, 1);
		upload->body = g_string_new(NULL);
		*request_context = upload;
		return MHD_YES;
	}
	if (*size > 0) {
		if (upload->body->len + *size > server->max_body)
			upload->too_large = true;
		else
			g_string_append_len(upload->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	return run_handler(server, mhd, method, path, upload);
}

static void
free_request(void *context, struct MHD_Connection *mhd, void **request_context,
    enum MHD_RequestTerminationCode code)
{
	upload_t *upload = *request_context;

	if (upload == NULL)
		return;
	g_string_free(upload->body, TRUE);
	g_free(upload);
	*request_context = NULL;
}

fake_server_t *
fake_server_create(const char *address, fake_handler_t handler, void *context,
    size_t max_body, uint32_t max_connections)
{
	fake_server_t *server = g_new0(fake_server_t, 1);

	g_strlcpy(server->address, address, sizeof(server->address));
	server->handler = handler;
	server->context = context;
	server->max_body = max_body;
	server->max_connections = max_connections;
	server->connections = g_ptr_array_new();
	g_mutex_init(&server->lock);
	g_mutex_init(&server->lifecycle_lock);
	return server;
}

static int
open_listener(const char *address)
{
	struct sockaddr_in socket_address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	char host[64];
	char *colon;

	g_strlcpy(host, address, sizeof(host));
	colon = strrchr(host, ':');
	if (fd < 0 || colon == NULL)
		return -1;
	*colon = '\0';
	socket_address.sin_port = htons((uint16_t)atoi(colon + 1));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (inet_pton(AF_INET, host, &socket_address.sin_addr) == 1 &&
	    bind(fd, (struct sockaddr *)&socket_address,
		sizeof(socket_address)) == 0 &&
	    listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	perror(address);
	close(fd);
	return -1;
}

static bool
start_daemon(fake_server_t *server)
{
	int fd = open_listener(server->address);

	if (fd < 0)
		return false;
	server->stopping = false;
	server->start_count++;
	server->daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD |
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL | MHD_USE_ITC,
	    0, fake_accept, server, handle_request, server,
	    MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_CONNECTION,
	    fake_notify_connection, server, MHD_OPTION_NOTIFY_COMPLETED,
	    free_request, NULL, MHD_OPTION_THREAD_STACK_SIZE,
	    (size_t)THREAD_STACK_BYTES, MHD_OPTION_CONNECTION_LIMIT, 30000U,
	    MHD_OPTION_END);
	if (server->daemon == NULL)
		close(fd);
	return server->daemon != NULL;
}

bool
fake_server_start(fake_server_t *server)
{
	bool started;

	g_mutex_lock(&server->lifecycle_lock);
	started = server->daemon != NULL || start_daemon(server);
	g_mutex_unlock(&server->lifecycle_lock);
	return started;
}

static void
close_connections(fake_server_t *server)
{
	g_mutex_lock(&server->lock);
	for (guint i = 0; i < server->connections->len; i++) {
		fake_connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		shutdown(connection->fd, SHUT_RDWR);
		fake_connection_wake(connection);
	}
	g_mutex_unlock(&server->lock);
}

static void
set_stopping(fake_server_t *server)
{
	g_mutex_lock(&server->lock);
	server->stopping = true;
	g_mutex_unlock(&server->lock);
}

/* Called with lifecycle_lock held. */
static void
stop_daemon(fake_server_t *server)
{
	if (server->daemon == NULL)
		return;
	set_stopping(server);
	close(MHD_quiesce_daemon(server->daemon));
	close_connections(server);
	MHD_stop_daemon(server->daemon);
	server->daemon = NULL;
}

void
fake_server_stop(fake_server_t *server)
{
	g_mutex_lock(&server->lifecycle_lock);
	stop_daemon(server);
	g_mutex_unlock(&server->lifecycle_lock);
}

/** typedef crash_request_t - The server to stop, if it has this count. */
typedef struct {
	fake_server_t *server;
	uint64_t start_count;
} crash_request_t;

static gpointer
crash_thread(gpointer context)
{
	crash_request_t *crash = context;
	fake_server_t *server = crash->server;

	/* A restart that took the lock first has stopped the crashed daemon
	 * already; the new one must keep running. */
	g_mutex_lock(&server->lifecycle_lock);
	if (server->start_count == crash->start_count)
		stop_daemon(server);
	g_mutex_unlock(&server->lifecycle_lock);
	g_free(crash);
	return NULL;
}

void
fake_server_crash(fake_server_t *server)
{
	crash_request_t *crash = g_new(crash_request_t, 1);

	/* A restart waits for the calling handler to return, so start_count
	 * cannot change here. */
	*crash = (crash_request_t){server, server->start_count};
	set_stopping(server);
	g_thread_unref(g_thread_new("crash", crash_thread, crash));
}

bool
fake_server_is_stopping(fake_server_t *server)
{
	bool stopping;

	g_mutex_lock(&server->lock);
	stopping = server->stopping;
	g_mutex_unlock(&server->lock);
	return stopping;
}

void
fake_server_silence(fake_server_t *server, const fake_connection_t *except)
{
	g_mutex_lock(&server->lock);
	for (guint i = 0; i < server->connections->len; i++) {
		fake_connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		if (connection != except) {
			connection->silent = true;
			fake_connection_wake(connection);
		}
	}
	g_mutex_unlock(&server->lock);
}

void
fake_server_wake_all(fake_server_t *server)
{
	g_mutex_lock(&server->lock);
	for (guint i = 0; i < server->connections->len; i++)
		fake_connection_wake(g_ptr_array_index(server->connections, i));
	g_mutex_unlock(&server->lock);
}

void
fake_server_get_counts(fake_server_t *server, fake_connection_counts_t *counts)
{
	g_mutex_lock(&server->lock);
	*counts = server->counts;
	g_mutex_unlock(&server->lock);
}

void
fake_server_destroy(fake_server_t *server)
{
	fake_server_stop(server);
	g_ptr_array_free(server->connections, TRUE);
	g_mutex_clear(&server->lock);
	g_mutex_clear(&server->lifecycle_lock);
	g_free(server);
}
