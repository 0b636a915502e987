#include <glib.h>
#include <string.h>

#include "bulrushwell/event.h"
#include "scheduler_private.h"

/* The splitmix64 generator. */
uint64_t
scheduler_random(scheduler_t *scheduler)
{
	uint64_t z = scheduler->random += 0x9e3779b97f4a7c15u;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return z ^ z >> 31;
}

/* The recent latency, raised by the attempts that have run for longer as if
 * they ended now. A server that stops answering is thus noticed before these
 * attempts end. */
static usec_t
estimate_latency(const server_t *server, usec_t now)
{
	usec_t latency = server_latency(server, now);

	for (const attempt_t *attempt = server->attempts; attempt != NULL;
	     attempt = attempt->next) {
		usec_t age = now - attempt->started;

		if (latency > 0 && age > latency)
			latency = server_smooth_latency(latency, age);
	}
	return latency;
}

/* A server without a known latency is taken for a little faster than the
 * fastest one, so that it gets attempts and its latency becomes known. */
void
scheduler_refresh_expected(scheduler_t *scheduler, usec_t now)
{
	usec_t fastest = 0;

	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];

		server->expected_latency = estimate_latency(server, now);
		server->unresponsive = server_is_unresponsive(server, now);
		if (server->expected_latency > 0 &&
		    !server_is_backing_off(server, now) &&
		    (fastest == 0 || server->expected_latency < fastest))
			fastest = server->expected_latency;
	}
	for (uint32_t i = 0; i < scheduler->live_count; i++)
		if (scheduler->live[i]->expected_latency == 0)
			scheduler->live[i]->expected_latency = fastest * 3 / 4;
	scheduler->fastest_latency = fastest;
}

bool
scheduler_is_slow(const scheduler_t *scheduler, const server_t *server)
{
	return server->unresponsive ||
	    server->expected_latency > SLOW_FACTOR * scheduler->fastest_latency;
}

/* Whether all waiting jobs, this one included, are expected to finish on the
 * servers that are not slow before this job would on the slow one. */
static bool
is_waiting_faster(
    const scheduler_t *scheduler, const server_t *slow, usec_t now)
{
	usec_t waiting_jobs = fair_queue_count(scheduler->queue);
	usec_t slots = 0;

	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		const server_t *server = scheduler->live[i];

		if (!scheduler_is_slow(scheduler, server) &&
		    !server_is_backing_off(server, now))
			slots +=
			    server_capacity(server, scheduler->server_limit);
	}
	waiting_jobs += scheduler->waiting_for_server;
	return slots > 0 &&
	    (slow->unresponsive ||
		scheduler->fastest_latency * (slots + waiting_jobs) <
		    slow->expected_latency * slots);
}

server_t *
scheduler_choose_probe(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];

		if (scheduler_is_slow(scheduler, server) &&
		    scheduler_has_room(scheduler, server, now) &&
		    server->charged == 0 &&
		    !server_mask_has(&entry->tried, server) &&
		    !server_mask_has(&entry->unusable, server) &&
		    now - server->probed_at >= SERVER_PROBE_INTERVAL)
			return server;
	}
	return NULL;
}

/** typedef server_choice_t - The best of the servers considered so far. */
typedef struct {
	server_t *best;
	int rank;      /* lower is better and comes before server_compare() */
	uint32_t ties; /* servers as good as the best one, which is included */
} server_choice_t;

/* Each of several equally good servers is chosen with the same probability. */
static void
consider_server(scheduler_t *scheduler, server_choice_t *choice,
    server_t *server, int rank, usec_t now)
{
	int order = 0;

	if (choice->best != NULL) {
		order = rank - choice->rank;
		if (order == 0)
			order = server_compare(server, choice->best, now);
	}
	if (order > 0)
		return;
	if (order < 0 || choice->best == NULL)
		choice->ties = 0;
	choice->ties++;
	if (choice->ties > 1 && scheduler_random(scheduler) % choice->ties != 0)
		return;
	choice->best = server;
	choice->rank = rank;
}

bool
scheduler_has_room(
    const scheduler_t *scheduler, const server_t *server, usec_t now)
{
	return server != scheduler->reserved_server &&
	    server_has_room(server, scheduler->server_limit, now);
}

server_t *
scheduler_choose_server(scheduler_t *scheduler, usec_t now)
{
	server_choice_t choice = {0};

	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++)
		if (scheduler_has_room(scheduler, scheduler->live[i], now))
			consider_server(
			    scheduler, &choice, scheduler->live[i], 0, now);
	if (choice.best != NULL && scheduler_is_slow(scheduler, choice.best) &&
	    is_waiting_faster(scheduler, choice.best, now))
		return NULL;
	return choice.best;
}

server_t *
scheduler_choose_second(scheduler_t *scheduler, const job_entry_t *entry,
    bool may_repeat, usec_t now)
{
	server_choice_t choice = {0};

	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];
		bool tried = server_mask_has(&entry->tried, server);

		if (!scheduler_has_room(scheduler, server, now) ||
		    server_mask_has(&entry->unusable, server) ||
		    (tried && !may_repeat))
			continue;
		consider_server(scheduler, &choice, server, tried, now);
	}
	return choice.best;
}

