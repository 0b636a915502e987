#ifndef CLIENT_TIMING_H
#define CLIENT_TIMING_H

#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: When a response must be sent to reach its client within the target
 *
 * Load pattern: a fan-out that waits for paused or slow shards is answered at
 * its soft deadline, so a soft deadline that is one millisecond late makes most
 * responses late, and one that is early leaves shards out for nothing. The time
 * that remains depends on the way to the client, the size of the response, the
 * link and the processor of the VM, and on what the client did before. All of
 * these are observed:
 *
 * - the round trip of the client's connection, as the kernel measures it;
 * - the time that the client has spent before it sent the request: it states
 *   how long it waits, which is shorter by that time than the longest wait that
 *   clients of the route state;
 * - the delay with which this process handles its timers;
 * - the size of the last response of the route.
 */

/** typedef wait_history_t - The longest waits that clients of a route stated.
 */
typedef struct {
	usec_t longest[2]; /* of this interval and the last one */
	uint32_t count;	   /* requests in this interval */
} wait_history_t;

/**
 * wait_history_time_spent() - Records a stated wait.
 * @wait: how long the client still waits
 *
 * Return: the time for which the client has been waiting already.
 */
usec_t wait_history_time_spent(wait_history_t *history, usec_t wait);

/** typedef client_request_t - What is known of a request when it arrives. */
typedef struct {
	usec_t target_latency;
	usec_t round_trip;     /* of the client's connection */
	usec_t time_spent;     /* by the client before it sent the request */
	size_t response_bytes; /* expected */
} client_request_t;

/** typedef client_timing_t - What a node has observed of its own delays. */
typedef struct client_timing client_timing_t;

/**
 * client_timing_create() - Never NULL.
 * @link_mbps: bandwidth of this VM's network link, in Mbit/s
 */
client_timing_t *client_timing_create(double link_mbps);
void client_timing_destroy(client_timing_t *timing);

/** client_timing_record_delay() - Records by how much a timer was late. */
void client_timing_record_delay(client_timing_t *timing, usec_t delay);

/** client_timing_delay() - By how much timers are late at most, usually. */
usec_t client_timing_delay(const client_timing_t *timing);

/**
 * client_timing_allowance() - The time from the arrival of a request in which
 * its response must be sent to meet the target latency.
 */
usec_t client_timing_allowance(
    const client_timing_t *timing, const client_request_t *request);

#endif
