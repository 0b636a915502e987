#include "model_nodes.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bulrushwell/planner.h"

#define CALL_TIMEOUT SECONDS(1) /* then the answer counts as lost */

usec_t
model_local_time(const model_t *model, const node_t *node)
{
	return node->clock_offset +
	    (usec_t)((double)model->world.now * node->clock_rate);
}

static holder_t *
own_holder(const node_t *node)
{
	assigned_service_t *service = node->assignment == NULL
	    ? NULL
	    : assignment_find_service(node->assignment, WORLD_SERVICE);

	return service == NULL
	    ? NULL
	    : assignment_find_holder(service, node->name, node->incarnation);
}

bool
model_is_serving(const node_t *node)
{
	assigned_service_t *service = node->assignment == NULL
	    ? NULL
	    : assignment_find_service(node->assignment, WORLD_SERVICE);

	return service != NULL && service->holder_count > 0 &&
	    own_holder(node) == &service->holders[0];
}

void
model_start_node(model_t *model, node_t *node)
{
	world_t *world = &model->world;
	usec_t wall;
	usec_t now;

	node->clock_offset = world_random_between(world, 0, SECONDS(1000));
	/* Only the largest allowed errors: they are the worst cases. */
	node->clock_rate = world_random_chance(world, 50) ? 0.99 : 1.01;
	node->wall_clock_error =
	    world_random_chance(world, 50) ? MS(-25) : MS(25);
	wall = world->now + node->wall_clock_error;
	node->incarnation = MAX(node->incarnation + 1,
	    (uint64_t)(wall / USEC_PER_MS) << 20 |
		world_random(world, 1 << 20));
	now = model_local_time(model, node);
	node->running = true;
	node->paused = false;
	node->stopping = false;
	node->ready = false;
	node->demand = 0;
	node->charged = 0;
	node->delayed_request.id = 0;
	node->pending_call = 0;
	node->next_read_at = now;
	node->next_plan_at = now;
	node->proposal_pending_since = 0;
	node->membership =
	    membership_create(node->name, node->vm, node->incarnation, now);
	node->ledger = ledger_create();
	node->assignment = NULL;
	node->inbox = g_array_new(FALSE, FALSE, sizeof(message_t));
	for (int i = 0; i < WORLD_NODES; i++)
		membership_add(node->membership, model->nodes[i].name, NULL,
		    NULL, model->nodes[i].address, now);
}

void
model_end_node(model_t *model, node_t *node, usec_t restart_after)
{
	if (!node->running)
		return;
	node->running = false;
	node->restarts_at = model->world.now + restart_after;
	membership_destroy(node->membership);
	ledger_destroy(node->ledger);
	assignment_destroy(node->assignment);
	g_array_free(node->inbox, TRUE);
}

/* The new VM has the address of the previous one or a new address. */
void
model_replace_vm(model_t *model, node_t *node)
{
	if (node->vm_number > 0)
		world_end_vm(&model->world, node->vm);
	if (node->vm_number == 0 || world_random_chance(&model->world, 50))
		snprintf(node->address, sizeof(node->address), "10.0.%d.%u:700",
		    node->index, node->vm_number % 250 + 1);
	node->vm_number++;
	snprintf(node->vm, sizeof(node->vm), "vm-%d-%u", node->index,
	    node->vm_number);
	world_start_vm(&model->world, node->index, node->vm);
}

static bool
process_exists(void *context, const char *name, uint64_t incarnation)
{
	model_t *model = context;

	for (int i = 0; i < WORLD_NODES; i++)
		if (strcmp(model->nodes[i].name, name) == 0)
			return model->nodes[i].running &&
			    model->nodes[i].incarnation == incarnation;
	return false;
}

static void
adopt_assignment(model_t *model, node_t *node, const operation_t *operation)
{
	assignment_t *assignment;
	holder_t *holder;
	char message[256];

	if (operation->text == NULL ||
	    (node->assignment != NULL &&
		operation->version <= node->assignment->version))
		return;
	if (assignment_parse(slice_from(operation->text), operation->version,
		&assignment, message, sizeof(message)) != 0)
		fail_msg("an adopted assignment is invalid: %s", message);
	assignment_destroy(node->assignment);
	node->assignment = assignment;
	holder = own_holder(node);
	ledger_set_share(node->ledger, WORLD_SERVICE,
	    holder == NULL ? 0 : holder->slots, model->longest_deadline,
	    model_local_time(model, node));
}

