/* Tests the concurrency limiter. Detects an overload in which nearly every
 * answer is partial, a limit that refuses normal load, collapses or does not
 * recover, and a light customer that is refused because of a heavy one. */
#include "lib/runner.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>

#include "bulrushwell/error.h"
#include "bulrushwell/limiter.h"
#include "lib/random.h"

#define MAX_STEPS 12

typedef enum { END, ADMIT, FINISH, LIMIT } step_kind_t;

/* An event at a time, with the expected result. */
typedef struct {
	step_kind_t kind;
	int at_ms;
	const char *index;
	const char *customer;
	uint32_t count;
	uint32_t weight;	   /* ADMIT */
	uint32_t admitted;	   /* ADMIT: of @count */
	limiter_outcome_t outcome; /* FINISH */
	int elapsed_ms;		   /* FINISH */
	double low, high;	   /* LIMIT */
} step_t;

typedef struct {
	const char *failure; /* what the sequence detects */
	step_t steps[MAX_STEPS];
} sequence_t;

#define STEP_AT(step_kind, at, index_name) \
	.kind = step_kind, .at_ms = at, .index = index_name
#define ADMIT_STEP(                                                       \
    at, index_name, customer_name, customer_weight, requested, expected)  \
	{                                                                 \
		STEP_AT(ADMIT, at, index_name),                           \
		    .customer = customer_name, .weight = customer_weight, \
		    .count = requested, .admitted = expected              \
	}
#define FINISH_STEP(at, index_name, customer_name, ended, how, duration)       \
	{                                                                      \
		STEP_AT(FINISH, at, index_name),                               \
		    .customer = customer_name, .count = ended, .outcome = how, \
		    .elapsed_ms = duration                                     \
	}
#define LIMIT_STEP(at, index_name, least, most)                            \
	{                                                                  \
		STEP_AT(LIMIT, at, index_name), .low = least, .high = most \
	}

static const sequence_t sequences[] = {
    {"an index without a limit refuses normal load",
	{ADMIT_STEP(0, "i", "a", 1, 500, 500),
	    FINISH_STEP(50, "i", "a", 500, LIMITER_COMPLETE, 50),
	    LIMIT_STEP(50, "i", 0, 0)}},
    {"single late shards decrease the limit",
	{ADMIT_STEP(0, "i", "a", 1, 100, 100),
	    FINISH_STEP(250, "i", "a", 1, LIMITER_OVERLOADED, 250),
	    FINISH_STEP(250, "i", "a", 31, LIMITER_COMPLETE, 250),
	    FINISH_STEP(250, "i", "a", 1, LIMITER_OVERLOADED, 250),
	    LIMIT_STEP(250, "i", 0, 0)}},
    {"failed shards, which no limit prevents, decrease it",
	{ADMIT_STEP(0, "i", "a", 1, 100, 100),
	    FINISH_STEP(100, "i", "a", 100, LIMITER_OTHER, 100),
	    LIMIT_STEP(100, "i", 0, 0)}},
    {"the first limit is not derived from the running queries",
	{ADMIT_STEP(0, "i", "a", 1, 101, 101),
	    FINISH_STEP(250, "i", "a", 2, LIMITER_OVERLOADED, 250),
	    LIMIT_STEP(250, "i", 69, 71)}},
    {"queries admitted before a decrease decrease the limit again",
	{ADMIT_STEP(0, "i", "a", 1, 101, 101),
	    FINISH_STEP(250, "i", "a", 101, LIMITER_OVERLOADED, 250),
	    LIMIT_STEP(250, "i", 69, 71), ADMIT_STEP(260, "i", "a", 1, 100, 70),
	    FINISH_STEP(510, "i", "a", 70, LIMITER_OVERLOADED, 250),
	    LIMIT_STEP(510, "i", 48, 50)}},
    {"the limit is increased while not in use, or by late answers",
	{ADMIT_STEP(0, "i", "a", 1, 101, 101),
	    FINISH_STEP(250, "i", "a", 101, LIMITER_OVERLOADED, 250),
	    ADMIT_STEP(1260, "i", "a", 1, 60, 60),
	    FINISH_STEP(1300, "i", "a", 60, LIMITER_COMPLETE, 40),
	    ADMIT_STEP(1310, "i", "a", 1, 100, 70),
	    FINISH_STEP(1500, "i", "a", 70, LIMITER_COMPLETE_LATE, 190),
	    LIMIT_STEP(1500, "i", 69, 71)}},
    {"the limit is not increased when answers are in time",
	{ADMIT_STEP(0, "i", "a", 1, 10, 10),
	    FINISH_STEP(250, "i", "a", 10, LIMITER_OVERLOADED, 250),
	    ADMIT_STEP(5000, "i", "a", 1, 20, 6),
	    FINISH_STEP(5050, "i", "a", 6, LIMITER_COMPLETE, 50),
	    LIMIT_STEP(5050, "i", 6.5, 9)}},
    {"an unused limit is not removed",
	{ADMIT_STEP(0, "i", "a", 1, 10, 10),
	    FINISH_STEP(250, "i", "a", 10, LIMITER_OVERLOADED, 250),
	    ADMIT_STEP(6000, "i", "a", 1, 100, 100),
	    LIMIT_STEP(6000, "i", 0, 0)}},
    {"a customer within its share is refused, or the excess has no bound",
	{ADMIT_STEP(0, "i", "heavy", 3, 11, 11),
	    FINISH_STEP(250, "i", "heavy", 11, LIMITER_OVERLOADED, 250),
	    LIMIT_STEP(250, "i", 7, 8), ADMIT_STEP(260, "i", "heavy", 3, 20, 7),
	    ADMIT_STEP(260, "i", "light", 1, 3, 1),
	    ADMIT_STEP(260, "i", "fair", 3, 9, 3),
	    ADMIT_STEP(260, "i", "m1", 1, 1, 1),
	    ADMIT_STEP(260, "i", "m2", 1, 1, 1),
	    ADMIT_STEP(260, "i", "m3", 1, 1, 1),
	    ADMIT_STEP(260, "i", "m4", 1, 1, 0)}},
    {"one overloaded index limits another",
	{ADMIT_STEP(0, "i", "a", 1, 10, 10), ADMIT_STEP(0, "j", "a", 1, 10, 10),
	    FINISH_STEP(250, "i", "a", 10, LIMITER_OVERLOADED, 250),
	    ADMIT_STEP(260, "i", "a", 1, 10, 6),
	    ADMIT_STEP(260, "j", "a", 1, 99, 99), LIMIT_STEP(260, "j", 0, 0)}},
};

