#include "peer_link.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../base/loop_clock.h"
#include "bulrushwell/event.h"
#include "peer_batch.h"

#define TICK_S 0.25
#define TICK_JITTER_S 0.05	 /* keeps nodes from ticking at the same time */
#define RECEIVE_MAX_DATAGRAMS 64 /* per wakeup; requests are served between */
#define DISTRUST_TIME SECONDS(2)
#define MISSING_REQUEST_INTERVAL SECONDS(1)
/*
 * Sending all parts to all nodes at once would overrun the link of a small VM,
 * so they take this part of its bandwidth.
 */
#define PACE_LINK_SHARE 0.4
#define PACE_INTERVAL_S 0.008
#define PACE_DATAGRAMS_MAX 64
#define BITS_PER_BYTE 8.0
#define DEFAULT_LINK_MBPS 20.0

struct peer_link {
	struct ev_loop *loop;
	peer_link_handlers_t handlers;
	peer_group_t *group;
	GArray *nodes;	 /* peer_node_t: of all data centres */
	GArray *reports; /* peer_message_t: to be sent once more */
	struct sockaddr_in own_address;
	bool may_follow;
	ev_io io;
	ev_timer tick;
	ev_timer pace;
	uint32_t pace_datagrams; /* per interval */
	GQueue unsent_parts;	 /* peer_changes_t */
	uint32_t next_peer; /* index of the one to send the first part to */
	int fd;
	peer_role_t role;
	int64_t era; /* latest one that a relay has stated */
	peer_position_t positions[PEER_TOPICS];
	/* Sent in the status: not beyond changes in @unsent_parts. */
	peer_position_t status_positions[PEER_TOPICS];
	peer_batch_t *batches[PEER_TOPICS];
	usec_t store_answered_at; /* when the store last answered; 0: never */
	usec_t distrust_until;	  /* relays are not relied on until then */
	usec_t missing_requested_at;
	peer_link_counters_t counters;
};

static void
send_to(peer_link_t *link, const peer_node_t *node, const writer_t *writer)
{
	ssize_t sent =
	    sendto(link->fd, writer->buffer.data, writer->buffer.size, 0,
		(const struct sockaddr *)&node->address, sizeof(node->address));

	/* Losses are detected by the receiver, or made good by a later
	 * datagram. */
	if (sent == (ssize_t)writer->buffer.size)
		link->counters.sent++;
}

static void
send_to_group(peer_link_t *link, const peer_message_t *message)
{
	writer_t writer;

	writer_init(&writer);
	peer_message_encode(message, &writer);
	for (uint32_t i = 0; i < peer_group_count(link->group); i++)
		send_to(link, &peer_group_at(link->group, i)->node, &writer);
	writer_free(&writer);
}

static void
send_report(peer_link_t *link, const peer_message_t *report)
{
	writer_t writer;

	writer_init(&writer);
	peer_message_encode(report, &writer);
	for (guint i = 0; i < link->nodes->len; i++)
		send_to(
		    link, &g_array_index(link->nodes, peer_node_t, i), &writer);
	writer_free(&writer);
}

/* Sends each report a second time: a datagram may be lost, and no other message
 * carries this information. */
static void
resend_reports(peer_link_t *link)
{
	for (guint i = 0; i < link->reports->len; i++)
		send_report(
		    link, &g_array_index(link->reports, peer_message_t, i));
	g_array_set_size(link->reports, 0);
}

static void
report(peer_link_t *link, const peer_message_t *message)
{
	send_report(link, message);
	g_array_append_vals(link->reports, message, 1);
}

/* Sends the positions, but not beyond changes whose parts are still queued. */
static void
send_status(peer_link_t *link, usec_t now)
{
	peer_message_t message = {.kind = PEER_STATUS};

	if (g_queue_is_empty(&link->unsent_parts))
		memcpy(link->status_positions, link->positions,
		    sizeof(link->status_positions));
	memcpy(message.status.positions, link->status_positions,
	    sizeof(link->status_positions));
	message.status.age = now - link->store_answered_at;
	send_to_group(link, &message);
}

