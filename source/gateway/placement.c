#include "placement.h"

#include <float.h>
#include <math.h>

#define SLOWNESS_WEIGHT 0.35 /* of a new sample */
#define SLOWNESS_MAX 50.0
/*
 * An attempt that takes this many typical times was stalled, as by a pause of
 * the server. One stall raises the estimate to at most this factor of it, so
 * that only repeated ones show that the server is slow.
 */
#define STALL_RATIO 3.0
#define FAILURE_WEIGHT 0.4 /* of a new sample */
/* Time constant of the slowness and failure estimates. */
#define ESTIMATE_DECAY_TIME SECONDS(5)
#define LOAD_AVERAGE_TIME SECONDS(2) /* time constant */
#define LIMIT_GROWTH 0.1	     /* added by each quick answer */
#define LIMIT_LATE_FACTOR 0.9	     /* applied by each late answer */
#define LIMIT_LATE_RATIO 3.0	     /* typical times; slower: it was queued */
#define LIMIT_OVERLOAD_FACTOR 0.7    /* of the running attempts */
#define EJECTION_TIME_MIN MS(250)
#define EJECTION_TIME_MAX SECONDS(2)
#define EJECTION_DOUBLINGS_MAX 3
#define FAILURE_COST 16.0 /* typical times, at a failure rate of 1 */
#define WARM_UP_SLOWNESS 1.5
#define CONNECT_COST MS(6)
/*
 * Traffic between data centres is expensive, and the estimates of single
 * servers vary by about a typical time, so a remote server must be clearly
 * better.
 */
#define REMOTE_COST 1.2 /* typical times */
/* A server assigned to other nodes is used only when this node's are slow. */
#define UNASSIGNED_COST 1.0 /* typical times */
#define RANK_COST 0.1	    /* typical times */
/* For a server that reports its load, so that nodes that see the same reports
 * at the same time do not all select the same server. In typical times. */
#define SPREAD_COST 0.1
#define STUCK_RATIO 2.5 /* expected durations until it seems stuck */
#define STUCK_TIME_MIN MS(4)
/* Of the attempt's age: a stuck server stays so about as long again. */
#define STUCK_COST_RATIO 2.0

void
server_health_init(
    server_health_t *health, double concurrency_limit, usec_t now)
{
	*health = (server_health_t){
	    .slowness = 1.0,
	    .concurrency_limit = concurrency_limit,
	    .decayed_at = now,
	};
}

/* Moves the estimates towards those of a healthy, idle server over time. */
static void
decay_estimates(server_health_t *health, usec_t now)
{
	double remaining = exp(
	    -(double)(now - health->decayed_at) / (double)ESTIMATE_DECAY_TIME);

	if (now <= health->decayed_at)
		return;
	health->slowness = 1.0 + (health->slowness - 1.0) * remaining;
	health->failure_rate *= remaining;
	health->average_load *= exp(
	    -(double)(now - health->decayed_at) / (double)LOAD_AVERAGE_TIME);
	health->decayed_at = now;
}

/* Adds a sample to the failure rate: 1 for a failed attempt, else 0. */
static void
add_failure(server_health_t *health, double sample)
{
	health->failure_rate +=
	    FAILURE_WEIGHT * (sample - health->failure_rate);
}

/* Attempts that overlap one stall are one observation of it. */
static void
add_slowness(server_health_t *health, double ratio, usec_t elapsed, usec_t now)
{
	bool stalled = ratio > STALL_RATIO;

	if (stalled && now - elapsed < health->stalled_at)
		return;
	if (stalled)
		health->stalled_at = now;
	ratio = fmin(ratio, STALL_RATIO * fmax(health->slowness, 1.0));
	health->slowness += SLOWNESS_WEIGHT * (ratio - health->slowness);
}

void
server_health_answered(server_health_t *health, usec_t elapsed, usec_t typical,
    double max_concurrency, usec_t now)
{
	double ratio = (double)elapsed / (double)(typical > 0 ? typical : 1);

	decay_estimates(health, now);
	ratio = fmin(ratio, SLOWNESS_MAX);
	add_slowness(health, ratio, elapsed, now);
	add_failure(health, 0.0);
	health->average_load += (double)elapsed / (double)LOAD_AVERAGE_TIME;
	health->ejections = 0;
	if (ratio > LIMIT_LATE_RATIO)
		health->concurrency_limit =
		    fmax(1.0, health->concurrency_limit * LIMIT_LATE_FACTOR);
	else
		health->concurrency_limit = fmin(
		    max_concurrency, health->concurrency_limit + LIMIT_GROWTH);
}

void
server_health_failed(server_health_t *health, usec_t now)
{
	decay_estimates(health, now);
	add_failure(health, 1.0);
}

void
server_health_overloaded(server_health_t *health, uint32_t running, usec_t now)
{
	decay_estimates(health, now);
	add_failure(health, 1.0);
	health->concurrency_limit = fmax(1.0, LIMIT_OVERLOAD_FACTOR * running);
}

