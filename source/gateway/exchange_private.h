#ifndef EXCHANGE_PRIVATE_H
#define EXCHANGE_PRIVATE_H

#include "bulrushwell/limiter.h"
#include "bulrushwell/suspect.h"
#include "exchange.h"
#include "return_schedule.h"

/** DOC: Shared by the files of the exchange */

#define TASK_MAX_ATTEMPTS 6 /* a route may allow fewer */

typedef enum {
	TASK_WAITING, /* for a server that takes an attempt */
	TASK_RUNNING,
	TASK_ANSWERED,
	TASK_FAILED
} task_state_t;

typedef struct task {
	exchange_t *exchange;
	upstream_t *upstream;
	task_state_t state;
	attempt_t *running[TASK_MAX_ATTEMPTS];
	uint32_t running_count;
	const replica_t *tried[TASK_MAX_ATTEMPTS];
	uint32_t sent;	 /* attempts that a server may have received */
	usec_t late_at;	 /* its first attempt is late from then on */
	usec_t hedge_at; /* 0: no second attempt is planned */
	bool queued;
	bool denied; /* the retry budget allowed no further attempt */
	bool ran;    /* a server may have run it */
	char *stamp; /* fan-out: proof of the part that is in */
} task_t;

struct route_state {
	char *name;
	latency_model_t *latency;
	histogram_t *answered; /* time until an answer */
	histogram_t *failed;   /* time until a failure or refusal */
	double *credits;       /* ROUTE_WEIGHTED: balance of each target */
	uint32_t credit_count;
	return_schedule_t returns; /* of refused clients */
};

struct exchange {
	exchange_engine_t *engine;
	const http_message_t *request;
	exchange_reply_t reply;
	void *client;
	route_table_t *table;
	const route_t *route;
	route_state_t *state;
	slice_t request_id;
	uint64_t fingerprint; /* the same for each client attempt */
	bool suspect;	      /* it has crashed a server */
	buffer_t head;	      /* request line and headers for all servers */
	usec_t received_at;
	usec_t goal_at;
	usec_t final_at;
	ev_timer timer;
	bool admitted; /* counted by the limiter */
	bool answered; /* the reply was a success */
	bool in_start; /* exchange_start() has not returned */
	bool done;
	gather_records_t *records;
	buffer_t failure_head; /* last failure response of a server */
	buffer_t failure_body;
	uint32_t task_count;
	task_t tasks[];
};

struct exchange_engine {
	struct ev_loop *loop;
	engine_settings_t settings;
	pool_t *pool;
	limiter_t *limiter; /* of running fan-outs */
	suspect_list_t *suspects;
	suspect_told_t tell_suspect; /* NULL: there is nobody to tell */
	void *tell_context;
	route_table_t *table;
	GHashTable *route_states; /* by route name */
	exchange_counters_t counters;
	bool refusing; /* a planned stop takes no more requests */
	uint32_t running;
	buffer_t scratch; /* head of the request that is sent */
};

/** task_start() - Sends the first attempt, waits for room, or fails. */
void task_start(task_t *task, usec_t now);

/** task_leave_queue() - No longer waits for a server. */
void task_leave_queue(task_t *task);

/**
 * task_release() - Gives up all attempts of an ended exchange.
 * @client_gone: servers stop work on requests that may be repeated
 */
void task_release(task_t *task, bool client_gone);

/** task_hedge() - Sends a second attempt beside a late one, if it may. */
void task_hedge(task_t *task, usec_t now);

/** task_ended(), task_room() - Handlers for the pool. */
void task_ended(void *owner, attempt_t *attempt, attempt_outcome_t outcome,
    const http_message_t *response);
void task_room(void *context, upstream_t *upstream);

/** task_is_open() - Whether it may still be answered. */
bool task_is_open(const task_t *task);

/** exchange_task_answered() - Ends the task; may end and free the exchange. */
void exchange_task_answered(
    task_t *task, const attempt_t *attempt, const http_message_t *response);

/**
 * exchange_needs() - Whether the shards that have failed or are late now are
 * too many for an answer without one of them.
 */
bool exchange_needs(const exchange_t *exchange, usec_t now);

/** exchange_check() - Answers if it is time; may free the exchange. */
void exchange_check(exchange_t *exchange, usec_t now);

/** engine_crashed() - Handler for the pool. */
void engine_crashed(
    void *context, const replica_t *replica, const lost_run_t *run);

/** route_state_find() - The state of a route; made at its first request. */
route_state_t *route_state_find(
    exchange_engine_t *engine, const route_t *route);

/** route_state_next_target() - The service that is due by the weights. */
const char *route_state_next_target(route_state_t *state, const route_t *route);

/** engine_now() - Time of the loop's iteration. */
usec_t engine_now(const exchange_engine_t *engine);

/** head_prepare() - Builds what the heads for all servers have in common. */
void head_prepare(exchange_t *exchange);

/** head_for_attempt() - The head for one server, with the time that is left. */
void head_for_attempt(
    exchange_t *exchange, const replica_t *replica, usec_t now, buffer_t *out);

/**
 * head_forward() - A server's head, without the blank line at its end.
 * @keep_stamp: the answer is the server's own, unchanged
 */
void head_forward(const header_names_t *names, const http_message_t *response,
    bool keep_stamp, int status, size_t body_size, buffer_t *out);

/**
 * head_own() - Head of an answer of our own.
 * @retry_after_s: negative for none
 */
void head_own(
    int status, double retry_after_s, size_t body_size, buffer_t *out);

/**
 * reply_error() - Refuses or fails the request. An error that says "not run"
 * becomes another one when a server may have run it.
 */
void reply_error(
    exchange_t *exchange, int error, const char *cause, usec_t now);

/** reply_response() - Passes on a server's response. */
void reply_response(exchange_t *exchange, const attempt_t *attempt,
    const http_message_t *response, usec_t now);

/** reply_kept_failure() - Passes on the last failure that a server gave. */
void reply_kept_failure(exchange_t *exchange, usec_t now);

/** reply_parts() - Answers a fan-out with @in parts. */
void reply_parts(exchange_t *exchange, uint32_t in, usec_t now);

/** exchange_finish() - Sends the answer and ends the exchange. */
void exchange_finish(exchange_t *exchange, const buffer_t *head, slice_t body);

#endif
