#include "placement.h"

#include <float.h>
#include <math.h>

#define SLOWNESS_WEIGHT 0.35 /* of a new sample */
#define SLOWNESS_MAX 50.0
#define FAILURE_WEIGHT 0.4	/* of a new sample */
#define FORGET_AFTER SECONDS(5) /* time constant of both estimates */
#define BUSY_TIME SECONDS(2)	/* time constant of the average load */
#define LIMIT_GROWTH 0.1	/* attempts that a quick answer adds */
#define LIMIT_LATE_PART 0.9	/* of the limit is kept after a late one */
#define LIMIT_LATE_TIMES 3.0	/* typical times: it waited at the server */
#define LIMIT_SHED_PART 0.7	/* of the running attempts is kept */
#define EJECT_FIRST MS(250)
#define EJECT_MAX SECONDS(2)
#define EJECT_DOUBLINGS 3
#define FAILURE_COST 16.0 /* typical times that a failed attempt costs */
#define WARM_UP_SLOWNESS 1.5
#define CONNECT_COST MS(6)
/*
 * Traffic between data centres is dear, and the estimates of single servers
 * vary by about a typical time, so a remote server must be clearly better.
 */
#define REMOTE_COST 1.2 /* typical times */
/* A server that other nodes shall use is worth it when ours are slow. */
#define UNASSIGNED_COST 1.0 /* typical times */
#define STUCK_AFTER 2.5	    /* typical times; then the server seems stuck */
#define STUCK_MIN MS(4)
#define STUCK_COST 2.0 /* a stuck server stays so about as long again */

void
replica_health_init(replica_health_t *health, double limit, usec_t now)
{
	*health = (replica_health_t){
	    .slowness = 1.0,
	    .limit = limit,
	    .updated = now,
	};
}

static void
forget(replica_health_t *health, usec_t now)
{
	double kept =
	    exp(-(double)(now - health->updated) / (double)FORGET_AFTER);

	if (now <= health->updated)
		return;
	health->slowness = 1.0 + (health->slowness - 1.0) * kept;
	health->failure *= kept;
	health->busy *=
	    exp(-(double)(now - health->updated) / (double)BUSY_TIME);
	health->updated = now;
}

static void
add_failure(replica_health_t *health, double sample)
{
	health->failure += FAILURE_WEIGHT * (sample - health->failure);
}

void
replica_health_answered(replica_health_t *health, usec_t elapsed,
    usec_t typical, double max_limit, usec_t now)
{
	double ratio = (double)elapsed / (double)(typical > 0 ? typical : 1);

	forget(health, now);
	ratio = fmin(ratio, SLOWNESS_MAX);
	health->slowness += SLOWNESS_WEIGHT * (ratio - health->slowness);
	add_failure(health, 0.0);
	health->busy += (double)elapsed / (double)BUSY_TIME;
	health->refusals = 0;
	if (ratio > LIMIT_LATE_TIMES)
		health->limit = fmax(1.0, health->limit * LIMIT_LATE_PART);
	else
		health->limit = fmin(max_limit, health->limit + LIMIT_GROWTH);
}

void
replica_health_failed(replica_health_t *health, usec_t now)
{
	forget(health, now);
	add_failure(health, 1.0);
}

void
replica_health_shed(replica_health_t *health, uint32_t running, usec_t now)
{
	forget(health, now);
	add_failure(health, 1.0);
	health->limit = fmax(1.0, LIMIT_SHED_PART * running);
}

void
replica_health_broken(replica_health_t *health, usec_t now)
{
	uint32_t doublings = health->refusals < EJECT_DOUBLINGS
	    ? health->refusals
	    : EJECT_DOUBLINGS;
	usec_t pause = EJECT_FIRST << doublings;

	forget(health, now);
	add_failure(health, 1.0);
	if (now < health->ejected_until)
		return;
	health->refusals++;
	health->unproven = true;
	health->ejected_until = now + (pause < EJECT_MAX ? pause : EJECT_MAX);
}

void
replica_health_connected(replica_health_t *health)
{
	health->unproven = false;
}

bool
replica_health_usable(const replica_health_t *health, usec_t now)
{
	return !health->unproven && now >= health->ejected_until;
}

/* A server that is late with one attempt is probably paused or silent. */
static double
stuck_cost(const replica_view_t *view, double expected, usec_t now)
{
	double age = (double)(now - view->oldest_sent);
	double late = fmax(STUCK_AFTER * expected, (double)STUCK_MIN);

	if (view->oldest_sent == 0 || age <= late)
		return 0.0;
	return STUCK_COST * age;
}

/*
 * How much longer an attempt takes because of the others: little while slots
 * are free, then steeply more. Other nodes are taken to load the server as this
 * one does on average.
 */
static double
load_factor(const replica_view_t *view)
{
	uint32_t slots = view->slots > 0 ? view->slots : 1;
	double others = fmax(view->sharers - 1.0, 0.0) * view->health->busy;
	double load = (view->running + others) / slots;

	return 1.0 + load * load * load;
}

static double
expected_time(const replica_view_t *view, usec_t typical, usec_t now)
{
	replica_health_t *health = view->health;
	double expected, time;

	forget(health, now);
	expected = (double)typical * health->slowness;
	if (view->warming_up)
		expected *= WARM_UP_SLOWNESS;
	time = expected * load_factor(view);
	time += stuck_cost(view, expected, now);
	time += FAILURE_COST * health->failure * (double)typical;
	if (!view->has_connection)
		time += (double)CONNECT_COST;
	if (!view->assigned)
		time += UNASSIGNED_COST * (double)typical;
	if (!view->same_data_centre)
		time += REMOTE_COST * (double)typical;
	return time;
}

static bool
is_usable(const replica_view_t *view, bool leaving, usec_t now)
{
	return !view->excluded && view->leaving == leaving &&
	    replica_health_usable(view->health, now);
}

static bool
has_room(const replica_view_t *view)
{
	return view->can_send &&
	    (double)view->running + 1.0 <= view->health->limit + 0.5;
}

static int
choose_among(const replica_view_t *views, uint32_t count, bool leaving,
    usec_t typical, usec_t now, bool *busy)
{
	double best_time = DBL_MAX;
	int best = PLACEMENT_NONE;

	for (uint32_t i = 0; i < count; i++) {
		double time;

		if (!is_usable(&views[i], leaving, now))
			continue;
		if (!has_room(&views[i])) {
			*busy = true;
			continue;
		}
		time = expected_time(&views[i], typical, now);
		if (time < best_time) {
			best_time = time;
			best = (int)i;
		}
	}
	return best;
}

int
placement_choose(const replica_view_t *views, uint32_t count, usec_t typical,
    usec_t now, bool *busy)
{
	int best;

	*busy = false;
	best = choose_among(views, count, false, typical, now, busy);
	if (best == PLACEMENT_NONE && !*busy)
		best = choose_among(views, count, true, typical, now, busy);
	return best;
}

uint32_t
placement_rank(const placement_servers_t *servers, uint32_t position)
{
	uint32_t far = servers->count - servers->near;

	if (position < servers->near)
		return (position + servers->turn) % servers->near;
	return servers->near + (position - servers->near + servers->turn) % far;
}
