#include "node_private.h"

#include <string.h>

#define MAX_ORIGINS 200000
#define MAX_ATTEMPTS 65536

/* Replies wait this long for others to the same query; the last one that this
 * node owes, and any error, leaves at once. Each message costs two wakeups of
 * ZeroMQ's thread and one of the receiving node. */
#define REPLY_HOLD_MS 10

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

/* Replies to one query of one node that leave in one message. It lives from
 * the first request for shards of the query to the last reply or the
 * cancellation. A query that is retried on another version has a new id. */
typedef struct {
	name_t requester;
	id128_t query;
	name_t index;
	uint64_t version;
	usec_t wait;
	usec_t deadline;
	uint32_t owed; /* shards without a reply */
	usec_t due;    /* while it has entries: when they leave */
	GList link;    /* in node->held while it has entries */
	GArray *entries;
	GArray *origins; /* handles of the jobs, ended ones included */
} batch_t;

static void
free_batch(gpointer data)
{
	batch_t *batch = data;

	for (guint i = 0; i < batch->entries->len; i++)
		body_drop(g_array_index(batch->entries, batch_entry_t, i).body);
	g_array_free(batch->entries, TRUE);
	g_array_free(batch->origins, TRUE);
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
	g_queue_init(&node->held);
}

void
serve_destroy(node_t *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		served_t *served = value;

		http_client_destroy(served->http);
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
	served->http = http_client_create(node->loop);
	g_hash_table_insert(node->served, served->service, served);
	apply_catalogue(served, clock_monotonic());
	return served;
}

void
serve_set_connections(node_t *node, const char *service, uint32_t connections)
{
	served_t *served = serve_find(node, service);

	if (served != NULL)
		http_client_limit(served->http, connections);
}

/* libcurl closes idle connections only when it needs others, so a node that
 * holds the service no more replaces the whole pool: its share of the
 * connections is for the next holder. */
void
serve_drop_connections(served_t *served)
{
	if (!served->pooled || http_client_running(served->http) > 0)
		return;
	http_client_destroy(served->http);
	served->http = http_client_create(served->node->loop);
	served->pooled = false;
}

