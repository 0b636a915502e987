#include "bulrushwell/http_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../http/client_pressure.h"
#include "../http/http_socket.h"
#include "bulrushwell/clock.h"
#include "bulrushwell/event.h"
#include "bulrushwell/memory_account.h"
#include "net_address.h"

#define IDLE_TIMEOUT_S 120
#define CONNECTION_MEMORY_BYTES 32768
/* The kernel's buffers of a connection; they count as memory of the VM. */
#define SOCKET_BUFFER_BYTES 65536
/* Accepted beyond the limit, until idle connections have been closed. */
#define SPARE_CONNECTIONS 8
#define PRESSURE_CHECK_INTERVAL_S 0.1
/* A caller that makes no progress for this long may be closed for others. */
#define HOLDER_MIN_AGE MS(500)

/* A connection of libmicrohttpd; closed by a shutdown of its socket, which
 * libmicrohttpd then sees. */
typedef struct {
	int fd;
	http_exchange_t *exchange; /* NULL: idle, or the head arrives */
	usec_t progress_at;
	bool has_requested;
	bool closing; /* its socket was shut down */
} caller_t;

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
	uint32_t max_connections;
	GPtrArray *callers; /* caller_t */
	ev_timer pressure_check;
};

struct http_exchange {
	http_server_t *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GString *body;
	caller_t *caller;
	size_t held; /* of the account of memory: the body, then the response */
	bool too_large;
	bool out_of_memory;
	bool responded;
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

static pressure_client_t
describe(const caller_t *caller)
{
	const http_exchange_t *exchange = caller->exchange;

	return (pressure_client_t){
	    .bytes = exchange != NULL ? exchange->held : 0,
	    .since = caller->progress_at,
	    .waits_for_it = !caller->closing && exchange != NULL &&
		exchange->held > 0 &&
		(!exchange->handled || exchange->responded),
	    .is_idle = !caller->closing && exchange == NULL,
	    .has_requested = caller->has_requested,
	};
}

static pressure_client_t *
describe_all(const http_server_t *server)
{
	pressure_client_t *described =
	    g_new(pressure_client_t, server->callers->len);

	for (guint i = 0; i < server->callers->len; i++)
		described[i] = describe(server->callers->pdata[i]);
	return described;
}

static void
close_caller(caller_t *caller)
{
	caller->closing = true;
	shutdown(caller->fd, SHUT_RDWR);
}

/* Closes the caller that has held most for longest. */
static void
close_holder(const http_server_t *server)
{
	pressure_client_t *described = describe_all(server);
	int chosen = pressure_choose_holder(
	    described, server->callers->len, HOLDER_MIN_AGE, clock_monotonic());

	if (chosen >= 0) {
		event_log_sampled(EVENT_MEMORY_CLOSED,
		    "bytes=%zu held=%zu limit=%zu", described[chosen].bytes,
		    memory_account_held(), memory_account_limit());
		close_caller(server->callers->pdata[chosen]);
	}
	g_free(described);
}

static void
close_longest_idle(const http_server_t *server)
{
	pressure_client_t *described = describe_all(server);
	int chosen = pressure_choose_idle(
	    described, server->callers->len, clock_monotonic());

	if (chosen >= 0) {
		event_log_sampled(EVENT_CONNECTION_EVICTED, "connections=%u",
		    server->max_connections);
		close_caller(server->callers->pdata[chosen]);
	}
	g_free(described);
}

/* Those that are being closed leave their places soon. */
static guint
count_open(const http_server_t *server)
{
	guint open = 0;

	for (guint i = 0; i < server->callers->len; i++) {
		const caller_t *caller = server->callers->pdata[i];

		open += !caller->closing;
	}
	return open;
}

static void
on_pressure_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	const http_server_t *server = timer->data;
	guint open = count_open(server);

	for (guint i = server->max_connections; i <= open; i++)
		close_longest_idle(server);
	if (pressure_is_high(memory_account_held(), memory_account_limit()))
		close_holder(server);
}

