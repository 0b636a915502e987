#ifndef TOOL_CONFIG_COMPARE_H
#define TOOL_CONFIG_COMPARE_H

#include "../gateway/route_table.h"
#include "check_findings.h"

/**
 * config_compare() - Adds the differences between two versions, and an error if
 * gateways would ignore the new one because of its number.
 *
 * Routes are identified by host and prefix, services and customers by name. Of
 * several entries with one identity, the one that gateways use is compared.
 */
void config_compare(const route_table_t *in_force, const route_table_t *table,
    GPtrArray *findings);

#endif
