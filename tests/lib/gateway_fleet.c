#include "gateway_fleet.h"

#include <stdio.h>
#include <string.h>

#include "runner.h"

#define ROLES_TIMEOUT_MS 12000
#define POLL_STEP_MS 20
#define ROLE_METRIC_MAX 64

void
fleet_start(gateway_fleet_t *fleet, int gateway)
{
	fleet_gateway_t *node = &fleet->gateways[gateway];
	const char *arguments[] = {"--node", node->name, "--data-centre=dc1",
	    "--clients", node->clients, "--health", node->health, "--metrics",
	    node->metrics, "--peers", node->peers, "--store",
	    node->proxy_address, "--drain-ms=5000", "--stop-s=6",
	    fleet->world->extra_flag, NULL};

	node->process = harness_spawn(fleet->world->harness,
	    "bulrushwell-gateway", node->name, arguments, false);
}

void
fleet_prepare(gateway_fleet_t *fleet, gateway_world_t *world, int count)
{
	fleet->world = world;
	fleet->count = count;
	for (int i = 0; i < count; i++) {
		fleet_gateway_t *node = &fleet->gateways[i];

		snprintf(node->name, sizeof(node->name), "g%d", i);
		node->store_proxy = proxy_create(
		    object_store_address(world->store), node->proxy_address);
		harness_find_unused_address(node->clients);
		harness_find_unused_address(node->health);
		harness_find_unused_address(node->metrics);
		harness_find_unused_address(node->peers);
	}
}

void
fleet_start_all(gateway_fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++)
		fleet_start(fleet, i);
	for (int i = 0; i < fleet->count; i++)
		harness_wait_status(
		    fleet->gateways[i].health, "/ready", 200, WORLD_START_MS);
}

void
fleet_create(gateway_fleet_t *fleet, gateway_world_t *world)
{
	fleet_prepare(fleet, world, FLEET_GATEWAYS);
	fleet_start_all(fleet);
}

gateway_world_t
fleet_gateway_world(const gateway_fleet_t *fleet, int gateway)
{
	const fleet_gateway_t *node = &fleet->gateways[gateway];
	gateway_world_t view = *fleet->world;

	memcpy(view.clients, node->clients, sizeof(view.clients));
	memcpy(view.health, node->health, sizeof(view.health));
	memcpy(view.metrics, node->metrics, sizeof(view.metrics));
	return view;
}

int64_t
fleet_metric(const gateway_fleet_t *fleet, int gateway, const char *name)
{
	gateway_world_t view = fleet_gateway_world(fleet, gateway);

	return world_metric(&view, name);
}

bool
fleet_has_role(const gateway_fleet_t *fleet, int gateway, const char *role)
{
	char name[ROLE_METRIC_MAX];

	snprintf(name, sizeof(name), "peer_role{role=\"%s\"}", role);
	return fleet_metric(fleet, gateway, name) == 1;
}

static bool
have_roles(const gateway_fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++)
		if (!fleet_has_role(
			fleet, i, i < FLEET_RELAYS ? "relay" : "follower"))
			return false;
	return true;
}

void
fleet_wait_for_roles(const gateway_fleet_t *fleet)
{
	gint64 deadline = g_get_monotonic_time() + ROLES_TIMEOUT_MS * 1000;

	while (!have_roles(fleet)) {
		if (g_get_monotonic_time() > deadline)
			fail_msg("the nodes did not become relays and "
				 "followers in time");
		g_usleep(POLL_STEP_MS * 1000);
	}
}

void
fleet_destroy(gateway_fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++) {
		harness_kill(fleet->world->harness, fleet->gateways[i].process);
		proxy_destroy(fleet->gateways[i].store_proxy);
	}
}
