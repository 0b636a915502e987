#include "config_check.h"

#include <stdarg.h>
#include <string.h>

#include "config_index.h"

/* A timeout of more target latencies keeps slots busy for answers that have
 * lost their value. */
#define USEFUL_TARGET_LATENCIES 10

/** typedef check_t - What is checked. */
typedef struct {
	const route_table_t *table;
	const check_capacity_t *capacity;
	GPtrArray *findings;
} check_t;

/* Adds a warning on the entry that is called "@what '@name'". */
static void warn(const check_t *check, const char *kind, const char *what,
    const char *name, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

static void
warn(const check_t *check, const char *kind, const char *what, const char *name,
    const char *format, ...)
{
	char *entry = g_strdup_printf("%s '%s'", what, name);
	char *text;
	va_list arguments;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	check_findings_add(
	    check->findings, CHECK_WARNING, kind, entry, "%s", text);
	g_free(text);
	g_free(entry);
}

/* The gateway cuts the port off a request's host, and paths after a slash. */
static void
check_matching(const check_t *check, const route_t *route)
{
	if (route->host[0] == '\0' || strchr(route->host, ':') != NULL)
		warn(check, "route_never_matches", "route", route->name,
		    "the host '%s' never matches; give a name without a port",
		    route->host);
	if (!g_str_has_prefix(route->prefix, "/") ||
	    !g_str_has_suffix(route->prefix, "/"))
		warn(check, "route_never_matches", "route", route->name,
		    "the prefix '%s' never matches; begin and end it with '/'",
		    route->prefix);
}

static void
check_weights(const check_t *check, const route_t *route)
{
	for (uint32_t i = 0; i < route->target_count; i++)
		if (route->kind == ROUTE_WEIGHTED &&
		    route->targets[i].weight <= 0.0)
			warn(check, "weight_zero", "route", route->name,
			    "the service '%s' has weight 0, so it gets no "
			    "requests; remove it or give it a weight",
			    route->targets[i].service);
}

static void
check_repeated_targets(const check_t *check, const route_t *route)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < route->target_count; i++)
		if (!g_hash_table_add(seen, route->targets[i].service))
			warn(check, "service_repeated", "route", route->name,
			    "the service '%s' is listed twice; remove one",
			    route->targets[i].service);
	g_hash_table_destroy(seen);
}

/* Other routes repeat only what did not run, which takes little time. */
static uint32_t
full_attempts(const route_t *route)
{
	if (!route->idempotent)
		return 1;
	return CLAMP(route->max_attempts, 1, ROUTE_ATTEMPTS_MAX);
}

static void
check_attempts(const check_t *check, const route_t *route)
{
	if (route->max_attempts > ROUTE_ATTEMPTS_MAX)
		warn(check, "attempts_unused", "route", route->name,
		    "of %u attempts at most %d are made; lower the number",
		    route->max_attempts, ROUTE_ATTEMPTS_MAX);
}

static void
check_short_timeout(const check_t *check, const route_t *route)
{
	usec_t usual = check->capacity->usual_duration;
	uint32_t attempts = full_attempts(route);
	double needed = config_milliseconds(usual) * attempts;

	if (route->timeout == 0)
		warn(check, "timeout_zero", "route", route->name,
		    "the timeout is 0, so no request can be served; raise it");
	else if (config_milliseconds(route->timeout) < needed)
		warn(check, "timeout_short", "route", route->name,
		    "the timeout of %g ms is shorter than attempts need (%u x "
		    "%g ms); raise it or allow fewer attempts",
		    config_milliseconds(route->timeout), attempts,
		    config_milliseconds(usual));
}

static void
check_target_latency(const check_t *check, const route_t *route)
{
	double target = config_milliseconds(route->target_latency);
	double timeout = config_milliseconds(route->timeout);

	if (route->target_latency > route->timeout)
		warn(check, "target_above_timeout", "route", route->name,
		    "the target latency of %g ms is above the timeout of %g "
		    "ms; lower it or raise the timeout",
		    target, timeout);
	else if (timeout > target * USEFUL_TARGET_LATENCIES)
		warn(check, "timeout_long", "route", route->name,
		    "the timeout of %g ms is more than %d times the target "
		    "latency of %g ms, so requests hold slots for answers "
		    "without value; lower it",
		    timeout, USEFUL_TARGET_LATENCIES, target);
}

static void
check_route(const check_t *check, const route_t *route)
{
	check_matching(check, route);
	check_weights(check, route);
	check_repeated_targets(check, route);
	check_attempts(check, route);
	check_short_timeout(check, route);
	check_target_latency(check, route);
}