static peer_role_t
next_role(peer_link_t *link, usec_t now)
{
	peer_role_t role = peer_group_update_role(
	    link->group, link->positions, link->store_answered_at, now);

	if (!link->may_follow ||
	    (role == PEER_FOLLOWER && now < link->distrust_until))
		return PEER_ALONE;
	return role;
}

/* Requests changes that a relay knows and this node lacks to be read from the
 * store. */
static void
request_missing_changes(peer_link_t *link, usec_t now)
{
	link->missing_requested_at = now;
	for (int i = 0; i < peer_group_topics(link->group); i++)
		if (peer_group_has_newer(
			link->group, (peer_topic_t)i, &link->positions[i], now))
			link->handlers.behind(
			    link->handlers.context, (peer_topic_t)i);
}

static void
update_role(peer_link_t *link, usec_t now)
{
	static const char *const names[] = {"alone", "relay", "follower"};
	peer_role_t role = next_role(link, now);

	if (role == link->role)
		return;
	event_log(EVENT_PEER_ROLE,
	    "role=%s before=%s peers=%u config=%lld servers=%lld", names[role],
	    names[link->role], peer_group_count(link->group),
	    (long long)link->positions[PEER_CONFIG].known.revision,
	    (long long)link->positions[PEER_SERVERS].known.revision);
	link->role = role;
	link->handlers.role(link->handlers.context, role);
	if (role == PEER_ALONE)
		request_missing_changes(link, now);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	peer_link_t *link = timer->data;
	usec_t now = loop_clock_now(loop);

	update_role(link, now);
	resend_reports(link);
	if (link->role == PEER_RELAY)
		send_status(link, now);
	/* Again, although it polls the store: a long poll that is still waiting
	 * does not prove that nothing has changed. */
	if (link->role == PEER_ALONE &&
	    now - link->missing_requested_at >= MISSING_REQUEST_INTERVAL)
		request_missing_changes(link, now);
	ev_timer_set(
	    timer, TICK_S + TICK_JITTER_S * (g_random_double() - 0.5), 0.0);
	ev_timer_start(loop, timer);
}

/* Records that all changes up to @position are known. */
static void
set_known(peer_link_t *link, peer_topic_t topic, store_position_t position)
{
	link->positions[topic].known = position;
	link->handlers.known(link->handlers.context, topic, position);
}

/* Sends the first part in the queue to the next peer, and removes it after the
 * last one. */
static void
send_next_datagram(peer_link_t *link)
{
	peer_changes_t *part = g_queue_peek_head(&link->unsent_parts);
	peer_message_t message = {.kind = PEER_CHANGES, .changes = *part};
	writer_t writer;

	if (link->next_peer < peer_group_count(link->group)) {
		writer_init(&writer);
		peer_message_encode(&message, &writer);
		send_to(link,
		    &peer_group_at(link->group, link->next_peer)->node,
		    &writer);
		writer_free(&writer);
	}
	if (++link->next_peer < peer_group_count(link->group))
		return;
	link->next_peer = 0;
	g_free(g_queue_pop_head(&link->unsent_parts));
}

static void
send_paced(peer_link_t *link)
{
	for (uint32_t i = 0;
	     i < link->pace_datagrams && !g_queue_is_empty(&link->unsent_parts);
	     i++)
		send_next_datagram(link);
	if (g_queue_is_empty(&link->unsent_parts))
		return;
	ev_timer_set(&link->pace, PACE_INTERVAL_S, 0.0);
	ev_timer_start(link->loop, &link->pace);
}

static void
on_pace(struct ev_loop *loop, ev_timer *timer, int events)
{
	send_paced(timer->data);
}

/*
 * Whether nothing has changed since this node's position. A relay that is in an
 * earlier era, or a later one, can't tell.
 */
