#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "cold_limit.h"
#include "rate_limit.h"
#include "retry_budget.h"

/**
 * DOC: Settings of the gateway: flags, or BULRUSHWELL_GATEWAY_* variables
 *
 * They set the identity and addresses of the process, and the limits that its
 * operator has agreed with others. There are no tuning parameters.
 */

#define GATEWAY_NAME_MAX 64

/**
 * typedef poll_times_t - How the polls for changes of a kind divide the time
 * within which a change must be known. Together with a retry they are shorter,
 * so that one lost call, whatever the reason, delays no change for longer.
 */
typedef struct {
	usec_t wait;	      /* for changes */
	usec_t answer_margin; /* after that for the answer */
	usec_t time_max;      /* both, also while the store is slow; 0: none */
	usec_t change_delay;  /* before the poll that follows a change */
} poll_times_t;

typedef struct {
	char node[GATEWAY_NAME_MAX];
	char data_centre[GATEWAY_NAME_MAX];
	struct sockaddr_in client_address;
	struct sockaddr_in health_address;
	struct sockaddr_in metrics_address;
	bool has_metrics_address;
	struct sockaddr_in peer_address;
	bool has_peer_address;
	bool may_follow_peers; /* relays report changes in time */
	/* A node that followed peers waits so long for them after an outage. */
	usec_t peer_return_wait;
	/* After its start a node waits so long to hear of peers. */
	usec_t peer_hello_wait;
	struct sockaddr_in store_address;
	usec_t store_history; /* the store keeps changes this long */
	retry_limits_t retries;
	usec_t drain_limit; /* a leaving server gets no attempts after this */
	poll_times_t registry_polls; /* no time_max: a slow store gets longer */
	/*
	 * Within evacuation_limit of the request to send nothing more to a data
	 * centre this node follows it; 0: it does not read such requests.
	 */
	usec_t evacuation_limit;
	poll_times_t evacuation_polls;
	/* Within this time a configuration is in force; 0: no such bound. */
	usec_t config_limit;
	poll_times_t config_polls;
	usec_t stop_limit; /* longest duration of a planned stop */
	cold_bound_t cold_bound;
	double link_mbps; /* bandwidth of the VM's network link, in Mbit/s */
	rate_bound_t rate_bound; /* its window is 0 without limits */
	size_t memory_bytes;	 /* of the VM; 0: what the kernel reports */
	uint64_t max_fds; /* descriptors of the VM; 0: what the kernel allows */
	bool check_only;
	bool version_only;
} gateway_settings_t;

/**
 * gateway_settings_load() - Reads the flags, and environment variables for
 * flags that are not given.
 * @message: filled with the cause of an error and its remedy
 *
 * Return: 0 or BW_E_SETTINGS.
 */
int gateway_settings_load(int argc, char **argv, gateway_settings_t *settings,
    char *message, size_t message_size);

#endif
