/* Tests the planner: a plan must not take a share from a process that may still
 * run, repeated plans must reach a stable assignment, and each service must get
 * two holders when enough nodes are usable. */
#include "lib/runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/allowance.h"
#include "bulrushwell/planner.h"

#define MAX_NODES 8

/* Each node is written as a letter for its name, a letter for its state ('r'
 * ready, 's' stopping but live, 'q' silent, 'g' gone) and the digit of its data
 * centre. All have incarnation 1. */
static planner_input_t
make_input(const char *text, planner_node_t *nodes, const char *self)
{
	planner_input_t input = {.cell = "muscat", .self_incarnation = 1};

	for (; text[0] != '\0'; text += text[3] == ' ' ? 4 : 3) {
		planner_node_t *node = &nodes[input.node_count++];

		*node = (planner_node_t){.incarnation = 1,
		    .live = text[1] == 'r' || text[1] == 's',
		    .ready = text[1] == 'r',
		    .gone = text[1] == 'g'};
		snprintf(node->node, NAME_SIZE, "%c", text[0]);
		snprintf(node->data_centre, NAME_SIZE, "dc-%c", text[2]);
	}
	input.nodes = nodes;
	snprintf(input.self, NAME_SIZE, "%s", self);
	return input;
}

/* Each holder is written as its name and the digit of its slots, in order. All
 * have incarnation 1. */
static assignment_t *
make_assignment(const char *holders, uint32_t slots)
{
	assignment_t *assignment = assignment_create("muscat");
	assigned_service_t *service =
	    assignment_add_service(assignment, "slotplan", slots, 40);

	for (; holders[0] != '\0'; holders += holders[2] == ' ' ? 3 : 2) {
		holder_t *holder = &service->holders[service->holder_count++];

		*holder = (holder_t){.incarnation = 1,
		    .slots = (uint32_t)(holders[1] - '0'),
		    .connections = 10};
		snprintf(holder->node, NAME_SIZE, "%c", holders[0]);
	}
	return assignment;
}

static void
print_holders(const assignment_t *assignment, char *text, size_t size)
{
	assigned_service_t *service =
	    assignment_find_service(assignment, "slotplan");

	text[0] = '\0';
	for (uint32_t i = 0; i < service->holder_count; i++) {
		size_t used = strlen(text);

		snprintf(text + used, size - used, "%s%s%u", i > 0 ? " " : "",
		    service->holders[i].node, service->holders[i].slots);
	}
}

