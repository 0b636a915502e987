#ifndef SOURCE_CLAIM_CLAIM_ATTEMPT_H
#define SOURCE_CLAIM_CLAIM_ATTEMPT_H

#include "claim_document.h"

/**
 * DOC: Attempts and claim objects of a claim table
 *
 * An attempt is one reservation that this node accepted. Its random token
 * identifies its claim in the object. An attempt is dispatched only when its
 * token is known to be stored, and never after its request was answered with an
 * error that rules out an execution (see error_is_not_run()).
 *
 * A write is in doubt when its result does not tell whether it was applied. It
 * may have been applied, or may be applied later while the object still has the
 * version that the write expects.
 */

/** typedef attempt_phase_t - Progress of an attempt. */
typedef enum {
	PHASE_WAITING,	  /* no write in flight carries its claim */
	PHASE_CLAIMING,	  /* a write with its claim is in flight or in doubt */
	PHASE_DISPATCHED, /* its claim is stored; the upstream may execute it */
	PHASE_OUTCOME_KNOWN, /* its outcome is still to be stored */
	PHASE_ENDED
} attempt_phase_t;

/** typedef waiter_t - A repeat that waits for the outcome of an attempt. */
typedef struct {
	uint64_t tag;
	usec_t deadline;
} waiter_t;

/** typedef answer_t - Answer to a request; as in claim_action_t. */
typedef struct {
	int error;
	int http_status;
	body_t *body;
} answer_t;

typedef struct claim_object claim_object_t;

/** typedef attempt_t - One reservation that this node accepted. */
typedef struct {
	claim_object_t *object;
	claim_request_t request;
	int64_t key_time; /* Unix seconds */
	char *entry_id;
	id128_t token;
	attempt_phase_t phase;
	bool in_doubt;		   /* a write in doubt carries its claim */
	bool abandoned;		   /* it must not be dispatched any more */
	bool answered;		   /* its own request was; waiters may not be */
	bool storing_outcome;	   /* the write in flight carries its outcome */
	uint64_t reads_at_arrival; /* read_count of the object */
	GArray *waiters;	   /* waiter_t; without its own request */
	entry_state_t outcome;
	answer_t answer; /* valid from PHASE_OUTCOME_KNOWN on */
} attempt_t;

/** typedef object_io_t - The platform call in progress for an object. */
typedef enum { IO_NONE, IO_READING, IO_WRITING } object_io_t;

/** typedef claim_object_t - One platform object and the attempts in it. */
struct claim_object {
	claim_table_t *table;
	char name[2 * NAME_SIZE];
	object_io_t io;
	document_t *document;	   /* stored content; NULL if unknown */
	document_t *next_document; /* content of the write in flight */
	uint64_t version;	   /* of the newest content seen; 0: none */
	bool write_in_doubt;
	uint64_t in_doubt_version; /* that the write in doubt expects */
	uint64_t read_count;
	uint32_t failure_count;	     /* since the last success */
	usec_t retry_at;	     /* monotonic; no I/O before */
	GPtrArray *attempts;	     /* in order of arrival */
	GHashTable *active_attempts; /* entry id -> attempt_t to join */
};

/** typedef queued_action_t - An action and what it owns. */
typedef struct {
	claim_action_t action;
	char *text;
	body_t *body;
} queued_action_t;

struct claim_table {
	GHashTable *objects;	      /* name -> claim_object_t */
	GHashTable *attempts;	      /* tag -> attempt_t */
	GHashTable *repeat_windows;   /* customer -> seconds + 1 */
	GQueue actions;		      /* queued_action_t */
	queued_action_t *last_action; /* owns what its receiver borrows */
	uint32_t pending_requests;    /* attempts and their waiters */
	size_t cached_bytes;	      /* size of the documents of all objects */
	usec_t wakeup; /* at or before the first time to act; 0: none */
};

/* Actions (claim_action.c). */

/**
 * claim_action_push() - Queues an action.
 * @text: ownership passes to the queue; NULL is allowed
 * @body: a reference is taken; NULL is allowed
 */
