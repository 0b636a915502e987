/*
 * Tests the gateway's decisions one by one. They guard against a retry budget
 * that is exceeded or never refilled, a fan-out answer that waits without need
 * or lacks too many shards, records in the wrong order, and an attempt on a
 * server that should not get it.
 */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../source/base/loop_clock.h"
#include "../source/gateway/config_freshness.h"
#include "../source/gateway/gather.h"
#include "../source/gateway/latency_model.h"
#include "../source/gateway/placement.h"
#include "../source/gateway/retry_budget.h"
#include "../source/gateway/retry_schedule.h"
#include "../source/gateway/route_table.h"
#include "lib/random.h"

#define START SECONDS(1000)

static const retry_limits_t limits = {.ratio = 0.2,
    .window = SECONDS(10),
    .slack = 50};

/* All nodes together keep to the limit in every window, also during bursts. */
static void
nodes_together_keep_to_the_retry_budget(void **state)
{
	enum { NODES = 7, TICKS = 3000 };
	static uint32_t requests[TICKS], extra_requests[TICKS];
	retry_budget_t budgets[NODES] = {0};
	GRand *random = g_rand_new_with_seed(11);

	for (int tick = 0; tick < TICKS; tick++) {
		usec_t now = START + tick * MS(10);
		int burst = (tick / 300) % 3 == 1 ? 6 : 1;

		for (int node = 0; node < NODES; node++) {
			int arrivals = g_rand_int_range(random, 0, burst + 1);

			requests[tick] += (uint32_t)arrivals;
			for (int i = 0; i < arrivals; i++)
				retry_budget_record_request(
				    &budgets[node], &limits, now);
			for (int i = 0; i < 10; i++)
				extra_requests[tick] += retry_budget_take(
				    &budgets[node], &limits, NODES, 0.0, now);
		}
	}
	/* Windows of 1000 ticks. The requests that allow an extra request may
	 * be half a window older. */
	for (int from = 0; from + 1000 <= TICKS; from++) {
		uint32_t requests_in_window = 0, extra_in_window = 0,
			 earlier_requests = 0;

		for (int tick = from; tick < from + 1000; tick++) {
			requests_in_window += requests[tick];
			extra_in_window += extra_requests[tick];
			if (tick >= 500)
				earlier_requests += requests[tick - 500];
		}
		assert_true(extra_in_window <=
		    limits.ratio * MAX(requests_in_window, earlier_requests) +
			limits.slack);
	}
	g_rand_free(random);
}

static void
the_retry_budget_is_usable_and_refills(void **state)
{
	retry_budget_t budget = {0};
	int taken_without_reserve = 0, taken_later = 0, taken_with_reserve = 0;

	for (int i = 0; i < 1000; i++)
		retry_budget_record_request(&budget, &limits, START);
	while (retry_budget_take(&budget, &limits, 10, 0.5, START))
		taken_with_reserve++;
	while (retry_budget_take(&budget, &limits, 10, 0.0, START))
		taken_without_reserve++;
	assert_true(taken_with_reserve > 80 && taken_with_reserve < 110);
	assert_true(taken_with_reserve + taken_without_reserve > 170 &&
	    taken_with_reserve + taken_without_reserve <= 205);
	for (int i = 0; i < 1000; i++)
		retry_budget_record_request(
		    &budget, &limits, START + SECONDS(11));
	while (
	    retry_budget_take(&budget, &limits, 10, 0.0, START + SECONDS(11)))
		taken_later++;
	assert_true(taken_later > 170);
}

