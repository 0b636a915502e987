#ifndef TESTS_LIB_SCHEDULER_FIXTURE_H
#define TESTS_LIB_SCHEDULER_FIXTURE_H

#include <stdbool.h>

#include "bulrushwell/scheduler.h"

/**
 * DOC: A scheduler with listed servers and a clock, driven by test steps
 */

#define MAX_ATTEMPTS 64
#define MAX_SERVERS 8

typedef enum {
	END,	       /* a: attempt, b: result */
	CONNECTED,     /* a: attempt, b: when its connection was opened (ms) */
	MALFORMED,     /* a: attempt; ATTEMPT_FAILED without an error status */
	DRAIN,	       /* a: attempt; OK that announces a drain */
	SUBMIT,	       /* a: tag, b: deadline (ms from the start of the case) */
	RESERVE,       /* as SUBMIT, a reservation */
	REFUSED,       /* as SUBMIT, expects the error in place of actions */
	CANCEL,	       /* a: tag; its query is cancelled */
	REJECT_QUEUED, /* another node serves the service now */
	CONFIRM,       /* a: attempt; its cancellation is confirmed */
	FAIL_CANCEL,   /* a: attempt; its cancellation failed */
	LIMIT,	       /* a: attempts on each server, b: longest attempt (ms) */
	RUN,
	SERVERS,       /* a: number listed, b: incarnation of the first one */
	UNLIST_OTHERS, /* all but server a (by first use) */
	LEAVING,       /* a: server by first use; reported by its health */
	PEER_CRASH,    /* a: fingerprint, b: crash id; reported by a peer */
	CHARGED,       /* a: expected charged attempts on the busiest server */
	STALE	       /* a: expected stale reports so far */
} op_t;

/* A step and the text of the actions that it must cause: START
 * S<tag>@<server>[f: new connection][r: retires connections], CANCEL
 * C<attempt>, REPLY R<tag>=<error kind or ok>, CRASH X<fingerprint>. Attempts
 * are numbered and servers are lettered by first use, so that the random
 * choice between equal servers doesn't matter. */
typedef struct {
	int at; /* ms */
	op_t op;
	int a;
	int b;
	const char *expect;
} step_t;

typedef struct {
	scheduler_t *scheduler;
	suspect_list_t *suspects;
	service_t service;
	usec_t now;
	usec_t start;
	uint32_t limit;
	usec_t max_attempt_time;
	handle_t attempts[MAX_ATTEMPTS]; /* by number - 1 */
	int attempt_count;
	address_t used_addresses[MAX_SERVERS]; /* of servers, by first use */
	int used_count;
	char actions[512]; /* text of those of the last fixture_run() */
} scheduler_fixture_t;

/**
 * fixture_open() - Creates the scheduler with its servers.
 * @limit: attempts on each server
 * @warm: jobs that are answered before the case begins, each after 10 ms
 */
void fixture_open(
    scheduler_fixture_t *fixture, int servers, uint32_t limit, int warm);
void fixture_close(scheduler_fixture_t *fixture);

/**
 * fixture_apply() - Applies a step and checks the actions that it causes.
 * @number: of the step, printed on a failure
 */
void fixture_apply(
    scheduler_fixture_t *fixture, const step_t *step, int number);

/** fixture_run() - Runs the scheduler and writes the text of its actions. */
void fixture_run(scheduler_fixture_t *fixture);

/** fixture_end_attempt() - Ends the attempt with this number, from 1. */
void fixture_end_attempt(
    scheduler_fixture_t *fixture, int number, attempt_outcome_t outcome);

/** fixture_job() - A JOB_SHARD without a body; its fingerprint is tag % 100. */
job_t fixture_job(int tag, usec_t deadline);

#endif
