/* Decides whether an object needs a read or a write, and composes the write. */
#include "bulrushwell/error.h"
#include "claim_attempt.h"

/* Reserved in the object for the outcome of each claim, so that most outcomes
 * can be stored when it is nearly full. */
#define OUTCOME_RESERVE_BYTES 1024
/* Limit of the documents kept in memory between writes; the memory budget of a
 * node is 64 MB. */
#define MAX_CACHED_BYTES (16u * 1024 * 1024)

/* The write that is being composed. */
typedef struct {
	claim_object_t *object;
	document_t *next_document;
	usec_t now;
	int64_t wall_seconds;
	size_t reserved_bytes; /* for outcomes */
	bool changed;
	bool must_read; /* the stored content may be outdated */
} write_plan_t;

static void
remove_ended(claim_object_t *object)
{
	guint kept = 0;

	for (guint i = 0; i < object->attempts->len; i++) {
		attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase == PHASE_ENDED)
			claim_attempt_destroy(attempt);
		else
			object->attempts->pdata[kept++] = attempt;
	}
	g_ptr_array_set_size(object->attempts, (gint)kept);
}

static bool
has_work(const claim_object_t *object)
{
	for (guint i = 0; i < object->attempts->len; i++) {
		const attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->phase != PHASE_DISPATCHED)
			return true;
	}
	return false;
}

static entry_spec_t
make_entry_spec(const attempt_t *attempt, entry_state_t state)
{
	entry_spec_t spec = {.token = attempt->token, .state = state};

	g_strlcpy(
	    spec.customer, attempt->request.customer, sizeof(spec.customer));
	g_strlcpy(spec.key, attempt->request.key, sizeof(spec.key));
	spec.digest[0] = attempt->request.digest[0];
	spec.digest[1] = attempt->request.digest[1];
	return spec;
}

/* The entry of an outcome; without the body if that does not fit. */
static entry_spec_t
make_outcome_spec(const write_plan_t *plan, const attempt_t *attempt)
{
	entry_spec_t spec = make_entry_spec(attempt, attempt->outcome);

	if (attempt->outcome != ENTRY_DONE)
		return spec;
	spec.status = attempt->answer.http_status;
	if (!claim_document_can_store_body(body_slice(attempt->answer.body)))
		return spec;
	spec.body = attempt->answer.body;
	if (claim_document_size(plan->next_document) +
		claim_document_entry_size(&spec) >
	    CLAIM_MAX_OBJECT_BYTES)
		spec.body = NULL;
	return spec;
}

static void
plan_outcome(write_plan_t *plan, attempt_t *attempt)
{
	const entry_t *entry =
	    claim_document_find(plan->next_document, attempt->entry_id);
	entry_spec_t spec;

	/* Its entry was removed after the repeat window: nothing to update. */
	if (entry == NULL || !id128_equal(entry->spec.token, attempt->token)) {
		claim_attempt_finish(attempt);
		return;
	}
	spec = make_outcome_spec(plan, attempt);
	claim_document_put(plan->next_document, &spec);
	attempt->storing_outcome = true;
	plan->changed = true;
}

static bool
is_key_expired(const write_plan_t *plan, const attempt_t *attempt)
{
	return attempt->key_time + attempt->request.repeat_window_s <
	    plan->wall_seconds;
}

static void
plan_claim(write_plan_t *plan, attempt_t *attempt)
{
	const answer_t full = {.error = BW_E_FULL};
	entry_spec_t spec = make_entry_spec(attempt, ENTRY_CLAIMED);

	if (claim_document_size(plan->next_document) + plan->reserved_bytes +
		claim_document_entry_size(&spec) + OUTCOME_RESERVE_BYTES >
	    CLAIM_MAX_OBJECT_BYTES) {
		claim_attempt_abandon(attempt, &full);
		return;
	}
	claim_document_put(plan->next_document, &spec);
	plan->reserved_bytes += OUTCOME_RESERVE_BYTES;
	plan->changed = true;
	attempt->phase = PHASE_CLAIMING;
}

static void
answer_stored_outcome(attempt_t *attempt, const entry_t *entry)
{
	/* A body that was not stored cannot be sent again. */
	answer_t answer = {
	    .error = entry->spec.body != NULL ? 0 : BW_E_UPSTREAM,
	    .http_status = entry->spec.status,
	    .body = entry->spec.body,
	};

	if (!attempt->answered)
		claim_action_answer(attempt->object->table,
		    attempt->request.tag, &answer, true);
	attempt->answered = true;
	claim_attempt_abandon(attempt, &answer);
}

