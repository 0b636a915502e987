#include <glib.h>

#include "bulrushwell/event.h"
#include "scheduler_private.h"

#define INITIAL_CAPACITY 64

static void
grow_ring(action_list_t *list)
{
	uint32_t capacity =
	    list->capacity == 0 ? INITIAL_CAPACITY : 2 * list->capacity;
	pending_action_t *ring = g_new(pending_action_t, capacity);

	for (uint32_t i = 0; i < list->count; i++)
		ring[i] = list->ring[(list->first + i) & (list->capacity - 1)];
	g_free(list->ring);
	list->ring = ring;
	list->capacity = capacity;
	list->first = 0;
}

static void
push_action(scheduler_t *scheduler, pending_action_t action)
{
	action_list_t *list = &scheduler->actions;

	if (list->count == list->capacity)
		grow_ring(list);
	list->ring[(list->first + list->count++) & (list->capacity - 1)] =
	    action;
}

void
scheduler_push_action(scheduler_t *scheduler, int kind, handle_t handle)
{
	push_action(
	    scheduler, (pending_action_t){.kind = kind, .handle = handle});
}

void
scheduler_push_crash(
    scheduler_t *scheduler, uint64_t fingerprint, uint64_t crash_number)
{
	push_action(scheduler,
	    (pending_action_t){.kind = SCHEDULER_CRASH,
		.fingerprint = fingerprint,
		.crash_number = crash_number});
}

/* Returns false for an attempt that ended before its action was taken. */
static bool
fill_attempt(
    scheduler_t *scheduler, handle_t handle, scheduler_action_t *action)
{
	attempt_t *attempt = table_get(scheduler->attempts, handle);
	const job_entry_t *entry;

	if (attempt == NULL)
		return false;
	action->attempt = handle;
	action->attempt_id = attempt->id;
	g_strlcpy(
	    action->address, attempt->server->address, sizeof(action->address));
	if (action->kind != SCHEDULER_START)
		return true;
	entry = scheduler_find_job(scheduler, attempt->job);
	INVARIANT(entry != NULL, "an attempt started for a job that ended");
	if (entry == NULL)
		return false;
	attempt->start_taken = true;
	action->deadline = attempt->deadline;
	action->fresh_connection = attempt->fresh_connection;
	action->retire_before = attempt->server->retire_before;
	action->job = &entry->job;
	return true;
}

static bool
fill_reply(scheduler_t *scheduler, handle_t handle, scheduler_action_t *action)
{
	const job_entry_t *entry = table_get(scheduler->jobs, handle);

	INVARIANT(entry != NULL && entry->ended,
	    "a reply for a job that has not ended");
	if (entry == NULL)
		return false;
	scheduler->last_replied = handle;
	action->job = &entry->job;
	action->error = entry->error;
	action->http_status = entry->http_status;
	action->body = entry->reply;
	return true;
}

static bool
fill_action(scheduler_t *scheduler, const pending_action_t *pending,
    scheduler_action_t *action)
{
	*action = (scheduler_action_t){0};
	switch (pending->kind) {
	case SCHEDULER_START:
		action->kind = SCHEDULER_START;
		return fill_attempt(scheduler, pending->handle, action);
	case SCHEDULER_CANCEL:
		action->kind = SCHEDULER_CANCEL;
		return fill_attempt(scheduler, pending->handle, action);
	case SCHEDULER_REPLY:
		action->kind = SCHEDULER_REPLY;
		return fill_reply(scheduler, pending->handle, action);
	default:
		action->kind = SCHEDULER_CRASH;
		action->fingerprint = pending->fingerprint;
		action->crash_number = pending->crash_number;
		return true;
	}
}

bool
scheduler_next_action(scheduler_t *scheduler, scheduler_action_t *action)
{
	action_list_t *list = &scheduler->actions;

	if (scheduler->last_replied != HANDLE_NONE)
		scheduler_free_job(scheduler, scheduler->last_replied);
	scheduler->last_replied = HANDLE_NONE;
	while (list->count > 0) {
		pending_action_t pending = list->ring[list->first];

		list->first = (list->first + 1) & (list->capacity - 1);
		list->count--;
		if (fill_action(scheduler, &pending, action))
			return true;
	}
	return false;
}