static void
a_fanout_answers_when_it_should(void **state)
{
	static const struct {
		const char *failure;
		gather_state_t progress;
		int at_ms;
		gather_decision_t decision;
	} cases[] = {
	    {"answers before the soft deadline while a shard is outstanding",
		{10, 9, 1, 0.89, MS(60), MS(400)}, 59, GATHER_WAIT},
	    {"waits beyond the soft deadline although it has enough shards",
		{10, 9, 1, 0.89, MS(60), MS(400)}, 60, GATHER_ANSWER},
	    {"answers after the soft deadline with too few shards",
		{10, 8, 2, 0.89, MS(60), MS(400)}, 61, GATHER_WAIT},
	    {"waits for a shard that has failed",
		{10, 9, 0, 0.89, MS(60), MS(400)}, 5, GATHER_ANSWER},
	    {"waits although too few shards can still answer",
		{10, 3, 5, 0.89, MS(60), MS(400)}, 5, GATHER_FAIL},
	    {"waits beyond the deadline", {10, 8, 2, 0.89, MS(60), MS(400)},
		400, GATHER_FAIL},
	    {"answers without any shard", {10, 0, 0, 0.0, MS(60), MS(400)}, 5,
		GATHER_FAIL},
	    {"fails by rounding although the minimum share is met",
		{9, 8, 0, 0.8888888888888888, MS(60), MS(400)}, 5,
		GATHER_ANSWER},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		if (gather_decide(&cases[i].progress, MS(cases[i].at_ms)) !=
		    cases[i].decision)
			fail_msg("%s", cases[i].failure);
}

static void
too_many_missing_shards_fail_a_fanout(void **state)
{
	const gather_state_t progress = {.total = 10, .min_share = 0.89};

	assert_false(gather_fails_without(&progress, 1));
	assert_true(gather_fails_without(&progress, 2));
}

static int
compare_descending(const void *a, const void *b)
{
	return memcmp(b, a, GATHER_RECORD_BYTES);
}

static void
records_are_the_greatest_in_falling_order(void **state)
{
	GRand *random = g_rand_new_with_seed(5);

	for (int round = 0; round < 200; round++) {
		uint32_t capacity = (uint32_t)g_rand_int_range(random, 1, 20);
		gather_records_t *records = gather_records_create(capacity);
		char all[60 * GATHER_RECORD_BYTES + 7];
		uint32_t count = (uint32_t)g_rand_int_range(random, 0, 60);

		for (size_t i = 0; i < sizeof(all); i++)
			all[i] = (char)g_rand_int_range(random, 0, 3);
		gather_records_add(
		    records, (slice_t){all, count * GATHER_RECORD_BYTES + 7});
		qsort(all, count, GATHER_RECORD_BYTES, compare_descending);
		assert_int_equal(records->count, MIN(capacity, count));
		assert_memory_equal(records->records, all,
		    records->count * GATHER_RECORD_BYTES);
		gather_records_destroy(records);
	}
	g_rand_free(random);
}

/* Guards against a peer's list that leaves out greater records, or is longer
 * than what was asked for. */
static void
only_falling_records_are_the_greatest(void **state)
{
	static const struct {
		const char *records; /* the last byte of each; others are 0 */
		uint32_t wanted;
		bool expected;
	} cases[] = {{"", 0, true}, {"a", 1, true}, {"a", 0, false},
	    {"cba", 3, true}, {"ccb", 3, true}, {"cba", 2, false},
	    {"bca", 3, false}, {"cab", 3, false}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char bytes[4 * GATHER_RECORD_BYTES] = {0};
		size_t count = strlen(cases[i].records);

		for (size_t j = 0; j < count; j++)
			bytes[(j + 1) * GATHER_RECORD_BYTES - 1] =
			    cases[i].records[j];
		if (gather_records_are_greatest(
			(slice_t){bytes, count * GATHER_RECORD_BYTES},
			cases[i].wanted) != cases[i].expected)
			fail_msg(
			    "\"%s\" of %u", cases[i].records, cases[i].wanted);
	}
}

/* Guards against an alarm that is repeated, missing or stays on. */
static void
an_unconfirmed_configuration_is_reported_once(void **state)
{
	config_freshness_t freshness = {.limit = SECONDS(3)};

	assert_false(config_freshness_check(&freshness, SECONDS(100)));
	config_freshness_confirm(&freshness, SECONDS(100), SECONDS(100));
	assert_false(config_freshness_check(&freshness, SECONDS(103)));
	assert_true(config_freshness_check(&freshness, SECONDS(104)));
	assert_false(config_freshness_check(&freshness, SECONDS(105)));
	/* Old news do not end it. */
	assert_false(
	    config_freshness_confirm(&freshness, SECONDS(101), SECONDS(105)));
	assert_true(
	    config_freshness_confirm(&freshness, SECONDS(105), SECONDS(106)));
	assert_int_equal(freshness.overdue_for, SECONDS(5));
	assert_int_equal(
	    config_freshness_age(&freshness, SECONDS(107)), SECONDS(2));
	assert_true(config_freshness_check(&freshness, SECONDS(109)));
	freshness.limit = 0;
	freshness.is_overdue = false;
	assert_false(config_freshness_check(&freshness, SECONDS(900)));
}

/* A route may want more records than fit into any fixed list. */
static void
no_wanted_record_is_left_out(void **state)
{
	enum { WANTED = 3000, SENT = 4000 };
	gather_records_t *records = gather_records_create(WANTED);
	GRand *random = g_rand_new_with_seed(6);
	char *all = g_malloc(SENT * GATHER_RECORD_BYTES);

	for (size_t i = 0; i < SENT * GATHER_RECORD_BYTES; i++)
		all[i] = (char)g_rand_int_range(random, 0, 256);
	gather_records_add(records, (slice_t){all, SENT * GATHER_RECORD_BYTES});
	qsort(all, SENT, GATHER_RECORD_BYTES, compare_descending);
	assert_int_equal(records->count, WANTED);
	assert_memory_equal(
	    records->records, all, WANTED * GATHER_RECORD_BYTES);
	gather_records_destroy(records);
	g_rand_free(random);
	g_free(all);
}

#define SERVERS 3

typedef struct {
	const char *failure; /* what a wrong choice would be */
	placement_candidate_t candidates[SERVERS];
	double slowness[SERVERS];
	double failure_rates[SERVERS];
	int ejected; /* bit mask of servers */
	int chosen;
	bool busy;
} choice_case_t;

#define BASE .slots = 2, .nodes_per_server = 1
#define CAN_SEND .can_send = true
#define CONNECTED .has_connection = true
#define LOCAL .same_data_centre = true
#define ASSIGNED .assigned = true
#define HEALTHY BASE, CAN_SEND, CONNECTED, LOCAL, ASSIGNED

static const choice_case_t choice_cases[] = {
    {"a slow server", {{HEALTHY}, {HEALTHY}, {HEALTHY}}, {5, 1, 5}, {0}, 0, 1,
	false},
    {"a failing server", {{HEALTHY}, {HEALTHY}, {HEALTHY}}, {1, 1, 1},
	{0.4, 0.4, 0}, 0, 2, false},
    {"a server stuck with an attempt",
	{{HEALTHY, .running = 1, .oldest_start = START - MS(90)},
	    {HEALTHY, .running = 1, .oldest_start = START - MS(2)},
	    {HEALTHY, .running = 1, .oldest_start = START - MS(80)}},
	{1, 1, 1}, {0}, 0, 1, false},
    {"a remote server although a local one is only a little slower",
	{{BASE, CAN_SEND, CONNECTED, ASSIGNED}, {HEALTHY},
	    {HEALTHY, .excluded = true}},
	{1, 1.8, 1}, {0}, 0, 1, false},
    {"a slow local server although a remote one is fast",
	{{BASE, CAN_SEND, CONNECTED, ASSIGNED}, {HEALTHY},
	    {HEALTHY, .excluded = true}},
	{1, 8, 1}, {0}, 0, 0, false},
    {"a server without a connection although another one has one",
	{{BASE, CAN_SEND, LOCAL, ASSIGNED}, {HEALTHY},
	    {HEALTHY, .excluded = true}},
	{1, 1, 1}, {0}, 0, 1, false},
    {"a server that is warming up",
	{{HEALTHY, .warming_up = true}, {HEALTHY},
	    {HEALTHY, .warming_up = true}},
	{1, 1, 1}, {0}, 0, 1, false},
    {"a server that is assigned to other nodes",
	{{BASE, CAN_SEND, CONNECTED, LOCAL}, {HEALTHY},
	    {BASE, CAN_SEND, CONNECTED, LOCAL}},
	{1, 1.5, 1}, {0}, 0, 1, false},
    {"a slow assigned server although an unassigned one is fast",
	{{BASE, CAN_SEND, CONNECTED, LOCAL}, {HEALTHY}, {HEALTHY}}, {1, 6, 6},
	{0}, 0, 0, false},
    {"a leaving server while another one is usable",
	{{HEALTHY, .leaving = true}, {HEALTHY}, {HEALTHY, .leaving = true}},
	{1, 9, 1}, {0}, 0, 1, false},
    {"no server although a leaving one is usable",
	{{HEALTHY, .excluded = true}, {HEALTHY, .leaving = true},
	    {HEALTHY, .excluded = true}},
	{1, 1, 1}, {0}, 0, 1, false},
    {"an ejected server", {{HEALTHY}, {HEALTHY}, {HEALTHY}}, {1, 1, 1}, {0}, 5,
	1, false},
    {"a leaving server while the others are only busy",
	{{BASE, CONNECTED, LOCAL, ASSIGNED}, {HEALTHY, .leaving = true},
	    {BASE, CONNECTED, LOCAL, ASSIGNED}},
	{1, 1, 1}, {0}, 0, PLACEMENT_NONE, true},
    {"a server although all are ejected", {{HEALTHY}, {HEALTHY}, {HEALTHY}},
	{1, 1, 1}, {0}, 7, PLACEMENT_NONE, false},
};

static void
the_best_server_is_chosen(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
		server_health_t health[SERVERS];
		placement_candidate_t candidates[SERVERS];
		bool busy;
		int chosen;

		for (int j = 0; j < SERVERS; j++) {
			candidates[j] = choice_cases[i].candidates[j];
			candidates[j].health = &health[j];
			server_health_init(&health[j], 4.0, START);
			health[j].slowness = choice_cases[i].slowness[j];
			health[j].failure_rate =
			    choice_cases[i].failure_rates[j];
			if ((choice_cases[i].ejected >> j & 1) != 0)
				server_health_connection_failed(
				    &health[j], START);
		}
		chosen =
		    placement_choose(candidates, SERVERS, MS(10), START, &busy);
		if (chosen != choice_cases[i].chosen ||
		    busy != choice_cases[i].busy)
			fail_msg("chose %s: %d, busy %d",
			    choice_cases[i].failure, chosen, busy);
	}
}

