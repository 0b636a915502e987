#ifndef EXCHANGE_PRIVATE_H
#define EXCHANGE_PRIVATE_H

#include "bulrushwell/limiter.h"
#include "bulrushwell/suspect.h"
#include "client_timing.h"
#include "exchange.h"
#include "group_headers.h"
#include "report_timing.h"
#include "retry_schedule.h"
#include "serving_peers.h"
#include "shard_groups.h"

/** DOC: Internal types and functions of the exchange_*.c files */

#define TASK_MAX_ATTEMPTS ROUTE_ATTEMPTS_MAX

typedef enum {
	TASK_WAITING, /* queued until a server can take an attempt */
	TASK_RUNNING,
	TASK_ASKED, /* a peer was asked to serve its group */
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
	usec_t late_at;	 /* when the newest attempt begins to count as late */
	usec_t hedge_at; /* 0: no parallel attempt is planned */
	request_entry_t entry; /* in the queue of the upstream */
	bool retry_denied;     /* the retry budget denied an attempt */
	bool may_have_run;     /* a server may have run the request */
	bool connection_lost;  /* an attempt lost its connection */
	bool reported;	       /* its answer was sent to the receiving node */
	char *response_stamp;  /* fan-out: stamp of the shard's response */
} task_t;

/** struct route_state - What is kept of a route between its requests. */
struct route_state {
	char *name;
	latency_model_t *latency;
	latency_model_t *group_latency; /* of requests to peers */
	histogram_t *answer_times;	/* response times of successes */
	histogram_t *failure_times;	/* response times of errors */
	double *current_weights;	/* ROUTE_WEIGHTED: round robin state */
	uint32_t current_weight_count;
	retry_schedule_t retry_schedule; /* for refused clients */
	wait_history_t waits;		 /* that clients stated */
	size_t response_bytes;		 /* of the last response */
};

/** typedef group_request_t - The shards that a receiving node asks for. */
typedef struct {
	uint32_t group;
	uint32_t groups;
	uint64_t targets_hash; /* of the route's shards */
	/* Until the receiving node needs what there is. */
	usec_t soft_allowance;
	/* Of the route as the receiving node knows it. */
	uint32_t records;
	uint32_t max_attempts;
	uint32_t priority;
} group_request_t;

/** typedef group_attempt_t - A request of a receiving node to a peer. */
typedef struct {
	exchange_t *exchange;
	uint32_t group;
	attempt_t *attempt; /* NULL: it has ended, or none was made */
	usec_t check_at;    /* when the peer must have shown that it works on
			     * it; 0: it has */
	bool accepted;	    /* at the last check */
	usec_t
	    report_due_at; /* when the peer was to report, see report_timing.h
			    */
	bool reported;
} group_attempt_t;

struct exchange {
	exchange_engine_t *engine;
	const http_message_t *request;
	exchange_reply_t reply;
	void (*interim)(void *client, const buffer_t *head); /* to a peer */
	uint32_t interim_count;
	void *client;
	route_table_t *table;
	const route_t *route;
	route_state_t *route_state;
	slice_t request_id;
	/*
	 * The customer whose key the request has. NULL: none is needed, or this
	 * is a serving node, which the receiving node told the name.
	 */
	const customer_spec_t *customer;
	slice_t customer_name; /* sent to servers; empty: none */
	int priority;	       /* of the customer, else of the route */
	bool key_refused;
	bool held_for_rate;	 /* nothing is decided yet, nothing sent */
	bool admitted_by_rate;	 /* holds a token of the customer's rate */
	usec_t rate_taken_at;	 /* when it was admitted by the rate */
	usec_t rate_retry_after; /* of a request refused by the rate; else 0 */
	/* Headers of the request that are not forwarded. */
	bool drops_authorization;
	bool drops_customer;
	uint64_t fingerprint; /* equal for retries by the client */
	bool is_suspect;      /* the request has crashed a server */
	buffer_t common_head; /* request head, the part common to all servers */
	usec_t received_at;
	usec_t admitted_at; /* fan-out: when it began to count as running */
	/*
	 * Latest response that meets the target latency. Until here a fan-out
	 * waits for all shards.
	 */
	usec_t soft_deadline;
	usec_t deadline; /* latest time of any response */
	ev_timer timer;
	usec_t wake_at; /* when the timer is due */
	/* Of the route's shards, every @shard_step-th from @shard_first on. */
	uint32_t shard_first;
	uint32_t shard_step;
	double min_share; /* of these, for a response at the soft deadline */
	/* Of the route, or as the receiving node states it. */
	uint32_t top_records;
	uint32_t max_attempts;
	bool peer_failed; /* a serving node failed, which shows no overload */
	bool is_for_peer; /* the client is a receiving node */
	bool admitted;	  /* counted as running by the limiter */
	request_entry_t entry; /* in a queue until it may run */
	usec_t place_wait;     /* estimated for a refused request; 0: unknown */
	bool succeeded;	       /* fan-out: the response was a success */
	bool starting;	       /* exchange_start() has not returned */
	bool done;	       /* replied, or the client has disconnected */
	size_t held;	       /* charged to the account of memory */
	gather_records_t *records; /* fan-out: merged so far */
	int failure_status;
	buffer_t failure_head; /* last error response of a server */
	buffer_t failure_body;
	group_attempt_t *groups; /* by group; NULL: no peer was asked */
	uint32_t group_count;
	uint32_t task_count;
	task_t tasks[];
};