/* Updates the peers from the platform's node objects, which have the current VM
 * and address of each node, and from its VM list. */
static void
update_membership(model_t *model, node_t *node, const operation_t *operation)
{
	usec_t now = model_local_time(model, node);

	for (int i = 0; i < WORLD_NODES; i++) {
		const node_t *peer = &model->nodes[i];

		membership_add(node->membership, peer->name, peer->vm,
		    peer->data_centre, peer->address, now);
	}
	membership_set_vms(
	    node->membership, operation->vms, operation->vm_count, now);
	membership_platform_heard(node->membership, now);
}

static void
receive_answer(void *context, const operation_t *operation)
{
	model_t *model = context;
	node_t *node = &model->nodes[operation->node];

	if (!node->running || node->paused ||
	    node->pending_call != operation->id ||
	    node->incarnation != operation->incarnation)
		return;
	node->pending_call = 0;
	adopt_assignment(model, node, operation);
	update_membership(model, node, operation);
	node->ready = true;
}

static void
call_platform(
    model_t *model, node_t *node, char *text, uint64_t expected_version)
{
	operation_t operation = {.node = node->index,
	    .incarnation = node->incarnation,
	    .id = ++model->call_count,
	    .is_write = text != NULL,
	    .text = text,
	    .expected_version = expected_version};

	node->pending_call = operation.id;
	node->call_started_at = model_local_time(model, node);
	world_call(&model->world, &operation);
}

static void
receive_heartbeat(model_t *model, node_t *node, const message_t *message)
{
	usec_t now = model_local_time(model, node);
	message_t reply = {.kind = MESSAGE_REPLY,
	    .from = node->index,
	    .to = message->from,
	    .from_incarnation = node->incarnation,
	    .to_incarnation = message->from_incarnation,
	    .id = message->id};
	uint32_t queued = node->demand > node->charged;

	if (membership_receive(node->membership, &message->report, true, now) !=
	    0)
		return;
	if (message->asks_for_loan && !node->stopping)
		reply.slots = ledger_lend(node->ledger, WORLD_SERVICE,
		    message->report.node, message->report.incarnation,
		    node->charged, queued, model->longest_deadline, now);
	world_send(&model->world, &reply);
}

static void
receive_reply(model_t *model, node_t *node, const message_t *message)
{
	const char *lender = model->nodes[message->from].name;
	usec_t now = model_local_time(model, node);
	usec_t asked_at;

	if (membership_receive_reply(node->membership, lender,
		message->from_incarnation, message->id, now, &asked_at) != 0)
		return;
	ledger_receive_loan(
	    node->ledger, WORLD_SERVICE, lender, message->slots, asked_at, now);
	model->loan_count += message->slots > 0;
}

static void
release_charge(node_t *node, uint32_t position)
{
	node->charged_requests[position] =
	    node->charged_requests[--node->charged];
}

static void
receive_server_answer(node_t *node, uint64_t id)
{
	for (uint32_t i = node->charged; i-- > 0;)
		if (node->charged_requests[i].id == id)
			release_charge(node, i);
}

static void
receive_message(model_t *model, node_t *node, const message_t *message)
{
	if (message->to_incarnation != 0 &&
	    message->to_incarnation != node->incarnation)
		return;
	if (message->kind == MESSAGE_HEARTBEAT)
		receive_heartbeat(model, node, message);
	else if (message->kind == MESSAGE_REPLY)
		receive_reply(model, node, message);
	else
		receive_server_answer(node, message->id);
}

static void
deliver_message(void *context, const message_t *message)
{
	model_t *model = context;
	node_t *node = &model->nodes[message->to];

	if (!node->running)
		return;
	if (node->paused)
		g_array_append_val(node->inbox, *message);
	else
		receive_message(model, node, message);
}

static void
send_heartbeat(model_t *model, node_t *node, const membership_action_t *action)
{
	message_t message = {.kind = MESSAGE_HEARTBEAT,
	    .from = node->index,
	    .from_incarnation = node->incarnation,
	    .id = action->sequence};
	peer_report_t *report = &message.report;

	while (strcmp(model->nodes[message.to].name, action->node) != 0)
		message.to++;
	memcpy(report->node, node->name, sizeof(report->node));
	memcpy(report->vm, node->vm, sizeof(report->vm));
	memcpy(report->data_centre, node->data_centre,
	    sizeof(report->data_centre));
	memcpy(report->address, node->address, sizeof(report->address));
	report->incarnation = node->incarnation;
	report->platform_age_ms = -1;
	report->state = node->stopping ? NODE_STATE_STOPPING
	    : node->ready	       ? NODE_STATE_READY
				       : NODE_STATE_STARTING;
	message.asks_for_loan = node->demand > 0 &&
	    (model_is_serving(node) ||
		(model->faults_enabled &&
		    world_random_chance(&model->world, 5)));
	world_send(&model->world, &message);
}

