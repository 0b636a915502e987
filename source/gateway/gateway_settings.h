#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "retry_budget.h"

/**
 * DOC: Settings of the gateway: flags, or BULRUSHWELL_GATEWAY_* variables
 *
 * They say who and where the process is, and the bounds that its operator has
 * promised to others. Nothing tunes it.
 */

#define GATEWAY_NAME_MAX 64

typedef struct {
	char node[GATEWAY_NAME_MAX];
	char data_centre[GATEWAY_NAME_MAX];
	struct sockaddr_in client_address;
	struct sockaddr_in health_address;
	struct sockaddr_in metrics_address;
	bool has_metrics_address;
	struct sockaddr_in peer_address;
	bool has_peer_address;
	bool may_follow; /* the bounds allow to be told of changes by peers */
	struct sockaddr_in store_address;
	usec_t store_history; /* the store keeps changes for this long */
	retry_limits_t retries;
	usec_t drain_limit; /* a leaving server gets no request after this */
	usec_t discovery_interval; /* pause between two looks at the registry */
	usec_t stop_limit;	   /* a stopping process is killed after this */
	bool check_only;
	bool version_only;
} gateway_settings_t;

/**
 * gateway_settings_load() - Reads flags, then variables for what they lack.
 * @why: filled with what is wrong and its remedy
 *
 * Return: 0 or BW_E_SETTINGS.
 */
int gateway_settings_load(int argc, char **argv, gateway_settings_t *settings,
    char *why, size_t why_size);

#endif
