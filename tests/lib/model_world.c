#include "model_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MODEL_EPOCH SECONDS(1700000000)

void
world_init(world_t *world, uint64_t seed, uint32_t slot_limit,
    const world_callbacks_t *callbacks)
{
	memset(world, 0, sizeof(*world));
	world->random_state = seed * 0x9e3779b97f4a7c15ULL + 1;
	world->now = MODEL_EPOCH;
	world->slot_limit = slot_limit;
	world->callbacks = *callbacks;
	world->messages = g_array_new(FALSE, FALSE, sizeof(message_t));
	world->running_requests = g_array_new(FALSE, FALSE, sizeof(message_t));
	world->operations = g_array_new(FALSE, FALSE, sizeof(operation_t));
	world->vms = g_array_new(FALSE, FALSE, sizeof(vm_record_t));
	world->server_clock_error =
	    world_random_chance(world, 50) ? MS(-25) : MS(25);
	world->vm_list_max_lag = world_random_between(world, 0, SECONDS(5));
	world->vm_list_time = world->now;
}

void
world_clear(world_t *world)
{
	for (guint i = 0; i < world->operations->len; i++) {
		operation_t *operation =
		    &g_array_index(world->operations, operation_t, i);

		free(operation->text);
		g_free(operation->vms);
	}
	g_array_free(world->messages, TRUE);
	g_array_free(world->running_requests, TRUE);
	g_array_free(world->operations, TRUE);
	g_array_free(world->vms, TRUE);
	free(world->assignment_text);
}

uint64_t
world_random(world_t *world, uint64_t limit)
{
	world->random_state ^= world->random_state >> 12;
	world->random_state ^= world->random_state << 25;
	world->random_state ^= world->random_state >> 27;
	return (world->random_state * 0x2545f4914f6cdd1dULL >> 11) % limit;
}

usec_t
world_random_between(world_t *world, usec_t low, usec_t high)
{
	return low + (usec_t)world_random(world, (uint64_t)(high - low + 1));
}

bool
world_random_chance(world_t *world, uint32_t percent)
{
	return world_random(world, 100) < percent;
}

void
world_send(world_t *world, const message_t *message)
{
	message_t sent = *message;

	if (world->link_down_until[sent.from][sent.to] > world->now ||
	    world_random_chance(world, world->loss_percent))
		return;
	sent.due_at = world->now + world_random_between(world, 200, MS(5));
	if (world->network_slow_until > world->now &&
	    world_random_chance(world, 30))
		sent.due_at += world_random_between(world, 0, MS(800));
	g_array_append_val(world->messages, sent);
}

void
world_call(world_t *world, const operation_t *operation)
{
	operation_t call = *operation;
	usec_t slowest =
	    world->platform_slow_until > world->now ? MS(2500) : MS(8);

	call.applied_at =
	    world->now + world_random_between(world, 300, slowest);
	call.answered_at =
	    call.applied_at + world_random_between(world, 300, slowest);
	call.reply_lost = world->lose_replies_until > world->now &&
	    world_random_chance(world, 50);
	g_array_append_val(world->operations, call);
}

/* Number of requests that ran at the time @at. A step covers several events, so
 * that @at may be earlier than the current time. */
static uint32_t
count_running(const world_t *world, usec_t at)
{
	uint32_t count = 0;

	for (guint i = 0; i < world->running_requests->len; i++) {
		message_t *request =
		    &g_array_index(world->running_requests, message_t, i);

		count += request->started_at <= at && at < request->due_at;
	}
	return count;
}

static void
check_slot_limit(world_t *world, usec_t at)
{
	uint32_t count = count_running(world, at);

	world->max_running = MAX(world->max_running, count);
	if (count > world->slot_limit)
		fail_msg("%u requests run on a server with %u slots at %.3f s",
		    count, world->slot_limit, (double)(at - MODEL_EPOCH) / 1e6);
}

static void
receive_request(world_t *world, const message_t *request)
{
	message_t answer = {.kind = MESSAGE_ANSWER,
	    .from = WORLD_SERVER,
	    .to = request->from,
	    .to_incarnation = request->from_incarnation,
	    .id = request->id};
	message_t run = *request;
	usec_t left =
	    request->deadline - (request->due_at + world->server_clock_error);

	if (left <= 0) {
		world_send(world, &answer);
		return;
	}
	run.started_at = request->due_at;
	run.due_at += world_random(world, 10000) < world->full_length_odds
	    ? left
	    : world_random_between(world, 1, MIN(left, MS(20)));
	g_array_append_val(world->running_requests, run);
	for (guint i = 0; i < world->running_requests->len; i++) {
		usec_t started_at =
		    g_array_index(world->running_requests, message_t, i)
			.started_at;

		if (started_at >= run.started_at)
			check_slot_limit(world, started_at);
	}
}

static void
step_server(world_t *world)
{
	for (guint i = world->running_requests->len; i-- > 0;) {
		message_t *request =
		    &g_array_index(world->running_requests, message_t, i);
		message_t answer = {.kind = MESSAGE_ANSWER,
		    .from = WORLD_SERVER,
		    .to = request->from,
		    .to_incarnation = request->from_incarnation,
		    .id = request->id};

		if (request->due_at > world->now)
			continue;
		g_array_remove_index_fast(world->running_requests, i);
		world_send(world, &answer);
	}
}

static void
step_network(world_t *world)
{
	for (guint i = world->messages->len; i-- > 0;) {
		message_t message =
		    g_array_index(world->messages, message_t, i);

		if (message.due_at > world->now)
			continue;
		g_array_remove_index_fast(world->messages, i);
		if (message.to == WORLD_SERVER)
			receive_request(world, &message);
		else
			world->callbacks.deliver_message(
			    world->callbacks.context, &message);
	}
}