static void
an_ejected_server_comes_back_after_a_connection(void **state)
{
	server_health_t health;
	placement_candidate_t candidate = {HEALTHY, .health = &health};
	bool busy;

	server_health_init(&health, 4.0, START);
	server_health_connection_failed(&health, START);
	assert_int_equal(
	    placement_choose(&candidate, 1, MS(10), START + SECONDS(30), &busy),
	    PLACEMENT_NONE);
	server_health_connected(&health);
	assert_int_equal(
	    placement_choose(&candidate, 1, MS(10), START + SECONDS(30), &busy),
	    0);
}

/*
 * Return: the server to which a node keeps a connection. The nodes of a data
 * centre have consecutive numbers.
 */
static uint32_t
preferred_server(const uint32_t *server_centres, uint32_t count,
    uint32_t centres, uint32_t nodes, uint32_t node, uint32_t rotation)
{
	uint32_t centre = node * centres / nodes;
	uint32_t by_position[8] = {0}, position = 0;
	placement_order_t order = {.count = count, .rotation = node + rotation};

	for (uint32_t i = 0; i < count; i++)
		if (server_centres[i] == centre)
			by_position[position++] = i;
	order.local = position;
	for (uint32_t i = 0; i < count; i++)
		if (server_centres[i] != centre)
			by_position[position++] = i;
	for (uint32_t i = 0; i < count; i++)
		if (placement_rank(&order, i) == 0)
			return by_position[i];
	return by_position[0];
}