struct exchange_engine {
	struct ev_loop *loop;
	engine_settings_t settings;
	pool_t *pool;
	limiter_t *limiter;	   /* limits concurrent fan-outs */
	GHashTable *fanout_queues; /* request_queue_t by limiter key */
	GHashTable *displaced;	   /* set of upstreams whose queue has grown */
	ev_timer queue_check; /* outside the calls that change the queues */
	client_timing_t *timing;
	report_timing_t *report_timing;
	serving_peers_t *peers;
	suspect_list_t *suspects;
	rate_gate_t *rates;	  /* NULL: customers have no limits */
	engine_reports_t reports; /* functions may be NULL */
	route_table_t *table;
	GHashTable *route_states; /* by route name */
	exchange_counters_t counters;
	usec_t ends_at;		/* of the process; 0: no stop has begun */
	bool refusing_requests; /* during a planned stop */
	uint32_t running;	/* exchanges that have not ended */
	buffer_t attempt_head;	/* reused for each attempt */
};

/**
 * customer_check_key() - Finds the customer of a client's request by its key,
 * if the route needs one.
 * @cause: set when an error is returned
 *
 * Return: 0, or the error with which to refuse the request.
 */
int customer_check_key(exchange_t *exchange, const char **cause);

/** customer_accept_peer() - Takes the customer that a receiving node names,
 * like customer_check_key(). */
int customer_accept_peer(exchange_t *exchange, const char **cause);

/** customer_add_peer_header() - Appends the header that tells a serving node
 * the customer and the priority. */
void customer_add_peer_header(const exchange_t *exchange, buffer_t *head);

/** customer_add_header() - Appends the header that tells a server the customer.
 */
void customer_add_header(const exchange_t *exchange, buffer_t *head);

/** customer_drops_header() - Whether a header of the request is not forwarded
 * because it names a customer or holds a key. */
bool customer_drops_header(const exchange_t *exchange, slice_t name);

/** exchange_rate_decided() - Continues or refuses a request that was held back
 * for its customer's rate; may free the exchange. */
void exchange_rate_decided(const rate_decision_t *decision);

/** task_start() - Sends the first attempt, queues the task, or fails it. */
void task_start(task_t *task, usec_t now);

/** task_try_dispatch() - Sends an attempt or fails the task. Returns false,
 * without effect, when every usable server is busy. */
bool task_try_dispatch(task_t *task, usec_t now);

/** task_enqueue() - Queues a task for which all servers are busy, or fails it
 * when it can't be answered in time. */
void task_enqueue(task_t *task, usec_t now);

/** task_leave_queue() - Removes the task from its queue, if it is queued. */
void task_leave_queue(task_t *task);

/**
 * exchange_admit() - Decides whether a fan-out may run now, see
 * request_queue.h. Other exchanges compete for servers only.
 *
 * Return: whether it may start its tasks. If not, it either waits, or
 * @refused is set.
 */
bool exchange_admit(exchange_t *exchange, usec_t now, bool *refused);

/** exchange_leave_queue() - Removes a fan-out that waits to run. */
void exchange_leave_queue(exchange_t *exchange);

