#include "node_private.h"

/* Load balancers notice the failing readiness check with a delay. A stopping
 * node accepts requests until none has arrived for QUIET_PERIOD_MS, at most for
 * BALANCER_DELAY_MAX_MS. */
#define QUIET_PERIOD_MS 1000
#define BALANCER_DELAY_MAX_MS 10000

/* Time beyond the longest deadline for platform writes and late outcomes. */
#define FINISH_MARGIN_MS 8000

void
stop_begin(node_t *node)
{
	usec_t now = clock_monotonic();

	if (node->board.state == NODE_STATE_STOPPING) {
		node->requests_cut =
		    !serve_is_idle(node) || table_count(node->requests) > 0;
		if (node->requests_cut)
			event_log(EVENT_NODE_STOP_CUT,
			    "a second signal ended the stop at once; "
			    "%u requests were running",
			    table_count(node->requests));
		ev_break(node->loop, EVBREAK_ALL);
		return;
	}
	node->board.state = NODE_STATE_STOPPING;
	node->stop_started_at = now;
	blackboard_set_stopping(
	    &node->board, node->board.settings.node, true, now);
	node->last_request_at = now;
	http_server_set_closing(node->caller_server);
	event_log(EVENT_NODE_STOPPING, "%u requests are running",
	    table_count(node->requests));
}

static bool
accept_period_ended(const node_t *node, usec_t now)
{
	return now - node->last_request_at >= MS(QUIET_PERIOD_MS) ||
	    now - node->stop_started_at >= MS(BALANCER_DELAY_MAX_MS);
}

/* Whether no caller waits for an answer any more. */
static bool
all_requests_answered(node_t *node)
{
	return http_server_open_exchanges(node->caller_server) == 0 &&
	    table_count(node->requests) == 0 && serve_is_idle(node);
}

/* Whether all work has ended. Outcomes cannot be stored while the platform is
 * unreachable, so claims are not waited for then: a claim without an outcome is
 * never dispatched again, and a repeat of its key gets the error
 * outcome_unknown. */
static bool
all_work_done(node_t *node)
{
	return all_requests_answered(node) && !node->assignment_write_running &&
	    (claim_is_idle(node->claims) || !node->board.platform_reachable);
}

/* Counts of live peers. */
typedef struct {
	uint32_t live;
	uint32_t not_stopping;
} peer_counts_t;

static peer_counts_t
count_peers(const node_t *node)
{
	const membership_t *membership = node->board.membership;
	peer_counts_t counts = {0, 0};

	for (size_t i = 0; i < membership_count(membership); i++) {
		const peer_t *peer = membership_at(membership, i);

		counts.live += peer->live;
		counts.not_stopping +=
		    peer->live && peer->state != NODE_STATE_STOPPING;
	}
	return counts;
}

/* Whether the node need not wait any longer for other nodes to take over its
 * shares. Without the platform the shares cannot be released, and
 * without a peer that keeps running no node takes them; they stay reserved
 * until the platform's list of VMs proves this node gone. */
static bool
handover_ended(node_t *node, usec_t now)
{
	/* Peers must route to the standby before this node stops replying. */
	usec_t peers_rerouted_at = node->stop_started_at +
	    blackboard_handover_time(&node->board, now) + MS(QUIET_PERIOD_MS);

	peer_counts_t peers = count_peers(node);

	if (assign_owns_nothing(node) || peers.live == 0)
		return true;
	return now >= peers_rerouted_at &&
	    (!node->board.platform_reachable || peers.not_stopping == 0);
}

void
stop_tick(node_t *node, usec_t now)
{
	usec_t time_limit;

	if (node->board.state != NODE_STATE_STOPPING ||
	    !accept_period_ended(node, now))
		return;
	http_server_close_listener(node->caller_server);
	time_limit = MS(BALANCER_DELAY_MAX_MS) +
	    blackboard_longest_deadline(&node->board, now) +
	    MS(FINISH_MARGIN_MS);
	if (all_work_done(node) && handover_ended(node, now)) {
		event_log(EVENT_HANDOVER, "%s",
		    assign_owns_nothing(node)
			? "all shares were released"
			: "no other node can take over the shares");
		ev_break(node->loop, EVBREAK_ALL);
	} else if (now - node->stop_started_at >= time_limit) {
		node->requests_cut = !all_requests_answered(node);
		if (node->requests_cut)
			event_log(EVENT_NODE_STOP_CUT,
			    "the stop reached its time limit and was ended; "
			    "%u requests were running",
			    table_count(node->requests));
		ev_break(node->loop, EVBREAK_ALL);
	}
}
