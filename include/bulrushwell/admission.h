#ifndef BULRUSHWELL_ADMISSION_H
#define BULRUSHWELL_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Admission
 *
 * Enforces this node's share of each customer's rate and concurrency limits. A
 * request over the concurrency limit waits as long as it can still make its
 * deadline; the requests of a customer are admitted in order of their
 * deadlines. A refusal has the error of the limit that was exceeded, and no
 * part of a refused request has been sent to a server.
 *
 * The rate is enforced by a token bucket whose capacity (burst) is the rate
 * over a tenth of a second, but at least one token. A bucket starts empty
 * unless admission_add_customer() fills it. When the rate falls, tokens above
 * the new capacity are lost. The time up to a change of the rate counts with
 * the smaller of the old and the new rate, so moving an allowance between nodes
 * never creates tokens.
 *
 * A request that waits because of the concurrency limit has a token reserved,
 * which it takes when it is admitted. While peers can be asked for tokens, a
 * request without a token may wait for one.
 */

/** ADMISSION_MAX_WAITING - Waiting requests of all customers together. */
#define ADMISSION_MAX_WAITING 10000
#define ADMISSION_MAX_CUSTOMERS 100000

/** ADMISSION_BURST_SECONDS - The burst is the rate over this time. */
#define ADMISSION_BURST_SECONDS 0.1

/** ADMISSION_PEER_TOKEN_MS - Lifetime of tokens received from peers. */
#define ADMISSION_PEER_TOKEN_MS 300

/** typedef admission_action_t - The decision about a waiting request. */
typedef struct {
	enum { ADMISSION_ADMIT, ADMISSION_REFUSE } kind;
	uint64_t tag;
	name_t customer;
	int error; /* REFUSE: BW_E_RATE or BW_E_CONCURRENCY; ADMIT: 0 */
} admission_action_t;

/** typedef admission_stats_t - Counters of one customer. */
typedef struct {
	uint64_t admitted;
	uint64_t refused_rate;
	uint64_t refused_concurrency;
	uint64_t refused_deadline;
	uint32_t running;
	uint32_t waiting;
} admission_stats_t;

typedef struct admission admission_t;

admission_t *admission_create(void);
void admission_destroy(admission_t *admission);

/**
 * admission_set_allowance() - Sets this node's share of a customer's contract.
 * @rate_per_s: tokens per second; 0 admits nothing
 * @concurrency: requests that may run at once; 0 admits nothing
 *
 * Rate and concurrency lent by peers (see allowance.h) expire without notice,
 * so it is called with the current values before each offer, finish and tick.
 */
void admission_set_allowance(admission_t *admission, const char *customer,
    double rate_per_s, uint32_t concurrency, usec_t now);

/**
 * admission_add_customer() - Sets the first allowance of a customer that is new
 * to this node.
 * @since: since when this node has held its units of the contract; no other
 * node can have used them since, so the bucket is filled as from that time
 *
 * Does nothing for a customer that has an entry already.
 */
void admission_add_customer(admission_t *admission, const char *customer,
    double rate_per_s, uint32_t concurrency, usec_t since, usec_t now);

/**
 * admission_offer() - Admits, queues or refuses a request that has arrived.
 * @tag: unique to the request; identifies it in actions
 * @deadline: when the request must be answered
 * @expected_duration: expected time from admission to answer
 *
 * Return: 0 when admitted, 1 when it waits (an action follows), BW_E_RATE or
 * BW_E_CONCURRENCY when over that limit, BW_E_DEADLINE when it can't make its
 * deadline even if admitted now, BW_E_FULL when there are too many customers or
 * waiting requests, or BW_E_CONFLICT when a request with this tag is waiting.
 */
int admission_offer(admission_t *admission, const char *customer, uint64_t tag,
    usec_t deadline, usec_t expected_duration, usec_t now);

/** admission_release() - Frees the slot of an admitted request that ended. */
void admission_release(
    admission_t *admission, const char *customer, usec_t now);

/**
 * admission_cancel() - Removes a waiting request whose caller has gone. If
 * its ADMIT action was already returned, call admission_release() instead.
 */
void admission_cancel(admission_t *admission, uint64_t tag);

/**
 * admission_set_peers_available() - Sets whether peers can be asked for tokens
 * and concurrency.
 * @peers_available: if true, a request without a token waits for up to half of
 * its spare time instead of being refused at once
 */
void admission_set_peers_available(
    admission_t *admission, bool peers_available);

/**
 * admission_count_without_token() - How many waiting requests have no token on
 * this node.
 */
uint32_t admission_count_without_token(
    admission_t *admission, const char *customer, usec_t now);

/**
 * admission_take_tokens() - Takes tokens out of the bucket for a peer.
 * @wanted: at most this many are taken; tokens reserved for waiting requests
 * and tokens received from peers stay
 *
 * Return: the number of tokens taken.
 */
uint32_t admission_take_tokens(
    admission_t *admission, const char *customer, uint32_t wanted, usec_t now);

/**
 * admission_add_tokens() - Adds tokens that a peer took out of its bucket. They
 * expire after ADMISSION_PEER_TOKEN_MS.
 */
void admission_add_tokens(
    admission_t *admission, const char *customer, uint32_t tokens, usec_t now);

/**
 * admission_refuse_without_token() - Refuses the waiting requests that have no
 * token, the latest deadlines first, because no peer has tokens to spare.
 */
void admission_refuse_without_token(
    admission_t *admission, const char *customer, usec_t now);

/**
 * admission_tick() - Refuses requests that have waited too long to make their
 * deadlines, and admits those that may start now. To be called periodically.
 */
void admission_tick(admission_t *admission, usec_t now);

/**
 * admission_next_action() - Takes the next action from the queue.
 *
 * Return: false when there is none; @action is then unchanged.
 */
bool admission_next_action(admission_t *admission, admission_action_t *action);

/**
 * admission_demand() - Recent rate of offered requests per second, whether
 * admitted or not: an exponentially decaying average with a time constant of
 * one second.
 */
double admission_demand(
    admission_t *admission, const char *customer, usec_t now);

/**
 * admission_retry_after() - Time until the rate allows the next request, at
 * most an hour; one second when this node has no share of the rate.
 */
usec_t admission_retry_after(
    admission_t *admission, const char *customer, usec_t now);

/** admission_get_stats() - Copies a customer's counters; zeros if unknown. */
void admission_get_stats(const admission_t *admission, const char *customer,
    admission_stats_t *stats);

#endif
