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
 * What this node has seen of the server itself: attempts charged to it, recent
 * latency, evidence of leaving, silence, refusals and failures.
 */

/* A refused connection or a shed request pauses a server, so that a dead one
 * costs few attempts; it doubles up to the longest, which bounds how late a
 * server that is back is noticed. */
#define SERVER_MIN_BACKOFF MS(10)
#define SERVER_MAX_BACKOFF MS(500)

/* Failures in a row after which a server is chosen last, for a while: one that
 * fails at once has few attempts charged and would attract all work. */
#define SERVER_FAILING_AFTER 3
#define SERVER_FAILING_TIME SECONDS(1)

/* Attempts in a row, each older than twice the server's latency, that were
 * given up without an answer: it is taken for stopped and gets copies of jobs
 * only. This ends after a while, which doubles, because no copies are sent in
 * overload. */
#define SERVER_UNRESPONSIVE_AFTER 3
#define SERVER_UNRESPONSIVE_DOUBLINGS 2 /* doublings */
#define SERVER_UNRESPONSIVE_TIME SECONDS(1)

/* A latency older than this no longer counts against a server. */
#define SERVER_LATENCY_MAX_AGE SECONDS(10)

/* How often a slow server that is left idle gets a copy of a job. */
#define SERVER_PROBE_INTERVAL SECONDS(1)

/* Connections that end this close together belong to one crash. */
#define SERVER_CRASH_WINDOW MS(100)

struct attempt;

typedef struct {
	uint32_t index; /* in the scheduler's records */
	name_t name;
	name_t incarnation;
	address_t address;
	bool listed;		  /* in the service object */
	bool leaving;		  /* never takes work again */
	bool answered;		  /* this incarnation answered something */
	bool runs_suspect;	  /* a suspect runs on it */
	usec_t unlisted_at;	  /* when it was last listed */
	uint32_t charged;	  /* attempts that may run on it */
	struct attempt *attempts; /* the charged ones, linked */
	heap_t waiting;		  /* jobs that wait for this server */
	usec_t latency;		  /* recent, smoothed */
	usec_t latency_updated_at;
	usec_t expected_latency; /* latency with that of its running attempts */
	bool unresponsive;	 /* see server_is_stopped() */
	usec_t probed_at;
	uint32_t unanswered_count; /* attempts in a row */
	usec_t last_unanswered_at;
	usec_t reused_answer_at; /* on a connection that was used before */
	uint32_t refusal_count;	 /* in a row */
	usec_t backoff_from;
	usec_t backoff_until;
	uint32_t failure_count; /* in a row */
	usec_t last_failed_at;
	usec_t retire_before;
	uint32_t crash_count;
	usec_t crash_started_at;
	uint64_t mismatch_count;
} server_t;

server_t *server_create(const server_spec_t *spec, uint32_t index);
void server_destroy(server_t *server);

/** server_is_live() - Whether new attempts may go to it at all. */
bool server_is_live(const server_t *server);

bool server_is_backing_off(const server_t *server, usec_t now);

/**
 * server_capacity() - How many of @limit attempts it may take: one while it is
 * cold or has not answered since its last refusal or since it stopped.
 */
uint32_t server_capacity(const server_t *server, uint32_t limit);

/** server_has_room() - Whether one more attempt may start now. */
bool server_has_room(const server_t *server, uint32_t limit, usec_t now);

/** server_is_stopped() - Whether it seems to answer nothing at all. */
bool server_is_unresponsive(const server_t *server, usec_t now);

/** server_latency() - Its recent latency; 0 when that is not known. */
usec_t server_latency(const server_t *server, usec_t now);

/** server_blend_latency() - @latency after one more value was seen. */
usec_t server_smooth_latency(usec_t latency, usec_t value);

/**
 * server_compare() - Negative when @a is the better choice: not failing, less
 * time to finish its charged attempts and one more; 0 for a tie.
 */
int server_compare(const server_t *a, const server_t *b, usec_t now);

void server_record_latency(server_t *server, usec_t latency, usec_t now);

/** server_record_unanswered() - An attempt of this age was given up. */
void server_record_unanswered(server_t *server, usec_t age, usec_t now);

/** server_record_answer() - It answered: it is up and its rest ends. */
void server_record_answer(server_t *server, bool success, usec_t now);

/**
 * server_record_refusal() - No connection, or it shed the attempt.
 *
 * Return: true when a rest begins. Attempts that started before the current
 * rest began do not lengthen it.
 */
bool server_record_refusal(server_t *server, usec_t started, usec_t now);

void server_record_failure(server_t *server, usec_t now);
void server_record_mismatch(server_t *server, usec_t now);

/** server_mark_leaving() - Return: true when it was not known. */
bool server_mark_leaving(server_t *server, const char *evidence);

/**
 * server_mark_silent() - Connections made before @now are not used again;
 * nothing when @started shows that older ones are retired already.
 */
bool server_mark_silent(server_t *server, usec_t started, usec_t now);

/**
 * server_crash() - The id of the crash that a connection's end at @now belongs
 * to. Nodes that see the same crashes of an incarnation find the same ids.
 */
uint64_t server_crash_id(server_t *server, usec_t now);

#endif
