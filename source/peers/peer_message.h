#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/codec.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Datagrams between the gateways of a data centre
 *
 * A datagram is one msgpack array: protocol version, kind, then the fields of
 * the kind. Datagrams may be lost, repeated and reordered, so each stands for
 * itself. The sender is known by its address. What has changed in the store is
 * carried as bytes that only the platform's adapter reads.
 */

#define PEER_DATAGRAM_MAX 1400 /* fits into an Ethernet frame */
#define PEER_PART_BYTES 1280   /* what is left of it beside the other fields */
#define PEER_PARTS_MAX 32

/** typedef peer_topic_t - What nodes follow in the platform's store. */
typedef enum { PEER_CONFIG, PEER_SERVERS, PEER_TOPICS } peer_topic_t;

/** How far a topic has been read: all changes up to @revision are known. */
typedef struct {
	int64_t quiet_since; /* none has come after this, up to @revision */
	int64_t revision;    /* 0: the topic was never read */
} peer_position_t;

typedef enum {
	PEER_STATUS = 1,  /* how far a relay has read the store */
	PEER_CHANGES = 2, /* what it has read */
	PEER_SUSPECT = 3  /* a request crashed a server */
} peer_kind_t;

typedef struct {
	peer_position_t positions[PEER_TOPICS];
	usec_t age; /* since the store last answered the relay */
} peer_status_t;

/** A part of the changes after revision @from, up to @to. */
typedef struct {
	peer_topic_t topic;
	int64_t from; /* 0: all objects, whatever was known before */
	int64_t to;
	uint32_t part; /* from 0 */
	uint32_t parts;
	uint32_t whole_size; /* of all parts together, uncompressed */
	uint32_t size;
	char bytes[PEER_PART_BYTES];
} peer_changes_t;

typedef struct {
	uint64_t fingerprint; /* of the request */
	uint64_t crash;	      /* the same in all reports of one crash */
} peer_suspect_t;

typedef struct {
	peer_kind_t kind;
	union {
		peer_status_t status;
		peer_changes_t changes;
		peer_suspect_t suspect;
	};
} peer_message_t;

/** peer_message_encode() - Writes to an initialised writer. */
void peer_message_encode(const peer_message_t *message, writer_t *writer);

/** peer_message_decode() - 0, or BW_E_PROTOCOL for anything malformed. */
int peer_message_decode(slice_t bytes, peer_message_t *message);

#endif
