#include "blackboard.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/id.h"

/* The high bits are milliseconds since 1970, so that a later start has a
 * higher incarnation; the 20 random low bits distinguish starts within the same
 * millisecond. */
static uint64_t
make_incarnation(void)
{
	uint64_t ms = (uint64_t)(clock_wall() / USEC_PER_MS);

	return ms << 20 | (id64_random() & 0xfffff);
}

void
blackboard_init(blackboard_t *board, const settings_t *settings)
{
	memset(board, 0, sizeof(*board));
	board->settings = *settings;
	board->incarnation = make_incarnation();
	board->contracts = contract_store_create();
	board->catalogue = catalogue_create();
	board->membership = membership_create(settings->node, settings->vm,
	    board->incarnation, clock_monotonic());
	board->ledger = ledger_create();
	board->allowance = allowance_create();
	board->admission = admission_create();
	board->suspects = suspect_list_create();
	board->stopping_since =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
blackboard_clear(blackboard_t *board)
{
	contract_store_destroy(board->contracts);
	catalogue_destroy(board->catalogue);
	assignment_destroy(board->assignment);
	membership_destroy(board->membership);
	ledger_destroy(board->ledger);
	allowance_destroy(board->allowance);
	admission_destroy(board->admission);
	suspect_list_destroy(board->suspects);
	g_hash_table_destroy(board->stopping_since);
}

usec_t
blackboard_longest_deadline(const blackboard_t *board, usec_t now)
{
	return MAX(MS(MIN_LONGEST_DEADLINE_MS),
	    contract_store_longest_deadline(board->contracts, now));
}

void
blackboard_record_longest_deadline(blackboard_t *board, usec_t now)
{
	board->stated_deadlines[board->next_stated_deadline] =
	    blackboard_longest_deadline(board, now);
	board->next_stated_deadline =
	    (board->next_stated_deadline + 1) % STATED_DEADLINE_COUNT;
}

usec_t
blackboard_max_attempt_time(const blackboard_t *board, usec_t now)
{
	usec_t shortest = blackboard_longest_deadline(board, now);

	for (int i = 0; i < STATED_DEADLINE_COUNT; i++)
		shortest = MIN(shortest, board->stated_deadlines[i]);
	return MAX(shortest, MS(MIN_LONGEST_DEADLINE_MS));
}

bool
blackboard_is_self(const blackboard_t *board, const holder_t *holder)
{
	return holder->incarnation == board->incarnation &&
	    strcmp(holder->node, board->settings.node) == 0;
}

bool
blackboard_is_isolated(const blackboard_t *board, usec_t now)
{
	return membership_is_isolated(board->membership, now);
}

void
blackboard_set_stopping(
    blackboard_t *board, const char *node, bool stopping, usec_t now)
{
	if (!stopping)
		g_hash_table_remove(board->stopping_since, node);
	else if (!g_hash_table_contains(board->stopping_since, node))
		g_hash_table_insert(board->stopping_since, g_strdup(node),
		    g_memdup2(&now, sizeof(now)));
}

usec_t
blackboard_handover_time(const blackboard_t *board, usec_t now)
{
	usec_t longest_deadline = blackboard_longest_deadline(board, now);
	usec_t loans_returned = MS(LOAN_MS) + longest_deadline +
	    longest_deadline / DRIFT_DIVISOR + MS(DRIFT_MARGIN_MS) +
	    2 * MS(HEARTBEAT_MS);

	return MIN(loans_returned, MS(HANDOVER_MAX_MS));
}

/* Whether a node has been stopping for long enough that its standby can serve
 * in its place. */
static bool
is_past_handover(const blackboard_t *board, const char *node, usec_t now)
{
	const usec_t *since = g_hash_table_lookup(board->stopping_since, node);

	return since != NULL &&
	    now - *since >= blackboard_handover_time(board, now);
}

static bool
can_serve(const blackboard_t *board, const holder_t *holder,
    bool accept_past_handover)
{
	const peer_t *peer;

	if (holder->slots == 0)
		return false;
	if (!accept_past_handover &&
	    is_past_handover(board, holder->node, clock_monotonic()))
		return false;
	if (blackboard_is_self(board, holder))
		return true;
	peer = membership_find(board->membership, holder->node);
	return peer != NULL && peer->live &&
	    peer->incarnation == holder->incarnation;
}

const char *
blackboard_find_serving_node(
    const blackboard_t *board, const char *service, const char *except)
{
	const assigned_service_t *entry;

	if (board->assignment == NULL)
		return NULL;
	entry = assignment_find_service(board->assignment, service);
	if (entry == NULL)
		return NULL;
	/* The second pass accepts holders that are past their handover. */
	for (int pass = 0; pass < 2; pass++) {
		for (uint32_t i = 0; i < entry->holder_count; i++) {
			const holder_t *holder = &entry->holders[i];

			if (except != NULL && strcmp(except, holder->node) == 0)
				continue;
			if (can_serve(board, holder, pass == 1))
				return holder->node;
		}
	}
	return NULL;
}
