#include "node_private.h"

#include <stdlib.h>
#include <string.h>

/* Extra delay of a cell's first assignment, in which nodes that start together
 * find each other. What a node that plans alone takes has to be released again
 * later, with all the waits that a release requires. */
#define FIRST_PLAN_DELAY_MS 500

/* Whether the release of a closed share may have been written to the platform.
 * The values of node->closed_shares. */
enum { RELEASE_NOT_WRITTEN = 1, RELEASE_MAY_BE_WRITTEN };

/* The planner's input and the arrays that it points to. */
typedef struct {
	planner_input_t input;
	GArray *nodes;
	GArray *services;
	GArray *releasable;
} plan_data_t;

/* A conditional update of the assignment that is in progress. */
typedef struct {
	node_t *node;
	char *text; /* freed with free() */
} pending_write_t;

static void
add_self(node_t *node, GArray *nodes)
{
	const settings_t *settings = &node->board.settings;
	planner_node_t self = {.incarnation = node->board.incarnation,
	    .live = true,
	    .ready = node->board.state == NODE_STATE_READY};

	g_strlcpy(self.node, settings->node, sizeof(self.node));
	g_strlcpy(
	    self.data_centre, settings->data_centre, sizeof(self.data_centre));
	g_array_append_val(nodes, self);
}

static void
add_peers(node_t *node, GArray *nodes)
{
	const membership_t *membership = node->board.membership;

	for (size_t i = 0; i < membership_count(membership); i++) {
		const peer_t *peer = membership_at(membership, i);
		planner_node_t entry = {.incarnation = peer->incarnation,
		    .live = peer->live,
		    .ready = peer->state == NODE_STATE_READY,
		    .gone = peer->gone};

		g_strlcpy(entry.node, peer->node, sizeof(entry.node));
		g_strlcpy(entry.data_centre, peer->data_centre,
		    sizeof(entry.data_centre));
		g_array_append_val(nodes, entry);
	}
}

/* Replaces an older incarnation of a node in the list by one that is named in
 * the assignment but was never heard from. Only the VM list can prove that such
 * an incarnation is gone. */
static void
update_unheard_incarnation(
    node_t *node, GArray *nodes, const char *name, uint64_t incarnation)
{
	for (guint i = 0; i < nodes->len; i++) {
		planner_node_t *entry =
		    &g_array_index(nodes, planner_node_t, i);

		if (strcmp(entry->node, name) != 0 ||
		    entry->incarnation >= incarnation)
			continue;
		entry->incarnation = incarnation;
		entry->live = false;
		entry->gone = membership_is_gone(
		    node->board.membership, name, incarnation);
	}
}

static void
update_unheard_incarnations(node_t *node, GArray *nodes)
{
	const assignment_t *assignment = node->board.assignment;

	if (assignment == NULL)
		return;
	for (uint32_t i = 0; i < assignment->member_count; i++)
		update_unheard_incarnation(node, nodes,
		    assignment->members[i].node,
		    assignment->members[i].incarnation);
	for (uint32_t i = 0; i < assignment->service_count; i++) {
		const assigned_service_t *entry = &assignment->services[i];

		for (uint32_t j = 0; j < entry->holder_count; j++)
			update_unheard_incarnation(node, nodes,
			    entry->holders[j].node,
			    entry->holders[j].incarnation);
	}
}

static void
add_services(node_t *node, GArray *services)
{
	const catalogue_t *catalogue = node->board.catalogue;

	for (size_t i = 0; i < catalogue_service_count(catalogue); i++) {
		const service_t *service = catalogue_service_at(catalogue, i);
		planner_service_t entry = {.slots = service->slots,
		    .connections = service->connections};

		g_strlcpy(
		    entry.service, service->service, sizeof(entry.service));
		g_array_append_val(services, entry);
	}
}

static uint32_t
charged_attempts(node_t *node, const char *service)
{
	const served_service_t *served =
	    g_hash_table_lookup(node->served_services, service);

	return served != NULL ? scheduler_max_charged_now(served->scheduler)
			      : 0;
}

static bool
is_holder(const node_t *node, assigned_service_t *service)
{
	return assignment_find_holder(service, node->board.settings.node,
		   node->board.incarnation) != NULL;
}