static void
dispatch_requests(model_t *model, node_t *node)
{
	world_t *world = &model->world;
	usec_t now = model_local_time(model, node);

	while (node->delayed_request.id == 0 && node->charged < node->demand &&
	    node->charged < ledger_limit(node->ledger, WORLD_SERVICE, now)) {
		usec_t left = world_random_chance(world, 90)
		    ? model->longest_deadline
		    : world_random_between(
			  world, MS(1), model->longest_deadline);
		message_t request = {.kind = MESSAGE_REQUEST,
		    .from = node->index,
		    .to = WORLD_SERVER,
		    .from_incarnation = node->incarnation,
		    .id = ++world->next_id,
		    .deadline = world->now + node->wall_clock_error + left};
		charged_request_t *charge =
		    &node->charged_requests[node->charged++];

		charge->id = request.id;
		charge->expires_at = now + left + left / DRIFT_DIVISOR +
		    MS(DRIFT_MARGIN_MS) + MS(5);
		model->dispatched_count++;
		if (model->faults_enabled && world_random(world, 2000) == 0) {
			node->delayed_request = request;
			node->paused = true;
			node->resumes_at = world->now +
			    world_random_between(world, 0, SECONDS(2));
			return;
		}
		world_send(world, &request);
	}
}

static size_t
fill_nodes(const model_t *model, const node_t *node, planner_node_t *nodes)
{
	size_t count = 1;

	nodes[0] = (planner_node_t){.incarnation = node->incarnation,
	    .live = true,
	    .ready = node->ready && !node->stopping};
	memcpy(nodes[0].node, node->name, sizeof(name_t));
	memcpy(nodes[0].data_centre, node->data_centre, sizeof(name_t));
	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const peer_t *peer = membership_at(node->membership, i);
		planner_node_t *entry = &nodes[count++];

		*entry = (planner_node_t){.incarnation = peer->incarnation,
		    .live = peer->live,
		    .ready = peer->state == NODE_STATE_READY,
		    .gone = peer->gone};
		memcpy(entry->node, peer->node, sizeof(name_t));
		memcpy(entry->data_centre, peer->data_centre, sizeof(name_t));
	}
	return count;
}

/* For a holder of a later incarnation than any that was heard, replaces the
 * entry of the node: only the VM list can prove that incarnation gone. */
static void
add_unheard_holders(
    const node_t *node, planner_node_t *nodes, size_t node_count)
{
	assigned_service_t *service = node->assignment == NULL
	    ? NULL
	    : assignment_find_service(node->assignment, WORLD_SERVICE);

	for (uint32_t i = 0; service != NULL && i < service->holder_count; i++)
		for (size_t j = 0; j < node_count; j++) {
			holder_t *holder = &service->holders[i];

			if (strcmp(nodes[j].node, holder->node) != 0 ||
			    nodes[j].incarnation >= holder->incarnation)
				continue;
			nodes[j].incarnation = holder->incarnation;
			nodes[j].live = false;
			nodes[j].gone = membership_is_gone(node->membership,
			    holder->node, holder->incarnation);
		}
}

static void
close_share_if_due(model_t *model, node_t *node, const planner_input_t *input)
{
	bool handover = model->faults_enabled && model_is_serving(node) &&
	    world_random(&model->world, 300) == 0;

	if (own_holder(node) == NULL)
		return;
	if (handover ||
	    planner_excess_service(node->assignment, input) != NULL ||
	    (node->stopping && !model_is_serving(node)))
		ledger_close_share(node->ledger, WORLD_SERVICE);
}

static bool
is_stop_complete(const node_t *node)
{
	return node->stopping && own_holder(node) == NULL &&
	    node->charged == 0 &&
	    (node->assignment == NULL ||
		assignment_unit_count(
		    node->assignment, node->name, node->incarnation) == 0);
}

