#include "load_model.h"

#include <glib.h>
#include <math.h>

#include "../../source/gateway/gather.h"
#include "../../source/gateway/latency_model.h"
#include "../../source/gateway/placement.h"
#include "../../source/gateway/retry_budget.h"
#include "bulrushwell/limiter.h"

#define NODES 4
#define SHARDS 10
#define REPLICAS 3
#define SLOTS 2
#define SERVER_QUEUE 12
#define WAY MS(1)
#define DURATION SECONDS(20)
#define WARM_UP SECONDS(4) /* not judged */
#define FINAL_TIMES 5	   /* final time, in goals */
#define LEAST_SHARE 0.89
#define CONNECTIONS 3
#define MAX_SENDS 2
#define HEDGE_RESERVE 0.25

typedef enum {
	EVENT_QUERY,
	EVENT_ARRIVE, /* at a server */
	EVENT_DONE,   /* a server ends work */
	EVENT_REPLY,  /* at the node */
	EVENT_HEDGE,
	EVENT_GOAL
} event_kind_t;

typedef struct query query_t;

typedef struct {
	query_t *query;
	int shard, replica;
	usec_t sent_at;
	bool refused;
} send_t;

typedef struct {
	usec_t at;
	uint64_t order;
	event_kind_t kind;
	send_t *send;
	query_t *query;
	int shard;
} sim_event_t;

typedef struct {
	int running;
	GQueue waiting; /* send_t */
	double slow;
	double shed;
	bool silent;
	usec_t pause_phase;
} sim_server_t;

typedef struct {
	replica_health_t health[SHARDS][REPLICAS];
	int running[SHARDS][REPLICAS];
	usec_t oldest[SHARDS][REPLICAS];
	retry_budget_t budgets[SHARDS];
	latency_model_t *latency;
	limiter_t *limiter;
	int turn[SHARDS];
} sim_node_t;

struct query {
	int node;
	usec_t at;
	bool answered[SHARDS], failed[SHARDS];
	int sends[SHARDS];
	int tried[SHARDS][MAX_SENDS];
	int in, closed;
	bool done;
};

typedef struct {
	const load_pattern_t *pattern;
	load_policy_t policy;
	GRand *random;
	GSequence *events;
	uint64_t order;
	usec_t now;
	sim_server_t servers[SHARDS][REPLICAS];
	sim_node_t nodes[NODES];
	GPtrArray *queries;
	GPtrArray *sends;
	uint64_t requests, arrivals;
	double worth;
	uint32_t judged, in_time;
} sim_t;

static const retry_limits_t sim_limits = {.ratio = 0.2,
    .window = SECONDS(10),
    .slack = 54};

static int
compare_events(const void *a, const void *b, void *unused)
{
	const sim_event_t *left = a, *right = b;

	if (left->at != right->at)
		return left->at < right->at ? -1 : 1;
	return left->order < right->order ? -1 : 1;
}

