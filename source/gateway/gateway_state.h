#ifndef GATEWAY_STATE_H
#define GATEWAY_STATE_H

#include "exchange.h"

/**
 * DOC: State of this node as JSON
 *
 * Configuration version, routes, and servers with the age of their last report,
 * for operators who compare nodes. docs/OPERATIONS.md describes the fields.
 */

/** gateway_state_write() - Appends one line of JSON. */
void gateway_state_write(exchange_engine_t *engine, usec_t now, buffer_t *out);

#endif
