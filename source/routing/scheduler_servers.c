#include <glib.h>
#include <string.h>

#include "bulrushwell/event.h"
#include "scheduler_private.h"

/* splitmix64 */
uint64_t
scheduler_random(scheduler_t *scheduler)
{
	uint64_t z = scheduler->random += 0x9e3779b97f4a7c15u;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return z ^ z >> 31;
}

/* An attempt that has run longer than its server's latency raises it by what
 * its end would, so that a server that has stopped is noticed before that. */
static usec_t
expect_latency(const server_t *server, usec_t now)
{
	usec_t latency = server_latency(server, now);

	for (const attempt_t *attempt = server->attempts; attempt != NULL;
	     attempt = attempt->next) {
		usec_t age = now - attempt->started;

		if (latency > 0 && age > latency)
			latency = server_blend_latency(latency, age);
	}
	return latency;
}

/* A server without a known latency comes just before the fastest one, so that
 * its latency becomes known. */
void
scheduler_refresh_expected(scheduler_t *scheduler, usec_t now)
{
	usec_t fastest = 0;

	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];

		server->expected = expect_latency(server, now);
		server->stopped = server_is_stopped(server, now);
		if (server->expected > 0 && !server_is_resting(server, now) &&
		    (fastest == 0 || server->expected < fastest))
			fastest = server->expected;
	}
	for (uint32_t i = 0; i < scheduler->live_count; i++)
		if (scheduler->live[i]->expected == 0)
			scheduler->live[i]->expected = fastest * 3 / 4;
	scheduler->fastest = fastest;
}

bool
scheduler_is_slow(const scheduler_t *scheduler, const server_t *server)
{
	return server->stopped ||
	    server->expected > SLOW_FACTOR * scheduler->fastest;
}

/* Whether what waits, this job included, ends sooner on the other servers than
 * this job does on a slow one. */
static bool
is_worth_waiting(const scheduler_t *scheduler, const server_t *slow, usec_t now)
{
	usec_t waiting = fair_queue_count(scheduler->queue);
	usec_t slots = 0;

	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		const server_t *server = scheduler->live[i];

		if (!scheduler_is_slow(scheduler, server) &&
		    !server_is_resting(server, now))
			slots += server_capacity(server, scheduler->limit);
	}
	waiting += scheduler->waiting;
	return slots > 0 &&
	    (slow->stopped ||
		scheduler->fastest * (slots + waiting) <
		    slow->expected * slots);
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
		    !server_mask_has(&entry->useless, server) &&
		    now - server->probed_at >= SERVER_PROBE_INTERVAL)
			return server;
	}
	return NULL;
}

/** typedef choice_t - The best of the servers offered so far. */
typedef struct {
	server_t *best;
	int rank; /* lower is better and comes before server_compare() */
	uint32_t ties;
} choice_t;

static void
offer_server(scheduler_t *scheduler, choice_t *choice, server_t *server,
    int rank, usec_t now)
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
	return server != scheduler->reserved &&
	    server_has_room(server, scheduler->limit, now);
}

server_t *
scheduler_choose_server(scheduler_t *scheduler, usec_t now)
{
	choice_t choice = {0};

	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++)
		if (scheduler_has_room(scheduler, scheduler->live[i], now))
			offer_server(
			    scheduler, &choice, scheduler->live[i], 0, now);
	if (choice.best != NULL && scheduler_is_slow(scheduler, choice.best) &&
	    is_worth_waiting(scheduler, choice.best, now))
		return NULL;
	return choice.best;
}

server_t *
scheduler_choose_second(scheduler_t *scheduler, const job_entry_t *entry,
    bool may_repeat, usec_t now)
{
	choice_t choice = {0};

	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];
		bool tried = server_mask_has(&entry->tried, server);

		if (!scheduler_has_room(scheduler, server, now) ||
		    server_mask_has(&entry->useless, server) ||
		    (tried && !may_repeat))
			continue;
		offer_server(scheduler, &choice, server, tried, now);
	}
	return choice.best;
}

