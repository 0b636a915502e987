#ifndef BULRUSHWELL_CLAIM_H
#define BULRUSHWELL_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/body.h"
#include "bulrushwell/clock.h"
#include "bulrushwell/id.h"
#include "bulrushwell/name.h"
#include "bulrushwell/table.h"

/**
 * DOC: At-most-once claims
 *
 * A claim is a stored record that reserves an idempotency key for one
 * execution. A reservation is dispatched to the upstream only after its claim
 * is known to be stored in the platform. A hash of customer and key assigns
 * each claim to one of the CLAIM_BUCKETS buckets of its service. All claims of
 * a bucket are in one platform object, which is changed by conditional update;
 * one update carries the claims and outcomes of all pending reservations.
 * Section 9 of docs/design.md has the rules.
 *
 * Object text: {"bucket", "claims": [{"customer", "key", "digest", "token",
 * "state": "claimed"|"done"|"unknown"|"released", "status", "body"}],
 * "removed": [{"customer", "until"}]}. The digest is that of the request body;
 * the token identifies the attempt that wrote the claim. Both are 32
 * hexadecimal digits. A "released" reservation was not executed, and its key
 * may be claimed again. The status is 0 and the body null unless the state is
 * "done". The body of a "done" entry is also null when it is longer than
 * CLAIM_MAX_BODY_BYTES or not UTF-8 text; a repeat of such a reservation is
 * answered with BW_E_UPSTREAM and the status. A key that has no entry and is
 * not newer than its customer's "until" (Unix seconds) has expired, whatever
 * the repeat window is now.
 *
 * The claim table does no I/O. Its user calls claim_next_action() after every
 * other call, carries out the actions, and reports the results of READ, WRITE
 * and DISPATCH. Times named @now are monotonic and times named @wall are wall
 * clock, both in microseconds.
 */
#define CLAIM_BUCKETS 64	   /* buckets, one object each, per service */
#define CLAIM_MAX_KEY_LENGTH 128   /* characters */
#define CLAIM_MAX_BODY_BYTES 16384 /* body of a stored outcome */
#define CLAIM_MAX_OBJECT_BYTES 900000	 /* the platform accepts 1 MB */
#define CLAIM_MAX_PENDING_REQUESTS 10000 /* per claim table */
#define CLAIM_MAX_CLOCK_SKEW_S \
	300 /* a key may be this far ahead of the wall clock */

/** typedef claim_request_t - A reservation with its idempotency key. */
typedef struct {
	uint64_t tag; /* chosen by the user; returned in actions */
	name_t service;
	name_t customer;
	char key[CLAIM_MAX_KEY_LENGTH + 1]; /* "UNIXSECONDS-TEXT" */
	uint64_t digest[2]; /* 128-bit hash of the request body */
	uint32_t repeat_window_s;
	usec_t deadline; /* monotonic; not dispatched from then on */
} claim_request_t;

/** typedef claim_io_result_t - Result of a READ or WRITE. */
typedef enum {
	CLAIM_IO_OK,
	CLAIM_IO_NOT_FOUND, /* read: no such object */
	CLAIM_IO_CONFLICT,  /* write: the stored version differs */
	CLAIM_IO_REFUSED,   /* not applied, for certain */
	CLAIM_IO_UNKNOWN    /* no valid reply; it may have been applied */
} claim_io_result_t;

/** typedef claim_dispatch_result_t - Result of a DISPATCH. */
typedef enum {
	CLAIM_DISPATCH_ANSWERED, /* the upstream executed it and replied */
	CLAIM_DISPATCH_NOT_SENT, /* not executed, for certain */
	CLAIM_DISPATCH_UNKNOWN	 /* it may have been executed */
} claim_dispatch_result_t;

