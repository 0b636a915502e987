#ifndef BULRUSHWELL_ADMISSION_H
#define BULRUSHWELL_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/name.h"

/**
 * DOC: Admission
 *
 * Applies this node's part of each customer's rate and concurrency. A request
 * over the concurrency waits while its deadline allows; within a customer the
 * earliest deadline goes first. Refusals are typed and true: nothing of a
 * refused request was sent.
 *
 * The rate is a token bucket whose burst is a tenth of a second of the rate,
 * at least one. A waiting request has a token reserved, and takes it when it
 * is admitted. A bucket begins empty, is cut to the burst when the rate falls,
 * and earns the smaller of the old and the new rate up to a change, so moving
 * an allowance between nodes never creates tokens.
 */
#define ADMISSION_MAX_WAITING 10000
#define ADMISSION_MAX_CUSTOMERS 100000

/** ADMISSION_BURST_SECONDS - The burst is the rate over this time. */
#define ADMISSION_BURST_SECONDS 0.1

/** ADMISSION_MOVED_MS - Tokens of a peer are forgotten after this time. */
#define ADMISSION_MOVED_MS 300

typedef struct {
	enum { ADMISSION_ADMIT, ADMISSION_REFUSE } kind;
	uint64_t tag;
	name_t customer;
	int error; /* REFUSE */
} admission_action_t;

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
 * admission_set_allowance() - This node's part of a customer's contract. Loans
 * end by themselves, so it is called before each offer, finish and tick.
 * @rate_per_s: 0 admits nothing
 * @concurrency: 0 admits nothing
 */
void admission_set_allowance(admission_t *admission, const char *customer,
    double rate_per_s, uint32_t concurrency, usec_t now);

/**
 * admission_begin() - The first allowance of a customer that this node did not
 * know before.
 * @since: the node has held its units since then, so nobody else can have used
 * them for this customer, and its bucket has filled since then
 *
 * Does nothing for a customer that is known.
 */
void admission_begin(admission_t *admission, const char *customer,
    double rate_per_s, uint32_t concurrency, usec_t since, usec_t now);

/**
 * admission_offer() - A request arrived.
 * @tag: given back in an action
 * @needed: expected time from admission to answer; a request that cannot make
 * its deadline is refused now
 *
 * Return: 0 when admitted now, 1 when it waits (an action follows),
 * BW_E_RATE, BW_E_CONCURRENCY, BW_E_DEADLINE, BW_E_FULL, or BW_E_CONFLICT
 * for the tag of a request that waits already.
 */
int admission_offer(admission_t *admission, const char *customer, uint64_t tag,
    usec_t deadline, usec_t needed, usec_t now);

/** admission_finish() - An admitted request ended. */
void admission_finish(admission_t *admission, const char *customer, usec_t now);

/**
 * admission_withdraw() - The caller of a waiting request has gone. A request
 * whose ADMIT was already given is finished instead.
 */
void admission_withdraw(admission_t *admission, uint64_t tag);

/**
 * admission_set_asking() - Whether peers can be asked for tokens and
 * concurrency. Then a request that lacks a token waits for half of its time
 * instead of being refused at once.
 */
void admission_set_asking(admission_t *admission, bool asking);

/** admission_lacking() - Waiting requests for which no token is here. */
uint32_t admission_lacking(
    admission_t *admission, const char *customer, usec_t now);

/**
 * admission_take_tokens() - Takes tokens out of the bucket for a peer.
 * @wanted: at most this many; those of waiting requests stay
 *
 * Return: the tokens taken.
 */
uint32_t admission_take_tokens(
    admission_t *admission, const char *customer, uint32_t wanted, usec_t now);

/**
 * admission_add_tokens() - Adds tokens that a peer took out of its bucket. They
 * can be used for ADMISSION_MOVED_MS.
 */
void admission_add_tokens(
    admission_t *admission, const char *customer, uint32_t tokens, usec_t now);

/** admission_refuse_lacking() - No peer had a token for them. */
void admission_refuse_lacking(
    admission_t *admission, const char *customer, usec_t now);

/** admission_tick() - Refuses what can no longer make its deadline. */
void admission_tick(admission_t *admission, usec_t now);

bool admission_next_action(admission_t *admission, admission_action_t *action);

/**
 * admission_demand() - Requests offered per second lately, admitted or not:
 * a rate that decays by 1/e in a second.
 */
double admission_demand(
    admission_t *admission, const char *customer, usec_t now);

/**
 * admission_retry_after() - How long until the rate allows the next request;
 * a second when the node has no part of the rate.
 */
usec_t admission_retry_after(
    admission_t *admission, const char *customer, usec_t now);

void admission_get_stats(const admission_t *admission, const char *customer,
    admission_stats_t *stats);

#endif
