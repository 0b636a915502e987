#include "frontend.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../base/loop_clock.h"
#include "../http/http_socket.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"

#define RECEIVE_BUFFER_BYTES 16384
#define MAX_PENDING_BYTES 65536 /* pipelined bytes per client */
#define MAX_CLIENTS 3000	/* bounds the file descriptors in use */
#define MAX_ACCEPTS_PER_EVENT 64
#define TIMEOUT_CHECK_INTERVAL_S 0.25
#define CLIENT_SILENCE_TIMEOUT SECONDS(6)
/* A client that reads nothing for this long is disconnected. */
#define WRITE_STALL_TIMEOUT SECONDS(10)
/*
 * Input after the last response is discarded for this long: an immediate close
 * could cause a reset that truncates the response.
 */
#define LINGER_TIMEOUT MS(500)
/* Longer than a peer keeps an idle connection. */
#define PEER_IDLE_TIMEOUT SECONDS(70)

typedef enum {
	CLIENT_READING,	 /* idle, or reading a request */
	CLIENT_WAITING,	 /* for the response of the exchange */
	CLIENT_LINGERING /* last response sent; waits for the peer to close */
} client_state_t;

typedef struct {
	frontend_t *frontend;
	ev_io readable;
	ev_io writable;
	int fd;
	client_state_t state;
	http_message_t request;
	exchange_t *exchange;
	buffer_t pending; /* bytes after the current request */
	buffer_t output;
	size_t output_sent; /* bytes of output sent */
	usec_t state_since; /* start of the state, or of the request */
	uint32_t requests;  /* received on this connection */
	bool close_after;   /* after the output is sent */
	bool parsing;	    /* in parse_input() */
	bool closed;	    /* freed when parsing ends */
} client_t;

struct frontend {
	struct ev_loop *loop;
	ev_io listener;
	ev_timer timeout_check;
	int fd;
	frontend_kind_t kind;
	exchange_engine_t *engine;
	GHashTable *clients; /* set of client_t */
	bool stopping;
};

static void parse_input(client_t *client, const char *data, size_t size);

static usec_t
frontend_now(const frontend_t *frontend)
{
	return loop_clock_now(frontend->loop);
}

static void
free_client(client_t *client)
{
	http_message_free(&client->request);
	buffer_free(&client->pending);
	buffer_free(&client->output);
	g_free(client);
}

static void
close_client(client_t *client)
{
	frontend_t *frontend = client->frontend;
	exchange_t *exchange = client->exchange;

	if (client->closed)
		return;
	client->closed = true;
	client->exchange = NULL;
	ev_io_stop(frontend->loop, &client->readable);
	ev_io_stop(frontend->loop, &client->writable);
	close(client->fd);
	g_hash_table_remove(frontend->clients, client);
	if (exchange != NULL)
		exchange_client_gone(exchange);
	if (!client->parsing)
		free_client(client);
}

static void
begin_linger(client_t *client)
{
	client->state = CLIENT_LINGERING;
	client->state_since = frontend_now(client->frontend);
	shutdown(client->fd, SHUT_WR);
}

/* Sends pending output. Returns false when the connection is broken. */
static bool
write_output(client_t *client)
{
	buffer_t *output = &client->output;

	while (client->output_sent < output->size) {
		ssize_t n = send(client->fd, output->data + client->output_sent,
		    output->size - client->output_sent, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(client->frontend->loop, &client->writable);
			return true;
		}
		if (n < 0 && errno != EINTR)
			return false;
		if (n > 0)
			client->output_sent += (size_t)n;
	}
	ev_io_stop(client->frontend->loop, &client->writable);
	buffer_clear(output);
	client->output_sent = 0;
	return true;
}

/* Like write_output(), and closes a broken connection, or one that has had its
 * last response. Returns false when the client was closed. */
static bool
flush_output(client_t *client)
{
	if (!write_output(client)) {
		close_client(client);
		return false;
	}
	if (client->output.size == 0 && client->close_after &&
	    client->state != CLIENT_LINGERING)
		begin_linger(client);
	return true;
}

