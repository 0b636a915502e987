#ifndef GATEWAY_METRICS_H
#define GATEWAY_METRICS_H

#include "../peers/peer_link.h"
#include "exchange.h"

/** DOC: Counters and latency histograms of the gateway, as Prometheus text */

typedef struct {
	bool ready;
	uint32_t clients;
	uint64_t store_calls;
	uint64_t store_failures;
	const peer_link_t *peers; /* NULL: it has none */
} gateway_gauges_t;

void gateway_metrics_write(
    exchange_engine_t *engine, const gateway_gauges_t *gauges, buffer_t *out);

#endif
