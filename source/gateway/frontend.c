#include "frontend.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../base/loop_clock.h"
#include "../http/client_pressure.h"
#include "../http/http_socket.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/memory_account.h"
#include "client_hold.h"

#define RECEIVE_BUFFER_BYTES 16384
#define MAX_PENDING_BYTES 65536 /* pipelined bytes per client */
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
/* Accepting pauses for this long when no descriptor or memory is left. */
#define ACCEPT_PAUSE_S 0.1
/* The kernel's buffers of a connection; they count as memory of the VM. */
#define SOCKET_BUFFER_BYTES 65536
/* A client that makes no progress for this long may be closed to make room,
 * unless a charge has failed already. */
#define HOLDER_MIN_AGE MS(500)
#define REFUSAL_BYTES 256	 /* of a response without a body */
#define MEMORY_RETRY_AFTER "0.1" /* seconds */
#define STATUS_UNAVAILABLE 503

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
	client_hold_t hold;
	exchange_t *exchange;
	usec_t state_since; /* start of the state, or of the request */
	usec_t progress_at; /* bytes were last sent or received */
	uint32_t requests;  /* received on this connection */
	bool close_after;   /* after the output is sent */
	bool parsing;	    /* in parse_input() */
	bool closed;	    /* freed before the loop waits again */
	bool overrun;	    /* an interim response did not fit; to be closed */
} client_t;

struct frontend {
	struct ev_loop *loop;
	ev_io listener;
	ev_timer timeout_check;
	ev_timer accept_pause;
	int fd;
	uint32_t max_clients;
	frontend_kind_t kind;
	exchange_engine_t *engine;
	GHashTable *clients; /* set of client_t */
	GPtrArray *closed;   /* clients to free before the loop waits */
	ev_prepare prepare;
	bool stopping;
};

static void parse_input(client_t *client, const char *data, size_t size);

static usec_t
frontend_now(const frontend_t *frontend)
{
	return loop_clock_now(frontend->loop);
}

static void
free_client(void *closed)
{
	client_t *client = closed;

	client_hold_close(&client->hold);
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
	g_ptr_array_add(frontend->closed, client);
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
	client_hold_t *hold = &client->hold;

	while (client_hold_unsent(hold) > 0) {
		ssize_t n =
		    send(client->fd, hold->output.data + hold->output_sent,
			client_hold_unsent(hold), MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(client->frontend->loop, &client->writable);
			return true;
		}
		if (n < 0 && errno != EINTR)
			return false;
		if (n > 0) {
			client->progress_at = frontend_now(client->frontend);
			client_hold_sent(hold, (size_t)n);
		}
	}
	hold->kernel_bytes = 0;
	client_hold_settle(hold);
	ev_io_stop(client->frontend->loop, &client->writable);
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
	if (client->hold.output.size == 0 && client->close_after &&
	    client->state != CLIENT_LINGERING)
		begin_linger(client);
	return true;
}

static pressure_client_t
describe(const client_t *client)
{
	bool idle = client->state == CLIENT_READING &&
	    !client->hold.request.started && client->hold.output.size == 0;

	return (pressure_client_t){
	    .bytes = client->hold.held,
	    .since = client->progress_at,
	    .waits_for_it = client->exchange == NULL && !idle,
	    .is_idle = idle && !client->parsing,
	    .has_requested = client->requests > 0,
	};
}

/* Descriptions of all clients; both arrays are freed by the caller. */
static client_t **
list_clients(
    const frontend_t *frontend, pressure_client_t **described, guint *count)
{
	client_t **clients = (client_t **)g_hash_table_get_keys_as_array(
	    frontend->clients, count);

	*described = g_new(pressure_client_t, *count);
	for (guint i = 0; i < *count; i++)
		(*described)[i] = describe(clients[i]);
	return clients;
}

/*
 * Closes the client that has held most for longest, but not @self, which is in
 * use. Returns whether one was closed.
 */
static bool
close_holder(frontend_t *frontend, const client_t *self, usec_t min_age)
{
	usec_t now = frontend_now(frontend);
	pressure_client_t *described;
	guint count;
	client_t **clients = list_clients(frontend, &described, &count);
	int chosen = pressure_choose_holder(described, count, min_age, now);

	if (chosen >= 0 && clients[chosen] == self)
		chosen = -1;
	if (chosen >= 0) {
		event_log_sampled(EVENT_MEMORY_CLOSED,
		    "bytes=%zu unsent=%zu ms=%lld held=%zu limit=%zu",
		    described[chosen].bytes,
		    client_hold_unsent(&clients[chosen]->hold),
		    (long long)((now - described[chosen].since) / USEC_PER_MS),
		    memory_account_held(), memory_account_limit());
		close_client(clients[chosen]);
		client_hold_close(&clients[chosen]->hold);
	}
	g_free(described);
	g_free(clients);
	return chosen >= 0;
}

