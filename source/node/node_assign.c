#include "node_private.h"

#include <stdlib.h>
#include <string.h>

/* The first assignment of a cell waits until nodes that start together have
 * heard of each other: whatever one node takes alone has to be given up again,
 * with all the waits of that. */
#define FIRST_PLAN_MS 500

/* Whether the release of a closed share may have been written. */
enum { RELEASE_UNWRITTEN = 1, RELEASE_WRITTEN };

/* What a plan is made from; arrays live until the plan is made. */
typedef struct {
	planner_input_t input;
	GArray *nodes;
	GArray *services;
	GArray *releasable;
} plan_basis_t;

/* One conditional update of the assignment that runs. */
typedef struct {
	node_t *node;
	char *text;
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

/* A holder or member that this node has never heard: only the VM list can
 * prove it gone. */
static void
note_unheard(
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
add_unheard(node_t *node, GArray *nodes)
{
	const assignment_t *assignment = node->board.assignment;

	if (assignment == NULL)
		return;
	for (uint32_t i = 0; i < assignment->member_count; i++)
		note_unheard(node, nodes, assignment->members[i].node,
		    assignment->members[i].incarnation);
	for (uint32_t i = 0; i < assignment->service_count; i++) {
		const assigned_service_t *entry = &assignment->services[i];

		for (uint32_t j = 0; j < entry->holder_count; j++)
			note_unheard(node, nodes, entry->holders[j].node,
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
	const served_t *served = g_hash_table_lookup(node->served, service);

	return served != NULL ? scheduler_charged(served->scheduler) : 0;
}

static bool
holds(const node_t *node, assigned_service_t *service)
{
	return assignment_find_holder(service, node->board.settings.node,
		   node->board.incarnation) != NULL;
}

static uint32_t
own_slots(const node_t *node, const assigned_service_t *entry)
{
	for (uint32_t i = 0; i < entry->holder_count; i++)
		if (blackboard_is_self(&node->board, &entry->holders[i]))
			return entry->holders[i].slots;
	return 0;
}

/* Whether another holder has been first for long enough to have the use of its
 * own share; until then this node serves or lends what it holds. */
static bool
is_replaced(node_t *node, const assigned_service_t *entry, usec_t now)
{
	const usec_t *since =
	    g_hash_table_lookup(node->behind_since, entry->service);

	if (blackboard_is_self(&node->board, &entry->holders[0])) {
		g_hash_table_remove(node->behind_since, entry->service);
		return false;
	}
	if (since == NULL) {
		g_hash_table_insert(node->behind_since,
		    g_strdup(entry->service), g_memdup2(&now, sizeof(now)));
		return false;
	}
	return now - *since >= blackboard_handover(&node->board, now);
}

/* While stopping, a share is given up once the assignment names another node
 * first and peers route there. */
static bool
wants_release(node_t *node, const assigned_service_t *entry, usec_t now)
{
	return node->board.state == NODE_STATE_STOPPING &&
	    is_replaced(node, entry, now);
}

/* A share that was closed is offered until the assignment no longer has it:
 * the write may be lost or lose a race. */
static void
offer_closed(
    node_t *node, GArray *releasable, assigned_service_t *entry, usec_t now)
{
	name_t name = "";

	if (!holds(node, entry)) {
		g_hash_table_remove(node->closed, entry->service);
		return;
	}
	if (!g_hash_table_contains(node->closed, entry->service) ||
	    !ledger_may_release(node->board.ledger, entry->service,
		charged_attempts(node, entry->service), now))
		return;
	g_strlcpy(name, entry->service, sizeof(name));
	g_array_append_val(releasable, name);
}

static void
close_share(node_t *node, const char *service)
{
	if (!g_hash_table_contains(node->closed, service))
		g_hash_table_insert(node->closed, g_strdup(service),
		    GINT_TO_POINTER(RELEASE_UNWRITTEN));
	ledger_close_share(node->board.ledger, service);
}

/* A share that was closed for balance is used again when its release is no
 * longer wanted or cannot be written, as in an outage. While a write of the
 * release may still take effect the share stays closed: another node may own
 * it. */
static void
reopen_share(node_t *node, const assigned_service_t *entry, usec_t now)
{
	gpointer written;

	if (!g_hash_table_lookup_extended(
		node->closed, entry->service, NULL, &written) ||
	    GPOINTER_TO_INT(written) != RELEASE_UNWRITTEN)
		return;
	g_hash_table_remove(node->closed, entry->service);
	/* From nothing to the whole share: usable after the wait of a new one.
	 */
	ledger_set_share(node->board.ledger, entry->service, 0, 0, now);
	ledger_set_share(node->board.ledger, entry->service,
	    own_slots(node, entry), blackboard_longest(&node->board, now), now);
}

static void
add_releasable(node_t *node, plan_basis_t *basis, usec_t now)
{
	assignment_t *assignment = node->board.assignment;
	const char *excess;

	if (assignment == NULL)
		return;
	excess = node->board.platform_reachable
	    ? planner_excess_service(assignment, &basis->input)
	    : NULL;
	for (uint32_t i = 0; i < assignment->service_count; i++) {
		assigned_service_t *entry = &assignment->services[i];
		bool is_excess =
		    excess != NULL && strcmp(excess, entry->service) == 0;

		if (holds(node, entry) &&
		    (is_excess || wants_release(node, entry, now)))
			close_share(node, entry->service);
		else if (node->board.state != NODE_STATE_STOPPING)
			reopen_share(node, entry, now);
		offer_closed(node, basis->releasable, entry, now);
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

/* Units are closed first and released when nothing of them can be in use. */
static uint64_t
units_to_release(node_t *node, const plan_basis_t *basis, usec_t now)
{
	bool stopping = node->board.state == NODE_STATE_STOPPING;
	uint64_t excess =
	    planner_excess_units(node->board.assignment, &basis->input);
	usec_t wait = MS(LOAN_MS) + blackboard_longest(&node->board, now) +
	    2 * MS(DRIFT_MARGIN_MS);

	/* A stopping node needs its units until its last request has ended. */
	if (stopping && table_count(node->requests) > 0)
		excess = 0;
	if (excess != node->units_closing) {
		allowance_close_units(node->board.allowance, excess,
		    blackboard_longest(&node->board, now), now);
		limits_apply_all(node, now);
		node->units_closing = excess;
		node->units_closed_at = now;
	}
	return now - node->units_closed_at >= wait ? excess : 0;
}

static void
basis_init(node_t *node, plan_basis_t *basis, usec_t now)
{
	planner_input_t *input = &basis->input;

	memset(basis, 0, sizeof(*basis));
	basis->nodes = g_array_new(FALSE, TRUE, sizeof(planner_node_t));
	basis->services = g_array_new(FALSE, TRUE, sizeof(planner_service_t));
	basis->releasable = g_array_new(FALSE, TRUE, sizeof(name_t));
	g_strlcpy(input->cell, node->board.settings.cell, NAME_SIZE);
	g_strlcpy(input->self, node->board.settings.node, NAME_SIZE);
	input->self_incarnation = node->board.incarnation;
	input->stopping = node->board.state == NODE_STATE_STOPPING;
	add_self(node, basis->nodes);
	add_peers(node, basis->nodes);
	add_unheard(node, basis->nodes);
	add_services(node, basis->services);
	input->nodes = (planner_node_t *)(void *)basis->nodes->data;
	input->node_count = basis->nodes->len;
	input->services = (planner_service_t *)(void *)basis->services->data;
	input->service_count = basis->services->len;
	add_releasable(node, basis, now);
	input->releasable = (const name_t *)(void *)basis->releasable->data;
	input->releasable_count = basis->releasable->len;
	input->release_units = units_to_release(node, basis, now);
}

static void
basis_clear(plan_basis_t *basis)
{
	g_array_free(basis->nodes, TRUE);
	g_array_free(basis->services, TRUE);
	g_array_free(basis->releasable, TRUE);
}

static void
on_read_back(
    void *context, platform_result_t result, uint64_t version, slice_t text)
{
	node_t *node = context;

	node->write_running = false;
	if (result == PLATFORM_OK)
		config_adopt(node, CONFIG_ASSIGNMENT, node->board.settings.cell,
		    version, text);
}

static void
on_written(
    void *context, platform_result_t result, uint64_t version, slice_t text)
{
	pending_write_t *write = context;
	node_t *node = write->node;
	const platform_reply_t reply = {on_read_back, node, NULL};

	switch (result) {
	case PLATFORM_OK:
		node->write_running = false;
		config_adopt(node, CONFIG_ASSIGNMENT, node->board.settings.cell,
		    version, slice_from(write->text));
		break;
	case PLATFORM_CONFLICT:
	case PLATFORM_LOST:
		/* Whoever wrote it, the stored version is adopted and the
		 * next plan starts from there. */
		event_log(EVENT_ASSIGNMENT_CONFLICT, "%s",
		    result == PLATFORM_LOST ? "the answer was lost"
					    : "another version is stored");
		platform_read(node->platform, "assignment",
		    node->board.settings.cell, &reply);
		break;
	case PLATFORM_REFUSED:
	case PLATFORM_ABSENT:
		node->write_running = false;
		break;
	}
	node->wanted_since = 0;
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
	if (g_hash_table_contains(node->closed, service))
		g_hash_table_replace(
		    node->closed, g_strdup(service), GINT_TO_POINTER(state));
}

static void
write_plan(node_t *node, assignment_t *plan, const planner_input_t *input)
{
	pending_write_t *write = g_new0(pending_write_t, 1);
	const platform_reply_t reply = {on_written, write, free_pending_write};
	uint64_t expected = node->board.assignment != NULL
	    ? node->board.assignment->version
	    : 0;

	id128_format(id128_random(), plan->token);
	write->node = node;
	write->text = assignment_print(plan);
	node->write_running = true;
	for (size_t i = 0; i < input->releasable_count; i++)
		set_release_state(node, input->releasable[i], RELEASE_WRITTEN);
	event_log(EVENT_ASSIGNMENT_PROPOSED, "after version %llu, token %s",
	    (unsigned long long)expected, plan->token);
	platform_write(node->platform, "assignment", node->board.settings.cell,
	    expected, slice_from(write->text), &reply);
}

static usec_t
plan_delay(const node_t *node, const planner_input_t *input)
{
	usec_t delay = planner_delay(input);

	return node->board.assignment == NULL ? delay + MS(FIRST_PLAN_MS)
					      : delay;
}

void
assign_tick(node_t *node, usec_t now)
{
	plan_basis_t basis;
	assignment_t *plan;

	if (!node->board.config_known || node->write_running ||
	    node->board.state == NODE_STATE_STARTING)
		return;
	basis_init(node, &basis, now);
	plan = planner_plan(node->board.assignment, &basis.input);
	if (plan == NULL)
		node->wanted_since = 0;
	else if (node->wanted_since == 0)
		node->wanted_since = now;
	if (plan != NULL && node->board.platform_reachable &&
	    now - node->wanted_since >= plan_delay(node, &basis.input))
		write_plan(node, plan, &basis.input);
	assignment_destroy(plan);
	basis_clear(&basis);
}

static void
adopt_shares(node_t *node, usec_t longest, usec_t now)
{
	assignment_t *assignment = node->board.assignment;

	for (uint32_t i = 0; i < assignment->service_count; i++) {
		assigned_service_t *entry = &assignment->services[i];
		const holder_t *holder = assignment_find_holder(
		    entry, node->board.settings.node, node->board.incarnation);

		ledger_set_share(node->board.ledger, entry->service,
		    holder != NULL ? holder->slots : 0, longest, now);
		if (holder != NULL)
			serve_set_connections(
			    node, entry->service, holder->connections);
	}
}

static void
adopt_units(node_t *node, usec_t longest, usec_t now)
{
	if (own_units(node) == 0)
		node->units_usable_at = 0;
	else if (node->units_usable_at == 0)
		node->units_usable_at =
		    now + MS(LOAN_MS) + 2 * MS(DRIFT_MARGIN_MS) + longest;
	allowance_set_units(
	    node->board.allowance, own_units(node), longest, now);
	limits_apply_all(node, now);
}

void
assign_adopted(node_t *node, usec_t now)
{
	usec_t longest = blackboard_longest(&node->board, now);

	adopt_shares(node, longest, now);
	/* A write that expected an earlier version can no longer take effect.
	 */
	for (uint32_t i = 0; i < node->board.assignment->service_count; i++)
		set_release_state(node,
		    node->board.assignment->services[i].service,
		    RELEASE_UNWRITTEN);
	adopt_units(node, longest, now);
	node->wanted_since = 0;
}

bool
assign_is_released(node_t *node)
{
	assignment_t *assignment = node->board.assignment;

	if (assignment == NULL)
		return true;
	for (uint32_t i = 0; i < assignment->service_count; i++)
		if (holds(node, &assignment->services[i]))
			return false;
	return own_units(node) == 0;
}
