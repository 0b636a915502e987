#include "bulrushwell/planner.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/event.h"
#include "planner_view.h"

/* Connections are divided so that four incarnations can hold some at once. */
#define CONNECTION_PARTS 4

/* Between the proposals of two nodes; longer than a write and its watch take
 * in normal operation, so that usually one node writes. */
#define PLANNER_STEP_MS 100

static bool
is_self(const planner_input_t *input, const char *node, uint64_t incarnation)
{
	return incarnation == input->self_incarnation &&
	    strcmp(node, input->self) == 0;
}

static void
remove_member(assignment_t *draft, uint32_t at)
{
	draft->member_count--;
	memmove(&draft->members[at], &draft->members[at + 1],
	    (draft->member_count - at) * sizeof(draft->members[0]));
}

static assigned_member_t *
find_or_add_member(assignment_t *draft, const planner_node_t *node)
{
	uint32_t at = 0;

	while (at < draft->member_count &&
	    strcmp(draft->members[at].node, node->node) < 0)
		at++;
	if (at < draft->member_count &&
	    strcmp(draft->members[at].node, node->node) == 0)
		return draft->members[at].incarnation == node->incarnation
		    ? &draft->members[at]
		    : NULL;
	if (draft->member_count == ASSIGNMENT_MAX_MEMBERS)
		return NULL;
	memmove(&draft->members[at + 1], &draft->members[at],
	    (draft->member_count - at) * sizeof(draft->members[0]));
	draft->member_count++;
	draft->members[at] =
	    (assigned_member_t){.incarnation = node->incarnation};
	g_strlcpy(draft->members[at].node, node->node, NAME_SIZE);
	return &draft->members[at];
}

static uint64_t
drop_members(assignment_t *draft, const planner_input_t *input)
{
	uint64_t held = 0;

	for (uint32_t i = draft->member_count; i-- > 0;) {
		assigned_member_t *member = &draft->members[i];

		if (view_is_gone(input, member->node, member->incarnation))
			member->units = 0;
		else if (is_self(input, member->node, member->incarnation))
			member->units &= ~input->release_units;
		held |= member->units;
		if (member->units == 0)
			remove_member(draft, i);
	}
	return held;
}

/* Whether a node may be given units: not this node while it releases some. */
static bool
takes_units(const planner_input_t *input, const planner_node_t *node)
{
	return view_is_usable(input, node) &&
	    (input->release_units == 0 || strcmp(node->node, input->self) != 0);
}

static const planner_node_t *
fewest_units(const assignment_t *draft, const planner_input_t *input)
{
	const planner_node_t *best = NULL;
	uint32_t best_units = 0;

	for (size_t i = 0; i < input->node_count; i++) {
		const planner_node_t *node = &input->nodes[i];
		uint32_t units =
		    assignment_units(draft, node->node, node->incarnation);

		if (!takes_units(input, node))
			continue;
		if (best == NULL || units < best_units ||
		    (units == best_units &&
			strcmp(node->node, best->node) < 0)) {
			best = node;
			best_units = units;
		}
	}
	return best;
}

static void
plan_units(assignment_t *draft, const planner_input_t *input)
{
	uint64_t held = drop_members(draft, input);

	for (int unit = 0; unit < ASSIGNMENT_UNITS; unit++) {
		const planner_node_t *node = fewest_units(draft, input);
		uint64_t bit = (uint64_t)1 << unit;
		assigned_member_t *member;

		if ((held & bit) != 0)
			continue;
		if (node == NULL)
			return;
		member = find_or_add_member(draft, node);
		if (member == NULL)
			return;
		member->units |= bit;
	}
}

static uint32_t
count_usable_holders(
    const planner_input_t *input, const assigned_service_t *service)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < service->holder_count; i++)
		count += view_usable_node(input, service->holders[i].node,
			     service->holders[i].incarnation) != NULL;
	return count;
}

static void
remove_holder(assigned_service_t *service, uint32_t at)
{
	service->holder_count--;
	memmove(&service->holders[at], &service->holders[at + 1],
	    (service->holder_count - at) * sizeof(service->holders[0]));
}

