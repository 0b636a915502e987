#include "gateway_metrics.h"

#include "bulrushwell/event.h"
#include "bulrushwell/memory_account.h"

#define LABEL_MAX 160

/* Upper bounds of the histogram buckets. */
static const usec_t bucket_bounds[] = {MS(5), MS(10), MS(20), MS(40), MS(80),
    MS(160), MS(320), MS(640), MS(1280), MS(2560), MS(5120), MS(10240)};

typedef struct {
	buffer_t *out;
} metrics_writer_t;

static void
write_value(buffer_t *out, const char *name, const char *labels,
    unsigned long long value)
{
	buffer_append_text(out, "bulrushwell_gateway_");
	buffer_append_text(out, name);
	buffer_append_text(out, labels);
	buffer_append(out, " ", 1);
	buffer_append_number(out, value);
	buffer_append(out, "\n", 1);
}

static void
write_histogram(buffer_t *out, const char *route, const char *outcome,
    const histogram_t *histogram)
{
	char labels[LABEL_MAX];

	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds); i++) {
		g_snprintf(labels, sizeof(labels),
		    "{route=\"%s\",outcome=\"%s\",le=\"%.3f\"}", route, outcome,
		    (double)bucket_bounds[i] / USEC_PER_SEC);
		write_value(out, "request_seconds_bucket", labels,
		    histogram_count_up_to(histogram, bucket_bounds[i]));
	}
	g_snprintf(labels, sizeof(labels),
	    "{route=\"%s\",outcome=\"%s\",le=\"+Inf\"}", route, outcome);
	write_value(
	    out, "request_seconds_bucket", labels, histogram_count(histogram));
	g_snprintf(labels, sizeof(labels), "{route=\"%s\",outcome=\"%s\"}",
	    route, outcome);
	write_value(
	    out, "request_seconds_count", labels, histogram_count(histogram));
}

static void
write_route(void *context, const route_stats_t *route)
{
	metrics_writer_t *writer = context;

	write_histogram(
	    writer->out, route->name, "answered", route->answer_times);
	write_histogram(
	    writer->out, route->name, "failed", route->failure_times);
}

static void
write_counters(buffer_t *out, const exchange_counters_t *counters)
{
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
	    {"requests_total", counters->requests},
	    {"answered_total", counters->answered},
	    {"partial_total", counters->partial},
	    {"refused_total", counters->refused},
	    {"failed_total", counters->failed},
	    {"client_gone_total", counters->client_gone},
	    {"attempts_total", counters->attempts},
	    {"hedges_total", counters->hedges},
	    {"retries_total", counters->retries},
	    {"retry_budget_denied_total", counters->budget_denied},
	    {"keys_refused_total", counters->keys_refused},
	    {"groups_served_total", counters->groups_served},
	    {"groups_asked_total", counters->groups_asked},
	    {"groups_resumed_total", counters->groups_resumed},
	    {"waited_total", counters->waited},
	    {"displaced_total", counters->displaced},
	    {"cold_refused_total", counters->cold_refused},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		write_value(out, rows[i].name, "", rows[i].value);
}

#define NAME_TEXT_MAX 64 /* of a customer, with escapes */

typedef struct {
	buffer_t *out;
	uint32_t customers;
	uint64_t rest_admitted;
	uint64_t rest_refused;
} rates_writer_t;

/* Copies a name into a label; what does not fit is cut. */
static void
escape_label(const char *name, char text[NAME_TEXT_MAX])
{
	size_t size = 0;

	for (; *name != '\0' && size + 3 < NAME_TEXT_MAX; name++) {
		if (*name == '"' || *name == '\\')
			text[size++] = '\\';
		text[size++] = *name;
	}
	text[size] = '\0';
}

static void
write_rate(void *context, const rate_stats_t *stats)
{
	rates_writer_t *writer = context;
	char name[NAME_TEXT_MAX], labels[LABEL_MAX];

	if (writer->customers == RATE_CUSTOMERS_SHOWN) {
		writer->rest_admitted += stats->admitted;
		writer->rest_refused += stats->refused;
		return;
	}
	writer->customers++;
	escape_label(stats->name, name);
	g_snprintf(labels, sizeof(labels), "{customer=\"%s\"}", name);
	write_value(
	    writer->out, "rate_admitted_total", labels, stats->admitted);
	write_value(writer->out, "rate_refused_total", labels, stats->refused);
}

