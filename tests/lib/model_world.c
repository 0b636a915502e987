#include "model_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MODEL_EPOCH SECONDS(1700000000)

void
world_init(world_t *world, uint64_t seed, uint32_t cap,
    const world_callbacks_t *callbacks)
{
	memset(world, 0, sizeof(*world));
	world->random = seed * 0x9e3779b97f4a7c15ULL + 1;
	world->now = MODEL_EPOCH;
	world->cap = cap;
	world->callbacks = *callbacks;
	world->messages = g_array_new(FALSE, FALSE, sizeof(message_t));
	world->running = g_array_new(FALSE, FALSE, sizeof(message_t));
	world->operations = g_array_new(FALSE, FALSE, sizeof(operation_t));
	world->vms = g_array_new(FALSE, FALSE, sizeof(vm_record_t));
	world->server_wall = world_percent(world, 50) ? MS(-25) : MS(25);
	world->list_lag = world_between(world, 0, SECONDS(5));
	world->listed_at = world->now;
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
	g_array_free(world->running, TRUE);
	g_array_free(world->operations, TRUE);
	g_array_free(world->vms, TRUE);
	free(world->text);
}

uint64_t
world_random(world_t *world, uint64_t below)
{
	world->random ^= world->random >> 12;
	world->random ^= world->random << 25;
	world->random ^= world->random >> 27;
	return (world->random * 0x2545f4914f6cdd1dULL >> 11) % below;
}

usec_t
world_between(world_t *world, usec_t low, usec_t high)
{
	return low + (usec_t)world_random(world, (uint64_t)(high - low + 1));
}

bool
world_percent(world_t *world, uint32_t percent)
{
	return world_random(world, 100) < percent;
}

void
world_send(world_t *world, const message_t *message)
{
	message_t sent = *message;

	if (world->cut_until[sent.from][sent.to] > world->now ||
	    world_percent(world, world->loss_percent))
		return;
	sent.at = world->now + world_between(world, 200, MS(5));
	if (world->slow_until > world->now && world_percent(world, 30))
		sent.at += world_between(world, 0, MS(800));
	g_array_append_val(world->messages, sent);
}

void
world_call(world_t *world, const operation_t *operation)
{
	operation_t call = *operation;
	usec_t slowest =
	    world->platform_slow_until > world->now ? MS(2500) : MS(8);

	call.applied_at = world->now + world_between(world, 300, slowest);
	call.answered_at = call.applied_at + world_between(world, 300, slowest);
	call.lost =
	    world->lose_answers_until > world->now && world_percent(world, 50);
	g_array_append_val(world->operations, call);
}

/* Requests that ran at one moment; several events fall into one step. */
static uint32_t
count_running(const world_t *world, usec_t at)
{
	uint32_t count = 0;

	for (guint i = 0; i < world->running->len; i++) {
		message_t *request =
		    &g_array_index(world->running, message_t, i);

		count += request->started_at <= at && at < request->at;
	}
	return count;
}

static void
check_cap(world_t *world, usec_t at)
{
	uint32_t count = count_running(world, at);

	world->most_running = MAX(world->most_running, count);
	if (count > world->cap)
		fail_msg("%u requests run on a server with %u slots at %.3f s",
		    count, world->cap, (double)(at - MODEL_EPOCH) / 1e6);
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
	usec_t left = request->deadline - (request->at + world->server_wall);

	if (left <= 0) {
		world_send(world, &answer);
		return;
	}
	run.started_at = request->at;
	run.at += world_random(world, 10000) < world->full_odds
	    ? left
	    : world_between(world, 1, MIN(left, MS(20)));
	g_array_append_val(world->running, run);
	for (guint i = 0; i < world->running->len; i++) {
		usec_t started_at =
		    g_array_index(world->running, message_t, i).started_at;

		if (started_at >= run.started_at)
			check_cap(world, started_at);
	}
}

