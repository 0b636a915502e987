#ifndef BULRUSHWELL_MESSAGE_H
#define BULRUSHWELL_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/allowance.h"
#include "bulrushwell/codec.h"
#include "bulrushwell/id.h"
#include "bulrushwell/membership.h"
#include "bulrushwell/name.h"

/**
 * DOC: Messages between nodes
 *
 * A message is one msgpack array: protocol version, kind, sender, sender's
 * incarnation, recipient's incarnation (0: any), then the fields of its kind.
 * Slices in a decoded message point into the received bytes. Durations and
 * times are in microseconds unless their names say otherwise.
 */
#define MESSAGE_PROTOCOL 1
#define MESSAGE_MAX_LIST 4096	 /* entries of a list */
#define MESSAGE_MAX_SHARDS 65536 /* entries of a list of shards or objects */

typedef enum {
	MESSAGE_HEARTBEAT = 1,
	MESSAGE_HEARTBEAT_REPLY,
	MESSAGE_SHARD_REQUEST,
	MESSAGE_SHARD_REPLY,
	MESSAGE_CANCEL,
	MESSAGE_RESERVE_REQUEST,
	MESSAGE_RESERVE_REPLY,
	MESSAGE_CONFIG_PULL,
	MESSAGE_CONFIG_PUSH,
	MESSAGE_SUSPECT_NOTICE,
	MESSAGE_PERMIT_REQUEST,
	MESSAGE_PERMIT_REPLY
} message_kind_t;

/** typedef slot_loan_t - Slots of a service that are requested or lent. */
typedef struct {
	name_t service;
	uint32_t slots;
} slot_loan_t;

typedef struct {
	uint64_t sequence;
	peer_report_t report;
	uint64_t config_digest;	 /* of contracts, services and indexes */
	usec_t longest_deadline; /* longest deadline of any request */
	uint32_t wanted_loan_count;
	slot_loan_t *wanted_loans; /* requested; @slots is not sent */
	uint32_t wanted_allowance_count;
	allowance_loan_t *wanted_allowances; /* requested */
} heartbeat_t;

/** typedef heartbeat_reply_t - What the sender lends of what was requested. */
typedef struct {
	uint64_t sequence; /* of the heartbeat */
	uint32_t loan_count;
	slot_loan_t *loans;
	uint32_t allowance_count;
	allowance_loan_t *allowances;
} heartbeat_reply_t;

/** typedef shard_group_t - Requested shards that one service holds. */
typedef struct {
	name_t service;
	uint32_t shard_count;
	uint32_t *shards;
} shard_group_t;

typedef struct {
	id128_t query;
	name_t index;
	uint64_t version;
	name_t customer;
	uint32_t weight;
	usec_t remaining;     /* until the deadline, as of sending */
	usec_t wall_deadline; /* the same deadline as wall time */
	uint64_t fingerprint; /* see suspect_fingerprint() */
	slice_t body;
	uint32_t group_count;
	shard_group_t *groups;
} shard_request_t;

typedef struct {
	uint32_t shard;
	int error; /* 0 or BW_E_... */
	slice_t body;
} shard_reply_entry_t;

typedef struct {
	id128_t query;
	name_t index;
	uint64_t version;
	usec_t wait; /* estimated queueing time of a new request */
	uint32_t entry_count;
	shard_reply_entry_t *entries;
} shard_reply_t;

typedef struct {
	id128_t id;
	name_t service;
	name_t customer;
	char key[256]; /* idempotency key */
	uint32_t repeat_window_s;
	uint32_t weight;
	usec_t remaining;
	usec_t wall_deadline;
	uint64_t fingerprint; /* see suspect_fingerprint() */
	slice_t body;
} reserve_request_t;

typedef struct {
	id128_t id;
	int error; /* 0 or BW_E_... */
	int http_status;
	bool repeated;
	slice_t body;
} reserve_reply_t;

typedef enum {
	CONFIG_CONTRACT = 1,
	CONFIG_SERVICE,
	CONFIG_INDEX,
	CONFIG_ASSIGNMENT
} config_kind_t;

/** typedef config_object_t - A version of a configuration object. */
typedef struct {
	config_kind_t kind;
	name_t name;
	uint64_t version;
	slice_t text; /* JSON; empty in a MESSAGE_CONFIG_PULL */
} config_object_t;

typedef struct {
	uint32_t object_count;
	config_object_t *objects;
} config_list_t;

/** typedef suspect_notice_t - A server crashed while it ran this request. */
typedef struct {
	uint64_t fingerprint;  /* of the request; see suspect_fingerprint() */
	uint64_t crash_number; /* see suspect_record_crash() */
} suspect_notice_t;

/**
 * typedef permit_t - What a node requests from a peer for one customer, or what
 * the peer gives: tokens of the rate limit, which are transferred, and rate and
 * concurrency, which are lent.
 */
typedef struct {
	uint64_t id; /* of the request */
	uint32_t tokens;
	allowance_loan_t loan;	 /* names the customer of the tokens too */
	usec_t longest_deadline; /* longest deadline of any request; 0 in a
				    reply */
} permit_t;

typedef struct {
	message_kind_t kind;
	name_t sender;
	uint64_t sender_incarnation;
	uint64_t recipient_incarnation;
	union {
		heartbeat_t heartbeat;
		heartbeat_reply_t heartbeat_reply;
		shard_request_t shard_request;
		shard_reply_t shard_reply;
		id128_t cancel;
		reserve_request_t reserve_request;
		reserve_reply_t reserve_reply;
		/* MESSAGE_CONFIG_PULL, MESSAGE_CONFIG_PUSH */
		config_list_t config;
		suspect_notice_t suspect;
		/* MESSAGE_PERMIT_REQUEST, MESSAGE_PERMIT_REPLY */
		permit_t permit;
	};
} message_t;

/** message_encode() - Appends a message to an initialised writer. */
void message_encode(const message_t *message, writer_t *writer);

/**
 * message_decode() - Decodes one message. The caller must destroy it.
 * @data: must outlive the message
 *
 * Return: the message, or NULL when it is malformed, oversized or of another
 * protocol version.
 */
message_t *message_decode(const char *data, size_t size);

/** message_destroy() - Frees a decoded message; NULL is allowed. */
void message_destroy(message_t *message);

#endif
