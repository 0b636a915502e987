#ifndef CLIENT_PRESSURE_H
#define CLIENT_PRESSURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Who is refused or closed when memory or connections run short
 *
 * Load pattern: clients that request long answers and read them slowly or not
 * at all, that never finish what they send, or that keep many connections open.
 * Ordinary clients hold little, and for milliseconds. So new requests are
 * refused before the account is full, first those of clients that have not read
 * their last answer, then those of low priority; and the client that holds most
 * for longest is closed.
 */

/** Unsent bytes of a client above which its next request is not started. */
#define CLIENT_UNSENT_MAX ((size_t)64 * 1024)

/** typedef pressure_request_t - A request that is about to start. */
typedef struct {
	size_t held;	   /* charged to the account */
	size_t limit;	   /* of the account */
	uint32_t priority; /* of its route; 0 is the highest */
	bool has_unsent;   /* its client has not been sent its last answer */
} pressure_request_t;

/** pressure_admits() - Whether the request may start. */
bool pressure_admits(const pressure_request_t *request);

/** pressure_is_high() - Whether clients are closed to make room. */
bool pressure_is_high(size_t held, size_t limit);

/** typedef pressure_client_t - What one client holds. */
typedef struct {
	size_t bytes;	    /* charged to the account for it */
	usec_t since;	    /* when it last made progress */
	bool waits_for_it;  /* the next step is the client's */
	bool is_idle;	    /* holds a connection and nothing else */
	bool has_requested; /* has had an answer on this connection */
} pressure_client_t;

/**
 * pressure_choose_holder() - The client that has held most for longest.
 * @min_age: younger ones are spared
 *
 * Return: its index, or -1 if all work is on this side.
 */
int pressure_choose_holder(
    const pressure_client_t *clients, size_t count, usec_t min_age, usec_t now);

/**
 * pressure_choose_idle() - The connection to close for a new one: one that has
 * sent no request, else the one that is idle for longest.
 *
 * Return: its index, or -1 if none may be closed.
 */
int pressure_choose_idle(
    const pressure_client_t *clients, size_t count, usec_t now);

/** typedef descriptor_shares_t - Connections that each side may have. */
typedef struct {
	uint32_t clients;
	uint32_t gateways; /* that ask this one to serve shards */
	uint32_t admin;	   /* of each address for health checks and metrics */
} descriptor_shares_t;

/**
 * descriptor_shares() - Divides the descriptors of the VM.
 * @descriptors: that this process may open
 * @memory: limit of the account, in bytes
 */
descriptor_shares_t descriptor_shares(uint64_t descriptors, size_t memory);

#endif
