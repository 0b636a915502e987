#include "node_private.h"

#include <string.h>

#define MAX_ORIGINS 200000
#define MAX_ATTEMPTS 65536

/* Who waits for a job. */
typedef struct {
	job_kind_t kind;
	name_t requester;
	id128_t query;
	name_t index;
	uint64_t version;
	uint32_t shard;
	uint64_t claim_tag; /* JOB_RESERVATION */
} origin_t;

typedef struct {
	uint32_t shard;
	int error;
	body_t *body;
} batch_entry_t;

/* Replies to one query of one node that leave in one message. */
typedef struct {
	name_t requester;
	id128_t query;
	name_t index;
	uint64_t version;
	usec_t wait;
	GArray *entries;
} batch_t;

static void
free_batch(gpointer data)
{
	batch_t *batch = data;

	for (guint i = 0; i < batch->entries->len; i++)
		body_drop(g_array_index(batch->entries, batch_entry_t, i).body);
	g_array_free(batch->entries, TRUE);
	g_free(batch);
}

void
serve_create(node_t *node)
{
	node->served = g_hash_table_new(g_str_hash, g_str_equal);
	node->origins = table_create(sizeof(origin_t), MAX_ORIGINS);
	node->attempts = attempt_table_create(MAX_ATTEMPTS);
	node->batches = g_hash_table_new_full(
	    id128_hash, id128_key_equal, NULL, free_batch);
}

void
serve_destroy(node_t *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		served_t *served = value;

		scheduler_destroy(served->scheduler);
		g_free(served);
	}
	g_hash_table_destroy(node->served);
	g_hash_table_destroy(node->batches);
	table_destroy(node->origins);
	table_destroy(node->attempts);
}

static void
apply_catalogue(served_t *served, usec_t now)
{
	const service_t *service = catalogue_find_service(
	    served->node->board.catalogue, served->service);

	if (service == NULL || service->version <= served->spec_version)
		return;
	served->spec_version = service->version;
	scheduler_set_servers(served->scheduler, service, now);
}

served_t *
serve_find(node_t *node, const char *service)
{
	served_t *served = g_hash_table_lookup(node->served, service);

	if (served != NULL)
		return served;
	if (catalogue_find_service(node->board.catalogue, service) == NULL)
		return NULL;
	served = g_new0(served_t, 1);
	served->node = node;
	strcpy(served->service, service);
	served->scheduler =
	    scheduler_create(service, node->board.suspects, id64_random());
	g_hash_table_insert(node->served, served->service, served);
	apply_catalogue(served, clock_monotonic());
	return served;
}

void
serve_catalogue_changed(node_t *node, const char *service, usec_t now)
{
	served_t *served = g_hash_table_lookup(node->served, service);

	if (served != NULL)
		apply_catalogue(served, now);
}

usec_t
deadline_to_wall(usec_t deadline)
{
	usec_t wall = clock_wall();

	return wall + deadline - clock_monotonic();
}

usec_t
deadline_from_message(usec_t remaining, usec_t wall_deadline, usec_t now)
{
	usec_t by_wall = wall_deadline - clock_wall() + MS(DRIFT_MARGIN_MS);

	/* A message that lay in the queue of a paused node has a stale
	 * remaining time; the wall clock tells. */
	return now + MIN(remaining, by_wall);
}

static batch_t *
find_batch(node_t *node, const origin_t *origin)
{
	batch_t *batch = g_hash_table_lookup(node->batches, &origin->query);

	if (batch != NULL)
		return batch;
	batch = g_new0(batch_t, 1);
	strcpy(batch->requester, origin->requester);
	strcpy(batch->index, origin->index);
	batch->query = origin->query;
	batch->version = origin->version;
	batch->entries = g_array_new(FALSE, TRUE, sizeof(batch_entry_t));
	g_hash_table_insert(node->batches, &batch->query, batch);
	return batch;
}

static void
reply_shard(
    node_t *node, const origin_t *origin, int error, body_t *body, usec_t wait)
{
	batch_t *batch;
	batch_entry_t entry = {origin->shard, error, NULL};

	if (strcmp(origin->requester, node->board.settings.node) == 0) {
		query_reply(node->queries, origin->query, origin->requester,
		    origin->shard, origin->version, error, body,
		    clock_monotonic());
		return;
	}
	batch = find_batch(node, origin);
	batch->wait = MAX(batch->wait, wait);
	entry.body = body_keep(body);
	g_array_append_val(batch->entries, entry);
}

static void
send_batch(node_t *node, const batch_t *batch)
{
	message_t message = {.kind = MESSAGE_SHARD_REPLY};
	shard_reply_t *reply = &message.shard_reply;

	reply->query = batch->query;
	strcpy(reply->index, batch->index);
	reply->version = batch->version;
	reply->wait = batch->wait;
	reply->entry_count = batch->entries->len;
	reply->entries = g_new0(shard_reply_entry_t, batch->entries->len);
	for (guint i = 0; i < batch->entries->len; i++) {
		const batch_entry_t *entry =
		    &g_array_index(batch->entries, batch_entry_t, i);

		reply->entries[i].shard = entry->shard;
		reply->entries[i].error = entry->error;
		reply->entries[i].body = body_slice(entry->body);
	}
	if (peer_send(node, batch->requester, &message) != 0)
		node->dropped_messages++;
	g_free(reply->entries);
}