static void
step_server(world_t *world)
{
	for (guint i = world->running->len; i-- > 0;) {
		message_t *request =
		    &g_array_index(world->running, message_t, i);
		message_t answer = {.kind = MESSAGE_ANSWER,
		    .from = WORLD_SERVER,
		    .to = request->from,
		    .to_incarnation = request->from_incarnation,
		    .id = request->id};

		if (request->at > world->now)
			continue;
		g_array_remove_index_fast(world->running, i);
		world_send(world, &answer);
	}
}

static void
step_network(world_t *world)
{
	for (guint i = world->messages->len; i-- > 0;) {
		message_t message =
		    g_array_index(world->messages, message_t, i);

		if (message.at > world->now)
			continue;
		g_array_remove_index_fast(world->messages, i);
		if (message.to == WORLD_SERVER)
			receive_request(world, &message);
		else
			world->callbacks.deliver(
			    world->callbacks.context, &message);
	}
}

/* Judges a change on the model's own knowledge: only a holder itself, or the
 * end of its process, reduces a share, and nobody uses what a holder gives up.
 */
static void
check_change(world_t *world, const operation_t *write,
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
		if (!world->callbacks.runs(world->callbacks.context,
			holder->node, holder->incarnation))
			continue;
		if (write->incarnation != holder->incarnation)
			fail_msg("the share of %s was taken while it runs",
			    holder->node);
		if (count_running(world, world->now) + holder->slots >
		    world->cap)
			fail_msg(
			    "%s gave up a share that was in use", holder->node);
	}
}

static assignment_t *
parse_object(const char *text, uint64_t version)
{
	assignment_t *assignment;
	char why[256];

	if (assignment_parse(
		slice_from(text), version, &assignment, why, sizeof(why)) != 0)
		fail_msg("version %llu: %s", (unsigned long long)version, why);
	return assignment;
}

static void
apply_write(world_t *world, operation_t *write)
{
	assignment_t *before = NULL, *after;

	write->conflict = write->expected != world->version;
	if (write->conflict) {
		world->conflicts++;
		return;
	}
	after = parse_object(write->text, world->version + 1);
	if (world->text != NULL) {
		before = parse_object(world->text, world->version);
		check_change(world, write, before, after);
	}
	assignment_destroy(before);
	assignment_destroy(after);
	free(world->text);
	world->text = strdup(write->text);
	world->version++;
	world->writes++;
}

static void
list_vms(world_t *world, operation_t *operation)
{
	usec_t at = world->now - world_between(world, 0, world->list_lag);

	world->listed_at = MAX(world->listed_at, at);
	operation->vms = g_new0(vm_entry_t, world->vms->len);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_record_t *record =
		    &g_array_index(world->vms, vm_record_t, i);
		bool ended = record->ended_at != 0 &&
		    record->ended_at <= world->listed_at;
		vm_entry_t *entry = &operation->vms[operation->vm_count];

		if (record->created_at > world->listed_at ||
		    (ended && !record->shown_gone))
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
	/* Unanswered calls fail by the caller's own time limit. */
	if (world->down_until > world->now ||
	    world->platform_cut_until[operation->node] > world->now) {
		operation->lost = true;
		return;
	}
	if (operation->write)
		apply_write(world, operation);
	list_vms(world, operation);
	free(operation->text);
	operation->text = world->text == NULL ? NULL : strdup(world->text);
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
		if (!done.lost)
			world->callbacks.answer(
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
	memset(world->cut_until, 0, sizeof(world->cut_until));
	memset(world->platform_cut_until, 0, sizeof(world->platform_cut_until));
	world->slow_until = 0;
	world->loss_percent = 0;
	world->down_until = 0;
	world->platform_slow_until = 0;
	world->lose_answers_until = 0;
}

void
world_start_vm(world_t *world, int node, const char *vm)
{
	vm_record_t record = {.node = node, .created_at = world->now};

	/* A VM boots before its process starts. */
	record.created_at -= MS(500);
	record.shown_gone = world_percent(world, 50);
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
