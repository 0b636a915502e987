#ifndef ROUTE_TABLE_H
#define ROUTE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: The routes and services of one configuration version
 *
 * A table does not change after it was built and is reference counted: a
 * request keeps the table that it started with, so that all parts of one
 * response come from one version.
 */

#define ROUTE_ATTEMPTS_MAX 6 /* further attempts are not made */

typedef enum {
	ROUTE_SINGLE,	/* one service */
	ROUTE_WEIGHTED, /* one of several services, by weight */
	ROUTE_FANOUT	/* all services: the shards of an index */
} route_kind_t;

/** An upstream service of a route. */
typedef struct {
	char *service;
	double weight; /* ROUTE_WEIGHTED only */
} route_target_t;

/** A route: requests for a host and path prefix, and how they are served. */
typedef struct {
	char *name;
	char *host;
	char *prefix;
	route_kind_t kind;
	bool idempotent;       /* a request may be executed more than once */
	usec_t timeout;	       /* longest time until the response */
	usec_t target_latency; /* later responses lose value */
	int priority;	       /* 0 is the most urgent */
	bool is_public;	       /* requests need no customer key */
	uint32_t max_attempts;
	uint32_t top_records; /* ROUTE_FANOUT: records in a response */
	double min_share;     /* ROUTE_FANOUT: share of shards needed */
	route_target_t *targets;
	uint32_t target_count;
	uint64_t targets_hash; /* of the services' names, set by the table */
} route_t;

/** An upstream service and its limits. */
typedef struct {
	char *name;
	uint32_t max_connections; /* to each server, from all nodes */
	usec_t warm_up_time;	  /* how long a server stays cold */
	/* Requests per second that a cold server tolerates; 0: no limit. */
	double warm_up_rate;
} service_spec_t;

#define CUSTOMER_NO_PRIORITY (-1) /* the route's priority counts */

/** A customer, whose requests carry one of its keys. */
typedef struct {
	char *name;	   /* a valid header value */
	int priority;	   /* before the route's, or CUSTOMER_NO_PRIORITY */
	double rate_per_s; /* requests per second; 0: no limit */
	double burst;	   /* requests beyond the rate; 0: none */
	uint32_t index;	   /* in the table */
} customer_spec_t;

/** Size and time limits of client requests. */
typedef struct {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	usec_t header_timeout;
	usec_t idle_timeout;
} client_limits_t;

/** client_limits_default - Limits until a configuration was read. */
extern const client_limits_t client_limits_default;

typedef struct route_table route_table_t;

/** route_table_create() - An empty table with default limits, referenced once.
 */
route_table_t *route_table_create(int64_t version);

/** route_table_ref() - Adds a reference and returns the table. */
route_table_t *route_table_ref(route_table_t *table);

/** route_table_unref() - Drops a reference and frees the table with the last;
 * NULL is allowed. */
void route_table_unref(route_table_t *table);

/**
 * route_table_add() - Adds a route; the table takes over its strings and
 * targets. A second route with the same host and prefix is ignored.
 */
void route_table_add(route_table_t *table, const route_t *route);

/** route_table_add_service() - Adds a service; copies the name. */
void route_table_add_service(
    route_table_t *table, const char *name, uint32_t max_connections);

/**
 * route_table_require_keys() - From now on, route_table_has_customers() is
 * true, even if no customer is added.
 */
void route_table_require_keys(route_table_t *table);

/**
 * route_table_add_customer() - Adds a customer; copies the name.
 * @customer: its index is not used
 *
 * Return: the index of the customer, or that of an earlier one with the same
 * name, which then stays as it is.
 */
uint32_t route_table_add_customer(
    route_table_t *table, const customer_spec_t *customer);

/**
 * route_table_add_key() - Gives a key to a customer; copies it.
 * @key: valid, see customer_key_is_valid()
 * @customer: index of the customer
 *
 * Return: the customer that holds the key: @customer, or another one that was
 * given it before.
 */
uint32_t route_table_add_key(
    route_table_t *table, slice_t key, uint32_t customer);
/** route_table_add_service_spec() - Like route_table_add_service(), with all
 * limits; copies the name. */
void route_table_add_service_spec(
    route_table_t *table, const service_spec_t *service);

void route_table_set_limits(
    route_table_t *table, const client_limits_t *limits);

int64_t route_table_version(const route_table_t *table);
const client_limits_t *route_table_limits(const route_table_t *table);
const service_spec_t *route_table_service(
    const route_table_t *table, uint32_t index);
uint32_t route_table_service_count(const route_table_t *table);
const route_t *route_table_route(const route_table_t *table, uint32_t index);
uint32_t route_table_route_count(const route_table_t *table);

/** route_table_has_customers() - Whether requests need a key, except on public
 * routes. */
bool route_table_has_customers(const route_table_t *table);

uint32_t route_table_customer_count(const route_table_t *table);
const customer_spec_t *route_table_customer(
    const route_table_t *table, uint32_t index);

/** route_table_key_count() - Number of keys of all customers. */
uint32_t route_table_key_count(const route_table_t *table);

/**
 * route_table_count_keys() - Counts the keys of each customer.
 * @other: leaves out the keys that the customer of the same name holds in this
 * table; NULL counts all
 * @counts: route_table_customer_count() elements, by the customer's index
 */
void route_table_count_keys(
    const route_table_t *table, const route_table_t *other, uint32_t *counts);

/**
 * route_table_find_customer() - Finds the customer that holds a key, in a time
 * that depends neither on the number of keys nor on the key.
 *
 * Return: a customer that belongs to the table, or NULL.
 */
const customer_spec_t *route_table_find_customer(
    const route_table_t *table, slice_t key);

/**
 * route_table_match() - Finds the route with the longest matching prefix.
 * @host: Host header; a port is ignored
 * @target: path with an optional query
 *
 * Return: a route that belongs to the table, or NULL.
 */
const route_t *route_table_match(
    const route_table_t *table, slice_t host, slice_t target);

#endif