server_t *
scheduler_choose_for_suspect(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	server_choice_t choice = {0};

	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];
		int rank = 2 * server_mask_has(&entry->tried, server);

		if (server_is_backing_off(server, now) ||
		    server->runs_suspect ||
		    server_mask_has(&entry->unusable, server))
			continue;
		/* The one reserved already is likely to be idle soonest. */
		rank += server != scheduler->reserved_server;
		consider_server(scheduler, &choice, server, rank, now);
	}
	return choice.best;
}

server_t *
scheduler_choose_retry(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	server_choice_t choice = {0};

	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];
		int rank = 2 * server_is_backing_off(server, now) +
		    server_mask_has(&entry->tried, server);

		if (!server_mask_has(&entry->unusable, server))
			consider_server(scheduler, &choice, server, rank, now);
	}
	return choice.best;
}

void
scheduler_requeue_waiting(scheduler_t *scheduler, server_t *server, usec_t now)
{
	heap_t waiting = server->waiting;
	heap_node_t *node;

	server->waiting = (heap_t){0};
	while ((node = heap_top(&waiting)) != NULL) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait_node);

		heap_remove(&waiting, node);
		scheduler->waiting_for_server--;
		entry->wait_state = WAIT_NONE;
		scheduler_queue_for_server(scheduler, entry, now);
	}
	heap_clear(&waiting);
}

/* Rebuilds the list of the servers that may get new attempts. */
static void
refresh_live(scheduler_t *scheduler)
{
	scheduler->live_count = 0;
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		server_t *server = scheduler->records[i];

		if (server != NULL && server_is_live(server))
			scheduler->live[scheduler->live_count++] = server;
	}
	if (scheduler->reserved_server != NULL &&
	    !server_is_live(scheduler->reserved_server))
		scheduler->reserved_server = NULL;
}

void
scheduler_mark_leaving(
    scheduler_t *scheduler, server_t *server, const char *evidence, usec_t now)
{
	if (!server_mark_leaving(server, evidence))
		return;
	refresh_live(scheduler);
	scheduler_requeue_waiting(scheduler, server, now);
}

static server_t *
find_record(
    const scheduler_t *scheduler, const char *name, const char *incarnation)
{
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		server_t *server = scheduler->records[i];

		if (server != NULL && strcmp(server->name, name) == 0 &&
		    strcmp(server->incarnation, incarnation) == 0)
			return server;
	}
	return NULL;
}

/* An index without a record, or that of the unused record that was unlisted
 * first; SCHEDULER_MAX_RECORDS when all are in use. */
static uint32_t
find_free_index(const scheduler_t *scheduler)
{
	uint32_t free_index = SCHEDULER_MAX_RECORDS;

	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		const server_t *server = scheduler->records[i];

		if (server == NULL)
			return i;
		if (server->listed || server->charged > 0)
			continue;
		if (free_index == SCHEDULER_MAX_RECORDS ||
		    server->unlisted_at <
			scheduler->records[free_index]->unlisted_at)
			free_index = i;
	}
	return free_index;
}

/* Removes a record that is about to be replaced from the masks of all jobs. */
static void
clear_server_masks(scheduler_t *scheduler, const server_t *server)
{
	handle_t job = HANDLE_NONE;

	while ((job = table_next(scheduler->jobs, job)) != HANDLE_NONE) {
		job_entry_t *entry = table_get(scheduler->jobs, job);

		server_mask_remove(&entry->tried, server);
		server_mask_remove(&entry->unusable, server);
	}
}

static server_t *
add_record(scheduler_t *scheduler, const server_spec_t *spec)
{
	uint32_t index = find_free_index(scheduler);
	server_t *server;

	/* Happens only while attempts still run on too many past incarnations.
	 * The server is added with the next scheduler_set_servers(). */
	if (index == SCHEDULER_MAX_RECORDS)
		return NULL;
	if (scheduler->records[index] != NULL)
		clear_server_masks(scheduler, scheduler->records[index]);
	server_destroy(scheduler->records[index]);
	server = server_create(spec, index);
	scheduler->records[index] = server;
	return server;
}

static void
set_server(scheduler_t *scheduler, const server_spec_t *spec)
{
	server_t *server =
	    find_record(scheduler, spec->server, spec->incarnation);

	if (server == NULL)
		server = add_record(scheduler, spec);
	if (server == NULL)
		return;
	g_strlcpy(server->address, spec->address, sizeof(server->address));
	server->listed = true;
	if (spec->leaving)
		server_mark_leaving(server, "the service object");
}

void
scheduler_set_servers(
    scheduler_t *scheduler, const service_t *service, usec_t now)
{
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		server_t *server = scheduler->records[i];

		if (server == NULL || !server->listed)
			continue;
		server->listed = false;
		server->unlisted_at = now;
	}
	for (uint32_t i = 0; i < service->server_count; i++)
		set_server(scheduler, &service->servers[i]);
	refresh_live(scheduler);
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		server_t *server = scheduler->records[i];

		if (server != NULL && !server_is_live(server))
			scheduler_requeue_waiting(scheduler, server, now);
	}
}

void
scheduler_server_leaving(scheduler_t *scheduler, const char *name, usec_t now)
{
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		server_t *server = scheduler->records[i];

		if (server != NULL && server->listed &&
		    strcmp(server->name, name) == 0)
			scheduler_mark_leaving(scheduler, server,
			    "its health, its load or the VM list", now);
	}
}