/*
 * Each node is assigned two of three servers, among them the local one if there
 * is one. Each server must get about as many nodes as the others.
 */
static void
nodes_are_spread_over_the_servers(void **state)
{
	enum { NODES = 90, SERVERS_EACH = 3, CENTRES = 4, ASSIGNED_EACH = 2 };
	uint32_t users[SERVERS_EACH] = {0};

	for (uint32_t node = 0; node < NODES; node++) {
		uint32_t centre = node % CENTRES;
		bool local = centre < SERVERS_EACH;
		placement_order_t order = {.count = SERVERS_EACH,
		    .local = local,
		    .rotation = node / CENTRES};
		uint32_t used = 0;

		for (uint32_t i = 0; i < SERVERS_EACH; i++) {
			/* Position 0 is the local server, if there is one. */
			uint32_t server =
			    local ? (centre + i) % SERVERS_EACH : i;
			bool assigned =
			    placement_rank(&order, i) < ASSIGNED_EACH;

			users[server] += assigned;
			used += assigned;
			if (local && i == 0)
				assert_true(assigned);
		}
		assert_int_equal(used, ASSIGNED_EACH);
	}
	for (int i = 0; i < SERVERS_EACH; i++)
		assert_true(users[i] >= 55 && users[i] <= 65);
}