void
server_health_connection_failed(server_health_t *health, usec_t now)
{
	uint32_t doublings = health->ejections < EJECTION_DOUBLINGS_MAX
	    ? health->ejections
	    : EJECTION_DOUBLINGS_MAX;
	usec_t ejection = EJECTION_TIME_MIN << doublings;

	decay_estimates(health, now);
	add_failure(health, 1.0);
	if (now < health->ejected_until)
		return;
	health->ejections++;
	health->unproven = true;
	health->ejected_until =
	    now + (ejection < EJECTION_TIME_MAX ? ejection : EJECTION_TIME_MAX);
}

void
server_health_connected(server_health_t *health)
{
	health->unproven = false;
}

bool
server_health_usable(const server_health_t *health, usec_t now)
{
	return !health->unproven && now >= health->ejected_until;
}

/* Expected extra time, as a server late with one attempt is probably paused. */
static double
stuck_cost(const placement_candidate_t *candidate, double expected, usec_t now)
{
	double age = (double)(now - candidate->oldest_start);
	double threshold = fmax(STUCK_RATIO * expected, (double)STUCK_TIME_MIN);

	if (candidate->oldest_start == 0 || age <= threshold)
		return 0.0;
	return STUCK_COST_RATIO * age;
}

/*
 * Factor by which the load makes an attempt longer: near 1 while slots are
 * free, then growing with the cube of the load. Unless the server reports its
 * load, other nodes are assumed to load it as much as this one does on average.
 */
static double
load_factor(const placement_candidate_t *candidate, usec_t now)
{
	uint32_t slots = candidate->slots > 0 ? candidate->slots : 1;
	double other_nodes = fmax(candidate->nodes_per_server - 1.0, 0.0) *
	    candidate->health->average_load;
	double load;

	if (candidate->load != NULL)
		other_nodes =
		    server_load_others(candidate->load, other_nodes, now);
	load = (candidate->running + other_nodes) / slots;
	return 1.0 + load * load * load;
}

/* Expected duration of an attempt in microseconds, penalties included. */
static double
expected_time(
    const placement_candidate_t *candidate, usec_t typical, usec_t now)
{
	server_health_t *health = candidate->health;
	double expected, time;

	decay_estimates(health, now);
	expected = (double)typical * health->slowness;
	if (candidate->load != NULL)
		expected *= server_load_pace(candidate->load, now);
	if (candidate->warming_up)
		expected *= WARM_UP_SLOWNESS;
	time = expected * load_factor(candidate, now);
	time += stuck_cost(candidate, expected, now);
	time += FAILURE_COST * health->failure_rate * (double)typical;
	if (!candidate->has_connection)
		time += (double)CONNECT_COST;
	if (!candidate->assigned)
		time += UNASSIGNED_COST * (double)typical;
	if (!candidate->same_data_centre)
		time += REMOTE_COST * (double)typical;
	time += RANK_COST * candidate->rank * (double)typical;
	if (candidate->load != NULL)
		time += SPREAD_COST * server_load_weight(candidate->load, now) *
		    candidate->node_rank * (double)typical;
	return time;
}

static bool
is_usable(const placement_candidate_t *candidate, bool leaving, usec_t now)
{
	return !candidate->excluded && candidate->leaving == leaving &&
	    server_health_usable(candidate->health, now);
}

/* Rounds the concurrency limit to the nearest integer. */
static bool
has_capacity(const placement_candidate_t *candidate)
{
	return candidate->can_send &&
	    (double)candidate->running + 1.0 <=
	    candidate->health->concurrency_limit + 0.5;
}

/* Selects among the servers that leave, or among those that do not. */
static int
choose_among(const placement_candidate_t *candidates, uint32_t count,
    bool leaving, usec_t typical, usec_t now, bool *busy)
{
	double best_time = DBL_MAX;
	int best = PLACEMENT_NONE;

	for (uint32_t i = 0; i < count; i++) {
		double time;

		if (!is_usable(&candidates[i], leaving, now))
			continue;
		if (!has_capacity(&candidates[i])) {
			*busy = true;
			continue;
		}
		time = expected_time(&candidates[i], typical, now);
		if (time < best_time) {
			best_time = time;
			best = (int)i;
		}
	}
	return best;
}

int
placement_choose(const placement_candidate_t *candidates, uint32_t count,
    usec_t typical, usec_t now, bool *busy)
{
	int best;

	*busy = false;
	best = choose_among(candidates, count, false, typical, now, busy);
	if (best == PLACEMENT_NONE && !*busy)
		best =
		    choose_among(candidates, count, true, typical, now, busy);
	return best;
}

uint32_t
placement_rank(const placement_order_t *order, uint32_t position)
{
	uint32_t remote = order->count - order->local;

	if (position < order->local)
		return (position + order->rotation) % order->local;
	return order->local +
	    (position - order->local + order->rotation) % remote;
}
