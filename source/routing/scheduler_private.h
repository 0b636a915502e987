#ifndef ROUTING_SCHEDULER_PRIVATE_H
#define ROUTING_SCHEDULER_PRIVATE_H

#include "bulrushwell/histogram.h"
#include "bulrushwell/ledger.h"
#include "bulrushwell/scheduler.h"
#include "fair_queue.h"
#include "heap.h"
#include "server.h"

/**
 * DOC: State of a scheduler, shared by its source files
 *
 * scheduler.c has the public functions and the dispatch loop;
 * scheduler_actions.c the list of actions; scheduler_attempts.c the attempts
 * and their charges; scheduler_hedging.c further attempts beside one that runs:
 * hedges of slow attempts, resends after a silent connection, and probes, which
 * measure a slow server again;
 * scheduler_jobs.c the states of a job; scheduler_latency.c latency quantiles
 * and estimates of waits; scheduler_outcomes.c the handling of an attempt's
 * outcome; scheduler_servers.c the list and the choice of servers;
 * scheduler_suspects.c crashes and requests that run alone.
 */

/* Records of the listed servers and of earlier incarnations. The latter are
 * kept while attempts are charged to them, and so that an incarnation that is
 * leaving is still known when it is listed again. */
#define SCHEDULER_MAX_RECORDS (2 * CATALOGUE_MAX_SERVERS)
#define SCHEDULER_RECORD_WORDS (SCHEDULER_MAX_RECORDS / 64)
#define SCHEDULER_MAX_ATTEMPTS 4096
#define SCHEDULER_MIN_SAMPLES 20 /* fewer give no usable quantile */

/* A server is slow when its latency is above this multiple of the fastest
 * one's; smaller differences are the noise of few answers. */
#define SLOW_FACTOR 2

/* Active attempts of a job at the same time: a try (the first attempt or a
 * retry), a hedge and a resend. */
#define JOB_MAX_ACTIVE 3

/* How long an attempt stays charged after its deadline unless it is known to
 * have ended: an allowance for the clock of the server. */
#define DRIFT_MARGIN MS(DRIFT_MARGIN_MS)

/** typedef server_mask_t - A set of server records. */
typedef struct {
	uint64_t words[SCHEDULER_RECORD_WORDS];
} server_mask_t;

typedef enum {
	WAIT_NONE,	 /* its attempts run, or it ended */
	WAIT_FAIR_QUEUE, /* no attempt was made yet */
	WAIT_SERVER,	 /* waits for a certain server, to be retried */
	WAIT_IDLE_SERVER /* a suspect that waits for an idle server */
} wait_state_t;

typedef struct job_entry {
	job_t job;
	handle_t handle;
	heap_node_t expiry_node; /* in scheduler.jobs_by_deadline */
	heap_node_t wait_node;	 /* in the queue of wait_state */
	wait_state_t wait_state;
	flow_t *flow;			 /* WAIT_FAIR_QUEUE */
	server_t *wait_server;		 /* WAIT_SERVER */
	struct job_entry *query_next;	 /* in the same query bucket */
	struct job_entry **query_link;	 /* the pointer to this entry */
	handle_t active[JOB_MAX_ACTIVE]; /* attempts that may still answer */
	uint32_t active_count;
	uint32_t tries;		/* the first attempt and the retries */
	uint32_t possibly_run;	/* attempts that may have been executed */
	server_mask_t tried;	/* servers that got an attempt */
	server_mask_t unusable; /* servers without the version or the shard */
	bool version_gone;	/* a server no longer has the index version */
	bool hedged;		/* at most once */
	bool resent;		/* for a silent connection: at most once */
	bool fresh_connection;	/* for all further attempts: one was lost */
	bool ended;
	int error;
	int http_status;
	body_t *reply;
} job_entry_t;

typedef enum {
	STATE_ACTIVE,	 /* its outcome is awaited */
	STATE_CANCELLED, /* its outcome is no longer needed */
	STATE_ABANDONED	 /* it ended without an answer, but may still run */
} attempt_state_t;