static void
plan_for_stored_entry(
    write_plan_t *plan, attempt_t *attempt, const entry_t *entry)
{
	const answer_t reused = {.error = BW_E_KEY_REUSED};
	const answer_t unknown = {.error = BW_E_OUTCOME_UNKNOWN};

	if (entry->spec.digest[0] != attempt->request.digest[0] ||
	    entry->spec.digest[1] != attempt->request.digest[1]) {
		claim_attempt_abandon(attempt, &reused);
		return;
	}
	switch (entry->spec.state) {
	case ENTRY_DONE:
		answer_stored_outcome(attempt, entry);
		break;
	case ENTRY_UNKNOWN:
		claim_attempt_abandon(attempt, &unknown);
		break;
	case ENTRY_CLAIMED:
		/* Another node may have stored its outcome since the last
		 * read. */
		if (attempt->reads_at_arrival == plan->object->read_count)
			plan->must_read = true;
		else
			claim_attempt_abandon(attempt, &unknown);
		break;
	case ENTRY_RELEASED:
		plan_claim(plan, attempt);
		break;
	}
}

static void
plan_waiting_attempt(write_plan_t *plan, attempt_t *attempt)
{
	const answer_t expired = {.error = BW_E_KEY_EXPIRED};
	const entry_t *entry =
	    claim_document_find(plan->next_document, attempt->entry_id);

	claim_attempt_expire(attempt, plan->now);
	if (attempt->abandoned)
		return;
	if (is_key_expired(plan, attempt))
		claim_attempt_abandon(attempt, &expired);
	else if (entry != NULL)
		plan_for_stored_entry(plan, attempt, entry);
	else if (attempt->key_time <=
	    claim_document_removed_until(
		plan->next_document, attempt->request.customer))
		claim_attempt_abandon(attempt, &expired);
	else
		plan_claim(plan, attempt);
}

static int64_t
lookup_repeat_window(void *context, const char *customer)
{
	const claim_table_t *table = context;
	gpointer window = g_hash_table_lookup(table->repeat_windows, customer);

	return (int64_t)GPOINTER_TO_SIZE(window) - 1;
}

/* Whether a write in doubt has to be prevented from being applied later. The
 * write in doubt expects the current version, which any new write replaces. */
static bool
needs_fencing_write(const claim_object_t *object)
{
	for (guint i = 0; i < object->attempts->len; i++) {
		const attempt_t *attempt = object->attempts->pdata[i];

		if (attempt->in_doubt && attempt->phase != PHASE_ENDED)
			return true;
	}
	return false;
}

static void
fill_plan(write_plan_t *plan)
{
	GPtrArray *attempts = plan->object->attempts;

	claim_document_remove_expired(plan->next_document, lookup_repeat_window,
	    plan->object->table, plan->wall_seconds);
	for (guint i = 0; i < attempts->len; i++) {
		attempt_t *attempt = attempts->pdata[i];

		if (attempt->phase == PHASE_DISPATCHED)
			plan->reserved_bytes += OUTCOME_RESERVE_BYTES;
		if (attempt->phase == PHASE_OUTCOME_KNOWN)
			plan_outcome(plan, attempt);
	}
	for (guint i = 0; i < attempts->len; i++) {
		attempt_t *attempt = attempts->pdata[i];

		if (attempt->phase == PHASE_WAITING && !attempt->abandoned)
			plan_waiting_attempt(plan, attempt);
	}
}

static void
begin_read(claim_object_t *object)
{
	object->io = IO_READING;
	claim_action_push_io(object, false, NULL);
}

static void
begin_write(claim_object_t *object, document_t *next_document)
{
	object->io = IO_WRITING;
	object->next_document = next_document;
	claim_action_push_io(
	    object, true, claim_document_serialize(next_document));
}

static void
plan_write(claim_object_t *object, usec_t now, usec_t wall)
{
	write_plan_t plan = {.object = object,
	    .next_document = claim_document_copy(object->document),
	    .now = now,
	    .wall_seconds = wall / USEC_PER_SEC};

	fill_plan(&plan);
	if (plan.changed || needs_fencing_write(object)) {
		begin_write(object, plan.next_document);
		return;
	}
	claim_document_destroy(plan.next_document);
	if (plan.must_read)
		begin_read(object);
}

void
claim_object_start_io(claim_object_t *object, usec_t now, usec_t wall)
{
	remove_ended(object);
	if (object->io != IO_NONE)
		return;
	if (!has_work(object)) {
		if (object->table->cached_bytes > MAX_CACHED_BYTES)
			claim_object_set_document(object, NULL);
		return;
	}
	if (now < object->retry_at) {
		claim_table_wake_at(object->table, object->retry_at);
		return;
	}
	if (object->document == NULL)
		begin_read(object);
	else
		plan_write(object, now, wall);
	remove_ended(object);
}
