/* Guards the limit of running queries: an overloaded index of which nearly
 * every answer is partial, a limit that refuses normal load, collapses or does
 * not recover, and a light customer that is refused because of a heavy one. */
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

/* What happens at a time, with the result that is expected. */
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
	const char *failure; /* that the sequence guards against */
	step_t steps[MAX_STEPS];
} sequence_t;

#define AT(step, at, name) .kind = step, .at_ms = at, .index = name
#define ADMITS(at, name, who, by, times, of_these)                        \
	{                                                                 \
		AT(ADMIT, at, name), .customer = who, .weight = by,       \
				     .count = times, .admitted = of_these \
	}
#define ENDS(at, name, who, times, how, after)                            \
	{                                                                 \
		AT(FINISH, at, name), .customer = who, .count = times,    \
				      .outcome = how, .elapsed_ms = after \
	}
#define LIMITS(at, name, least, most)                           \
	{                                                       \
		AT(LIMIT, at, name), .low = least, .high = most \
	}

static const sequence_t sequences[] = {
    {"a cold node refuses normal load",
	{ADMITS(0, "i", "a", 1, 500, 500),
	    ENDS(50, "i", "a", 500, LIMITER_COMPLETE, 50),
	    LIMITS(50, "i", 0, 0)}},
    {"a single late shard lowers the limit",
	{ADMITS(0, "i", "a", 1, 100, 100),
	    ENDS(250, "i", "a", 1, LIMITER_OVERLOADED, 250),
	    ENDS(250, "i", "a", 31, LIMITER_COMPLETE, 250),
	    ENDS(250, "i", "a", 1, LIMITER_OVERLOADED, 250),
	    LIMITS(250, "i", 0, 0)}},
    {"failed shards, which no limit prevents, lower it",
	{ADMITS(0, "i", "a", 1, 100, 100),
	    ENDS(100, "i", "a", 100, LIMITER_OTHER, 100),
	    LIMITS(100, "i", 0, 0)}},
    {"the limit does not start from the number that runs",
	{ADMITS(0, "i", "a", 1, 101, 101),
	    ENDS(250, "i", "a", 2, LIMITER_OVERLOADED, 250),
	    LIMITS(250, "i", 69, 71)}},
    {"queries of one round lower the limit more than once",
	{ADMITS(0, "i", "a", 1, 101, 101),
	    ENDS(250, "i", "a", 101, LIMITER_OVERLOADED, 250),
	    LIMITS(250, "i", 69, 71), ADMITS(260, "i", "a", 1, 100, 70),
	    ENDS(510, "i", "a", 70, LIMITER_OVERLOADED, 250),
	    LIMITS(510, "i", 48, 50)}},
    {"the limit rises although it is not in use, or answers come late",
	{ADMITS(0, "i", "a", 1, 101, 101),
	    ENDS(250, "i", "a", 101, LIMITER_OVERLOADED, 250),
	    ADMITS(1260, "i", "a", 1, 60, 60),
	    ENDS(1300, "i", "a", 60, LIMITER_COMPLETE, 40),
	    ADMITS(1310, "i", "a", 1, 100, 70),
	    ENDS(1500, "i", "a", 70, LIMITER_COMPLETE_LATE, 190),
	    LIMITS(1500, "i", 69, 71)}},
    {"the limit does not rise again",
	{ADMITS(0, "i", "a", 1, 10, 10),
	    ENDS(250, "i", "a", 10, LIMITER_OVERLOADED, 250),
	    ADMITS(5000, "i", "a", 1, 20, 6),
	    ENDS(5050, "i", "a", 6, LIMITER_COMPLETE, 50),
	    LIMITS(5050, "i", 6.5, 9)}},
    {"a limit that nothing needs stays",
	{ADMITS(0, "i", "a", 1, 10, 10),
	    ENDS(250, "i", "a", 10, LIMITER_OVERLOADED, 250),
	    ADMITS(6000, "i", "a", 1, 100, 100), LIMITS(6000, "i", 0, 0)}},
    {"a customer within its part is refused, or the overshoot has no bound",
	{ADMITS(0, "i", "heavy", 3, 11, 11),
	    ENDS(250, "i", "heavy", 11, LIMITER_OVERLOADED, 250),
	    LIMITS(250, "i", 7, 8), ADMITS(260, "i", "heavy", 3, 20, 7),
	    ADMITS(260, "i", "light", 1, 3, 1),
	    ADMITS(260, "i", "fair", 3, 9, 3), ADMITS(260, "i", "m1", 1, 1, 1),
	    ADMITS(260, "i", "m2", 1, 1, 1), ADMITS(260, "i", "m3", 1, 1, 1),
	    ADMITS(260, "i", "m4", 1, 1, 0)}},
    {"one overloaded index limits another",
	{ADMITS(0, "i", "a", 1, 10, 10), ADMITS(0, "j", "a", 1, 10, 10),
	    ENDS(250, "i", "a", 10, LIMITER_OVERLOADED, 250),
	    ADMITS(260, "i", "a", 1, 10, 6), ADMITS(260, "j", "a", 1, 99, 99),
	    LIMITS(260, "j", 0, 0)}},
};

