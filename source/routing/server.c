#include "server.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "bulrushwell/event.h"

#define LATENCY_WEIGHT 8 /* a new value counts 1/8 */

/* Refusals in a row after which the server is logged as down. */
#define DOWN_AFTER_REFUSALS 3

server_t *
server_create(const server_spec_t *spec, uint32_t index)
{
	server_t *server = g_new0(server_t, 1);

	server->index = index;
	g_strlcpy(server->name, spec->server, sizeof(server->name));
	g_strlcpy(server->incarnation, spec->incarnation,
	    sizeof(server->incarnation));
	return server;
}

void
server_destroy(server_t *server)
{
	if (server == NULL)
		return;
	heap_clear(&server->waiting);
	g_free(server);
}

bool
server_is_live(const server_t *server)
{
	return server->listed && !server->leaving;
}

bool
server_is_backing_off(const server_t *server, usec_t now)
{
	return now < server->backoff_until;
}

uint32_t
server_capacity(const server_t *server, uint32_t limit)
{
	if (!server->answered || server->refusal_count > 0 ||
	    server->unanswered_count >= SERVER_UNRESPONSIVE_AFTER)
		return MIN(limit, 1);
	return limit;
}

bool
server_has_room(const server_t *server, uint32_t limit, usec_t now)
{
	return server_is_live(server) && !server->runs_suspect &&
	    !server_is_backing_off(server, now) &&
	    server->charged < server_capacity(server, limit);
}

bool
server_is_unresponsive(const server_t *server, usec_t now)
{
	uint32_t doublings;

	if (server->unanswered_count < SERVER_UNRESPONSIVE_AFTER)
		return false;
	doublings = MIN(server->unanswered_count - SERVER_UNRESPONSIVE_AFTER,
	    SERVER_UNRESPONSIVE_DOUBLINGS);
	return now - server->last_unanswered_at < SERVER_UNRESPONSIVE_TIME
	    << doublings;
}

usec_t
server_latency(const server_t *server, usec_t now)
{
	return now - server->latency_updated_at > SERVER_LATENCY_MAX_AGE
	    ? 0
	    : server->latency;
}

/* Logarithm of the expected time to finish the charged attempts and one more.
 * Four steps for each power of two, so that servers whose times differ by less
 * than about a fifth tie and share the work. */
static int
finish_time_bucket(const server_t *server)
{
	uint64_t finish =
	    (uint64_t)MAX(server->expected_latency, 4) * (server->charged + 1);
	int exponent = 63 - __builtin_clzll(finish);

	return 4 * exponent + (int)(finish >> (exponent - 2) & 3);
}

static int
is_failing(const server_t *server, usec_t now)
{
	return server->failure_count >= SERVER_FAILING_AFTER &&
	    now - server->last_failed_at < SERVER_FAILING_TIME;
}

int
server_compare(const server_t *a, const server_t *b, usec_t now)
{
	int order = is_failing(a, now) - is_failing(b, now);

	if (order != 0)
		return order;
	return finish_time_bucket(a) - finish_time_bucket(b);
}

/* A value far from the average counts twice, so that a change of latency is
 * noticed after few answers. */
usec_t
server_smooth_latency(usec_t latency, usec_t value)
{
	int weight = LATENCY_WEIGHT;

	if (value > 2 * latency || value < latency / 2)
		weight /= 2;
	return latency + (value - latency) / weight;
}

void
server_record_latency(server_t *server, usec_t latency, usec_t now)
{
	if (server->latency == 0 ||
	    now - server->latency_updated_at > SERVER_LATENCY_MAX_AGE)
		server->latency = latency;
	else
		server->latency =
		    server_smooth_latency(server->latency, latency);
	server->latency_updated_at = now;
}

void
server_record_unanswered(server_t *server, usec_t age, usec_t now)
{
	if (age > 2 * server->latency ||
	    (server->unanswered_count >= SERVER_UNRESPONSIVE_AFTER &&
		age > server->latency)) {
		server->unanswered_count++;
		server->last_unanswered_at = now;
	}
	/* An attempt given up sooner does not contradict the known latency,
	 * which therefore stays valid. */
	if (age > server->latency)
		server_record_latency(server, age, now);
	else
		server->latency_updated_at = now;
}

void
server_record_answer(server_t *server, bool success, usec_t now)
{
	if (server->refusal_count >= DOWN_AFTER_REFUSALS)
		event_log(EVENT_SERVER_UP, "server %s answered after refusals",
		    server->name);
	server->answered = true;
	server->unanswered_count = 0;
	server->refusal_count = 0;
	server->backoff_until = 0;
	if (success)
		server->failure_count = 0;
}

bool
server_record_refusal(server_t *server, usec_t started, usec_t now)
{
	usec_t backoff = SERVER_MIN_BACKOFF;

	if (server->refusal_count > 0 && started <= server->backoff_from)
		return false;
	for (uint32_t i = 0;
	     i < server->refusal_count && backoff < SERVER_MAX_BACKOFF; i++)
		backoff *= 2;
	server->backoff_from = now;
	server->backoff_until = now + MIN(backoff, SERVER_MAX_BACKOFF);
	if (++server->refusal_count == DOWN_AFTER_REFUSALS)
		event_log(EVENT_SERVER_DOWN, "server %s refused %d attempts",
		    server->name, DOWN_AFTER_REFUSALS);
	return true;
}

void
server_record_failure(server_t *server, usec_t now)
{
	server->failure_count++;
	server->last_failed_at = now;
}

void
server_record_mismatch(server_t *server, usec_t now)
{
	server_record_failure(server, now);
	server->mismatch_count++;
	/* Logs only powers of two, so that a broken server can't flood the log.
	 */
	if ((server->mismatch_count & (server->mismatch_count - 1)) == 0)
		event_log(EVENT_SERVER_LYING,
		    "server %s returned %llu responses to different requests",
		    server->name, (unsigned long long)server->mismatch_count);
}

bool
server_mark_leaving(server_t *server, const char *evidence)
{
	if (server->leaving)
		return false;
	server->leaving = true;
	event_log(EVENT_SERVER_LEAVING,
	    "server %s incarnation %s according to %s", server->name,
	    server->incarnation, evidence);
	return true;
}

bool
server_mark_silent(server_t *server, usec_t started, usec_t now)
{
	if (started < server->retire_before)
		return false;
	server->retire_before = now;
	event_log(EVENT_SERVER_SILENT,
	    "server %s: connections made until now are not reused",
	    server->name);
	return true;
}
