#include "config_compare.h"

#include <string.h>

#include "config_index.h"

/** typedef comparison_t - The versions, and the entry that is compared. */
typedef struct {
	const route_table_t *old_table;
	const route_table_t *new_table;
	GPtrArray *findings;
	const char *what; /* such as "route" */
	const char *name;
} comparison_t;

static void
add_change(const comparison_t *comparison, const char *kind, const char *text)
{
	char *entry = comparison->name != NULL
	    ? g_strdup_printf("%s '%s'", comparison->what, comparison->name)
	    : g_strdup(comparison->what);

	check_findings_add(
	    comparison->findings, CHECK_CHANGE, kind, entry, "%s", text);
	g_free(entry);
}

static void
compare_texts(const comparison_t *comparison, const char *field,
    const char *before, const char *after)
{
	char *text;

	if (strcmp(before, after) == 0)
		return;
	text =
	    g_strdup_printf("%s changed from %s to %s", field, before, after);
	add_change(comparison, "changed", text);
	g_free(text);
}

/* @unit: with a leading blank, or empty */
static void
compare_numbers(const comparison_t *comparison, const char *field,
    double before, double after, const char *unit)
{
	char *old_text = g_strdup_printf("%.15g%s", before, unit);
	char *new_text = g_strdup_printf("%.15g%s", after, unit);

	compare_texts(comparison, field, old_text, new_text);
	g_free(new_text);
	g_free(old_text);
}

static void
compare_times(const comparison_t *comparison, const char *field, usec_t before,
    usec_t after)
{
	compare_numbers(comparison, field, config_milliseconds(before),
	    config_milliseconds(after), " ms");
}

static void
compare_flags(
    const comparison_t *comparison, const char *field, bool before, bool after)
{
	compare_texts(
	    comparison, field, before ? "yes" : "no", after ? "yes" : "no");
}

static const char *
kind_name(route_kind_t kind)
{
	switch (kind) {
	case ROUTE_SINGLE:
		return "one service";
	case ROUTE_WEIGHTED:
		return "weighted services";
	case ROUTE_FANOUT:
		return "fan-out";
	}
	return "?";
}

static char *
format_targets(const route_t *route)
{
	GString *text = g_string_new("[");

	for (uint32_t i = 0; i < route->target_count; i++) {
		const route_target_t *target = &route->targets[i];

		g_string_append_printf(
		    text, "%s%s", i > 0 ? ", " : "", target->service);
		if (route->kind == ROUTE_WEIGHTED)
			g_string_append_printf(text, ":%g", target->weight);
	}
	g_string_append_c(text, ']');
	return g_string_free(text, FALSE);
}

static void
compare_targets(
    const comparison_t *comparison, const route_t *before, const route_t *after)
{
	char *old_text = format_targets(before);
	char *new_text = format_targets(after);

	compare_texts(comparison, "kind", kind_name(before->kind),
	    kind_name(after->kind));
	compare_texts(comparison, "services", old_text, new_text);
	g_free(new_text);
	g_free(old_text);
}

static void
compare_route(const comparison_t *comparison, const void *old_entry,
    const void *new_entry)
{
	const route_t *before = old_entry;
	const route_t *after = new_entry;

	compare_texts(comparison, "name", before->name, after->name);
	compare_targets(comparison, before, after);
	compare_flags(
	    comparison, "idempotent", before->idempotent, after->idempotent);
	compare_flags(
	    comparison, "public", before->is_public, after->is_public);
	compare_times(comparison, "timeout", before->timeout, after->timeout);
	compare_times(comparison, "target latency", before->target_latency,
	    after->target_latency);
	compare_numbers(
	    comparison, "priority", before->priority, after->priority, "");
	compare_numbers(comparison, "attempts", before->max_attempts,
	    after->max_attempts, "");
	compare_numbers(comparison, "records in an answer", before->top_records,
	    after->top_records, "");
	compare_numbers(comparison, "minimum share", before->min_share,
	    after->min_share, "");
}

static void
compare_service(const comparison_t *comparison, const void *old_entry,
    const void *new_entry)
{
	const service_spec_t *before = old_entry;
	const service_spec_t *after = new_entry;

	compare_numbers(comparison, "connections", before->max_connections,
	    after->max_connections, "");
	compare_times(comparison, "warm-up time", before->warm_up_time,
	    after->warm_up_time);
	compare_numbers(comparison, "warm-up rate", before->warm_up_rate,
	    after->warm_up_rate, " per second");
}

static char *
format_priority(int priority)
{
	return priority == CUSTOMER_NO_PRIORITY
	    ? g_strdup("that of the route")
	    : g_strdup_printf("%d", priority);
}

