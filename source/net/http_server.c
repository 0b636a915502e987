#include "bulrushwell/http_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net_address.h"

#define IDLE_TIMEOUT_S 120
#define CONNECTION_MEMORY_BYTES 32768

struct http_server {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer timer;
	ev_prepare prepare;
	http_handler_t handler;
	void *context;
	MHD_socket closed_listener;
	bool closing;
	bool run_again; /* connections were resumed since the last MHD_run() */
	uint32_t open_exchanges;
};

struct http_exchange {
	http_server_t *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GString *body;
	bool too_large;
	bool handled; /* the handler has been called */
	bool in_handler;
	bool suspended;
	struct MHD_Response *response;
	int status;
	ev_io client_watcher; /* detects a disconnect while suspended */
	http_disconnect_t disconnect;
	void *disconnect_context;
};

static void
run_daemon(http_server_t *server)
{
	server->run_again = false;
	MHD_run(server->daemon);
}

static void
on_daemon_io(struct ev_loop *loop, ev_io *io, int events)
{
	run_daemon(io->data);
}

static void
on_daemon_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	run_daemon(timer->data);
}

/* Resumed connections make progress only in MHD_run(), so it is called once
 * more before the loop blocks. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	http_server_t *server = prepare->data;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	ev_timer_stop(loop, &server->timer);
	if (server->run_again) {
		run_daemon(server);
		/* New requests may need another iteration of the loop. */
		ev_timer_set(&server->timer, 0.0, 0.0);
		ev_timer_start(loop, &server->timer);
		return;
	}
	if (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_YES) {
		ev_timer_set(&server->timer, (double)timeout_ms / 1000.0, 0.0);
		ev_timer_start(loop, &server->timer);
	}
}

static void
call_disconnect(http_exchange_t *exchange)
{
	http_disconnect_t disconnect = exchange->disconnect;

	exchange->disconnect = NULL;
	if (disconnect != NULL)
		disconnect(exchange->disconnect_context);
}

/* Resumes a connection whose caller has disconnected. A suspended connection
 * has no timeout: without a response its socket would stay open forever. */
static void
close_disconnected(http_exchange_t *exchange)
{
	exchange->status = MHD_HTTP_SERVICE_UNAVAILABLE;
	exchange->response =
	    MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(
	    exchange->response, MHD_HTTP_HEADER_CONNECTION, "close");
	exchange->suspended = false;
	MHD_resume_connection(exchange->connection);
	exchange->server->run_again = true;
}

static void
on_client_data(struct ev_loop *loop, ev_io *io, int events)
{
	http_exchange_t *exchange = io->data;
	char byte;
	ssize_t n = recv(io->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n < 0)
		return;
	ev_io_stop(loop, io);
	/* Received data (n > 0) is a pipelined request, which is read after
	 * this response; n is 0 when the caller has disconnected. */
	if (n == 0) {
		call_disconnect(exchange);
		close_disconnected(exchange);
	}
}

static void
suspend(http_exchange_t *exchange)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	exchange->suspended = true;
	MHD_suspend_connection(exchange->connection);
	ev_io_init(&exchange->client_watcher, on_client_data, info->connect_fd,
	    EV_READ);
	exchange->client_watcher.data = exchange;
	ev_io_start(exchange->server->loop, &exchange->client_watcher);
}

static enum MHD_Result
queue_response(http_exchange_t *exchange)
{
	enum MHD_Result result;

	result = MHD_queue_response(exchange->connection,
	    (unsigned int)exchange->status, exchange->response);
	MHD_destroy_response(exchange->response);
	exchange->response = NULL;
	return result;
}

static http_exchange_t *
open_exchange(http_server_t *server, struct MHD_Connection *connection,
    const char *url, const char *method)
{
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);

	exchange->server = server;
	exchange->connection = connection;
	exchange->method = g_strdup(method);
	exchange->path = g_strdup(url);
	exchange->body = g_string_new(NULL);
	server->open_exchanges++;
	return exchange;
}

static void
add_upload(http_exchange_t *exchange, const char *data, size_t size)
{
	if (exchange->body->len + size > HTTP_SERVER_MAX_BODY) {
		exchange->too_large = true;
		g_string_truncate(exchange->body, 0);
	}
	if (!exchange->too_large)
		g_string_append_len(exchange->body, data, (gssize)size);
}