typedef struct attempt {
	handle_t handle;
	id128_t id;
	server_t *server;
	struct attempt *next;  /* of the same server */
	struct attempt **link; /* the pointer to this attempt */
	handle_t job;
	uint64_t fingerprint;
	usec_t started;
	usec_t deadline;
	attempt_state_t state;
	bool start_taken; /* the caller has taken its START action */
	bool fresh_connection;
	bool hedge;
	bool alone; /* runs a suspect, beside no other attempt */
	usec_t connection_opened_at; /* 0: not connected yet, or not known */
	/* The server has answered another one on a connection at least as old.
	 */
	bool older_connection_answered;
	uint64_t crash_number;	 /* see suspect_next_crash(), when it started */
	bool crashed;		 /* its server has crashed */
	heap_node_t charge_node; /* in scheduler.attempts_by_charge_end */
	heap_node_t check_node;	 /* in scheduler.attempts_by_check */
} attempt_t;

typedef struct {
	int kind;
	handle_t handle; /* of the attempt or of the job */
	uint64_t fingerprint;
	uint64_t crash_number;
} pending_action_t;

typedef struct {
	pending_action_t *ring;
	uint32_t capacity; /* a power of two */
	uint32_t first;
	uint32_t count;
} action_list_t;

/**
 * typedef latency_t - Latencies of the last 512 to 1,023 attempts.
 *
 * Each value is added to both windows, and the next one replaces the current
 * one when it has 512. Halving the buckets of one histogram instead would lose
 * the few slow values that determine the upper quantiles.
 */
typedef struct {
	histogram_t *window;
	histogram_t *next_window;
	uint32_t new_samples; /* since the quantiles were computed */
	usec_t p95;
	usec_t p99;
	usec_t mean;
	usec_t mean_charge_time; /* for which an attempt stays charged */
} latency_t;

#define QUERY_BUCKETS 4096

struct scheduler {
	name_t service;
	suspect_list_t *suspects;
	uint64_t seed;
	uint64_t random; /* state of the generator */
	uint64_t attempt_number;
	table_t *jobs;
	table_t *attempts;
	server_t *records[SCHEDULER_MAX_RECORDS]; /* owned; NULL: unused */
	server_t *live[CATALOGUE_MAX_SERVERS];	  /* see server_is_live() */
	uint32_t live_count;
	fair_queue_t *queue;
	uint32_t waiting_for_server; /* jobs in WAIT_SERVER */
	heap_t waiting_suspects;     /* by deadline */
	handle_t suspect_attempt;
	server_t *reserved_server; /* kept free for the next suspect, or NULL */
	heap_t jobs_by_deadline;
	heap_t attempts_by_charge_end; /* by when the charge expires */
	heap_t attempts_by_check;      /* by when they may be slow or silent */
	job_entry_t *jobs_by_query[QUERY_BUCKETS];
	action_list_t actions;
	handle_t last_replied; /* job of the last REPLY taken, not yet freed */
	latency_t latency;
	usec_t fastest_latency;	 /* lowest expected one; 0: unknown */
	uint32_t hedge_credit;	 /* see scheduler_add_hedge_credit() */
	uint32_t server_limit;	 /* of the last scheduler_run() */
	usec_t max_attempt_time; /* of the last scheduler_run() */
	scheduler_stats_t stats;
};

typedef struct {
	bool hedge;
	bool fresh_connection;
	bool alone;
} attempt_options_t;

static inline bool
server_mask_has(const server_mask_t *mask, const server_t *server)
{
	return (mask->words[server->index / 64] >> server->index % 64 & 1) != 0;
}

static inline void
server_mask_add(server_mask_t *mask, const server_t *server)
{
	mask->words[server->index / 64] |= (uint64_t)1 << server->index % 64;
}

static inline void
server_mask_remove(server_mask_t *mask, const server_t *server)
{
	mask->words[server->index / 64] &= ~((uint64_t)1 << server->index % 64);
}

/* scheduler_actions.c */
/** scheduler_push_action() - Queues an action for an attempt or a job. */
void scheduler_push_action(scheduler_t *scheduler, int kind, handle_t handle);
/** scheduler_push_crash() - Queues a crash that peers should be told of. */
void scheduler_push_crash(
    scheduler_t *scheduler, uint64_t fingerprint, uint64_t crash_number);

