#include "bulrushwell/planner.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/event.h"
#include "planner_view.h"

/* A holder gets at least 1 / CONNECTION_SHARES of the connections, as far as
 * they are free, so that ASSIGNMENT_MAX_HOLDERS holders can have some. */
#define CONNECTION_SHARES 4

/* Difference between the write delays of two nodes that plan the same change.
 * A write and its notification normally take less time, so that usually only
 * one node writes. */
#define WRITE_DELAY_STEP_MS 100

static bool
is_self(const planner_input_t *input, const char *node, uint64_t incarnation)
{
	return incarnation == input->self_incarnation &&
	    strcmp(node, input->self) == 0;
}

static void
remove_member(assignment_t *draft, uint32_t position)
{
	draft->member_count--;
	memmove(&draft->members[position], &draft->members[position + 1],
	    (draft->member_count - position) * sizeof(draft->members[0]));
}

static assigned_member_t *
find_or_add_member(assignment_t *draft, const planner_node_t *node)
{
	uint32_t position = 0;

	while (position < draft->member_count &&
	    strcmp(draft->members[position].node, node->node) < 0)
		position++;
	if (position < draft->member_count &&
	    strcmp(draft->members[position].node, node->node) == 0)
		return draft->members[position].incarnation == node->incarnation
		    ? &draft->members[position]
		    : NULL;
	if (draft->member_count == ASSIGNMENT_MAX_MEMBERS)
		return NULL;
	memmove(&draft->members[position + 1], &draft->members[position],
	    (draft->member_count - position) * sizeof(draft->members[0]));
	draft->member_count++;
	draft->members[position] =
	    (assigned_member_t){.incarnation = node->incarnation};
	g_strlcpy(draft->members[position].node, node->node, NAME_SIZE);
	return &draft->members[position];
}

/* Removes the units of gone processes and those this node releases, then all
 * members without units. Returns a bit mask of the units that have an owner. */
static uint64_t
prune_members(assignment_t *draft, const planner_input_t *input)
{
	uint64_t owned_units = 0;

	for (uint32_t i = draft->member_count; i-- > 0;) {
		assigned_member_t *member = &draft->members[i];

		if (view_is_gone(input, member->node, member->incarnation))
			member->units = 0;
		else if (is_self(input, member->node, member->incarnation))
			member->units &= ~input->release_units;
		owned_units |= member->units;
		if (member->units == 0)
			remove_member(draft, i);
	}
	return owned_units;
}

/* Whether a node may get units: it is usable, and not releasing some itself. */
static bool
can_receive_units(const planner_input_t *input, const planner_node_t *node)
{
	return view_is_usable(input, node) &&
	    (input->release_units == 0 || strcmp(node->node, input->self) != 0);
}