static uint32_t
admit_many(limiter_t *limiter, const step_t *step)
{
	usec_t now = MS(step->at_ms);
	uint32_t admitted = 0;

	for (uint32_t i = 0; i < step->count; i++) {
		bool may_run = limiter_may_admit(
		    limiter, step->index, step->customer, step->weight, now);
		int error = limiter_admit(
		    limiter, step->index, step->customer, step->weight, now);

		admitted += error == 0 ? 1 : 0;
		/* If the two disagree, a waiting query is started and refused,
		 * or never started. Only limiter_admit() removes an unused
		 * limit, so it may admit what was not allowed before. */
		if (may_run && error != 0)
			fail_msg("limiter_admit() refuses an allowed query");
	}
	return admitted;
}

static void
finish_many(limiter_t *limiter, const step_t *step)
{
	for (uint32_t i = 0; i < step->count; i++)
		limiter_release(limiter, step->index, step->customer,
		    step->outcome, MS(step->elapsed_ms), MS(step->at_ms));
}

static void
run_step(limiter_t *limiter, const char *failure, const step_t *step)
{
	limiter_stats_t stats;
	uint32_t admitted;

	switch (step->kind) {
	case ADMIT:
		admitted = admit_many(limiter, step);
		if (admitted != step->admitted)
			fail_msg("%s: at %d ms %u of %s admitted, not %u",
			    failure, step->at_ms, admitted, step->customer,
			    step->admitted);
		break;
	case FINISH:
		finish_many(limiter, step);
		break;
	case LIMIT:
		limiter_get_stats(limiter, step->index, &stats);
		if (stats.limit < step->low || stats.limit > step->high)
			fail_msg("%s: at %d ms the limit is %g", failure,
			    step->at_ms, stats.limit);
		break;
	case END:
		break;
	}
}