static bool
is_releasable(const planner_input_t *input, const char *service)
{
	for (size_t i = 0; i < input->releasable_count; i++)
		if (strcmp(input->releasable[i], service) == 0)
			return true;
	return false;
}

static void
drop_holders(assigned_service_t *service, const planner_input_t *input)
{
	bool releasable = is_releasable(input, service->service);

	for (uint32_t i = service->holder_count; i-- > 0;) {
		const holder_t *holder = &service->holders[i];

		if (view_is_gone(input, holder->node, holder->incarnation) ||
		    (releasable &&
			is_self(input, holder->node, holder->incarnation)))
			remove_holder(service, i);
	}
}

static void
sum_shares(
    const assigned_service_t *service, uint32_t *slots, uint32_t *connections)
{
	*slots = 0;
	*connections = 0;
	for (uint32_t i = 0; i < service->holder_count; i++) {
		*slots += service->holders[i].slots;
		*connections += service->holders[i].connections;
	}
}

/* A lower cap waits until the holders' shares fit into it. */
static void
adopt_caps(assigned_service_t *service, const planner_service_t *wanted)
{
	uint32_t slots, connections;

	sum_shares(service, &slots, &connections);
	service->slots = MAX(wanted->slots, slots);
	service->connections = MAX(wanted->connections, connections);
}

static bool
add_holder(planner_view_t *view, assigned_service_t *service)
{
	const planner_input_t *input = view->input;
	const char *except =
	    is_releasable(input, service->service) ? input->self : NULL;
	planner_candidate_t chosen;
	holder_t *holder;
	uint32_t slots, connections, share, part;

	sum_shares(service, &slots, &connections);
	share = service->slots - slots;
	if (slots == 0)
		share = (service->slots + 1) / 2;
	part = MAX(service->connections / CONNECTION_PARTS, share);
	part = MIN(part, service->connections - connections);
	share = MIN(share, part);
	if (share == 0 || service->holder_count == ASSIGNMENT_MAX_HOLDERS)
		return false;
	chosen = view_choose_holder(view, service, except);
	if (chosen.node == NULL)
		return false;
	holder = &service->holders[service->holder_count++];
	*holder = (holder_t){.incarnation = chosen.node->incarnation,
	    .slots = share,
	    .connections = part};
	g_strlcpy(holder->node, chosen.node->node, sizeof(holder->node));
	view->held[chosen.node - input->nodes]++;
	return true;
}

/* With two live holders, a share that became free goes to the smaller one. */
static void
grow_holder(assigned_service_t *service, const planner_input_t *input)
{
	uint32_t slots, connections, free_slots;
	holder_t *smallest = NULL;

	sum_shares(service, &slots, &connections);
	free_slots = service->slots - slots;
	if (free_slots == 0 || is_releasable(input, service->service))
		return;
	for (uint32_t i = 0; i < service->holder_count; i++) {
		holder_t *holder = &service->holders[i];

		if (view_usable_node(
			input, holder->node, holder->incarnation) &&
		    (smallest == NULL || holder->slots < smallest->slots))
			smallest = holder;
	}
	if (smallest == NULL)
		return;
	free_slots = MIN(free_slots,
	    smallest->connections + service->connections - connections -
		smallest->slots);
	smallest->slots += free_slots;
	smallest->connections = MAX(smallest->connections, smallest->slots);
}

/* How well a holder can serve: live and ready, live but stopping, silent. */
static int
service_rank(const planner_input_t *input, const holder_t *holder)
{
	const planner_node_t *node = view_find_node(input, holder->node);

	if (node == NULL || node->incarnation != holder->incarnation ||
	    node->gone || !node->live)
		return 0;
	return view_is_usable(input, node) ? 2 : 1;
}

static void
move_to_front(assigned_service_t *service, uint32_t at)
{
	holder_t moved = service->holders[at];

	memmove(&service->holders[1], &service->holders[0],
	    at * sizeof(service->holders[0]));
	service->holders[0] = moved;
}

