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
 * Wires client connections, the exchange engine, health checks, metrics and
 * signals. What the platform says reaches it through the functions below, in
 * the product's own types.
 */

typedef struct gateway gateway_t;

/** gateway_create() - NULL and @why when an address can't be used. */
gateway_t *gateway_create(const gateway_settings_t *settings,
    const header_names_t *headers, char *why, size_t why_size);
void gateway_destroy(gateway_t *gateway);

/** gateway_run() - Serves until a planned stop ends. */
void gateway_run(gateway_t *gateway);

struct ev_loop *gateway_loop(gateway_t *gateway);

/** gateway_peers() - Its link to other gateways, or NULL without one. */
peer_link_t *gateway_peers(gateway_t *gateway);

/** gateway_suspect() - Another node found that a request crashed a server. */
void gateway_suspect(gateway_t *gateway, uint64_t fingerprint, uint64_t crash);

/** gateway_stopping() - Whether a planned stop has begun. */
bool gateway_stopping(const gateway_t *gateway);

/** gateway_config() - A configuration was read; only a newer one is adopted. */
void gateway_config(gateway_t *gateway, route_table_t *table);

/** gateway_server() - The registry has this server. */
void gateway_server(gateway_t *gateway, const server_entry_t *entry);

/** gateway_server_gone() - The registry no longer has it. */
void gateway_server_gone(gateway_t *gateway, const char *id);

/** gateway_servers_listed() - The registry was read as a whole. */
void gateway_servers_listed(gateway_t *gateway, GHashTable *present);

/** gateway_registry_answered() - The server registry answered, or did not. */
void gateway_registry_answered(gateway_t *gateway, bool answered);

/** gateway_nodes() - Number of nodes that run, and which of them this is. */
void gateway_nodes(gateway_t *gateway, uint32_t nodes, uint32_t index);

/** gateway_store_calls() - One more call to the store, for the metrics. */
void gateway_store_call(gateway_t *gateway, bool answered);

#endif