static void
changes_are_legal(void **state)
{
	static const struct {
		const char *nodes; /* the planning node is a */
		const char *before;
		uint32_t slot_limit;
		bool releasable;
		const char *after; /* same as before if only units change */
	} cases[] = {
	    {"ar1", "", 2, false, "a1"},
	    {"ar1", "", 3, false, "a2"},
	    {"ar1", "", 1, false, "a1"},
	    {"as1", "", 2, false, ""},
	    {"ar1 br1", "a1", 2, false, "a1 b1"},
	    {"ar1 br1", "a2", 3, false, "a2 b1"},
	    {"ar1 br1", "a3", 5, false, "a3 b2"},
	    {"ar1 br1", "a1", 1, false, "a1"},
	    {"ar1 br1 cr2", "a1", 2, false, "a1 c1"},
	    {"ar1 br1 cr2", "a1 b1", 2, false, "a1 b1"},
	    /* A silent or stopping node keeps its share. */
	    {"ar1 bq1 cr1", "b1 a1", 2, false, "a1 b1"},
	    {"ar1 bq1 cr1", "a1 b1", 2, false, "a1 b1"},
	    {"ar1 bs1 cr1", "b1 a1", 2, false, "a1 b1"},
	    {"aq1 bs1", "a1 b1", 2, false, "b1 a1"},
	    {"ar1 cr1", "b1 a1", 2, false, "a1 b1"},
	    /* Only the share of a node that is proven gone is free. */
	    {"ar1 bg1 cr1", "b1 a1", 2, false, "a1 c1"},
	    {"ar1 bg1", "b2 a1", 3, false, "a1"},
	    {"ar1 bg1 cr1", "b2 a1", 3, false, "a1 c2"},
	    /* A share is released only by its holder, which does not get it
	     * again in the same plan. */
	    {"ar1 br1 cr1", "a1 b1", 2, true, "b1 c1"},
	    {"as1 br1", "b1 a1", 2, true, "b1"},
	    {"as1 br1", "a1 b1", 2, false, "b1 a1"},
	    /* Free slots are given out; a lower limit does not reduce
	     * shares. */
	    {"ar1 br1", "a1 b1", 4, false, "a3 b1"},
	    {"ar1 br1", "a3 b2", 3, false, "a3 b2"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		planner_service_t service = {
		    "slotplan", cases[i].slot_limit, 40};
		planner_node_t nodes[MAX_NODES];
		planner_input_t input = make_input(cases[i].nodes, nodes, "a");
		static const name_t name = "slotplan";
		assignment_t *before = make_assignment(cases[i].before, 5);
		assignment_t *after, *again;
		char seen[64];

		input.services = &service;
		input.service_count = 1;
		input.releasable = &name;
		input.releasable_count = cases[i].releasable;
		after = planner_plan(before, &input);
		print_holders(after != NULL ? after : before, seen, 64);
		if (strcmp(seen, cases[i].after) != 0)
			fail_msg("case %zu: %s, expected %s", i, seen,
			    cases[i].after);
		input.releasable_count = 0;
		if (!cases[i].releasable && after != NULL) {
			again = planner_plan(after, &input);
			assert_null(again);
		}
		assignment_destroy(before);
		assignment_destroy(after);
	}
}

static uint32_t
count_services(
    const assignment_t *assignment, const char *node, bool include_standby)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < assignment->service_count; i++)
		for (uint32_t j = 0; j < assignment->services[i].holder_count;
		     j++)
			count += (j == 0 || include_standby) &&
			    strcmp(assignment->services[i].holders[j].node,
				node) == 0;
	return count;
}

/* Lets all nodes plan in turn, releasing what they hold in excess, until no
 * node plans a change. */
static assignment_t *
plan_until_stable(
    assignment_t *assignment, const planner_input_t *fleet, int *rounds)
{
	static const char *names[] = {"a", "b", "c", "d", "e", "f"};
	size_t unchanged_count = 0;

	for (*rounds = 0; unchanged_count < fleet->node_count; (*rounds)++) {
		planner_input_t input = *fleet;
		name_t releasable;
		const char *excess;
		assignment_t *next;

		assert_true(*rounds < 1000);
		snprintf(input.self, NAME_SIZE, "%s",
		    names[(size_t)*rounds % input.node_count]);
		excess = planner_excess_service(assignment, &input);
		if (excess != NULL)
			snprintf(releasable, NAME_SIZE, "%s", excess);
		input.releasable = &releasable;
		input.releasable_count = excess != NULL;
		input.release_units = planner_excess_units(assignment, &input);
		next = planner_plan(assignment, &input);
		unchanged_count = next == NULL ? unchanged_count + 1 : 0;
		if (next != NULL) {
			assignment_destroy(assignment);
			assignment = next;
		}
	}
	return assignment;
}

