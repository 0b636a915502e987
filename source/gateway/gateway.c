#include "gateway.h"

#include <errno.h>
#include <signal.h>
#include <string.h>

#include "../base/loop_clock.h"
#include "../http/client_pressure.h"
#include "../http/http_socket.h"
#include "admin.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/memory_account.h"
#include "config_freshness.h"
#include "frontend.h"
#include "gateway_metrics.h"
#include "gateway_state.h"

#define STATE_CHECK_INTERVAL_S 0.2
/*
 * New requests are accepted this long after a stop began: the load balancer
 * needs two failed health checks, a second apart, before it sends no more
 * clients.
 */
#define STOP_ACCEPT_TIME MS(2800)
/* Before the limit of a stop: time for clients that have just connected. */
#define STOP_LISTEN_MARGIN SECONDS(1)
/* After the limit of a stop: time to send the last responses. */
#define STOP_FLUSH_TIME MS(200)
/*
 * A node is isolated from the servers when at least this many attempts failed
 * lately and none was answered.
 */
#define ISOLATION_MIN_FAILURES 8

struct gateway {
	gateway_settings_t settings;
	struct ev_loop *loop;
	loop_clock_t clock;
	exchange_engine_t *engine;
	frontend_t *frontend;
	frontend_t *peer_frontend; /* NULL: no link to other gateways */
	admin_t *health;
	admin_t *metrics;
	peer_link_t *peers; /* NULL: no link to other gateways */
	descriptor_shares_t shares;
	ev_signal on_term;
	ev_signal on_int;
	ev_signal on_hangup;
	ev_timer state_check;
	ev_prepare prepare;
	bool has_config;
	bool has_servers; /* the registry was listed, even if it was empty */
	bool has_evacuations; /* they were listed, or are not followed */
	bool ready;
	usec_t stopping_since; /* 0: no stop has begun */
	uint64_t store_calls;
	uint64_t store_failures;
	int64_t store_era; /* 0: the store states none */
	config_freshness_t config_freshness;
};

static usec_t
gateway_now(const gateway_t *gateway)
{
	return loop_clock_now(gateway->loop);
}

static usec_t
config_age(const gateway_t *gateway)
{
	return config_freshness_age(
	    &gateway->config_freshness, gateway_now(gateway));
}

static void
check_config_age(gateway_t *gateway)
{
	const route_table_t *table = engine_table(gateway->engine);

	if (table == NULL ||
	    !config_freshness_check(
		&gateway->config_freshness, gateway_now(gateway)))
		return;
	event_log(EVENT_CONFIG_UNCONFIRMED, "version=%lld unconfirmed_ms=%lld",
	    (long long)route_table_version(table),
	    (long long)(config_age(gateway) / USEC_PER_MS));
}

static bool
is_isolated(gateway_t *gateway)
{
	uint32_t answered, connection_failures;

	pool_recent_attempts(
	    engine_pool(gateway->engine), &answered, &connection_failures);
	return answered == 0 && connection_failures >= ISOLATION_MIN_FAILURES;
}

static void
update_ready(gateway_t *gateway)
{
	bool isolated = is_isolated(gateway);
	bool ready = gateway->has_config && gateway->has_servers &&
	    gateway->has_evacuations && gateway->stopping_since == 0 &&
	    !isolated;

	if (ready == gateway->ready)
		return;
	gateway->ready = ready;
	event_log(ready ? EVENT_GATEWAY_READY : EVENT_GATEWAY_NOT_READY,
	    "config=%d servers=%d stopping=%d isolated=%d evacuations=%d",
	    gateway->has_config, gateway->has_servers,
	    gateway->stopping_since != 0, isolated, gateway->has_evacuations);
}

static int
answer_health(void *context, slice_t path, buffer_t *body)
{
	gateway_t *gateway = context;

	update_ready(gateway);
	buffer_append_text(body, gateway->ready ? "ready\n" : "not ready\n");
	return gateway->ready ? 200 : 503;
}

static int
answer_metrics(void *context, slice_t path, buffer_t *body)
{
	gateway_t *gateway = context;
	const gateway_metrics_input_t input = {
	    .ready = gateway->ready,
	    .client_connections = frontend_connections(gateway->frontend),
	    .client_connections_limit =
		frontend_max_connections(gateway->frontend),
	    .gateway_connections = frontend_connections(gateway->peer_frontend),
	    .gateway_connections_limit =
		frontend_max_connections(gateway->peer_frontend),
	    .store_calls = gateway->store_calls,
	    .store_failures = gateway->store_failures,
	    .store_era = (uint64_t)gateway->store_era,
	    .config_unconfirmed_ms =
		(uint64_t)(config_age(gateway) / USEC_PER_MS),
	    .peers = gateway->peers,
	    .now = gateway_now(gateway),
	};

	if (slice_is(path, "/state"))
		gateway_state_write(
		    gateway->engine, loop_clock_now(gateway->loop), body);
	else
		gateway_metrics_write(gateway->engine, &input, body);
	return 200;
}

