/* State shared by all exchanges: the pool, the limiter, the route states. */
#include "../base/loop_clock.h"
#include "bulrushwell/event.h"
#include "exchange_private.h"

#define MAX_RESPONSE_BYTES ((size_t)8 * 1024 * 1024)

usec_t
engine_now(const exchange_engine_t *engine)
{
	return loop_clock_now(engine->loop);
}

static void
ignore_capacity(void *context, upstream_t *upstream)
{
}

/* A request to a peer crashes no peer; servers that it crashes are seen by the
 * peer. */
static void
ignore_crash(void *context, const upstream_server_t *server,
    const interrupted_request_t *interrupted)
{
}

static void
free_route_state(void *data)
{
	route_state_t *state = data;

	latency_model_destroy(state->latency);
	latency_model_destroy(state->group_latency);
	histogram_destroy(state->answer_times);
	histogram_destroy(state->failure_times);
	g_free(state->current_weights);
	g_free(state->name);
	g_free(state);
}

exchange_engine_t *
engine_create(struct ev_loop *loop, const engine_settings_t *settings)
{
	exchange_engine_t *engine = g_new0(exchange_engine_t, 1);
	const pool_settings_t pool_settings = {
	    .headers =
		{
		    .request_id = settings->headers.request_id,
		    .not_run = settings->headers.not_run,
		    .leaving = settings->headers.leaving,
		    .load = settings->headers.load,
		    .warm_up_left = settings->headers.warm_up_left,
		},
	    .drain_limit = settings->drain_limit,
	    .awaits_evacuations = settings->awaits_evacuations,
	    .cold_bound = settings->cold_bound,
	    .max_response_bytes = MAX_RESPONSE_BYTES,
	};
	const pool_handlers_t handlers = {
	    .attempt_ended = task_on_attempt_ended,
	    .capacity_available = task_on_capacity,
	    .server_crashed = engine_on_server_crash,
	    .server_leaving = engine_on_server_leaving,
	    .context = engine,
	};

	const pool_handlers_t peer_handlers = {
	    .attempt_ended = groups_on_attempt_ended,
	    .attempt_interim = groups_on_interim,
	    .capacity_available = ignore_capacity,
	    .server_crashed = ignore_crash,
	    .context = engine,
	};

	engine->loop = loop;
	engine->settings = *settings;
	engine->peers = serving_peers_create(
	    loop, settings->node, settings->headers.request_id, &peer_handlers);
	engine->pool = pool_create(loop, &pool_settings, &handlers);
	engine->limiter = limiter_create();
	queues_create(engine);
	engine->timing = client_timing_create(settings->link_mbps);
	engine->report_timing = report_timing_create();
	engine->suspects = suspect_list_create();
	if (settings->rate_bound.window > 0)
		engine->rates = rate_gate_create(loop, &settings->rate_bound,
		    settings->node, exchange_rate_decided);
	engine->route_states = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, free_route_state);
	return engine;
}

void
engine_destroy(exchange_engine_t *engine)
{
	if (engine == NULL)
		return;
	serving_peers_destroy(engine->peers);
	pool_destroy(engine->pool);
	queues_destroy(engine);
	limiter_destroy(engine->limiter);
	client_timing_destroy(engine->timing);
	report_timing_destroy(engine->report_timing);
	suspect_list_destroy(engine->suspects);
	rate_gate_destroy(engine->rates);
	route_table_unref(engine->table);
	g_hash_table_destroy(engine->route_states);
	buffer_free(&engine->attempt_head);
	g_free(engine);
}

pool_t *
engine_pool(exchange_engine_t *engine)
{
	return engine->pool;
}

rate_gate_t *
engine_rates(exchange_engine_t *engine)
{
	return engine->rates;
}

/* The fewest connections that a server of a shard accepts; 0: no shards. */
static uint32_t
fewest_connections(const exchange_engine_t *engine)
{
	const route_table_t *table = engine->table;
	uint32_t fewest = 0;

	for (uint32_t i = 0; i < route_table_route_count(table); i++) {
		const route_t *route = route_table_route(table, i);

		if (route->kind != ROUTE_FANOUT)
			continue;
		for (uint32_t j = 0; j < route->target_count; j++) {
			const upstream_t *upstream = pool_get_upstream(
			    engine->pool, route->targets[j].service);

			if (fewest == 0 || upstream->max_connections < fewest)
				fewest = upstream->max_connections;
		}
	}
	return fewest;
}

static void
apply_groups(exchange_engine_t *engine)
{
	pool_set_groups(engine->pool, serving_peers_group_count(engine->peers),
	    serving_peers_own_group(engine->peers));
}