static void
queue_response(client_t *client, const buffer_t *head, slice_t body)
{
	buffer_append(&client->output, head->data, head->size);
	if (client->close_after)
		buffer_append_text(&client->output, "Connection: close\r\n");
	buffer_append(&client->output, "\r\n", 2);
	if (client->request.parser.method != HTTP_HEAD)
		buffer_append(&client->output, body.data, body.size);
}

static void
parse_pending(client_t *client)
{
	buffer_t pending = client->pending;

	client->pending = (buffer_t){0};
	ev_io_start(client->frontend->loop, &client->readable);
	parse_input(client, pending.data, pending.size);
	buffer_free(&pending);
}

static void
on_reply(void *context, const buffer_t *head, slice_t body)
{
	client_t *client = context;

	client->exchange = NULL;
	if (!client->request.keep_alive || client->frontend->stopping)
		client->close_after = true;
	queue_response(client, head, body);
	client->state = CLIENT_READING;
	client->state_since = frontend_now(client->frontend);
	http_message_reset(&client->request);
	if (!flush_output(client) || client->parsing)
		return;
	if (client->pending.size > 0 && client->state == CLIENT_READING)
		parse_pending(client);
}

static void
reject(client_t *client, int status)
{
	buffer_t head = {0};

	event_log_sampled(EVENT_CLIENT_REFUSED, "status=%d bytes=%zu", status,
	    client->request.text.size);
	client->close_after = true;
	buffer_append_text(&head, "HTTP/1.1 ");
	buffer_append_number(&head, (unsigned long long)status);
	buffer_append_text(&head, " Refused\r\nContent-Length: 0\r\n");
	queue_response(client, &head, (slice_t){0});
	buffer_free(&head);
	flush_output(client);
}

static int
rejection_status(http_feed_t result)
{
	switch (result) {
	case HTTP_FEED_HEADERS_TOO_LARGE:
		return 431;
	case HTTP_FEED_BODY_TOO_LARGE:
		return 413;
	case HTTP_FEED_MORE:
	case HTTP_FEED_DONE:
	case HTTP_FEED_INTERIM:
	case HTTP_FEED_BAD:
		break;
	}
	return 400;
}

/* A client with "Expect: 100-continue" waits for this to send its body. */
static void
send_continue(client_t *client)
{
	slice_t value;

	if (!client->request.headers_done || client->request.body.size > 0 ||
	    !http_message_find(&client->request, "Expect", &value) ||
	    !http_list_has_token(value, slice_from("100-continue")))
		return;
	buffer_append_text(&client->output, "HTTP/1.1 100 Continue\r\n\r\n");
	flush_output(client);
}

/* The exchange goes on after this, so a broken connection is closed later. */
static void
on_interim(void *context, const buffer_t *head)
{
	client_t *client = context;

	buffer_append(&client->output, head->data, head->size);
	buffer_append(&client->output, "\r\n", 2);
	if (!write_output(client))
		ev_io_start(client->frontend->loop, &client->writable);
}

/* Tells a peer that its request is being processed. */
static void
accept_request(client_t *client)
{
	buffer_append_text(&client->output, "HTTP/1.1 102 Processing\r\n\r\n");
	flush_output(client);
}

/* A request may have waited while this process was paused; its client may have
 * left and sent it elsewhere. */