static void
finish_stop(gateway_t *gateway)
{
	event_log(EVENT_GATEWAY_STOPPED, "running=%u connections=%u",
	    engine_running_count(gateway->engine),
	    frontend_connections(gateway->frontend));
	ev_break(gateway->loop, EVBREAK_ALL);
}

static bool
serves_clients(const gateway_t *gateway)
{
	return engine_running_count(gateway->engine) > 0 ||
	    frontend_connections(gateway->frontend) > 0 ||
	    frontend_connections(gateway->peer_frontend) > 0;
}

static void
close_listeners(gateway_t *gateway)
{
	frontend_close_listener(gateway->frontend);
	frontend_close_listener(gateway->peer_frontend);
}

/*
 * Stops in steps: accept requests, then refuse them, then accept no more
 * connections, then end the loop. Each step leaves time to answer the clients
 * that the step before has let in.
 */
static void
advance_stop(gateway_t *gateway)
{
	usec_t elapsed = gateway_now(gateway) - gateway->stopping_since;
	usec_t limit = gateway->settings.stop_limit;

	if (elapsed < STOP_ACCEPT_TIME)
		return;
	engine_refuse_requests(gateway->engine);
	frontend_close_idle(gateway->frontend);
	frontend_close_idle(gateway->peer_frontend);
	if (elapsed >= limit - STOP_LISTEN_MARGIN || !serves_clients(gateway))
		close_listeners(gateway);
	if (elapsed >= limit) {
		frontend_end_requests(gateway->frontend);
		frontend_end_requests(gateway->peer_frontend);
	}
	if (elapsed >= limit + STOP_FLUSH_TIME || !serves_clients(gateway))
		finish_stop(gateway);
}

static void
on_state_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;

	update_ready(gateway);
	check_config_age(gateway);
	if (gateway->stopping_since != 0)
		advance_stop(gateway);
}

static void
on_term(struct ev_loop *loop, ev_signal *watcher, int events)
{
	gateway_t *gateway = watcher->data;

	if (gateway->stopping_since != 0)
		return;
	gateway->stopping_since = gateway_now(gateway);
	engine_set_end(gateway->engine,
	    gateway->stopping_since + gateway->settings.stop_limit);
	event_log(EVENT_GATEWAY_STOPPING, "signal=%d running=%u",
	    watcher->signum, engine_running_count(gateway->engine));
	frontend_stop(gateway->frontend);
	frontend_stop(gateway->peer_frontend);
	update_ready(gateway);
}

/* The settings are flags and environment variables, so nothing is reloaded. */
static void
on_hangup(struct ev_loop *loop, ev_signal *watcher, int events)
{
	event_log(EVENT_GATEWAY_RELOADED, "changed=0");
}

