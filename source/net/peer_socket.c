#include "bulrushwell/peer_socket.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "bulrushwell/error.h"

#define KEY_SIZE 41 /* bytes of a Z85 key with its final NUL */
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 500
#define HEARTBEAT_INTERVAL_MS 500
#define HEARTBEAT_TIMEOUT_MS 1500
#define TCP_MAX_RETRANSMIT_MS 2000
#define LINGER_MS 500		      /* to send the last replies */
#define MAX_MESSAGES_PER_CALLBACK 256 /* so that other watchers run too */

/* A watched ZeroMQ socket. Its file descriptor is edge-triggered, so pending
 * input is also checked for before the loop blocks. */
typedef struct {
	void *socket;
	ev_io io;
	ev_prepare prepare;
	ev_idle idle; /* runs on_input when input is pending */
	struct ev_loop *loop;
	void (*on_input)(peer_socket_t *owner);
	peer_socket_t *owner;
} watch_t;

struct peer_socket {
	struct ev_loop *loop;
	void *zmq_context;
	watch_t router;
	watch_t zap;	     /* authenticates peers; see answer_zap() */
	GHashTable *dealers; /* node name -> ZeroMQ socket */
	peer_receive_t receive;
	void *receive_context;
	char secret_key[KEY_SIZE];
	char public_key[KEY_SIZE];
	bool authenticated;
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

static bool
has_input(void *socket)
{
	int events = 0;
	size_t size = sizeof(events);

	zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
	return (events & ZMQ_POLLIN) != 0;
}

static void
on_watch_io(struct ev_loop *loop, ev_io *io, int events)
{
	watch_t *watch = io->data;

	watch->on_input(watch->owner);
}

static void
on_watch_idle(struct ev_loop *loop, ev_idle *idle, int events)
{
	watch_t *watch = idle->data;

	ev_idle_stop(loop, idle);
	watch->on_input(watch->owner);
}

static void
on_watch_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	watch_t *watch = prepare->data;

	if (has_input(watch->socket))
		ev_idle_start(loop, &watch->idle);
}

static void
watch_start(watch_t *watch, peer_socket_t *owner, void *socket,
    void (*on_input)(peer_socket_t *))
{
	int fd = -1;
	size_t size = sizeof(fd);

	watch->socket = socket;
	watch->owner = owner;
	watch->on_input = on_input;
	watch->loop = owner->loop;
	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	ev_io_init(&watch->io, on_watch_io, fd, EV_READ);
	watch->io.data = watch;
	ev_io_start(owner->loop, &watch->io);
	ev_prepare_init(&watch->prepare, on_watch_prepare);
	ev_set_priority(&watch->prepare, EV_MINPRI);
	watch->prepare.data = watch;
	ev_prepare_start(owner->loop, &watch->prepare);
	ev_idle_init(&watch->idle, on_watch_idle);
	watch->idle.data = watch;
}

static void
watch_stop(watch_t *watch)
{
	if (watch->socket == NULL)
		return;
	ev_io_stop(watch->loop, &watch->io);
	ev_prepare_stop(watch->loop, &watch->prepare);
	ev_idle_stop(watch->loop, &watch->idle);
	zmq_close(watch->socket);
	watch->socket = NULL;
}

/* Receives one message: the routing id that ROUTER adds, then one frame of
 * data. Messages of another shape are dropped. */
static bool
receive_message(peer_socket_t *owner)
{
	zmq_msg_t frame;
	bool received = false, more = true;

	zmq_msg_init(&frame);
	for (int i = 0; more; i++) {
		if (zmq_msg_recv(&frame, owner->router.socket, ZMQ_DONTWAIT) <
		    0)
			break;
		received = true;
		more = zmq_msg_more(&frame) != 0;
		if (i == 1 && !more) {
			owner->bytes_received += zmq_msg_size(&frame);
			owner->receive(owner->receive_context,
			    zmq_msg_data(&frame), zmq_msg_size(&frame));
		}
	}
	zmq_msg_close(&frame);
	return received;
}

static void
handle_router(peer_socket_t *owner)
{
	for (int i = 0; i < MAX_MESSAGES_PER_CALLBACK; i++)
		if (!receive_message(owner))
			return;
}

#define ZAP_FRAMES 7
#define ZAP_FRAME_MAX 256

/* Answers one request of the ZeroMQ Authentication Protocol (RFC 27): frames
 * version, request id, domain, address, identity, mechanism, client key. */
