#include "node_private.h"

#include <signal.h>
#include <stdio.h>

#include "../http/client_pressure.h"
#include "../http/http_socket.h"
#include "bulrushwell/memory_account.h"

#define OPERATOR_CONNECTIONS 32
/* Connections may take this part of the limit of memory. */
#define CONNECTION_MEMORY_PARTS 4
#define WAKEUP_MIN_MS 1 /* limits the rate of timer wakeups */

/* I/O events that arrive within this time are handled in one iteration of the
 * loop, so that replies to one query are sent in fewer messages. An event that
 * arrives while the loop is idle is handled at once. */
#define IO_COLLECT_MS 1

static void
on_node_object_written(
    void *context, platform_result_t result, uint64_t version, slice_t text)
{
	node_t *node = context;

	node->registered = result == PLATFORM_OK;
	node->registering = false;
}

/* Writes this node's object on the platform, from which other nodes learn its
 * address. */
static void
on_node_object_read(
    void *context, platform_result_t result, uint64_t version, slice_t text)
{
	node_t *node = context;
	const settings_t *settings = &node->board.settings;
	const platform_completion_t reply = {
	    on_node_object_written, node, NULL};
	char object[512];

	if (result != PLATFORM_OK && result != PLATFORM_NOT_FOUND) {
		node->registering = false;
		return;
	}
	snprintf(object, sizeof(object),
	    "{\"node\":\"%s\",\"vm\":\"%s\",\"data_centre\":\"%s\","
	    "\"address\":\"%s\",\"incarnation\":\"%llu\"}",
	    settings->node, settings->vm, settings->data_centre,
	    settings->peer_address,
	    (unsigned long long)node->board.incarnation);
	platform_write(node->platform, "node", settings->node,
	    result == PLATFORM_OK ? version : 0, slice_from(object), &reply);
}

/* A write whose answer is lost is repeated: it stores the same object. */
static void
register_node(node_t *node)
{
	const platform_completion_t reply = {on_node_object_read, node, NULL};

	if (node->registered || node->registering ||
	    !node->board.platform_reachable)
		return;
	node->registering = true;
	platform_read(
	    node->platform, "node", node->board.settings.node, &reply);
}

/* Logs each change of the answer to the load balancer's readiness check. */
static void
log_readiness_change(node_t *node, usec_t now)
{
	bool ready = status_is_ready(node, now);

	if (ready == node->was_ready)
		return;
	node->was_ready = ready;
	event_log(ready ? EVENT_NODE_READY : EVENT_NODE_NOT_READY, "%s",
	    blackboard_is_isolated(&node->board, now)
		? "neither the platform nor a peer answers"
		: "");
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	node_t *node = timer->data;
	usec_t now = clock_monotonic();

	if (node->board.state == NODE_STATE_STARTING &&
	    node->board.config_known)
		node->board.state = NODE_STATE_READY;
	register_node(node);
	peer_tick(node, now);
	probe_tick(node);
	assign_tick(node, now);
	limits_tick(node, now);
	health_tick(node, now);
	stop_tick(node, now);
	log_readiness_change(node, now);
}

static void
on_wakeup(struct ev_loop *loop, ev_timer *timer, int events)
{
	/* Ends the loop's wait; on_prepare() then does what is due. */
}

static void
set_earlier_time(usec_t *earliest, usec_t when)
{
	if (when != 0 && (*earliest == 0 || when < *earliest))
		*earliest = when;
}

static void
arm_wakeup(node_t *node)
{
	usec_t earliest = 0, now = clock_monotonic(), delay;

	set_earlier_time(&earliest, serve_next_wakeup(node));
	set_earlier_time(&earliest, hold_next_wakeup(node));
	set_earlier_time(&earliest, query_next_timer(node->queries));
	set_earlier_time(&earliest, claim_next_wakeup(node->claims));
	ev_timer_stop(node->loop, &node->wakeup);
	if (earliest == 0)
		return;
	delay = MAX(earliest - now, MS(WAKEUP_MIN_MS));
	ev_timer_set(&node->wakeup, (double)delay / USEC_PER_SEC, 0.0);
	ev_timer_start(node->loop, &node->wakeup);
}