/*
 * After all nodes have lost power and reconnect, servers still count their old
 * connections, so that each may get new ones from half of its limit at most.
 * Guards against nodes that prefer one or two of the three servers of a shard:
 * most new connections then exceed the limit and are reset for seconds.
 */
static void
old_connections_leave_room_for_new_ones(void **state)
{
	enum { SERVERS_EACH = 3, MAX_ROTATIONS = 54 };
	static const struct {
		uint32_t nodes;
		uint32_t centres;
		uint32_t max_connections;
		uint32_t server_centres[SERVERS_EACH];
	} cases[] = {
	    {91, 4, 78, {0, 1, 2}},
	    {91, 4, 78, {0, 0, 1}},
	    {91, 4, 78, {0, 0, 0}},
	    {77, 3, 70, {0, 1, 2}},
	    {77, 3, 70, {0, 0, 1}},
	    {77, 3, 70, {2, 2, 2}},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		for (uint32_t rotation = 0; rotation < MAX_ROTATIONS;
		     rotation++) {
			uint32_t connected[SERVERS_EACH] = {0};

			for (uint32_t node = 0; node < cases[i].nodes; node++)
				connected[preferred_server(
				    cases[i].server_centres, SERVERS_EACH,
				    cases[i].centres, cases[i].nodes, node,
				    rotation)]++;
			for (int j = 0; j < SERVERS_EACH; j++)
				if (2 * connected[j] > cases[i].max_connections)
					fail_msg("case %zu: %u nodes keep a "
						 "connection to a server",
					    i, connected[j]);
		}
}

typedef usec_t (*retry_policy_t)(retry_schedule_t *schedule, usec_t now);

static usec_t
retry_by_schedule(retry_schedule_t *schedule, usec_t now)
{
	return retry_schedule_next(schedule, MS(10), SECONDS(3), now);
}

/* Alternative for comparison: a short random time. */
static usec_t
retry_at_random(retry_schedule_t *schedule, usec_t now)
{
	return MS(30) + (usec_t)(g_random_double() * MS(120));
}

/*
 * Simulates a burst of 300 requests in one second on 10 slots that each request
 * occupies for 100 ms. Each refused client retries once.
 *
 * Return: the share of clients that were refused twice.
 */
static double
replay_burst(retry_policy_t policy)
{
	enum { CLIENTS = 300, SLOTS = 10, STEP_MS = 1, RUN_MS = 5000 };
	usec_t due[CLIENTS], busy_until[SLOTS] = {0};
	bool refused[CLIENTS] = {false};
	retry_schedule_t schedule = {0};
	uint32_t refused_twice = 0;

	for (int i = 0; i < CLIENTS; i++)
		due[i] = START + SECONDS(1) * i / CLIENTS;
	for (usec_t now = START; now < START + MS(RUN_MS); now += MS(STEP_MS))
		for (int i = 0; i < CLIENTS; i++) {
			int slot = 0;

			if (due[i] < now || due[i] >= now + MS(STEP_MS))
				continue;
			while (slot < SLOTS && busy_until[slot] > now)
				slot++;
			if (slot < SLOTS) {
				busy_until[slot] = now + MS(100);
			} else if (refused[i]) {
				refused_twice++;
			} else {
				refused[i] = true;
				due[i] = now + policy(&schedule, now);
			}
		}
	return (double)refused_twice / CLIENTS;
}

/* Clients that retry after a random time are refused again in the burst. */
static void
refused_clients_retry_when_slots_are_free(void **state)
{
	double scheduled = replay_burst(retry_by_schedule);
	double random_wait = replay_burst(retry_at_random);

	print_message("refused twice: scheduled %.2f, random %.2f\n", scheduled,
	    random_wait);
	assert_true(scheduled < random_wait / 2);
}

static void
retry_times_are_spread_within_their_bounds(void **state)
{
	retry_schedule_t schedule = {0};
	usec_t earlier = 0;

	for (int i = 0; i < 200; i++) {
		usec_t wait =
		    retry_schedule_next(&schedule, MS(10), SECONDS(1), START);

		if (i > 0 && i < 45)
			assert_int_equal(wait, earlier + MS(20));
		if (i > 50)
			assert_true(wait >= MS(500));
		assert_true(wait >= MS(30) && wait <= SECONDS(1));
		earlier = wait;
	}
}

static void
late_follows_the_typical_time_not_the_slow_servers(void **state)
{
	latency_model_t *model = latency_model_create(MS(200));

	assert_true(latency_model_late(model) >= MS(60));
	for (int i = 0; i < 1000; i++)
		latency_model_record(model, i % 5 == 0 ? MS(224) : MS(28));
	assert_true(latency_model_typical(model) <= MS(30));
	assert_true(latency_model_late(model) <= MS(70));
	latency_model_destroy(model);
}

typedef struct {
	loop_clock_t clock;
	usec_t seen;
} clock_probe_t;

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	clock_probe_t *probe = timer->data;

	probe->seen = loop_clock_now(loop);
}

