#include "config_index.h"

double
config_milliseconds(usec_t duration)
{
	return (double)duration / USEC_PER_MS;
}

char *
config_route_identity(const route_t *route)
{
	char *host = g_ascii_strdown(route->host, -1);
	char *identity = g_strconcat(host, " ", route->prefix, NULL);

	g_free(host);
	return identity;
}

GHashTable *
config_index_routes(const route_table_t *table)
{
	GHashTable *routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (uint32_t i = 0; i < route_table_route_count(table); i++) {
		const route_t *route = route_table_route(table, i);
		char *identity = config_route_identity(route);

		if (g_hash_table_contains(routes, identity))
			g_free(identity);
		else
			g_hash_table_insert(routes, identity, (void *)route);
	}
	return routes;
}

GHashTable *
config_index_services(const route_table_t *table)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < route_table_service_count(table); i++) {
		const service_spec_t *service = route_table_service(table, i);

		g_hash_table_replace(services, service->name, (void *)service);
	}
	return services;
}

GHashTable *
config_index_customers(const route_table_t *table)
{
	GHashTable *customers = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < route_table_customer_count(table); i++) {
		const customer_spec_t *customer =
		    route_table_customer(table, i);

		g_hash_table_insert(
		    customers, customer->name, (void *)customer);
	}
	return customers;
}
