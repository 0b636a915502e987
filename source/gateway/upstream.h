#ifndef UPSTREAM_H
#define UPSTREAM_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "placement.h"
#include "retry_budget.h"

/**
 * DOC: Upstream services and their servers, as discovery reports them
 */

#define SERVER_ID_MAX 64
#define SERVICE_NAME_MAX 64

/** What an entry of the server registry says. */
typedef struct {
	char id[SERVER_ID_MAX];
	char service[SERVICE_NAME_MAX];
	struct sockaddr_in address;
	bool same_data_centre; /* as this node */
	uint32_t slots;
	bool draining;
	usec_t warm_up_left;
	int64_t incarnation; /* start of the server process; grows */
	int64_t sequence;    /* grows with each report of an incarnation */
} server_entry_t;

/** A request that ran when a connection to the server was lost. */
typedef struct {
	uint64_t fingerprint; /* of the request */
	uint64_t crash;	      /* of this try of it */
	usec_t at;
} lost_run_t;

#define LOST_RUNS_MAX 8

typedef struct upstream upstream_t;
typedef struct replica replica_t;

/** One server of an upstream, in one incarnation. */
struct replica {
	upstream_t *upstream;
	server_entry_t entry;
	replica_health_t health;
	usec_t warm_until;
	usec_t reported_at;   /* when its entry was last read */
	usec_t leaving_since; /* 0: it stays */
	bool listed;	      /* the registry has its entry */
	uint32_t broken_in_row;
	lost_run_t lost_runs[LOST_RUNS_MAX]; /* until it shows that it lives */
	uint32_t lost_run_count;
	bool removed; /* freed with its last connection */
	GPtrArray *connections;
	bool assigned;	/* this node uses it while others are fine too */
	bool preferred; /* of these, the one that always has a connection */
	usec_t connect_again_at; /* earliest time of a spare connection */
};

struct upstream {
	char *name;
	uint32_t max_connections; /* to each server, from all nodes */
	bool routed;		  /* a route of the current table uses it */
	GPtrArray *replicas;
	GQueue waiting; /* of tasks, most urgent first */
	retry_budget_t retries;
};

#endif
