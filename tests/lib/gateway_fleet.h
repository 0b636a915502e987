#ifndef TESTS_LIB_GATEWAY_FLEET_H
#define TESTS_LIB_GATEWAY_FLEET_H

#include "gateway_world.h"
#include "proxy.h"

/**
 * DOC: Several gateway processes of one data centre
 *
 * Each reaches the store of a gateway world through a forwarder of its own, and
 * the others by datagrams.
 */

#define FLEET_GATEWAYS 5 /* two relays and three that follow them */

typedef struct {
	char name[16]; /* g0, g1 and so on: the order in which they relay */
	process_t process;
	proxy_t *store_way;
	address_t store;
	address_t clients;
	address_t health;
	address_t metrics;
	address_t peers;
} fleet_gateway_t;

typedef struct {
	gateway_world_t *world;
	fleet_gateway_t gateways[FLEET_GATEWAYS];
} gateway_fleet_t;

/** fleet_create() - Starts all of them in @world, and waits until they serve.
 */
void fleet_create(gateway_fleet_t *fleet, gateway_world_t *world);

/** fleet_start() - Starts a gateway whose process has ended. */
void fleet_start(gateway_fleet_t *fleet, int gateway);

/** fleet_view() - The world as seen through one of the gateways. */
gateway_world_t fleet_view(const gateway_fleet_t *fleet, int gateway);

/** fleet_destroy() - Ends all processes; the world stays. */
void fleet_destroy(gateway_fleet_t *fleet);

#endif