static void
add_event(sim_t *sim, usec_t at, event_kind_t kind, query_t *query,
    send_t *send, int shard)
{
	sim_event_t *event = g_new0(sim_event_t, 1);

	*event = (sim_event_t){at, ++sim->order, kind, send, query, shard};
	g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

static double
normal(GRand *random)
{
	double sum = 0.0;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(random);
	return sum - 6.0;
}

static usec_t
work_time(sim_t *sim, const sim_server_t *server)
{
	double work = sim->pattern->work_ms * exp(0.35 * normal(sim->random));

	if (g_rand_double(sim->random) < 0.01)
		work *= 5;
	return (usec_t)(work * server->slow * USEC_PER_MS);
}

static usec_t
pause_end(const sim_t *sim, const sim_server_t *server, usec_t at)
{
	usec_t every = MS(sim->pattern->pause_every_ms);
	usec_t place;

	if (every == 0)
		return at;
	place = (at + server->pause_phase) % every;
	return place < MS(sim->pattern->pause_ms)
	    ? at + MS(sim->pattern->pause_ms) - place
	    : at;
}

static void
start_work(sim_t *sim, sim_server_t *server, send_t *send)
{
	usec_t start = pause_end(sim, server, sim->now);

	server->running++;
	add_event(sim, start + work_time(sim, server), EVENT_DONE, send->query,
	    send, send->shard);
}

static void
arrive(sim_t *sim, send_t *send)
{
	sim_server_t *server = &sim->servers[send->shard][send->replica];

	sim->arrivals++;
	if (server->silent)
		return;
	if (g_rand_double(sim->random) < server->shed ||
	    server->waiting.length >= SERVER_QUEUE) {
		send->refused = true;
		add_event(sim, sim->now + WAY, EVENT_REPLY, send->query, send,
		    send->shard);
	} else if (server->running < SLOTS) {
		start_work(sim, server, send);
	} else {
		g_queue_push_tail(&server->waiting, send);
	}
}

static void
end_work(sim_t *sim, send_t *send)
{
	sim_server_t *server = &sim->servers[send->shard][send->replica];

	server->running--;
	add_event(
	    sim, sim->now + WAY, EVENT_REPLY, send->query, send, send->shard);
	if (server->waiting.length > 0)
		start_work(sim, server, g_queue_pop_head(&server->waiting));
}

static int
choose(sim_t *sim, query_t *query, int shard)
{
	sim_node_t *node = &sim->nodes[query->node];
	replica_view_t views[REPLICAS];
	bool busy;

	if (sim->policy == LOAD_ROUND_ROBIN)
		return node->turn[shard]++ % REPLICAS;
	for (int i = 0; i < REPLICAS; i++) {
		views[i] = (replica_view_t){
		    .health = &node->health[shard][i],
		    .slots = SLOTS,
		    .sharers = (double)NODES / REPLICAS,
		    .running = (uint32_t)node->running[shard][i],
		    .oldest_sent = node->oldest[shard][i],
		    .can_send = node->running[shard][i] < CONNECTIONS,
		    .has_connection = true,
		    .same_data_centre = query->node % REPLICAS == i,
		    .assigned = true,
		};
		for (int j = 0; j < query->sends[shard]; j++)
			views[i].excluded |= query->tried[shard][j] == i;
	}
	return placement_choose(views, REPLICAS,
	    latency_model_typical(node->latency), sim->now, &busy);
}

static bool
send_one(sim_t *sim, query_t *query, int shard)
{
	sim_node_t *node = &sim->nodes[query->node];
	int replica = choose(sim, query, shard);
	send_t *send;

	if (replica == PLACEMENT_NONE)
		return false;
	send = g_new0(send_t, 1);
	*send = (send_t){query, shard, replica, sim->now, false};
	g_ptr_array_add(sim->sends, send);
	query->tried[shard][query->sends[shard]++] = replica;
	if (node->running[shard][replica]++ == 0)
		node->oldest[shard][replica] = sim->now;
	add_event(sim, sim->now + WAY, EVENT_ARRIVE, query, send, shard);
	if (query->sends[shard] < MAX_SENDS &&
	    (sim->policy == LOAD_DECISIONS || sim->policy == LOAD_FREE_HEDGES ||
		sim->policy == LOAD_NO_LIMIT))
		add_event(sim, sim->now + latency_model_late(node->latency),
		    EVENT_HEDGE, query, NULL, shard);
	return true;
}

static void
report_end(sim_t *sim, const query_t *query, bool in_time)
{
	if (sim->policy != LOAD_NO_LIMIT)
		limiter_ended(sim->nodes[query->node].limiter, "index", "all",
		    in_time ? LIMITER_COMPLETE : LIMITER_OVERLOADED,
		    sim->now - query->at, sim->now);
}

static void
finish(sim_t *sim, query_t *query, bool answered)
{
	bool in_time = sim->now <= query->at + MS(sim->pattern->goal_ms);
	double share = (double)query->in / SHARDS;

	query->done = true;
	report_end(sim, query, answered && in_time);
	if (query->at < WARM_UP)
		return;
	sim->judged++;
	if (!answered || !in_time)
		return;
	sim->in_time++;
	sim->worth += share * share;
}

static void
check(sim_t *sim, query_t *query)
{
	usec_t goal = MS(sim->pattern->goal_ms);
	gather_state_t view = {
	    .total = SHARDS,
	    .in = (uint32_t)query->in,
	    .open = (uint32_t)(SHARDS - query->closed),
	    .least = LEAST_SHARE,
	    .goal_at = query->at + goal,
	    .final_at = query->at + FINAL_TIMES * goal,
	};
	gather_verdict_t verdict;

	if (query->done)
		return;
	verdict = gather_decide(&view, sim->now);
	if (verdict != GATHER_WAIT)
		finish(sim, query, verdict == GATHER_ANSWER);
}

static void
close_shard(query_t *query, int shard, bool answered)
{
	if (query->answered[shard] || query->failed[shard])
		return;
	query->answered[shard] = answered;
	query->failed[shard] = !answered;
	query->closed++;
	query->in += answered;
}

static bool
may_spend(sim_t *sim, query_t *query, int shard, double reserve)
{
	sim_node_t *node = &sim->nodes[query->node];

	return sim->policy == LOAD_FREE_HEDGES ||
	    retry_budget_take(
		&node->budgets[shard], &sim_limits, NODES, reserve, sim->now);
}

static void
reply(sim_t *sim, send_t *send)
{
	query_t *query = send->query;
	sim_node_t *node = &sim->nodes[query->node];
	replica_health_t *health = &node->health[send->shard][send->replica];

	if (--node->running[send->shard][send->replica] == 0)
		node->oldest[send->shard][send->replica] = 0;
	else
		node->oldest[send->shard][send->replica] = sim->now;
	if (!send->refused) {
		replica_health_answered(health, sim->now - send->sent_at,
		    latency_model_typical(node->latency), CONNECTIONS,
		    sim->now);
		latency_model_record(node->latency, sim->now - send->sent_at);
		close_shard(query, send->shard, true);
	} else {
		replica_health_shed(health,
		    (uint32_t)node->running[send->shard][send->replica] + 1,
		    sim->now);
		if (!query->done && !query->answered[send->shard] &&
		    (query->sends[send->shard] >= MAX_SENDS ||
			!may_spend(sim, query, send->shard, 0.0) ||
			!send_one(sim, query, send->shard)))
			close_shard(query, send->shard, false);
	}
	check(sim, query);
}

static void
hedge(sim_t *sim, query_t *query, int shard)
{
	if (query->done || query->answered[shard] || query->failed[shard] ||
	    query->sends[shard] >= MAX_SENDS ||
	    !may_spend(sim, query, shard, HEDGE_RESERVE))
		return;
	send_one(sim, query, shard);
}

static void
start_query(sim_t *sim)
{
	query_t *query = g_new0(query_t, 1);
	double gap = -log(1.0 - g_rand_double(sim->random)) /
	    sim->pattern->queries_per_s;

	g_ptr_array_add(sim->queries, query);
	query->at = sim->now;
	query->node = g_rand_int_range(sim->random, 0, NODES);
	if (sim->now < DURATION)
		add_event(sim, sim->now + (usec_t)(gap * USEC_PER_SEC),
		    EVENT_QUERY, NULL, NULL, 0);
	if (sim->policy != LOAD_NO_LIMIT &&
	    limiter_admit(sim->nodes[query->node].limiter, "index", "all", 1,
		sim->now) != 0) {
		query->done = true;
		sim->judged += query->at >= WARM_UP;
		return;
	}
	for (int shard = 0; shard < SHARDS; shard++) {
		sim->requests++;
		retry_budget_request(&sim->nodes[query->node].budgets[shard],
		    &sim_limits, sim->now);
		if (!send_one(sim, query, shard))
			close_shard(query, shard, false);
	}
	add_event(sim, sim->now + MS(sim->pattern->goal_ms), EVENT_GOAL, query,
	    NULL, 0);
	add_event(sim, sim->now + FINAL_TIMES * MS(sim->pattern->goal_ms),
	    EVENT_GOAL, query, NULL, 0);
}

static void
handle(sim_t *sim, const sim_event_t *event)
{
	switch (event->kind) {
	case EVENT_QUERY:
		start_query(sim);
		break;
	case EVENT_ARRIVE:
		arrive(sim, event->send);
		break;
	case EVENT_DONE:
		end_work(sim, event->send);
		break;
	case EVENT_REPLY:
		reply(sim, event->send);
		break;
	case EVENT_HEDGE:
		hedge(sim, event->query, event->shard);
		break;
	case EVENT_GOAL:
		check(sim, event->query);
		break;
	}
}

static void
set_up_servers(sim_t *sim)
{
	const load_pattern_t *pattern = sim->pattern;

	for (int shard = 0; shard < SHARDS; shard++) {
		for (int i = 0; i < REPLICAS; i++) {
			sim_server_t *server = &sim->servers[shard][i];

			g_queue_init(&server->waiting);
			server->slow = 1.0;
			if (g_rand_double(sim->random) < pattern->slow_share)
				server->slow = pattern->slow_times;
			if (g_rand_double(sim->random) < pattern->shed_share)
				server->shed = pattern->shed_part;
			server->silent =
			    g_rand_double(sim->random) < pattern->silent_share;
			server->pause_phase = MS(g_rand_int_range(
			    sim->random, 0, MAX(pattern->pause_every_ms, 1)));
		}
	}
}

static void
set_up_nodes(sim_t *sim)
{
	for (int i = 0; i < NODES; i++) {
		sim->nodes[i].latency =
		    latency_model_create(MS(sim->pattern->goal_ms));
		sim->nodes[i].limiter = limiter_create();
		for (int shard = 0; shard < SHARDS; shard++)
			for (int j = 0; j < REPLICAS; j++)
				replica_health_init(
				    &sim->nodes[i].health[shard][j],
				    CONNECTIONS, 0);
	}
}

load_result_t
load_model_run(const load_pattern_t *pattern, load_policy_t policy)
{
	sim_t *sim = g_new0(sim_t, 1);
	load_result_t result;
	GSequenceIter *first;

	sim->pattern = pattern;
	sim->policy = policy;
	sim->random = g_rand_new_with_seed(pattern->seed);
	sim->events = g_sequence_new(g_free);
	sim->queries = g_ptr_array_new_with_free_func(g_free);
	sim->sends = g_ptr_array_new_with_free_func(g_free);
	set_up_servers(sim);
	set_up_nodes(sim);
	add_event(sim, 0, EVENT_QUERY, NULL, NULL, 0);
	while (!g_sequence_iter_is_end(
	    first = g_sequence_get_begin_iter(sim->events))) {
		const sim_event_t *event = g_sequence_get(first);

		sim->now = event->at;
		handle(sim, event);
		g_sequence_remove(first);
	}
	result = (load_result_t){
	    .worth = sim->worth / MAX(sim->judged, 1),
	    .in_time = (double)sim->in_time / MAX(sim->judged, 1),
	    .useful_per_s = (double)sim->in_time /
		((double)(DURATION - WARM_UP) / USEC_PER_SEC),
	    .extra =
		(double)(sim->arrivals - sim->requests) / (double)sim->requests,
	    .queries = sim->judged,
	};
	for (int i = 0; i < NODES; i++) {
		latency_model_destroy(sim->nodes[i].latency);
		limiter_destroy(sim->nodes[i].limiter);
	}
	for (int shard = 0; shard < SHARDS; shard++)
		for (int i = 0; i < REPLICAS; i++)
			g_queue_clear(&sim->servers[shard][i].waiting);
	g_ptr_array_free(sim->queries, TRUE);
	g_ptr_array_free(sim->sends, TRUE);
	g_sequence_free(sim->events);
	g_rand_free(sim->random);
	g_free(sim);
	return result;
}
