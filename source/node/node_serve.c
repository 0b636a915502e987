#include "node_private.h"

#include <string.h>

#define MAX_JOB_ORIGINS 200000
#define MAX_ATTEMPTS 65536

/* Shard replies to the same query are collected for this long and sent in one
 * message; the last outstanding reply and any error are sent at once. Each
 * message costs two wakeups of ZeroMQ's I/O thread and one of the receiving
 * node. */
#define REPLY_BATCH_MS 10

/* The request that a job belongs to and the node that waits for its result. */
typedef struct {
	job_kind_t kind;
	name_t requester;
	id128_t query;
	name_t index;
	uint64_t version;
	uint32_t shard;
	uint64_t claim_tag; /* JOB_RESERVATION */
} job_origin_t;

/* A shard reply that waits in a batch. */
typedef struct {
	uint32_t shard;
	int error;
	body_t *body;
} batched_reply_t;

/* Shard replies to one query that are sent in one message. A batch exists from
 * the first shard request of the query to the last reply or the cancellation. A
 * query that is retried on another index version gets a new id and thus a new
 * batch. */
typedef struct {
	name_t requester;
	id128_t query;
	name_t index;
	uint64_t version;
	usec_t wait; /* longest queueing time expected for a new job */
	usec_t deadline;
	uint32_t outstanding; /* shards requested and not yet replied to */
	usec_t send_at;	      /* set while there are entries */
	GList link;	      /* in node->batch_queue while there are entries */
	GArray *entries;
	GArray *job_handles; /* in node->job_origins; ended jobs too */
} reply_batch_t;

static void
free_batch(gpointer data)
{
	reply_batch_t *batch = data;

	for (guint i = 0; i < batch->entries->len; i++)
		body_unref(
		    g_array_index(batch->entries, batched_reply_t, i).body);
	g_array_free(batch->entries, TRUE);
	g_array_free(batch->job_handles, TRUE);
	g_free(batch);
}

void
serve_create(node_t *node)
{
	node->served_services = g_hash_table_new(g_str_hash, g_str_equal);
	node->job_origins = table_create(sizeof(job_origin_t), MAX_JOB_ORIGINS);
	node->attempts = attempt_table_create(MAX_ATTEMPTS);
	node->reply_batches = g_hash_table_new_full(
	    id128_hash, id128_key_equal, NULL, free_batch);
	g_queue_init(&node->batch_queue);
}

void
serve_destroy(node_t *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served_services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		served_service_t *served = value;

		http_client_destroy(served->http);
		scheduler_destroy(served->scheduler);
		g_free(served);
	}
	g_hash_table_destroy(node->served_services);
	g_hash_table_destroy(node->reply_batches);
	table_destroy(node->job_origins);
	table_destroy(node->attempts);
}

static void
apply_catalogue_entry(served_service_t *served, usec_t now)
{
	const service_t *service = catalogue_find_service(
	    served->node->board.catalogue, served->service);

	if (service == NULL || service->version <= served->applied_version)
		return;
	served->applied_version = service->version;
	scheduler_set_servers(served->scheduler, service, now);
}

served_service_t *
serve_find(node_t *node, const char *service)
{
	served_service_t *served =
	    g_hash_table_lookup(node->served_services, service);

	if (served != NULL)
		return served;
	if (catalogue_find_service(node->board.catalogue, service) == NULL)
		return NULL;
	served = g_new0(served_service_t, 1);
	served->node = node;
	strcpy(served->service, service);
	served->scheduler =
	    scheduler_create(service, node->board.suspects, id64_random());
	served->http = http_client_create(node->loop);
	g_hash_table_insert(node->served_services, served->service, served);
	apply_catalogue_entry(served, clock_monotonic());
	return served;
}

void
serve_set_connections(node_t *node, const char *service, uint32_t connections)
{
	served_service_t *served = serve_find(node, service);

	if (served != NULL)
		http_client_set_connection_limit(served->http, connections);
}

/* Closes the connections to the servers of a service that this node no longer
 * holds: its share of the connections passes to the next holder. libcurl closes
 * idle connections only when it needs room for others, so the whole pool is
 * replaced. */
void
serve_drop_connections(served_service_t *served)
{
	if (!served->may_have_connections ||
	    http_client_running_count(served->http) > 0)
		return;
	http_client_destroy(served->http);
	served->http = http_client_create(served->node->loop);
	served->may_have_connections = false;
}

void
serve_catalogue_changed(node_t *node, const char *service, usec_t now)
{
	served_service_t *served =
	    g_hash_table_lookup(node->served_services, service);

	if (served != NULL)
		apply_catalogue_entry(served, now);
}

usec_t
deadline_from_message(usec_t remaining, usec_t wall_deadline, usec_t now)
{
	usec_t remaining_by_wall =
	    wall_deadline - clock_wall() + MS(DRIFT_MARGIN_MS);

	/* If this node was paused while the message was queued, the remaining
	 * time is too long; the wall-clock deadline corrects it. */
	return now + MIN(remaining, remaining_by_wall);
}

