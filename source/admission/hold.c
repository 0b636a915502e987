#include "hold.h"

#include <glib.h>
#include <string.h>

/* Removes holds that have expired or that the new one covers. */
static void
drop_covered(hold_list_t *list, uint32_t amount, usec_t expires_at, usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < list->count; i++) {
		const hold_t *hold = &list->holds[i];

		if (hold->expires_at > now &&
		    (hold->amount > amount || hold->expires_at > expires_at))
			list->holds[kept++] = *hold;
	}
	list->count = kept;
}

static void
merge_oldest(hold_list_t *list)
{
	hold_t *first = &list->holds[0], *second = &list->holds[1];

	second->amount = MAX(first->amount, second->amount);
	second->expires_at = MAX(first->expires_at, second->expires_at);
	list->count--;
	memmove(first, second, list->count * sizeof(*first));
}

void
hold_list_add(hold_list_t *list, uint32_t amount, usec_t expires_at, usec_t now)
{
	if (amount == 0)
		return;
	drop_covered(list, amount, expires_at, now);
	if (list->count == HOLD_LIST_MAX)
		merge_oldest(list);
	list->holds[list->count++] = (hold_t){amount, expires_at};
}

uint32_t
hold_list_amount(const hold_list_t *list, usec_t now)
{
	uint32_t amount = 0;

	for (uint32_t i = 0; i < list->count; i++)
		if (list->holds[i].expires_at > now)
			amount = MAX(amount, list->holds[i].amount);
	return amount;
}