static bool
has_left(const client_t *client)
{
	char byte;

	return recv(client->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
start_exchange(client_t *client)
{
	bool is_peer = client->frontend->kind == FRONTEND_PEERS;
	const client_connection_t connection = {
	    .round_trip = http_socket_round_trip(client->fd),
	    .first_request = client->requests == 0,
	    .is_peer = is_peer,
	    .interim = on_interim,
	};
	exchange_t *exchange;

	if (has_left(client)) {
		close_client(client);
		return;
	}
	client->state = CLIENT_WAITING;
	client->requests++;
	/* Before anything is sent to servers, see groups_check(). */
	if (is_peer)
		accept_request(client);
	if (client->closed)
		return;
	exchange = exchange_start(client->frontend->engine, &client->request,
	    &connection, on_reply, client);
	if (exchange != NULL)
		client->exchange = exchange;
}

static const client_limits_t *
frontend_limits(const frontend_t *frontend)
{
	const route_table_t *table = engine_table(frontend->engine);

	return table != NULL ? route_table_limits(table)
			     : &client_limits_default;
}

static void
apply_limits(client_t *client)
{
	const client_limits_t *limits = frontend_limits(client->frontend);

	client->request.max_header_bytes = limits->max_header_bytes;
	client->request.max_body_bytes = limits->max_body_bytes;
}

static void
feed_request(client_t *client, const char **data, size_t *size)
{
	bool had_headers = client->request.headers_done;
	http_feed_t result;
	size_t used;

	if (!client->request.started) {
		apply_limits(client);
		client->state_since = frontend_now(client->frontend);
	}
	result = http_message_feed(&client->request, *data, *size, &used);
	*data += used;
	*size -= used;
	if (result == HTTP_FEED_MORE && !had_headers)
		send_continue(client);
	else if (result == HTTP_FEED_DONE)
		start_exchange(client);
	else if (result != HTTP_FEED_MORE)
		reject(client, rejection_status(result));
}

static void
parse_input(client_t *client, const char *data, size_t size)
{
	client->parsing = true;
	while (size > 0 && !client->closed && !client->close_after &&
	    client->state == CLIENT_READING)
		feed_request(client, &data, &size);
	client->parsing = false;
	if (client->closed) {
		free_client(client);
		return;
	}
	if (size > 0 && client->state == CLIENT_WAITING) {
		buffer_append(&client->pending, data, size);
		if (client->pending.size > MAX_PENDING_BYTES)
			ev_io_stop(client->frontend->loop, &client->readable);
	}
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	client_t *client = watcher->data;
	char data[RECEIVE_BUFFER_BYTES];
	ssize_t n = recv(client->fd, data, sizeof(data), 0);

	if (n < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (n <= 0) {
		close_client(client);
		return;
	}
	if (client->state != CLIENT_LINGERING)
		parse_input(client, data, (size_t)n);
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	client_t *client = watcher->data;

	if (flush_output(client) && client->state == CLIENT_READING &&
	    client->pending.size > 0)
		parse_pending(client);
}

static void
add_client(frontend_t *frontend, int fd)
{
	client_t *client = g_new0(client_t, 1);

	client->frontend = frontend;
	client->fd = fd;
	client->state_since = frontend_now(frontend);
	http_message_init(&client->request, HTTP_REQUEST, 0, 0);
	http_socket_detect_silence(fd, CLIENT_SILENCE_TIMEOUT);
	ev_io_init(&client->readable, on_readable, fd, EV_READ);
	ev_io_init(&client->writable, on_writable, fd, EV_WRITE);
	client->readable.data = client;
	client->writable.data = client;
	g_hash_table_add(frontend->clients, client);
	ev_io_start(frontend->loop, &client->readable);
}

/* Only listed nodes may connect as peers. */
static bool
is_allowed(const frontend_t *frontend, int fd)
{
	struct sockaddr_in address = {0};
	socklen_t size = sizeof(address);

	if (frontend->kind == FRONTEND_CLIENTS)
		return true;
	if (getpeername(fd, (struct sockaddr *)&address, &size) == 0 &&
	    engine_is_peer(frontend->engine, &address))
		return true;
	event_log_sampled(EVENT_PEER_REJECTED, "address=%08x:%u connection=1",
	    ntohl(address.sin_addr.s_addr), ntohs(address.sin_port));
	return false;
}

/* Returns false when no client was waiting. */
static bool
accept_clients(frontend_t *frontend)
{
	for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
		int fd = http_socket_accept(frontend->fd);

		if (fd < 0)
			return i > 0;
		if (g_hash_table_size(frontend->clients) >= MAX_CLIENTS) {
			event_log_sampled(
			    EVENT_CLIENT_REFUSED, "cause=too_many_connections");
			close(fd);
			continue;
		}
		if (!is_allowed(frontend, fd)) {
			close(fd);
			continue;
		}
		add_client(frontend, fd);
	}
	return true;
}

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	accept_clients(watcher->data);
}

/*
 * Whether the client has had the response to each of its requests. On a
 * client's connection without any, the first request is still on its way; peers
 * open connections ahead of use.
 */
static bool
is_idle(const client_t *client)
{
	bool sends_first =
	    client->requests == 0 && client->frontend->kind == FRONTEND_CLIENTS;

	return !sends_first && client->state == CLIENT_READING &&
	    !client->request.started && client->output.size == 0;
}

static void
enforce_timeouts(client_t *client, const client_limits_t *limits, usec_t now)
{
	usec_t age = now - client->state_since;
	usec_t idle_timeout = client->frontend->kind == FRONTEND_PEERS
	    ? PEER_IDLE_TIMEOUT
	    : limits->idle_timeout;

	if (client->state == CLIENT_LINGERING) {
		if (age > LINGER_TIMEOUT)
			close_client(client);
	} else if (client->state != CLIENT_READING) {
		return;
	} else if (client->output.size > 0) {
		if (age > WRITE_STALL_TIMEOUT)
			close_client(client);
	} else if (client->request.started) {
		if (age > (client->request.headers_done
				  ? limits->idle_timeout
				  : limits->header_timeout))
			reject(client, 408);
	} else if (age > idle_timeout) {
		close_client(client);
	}
}

static void
on_timeout_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	frontend_t *frontend = timer->data;
	usec_t now = frontend_now(frontend);
	GList *clients;

	clients = g_hash_table_get_keys(frontend->clients);
	for (GList *link = clients; link != NULL; link = link->next)
		enforce_timeouts(link->data, frontend_limits(frontend), now);
	g_list_free(clients);
}