static bool
confirms_position(const peer_position_t *theirs, store_position_t own)
{
	return store_position_is_set(own) && own.era == theirs->known.era &&
	    store_position_compare(own, theirs->last_change) >= 0;
}

static void
report_era(peer_link_t *link, const peer_status_t *status)
{
	int64_t era = peer_latest_era(status->positions);

	if (era <= link->era)
		return;
	link->era = era;
	link->handlers.era(link->handlers.context, era);
}

/* If nothing has changed since this node's position, the relay's position holds
 * here, too. */
static void
handle_status(
    peer_link_t *link, group_peer_t *peer, const peer_status_t *status)
{
	peer_group_update_status(
	    link->group, peer, status, loop_clock_now(link->loop));
	report_era(link, status);
	for (int i = 0; i < peer_group_topics(link->group); i++) {
		const peer_position_t *theirs = &status->positions[i];
		store_position_t own = link->positions[i].known;

		if (!confirms_position(theirs, own))
			continue;
		link->handlers.confirmed(
		    link->handlers.context, (peer_topic_t)i);
		if (store_position_compare(own, theirs->known) < 0)
			set_known(link, (peer_topic_t)i, theirs->known);
	}
}

static void
handle_changes(peer_link_t *link, const peer_changes_t *changes)
{
	peer_topic_t topic = changes->topic;
	peer_position_t *own = &link->positions[topic];
	peer_batch_t *batch = link->batches[topic];
	store_position_t to = {changes->era, changes->to};
	slice_t content;

	if (!store_position_is_set(own->known) ||
	    !peer_batch_add_part(batch, changes, own->known))
		return;
	content = peer_batch_uncompress(batch);
	if (!link->handlers.changes(link->handlers.context, topic,
		changes->from == 0, changes->to, content))
		return;
	own->last_change = to;
	set_known(link, topic, to);
}

/* The node of any data centre that has this address, or NULL. */
static const peer_node_t *
find_node(const peer_link_t *link, const struct sockaddr_in *address)
{
	for (guint i = 0; i < link->nodes->len; i++) {
		const peer_node_t *node =
		    &g_array_index(link->nodes, peer_node_t, i);

		if (peer_node_has_address(node, address))
			return node;
	}
	return NULL;
}

static void
reject(peer_link_t *link, event_number_t event,
    const struct sockaddr_in *sender, size_t size)
{
	link->counters.rejected++;
	event_log_sampled(event, "address=%08x:%u bytes=%zu",
	    ntohl(sender->sin_addr.s_addr), ntohs(sender->sin_port), size);
}

/* Only nodes of this data centre may send changes of the store. */
static bool
is_allowed(const peer_message_t *message, const group_peer_t *peer)
{
	return peer != NULL ||
	    (message->kind != PEER_STATUS && message->kind != PEER_CHANGES);
}

static void
handle_message(peer_link_t *link, group_peer_t *peer, const peer_node_t *sender,
    const peer_message_t *message)
{
	switch (message->kind) {
	case PEER_STATUS:
		handle_status(link, peer, &message->status);
		break;
	case PEER_CHANGES:
		handle_changes(link, &message->changes);
		break;
	case PEER_SUSPECT:
		link->handlers.suspect(link->handlers.context,
		    message->suspect.fingerprint,
		    message->suspect.crash_number);
		break;
	case PEER_LEAVING:
		link->handlers.leaving(link->handlers.context,
		    message->leaving.server, message->leaving.incarnation);
		break;
	case PEER_RATE_REQUEST:
	case PEER_RATE_GRANT:
		if (link->handlers.rate != NULL)
			link->handlers.rate(
			    link->handlers.context, sender->name, message);
		break;
	}
}

