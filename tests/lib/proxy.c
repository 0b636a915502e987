/* TCP proxy of the process tests. */
#include "proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"

#define MAX_CONNECTIONS 256
#define MAX_REPLACEMENTS 32
#define CHUNK_BYTES 65536
#define POLL_MS 2

/* One direction of a connection. */
typedef struct {
	int from;
	int to;
	GString *buffered;
	bool eof;	    /* end of file was read from @from */
	bool shutdown_sent; /* the sending side of @to was closed */
} stream_t;

typedef struct {
	stream_t request;
	stream_t response;
} connection_t;

struct proxy {
	struct sockaddr_in target;
	int listener;
	atomic_int mode;
	atomic_bool stopping;
	GThread *thread;
	connection_t *connections[MAX_CONNECTIONS];
	int connection_count;
	struct {
		address_t from;
		address_t to;
	} replacements[MAX_REPLACEMENTS];
	atomic_int replacement_count;
};

static struct sockaddr_in
socket_address(const char *address)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

static void
close_connection(proxy_t *proxy, int i)
{
	connection_t *connection = proxy->connections[i];

	close(connection->request.from);
	close(connection->response.from);
	g_string_free(connection->request.buffered, TRUE);
	g_string_free(connection->response.buffered, TRUE);
	g_free(connection);
	proxy->connections[i] = proxy->connections[--proxy->connection_count];
}

static void
accept_connection(proxy_t *proxy)
{
	int client =
	    accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	int server;
	connection_t *connection;

	if (client < 0)
		return;
	server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (proxy->connection_count == MAX_CONNECTIONS ||
	    proxy->mode == PROXY_DROP ||
	    connect(server, (struct sockaddr *)&proxy->target,
		sizeof(proxy->target)) != 0) {
		close(client);
		close(server);
		return;
	}
	fcntl(server, F_SETFL, O_NONBLOCK);
	connection = g_new0(connection_t, 1);
	connection->request =
	    (stream_t){client, server, g_string_new(NULL), false, false};
	connection->response =
	    (stream_t){server, client, g_string_new(NULL), false, false};
	proxy->connections[proxy->connection_count++] = connection;
}

/* Length of the longest suffix of @bytes that is a proper prefix of @text. */
static size_t
partial_match(const GString *bytes, const char *text)
{
	size_t length = MIN(strlen(text) - 1, bytes->len);

	for (; length > 0; length--)
		if (memcmp(bytes->str + bytes->len - length, text, length) == 0)
			return length;
	return 0;
}

/* Replaces addresses; returns how many bytes may be sent. The rest may be the
 * beginning of an address. */
static size_t
replace_addresses(proxy_t *proxy, GString *bytes)
{
	size_t withheld = 0;

	for (int i = 0; i < proxy->replacement_count; i++) {
		const char *from = proxy->replacements[i].from;
		size_t length = strlen(from);
		char *at = bytes->str;

		while ((at = memmem(at, bytes->len - (size_t)(at - bytes->str),
			    from, length)) != NULL)
			memcpy(at, proxy->replacements[i].to, length);
		withheld = MAX(withheld, partial_match(bytes, from));
	}
	return bytes->len - withheld;
}

/* Returns false when the connection has failed. */
static bool
forward_bytes(proxy_t *proxy, stream_t *stream)
{
	char chunk[CHUNK_BYTES];
	ssize_t transferred = 0;
	size_t sendable;

	if (!stream->eof && stream->buffered->len < CHUNK_BYTES)
		transferred =
		    recv(stream->from, chunk, sizeof(chunk), MSG_DONTWAIT);
	if (transferred > 0)
		g_string_append_len(stream->buffered, chunk, transferred);
	else if (transferred < 0 && errno != EAGAIN)
		return false;
	else if (transferred == 0 && stream->buffered->len < CHUNK_BYTES)
		stream->eof = true;
	sendable = replace_addresses(proxy, stream->buffered);
	if (stream->eof)
		sendable = stream->buffered->len;
	if (sendable > 0) {
		transferred = send(stream->to, stream->buffered->str, sendable,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		if (transferred < 0 && errno != EAGAIN)
			return false;
		if (transferred > 0)
			g_string_erase(stream->buffered, 0, transferred);
	}
	if (stream->eof && stream->buffered->len == 0 &&
	    !stream->shutdown_sent) {
		stream->shutdown_sent = true;
		shutdown(stream->to, SHUT_WR);
	}
	return true;
}

static void
forward_connections(proxy_t *proxy)
{
	int mode = proxy->mode;

	for (int i = proxy->connection_count; i-- > 0;) {
		connection_t *connection = proxy->connections[i];
		bool usable = mode != PROXY_DROP;

		if (usable &&
		    (mode == PROXY_PASS || mode == PROXY_HOLD_ANSWERS))
			usable = forward_bytes(proxy, &connection->request);
		if (usable &&
		    (mode == PROXY_PASS || mode == PROXY_HOLD_REQUESTS))
			usable = forward_bytes(proxy, &connection->response);
		if (!usable ||
		    (connection->request.shutdown_sent &&
			connection->response.shutdown_sent))
			close_connection(proxy, i);
	}
}

static void
wait_for_input(proxy_t *proxy)
{
	struct pollfd fds[2 * MAX_CONNECTIONS + 1];
	nfds_t count = 0;
	int mode = proxy->mode;

	fds[count++] = (struct pollfd){proxy->listener, POLLIN, 0};
	for (int i = 0; i < proxy->connection_count && mode == PROXY_PASS;
	     i++) {
		const connection_t *connection = proxy->connections[i];

		if (!connection->request.eof)
			fds[count++] = (struct pollfd){
			    connection->request.from, POLLIN, 0};
		if (!connection->response.eof)
			fds[count++] = (struct pollfd){
			    connection->response.from, POLLIN, 0};
	}
	poll(fds, count, POLL_MS);
}

static gpointer
run_proxy(gpointer context)
{
	proxy_t *proxy = context;

	while (!proxy->stopping) {
		accept_connection(proxy);
		forward_connections(proxy);
		wait_for_input(proxy);
	}
	return NULL;
}

proxy_t *
proxy_create(const char *target, address_t address)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	struct sockaddr_in listen_address;
	int enabled = 1;

	harness_find_unused_address(address);
	listen_address = socket_address(address);
	proxy->target = socket_address(target);
	proxy->listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	setsockopt(proxy->listener, SOL_SOCKET, SO_REUSEADDR, &enabled,
	    sizeof(enabled));
	assert_int_equal(
	    bind(proxy->listener, (struct sockaddr *)&listen_address,
		sizeof(listen_address)),
	    0);
	assert_int_equal(listen(proxy->listener, 128), 0);
	proxy->thread = g_thread_new("proxy", run_proxy, proxy);
	return proxy;
}

void
proxy_replace_text(proxy_t *proxy, const char *from, const char *to)
{
	int index = proxy->replacement_count;

	assert_true(index < MAX_REPLACEMENTS);
	assert_int_equal(strlen(from), strlen(to));
	strcpy(proxy->replacements[index].from, from);
	strcpy(proxy->replacements[index].to, to);
	proxy->replacement_count++;
}

void
proxy_set_mode(proxy_t *proxy, proxy_mode_t mode)
{
	proxy->mode = mode;
}

void
proxy_destroy(proxy_t *proxy)
{
	proxy->stopping = true;
	g_thread_join(proxy->thread);
	while (proxy->connection_count > 0)
		close_connection(proxy, 0);
	close(proxy->listener);
	g_free(proxy);
}