static void
propose_change(model_t *model, node_t *node, const planner_input_t *input)
{
	usec_t now = model_local_time(model, node);
	assignment_t *draft = planner_plan(node->assignment, input);

	if (draft == NULL) {
		node->proposal_pending_since = 0;
		return;
	}
	if (node->proposal_pending_since == 0)
		node->proposal_pending_since = now;
	/* Some nodes do not wait, so that writes conflict. */
	if (now - node->proposal_pending_since >= planner_write_delay(input) ||
	    (model->faults_enabled && world_random_chance(&model->world, 20))) {
		snprintf(draft->token, sizeof(draft->token), "%032llx",
		    (unsigned long long)model->call_count + 1);
		call_platform(model, node, assignment_serialize(draft),
		    node->assignment == NULL ? 0 : node->assignment->version);
		model->release_count += input->releasable_count;
	}
	assignment_destroy(draft);
}

static void
plan_change(model_t *model, node_t *node)
{
	static const name_t releasable = WORLD_SERVICE;
	planner_service_t service = {
	    WORLD_SERVICE, model->world.slot_limit, 40};
	planner_node_t nodes[WORLD_NODES];
	planner_input_t input = {.cell = "muscat",
	    .self_incarnation = node->incarnation,
	    .stopping = node->stopping,
	    .nodes = nodes,
	    .services = &service,
	    .service_count = 1,
	    .releasable = &releasable};

	memcpy(input.self, node->name, sizeof(name_t));
	input.node_count = fill_nodes(model, node, nodes);
	add_unheard_holders(node, nodes, input.node_count);
	close_share_if_due(model, node, &input);
	input.releasable_count = ledger_may_release(node->ledger, WORLD_SERVICE,
	    node->charged, model_local_time(model, node));
	input.release_units = planner_excess_units(node->assignment, &input);
	propose_change(model, node, &input);
}

static void
start_due_platform_call(model_t *model, node_t *node)
{
	usec_t now = model_local_time(model, node);

	if (node->pending_call != 0 &&
	    now - node->call_started_at >= CALL_TIMEOUT)
		node->pending_call = 0;
	if (node->pending_call != 0)
		return;
	if (now >= node->next_read_at) {
		node->next_read_at =
		    now + world_random_between(&model->world, MS(50), MS(300));
		call_platform(model, node, NULL, 0);
	} else if (node->ready && now >= node->next_plan_at) {
		node->next_plan_at =
		    now + world_random_between(&model->world, MS(20), MS(100));
		plan_change(model, node);
	}
}

static void
step_running_node(model_t *model, node_t *node)
{
	usec_t now = model_local_time(model, node);
	membership_action_t action;

	for (uint32_t i = node->charged; i-- > 0;)
		if (now >= node->charged_requests[i].expires_at)
			release_charge(node, i);
	membership_tick(node->membership, now);
	while (membership_next_action(node->membership, &action)) {
		if (action.kind == MEMBERSHIP_SEND_HEARTBEAT)
			send_heartbeat(model, node, &action);
		model->gone_count += action.kind == MEMBERSHIP_GONE;
	}
	if (!model->faults_enabled)
		node->demand =
		    model_is_serving(node) ? model->world.slot_limit : 0;
	else if (world_random(&model->world, model->demand_interval) == 0)
		node->demand = (uint32_t)world_random(
		    &model->world, model->world.slot_limit + 2);
	dispatch_requests(model, node);
	if (!node->paused)
		start_due_platform_call(model, node);
	if (!node->paused && is_stop_complete(node))
		model_end_node(model, node,
		    world_random_between(&model->world, MS(100), SECONDS(5)));
}

static void
resume_node(model_t *model, node_t *node)
{
	GArray *inbox = node->inbox;

	node->paused = false;
	node->inbox = g_array_new(FALSE, FALSE, sizeof(message_t));
	if (node->delayed_request.id != 0)
		world_send(&model->world, &node->delayed_request);
	node->delayed_request.id = 0;
	for (guint i = 0; i < inbox->len; i++)
		receive_message(
		    model, node, &g_array_index(inbox, message_t, i));
	g_array_free(inbox, TRUE);
}

void
model_step_node(model_t *model, node_t *node)
{
	world_t *world = &model->world;

	if (!node->running && world->now >= node->restarts_at) {
		if (world_random_chance(world, 50))
			model_replace_vm(model, node);
		model_start_node(model, node);
	}
	if (!node->running)
		return;
	if (node->paused && world->now >= node->resumes_at)
		resume_node(model, node);
	if (!node->paused &&
	    (!model->faults_enabled || world_random_chance(world, 80)))
		step_running_node(model, node);
}

world_callbacks_t
model_callbacks(model_t *model)
{
	return (world_callbacks_t){
	    deliver_message, receive_answer, process_exists, model};
}