static void
handle_datagram(
    peer_link_t *link, const struct sockaddr_in *sender, slice_t bytes)
{
	group_peer_t *peer = peer_group_find(link->group, sender);
	const peer_node_t *node =
	    peer != NULL ? &peer->node : find_node(link, sender);
	peer_message_t message;

	if (node == NULL) {
		reject(link, EVENT_PEER_REJECTED, sender, bytes.size);
	} else if (peer_message_decode(bytes, &message) != 0 ||
	    !is_allowed(&message, peer)) {
		reject(link, EVENT_PEER_BAD_MESSAGE, sender, bytes.size);
	} else {
		link->counters.received++;
		handle_message(link, peer, node, &message);
	}
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	peer_link_t *link = io->data;
	char data[PEER_DATAGRAM_MAX];

	for (int i = 0; i < RECEIVE_MAX_DATAGRAMS; i++) {
		struct sockaddr_in sender;
		socklen_t size = sizeof(sender);
		ssize_t n = recvfrom(link->fd, data, sizeof(data), 0,
		    (struct sockaddr *)&sender, &size);

		if (n < 0)
			return;
		handle_datagram(link, &sender, (slice_t){data, (size_t)n});
	}
}

static int
open_socket(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0) {
		int error = errno;

		close(fd);
		errno = error;
		return -1;
	}
	return fd;
}

peer_link_t *
peer_link_create(struct ev_loop *loop, const char *own_name,
    const struct sockaddr_in *address)
{
	int fd = open_socket(address);
	peer_link_t *link;

	if (fd < 0)
		return NULL;
	link = g_new0(peer_link_t, 1);
	link->loop = loop;
	link->group = peer_group_create(own_name);
	link->nodes = g_array_new(FALSE, TRUE, sizeof(peer_node_t));
	link->reports = g_array_new(FALSE, TRUE, sizeof(peer_message_t));
	link->own_address = *address;
	link->may_follow = true;
	peer_link_set_bandwidth(link, DEFAULT_LINK_MBPS);
	for (int i = 0; i < PEER_TOPICS; i++)
		link->batches[i] = peer_batch_create();
	link->fd = fd;
	ev_io_init(&link->io, on_readable, fd, EV_READ);
	link->io.data = link;
	ev_io_start(loop, &link->io);
	ev_timer_init(&link->tick, on_tick, TICK_S * g_random_double(), 0.0);
	link->tick.data = link;
	ev_timer_start(loop, &link->tick);
	ev_timer_init(&link->pace, on_pace, 0.0, 0.0);
	link->pace.data = link;
	g_queue_init(&link->unsent_parts);
	return link;
}

void
peer_link_destroy(peer_link_t *link)
{
	if (link == NULL)
		return;
	ev_io_stop(link->loop, &link->io);
	ev_timer_stop(link->loop, &link->tick);
	ev_timer_stop(link->loop, &link->pace);
	g_queue_clear_full(&link->unsent_parts, g_free);
	close(link->fd);
	for (int i = 0; i < PEER_TOPICS; i++)
		peer_batch_destroy(link->batches[i]);
	peer_group_destroy(link->group);
	g_array_free(link->nodes, TRUE);
	g_array_free(link->reports, TRUE);
	g_free(link);
}

void
peer_link_set_handlers(peer_link_t *link, const peer_link_handlers_t *handlers)
{
	link->handlers = *handlers;
}

void
peer_link_set_nodes(peer_link_t *link, const peer_node_t *nodes, uint32_t count)
{
	peer_group_set(link->group, nodes, count);
	g_array_set_size(link->nodes, 0);
	for (uint32_t i = 0; i < count; i++)
		if (!peer_node_has_address(&nodes[i], &link->own_address))
			g_array_append_val(link->nodes, nodes[i]);
}

void
peer_link_set_bandwidth(peer_link_t *link, double mbps)
{
	double bits = PACE_LINK_SHARE * mbps * 1e6 * PACE_INTERVAL_S;
	double datagrams = bits / (BITS_PER_BYTE * PEER_DATAGRAM_MAX);

	link->pace_datagrams =
	    (uint32_t)CLAMP(datagrams, 1.0, PACE_DATAGRAMS_MAX);
}