/* Writes buffered log lines once in each iteration of the event loop. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	event_flush();
}

static void
watch_signal(gateway_t *gateway, ev_signal *watcher,
    void (*handler)(struct ev_loop *, ev_signal *, int), int number)
{
	ev_signal_init(watcher, handler, number);
	watcher->data = gateway;
	ev_signal_start(gateway->loop, watcher);
}

static void
start_watchers(gateway_t *gateway)
{
	signal(SIGPIPE, SIG_IGN);
	watch_signal(gateway, &gateway->on_term, on_term, SIGTERM);
	watch_signal(gateway, &gateway->on_int, on_term, SIGINT);
	watch_signal(gateway, &gateway->on_hangup, on_hangup, SIGHUP);
	ev_timer_init(&gateway->state_check, on_state_check,
	    STATE_CHECK_INTERVAL_S, STATE_CHECK_INTERVAL_S);
	gateway->state_check.data = gateway;
	ev_timer_start(gateway->loop, &gateway->state_check);
	ev_prepare_init(&gateway->prepare, on_prepare);
	ev_prepare_start(gateway->loop, &gateway->prepare);
}

static void
report_suspect(void *context, uint64_t fingerprint, uint64_t crash_number)
{
	peer_link_report_suspect(context, fingerprint, crash_number);
}

static void
report_leaving(void *context, const char *server, int64_t incarnation)
{
	peer_link_report_leaving(context, server, incarnation);
}

static void
send_rate_message(
    void *context, const char *node, const peer_message_t *message)
{
	peer_link_send(context, node, message);
}

static void
connect_rates(gateway_t *gateway)
{
	rate_gate_t *rates = engine_rates(gateway->engine);

	if (rates == NULL)
		return;
	if (gateway->peers != NULL)
		rate_gate_set_sender(
		    rates, &(rate_sender_t){send_rate_message, gateway->peers});
	else
		rate_gate_set_alone(rates);
}

static int
open_peers(gateway_t *gateway)
{
	const gateway_settings_t *settings = &gateway->settings;
	int error = 0;

	gateway->peer_frontend = frontend_create(gateway->loop, FRONTEND_PEERS,
	    &settings->peer_address, gateway->engine, gateway->shares.gateways,
	    &error);
	if (gateway->peer_frontend == NULL)
		return error;
	gateway->peers = peer_link_create(
	    gateway->loop, settings->node, &settings->peer_address);
	if (gateway->peers == NULL)
		return BW_E_IO;
	peer_link_set_may_follow(gateway->peers, settings->may_follow_peers);
	peer_link_set_bandwidth(gateway->peers, settings->link_mbps);
	if (settings->evacuation_limit > 0)
		peer_link_set_topics(gateway->peers, PEER_TOPICS);
	engine_set_reports(gateway->engine,
	    &(engine_reports_t){
		report_suspect, report_leaving, gateway->peers});
	return 0;
}

static bool
open_listeners(gateway_t *gateway, char *message, size_t message_size)
{
	const gateway_settings_t *settings = &gateway->settings;
	const char *flag = "clients";
	int error = 0;

	gateway->frontend = frontend_create(gateway->loop, FRONTEND_CLIENTS,
	    &settings->client_address, gateway->engine, gateway->shares.clients,
	    &error);
	if (error == 0) {
		flag = "health";
		gateway->health =
		    admin_create(gateway->loop, &settings->health_address,
			gateway->shares.admin, answer_health, gateway, &error);
	}
	if (error == 0 && settings->has_metrics_address) {
		flag = "metrics";
		gateway->metrics =
		    admin_create(gateway->loop, &settings->metrics_address,
			gateway->shares.admin, answer_metrics, gateway, &error);
	}
	if (error == 0 && settings->has_peer_address) {
		flag = "peers";
		error = open_peers(gateway);
	}
	if (error == 0)
		return true;
	g_snprintf(message, message_size,
	    "cannot listen on the address of --%s: %s", flag, strerror(errno));
	return false;
}

static void
set_limits(gateway_t *gateway)
{
	uint64_t descriptors =
	    http_socket_descriptors(gateway->settings.max_fds);

	memory_account_set_vm(gateway->settings.memory_bytes);
	gateway->shares =
	    descriptor_shares(descriptors, memory_account_limit());
	event_log(EVENT_CLIENT_LIMITS,
	    "bytes=%zu vm_bytes=%zu clients=%u gateways=%u descriptors=%llu",
	    memory_account_limit(), memory_account_vm(),
	    gateway->shares.clients, gateway->shares.gateways,
	    (unsigned long long)descriptors);
}

gateway_t *
gateway_create(const gateway_settings_t *settings,
    const header_names_t *headers, char *message, size_t message_size)
{
	gateway_t *gateway = g_new0(gateway_t, 1);
	const engine_settings_t engine_settings = {
	    .headers = *headers,
	    .retries = settings->retries,
	    .drain_limit = settings->drain_limit,
	    .awaits_evacuations = settings->evacuation_limit > 0,
	    .cold_bound = settings->cold_bound,
	    .link_mbps = settings->link_mbps,
	    .node = settings->node,
	    .rate_bound = settings->rate_bound,
	};

	gateway->settings = *settings;
	gateway->config_freshness.limit = settings->config_limit;
	gateway->has_evacuations = settings->evacuation_limit == 0;
	set_limits(gateway);
	gateway->loop = ev_loop_new(EVFLAG_AUTO);
	loop_clock_start(&gateway->clock, gateway->loop);
	gateway->engine = engine_create(gateway->loop, &engine_settings);
	if (!open_listeners(gateway, message, message_size)) {
		gateway_destroy(gateway);
		return NULL;
	}
	connect_rates(gateway);
	start_watchers(gateway);
	event_log(EVENT_GATEWAY_STARTED, "data_centre=%s retry_ratio=%.2f",
	    settings->data_centre, settings->retries.ratio);
	return gateway;
}

void
gateway_destroy(gateway_t *gateway)
{
	if (gateway == NULL)
		return;
	frontend_destroy(gateway->frontend);
	frontend_destroy(gateway->peer_frontend);
	admin_destroy(gateway->health);
	admin_destroy(gateway->metrics);
	peer_link_destroy(gateway->peers);
	engine_destroy(gateway->engine);
	ev_loop_destroy(gateway->loop);
	g_free(gateway);
}

void
gateway_run(gateway_t *gateway)
{
	ev_run(gateway->loop, 0);
	event_flush();
}

struct ev_loop *
gateway_loop(gateway_t *gateway)
{
	return gateway->loop;
}

peer_link_t *
gateway_peers(gateway_t *gateway)
{
	return gateway->peers;
}

void
gateway_add_suspect(
    gateway_t *gateway, uint64_t fingerprint, uint64_t crash_number)
{
	engine_add_suspect(gateway->engine, fingerprint, crash_number);
}

void
gateway_server_leaving(gateway_t *gateway, const char *id, int64_t incarnation)
{
	pool_server_leaving(engine_pool(gateway->engine), id, incarnation,
	    gateway_now(gateway));
}

void
gateway_rate_message(
    gateway_t *gateway, const char *sender, const peer_message_t *message)
{
	rate_gate_t *rates = engine_rates(gateway->engine);

	if (rates != NULL)
		rate_gate_receive(rates, sender, message);
}

bool
gateway_is_stopping(const gateway_t *gateway)
{
	return gateway->stopping_since != 0;
}

void
gateway_update_config(
    gateway_t *gateway, route_table_t *table, const char *source)
{
	const route_table_t *old = engine_table(gateway->engine);

	if (old != NULL &&
	    route_table_version(table) <= route_table_version(old)) {
		event_log(EVENT_ROUTES_STALE, "version=%lld in_force=%lld",
		    (long long)route_table_version(table),
		    (long long)route_table_version(old));
		return;
	}
	event_log(EVENT_ROUTES_ADOPTED,
	    "version=%lld source=%s unconfirmed_ms=%lld routes=%u services=%u "
	    "customers=%u keys=%u",
	    (long long)route_table_version(table), source,
	    (long long)(config_age(gateway) / USEC_PER_MS),
	    route_table_route_count(table), route_table_service_count(table),
	    route_table_customer_count(table), route_table_key_count(table));
	engine_set_table(gateway->engine, table);
	gateway->has_config = true;
	update_ready(gateway);
}

void
gateway_config_current(gateway_t *gateway, usec_t age)
{
	usec_t now = gateway_now(gateway);

	if (config_freshness_confirm(
		&gateway->config_freshness, now - age, now))
		event_log(EVENT_CONFIG_CONFIRMED, "unconfirmed_ms=%lld",
		    (long long)(gateway->config_freshness.overdue_for /
			USEC_PER_MS));
}

void
gateway_registry_current(gateway_t *gateway, usec_t age)
{
	pool_registry_current(
	    engine_pool(gateway->engine), gateway_now(gateway) - age);
}

void
gateway_set_peers(gateway_t *gateway, const peer_node_t *nodes, uint32_t count)
{
	engine_set_nodes(gateway->engine, nodes, count);
}

void
gateway_update_server(gateway_t *gateway, const server_entry_t *entry)
{
	pool_update_server(
	    engine_pool(gateway->engine), entry, gateway_now(gateway));
}

void
gateway_server_deregistered(gateway_t *gateway, const char *id)
{
	pool_server_deregistered(
	    engine_pool(gateway->engine), id, gateway_now(gateway));
}

void
gateway_reconcile_servers(gateway_t *gateway, GHashTable *present)
{
	pool_reconcile_servers(
	    engine_pool(gateway->engine), present, gateway_now(gateway));
	gateway->has_servers = true;
	update_ready(gateway);
}

void
gateway_evacuate(gateway_t *gateway, const char *data_centre)
{
	pool_evacuate(engine_pool(gateway->engine), data_centre);
}

void
gateway_restore(gateway_t *gateway, const char *data_centre)
{
	pool_restore(
	    engine_pool(gateway->engine), data_centre, gateway_now(gateway));
}

void
gateway_reconcile_evacuations(gateway_t *gateway, GHashTable *present)
{
	pool_reconcile_evacuations(
	    engine_pool(gateway->engine), present, gateway_now(gateway));
	gateway->has_evacuations = true;
	update_ready(gateway);
}

void
gateway_set_nodes(gateway_t *gateway, uint32_t nodes, uint32_t index)
{
	pool_t *pool = engine_pool(gateway->engine);

	if (nodes != pool_node_count(pool))
		event_log(EVENT_NODES_COUNTED, "nodes=%u before=%u index=%u",
		    nodes, pool_node_count(pool), index);
	pool_set_nodes(pool, nodes, index);
}

void
gateway_set_cold_term(gateway_t *gateway, const cold_term_t *term)
{
	pool_set_cold_term(engine_pool(gateway->engine), term);
}

void
gateway_record_registry_call(gateway_t *gateway, bool answered)
{
	pool_record_registry_call(
	    engine_pool(gateway->engine), answered, gateway_now(gateway));
}

void
gateway_set_store_era(gateway_t *gateway, int64_t era)
{
	gateway->store_era = era;
}

void
gateway_record_store_call(gateway_t *gateway, bool answered)
{
	gateway->store_calls++;
	if (!answered)
		gateway->store_failures++;
}
