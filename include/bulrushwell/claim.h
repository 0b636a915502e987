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
 * A reservation is dispatched only after its claim is known to be stored in
 * the platform. The claims of a bucket live in one object that is changed by
 * conditional update; one update carries the claims and outcomes of all
 * reservations that wait. Section 9 of docs/design.md has the rules.
 *
 * Object text: {"bucket", "claims": [{"customer", "key", "digest", "token",
 * "state": "claimed"|"done"|"unknown"|"released", "status", "body"}],
 * "removed": [{"customer", "until"}]}. Digest and token are 32 hexadecimal
 * digits. The status is 0 and the body null unless the state is "done"; the
 * body is also null when it is longer than CLAIM_MAX_BODY or not UTF-8 text.
 * A repeat of such a reservation answers BW_E_UPSTREAM with the status. A key
 * that has no entry and is not newer than its customer's "until" (Unix
 * seconds) has expired, whatever the repeat window is by now.
 */
#define CLAIM_BUCKETS 64 /* objects per service */
#define CLAIM_MAX_KEY 128
#define CLAIM_MAX_BODY 16384	/* bytes of a stored outcome */
#define CLAIM_MAX_OBJECT 900000 /* bytes; the platform takes 1 MB */
#define CLAIM_MAX_WAITING 10000
#define CLAIM_FUTURE_S 300 /* a key may be this far ahead of this clock */

typedef struct {
	uint64_t tag; /* given back in actions */
	name_t service;
	name_t customer;
	char key[CLAIM_MAX_KEY + 1]; /* "UNIXSECONDS-TEXT" */
	uint64_t digest[2];	     /* 128-bit hash of the body */
	uint32_t repeat_window_s;
	usec_t deadline; /* monotonic */
} claim_request_t;

typedef enum {
	CLAIM_IO_OK,
	CLAIM_IO_ABSENT,   /* read: no such object */
	CLAIM_IO_CONFLICT, /* write: another version is stored */
	CLAIM_IO_REFUSED,  /* certain: the platform has not applied it */
	CLAIM_IO_LOST	   /* unknown whether it was applied */
} claim_io_t;

typedef enum {
	CLAIM_RAN,	/* the upstream answered */
	CLAIM_NOT_SENT, /* certain: no upstream ran it */
	CLAIM_UNKNOWN	/* it may have run */
} claim_dispatch_t;

typedef struct {
	enum {
		CLAIM_READ,	/* read the object */
		CLAIM_WRITE,	/* conditional update of the object */
		CLAIM_DISPATCH, /* send the reservation upstream, once */
		CLAIM_ANSWER	/* tell the caller */
	} kind;
	char object[2 * NAME_SIZE]; /* READ, WRITE: object name */
	uint64_t version;	    /* WRITE: version expected; 0 creates */
	const char *text;	    /* WRITE: borrowed until the next call */
	uint64_t tag;		    /* DISPATCH, ANSWER */
	int error;		    /* ANSWER: 0 or BW_E_... */
	int http_status;	    /* ANSWER */
	body_t *body;		    /* ANSWER: borrowed until the next call */
	bool repeated;		    /* ANSWER: the outcome was stored earlier */
} claim_action_t;

typedef struct claim_table claim_table_t;

claim_table_t *claim_table_create(void);
void claim_table_destroy(claim_table_t *table);

/** claim_check_key() - 0 and the key's time, or BW_E_INVALID. */
int claim_check_key(const char *key, int64_t *unix_seconds);

/**
 * claim_reserve() - Begins a reservation.
 *
 * Return: 0 (an ANSWER follows), BW_E_INVALID, BW_E_KEY_EXPIRED or BW_E_FULL.
 */
int claim_reserve(claim_table_t *table, const claim_request_t *request,
    usec_t now, usec_t wall);

/** claim_read_done() - A READ ended; @text and @version with CLAIM_IO_OK. */
void claim_read_done(claim_table_t *table, const char *object,
    claim_io_t result, uint64_t version, slice_t text, usec_t now, usec_t wall);

/** claim_write_done() - A WRITE ended; @version with CLAIM_IO_OK. */
void claim_write_done(claim_table_t *table, const char *object,
    claim_io_t result, uint64_t version, usec_t now, usec_t wall);

/** claim_dispatch_done() - A DISPATCH ended. */
void claim_dispatch_done(claim_table_t *table, uint64_t tag,
    claim_dispatch_t result, int http_status, body_t *body, usec_t now,
    usec_t wall);

/** claim_tick() - Answers requests whose deadline has passed. */
void claim_tick(claim_table_t *table, usec_t now, usec_t wall);

bool claim_next_action(claim_table_t *table, claim_action_t *action);

usec_t claim_next_wakeup(const claim_table_t *table);

/** claim_is_idle() - No attempt runs and no outcome waits to be stored. */
bool claim_is_idle(const claim_table_t *table);

#endif
