#ifndef BULRUSHWELL_MEMBERSHIP_H
#define BULRUSHWELL_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Membership
 *
 * Which peers exist, which answer, which incarnations are proven gone, and
 * whether this node is isolated.
 */
#define HEARTBEAT_MS 100
#define SILENT_MS 300 /* a peer is silent after this long without a message */
#define LONE_MS 3000  /* without platform and peers the node is isolated */
#define MEMBERSHIP_MAX_PEERS 64

/**
 * VM_LIST_LAG_MS - After this long, the VM list and the peers that were added
 * are taken to name every process that has started. Only used to prove gone
 * what no list ever named or no message ever came from.
 */
#define VM_LIST_LAG_MS 60000

typedef enum {
	NODE_STATE_STARTING,
	NODE_STATE_READY,
	NODE_STATE_STOPPING
} node_state_t;

/** typedef peer_t - One peer as this node sees it. */
typedef struct {
	name_t node;
	name_t vm;
	name_t data_centre;
	address_t address;
	uint64_t incarnation; /* 0 until heard */
	node_state_t state;
	bool live;
	bool gone;	   /* this incarnation is proven gone */
	bool listed;	   /* in the settings or the platform's node objects */
	bool vm_seen;	   /* the VM list has named its VM */
	usec_t heard_at;   /* last message, 0 for never */
	usec_t round_trip; /* of the last answered heartbeat */
	uint64_t assignment_version;
	uint64_t contracts_digest;
	usec_t platform_heard_at; /* on this node's clock, 0 for never */
	uint64_t sequence;	  /* of the last heartbeat sent */
	usec_t sequence_at;	  /* when it was sent */
} peer_t;

typedef struct {
	name_t vm;
	enum { VM_LIVE, VM_LEAVING, VM_GONE } state;
} vm_entry_t;

/** typedef peer_report_t - The part of a heartbeat that membership reads. */
typedef struct {
	name_t node;
	uint64_t incarnation;
	name_t vm;
	name_t data_centre;
	address_t address;
	node_state_t state;
	int64_t platform_age_ms; /* -1: never heard */
	uint64_t assignment_version;
	uint64_t contracts_digest;
} peer_report_t;

typedef struct {
	enum {
		MEMBERSHIP_SEND_HEARTBEAT,
		MEMBERSHIP_CONNECT, /* a peer's address is new or changed */
		MEMBERSHIP_UP,
		MEMBERSHIP_SILENT,
		MEMBERSHIP_REPLACED, /* a later incarnation answers */
		MEMBERSHIP_GONE
	} kind;
	name_t node;
	uint64_t sequence; /* SEND_HEARTBEAT */
	uint64_t incarnation;
} membership_action_t;

typedef struct membership membership_t;

membership_t *membership_create(
    const char *node, const char *vm, uint64_t incarnation, usec_t now);
void membership_destroy(membership_t *membership);

/**
 * membership_add() - Lists a peer; an address change reconnects.
 * @vm, @data_centre: empty or NULL when unknown
 *
 * The node itself is ignored. What a peer reports of itself is not replaced
 * while its incarnation is not proven gone.
 *
 * Return: 0, BW_E_INVALID or BW_E_FULL.
 */
int membership_add(membership_t *membership, const char *node, const char *vm,
    const char *data_centre, const char *address, usec_t now);

/**
 * membership_receive() - A heartbeat arrived.
 *
 * Return: 0, BW_E_INVALID for a malformed report, BW_E_UNAUTHORISED for an
 * unlisted peer when @authenticated is false, BW_E_STALE for an earlier
 * incarnation or one that is proven gone, BW_E_CONFLICT when another VM at
 * another address uses the name of a peer that is not proven gone or of this
 * node, or BW_E_FULL.
 */
int membership_receive(membership_t *membership, const peer_report_t *report,
    bool authenticated, usec_t now);

/**
 * membership_check_sender() - Whether a message of this sender may be used:
 * 0, BW_E_UNAUTHORISED (unknown node or incarnation) or BW_E_STALE. Counts as
 * hearing from the peer.
 */
int membership_check_sender(membership_t *membership, const char *node,
    uint64_t incarnation, usec_t now);

/**
 * membership_receive_reply() - A heartbeat's answer arrived.
 * @asked_at: set to when the heartbeat with @sequence was sent
 *
 * Return: 0, or BW_E_STALE when @sequence is not among the last eight sent.
 */
int membership_receive_reply(membership_t *membership, const char *node,
    uint64_t incarnation, uint64_t sequence, usec_t now, usec_t *asked_at);

/**
 * membership_set_vms() - The platform's VM list was read.
 *
 * A peer's VM that is listed as gone, or is not listed although it was before,
 * proves the peer gone. So does its absence when the list names this node's
 * own VM and the peer started VM_LIST_LAG_MS ago: an earlier start than this
 * node's is no proof, since a list that lags may be older than the peer's VM
 * when only the process of this node was restarted. Incarnations tell when a
 * process started. An empty list is ignored.
 */
void membership_set_vms(
    membership_t *membership, const vm_entry_t *vms, size_t count, usec_t now);

/**
 * membership_refused() - The peer's address refused a connection: no process
 * listens there. Proves the incarnation gone unless the peer is live.
 */
void membership_refused(membership_t *membership, const char *node,
    uint64_t incarnation, usec_t now);

void membership_platform_heard(membership_t *membership, usec_t now);

/** membership_tick() - Sends heartbeats and notices silence. */
void membership_tick(membership_t *membership, usec_t now);

bool membership_next_action(
    membership_t *membership, membership_action_t *action);

/** membership_find() - Borrowed, or NULL. */
const peer_t *membership_find(const membership_t *membership, const char *node);
size_t membership_count(const membership_t *membership);
const peer_t *membership_at(const membership_t *membership, size_t position);

/** membership_is_isolated() - Neither platform nor peers heard for LONE_MS. */
bool membership_is_isolated(const membership_t *membership, usec_t now);

/**
 * membership_is_gone() - Whether an incarnation of a node is proven gone; true
 * for incarnations earlier than the latest one heard at its address, and for
 * those of a listed peer that was never heard whose VM is proven gone.
 */
bool membership_is_gone(
    const membership_t *membership, const char *node, uint64_t incarnation);

#endif
