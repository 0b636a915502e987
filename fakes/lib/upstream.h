#ifndef FAKES_LIB_UPSTREAM_H
#define FAKES_LIB_UPSTREAM_H

#include "fake_http.h"

/**
 * DOC: Simulation of one upstream server
 *
 * Each request holds one of a fixed number of slots for a log-normally
 * distributed time. Faults can be injected. One lock guards all state.
 */
#define UPSTREAM_MAX_BODY_BYTES (1024 * 1024)
#define UPSTREAM_MAX_CANCELLED_IDS 1024 /* most recent ones are kept */
#define UPSTREAM_DRAIN_GRACE_MS 5000	/* default of drain_grace_ms */
#define UPSTREAM_LOAD_LAG_MS 1000	/* between samples of the load */
#define UPSTREAM_ID_SIZE 128

/** typedef upstream_reply_fault_t - Faults in the replies of a shard. */
typedef enum {
	REPLY_CORRECT,
	REPLY_WRONG_VERSION,
	REPLY_WRONG_SHARD,
	REPLY_WRONG_REQUEST_ID,
	REPLY_TRUNCATED, /* closed after half of the body */
	REPLY_REPEATED	 /* the last correct reply to an earlier request */
} upstream_reply_fault_t;

/** typedef upstream_faults_t - Faults that are injected now. */
typedef struct {
	bool freeze; /* answer nothing until this is cleared */
	bool shed;   /* refuse new work with 503 */
	bool draining;
	bool fail; /* answer new work with 500 */
	bool ignore_cancel;
	double latency_factor;
	upstream_reply_fault_t reply_fault; /* "lie" on the control address */
	char *crash_on;		/* crash on a request whose body contains it */
	char *watch;		/* count requests whose body contains it */
	char health[16];	/* state reported by /health; "bad" gives 503 */
	int64_t drain_grace_ms; /* from the start of draining to refusal */
	int64_t load;		/* reported by /load; -1: real, but delayed */
	int64_t pad_bytes;	/* added to the body of a shard's reply */
} upstream_faults_t;

/** typedef upstream_record_t - Counters since the start of the program. */
typedef struct {
	int64_t requests;
	int64_t watched;     /* with a body that contains faults.watch */
	int64_t max_running; /* most admitted at once, queued ones too */
	int64_t overruns;    /* refused because slots and queue were full */
	int64_t late;	     /* deadline passed on arrival */
	int64_t expired;     /* deadline passed while queued or running */
	int64_t cancelled;
	int64_t crashes;
	int64_t shed; /* refused by overload or by faults.shed */
	int64_t refused_draining;
	usec_t drain_started_at;
	usec_t last_drain_request_at; /* 0: none since draining began */
	GHashTable *executions;	      /* idempotency key -> count */
} upstream_record_t;

/** typedef run_t - A request that was admitted, from then to its end. */
typedef struct {
	char id[UPSTREAM_ID_SIZE];
	fake_connection_t *connection;
	bool started;  /* holds a slot */
	bool released; /* holds no slot and no place in the queue */
	bool cancelled;
	usec_t service_time; /* for which it holds the slot */
	usec_t end_at;	     /* set when it is started */
	usec_t deadline;
} run_t;

/** typedef upstream_t - One upstream server. */
typedef struct {
	char *server; /* its name */
	char *incarnation;
	fake_server_t *http;
	GMutex lock;
	int64_t slots;
	int64_t queue_limit;	  /* requests that may wait for a slot */
	int64_t connection_limit; /* open at once; 0 for no limit */
	int64_t connect_ms; /* extra delay of a connection's first reply */
	double delay_ms;    /* one way */
	double p50_ms;	    /* quantiles of the service time */
	double p99_ms;
	GRand *random;
	json_t *indexes; /* name -> {"versions": [], "shards": []} */
	GPtrArray *runs; /* run_t: queued and started, in order of arrival */
	int64_t running; /* of these, started */
	char cancelled_ids[UPSTREAM_MAX_CANCELLED_IDS][UPSTREAM_ID_SIZE];
	size_t cancelled_count; /* cancellations received so far */
	upstream_faults_t faults;
	upstream_record_t record;
	int64_t reported_load; /* load sampled at reported_load_at */
	usec_t reported_load_at;
	fake_reply_t last_reply; /* for REPLY_REPEATED */
} upstream_t;

/**
 * upstream_create() - Creates a server from its entry in the configuration.
 * @delay_ms: one way, added to each request and each reply
 *
 * The server lives until the process ends, and does not listen yet.
 *
 * Return: NULL when a required field of the entry is missing.
 */
upstream_t *upstream_create(const json_t *entry, double delay_ms);

/**
 * upstream_set_faults() - Applies a command from the control address.
 * @command: fields of upstream_faults_t, and actions such as "restart"
 *
 * Return: false when the command is not valid or the restart failed.
 */
bool upstream_set_faults(upstream_t *upstream, const json_t *command);

/** upstream_record_to_json() - Returns the counters as a new reference. */
json_t *upstream_record_to_json(upstream_t *upstream);

/**
 * upstream_admit() - Starts, queues or refuses a request. Called with the lock
 * held.
 * @run: filled in; stays in use until upstream_release()
 *
 * Return: true when @run was started or queued; otherwise @reply is filled in.
 */
bool upstream_admit(upstream_t *upstream, const fake_request_t *request,
    run_t *run, fake_reply_t *reply);

/**
 * upstream_body_contains() - Searches the body of a request for @text.
 *
 * Return: false also when @text is NULL or empty.
 */
bool upstream_body_contains(const fake_request_t *request, const char *text);

/**
 * upstream_release() - Frees the slot or queue place of a run and starts queued
 * runs in free slots. Called with the lock held.
 */
void upstream_release(upstream_t *upstream, run_t *run);

/**
 * upstream_cancel() - Cancels a request, also one that arrives later. Called
 * with the lock held.
 *
 * Return: false when cancellations are ignored because of a fault.
 */
bool upstream_cancel(upstream_t *upstream, const char *id);

/** upstream_refuse() - Fills in an error reply with the header X-Error. */
void upstream_refuse(fake_reply_t *reply, int status, const char *error);

/** upstream_handle_request() - Handles requests to the server's address. */
void upstream_handle_request(
    void *context, const fake_request_t *request, fake_reply_t *reply);

#endif
