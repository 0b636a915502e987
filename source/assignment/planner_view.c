#include "planner_view.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

const planner_node_t *
view_find_node(const planner_input_t *input, const char *node)
{
	for (size_t i = 0; i < input->node_count; i++)
		if (strcmp(input->nodes[i].node, node) == 0)
			return &input->nodes[i];
	return NULL;
}

bool
view_is_usable(const planner_input_t *input, const planner_node_t *node)
{
	if (input->stopping && strcmp(node->node, input->self) == 0)
		return false;
	return node->live && node->ready && !node->gone;
}

bool
view_is_gone(
    const planner_input_t *input, const char *name, uint64_t incarnation)
{
	const planner_node_t *node = view_find_node(input, name);

	if (strcmp(name, input->self) == 0)
		return incarnation < input->self_incarnation;
	if (node == NULL)
		return false;
	return incarnation < node->incarnation ||
	    (incarnation == node->incarnation && node->gone);
}

const planner_node_t *
view_find_usable_node(
    const planner_input_t *input, const char *name, uint64_t incarnation)
{
	const planner_node_t *node = view_find_node(input, name);

	if (node == NULL || node->incarnation != incarnation ||
	    !view_is_usable(input, node))
		return NULL;
	return node;
}

void
view_init(planner_view_t *view, const planner_input_t *input,
    assignment_t *assignment)
{
	*view = (planner_view_t){.input = input, .assignment = assignment};
	view->held_counts = g_new0(uint32_t, input->node_count);
	view->served_counts = g_new0(uint32_t, input->node_count);
	for (size_t i = 0; i < input->node_count; i++)
		view->usable_count += view_is_usable(input, &input->nodes[i]);
	view_recount(view);
}

void
view_clear(planner_view_t *view)
{
	g_free(view->held_counts);
	g_free(view->served_counts);
}

static void
count_service(planner_view_t *view, const assigned_service_t *service)
{
	for (uint32_t i = 0; i < service->holder_count; i++) {
		const holder_t *holder = &service->holders[i];
		const planner_node_t *node =
		    view_find_node(view->input, holder->node);

		if (node == NULL || node->incarnation != holder->incarnation)
			continue;
		view->held_counts[node - view->input->nodes]++;
		view->served_counts[node - view->input->nodes] += i == 0;
	}
}

void
view_recount(planner_view_t *view)
{
	size_t size = view->input->node_count * sizeof(*view->held_counts);

	if (size > 0) {
		memset(view->held_counts, 0, size);
		memset(view->served_counts, 0, size);
	}
	for (uint32_t i = 0; i < view->assignment->service_count; i++)
		count_service(view, &view->assignment->services[i]);
}

static uint64_t
rendezvous_weight(const char *service, const char *node)
{
	char text[2 * NAME_SIZE];
	size_t service_size = strlen(service) + 1;
	size_t node_size = strlen(node);

	memcpy(text, service, service_size);
	memcpy(text + service_size, node, node_size);
	return XXH64(text, service_size + node_size, 0);
}

const planner_node_t *
view_find_usable_holder(const planner_input_t *input,
    const assigned_service_t *service, const char *excluded)
{
	for (uint32_t i = 0; i < service->holder_count; i++) {
		const holder_t *holder = &service->holders[i];
		const planner_node_t *node = view_find_usable_node(
		    input, holder->node, holder->incarnation);

		if (node != NULL &&
		    (excluded == NULL || strcmp(node->node, excluded) != 0))
			return node;
	}
	return NULL;
}

static bool
is_holder(const assigned_service_t *service, const char *node)
{
	for (uint32_t i = 0; i < service->holder_count; i++)
		if (strcmp(service->holders[i].node, node) == 0)
			return true;
	return false;
}

static bool
is_better_candidate(const planner_candidate_t *a, const planner_candidate_t *b)
{
	if (b->node == NULL || a->other_data_centre != b->other_data_centre)
		return b->node == NULL || a->other_data_centre;
	if (a->below_target != b->below_target)
		return a->below_target;
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return strcmp(a->node->node, b->node->node) < 0;
}

planner_candidate_t
view_choose_holder(const planner_view_t *view,
    const assigned_service_t *service, const char *excluded)
{
	const planner_input_t *input = view->input;
	const planner_node_t *other_holder =
	    view_find_usable_holder(input, service, excluded);
	size_t usable_nodes = MAX(view->usable_count, 1);
	size_t total_shares = TARGET_HOLDERS * view->assignment->service_count;
	size_t target_count = (total_shares + usable_nodes - 1) / usable_nodes;
	planner_candidate_t best = {0};

	for (size_t i = 0; i < input->node_count; i++) {
		const planner_node_t *node = &input->nodes[i];
		planner_candidate_t candidate = {.node = node};

		if (!view_is_usable(input, node) ||
		    is_holder(service, node->node) ||
		    (excluded != NULL && strcmp(node->node, excluded) == 0))
			continue;
		candidate.other_data_centre = other_holder == NULL ||
		    strcmp(other_holder->data_centre, node->data_centre) != 0;
		candidate.below_target = view->held_counts[i] < target_count;
		candidate.weight =
		    rendezvous_weight(service->service, node->node);
		if (is_better_candidate(&candidate, &best))
			best = candidate;
	}
	return best;
}