/** exchange_run_tasks() - Starts the tasks of an exchange that may run. */
void exchange_run_tasks(exchange_t *exchange, usec_t now);

/** queues_create() - Initializes the queues of an engine. */
void queues_create(exchange_engine_t *engine);
void queues_destroy(exchange_engine_t *engine);

/** queues_place_freed() - A fan-out has ended, so that others may run. */
void queues_place_freed(exchange_engine_t *engine);

/** exchange_limiter_customer() - Whose share of the concurrency limit counts:
 * the customer's, or the route's without customers. */
const char *exchange_limiter_customer(const exchange_t *exchange);

/**
 * task_release() - Detaches all attempts of an ended exchange.
 * @client_gone: cancels the attempts if the route is idempotent
 */
void task_release(task_t *task, bool client_gone);

/** task_hedge() - Sends an attempt in parallel to a late one, if allowed. */
void task_hedge(task_t *task, usec_t now);

/** typedef peer_use_t - What a peer has done with the shards of its group. */
typedef enum {
	PEER_SENT_NONE,	  /* it has refused the request */
	PEER_NOT_ACCEPTED /* it has sent none as far as is known */
} peer_use_t;

/** task_resume() - Sends a task whose peer did not answer it. */
void task_resume(task_t *task, peer_use_t use, usec_t now);

/** task_fail() - Ends the task without an answer. */
void task_fail(task_t *task, const char *cause);

/** task_on_attempt_ended() - Pool handler; may free the exchange. */
void task_on_attempt_ended(void *owner, attempt_t *attempt,
    attempt_outcome_t outcome, const http_message_t *response);

/** task_on_capacity() - Pool handler: sends queued tasks to free servers. */
void task_on_capacity(void *context, upstream_t *upstream);

/** task_is_open() - Whether the task may still be answered. */
bool task_is_open(const task_t *task);

/** exchange_gather_state() - Progress of a fan-out. */
gather_state_t exchange_gather_state(const exchange_t *exchange);

/**
 * groups_ask() - Asks peers for the groups of shards that this node does not
 * serve. Tasks of groups without a usable peer stay as they are.
 */
void groups_ask(exchange_t *exchange, usec_t now);

/** groups_check() - Resumes the groups whose peer has not accepted in time, and
 * fails those whose peer has fallen silent after that. */
void groups_check(exchange_t *exchange, usec_t now);

/** groups_next_check() - When groups_check() is due; INT64_MAX: never. */
usec_t groups_next_check(const exchange_t *exchange);

/** groups_release() - Detaches all requests to peers of an ended exchange. */
void groups_release(exchange_t *exchange, bool client_gone);

/** groups_on_attempt_ended() - Pool handler; may free the exchange. */
void groups_on_attempt_ended(void *owner, attempt_t *attempt,
    attempt_outcome_t outcome, const http_message_t *response);

/** group_request_read() - Reads the request of a receiving node; false when it
 * has none, or not a valid one. */
bool group_request_read(const http_message_t *request, group_request_t *group);

/**
 * group_response_take() - Applies the final response of a peer to the tasks of
 * its group.
 *
 * Return: false, without effect, for a response that makes no sense.
 */
bool group_response_take(
    const group_attempt_t *group, const http_message_t *response);

/** typedef group_response_t - What an interim response of a peer was. */
typedef enum {
	GROUP_RESPONSE_EMPTY, /* it names no shards */
	GROUP_RESPONSE_TAKEN, /* its shards are answered */
	GROUP_RESPONSE_BAD    /* it makes no sense and has no effect */
} group_response_t;

/** group_response_take_interim() - Like group_response_take(), for an interim
 * response. */
group_response_t group_response_take_interim(
    const group_attempt_t *group, const http_message_t *response);

/** groups_on_interim() - Pool handler; may free the exchange. */
void groups_on_interim(void *owner, const http_message_t *response);

/**
 * group_reply_if_due() - Reports to the receiving node: once all shards have
 * ended or the deadline has passed with a response, from the soft deadline on
 * with interim responses.
 */
void group_reply_if_due(exchange_t *exchange, usec_t now);

/** group_served_text() - What a response to a receiving node answers, as
 * SERVED_HEADER states it. */
