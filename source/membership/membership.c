#include "bulrushwell/membership.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"

#define SENT_HEARTBEATS_KEPT 8 /* a reply to an older one is refused */

/* The low bits of an incarnation are random. The others are the wall clock
 * time, in milliseconds, at which the process started. */
#define INCARNATION_RANDOM_BITS 20

typedef struct {
	peer_t peer;
	uint64_t gone_below; /* lower incarnations are proven gone */
	/* When peer.vm was last set or the peer was proven gone. */
	usec_t vm_set_at;
	/* peer.vm was set by membership_add(), not by a report of the peer. */
	bool vm_from_peer_list;
	usec_t next_heartbeat;
	uint64_t sent[SENT_HEARTBEATS_KEPT]; /* sequences; a ring */
	usec_t sent_at[SENT_HEARTBEATS_KEPT];
	uint32_t sent_count;
} entry_t;

struct membership {
	name_t node;
	name_t vm;
	uint64_t incarnation;
	usec_t created_at;
	usec_t last_tick;
	usec_t detect_silence_from; /* no peer is marked silent before */
	usec_t platform_heard_at;
	usec_t peer_heard_at;
	size_t count;
	entry_t entries[MEMBERSHIP_MAX_PEERS];
	GQueue *actions;
};

membership_t *
membership_create(
    const char *node, const char *vm, uint64_t incarnation, usec_t now)
{
	membership_t *membership = g_new0(membership_t, 1);

	g_strlcpy(membership->node, node, sizeof(membership->node));
	g_strlcpy(membership->vm, vm, sizeof(membership->vm));
	membership->incarnation = incarnation;
	membership->created_at = now;
	membership->last_tick = now;
	membership->actions = g_queue_new();
	return membership;
}

void
membership_destroy(membership_t *membership)
{
	if (membership == NULL)
		return;
	g_queue_free_full(membership->actions, g_free);
	g_free(membership);
}

static entry_t *
find_entry(const membership_t *membership, const char *node)
{
	for (size_t i = 0; i < membership->count; i++)
		if (strcmp(membership->entries[i].peer.node, node) == 0)
			return (entry_t *)&membership->entries[i];
	return NULL;
}

static membership_action_t *
push_action(membership_t *membership, int kind, const entry_t *entry)
{
	membership_action_t *action = g_new0(membership_action_t, 1);

	action->kind = kind;
	g_strlcpy(action->node, entry->peer.node, sizeof(action->node));
	action->incarnation = entry->peer.incarnation;
	g_queue_push_tail(membership->actions, action);
	return action;
}

/* Creates an entry. When the table is full, the entry of an unlisted peer that
 * is gone is reused; returns NULL if there is none. */
static entry_t *
add_entry(membership_t *membership, const char *node)
{
	entry_t *entry = NULL;

	if (membership->count < MEMBERSHIP_MAX_PEERS)
		entry = &membership->entries[membership->count++];
	for (size_t i = 0; entry == NULL && i < membership->count; i++)
		if (membership->entries[i].peer.gone &&
		    !membership->entries[i].peer.listed)
			entry = &membership->entries[i];
	if (entry == NULL)
		return NULL;
	memset(entry, 0, sizeof(*entry));
	g_strlcpy(entry->peer.node, node, sizeof(entry->peer.node));
	return entry;
}

static bool
is_name_or_empty(const char *text)
{
	name_t name;

	return text == NULL || text[0] == '\0' || name_set(name, text) == 0;
}

static void
set_address(membership_t *membership, entry_t *entry, const char *address)
{
	if (strcmp(entry->peer.address, address) == 0)
		return;
	g_strlcpy(entry->peer.address, address, sizeof(entry->peer.address));
	push_action(membership, MEMBERSHIP_CONNECT, entry);
}

static void
set_vm(entry_t *entry, const char *vm, usec_t now)
{
	if (strcmp(entry->peer.vm, vm) == 0)
		return;
	g_strlcpy(entry->peer.vm, vm, sizeof(entry->peer.vm));
	entry->peer.vm_was_listed = false;
	entry->vm_set_at = now;
}

