/* Checks that no server ever runs more requests than its slot limit, and that
 * service recovers after random faults. Four nodes run the real ledger,
 * planner, membership and assignment modules on skewed clocks in a simulated
 * environment. BW_SEED runs a single seed; BW_STEPS sets the number of steps.
 */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/event.h"
#include "lib/model_nodes.h"

#define FAULT_PHASE_STEPS 4000

static void
inject_node_fault(model_t *model, node_t *node, usec_t duration)
{
	switch (world_random(&model->world, 5)) {
	case 0:
	case 1:
		if (!node->running || node->paused)
			return;
		node->paused = true;
		node->resumes_at = model->world.now + duration;
		return;
	case 2:
		model_end_node(model, node, duration);
		return;
	case 3:
		model_end_node(model, node, MS(10));
		return;
	default:
		node->stopping = true;
	}
}

static void
inject_world_fault(world_t *world, usec_t duration)
{
	uint64_t from = world_random(world, WORLD_ENDPOINTS);
	uint64_t to = world_random(world, WORLD_ENDPOINTS);
	usec_t until = world->now + duration;

	switch (world_random(world, 8)) {
	case 0:
		world->link_down_until[from][to] = until;
		return;
	case 1:
		for (int i = 0; i < WORLD_NODES; i++)
			world->link_down_until[from][i] = until;
		return;
	case 2:
		for (int i = 0; i < WORLD_NODES; i++)
			world->link_down_until[i][to] = until;
		return;
	case 3:
		world->platform_link_down_until[from % WORLD_NODES] = until;
		return;
	case 4:
		world->platform_down_until = until;
		return;
	case 5:
		world->platform_slow_until = until;
		return;
	case 6:
		world->lose_replies_until = until;
		return;
	default:
		world->network_slow_until = until;
		world->loss_percent = (uint32_t)world_random(world, 20);
	}
}

static void
inject_fault(model_t *model)
{
	world_t *world = &model->world;
	usec_t duration = world_random_chance(world, 70)
	    ? world_random_between(world, MS(20), SECONDS(1))
	    : world_random_between(world, SECONDS(1), SECONDS(15));

	if (world_random_chance(world, 50))
		inject_world_fault(world, duration);
	else
		inject_node_fault(model,
		    &model->nodes[world_random(world, WORLD_NODES)], duration);
}

static void
step_model(model_t *model)
{
	world_t *world = &model->world;

	model->step_count++;
	if (model->faults_enabled &&
	    world_random(world, model->fault_interval) == 0)
		inject_fault(model);
	world_step(world, world_random_between(world, MS(1), MS(9)));
	for (int i = 0; i < WORLD_NODES; i++)
		model_step_node(model, &model->nodes[i]);
}

/* Whether a serving node that knows the latest assignment may use all slots. */
static bool
is_fully_serving(model_t *model)
{
	for (int i = 0; i < WORLD_NODES; i++) {
		node_t *node = &model->nodes[i];

		if (node->running && !node->paused && model_is_serving(node) &&
		    node->assignment->version == model->world.version &&
		    ledger_limit(node->ledger, WORLD_SERVICE,
			model_local_time(model, node)) ==
			model->world.slot_limit)
			return true;
	}
	return false;
}

/* Ends all faults and waits until service is restored. The time limit covers
 * the proof by a delayed VM list that a process has ended, a few changes of the
 * assignment, and the waits until grown shares are usable. */
static void
recover_from_faults(model_t *model)
{
	world_t *world = &model->world;
	usec_t started_at = world->now;
	usec_t time_limit = MS(VM_LIST_LAG_MS) + world->vm_list_max_lag +
	    SECONDS(15) + 4 * (model->longest_deadline + MS(LOAN_MS));

	model->faults_enabled = false;
	world_heal(world);
	for (int i = 0; i < WORLD_NODES; i++) {
		node_t *node = &model->nodes[i];

		node->restarts_at = MIN(node->restarts_at, world->now);
		node->resumes_at = MIN(node->resumes_at, world->now);
	}
	while (!is_fully_serving(model)) {
		step_model(model);
		if (world->now - started_at > time_limit)
			fail_msg("no serving node may use all slots %.0f s "
				 "after the faults",
			    (double)time_limit / 1e6);
	}
	model->longest_recovery =
	    MAX(model->longest_recovery, world->now - started_at);
	model->faults_enabled = true;
}

static void
run_model(uint64_t seed, uint64_t steps)
{
	static const uint32_t slot_limits[] = {2, 3, 5};
	static const int deadlines[] = {100, 250, 1000, 10000};
	static const uint64_t intervals[] = {400, 60};
	model_t *model = g_new0(model_t, 1);
	world_callbacks_t callbacks = model_callbacks(model);

	printf("seed %llu\n", (unsigned long long)seed);
	world_init(&model->world, seed, slot_limits[seed % 3], &callbacks);
	model->longest_deadline = MS(deadlines[seed / 3 % 4]);
	/* With even seeds, long requests occupy the slots all the time;
	 * with odd seeds about half of the time, so that some requests start
	 * at the very end of a loan. */
	model->world.full_length_odds = seed % 2 == 0
	    ? 7000
	    : (uint32_t)(10000 * MS(15) / model->longest_deadline);
	model->demand_interval =
	    (uint64_t)(100 + model->longest_deadline / MS(5));
	model->fault_interval = intervals[seed / 12 % 2];
	model->faults_enabled = true;
	for (int i = 0; i < WORLD_NODES; i++) {
		node_t *node = &model->nodes[i];

		node->index = i;
		snprintf(node->name, sizeof(node->name), "entry-%d", i);
		snprintf(node->data_centre, sizeof(node->data_centre), "dc-%d",
		    i % 2);
		model_replace_vm(model, node);
	}
	for (int i = 0; i < WORLD_NODES; i++)
		model_start_node(model, &model->nodes[i]);
	while (model->step_count < steps) {
		for (int i = 0; i < FAULT_PHASE_STEPS; i++)
			step_model(model);
		recover_from_faults(model);
	}
	printf("limit %u deadline %lld ms: %llu steps, %llu dispatched, "
	       "%llu loans, %llu versions, %llu conflicts, %llu releases, "
	       "%llu proven gone, most running %u, longest recovery %.1f s\n",
	    model->world.slot_limit,
	    (long long)(model->longest_deadline / 1000),
	    (unsigned long long)model->step_count,
	    (unsigned long long)model->dispatched_count,
	    (unsigned long long)model->loan_count,
	    (unsigned long long)model->world.write_count,
	    (unsigned long long)model->world.conflict_count,
	    (unsigned long long)model->release_count,
	    (unsigned long long)model->gone_count, model->world.max_running,
	    (double)model->longest_recovery / 1e6);
	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
	/* A run that never used all slots would not have tested the limit. */
	assert_int_equal(model->world.max_running, model->world.slot_limit);
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