static const planner_node_t *
find_node_with_fewest_units(
    const assignment_t *draft, const planner_input_t *input)
{
	const planner_node_t *best = NULL;
	uint32_t best_units = 0;

	for (size_t i = 0; i < input->node_count; i++) {
		const planner_node_t *node = &input->nodes[i];
		uint32_t units =
		    assignment_unit_count(draft, node->node, node->incarnation);

		if (!can_receive_units(input, node))
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

/* Gives each unit without an owner to the node that has the fewest. */
static void
plan_units(assignment_t *draft, const planner_input_t *input)
{
	uint64_t owned_units = prune_members(draft, input);

	for (int unit = 0; unit < ASSIGNMENT_UNITS; unit++) {
		const planner_node_t *node =
		    find_node_with_fewest_units(draft, input);
		uint64_t bit = (uint64_t)1 << unit;
		assigned_member_t *member;

		if ((owned_units & bit) != 0)
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
		count += view_find_usable_node(input, service->holders[i].node,
			     service->holders[i].incarnation) != NULL;
	return count;
}

static void
remove_holder(assigned_service_t *service, uint32_t position)
{
	service->holder_count--;
	memmove(&service->holders[position], &service->holders[position + 1],
	    (service->holder_count - position) * sizeof(service->holders[0]));
}

static bool
is_releasable(const planner_input_t *input, const char *service)
{
	for (size_t i = 0; i < input->releasable_count; i++)
		if (strcmp(input->releasable[i], service) == 0)
			return true;
	return false;
}

/* Removes holders that are gone, and this node when it releases its share. */
static void
prune_holders(assigned_service_t *service, const planner_input_t *input)
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

/* Sets the limits of a service, but not below the sum of its shares: a lower
 * limit takes effect as shares are released. */
static void
apply_limits(assigned_service_t *service, const planner_service_t *wanted)
{
	uint32_t slots, connections;

	sum_shares(service, &slots, &connections);
	service->slots = MAX(wanted->slots, slots);
	service->connections = MAX(wanted->connections, connections);
}

/* Gives free slots to a new holder: half of all when no holder has any yet,
 * otherwise all that are free. Returns false when there is nothing to give, or
 * no node to give it to. */
static bool
add_holder(planner_view_t *view, assigned_service_t *service)
{
	const planner_input_t *input = view->input;
	const char *excluded =
	    is_releasable(input, service->service) ? input->self : NULL;
	planner_candidate_t chosen;
	holder_t *holder;
	uint32_t slots, connections, slot_share, connection_share;

	sum_shares(service, &slots, &connections);
	slot_share = service->slots - slots;
	if (slots == 0)
		slot_share = (service->slots + 1) / 2;
	connection_share =
	    MAX(service->connections / CONNECTION_SHARES, slot_share);
	connection_share =
	    MIN(connection_share, service->connections - connections);
	slot_share = MIN(slot_share, connection_share);
	if (slot_share == 0 || service->holder_count == ASSIGNMENT_MAX_HOLDERS)
		return false;
	chosen = view_choose_holder(view, service, excluded);
	if (chosen.node == NULL)
		return false;
	holder = &service->holders[service->holder_count++];
	*holder = (holder_t){.incarnation = chosen.node->incarnation,
	    .slots = slot_share,
	    .connections = connection_share};
	g_strlcpy(holder->node, chosen.node->node, sizeof(holder->node));
	view->held_counts[chosen.node - input->nodes]++;
	return true;
}

/* Adds all free slots to the usable holder that has the fewest. */
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

		if (view_find_usable_node(
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

/* Preference as serving node: 2 for a usable holder, 1 for one that is only
 * live, such as a stopping one, and 0 for a silent or gone one. */
static int
holder_rank(const planner_input_t *input, const holder_t *holder)
{
	const planner_node_t *node = view_find_node(input, holder->node);

	if (node == NULL || node->incarnation != holder->incarnation ||
	    node->gone || !node->live)
		return 0;
	return view_is_usable(input, node) ? 2 : 1;
}

static void
move_to_front(assigned_service_t *service, uint32_t position)
{
	holder_t moved = service->holders[position];

	memmove(&service->holders[1], &service->holders[0],
	    position * sizeof(service->holders[0]));
	service->holders[0] = moved;
}

static void
order_holders(assigned_service_t *service, const planner_input_t *input)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < service->holder_count; i++)
		if (holder_rank(input, &service->holders[i]) >
		    holder_rank(input, &service->holders[best]))
			best = i;
	if (best != 0)
		move_to_front(service, best);
	/* The second position, that of the standby, gets the next best one. */
	for (uint32_t i = 2; i < service->holder_count; i++)
		if (holder_rank(input, &service->holders[i]) >
		    holder_rank(input, &service->holders[1])) {
			holder_t standby = service->holders[1];

			service->holders[1] = service->holders[i];
			service->holders[i] = standby;
		}
}

/* Swaps serving node and standby when the serving node serves at least
 * MIN_IMBALANCE services more. Each swap lowers the sum of the squared counts,
 * so that balance_services() terminates. */
static bool
balance_service(planner_view_t *view, assigned_service_t *service)
{
	const planner_input_t *input = view->input;
	const planner_node_t *serving, *standby;
	uint32_t *served_counts = view->served_counts;

	if (service->holder_count < TARGET_HOLDERS)
		return false;
	serving = view_find_usable_node(
	    input, service->holders[0].node, service->holders[0].incarnation);
	standby = view_find_usable_node(
	    input, service->holders[1].node, service->holders[1].incarnation);
	if (serving == NULL || standby == NULL ||
	    served_counts[serving - input->nodes] <
		served_counts[standby - input->nodes] + MIN_IMBALANCE)
		return false;
	move_to_front(service, 1);
	served_counts[serving - input->nodes]--;
	served_counts[standby - input->nodes]++;
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
distribute_shares(planner_view_t *view, const planner_service_t *wanted)
{
	const planner_input_t *input = view->input;
	assigned_service_t *service =
	    assignment_find_service(view->assignment, wanted->service);

	if (service == NULL)
		return;
	apply_limits(service, wanted);
	while (count_usable_holders(input, service) < TARGET_HOLDERS &&
	    add_holder(view, service))
		continue;
	if (count_usable_holders(input, service) >= TARGET_HOLDERS)
		grow_holder(service, input);
}

/* All services are added before any share is given out, so that the equal
 * part of view_choose_holder() is computed from all of them. */
static void
plan_services(assignment_t *draft, const planner_input_t *input)
{
	planner_view_t view;

	add_services(draft, input);
	for (uint32_t i = 0; i < draft->service_count; i++)
		prune_holders(&draft->services[i], input);
	view_init(&view, input, draft);
	for (size_t i = 0; i < input->service_count; i++)
		distribute_shares(&view, &input->services[i]);
	for (uint32_t i = 0; i < draft->service_count; i++)
		order_holders(&draft->services[i], input);
	view_recount(&view);
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

/* Compares members and services; version and token are set by each write. */
static bool
is_same_assignment(const assignment_t *a, const assignment_t *b)
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
	char message[256] = "";

	draft->version = 0;
	draft->token[0] = '\0';
	plan_units(draft, input);
	plan_services(draft, input);
	INVARIANT(assignment_check(draft, message, sizeof(message)) == 0,
	    "the planned assignment is invalid: %s", message);
	if (current != NULL ? !is_same_assignment(current, draft)
			    : draft->member_count + draft->service_count > 0)
		return draft;
	assignment_destroy(draft);
	return NULL;
}

usec_t
planner_write_delay(const planner_input_t *input)
{
	usec_t rank = 0;

	if (input->stopping || input->releasable_count > 0 ||
	    input->release_units > 0)
		return 0;
	for (size_t i = 0; i < input->node_count; i++)
		if (input->nodes[i].live && !input->nodes[i].gone &&
		    strcmp(input->nodes[i].node, input->self) < 0)
			rank++;
	return rank * MS(WRITE_DELAY_STEP_MS);
}

/* Returns the highest @count of the bits that are set in @bits. */
static uint64_t
highest_units(uint64_t bits, uint32_t count)
{
	uint32_t remaining = (uint32_t)__builtin_popcountll(bits) - count;

	for (; remaining > 0; remaining--)
		bits &= bits - 1;
	return bits;
}

uint64_t
planner_excess_units(const assignment_t *current, const planner_input_t *input)
{
	uint32_t own_units, usable = 0, target, fewest_units = ASSIGNMENT_UNITS;
	uint64_t own_bits;

	if (current == NULL)
		return 0;
	own_bits =
	    assignment_unit_bits(current, input->self, input->self_incarnation);
	own_units = (uint32_t)__builtin_popcountll(own_bits);
	if (input->stopping)
		return own_bits;
	for (size_t i = 0; i < input->node_count; i++) {
		const planner_node_t *node = &input->nodes[i];

		if (!view_is_usable(input, node))
			continue;
		usable++;
		fewest_units = MIN(fewest_units,
		    assignment_unit_count(
			current, node->node, node->incarnation));
	}
	if (usable < 2 || fewest_units >= ASSIGNMENT_UNITS / usable)
		return 0;
	target = (ASSIGNMENT_UNITS + usable - 1) / usable;
	return own_units > target ? highest_units(own_bits, own_units - target)
				  : 0;
}

/* Whether this node should release its share: the node that would get it holds
 * fewer shares by at least MIN_IMBALANCE, and holders that are in different
 * data centres stay so. */
static bool
should_release_share(const planner_view_t *view, const planner_node_t *self,
    const assigned_service_t *service)
{
	const planner_input_t *input = view->input;
	const planner_node_t *other =
	    view_find_usable_holder(input, service, input->self);
	planner_candidate_t chosen;
	bool currently_apart;

	if (other == NULL)
		return false;
	chosen = view_choose_holder(view, service, input->self);
	if (chosen.node == NULL)
		return false;
	currently_apart = strcmp(self->data_centre, other->data_centre) != 0;
	return chosen.other_data_centre >= currently_apart &&
	    view->held_counts[self - input->nodes] >=
	    view->held_counts[chosen.node - input->nodes] + MIN_IMBALANCE;
}

static const char *
find_service_to_release(const planner_view_t *view, const planner_node_t *self)
{
	const char *served_service = NULL;

	for (uint32_t i = 0; i < view->assignment->service_count; i++) {
		assigned_service_t *service = &view->assignment->services[i];
		holder_t *holder = assignment_find_holder(
		    service, self->node, self->incarnation);

		if (holder == NULL ||
		    !should_release_share(view, self, service))
			continue;
		/* Prefer a service that this node does not serve: its serving
		 * node does not change. */
		if (holder != &service->holders[0])
			return service->service;
		if (served_service == NULL)
			served_service = service->service;
	}
	return served_service;
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
	excess = find_service_to_release(&view, self);
	view_clear(&view);
	return excess;
}