int
membership_add(membership_t *membership, const char *node, const char *vm,
    const char *data_centre, const char *address, usec_t now)
{
	entry_t *entry = find_entry(membership, node);
	address_t checked;
	name_t name;

	if (name_set(name, node) != 0 || !is_name_or_empty(vm) ||
	    !is_name_or_empty(data_centre) ||
	    address_set(checked, address) != 0)
		return BW_E_INVALID;
	if (strcmp(node, membership->node) == 0)
		return 0;
	if (entry == NULL)
		entry = add_entry(membership, node);
	if (entry == NULL)
		return BW_E_FULL;
	entry->peer.listed = true;
	/* The peer's own report is more recent than any list. */
	if (entry->peer.incarnation != 0 && !entry->peer.gone)
		return 0;
	if (vm != NULL && vm[0] != '\0') {
		set_vm(entry, vm, now);
		entry->vm_from_peer_list = true;
	}
	if (data_centre != NULL && data_centre[0] != '\0')
		g_strlcpy(entry->peer.data_centre, data_centre,
		    sizeof(entry->peer.data_centre));
	set_address(membership, entry, checked);
	return 0;
}

/* Records that a message of the peer has arrived. */
static void
mark_heard(membership_t *membership, entry_t *entry, usec_t now)
{
	entry->peer.heard_at = now;
	membership->peer_heard_at = now;
	if (entry->peer.live)
		return;
	entry->peer.live = true;
	push_action(membership, MEMBERSHIP_UP, entry);
}

/* Whether the report of a later incarnation proves that the known one is gone:
 * it has the same address or the same VM, and a VM runs only one daemon. Two
 * VMs with the same node name are a configuration error; the second is not
 * accepted until the first is proven gone. */
static bool
may_replace(const entry_t *entry, const peer_report_t *report)
{
	return entry->peer.incarnation == 0 || entry->peer.gone ||
	    strcmp(entry->peer.address, report->address) == 0 ||
	    strcmp(entry->peer.vm, report->vm) == 0;
}

static void
begin_incarnation(
    membership_t *membership, entry_t *entry, uint64_t incarnation)
{
	bool replaced = entry->peer.incarnation != 0;

	entry->peer.incarnation = incarnation;
	entry->gone_below = MAX(entry->gone_below, incarnation);
	entry->peer.gone = false;
	entry->peer.live = false;
	entry->sent_count = 0;
	if (replaced)
		push_action(membership, MEMBERSHIP_REPLACED, entry);
}

static int
check_report(const peer_report_t *report)
{
	name_t name;
	address_t address;

	if (name_set(name, report->node) != 0 || report->incarnation == 0 ||
	    name_set(name, report->vm) != 0 ||
	    !is_name_or_empty(report->data_centre) ||
	    address_set(address, report->address) != 0)
		return BW_E_INVALID;
	return 0;
}

static void
store_report(membership_t *membership, entry_t *entry,
    const peer_report_t *report, usec_t now)
{
	peer_t *peer = &entry->peer;

	set_vm(entry, report->vm, now);
	entry->vm_from_peer_list = false;
	set_address(membership, entry, report->address);
	g_strlcpy(
	    peer->data_centre, report->data_centre, sizeof(peer->data_centre));
	peer->state = report->state;
	peer->assignment_version = report->assignment_version;
	peer->contracts_digest = report->contracts_digest;
	if (report->platform_age_ms >= 0 &&
	    report->platform_age_ms <= now / USEC_PER_MS)
		peer->platform_heard_at = MAX(
		    peer->platform_heard_at, now - MS(report->platform_age_ms));
	mark_heard(membership, entry, now);
}