static void
check_routes(const check_t *check)
{
	GHashTable *routes = config_index_routes(check->table);

	for (uint32_t i = 0; i < route_table_route_count(check->table); i++) {
		const route_t *route = route_table_route(check->table, i);
		char *identity = config_route_identity(route);
		const route_t *used = g_hash_table_lookup(routes, identity);

		if (used != route)
			warn(check, "route_shadowed", "route", route->name,
			    "it never matches, since the earlier route '%s' "
			    "has the same host and prefix; remove one",
			    used->name);
		g_free(identity);
		check_route(check, route);
	}
	g_hash_table_destroy(routes);
}

static void
check_unlisted_services(
    const check_t *check, const route_t *route, GHashTable *services)
{
	for (uint32_t i = 0; i < route->target_count; i++) {
		const char *name = route->targets[i].service;

		if (!g_hash_table_contains(services, name))
			warn(check, "service_unlisted", "route", route->name,
			    "the service '%s' has no entry among the services, "
			    "so default limits apply; check its name",
			    name);
	}
}

static GHashTable *
index_routed_services(const route_table_t *table)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < route_table_route_count(table); i++) {
		const route_t *route = route_table_route(table, i);

		for (uint32_t j = 0; j < route->target_count; j++)
			g_hash_table_add(names, route->targets[j].service);
	}
	return names;
}

static void
check_service(const check_t *check, const service_spec_t *service,
    GHashTable *services, GHashTable *routed)
{
	if (!g_hash_table_contains(routed, service->name))
		warn(check, "service_unrouted", "service", service->name,
		    "no route names it; remove it or add a route");
	if (g_hash_table_lookup(services, service->name) != service)
		warn(check, "service_repeated", "service", service->name,
		    "a later entry with the same name replaces it; remove one");
	if (service->max_connections == 0)
		warn(check, "no_connections", "service", service->name,
		    "0 connections are allowed to each server; raise it");
}

/* Without any service entry, default limits are taken to be meant. */
static void
check_services(const check_t *check)
{
	const route_table_t *table = check->table;
	GHashTable *services = config_index_services(table);
	GHashTable *routed = index_routed_services(table);

	for (uint32_t i = 0; i < route_table_service_count(table); i++)
		check_service(
		    check, route_table_service(table, i), services, routed);
	for (uint32_t i = 0; i < route_table_route_count(table); i++)
		if (route_table_service_count(table) > 0)
			check_unlisted_services(
			    check, route_table_route(table, i), services);
	g_hash_table_destroy(routed);
	g_hash_table_destroy(services);
}

static void
check_customer(
    const check_t *check, const customer_spec_t *customer, uint32_t key_count)
{
	if (key_count == 0)
		warn(check, "customer_without_keys", "customer", customer->name,
		    "it has no key, so none of its requests is admitted; add "
		    "one or remove it");
	if (customer->rate_per_s > 0.0 && customer->burst < 1.0)
		warn(check, "burst_below_one", "customer", customer->name,
		    "the burst of %g is below one request; raise it to at "
		    "least 1",
		    customer->burst);
	if (customer->rate_per_s <= 0.0 && customer->burst > 0.0)
		warn(check, "burst_without_rate", "customer", customer->name,
		    "the burst of %g has no effect without a rate; add a rate "
		    "or remove it",
		    customer->burst);
}

static void
check_capacity(const check_t *check, double rate_sum)
{
	const check_capacity_t *capacity = check->capacity;
	double served;

	if (capacity->slots == 0 || capacity->usual_duration == 0)
		return;
	served = (double)capacity->slots * USEC_PER_SEC /
	    (double)capacity->usual_duration;
	if (rate_sum > served)
		check_findings_add(check->findings, CHECK_WARNING,
		    "rates_above_capacity", "customers",
		    "their rates add up to %g requests per second, but %u "
		    "slots serve %g at %g ms each; lower rates or add servers",
		    rate_sum, capacity->slots, served,
		    config_milliseconds(capacity->usual_duration));
}

static void
check_customers(const check_t *check)
{
	uint32_t count = route_table_customer_count(check->table);
	uint32_t *key_counts = g_new(uint32_t, count);
	double rate_sum = 0.0;

	route_table_count_keys(check->table, NULL, key_counts);
	for (uint32_t i = 0; i < count; i++) {
		const customer_spec_t *customer =
		    route_table_customer(check->table, i);

		check_customer(check, customer, key_counts[i]);
		rate_sum += customer->rate_per_s;
	}
	g_free(key_counts);
	check_capacity(check, rate_sum);
}

void
config_check(const route_table_t *table, const check_capacity_t *capacity,
    GPtrArray *findings)
{
	const check_t check = {table, capacity, findings};

	check_routes(&check);
	check_services(&check);
	check_customers(&check);
}
