#ifndef COLD_SENDERS_H
#define COLD_SENDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Which nodes may send to cold servers
 *
 * Load pattern: nodes start, are cut off and die while servers are cold, so
 * that their lists of nodes differ for minutes; together they must not send
 * more than a server tolerates.
 *
 * The senders are the COLD_SENDERS nodes of the server's data centre whose
 * registry entries were created first. An old list that contains a node's own
 * entry contains all entries created before it too, so a node never takes
 * itself for one of the first without being one, whatever it has missed.
 * Choices in which a new node can displace an old one, such as rendezvous
 * hashing, have more senders at once while nodes join.
 *
 * Others drop a node that they have not seen renew its entry for some time, and
 * its successor becomes a sender. So a sender must have renewed its entry,
 * stops well before that time, and waits when it returns until its successor
 * has noticed or has stopped itself.
 */

#define COLD_SENDERS 3
/*
 * After its start a node sends nothing to cold servers: the process before it
 * may have sent until just before. Covers the second in which these requests
 * count and the time that the last ones were on the way.
 */
#define COLD_SENDER_HOLD SECONDS(2)
/* After a renewal; less than the time after which others drop the entry. */
#define COLD_SENDER_TERM SECONDS(150)
/*
 * Of a node that may have been dropped. Its successor may have renewed its own
 * entry 25 s later (the age of a list and the interval between lists) without
 * having seen the return, and sends until its term has ended.
 */
#define COLD_SENDER_RETURN (COLD_SENDER_TERM + SECONDS(30))

/** typedef cold_sender_t - What a node knows of its own place. */
typedef struct {
	usec_t started_at;
	uint32_t entries; /* of its data centre, dropped ones included */
	uint32_t older;	  /* of these, older than its own and not dropped */
	/* In a row that contained its own entry, since its return. */
	uint32_t lists;
	usec_t renewed_at;  /* its entry; 0: not known */
	usec_t returned_at; /* last renewal after it may have been dropped */
} cold_sender_t;

/** cold_sender_init() - A node that has just started. */
void cold_sender_init(cold_sender_t *sender, usec_t now);

/**
 * cold_sender_listed() - A list of all nodes was read.
 * @listed: whether it contains the node's own entry
 * @entries: entries of its data centre
 * @older: of these, the ones that were created before its own and are renewed
 */
void cold_sender_listed(
    cold_sender_t *sender, bool listed, uint32_t entries, uint32_t older);

/** cold_sender_unlisted() - The store may have lost the node's entry; it is no
 * sender until lists contain it again. */
void cold_sender_unlisted(cold_sender_t *sender);

/**
 * cold_sender_recalled() - The process before has written the entry at
 * @renewed_at, on the clock of this process.
 * @returned_at: as of cold_sender_returned_at()
 */
void cold_sender_recalled(
    cold_sender_t *sender, usec_t renewed_at, usec_t returned_at);

/**
 * cold_sender_returned_at() - The last renewal after the node may have been
 * dropped, if it writes its entry now; 0: none.
 * @created: there is no entry yet
 */
usec_t cold_sender_returned_at(
    const cold_sender_t *sender, bool created, usec_t now);

/** cold_sender_renewed() - The node has written its entry.
 * @created: there was none before */
void cold_sender_renewed(cold_sender_t *sender, bool created, usec_t now);

/** typedef cold_term_t - When a node may send to cold servers. */
typedef struct {
	usec_t from;
	usec_t until; /* 0: not at all */
} cold_term_t;

/** cold_sender_term() - When the node may send to the cold servers of its data
 * centre, as far as it knows now. */
cold_term_t cold_sender_term(const cold_sender_t *sender);

/** cold_sender_needs_renewal() - Whether it must renew its entry soon to become
 * or stay a sender. */
bool cold_sender_needs_renewal(const cold_sender_t *sender, usec_t now);

#endif