static uint32_t
admit_many(limiter_t *limiter, const step_t *step)
{
	usec_t now = MS(step->at_ms);
	uint32_t admitted = 0;

	for (uint32_t i = 0; i < step->count; i++) {
		bool may = limiter_may_admit(
		    limiter, step->index, step->customer, step->weight, now);
		int error = limiter_admit(
		    limiter, step->index, step->customer, step->weight, now);

		admitted += error == 0 ? 1 : 0;
		/* A waiting query would start and be refused, or never start.
		 * The first query of a quiet time ends the limit. */
		if (may && error != 0)
			fail_msg("a query that may run is refused");
	}
	return admitted;
}

static void
finish_many(limiter_t *limiter, const step_t *step)
{
	for (uint32_t i = 0; i < step->count; i++)
		limiter_ended(limiter, step->index, step->customer,
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

/* One round of a service that always times out: as many queries as the limit
 * admits, up to @wanted. */
static uint32_t
run_hopeless_round(limiter_t *limiter, uint32_t wanted, int at_ms)
{
	const step_t admit = ADMITS(at_ms, "i", "a", 1, wanted, 0);
	step_t finish = ENDS(at_ms + 250, "i", "a", 0, LIMITER_OVERLOADED, 250);

	finish.count = admit_many(limiter, &admit);
	finish_many(limiter, &finish);
	return finish.count;
}

/* Guards against a service that is slow at any load: the limit would fall to
 * the floor and refuse queries that could be answered in part. */
static void
a_limit_that_does_not_help_is_taken_back(void **state)
{
	limiter_t *limiter = limiter_create();
	uint32_t rounds = 240, low = 0;
	limiter_stats_t stats;

	for (uint32_t i = 0; i < rounds; i++)
		if (run_hopeless_round(limiter, 20, (int)i * 260) < 10)
			low++;
	limiter_get_stats(limiter, "i", &stats);
	assert_true(stats.restored >= 3);
	if (low > rounds / 4)
		fail_msg("%u of %u rounds ran less than half", low, rounds);
	limiter_destroy(limiter);
}

/* Guards against tables that grow with the names that callers send. */
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
	limiter_ended(limiter, "i-0", "a", LIMITER_COMPLETE, 0, 0);
	assert_int_equal(limiter_admit(limiter, name, "a", 1, 0), 0);
	limiter_destroy(limiter);
}

/* The simulation: NODES limiters in front of one service of SLOTS slots, which
 * starts queries in the order of arrival and cannot tell which will be late. */
#define NODES 4
#define SLOTS 12
#define SERVICE_MS 80
#define DEADLINE_MS 250
#define CAPACITY (SLOTS * 1000.0 / SERVICE_MS)
#define WARM_MS 5000
#define RUN_MS 25000
#define LIGHT_GAP_MS 250

typedef struct {
	int node;
	const char *customer;
	int begun;
	int ends; /* of its service; 0: it waits */
	bool answered;
} work_t;

typedef struct {
	limiter_t *nodes[NODES];
	random_t random;
	GQueue waiting; /* work_t */
	work_t *slots[SLOTS];
	GQueue open; /* work_t by deadline, answered ones included */
	uint32_t useful;
	uint32_t light_refused;
} world_t;

static void
end_work(world_t *world, work_t *work, int now)
{
	int elapsed = now - work->begun;
	limiter_outcome_t outcome = elapsed >= DEADLINE_MS ? LIMITER_OVERLOADED
	    : elapsed * 3 < DEADLINE_MS * 2		   ? LIMITER_COMPLETE
					    : LIMITER_COMPLETE_LATE;

	if (work->answered)
		return;
	work->answered = true;
	limiter_ended(world->nodes[work->node], "i", work->customer, outcome,
	    MS(elapsed), MS(now));
	if (outcome != LIMITER_OVERLOADED && now >= WARM_MS)
		world->useful++;
}

static void
offer_work(world_t *world, const char *customer, int now)
{
	int node = (int)random_below(&world->random, NODES);
	work_t *work;

	if (limiter_admit(world->nodes[node], "i", customer, 1, MS(now)) != 0) {
		if (customer[0] == 'l')
			world->light_refused++;
		return;
	}
	work = g_new0(work_t, 1);
	*work = (work_t){.node = node, .customer = customer, .begun = now};
	g_queue_push_tail(&world->open, work);
	g_queue_push_tail(&world->waiting, work);
}

/* A query that is answered at its deadline keeps its slot to the end. */
static void
serve(world_t *world, int now)
{
	for (size_t i = 0; i < SLOTS; i++) {
		work_t *work = world->slots[i];

		if (work != NULL && now >= work->ends) {
			end_work(world, work, now);
			work->ends = -1;
			world->slots[i] = NULL;
		}
		while (world->slots[i] == NULL &&
		    (work = g_queue_pop_head(&world->waiting)) != NULL) {
			work->ends = work->answered ? -1 : now + SERVICE_MS;
			world->slots[i] = work->answered ? NULL : work;
		}
	}
}

static void
expire(world_t *world, int now)
{
	work_t *work;

	for (GList *i = world->open.head; i != NULL; i = i->next) {
		work = i->data;
		if (work->begun + DEADLINE_MS > now)
			break;
		end_work(world, work, now);
	}
	while ((work = g_queue_peek_head(&world->open)) != NULL &&
	    work->answered && work->ends < 0)
		g_free(g_queue_pop_head(&world->open));
}

static void
close_world(world_t *world)
{
	g_queue_clear(&world->waiting);
	g_queue_clear_full(&world->open, g_free);
	for (size_t i = 0; i < NODES; i++)
		limiter_destroy(world->nodes[i]);
}

/* Useful answers a second at @factor of the capacity. */
static double
simulate(double factor, uint64_t seed, uint32_t *light_refused)
{
	world_t world = {.random = {seed}};
	double due = 0;

	for (size_t i = 0; i < NODES; i++)
		world.nodes[i] = limiter_create();
	for (int now = 1; now <= RUN_MS; now++) {
		for (; due < now; due -= 1000 / (factor * CAPACITY) *
			 log((random_below(&world.random, 1000000) + 1) / 1e6))
			offer_work(&world, "heavy", now);
		if (now % LIGHT_GAP_MS == 0)
			offer_work(&world, "light", now);
		serve(&world, now);
		expire(&world, now);
	}
	*light_refused = world.light_refused;
	close_world(&world);
	return world.useful * 1000.0 / (RUN_MS - WARM_MS);
}

/* Guards against an overload that makes nearly every answer partial, and a
 * light customer that is refused because of it. */
static void
overload_keeps_the_useful_answers(void **state)
{
	uint64_t first = environment_number("BW_SEED", 1);

	for (uint64_t seed = first; seed < first + 5; seed++) {
		uint32_t refused_one, refused_two, refused_half;
		double half = simulate(0.5, seed, &refused_half);
		double one = simulate(1.0, seed, &refused_one);
		double two = simulate(2.0, seed, &refused_two);

		print_message("seed %llu: useful/s %.1f at 0.5, %.1f at 1.0, "
			      "%.1f at 2.0 of %.1f\n",
		    (unsigned long long)seed, half, one, two, CAPACITY);
		assert_true(half > 0.48 * CAPACITY);
		assert_true(one > 0.8 * CAPACITY);
		assert_true(two >= 0.9 * one);
		assert_int_equal(refused_half + refused_one + refused_two, 0);
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