static reply_batch_t *
find_or_add_batch(node_t *node, const job_origin_t *origin)
{
	reply_batch_t *batch =
	    g_hash_table_lookup(node->reply_batches, &origin->query);

	if (batch != NULL)
		return batch;
	batch = g_new0(reply_batch_t, 1);
	strcpy(batch->requester, origin->requester);
	strcpy(batch->index, origin->index);
	batch->query = origin->query;
	batch->version = origin->version;
	batch->link.data = batch;
	batch->entries = g_array_new(FALSE, TRUE, sizeof(batched_reply_t));
	batch->job_handles = g_array_new(FALSE, FALSE, sizeof(handle_t));
	g_hash_table_insert(node->reply_batches, &batch->query, batch);
	return batch;
}

static bool
is_local_origin(const node_t *node, const job_origin_t *origin)
{
	return strcmp(origin->requester, node->board.settings.node) == 0;
}

/* Sets the send time of a batch after an entry was added; @urgent: now. */
static void
schedule_batch(node_t *node, reply_batch_t *batch, bool urgent, usec_t now)
{
	if (batch->entries->len == 1) {
		batch->send_at = now + MS(REPLY_BATCH_MS);
		g_queue_push_tail_link(&node->batch_queue, &batch->link);
	}
	if (urgent || batch->outstanding == 0 ||
	    now + 2 * MS(REPLY_BATCH_MS) >= batch->deadline) {
		batch->send_at = now;
		g_queue_unlink(&node->batch_queue, &batch->link);
		g_queue_push_head_link(&node->batch_queue, &batch->link);
	}
}

static void
reply_shard(node_t *node, const job_origin_t *origin, int error, body_t *body,
    usec_t wait)
{
	reply_batch_t *batch = find_or_add_batch(node, origin);
	batched_reply_t entry = {origin->shard, error, NULL};
	usec_t now = clock_monotonic();

	INVARIANT(batch->outstanding > 0, "more than one reply for shard %u",
	    origin->shard);
	batch->outstanding -= batch->outstanding > 0;
	if (is_local_origin(node, origin)) {
		query_reply(node->queries, origin->query, origin->requester,
		    origin->shard, origin->version, error, body, now);
		if (batch->outstanding == 0)
			g_hash_table_remove(node->reply_batches, &batch->query);
		return;
	}
	batch->wait = MAX(batch->wait, wait);
	entry.body = body_ref(body);
	g_array_append_val(batch->entries, entry);
	schedule_batch(node, batch, error != 0, now);
}

static void
send_batch(node_t *node, const reply_batch_t *batch)
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
		const batched_reply_t *entry =
		    &g_array_index(batch->entries, batched_reply_t, i);

		reply->entries[i].shard = entry->shard;
		reply->entries[i].error = entry->error;
		reply->entries[i].body = body_slice(entry->body);
	}
	if (peer_send(node, batch->requester, &message) != 0)
		node->dropped_messages++;
	g_free(reply->entries);
}

/* Removes the entries of a batch and releases their bodies. */
static void
clear_batch(reply_batch_t *batch)
{
	for (guint i = 0; i < batch->entries->len; i++)
		body_unref(
		    g_array_index(batch->entries, batched_reply_t, i).body);
	g_array_set_size(batch->entries, 0);
	batch->wait = 0;
}

void
serve_send_due_batches(node_t *node)
{
	usec_t now = clock_monotonic();
	GList *link;

	while ((link = g_queue_peek_head_link(&node->batch_queue)) != NULL) {
		reply_batch_t *batch = link->data;

		if (batch->send_at > now)
			return;
		g_queue_unlink(&node->batch_queue, link);
		send_batch(node, batch);
		clear_batch(batch);
		if (batch->outstanding == 0)
			g_hash_table_remove(node->reply_batches, &batch->query);
	}
}

/* Whether this stopping node has lent all its slots of a service to the node
 * that takes over. Jobs queued here would wait for the slots to be returned,
 * and queued jobs end the loan: neither node could serve until the loan has
 * expired. */
static bool
has_lent_slots(node_t *node, const char *service, usec_t now)
{
	const char *serving_node;

	if (node->board.state != NODE_STATE_STOPPING ||
	    ledger_limit(node->board.ledger, service, now) > 0)
		return false;
	serving_node =
	    blackboard_find_serving_node(&node->board, service, NULL);
	return serving_node != NULL &&
	    strcmp(serving_node, node->board.settings.node) != 0;
}

static int
submit_job(node_t *node, const char *service, job_t *job,
    const job_origin_t *origin, usec_t now)
{
	served_service_t *served;
	job_origin_t *stored;
	handle_t handle;
	int error;

	if (ledger_share(node->board.ledger, service) == 0 ||
	    has_lent_slots(node, service, now))
		return BW_E_NOT_SERVED;
	served = serve_find(node, service);
	if (served == NULL)
		return BW_E_NOT_SERVED;
	handle = table_insert(node->job_origins, (void **)(void *)&stored);
	if (handle == HANDLE_NONE)
		return BW_E_FULL;
	*stored = *origin;
	job->tag = handle;
	error = scheduler_submit(served->scheduler, job, now);
	if (error != 0)
		table_remove(node->job_origins, handle);
	else if (origin->kind == JOB_SHARD)
		g_array_append_val(
		    find_or_add_batch(node, origin)->job_handles, handle);
	return error;
}

