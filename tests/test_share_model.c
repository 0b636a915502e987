/* Guards the cap of a server against every combination of faults: several nodes
 * run the real ledger, planner, membership and assignment modules on skewed
 * clocks in modelled surroundings. BW_SEED and BW_STEPS run one seed longer. */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/ledger.h"
#include "bulrushwell/planner.h"
#include "lib/model_world.h"

#define MAX_CHARGES 64
#define CHAOS_STEPS 4000
#define CALL_LIMIT SECONDS(1) /* then the answer counts as lost */

typedef struct {
	uint64_t id;
	usec_t given_up_at; /* deadline and a margin, own clock */
} charge_t;

typedef struct {
	int place;
	bool runs;
	bool paused;
	bool stopping;
	uint32_t wanted; /* requests that it would run at once */
	bool ready;
	usec_t resumes_at;
	usec_t restarts_at;
	usec_t offset;
	double rate;
	usec_t wall_error;
	uint32_t vm_number;
	name_t name;
	name_t vm;
	name_t data_centre;
	address_t address;
	uint64_t incarnation;
	membership_t *membership;
	ledger_t *ledger;
	assignment_t *assignment;
	uint32_t charged;
	charge_t charges[MAX_CHARGES];
	message_t held; /* checked against the limit, sent after the pause */
	uint64_t call;	/* outstanding operation, or 0 */
	bool call_writes;
	usec_t called_at;
	usec_t next_read;
	usec_t next_plan;
	usec_t wanted_since;
	GArray *inbox; /* message_t that arrived during a pause */
} node_t;

typedef struct {
	world_t world;
	usec_t longest;
	bool chaos;
	uint64_t fault_interval;  /* mean steps between faults */
	uint64_t demand_interval; /* the same for changes of demand */
	uint64_t calls;
	uint64_t dispatched;
	uint64_t loans;
	uint64_t steps;
	uint64_t releases;
	uint64_t drops;
	usec_t slowest_settling;
	node_t nodes[WORLD_NODES];
} model_t;

