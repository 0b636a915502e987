#ifndef BULRUSHWELL_TOOL_CHANGE_H
#define BULRUSHWELL_TOOL_CHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Decisions of one conditional update
 *
 * An update is written with the version that it replaces and with an operation
 * token in its value. A write whose answer was lost is settled by reading back
 * and comparing the token; repeating it is safe, since at most one write can
 * replace a version. Pure: the caller does what change_step() returns and
 * reports how it ended.
 */
typedef enum {
	CHANGE_WRITE_APPLIED,  /* with the new version */
	CHANGE_WRITE_CONFLICT, /* another version is stored */
	CHANGE_WRITE_REFUSED,  /* certain: not applied, and never will be */
	CHANGE_WRITE_NOT_SENT, /* certain: no connection was made */
	CHANGE_WRITE_OUTCOME_UNKNOWN, /* it may have been applied, or still be
				       */
	CHANGE_READ_FOUND,	      /* with version and operation */
	CHANGE_READ_ABSENT,
	CHANGE_READ_FAILED
} change_event_t;

typedef enum {
	CHANGE_WRITE,		/* write, and report the result */
	CHANGE_READ,		/* read, and report the result */
	CHANGE_DONE,		/* the change took effect as .version */
	CHANGE_CONFLICT,	/* another change is in force; .version, or 0 */
	CHANGE_REFUSED,		/* not changed */
	CHANGE_OUTCOME_UNKNOWN, /* time is up; it may have taken effect */
	CHANGE_UNREACHABLE	/* time is up; certain that nothing changed */
} change_action_t;

typedef struct {
	name_t operation;
	uint64_t expected_version; /* version that is replaced; 0 creates */
	usec_t deadline;	   /* no further attempt begins after it */
	bool maybe_applied;	   /* a write was lost */
	bool conflict;		   /* a write met another version */
	uint64_t version;
} change_t;

/** change_begin() - The first action is CHANGE_WRITE. */
void change_begin(change_t *change, const char *operation,
    uint64_t expected_version, usec_t deadline);

/**
 * change_step() - Takes the result of the last action and returns the next.
 * @version: with WRITE_APPLIED and READ_FOUND
 * @operation: token stored in the object, with READ_FOUND
 */
change_action_t change_step(change_t *change, change_event_t event,
    uint64_t version, const char *operation, usec_t now);

#endif
