/* Guards the reading of the store's responses against one object that the JSON
 * library refuses: it must not hide the others, must not be read as something
 * else, and must not end the process. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../platform/store_body.h"

#define GOOD(name) "{\"meta\":{\"name\":\"" name "\"},\"spec\":{\"a\":1}}"
#define BAD(name, spec) "{\"meta\":{\"name\":\"" name "\"},\"spec\":" spec "}"
#define LIST(items) "{\"items\":[" items "],\"has_more\":true,\"at_rev\":7}"
#define EVENTS(object)                                         \
	"{\"events\":[{\"tombstone\":false,\"object\":" object \
	"}],\"at_rev\":7}"

/* Of the object "x" between two that can be read. */
static const struct {
	const char *name;
	const char *object;
	bool has_name;
	bool has_spec;
} cases[] = {
    {"readable", GOOD("x"), true, true},
    {"a lone surrogate", BAD("x", "{\"a\":\"\\udcff\"}"), true, false},
    {"half of a pair", BAD("x", "{\"a\":\"\\ud83d\"}"), true, false},
    {"bytes that are not UTF-8", BAD("x", "{\"a\":\"\xc3\x28\"}"), true, false},
    {"a number too large", BAD("x", "{\"a\":1e999}"), true, false},
    {"an integer too large", BAD("x", "{\"a\":9223372036854775808}"), true,
	false},
    {"NUL in a key", BAD("x", "{\"a\\u0000\":1}"), true, false},
    {"a line end in a string", BAD("x", "{\"a\":\"b\nc\"}"), true, false},
    {"no value JSON knows", BAD("x", "{\"a\":NaN}"), true, false},
    {"brackets in a string", BAD("x", "{\"a\":\"]}\\\"[\\udcff\"}"), true,
	false},
    {"keys twice", BAD("x", "{\"a\":1,\"a\":2}"), true, true},
    {"an unreadable name", BAD("\\udcff", "{}"), false, true},
    {"NUL in the name", BAD("x\\u0000y", "{}"), false, true},
    {"an empty name", BAD("", "{}"), false, true},
    {"unreadable metadata beside the name",
	"{\"meta\":{\"name\":\"x\",\"a\":1e999},\"spec\":{}}", true, true},
    {"no object", "1e999", false, false},
    {"arrays that are no objects", "[[[1e999]]]", false, false},
};

static void
check_object(const json_t *object, size_t i)
{
	const char *name = store_body_object_name(object);

	if ((name != NULL) != cases[i].has_name ||
	    (json_object_get(object, "spec") != NULL) != cases[i].has_spec)
		fail_msg("%s: name %s, specification %d", cases[i].name, name,
		    json_object_get(object, "spec") != NULL);
	if (name != NULL)
		assert_string_equal(name, "x");
}

static void
an_unreadable_object_hides_no_other(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf(
		    LIST(GOOD("a") " , %s , " GOOD("z")), cases[i].object);
		json_t *body = store_body_parse(text, strlen(text));
		const json_t *items = json_object_get(body, "items");

		if (json_array_size(items) != 3)
			fail_msg("%s: %zu items", cases[i].name,
			    json_array_size(items));
		assert_string_equal(
		    store_body_object_name(json_array_get(items, 0)), "a");
		check_object(json_array_get(items, 1), i);
		assert_non_null(
		    json_object_get(json_array_get(items, 2), "spec"));
		assert_true(json_is_true(json_object_get(body, "has_more")));
		assert_int_equal(
		    json_integer_value(json_object_get(body, "at_rev")), 7);
		assert_string_equal(store_body_last_name(items), "z");
		json_decref(body);
		g_free(text);
	}
}

static void
an_unreadable_object_hides_no_event(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf(EVENTS("%s"), cases[i].object);
		json_t *body = store_body_parse(text, strlen(text));
		const json_t *event =
		    json_array_get(json_object_get(body, "events"), 0);

		check_object(json_object_get(event, "object"), i);
		assert_non_null(json_object_get(event, "tombstone"));
		assert_int_equal(
		    json_integer_value(json_object_get(body, "at_rev")), 7);
		json_decref(body);
		g_free(text);
	}
}