static void
compare_customer(const comparison_t *comparison, const void *old_entry,
    const void *new_entry)
{
	const customer_spec_t *before = old_entry;
	const customer_spec_t *after = new_entry;
	char *old_priority = format_priority(before->priority);
	char *new_priority = format_priority(after->priority);

	compare_texts(comparison, "priority", old_priority, new_priority);
	compare_numbers(comparison, "rate", before->rate_per_s,
	    after->rate_per_s, " per second");
	compare_numbers(comparison, "burst", before->burst, after->burst, "");
	g_free(new_priority);
	g_free(old_priority);
}

typedef void compare_fn(const comparison_t *comparison, const void *old_entry,
    const void *new_entry);

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/* Return: the entry's keys, sorted, so that the output is always the same. */
static GList *
sorted_names(GHashTable *entries)
{
	return g_list_sort(g_hash_table_get_keys(entries), compare_keys);
}

/* Compares what the tables hold by name, and frees both. */
static void
compare_entries(comparison_t comparison, const char *what, GHashTable *before,
    GHashTable *after, compare_fn *compare)
{
	GList *old_names = sorted_names(before);
	GList *new_names = sorted_names(after);

	comparison.what = what;
	for (GList *item = old_names; item != NULL; item = item->next) {
		comparison.name = item->data;
		if (!g_hash_table_contains(after, item->data))
			add_change(&comparison, "removed", "removed");
	}
	for (GList *item = new_names; item != NULL; item = item->next) {
		const void *entry = g_hash_table_lookup(before, item->data);

		comparison.name = item->data;
		if (entry == NULL)
			add_change(&comparison, "added", "added");
		else
			compare(&comparison, entry,
			    g_hash_table_lookup(after, item->data));
	}
	g_list_free(new_names);
	g_list_free(old_names);
	g_hash_table_destroy(after);
	g_hash_table_destroy(before);
}

/* Reports the keys that each customer of a table has and the same customer of
 * the other table lacks. */
static void
compare_held_keys(comparison_t comparison, const route_table_t *table,
    const route_table_t *other, const char *kind, const char *verb)
{
	uint32_t count = route_table_customer_count(table);
	uint32_t *key_counts = g_new(uint32_t, count);

	comparison.what = "customer";
	route_table_count_keys(table, other, key_counts);
	for (uint32_t i = 0; i < count; i++) {
		char *text;

		if (key_counts[i] == 0)
			continue;
		comparison.name = route_table_customer(table, i)->name;
		text = g_strdup_printf("%u key%s %s", key_counts[i],
		    key_counts[i] == 1 ? "" : "s", verb);
		add_change(&comparison, kind, text);
		g_free(text);
	}
	g_free(key_counts);
}

static void
compare_limits(comparison_t comparison)
{
	const client_limits_t *before =
	    route_table_limits(comparison.old_table);
	const client_limits_t *after = route_table_limits(comparison.new_table);

	comparison.what = "limits";
	compare_numbers(&comparison, "largest head", before->max_header_bytes,
	    after->max_header_bytes, " bytes");
	compare_numbers(&comparison, "largest body", before->max_body_bytes,
	    after->max_body_bytes, " bytes");
	compare_times(&comparison, "time for a head", before->header_timeout,
	    after->header_timeout);
	compare_times(&comparison, "time without a request",
	    before->idle_timeout, after->idle_timeout);
}

static void
compare_versions(comparison_t comparison)
{
	int64_t before = route_table_version(comparison.old_table);
	int64_t after = route_table_version(comparison.new_table);

	comparison.what = "customers";
	compare_flags(&comparison, "keys required",
	    route_table_has_customers(comparison.old_table),
	    route_table_has_customers(comparison.new_table));
	if (after <= before)
		check_findings_add(comparison.findings, CHECK_ERROR,
		    "version_not_newer", "version",
		    "gateways ignore version %" G_GINT64_FORMAT
		    ", since version %" G_GINT64_FORMAT
		    " is in force; raise it",
		    after, before);
}

void
config_compare(const route_table_t *in_force, const route_table_t *table,
    GPtrArray *findings)
{
	const comparison_t comparison = {
	    .old_table = in_force, .new_table = table, .findings = findings};

	compare_versions(comparison);
	compare_entries(comparison, "route", config_index_routes(in_force),
	    config_index_routes(table), compare_route);
	compare_entries(comparison, "service", config_index_services(in_force),
	    config_index_services(table), compare_service);
	compare_entries(comparison, "customer",
	    config_index_customers(in_force), config_index_customers(table),
	    compare_customer);
	compare_held_keys(comparison, table, in_force, "keys_added", "added");
	compare_held_keys(
	    comparison, in_force, table, "keys_withdrawn", "withdrawn");
	compare_limits(comparison);
}
