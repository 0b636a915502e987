#ifndef BULRUSHWELL_SCHEDULER_H
#define BULRUSHWELL_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/body.h"
#include "bulrushwell/catalogue.h"
#include "bulrushwell/clock.h"
#include "bulrushwell/id.h"
#include "bulrushwell/suspect.h"
#include "bulrushwell/table.h"

/**
 * DOC: Scheduler of one upstream service
 *
 * Runs on the node that serves the service: queues sub-requests fairly between
 * customers, chooses a server for each attempt, hedges slow attempts and
 * cancels attempts that are no longer needed. An attempt is charged to its
 * server, which means that it takes one of the server's slots, until the server
 * is known not to run it any more.
 *
 * The scheduler does no I/O. Its caller reports events, calls scheduler_run()
 * after them and when scheduler_next_wakeup() is due, and after each run takes
 * all actions with scheduler_next_action(). Times are those of
 * clock_monotonic().
 */
#define SCHEDULER_MAX_JOBS 20000    /* waiting and running ones together */
#define SCHEDULER_HEDGE_BUDGET 0.05 /* hedges per first attempt */
#define SCHEDULER_KEY_SIZE 256	    /* idempotency key with its final NUL */

typedef enum {
	JOB_SHARD,	/* idempotent: may be hedged and retried */
	JOB_RESERVATION /* runs at most once: retried only when not executed */
} job_kind_t;

/** typedef job_t - One sub-request. The scheduler keeps its own body reference.
 */
typedef struct {
	job_kind_t kind;
	uint64_t tag; /* chosen by the caller; part of the job in its REPLY */
	id128_t query;
	uint32_t shard;
	uint64_t index_version;
	name_t index;
	name_t customer;
	uint32_t weight; /* of the customer in the fair queue, at least 1 */
	usec_t deadline; /* a point in time */
	uint64_t fingerprint;	      /* see suspect_fingerprint() */
	char key[SCHEDULER_KEY_SIZE]; /* JOB_RESERVATION: idempotency key */
	body_t *body;
} job_t;

typedef enum {
	ATTEMPT_OK,
	ATTEMPT_NOT_SENT,     /* no connection was made: nothing was sent */
	ATTEMPT_SHED,	      /* the server replied that it did not run it */
	ATTEMPT_DRAINING,     /* as ATTEMPT_SHED, and the server is leaving */
	ATTEMPT_VERSION_GONE, /* the server no longer has the index version */
	ATTEMPT_WRONG_SHARD,  /* the server does not hold the shard */
	ATTEMPT_MISMATCH,     /* the reply is for another request, shard or
				 version */
	ATTEMPT_CONNECTION_LOST, /* the connection was lost after sending; for a
		    cancelled attempt this is no sign of a crash */
	ATTEMPT_TIMEOUT,	 /* the deadline passed */
	ATTEMPT_FAILED /* an error status; with http_status below 400 a
			  malformed reply: it may still run */
} attempt_result_t;

/** typedef attempt_outcome_t - How an attempt ended. */
typedef struct {
	attempt_result_t result;
	int http_status;
	bool announced_drain; /* the reply carried X-Draining */
	body_t *body;	      /* borrowed */
} attempt_outcome_t;

/** typedef scheduler_action_t - What the caller has to do next. */
typedef struct {
	enum {
		SCHEDULER_START,  /* send an attempt */
		SCHEDULER_CANCEL, /* ask the server to cancel an attempt */
		SCHEDULER_REPLY,  /* the job ended */
		SCHEDULER_CRASH	  /* a server crashed while it ran a request */
	} kind;
	handle_t attempt; /* START, CANCEL */
	id128_t
	    attempt_id;	   /* START, CANCEL: X-Request-Id, unique per attempt */
	address_t address; /* START, CANCEL */
	usec_t deadline;   /* START: of the attempt, at most the job's */
	bool fresh_connection; /* START: use a new connection */
	usec_t retire_before;  /* START: older connections are not reused */
	const job_t *job;      /* START, REPLY: borrowed until the next call */
	int error;	       /* REPLY: 0 or BW_E_... */
	int http_status;       /* REPLY */
	body_t *body;	       /* REPLY: borrowed until the next call */
	uint64_t fingerprint;  /* CRASH */
	uint64_t crash_number; /* CRASH: see suspect_record_crash() */
} scheduler_action_t;

