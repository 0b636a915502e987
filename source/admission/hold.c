#include "hold.h"

#include <glib.h>
#include <string.h>

static void
drop_covered(hold_list_t *list, uint32_t amount, usec_t until, usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < list->count; i++) {
		const hold_t *hold = &list->holds[i];

		if (hold->until > now &&
		    (hold->amount > amount || hold->until > until))
			list->holds[kept++] = *hold;
	}
	list->count = kept;
}

static void
merge_oldest(hold_list_t *list)
{
	hold_t *first = &list->holds[0], *second = &list->holds[1];

	second->amount = MAX(first->amount, second->amount);
	second->until = MAX(first->until, second->until);
	list->count--;
	memmove(first, second, list->count * sizeof(*first));
}

void
hold_list_add(hold_list_t *list, uint32_t amount, usec_t until, usec_t now)
{
	if (amount == 0)
		return;
	drop_covered(list, amount, until, now);
	if (list->count == HOLD_MAX)
		merge_oldest(list);
	list->holds[list->count++] = (hold_t){amount, until};
}

uint32_t
hold_list_amount(const hold_list_t *list, usec_t now)
{
	uint32_t amount = 0;

	for (uint32_t i = 0; i < list->count; i++)
		if (list->holds[i].until > now)
			amount = MAX(amount, list->holds[i].amount);
	return amount;
}