void
node_run_pending_work(node_t *node)
{
	usec_t now = clock_monotonic();

	query_tick(node->queries, now);
	request_tick(node, now);
	request_run_admission_actions(node);
	query_run_actions(node);
	reserve_run_actions(node, now);
	serve_run_schedulers(node, now);
	query_run_actions(node);
	reserve_run_actions(node, now);
	serve_send_due_batches(node);
	hold_admit_due(node, now);
	request_run_admission_actions(node);
	query_run_actions(node);
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	node_t *node = prepare->data;

	node_run_pending_work(node);
	arm_wakeup(node);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	stop_begin(watcher->data);
}

static void
on_platform_object(void *context, const platform_object_t *object)
{
	config_adopt_platform_object(context, object);
}

static void
on_vm_list(void *context, const vm_entry_t *vms, size_t count)
{
	node_t *node = context;

	membership_set_vms(
	    node->board.membership, vms, count, clock_monotonic());
}

static void
on_platform_heard(void *context)
{
	node_t *node = context;
	usec_t now = clock_monotonic();

	node->board.platform_heard_at = now;
	membership_platform_heard(node->board.membership, now);
	if (!node->board.platform_reachable)
		event_log(
		    EVENT_PLATFORM_FOUND, "%s", node->board.settings.platform);
	node->board.platform_reachable = true;
}

static void
on_platform_failed(void *context)
{
	node_t *node = context;

	if (node->board.platform_reachable)
		event_log(
		    EVENT_PLATFORM_LOST, "%s", node->board.settings.platform);
	node->board.platform_reachable = false;
}

static void
on_platform_synced(void *context)
{
	node_t *node = context;

	node->board.config_known = true;
}

static bool
open_servers(node_t *node, char *message, size_t message_size)
{
	const settings_t *settings = &node->board.settings;
	size_t memory = memory_account_limit();
	descriptor_shares_t shares = descriptor_shares(
	    http_socket_descriptors(0), memory / CONNECTION_MEMORY_PARTS);

	event_log(EVENT_CLIENT_LIMITS, "bytes=%zu clients=%u operators=%d",
	    memory, shares.clients, OPERATOR_CONNECTIONS);
	node->caller_server = http_server_create(node->loop,
	    settings->caller_address, shares.clients, request_handle, node);
	if (node->caller_server == NULL) {
		snprintf(message, message_size,
		    "cannot listen on --caller-address %s; choose a free "
		    "address of this VM",
		    settings->caller_address);
		return false;
	}
	node->operator_server =
	    http_server_create(node->loop, settings->operator_address,
		OPERATOR_CONNECTIONS, status_handle, node);
	if (node->operator_server == NULL) {
		snprintf(message, message_size,
		    "cannot listen on --operator-address %s; choose a free "
		    "address of this VM",
		    settings->operator_address);
		return false;
	}
	node->peer_socket = peer_socket_create(node->loop,
	    settings->peer_address, settings->peer_key, peer_receive, node);
	if (node->peer_socket == NULL) {
		snprintf(message, message_size,
		    "cannot bind --peer-address %s; choose a free address of "
		    "this VM and check the key in --peer-key-file",
		    settings->peer_address);
		return false;
	}
	return true;
}

static void
start_watchers(node_t *node)
{
	ev_timer_init(&node->tick, on_tick, 0.0, NODE_TICK_MS / 1000.0);
	node->tick.data = node;
	ev_timer_start(node->loop, &node->tick);
	ev_init(&node->wakeup, on_wakeup);
	ev_prepare_init(&node->before_wait, on_prepare);
	ev_set_priority(&node->before_wait, EV_MAXPRI);
	node->before_wait.data = node;
	ev_prepare_start(node->loop, &node->before_wait);
	ev_signal_init(&node->sigterm, on_signal, SIGTERM);
	node->sigterm.data = node;
	ev_signal_start(node->loop, &node->sigterm);
	ev_signal_init(&node->sigint, on_signal, SIGINT);
	node->sigint.data = node;
	ev_signal_start(node->loop, &node->sigint);
}

