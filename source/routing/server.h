#ifndef ROUTING_SERVER_H
#define ROUTING_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/catalogue.h"
#include "bulrushwell/clock.h"
#include "heap.h"

/**
 * DOC: Record of one incarnation of a server
 *
 * What this node itself has observed of the server: attempts charged to it,
 * recent latency, signs of leaving, silence, refusals and failures.
 */

/* Backoff after a refused connection or a shed request, so that a server that
 * is down costs few attempts. It doubles up to the maximum, which bounds how
 * late the return of the server is noticed. */
#define SERVER_MIN_BACKOFF MS(10)
#define SERVER_MAX_BACKOFF MS(500)

/* Failures in a row after which a server is chosen last for a while: one that
 * fails immediately has few attempts charged and would attract all work. */
#define SERVER_FAILING_AFTER 3
#define SERVER_FAILING_TIME SECONDS(1)

/* Attempts in a row, each older than twice the server's latency, that were
 * given up without an answer. The server then counts as unresponsive: while
 * others have slots it only gets copies of jobs that run elsewhere too. In
 * overload no copies are sent, so this state ends by itself after a time that
 * doubles with each further unanswered attempt. */
#define SERVER_UNRESPONSIVE_AFTER 3
#define SERVER_UNRESPONSIVE_DOUBLINGS 2 /* of the time below, at most */
#define SERVER_UNRESPONSIVE_TIME SECONDS(1)

/* A latency that was updated longer ago counts as unknown. */
#define SERVER_LATENCY_MAX_AGE SECONDS(10)

/* How often an idle slow server gets a copy of a job, to measure it again. */
#define SERVER_PROBE_INTERVAL SECONDS(1)

struct attempt;

typedef struct {
	uint32_t index; /* in the scheduler's records */
	name_t name;
	name_t incarnation;
	address_t address;
	bool listed;	   /* in the service object */
	bool leaving;	   /* gets no new attempts any more */
	bool answered;	   /* this incarnation has answered at least once */
	bool runs_suspect; /* which excludes other attempts */
	usec_t unlisted_at;
	uint32_t charged;	  /* attempts that may run on it */
	struct attempt *attempts; /* the charged ones, linked */
	heap_t waiting;		  /* jobs that wait for this server */
	usec_t latency;		  /* recent, smoothed */
	usec_t latency_updated_at;
	usec_t expected_latency; /* with the age of its running attempts */
	bool unresponsive;	 /* see server_is_unresponsive() */
	usec_t probed_at;
	uint32_t unanswered_count; /* in a row, see SERVER_UNRESPONSIVE_AFTER */
	usec_t last_unanswered_at;
	uint32_t refusal_count; /* in a row */
	usec_t backoff_from;
	usec_t backoff_until;
	uint32_t failure_count; /* in a row */
	usec_t last_failed_at;
	usec_t retire_before; /* connections made earlier are not reused */
	uint64_t mismatch_count;
} server_t;

/** server_create() - A record without an address that is not listed yet. */
server_t *server_create(const server_spec_t *spec, uint32_t index);
void server_destroy(server_t *server);

/** server_is_live() - Whether it may get new attempts at all. */
bool server_is_live(const server_t *server);

/** server_is_backing_off() - Whether it gets no attempts after a refusal. */
bool server_is_backing_off(const server_t *server, usec_t now);

/**
 * server_capacity() - How many of @limit attempts it may run: one until its
 * first answer, and one until the next answer after a refusal or once it was
 * unresponsive.
 */
uint32_t server_capacity(const server_t *server, uint32_t limit);

/** server_has_room() - Whether one more attempt may start now. */
bool server_has_room(const server_t *server, uint32_t limit, usec_t now);

/** server_is_unresponsive() - Whether it seems to answer nothing at all. */
bool server_is_unresponsive(const server_t *server, usec_t now);

/** server_latency() - Its recent latency; 0 when that is not known. */
usec_t server_latency(const server_t *server, usec_t now);

/** server_smooth_latency() - Moving average @latency after one more @value. */
usec_t server_smooth_latency(usec_t latency, usec_t value);

/**
 * server_compare() - Compares by failures first, then by the expected time to
 * finish the charged attempts and one more.
 *
 * Return: negative when @a is the better choice, 0 for a tie.
 */
int server_compare(const server_t *a, const server_t *b, usec_t now);

/** server_record_latency() - Updates the moving average. */
void server_record_latency(server_t *server, usec_t latency, usec_t now);

/**
 * server_record_unanswered() - An attempt was given up without an answer.
 * @age: of the attempt
 */
void server_record_unanswered(server_t *server, usec_t age, usec_t now);

/**
 * server_record_answer() - It answered: its backoff ends.
 * @success: the answer also ends its row of failures
 */
void server_record_answer(server_t *server, bool success, usec_t now);

/**
 * server_record_refusal() - No connection was made, or it shed the attempt.
 * @started: when the attempt started
 *
 * Return: true when a backoff begins. Attempts that started before the current
 * backoff began do not lengthen it.
 */
bool server_record_refusal(server_t *server, usec_t started, usec_t now);

/** server_record_failure() - It sent an error or its connection was lost. */
void server_record_failure(server_t *server, usec_t now);

/** server_record_mismatch() - It replied to another request than was sent. */
void server_record_mismatch(server_t *server, usec_t now);

/**
 * server_mark_leaving() - Records and logs that it is leaving.
 * @evidence: where this is known from
 *
 * Return: true when it was not known.
 */
bool server_mark_leaving(server_t *server, const char *evidence);

/**
 * server_mark_silent() - Retires all connections made before @now.
 * @started: when the unanswered attempt started
 *
 * Return: false when the connections of that time are retired already.
 */
bool server_mark_silent(server_t *server, usec_t started, usec_t now);

#endif