void
engine_set_table(exchange_engine_t *engine, route_table_t *table)
{
	route_table_unref(engine->table);
	engine->table = route_table_ref(table);
	pool_apply_route_table(engine->pool, table);
	serving_peers_set_max_connections(
	    engine->peers, fewest_connections(engine));
	apply_groups(engine);
	if (engine->rates != NULL)
		rate_gate_set_limits(engine->rates, table);
}

void
engine_set_nodes(
    exchange_engine_t *engine, const peer_node_t *nodes, uint32_t count)
{
	serving_peers_set_nodes(engine->peers, nodes, count);
	apply_groups(engine);
	if (engine->rates != NULL)
		rate_gate_set_nodes(engine->rates, nodes, count);
}

bool
engine_is_peer(
    const exchange_engine_t *engine, const struct sockaddr_in *address)
{
	return serving_peers_is_listed(engine->peers, address);
}

uint32_t
engine_group_count(const exchange_engine_t *engine)
{
	return serving_peers_group_count(engine->peers);
}

route_table_t *
engine_table(const exchange_engine_t *engine)
{
	return engine->table;
}

const exchange_counters_t *
engine_counters(const exchange_engine_t *engine)
{
	return &engine->counters;
}

void
engine_set_reports(exchange_engine_t *engine, const engine_reports_t *reports)
{
	engine->reports = *reports;
}

void
engine_on_server_leaving(void *context, const upstream_server_t *server)
{
	const exchange_engine_t *engine = context;

	if (engine->reports.leaving != NULL)
		engine->reports.leaving(engine->reports.context,
		    server->entry.id, server->entry.incarnation);
}

void
engine_add_suspect(
    exchange_engine_t *engine, uint64_t fingerprint, uint64_t crash_number)
{
	if (suspect_record_crash(engine->suspects, fingerprint, crash_number,
		engine_now(engine)))
		event_log_sampled(EVENT_SUSPECT_ADDED,
		    "fingerprint=%016llx from=peer crashes=%llu",
		    (unsigned long long)fingerprint,
		    (unsigned long long)crash_number);
}

void
engine_on_server_crash(void *context, const upstream_server_t *server,
    const interrupted_request_t *interrupted)
{
	exchange_engine_t *engine = context;
	uint64_t number = suspect_record_late_crash(engine->suspects,
	    interrupted->fingerprint, &interrupted->crash, engine_now(engine));

	if (number == 0)
		return;
	event_log_sampled(EVENT_SUSPECT_ADDED,
	    "fingerprint=%016llx server=%s upstream=%s crashes=%llu",
	    (unsigned long long)interrupted->fingerprint, server->entry.id,
	    server->upstream->name, (unsigned long long)number);
	if (engine->reports.suspect != NULL)
		engine->reports.suspect(
		    engine->reports.context, interrupted->fingerprint, number);
}

void
engine_set_end(exchange_engine_t *engine, usec_t end)
{
	engine->ends_at = end;
}

void
engine_refuse_requests(exchange_engine_t *engine)
{
	engine->refusing_requests = true;
}

uint32_t
engine_running_count(const exchange_engine_t *engine)
{
	return engine->running;
}

void
engine_visit_routes(exchange_engine_t *engine,
    void (*visit)(void *context, const route_stats_t *route), void *context)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, engine->route_states);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const route_state_t *state = value;
		const route_stats_t stats = {state->name, state->latency,
		    state->answer_times, state->failure_times};

		visit(context, &stats);
	}
}

route_state_t *
route_state_get(exchange_engine_t *engine, const route_t *route)
{
	route_state_t *state =
	    g_hash_table_lookup(engine->route_states, route->name);

	if (state != NULL)
		return state;
	state = g_new0(route_state_t, 1);
	state->name = g_strdup(route->name);
	state->latency = latency_model_create(route->target_latency);
	state->group_latency = latency_model_create(route->target_latency);
	state->answer_times = histogram_create();
	state->failure_times = histogram_create();
	g_hash_table_insert(engine->route_states, state->name, state);
	return state;
}

/* Smooth weighted round robin, which keeps the weights over few requests too.
 */
const char *
route_state_next_target(route_state_t *state, const route_t *route)
{
	double total = 0.0;
	uint32_t best = 0;

	if (state->current_weight_count != route->target_count) {
		g_free(state->current_weights);
		state->current_weights = g_new0(double, route->target_count);
		state->current_weight_count = route->target_count;
	}
	for (uint32_t i = 0; i < route->target_count; i++) {
		state->current_weights[i] += route->targets[i].weight;
		total += route->targets[i].weight;
		if (state->current_weights[i] > state->current_weights[best])
			best = i;
	}
	state->current_weights[best] -= total;
	return route->targets[best].service;
}
