#include "node_private.h"

#include <sys/resource.h>

#include "bulrushwell/memory_account.h"

/* Upper bounds of the exported latency buckets. */
static const int bucket_bounds_ms[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 250, 500, 1000, 2000, 5000, 10000};

static void
append_histogram(GString *out, const char *name, const char *label,
    const char *value, const histogram_t *histogram)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_ms); i++)
		g_string_append_printf(out,
		    "%s_bucket{%s=\"%s\",le=\"%g\"} %llu\n", name, label, value,
		    bucket_bounds_ms[i] / 1000.0,
		    (unsigned long long)histogram_count_up_to(
			histogram, MS(bucket_bounds_ms[i])));
	g_string_append_printf(out, "%s_bucket{%s=\"%s\",le=\"+Inf\"} %llu\n",
	    name, label, value, (unsigned long long)histogram_count(histogram));
	g_string_append_printf(out, "%s_sum{%s=\"%s\"} %.6f\n", name, label,
	    value, (double)histogram_sum(histogram) / USEC_PER_SEC);
	g_string_append_printf(out, "%s_count{%s=\"%s\"} %llu\n", name, label,
	    value, (unsigned long long)histogram_count(histogram));
}

static void
append_sample(GString *out, const char *name, const char *label,
    const char *value, uint64_t count)
{
	g_string_append_printf(out, "%s{%s=\"%s\"} %llu\n", name, label, value,
	    (unsigned long long)count);
}

static void
append_customers(node_t *node, GString *out)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, node->customer_stats);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const customer_stats_t *stats = value;

		append_sample(out, "bulrushwell_queries_complete_total",
		    "customer", key, stats->queries_complete);
		append_sample(out, "bulrushwell_queries_partial_total",
		    "customer", key, stats->queries_partial);
		append_sample(out, "bulrushwell_reservations_done_total",
		    "customer", key, stats->reservations_done);
		append_sample(out, "bulrushwell_refused_total", "customer", key,
		    stats->refused);
		append_sample(out, "bulrushwell_unknown_total", "customer", key,
		    stats->unknown);
		append_sample(out, "bulrushwell_shards_asked_total", "customer",
		    key, stats->shards_asked);
		append_sample(out, "bulrushwell_shards_answered_total",
		    "customer", key, stats->shards_answered);
		append_histogram(out, "bulrushwell_query_seconds", "customer",
		    key, stats->query_latency);
		append_histogram(out, "bulrushwell_reservation_seconds",
		    "customer", key, stats->reservation_latency);
	}
}

static void
append_services(node_t *node, GString *out)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, node->served_services);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const served_service_t *served = value;
		scheduler_stats_t stats;

		scheduler_get_stats(served->scheduler, &stats);
		append_sample(out, "bulrushwell_attempts_total", "service", key,
		    stats.attempts);
		append_sample(out, "bulrushwell_hedges_total", "service", key,
		    stats.hedges);
		append_sample(out, "bulrushwell_hedge_wins_total", "service",
		    key, stats.hedge_wins);
		append_sample(out, "bulrushwell_retries_total", "service", key,
		    stats.retries);
		append_sample(out, "bulrushwell_cancels_total", "service", key,
		    stats.cancels);
		append_sample(out, "bulrushwell_mismatches_total", "service",
		    key, stats.mismatches);
		append_sample(
		    out, "bulrushwell_queued", "service", key, stats.queued);
		append_sample(
		    out, "bulrushwell_running", "service", key, stats.running);
		append_sample(out, "bulrushwell_max_charged", "service", key,
		    stats.max_charged);
		append_histogram(out, "bulrushwell_attempt_seconds", "service",
		    key, scheduler_latency(served->scheduler));
	}
}

static void
append_query_limit(
    void *context, const char *index, const limiter_stats_t *stats)
{
	GString *out = context;

	g_string_append_printf(out,
	    "bulrushwell_query_limit{index=\"%s\"} %g\n", index, stats->limit);
	append_sample(
	    out, "bulrushwell_queries_running", "index", index, stats->running);
	append_sample(out, "bulrushwell_queries_refused_overload_total",
	    "index", index, stats->refused);
	append_sample(out, "bulrushwell_query_limit_lowered_total", "index",
	    index, stats->lowered);
	append_sample(out, "bulrushwell_query_limit_restored_total", "index",
	    index, stats->restored);
}

static double
seconds(const struct timeval *time)
{
	return (double)time->tv_sec + (double)time->tv_usec / 1e6;
}

static void
append_process(node_t *node, GString *out)
{
	struct rusage usage;
	uint64_t sent, received;

	getrusage(RUSAGE_SELF, &usage);
	peer_socket_bytes(node->peer_socket, &sent, &received);
	g_string_append_printf(out, "bulrushwell_cpu_seconds_total %.6f\n",
	    seconds(&usage.ru_utime) + seconds(&usage.ru_stime));
	g_string_append_printf(
	    out, "bulrushwell_max_memory_kilobytes %ld\n", usage.ru_maxrss);
	g_string_append_printf(out,
	    "bulrushwell_client_memory_bytes %zu\n"
	    "bulrushwell_client_memory_peak_bytes %zu\n"
	    "bulrushwell_client_memory_limit_bytes %zu\n",
	    memory_account_held(), memory_account_peak(),
	    memory_account_limit());
	g_string_append_printf(out, "bulrushwell_peer_sent_bytes_total %llu\n",
	    (unsigned long long)sent);
	g_string_append_printf(out,
	    "bulrushwell_peer_received_bytes_total %llu\n",
	    (unsigned long long)received);
	g_string_append_printf(out, "bulrushwell_platform_calls_total %llu\n",
	    (unsigned long long)platform_client_call_count(node->platform));
	g_string_append_printf(out, "bulrushwell_dropped_messages_total %llu\n",
	    (unsigned long long)node->dropped_messages);
	g_string_append_printf(out,
	    "bulrushwell_unmatched_replies_total %llu\n",
	    (unsigned long long)query_unmatched_replies(node->queries));
	g_string_append_printf(
	    out, "bulrushwell_requests_open %u\n", table_count(node->requests));
	g_string_append_printf(
	    out, "bulrushwell_jobs_open %u\n", table_count(node->job_origins));
}

static void
append_events(GString *out)
{
	for (const int *number = event_list(); *number != 0; number++)
		append_sample(out, "bulrushwell_events_total", "event",
		    event_name(*number), event_count((event_number_t)*number));
}

void
metrics_append(node_t *node, GString *out)
{
	append_process(node, out);
	append_customers(node, out);
	limiter_visit(node->limiter, append_query_limit, out);
	append_services(node, out);
	append_events(out);
}
