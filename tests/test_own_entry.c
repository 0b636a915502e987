/* Tests when a node writes its own entry in the store. Guards against an entry
 * that stays lost after the store has come back from an older copy, against
 * writes of all nodes at one moment, and against writes for nothing. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>

#include "../platform/own_entry.h"

#define NOW SECONDS(100)

static own_entry_t
written_entry(int64_t era)
{
	own_entry_t entry = {0};

	own_entry_enter_era(&entry, era, 0.0, NOW);
	assert_true(own_entry_written(&entry, era, NOW));
	return entry;
}

static void
an_entry_is_renewed_each_minute(void **state)
{
	own_entry_t entry = written_entry(1);

	assert_true(entry.stands);
	assert_false(own_entry_is_due(&entry, NOW + SECONDS(59)));
	assert_true(own_entry_is_due(&entry, NOW + SECONDS(60)));
	entry = (own_entry_t){0};
	assert_false(own_entry_is_due(&entry, NOW));
	own_entry_found(&entry, NOW);
	assert_true(entry.stands);
	assert_true(own_entry_is_due(&entry, NOW + SECONDS(30)));
}

static void
a_new_era_asks_for_the_entry_within_a_second(void **state)
{
	for (int i = 0; i < 10; i++) {
		own_entry_t entry = written_entry(1);
		double random = 0.1 * i;
		usec_t due = NOW + (usec_t)(random * USEC_PER_SEC);

		assert_true(own_entry_enter_era(&entry, 2, random, NOW));
		assert_false(entry.stands);
		assert_true(i == 0 || !own_entry_is_due(&entry, due - MS(1)));
		assert_true(own_entry_is_due(&entry, due + MS(1)));
		assert_false(own_entry_enter_era(&entry, 2, 0.0, NOW));
		assert_false(own_entry_enter_era(&entry, 1, 0.0, NOW));
		/* The store has lost what it acknowledged in the era before. */
		assert_false(own_entry_written(&entry, 1, due));
		assert_false(entry.stands);
		assert_true(own_entry_written(&entry, 2, due));
		assert_true(entry.stands);
		assert_false(own_entry_is_due(&entry, due + SECONDS(59)));
	}
}

static void
the_first_era_is_no_return_of_the_store(void **state)
{
	own_entry_t entry = {0};

	assert_false(own_entry_enter_era(&entry, 7, 0.0, NOW));
	assert_true(own_entry_written(&entry, 7, NOW));
	entry = written_entry(0);
	assert_false(own_entry_enter_era(&entry, 3, 0.0, NOW));
	assert_true(entry.stands);
}

static void
a_list_that_lacks_the_entry_asks_for_it(void **state)
{
	static const struct {
		const char *name;
		bool is_listed;
		usec_t since_written;
		bool is_gone;
	} cases[] = {
	    {"it is there", true, SECONDS(40), false},
	    {"the list may be older than the entry", false, SECONDS(10), false},
	    {"it was removed", false, SECONDS(20), true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		own_entry_t entry = written_entry(1);
		usec_t now = NOW + cases[i].since_written;

		if (own_entry_listed(&entry, cases[i].is_listed, 0.5, now) !=
		    cases[i].is_gone)
			fail_msg("%s", cases[i].name);
		assert_int_equal(entry.stands, !cases[i].is_gone);
		assert_int_equal(own_entry_is_due(&entry, now + SECONDS(1)),
		    cases[i].is_gone);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(an_entry_is_renewed_each_minute),
	    cmocka_unit_test(a_new_era_asks_for_the_entry_within_a_second),
	    cmocka_unit_test(the_first_era_is_no_return_of_the_store),
	    cmocka_unit_test(a_list_that_lacks_the_entry_asks_for_it),
	};

	return RUN_TESTS(argc, argv, tests);
}
