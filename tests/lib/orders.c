#include "orders.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "random.h"
#include "runner.h"

#define ORDER_MAX 256 /* letters */

/* Leaves out events for as long as the order still fails. */
static void
shrink(const orders_t *orders, char *order)
{
	size_t at = 0;

	while (order[at] != '\0') {
		char *shorter = g_strdup(order);

		memmove(shorter + at, shorter + at + 1, strlen(shorter + at));
		if (strchr(orders->letters, order[at]) != NULL &&
		    orders->play(shorter, NULL) != NULL) {
			memcpy(order, shorter, strlen(shorter) + 1);
			at = 0;
		} else {
			at++;
		}
		g_free(shorter);
	}
}

void
orders_fail(const orders_t *orders, const char *failing)
{
	char *order = g_strdup(failing);

	shrink(orders, order);
	fail_msg("BW_ORDER=%s: %s (found as %s)", order,
	    orders->play(order, NULL), failing);
}

void
orders_play_cases(
    const orders_t *orders, const order_case_t *cases, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const char *failure = orders->play(cases[i].order, NULL);

		if (failure != NULL)
			fail_msg("%s (BW_ORDER=%s): %s", cases[i].guards,
			    cases[i].order, failure);
	}
}

bool
orders_play_given(const orders_t *orders)
{
	const char *order = getenv("BW_ORDER");

	if (order != NULL && orders->play(order, stderr) != NULL)
		orders_fail(orders, order);
	return order != NULL;
}

static uint64_t
play_longer(const orders_t *orders, char *order, uint32_t depth)
{
	size_t size = strlen(order);
	uint64_t played = 1;

	if (orders->play(order, NULL) != NULL)
		orders_fail(orders, order);
	for (const char *at = orders->letters; *at != '\0' && depth > 0; at++) {
		order[size] = *at;
		order[size + 1] = '\0';
		played += play_longer(orders, order, depth - 1);
	}
	order[size] = '\0';
	return played;
}

uint64_t
orders_play_all(const orders_t *orders, uint32_t depth)
{
	char order[ORDER_MAX] = "";

	return play_longer(orders, order, depth);
}

static void
play_random(
    const orders_t *orders, random_t *random, const char *begin, uint32_t depth)
{
	uint32_t letters = (uint32_t)strlen(orders->letters);
	uint32_t events = 1 + random_below(random, depth);
	char order[ORDER_MAX];
	size_t size = g_strlcpy(order, begin, sizeof(order));

	while (events-- > 0)
		order[size++] = orders->letters[random_below(random, letters)];
	order[size] = '\0';
	if (orders->play(order, NULL) != NULL)
		orders_fail(orders, order);
}

void
orders_play_random(const orders_t *orders, const char *const *begins,
    uint32_t begin_count, uint32_t depth, uint64_t count)
{
	uint64_t first = environment_number("BW_SEED", 1);
	uint64_t steps = environment_number("BW_STEPS", count);

	if (getenv("BW_ORDER") != NULL)
		return;
	for (uint64_t seed = first; seed < first + steps; seed++) {
		random_t random = {seed};
		const char *begin = begins[random_below(&random, begin_count)];

		play_random(orders, &random, begin, depth);
	}
	print_message("%llu random orders\n", (unsigned long long)steps);
}
