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
 * Slices in a decoded message point into the received bytes.
 */
#define MESSAGE_PROTOCOL 1
#define MESSAGE_MAX_LIST 4096
#define MESSAGE_MAX_SHARDS 65536

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

/** typedef slot_loan_t - Slots of a service asked for or lent. */
typedef struct {
	name_t service;
	uint32_t slots;
} slot_loan_t;

typedef struct {
	uint64_t sequence;
	peer_report_t report;
	uint64_t config_digest; /* of contracts, services and indexes */
	usec_t longest;		/* longest deadline in force */
	uint32_t loan_count;
	slot_loan_t *loans; /* wanted; slots unused */
	uint32_t wish_count;
	allowance_loan_t *wishes;
} heartbeat_t;

typedef struct {
	uint64_t sequence;
	uint32_t loan_count;
	slot_loan_t *loans;
	uint32_t allowance_count;
	allowance_loan_t *allowances;
} heartbeat_reply_t;

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
	usec_t remaining;     /* until the deadline, when sent */
	usec_t wall_deadline; /* the same deadline on the wall clock */
	uint64_t fingerprint;
	slice_t body;
	uint32_t group_count;
	shard_group_t *groups;
} shard_request_t;

typedef struct {
	uint32_t shard;
	int error;
	slice_t body;
} shard_reply_entry_t;

typedef struct {
	id128_t query;
	name_t index;
	uint64_t version;
	usec_t wait; /* expected queueing time of a new request */
	uint32_t entry_count;
	shard_reply_entry_t *entries;
} shard_reply_t;

typedef struct {
	id128_t id;
	name_t service;
	name_t customer;
	char key[256];
	uint32_t repeat_window_s;
	uint32_t weight;
	usec_t remaining;
	usec_t wall_deadline;
	uint64_t fingerprint;
	slice_t body;
} reserve_request_t;

typedef struct {
	id128_t id;
	int error;
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

/** typedef config_object_t - In a pull the text is empty. */
typedef struct {
	config_kind_t kind;
	name_t name;
	uint64_t version;
	slice_t text;
} config_object_t;

typedef struct {
	uint32_t object_count;
	config_object_t *objects;
} config_list_t;

typedef struct {
	uint64_t fingerprint;
	uint64_t crash;
} suspect_notice_t;

/** typedef permit_t - What a node lacks, or what a peer moves and lends. */
typedef struct {
	uint64_t id; /* of the question */
	uint32_t tokens;
	allowance_loan_t loan; /* its customer is that of the tokens */
	usec_t longest;	       /* longest deadline in force; 0 in a reply */
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
		config_list_t config; /* PULL and PUSH */
		suspect_notice_t suspect;
		permit_t permit; /* REQUEST and REPLY */
	};
} message_t;

/** message_encode() - Writes into an initialised writer. */
void message_encode(const message_t *message, writer_t *writer);

/**
 * message_decode() - Reads one message.
 * @data: must outlive the message
 *
 * Return: the message, or NULL when it is malformed, oversized or of another
 * protocol version.
 */
message_t *message_decode(const char *data, size_t size);

void message_destroy(message_t *message);

#endif
