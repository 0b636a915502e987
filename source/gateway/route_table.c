#include "route_table.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "customer_keys.h"

const client_limits_t client_limits_default = {
    .max_header_bytes = 16384,
    .max_body_bytes = 262144,
    .header_timeout = SECONDS(3),
    .idle_timeout = SECONDS(15),
};

struct route_table {
	int references;
	int64_t version;
	client_limits_t limits;
	GPtrArray *routes;	    /* route_t */
	GArray *services;	    /* service_spec_t */
	GHashTable *by_host_prefix; /* "host prefix" to route_t */
	size_t longest_prefix;	    /* in bytes */
	bool requires_keys;
	GPtrArray *customers;	      /* customer_spec_t */
	GHashTable *customer_by_name; /* name to customer_spec_t */
	customer_keys_t *keys;
};

static void
free_route(void *data)
{
	route_t *route = data;

	for (uint32_t i = 0; i < route->target_count; i++)
		g_free(route->targets[i].service);
	g_free(route->targets);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void
clear_service(void *data)
{
	service_spec_t *service = data;

	g_free(service->name);
}

static void
free_customer(void *data)
{
	customer_spec_t *customer = data;

	g_free(customer->name);
	g_free(customer);
}

route_table_t *
route_table_create(int64_t version)
{
	route_table_t *table = g_new0(route_table_t, 1);

	table->references = 1;
	table->version = version;
	table->limits = client_limits_default;
	table->routes = g_ptr_array_new_with_free_func(free_route);
	table->services = g_array_new(FALSE, TRUE, sizeof(service_spec_t));
	g_array_set_clear_func(table->services, clear_service);
	table->by_host_prefix =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->customers = g_ptr_array_new_with_free_func(free_customer);
	table->customer_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	table->keys = customer_keys_create();
	return table;
}

route_table_t *
route_table_ref(route_table_t *table)
{
	table->references++;
	return table;
}

void
route_table_unref(route_table_t *table)
{
	if (table == NULL || --table->references > 0)
		return;
	customer_keys_destroy(table->keys);
	g_hash_table_destroy(table->customer_by_name);
	g_ptr_array_free(table->customers, TRUE);
	g_hash_table_destroy(table->by_host_prefix);
	g_array_free(table->services, TRUE);
	g_ptr_array_free(table->routes, TRUE);
	g_free(table);
}

static uint64_t
hash_targets(const route_t *route)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < route->target_count; i++) {
		const char *service = route->targets[i].service;

		hash = XXH64(service, strlen(service) + 1, hash);
	}
	return hash;
}

void
route_table_add(route_table_t *table, const route_t *route)
{
	route_t *copy = g_new(route_t, 1);
	char *host = g_ascii_strdown(route->host, -1);
	char *key = g_strconcat(host, " ", route->prefix, NULL);

	*copy = *route;
	copy->targets_hash = hash_targets(route);
	g_free(host);
	table->longest_prefix =
	    MAX(table->longest_prefix, strlen(route->prefix));
	g_ptr_array_add(table->routes, copy);
	if (g_hash_table_contains(table->by_host_prefix, key))
		g_free(key);
	else
		g_hash_table_insert(table->by_host_prefix, key, copy);
}

void
route_table_add_service(
    route_table_t *table, const char *name, uint32_t max_connections)
{
	const service_spec_t service = {
	    .name = (char *)name, .max_connections = max_connections};

	route_table_add_service_spec(table, &service);
}

void
route_table_add_service_spec(
    route_table_t *table, const service_spec_t *service)
{
	service_spec_t copy = *service;

	copy.name = g_strdup(service->name);
	g_array_append_val(table->services, copy);
}

void
route_table_require_keys(route_table_t *table)
{
	table->requires_keys = true;
}

uint32_t
route_table_add_customer(route_table_t *table, const customer_spec_t *customer)
{
	customer_spec_t *copy =
	    g_hash_table_lookup(table->customer_by_name, customer->name);

	if (copy != NULL)
		return copy->index;
	copy = g_new(customer_spec_t, 1);
	*copy = *customer;
	copy->name = g_strdup(customer->name);
	copy->index = table->customers->len;
	g_ptr_array_add(table->customers, copy);
	g_hash_table_insert(table->customer_by_name, copy->name, copy);
	route_table_require_keys(table);
	return copy->index;
}

