/* Guards the base modules: a stale handle must not give an element, a quantile
 * must be within the documented error, and malformed names, addresses, ids and
 * msgpack fields must be rejected. */
#include "lib/runner.h"

#include <stdbool.h>
#include <string.h>

#include "bulrushwell/codec.h"
#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/histogram.h"
#include "bulrushwell/id.h"
#include "bulrushwell/name.h"
#include "bulrushwell/table.h"

static void
stale_handles_never_resolve(void **state)
{
	table_t *table = table_create(sizeof(int), 3);
	handle_t first, second;
	int *value;

	first = table_insert(table, (void **)&value);
	*value = 7;
	table_remove(table, first);
	assert_null(table_get(table, first));
	second = table_insert(table, (void **)&value);
	assert_int_equal(*value, 0);
	assert_true(first != second);
	assert_null(table_get(table, first));
	assert_non_null(table_get(table, second));
	assert_null(table_get(table, HANDLE_NONE));
	assert_true(table_insert(table, (void **)&value) != HANDLE_NONE);
	assert_true(table_insert(table, (void **)&value) != HANDLE_NONE);
	assert_true(table_insert(table, (void **)&value) == HANDLE_NONE);
	assert_int_equal(table_count(table), 3);
	table_destroy(table);
}

static int released;

static void
count_released(void *element)
{
	released += *(int *)element;
}

/* Guards against elements that are left when a table is destroyed, as
 * reservations are when a node stops during an outage: what they own is freed,
 * once. */
static void
elements_are_released_once(void **state)
{
	table_t *table = table_create(sizeof(int), 100);
	handle_t handles[70];
	int *value;

	released = 0;
	table_set_release(table, count_released);
	for (int i = 0; i < 70; i++) {
		handles[i] = table_insert(table, (void **)&value);
		*value = 1;
	}
	for (int i = 0; i < 10; i++) {
		table_remove(table, handles[i]);
		table_remove(table, handles[i]);
	}
	assert_int_equal(released, 10);
	table_destroy(table);
	assert_int_equal(released, 70);
}

static void
histogram_error_is_bounded(void **state)
{
	static const int64_t values[] = {0, 1, 31, 32, 33, 63, 64, 100, 1000,
	    12345, 999999, 1 << 30, (1LL << 39) + 17};

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		histogram_t *histogram = histogram_create();
		int64_t seen;

		histogram_record(histogram, values[i]);
		seen = histogram_quantile(histogram, 0.5);
		assert_true(seen >= values[i]);
		assert_true(
		    (double)(seen - values[i]) <= (double)values[i] / 32);
		histogram_destroy(histogram);
	}
}

static void
names_and_addresses_are_checked(void **state)
{
	static const struct {
		const char *text;
		bool name;
		bool address;
	} cases[] = {
	    {"slotplan-01", true, false},
	    {"", false, false},
	    {"Upper", false, false},
	    {"a/b", false, false},
	    {"../x", false, false},
	    {"127.0.0.1:80", false, true},
	    {"[::1]:8080", false, true},
	    {"127.0.0.1", true, false},
	    {"127.0.0.1:0", false, false},
	    {"127.0.0.1:65536", false, false},
	    {"127.0.0.1:8o", false, false},
	    {"localhost:80", false, false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		name_t name;
		address_t address;

		assert_int_equal(
		    name_set(name, cases[i].text) == 0, cases[i].name);
		assert_int_equal(
		    address_set(address, cases[i].text) == 0, cases[i].address);
	}
}

static void
ids_are_parsed_strictly(void **state)
{
	char text[ID128_TEXT];
	id128_t id = id128_random(), parsed;

	id128_format(id, text);
	assert_int_equal(id128_parse(text, &parsed), 0);
	assert_true(id128_equal(id, parsed));
	text[3] = 'g';
	assert_int_equal(id128_parse(text, &parsed), BW_E_INVALID);
	assert_int_equal(id128_parse("12", &parsed), BW_E_INVALID);
}

static void
reader_rejects_wrong_shapes(void **state)
{
	static const char array_of_text[] = "\x91\xa1x";
	msgpack_unpacked unpacked;
	size_t offset = 0;
	reader_t reader;

	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, array_of_text,
			     sizeof(array_of_text) - 1, &offset),
	    MSGPACK_UNPACK_SUCCESS);
	reader_init(&reader, &unpacked.data);
	assert_int_equal(reader_int(&reader), 0);
	assert_int_equal(reader_error(&reader), BW_E_PROTOCOL);
	reader_init(&reader, &unpacked.data);
	reader_array(&reader, 4);
	assert_int_equal(reader_error(&reader), BW_E_PROTOCOL);
	msgpack_unpacked_destroy(&unpacked);
}

static void
errors_have_kinds_and_remedies(void **state)
{
	for (int error = BW_E_INVALID; error >= BW_E_IN_PROGRESS; error--) {
		assert_string_not_equal(error_kind(error), "unknown_error");
		assert_true(strlen(error_remedy(error)) > 10);
		assert_int_equal(error_from_kind(error_kind(error)), error);
	}
	assert_false(error_is_not_run(BW_E_OUTCOME_UNKNOWN));
	assert_false(error_is_not_run(BW_E_TIMEOUT));
	assert_true(error_is_not_run(BW_E_RATE));
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(stale_handles_never_resolve),
	    cmocka_unit_test(elements_are_released_once),
	    cmocka_unit_test(histogram_error_is_bounded),
	    cmocka_unit_test(names_and_addresses_are_checked),
	    cmocka_unit_test(ids_are_parsed_strictly),
	    cmocka_unit_test(reader_rejects_wrong_shapes),
	    cmocka_unit_test(errors_have_kinds_and_remedies),
	};

	return RUN_TESTS(argc, argv, tests);
}
