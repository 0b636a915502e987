#include "bulrushwell/tool_change.h"

#include <stdio.h>
#include <string.h>

void
change_begin(change_t *change, const char *operation, uint64_t expected_version,
    usec_t deadline)
{
	memset(change, 0, sizeof(*change));
	snprintf(change->operation, sizeof(change->operation), "%s", operation);
	change->expected_version = expected_version;
	change->deadline = deadline;
}

/* The result when the deadline has passed. */
static change_action_t
final_action(const change_t *change)
{
	if (change->maybe_applied)
		return CHANGE_OUTCOME_UNKNOWN;
	return change->conflict ? CHANGE_CONFLICT : CHANGE_UNREACHABLE;
}

static change_action_t
continue_until_deadline(
    const change_t *change, change_action_t action, usec_t now)
{
	return now < change->deadline ? action : final_action(change);
}

/* The object still has the version that the change replaces, so no write has
 * been applied yet. After a conflict, such a read is stale. */
static change_action_t
handle_unchanged(const change_t *change, usec_t now)
{
	return continue_until_deadline(
	    change, change->conflict ? CHANGE_READ : CHANGE_WRITE, now);
}

/* Compares the object that was read with the change. */
static change_action_t
handle_stored(
    change_t *change, uint64_t version, const char *operation, usec_t now)
{
	if (strcmp(operation, change->operation) == 0) {
		change->version = version;
		return CHANGE_DONE;
	}
	if (version <= change->expected_version)
		return handle_unchanged(change, now);
	change->version = version;
	return CHANGE_CONFLICT;
}

change_action_t
change_step(change_t *change, change_event_t event, uint64_t version,
    const char *operation, usec_t now)
{
	switch (event) {
	case CHANGE_WRITE_APPLIED:
		change->version = version;
		return CHANGE_DONE;
	case CHANGE_WRITE_CONFLICT:
		change->conflict = true;
		return CHANGE_READ;
	case CHANGE_WRITE_REFUSED:
		if (change->maybe_applied)
			return continue_until_deadline(
			    change, CHANGE_READ, now);
		return CHANGE_REFUSED;
	case CHANGE_WRITE_NOT_SENT:
		return continue_until_deadline(change,
		    change->maybe_applied ? CHANGE_READ : CHANGE_WRITE, now);
	case CHANGE_WRITE_OUTCOME_UNKNOWN:
		change->maybe_applied = true;
		return CHANGE_READ;
	case CHANGE_READ_FOUND:
		return handle_stored(change, version, operation, now);
	case CHANGE_READ_ABSENT:
		return handle_unchanged(change, now);
	case CHANGE_READ_FAILED:
		return continue_until_deadline(change, CHANGE_READ, now);
	}
	return final_action(change);
}
