/* The queue of actions that claim_next_action() returns. */
#include <string.h>

#include "claim_attempt.h"

void
claim_action_push(claim_table_t *table, const claim_action_t *action,
    char *text, body_t *body)
{
	queued_action_t *queued = g_new0(queued_action_t, 1);

	queued->action = *action;
	queued->text = text;
	queued->body = body_ref(body);
	queued->action.text = text;
	queued->action.body = body;
	g_queue_push_tail(&table->actions, queued);
}

void
claim_action_push_io(claim_object_t *object, bool write, char *text)
{
	claim_action_t action = {.kind = write ? CLAIM_WRITE : CLAIM_READ};

	g_strlcpy(action.object, object->name, sizeof(action.object));
	if (write)
		action.version = object->version;
	claim_action_push(object->table, &action, text, NULL);
}

void
claim_action_answer(
    claim_table_t *table, uint64_t tag, const answer_t *answer, bool repeated)
{
	claim_action_t action = {.kind = CLAIM_ANSWER,
	    .tag = tag,
	    .error = answer->error,
	    .http_status = answer->http_status,
	    .repeated = repeated};

	claim_action_push(table, &action, NULL, answer->body);
}

static void
free_last_action(claim_table_t *table)
{
	if (table->last_action == NULL)
		return;
	g_free(table->last_action->text);
	body_unref(table->last_action->body);
	g_free(table->last_action);
	table->last_action = NULL;
}

bool
claim_next_action(claim_table_t *table, claim_action_t *action)
{
	free_last_action(table);
	table->last_action = g_queue_pop_head(&table->actions);
	if (table->last_action == NULL)
		return false;
	*action = table->last_action->action;
	return true;
}
