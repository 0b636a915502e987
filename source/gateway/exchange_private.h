#ifndef EXCHANGE_PRIVATE_H
#define EXCHANGE_PRIVATE_H

#include "bulrushwell/limiter.h"
#include "bulrushwell/suspect.h"
#include "client_timing.h"
#include "exchange.h"
#include "retry_schedule.h"

/** DOC: Internal types and functions of the exchange_*.c files */

#define TASK_MAX_ATTEMPTS 6 /* upper bound of a route's max_attempts */

typedef enum {
	TASK_WAITING, /* queued until a server can take an attempt */
	TASK_RUNNING,
	TASK_ANSWERED,
	TASK_FAILED
} task_state_t;

/** typedef task_t - The part of an exchange that one upstream answers. */
typedef struct task {
	exchange_t *exchange;
	upstream_t *upstream;
	task_state_t state;
	attempt_t *running[TASK_MAX_ATTEMPTS];
	uint32_t running_count;
	const upstream_server_t *tried[TASK_MAX_ATTEMPTS];
	uint32_t sent_count; /* attempts that may have reached a server */
	usec_t late_at;	   /* when the newest attempt begins to count as late */
	usec_t hedge_at;   /* 0: no parallel attempt is planned */
	bool queued;	   /* in the waiting list of the upstream */
	bool retry_denied; /* the retry budget denied an attempt */
	bool may_have_run; /* a server may have run the request */
	char *response_stamp; /* fan-out: stamp of the shard's response */
} task_t;

/** struct route_state - What is kept of a route between its requests. */
struct route_state {
	char *name;
	latency_model_t *latency;
	histogram_t *answer_times;  /* response times of successes */
	histogram_t *failure_times; /* response times of errors */
	double *current_weights;    /* ROUTE_WEIGHTED: round robin state */
	uint32_t current_weight_count;
	retry_schedule_t retry_schedule; /* for refused clients */
	wait_history_t waits;		 /* that clients stated */
	size_t response_bytes;		 /* of the last response */
};

struct exchange {
	exchange_engine_t *engine;
	const http_message_t *request;
	exchange_reply_t reply;
	void *client;
	route_table_t *table;
	const route_t *route;
	route_state_t *route_state;
	slice_t request_id;
	uint64_t fingerprint; /* equal for retries by the client */
	bool is_suspect;      /* the request has crashed a server */
	buffer_t common_head; /* request head, the part common to all servers */
	usec_t received_at;
	/*
	 * Latest response that meets the target latency. Until here a fan-out
	 * waits for all shards.
	 */
	usec_t soft_deadline;
	usec_t deadline; /* latest time of any response */
	ev_timer timer;
	usec_t wake_at;		   /* when the timer is due */
	bool admitted;		   /* counted as running by the limiter */
	bool succeeded;		   /* fan-out: the response was a success */
	bool starting;		   /* exchange_start() has not returned */
	bool done;		   /* replied, or the client has disconnected */
	gather_records_t *records; /* fan-out: merged so far */
	buffer_t failure_head;	   /* last error response of a server */
	buffer_t failure_body;
	uint32_t task_count;
	task_t tasks[];
};

struct exchange_engine {
	struct ev_loop *loop;
	engine_settings_t settings;
	pool_t *pool;
	limiter_t *limiter; /* limits concurrent fan-outs */
	client_timing_t *timing;
	suspect_list_t *suspects;
	suspect_handler_t suspect_handler; /* may be NULL */
	void *suspect_context;
	route_table_t *table;
	GHashTable *route_states; /* by route name */
	exchange_counters_t counters;
	bool refusing_requests; /* during a planned stop */
	uint32_t running;	/* exchanges that have not ended */
	buffer_t attempt_head;	/* reused for each attempt */
};

/** task_start() - Sends the first attempt, queues the task, or fails it. */
void task_start(task_t *task, usec_t now);

/** task_leave_queue() - Removes the task from its queue, if it is queued. */
void task_leave_queue(task_t *task);

/**
 * task_release() - Detaches all attempts of an ended exchange.
 * @client_gone: cancels the attempts if the route is idempotent
 */
void task_release(task_t *task, bool client_gone);

/** task_hedge() - Sends an attempt in parallel to a late one, if allowed. */
void task_hedge(task_t *task, usec_t now);

/** task_on_attempt_ended() - Pool handler; may free the exchange. */
void task_on_attempt_ended(void *owner, attempt_t *attempt,
    attempt_outcome_t outcome, const http_message_t *response);

/** task_on_capacity() - Pool handler: sends queued tasks to free servers. */
void task_on_capacity(void *context, upstream_t *upstream);

/** task_is_open() - Whether the task may still be answered. */
bool task_is_open(const task_t *task);

/** exchange_task_answered() - Ends the task; may free the exchange. */
void exchange_task_answered(
    task_t *task, const attempt_t *attempt, const http_message_t *response);

/**
 * exchange_needs_late_shards() - Whether a fan-out can't reach its minimum
 * share without the shards that have failed, are queued or are late. Always
 * true for other routes.
 */
bool exchange_needs_late_shards(const exchange_t *exchange, usec_t now);

/** exchange_reply_if_due() - Sends a due reply; may free the exchange. */
void exchange_reply_if_due(exchange_t *exchange, usec_t now);

/** engine_on_server_crash() - Pool handler: makes the request a suspect. */
void engine_on_server_crash(void *context, const upstream_server_t *server,
    const interrupted_request_t *interrupted);

/** route_state_get() - The state of a route, created on first use. */
route_state_t *route_state_get(exchange_engine_t *engine, const route_t *route);

/** route_state_next_target() - Next service by weighted round robin. */
const char *route_state_next_target(route_state_t *state, const route_t *route);

/** engine_now() - Time of the current event loop iteration. */
usec_t engine_now(const exchange_engine_t *engine);

/** head_build_common() - Builds the request head common to all servers. */
void head_build_common(exchange_t *exchange);

/**
 * head_build_attempt() - Builds the request head for one server, with the time
 * left until the deadline.
 * @out: replaced
 */
void head_build_attempt(exchange_t *exchange, const upstream_server_t *server,
    usec_t now, buffer_t *out);

/**
 * head_build_forwarded() - Appends a response head with the headers of a
 * server, without the blank line at its end.
 * @keep_stamp: the response is forwarded unchanged
 * @status: replaces the status of @response
 */
void head_build_forwarded(const header_names_t *names,
    const http_message_t *response, bool keep_stamp, int status,
    size_t body_size, buffer_t *out);

/**
 * head_build_local() - Appends the head of a response that the gateway itself
 * produces, without the blank line at its end.
 * @retry_after_s: negative for none
 */
void head_build_local(
    int status, double retry_after_s, size_t body_size, buffer_t *out);

/**
 * reply_error() - Sends an error response. An error that states "not run" is
 * replaced when a server may have run the request.
 * @error: a BW_E_* code
 * @cause: sent to the client and logged
 */
void reply_error(
    exchange_t *exchange, int error, const char *cause, usec_t now);

/** reply_forward() - Forwards the response of a server. */
void reply_forward(exchange_t *exchange, const attempt_t *attempt,
    const http_message_t *response, usec_t now);

/** reply_last_failure() - Forwards the last error response of a server. */
void reply_last_failure(exchange_t *exchange, usec_t now);

/** reply_fanout() - Sends the merged responses of @answered shards. */
void reply_fanout(exchange_t *exchange, uint32_t answered, usec_t now);

/** exchange_finish() - Sends the response and marks the exchange as done. */
void exchange_finish(exchange_t *exchange, const buffer_t *head, slice_t body);

#endif