/** typedef claim_action_t - What the user of a claim table has to do next. */
typedef struct {
	enum {
		CLAIM_READ,	/* read the object */
		CLAIM_WRITE,	/* conditional update of the object */
		CLAIM_DISPATCH, /* send the reservation to the upstream, once */
		CLAIM_ANSWER	/* answer the request */
	} kind;
	char object[2 * NAME_SIZE]; /* READ, WRITE: object name */
	uint64_t version;	    /* WRITE: expected; 0 creates */
	const char *text;	    /* WRITE: new content, borrowed */
	uint64_t tag;		    /* DISPATCH, ANSWER: of the request */
	int error;		    /* ANSWER: 0 or BW_E_... */
	int http_status;	    /* ANSWER: of the upstream, or 0 */
	body_t *body;		    /* ANSWER: borrowed; may be NULL */
	bool repeated; /* ANSWER: to a repeat of an earlier request */
} claim_action_t;

/** typedef claim_table_t - All claims that this node works on. */
typedef struct claim_table claim_table_t;

/** claim_table_create() - An empty table; the caller owns it. */
claim_table_t *claim_table_create(void);

/**
 * claim_table_destroy() - Frees a table without answering its requests; NULL is
 * allowed.
 */
void claim_table_destroy(claim_table_t *table);

/**
 * claim_parse_key() - Parses an idempotency key, "UNIXSECONDS-TEXT".
 * @unix_seconds: set to the key's time; unchanged on error
 *
 * Return: 0, or BW_E_INVALID.
 */
int claim_parse_key(const char *key, int64_t *unix_seconds);

/**
 * claim_reserve() - Starts a reservation.
 * @request: copied
 *
 * A repeat of a reservation that is in progress here waits for its outcome.
 *
 * Return: 0 if accepted: exactly one ANSWER follows, from claim_tick() at the
 * deadline if not earlier. Otherwise BW_E_INVALID for a malformed key, a key
 * that is more than CLAIM_MAX_CLOCK_SKEW_S ahead of @wall, a malformed name or
 * a tag in use, BW_E_KEY_EXPIRED, or BW_E_FULL for too many pending requests.
 */
int claim_reserve(claim_table_t *table, const claim_request_t *request,
    usec_t now, usec_t wall);

/**
 * claim_read_done() - Reports the result of a READ.
 * @object: name of the object
 * @version: stored version, with CLAIM_IO_OK
 * @text: stored content, with CLAIM_IO_OK; copied
 */
void claim_read_done(claim_table_t *table, const char *object,
    claim_io_result_t result, uint64_t version, slice_t text, usec_t now,
    usec_t wall);

/**
 * claim_write_done() - Reports the result of a WRITE.
 * @object: name of the object
 * @version: the new version, with CLAIM_IO_OK
 */
void claim_write_done(claim_table_t *table, const char *object,
    claim_io_result_t result, uint64_t version, usec_t now, usec_t wall);

/**
 * claim_dispatch_done() - Reports the result of a DISPATCH.
 * @http_status: of the reply, with CLAIM_DISPATCH_ANSWERED
 * @body: of the reply, with CLAIM_DISPATCH_ANSWERED; a reference is taken
 *
 * A CLAIM_DISPATCH_ANSWERED with a status outside 100 to 599 counts as
 * CLAIM_DISPATCH_UNKNOWN.
 */
void claim_dispatch_done(claim_table_t *table, uint64_t tag,
    claim_dispatch_result_t result, int http_status, body_t *body, usec_t now,
    usec_t wall);

/**
 * claim_tick() - Answers requests whose deadline has passed and retries failed
 * reads and writes. Does nothing before claim_next_wakeup().
 */
void claim_tick(claim_table_t *table, usec_t now, usec_t wall);

/**
 * claim_next_action() - Takes the next action from the queue.
 * @action: its text and body are valid until the next claim_next_action()
 *
 * Return: false when the queue is empty.
 */
bool claim_next_action(claim_table_t *table, claim_action_t *action);

/** claim_next_wakeup() - When to call claim_tick(), monotonic; 0 for never. */
usec_t claim_next_wakeup(const claim_table_t *table);

/**
 * claim_is_idle() - Whether no reservation is in progress: none waits for its
 * claim, none is dispatched and no outcome or release is still to be stored.
 */
bool claim_is_idle(const claim_table_t *table);

#endif