/* Guards against deadlines by ev_now(), which jumps when the system clock is
 * set. */
static void
the_loop_clock_is_monotonic(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	clock_probe_t probe = {.seen = 0};
	usec_t before = clock_monotonic();
	ev_timer timer;

	loop_clock_start(&probe.clock, loop);
	ev_timer_init(&timer, on_timer, 0.01, 0.0);
	timer.data = &probe;
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	assert_true(probe.seen > before);
	assert_true(probe.seen <= clock_monotonic());
	ev_loop_destroy(loop);
}

static route_t
plain_route(const char *host, const char *prefix)
{
	route_t route = {
	    .name = g_strdup(prefix),
	    .host = g_strdup(host),
	    .prefix = g_strdup(prefix),
	    .targets = g_new0(route_target_t, 1),
	    .target_count = 1,
	};

	route.targets[0].service = g_strdup("s");
	return route;
}

static void
the_longest_prefix_of_the_host_wins(void **state)
{
	static const struct {
		const char *host, *target, *prefix; /* NULL: no route */
	} cases[] = {
	    {"a.test", "/x/1", "/x/"},
	    {"A.Test:8080", "/x/1", "/x/"},
	    {"a.test", "/x/y/1?q=/z/", "/x/y/"},
	    {"a.test", "/x/y", "/x/"},
	    {"a.test", "/x", NULL},
	    {"a.test", "/xy/1", NULL},
	    {"b.test", "/x/1", NULL},
	    {"a.test", "*", NULL},
	    {"", "/x/1", NULL},
	};
	route_table_t *table = route_table_create(1);
	route_t routes[] = {
	    plain_route("a.test", "/x/"), plain_route("a.test", "/x/y/")};

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		route_table_add(table, &routes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const route_t *route = route_table_match(table,
		    slice_from(cases[i].host), slice_from(cases[i].target));

		if (cases[i].prefix == NULL)
			assert_null(route);
		else
			assert_string_equal(route->prefix, cases[i].prefix);
	}
	route_table_unref(table);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(nodes_together_keep_to_the_retry_budget),
	    cmocka_unit_test(the_retry_budget_is_usable_and_refills),
	    cmocka_unit_test(a_fanout_answers_when_it_should),
	    cmocka_unit_test(too_many_missing_shards_fail_a_fanout),
	    cmocka_unit_test(records_are_the_greatest_in_falling_order),
	    cmocka_unit_test(only_falling_records_are_the_greatest),
	    cmocka_unit_test(an_unconfirmed_configuration_is_reported_once),
	    cmocka_unit_test(no_wanted_record_is_left_out),
	    cmocka_unit_test(the_best_server_is_chosen),
	    cmocka_unit_test(an_ejected_server_comes_back_after_a_connection),
	    cmocka_unit_test(nodes_are_spread_over_the_servers),
	    cmocka_unit_test(old_connections_leave_room_for_new_ones),
	    cmocka_unit_test(refused_clients_retry_when_slots_are_free),
	    cmocka_unit_test(retry_times_are_spread_within_their_bounds),
	    cmocka_unit_test(
		late_follows_the_typical_time_not_the_slow_servers),
	    cmocka_unit_test(the_loop_clock_is_monotonic),
	    cmocka_unit_test(the_longest_prefix_of_the_host_wins),
	};

	return RUN_TESTS(argc, argv, tests);
}