/* Closes an idle connection for a new one. Returns whether one was closed. */
static bool
close_longest_idle(frontend_t *frontend)
{
	pressure_client_t *described;
	guint count;
	client_t **clients = list_clients(frontend, &described, &count);
	int chosen =
	    pressure_choose_idle(described, count, frontend_now(frontend));

	if (chosen >= 0)
		close_client(clients[chosen]);
	g_free(described);
	g_free(clients);
	return chosen >= 0;
}

/*
 * Charges room for more bytes of a client, and closes those that hold most for
 * it. Returns false when there is no room, or the client itself was closed.
 */
static bool
make_room(client_t *client, size_t received, size_t queued)
{
	while (!client->closed &&
	    !client_hold_reserve(&client->hold, received, queued))
		if (!close_holder(client->frontend, client, HOLDER_MIN_AGE))
			return false;
	return !client->closed;
}

/* Returns false when there is no room; the client must be closed then. */
static bool
queue_response(client_t *client, const buffer_t *head, slice_t body)
{
	if (!make_room(client, 0, head->size + body.size + REFUSAL_BYTES)) {
		event_log_sampled(EVENT_MEMORY_CLOSED,
		    "bytes=%zu answer=%zu held=%zu limit=%zu",
		    client->hold.held, body.size, memory_account_held(),
		    memory_account_limit());
		return false;
	}
	buffer_append(&client->hold.output, head->data, head->size);
	if (client->close_after)
		buffer_append_text(
		    &client->hold.output, "Connection: close\r\n");
	buffer_append(&client->hold.output, "\r\n", 2);
	if (client->hold.request.parser.method != HTTP_HEAD)
		buffer_append(&client->hold.output, body.data, body.size);
	client_hold_settle(&client->hold);
	return true;
}

/*
 * A client that does not read its answers gets no further request started: what
 * servers would answer could only be held here.
 */
static bool
may_start_request(const client_t *client)
{
	return client->state == CLIENT_READING &&
	    client_hold_unsent(&client->hold) <= CLIENT_UNSENT_MAX;
}

static void
parse_pending(client_t *client)
{
	buffer_t pending = client->hold.pending;

	/* They are not charged while they are parsed; what is kept of them is.
	 */
	client->hold.pending = (buffer_t){0};
	ev_io_start(client->frontend->loop, &client->readable);
	parse_input(client, pending.data, pending.size);
	buffer_free(&pending);
}

static void
on_reply(void *context, const buffer_t *head, slice_t body)
{
	client_t *client = context;

	client->exchange = NULL;
	if (!client->hold.request.keep_alive || client->frontend->stopping)
		client->close_after = true;
	if (!queue_response(client, head, body)) {
		close_client(client);
		return;
	}
	client->state = CLIENT_READING;
	client->state_since = frontend_now(client->frontend);
	client->progress_at = client->state_since;
	http_message_reset(&client->hold.request);
	client_hold_settle(&client->hold);
	if (!flush_output(client) || client->parsing)
		return;
	if (client->hold.pending.size > 0 && may_start_request(client))
		parse_pending(client);
}

static void
reject(client_t *client, int status)
{
	buffer_t head = {0};
	bool queued;

	event_log_sampled(EVENT_CLIENT_REFUSED, "status=%d bytes=%zu", status,
	    client->hold.request.text.size);
	client->close_after = true;
	buffer_append_text(&head, "HTTP/1.1 ");
	buffer_append_number(&head, (unsigned long long)status);
	buffer_append_text(&head, " Refused\r\nContent-Length: 0\r\n");
	if (status == STATUS_UNAVAILABLE)
		buffer_append_text(
		    &head, "Retry-After: " MEMORY_RETRY_AFTER "\r\n");
	queued = queue_response(client, &head, (slice_t){0});
	buffer_free(&head);
	if (queued)
		flush_output(client);
	else
		close_client(client);
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

	if (!client->hold.request.headers_done ||
	    client->hold.request.body.size > 0 ||
	    !http_message_find(&client->hold.request, "Expect", &value) ||
	    !http_list_has_token(value, slice_from("100-continue")))
		return;
	if (!make_room(client, 0, REFUSAL_BYTES))
		return;
	buffer_append_text(
	    &client->hold.output, "HTTP/1.1 100 Continue\r\n\r\n");
	flush_output(client);
}