void claim_action_push(claim_table_t *table, const claim_action_t *action,
    char *text, body_t *body);

/** claim_action_push_io() - Queues a READ or WRITE; takes over @text. */
void claim_action_push_io(claim_object_t *object, bool write, char *text);

/** claim_action_answer() - Queues the ANSWER to the request @tag. */
void claim_action_answer(
    claim_table_t *table, uint64_t tag, const answer_t *answer, bool repeated);

/* Attempts (claim_attempt.c). */

/**
 * claim_attempt_create() - Adds an attempt to an object, which owns it.
 * @request: checked by the caller; copied
 */
attempt_t *claim_attempt_create(
    claim_object_t *object, const claim_request_t *request);

/**
 * claim_attempt_destroy() - Frees an attempt; the caller removes it from the
 * object's list.
 */
void claim_attempt_destroy(attempt_t *attempt);

/** claim_attempt_add_waiter() - Lets a repeat wait for the attempt's outcome.
 */
void claim_attempt_add_waiter(
    attempt_t *attempt, const claim_request_t *request);

/** claim_attempt_answer_all() - Answers the request and all waiters. */
void claim_attempt_answer_all(attempt_t *attempt, const answer_t *answer);

/**
 * claim_attempt_abandon() - Answers all requests of an attempt that is not
 * dispatched, and rules out a dispatch. The attempt stays until its claim is
 * released or is known not to be stored.
 */
void claim_attempt_abandon(attempt_t *attempt, const answer_t *answer);

/**
 * claim_attempt_set_outcome() - Sets the outcome, which is stored next.
 * @answer: for all requests once it is stored; a reference to the body is taken
 */
void claim_attempt_set_outcome(
    attempt_t *attempt, entry_state_t outcome, const answer_t *answer);

/**
 * claim_attempt_finish() - Answers all requests and ends an attempt whose
 * outcome is stored or whose entry is gone.
 */
void claim_attempt_finish(attempt_t *attempt);

/**
 * claim_attempt_confirm() - Dispatches an attempt whose claim is now known to
 * be stored, or releases the claim if it was abandoned or its deadline has
 * passed.
 */
void claim_attempt_confirm(attempt_t *attempt, usec_t now);

/** claim_attempt_expire() - Answers requests whose deadline has passed. */
void claim_attempt_expire(attempt_t *attempt, usec_t now);

/**
 * claim_attempt_next_deadline() - The earliest deadline of the requests that
 * are not answered yet; 0 for none.
 */
usec_t claim_attempt_next_deadline(const attempt_t *attempt);

/* Objects (claim_object.c, claim_plan.c). */

/** claim_object_find() - The object of this name, or NULL. */
claim_object_t *claim_object_find(claim_table_t *table, const char *name);

/** claim_object_create() - A new object, owned by the table. */
claim_object_t *claim_object_create(claim_table_t *table, const char *name);

/** claim_object_destroy() - Frees an object with its attempts. */
void claim_object_destroy(gpointer object);

/**
 * claim_object_set_document() - Replaces the stored content that is known.
 * @document: ownership passes to the object; NULL for unknown
 */
void claim_object_set_document(claim_object_t *object, document_t *document);

/**
 * claim_object_start_io() - Starts the read or write that is due, if any, and
 * frees ended attempts.
 */
void claim_object_start_io(claim_object_t *object, usec_t now, usec_t wall);

/** claim_object_read_done() - As claim_read_done(). */
void claim_object_read_done(claim_object_t *object, claim_io_result_t result,
    uint64_t version, slice_t text, usec_t now);

/** claim_object_write_done() - As claim_write_done(). */
void claim_object_write_done(claim_object_t *object, claim_io_result_t result,
    uint64_t version, usec_t now);

/** claim_table_wake_at() - Makes claim_tick() act at @time; 0 is ignored. */
void claim_table_wake_at(claim_table_t *table, usec_t time);

#endif
