/* The states of one reservation attempt, from its arrival to its answer. */
#include "claim_attempt.h"

#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"

attempt_t *
claim_attempt_create(claim_object_t *object, const claim_request_t *request)
{
	attempt_t *attempt = g_new0(attempt_t, 1);

	attempt->object = object;
	attempt->request = *request;
	claim_parse_key(request->key, &attempt->key_time);
	attempt->entry_id =
	    claim_document_entry_id(request->customer, request->key);
	attempt->token = id128_random();
	attempt->reads_at_arrival = object->read_count;
	attempt->waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
	g_ptr_array_add(object->attempts, attempt);
	g_hash_table_replace(
	    object->active_attempts, attempt->entry_id, attempt);
	g_hash_table_insert(
	    object->table->attempts, &attempt->request.tag, attempt);
	object->table->pending_requests++;
	claim_table_wake_at(object->table, request->deadline);
	return attempt;
}

/* Lets the next request with this key start a new attempt. */
static void
deactivate(attempt_t *attempt)
{
	GHashTable *active = attempt->object->active_attempts;

	if (g_hash_table_lookup(active, attempt->entry_id) == attempt)
		g_hash_table_remove(active, attempt->entry_id);
}

void
claim_attempt_destroy(attempt_t *attempt)
{
	claim_table_t *table = attempt->object->table;

	deactivate(attempt);
	g_hash_table_remove(table->attempts, &attempt->request.tag);
	table->pending_requests -= 1 + attempt->waiters->len;
	body_unref(attempt->answer.body);
	g_array_free(attempt->waiters, TRUE);
	g_free(attempt->entry_id);
	g_free(attempt);
}

void
claim_attempt_add_waiter(attempt_t *attempt, const claim_request_t *request)
{
	waiter_t waiter = {request->tag, request->deadline};

	g_array_append_val(attempt->waiters, waiter);
	attempt->object->table->pending_requests++;
	claim_table_wake_at(attempt->object->table, request->deadline);
}

void
claim_attempt_answer_all(attempt_t *attempt, const answer_t *answer)
{
	claim_table_t *table = attempt->object->table;

	if (!attempt->answered)
		claim_action_answer(table, attempt->request.tag, answer, false);
	attempt->answered = true;
	for (guint i = 0; i < attempt->waiters->len; i++)
		claim_action_answer(table,
		    g_array_index(attempt->waiters, waiter_t, i).tag, answer,
		    true);
	table->pending_requests -= attempt->waiters->len;
	g_array_set_size(attempt->waiters, 0);
}

void
claim_attempt_abandon(attempt_t *attempt, const answer_t *answer)
{
	INVARIANT(
	    attempt->phase == PHASE_WAITING || attempt->phase == PHASE_CLAIMING,
	    "an attempt that may have been dispatched is abandoned");
	claim_attempt_answer_all(attempt, answer);
	deactivate(attempt);
	attempt->abandoned = true;
	/* If its claim may be stored, it stays until the claim is released
	 * or is known not to be stored. */
	if (attempt->phase == PHASE_WAITING && !attempt->in_doubt)
		attempt->phase = PHASE_ENDED;
}

void
claim_attempt_set_outcome(
    attempt_t *attempt, entry_state_t outcome, const answer_t *answer)
{
	attempt->phase = PHASE_OUTCOME_KNOWN;
	attempt->in_doubt = false;
	attempt->outcome = outcome;
	attempt->answer = *answer;
	body_ref(answer->body);
	/* A new attempt may claim a released key at once. */
	if (outcome == ENTRY_RELEASED)
		deactivate(attempt);
}

void
claim_attempt_finish(attempt_t *attempt)
{
	claim_attempt_answer_all(attempt, &attempt->answer);
	attempt->phase = PHASE_ENDED;
}

static void
dispatch(attempt_t *attempt)
{
	const entry_t *entry =
	    claim_document_find(attempt->object->document, attempt->entry_id);
	claim_action_t action = {
	    .kind = CLAIM_DISPATCH, .tag = attempt->request.tag};

	INVARIANT(
	    attempt->phase == PHASE_WAITING || attempt->phase == PHASE_CLAIMING,
	    "an attempt is dispatched twice");
	INVARIANT(!attempt->abandoned && !attempt->answered,
	    "an attempt is dispatched after its request was answered");
	INVARIANT(entry != NULL && entry->spec.state == ENTRY_CLAIMED &&
		id128_equal(entry->spec.token, attempt->token),
	    "an attempt is dispatched without its stored claim");
	attempt->phase = PHASE_DISPATCHED;
	attempt->in_doubt = false;
	claim_action_push(attempt->object->table, &action, NULL, NULL);
}

void
claim_attempt_confirm(attempt_t *attempt, usec_t now)
{
	const answer_t late = {.error = BW_E_DEADLINE};

	if (!attempt->abandoned && now < attempt->request.deadline) {
		dispatch(attempt);
		return;
	}
	claim_attempt_answer_all(attempt, &late);
	claim_attempt_set_outcome(attempt, ENTRY_RELEASED, &late);
}

static void
expire_own_request(attempt_t *attempt)
{
	const answer_t not_stored = {.error = BW_E_PLATFORM_DOWN};
	const answer_t unknown = {.error = BW_E_OUTCOME_UNKNOWN};

	switch (attempt->phase) {
	case PHASE_WAITING:
	case PHASE_CLAIMING:
		claim_attempt_abandon(attempt, &not_stored);
		break;
	case PHASE_DISPATCHED:
		claim_action_answer(attempt->object->table,
		    attempt->request.tag, &unknown, false);
		attempt->answered = true;
		break;
	case PHASE_OUTCOME_KNOWN:
		/* The outcome is known, although not stored yet. */
		claim_attempt_answer_all(attempt, &attempt->answer);
		break;
	case PHASE_ENDED:
		break;
	}
}

void
claim_attempt_expire(attempt_t *attempt, usec_t now)
{
	const answer_t running = {.error = BW_E_IN_PROGRESS};
	claim_table_t *table = attempt->object->table;

	if (!attempt->answered && attempt->request.deadline <= now)
		expire_own_request(attempt);
	for (guint i = attempt->waiters->len; i-- > 0;) {
		waiter_t waiter = g_array_index(attempt->waiters, waiter_t, i);

		if (waiter.deadline > now)
			continue;
		claim_action_answer(table, waiter.tag,
		    attempt->phase == PHASE_OUTCOME_KNOWN ? &attempt->answer
							  : &running,
		    true);
		g_array_remove_index_fast(attempt->waiters, i);
		table->pending_requests--;
	}
}

usec_t
claim_attempt_next_deadline(const attempt_t *attempt)
{
	usec_t next = attempt->answered ? 0 : attempt->request.deadline;

	for (guint i = 0; i < attempt->waiters->len; i++) {
		usec_t deadline =
		    g_array_index(attempt->waiters, waiter_t, i).deadline;

		if (next == 0 || deadline < next)
			next = deadline;
	}
	return next;
}