static uint32_t
own_share_slots(const node_t *node, const assigned_service_t *entry)
{
	for (uint32_t i = 0; i < entry->holder_count; i++)
		if (blackboard_is_self(&node->board, &entry->holders[i]))
			return entry->holders[i].slots;
	return 0;
}

/* Whether another holder has been first in the assignment for long enough that
 * its own share is usable. Until then this node uses or lends its share. */
static bool
is_replaced(node_t *node, const assigned_service_t *entry, usec_t now)
{
	const usec_t *since =
	    g_hash_table_lookup(node->not_first_since, entry->service);

	if (blackboard_is_self(&node->board, &entry->holders[0])) {
		g_hash_table_remove(node->not_first_since, entry->service);
		return false;
	}
	if (since == NULL) {
		g_hash_table_insert(node->not_first_since,
		    g_strdup(entry->service), g_memdup2(&now, sizeof(now)));
		return false;
	}
	return now - *since >= blackboard_handover_time(&node->board, now);
}

/* A stopping node releases a share once the assignment names another node first
 * and peers send their requests there. */
static bool
should_release(node_t *node, const assigned_service_t *entry, usec_t now)
{
	return node->board.state == NODE_STATE_STOPPING &&
	    is_replaced(node, entry, now);
}

/* Adds a closed share to the releasable ones. This is repeated until the
 * assignment no longer contains the share, since the write of a release may be
 * lost or conflict with another write. */
static void
add_closed_share(
    node_t *node, GArray *releasable, assigned_service_t *entry, usec_t now)
{
	name_t name = "";

	if (!is_holder(node, entry)) {
		g_hash_table_remove(node->closed_shares, entry->service);
		return;
	}
	if (!g_hash_table_contains(node->closed_shares, entry->service) ||
	    !ledger_may_release(node->board.ledger, entry->service,
		charged_attempts(node, entry->service), now))
		return;
	g_strlcpy(name, entry->service, sizeof(name));
	g_array_append_val(releasable, name);
}

static void
close_share(node_t *node, const char *service)
{
	if (!g_hash_table_contains(node->closed_shares, service))
		g_hash_table_insert(node->closed_shares, g_strdup(service),
		    GINT_TO_POINTER(RELEASE_NOT_WRITTEN));
	ledger_close_share(node->board.ledger, service);
}

/* Opens a share that was closed to balance the nodes when its release is no
 * longer wanted or cannot be written, as in an outage of the platform. The
 * share stays closed while a write of its release may still take effect:
 * another node may own it. */
static void
reopen_share(node_t *node, const assigned_service_t *entry, usec_t now)
{
	gpointer release_state;

	if (!g_hash_table_lookup_extended(
		node->closed_shares, entry->service, NULL, &release_state) ||
	    GPOINTER_TO_INT(release_state) != RELEASE_NOT_WRITTEN)
		return;
	g_hash_table_remove(node->closed_shares, entry->service);
	/* Growing from 0 applies the wait of a new share to all of it. */
	ledger_set_share(node->board.ledger, entry->service, 0, 0, now);
	ledger_set_share(node->board.ledger, entry->service,
	    own_share_slots(node, entry),
	    blackboard_longest_deadline(&node->board, now), now);
}

static void
add_releasable_shares(node_t *node, plan_data_t *data, usec_t now)
{
	assignment_t *assignment = node->board.assignment;
	const char *excess;

	if (assignment == NULL)
		return;
	excess = node->board.platform_reachable
	    ? planner_excess_service(assignment, &data->input)
	    : NULL;
	for (uint32_t i = 0; i < assignment->service_count; i++) {
		assigned_service_t *entry = &assignment->services[i];
		bool is_excess =
		    excess != NULL && strcmp(excess, entry->service) == 0;

		if (is_holder(node, entry) &&
		    (is_excess || should_release(node, entry, now)))
			close_share(node, entry->service);
		else if (node->board.state != NODE_STATE_STOPPING)
			reopen_share(node, entry, now);
		add_closed_share(node, data->releasable, entry, now);
	}
}