/* The exchange goes on after this, so a broken connection is closed later. */
static void
on_interim(void *context, const buffer_t *head)
{
	client_t *client = context;

	if (!client_hold_reserve(&client->hold, 0, head->size + 2)) {
		client->overrun = true;
		shutdown(client->fd, SHUT_RDWR);
		ev_io_start(client->frontend->loop, &client->writable);
		return;
	}
	buffer_append(&client->hold.output, head->data, head->size);
	buffer_append(&client->hold.output, "\r\n", 2);
	client_hold_settle(&client->hold);
	if (!write_output(client))
		ev_io_start(client->frontend->loop, &client->writable);
}

/* Tells a peer that its request is being processed. */
static void
accept_request(client_t *client)
{
	if (!make_room(client, 0, REFUSAL_BYTES)) {
		close_client(client);
		return;
	}
	buffer_append_text(
	    &client->hold.output, "HTTP/1.1 102 Processing\r\n\r\n");
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
	    .has_unsent = client_hold_unsent(&client->hold) > 0,
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
	exchange = exchange_start(client->frontend->engine,
	    &client->hold.request, &connection, on_reply, client);
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

	client->hold.request.max_header_bytes = limits->max_header_bytes;
	client->hold.request.max_body_bytes = limits->max_body_bytes;
}

static void
feed_request(client_t *client, const char **data, size_t *size)
{
	bool had_headers = client->hold.request.headers_done;
	http_feed_t result;
	size_t used;

	if (!client->hold.request.started) {
		apply_limits(client);
		client->state_since = frontend_now(client->frontend);
	}
	/* Nothing of it has run, so 503 is true. */
	if (!make_room(client, *size, 0)) {
		if (!client->closed)
			reject(client, STATUS_UNAVAILABLE);
		return;
	}
	result = http_message_feed(&client->hold.request, *data, *size, &used);
	client_hold_settle(&client->hold);
	*data += used;
	*size -= used;
	if (result == HTTP_FEED_MORE && !had_headers)
		send_continue(client);
	else if (result == HTTP_FEED_DONE)
		start_exchange(client);
	else if (result != HTTP_FEED_MORE)
		reject(client, rejection_status(result));
}

/* Keeps the bytes behind a request until its answer is sent. */
static void
keep_pending(client_t *client, const char *data, size_t size)
{
	if (client->state == CLIENT_READING)
		event_log_sampled(EVENT_ANSWER_UNREAD, "unsent=%zu pending=%zu",
		    client_hold_unsent(&client->hold),
		    client->hold.pending.size + size);
	if (!make_room(client, size, 0)) {
		close_client(client);
		return;
	}
	buffer_append(&client->hold.pending, data, size);
	client_hold_settle(&client->hold);
	if (client->hold.pending.size > MAX_PENDING_BYTES)
		ev_io_stop(client->frontend->loop, &client->readable);
}

static void
parse_input(client_t *client, const char *data, size_t size)
{
	client->parsing = true;
	while (size > 0 && !client->closed && !client->close_after &&
	    may_start_request(client))
		feed_request(client, &data, &size);
	client->parsing = false;
	if (client->closed)
		return;
	if (size > 0 && !client->close_after)
		keep_pending(client, data, size);
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
	client->progress_at = frontend_now(client->frontend);
	if (client->state == CLIENT_LINGERING)
		return;
	if (client->hold.pending.size > 0)
		keep_pending(client, data, (size_t)n);
	else
		parse_input(client, data, (size_t)n);
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	client_t *client = watcher->data;

	if (client->overrun) {
		close_client(client);
		return;
	}
	if (flush_output(client) && may_start_request(client) &&
	    client->hold.pending.size > 0)
		parse_pending(client);
}