void group_served_text(const exchange_t *exchange, uint32_t group,
    uint32_t groups, char text[SERVED_TEXT_MAX]);

/** group_response_add() - Appends the headers that name the shards in a
 * response to a receiving node. */
void group_response_add(const exchange_t *exchange, buffer_t *head);

/** group_header_is_internal() - Whether a header is one that only gateways
 * exchange. */
bool group_header_is_internal(slice_t name);

/**
 * exchange_hold() - Charges what the exchange holds to the account of memory.
 * @more: bytes that are about to be added
 *
 * Return: false, without effect, when there is no room.
 */
bool exchange_hold(exchange_t *exchange, size_t more);

/** exchange_init_timer() - Must be called before the exchange is continued. */
void exchange_init_timer(exchange_t *exchange);

/**
 * exchange_continue() - Sends a reply that is due already, or waits for more.
 *
 * Return: the exchange, or NULL when it has ended and was freed.
 */
exchange_t *exchange_continue(exchange_t *exchange, usec_t now);

/**
 * exchange_limiter_key() - Key of the concurrency limit: fan-outs over the same
 * shards share the one of their first shard.
 */
const char *exchange_limiter_key(const exchange_t *exchange);

/** exchange_task_answered() - Ends the task; may free the exchange. */
void exchange_task_answered(
    task_t *task, const attempt_t *attempt, const http_message_t *response);

/**
 * exchange_needs_late_shards() - Whether a fan-out can't reach its minimum
 * share without the shards that have failed, are queued or are late. Always
 * true for other routes.
 */
bool exchange_needs_late_shards(const exchange_t *exchange, usec_t now);

/**
 * exchange_refuse() - Refuses a request of which nothing was sent. May free the
 * exchange.
 * @error: a BW_E_* code
 */
void exchange_refuse(
    exchange_t *exchange, int error, const char *cause, usec_t now);

/**
 * exchange_refuse_unservable() - Refuses a request of which nothing was sent if
 * it can't be answered as things are now: its deadline has passed, this process
 * ends before, or too few shards have a server. May free the exchange.
 *
 * Return: whether it was refused.
 */
bool exchange_refuse_unservable(exchange_t *exchange, usec_t now);

/** exchange_reply_if_due() - Sends a due reply; may free the exchange. */
void exchange_reply_if_due(exchange_t *exchange, usec_t now);

/** engine_on_server_leaving() - Pool handler: tells the other nodes. */
void engine_on_server_leaving(void *context, const upstream_server_t *server);

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

/** head_build_unfinished() - Like head_build_attempt(), but without the server
 * and the blank line at its end. */
void head_build_unfinished(exchange_t *exchange, usec_t now, buffer_t *out);

/** head_add_field() - Appends a header line. */
void head_add_field(buffer_t *out, const char *name, slice_t value);

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

/** exchange_cold_wait() - How long until cold servers take requests of all
 * tasks that have no other server; 0: there are none such. */
usec_t exchange_cold_wait(const exchange_t *exchange, usec_t now);

/** exchange_log_cold() - Counts and logs that only cold servers are left. */
void exchange_log_cold(
    const exchange_t *exchange, const upstream_t *upstream, usec_t wait);

/** reply_forward() - Forwards the response of a server. */
void reply_forward(exchange_t *exchange, const attempt_t *attempt,
    const http_message_t *response, usec_t now);

/**
 * reply_status() - The status with which a server's response is forwarded.
 *
 * To clients, 408, 421, 429 and 503 mean that the request was not run. A server
 * that sends them without the header that states "not run" gives no such
 * guarantee, so they are replaced by 502.
 */
int reply_status(const http_message_t *response);

/** reply_last_failure() - Forwards the last error response of a server. */
void reply_last_failure(exchange_t *exchange, usec_t now);

/** reply_fanout() - Sends the merged responses of @answered shards. */
void reply_fanout(exchange_t *exchange, uint32_t answered, usec_t now);

/** reply_add_stamps() - Appends the header with the stamps of the shards that
 * have answered and were not reported yet. */
void reply_add_stamps(const exchange_t *exchange, buffer_t *head);

/** exchange_finish() - Sends the response and marks the exchange as done. */
void exchange_finish(exchange_t *exchange, const buffer_t *head, slice_t body);

#endif