static bool
answer_zap(peer_socket_t *owner)
{
	char frames[ZAP_FRAMES][ZAP_FRAME_MAX];
	int sizes[ZAP_FRAMES] = {0}, count = 0, more = 1;
	size_t more_size = sizeof(more);
	char client[KEY_SIZE] = "";
	bool accepted;

	while (more && count < ZAP_FRAMES) {
		sizes[count] = zmq_recv(owner->zap.socket, frames[count],
		    ZAP_FRAME_MAX, ZMQ_DONTWAIT);
		if (sizes[count] < 0)
			return false;
		count++;
		zmq_getsockopt(
		    owner->zap.socket, ZMQ_RCVMORE, &more, &more_size);
	}
	if (count == ZAP_FRAMES && sizes[6] == 32)
		zmq_z85_encode(client, (const uint8_t *)frames[6], 32);
	accepted = strcmp(client, owner->public_key) == 0;
	zmq_send(owner->zap.socket, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(owner->zap.socket, frames[1],
	    count > 1 && sizes[1] < ZAP_FRAME_MAX ? (size_t)sizes[1] : 0,
	    ZMQ_SNDMORE);
	zmq_send(owner->zap.socket, accepted ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(owner->zap.socket, accepted ? "OK" : "NO", 2, ZMQ_SNDMORE);
	zmq_send(owner->zap.socket, "", 0, ZMQ_SNDMORE);
	zmq_send(owner->zap.socket, "", 0, 0);
	return true;
}

static void
handle_zap(peer_socket_t *owner)
{
	while (answer_zap(owner))
		;
}

static void
set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_common_options(peer_socket_t *owner, void *socket)
{
	int64_t max_size = PEER_SOCKET_MAX_MESSAGE;

	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, PEER_SOCKET_QUEUE);
	set_int(socket, ZMQ_RCVHWM, PEER_SOCKET_QUEUE);
	set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int(socket, ZMQ_TCP_MAXRT, TCP_MAX_RETRANSMIT_MS);
	set_int(socket, ZMQ_IPV6, 1);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_size, sizeof(max_size));
	if (!owner->authenticated)
		return;
	zmq_setsockopt(
	    socket, ZMQ_CURVE_SECRETKEY, owner->secret_key, KEY_SIZE);
}

static int
bind_zap(peer_socket_t *owner)
{
	void *socket = zmq_socket(owner->zmq_context, ZMQ_REP);

	if (zmq_bind(socket, "inproc://zeromq.zap.01") != 0) {
		zmq_close(socket);
		return BW_E_IO;
	}
	watch_start(&owner->zap, owner, socket, handle_zap);
	return 0;
}

static int
bind_router(peer_socket_t *owner, const char *address)
{
	void *socket = zmq_socket(owner->zmq_context, ZMQ_ROUTER);
	char endpoint[128];

	set_common_options(owner, socket);
	if (owner->authenticated) {
		set_int(socket, ZMQ_CURVE_SERVER, 1);
		zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "bulrushwell", 11);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_bind(socket, endpoint) != 0) {
		zmq_close(socket);
		return BW_E_IO;
	}
	watch_start(&owner->router, owner, socket, handle_router);
	return 0;
}

static void
close_dealer(void *socket)
{
	zmq_close(socket);
}

peer_socket_t *
peer_socket_create(struct ev_loop *loop, const char *address, const char *key,
    peer_receive_t receive, void *context)
{
	peer_socket_t *owner = g_new0(peer_socket_t, 1);
	int error = 0;

	owner->loop = loop;
	owner->zmq_context = zmq_ctx_new();
	owner->receive = receive;
	owner->receive_context = context;
	owner->dealers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, close_dealer);
	if (key[0] != '\0') {
		owner->authenticated = true;
		g_strlcpy(owner->secret_key, key, KEY_SIZE);
		error = zmq_curve_public(owner->public_key, key);
		if (error == 0)
			error = bind_zap(owner);
	}
	if (error == 0)
		error = bind_router(owner, address);
	if (error != 0) {
		peer_socket_destroy(owner);
		return NULL;
	}
	return owner;
}

void
peer_socket_destroy(peer_socket_t *socket)
{
	GHashTableIter iter;
	gpointer dealer;

	if (socket == NULL)
		return;
	g_hash_table_iter_init(&iter, socket->dealers);
	while (g_hash_table_iter_next(&iter, NULL, &dealer))
		set_int(dealer, ZMQ_LINGER, LINGER_MS);
	g_hash_table_destroy(socket->dealers);
	watch_stop(&socket->router);
	watch_stop(&socket->zap);
	zmq_ctx_term(socket->zmq_context);
	g_free(socket);
}

void
peer_socket_connect(
    peer_socket_t *socket, const char *node, const char *address)
{
	void *dealer = zmq_socket(socket->zmq_context, ZMQ_DEALER);
	char endpoint[128];

	set_common_options(socket, dealer);
	/* Queue nothing while disconnected: stale messages would reach a
	 * restarted peer. */
	set_int(dealer, ZMQ_IMMEDIATE, 1);
	set_int(dealer, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(dealer, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	if (socket->authenticated) {
		zmq_setsockopt(
		    dealer, ZMQ_CURVE_SERVERKEY, socket->public_key, KEY_SIZE);
		zmq_setsockopt(
		    dealer, ZMQ_CURVE_PUBLICKEY, socket->public_key, KEY_SIZE);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	zmq_connect(dealer, endpoint);
	g_hash_table_replace(socket->dealers, g_strdup(node), dealer);
}

void
peer_socket_disconnect(peer_socket_t *socket, const char *node)
{
	g_hash_table_remove(socket->dealers, node);
}

int
peer_socket_send(
    peer_socket_t *socket, const char *node, const char *data, size_t size)
{
	void *dealer = g_hash_table_lookup(socket->dealers, node);

	if (dealer == NULL)
		return BW_E_NOT_FOUND;
	if (zmq_send(dealer, data, size, ZMQ_DONTWAIT) < 0)
		return BW_E_IO;
	socket->bytes_sent += size;
	return 0;
}

bool
peer_socket_is_authenticated(const peer_socket_t *socket)
{
	return socket->authenticated;
}

void
peer_socket_bytes(
    const peer_socket_t *socket, uint64_t *sent, uint64_t *received)
{
	*sent = socket->bytes_sent;
	*received = socket->bytes_received;
}
