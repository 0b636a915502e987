#ifndef TOOL_CONFIG_INDEX_H
#define TOOL_CONFIG_INDEX_H

#include <glib.h>

#include "../gateway/route_table.h"

/**
 * DOC: Entries of a configuration by identity
 *
 * Of several entries with one identity, an index holds the one that gateways
 * use. The entries belong to the table, which must outlive the index.
 */

/** config_milliseconds() - Converts a time for a message. */
double config_milliseconds(usec_t duration);

/** config_route_identity() - Returns host and prefix in the form in which
 * gateways compare them, to be freed with g_free(). */
char *config_route_identity(const route_t *route);

/** config_index_routes() - Returns each first &route_t by its identity. */
GHashTable *config_index_routes(const route_table_t *table);

/** config_index_services() - Returns each last &service_spec_t by its name. */
GHashTable *config_index_services(const route_table_t *table);

/** config_index_customers() - Returns each &customer_spec_t by its name. */
GHashTable *config_index_customers(const route_table_t *table);

#endif