int
membership_receive(membership_t *membership, const peer_report_t *report,
    bool authenticated, usec_t now)
{
	entry_t *entry = find_entry(membership, report->node);

	if (check_report(report) != 0)
		return BW_E_INVALID;
	if (strcmp(report->node, membership->node) == 0)
		return BW_E_CONFLICT;
	if (!authenticated && (entry == NULL || !entry->peer.listed))
		return BW_E_UNAUTHORISED;
	if (entry == NULL)
		entry = add_entry(membership, report->node);
	if (entry == NULL)
		return BW_E_FULL;
	if (report->incarnation < entry->gone_below ||
	    report->incarnation < entry->peer.incarnation)
		return BW_E_STALE;
	if (report->incarnation > entry->peer.incarnation) {
		if (!may_replace(entry, report))
			return BW_E_CONFLICT;
		begin_incarnation(membership, entry, report->incarnation);
	}
	store_report(membership, entry, report, now);
	return 0;
}

int
membership_check_sender(membership_t *membership, const char *node,
    uint64_t incarnation, usec_t now)
{
	entry_t *entry = find_entry(membership, node);

	if (entry == NULL || incarnation > entry->peer.incarnation)
		return BW_E_UNAUTHORISED;
	if (incarnation < entry->peer.incarnation || entry->peer.gone)
		return BW_E_STALE;
	mark_heard(membership, entry, now);
	return 0;
}

int
membership_receive_reply(membership_t *membership, const char *node,
    uint64_t incarnation, uint64_t sequence, usec_t now, usec_t *sent_at)
{
	entry_t *entry = find_entry(membership, node);
	int error = membership_check_sender(membership, node, incarnation, now);

	if (error != 0)
		return error;
	for (uint32_t i = 0; i < SENT_HEARTBEATS_KEPT && i < entry->sent_count;
	     i++) {
		if (entry->sent[i] != sequence)
			continue;
		*sent_at = entry->sent_at[i];
		entry->peer.round_trip = now - entry->sent_at[i];
		return 0;
	}
	return BW_E_STALE;
}

static void
mark_gone(membership_t *membership, entry_t *entry, usec_t now)
{
	if (entry->peer.gone || entry->peer.incarnation == 0)
		return;
	entry->gone_below = entry->peer.incarnation + 1;
	entry->peer.gone = true;
	entry->peer.live = false;
	entry->vm_set_at = now;
	push_action(membership, MEMBERSHIP_GONE, entry);
}

void
membership_connection_refused(membership_t *membership, const char *node,
    uint64_t incarnation, usec_t now)
{
	entry_t *entry = find_entry(membership, node);

	if (entry != NULL && !entry->peer.live &&
	    entry->peer.incarnation == incarnation)
		mark_gone(membership, entry, now);
}

/* Incarnations below the returned one have started at least VM_LIST_LAG_MS ago,
 * so a VM list that is read now must name their VMs. */
static uint64_t
compute_listed_below(const membership_t *membership, usec_t now)
{
	uint64_t started_ms =
	    membership->incarnation >> INCARNATION_RANDOM_BITS;
	uint64_t now_ms = started_ms +
	    (uint64_t)((now - membership->created_at) / USEC_PER_MS);

	if (now_ms <= VM_LIST_LAG_MS)
		return 0;
	return (now_ms - VM_LIST_LAG_MS) << INCARNATION_RANDOM_BITS;
}

static const vm_entry_t *
find_vm(const vm_entry_t *vms, size_t count, const char *vm)
{
	for (size_t i = 0; i < count; i++)
		if (strcmp(vms[i].vm, vm) == 0)
			return &vms[i];
	return NULL;
}

/* Checks the VM of a peer against the VM list, where @found is its row or NULL.
 * Incarnations below @listed_below are gone if the list does not name their
 * VM; 0 if absence from the list proves nothing. */
static void
check_peer_vm(membership_t *membership, entry_t *entry, const vm_entry_t *found,
    uint64_t listed_below, usec_t now)
{
	bool was_listed = entry->peer.vm_was_listed;

	if (entry->peer.vm[0] == '\0')
		return;
	if (found != NULL && found->state != VM_GONE) {
		entry->peer.vm_was_listed = true;
		return;
	}
	if (found != NULL || was_listed ||
	    entry->peer.incarnation < listed_below)
		mark_gone(membership, entry, now);
	/* For incarnations without any message only the VM that the list of
	 * peers names is evidence. It counts after VM_LIST_LAG_MS, when both
	 * the list of peers and the VM list must include them. A VM that the
	 * peer itself has reported does not count: a later incarnation may run
	 * on another VM. */
	if (entry->vm_from_peer_list &&
	    now - entry->vm_set_at >= MS(VM_LIST_LAG_MS))
		entry->gone_below = MAX(entry->gone_below, listed_below);
}

