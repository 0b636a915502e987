#ifndef TOOL_CONFIG_CHECK_H
#define TOOL_CONFIG_CHECK_H

#include "../gateway/route_table.h"
#include "check_findings.h"

/**
 * DOC: Checks of a gateway configuration
 *
 * Finds what the gateway accepts but what can't be meant: entries that never
 * match, limits that contradict each other, and rates that the servers can't
 * serve. Does no I/O.
 */

/** typedef check_capacity_t - What the servers can do; 0: not known. */
typedef struct {
	uint32_t slots;	       /* of all servers together */
	usec_t usual_duration; /* of one request on a server */
} check_capacity_t;

/** config_check() - Adds the warnings on a table. */
void config_check(const route_table_t *table, const check_capacity_t *capacity,
    GPtrArray *findings);

#endif
