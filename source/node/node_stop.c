#include "node_private.h"

/* The balancer learns of the failed readiness with a delay. The node goes on
 * accepting until no request has come for QUIET_MS, at most for BALANCER_MS. */
#define QUIET_MS 1000
#define BALANCER_MS 10000

/* Beyond the longest deadline: writes of the platform and late outcomes. */
#define FINISH_MS 8000

void
stop_begin(node_t *node)
{
	usec_t now = clock_monotonic();

	if (node->board.state == NODE_STATE_STOPPING) {
		node->stop_cut =
		    !serve_is_idle(node) || table_count(node->requests) > 0;
		if (node->stop_cut)
			event_log(EVENT_NODE_STOP_CUT,
			    "a second signal ended the stop; %u requests ran",
			    table_count(node->requests));
		ev_break(node->loop, EVBREAK_ALL);
		return;
	}
	node->board.state = NODE_STATE_STOPPING;
	node->stop_at = now;
	blackboard_note_stopping(
	    &node->board, node->board.settings.node, true, now);
	node->last_request_at = now;
	http_server_set_closing(node->callers);
	event_log(EVENT_NODE_STOPPING, "%u requests run",
	    table_count(node->requests));
}

static bool
is_quiet(const node_t *node, usec_t now)
{
	return now - node->last_request_at >= MS(QUIET_MS) ||
	    now - node->stop_at >= MS(BALANCER_MS);
}

/* Everything that a caller waits for is answered. */
static bool
is_answered(node_t *node)
{
	return http_server_open_exchanges(node->callers) == 0 &&
	    table_count(node->requests) == 0 && serve_is_idle(node);
}

/* During an outage outcomes cannot be stored. Without its outcome a claim is
 * never dispatched again; a repeat of its key is answered as unknown. */
static bool
is_finished(node_t *node)
{
	return is_answered(node) && !node->write_running &&
	    (claim_is_idle(node->claims) || !node->board.platform_reachable);
}

/* Peers that answer, and those of them that stay. */
typedef struct {
	uint32_t live;
	uint32_t staying;
} peer_counts_t;

static peer_counts_t
count_peers(const node_t *node)
{
	const membership_t *membership = node->board.membership;
	peer_counts_t counts = {0, 0};

	for (size_t i = 0; i < membership_count(membership); i++) {
		const peer_t *peer = membership_at(membership, i);

		counts.live += peer->live;
		counts.staying +=
		    peer->live && peer->state != NODE_STATE_STOPPING;
	}
	return counts;
}

/* Without the platform the shares cannot be given up, and without a peer that
 * stays nobody takes them; they stay reserved until the VM list proves this
 * node gone. */
static bool
is_handed_over(node_t *node, usec_t now)
{
	/* Peers must have moved to the standby before this node is silent. */
	usec_t moved = node->stop_at + blackboard_handover(&node->board, now) +
	    MS(QUIET_MS);

	peer_counts_t peers = count_peers(node);

	if (assign_is_released(node) || peers.live == 0)
		return true;
	return now >= moved &&
	    (!node->board.platform_reachable || peers.staying == 0);
}

void
stop_tick(node_t *node, usec_t now)
{
	usec_t limit;

	if (node->board.state != NODE_STATE_STOPPING || !is_quiet(node, now))
		return;
	http_server_close_listener(node->callers);
	limit = MS(BALANCER_MS) + blackboard_longest(&node->board, now) +
	    MS(FINISH_MS);
	if (is_finished(node) && is_handed_over(node, now)) {
		event_log(EVENT_HANDOVER, "%s",
		    assign_is_released(node) ? "all shares are given up"
					     : "nobody takes the shares over");
		ev_break(node->loop, EVBREAK_ALL);
	} else if (now - node->stop_at >= limit) {
		node->stop_cut = !is_answered(node);
		if (node->stop_cut)
			event_log(EVENT_NODE_STOP_CUT,
			    "the time for a stop is over; %u requests ran",
			    table_count(node->requests));
		ev_break(node->loop, EVBREAK_ALL);
	}
}