/* Checks a new assignment against the true state of the processes: the share of
 * a process that runs is reduced only by that process, and only while the slots
 * that it releases are free. */
static void
check_assignment_change(world_t *world, const operation_t *write,
    const assignment_t *before, const assignment_t *after)
{
	assigned_service_t *old =
	    assignment_find_service(before, WORLD_SERVICE);
	assigned_service_t *new = assignment_find_service(after, WORLD_SERVICE);

	for (uint32_t i = 0; old != NULL && i < old->holder_count; i++) {
		holder_t *holder = &old->holders[i];
		holder_t *kept = assignment_find_holder(
		    new, holder->node, holder->incarnation);

		if (kept != NULL && kept->slots >= holder->slots)
			continue;
		if (!world->callbacks.process_exists(world->callbacks.context,
			holder->node, holder->incarnation))
			continue;
		if (write->incarnation != holder->incarnation)
			fail_msg("another process took the share of %s, which "
				 "still runs",
			    holder->node);
		if (count_running(world, world->now) + holder->slots >
		    world->slot_limit)
			fail_msg(
			    "%s released a share while its slots were in use",
			    holder->node);
	}
}

static assignment_t *
parse_object(const char *text, uint64_t version)
{
	assignment_t *assignment;
	char message[256];

	if (assignment_parse(slice_from(text), version, &assignment, message,
		sizeof(message)) != 0)
		fail_msg(
		    "version %llu: %s", (unsigned long long)version, message);
	return assignment;
}

static void
apply_write(world_t *world, operation_t *write)
{
	assignment_t *before = NULL, *after;

	write->conflict = write->expected_version != world->version;
	if (write->conflict) {
		world->conflict_count++;
		return;
	}
	after = parse_object(write->text, world->version + 1);
	if (world->assignment_text != NULL) {
		before = parse_object(world->assignment_text, world->version);
		check_assignment_change(world, write, before, after);
	}
	assignment_destroy(before);
	assignment_destroy(after);
	free(world->assignment_text);
	world->assignment_text = strdup(write->text);
	world->version++;
	world->write_count++;
}

static void
list_vms(world_t *world, operation_t *operation)
{
	usec_t list_time =
	    world->now - world_random_between(world, 0, world->vm_list_max_lag);

	world->vm_list_time = MAX(world->vm_list_time, list_time);
	operation->vms = g_new0(vm_entry_t, world->vms->len);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_record_t *record =
		    &g_array_index(world->vms, vm_record_t, i);
		bool ended = record->ended_at != 0 &&
		    record->ended_at <= world->vm_list_time;
		vm_entry_t *entry = &operation->vms[operation->vm_count];

		if (record->created_at > world->vm_list_time ||
		    (ended && !record->listed_as_gone))
			continue;
		g_strlcpy(entry->vm, record->vm, sizeof(entry->vm));
		entry->state = ended ? VM_GONE : VM_LIVE;
		operation->vm_count++;
	}
}

static void
apply_operation(world_t *world, operation_t *operation)
{
	operation->applied = true;
	/* The caller gets no answer and gives up after its own timeout. */
	if (world->platform_down_until > world->now ||
	    world->platform_link_down_until[operation->node] > world->now) {
		operation->reply_lost = true;
		return;
	}
	if (operation->is_write)
		apply_write(world, operation);
	list_vms(world, operation);
	free(operation->text);
	operation->text = world->assignment_text == NULL
	    ? NULL
	    : strdup(world->assignment_text);
	operation->version = world->version;
}

static void
step_platform(world_t *world)
{
	for (guint i = world->operations->len; i-- > 0;) {
		operation_t *operation =
		    &g_array_index(world->operations, operation_t, i);
		operation_t done;

		if (!operation->applied && operation->applied_at <= world->now)
			apply_operation(world, operation);
		if (operation->answered_at > world->now)
			continue;
		done = *operation;
		g_array_remove_index_fast(world->operations, i);
		if (!done.reply_lost)
			world->callbacks.deliver_answer(
			    world->callbacks.context, &done);
		free(done.text);
		g_free(done.vms);
	}
}

void
world_step(world_t *world, usec_t by)
{
	world->now += by;
	step_network(world);
	step_server(world);
	step_platform(world);
}

void
world_heal(world_t *world)
{
	memset(world->link_down_until, 0, sizeof(world->link_down_until));
	memset(world->platform_link_down_until, 0,
	    sizeof(world->platform_link_down_until));
	world->network_slow_until = 0;
	world->loss_percent = 0;
	world->platform_down_until = 0;
	world->platform_slow_until = 0;
	world->lose_replies_until = 0;
}

void
world_start_vm(world_t *world, int node, const char *vm)
{
	vm_record_t record = {.node = node, .created_at = world->now};

	/* A VM exists for some time before its process starts. */
	record.created_at -= MS(500);
	record.listed_as_gone = world_random_chance(world, 50);
	g_strlcpy(record.vm, vm, sizeof(record.vm));
	g_array_append_val(world->vms, record);
}

void
world_end_vm(world_t *world, const char *vm)
{
	for (guint i = world->vms->len; i-- > 0;) {
		vm_record_t *record =
		    &g_array_index(world->vms, vm_record_t, i);

		if (strcmp(record->vm, vm) == 0)
			record->ended_at = world->now;
		else if (record->ended_at != 0 &&
		    record->ended_at + SECONDS(300) < world->now)
			g_array_remove_index_fast(world->vms, i);
	}
}
