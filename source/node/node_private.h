#ifndef NODE_PRIVATE_H
#define NODE_PRIVATE_H

#include <ev.h>
#include <glib.h>

#include "blackboard.h"
#include "bulrushwell/claim.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/histogram.h"
#include "bulrushwell/http_client.h"
#include "bulrushwell/http_server.h"
#include "bulrushwell/limiter.h"
#include "bulrushwell/message.h"
#include "bulrushwell/node.h"
#include "bulrushwell/peer_socket.h"
#include "bulrushwell/planner.h"
#include "bulrushwell/platform_client.h"
#include "bulrushwell/query.h"
#include "bulrushwell/scheduler.h"
#include "bulrushwell/table.h"

/**
 * DOC: Private interface of the node's source files
 *
 * Used by the files of this folder only. A node has three roles: it receives
 * the requests of callers, it serves the services for which the assignment
 * lists it as the first holder, and it is the standby for others. All functions
 * run on the thread of the event loop. Times named @now are those of
 * clock_monotonic().
 */

#define NODE_TICK_MS 100	/* interval of most *_tick() functions */
#define NODE_MAX_REQUESTS 20000 /* callers' requests open at a time */

/** typedef request_t - A caller's request on the node that received it. */
typedef struct {
	node_t *node;
	handle_t handle; /* in node->requests */
	enum { REQUEST_QUERY, REQUEST_RESERVATION } kind;
	http_exchange_t *exchange; /* NULL: the caller has disconnected */
	bool admitted;		   /* counted by board.admission */
	bool sent; /* passed to a serving node, possibly this one */
	id128_t id;
	contract_t *contract;
	name_t target; /* index or service */
	char key[CLAIM_MAX_KEY_LENGTH +
	    1]; /* idempotency key; reservations only */
	body_t *body;
	uint64_t fingerprint; /* see suspect_fingerprint() */
	usec_t started;
	usec_t deadline;
	handle_t query;	       /* in node->queries */
	usec_t held_until;     /* end of the wait for the limiter */
	bool limiter_admitted; /* counted by the limiter since
				  limiter_admitted_at */
	usec_t limiter_admitted_at;
	limiter_outcome_t query_outcome; /* of the query, for the limiter */
} request_t;

/** typedef served_service_t - A service on its serving node or its standby. */
typedef struct {
	node_t *node;
	name_t service;
	scheduler_t *scheduler;
	uint64_t applied_version; /* of the catalogue entry that was applied */
	usec_t health_checked_at; /* last health check of its servers */
	/* Each service has its own client, so that the connections to a server
	 * stay within this node's share: a client has one limit for all its
	 * connections. */
	http_client_t *http;
	bool may_have_connections; /* http may have open connections */
} served_service_t;

/** typedef customer_stats_t - Counters and latencies of one customer. */
typedef struct {
	uint64_t queries_complete;
	uint64_t queries_partial;
	uint64_t reservations_done;
	uint64_t refused; /* requests that were not run */
	uint64_t unknown; /* requests whose outcome is unknown */
	uint64_t shards_asked;
	uint64_t shards_answered;
	histogram_t *query_latency;	  /* microseconds */
	histogram_t *reservation_latency; /* microseconds */
} customer_stats_t;

/**
 * struct node - A node and everything that it owns.
 *
 * Services, indexes, customers and nodes in the comments on hash tables are
 * names, stored as strings.
 */
struct node {
	struct ev_loop *loop;
	blackboard_t board;
	http_client_t *http; /* for the platform */
	http_server_t *caller_server;
	http_server_t *operator_server;
	peer_socket_t *peer_socket;
	platform_client_t *platform;
	ev_timer tick;		/* every NODE_TICK_MS */
	ev_timer wakeup;	/* at the next deadline or delayed action */
	ev_prepare before_wait; /* before the loop waits for events */
	ev_signal sigterm;
	ev_signal sigint;

