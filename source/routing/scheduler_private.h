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
 * scheduler.c has the public functions; scheduler_actions.c the list of
 * actions; scheduler_attempts.c the attempts and their charges;
 * scheduler_hedging.c second attempts; scheduler_jobs.c the life of a job;
 * scheduler_latency.c quantiles and estimates; scheduler_outcomes.c what
 * follows from an attempt's result; scheduler_servers.c the choice of servers;
 * scheduler_suspects.c crashes and jobs that run alone.
 */

/* Records of servers: those listed, and earlier incarnations, which are kept
 * while attempts are charged to them and so that a leaving one stays known. */
#define SCHEDULER_MAX_RECORDS (2 * CATALOGUE_MAX_SERVERS)
#define SCHEDULER_RECORD_WORDS (SCHEDULER_MAX_RECORDS / 64)
#define SCHEDULER_MAX_ATTEMPTS 4096
#define SCHEDULER_MIN_SAMPLES 20 /* fewer say nothing about a quantile */

/* A server is slow when its latency is above that of the fastest one by this
 * factor; smaller differences are the noise of few answers. */
#define SLOW_FACTOR 2

/* A first attempt, a hedge and one for a silent connection. */
#define JOB_MAX_RUNNING 3

#define DRIFT_MARGIN MS(DRIFT_MARGIN_MS)

/** typedef server_mask_t - A set of server records. */
typedef struct {
	uint64_t words[SCHEDULER_RECORD_WORDS];
} server_mask_t;

typedef enum {
	WAIT_NONE,	 /* its attempts run, or it ended */
	WAIT_FAIR_QUEUE, /* in the fair queue: no attempt was made yet */
	WAIT_SERVER,	 /* waits for one server, after a failed attempt */
	WAIT_IDLE_SERVER /* a suspect that waits for an idle server */
} wait_state_t;

typedef struct job_entry {
	job_t job;
	handle_t handle;
	heap_node_t expiry_node; /* in scheduler.expiries */
	heap_node_t wait_node;	 /* where @place says */
	wait_state_t wait_state;
	flow_t *flow;	       /* PLACE_QUEUE */
	server_t *wait_server; /* PLACE_SERVER */
	struct job_entry *query_next;
	struct job_entry **query_link;
	handle_t running[JOB_MAX_RUNNING]; /* attempts that may still answer */
	uint32_t running_count;
	uint32_t tries;		/* the first attempt and the retries */
	uint32_t possibly_run;	/* attempts not known to have been refused */
	server_mask_t tried;	/* servers that had an attempt */
	server_mask_t unusable; /* servers without the version or the shard */
	bool version_gone;	/* some server said so */
	bool hedged;		/* at most once */
	bool resent;		/* second attempt for silence: at most once */
	bool fresh_connection;	/* a connection died under it */
	bool ended;
	int error;
	int http_status;
	body_t *reply;
} job_entry_t;

typedef enum {
	STATE_ACTIVE,	 /* its outcome is awaited */
	STATE_CANCELLED, /* cancelled; its outcome is of no use */
	STATE_ABANDONED	 /* nothing more is heard of it, but it may run */
} attempt_state_t;

typedef struct attempt {
	handle_t handle;
	id128_t id;
	server_t *server;
	struct attempt *next; /* charged to the same server */
	struct attempt **link;
	handle_t job;
	uint64_t fingerprint;
	usec_t started;
	usec_t deadline;
	attempt_state_t state;
	bool start_taken; /* START was given out */
	bool fresh_connection;
	bool hedge;
	bool alone;
	uint64_t crash_id;	 /* the crash that it was blamed for; 0: none */
	heap_node_t charge_node; /* in scheduler.charges */
	heap_node_t check_node;	 /* in scheduler.checks */
} attempt_t;

typedef struct {
	int kind;
	handle_t handle; /* of the attempt or of the job */
	uint64_t fingerprint;
	uint64_t crash_id;
} pending_action_t;

typedef struct {
	pending_action_t *ring;
	uint32_t capacity; /* a power of two */
	uint32_t first;
	uint32_t count;
} action_list_t;