/* Records that the requester expects one more shard reply. */
static void
expect_reply(node_t *node, const job_origin_t *origin, usec_t deadline)
{
	reply_batch_t *batch = find_or_add_batch(node, origin);

	batch->outstanding++;
	batch->deadline = deadline;
}

static void
submit_shard_job(node_t *node, const char *service, job_t *job,
    job_origin_t *origin, usec_t now)
{
	int error = submit_job(node, service, job, origin, now);
	served_service_t *served;
	usec_t wait = 0;

	if (error == 0)
		return;
	served = g_hash_table_lookup(node->served_services, service);
	if (served != NULL)
		wait = scheduler_wait_estimate(served->scheduler);
	reply_shard(node, origin, error, NULL, wait);
}

void
serve_shards(node_t *node, const char *requester,
    const shard_request_t *request, usec_t now)
{
	job_origin_t origin = {.kind = JOB_SHARD,
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
			submit_shard_job(
			    node, group->service, &job, &origin, now);
		}
	}
	body_unref(job.body);
}

int
serve_reservation(
    node_t *node, const char *service, const job_t *job, usec_t now)
{
	job_origin_t origin = {.kind = JOB_RESERVATION, .claim_tag = job->tag};
	job_t copy = *job;

	return submit_job(node, service, &copy, &origin, now);
}

static void
finish_job(served_service_t *served, const scheduler_action_t *action)
{
	node_t *node = served->node;
	job_origin_t *stored = table_get(node->job_origins, action->job->tag);
	job_origin_t origin;

	INVARIANT(stored != NULL, "a job of %s ended twice", served->service);
	if (stored == NULL)
		return;
	origin = *stored;
	table_remove(node->job_origins, action->job->tag);
	switch (origin.kind) {
	case JOB_SHARD:
		reply_shard(node, &origin, action->error, action->body,
		    scheduler_wait_estimate(served->scheduler));
		return;
	case JOB_RESERVATION:
		reserve_dispatch_done(node, origin.claim_tag, action->error,
		    action->http_status, action->body);
		return;
	}
}

static void
broadcast_suspect(node_t *node, const scheduler_action_t *action)
{
	message_t message = {.kind = MESSAGE_SUSPECT_NOTICE};

	message.suspect.fingerprint = action->fingerprint;
	message.suspect.crash_number = action->crash_number;
	peer_broadcast(node, &message);
}

static void
run_scheduler_actions(served_service_t *served, usec_t now)
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
			finish_job(served, &action);
			break;
		case SCHEDULER_CRASH:
			broadcast_suspect(served->node, &action);
			break;
		}
	}
}

/* Frees the batch and the job origins of a cancelled query: the scheduler
 * reports no end for cancelled jobs. */
static void
drop_query(node_t *node, id128_t query)
{
	reply_batch_t *batch = g_hash_table_lookup(node->reply_batches, &query);

	if (batch == NULL)
		return;
	for (guint i = 0; i < batch->job_handles->len; i++)
		table_remove(node->job_origins,
		    g_array_index(batch->job_handles, handle_t, i));
	if (batch->entries->len > 0)
		g_queue_unlink(&node->batch_queue, &batch->link);
	g_hash_table_remove(node->reply_batches, &query);
}

void
serve_cancel(node_t *node, id128_t query, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served_services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		served_service_t *served = value;

		scheduler_cancel_query(served->scheduler, query, now);
		/* Process the jobs that ended before the cancellation while
		 * their origins still exist. */
		run_scheduler_actions(served, now);
	}
	drop_query(node, query);
}

void
serve_run_schedulers(node_t *node, usec_t now)
{
	usec_t max_attempt_time =
	    blackboard_max_attempt_time(&node->board, now);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served_services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		served_service_t *served = value;
		uint32_t limit =
		    ledger_limit(node->board.ledger, served->service, now);

		if (has_lent_slots(node, served->service, now))
			scheduler_reject_queued(served->scheduler, now);
		scheduler_run(served->scheduler, limit, max_attempt_time, now);
		run_scheduler_actions(served, now);
	}
}

usec_t
serve_next_wakeup(node_t *node)
{
	usec_t earliest =
	    ledger_next_limit_change(node->board.ledger, clock_monotonic());
	const GList *next_batch = g_queue_peek_head_link(&node->batch_queue);
	GHashTableIter iter;
	gpointer value;

	if (next_batch != NULL) {
		usec_t send_at =
		    ((const reply_batch_t *)next_batch->data)->send_at;

		if (earliest == 0 || send_at < earliest)
			earliest = send_at;
	}
	g_hash_table_iter_init(&iter, node->served_services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		usec_t when = scheduler_next_wakeup(
		    ((served_service_t *)value)->scheduler);

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

	g_hash_table_iter_init(&iter, node->served_services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		scheduler_stats_t stats;

		scheduler_get_stats(
		    ((served_service_t *)value)->scheduler, &stats);
		if (stats.queued > 0 || stats.running > 0)
			return false;
	}
	return true;
}
