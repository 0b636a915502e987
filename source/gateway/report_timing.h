#ifndef REPORT_TIMING_H
#define REPORT_TIMING_H

#include "bulrushwell/clock.h"

/**
 * DOC: When a serving node must report for the receiving node to be in time
 *
 * Load pattern: queries of which some shards are slow, on small VMs. The
 * receiving node answers at its soft deadline with what there is, but until a
 * serving node has reported, all shards of its group are missing. The request
 * to the serving node, its timer and its report take some milliseconds of way
 * and of processor time; a report that is one millisecond late makes the
 * response late.
 */

typedef struct report_timing report_timing_t;

report_timing_t *report_timing_create(void);
void report_timing_destroy(report_timing_t *timing);

/**
 * report_timing_allowance() - How long after it has received the request a
 * serving node is to report what there is.
 * @left: time until the soft deadline
 */
usec_t report_timing_allowance(const report_timing_t *timing, usec_t left);

/**
 * report_timing_record() - A serving node has reported.
 * @overhead: how much later than the allowance after the request was sent the
 * report arrived
 */
void report_timing_record(report_timing_t *timing, usec_t overhead);

#endif