	/* requests that this node received */
	table_t *requests; /* request_t */
	query_set_t *queries;
	limiter_t *limiter;  /* concurrent queries of each index */
	GQueue queries_held; /* handle_t of requests, in order of arrival */
	GHashTable *forwarded_reservations; /* id128_t of a reservation -> its
					       handle_t in requests */
	GHashTable
	    *index_queue_waits; /* index -> queueing time that was reported */
	GHashTable *customer_stats; /* customer -> customer_stats_t */
	GArray *wanted_allowances;  /* allowance_loan_t, as of
				       wanted_allowances_at */
	usec_t wanted_allowances_at;
	GHashTable *active_customers; /* customer -> time of its last request */
	usec_t limits_applied_at;     /* last limits_apply_all() */
	GHashTable
	    *token_requests; /* customer -> request to a peer, in progress */
	GHashTable
	    *last_token_peers; /* customer -> peer that last gave tokens */

	/* services that this node serves or is the standby for */
	GHashTable *served_services; /* service -> served_service_t */
	table_t *job_origins;	     /* the requester of each job */
	table_t *attempts;	     /* attempts in progress */
	GHashTable
	    *reply_batches; /* query -> shard replies sent in one message */
	GQueue batch_queue; /* batches that have replies, in sending order */
	claim_table_t *claims;
	table_t
	    *reservations; /* that this node serves; NULL before the first */

	/* configuration */
	GHashTable *objects;	   /* "kind/name" -> newest text and version */
	GHashTable *pulled_at;	   /* node -> time of the last pull */
	GHashTable *peer_versions; /* node -> (customer -> contract version) */

	/* assignment */
	bool registered;    /* the platform has this node's object */
	bool registering;   /* a call for that is in progress */
	GHashTable *probes; /* node -> connection test of a silent peer */
	bool assignment_write_running; /* an update of the assignment is in
					  progress */
	GHashTable
	    *closed_shares; /* service -> release state; see node_assign.c */
	usec_t plan_wanted_since; /* when the plan was first needed; 0: none */
	uint64_t closed_units;	  /* units to release, one bit each */
	usec_t units_usable_at;	  /* 0: this node owns no units */
	usec_t started_at;
	usec_t units_closed_at; /* when closed_units last changed */

	/* stopping */
	usec_t stop_started_at; /* when the stop began */
	usec_t last_request_at;
	GHashTable *not_first_since; /* service -> usec_t, since when another
					node is its first holder */
	bool requests_cut; /* the stop ended with requests unfinished */

	bool was_ready;		   /* readiness as last logged */
	uint64_t dropped_messages; /* received and not used, or replies that
				      could not be sent */
};

/* node_config.c */
void config_create(node_t *node);
void config_destroy(node_t *node);

/**
 * config_adopt() - Puts a configuration object in force and keeps its text for
 * peers, when its version is newer than the one in force.
 *
 * Return: 0, BW_E_STALE, or the error that the parser found.
 */
int config_adopt(node_t *node, config_kind_t kind, const char *name,
    uint64_t version, slice_t text);
void config_adopt_platform_object(
    node_t *node, const platform_object_t *object);
void config_compare_heartbeat(node_t *node, const heartbeat_t *heartbeat);
void config_received_pull(node_t *node, const message_t *message);
void config_received_push(node_t *node, const message_t *message);

/** config_peer_version() - The contract version of a peer; 0 when not known. */
uint64_t config_peer_version(
    node_t *node, const peer_t *peer, const char *customer);

/* node_assign.c */
void assign_tick(node_t *node, usec_t now);
void assign_apply_adopted(node_t *node, usec_t now);

/**
 * assign_owns_nothing() - Whether the assignment gives this node neither a
 * share nor a unit.
 */
bool assign_owns_nothing(node_t *node);

/* node_peer.c */

/** peer_add_configured() - Adds the peers of the settings to the membership. */
void peer_add_configured(node_t *node);
void peer_tick(node_t *node, usec_t now);
void peer_receive(void *context, const char *data, size_t size);

/**
 * peer_send() - Sends a message to a peer; fills in its sender.
 *
 * Return: 0 or the error of peer_socket_send().
 */
