#include "front.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../base/loop_clock.h"
#include "../http/http_socket.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"

#define RECEIVE_BYTES 16384
#define MAX_PENDING_BYTES 65536 /* pipelined bytes that are kept */
#define MAX_CLIENTS 3000	/* of the descriptors that a process has */
#define ACCEPTS_AT_ONCE 64
#define CHECK_INTERVAL_S 0.25
#define CLIENT_SILENCE SECONDS(6)
#define WRITE_STALL SECONDS(10) /* a client that reads nothing is cut */
/* After a last answer, unread bytes are drained so that no reset cuts it. */
#define LINGER MS(500)

typedef enum {
	CLIENT_READING,	 /* waits for a request, or reads one */
	CLIENT_RUNNING,	 /* the exchange works on it */
	CLIENT_LINGERING /* the last answer is sent; the peer shall close */
} client_state_t;

typedef struct {
	front_t *front;
	ev_io readable;
	ev_io writable;
	int fd;
	client_state_t state;
	http_message_t request;
	exchange_t *exchange;
	buffer_t pending; /* bytes after the current request */
	buffer_t out;
	size_t sent;
	usec_t since; /* start of the state, or of the request's first byte */
	uint32_t requests;
	bool close_after;
	bool in_feed;
	bool dead; /* freed when feeding ends */
} client_t;

struct front {
	struct ev_loop *loop;
	ev_io listener;
	ev_timer check;
	int fd;
	exchange_engine_t *engine;
	GHashTable *clients; /* set of client_t */
	bool stopping;
};

static void feed(client_t *client, const char *data, size_t size);

static usec_t
front_now(const front_t *front)
{
	return loop_clock_now(front->loop);
}

static void
free_client(client_t *client)
{
	http_message_free(&client->request);
	buffer_free(&client->pending);
	buffer_free(&client->out);
	g_free(client);
}

static void
close_client(client_t *client)
{
	front_t *front = client->front;
	exchange_t *exchange = client->exchange;

	if (client->dead)
		return;
	client->dead = true;
	client->exchange = NULL;
	ev_io_stop(front->loop, &client->readable);
	ev_io_stop(front->loop, &client->writable);
	close(client->fd);
	g_hash_table_remove(front->clients, client);
	if (exchange != NULL)
		exchange_client_gone(exchange);
	if (!client->in_feed)
		free_client(client);
}

static void
begin_linger(client_t *client)
{
	client->state = CLIENT_LINGERING;
	client->since = front_now(client->front);
	shutdown(client->fd, SHUT_WR);
}

/* Returns false when the connection is gone. */
static bool
flush(client_t *client)
{
	buffer_t *out = &client->out;

	while (client->sent < out->size) {
		ssize_t n = send(client->fd, out->data + client->sent,
		    out->size - client->sent, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(client->front->loop, &client->writable);
			return true;
		}
		if (n < 0 && errno != EINTR) {
			close_client(client);
			return false;
		}
		if (n > 0)
			client->sent += (size_t)n;
	}
	ev_io_stop(client->front->loop, &client->writable);
	buffer_clear(out);
	client->sent = 0;
	if (client->close_after && client->state != CLIENT_LINGERING)
		begin_linger(client);
	return true;
}

static void
queue_answer(client_t *client, const buffer_t *head, slice_t body)
{
	buffer_append(&client->out, head->data, head->size);
	if (client->close_after)
		buffer_append_text(&client->out, "Connection: close\r\n");
	buffer_append(&client->out, "\r\n", 2);
	if (client->request.parser.method != HTTP_HEAD)
		buffer_append(&client->out, body.data, body.size);
}

static void
resume(client_t *client)
{
	buffer_t pending = client->pending;

	client->pending = (buffer_t){0};
	ev_io_start(client->front->loop, &client->readable);
	feed(client, pending.data, pending.size);
	buffer_free(&pending);
}