static void
order_holders(assigned_service_t *service, const planner_input_t *input)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < service->holder_count; i++)
		if (service_rank(input, &service->holders[i]) >
		    service_rank(input, &service->holders[best]))
			best = i;
	if (best != 0)
		move_to_front(service, best);
	/* The standby is the next best one. */
	for (uint32_t i = 2; i < service->holder_count; i++)
		if (service_rank(input, &service->holders[i]) >
		    service_rank(input, &service->holders[1])) {
			holder_t second = service->holders[1];

			service->holders[1] = service->holders[i];
			service->holders[i] = second;
		}
}

/* Swaps serving node and standby when the first serves clearly more services;
 * each swap lowers the sum of squares of the counts, so this ends. */
static bool
balance_service(planner_view_t *view, assigned_service_t *service)
{
	const planner_input_t *input = view->input;
	const planner_node_t *first, *second;
	uint32_t *served = view->served;

	if (service->holder_count < WANTED_HOLDERS)
		return false;
	first = view_usable_node(
	    input, service->holders[0].node, service->holders[0].incarnation);
	second = view_usable_node(
	    input, service->holders[1].node, service->holders[1].incarnation);
	if (first == NULL || second == NULL ||
	    served[first - input->nodes] <
		served[second - input->nodes] + CLEAR_IMBALANCE)
		return false;
	move_to_front(service, 1);
	served[first - input->nodes]--;
	served[second - input->nodes]++;
	return true;
}

static void
balance_services(planner_view_t *view)
{
	assignment_t *draft = view->assignment;
	bool changed = true;

	while (changed) {
		changed = false;
		for (uint32_t i = 0; i < draft->service_count; i++)
			if (balance_service(view, &draft->services[i]))
				changed = true;
	}
}

static void
add_services(assignment_t *draft, const planner_input_t *input)
{
	for (size_t i = 0; i < input->service_count; i++) {
		const planner_service_t *wanted = &input->services[i];

		if (assignment_find_service(draft, wanted->service) == NULL)
			assignment_add_service(draft, wanted->service,
			    wanted->slots, wanted->connections);
	}
}

static void
give_out_shares(planner_view_t *view, const planner_service_t *wanted)
{
	const planner_input_t *input = view->input;
	assigned_service_t *service =
	    assignment_find_service(view->assignment, wanted->service);

	if (service == NULL)
		return;
	adopt_caps(service, wanted);
	while (count_usable_holders(input, service) < WANTED_HOLDERS &&
	    add_holder(view, service))
		continue;
	if (count_usable_holders(input, service) >= WANTED_HOLDERS)
		grow_holder(service, input);
}

/* Every service has an entry before shares are given out, so that the even part
 * of view_choose_holder() counts all of them. */
static void
plan_services(assignment_t *draft, const planner_input_t *input)
{
	planner_view_t view;

	add_services(draft, input);
	for (uint32_t i = 0; i < draft->service_count; i++)
		drop_holders(&draft->services[i], input);
	view_init(&view, input, draft);
	for (size_t i = 0; i < input->service_count; i++)
		give_out_shares(&view, &input->services[i]);
	for (uint32_t i = 0; i < draft->service_count; i++)
		order_holders(&draft->services[i], input);
	view_count(&view);
	balance_services(&view);
	view_clear(&view);
}

static bool
is_same_service(const assigned_service_t *a, const assigned_service_t *b)
{
	if (strcmp(a->service, b->service) != 0 || a->slots != b->slots ||
	    a->connections != b->connections ||
	    a->holder_count != b->holder_count)
		return false;
	for (uint32_t i = 0; i < a->holder_count; i++)
		if (strcmp(a->holders[i].node, b->holders[i].node) != 0 ||
		    a->holders[i].incarnation != b->holders[i].incarnation ||
		    a->holders[i].slots != b->holders[i].slots ||
		    a->holders[i].connections != b->holders[i].connections)
			return false;
	return true;
}

static bool
is_same(const assignment_t *a, const assignment_t *b)
{
	if (a->member_count != b->member_count ||
	    a->service_count != b->service_count)
		return false;
	for (uint32_t i = 0; i < a->member_count; i++)
		if (strcmp(a->members[i].node, b->members[i].node) != 0 ||
		    a->members[i].incarnation != b->members[i].incarnation ||
		    a->members[i].units != b->members[i].units)
			return false;
	for (uint32_t i = 0; i < a->service_count; i++)
		if (!is_same_service(&a->services[i], &b->services[i]))
			return false;
	return true;
}

