#ifndef TESTS_LIB_GATEWAY_FLEET_H
#define TESTS_LIB_GATEWAY_FLEET_H

#include "gateway_world.h"
#include "proxy.h"

/**
 * DOC: Several gateway processes of one data centre
 *
 * All use the store and the servers of one gateway world. Each connects to the
 * store through a proxy of its own, so that it can be cut off. Relays read
 * changes from the store and send them in datagrams to the others, the
 * followers.
 */

#define FLEET_GATEWAYS 5 /* two relays and three followers */
#define FLEET_RELAYS 2
#define FLEET_MAX 8

typedef struct {
	/* g0, g1, ...; the first two that reach the store are relays */
	char name[16];
	process_t process;
	proxy_t *store_proxy;
	address_t proxy_address; /* listen address of @store_proxy */
	/* Listen addresses of the gateway. */
	address_t clients;
	address_t health;
	address_t metrics;
	address_t peers;
} fleet_gateway_t;

typedef struct {
	gateway_world_t *world;
	int count;
	fleet_gateway_t gateways[FLEET_MAX];
} gateway_fleet_t;

/** fleet_create() - Starts FLEET_GATEWAYS gateways and waits until they are
 * ready. */
void fleet_create(gateway_fleet_t *fleet, gateway_world_t *world);

/** fleet_prepare() - Chooses the addresses of @count gateways. */
void fleet_prepare(gateway_fleet_t *fleet, gateway_world_t *world, int count);

/** fleet_start_all() - Starts all gateways and waits until they are ready. */
void fleet_start_all(gateway_fleet_t *fleet);

/**
 * fleet_start() - Starts a gateway whose process has ended, without waiting
 * until it is ready.
 * @gateway: index into @fleet->gateways
 */
void fleet_start(gateway_fleet_t *fleet, int gateway);

/**
 * fleet_gateway_world() - A copy of the world that has the addresses of this
 * gateway, for the world_*() functions. It must not be destroyed.
 * @gateway: index into @fleet->gateways
 */
gateway_world_t fleet_gateway_world(const gateway_fleet_t *fleet, int gateway);

/** fleet_metric() - A metric of a gateway, see world_metric(). */
int64_t fleet_metric(
    const gateway_fleet_t *fleet, int gateway, const char *name);

/** fleet_has_role() - Whether a gateway is "alone", "relay" or "follower". */
bool fleet_has_role(
    const gateway_fleet_t *fleet, int gateway, const char *role);

/** fleet_wait_for_roles() - Waits until the first FLEET_RELAYS gateways are
 * relays, and the others followers. */
void fleet_wait_for_roles(const gateway_fleet_t *fleet);

/** fleet_destroy() - Kills all gateways; the world is not destroyed. */
void fleet_destroy(gateway_fleet_t *fleet);

#endif
