#ifndef BULRUSHWELL_TOOL_CHANGE_H
#define BULRUSHWELL_TOOL_CHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: State machine of one conditional update
 *
 * A change is written conditionally, with the version that it replaces, and
 * carries an operation token in its value. After a write whose response was
 * lost, the object is read back and the token compared. Repeating the write is
 * safe, since at most one write can replace a version. The state machine does
 * no I/O: the caller performs the action that change_step() returns and passes
 * the result to the next call.
 */
typedef enum {
	CHANGE_WRITE_APPLIED,	      /* with the new version */
	CHANGE_WRITE_CONFLICT,	      /* another version is stored */
	CHANGE_WRITE_REFUSED,	      /* not applied, and never will be */
	CHANGE_WRITE_NOT_SENT,	      /* not applied: no connection was made */
	CHANGE_WRITE_OUTCOME_UNKNOWN, /* may be applied, now or later */
	CHANGE_READ_FOUND,	      /* with version and operation */
	CHANGE_READ_ABSENT,
	CHANGE_READ_FAILED
} change_event_t;

typedef enum {
	CHANGE_WRITE,	 /* write the object, then pass the result */
	CHANGE_READ,	 /* read the object, then pass the result */
	CHANGE_DONE,	 /* the change is stored as .version */
	CHANGE_CONFLICT, /* another change is stored as .version; 0: unread */
	CHANGE_REFUSED,	 /* not changed */
	CHANGE_OUTCOME_UNKNOWN, /* deadline passed; it may have taken effect */
	CHANGE_UNREACHABLE	/* deadline passed; nothing was changed */
} change_action_t;

typedef struct {
	name_t operation;	   /* token that identifies the change */
	uint64_t expected_version; /* version that is replaced; 0 creates */
	usec_t deadline;	   /* monotonic; no attempt begins after it */
	bool maybe_applied;	   /* the outcome of a write is unknown */
	bool conflict;		   /* a write found another version */
	uint64_t version;	   /* stored at the end; 0: unknown */
} change_t;

/**
 * change_begin() - Starts a change. The first action is CHANGE_WRITE.
 * @operation: token; copied
 * @expected_version: version that is replaced; 0 creates the object
 * @deadline: monotonic
 */
void change_begin(change_t *change, const char *operation,
    uint64_t expected_version, usec_t deadline);

/**
 * change_step() - Takes the result of the last action and returns the next.
 * @version: of the stored object; for CHANGE_WRITE_APPLIED and
 * CHANGE_READ_FOUND
 * @operation: token in the stored object; for CHANGE_READ_FOUND
 */
change_action_t change_step(change_t *change, change_event_t event,
    uint64_t version, const char *operation, usec_t now);

#endif