node_t *
node_create(const settings_t *settings, char *message, size_t message_size)
{
	node_t *node = g_new0(node_t, 1);
	query_router_t router = query_make_router(node);
	platform_events_t events = {
	    .context = node,
	    .object_read = on_platform_object,
	    .vms_read = on_vm_list,
	    .answered = on_platform_heard,
	    .call_failed = on_platform_failed,
	    .synced = on_platform_synced,
	};

	signal(SIGPIPE, SIG_IGN);
	node->started_at = clock_monotonic();
	node->loop = ev_default_loop(EVFLAG_AUTO);
	ev_set_io_collect_interval(node->loop, IO_COLLECT_MS / 1000.0);
	blackboard_init(&node->board, settings);
	node->http = http_client_create(node->loop);
	node->requests = table_create(sizeof(request_t), NODE_MAX_REQUESTS);
	node->queries = query_set_create(&router);
	node->limiter = limiter_create();
	g_queue_init(&node->queries_held);
	node->forwarded_reservations =
	    g_hash_table_new_full(id128_hash, id128_key_equal, g_free, g_free);
	node->index_queue_waits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->customer_stats =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->active_customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->closed_shares =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->token_requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	node->last_token_peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->wanted_allowances =
	    g_array_new(FALSE, TRUE, sizeof(allowance_loan_t));
	node->not_first_since =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	probe_create(node);
	node->claims = claim_table_create();
	config_create(node);
	serve_create(node);
	if (!open_servers(node, message, message_size)) {
		node_destroy(node);
		return NULL;
	}
	peer_add_configured(node);
	node->platform =
	    platform_client_create(node->loop, node->http, settings->platform,
		"contract,service,index,assignment,node", &events);
	start_watchers(node);
	event_log(EVENT_NODE_STARTED,
	    "incarnation %llu, callers %s, operators %s, peers %s",
	    (unsigned long long)node->board.incarnation,
	    settings->caller_address, settings->operator_address,
	    settings->peer_address);
	return node;
}

int
node_run(node_t *node)
{
	ev_run(node->loop, 0);
	event_log(EVENT_NODE_STOPPED, "%s",
	    node->requests_cut ? "unfinished requests were cut off"
			       : "no request was cut off");
	return node->requests_cut ? 1 : 0;
}

static void
free_customer_stats(gpointer key, gpointer value, gpointer context)
{
	customer_stats_t *stats = value;

	histogram_destroy(stats->query_latency);
	histogram_destroy(stats->reservation_latency);
	g_free(stats);
}

void
node_destroy(node_t *node)
{
	if (node == NULL)
		return;
	ev_timer_stop(node->loop, &node->tick);
	ev_timer_stop(node->loop, &node->wakeup);
	ev_prepare_stop(node->loop, &node->before_wait);
	ev_signal_stop(node->loop, &node->sigterm);
	ev_signal_stop(node->loop, &node->sigint);
	platform_client_destroy(node->platform);
	http_server_destroy(node->caller_server);
	http_server_destroy(node->operator_server);
	peer_socket_destroy(node->peer_socket);
	http_client_destroy(node->http);
	query_set_destroy(node->queries);
	limiter_destroy(node->limiter);
	g_queue_clear_full(&node->queries_held, g_free);
	claim_table_destroy(node->claims);
	serve_destroy(node);
	config_destroy(node);
	g_hash_table_foreach(node->customer_stats, free_customer_stats, NULL);
	g_hash_table_destroy(node->customer_stats);
	g_array_free(node->wanted_allowances, TRUE);
	g_hash_table_destroy(node->active_customers);
	g_hash_table_destroy(node->closed_shares);
	g_hash_table_destroy(node->probes);
	g_hash_table_destroy(node->token_requests);
	g_hash_table_destroy(node->last_token_peers);
	g_hash_table_destroy(node->forwarded_reservations);
	g_hash_table_destroy(node->index_queue_waits);
	g_hash_table_destroy(node->not_first_since);
	table_destroy(node->requests);
	table_destroy(node->reservations);
	blackboard_clear(&node->board);
	g_free(node);
}