frontend_t *
frontend_create(struct ev_loop *loop, frontend_kind_t kind,
    const struct sockaddr_in *address, exchange_engine_t *engine, int *error)
{
	int fd = http_socket_listen(address);
	frontend_t *frontend;

	if (fd < 0) {
		*error = fd;
		return NULL;
	}
	frontend = g_new0(frontend_t, 1);
	frontend->loop = loop;
	frontend->fd = fd;
	frontend->kind = kind;
	frontend->engine = engine;
	frontend->clients = g_hash_table_new(NULL, NULL);
	ev_io_init(&frontend->listener, on_accept, fd, EV_READ);
	frontend->listener.data = frontend;
	ev_io_start(loop, &frontend->listener);
	ev_timer_init(&frontend->timeout_check, on_timeout_check,
	    TIMEOUT_CHECK_INTERVAL_S, TIMEOUT_CHECK_INTERVAL_S);
	frontend->timeout_check.data = frontend;
	ev_timer_start(loop, &frontend->timeout_check);
	return frontend;
}

void
frontend_destroy(frontend_t *frontend)
{
	GList *clients;

	if (frontend == NULL)
		return;
	frontend_close_listener(frontend);
	clients = g_hash_table_get_keys(frontend->clients);
	for (GList *link = clients; link != NULL; link = link->next)
		close_client(link->data);
	g_list_free(clients);
	ev_timer_stop(frontend->loop, &frontend->timeout_check);
	g_hash_table_destroy(frontend->clients);
	g_free(frontend);
}

void
frontend_stop(frontend_t *frontend)
{
	if (frontend == NULL)
		return;
	frontend->stopping = true;
}

void
frontend_close_idle(frontend_t *frontend)
{
	GList *clients;

	if (frontend == NULL)
		return;
	clients = g_hash_table_get_keys(frontend->clients);
	for (GList *link = clients; link != NULL; link = link->next)
		if (is_idle(link->data))
			close_client(link->data);
	g_list_free(clients);
}

void
frontend_end_requests(frontend_t *frontend)
{
	GList *clients;

	if (frontend == NULL)
		return;
	clients = g_hash_table_get_keys(frontend->clients);
	for (GList *link = clients; link != NULL; link = link->next) {
		const client_t *client = link->data;

		if (client->exchange != NULL)
			exchange_end(client->exchange);
	}
	g_list_free(clients);
}

void
frontend_close_listener(frontend_t *frontend)
{
	if (frontend == NULL || frontend->fd < 0)
		return;
	while (accept_clients(frontend))
		;
	ev_io_stop(frontend->loop, &frontend->listener);
	close(frontend->fd);
	frontend->fd = -1;
}

uint32_t
frontend_connections(const frontend_t *frontend)
{
	return frontend != NULL ? g_hash_table_size(frontend->clients) : 0;
}