/* The next page is asked for by the last name that can be read. */
static void
a_page_ends_with_a_readable_name(void **state)
{
	static const struct {
		const char *text;
		const char *last; /* NULL: there is none */
	} pages[] = {
	    {LIST(GOOD("a") "," GOOD("b")), "b"},
	    {LIST(GOOD("a") "," BAD("\\udcff", "{}")), "a"},
	    {LIST(GOOD("a") ",1e999," BAD("b\\u0000c", "{}")), "a"},
	    {LIST(GOOD("a") "," GOOD("")), "a"},
	    {LIST(BAD("\\udcff", "{}")), NULL},
	    {LIST(GOOD("")), NULL},
	    {LIST(""), NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		json_t *body =
		    store_body_parse(pages[i].text, strlen(pages[i].text));
		const char *last =
		    store_body_last_name(json_object_get(body, "items"));

		if (g_strcmp0(last, pages[i].last) != 0)
			fail_msg("page %zu ends with %s", i, last);
		json_decref(body);
	}
}

/* A body that was cut would lack objects, which would count as removed. */
static void
a_cut_body_is_none(void **state)
{
	const char *whole = LIST(GOOD("a") "," BAD("x", "{\"a\":1e999}"));

	for (size_t size = 0; size < strlen(whole); size++)
		assert_null(store_body_parse(whole, size));
}

/* Nesting deeper than the stack would bear, wherever it stands. */
static void
deep_nesting_hides_no_object(void **state)
{
	enum { DEPTH = 1000000 };
	static const char *const openings[] = {
	    "[", "{\"object\":", "{\"meta\":", "[{\"items\":"};

	for (size_t i = 0; i < G_N_ELEMENTS(openings); i++) {
		GString *text = g_string_new("{\"items\":[" GOOD("a") ",");
		json_t *body;

		for (int j = 0; j < DEPTH; j++)
			g_string_append(text, openings[i]);
		g_string_append(text, "1");
		for (int j = 0; j < DEPTH; j++)
			g_string_append(text,
			    openings[i][0] == '{'	? "}"
				: openings[i][1] == '{' ? "}]"
							: "]");
		g_string_append(text, "," GOOD("z") "],\"at_rev\":7}");
		body = store_body_parse(text->str, text->len);
		assert_int_equal(
		    json_array_size(json_object_get(body, "items")), 3);
		assert_string_equal(
		    store_body_last_name(json_object_get(body, "items")), "z");
		json_decref(body);
		g_string_free(text, TRUE);
	}
}

/* A response that was cut or changed anywhere. */
static void
any_bytes_are_read_or_refused(void **state)
{
	const char *whole = LIST(GOOD("a") "," BAD("x", "{\"a\":1e999}"));
	size_t size = strlen(whole);
	GRand *random = g_rand_new_with_seed(1);

	for (size_t i = 0; i < size; i++)
		json_decref(store_body_parse(whole, i));
	for (int i = 0; i < 20000; i++) {
		char *copy = g_strdup(whole);

		for (int j = 0; j < 3; j++)
			copy[g_rand_int_range(random, 0, (gint32)size)] =
			    "{}[]\"\\,:1e\xff\0"[g_rand_int_range(
				random, 0, 13)];
		json_decref(store_body_parse(copy, size));
		g_free(copy);
	}
	g_rand_free(random);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(an_unreadable_object_hides_no_other),
	    cmocka_unit_test(an_unreadable_object_hides_no_event),
	    cmocka_unit_test(a_cut_body_is_none),
	    cmocka_unit_test(a_page_ends_with_a_readable_name),
	    cmocka_unit_test(deep_nesting_hides_no_object),
	    cmocka_unit_test(any_bytes_are_read_or_refused),
	};

	return RUN_TESTS(argc, argv, tests);
}
