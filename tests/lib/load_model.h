#ifndef TESTS_LIB_LOAD_MODEL_H
#define TESTS_LIB_LOAD_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Replays a load pattern against the gateway's decisions, without sockets
 *
 * Several nodes send fan-out queries to shards of a few servers each. Servers
 * have slots and a queue; they pause, turn slow, refuse or fall silent. Time is
 * simulated, and a seed gives the same run again.
 */

typedef enum {
	LOAD_DECISIONS,	  /* the gateway's */
	LOAD_ROUND_ROBIN, /* servers in turn; a refused attempt is repeated */
	LOAD_NO_HEDGES,	  /* the gateway's placement, no second attempts */
	LOAD_FREE_HEDGES, /* without the retry budget */
	LOAD_NO_LIMIT	  /* without the limit of running queries */
} load_policy_t;

typedef struct {
	double queries_per_s;
	int work_ms;	     /* of a sub-request, on average */
	int goal_ms;	     /* latest time of a useful answer */
	int pause_ms;	     /* each server stops for so long ... */
	int pause_every_ms;  /* ... this often; 0: never */
	double slow_share;   /* of the servers */
	double slow_times;   /* their work takes so much longer */
	double shed_share;   /* of the servers refuse ... */
	double shed_part;    /* ... this part of their requests */
	double silent_share; /* of the servers never answer */
	uint32_t seed;
} load_pattern_t;

typedef struct {
	double worth;	/* of 1: squares of the shares answered in time */
	double in_time; /* share of queries with an answer before the goal */
	double useful_per_s; /* queries answered in time */
	double extra;	     /* extra arrivals for each request */
	uint32_t queries;
} load_result_t;

load_result_t load_model_run(
    const load_pattern_t *pattern, load_policy_t policy);

#endif
