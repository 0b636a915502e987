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

/** DOC: What the files of this folder share; not for other folders. */

#define NODE_TICK_MS 100
#define NODE_MAX_REQUESTS 20000

/** typedef request_t - One request of a caller on its receiving node. */
typedef struct {
	node_t *node;
	handle_t handle;
	enum { REQUEST_QUERY, REQUEST_RESERVATION } kind;
	http_exchange_t *exchange; /* NULL: the caller has gone */
	bool admitted;
	bool sent; /* handed to a serving node */
	id128_t id;
	contract_t *contract;
	name_t target; /* index or service */
	char key[CLAIM_MAX_KEY + 1];
	body_t *body;
	uint64_t fingerprint;
	usec_t started;
	usec_t deadline;
	handle_t query;
	usec_t held_until; /* waits for the limiter */
	bool limited;	   /* counted by the limiter since limited_at */
	usec_t limited_at;
	limiter_outcome_t outcome; /* of the query */
} request_t;

/** typedef served_t - One service as its serving node or standby sees it. */
typedef struct {
	node_t *node;
	name_t service;
	scheduler_t *scheduler;
	uint64_t spec_version; /* of the catalogue entry that was applied */
	usec_t health_at;      /* when its servers were last asked */
	/* Its own, so that the connections to a server stay within this node's
	 * share; a pool that all services use has one limit for all. */
	http_client_t *http;
	bool pooled; /* it may have open connections */
} served_t;

/** typedef customer_stats_t - Counters and latencies of one customer. */
typedef struct {
	uint64_t queries_complete;
	uint64_t queries_partial;
	uint64_t reservations_done;
	uint64_t refused;
	uint64_t unknown;
	uint64_t shards_asked;
	uint64_t shards_answered;
	histogram_t *query_latency;	  /* microseconds */
	histogram_t *reservation_latency; /* microseconds */
} customer_stats_t;

struct node {
	struct ev_loop *loop;
	blackboard_t board;
	http_client_t *http;
	http_server_t *callers;
	http_server_t *operators;
	peer_socket_t *peers;
	platform_client_t *platform;
	ev_timer tick;
	ev_timer wakeup;
	ev_prepare settle;
	ev_signal sigterm;
	ev_signal sigint;

	/* receiving */
	table_t *requests; /* request_t */
	query_set_t *queries;
	limiter_t *limiter;
	GQueue queries_held;	/* handle_t, in the order of arrival */
	GHashTable *forwarded;	/* id128_t of a reservation -> handle_t */
	GHashTable *index_wait; /* index -> wait_t */
	GHashTable *customers;	/* customer -> customer_stats_t */
	GArray *wishes;		/* allowance_loan_t, as of wishes_at */
	usec_t wishes_at;
	GHashTable *active; /* customer -> time of its last request */
	usec_t applied_all_at;
	GHashTable *asks;   /* customer -> question to a peer that runs */
	GHashTable *givers; /* customer -> peer that last gave tokens */

	/* serving */
	GHashTable *served;  /* service -> served_t */
	table_t *origins;    /* who asked for a job */
	table_t *attempts;   /* attempts in flight */
	GHashTable *batches; /* query -> shard replies that leave together */
	GQueue held;	     /* batches with replies, in the order they leave */
	claim_table_t *claims;
	table_t *reservations;

	/* configuration */
	GHashTable *objects;	   /* "kind/name" -> text and version */
	GHashTable *pulled_at;	   /* node -> time of the last pull */
	GHashTable *peer_versions; /* node -> its contract versions */

	/* assignment */
	bool registered; /* the platform has this node's object */
	bool registering;
	GHashTable *probes; /* node -> probe of a silent peer */
	bool write_running;
	GHashTable *closed;	/* services whose share is being given up */
	usec_t wanted_since;	/* when a plan was first wanted; 0: none */
	uint64_t units_closing; /* units that are being given up */
	usec_t units_usable_at; /* 0: this node owns no units */
	usec_t started_at;
	usec_t units_closed_at;

	/* stopping */
	usec_t stop_at;
	usec_t last_request_at;
	GHashTable *behind_since; /* service -> usec_t; not its first holder */
	bool stop_cut;
	bool was_ready;
	uint64_t dropped_messages;
};

/* node_config.c */
void config_create(node_t *node);
void config_destroy(node_t *node);
int config_adopt(node_t *node, config_kind_t kind, const char *name,
    uint64_t version, slice_t text);
void config_offer_platform_object(
    node_t *node, const platform_object_t *object);
void config_compare(node_t *node, const heartbeat_t *heartbeat);
void config_pulled(node_t *node, const message_t *message);
void config_pushed(node_t *node, const message_t *message);
uint64_t config_peer_version(
    node_t *node, const peer_t *peer, const char *customer);

