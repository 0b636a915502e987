#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Load reports: what servers state about their load and pace
 *
 * Load pattern: servers share their machines with others, so that some of them
 * are slower for a few hundred milliseconds, and the set changes all the time.
 * A node sends too few attempts to each server to measure that itself, and it
 * does not see what other nodes send. A server may state both in a response.
 *
 * A report is a hint of limited weight: it fades with age, each number is
 * bounded, and attempts whose durations contradict it raise the doubt in the
 * server's reports, so that a false report costs a few attempts at most.
 */

/** typedef load_report_t - What a server states in one response. */
typedef struct {
	uint32_t running; /* requests, from all nodes */
	uint32_t waiting; /* requests, from all nodes */
	uint32_t slots;	  /* requests that it runs at once */
	uint32_t pace; /* duration of work in percent of the usual one; 0: not
			* stated */
} load_report_t;

/** LOAD_REPORT_COUNT_MAX - The greatest count that is read. */
#define LOAD_REPORT_COUNT_MAX 100000

/** LOAD_REPORT_PACE_MAX - The greatest pace that is read, in percent. */
#define LOAD_REPORT_PACE_MAX 100000

/**
 * load_report_parse() - Reads "running,waiting,slots" or
 * "running,waiting,slots,pace".
 * @report: set if the text is a report
 *
 * Numbers are decimal digits. Blanks and tabs may surround each of them. There
 * is at least one slot, and a pace that is stated is above 0.
 *
 * Return: whether @value is a report.
 */
bool load_report_parse(slice_t value, load_report_t *report);

/**
 * typedef server_load_t - The last report of a server, as one node keeps it.
 * Zero bytes are a server that has reported nothing.
 */
typedef struct {
	load_report_t report;
	usec_t reported_at;    /* 0: never */
	uint32_t own_attempts; /* of this node, when it was reported */
	/* Since when each report states a slow pace; 0: the last does not. */
	usec_t slow_since;
	double contradiction; /* by attempts: sum of excess errors */
} server_load_t;

/**
 * server_load_reported() - A response of the server has a report.
 * @own_attempts: attempts of this node that the server has, the answered one
 * included
 */
void server_load_reported(server_load_t *load, const load_report_t *report,
    uint32_t own_attempts, usec_t now);

/**
 * server_load_answered() - Compares the report of a response with the duration
 * of the attempt. It follows server_load_reported() for the same response.
 * @elapsed: duration of the attempt
 * @typical: usual duration of an attempt of the route
 */
void server_load_answered(server_load_t *load, usec_t elapsed, usec_t typical);

/** server_load_trust() - Weight of a new report of the server: 1, less as far
 * as attempts contradict its reports, at least 0. */
double server_load_trust(const server_load_t *load);

/** server_load_weight() - Weight of the reported load, from 1 for a new report
 * that is trusted to 0. */
double server_load_weight(const server_load_t *load, usec_t now);

/**
 * server_load_pace() - Factor by which work on the server takes longer than
 * usual. It tends to 1 as the report gets older.
 */
double server_load_pace(const server_load_t *load, usec_t now);

/**
 * server_load_others() - Load of other nodes on the server, in requests.
 * @assumed: load to assume without a report
 */
double server_load_others(
    const server_load_t *load, double assumed, usec_t now);

#endif