void
serve_catalogue_changed(node_t *node, const char *service, usec_t now)
{
	served_t *served = g_hash_table_lookup(node->served, service);

	if (served != NULL)
		apply_catalogue(served, now);
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
find_or_add_batch(node_t *node, const origin_t *origin)
{
	batch_t *batch = g_hash_table_lookup(node->batches, &origin->query);

	if (batch != NULL)
		return batch;
	batch = g_new0(batch_t, 1);
	strcpy(batch->requester, origin->requester);
	strcpy(batch->index, origin->index);
	batch->query = origin->query;
	batch->version = origin->version;
	batch->link.data = batch;
	batch->entries = g_array_new(FALSE, TRUE, sizeof(batch_entry_t));
	batch->origins = g_array_new(FALSE, FALSE, sizeof(handle_t));
	g_hash_table_insert(node->batches, &batch->query, batch);
	return batch;
}

static bool
is_local(const node_t *node, const origin_t *origin)
{
	return strcmp(origin->requester, node->board.settings.node) == 0;
}

/* Decides when the replies of @batch leave; @urgent: at once. */
static void
schedule_batch(node_t *node, batch_t *batch, bool urgent, usec_t now)
{
	if (batch->entries->len == 1) {
		batch->due = now + MS(REPLY_HOLD_MS);
		g_queue_push_tail_link(&node->held, &batch->link);
	}
	if (urgent || batch->owed == 0 ||
	    now + 2 * MS(REPLY_HOLD_MS) >= batch->deadline) {
		batch->due = now;
		g_queue_unlink(&node->held, &batch->link);
		g_queue_push_head_link(&node->held, &batch->link);
	}
}

static void
reply_shard(
    node_t *node, const origin_t *origin, int error, body_t *body, usec_t wait)
{
	batch_t *batch = find_or_add_batch(node, origin);
	batch_entry_t entry = {origin->shard, error, NULL};
	usec_t now = clock_monotonic();

	INVARIANT(
	    batch->owed > 0, "shard %u was replied to twice", origin->shard);
	batch->owed -= batch->owed > 0;
	if (is_local(node, origin)) {
		query_reply(node->queries, origin->query, origin->requester,
		    origin->shard, origin->version, error, body, now);
		if (batch->owed == 0)
			g_hash_table_remove(node->batches, &batch->query);
		return;
	}
	batch->wait = MAX(batch->wait, wait);
	entry.body = body_keep(body);
	g_array_append_val(batch->entries, entry);
	schedule_batch(node, batch, error != 0, now);
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

/* The bodies belong to the entries. */
static void
clear_batch(batch_t *batch)
{
	for (guint i = 0; i < batch->entries->len; i++)
		body_drop(g_array_index(batch->entries, batch_entry_t, i).body);
	g_array_set_size(batch->entries, 0);
	batch->wait = 0;
}

void
serve_flush(node_t *node)
{
	usec_t now = clock_monotonic();
	GList *link;

	while ((link = g_queue_peek_head_link(&node->held)) != NULL) {
		batch_t *batch = link->data;

		if (batch->due > now)
			return;
		g_queue_unlink(&node->held, link);
		send_batch(node, batch);
		clear_batch(batch);
		if (batch->owed == 0)
			g_hash_table_remove(node->batches, &batch->query);
	}
}

/*
 * Whether a stopping node has lent its slots to the node that follows it. Jobs
 * that wait here would wait for their return, and waiting jobs end the loan:
 * neither node would serve until it has run out.
 */
static bool
has_handed_slots_over(node_t *node, const char *service, usec_t now)
{
	const char *serving;

	if (node->board.state != NODE_STATE_STOPPING ||
	    ledger_limit(node->board.ledger, service, now) > 0)
		return false;
	serving = blackboard_route(&node->board, service, NULL);
	return serving != NULL &&
	    strcmp(serving, node->board.settings.node) != 0;
}

static int
submit(node_t *node, const char *service, job_t *job, const origin_t *origin,
    usec_t now)
{
	served_t *served;
	origin_t *stored;
	handle_t handle;
	int error;

	if (ledger_share(node->board.ledger, service) == 0 ||
	    has_handed_slots_over(node, service, now))
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
	else if (origin->kind == JOB_SHARD)
		g_array_append_val(
		    find_or_add_batch(node, origin)->origins, handle);
	return error;
}

/* Notes that this node owes the requester one more reply. */
static void
expect_reply(node_t *node, const origin_t *origin, usec_t deadline)
{
	batch_t *batch = find_or_add_batch(node, origin);

	batch->owed++;
	batch->deadline = deadline;
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
			expect_reply(node, &origin, job.deadline);
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

/* Cancelled jobs end without a reply, so what is kept for them goes here. */
static void
forget_query(node_t *node, id128_t query)
{
	batch_t *batch = g_hash_table_lookup(node->batches, &query);

	if (batch == NULL)
		return;
	for (guint i = 0; i < batch->origins->len; i++)
		table_remove(
		    node->origins, g_array_index(batch->origins, handle_t, i));
	if (batch->entries->len > 0)
		g_queue_unlink(&node->held, &batch->link);
	g_hash_table_remove(node->batches, &query);
}

void
serve_cancel(node_t *node, id128_t query, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		served_t *served = value;

		scheduler_cancel_query(served->scheduler, query, now);
		/* Replies to jobs that ended before still need their origin. */
		drain_scheduler(served, now);
	}
	forget_query(node, query);
}

void
serve_settle(node_t *node, usec_t now)
{
	usec_t longest = blackboard_dispatch_longest(&node->board, now);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		served_t *served = value;
		uint32_t limit =
		    ledger_limit(node->board.ledger, served->service, now);

		if (has_handed_slots_over(node, served->service, now))
			scheduler_give_back(served->scheduler, now);
		scheduler_run(served->scheduler, limit, longest, now);
		drain_scheduler(served, now);
	}
}

usec_t
serve_next_wakeup(node_t *node)
{
	usec_t earliest =
	    ledger_next_change(node->board.ledger, clock_monotonic());
	const GList *held = g_queue_peek_head_link(&node->held);
	GHashTableIter iter;
	gpointer value;

	if (held != NULL) {
		usec_t due = ((const batch_t *)held->data)->due;

		if (earliest == 0 || due < earliest)
			earliest = due;
	}
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