static void
on_connection(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	http_server_t *server = context;
	const union MHD_ConnectionInfo *info;
	caller_t *caller = *socket_context;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		/* At its limit libmicrohttpd stops to listen; once connections
		 * have ended it listens again in its next run. */
		server->run_again |=
		    server->callers->len >= server->max_connections;
		g_ptr_array_remove_fast(server->callers, caller);
		g_free(caller);
		*socket_context = NULL;
		return;
	}
	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	caller = g_new0(caller_t, 1);
	caller->fd = info->connect_fd;
	caller->progress_at = clock_monotonic();
	*socket_context = caller;
	g_ptr_array_add(server->callers, caller);
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
	exchange->caller = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			       ->socket_context;
	exchange->caller->exchange = exchange;
	exchange->caller->progress_at = clock_monotonic();
	server->open_exchanges++;
	return exchange;
}

static void
drop_body(http_exchange_t *exchange)
{
	g_string_free(exchange->body, TRUE);
	exchange->body = g_string_new(NULL);
	memory_account_resize(&exchange->held, 0);
}

/* Charges room before a body grows, up to twice its size. */
static bool
reserve_upload(http_exchange_t *exchange, size_t size)
{
	size_t needed = exchange->body->len + size + 1;

	if (needed <= exchange->body->allocated_len)
		return true;
	return memory_account_resize(&exchange->held, 2 * needed);
}

static void
add_upload(http_exchange_t *exchange, const char *data, size_t size)
{
	exchange->caller->progress_at = clock_monotonic();
	if (exchange->too_large || exchange->out_of_memory)
		return;
	if (exchange->body->len + size > HTTP_SERVER_MAX_BODY) {
		exchange->too_large = true;
		drop_body(exchange);
	} else if (!reserve_upload(exchange, size)) {
		exchange->out_of_memory = true;
		drop_body(exchange);
		close_holder(exchange->server);
	} else {
		g_string_append_len(exchange->body, data, (gssize)size);
		memory_account_resize(
		    &exchange->held, exchange->body->allocated_len);
	}
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
	memory_account_resize(&exchange->held, 0);
	exchange->caller->exchange = NULL;
	exchange->caller->has_requested = true;
	exchange->caller->progress_at = clock_monotonic();
	exchange->server->open_exchanges--;
	g_string_free(exchange->body, TRUE);
	g_free(exchange->method);
	g_free(exchange->path);
	g_free(exchange);
}

http_server_t *
http_server_create(struct ev_loop *loop, const char *address,
    uint32_t max_connections, http_handler_t handler, void *context)
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
	server->max_connections = max_connections;
	server->callers = g_ptr_array_new();
	server->daemon =
	    MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
		    (sockaddr.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0),
		0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR,
		&sockaddr, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)(max_connections + SPARE_CONNECTIONS),
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
	if (server->daemon == NULL) {
		g_ptr_array_free(server->callers, TRUE);
		g_free(server);
		return NULL;
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	http_socket_limit_buffers(info->listen_fd, SOCKET_BUFFER_BYTES);
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
	ev_timer_init(&server->pressure_check, on_pressure_check,
	    PRESSURE_CHECK_INTERVAL_S, PRESSURE_CHECK_INTERVAL_S);
	server->pressure_check.data = server;
	ev_timer_start(loop, &server->pressure_check);
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
	ev_timer_stop(server->loop, &server->pressure_check);
	MHD_stop_daemon(server->daemon);
	g_ptr_array_free(server->callers, TRUE);
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

bool
http_exchange_is_out_of_memory(const http_exchange_t *exchange)
{
	return exchange->out_of_memory;
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

/*
 * Charges a response beside the body of its request. Without room the
 * connection is closed: the request may have run, and a closed connection
 * promises nothing.
 */
static bool
hold_response(http_exchange_t *exchange, size_t bytes)
{
	if (memory_account_resize(&exchange->held, bytes))
		return true;
	event_log_sampled(EVENT_MEMORY_CLOSED, "answer=%zu held=%zu limit=%zu",
	    bytes, memory_account_held(), memory_account_limit());
	close_holder(exchange->server);
	close_caller(exchange->caller);
	return false;
}

void
http_exchange_respond(http_exchange_t *exchange, int status,
    const char *content_type, slice_t body, int64_t retry_after_ms)
{
	exchange->disconnect = NULL;
	exchange->responded = true;
	exchange->caller->progress_at = clock_monotonic();
	if (!hold_response(exchange, exchange->body->allocated_len + body.size))
		body = (slice_t){0};
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