static void
events_give_the_stated_limits(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sequences); i++) {
		const sequence_t *sequence = &sequences[i];
		limiter_t *limiter = limiter_create();

		for (size_t j = 0;
		     j < MAX_STEPS && sequence->steps[j].kind != END; j++)
			run_step(
			    limiter, sequence->failure, &sequence->steps[j]);
		limiter_destroy(limiter);
	}
}

/* Runs as many queries as the limit admits, up to @wanted, on a service that
 * always times out. */
static uint32_t
run_overloaded_round(limiter_t *limiter, uint32_t wanted, int at_ms)
{
	const step_t admit = ADMIT_STEP(at_ms, "i", "a", 1, wanted, 0);
	step_t finish =
	    FINISH_STEP(at_ms + 250, "i", "a", 0, LIMITER_OVERLOADED, 250);

	finish.count = admit_many(limiter, &admit);
	finish_many(limiter, &finish);
	return finish.count;
}

/* Detects that a service which is slow at any load drives the limit down to its
 * minimum, so that queries are refused which could be answered in part. */
static void
a_limit_that_does_not_help_is_taken_back(void **state)
{
	limiter_t *limiter = limiter_create();
	uint32_t rounds = 240, low_rounds = 0;
	limiter_stats_t stats;

	for (uint32_t i = 0; i < rounds; i++)
		if (run_overloaded_round(limiter, 20, (int)i * 260) < 10)
			low_rounds++;
	limiter_get_stats(limiter, "i", &stats);
	assert_true(stats.restored >= 3);
	if (low_rounds > rounds / 4)
		fail_msg(
		    "%u of %u rounds ran less than half", low_rounds, rounds);
	limiter_destroy(limiter);
}

/* Detects tables that grow without bound with the index names in requests. */
static void
tables_are_bounded(void **state)
{
	limiter_t *limiter = limiter_create();
	char name[32];

	for (int i = 0; i <= LIMITER_MAX_INDEXES; i++) {
		snprintf(name, sizeof(name), "i-%d", i);
		assert_int_equal(limiter_admit(limiter, name, "a", 1, 0),
		    i < LIMITER_MAX_INDEXES ? 0 : BW_E_FULL);
	}
	limiter_release(limiter, "i-0", "a", LIMITER_COMPLETE, 0, 0);
	assert_int_equal(limiter_admit(limiter, name, "a", 1, 0), 0);
	limiter_destroy(limiter);
}

/* The simulation has NODES limiters in front of one service with SLOTS slots.
 * The service starts queries in the order of arrival, also those that will be
 * late. Times are in ms, CAPACITY is in queries per second. */
#define NODES 4
#define SLOTS 12
#define SERVICE_MS 80
#define DEADLINE_MS 250
#define CAPACITY (SLOTS * 1000.0 / SERVICE_MS)
#define WARMUP_MS 5000
#define RUN_MS 25000
#define LIGHT_INTERVAL_MS 250

typedef struct {
	int node;
	const char *customer;
	int started_ms;
	int service_end_ms; /* 0: waiting; -1: not in a slot any more */
	bool answered;
} simulated_query_t;

typedef struct {
	limiter_t *nodes[NODES];
	random_t random;
	GQueue waiting; /* simulated_query_t */
	simulated_query_t *slots[SLOTS];
	GQueue queries;	 /* simulated_query_t by deadline, answered ones too */
	uint32_t useful; /* complete answers by the deadline, after WARMUP_MS */
	uint32_t light_refused;
} simulation_t;

static void
finish_query(simulation_t *simulation, simulated_query_t *query, int now)
{
	int elapsed = now - query->started_ms;
	limiter_outcome_t outcome = elapsed >= DEADLINE_MS ? LIMITER_OVERLOADED
	    : elapsed * 3 < DEADLINE_MS * 2		   ? LIMITER_COMPLETE
					    : LIMITER_COMPLETE_LATE;

	if (query->answered)
		return;
	query->answered = true;
	limiter_release(simulation->nodes[query->node], "i", query->customer,
	    outcome, MS(elapsed), MS(now));
	if (outcome != LIMITER_OVERLOADED && now >= WARMUP_MS)
		simulation->useful++;
}