/** typedef scheduler_stats_t - Counters since creation. */
typedef struct {
	uint64_t jobs; /* accepted by scheduler_submit() */
	uint64_t attempts;
	uint64_t hedges;
	uint64_t hedge_wins; /* hedges whose reply was used */
	uint64_t resends; /* second attempts because a connection went silent */
	uint64_t retries;
	uint64_t cancels;
	uint64_t refused; /* jobs that ended without an attempt */
	uint64_t mismatches;
	uint64_t stale_reports; /* about attempts that had ended already */
	uint32_t queued;	/* now */
	uint32_t running;	/* now: attempts charged to servers */
	uint32_t max_charged;	/* most attempts charged to one server, ever */
} scheduler_stats_t;

typedef struct scheduler scheduler_t;

/**
 * scheduler_create() - Creates a scheduler without servers.
 * @suspects: borrowed; read for verdicts, updated with crashes and answers
 * @seed: of the random generator that breaks ties, for repeatable tests
 */
scheduler_t *scheduler_create(
    const char *service, suspect_list_t *suspects, uint64_t seed);

/** scheduler_destroy() - Frees the scheduler and its jobs without REPLYs. */
void scheduler_destroy(scheduler_t *scheduler);

/**
 * scheduler_set_servers() - Replaces the list of the service's servers. A
 * server that is no longer listed, or is listed as leaving, gets no new
 * attempts; a new incarnation starts with a clean record.
 */
void scheduler_set_servers(
    scheduler_t *scheduler, const service_t *service, usec_t now);

/**
 * scheduler_server_leaving() - Records that a server is leaving, as its health
 * endpoint, its load report or the VM list says.
 */
void scheduler_server_leaving(
    scheduler_t *scheduler, const char *server, usec_t now);

/**
 * scheduler_submit() - Queues a job.
 *
 * Return: 0, BW_E_FULL, BW_E_SUSPECT, BW_E_NOT_FOUND (no server), or
 * BW_E_OVERLOADED when the queue makes the deadline unreachable. On error the
 * job was not taken and no REPLY follows.
 */
int scheduler_submit(scheduler_t *scheduler, const job_t *job, usec_t now);

/**
 * scheduler_cancel_query() - Drops all jobs of a query without a REPLY and
 * cancels their attempts, except for reservations that were sent.
 */
void scheduler_cancel_query(scheduler_t *scheduler, id128_t query, usec_t now);

/**
 * scheduler_attempt_connected() - Reports the connection that an attempt uses.
 * @opened_at: when the connection was established
 */
void scheduler_attempt_connected(
    scheduler_t *scheduler, handle_t attempt, usec_t opened_at);

/**
 * scheduler_attempt_ended() - Reports the outcome of an attempt. A handle to an
 * attempt that has ended already is only counted.
 */
void scheduler_attempt_ended(scheduler_t *scheduler, handle_t attempt,
    const attempt_outcome_t *outcome, usec_t now);

/**
 * scheduler_cancel_ended() - Reports the result of a cancellation.
 * @confirmed: the server says that the attempt is not running
 */
void scheduler_cancel_ended(
    scheduler_t *scheduler, handle_t attempt, bool confirmed, usec_t now);

/**
 * scheduler_run() - Makes all decisions that are due.
 * @server_limit: attempts that may be charged to each server now
 * @max_attempt_time: the longest that an attempt started now may take; 0: no
 * attempt is started
 */
void scheduler_run(scheduler_t *scheduler, uint32_t server_limit,
    usec_t max_attempt_time, usec_t now);

/**
 * scheduler_reject_queued() - Ends the jobs that wait for their first attempt
 * with BW_E_NOT_SERVED, as another node serves the service now.
 */
void scheduler_reject_queued(scheduler_t *scheduler, usec_t now);

/**
 * scheduler_next_action() - Takes the next action.
 *
 * Return: false when there is none.
 */
bool scheduler_next_action(scheduler_t *scheduler, scheduler_action_t *action);

/** scheduler_next_wakeup() - When scheduler_run() is due by time; 0: never. */
usec_t scheduler_next_wakeup(const scheduler_t *scheduler);

/** scheduler_max_charged_now() - The most attempts charged to any one server
 * now. */
uint32_t scheduler_max_charged_now(const scheduler_t *scheduler);

/** scheduler_wait_estimate() - Expected queueing time of a new job. */
usec_t scheduler_wait_estimate(const scheduler_t *scheduler);

/** scheduler_latency() - Recent attempt latencies in microseconds, borrowed. */
const struct histogram *scheduler_latency(const scheduler_t *scheduler);

/** scheduler_get_stats() - Copies the counters. */
void scheduler_get_stats(
    const scheduler_t *scheduler, scheduler_stats_t *stats);

#endif