int peer_send(node_t *node, const char *peer, message_t *message);

/** peer_broadcast() - Sends a message to all live peers. */
void peer_broadcast(node_t *node, message_t *message);

/* node_limits.c */

/**
 * limits_apply() - Sets the admission of a customer to the allowance that this
 * node has now.
 */
void limits_apply(node_t *node, const char *customer, usec_t now);
void limits_apply_all(node_t *node, usec_t now);
void limits_record_request(node_t *node, const char *customer, usec_t now);

/**
 * limits_receive_loan() - Records a loan from a peer.
 * @asked_at: when this node sent the message that asked for it
 */
void limits_receive_loan(node_t *node, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now);
void limits_tick(node_t *node, usec_t now);
void limits_contract_changed(
    node_t *node, const contract_t *contract, usec_t now);

/**
 * limits_list_wanted_allowances() - What this node wants to borrow from each
 * peer.
 * @wanted: set to the list, which is made once for all heartbeats of one tick;
 * the node owns it
 *
 * Return: the length of the list.
 */
uint32_t limits_list_wanted_allowances(
    node_t *node, allowance_loan_t **wanted, usec_t now);

/**
 * limits_lend() - Grants the loans that a heartbeat asks for, as far as it can.
 * @loans: set to the loans; the caller frees it with g_free()
 *
 * Return: the number of loans.
 */
uint32_t limits_lend(node_t *node, const heartbeat_t *heartbeat,
    allowance_loan_t **loans, usec_t now);

/**
 * limits_customer_stats() - The counters of a customer, created at the first
 * call. The node owns them.
 */
customer_stats_t *limits_customer_stats(node_t *node, const char *customer);

/**
 * limits_wanted_allowance() - Determines what this node lacks of a customer's
 * allowance.
 *
 * Return: whether it lacks anything.
 */
bool limits_wanted_allowance(node_t *node, const contract_t *contract,
    allowance_loan_t *wanted, usec_t now);

/**
 * limits_lend_one() - Grants the loan that a peer asks for, as far as it can.
 * @longest_deadline: the longest deadline that the borrower stated
 * @loan: set to what is lent, possibly nothing
 */
void limits_lend_one(node_t *node, const char *borrower, uint64_t incarnation,
    const allowance_loan_t *wanted, usec_t longest_deadline,
    allowance_loan_t *loan, usec_t now);

/* node_permit.c: tokens and allowance of one customer, requested from a peer */

/**
 * permit_request_tokens() - Asks the live peers, one after the other, for
 * tokens and concurrency that waiting requests of a customer need.
 */
void permit_request_tokens(node_t *node, const char *customer, usec_t now);
void permit_received_request(
    node_t *node, const message_t *message, usec_t now);
void permit_received_reply(node_t *node, const message_t *message, usec_t now);
void permit_peer_lost(node_t *node, const char *peer, usec_t now);

/* node_request.c */
void request_handle(void *context, http_exchange_t *exchange);

/**
 * request_refuse() - Answers a request with an error and frees it.
 * @detail: the text of the answer, or NULL for the name of the error
 */
void request_refuse(request_t *request, int error, const char *detail);
void request_run_admission_actions(node_t *node);

/** request_end() - Frees a request and what it uses of limits. */
void request_end(request_t *request);
void request_tick(node_t *node, usec_t now);
void request_answer_error(http_exchange_t *exchange, int error,
    const char *detail, int64_t retry_after_ms);

/* node_query.c */
void query_start(request_t *request, usec_t now);
void query_admit(request_t *request, usec_t now);
uint32_t query_weight(const contract_t *contract);
void query_release_limiter(request_t *request, usec_t now);
void query_run_actions(node_t *node);
void query_received_reply(node_t *node, const message_t *message);

/**
 * query_expected_wait() - The longest queueing time that serving nodes lately
 * reported for an index; 0 when none is known.
 */
usec_t query_expected_wait(node_t *node, const char *index, usec_t now);
query_router_t query_make_router(node_t *node);