static void
start_query(simulation_t *simulation, const char *customer, int now)
{
	int node = (int)random_below(&simulation->random, NODES);
	simulated_query_t *query;

	if (limiter_admit(simulation->nodes[node], "i", customer, 1, MS(now)) !=
	    0) {
		if (customer[0] == 'l')
			simulation->light_refused++;
		return;
	}
	query = g_new0(simulated_query_t, 1);
	*query = (simulated_query_t){
	    .node = node, .customer = customer, .started_ms = now};
	g_queue_push_tail(&simulation->queries, query);
	g_queue_push_tail(&simulation->waiting, query);
}

/* A query whose deadline passes in a slot occupies it for all of SERVICE_MS. */
static void
run_service(simulation_t *simulation, int now)
{
	for (size_t i = 0; i < SLOTS; i++) {
		simulated_query_t *query = simulation->slots[i];

		if (query != NULL && now >= query->service_end_ms) {
			finish_query(simulation, query, now);
			query->service_end_ms = -1;
			simulation->slots[i] = NULL;
		}
		while (simulation->slots[i] == NULL &&
		    (query = g_queue_pop_head(&simulation->waiting)) != NULL) {
			query->service_end_ms =
			    query->answered ? -1 : now + SERVICE_MS;
			simulation->slots[i] = query->answered ? NULL : query;
		}
	}
}

static void
expire_queries(simulation_t *simulation, int now)
{
	simulated_query_t *query;

	for (GList *i = simulation->queries.head; i != NULL; i = i->next) {
		query = i->data;
		if (query->started_ms + DEADLINE_MS > now)
			break;
		finish_query(simulation, query, now);
	}
	while ((query = g_queue_peek_head(&simulation->queries)) != NULL &&
	    query->answered && query->service_end_ms < 0)
		g_free(g_queue_pop_head(&simulation->queries));
}

static void
clear_simulation(simulation_t *simulation)
{
	g_queue_clear(&simulation->waiting);
	g_queue_clear_full(&simulation->queries, g_free);
	for (size_t i = 0; i < NODES; i++)
		limiter_destroy(simulation->nodes[i]);
}

/* Return: useful answers per second at @load_factor times CAPACITY. */
static double
simulate(double load_factor, uint64_t seed, uint32_t *light_refused)
{
	simulation_t simulation = {.random = {seed}};
	double next_arrival = 0;

	for (size_t i = 0; i < NODES; i++)
		simulation.nodes[i] = limiter_create();
	for (int now = 1; now <= RUN_MS; now++) {
		for (; next_arrival < now; next_arrival -= 1000 /
			 (load_factor * CAPACITY) *
			 log((random_below(&simulation.random, 1000000) + 1) /
			     1e6))
			start_query(&simulation, "heavy", now);
		if (now % LIGHT_INTERVAL_MS == 0)
			start_query(&simulation, "light", now);
		run_service(&simulation, now);
		expire_queries(&simulation, now);
	}
	*light_refused = simulation.light_refused;
	clear_simulation(&simulation);
	return simulation.useful * 1000.0 / (RUN_MS - WARMUP_MS);
}

/* Detects that overload makes nearly every answer partial, and that a light
 * customer is refused because of it. */
static void
overload_keeps_the_useful_answers(void **state)
{
	uint64_t first_seed = environment_number("BW_SEED", 1);

	for (uint64_t seed = first_seed; seed < first_seed + 5; seed++) {
		uint32_t refused_at_capacity, refused_at_double,
		    refused_at_half;
		double at_half = simulate(0.5, seed, &refused_at_half);
		double at_capacity = simulate(1.0, seed, &refused_at_capacity);
		double at_double = simulate(2.0, seed, &refused_at_double);

		print_message("seed %llu: useful/s %.1f at 0.5, %.1f at 1.0, "
			      "%.1f at 2.0 of %.1f\n",
		    (unsigned long long)seed, at_half, at_capacity, at_double,
		    CAPACITY);
		assert_true(at_half > 0.48 * CAPACITY);
		assert_true(at_capacity > 0.8 * CAPACITY);
		assert_true(at_double >= 0.9 * at_capacity);
		assert_int_equal(
		    refused_at_half + refused_at_capacity + refused_at_double,
		    0);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(events_give_the_stated_limits),
	    cmocka_unit_test(a_limit_that_does_not_help_is_taken_back),
	    cmocka_unit_test(tables_are_bounded),
	    cmocka_unit_test(overload_keeps_the_useful_answers),
	};

	return RUN_TESTS(argc, argv, tests);
}
