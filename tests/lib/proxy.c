/* TCP forwarder of the process tests. */
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

#define MAX_LINKS 256
#define MAX_REPLACEMENTS 32
#define CHUNK 65536
#define POLL_MS 2

/* Bytes on their way in one direction. */
typedef struct {
	int from;
	int to;
	GString *waiting;
	bool ended; /* @from has sent its last byte */
	bool shut;  /* and @to was told */
} stream_t;

typedef struct {
	stream_t request;
	stream_t answer;
} link_t;

struct proxy {
	struct sockaddr_in target;
	int listener;
	atomic_int mode;
	atomic_bool stopping;
	GThread *thread;
	link_t *links[MAX_LINKS];
	int link_count;
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
close_link(proxy_t *proxy, int i)
{
	link_t *link = proxy->links[i];

	close(link->request.from);
	close(link->answer.from);
	g_string_free(link->request.waiting, TRUE);
	g_string_free(link->answer.waiting, TRUE);
	g_free(link);
	proxy->links[i] = proxy->links[--proxy->link_count];
}

static void
accept_link(proxy_t *proxy)
{
	int client =
	    accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	int server;
	link_t *link;

	if (client < 0)
		return;
	server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (proxy->link_count == MAX_LINKS || proxy->mode == PROXY_DROP ||
	    connect(server, (struct sockaddr *)&proxy->target,
		sizeof(proxy->target)) != 0) {
		close(client);
		close(server);
		return;
	}
	fcntl(server, F_SETFL, O_NONBLOCK);
	link = g_new0(link_t, 1);
	link->request =
	    (stream_t){client, server, g_string_new(NULL), false, false};
	link->answer =
	    (stream_t){server, client, g_string_new(NULL), false, false};
	proxy->links[proxy->link_count++] = link;
}

/* The number of last bytes that may be the beginning of @text. */
static size_t
partial_match(const GString *bytes, const char *text)
{
	size_t length = MIN(strlen(text) - 1, bytes->len);

	for (; length > 0; length--)
		if (memcmp(bytes->str + bytes->len - length, text, length) == 0)
			return length;
	return 0;
}

/* Replaces addresses; returns how many bytes may be sent on. */
static size_t
replace_addresses(proxy_t *proxy, GString *bytes)
{
	size_t held = 0;

	for (int i = 0; i < proxy->replacement_count; i++) {
		const char *from = proxy->replacements[i].from;
		size_t length = strlen(from);
		char *at = bytes->str;

		while ((at = memmem(at, bytes->len - (size_t)(at - bytes->str),
			    from, length)) != NULL)
			memcpy(at, proxy->replacements[i].to, length);
		held = MAX(held, partial_match(bytes, from));
	}
	return bytes->len - held;
}

/* False when the connection has died. */
static bool
move_bytes(proxy_t *proxy, stream_t *stream)
{
	char chunk[CHUNK];
	ssize_t got = 0;
	size_t ready;

	if (!stream->ended && stream->waiting->len < CHUNK)
		got = recv(stream->from, chunk, sizeof(chunk), MSG_DONTWAIT);
	if (got > 0)
		g_string_append_len(stream->waiting, chunk, got);
	else if (got < 0 && errno != EAGAIN)
		return false;
	else if (got == 0 && stream->waiting->len < CHUNK)
		stream->ended = true;
	ready = replace_addresses(proxy, stream->waiting);
	if (stream->ended)
		ready = stream->waiting->len;
	if (ready > 0) {
		got = send(stream->to, stream->waiting->str, ready,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		if (got < 0 && errno != EAGAIN)
			return false;
		if (got > 0)
			g_string_erase(stream->waiting, 0, got);
	}
	if (stream->ended && stream->waiting->len == 0 && !stream->shut) {
		stream->shut = true;
		shutdown(stream->to, SHUT_WR);
	}
	return true;
}

static void
move_links(proxy_t *proxy)
{
	int mode = proxy->mode;

	for (int i = proxy->link_count; i-- > 0;) {
		link_t *link = proxy->links[i];
		bool alive = mode != PROXY_DROP;

		if (alive && (mode == PROXY_PASS || mode == PROXY_HOLD_ANSWERS))
			alive = move_bytes(proxy, &link->request);
		if (alive &&
		    (mode == PROXY_PASS || mode == PROXY_HOLD_REQUESTS))
			alive = move_bytes(proxy, &link->answer);
		if (!alive || (link->request.shut && link->answer.shut))
			close_link(proxy, i);
	}
}

static void
wait_for_bytes(proxy_t *proxy)
{
	struct pollfd fds[2 * MAX_LINKS + 1];
	nfds_t count = 0;
	int mode = proxy->mode;

	fds[count++] = (struct pollfd){proxy->listener, POLLIN, 0};
	for (int i = 0; i < proxy->link_count && mode == PROXY_PASS; i++) {
		const link_t *link = proxy->links[i];

		if (!link->request.ended)
			fds[count++] =
			    (struct pollfd){link->request.from, POLLIN, 0};
		if (!link->answer.ended)
			fds[count++] =
			    (struct pollfd){link->answer.from, POLLIN, 0};
	}
	poll(fds, count, POLL_MS);
}

static gpointer
run_proxy(gpointer context)
{
	proxy_t *proxy = context;

	while (!proxy->stopping) {
		accept_link(proxy);
		move_links(proxy);
		wait_for_bytes(proxy);
	}
	return NULL;
}

proxy_t *
proxy_create(const char *target, address_t address)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	struct sockaddr_in own;
	int on = 1;

	harness_free_address(address);
	own = socket_address(address);
	proxy->target = socket_address(target);
	proxy->listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	setsockopt(proxy->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(
	    bind(proxy->listener, (struct sockaddr *)&own, sizeof(own)), 0);
	assert_int_equal(listen(proxy->listener, 128), 0);
	proxy->thread = g_thread_new("proxy", run_proxy, proxy);
	return proxy;
}

void
proxy_replace(proxy_t *proxy, const char *from, const char *to)
{
	int place = proxy->replacement_count;

	assert_true(place < MAX_REPLACEMENTS);
	assert_int_equal(strlen(from), strlen(to));
	strcpy(proxy->replacements[place].from, from);
	strcpy(proxy->replacements[place].to, to);
	proxy->replacement_count++;
}

void
proxy_set(proxy_t *proxy, proxy_mode_t mode)
{
	proxy->mode = mode;
}

void
proxy_destroy(proxy_t *proxy)
{
	proxy->stopping = true;
	g_thread_join(proxy->thread);
	while (proxy->link_count > 0)
		close_link(proxy, 0);
	close(proxy->listener);
	g_free(proxy);
}
