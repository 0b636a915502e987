#include "gateway_state.h"

#include <jansson.h>
#include <stdlib.h>

#define PRECISION_DIGITS 3 /* further digits of estimates are noise */

typedef struct {
	json_t *list;
	usec_t now;
} state_writer_t;

static json_int_t
milliseconds(usec_t time)
{
	return (json_int_t)(time / USEC_PER_MS);
}

static const char *
server_state(const upstream_server_t *server, usec_t now)
{
	if (!server->registered)
		return "gone";
	if (server->evacuated)
		return "evacuated";
	if (server->leaving_since != 0)
		return "leaving";
	return now < server->backoff_until ? "backoff" : "ready";
}

/* Return: the last load report, or null if there is none. */
static json_t *
describe_load(const server_load_t *load, usec_t now)
{
	const load_report_t *report = &load->report;

	if (load->reported_at == 0)
		return json_null();
	return json_pack("{s:i,s:i,s:i,s:i,s:I,s:f}", "running",
	    (int)report->running, "waiting", (int)report->waiting, "slots",
	    (int)report->slots, "pace", (int)report->pace, "age_ms",
	    milliseconds(now - load->reported_at), "trust",
	    server_load_trust(load));
}

static void
write_server(void *context, const upstream_server_t *server)
{
	const state_writer_t *writer = context;
	const server_health_t *health = &server->health;
	usec_t ejection_left = MAX(health->ejected_until - writer->now, 0);

	json_array_append_new(writer->list,
	    json_pack("{s:s,s:s,s:s,s:I,s:i,s:b,s:f,s:f,s:f,s:I,s:b,s:o,s:I}",
		"server", server->entry.id, "upstream", server->upstream->name,
		"state", server_state(server, writer->now), "report_age_ms",
		milliseconds(writer->now - server->reported_at), "connections",
		(int)server->connections->len, "assigned", server->assigned,
		"slowness", health->slowness, "failure", health->failure_rate,
		"limit", health->concurrency_limit, "ejected_ms",
		milliseconds(ejection_left), "unproven", health->unproven,
		"load", describe_load(&server->load, writer->now), "cold_ms",
		milliseconds(pool_cold_left(server, writer->now))));
}

static void
write_route(void *context, const route_stats_t *route)
{
	const state_writer_t *writer = context;

	json_array_append_new(writer->list,
	    json_pack("{s:s,s:I,s:I,s:I,s:I}", "route", route->name,
		"attempt_typical_ms",
		milliseconds(latency_model_typical(route->latency)),
		"attempt_late_ms",
		milliseconds(latency_model_late(route->latency)), "answered",
		(json_int_t)histogram_count(route->answer_times), "failed",
		(json_int_t)histogram_count(route->failure_times)));
}

static void
write_evacuated(void *context, const char *data_centre)
{
	json_array_append_new(context, json_string(data_centre));
}

static void
write_rate(void *context, const rate_stats_t *stats)
{
	const state_writer_t *writer = context;
	json_t *name;

	if (json_array_size(writer->list) == RATE_CUSTOMERS_SHOWN)
		return;
	/* A name that is no UTF-8 is valid in a header. */
	name = json_string(stats->name);
	json_array_append_new(writer->list,
	    json_pack("{s:o,s:s,s:b,s:f,s:f,s:I,s:I}", "customer",
		name != NULL ? name : json_string("?"), "granting_node",
		stats->granting_node, "silent", stats->is_silent, "rate_per_s",
		stats->rate_per_s, "tokens", stats->tokens, "admitted",
		(json_int_t)stats->admitted, "refused",
		(json_int_t)stats->refused));
}

void
gateway_state_write(exchange_engine_t *engine, usec_t now, buffer_t *out)
{
	const route_table_t *table = engine_table(engine);
	const pool_t *pool = engine_pool(engine);
	state_writer_t servers = {json_array(), now};
	state_writer_t routes = {json_array(), now};
	json_t *evacuated = json_array();
	state_writer_t rates = {json_array(), now};
	json_t *state;
	char *text;

	pool_visit_servers(pool, write_server, &servers);
	engine_visit_routes(engine, write_route, &routes);
	pool_visit_evacuated(pool, write_evacuated, evacuated);
	if (engine_rates(engine) != NULL)
		rate_gate_visit(engine_rates(engine), write_rate, &rates);
	state = json_pack("{s:I,s:I,s:I,s:i,s:i,s:i,s:o,s:o,s:o,s:o}",
	    "config_version",
	    table != NULL ? (json_int_t)route_table_version(table) : 0,
	    "customers",
	    table != NULL ? (json_int_t)route_table_customer_count(table) : 0,
	    "customer_keys",
	    table != NULL ? (json_int_t)route_table_key_count(table) : 0,
	    "nodes", (int)pool_node_count(pool), "running",
	    (int)engine_running_count(engine), "server_count",
	    (int)pool_server_count(pool), "evacuated", evacuated, "routes",
	    routes.list, "servers", servers.list, "rates", rates.list);
	text = json_dumps(
	    state, JSON_COMPACT | JSON_REAL_PRECISION(PRECISION_DIGITS));
	buffer_append_text(out, text);
	buffer_append(out, "\n", 1);
	free(text);
	json_decref(state);
}