/* Shares must be balanced again after nodes are added, fall silent or go. */
static void
fleets_come_to_rest_in_balance(void **state)
{
	static const char *fleets[] = {"ar1 br2", "ar1 br2 cr3",
	    "ar1 br2 cr3 dr1", "ar1 br2 cr3 dr1 er2 fr3", "ar1 br1 cr1 dr2",
	    "ar1 br2 cr3 dq1 er2 fr3", "ar1 br2 cr3 dg1 er2 fr3"};
	planner_service_t services[27];
	assignment_t *assignment = NULL;

	for (int i = 0; i < 27; i++) {
		services[i] =
		    (planner_service_t){.slots = 2, .connections = 25};
		snprintf(services[i].service, NAME_SIZE, "slotplan-%d", i);
	}
	for (size_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
		planner_node_t nodes[MAX_NODES];
		planner_input_t input = make_input(fleets[i], nodes, "a");
		uint32_t most = 0, fewest = UINT32_MAX;
		char message[128];
		int rounds;

		input.services = services;
		input.service_count = 27;
		if (assignment == NULL)
			assignment = planner_plan(NULL, &input);
		assignment = plan_until_stable(assignment, &input, &rounds);
		assert_int_equal(
		    assignment_check(assignment, message, sizeof(message)), 0);
		for (size_t j = 0; j < input.node_count; j++) {
			uint32_t held =
			    count_services(assignment, nodes[j].node, true);

			if (!nodes[j].live)
				continue;
			most = held > most ? held : most;
			fewest = held < fewest ? held : fewest;
		}
		print_message("%s: %d rounds, %u to %u shares\n", fleets[i],
		    rounds, fewest, most);
		assert_true(most - fewest <= 1);
		for (uint32_t j = 0; j < assignment->service_count; j++)
			assert_true(assignment->services[j].holder_count >= 2);
	}
	assignment_destroy(assignment);
}

static void
units_are_divided_and_never_taken(void **state)
{
	static const struct {
		const char *nodes;
		uint32_t before[3]; /* of a, b, c */
		uint32_t release;   /* by a */
		uint32_t after[3];
	} cases[] = {
	    {"ar1", {0, 0, 0}, 0, {64, 0, 0}},
	    {"ar1 br1", {0, 0, 0}, 0, {32, 32, 0}},
	    {"ar1 br1 cr1", {0, 0, 0}, 0, {22, 21, 21}},
	    {"ar1 br1 cr1", {64, 0, 0}, 0, {64, 0, 0}},
	    {"ar1 br1 cr1", {64, 0, 0}, 42, {22, 21, 21}},
	    {"ar1 bq1 cr1", {22, 21, 21}, 0, {22, 21, 21}},
	    {"ar1 bg1 cr1", {22, 21, 21}, 0, {32, 0, 32}},
	    {"as1 br1 cr1", {22, 21, 21}, 0, {22, 21, 21}},
	    {"as1 br1 cr1", {22, 21, 21}, 22, {0, 32, 32}},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		planner_node_t nodes[MAX_NODES];
		planner_input_t input = make_input(cases[i].nodes, nodes, "a");
		assignment_t *before = assignment_create("muscat");
		assignment_t *after;
		uint32_t first = 0;

		for (int j = 0; j < 3; j++) {
			assigned_member_t *member =
			    &before->members[before->member_count];

			if (cases[i].before[j] == 0)
				continue;
			snprintf(member->node, NAME_SIZE, "%c", 'a' + j);
			member->incarnation = 1;
			member->units =
			    allowance_unit_range(first, cases[i].before[j]);
			first += cases[i].before[j];
			before->member_count++;
		}
		/* The last units of a, which is the first member. */
		input.release_units = allowance_unit_range(
		    cases[i].before[0] - cases[i].release, cases[i].release);
		after = planner_plan(before, &input);
		for (int j = 0; j < 3; j++) {
			char name[2] = {(char)('a' + j), '\0'};

			assert_int_equal(
			    assignment_unit_count(
				after != NULL ? after : before, name, 1),
			    cases[i].after[j]);
		}
		assignment_destroy(before);
		assignment_destroy(after);
	}
}

static void
the_lowest_live_node_goes_first(void **state)
{
	planner_node_t nodes[MAX_NODES];
	planner_input_t input = make_input("ar1 bq1 cr1 dr1", nodes, "a");

	assert_int_equal(planner_write_delay(&input), 0);
	snprintf(input.self, NAME_SIZE, "d");
	assert_true(planner_write_delay(&input) > 0);
	input.release_units = 1;
	assert_int_equal(planner_write_delay(&input), 0);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(changes_are_legal),
	    cmocka_unit_test(fleets_come_to_rest_in_balance),
	    cmocka_unit_test(units_are_divided_and_never_taken),
	    cmocka_unit_test(the_lowest_live_node_goes_first),
	};

	return RUN_TESTS(argc, argv, tests);
}