/* typedef latency_t - Latencies of the last 512 to 1,023 answers. The next
 * window fills beside the current one: halving the buckets would lose the few
 * slow values that the upper quantiles are made of. */
typedef struct {
	histogram_t *window;
	histogram_t *next_window;
	uint32_t new_samples; /* since the quantiles were computed */
	usec_t p95;
	usec_t p99;
	usec_t mean;
	usec_t mean_charge_time; /* how long an attempt stays charged */
} latency_t;

#define QUERY_BUCKETS 4096

struct scheduler {
	name_t service;
	suspect_list_t *suspects;
	uint64_t seed;
	uint64_t random;
	uint64_t attempt_number;
	table_t *jobs;
	table_t *attempts;
	server_t *records[SCHEDULER_MAX_RECORDS];
	server_t *live[CATALOGUE_MAX_SERVERS];
	uint32_t live_count;
	fair_queue_t *queue;
	uint32_t waiting_for_server; /* jobs that wait for one server */
	heap_t waiting_suspects;     /* suspects by deadline */
	handle_t suspect_attempt;
	server_t *reserved_server;     /* kept free for the next suspect */
	heap_t jobs_by_deadline;       /* jobs by deadline */
	heap_t attempts_by_charge_end; /* attempts by the end of their charge */
	heap_t attempts_by_check; /* attempts by when they may be too slow */
	job_entry_t *jobs_by_query[QUERY_BUCKETS];
	action_list_t actions;
	handle_t last_replied; /* job of the REPLY that was given out last */
	latency_t latency;
	usec_t fastest_latency; /* lowest expected latency of a server; 0:
				   unknown */
	uint32_t hedge_credit;
	uint32_t server_limit;
	usec_t max_attempt_time;
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
void scheduler_push_action(scheduler_t *scheduler, int kind, handle_t handle);
void scheduler_push_crash(
    scheduler_t *scheduler, uint64_t fingerprint, uint64_t crash_id);

/* scheduler_attempts.c */
attempt_t *scheduler_start_attempt(scheduler_t *scheduler, job_entry_t *entry,
    server_t *server, attempt_options_t options, usec_t now);
/** scheduler_begin_try() - A first attempt or a retry. */
attempt_t *scheduler_start_try(scheduler_t *scheduler, job_entry_t *entry,
    server_t *server, attempt_options_t options, usec_t now);
/** scheduler_release_attempt() - The server is known not to run it. */
void scheduler_release_attempt(
    scheduler_t *scheduler, attempt_t *attempt, usec_t now);
/** scheduler_cancel_attempt() - Its outcome is of no use any more. */
void scheduler_cancel_attempt(
    scheduler_t *scheduler, attempt_t *attempt, usec_t now);
/** scheduler_cut_attempt() - It ended here, but may still run there. */
void scheduler_abandon_attempt(scheduler_t *scheduler, attempt_t *attempt);
void scheduler_expire_charges(scheduler_t *scheduler, usec_t now);

/* scheduler_hedging.c */
/** scheduler_earn_hedge() - Counts a first attempt. */
void scheduler_add_hedge_credit(scheduler_t *scheduler);
/** scheduler_probe_slow() - Sends a copy of a job to a slow server when due. */
void scheduler_probe_slow(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now);
void scheduler_arm_check(scheduler_t *scheduler, attempt_t *attempt);
void scheduler_hedge_slow_servers(scheduler_t *scheduler, usec_t now);
void scheduler_check_attempts(scheduler_t *scheduler, usec_t now);
/** scheduler_note_unanswered() - It is cancelled or reached its deadline. */
void scheduler_record_unanswered(
    scheduler_t *scheduler, const attempt_t *attempt, usec_t now);

/* scheduler_jobs.c */
/** scheduler_add_job() - NULL when the table is full. */
job_entry_t *scheduler_add_job(scheduler_t *scheduler, const job_t *job);
/** scheduler_find_job() - A job that has not ended, or NULL. */
job_entry_t *scheduler_find_job(const scheduler_t *scheduler, handle_t job);
/** scheduler_unplace_job() - Takes it out of the queue in which it waits. */
void scheduler_dequeue_job(scheduler_t *scheduler, job_entry_t *entry);
void scheduler_queue_job(scheduler_t *scheduler, job_entry_t *entry);
/** scheduler_bind_job() - Waits for the server that suits it best, or ends. */
void scheduler_queue_for_server(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_retry_job() - Makes another attempt if it may, or ends it. */
void scheduler_retry_job(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_end_job() - The one place that makes a REPLY. */
void scheduler_end_job(
    scheduler_t *scheduler, job_entry_t *entry, int error, usec_t now);
/** scheduler_drop_job() - Ends it without a REPLY. */
void scheduler_drop_job(scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_free_job() - Frees a job that ended. */
void scheduler_free_job(scheduler_t *scheduler, handle_t job);
void scheduler_detach_attempt(job_entry_t *entry, const attempt_t *attempt);
void scheduler_expire_jobs(scheduler_t *scheduler, usec_t now);
/** scheduler_refuse_all() - No server is left: ends what waits. */
void scheduler_fail_waiting(scheduler_t *scheduler, usec_t now);
job_entry_t **scheduler_query_bucket(scheduler_t *scheduler, id128_t query);

/* scheduler_latency.c */
void latency_init(latency_t *latency);
void latency_clear(latency_t *latency);
void latency_record(latency_t *latency, usec_t value);
void latency_record_charge_time(latency_t *latency, usec_t value);
bool latency_is_known(const latency_t *latency);
/** scheduler_estimate_wait() - Queueing time behind @ahead other jobs. */
usec_t scheduler_estimate_wait(const scheduler_t *scheduler, uint32_t ahead);

/* scheduler_servers.c */
uint64_t scheduler_random(scheduler_t *scheduler);
/** scheduler_refresh_expected() - Computes the latency that each one has. */
void scheduler_refresh_expected(scheduler_t *scheduler, usec_t now);
/** scheduler_is_slow() - Whether others are much faster. */
bool scheduler_is_slow(const scheduler_t *scheduler, const server_t *server);
/** scheduler_choose_probe() - A slow idle server that is due for a probe. */
server_t *scheduler_choose_probe(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
/**
 * scheduler_choose_server() - For a job in the fair queue, or NULL when none
 * has room or a faster one is expected to end the job sooner after a wait.
 */
server_t *scheduler_choose_server(scheduler_t *scheduler, usec_t now);
/**
 * scheduler_choose_second() - For another attempt beside a running one.
 * @may_repeat: also a server that the job has tried, when no other has room
 */
server_t *scheduler_choose_second(scheduler_t *scheduler,
    const job_entry_t *entry, bool may_repeat, usec_t now);
/** scheduler_choose_idle() - For a suspect: the server nearest to idle. */
server_t *scheduler_choose_idle(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
/** scheduler_choose_retry() - The server to wait for; NULL: none is of use. */
server_t *scheduler_choose_retry(
    scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
void scheduler_mark_leaving(
    scheduler_t *scheduler, server_t *server, const char *evidence, usec_t now);
/** scheduler_rebind_waiting() - Its waiting jobs go to other servers. */
void scheduler_requeue_waiting(
    scheduler_t *scheduler, server_t *server, usec_t now);
bool scheduler_has_room(
    const scheduler_t *scheduler, const server_t *server, usec_t now);

/* scheduler_suspects.c */
void scheduler_record_crash(
    scheduler_t *scheduler, attempt_t *lost, usec_t now);
/**
 * scheduler_screen_job() - Whether a job that is in no queue may be started as
 * any other; otherwise it was ended or waits to run alone.
 */
bool scheduler_admit_job(
    scheduler_t *scheduler, job_entry_t *entry, usec_t now);
/** scheduler_may_repeat() - Whether it is no suspect. */
bool scheduler_is_clear(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
bool scheduler_is_refused(
    const scheduler_t *scheduler, const job_entry_t *entry, usec_t now);
void scheduler_dispatch_suspects(scheduler_t *scheduler, usec_t now);

#endif