void
membership_set_vms(
    membership_t *membership, const vm_entry_t *vms, size_t count, usec_t now)
{
	const vm_entry_t *own = find_vm(vms, count, membership->vm);
	uint64_t listed_below = 0;

	/* This node itself runs on a VM, so an empty list must be wrong. */
	if (count == 0)
		return;
	if (own != NULL && own->state != VM_GONE)
		listed_below = compute_listed_below(membership, now);
	for (size_t i = 0; i < membership->count; i++) {
		entry_t *entry = &membership->entries[i];

		check_peer_vm(membership, entry,
		    find_vm(vms, count, entry->peer.vm), listed_below, now);
	}
}

void
membership_platform_heard(membership_t *membership, usec_t now)
{
	membership->platform_heard_at = now;
}

/* Sequences start at this node's incarnation, so that a reply to a heartbeat of
 * an earlier process of this node never matches one of this process. */
static void
send_heartbeat(membership_t *membership, entry_t *entry, usec_t now)
{
	uint32_t index = entry->sent_count++ % SENT_HEARTBEATS_KEPT;
	membership_action_t *action;

	if (entry->peer.sequence == 0)
		entry->peer.sequence = membership->incarnation;
	entry->peer.sequence++;
	entry->peer.sequence_at = now;
	entry->sent[index] = entry->peer.sequence;
	entry->sent_at[index] = now;
	entry->next_heartbeat = now + MS(HEARTBEAT_MS);
	action = push_action(membership, MEMBERSHIP_SEND_HEARTBEAT, entry);
	action->sequence = entry->peer.sequence;
}

void
membership_tick(membership_t *membership, usec_t now)
{
	/* After a pause of this process, messages of peers are still unread. */
	if (now - membership->last_tick >= MS(SILENT_MS))
		membership->detect_silence_from = now + MS(HEARTBEAT_MS);
	membership->last_tick = now;
	for (size_t i = 0; i < membership->count; i++) {
		entry_t *entry = &membership->entries[i];
		peer_t *peer = &entry->peer;

		if (peer->live && now - peer->heard_at >= MS(SILENT_MS) &&
		    now >= membership->detect_silence_from) {
			peer->live = false;
			push_action(membership, MEMBERSHIP_SILENT, entry);
		}
		if (now >= entry->next_heartbeat)
			send_heartbeat(membership, entry, now);
	}
}

bool
membership_next_action(membership_t *membership, membership_action_t *action)
{
	membership_action_t *next = g_queue_pop_head(membership->actions);

	if (next == NULL)
		return false;
	*action = *next;
	g_free(next);
	return true;
}

const peer_t *
membership_find(const membership_t *membership, const char *node)
{
	const entry_t *entry = find_entry(membership, node);

	return entry != NULL ? &entry->peer : NULL;
}

size_t
membership_count(const membership_t *membership)
{
	return membership->count;
}

const peer_t *
membership_at(const membership_t *membership, size_t position)
{
	return &membership->entries[position].peer;
}

bool
membership_is_isolated(const membership_t *membership, usec_t now)
{
	usec_t heard = MAX(membership->created_at,
	    MAX(membership->platform_heard_at, membership->peer_heard_at));

	return now - heard >= MS(ISOLATED_MS);
}

bool
membership_is_gone(
    const membership_t *membership, const char *node, uint64_t incarnation)
{
	const entry_t *entry = find_entry(membership, node);

	if (strcmp(node, membership->node) == 0)
		return incarnation < membership->incarnation;
	return entry != NULL && incarnation < entry->gone_below;
}