static void
on_reply(void *context, const buffer_t *head, slice_t body)
{
	client_t *client = context;

	client->exchange = NULL;
	if (!client->request.keep_alive || client->front->stopping)
		client->close_after = true;
	queue_answer(client, head, body);
	client->state = CLIENT_READING;
	client->since = front_now(client->front);
	http_message_reset(&client->request);
	if (!flush(client) || client->in_feed)
		return;
	if (client->pending.size > 0 && client->state == CLIENT_READING)
		resume(client);
}

static void
refuse(client_t *client, int status)
{
	buffer_t head = {0};

	event_log_sampled(EVENT_CLIENT_REFUSED, "status=%d bytes=%zu", status,
	    client->request.text.size);
	client->close_after = true;
	buffer_append_text(&head, "HTTP/1.1 ");
	buffer_append_number(&head, (unsigned long long)status);
	buffer_append_text(&head, " Refused\r\nContent-Length: 0\r\n");
	queue_answer(client, &head, (slice_t){0});
	buffer_free(&head);
	flush(client);
}

static int
refusal_status(http_feed_t fed)
{
	switch (fed) {
	case HTTP_FEED_HEADERS_TOO_LARGE:
		return 431;
	case HTTP_FEED_BODY_TOO_LARGE:
		return 413;
	case HTTP_FEED_MORE:
	case HTTP_FEED_DONE:
	case HTTP_FEED_BAD:
		break;
	}
	return 400;
}

/* A client that expects it waits for this before it sends the body. */
static void
send_continue(client_t *client)
{
	slice_t value;

	if (!client->request.headers_done || client->request.body.size > 0 ||
	    !http_message_find(&client->request, "Expect", &value) ||
	    !http_token_listed(value, slice_from("100-continue")))
		return;
	buffer_append_text(&client->out, "HTTP/1.1 100 Continue\r\n\r\n");
	flush(client);
}

static void
start_exchange(client_t *client)
{
	exchange_t *exchange;

	client->state = CLIENT_RUNNING;
	client->requests++;
	exchange = exchange_start(client->front->engine, &client->request,
	    client->requests == 1, on_reply, client);
	if (exchange != NULL)
		client->exchange = exchange;
}

static const client_limits_t *
front_limits(const front_t *front)
{
	const route_table_t *table = engine_table(front->engine);

	return table != NULL ? route_table_limits(table)
			     : &client_limits_default;
}

static void
apply_limits(client_t *client)
{
	const client_limits_t *limits = front_limits(client->front);

	client->request.max_header_bytes = limits->max_header_bytes;
	client->request.max_body_bytes = limits->max_body_bytes;
}

static void
feed_some(client_t *client, const char **data, size_t *size)
{
	bool had_headers = client->request.headers_done;
	http_feed_t fed;
	size_t used;

	if (!client->request.started) {
		apply_limits(client);
		client->since = front_now(client->front);
	}
	fed = http_message_feed(&client->request, *data, *size, &used);
	*data += used;
	*size -= used;
	if (fed == HTTP_FEED_MORE && !had_headers)
		send_continue(client);
	else if (fed == HTTP_FEED_DONE)
		start_exchange(client);
	else if (fed != HTTP_FEED_MORE)
		refuse(client, refusal_status(fed));
}

