#ifndef FAKES_LIB_UPSTREAM_H
#define FAKES_LIB_UPSTREAM_H

#include "fake_http.h"

/**
 * DOC: Model of one upstream server
 *
 * Runs requests in a bounded number of slots for a log-normal time, and
 * misbehaves as ordered. All of its state is guarded by one lock.
 */
#define UPSTREAM_MAX_BODY (1024 * 1024)
#define UPSTREAM_CANCELLED 1024 /* cancelled ids that are remembered */
#define UPSTREAM_DRAIN_GRACE_MS 5000
#define UPSTREAM_LOAD_LAG_MS 1000
#define UPSTREAM_MAX_ID 128

typedef enum {
	LIE_NONE,
	LIE_VERSION,
	LIE_SHARD,
	LIE_REQUEST,
	LIE_CUT,
	LIE_REPEAT
} upstream_lie_t;

typedef struct {
	bool freeze;
	bool shed;
	bool draining;
	bool fail;
	bool ignore_cancel;
	double latency_factor;
	upstream_lie_t lie;
	char *crash_on;
	char *watch; /* requests whose bodies hold it are counted */
	char health[16];
	int64_t drain_grace_ms; /* then new work is refused */
	int64_t load;		/* reported by /load; -1: the lagging truth */
	int64_t pad_bytes;	/* added to the body of a shard's reply */
} upstream_faults_t;

typedef struct {
	int64_t requests;
	int64_t watched;
	int64_t max_running;
	int64_t overruns; /* requests over slots plus queue */
	int64_t late;	  /* deadline passed on arrival */
	int64_t expired;  /* ended at the deadline while running */
	int64_t cancelled;
	int64_t crashes;
	int64_t shed;
	int64_t refused_draining;
	usec_t drain_at;
	usec_t last_after_drain;
	GHashTable *executions; /* key -> count */
} upstream_record_t;

/** struct run - A request that has been admitted. */
typedef struct {
	char id[UPSTREAM_MAX_ID];
	fake_connection_t *connection;
	bool started; /* holds a slot */
	bool ended;   /* holds nothing any more */
	bool cancelled;
	usec_t service; /* time that it needs in the slot */
	usec_t end;	/* when started */
	usec_t deadline;
} run_t;

typedef struct {
	char *server;
	char *incarnation;
	fake_server_t *http;
	GMutex lock;
	int64_t slots;
	int64_t queue;
	int64_t connections;
	int64_t connect_ms;
	double delay_ms;
	double p50_ms;
	double p99_ms;
	GRand *random;
	json_t *indexes;
	GPtrArray *runs; /* admitted and not ended, in order of arrival */
	int64_t running; /* of these, started */
	char cancelled[UPSTREAM_CANCELLED][UPSTREAM_MAX_ID];
	size_t cancelled_count;
	upstream_faults_t faults;
	upstream_record_t record;
	int64_t seen_load;
	usec_t seen_load_at;
	fake_reply_t last; /* for LIE_REPEAT */
} upstream_t;

/**
 * upstream_create() - One server from its entry in the configuration.
 * @delay_ms: one way, added to each request and each reply
 *
 * Return: NULL when the entry is not valid.
 */
upstream_t *upstream_create(const json_t *entry, double delay_ms);

/** upstream_set_faults() - Applies an order of the control address. */
bool upstream_set_faults(upstream_t *upstream, const json_t *order);

json_t *upstream_print_record(upstream_t *upstream);

/**
 * upstream_admit() - Decides on a request that has arrived, with the lock held.
 *
 * Return: true when @run was started or queued; else @reply says why not.
 */
bool upstream_admit(upstream_t *upstream, const fake_request_t *request,
    run_t *run, fake_reply_t *reply);

/** upstream_holds_text() - Whether a body holds @text, which may be NULL. */
bool upstream_holds_text(const fake_request_t *request, const char *text);

/** upstream_release() - Ends a run and starts the next, with the lock held. */
void upstream_release(upstream_t *upstream, run_t *run);

/** upstream_cancel() - Whether the request does not run; lock held. */
bool upstream_cancel(upstream_t *upstream, const char *id);

/** upstream_refuse() - A reply with X-Error. */
void upstream_refuse(fake_reply_t *reply, int status, const char *error);

/** upstream_handle() - Handler of the server's address. */
void upstream_handle(
    void *context, const fake_request_t *request, fake_reply_t *reply);

#endif
