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
 * Tracks which peers exist, which of them answer, which incarnations are proven
 * gone, and whether this node is isolated. An incarnation identifies one
 * process of a node; it contains the time at which the process started. It is
 * gone when its process no longer runs.
 */
#define HEARTBEAT_MS 100 /* interval between heartbeats to a peer */
#define SILENT_MS 300 /* a peer is silent after this long without a message */
#define ISOLATED_MS 3000 /* without a message of the platform or any peer */
#define MEMBERSHIP_MAX_PEERS 64

/**
 * VM_LIST_LAG_MS - The longest time after the start of a process until the VM
 * list and the list of peers name it. It is only used to prove that a peer is
 * gone whose VM was never listed or that has never sent a message.
 */
#define VM_LIST_LAG_MS 60000

/** typedef node_state_t - State of a node, as it reports it. */
typedef enum {
	NODE_STATE_STARTING,
	NODE_STATE_READY,
	NODE_STATE_STOPPING
} node_state_t;

/** typedef peer_t - What this node knows of one peer. */
typedef struct {
	name_t node;
	name_t vm;
	name_t data_centre;
	address_t address;
	uint64_t incarnation; /* 0 until its first message */
	node_state_t state;
	bool live;	    /* it sent a message within SILENT_MS */
	bool gone;	    /* this incarnation is proven gone */
	bool listed;	    /* in the settings or the platform's node objects */
	bool vm_was_listed; /* the VM list has named its VM as not gone */
	usec_t heard_at;    /* when its last message arrived; 0: never */
	usec_t round_trip;  /* of the last answered heartbeat */
	uint64_t assignment_version;
	uint64_t contracts_digest;
	/* When the platform last answered it, by this node's clock, or 0. */
	usec_t platform_heard_at;
	uint64_t sequence;  /* of the last heartbeat sent */
	usec_t sequence_at; /* when it was sent */
} peer_t;

/** typedef vm_entry_t - One row of the platform's VM list. */
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
	int64_t platform_age_ms; /* since the platform answered it; -1: never */
	uint64_t assignment_version;
	uint64_t contracts_digest;
} peer_report_t;

/** typedef membership_action_t - A message to send, or a change of a peer. */
typedef struct {
	enum {
		MEMBERSHIP_SEND_HEARTBEAT,
		MEMBERSHIP_CONNECT,  /* the peer's address is new or changed */
		MEMBERSHIP_UP,	     /* the peer answers */
		MEMBERSHIP_SILENT,   /* no message for SILENT_MS */
		MEMBERSHIP_REPLACED, /* a later incarnation answers */
		MEMBERSHIP_GONE	     /* the incarnation is proven gone */
	} kind;
	name_t node;
	uint64_t sequence; /* SEND_HEARTBEAT */
	uint64_t incarnation;
} membership_action_t;

typedef struct membership membership_t;

/**
 * membership_create() - Creates the membership of the node @node without peers.
 * @vm: on which the node runs
 * @incarnation: of this process
 */
membership_t *membership_create(
    const char *node, const char *vm, uint64_t incarnation, usec_t now);
void membership_destroy(membership_t *membership);

/**
 * membership_add() - Adds a peer from the settings or the platform's node
 * objects, or updates it. A new address leads to a CONNECT action.
 * @vm: may be empty or NULL when unknown
 * @data_centre: may be empty or NULL when unknown
 *
 * This node itself is ignored. What a peer has reported of itself takes
 * precedence until its incarnation is proven gone.
 *
 * Return: 0, BW_E_INVALID or BW_E_FULL.
 */
int membership_add(membership_t *membership, const char *node, const char *vm,
    const char *data_centre, const char *address, usec_t now);

/**
 * membership_receive() - Processes a heartbeat that arrived.
 * @authenticated: whether the sender of the message was authenticated
 *
 * Return: 0, BW_E_INVALID for a malformed report, BW_E_UNAUTHORISED for an
 * unlisted peer when @authenticated is false, BW_E_STALE for an earlier
 * incarnation or one that is proven gone, BW_E_CONFLICT when the name is that
 * of this node, or when another VM at another address uses the name of a peer
 * that is not proven gone, or BW_E_FULL.
 */
int membership_receive(membership_t *membership, const peer_report_t *report,
    bool authenticated, usec_t now);

/**
 * membership_check_sender() - Checks whether a message of this sender may be
 * used. If so, the peer counts as live.
 *
 * Return: 0, BW_E_UNAUTHORISED for an unknown node or a later incarnation than
 * its last heartbeat had, or BW_E_STALE for an earlier incarnation or one that
 * is proven gone.
 */
int membership_check_sender(membership_t *membership, const char *node,
    uint64_t incarnation, usec_t now);

/**
 * membership_receive_reply() - Processes the reply to a heartbeat.
 * @sent_at: set to when the heartbeat with @sequence was sent
 *
 * Return: 0, an error of membership_check_sender(), or BW_E_STALE when
 * @sequence is not among the last eight sent to this incarnation.
 */
int membership_receive_reply(membership_t *membership, const char *node,
    uint64_t incarnation, uint64_t sequence, usec_t now, usec_t *sent_at);

/**
 * membership_set_vms() - Processes the platform's VM list.
 *
 * A peer is proven gone when its VM is listed as gone, or is missing from the
 * list although it was listed before. A VM that was never listed proves the
 * peer gone if the list names this node's own VM and the peer's incarnation
 * started at least VM_LIST_LAG_MS ago. It is not enough that the peer started
 * before this node: if only the process of this node was restarted, an outdated
 * list may be older than the peer's VM. An empty list is ignored.
 */
void membership_set_vms(
    membership_t *membership, const vm_entry_t *vms, size_t count, usec_t now);

/**
 * membership_connection_refused() - Records that the peer's address refused a
 * connection, so that no process listens there. This proves the incarnation
 * gone unless the peer is live.
 */
void membership_connection_refused(membership_t *membership, const char *node,
    uint64_t incarnation, usec_t now);

/** membership_platform_heard() - Records that the platform has answered. */
void membership_platform_heard(membership_t *membership, usec_t now);

/**
 * membership_tick() - Queues heartbeats that are due and marks peers as silent.
 * To be called periodically.
 */
void membership_tick(membership_t *membership, usec_t now);

/**
 * membership_next_action() - Takes the next action from the queue.
 *
 * Return: false when there is none; @action is then unchanged.
 */
bool membership_next_action(
    membership_t *membership, membership_action_t *action);

/** membership_find() - The peer, owned by @membership, or NULL. */
const peer_t *membership_find(const membership_t *membership, const char *node);
size_t membership_count(const membership_t *membership);

/** membership_at() - The peer at @position, below membership_count(). */
const peer_t *membership_at(const membership_t *membership, size_t position);

/**
 * membership_is_isolated() - Whether no message of the platform or any peer has
 * arrived for ISOLATED_MS.
 */
bool membership_is_isolated(const membership_t *membership, usec_t now);

/**
 * membership_is_gone() - Whether an incarnation of a node is proven gone. This
 * includes incarnations below the latest one whose report was accepted, and
 * those of a listed peer that has never sent one and whose VM is proven gone.
 */
bool membership_is_gone(
    const membership_t *membership, const char *node, uint64_t incarnation);

#endif
