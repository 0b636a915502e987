/* Guards the cap of a server against every combination of faults: several nodes
 * run the real ledger, planner, membership and assignment modules on skewed
 * clocks in modelled surroundings. BW_SEED and BW_STEPS run one seed longer. */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/event.h"
#include "lib/model_nodes.h"

#define CHAOS_STEPS 4000

static void
fault_node(model_t *model, node_t *node, usec_t length)
{
	switch (world_random(&model->world, 5)) {
	case 0:
	case 1:
		if (!node->runs || node->paused)
			return;
		node->paused = true;
		node->resumes_at = model->world.now + length;
		return;
	case 2:
		model_end_node(model, node, length);
		return;
	case 3:
		model_end_node(model, node, MS(10));
		return;
	default:
		node->stopping = true;
	}
}

static void
fault_world(world_t *world, usec_t length)
{
	uint64_t from = world_random(world, WORLD_PLACES);
	uint64_t to = world_random(world, WORLD_PLACES);
	usec_t until = world->now + length;

	switch (world_random(world, 8)) {
	case 0:
		world->cut_until[from][to] = until;
		return;
	case 1:
		for (int i = 0; i < WORLD_NODES; i++)
			world->cut_until[from][i] = until;
		return;
	case 2:
		for (int i = 0; i < WORLD_NODES; i++)
			world->cut_until[i][to] = until;
		return;
	case 3:
		world->platform_cut_until[from % WORLD_NODES] = until;
		return;
	case 4:
		world->down_until = until;
		return;
	case 5:
		world->platform_slow_until = until;
		return;
	case 6:
		world->lose_answers_until = until;
		return;
	default:
		world->slow_until = until;
		world->loss_percent = (uint32_t)world_random(world, 20);
	}
}

static void
inject_fault(model_t *model)
{
	world_t *world = &model->world;
	usec_t length = world_percent(world, 70)
	    ? world_between(world, MS(20), SECONDS(1))
	    : world_between(world, SECONDS(1), SECONDS(15));

	if (world_percent(world, 50))
		fault_world(world, length);
	else
		fault_node(model,
		    &model->nodes[world_random(world, WORLD_NODES)], length);
}

static void
step_model(model_t *model)
{
	world_t *world = &model->world;

	model->steps++;
	if (model->chaos && world_random(world, model->fault_interval) == 0)
		inject_fault(model);
	world_step(world, world_between(world, MS(1), MS(9)));
	for (int i = 0; i < WORLD_NODES; i++)
		model_step_node(model, &model->nodes[i]);
}

/* A serving node under load may use every slot. */
static bool
is_fully_served(model_t *model)
{
	for (int i = 0; i < WORLD_NODES; i++) {
		node_t *node = &model->nodes[i];

		if (node->runs && !node->paused && model_is_serving(node) &&
		    node->assignment->version == model->world.version &&
		    ledger_limit(node->ledger, WORLD_SERVICE,
			model_local_time(model, node)) == model->world.cap)
			return true;
	}
	return false;
}

/* The bound covers proof of death by a list that lags, a few changes of
 * assignment and the waits of grown shares. */
static void
settle(model_t *model)
{
	world_t *world = &model->world;
	usec_t began = world->now;
	usec_t bound = MS(VM_LIST_LAG_MS) + world->list_lag + SECONDS(15) +
	    4 * (model->longest + MS(LOAN_MS));

	model->chaos = false;
	world_heal(world);
	for (int i = 0; i < WORLD_NODES; i++) {
		node_t *node = &model->nodes[i];

		node->restarts_at = MIN(node->restarts_at, world->now);
		node->resumes_at = MIN(node->resumes_at, world->now);
	}
	while (!is_fully_served(model)) {
		step_model(model);
		if (world->now - began > bound)
			fail_msg("not fully served %.0f s after the faults",
			    (double)bound / 1e6);
	}
	model->slowest_settling =
	    MAX(model->slowest_settling, world->now - began);
	model->chaos = true;
}

static void
run_model(uint64_t seed, uint64_t steps)
{
	static const uint32_t caps[] = {2, 3, 5};
	static const int deadlines[] = {100, 250, 1000, 10000};
	static const uint64_t intervals[] = {400, 60};
	model_t *model = g_new0(model_t, 1);
	world_callbacks_t callbacks = model_callbacks(model);

	printf("seed %llu\n", (unsigned long long)seed);
	world_init(&model->world, seed, caps[seed % 3], &callbacks);
	model->longest = MS(deadlines[seed / 3 % 4]);
	/* Long requests hold a slot all the time, or about half of it, so that
	 * some begin at the very end of a loan. */
	model->world.full_odds =
	    seed % 2 == 0 ? 7000 : (uint32_t)(10000 * MS(15) / model->longest);
	model->demand_interval = (uint64_t)(100 + model->longest / MS(5));
	model->fault_interval = intervals[seed / 12 % 2];
	model->chaos = true;
	for (int i = 0; i < WORLD_NODES; i++) {
		node_t *node = &model->nodes[i];

		node->place = i;
		snprintf(node->name, sizeof(node->name), "entry-%d", i);
		snprintf(node->data_centre, sizeof(node->data_centre), "dc-%d",
		    i % 2);
		model_replace_vm(model, node);
	}
	for (int i = 0; i < WORLD_NODES; i++)
		model_start_node(model, &model->nodes[i]);
	while (model->steps < steps) {
		for (int i = 0; i < CHAOS_STEPS; i++)
			step_model(model);
		settle(model);
	}
	printf("cap %u deadline %lld ms: %llu steps, %llu dispatched, "
	       "%llu loans, %llu versions, %llu conflicts, %llu releases, "
	       "%llu proofs, most running %u, slowest settling %.1f s\n",
	    model->world.cap, (long long)(model->longest / 1000),
	    (unsigned long long)model->steps,
	    (unsigned long long)model->dispatched,
	    (unsigned long long)model->loans,
	    (unsigned long long)model->world.writes,
	    (unsigned long long)model->world.conflicts,
	    (unsigned long long)model->releases,
	    (unsigned long long)model->drops, model->world.most_running,
	    (double)model->slowest_settling / 1e6);
	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
	/* Otherwise the run has not tested sharing at all. */
	assert_int_equal(model->world.most_running, model->world.cap);
	for (int i = 0; i < WORLD_NODES; i++)
		model_end_node(model, &model->nodes[i], 0);
	world_clear(&model->world);
	g_free(model);
}

static void
caps_hold_and_service_recovers(void **state)
{
	const char *seed = getenv("BW_SEED");
	const char *steps_text = getenv("BW_STEPS");
	uint64_t steps =
	    steps_text != NULL ? strtoull(steps_text, NULL, 10) : 150000;

	if (seed != NULL) {
		run_model(strtoull(seed, NULL, 10), steps);
		return;
	}
	for (uint64_t i = 0; i < 24; i++)
		run_model(i, steps);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(caps_hold_and_service_recovers),
	};

	return RUN_TESTS(argc, argv, tests);
}