/* node_hold.c */

/**
 * hold_query() - Lets a query wait when its index is at its limit.
 *
 * Return: false when it does not wait: the caller admits or refuses it now.
 */
bool hold_query(request_t *request, usec_t now);

/** hold_admit_due() - Passes the queries that need not wait on to
 * query_admit(). */
void hold_admit_due(node_t *node, usec_t now);

/** hold_next_wakeup() - When the first wait is over; 0 when none waits. */
usec_t hold_next_wakeup(node_t *node);

/* node_serve.c */
void serve_create(node_t *node);
void serve_destroy(node_t *node);

/**
 * serve_find() - The record of a service, created at the first call.
 *
 * Return: NULL when the catalogue does not list the service.
 */
served_service_t *serve_find(node_t *node, const char *service);
void serve_set_connections(
    node_t *node, const char *service, uint32_t connections);
void serve_drop_connections(served_service_t *served);
void serve_catalogue_changed(node_t *node, const char *service, usec_t now);

/**
 * serve_shards() - Queues the shards of a request. Each gets one reply, also
 * one that cannot be queued, unless the query is cancelled.
 */
void serve_shards(node_t *node, const char *requester,
    const shard_request_t *request, usec_t now);

/**
 * serve_reservation() - Queues a reservation; reserve_dispatch_done() gets its
 * outcome.
 *
 * Return: 0, BW_E_NOT_SERVED, BW_E_FULL, or the error of scheduler_submit();
 * on error reserve_dispatch_done() is not called.
 */
int serve_reservation(
    node_t *node, const char *service, const job_t *job, usec_t now);

/** serve_cancel() - Cancels all jobs of a query; they end without a reply. */
void serve_cancel(node_t *node, id128_t query, usec_t now);

/** serve_run_schedulers() - Runs the schedulers of all services and their
 * actions. */
void serve_run_schedulers(node_t *node, usec_t now);

/** serve_send_due_batches() - Sends the batches of replies that are due. */
void serve_send_due_batches(node_t *node);
bool serve_is_idle(node_t *node);

/**
 * serve_next_wakeup() - When serve_run_schedulers() or serve_send_due_batches()
 * has to run next; 0 for no such time.
 */
usec_t serve_next_wakeup(node_t *node);

/**
 * deadline_from_message() - The deadline of a received job by this node's
 * clock.
 * @remaining: the time that was left when the message was sent
 * @wall_deadline: the deadline by the wall clock, which bounds it in case the
 * message was delayed
 */
usec_t deadline_from_message(
    usec_t remaining, usec_t wall_deadline, usec_t now);

/* node_attempt.c */
table_t *attempt_table_create(uint32_t capacity);
void attempt_start(
    served_service_t *served, const scheduler_action_t *action, usec_t now);
void attempt_cancel(
    served_service_t *served, const scheduler_action_t *action, usec_t now);

/* node_probe.c */
void probe_create(node_t *node);
void probe_tick(node_t *node);

/* node_health.c */
void health_tick(node_t *node, usec_t now);

/* node_reserve.c */
void reserve_start(request_t *request, usec_t now);
void reserve_received_request(
    node_t *node, const message_t *message, usec_t now);
void reserve_received_reply(node_t *node, const message_t *message);
void reserve_dispatch_done(
    node_t *node, uint64_t tag, int error, int http_status, body_t *body);
void reserve_run_actions(node_t *node, usec_t now);

/* node_status.c, node_metrics.c */
void status_handle(void *context, http_exchange_t *exchange);
void metrics_append(node_t *node, GString *out);

/** status_is_ready() - The answer to the load balancer's readiness check. */
bool status_is_ready(node_t *node, usec_t now);

/* node_stop.c */

/** stop_begin() - Begins a stop; a second call ends the event loop at once. */
void stop_begin(node_t *node);
void stop_tick(node_t *node, usec_t now);

/* node.c */

/** node_run_pending_work() - Does all work that is due, before the loop waits.
 */
void node_run_pending_work(node_t *node);

#endif