static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload_data,
    size_t *upload_size, void **per_request)
{
	http_server_t *server = context;
	http_exchange_t *exchange = *per_request;

	if (exchange == NULL) {
		*per_request = open_exchange(server, connection, url, method);
		return MHD_YES;
	}
	if (*upload_size > 0) {
		add_upload(exchange, upload_data, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!exchange->handled) {
		exchange->handled = true;
		exchange->in_handler = true;
		server->handler(server->context, exchange);
		exchange->in_handler = false;
		if (exchange->response == NULL) {
			suspend(exchange);
			return MHD_YES;
		}
	}
	if (exchange->response == NULL)
		return MHD_YES;
	return queue_response(exchange);
}

static void
on_completed(void *context, struct MHD_Connection *connection,
    void **per_request, enum MHD_RequestTerminationCode code)
{
	http_exchange_t *exchange = *per_request;

	if (exchange == NULL)
		return;
	*per_request = NULL;
	if (exchange->suspended)
		ev_io_stop(exchange->server->loop, &exchange->client_watcher);
	if (exchange->handled)
		call_disconnect(exchange);
	if (exchange->response != NULL)
		MHD_destroy_response(exchange->response);
	exchange->server->open_exchanges--;
	g_string_free(exchange->body, TRUE);
	g_free(exchange->method);
	g_free(exchange->path);
	g_free(exchange);
}

http_server_t *
http_server_create(struct ev_loop *loop, const char *address,
    http_handler_t handler, void *context)
{
	http_server_t *server;
	struct sockaddr_storage sockaddr;
	const union MHD_DaemonInfo *info;

	if (net_parse_address(address, &sockaddr) != 0)
		return NULL;
	server = g_new0(http_server_t, 1);
	server->loop = loop;
	server->handler = handler;
	server->context = context;
	server->closed_listener = MHD_INVALID_SOCKET;
	server->daemon =
	    MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
		    (sockaddr.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0),
		0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR,
		&sockaddr, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)HTTP_SERVER_MAX_CONNECTIONS,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
	if (server->daemon == NULL) {
		g_free(server);
		return NULL;
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&server->io, on_daemon_io, info->listen_fd, EV_READ);
	server->io.data = server;
	ev_io_start(loop, &server->io);
	ev_init(&server->timer, on_daemon_timer);
	server->timer.data = server;
	ev_prepare_init(&server->prepare, on_prepare);
	/* Runs after the node's own prepare watcher, which sends responses. */
	ev_set_priority(&server->prepare, EV_MINPRI);
	server->prepare.data = server;
	ev_prepare_start(loop, &server->prepare);
	return server;
}

void
http_server_close_listener(http_server_t *server)
{
	if (server->closed_listener == MHD_INVALID_SOCKET)
		server->closed_listener = MHD_quiesce_daemon(server->daemon);
}

void
http_server_set_closing(http_server_t *server)
{
	server->closing = true;
}

uint32_t
http_server_open_exchanges(const http_server_t *server)
{
	return server->open_exchanges;
}

void
http_server_destroy(http_server_t *server)
{
	if (server == NULL)
		return;
	http_server_close_listener(server);
	ev_io_stop(server->loop, &server->io);
	ev_timer_stop(server->loop, &server->timer);
	ev_prepare_stop(server->loop, &server->prepare);
	MHD_stop_daemon(server->daemon);
	if (server->closed_listener != MHD_INVALID_SOCKET)
		close(server->closed_listener);
	g_free(server);
}

const char *
http_exchange_method(const http_exchange_t *exchange)
{
	return exchange->method;
}

const char *
http_exchange_path(const http_exchange_t *exchange)
{
	return exchange->path;
}

const char *
http_exchange_header(const http_exchange_t *exchange, const char *name)
{
	return MHD_lookup_connection_value(
	    exchange->connection, MHD_HEADER_KIND, name);
}

slice_t
http_exchange_body(const http_exchange_t *exchange)
{
	return (slice_t){exchange->body->str, exchange->body->len};
}

bool
http_exchange_is_too_large(const http_exchange_t *exchange)
{
	return exchange->too_large;
}

void
http_exchange_on_disconnect(
    http_exchange_t *exchange, http_disconnect_t disconnect, void *context)
{
	exchange->disconnect = disconnect;
	exchange->disconnect_context = context;
}

static void
add_headers(http_exchange_t *exchange, struct MHD_Response *response,
    const char *content_type, int64_t retry_after_ms)
{
	char seconds[24];

	MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	if (retry_after_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%lld",
		    (long long)(retry_after_ms + 999) / 1000);
		MHD_add_response_header(
		    response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
	}
	if (exchange->server->closing)
		MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONNECTION, "close");
}

void
http_exchange_respond(http_exchange_t *exchange, int status,
    const char *content_type, slice_t body, int64_t retry_after_ms)
{
	exchange->disconnect = NULL;
	exchange->status = status;
	exchange->response = MHD_create_response_from_buffer(
	    body.size, (void *)(uintptr_t)body.data, MHD_RESPMEM_MUST_COPY);
	add_headers(exchange, exchange->response, content_type, retry_after_ms);
	if (!exchange->suspended)
		return;
	exchange->suspended = false;
	ev_io_stop(exchange->server->loop, &exchange->client_watcher);
	MHD_resume_connection(exchange->connection);
	exchange->server->run_again = true;
}