static uint64_t
own_units(const node_t *node)
{
	if (node->board.assignment == NULL)
		return 0;
	return assignment_unit_bits(node->board.assignment,
	    node->board.settings.node, node->board.incarnation);
}

/* Closes the units that this node should release. Returns them, one bit each,
 * when the wait is over after which no loan or request uses them any more. */
static uint64_t
units_to_release(node_t *node, const plan_data_t *data, usec_t now)
{
	bool stopping = node->board.state == NODE_STATE_STOPPING;
	uint64_t excess =
	    planner_excess_units(node->board.assignment, &data->input);
	usec_t wait = MS(LOAN_MS) +
	    blackboard_longest_deadline(&node->board, now) +
	    2 * MS(DRIFT_MARGIN_MS);

	/* A stopping node needs its units until its last request has ended. */
	if (stopping && table_count(node->requests) > 0)
		excess = 0;
	if (excess != node->closed_units) {
		allowance_close_units(node->board.allowance, excess,
		    blackboard_longest_deadline(&node->board, now), now);
		limits_apply_all(node, now);
		node->closed_units = excess;
		node->units_closed_at = now;
	}
	return now - node->units_closed_at >= wait ? excess : 0;
}

static void
plan_data_init(node_t *node, plan_data_t *data, usec_t now)
{
	planner_input_t *input = &data->input;

	memset(data, 0, sizeof(*data));
	data->nodes = g_array_new(FALSE, TRUE, sizeof(planner_node_t));
	data->services = g_array_new(FALSE, TRUE, sizeof(planner_service_t));
	data->releasable = g_array_new(FALSE, TRUE, sizeof(name_t));
	g_strlcpy(input->cell, node->board.settings.cell, NAME_SIZE);
	g_strlcpy(input->self, node->board.settings.node, NAME_SIZE);
	input->self_incarnation = node->board.incarnation;
	input->stopping = node->board.state == NODE_STATE_STOPPING;
	add_self(node, data->nodes);
	add_peers(node, data->nodes);
	update_unheard_incarnations(node, data->nodes);
	add_services(node, data->services);
	input->nodes = (planner_node_t *)(void *)data->nodes->data;
	input->node_count = data->nodes->len;
	input->services = (planner_service_t *)(void *)data->services->data;
	input->service_count = data->services->len;
	add_releasable_shares(node, data, now);
	input->releasable = (const name_t *)(void *)data->releasable->data;
	input->releasable_count = data->releasable->len;
	input->release_units = units_to_release(node, data, now);
}

static void
plan_data_clear(plan_data_t *data)
{
	g_array_free(data->nodes, TRUE);
	g_array_free(data->services, TRUE);
	g_array_free(data->releasable, TRUE);
}

static void
on_assignment_read_back(
    void *context, platform_result_t result, uint64_t version, slice_t text)
{
	node_t *node = context;

	node->assignment_write_running = false;
	if (result == PLATFORM_OK)
		config_adopt(node, CONFIG_ASSIGNMENT, node->board.settings.cell,
		    version, text);
}

static void
on_assignment_written(
    void *context, platform_result_t result, uint64_t version, slice_t text)
{
	pending_write_t *write = context;
	node_t *node = write->node;
	const platform_completion_t reply = {
	    on_assignment_read_back, node, NULL};

	switch (result) {
	case PLATFORM_OK:
		node->assignment_write_running = false;
		config_adopt(node, CONFIG_ASSIGNMENT, node->board.settings.cell,
		    version, slice_from(write->text));
		break;
	case PLATFORM_CONFLICT:
	case PLATFORM_OUTCOME_UNKNOWN:
		/* The stored version is adopted, whichever node wrote it, and
		 * the next plan is based on it. */
		event_log(EVENT_ASSIGNMENT_CONFLICT, "%s",
		    result == PLATFORM_OUTCOME_UNKNOWN
			? "the answer to the write was lost"
			: "another version is stored");
		platform_read(node->platform, "assignment",
		    node->board.settings.cell, &reply);
		break;
	case PLATFORM_REFUSED:
	case PLATFORM_NOT_FOUND:
		node->assignment_write_running = false;
		break;
	}
	node->plan_wanted_since = 0;
}

static void
free_pending_write(void *context)
{
	pending_write_t *write = context;

	free(write->text);
	g_free(write);
}

