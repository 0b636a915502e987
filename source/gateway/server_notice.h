#ifndef SERVER_NOTICE_H
#define SERVER_NOTICE_H

#include "../http/http_message.h"
#include "bulrushwell/clock.h"
#include "load_report.h"

/**
 * DOC: What a server says about itself in its responses
 *
 * A server that is leaving says so in each response, and one that turns a
 * request away may say for how long it wants no more from this node. It may
 * also report its load. All of this is believed only of whole responses to this
 * node's own requests; the caller sees to that.
 */

/** typedef server_notice_t - What one response says. */
typedef struct {
	bool leaving;	/* the server has begun to leave */
	usec_t backoff; /* it wants no requests for this long; 0: it has not
			 * said so */
} server_notice_t;

/** SERVER_BACKOFF_MAX - The longest that is believed; more makes no sense. */
#define SERVER_BACKOFF_MAX SECONDS(24 * 3600)

/**
 * server_notice_read() - Reads a response.
 * @leaving_header: name of the header by which a server says that it leaves
 *
 * A header with any value but "1" says nothing. A time that is not a number of
 * seconds, fractions included, says nothing; of several the longest holds.
 */
server_notice_t server_notice_read(
    const http_message_t *response, const char *leaving_header);

/** typedef load_notice_t - Whether a response reports the server's load. */
typedef enum {
	LOAD_NOT_REPORTED,
	LOAD_REPORTED,
	LOAD_REPORT_MALFORMED /* it says nothing */
} load_notice_t;

/**
 * server_notice_read_load() - Reads the load report of a response.
 * @load_header: name of the header that has it
 * @report: set if the load is reported
 *
 * Several reports in one response contradict each other: they are malformed.
 */
load_notice_t server_notice_read_load(const http_message_t *response,
    const char *load_header, load_report_t *report);
/** SERVER_WARM_UP_MAX - The longest time for which a server is believed to stay
 * cold. */
#define SERVER_WARM_UP_MAX SECONDS(600)

/**
 * server_notice_warm_up_left() - How long a server says that it stays cold.
 * @header: name of the header that states it, in ms
 *
 * Only digits are a number; of several headers the longest time holds.
 *
 * Return: the time, at most SERVER_WARM_UP_MAX; 0: it says nothing.
 */
usec_t server_notice_warm_up_left(
    const http_message_t *response, const char *header);

#endif