void
serve_flush(node_t *node)
{
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(node->batches) == 0)
		return;
	g_hash_table_iter_init(&iter, node->batches);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_batch(node, value);
	g_hash_table_remove_all(node->batches);
}

static int
submit(node_t *node, const char *service, job_t *job, const origin_t *origin,
    usec_t now)
{
	served_t *served;
	origin_t *stored;
	handle_t handle;
	int error;

	if (ledger_share(node->board.ledger, service) == 0)
		return BW_E_NOT_SERVED;
	served = serve_find(node, service);
	if (served == NULL)
		return BW_E_NOT_SERVED;
	handle = table_insert(node->origins, (void **)(void *)&stored);
	if (handle == HANDLE_NONE)
		return BW_E_FULL;
	*stored = *origin;
	job->tag = handle;
	error = scheduler_submit(served->scheduler, job, now);
	if (error != 0)
		table_remove(node->origins, handle);
	return error;
}

static void
submit_shard(
    node_t *node, const char *service, job_t *job, origin_t *origin, usec_t now)
{
	int error = submit(node, service, job, origin, now);
	served_t *served;
	usec_t wait = 0;

	if (error == 0)
		return;
	served = g_hash_table_lookup(node->served, service);
	if (served != NULL)
		wait = scheduler_wait_estimate(served->scheduler);
	reply_shard(node, origin, error, NULL, wait);
}

void
serve_shards(node_t *node, const char *requester,
    const shard_request_t *request, usec_t now)
{
	origin_t origin = {.kind = JOB_SHARD,
	    .query = request->query,
	    .version = request->version};
	job_t job = {.kind = JOB_SHARD,
	    .query = request->query,
	    .index_version = request->version,
	    .weight = request->weight,
	    .fingerprint = request->fingerprint};

	strcpy(origin.requester, requester);
	strcpy(origin.index, request->index);
	strcpy(job.index, request->index);
	strcpy(job.customer, request->customer);
	job.deadline = deadline_from_message(
	    request->remaining, request->wall_deadline, now);
	job.body = body_create(request->body.data, request->body.size);
	for (uint32_t i = 0; i < request->group_count; i++) {
		const shard_group_t *group = &request->groups[i];

		for (uint32_t j = 0; j < group->shard_count; j++) {
			job.shard = group->shards[j];
			origin.shard = job.shard;
			submit_shard(node, group->service, &job, &origin, now);
		}
	}
	body_drop(job.body);
}

int
serve_reservation(
    node_t *node, const char *service, const job_t *job, usec_t now)
{
	origin_t origin = {.kind = JOB_RESERVATION, .claim_tag = job->tag};
	job_t copy = *job;

	return submit(node, service, &copy, &origin, now);
}

void
serve_cancel(node_t *node, id128_t query, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		scheduler_cancel_query(
		    ((served_t *)value)->scheduler, query, now);
}

static void
end_job(served_t *served, const scheduler_action_t *action)
{
	node_t *node = served->node;
	origin_t *stored = table_get(node->origins, action->job->tag);
	origin_t origin;

	INVARIANT(stored != NULL, "a job of %s ended twice", served->service);
	if (stored == NULL)
		return;
	origin = *stored;
	table_remove(node->origins, action->job->tag);
	switch (origin.kind) {
	case JOB_SHARD:
		reply_shard(node, &origin, action->error, action->body,
		    scheduler_wait_estimate(served->scheduler));
		return;
	case JOB_RESERVATION:
		reserve_dispatched(node, origin.claim_tag, action->error,
		    action->http_status, action->body);
		return;
	}
}

static void
report_crash(node_t *node, const scheduler_action_t *action)
{
	message_t message = {.kind = MESSAGE_SUSPECT_NOTICE};

	message.suspect.fingerprint = action->fingerprint;
	message.suspect.crash = action->crash;
	event_log(EVENT_SUSPECT_ADDED, "fingerprint %016llx",
	    (unsigned long long)action->fingerprint);
	peer_broadcast(node, &message);
}

static void
drain_scheduler(served_t *served, usec_t now)
{
	scheduler_action_t action;

	while (scheduler_next_action(served->scheduler, &action)) {
		switch (action.kind) {
		case SCHEDULER_START:
			attempt_start(served, &action, now);
			break;
		case SCHEDULER_CANCEL:
			attempt_cancel(served, &action, now);
			break;
		case SCHEDULER_REPLY:
			end_job(served, &action);
			break;
		case SCHEDULER_CRASH:
			report_crash(served->node, &action);
			break;
		}
	}
}

void
serve_settle(node_t *node, usec_t now)
{
	usec_t longest = blackboard_longest(&node->board, now);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		served_t *served = value;
		uint32_t limit =
		    ledger_limit(node->board.ledger, served->service, now);

		scheduler_run(served->scheduler, limit, longest, now);
		drain_scheduler(served, now);
	}
}

usec_t
serve_next_wakeup(node_t *node)
{
	usec_t earliest =
	    ledger_next_change(node->board.ledger, clock_monotonic());
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		usec_t when =
		    scheduler_next_wakeup(((served_t *)value)->scheduler);

		if (when != 0 && (earliest == 0 || when < earliest))
			earliest = when;
	}
	return earliest;
}

bool
serve_is_idle(node_t *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		scheduler_stats_t stats;

		scheduler_get_stats(((served_t *)value)->scheduler, &stats);
		if (stats.queued > 0 || stats.running > 0)
			return false;
	}
	return true;
}
