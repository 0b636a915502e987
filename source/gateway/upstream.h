#ifndef UPSTREAM_H
#define UPSTREAM_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/suspect.h"
#include "cold_limit.h"
#include "placement.h"
#include "request_queue.h"
#include "retry_budget.h"

/**
 * DOC: Upstream services and their servers, as the server registry lists them
 */

#define SERVER_ID_MAX 64
#define SERVICE_NAME_MAX 64
#define DATA_CENTRE_MAX 64

/** An entry of the server registry. */
typedef struct {
	char id[SERVER_ID_MAX];
	char service[SERVICE_NAME_MAX];
	struct sockaddr_in address;
	char data_centre[DATA_CENTRE_MAX]; /* longer names are cut */
	bool same_data_centre;		   /* as this node */
	uint32_t slots;			   /* requests that it runs at once */
	bool draining;			   /* it announced its stop */
	usec_t warm_up_left;
	int64_t incarnation; /* start of the process; grows with each one */
	int64_t sequence;    /* grows with each report of an incarnation */
} server_entry_t;

/** A request that was running when its connection to the server was lost. */
typedef struct {
	uint64_t fingerprint;  /* of the request */
	suspect_crash_t crash; /* that it may have caused */
	usec_t lost_at;
} interrupted_request_t;

#define INTERRUPTED_REQUESTS_MAX 8

typedef struct upstream upstream_t;
typedef struct upstream_server upstream_server_t;

/** One server of an upstream: one process at one address. */
struct upstream_server {
	upstream_t *upstream;
	server_entry_t entry;
	server_health_t health;
	server_load_t load; /* as it has reported itself */
	usec_t warm_up_until;
	/*
	 * It is cold until the latest of these times: stated by its entry, by
	 * its responses, and assumed after an evacuation or a restart.
	 */
	usec_t entry_cold_until;
	usec_t said_cold_until;
	usec_t assumed_cold_until;
	/* After a pause of this process: when the server was last known to be
	 * warm or cold, and the last request to it. */
	usec_t sure_at;
	usec_t probed_at;
	bool refused;		 /* a connection, since the last one stood */
	usec_t cold_start_at;	 /* no requests while it is cold before this */
	bool was_cold;		 /* at the last news of it */
	cold_limit_t cold_limit; /* of this node's requests to it */
	usec_t reported_at;	 /* when its entry was last updated */
	/*
	 * The earliest time at which it may have begun to leave, and when this
	 * node learned of it. 0: neither draining nor deregistered.
	 */
	usec_t leaving_since;
	usec_t leaving_learned_at;
	usec_t backoff_until; /* it wants no requests from this node before */
	bool evacuated;	      /* its data centre is */
	/* When this node learned that an evacuation of its data centre was
	 * revoked. 0: none was while this node knew the server. */
	usec_t restored_at;
	bool said_leaving; /* in a response; holds whatever the registry says */
	bool registered;   /* the registry has an entry for it */
	uint32_t consecutive_failures;
	/* Cleared when the server responds or accepts a connection. */
	interrupted_request_t interrupted[INTERRUPTED_REQUESTS_MAX];
	uint32_t interrupted_count;
	bool removed; /* freed with its last connection */
	GPtrArray *connections;
	bool assigned;	      /* used while all are healthy */
	bool preferred;	      /* the assigned one of rank 0, always connected */
	uint32_t rank;	      /* in the order in which this node uses them */
	usec_t next_spare_at; /* earliest time of a spare connection */
};

/** A service and its servers. */
struct upstream {
	char *name;
	uint32_t max_connections; /* to each server, from all nodes */
	bool routed;		  /* a route of the current table uses it */
	bool is_shard;		  /* a fan-out of the current table uses it */
	usec_t warm_up_time;
	double warm_up_rate;	  /* 0: cold servers are used like others */
	uint32_t cold_share;	  /* see cold_limit_share() */
	uint32_t shard;		  /* its position in that fan-out */
	GPtrArray *servers;	  /* those that are not evacuated come first */
	uint32_t in_use_count;	  /* servers that are not evacuated */
	request_queue_t *waiting; /* tasks that wait for capacity */
	retry_budget_t retry_budget;
};

#endif
