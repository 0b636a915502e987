/* Tests the order of what nodes know of the store. Guards against a revision
 * that counts as later because the store has given it out in an earlier era,
 * and against an era that is misread. */
#include "lib/runner.h"

#include <glib.h>

#include "bulrushwell/store_position.h"

typedef struct {
	store_position_t before;
	store_position_t after;
} order_case_t;

static const order_case_t orders[] = {
    {{0, 0}, {0, 1}},
    {{0, 9}, {1, 0}},
    {{1, 520}, {2, 400}},
    {{2, 400}, {2, 401}},
    {{1, INT64_MAX}, {2, 0}},
    {{2, INT64_MAX}, {INT64_MAX, 1}},
};

static void
eras_come_before_revisions(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
		store_position_t before = orders[i].before;
		store_position_t after = orders[i].after;
		store_position_t later = store_position_later(before, after);

		assert_true(store_position_compare(before, after) < 0);
		assert_true(store_position_compare(after, before) > 0);
		assert_int_equal(store_position_compare(after, after), 0);
		assert_int_equal(store_position_compare(later, after), 0);
		later = store_position_later(after, before);
		assert_int_equal(store_position_compare(later, after), 0);
	}
}

static void
a_position_without_a_revision_is_not_set(void **state)
{
	assert_false(store_position_is_set((store_position_t){0, 0}));
	assert_false(store_position_is_set((store_position_t){3, 0}));
	assert_true(store_position_is_set((store_position_t){0, 1}));
}

static void
only_digits_are_an_era(void **state)
{
	static const struct {
		const char *text;
		int64_t era;
	} cases[] = {{"0", 0}, {"7", 7}, {"007", 7},
	    {"999999999999999999", INT64_C(999999999999999999)},
	    {"1000000000000000000", STORE_ERA_UNKNOWN}, {"", STORE_ERA_UNKNOWN},
	    {"-1", STORE_ERA_UNKNOWN}, {"+1", STORE_ERA_UNKNOWN},
	    {"1.0", STORE_ERA_UNKNOWN}, {"0x1", STORE_ERA_UNKNOWN},
	    {"1, 2", STORE_ERA_UNKNOWN}, {"seven", STORE_ERA_UNKNOWN}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		if (store_era_parse(slice_from(cases[i].text)) != cases[i].era)
			fail_msg("\"%s\"", cases[i].text);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(eras_come_before_revisions),
	    cmocka_unit_test(a_position_without_a_revision_is_not_set),
	    cmocka_unit_test(only_digits_are_an_era),
	};

	return RUN_TESTS(argc, argv, tests);
}