static void
add_client(frontend_t *frontend, int fd)
{
	client_t *client = g_new0(client_t, 1);

	while (!client_hold_open(&client->hold, sizeof(*client)))
		if (!close_holder(frontend, NULL, 0)) {
			close(fd);
			g_free(client);
			return;
		}
	client->frontend = frontend;
	client->fd = fd;
	client->state_since = frontend_now(frontend);
	client->progress_at = client->state_since;
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

/* The connections that wait stay with the kernel meanwhile. */
static void
pause_accept(frontend_t *frontend)
{
	event_log_sampled(EVENT_DESCRIPTORS_USED_UP, "errno=%d connections=%u",
	    errno, g_hash_table_size(frontend->clients));
	ev_io_stop(frontend->loop, &frontend->listener);
	ev_timer_set(&frontend->accept_pause, ACCEPT_PAUSE_S, 0.0);
	ev_timer_start(frontend->loop, &frontend->accept_pause);
	close_longest_idle(frontend);
}

static void
on_accept_pause(struct ev_loop *loop, ev_timer *timer, int events)
{
	frontend_t *frontend = timer->data;

	if (frontend->fd >= 0)
		ev_io_start(loop, &frontend->listener);
}

/* Whether one more client may connect, if need be for an idle one. */
static bool
has_place(frontend_t *frontend)
{
	if (g_hash_table_size(frontend->clients) < frontend->max_clients)
		return true;
	if (!close_longest_idle(frontend))
		return false;
	event_log_sampled(
	    EVENT_CONNECTION_EVICTED, "connections=%u", frontend->max_clients);
	return true;
}

/* Returns false when no client was waiting. */
static bool
accept_clients(frontend_t *frontend)
{
	for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
		int fd = http_socket_accept(frontend->fd);

		if (fd < 0) {
			if (http_socket_accept_exhausted(errno))
				pause_accept(frontend);
			return i > 0;
		}
		if (!has_place(frontend)) {
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
	    !client->hold.request.started && client->hold.output.size == 0;
}

static void
enforce_timeouts(client_t *client, const client_limits_t *limits, usec_t now)
{
	usec_t age = now - client->state_since;
	usec_t idle_timeout = client->frontend->kind == FRONTEND_PEERS
	    ? PEER_IDLE_TIMEOUT
	    : limits->idle_timeout;

	if (client->closed)
		return;
	if (client->state == CLIENT_LINGERING) {
		if (age > LINGER_TIMEOUT)
			close_client(client);
	} else if (client->state != CLIENT_READING) {
		return;
	} else if (client->hold.output.size > 0) {
		if (age > WRITE_STALL_TIMEOUT)
			close_client(client);
	} else if (client->hold.request.started) {
		if (age > (client->hold.request.headers_done
				  ? limits->idle_timeout
				  : limits->header_timeout))
			reject(client, 408);
	} else if (age > idle_timeout) {
		close_client(client);
	}
}

/* Only of clients with unsent output: what they do not read. */
static void
count_kernel_bytes(client_t *client)
{
	if (!client->closed && client->hold.output.size > 0)
		client_hold_count_kernel(
		    &client->hold, http_socket_unsent(client->fd));
}

static void
on_timeout_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	frontend_t *frontend = timer->data;
	usec_t now = frontend_now(frontend);
	GList *clients;

	clients = g_hash_table_get_keys(frontend->clients);
	for (GList *link = clients; link != NULL; link = link->next) {
		count_kernel_bytes(link->data);
		enforce_timeouts(link->data, frontend_limits(frontend), now);
	}
	g_list_free(clients);
	while (
	    pressure_is_high(memory_account_held(), memory_account_limit()) &&
	    close_holder(frontend, NULL, HOLDER_MIN_AGE))
		;
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	const frontend_t *frontend = watcher->data;

	g_ptr_array_set_size(frontend->closed, 0);
}

frontend_t *
frontend_create(struct ev_loop *loop, frontend_kind_t kind,
    const struct sockaddr_in *address, exchange_engine_t *engine,
    uint32_t max_clients, int *error)
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
	frontend->closed = g_ptr_array_new_with_free_func(free_client);
	frontend->max_clients = max_clients;
	ev_prepare_init(&frontend->prepare, on_prepare);
	frontend->prepare.data = frontend;
	ev_prepare_start(loop, &frontend->prepare);
	http_socket_limit_buffers(fd, SOCKET_BUFFER_BYTES);
	ev_init(&frontend->accept_pause, on_accept_pause);
	frontend->accept_pause.data = frontend;
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
	ev_timer_stop(frontend->loop, &frontend->accept_pause);
	ev_prepare_stop(frontend->loop, &frontend->prepare);
	g_ptr_array_free(frontend->closed, TRUE);
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
	ev_timer_stop(frontend->loop, &frontend->accept_pause);
	close(frontend->fd);
	frontend->fd = -1;
}

uint32_t
frontend_connections(const frontend_t *frontend)
{
	return frontend != NULL ? g_hash_table_size(frontend->clients) : 0;
}

uint32_t
frontend_max_connections(const frontend_t *frontend)
{
	return frontend != NULL ? frontend->max_clients : 0;
}