assignment_t *
planner_plan(const assignment_t *current, const planner_input_t *input)
{
	assignment_t *draft = current != NULL ? assignment_copy(current)
					      : assignment_create(input->cell);
	char why[256] = "";

	draft->version = 0;
	draft->token[0] = '\0';
	plan_units(draft, input);
	plan_services(draft, input);
	INVARIANT(assignment_check(draft, why, sizeof(why)) == 0,
	    "planned assignment: %s", why);
	if (current != NULL ? !is_same(current, draft)
			    : draft->member_count + draft->service_count > 0)
		return draft;
	assignment_destroy(draft);
	return NULL;
}

usec_t
planner_delay(const planner_input_t *input)
{
	usec_t rank = 0;

	if (input->stopping || input->releasable_count > 0 ||
	    input->release_units > 0)
		return 0;
	for (size_t i = 0; i < input->node_count; i++)
		if (input->nodes[i].live && !input->nodes[i].gone &&
		    strcmp(input->nodes[i].node, input->self) < 0)
			rank++;
	return rank * MS(PLANNER_STEP_MS);
}

/* The highest @count of the units in @bits. */
static uint64_t
highest_units(uint64_t bits, uint32_t count)
{
	uint32_t keep = (uint32_t)__builtin_popcountll(bits) - count;

	for (; keep > 0; keep--)
		bits &= bits - 1;
	return bits;
}

uint64_t
planner_excess_units(const assignment_t *current, const planner_input_t *input)
{
	uint32_t units, usable = 0, most, fewest = ASSIGNMENT_UNITS;
	uint64_t bits;

	if (current == NULL)
		return 0;
	bits =
	    assignment_unit_bits(current, input->self, input->self_incarnation);
	units = (uint32_t)__builtin_popcountll(bits);
	if (input->stopping)
		return bits;
	for (size_t i = 0; i < input->node_count; i++) {
		const planner_node_t *node = &input->nodes[i];

		if (!view_is_usable(input, node))
			continue;
		usable++;
		fewest = MIN(fewest,
		    assignment_units(current, node->node, node->incarnation));
	}
	if (usable < 2 || fewest >= ASSIGNMENT_UNITS / usable)
		return 0;
	most = (ASSIGNMENT_UNITS + usable - 1) / usable;
	return units > most ? highest_units(bits, units - most) : 0;
}

/* Whether moving this node's share of a service to the node that would get it
 * lowers the difference between the two, and keeps the holders apart. */
static bool
is_excess(const planner_view_t *view, const planner_node_t *self,
    const assigned_service_t *service)
{
	const planner_input_t *input = view->input;
	const planner_node_t *other =
	    view_usable_holder(input, service, input->self);
	planner_candidate_t chosen;
	bool apart;

	if (other == NULL)
		return false;
	chosen = view_choose_holder(view, service, input->self);
	if (chosen.node == NULL)
		return false;
	apart = strcmp(self->data_centre, other->data_centre) != 0;
	return chosen.apart >= apart &&
	    view->held[self - input->nodes] >=
	    view->held[chosen.node - input->nodes] + CLEAR_IMBALANCE;
}

static const char *
find_excess(const planner_view_t *view, const planner_node_t *self)
{
	const char *served = NULL;

	for (uint32_t i = 0; i < view->assignment->service_count; i++) {
		assigned_service_t *service = &view->assignment->services[i];
		holder_t *holder = assignment_find_holder(
		    service, self->node, self->incarnation);

		if (holder == NULL || !is_excess(view, self, service))
			continue;
		/* A standby's share moves without a change of serving node. */
		if (holder != &service->holders[0])
			return service->service;
		if (served == NULL)
			served = service->service;
	}
	return served;
}

const char *
planner_excess_service(
    const assignment_t *current, const planner_input_t *input)
{
	const planner_node_t *self = view_find_node(input, input->self);
	planner_view_t view;
	const char *excess;

	if (current == NULL || self == NULL || !view_is_usable(input, self))
		return NULL;
	view_init(&view, input, (assignment_t *)current);
	excess = find_excess(&view, self);
	view_clear(&view);
	return excess;
}
