#include "cold_senders.h"

/* The pages of one list may be of different ages, so one list isn't enough. */
#define LISTS_NEEDED 2

void
cold_sender_init(cold_sender_t *sender, usec_t now)
{
	*sender = (cold_sender_t){.started_at = now};
}

void
cold_sender_listed(
    cold_sender_t *sender, bool listed, uint32_t entries, uint32_t older)
{
	sender->entries = entries;
	sender->older = older;
	sender->lists = listed ? sender->lists + 1 : 0;
}

void
cold_sender_unlisted(cold_sender_t *sender)
{
	sender->lists = 0;
}

void
cold_sender_recalled(
    cold_sender_t *sender, usec_t renewed_at, usec_t returned_at)
{
	if (sender->renewed_at != 0)
		return;
	sender->renewed_at = renewed_at;
	sender->returned_at = returned_at;
}

usec_t
cold_sender_returned_at(const cold_sender_t *sender, bool created, usec_t now)
{
	bool is_return = sender->renewed_at == 0 ||
	    now >= sender->renewed_at + COLD_SENDER_TERM;

	return is_return && !created ? now : sender->returned_at;
}

void
cold_sender_renewed(cold_sender_t *sender, bool created, usec_t now)
{
	usec_t returned_at = cold_sender_returned_at(sender, created, now);

	/* There may be more nodes than in the last list before the return. */
	if (returned_at != sender->returned_at)
		sender->lists = 0;
	sender->returned_at = returned_at;
	sender->renewed_at = now;
}

cold_term_t
cold_sender_term(const cold_sender_t *sender)
{
	cold_term_t term = {.from = sender->started_at + COLD_SENDER_HOLD};
	usec_t returns_at = sender->returned_at + COLD_SENDER_RETURN;

	/* It has a successor only if there are more nodes than senders. */
	if (sender->returned_at != 0 && sender->entries > COLD_SENDERS &&
	    returns_at > term.from)
		term.from = returns_at;
	if (sender->lists >= LISTS_NEEDED && sender->older < COLD_SENDERS &&
	    sender->renewed_at != 0)
		term.until = sender->renewed_at + COLD_SENDER_TERM;
	return term;
}

bool
cold_sender_needs_renewal(const cold_sender_t *sender, usec_t now)
{
	return sender->lists > 0 && sender->older < COLD_SENDERS &&
	    (sender->renewed_at == 0 ||
		now >= sender->renewed_at + COLD_SENDER_TERM / 2);
}
