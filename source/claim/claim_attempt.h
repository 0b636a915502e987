#ifndef SOURCE_CLAIM_CLAIM_ATTEMPT_H
#define SOURCE_CLAIM_CLAIM_ATTEMPT_H

#include "claim_document.h"

/**
 * DOC: Attempts and claim objects of a claim table
 *
 * An attempt is one reservation that this node accepted. It owns a token that
 * identifies its claim in the object. Only an attempt whose token is known to
 * be stored is dispatched, and never after its caller was told "not run".
 */
typedef enum {
	PHASE_WAITING,	  /* no write in flight carries its claim */
	PHASE_CLAIMING,	  /* the write in flight, or one in doubt, does */
	PHASE_DISPATCHED, /* its claim is stored; the upstream may run it */
	PHASE_OUTCOME,	  /* its outcome is to be stored */
	PHASE_ENDED
} phase_t;

/** typedef caller_t - A repeated request that waits for an attempt. */
typedef struct {
	uint64_t tag;
	usec_t deadline;
} caller_t;

typedef struct {
	int error;
	int status;
	body_t *body;
} answer_t;

typedef struct object object_t;

typedef struct {
	object_t *object;
	claim_request_t request;
	int64_t key_time;
	char *id; /* in the object's document */
	id128_t token;
	phase_t phase;
	bool in_doubt;	 /* a write with its claim may still take effect */
	bool abandoned;	 /* it must never be dispatched */
	bool answered;	 /* the first caller has its answer */
	bool storing;	 /* the write in flight carries its outcome */
	uint64_t reads;	 /* of the object, before this attempt arrived */
	GArray *callers; /* caller_t, besides the first */
	entry_state_t outcome;
	answer_t answer; /* with PHASE_OUTCOME */
} attempt_t;

typedef enum { IO_NONE, IO_READING, IO_WRITING } io_t;

struct object {
	claim_table_t *table;
	char name[2 * NAME_SIZE];
	io_t io;
	document_t *document; /* stored content, or NULL */
	document_t *next;     /* content of the write in flight */
	uint64_t version;     /* of the newest content seen */
	bool doubt;	      /* a write with doubt_version may take effect */
	uint64_t doubt_version;
	uint64_t reads;
	uint32_t failures; /* since the last success */
	usec_t retry_at;
	GPtrArray *attempts; /* in order of arrival */
	GHashTable *active;  /* id -> attempt that repeats wait for */
};

typedef struct {
	claim_action_t action;
	char *text;
	body_t *body;
} queued_t;

struct claim_table {
	GHashTable *objects;  /* name -> object_t */
	GHashTable *attempts; /* tag -> attempt_t */
	GHashTable *windows;  /* customer -> repeat window */
	GQueue actions;	      /* queued_t */
	queued_t *lent;	      /* whose contents the last action borrows */
	uint32_t waiting;     /* attempts and repeats */
	size_t cached;	      /* bytes of all documents */
	usec_t wakeup;	      /* not later than the first time to act; 0 none */
};

/* Actions (claim_action.c). */
void claim_action_push(claim_table_t *table, const claim_action_t *action,
    char *text, body_t *body);
void claim_action_push_io(object_t *object, bool write, char *text);
void claim_action_answer(
    claim_table_t *table, uint64_t tag, const answer_t *answer, bool repeated);

/* Attempts (claim_attempt.c). */
attempt_t *claim_attempt_create(
    object_t *object, const claim_request_t *request);
void claim_attempt_destroy(attempt_t *attempt);
void claim_attempt_add_caller(
    attempt_t *attempt, const claim_request_t *request);

/** claim_attempt_answer_all() - Answers everybody who still waits. */
void claim_attempt_answer_all(attempt_t *attempt, const answer_t *answer);

/** claim_attempt_conclude() - Ends an attempt that was not dispatched. */
void claim_attempt_conclude(attempt_t *attempt, const answer_t *answer);

/** claim_attempt_set_outcome() - The outcome is known and must be stored. */
void claim_attempt_set_outcome(
    attempt_t *attempt, entry_state_t outcome, const answer_t *answer);

/** claim_attempt_finish() - The outcome is stored. */
void claim_attempt_finish(attempt_t *attempt);

/** claim_attempt_confirm() - The claim is stored: dispatches when it still may.
 */
void claim_attempt_confirm(attempt_t *attempt, usec_t now);

/** claim_attempt_expire() - Answers callers whose deadline has passed. */
void claim_attempt_expire(attempt_t *attempt, usec_t now);

/** claim_attempt_next_deadline() - Of the callers that wait; 0 when none does.
 */
usec_t claim_attempt_next_deadline(const attempt_t *attempt);

/* Objects (claim_object.c, claim_plan.c). */
object_t *claim_object_find(claim_table_t *table, const char *name);
object_t *claim_object_create(claim_table_t *table, const char *name);
void claim_object_destroy(gpointer object);
void claim_object_set_document(object_t *object, document_t *document);

/** claim_object_plan() - Begins the read or write that is due. */
void claim_object_plan(object_t *object, usec_t now, usec_t wall);

void claim_object_read_done(object_t *object, claim_io_t result,
    uint64_t version, slice_t text, usec_t now);
void claim_object_write_done(
    object_t *object, claim_io_t result, uint64_t version, usec_t now);

/** claim_table_wake_at() - claim_tick() has something to do at @time. */
void claim_table_wake_at(claim_table_t *table, usec_t time);

#endif