static void
write_rates(exchange_engine_t *engine, buffer_t *out)
{
	rates_writer_t writer = {.out = out};

	if (engine_rates(engine) == NULL)
		return;
	rate_gate_visit(engine_rates(engine), write_rate, &writer);
	write_value(out, "rate_rest_admitted_total", "", writer.rest_admitted);
	write_value(out, "rate_rest_refused_total", "", writer.rest_refused);
}

static void
write_load_reports(buffer_t *out, const pool_t *pool)
{
	const pool_report_counts_t *counts = pool_report_counts(pool);

	write_value(out, "load_reports_total", "", counts->read);
	write_value(out, "load_reports_rejected_total", "", counts->rejected);
}

static void
write_events(buffer_t *out)
{
	char labels[LABEL_MAX];

	for (const int *number = event_list(); *number != 0; number++) {
		uint64_t count = event_count((event_number_t)*number);

		if (count == 0)
			continue;
		g_snprintf(labels, sizeof(labels),
		    "{number=\"%d\",name=\"%s\"}", *number,
		    event_name(*number));
		write_value(out, "events_total", labels, count);
	}
}

static void
write_peers(buffer_t *out, const peer_link_t *peers)
{
	const peer_link_counters_t *counters = peer_link_counters(peers);
	peer_role_t role = peer_link_role(peers);

	write_value(out, "peer_role", "{role=\"alone\"}", role == PEER_ALONE);
	write_value(out, "peer_role", "{role=\"relay\"}", role == PEER_RELAY);
	write_value(
	    out, "peer_role", "{role=\"follower\"}", role == PEER_FOLLOWER);
	write_value(out, "peer_datagrams_sent_total", "", counters->sent);
	write_value(
	    out, "peer_datagrams_received_total", "", counters->received);
	write_value(
	    out, "peer_datagrams_rejected_total", "", counters->rejected);
}

static void
write_cold(buffer_t *out, const pool_t *pool, usec_t now)
{
	pool_cold_stats_t stats = pool_cold_stats(pool, now);

	write_value(out, "cold_sender", "", stats.is_sender);
	write_value(out, "cold_servers", "", stats.servers);
	write_value(out, "cold_attempts_total", "", stats.attempts);
}

void
gateway_metrics_write(exchange_engine_t *engine,
    const gateway_metrics_input_t *input, buffer_t *out)
{
	metrics_writer_t writer = {out};
	const route_table_t *table = engine_table(engine);

	write_value(out, "ready", "", input->ready);
	write_value(out, "client_connections", "", input->client_connections);
	write_value(out, "client_connections_limit", "",
	    input->client_connections_limit);
	write_value(out, "gateway_connections", "", input->gateway_connections);
	write_value(out, "gateway_connections_limit", "",
	    input->gateway_connections_limit);
	write_value(out, "client_memory_bytes", "", memory_account_held());
	write_value(out, "client_memory_peak_bytes", "", memory_account_peak());
	write_value(
	    out, "client_memory_limit_bytes", "", memory_account_limit());
	write_value(out, "store_calls_total", "", input->store_calls);
	write_value(out, "store_failures_total", "", input->store_failures);
	write_value(out, "store_era", "", input->store_era);
	write_value(
	    out, "config_unconfirmed_ms", "", input->config_unconfirmed_ms);
	write_value(out, "running_requests", "", engine_running_count(engine));
	write_value(out, "nodes", "", pool_node_count(engine_pool(engine)));
	write_value(out, "shard_groups", "", engine_group_count(engine));
	write_value(out, "servers", "", pool_server_count(engine_pool(engine)));
	write_value(out, "evacuated_data_centres", "",
	    pool_evacuated_count(engine_pool(engine)));
	write_value(out, "evacuated_servers", "",
	    pool_evacuated_servers(engine_pool(engine)));
	write_value(out, "config_version", "",
	    table != NULL ? (unsigned long long)route_table_version(table) : 0);
	write_value(out, "customers", "",
	    table != NULL ? route_table_customer_count(table) : 0);
	write_value(out, "customer_keys", "",
	    table != NULL ? route_table_key_count(table) : 0);
	if (input->peers != NULL)
		write_peers(out, input->peers);
	write_cold(out, engine_pool(engine), input->now);
	write_counters(out, engine_counters(engine));
	write_load_reports(out, engine_pool(engine));
	engine_visit_routes(engine, write_route, &writer);
	write_rates(engine, out);
	write_events(out);
}
