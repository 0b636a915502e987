#ifndef GATEWAY_H
#define GATEWAY_H

#include <ev.h>

#include "../peers/peer_link.h"
#include "exchange.h"
#include "gateway_settings.h"
#include "upstream.h"

/**
 * DOC: The gateway process
 *
 * Connects client connections, the exchange engine, health checks, metrics and
 * signals. The platform adapter passes configurations and server entries to it
 * through the functions below, in types that do not depend on the platform. It
 * reads both from the platform's store, where each server has an entry in a
 * registry.
 * All functions must be called from the thread of the event loop.
 */

typedef struct gateway gateway_t;

/**
 * gateway_create() - Opens the listeners and starts the gateway; it serves once
 * it has a configuration and servers.
 * @settings: copied
 * @headers: names of the headers that clients and servers use
 * @message: filled with the cause of an error
 *
 * Return: the gateway, or NULL when an address cannot be used.
 */
gateway_t *gateway_create(const gateway_settings_t *settings,
    const header_names_t *headers, char *message, size_t message_size);
void gateway_destroy(gateway_t *gateway);

/** gateway_run() - Runs the event loop until a planned stop has ended. */
void gateway_run(gateway_t *gateway);

/** gateway_loop() - The event loop that all its parts use. */
struct ev_loop *gateway_loop(gateway_t *gateway);

/** gateway_peers() - The link to other gateways, or NULL without one. */
peer_link_t *gateway_peers(gateway_t *gateway);

/**
 * gateway_add_suspect() - Handles a report of another node that a request
 * crashed a server.
 * @fingerprint: identifies the request
 * @crash_number: see suspect_record_crash()
 */
void gateway_add_suspect(
    gateway_t *gateway, uint64_t fingerprint, uint64_t crash_number);

/**
 * gateway_server_leaving() - Another node was told by a server that it leaves.
 * @incarnation: of the server's process
 */
void gateway_server_leaving(
    gateway_t *gateway, const char *id, int64_t incarnation);

/** gateway_rate_message() - Handles a rate request or grant of another node. */
void gateway_rate_message(
    gateway_t *gateway, const char *sender, const peer_message_t *message);

/** gateway_is_stopping() - Whether a planned stop has begun. */
bool gateway_is_stopping(const gateway_t *gateway);

/**
 * gateway_update_config() - Adopts a configuration if its version is newer;
 * takes its own reference.
 * @source: who sent it, for the log
 */
void gateway_update_config(
    gateway_t *gateway, route_table_t *table, const char *source);

/** gateway_config_current() - The store had no newer configuration @age ago. */
void gateway_config_current(gateway_t *gateway, usec_t age);

/**
 * gateway_registry_current() - All changes of the server registry up to
 * @age ago are known.
 */
void gateway_registry_current(gateway_t *gateway, usec_t age);

/** gateway_set_peers() - Sets the gateway nodes of all data centres. */
void gateway_set_peers(
    gateway_t *gateway, const peer_node_t *nodes, uint32_t count);

/** gateway_update_server() - Adds or updates a server from its registry entry.
 */
void gateway_update_server(gateway_t *gateway, const server_entry_t *entry);

/** gateway_server_deregistered() - Handles the removal of a server's registry
 * entry. */
void gateway_server_deregistered(gateway_t *gateway, const char *id);

/**
 * gateway_reconcile_servers() - Handles a full listing of the registry.
 * @present: ids of all entries; the caller keeps it
 */
void gateway_reconcile_servers(gateway_t *gateway, GHashTable *present);

/** gateway_evacuate() - Sends nothing more to the servers of a data centre. */
void gateway_evacuate(gateway_t *gateway, const char *data_centre);

/** gateway_restore() - The evacuation of a data centre was revoked. */
void gateway_restore(gateway_t *gateway, const char *data_centre);

/**
 * gateway_reconcile_evacuations() - Handles a full list of evacuations; any
 * other one was revoked.
 * @present: names of all evacuated data centres; the caller keeps it
 */
void gateway_reconcile_evacuations(gateway_t *gateway, GHashTable *present);

/** gateway_set_store_era() - The era of the platform's store, for the metrics.
 */
void gateway_set_store_era(gateway_t *gateway, int64_t era);

/** gateway_record_registry_call() - Records whether the registry answered. */
void gateway_record_registry_call(gateway_t *gateway, bool answered);

/**
 * gateway_set_nodes() - Sets how many gateway nodes share the servers.
 * @nodes: number of running nodes, this one included
 * @index: position of this node among them, from 0
 */
void gateway_set_nodes(gateway_t *gateway, uint32_t nodes, uint32_t index);

/** gateway_set_cold_term() - See pool_set_cold_term(). */
void gateway_set_cold_term(gateway_t *gateway, const cold_term_t *term);

/** gateway_record_store_call() - Counts a call to the platform's store,
 * for the metrics. */
void gateway_record_store_call(gateway_t *gateway, bool answered);

#endif