/* scheduler_attempts.c */
/** scheduler_start_attempt() - Charges an attempt; NULL: the table is full. */
attempt_t *scheduler_start_attempt(scheduler_t *scheduler, job_entry_t *entry,
    server_t *server, attempt_options_t options, usec_t now);
/** scheduler_start_try() - Starts a first attempt or a retry, or NULL. */
attempt_t *scheduler_start_try(scheduler_t *scheduler, job_entry_t *entry,
    server_t *server, attempt_options_t options, usec_t now);
/** scheduler_release_attempt() - Ends its charge: the server doesn't run it. */
void scheduler_release_attempt(
    scheduler_t *scheduler, attempt_t *attempt, usec_t now);
/** scheduler_cancel_attempt() - Cancels an attempt that is not needed. */
void scheduler_cancel_attempt(
    scheduler_t *scheduler, attempt_t *attempt, usec_t now);
/**
 * scheduler_abandon_attempt() - Records that an attempt ended on this node,
 * though the server may still run it. The server is asked to cancel it, and it
 * stays charged.
 */
void scheduler_abandon_attempt(scheduler_t *scheduler, attempt_t *attempt);
/** scheduler_expire_charges() - Releases attempts past deadline and margin. */
void scheduler_expire_charges(scheduler_t *scheduler, usec_t now);