static void
feed(client_t *client, const char *data, size_t size)
{
	client->in_feed = true;
	while (size > 0 && !client->dead && !client->close_after &&
	    client->state == CLIENT_READING)
		feed_some(client, &data, &size);
	client->in_feed = false;
	if (client->dead) {
		free_client(client);
		return;
	}
	if (size > 0 && client->state == CLIENT_RUNNING) {
		buffer_append(&client->pending, data, size);
		if (client->pending.size > MAX_PENDING_BYTES)
			ev_io_stop(client->front->loop, &client->readable);
	}
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	client_t *client = watcher->data;
	char data[RECEIVE_BYTES];
	ssize_t n = recv(client->fd, data, sizeof(data), 0);

	if (n < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (n <= 0) {
		close_client(client);
		return;
	}
	if (client->state != CLIENT_LINGERING)
		feed(client, data, (size_t)n);
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	client_t *client = watcher->data;

	if (flush(client) && client->state == CLIENT_READING &&
	    client->pending.size > 0)
		resume(client);
}

static void
add_client(front_t *front, int fd)
{
	client_t *client = g_new0(client_t, 1);

	client->front = front;
	client->fd = fd;
	client->since = front_now(front);
	http_message_init(&client->request, HTTP_REQUEST, 0, 0);
	http_socket_detect_silence(fd, CLIENT_SILENCE);
	ev_io_init(&client->readable, on_readable, fd, EV_READ);
	ev_io_init(&client->writable, on_writable, fd, EV_WRITE);
	client->readable.data = client;
	client->writable.data = client;
	g_hash_table_add(front->clients, client);
	ev_io_start(front->loop, &client->readable);
}

static void
accept_clients(front_t *front)
{
	for (int i = 0; i < ACCEPTS_AT_ONCE; i++) {
		int fd = http_socket_accept(front->fd);

		if (fd < 0)
			return;
		if (g_hash_table_size(front->clients) >= MAX_CLIENTS) {
			event_log_sampled(
			    EVENT_CLIENT_REFUSED, "cause=too_many_connections");
			close(fd);
			continue;
		}
		add_client(front, fd);
	}
}

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	accept_clients(watcher->data);
}

static bool
is_idle(const client_t *client)
{
	return client->state == CLIENT_READING && !client->request.started &&
	    client->out.size == 0;
}

static void
check_client(client_t *client, const client_limits_t *limits, usec_t now)
{
	usec_t age = now - client->since;

	if (client->state == CLIENT_LINGERING) {
		if (age > LINGER)
			close_client(client);
	} else if (client->state != CLIENT_READING) {
		return;
	} else if (client->out.size > 0) {
		if (age > WRITE_STALL)
			close_client(client);
	} else if (client->request.started) {
		if (age > (client->request.headers_done
				  ? limits->idle_timeout
				  : limits->header_timeout))
			refuse(client, 408);
	} else if (age > limits->idle_timeout) {
		close_client(client);
	}
}

static void
on_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	front_t *front = timer->data;
	usec_t now = front_now(front);
	GList *clients;

	clients = g_hash_table_get_keys(front->clients);
	for (GList *at = clients; at != NULL; at = at->next)
		check_client(at->data, front_limits(front), now);
	g_list_free(clients);
}

front_t *
front_create(struct ev_loop *loop, const struct sockaddr_in *address,
    exchange_engine_t *engine, int *error)
{
	int fd = http_socket_listen(address);
	front_t *front;

	if (fd < 0) {
		*error = fd;
		return NULL;
	}
	front = g_new0(front_t, 1);
	front->loop = loop;
	front->fd = fd;
	front->engine = engine;
	front->clients = g_hash_table_new(NULL, NULL);
	ev_io_init(&front->listener, on_accept, fd, EV_READ);
	front->listener.data = front;
	ev_io_start(loop, &front->listener);
	ev_timer_init(
	    &front->check, on_check, CHECK_INTERVAL_S, CHECK_INTERVAL_S);
	front->check.data = front;
	ev_timer_start(loop, &front->check);
	return front;
}

void
front_destroy(front_t *front)
{
	GList *clients;

	if (front == NULL)
		return;
	front_close_listener(front);
	clients = g_hash_table_get_keys(front->clients);
	for (GList *at = clients; at != NULL; at = at->next)
		close_client(at->data);
	g_list_free(clients);
	ev_timer_stop(front->loop, &front->check);
	g_hash_table_destroy(front->clients);
	g_free(front);
}

void
front_stop(front_t *front)
{
	front->stopping = true;
}

void
front_close_idle(front_t *front)
{
	GList *clients = g_hash_table_get_keys(front->clients);

	for (GList *at = clients; at != NULL; at = at->next)
		if (is_idle(at->data))
			close_client(at->data);
	g_list_free(clients);
}

void
front_close_listener(front_t *front)
{
	if (front->fd < 0)
		return;
	accept_clients(front);
	ev_io_stop(front->loop, &front->listener);
	close(front->fd);
	front->fd = -1;
}

uint32_t
front_connections(const front_t *front)
{
	return g_hash_table_size(front->clients);
}