uint32_t
route_table_add_key(route_table_t *table, slice_t key, uint32_t customer)
{
	return customer_keys_add(table->keys, key, customer);
}

void
route_table_set_limits(route_table_t *table, const client_limits_t *limits)
{
	table->limits = *limits;
}

int64_t
route_table_version(const route_table_t *table)
{
	return table->version;
}

const client_limits_t *
route_table_limits(const route_table_t *table)
{
	return &table->limits;
}

const service_spec_t *
route_table_service(const route_table_t *table, uint32_t index)
{
	return &g_array_index(table->services, service_spec_t, index);
}

uint32_t
route_table_service_count(const route_table_t *table)
{
	return table->services->len;
}

const route_t *
route_table_route(const route_table_t *table, uint32_t index)
{
	return g_ptr_array_index(table->routes, index);
}

uint32_t
route_table_route_count(const route_table_t *table)
{
	return table->routes->len;
}

bool
route_table_has_customers(const route_table_t *table)
{
	return table->requires_keys;
}

uint32_t
route_table_customer_count(const route_table_t *table)
{
	return table->customers->len;
}

const customer_spec_t *
route_table_customer(const route_table_t *table, uint32_t index)
{
	return g_ptr_array_index(table->customers, index);
}

uint32_t
route_table_key_count(const route_table_t *table)
{
	return customer_keys_count(table->keys);
}

static bool
holds_key(const route_table_t *table, const char *customer, slice_t key)
{
	const customer_spec_t *holder = route_table_find_customer(table, key);

	return holder != NULL && strcmp(holder->name, customer) == 0;
}

void
route_table_count_keys(
    const route_table_t *table, const route_table_t *other, uint32_t *counts)
{
	uint32_t key_count = customer_keys_count(table->keys);

	for (uint32_t i = 0; i < table->customers->len; i++)
		counts[i] = 0;
	for (uint32_t i = 0; i < key_count; i++) {
		uint32_t customer;
		slice_t key = customer_keys_at(table->keys, i, &customer);
		const char *name = route_table_customer(table, customer)->name;

		if (other == NULL || !holds_key(other, name, key))
			counts[customer]++;
	}
}

const customer_spec_t *
route_table_find_customer(const route_table_t *table, slice_t key)
{
	uint32_t index;

	if (!customer_keys_find(table->keys, key, &index))
		return NULL;
	return route_table_customer(table, index);
}

static slice_t
without_port(slice_t host)
{
	const char *colon = memchr(host.data, ':', host.size);

	if (colon != NULL)
		host.size = (size_t)(colon - host.data);
	return host;
}

static slice_t
without_query(slice_t target)
{
	const char *mark = memchr(target.data, '?', target.size);

	if (mark != NULL)
		target.size = (size_t)(mark - target.data);
	return target;
}

/* Prefixes end with a slash, so the path is cut after each slash in turn. What
 * is longer than any prefix is not looked at. */
const route_t *
route_table_match(const route_table_t *table, slice_t host, slice_t target)
{
	const route_t *route = NULL;
	GString *key;
	size_t host_size;

	if (host.size == 0 || target.size == 0 || target.data[0] != '/')
		return NULL;
	host = without_port(host);
	target = without_query(target);
	target.size = MIN(target.size, table->longest_prefix);
	key = g_string_new_len(host.data, (gssize)host.size);
	g_string_ascii_down(key);
	g_string_append_c(key, ' ');
	host_size = key->len;
	g_string_append_len(key, target.data, (gssize)target.size);
	while (route == NULL && key->len > host_size) {
		if (key->str[key->len - 1] == '/')
			route = g_hash_table_lookup(
			    table->by_host_prefix, key->str);
		g_string_truncate(key, key->len - 1);
	}
	g_string_free(key, TRUE);
	return route;
}