static void
set_release_state(node_t *node, const char *service, int state)
{
	if (g_hash_table_contains(node->closed_shares, service))
		g_hash_table_replace(node->closed_shares, g_strdup(service),
		    GINT_TO_POINTER(state));
}

static void
write_assignment(node_t *node, assignment_t *plan, const planner_input_t *input)
{
	pending_write_t *write = g_new0(pending_write_t, 1);
	const platform_completion_t reply = {
	    on_assignment_written, write, free_pending_write};
	uint64_t expected = node->board.assignment != NULL
	    ? node->board.assignment->version
	    : 0;

	id128_format(id128_random(), plan->token);
	write->node = node;
	write->text = assignment_serialize(plan);
	node->assignment_write_running = true;
	for (size_t i = 0; i < input->releasable_count; i++)
		set_release_state(
		    node, input->releasable[i], RELEASE_MAY_BE_WRITTEN);
	event_log(EVENT_ASSIGNMENT_PROPOSED, "after version %llu, token %s",
	    (unsigned long long)expected, plan->token);
	platform_write(node->platform, "assignment", node->board.settings.cell,
	    expected, slice_from(write->text), &reply);
}

static usec_t
plan_delay(const node_t *node, const planner_input_t *input)
{
	usec_t delay = planner_write_delay(input);

	return node->board.assignment == NULL ? delay + MS(FIRST_PLAN_DELAY_MS)
					      : delay;
}

void
assign_tick(node_t *node, usec_t now)
{
	plan_data_t data;
	assignment_t *plan;

	if (!node->board.config_known || node->assignment_write_running ||
	    node->board.state == NODE_STATE_STARTING)
		return;
	plan_data_init(node, &data, now);
	plan = planner_plan(node->board.assignment, &data.input);
	if (plan == NULL)
		node->plan_wanted_since = 0;
	else if (node->plan_wanted_since == 0)
		node->plan_wanted_since = now;
	if (plan != NULL && node->board.platform_reachable &&
	    now - node->plan_wanted_since >= plan_delay(node, &data.input))
		write_assignment(node, plan, &data.input);
	assignment_destroy(plan);
	plan_data_clear(&data);
}

static void
adopt_shares(node_t *node, usec_t longest_deadline, usec_t now)
{
	assignment_t *assignment = node->board.assignment;

	for (uint32_t i = 0; i < assignment->service_count; i++) {
		assigned_service_t *entry = &assignment->services[i];
		const holder_t *holder = assignment_find_holder(
		    entry, node->board.settings.node, node->board.incarnation);

		ledger_set_share(node->board.ledger, entry->service,
		    holder != NULL ? holder->slots : 0, longest_deadline, now);
		if (holder != NULL)
			serve_set_connections(
			    node, entry->service, holder->connections);
	}
}

static void
adopt_units(node_t *node, usec_t longest_deadline, usec_t now)
{
	if (own_units(node) == 0)
		node->units_usable_at = 0;
	else if (node->units_usable_at == 0)
		node->units_usable_at = now + MS(LOAN_MS) +
		    2 * MS(DRIFT_MARGIN_MS) + longest_deadline;
	allowance_set_units(
	    node->board.allowance, own_units(node), longest_deadline, now);
	limits_apply_all(node, now);
}

void
assign_apply_adopted(node_t *node, usec_t now)
{
	usec_t longest_deadline =
	    blackboard_longest_deadline(&node->board, now);

	adopt_shares(node, longest_deadline, now);
	/* A write that is conditional on an earlier version can no longer take
	 * effect. */
	for (uint32_t i = 0; i < node->board.assignment->service_count; i++)
		set_release_state(node,
		    node->board.assignment->services[i].service,
		    RELEASE_NOT_WRITTEN);
	adopt_units(node, longest_deadline, now);
	node->plan_wanted_since = 0;
}

bool
assign_owns_nothing(node_t *node)
{
	assignment_t *assignment = node->board.assignment;

	if (assignment == NULL)
		return true;
	for (uint32_t i = 0; i < assignment->service_count; i++)
		if (is_holder(node, &assignment->services[i]))
			return false;
	return own_units(node) == 0;
}