server_t *
scheduler_choose_idle(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	choice_t choice = {0};

	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];
		int rank = 2 * server_mask_has(&entry->tried, server);

		if (server_is_resting(server, now) || server->alone ||
		    server_mask_has(&entry->useless, server))
			continue;
		/* The one that was reserved already empties soonest. */
		rank += server != scheduler->reserved;
		offer_server(scheduler, &choice, server, rank, now);
	}
	return choice.best;
}

server_t *
scheduler_choose_retry(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now)
{
	choice_t choice = {0};

	scheduler_refresh_expected(scheduler, now);
	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		server_t *server = scheduler->live[i];
		int rank = 2 * server_is_resting(server, now) +
		    server_mask_has(&entry->tried, server);

		if (!server_mask_has(&entry->useless, server))
			offer_server(scheduler, &choice, server, rank, now);
	}
	return choice.best;
}

void
scheduler_rebind_waiting(scheduler_t *scheduler, server_t *server, usec_t now)
{
	heap_t waiting = server->waiting;
	heap_node_t *node;

	server->waiting = (heap_t){0};
	while ((node = heap_top(&waiting)) != NULL) {
		job_entry_t *entry = HEAP_ENTRY(node, job_entry_t, wait);

		heap_remove(&waiting, node);
		scheduler->waiting--;
		entry->place = PLACE_NONE;
		scheduler_bind_job(scheduler, entry, now);
	}
	heap_clear(&waiting);
}

static void
refresh_live(scheduler_t *scheduler)
{
	scheduler->live_count = 0;
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		server_t *server = scheduler->records[i];

		if (server != NULL && server_is_live(server))
			scheduler->live[scheduler->live_count++] = server;
	}
	if (scheduler->reserved != NULL && !server_is_live(scheduler->reserved))
		scheduler->reserved = NULL;
}

void
scheduler_mark_leaving(
    scheduler_t *scheduler, server_t *server, const char *evidence, usec_t now)
{
	if (!server_mark_leaving(server, evidence))
		return;
	refresh_live(scheduler);
	scheduler_rebind_waiting(scheduler, server, now);
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

/* A place that held no record, or the record that was unlisted first. */
static uint32_t
find_place(const scheduler_t *scheduler)
{
	uint32_t place = SCHEDULER_MAX_RECORDS;

	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		const server_t *server = scheduler->records[i];

		if (server == NULL)
			return i;
		if (server->listed || server->charged > 0)
			continue;
		if (place == SCHEDULER_MAX_RECORDS ||
		    server->unlisted_at <
			scheduler->records[place]->unlisted_at)
			place = i;
	}
	return place;
}

/* The marks of jobs belong to the record that had the place before. */
static void
clear_marks(scheduler_t *scheduler, const server_t *server)
{
	handle_t job = HANDLE_NONE;

	while ((job = table_next(scheduler->jobs, job)) != HANDLE_NONE) {
		job_entry_t *entry = table_get(scheduler->jobs, job);

		server_mask_remove(&entry->tried, server);
		server_mask_remove(&entry->useless, server);
	}
}

static server_t *
add_record(scheduler_t *scheduler, const server_spec_t *spec)
{
	uint32_t place = find_place(scheduler);
	server_t *server;

	/* Only while more attempts run on past incarnations than places are
	 * left; the server is taken at the next adoption. */
	if (place == SCHEDULER_MAX_RECORDS)
		return NULL;
	if (scheduler->records[place] != NULL)
		clear_marks(scheduler, scheduler->records[place]);
	server_destroy(scheduler->records[place]);
	server = server_create(spec, place);
	scheduler->records[place] = server;
	return server;
}

static void
adopt_server(scheduler_t *scheduler, const server_spec_t *spec)
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
		server_mark_leaving(server, "its service");
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
		adopt_server(scheduler, &service->servers[i]);
	refresh_live(scheduler);
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		server_t *server = scheduler->records[i];

		if (server != NULL && !server_is_live(server))
			scheduler_rebind_waiting(scheduler, server, now);
	}
}

void
scheduler_server_leaving(scheduler_t *scheduler, const char *name, usec_t now)
{
	for (uint32_t i = 0; i < SCHEDULER_MAX_RECORDS; i++) {
		server_t *server = scheduler->records[i];

		if (server != NULL && server->listed &&
		    strcmp(server->name, name) == 0)
			scheduler_mark_leaving(
			    scheduler, server, "health or VM list", now);
	}
}
