#ifndef GATEWAY_METRICS_H
#define GATEWAY_METRICS_H

#include "../peers/peer_link.h"
#include "exchange.h"

/** DOC: Counters and latency histograms of the gateway, as Prometheus text */

/** Values that the exchange engine does not hold. */
typedef struct {
	bool ready;
	uint32_t client_connections;
	uint32_t client_connections_limit;
	uint32_t gateway_connections; /* of gateways that ask this one */
	uint32_t gateway_connections_limit;
	uint64_t store_calls;
	uint64_t store_failures;
	uint64_t store_era; /* 0: the store states none */
	/* Since the configuration in force was known to be the store's. */
	uint64_t config_unconfirmed_ms;
	const peer_link_t *peers; /* NULL: no link to other gateways */
	usec_t now;
} gateway_metrics_input_t;

/** gateway_metrics_write() - Appends all metrics in the text format. */
void gateway_metrics_write(exchange_engine_t *engine,
    const gateway_metrics_input_t *input, buffer_t *out);

#endif
