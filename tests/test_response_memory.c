/* Guards the memory for bodies of responses: many that do not end stay within
 * the limit together, and a short one still fits. */
#include "lib/runner.h"

#include <glib.h>

#include "bulrushwell/response_memory.h"

#define MAX_BODIES 5000
#define PIECE_BYTES 1024

static const struct {
	const char *name;
	int endless; /* bodies that take what they can get */
	size_t short_bytes;
} cases[] = {
    {"none", 0, 1024 * 1024},
    {"one", 1, 1024 * 1024},
    {"as many as servers of a service", 30, 1024 * 1024},
    {"as many as a site has servers", 700, 16 * 1024},
    {"as many as connections", MAX_BODIES, 4 * 1024},
};

static size_t held[MAX_BODIES];

/* Return: the bytes that all have together. */
static size_t
take_all(int bodies)
{
	size_t total = 0;
	bool grew = true;

	while (grew) {
		grew = false;
		for (int i = 0; i < bodies; i++)
			grew |= response_memory_take(&held[i], PIECE_BYTES);
	}
	for (int i = 0; i < bodies; i++)
		total += held[i];
	return total;
}

static void
release_all(int bodies)
{
	for (int i = 0; i < bodies; i++) {
		response_memory_release(&held[i]);
		assert_int_equal(held[i], 0);
	}
}

static void
a_short_body_fits_beside_endless_ones(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t total = take_all(cases[i].endless), short_body = 0;

		if (total > response_memory_limit())
			fail_msg("%s: %zu bytes", cases[i].name, total);
		if (!response_memory_take(&short_body, cases[i].short_bytes))
			fail_msg(
			    "%s: no place for a short body", cases[i].name);
		response_memory_release(&short_body);
		release_all(cases[i].endless);
	}
}

/* What was returned can be taken again. */
static void
released_memory_is_free(void **state)
{
	size_t body = 0;

	for (int i = 0; i < MAX_BODIES; i++) {
		size_t half = response_memory_limit() / 2;

		assert_true(response_memory_take(&body, half));
		assert_false(response_memory_take(&body, half));
		assert_int_equal(body, half);
		response_memory_release(&body);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_short_body_fits_beside_endless_ones),
	    cmocka_unit_test(released_memory_is_free),
	};

	return RUN_TESTS(argc, argv, tests);
}
