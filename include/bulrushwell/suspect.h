#ifndef BULRUSHWELL_SUSPECT_H
#define BULRUSHWELL_SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Requests suspected of crashing the servers that run them
 *
 * A fingerprint identifies a request by customer, method, path and body. When
 * a server crashes, which shows as a lost connection with requests running,
 * each request that it ran becomes a suspect. A suspect runs alone on a server,
 * is retried only in this way and is never hedged. After a second crash while
 * it ran it is refused for SUSPECT_REFUSE_S seconds. An answer clears a suspect
 * that ran alone.
 *
 * Crashes of a request are numbered: the number is one more than the crashes
 * that were known when the request was sent. Whatever ran at the time of one
 * crash, or of several at once, thus reports the first crash, on every node.
 * Only a request that is sent again and crashes another server shows that it is
 * the cause.
 */
#define SUSPECT_REFUSE_S 60

/**
 * SUSPECT_MAX - Suspects that are kept; the one whose last crash is the oldest
 * is dropped.
 */
#define SUSPECT_MAX 4096

typedef enum {
	SUSPECT_CLEAR,	/* no suspect: may run beside others */
	SUSPECT_ALONE,	/* run it alone */
	SUSPECT_REFUSED /* do not run it */
} suspect_verdict_t;

typedef struct suspect_list suspect_list_t;

suspect_list_t *suspect_list_create(void);
void suspect_list_destroy(suspect_list_t *list);

/** suspect_fingerprint() - Hash of a request, the same on every node. */
uint64_t suspect_fingerprint(
    const char *customer, const char *method, const char *path, slice_t body);

/**
 * suspect_next_crash() - The number of the crash that the request would show if
 * it were sent now and crashed a server; from 1.
 */
uint64_t suspect_next_crash(const suspect_list_t *list, uint64_t fingerprint);

/**
 * suspect_record_crash() - Records that a server crashed while it ran the
 * request.
 * @number: what suspect_next_crash() returned when the request was sent, here
 * or on another node; a number that no node can have reached counts as 1
 *
 * Return: true when the crash was new for this request and peers should be
 * told.
 */
bool suspect_record_crash(
    suspect_list_t *list, uint64_t fingerprint, uint64_t number, usec_t now);

/** typedef suspect_crash_t - A crash that ended a request on this node. */
typedef struct {
	uint64_t number; /* suspect_next_crash() when the request was sent */
	bool after_loss; /* its connection to another server was lost before */
} suspect_crash_t;

/**
 * suspect_record_late_crash() - Like suspect_record_crash(), for a crash that
 * is confirmed some time after the connection was lost. A request that was sent
 * again meanwhile, and has crashed both servers, counts twice.
 *
 * Return: the number of the crash to tell peers, or 0 when it was known.
 */
uint64_t suspect_record_late_crash(suspect_list_t *list, uint64_t fingerprint,
    const suspect_crash_t *crash, usec_t now);

/**
 * suspect_record_answer() - Records that the request ran alone and was
 * answered. It stays refused when a second crash was reported meanwhile.
 */
void suspect_record_answer(
    suspect_list_t *list, uint64_t fingerprint, usec_t now);

/** suspect_verdict() - How the request may run now. */
suspect_verdict_t suspect_verdict(
    const suspect_list_t *list, uint64_t fingerprint, usec_t now);

/**
 * suspect_retry_at() - The point in time at which a refused request may be
 * sent again; 0: now.
 */
usec_t suspect_retry_at(
    const suspect_list_t *list, uint64_t fingerprint, usec_t now);

#endif