/* scheduler_hedging.c */
/** scheduler_add_hedge_credit() - Adds the credit of one first attempt. */
void scheduler_add_hedge_credit(scheduler_t *scheduler);
/** scheduler_probe_slow() - Sends a copy of a job to a slow server if due. */
void scheduler_probe_slow(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_arm_check() - Sets when a new attempt may be slow or silent. */
void scheduler_arm_check(scheduler_t *scheduler, attempt_t *attempt);
/** scheduler_hedge_slow_servers() - Hedges slow attempts on slow servers. */
void scheduler_hedge_slow_servers(scheduler_t *scheduler, usec_t now);
/** scheduler_check_attempts() - Hedges or resends jobs whose check is due. */
void scheduler_check_attempts(scheduler_t *scheduler, usec_t now);
/**
 * scheduler_record_unanswered() - Updates latencies and the server's record
 * when an attempt without an answer is cancelled or reaches its deadline.
 */
void scheduler_record_unanswered(
    scheduler_t *scheduler, const attempt_t *attempt, usec_t now);

/* scheduler_jobs.c */
/** scheduler_add_job() - Copies a job; NULL when the table is full. */
job_entry_t *scheduler_add_job(scheduler_t *scheduler, const job_t *job);
/** scheduler_find_job() - A job that has not ended, or NULL. */
job_entry_t *scheduler_find_job(const scheduler_t *scheduler, handle_t job);
/** scheduler_dequeue_job() - Removes a job from the queue in which it waits. */
void scheduler_dequeue_job(scheduler_t *scheduler, job_entry_t *entry);
/** scheduler_queue_job() - Adds a job to the fair queue. */
void scheduler_queue_job(scheduler_t *scheduler, job_entry_t *entry);
/**
 * scheduler_queue_for_server() - Queues a job for the server that is the best
 * for a retry, or ends it when there is none.
 */
void scheduler_queue_for_server(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_retry_job() - Queues a job for a retry; ends it after the last. */
void scheduler_retry_job(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_end_job() - Ends a job with a REPLY and cancels its attempts. */
void scheduler_end_job(
    scheduler_t *scheduler, job_entry_t *entry, int error, usec_t now);
/** scheduler_drop_job() - Ends a job without a REPLY. */
void scheduler_drop_job(scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_free_job() - Frees a job that ended. */
void scheduler_free_job(scheduler_t *scheduler, handle_t job);
/** scheduler_detach_attempt() - Ends a job's wait for one of its attempts. */
void scheduler_detach_attempt(job_entry_t *entry, const attempt_t *attempt);
/** scheduler_expire_jobs() - Ends the jobs whose deadline has passed. */
void scheduler_expire_jobs(scheduler_t *scheduler, usec_t now);
/** scheduler_fail_waiting() - No server is left: ends the queued jobs. */
void scheduler_fail_waiting(scheduler_t *scheduler, usec_t now);
/** scheduler_query_bucket() - The list of the jobs with this query's hash. */
job_entry_t **scheduler_query_bucket(scheduler_t *scheduler, id128_t query);

/* scheduler_latency.c */
void latency_init(latency_t *latency);
void latency_clear(latency_t *latency);
/** latency_record() - Adds the latency of an attempt. */
void latency_record(latency_t *latency, usec_t value);
/** latency_record_charge_time() - Adds how long an attempt was charged. */
void latency_record_charge_time(latency_t *latency, usec_t value);
/** latency_is_known() - Whether there are samples enough for quantiles. */
bool latency_is_known(const latency_t *latency);
/** scheduler_wait_behind() - Queueing time behind @ahead other jobs. */
usec_t scheduler_wait_behind(const scheduler_t *scheduler, uint32_t ahead);

/* scheduler_servers.c */
/** scheduler_random() - The next number of the seeded generator. */
uint64_t scheduler_random(scheduler_t *scheduler);
/** scheduler_refresh_expected() - Updates the servers' expected latencies. */
void scheduler_refresh_expected(scheduler_t *scheduler, usec_t now);
/** scheduler_is_slow() - Whether it's unresponsive or slower by SLOW_FACTOR. */
bool scheduler_is_slow(const scheduler_t *scheduler, const server_t *server);
/** scheduler_choose_probe() - A slow idle server that is due for a probe. */
server_t *scheduler_choose_probe(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
/**
 * scheduler_choose_server() - Chooses a server for a job in the fair queue.
 *
 * Return: NULL when none has room or a faster one is expected to finish the job
 * sooner after a wait.
 */
server_t *scheduler_choose_server(scheduler_t *scheduler, usec_t now);
/**
 * scheduler_choose_second() - Chooses a server with room for a hedge or a
 * resend, or for a retry when the server that it waits for has no room.
 * @may_repeat: also a server that the job has tried, when no other has room
 */
server_t *scheduler_choose_second(scheduler_t *scheduler,
    const job_entry_t *entry, bool may_repeat, usec_t now);
/**
 * scheduler_choose_for_suspect() - Chooses the server on which a suspect is to
 * run, preferably one that it has not tried, or NULL. The server may be busy:
 * the caller then waits until it is idle.
 */
server_t *scheduler_choose_for_suspect(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
/** scheduler_choose_retry() - Chooses the server for a retry, or NULL. */
server_t *scheduler_choose_retry(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
/** scheduler_mark_leaving() - Stops new attempts, moves its waiting jobs. */
void scheduler_mark_leaving(
    scheduler_t *scheduler, server_t *server, const char *evidence, usec_t now);
/**
 * scheduler_requeue_waiting() - Chooses a server again for each job that waits
 * for this one.
 */
void scheduler_requeue_waiting(
    scheduler_t *scheduler, server_t *server, usec_t now);
/** scheduler_has_room() - Whether a job that is no suspect may start there. */
bool scheduler_has_room(
    const scheduler_t *scheduler, const server_t *server, usec_t now);

/* scheduler_suspects.c */
/**
 * scheduler_record_crash() - Records that the server of an attempt crashed: all
 * requests that run on it become suspects.
 * @lost: the attempt whose connection was lost
 */
void scheduler_record_crash(
    scheduler_t *scheduler, attempt_t *lost, usec_t now);
/**
 * scheduler_admit_job() - Checks whether a job, which must be in no queue, is a
 * suspect or refused.
 *
 * Return: true when it may start beside others; otherwise it was ended or was
 * queued to run alone.
 */
bool scheduler_admit_job(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_is_clear() - Whether its request is not a suspect. */
bool scheduler_is_clear(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
/** scheduler_is_refused() - Whether its request crashed servers repeatedly. */
bool scheduler_is_refused(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
/** scheduler_dispatch_suspects() - Starts the next suspect if one may run. */
void scheduler_dispatch_suspects(scheduler_t *scheduler, usec_t now);

#endif