static usec_t
local_time(const model_t *model, const node_t *node)
{
	return node->offset + (usec_t)((double)model->world.now * node->rate);
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

static bool
is_serving(const node_t *node)
{
	assigned_service_t *service = node->assignment == NULL
	    ? NULL
	    : assignment_find_service(node->assignment, WORLD_SERVICE);

	return service != NULL && service->holder_count > 0 &&
	    own_holder(node) == &service->holders[0];
}

static void
start_node(model_t *model, node_t *node)
{
	world_t *world = &model->world;
	usec_t wall;
	usec_t now;

	node->offset = world_between(world, 0, SECONDS(1000));
	/* The extremes are the worst cases. */
	node->rate = world_percent(world, 50) ? 0.99 : 1.01;
	node->wall_error = world_percent(world, 50) ? MS(-25) : MS(25);
	wall = world->now + node->wall_error;
	node->incarnation = MAX(node->incarnation + 1,
	    (uint64_t)(wall / USEC_PER_MS) << 20 |
		world_random(world, 1 << 20));
	now = local_time(model, node);
	node->runs = true;
	node->paused = false;
	node->stopping = false;
	node->ready = false;
	node->wanted = 0;
	node->charged = 0;
	node->held.id = 0;
	node->call = 0;
	node->next_read = now;
	node->next_plan = now;
	node->wanted_since = 0;
	node->membership =
	    membership_create(node->name, node->vm, node->incarnation, now);
	node->ledger = ledger_create();
	node->assignment = NULL;
	node->inbox = g_array_new(FALSE, FALSE, sizeof(message_t));
	for (int i = 0; i < WORLD_NODES; i++)
		membership_add(node->membership, model->nodes[i].name, NULL,
		    NULL, model->nodes[i].address, now);
}

static void
end_node(model_t *model, node_t *node, usec_t restart_after)
{
	if (!node->runs)
		return;
	node->runs = false;
	node->restarts_at = model->world.now + restart_after;
	membership_destroy(node->membership);
	ledger_destroy(node->ledger);
	assignment_destroy(node->assignment);
	g_array_free(node->inbox, TRUE);
}

/* A new VM keeps the address or gets another. */
static void
replace_vm(model_t *model, node_t *node)
{
	if (node->vm_number > 0)
		world_end_vm(&model->world, node->vm);
	if (node->vm_number == 0 || world_percent(&model->world, 50))
		snprintf(node->address, sizeof(node->address), "10.0.%d.%u:700",
		    node->place, node->vm_number % 250 + 1);
	node->vm_number++;
	snprintf(node->vm, sizeof(node->vm), "vm-%d-%u", node->place,
	    node->vm_number);
	world_start_vm(&model->world, node->place, node->vm);
}

static bool
process_runs(void *context, const char *name, uint64_t incarnation)
{
	model_t *model = context;

	for (int i = 0; i < WORLD_NODES; i++)
		if (strcmp(model->nodes[i].name, name) == 0)
			return model->nodes[i].runs &&
			    model->nodes[i].incarnation == incarnation;
	return false;
}

static void
adopt(model_t *model, node_t *node, const operation_t *operation)
{
	assignment_t *assignment;
	holder_t *holder;
	char why[256];

	if (operation->text == NULL ||
	    (node->assignment != NULL &&
		operation->version <= node->assignment->version))
		return;
	if (assignment_parse(slice_from(operation->text), operation->version,
		&assignment, why, sizeof(why)) != 0)
		fail_msg("adopted version: %s", why);
	assignment_destroy(node->assignment);
	node->assignment = assignment;
	holder = own_holder(node);
	ledger_set_share(node->ledger, WORLD_SERVICE,
	    holder == NULL ? 0 : holder->slots, model->longest,
	    local_time(model, node));
}

/* The platform's node objects carry the current VM and address of a node. */
static void
read_nodes(model_t *model, node_t *node, const operation_t *operation)
{
	usec_t now = local_time(model, node);

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

	if (!node->runs || node->paused || node->call != operation->id ||
	    node->incarnation != operation->incarnation)
		return;
	node->call = 0;
	adopt(model, node, operation);
	read_nodes(model, node, operation);
	node->ready = true;
}

static void
call_platform(model_t *model, node_t *node, char *text, uint64_t expected)
{
	operation_t operation = {.node = node->place,
	    .incarnation = node->incarnation,
	    .id = ++model->calls,
	    .write = text != NULL,
	    .text = text,
	    .expected = expected};

	node->call = operation.id;
	node->called_at = local_time(model, node);
	world_call(&model->world, &operation);
}

static void
receive_heartbeat(model_t *model, node_t *node, const message_t *message)
{
	usec_t now = local_time(model, node);
	message_t reply = {.kind = MESSAGE_REPLY,
	    .from = node->place,
	    .to = message->from,
	    .from_incarnation = node->incarnation,
	    .to_incarnation = message->from_incarnation,
	    .id = message->id};
	uint32_t queued = node->wanted > node->charged;

	if (membership_receive(node->membership, &message->report, true, now) !=
	    0)
		return;
	if (message->asks && !node->stopping)
		reply.slots = ledger_lend(node->ledger, WORLD_SERVICE,
		    message->report.node, message->report.incarnation,
		    node->charged, queued, model->longest, now);
	world_send(&model->world, &reply);
}

static void
receive_reply(model_t *model, node_t *node, const message_t *message)
{
	const char *lender = model->nodes[message->from].name;
	usec_t now = local_time(model, node);
	usec_t asked_at;

	if (membership_receive_reply(node->membership, lender,
		message->from_incarnation, message->id, now, &asked_at) != 0)
		return;
	ledger_receive_loan(
	    node->ledger, WORLD_SERVICE, lender, message->slots, asked_at, now);
	model->loans += message->slots > 0;
}

static void
release_charge(node_t *node, uint32_t at)
{
	node->charges[at] = node->charges[--node->charged];
}

static void
receive_server_answer(node_t *node, uint64_t id)
{
	for (uint32_t i = node->charged; i-- > 0;)
		if (node->charges[i].id == id)
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
deliver(void *context, const message_t *message)
{
	model_t *model = context;
	node_t *node = &model->nodes[message->to];

	if (!node->runs)
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
	    .from = node->place,
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
	message.asks = node->wanted > 0 &&
	    (is_serving(node) ||
		(model->chaos && world_percent(&model->world, 5)));
	world_send(&model->world, &message);
}

static void
dispatch(model_t *model, node_t *node)
{
	world_t *world = &model->world;
	usec_t now = local_time(model, node);

	while (node->held.id == 0 && node->charged < node->wanted &&
	    node->charged < ledger_limit(node->ledger, WORLD_SERVICE, now)) {
		usec_t left = world_percent(world, 90)
		    ? model->longest
		    : world_between(world, MS(1), model->longest);
		message_t request = {.kind = MESSAGE_REQUEST,
		    .from = node->place,
		    .to = WORLD_SERVER,
		    .from_incarnation = node->incarnation,
		    .id = ++world->next_id,
		    .deadline = world->now + node->wall_error + left};
		charge_t *charge = &node->charges[node->charged++];

		charge->id = request.id;
		charge->given_up_at = now + left + left / DRIFT_FRACTION +
		    MS(DRIFT_MARGIN_MS) + MS(5);
		model->dispatched++;
		if (model->chaos && world_random(world, 2000) == 0) {
			node->held = request;
			node->paused = true;
			node->resumes_at =
			    world->now + world_between(world, 0, SECONDS(2));
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

/* A holder that was never heard is judged by its incarnation alone. */
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
give_up_share(model_t *model, node_t *node, const planner_input_t *input)
{
	bool handover = model->chaos && is_serving(node) &&
	    world_random(&model->world, 300) == 0;

	if (own_holder(node) == NULL)
		return;
	if (handover ||
	    planner_excess_service(node->assignment, input) != NULL ||
	    (node->stopping && !is_serving(node)))
		ledger_close_share(node->ledger, WORLD_SERVICE);
}

static bool
is_done(const node_t *node)
{
	return node->stopping && own_holder(node) == NULL &&
	    node->charged == 0 &&
	    (node->assignment == NULL ||
		assignment_units(
		    node->assignment, node->name, node->incarnation) == 0);
}

static void
propose(model_t *model, node_t *node, const planner_input_t *input)
{
	usec_t now = local_time(model, node);
	assignment_t *draft = planner_plan(node->assignment, input);

	if (draft == NULL) {
		node->wanted_since = 0;
		return;
	}
	if (node->wanted_since == 0)
		node->wanted_since = now;
	/* Nodes that do not wait for their turn race. */
	if (now - node->wanted_since >= planner_delay(input) ||
	    (model->chaos && world_percent(&model->world, 20))) {
		snprintf(draft->token, sizeof(draft->token), "%032llx",
		    (unsigned long long)model->calls + 1);
		call_platform(model, node, assignment_print(draft),
		    node->assignment == NULL ? 0 : node->assignment->version);
		model->releases += input->releasable_count;
	}
	assignment_destroy(draft);
}

static void
plan(model_t *model, node_t *node)
{
	static const name_t releasable = WORLD_SERVICE;
	planner_service_t service = {WORLD_SERVICE, model->world.cap, 40};
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
	give_up_share(model, node, &input);
	input.releasable_count = ledger_may_release(node->ledger, WORLD_SERVICE,
	    node->charged, local_time(model, node));
	input.release_units = planner_excess_units(node->assignment, &input);
	propose(model, node, &input);
}

static void
run_platform(model_t *model, node_t *node)
{
	usec_t now = local_time(model, node);

	if (node->call != 0 && now - node->called_at >= CALL_LIMIT)
		node->call = 0;
	if (node->call != 0)
		return;
	if (now >= node->next_read) {
		node->next_read =
		    now + world_between(&model->world, MS(50), MS(300));
		call_platform(model, node, NULL, 0);
	} else if (node->ready && now >= node->next_plan) {
		node->next_plan =
		    now + world_between(&model->world, MS(20), MS(100));
		plan(model, node);
	}
}

static void
run_node(model_t *model, node_t *node)
{
	usec_t now = local_time(model, node);
	membership_action_t action;

	for (uint32_t i = node->charged; i-- > 0;)
		if (now >= node->charges[i].given_up_at)
			release_charge(node, i);
	membership_tick(node->membership, now);
	while (membership_next_action(node->membership, &action)) {
		if (action.kind == MEMBERSHIP_SEND_HEARTBEAT)
			send_heartbeat(model, node, &action);
		model->drops += action.kind == MEMBERSHIP_GONE;
	}
	if (!model->chaos)
		node->wanted = is_serving(node) ? model->world.cap : 0;
	else if (world_random(&model->world, model->demand_interval) == 0)
		node->wanted =
		    (uint32_t)world_random(&model->world, model->world.cap + 2);
	dispatch(model, node);
	if (!node->paused)
		run_platform(model, node);
	if (!node->paused && is_done(node))
		end_node(model, node,
		    world_between(&model->world, MS(100), SECONDS(5)));
}

static void
resume_node(model_t *model, node_t *node)
{
	GArray *inbox = node->inbox;

	node->paused = false;
	node->inbox = g_array_new(FALSE, FALSE, sizeof(message_t));
	if (node->held.id != 0)
		world_send(&model->world, &node->held);
	node->held.id = 0;
	for (guint i = 0; i < inbox->len; i++)
		receive_message(
		    model, node, &g_array_index(inbox, message_t, i));
	g_array_free(inbox, TRUE);
}

static void
step_node(model_t *model, node_t *node)
{
	world_t *world = &model->world;

	if (!node->runs && world->now >= node->restarts_at) {
		if (world_percent(world, 50))
			replace_vm(model, node);
		start_node(model, node);
	}
	if (!node->runs)
		return;
	if (node->paused && world->now >= node->resumes_at)
		resume_node(model, node);
	if (!node->paused && (!model->chaos || world_percent(world, 80)))
		run_node(model, node);
}

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
		end_node(model, node, length);
		return;
	case 3:
		end_node(model, node, MS(10));
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
		step_node(model, &model->nodes[i]);
}

/* A serving node under load may use every slot. */
static bool
is_fully_served(model_t *model)
{
	for (int i = 0; i < WORLD_NODES; i++) {
		node_t *node = &model->nodes[i];

		if (node->runs && !node->paused && is_serving(node) &&
		    node->assignment->version == model->world.version &&
		    ledger_limit(node->ledger, WORLD_SERVICE,
			local_time(model, node)) == model->world.cap)
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
	world_callbacks_t callbacks = {
	    deliver, receive_answer, process_runs, model};

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
		replace_vm(model, node);
	}
	for (int i = 0; i < WORLD_NODES; i++)
		start_node(model, &model->nodes[i]);
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
	/* Otherwise the run has not tested sharing at all. */
	assert_int_equal(model->world.most_running, model->world.cap);
	for (int i = 0; i < WORLD_NODES; i++)
		end_node(model, &model->nodes[i], 0);
	world_clear(&model->world);
	g_free(model);
}

static void
caps_hold_and_service_recovers(void **state)
{
	const char *seed = getenv("BW_SEED");
	const char *steps_text = getenv("BW_STEPS");
	uint64_t steps =
	    steps_text != NULL ? strtoull(steps_text, NULL, 10) : 50000;

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