/* node_assign.c */
void assign_tick(node_t *node, usec_t now);
void assign_adopted(node_t *node, usec_t now);
bool assign_is_released(node_t *node);

/* node_peer.c */
void peer_create(node_t *node);
void peer_tick(node_t *node, usec_t now);
void peer_receive(void *context, const char *data, size_t size);
int peer_send(node_t *node, const char *peer, message_t *message);
void peer_broadcast(node_t *node, message_t *message);

/* node_limits.c */
void limits_apply(node_t *node, const char *customer, usec_t now);
void limits_apply_all(node_t *node, usec_t now);
void limits_note_request(node_t *node, const char *customer, usec_t now);
void limits_receive_loan(node_t *node, const char *lender,
    const allowance_loan_t *loan, usec_t asked_at, usec_t now);
void limits_tick(node_t *node, usec_t now);
void limits_contract_changed(
    node_t *node, const contract_t *contract, usec_t now);

/* Listed once for all heartbeats of one tick; the node owns the list. */
uint32_t limits_list_wishes(
    node_t *node, allowance_loan_t **wishes, usec_t now);
uint32_t limits_lend(node_t *node, const heartbeat_t *heartbeat,
    allowance_loan_t **loans, usec_t now);
customer_stats_t *limits_customer(node_t *node, const char *customer);

bool limits_make_wish(node_t *node, const contract_t *contract,
    allowance_loan_t *wish, usec_t now);
void limits_lend_one(node_t *node, const char *borrower, uint64_t incarnation,
    const allowance_loan_t *wish, usec_t longest, allowance_loan_t *loan,
    usec_t now);

/* node_permit.c */
void permit_ask(node_t *node, const char *customer, usec_t now);
void permit_asked(node_t *node, const message_t *message, usec_t now);
void permit_answered(node_t *node, const message_t *message, usec_t now);
void permit_peer_lost(node_t *node, const char *peer, usec_t now);

/* node_request.c */
void request_handle(void *context, http_exchange_t *exchange);
void request_refuse(request_t *request, int error, const char *detail);
void request_drain_admission(node_t *node);
void request_end(request_t *request);
void request_tick(node_t *node, usec_t now);
void request_answer_error(http_exchange_t *exchange, int error,
    const char *detail, int64_t retry_after_ms);

/* node_query.c */
void query_start(request_t *request, usec_t now);
void query_admit(request_t *request, usec_t now);
uint32_t query_weight(const contract_t *contract);
void query_ended(request_t *request, usec_t now);
void query_drain(node_t *node);
void query_received_reply(node_t *node, const message_t *message);
usec_t query_expected_wait(node_t *node, const char *index, usec_t now);
query_router_t query_make_router(node_t *node);

/* node_hold.c */
bool hold_query(request_t *request, usec_t now);
void hold_drain(node_t *node, usec_t now);
usec_t hold_next_wakeup(node_t *node);

/* node_serve.c */
void serve_create(node_t *node);
void serve_destroy(node_t *node);
served_t *serve_find(node_t *node, const char *service);
void serve_set_connections(
    node_t *node, const char *service, uint32_t connections);
void serve_drop_connections(served_t *served);
void serve_catalogue_changed(node_t *node, const char *service, usec_t now);
void serve_shards(node_t *node, const char *requester,
    const shard_request_t *request, usec_t now);
int serve_reservation(
    node_t *node, const char *service, const job_t *job, usec_t now);
void serve_cancel(node_t *node, id128_t query, usec_t now);
void serve_settle(node_t *node, usec_t now);
void serve_flush(node_t *node);
bool serve_is_idle(node_t *node);
usec_t serve_next_wakeup(node_t *node);
usec_t deadline_from_message(
    usec_t remaining, usec_t wall_deadline, usec_t now);

/* node_attempt.c */
table_t *attempt_table_create(uint32_t capacity);
void attempt_start(
    served_t *served, const scheduler_action_t *action, usec_t now);
void attempt_cancel(
    served_t *served, const scheduler_action_t *action, usec_t now);

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
void reserve_dispatched(
    node_t *node, uint64_t tag, int error, int http_status, body_t *body);
void reserve_drain(node_t *node, usec_t now);

/* node_status.c, node_metrics.c */
void status_handle(void *context, http_exchange_t *exchange);
void metrics_append(node_t *node, GString *out);
bool status_is_ready(node_t *node, usec_t now);

/* node_stop.c */
void stop_begin(node_t *node);
void stop_tick(node_t *node, usec_t now);

/* node.c */
void node_settle(node_t *node);

#endif
