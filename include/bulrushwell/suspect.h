#ifndef BULRUSHWELL_SUSPECT_H
#define BULRUSHWELL_SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Requests that crash the servers that run them
 *
 * A fingerprint stands for customer, method, path and body. When a connection
 * dies with requests running, each of their fingerprints becomes suspect. A
 * suspect request runs alone on a server and is not retried freely. A second
 * crash while it ran refuses it for SUSPECT_REFUSE_S seconds. An answer clears
 * a suspect that ran alone.
 */
#define SUSPECT_REFUSE_S 60
#define SUSPECT_MAX 4096 /* the oldest is dropped when the list is full */

typedef enum {
	SUSPECT_CLEAR,
	SUSPECT_ALONE,	/* run it alone */
	SUSPECT_REFUSED /* do not run it */
} suspect_verdict_t;

typedef struct suspect_list suspect_list_t;

suspect_list_t *suspect_list_create(void);
void suspect_list_destroy(suspect_list_t *list);

/** suspect_fingerprint() - Hash that is the same on every node. */
uint64_t suspect_fingerprint(
    const char *customer, const char *method, const char *path, slice_t body);

/**
 * suspect_crashed() - A server died while the request ran.
 * @crash: identifies the crash (server and incarnation), so that reports of
 * one crash by several connections or nodes count once
 *
 * Return: true when this is news that peers should hear.
 */
bool suspect_crashed(
    suspect_list_t *list, uint64_t fingerprint, uint64_t crash_id, usec_t now);

/**
 * suspect_answered() - The request ran alone and was answered. It stays refused
 * when a second crash was reported meanwhile.
 */
void suspect_answered(suspect_list_t *list, uint64_t fingerprint, usec_t now);

suspect_verdict_t suspect_verdict(
    const suspect_list_t *list, uint64_t fingerprint, usec_t now);

/** suspect_retry_after() - When a refused one may be sent again; 0: now. */
usec_t suspect_retry_after(
    const suspect_list_t *list, uint64_t fingerprint, usec_t now);

#endif