void
peer_link_set_topics(peer_link_t *link, int count)
{
	peer_group_set_topics(link->group, count);
}

void
peer_link_set_may_follow(peer_link_t *link, bool may_follow)
{
	link->may_follow = may_follow;
}

void
peer_link_report_suspect(
    peer_link_t *link, uint64_t fingerprint, uint64_t crash_number)
{
	const peer_message_t message = {
	    .kind = PEER_SUSPECT,
	    .suspect = {fingerprint, crash_number},
	};

	report(link, &message);
}

void
peer_link_report_leaving(
    peer_link_t *link, const char *server, int64_t incarnation)
{
	peer_message_t message = {
	    .kind = PEER_LEAVING, .leaving.incarnation = incarnation};

	g_strlcpy(
	    message.leaving.server, server, sizeof(message.leaving.server));
	report(link, &message);
}

void
peer_link_send(
    peer_link_t *link, const char *node, const peer_message_t *message)
{
	writer_t writer;

	for (guint i = 0; i < link->nodes->len; i++) {
		const peer_node_t *listed =
		    &g_array_index(link->nodes, peer_node_t, i);

		if (strcmp(listed->name, node) != 0)
			continue;
		writer_init(&writer);
		peer_message_encode(message, &writer);
		send_to(link, listed, &writer);
		writer_free(&writer);
		return;
	}
}

void
peer_link_store_answered(peer_link_t *link)
{
	usec_t now = loop_clock_now(link->loop);

	link->store_answered_at = now;
	update_role(link, now);
}

void
peer_link_distrust_relays(peer_link_t *link)
{
	usec_t now = loop_clock_now(link->loop);

	link->distrust_until = now + DISTRUST_TIME;
	update_role(link, now);
}

void
peer_link_no_changes(
    peer_link_t *link, peer_topic_t topic, store_position_t position)
{
	peer_position_t *own = &link->positions[topic];

	peer_link_store_answered(link);
	own->known = store_position_later(own->known, position);
}

static void
queue_part(void *context, const peer_changes_t *part)
{
	peer_link_t *link = context;

	g_queue_push_tail(
	    &link->unsent_parts, g_memdup2(part, sizeof(peer_changes_t)));
}

static void
relay_changes(peer_link_t *link, const peer_changes_t *changes, slice_t content)
{
	usec_t now = loop_clock_now(link->loop);
	store_position_t to = {changes->era, changes->to};
	uint32_t parts;

	if (peer_group_knows(link->group, changes->topic, to, now))
		return;
	parts = peer_batch_split(changes, content, queue_part, link);
	event_log(EVENT_PEERS_TOLD,
	    "topic=%d era=%lld from=%lld to=%lld bytes=%zu parts=%u",
	    changes->topic, (long long)changes->era, (long long)changes->from,
	    (long long)changes->to, content.size, parts);
	if (!ev_is_active(&link->pace))
		send_paced(link);
}

void
peer_link_changes_read(peer_link_t *link, peer_topic_t topic, bool complete,
    store_position_t to, slice_t content)
{
	peer_position_t *own = &link->positions[topic];
	const peer_changes_t changes = {
	    .topic = topic,
	    .era = to.era,
	    .from = complete ? 0 : own->last_change.revision,
	    .to = to.revision,
	};

	peer_link_store_answered(link);
	if (store_position_compare(to, own->known) <= 0)
		return;
	if (link->role == PEER_RELAY && content.size > 0)
		relay_changes(link, &changes, content);
	own->last_change = to;
	own->known = to;
}

peer_role_t
peer_link_role(const peer_link_t *link)
{
	return link->role;
}

const peer_link_counters_t *
peer_link_counters(const peer_link_t *link)
{
	return &link->counters;
}
