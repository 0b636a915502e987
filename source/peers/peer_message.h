#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/codec.h"
#include "bulrushwell/slice.h"
#include "bulrushwell/store_position.h"

/**
 * DOC: Datagrams between gateways
 *
 * A datagram is one msgpack array: protocol version, kind, then the fields of
 * the kind. Datagrams may be lost, repeated and reordered, so each is complete
 * in itself. The sender is identified by its address. Changes of the store are
 * carried as opaque bytes that only the platform adapter decodes.
 */

#define PEER_DATAGRAM_MAX 1400	 /* bytes; fits into an Ethernet frame */
#define PEER_PART_MAX_BYTES 1280 /* leaves room for the other fields */
#define PEER_PARTS_MAX 32

/** typedef peer_topic_t - The kinds of objects that are read from the store. */
typedef enum {
	PEER_CONFIG,
	PEER_SERVERS,
	PEER_EVACUATIONS, /* only if the deployment asks for it */
	PEER_TOPICS	  /* number of topics */
} peer_topic_t;

/** PEER_COMMON_TOPICS - The topics before this one are those of each gateway,
 * whatever its version and settings. */
#define PEER_COMMON_TOPICS PEER_EVACUATIONS

/**
 * typedef peer_position_t - How far a topic has been read: all changes up to
 * @known. Both positions are of the same era.
 */
typedef struct {
	store_position_t last_change; /* no changes after this, up to @known */
	store_position_t known;	      /* not set: the topic was never read */
} peer_position_t;

typedef enum {
	PEER_STATUS = 1,       /* how far a relay has read the store */
	PEER_CHANGES = 2,      /* the changes that it has read */
	PEER_SUSPECT = 3,      /* a request crashed a server */
	PEER_LEAVING = 4,      /* a server has said that it leaves */
	PEER_RATE_REQUEST = 5, /* asks for shares of customers' rates */
	PEER_RATE_GRANT = 6    /* grants them */
} peer_kind_t;

/**
 * typedef peer_status_t - How far a relay has read the store. Topics that it
 * has not read are left out after the common ones; later ones are ignored.
 * Eras follow after all topics, unless all are 0. A status without them, as of
 * an earlier version of the program, is one of era 0.
 */
typedef struct {
	peer_position_t positions[PEER_TOPICS];
	usec_t age; /* time since the store last answered the relay */
} peer_status_t;

/**
 * typedef peer_changes_t - A part of the changes after @from, up to @to, in one
 * era. Earlier versions of the program send none, which is era 0, and ignore
 * it.
 */
typedef struct {
	peer_topic_t topic;
	int64_t era;
	int64_t from;  /* revision; 0: all objects, not only changes */
	int64_t to;    /* revision */
	uint32_t part; /* counted from 0 */
	uint32_t parts;
	uint32_t uncompressed_size; /* of all parts together */
	uint32_t size;		    /* of this part, compressed */
	char bytes[PEER_PART_MAX_BYTES];
} peer_changes_t;

typedef struct {
	uint64_t fingerprint;  /* of the request */
	uint64_t crash_number; /* counted from 1, see suspect.h */
} peer_suspect_t;

#define PEER_SERVER_MAX 64 /* bytes of a server's id, with its final NUL */

typedef struct {
	char server[PEER_SERVER_MAX];
	int64_t incarnation; /* of its process */
} peer_leaving_t;

#define PEER_RATE_ITEMS_MAX 32	 /* of a datagram; fit in any case */
#define PEER_RATE_PARTS_MAX 32	 /* datagrams of one complete report */
#define PEER_RATE_WHOLE 1000000u /* the unit of shares: parts per million */
#define PEER_RATE_TOKEN 1000u	 /* the unit of tokens */
#define PEER_RATE_TOKENS_MAX 1000000000u
#define PEER_RATE_DEMAND_MAX                            \
	1000000000u /* thousandths of requests a second \
		     */

/** typedef peer_rate_share_t - A part of a customer's limit, in millionths. */
typedef struct {
	uint32_t rate;
	uint32_t burst;
} peer_rate_share_t;

/** typedef peer_rate_want_t - What a node holds of a customer, and wants. */
typedef struct {
	uint64_t customer; /* hash of its name */
	peer_rate_share_t held;
	uint64_t grant; /* sequence number of the last grant applied; 0: none */
	uint32_t demand; /* thousandths of requests a second */
	uint32_t tokens; /* requests that wait for a token */
} peer_rate_want_t;

/**
 * typedef peer_rate_request_t - Sent to the node that grants shares.
 * @incarnation: of the sender's process; random
 * @sequence: increases with each request of the process
 * @nodes_hash: of the list of nodes that the sender knows
 * @wants_report: the receiver is to report all that it holds of the sender's
 * customers
 * @part, @parts: a complete report of what the sender holds consists of several
 * datagrams with the same @report; @parts is 0 for any other request
 */
typedef struct {
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t nodes_hash;
	uint32_t wants_report; /* 0 or 1 */
	uint64_t report;
	uint32_t part;
	uint32_t parts;
	uint32_t count;
	peer_rate_want_t wants[PEER_RATE_ITEMS_MAX];
} peer_rate_request_t;

typedef struct {
	uint64_t customer; /* hash of its name */
	uint64_t sequence; /* increases with each grant of the process */
	peer_rate_share_t share;
	uint32_t tokens;  /* thousandths, in addition */
	uint32_t refused; /* requests that get no token */
} peer_rate_granted_t;

/**
 * typedef peer_rate_grant_t - The reply to a rate request.
 * @incarnation: of the sender's process
 * @request: sequence number of the request
 */
typedef struct {
	uint64_t incarnation;
	uint64_t request;
	uint32_t count;
	peer_rate_granted_t granted[PEER_RATE_ITEMS_MAX];
} peer_rate_grant_t;

typedef struct {
	peer_kind_t kind;
	union {
		peer_status_t status;
		peer_changes_t changes;
		peer_suspect_t suspect;
		peer_leaving_t leaving;
		peer_rate_request_t rate_request;
		peer_rate_grant_t rate_grant;
	};
} peer_message_t;

/** peer_message_encode() - Appends a message to an initialised writer. */
void peer_message_encode(const peer_message_t *message, writer_t *writer);

/**
 * peer_message_decode() - Decodes one datagram.
 *
 * Return: 0, or BW_E_PROTOCOL for anything malformed or of another version;
 * @message is then undefined.
 */
int peer_message_decode(slice_t bytes, peer_message_t *message);

#endif
