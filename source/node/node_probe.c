#include "node_private.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../net/net_address.h"

/* A node listens on its peer address from before it joins until its process
 * ends, and the kernel keeps accepting connections while the process is paused.
 * A refused connection therefore proves that the process has ended, long before
 * the platform's list of VMs shows it. Two refusals in a row are required,
 * because the first one may coincide with a restart. */
#define REFUSALS_NEEDED 2
#define PROBE_TIMEOUT_MS 300

/* Connection attempts to the peer address of one silent peer. */
typedef struct {
	node_t *node;
	name_t peer;
	uint64_t incarnation;
	int fd;
	ev_io io;
	ev_timer timer;
	bool running;
	int refusals; /* in a row */
} probe_t;

static void
close_probe(probe_t *probe)
{
	ev_io_stop(probe->node->loop, &probe->io);
	ev_timer_stop(probe->node->loop, &probe->timer);
	if (probe->fd >= 0)
		close(probe->fd);
	probe->fd = -1;
	probe->running = false;
}

static void
free_probe(gpointer data)
{
	close_probe(data);
	g_free(data);
}

static void
finish_probe(probe_t *probe, int error)
{
	close_probe(probe);
	probe->refusals = error == ECONNREFUSED ? probe->refusals + 1 : 0;
	if (probe->refusals >= REFUSALS_NEEDED)
		membership_connection_refused(probe->node->board.membership,
		    probe->peer, probe->incarnation, clock_monotonic());
}

static void
on_connected(struct ev_loop *loop, ev_io *io, int events)
{
	probe_t *probe = io->data;
	int error = 0;
	socklen_t size = sizeof(error);

	getsockopt(probe->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	finish_probe(probe, error);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	finish_probe(timer->data, ETIMEDOUT);
}

static void
start_probe(probe_t *probe, const char *address)
{
	struct sockaddr_storage target;

	if (net_parse_address(address, &target) != 0)
		return;
	probe->fd = socket(
	    target.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (probe->fd < 0)
		return;
	probe->running = true;
	if (connect(probe->fd, (struct sockaddr *)&target, sizeof(target)) ==
	    0) {
		finish_probe(probe, 0);
		return;
	}
	if (errno != EINPROGRESS) {
		finish_probe(probe, errno);
		return;
	}
	ev_io_init(&probe->io, on_connected, probe->fd, EV_WRITE);
	probe->io.data = probe;
	ev_io_start(probe->node->loop, &probe->io);
	ev_timer_init(
	    &probe->timer, on_timeout, PROBE_TIMEOUT_MS / 1000.0, 0.0);
	probe->timer.data = probe;
	ev_timer_start(probe->node->loop, &probe->timer);
}

static void
probe_peer(node_t *node, const peer_t *peer)
{
	probe_t *probe = g_hash_table_lookup(node->probes, peer->node);

	if (probe == NULL) {
		probe = g_new0(probe_t, 1);
		probe->node = node;
		probe->fd = -1;
		strcpy(probe->peer, peer->node);
		g_hash_table_insert(node->probes, probe->peer, probe);
	}
	if (probe->running)
		return;
	if (probe->incarnation != peer->incarnation) {
		probe->incarnation = peer->incarnation;
		probe->refusals = 0;
	}
	start_probe(probe, peer->address);
}

void
probe_create(node_t *node)
{
	node->probes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_probe);
}

void
probe_tick(node_t *node)
{
	const membership_t *membership = node->board.membership;

	for (size_t i = 0; i < membership_count(membership); i++) {
		const peer_t *peer = membership_at(membership, i);

		if (!peer->live && !peer->gone && peer->incarnation != 0)
			probe_peer(node, peer);
		else
			g_hash_table_remove(node->probes, peer->node);
	}
}
