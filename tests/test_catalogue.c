/* Tests the catalogue. Detects an object with a wrong, unknown, repeated or
 * oversized value that is adopted, an error message that does not name the
 * field, an older version that replaces a newer one, and a published version
 * whose shard map changes. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/catalogue.h"
#include "bulrushwell/error.h"

#define SERVER(name, port)                                    \
	"{'server':'" name "','address':'10.0.0.1:" port "'," \
	"'incarnation':'i1','data_centre':'dc-1','state':'live'}"
#define SERVICE(fields) "{'service':'slotplan'," fields "}"
#define SERVERS(list) "'slots':2,'connections':25,'servers':[" list "]"
#define INDEX(fields) "{'index':'parts'," fields "}"
#define VERSION(number, list) "{'version':" number ",'shards':[" list "]}"
#define SINGLE_VERSION(number, list) \
	INDEX("'current':" number ",'versions':[" VERSION(number, list) "]")

typedef struct {
	const char *text;     /* JSON with ' in place of " */
	const char *expected; /* part of the error message; NULL: adopted */
} object_case_t;

static const object_case_t service_cases[] = {
    {SERVICE(SERVERS(SERVER("s1", "80") "," SERVER("s2", "81"))), NULL},
    {SERVICE(SERVERS("")), NULL},
    {"[]", "service is not an object"},
    {"{'service':'slotplan'", "line 1"},
    {SERVICE(SERVERS("")) "x", "line 1"},
    {SERVICE("'slots':2,'connections':25"), "lacks the field \"servers\""},
    {SERVICE("'weight':1," SERVERS("")), "unknown field \"weight\"; remove"},
    {SERVICE("'slots':2," SERVERS("")), "duplicate"},
    {"{'service':'other'," SERVERS("") "}", "make them equal"},
    {"{'service':7," SERVERS("") "}", "service.service is not a name"},
    {SERVICE("'slots':0,'connections':25,'servers':[]"), "service.slots"},
    {SERVICE("'slots':1.5,'connections':25,'servers':[]"), "service.slots"},
    {SERVICE("'slots':10001,'connections':25,'servers':[]"), "to 10000"},
    {SERVICE("'slots':9,'connections':8,'servers':[]"), "at least 9"},
    {SERVICE("'slots':2,'connections':25,'servers':{}"), "service.servers"},
    {SERVICE(SERVERS("7")), "service.servers[0] is not an object"},
    {SERVICE(SERVERS("{'server':'s1'}")), "lacks the field \"address\""},
    {SERVICE(SERVERS(SERVER("s1", "0"))), "servers[0].address is not numeric"},
    {SERVICE(SERVERS(SERVER("S", "80"))), "servers[0].server is not a name"},
    {SERVICE(SERVERS(SERVER("s1", "80") "," SERVER("s1", "81"))),
	"servers[1].server repeats"},
    {SERVICE(SERVERS(SERVER("s1", "80") "," SERVER("s2", "80"))),
	"servers[1].address repeats"},
    {SERVICE(SERVERS("{'server':'s','address':'10.0.0.1:8','incarnation':'i',"
		     "'data_centre':'d','state':'gone'}")),
	"servers[0].state is unknown; use"},
};

static const object_case_t index_cases[] = {
    {SINGLE_VERSION("7", "'a','b','a'"), NULL},
    {SINGLE_VERSION("7", ""),
	"versions[0].shards is not an array of 1 to 4096"},
    {SINGLE_VERSION("7", "'a',3"),
	"versions[0].shards[1] is not a service name"},
    {SINGLE_VERSION("0", "'a'"), "index.current is out of range"},
    {INDEX("'current':1,'versions':[]"), "index.versions is not an array"},
    {INDEX("'current':2,'versions':[" VERSION("1", "'a'") "]"),
	"which index.versions does not list"},
    {INDEX("'current':1,'versions':[" VERSION("1", "'a'") "," VERSION(
	 "1", "'b'") "]"),
	"versions[1].version repeats 1"},
    {INDEX("'current':1,'versions':[" VERSION("1", "'a'") "],'x':null"),
	"unknown field \"x\""},
};

typedef int (*adopt_t)(catalogue_t *catalogue, const char *name, slice_t text,
    uint64_t version, char *message, size_t message_size);

static int
adopt(catalogue_t *catalogue, adopt_t function, const char *name,
    const char *text, uint64_t version, char message[200])
{
	char *json = g_strdelimit(g_strdup(text), "'", '"');
	int error;

	message[0] = '\0';
	error =
	    function(catalogue, name, slice_from(json), version, message, 200);
	g_free(json);
	return error;
}

static void
check_cases(adopt_t function, const char *name, const object_case_t *cases,
    size_t count)
{
	for (size_t i = 0; i < count; i++) {
		catalogue_t *catalogue = catalogue_create();
		bool refused = cases[i].expected != NULL;
		char message[200];
		int error =
		    adopt(catalogue, function, name, cases[i].text, 1, message);

		if (error != (refused ? BW_E_INVALID : 0) ||
		    (refused && strstr(message, cases[i].expected) == NULL))
			fail_msg(
			    "%s: %d \"%s\"", cases[i].text, error, message);
		assert_int_equal(catalogue_service_count(catalogue) +
			catalogue_index_count(catalogue),
		    refused ? 0 : 1);
		catalogue_destroy(catalogue);
	}
}

static void
wrong_objects_are_refused_by_field(void **state)
{
	check_cases(catalogue_adopt_service, "slotplan", service_cases,
	    G_N_ELEMENTS(service_cases));
	check_cases(catalogue_adopt_index, "parts", index_cases,
	    G_N_ELEMENTS(index_cases));
}

static void
oversized_objects_are_refused(void **state)
{
	catalogue_t *catalogue = catalogue_create();
	GString *text = g_string_new("{'index':'parts','current':1,'versions':["
				     "{'version':1,'shards':['a'");
	char message[200];

	for (int i = 1; i <= CATALOGUE_MAX_SHARDS; i++)
		g_string_append(text, ",'a'");
	g_string_append(text, "]}]}");
	assert_int_equal(adopt(catalogue, catalogue_adopt_index, "parts",
			     text->str, 1, message),
	    BW_E_INVALID);
	assert_non_null(strstr(message, "1 to 4096"));
	g_string_set_size(text, CATALOGUE_MAX_OBJECT_SIZE + 1);
	assert_int_equal(catalogue_adopt_index(catalogue, "parts",
			     (slice_t){text->str, text->len}, 1, message, 200),
	    BW_E_INVALID);
	assert_non_null(strstr(message, "shorten it"));
	g_string_free(text, TRUE);
	catalogue_destroy(catalogue);
}

static void
only_higher_versions_of_an_index_are_adopted(void **state)
{
	static const struct {
		uint64_t object_version;
		const char *text;
		int error;
		uint64_t current_version;
		uint32_t shards;
	} steps[] = {
	    {5, SINGLE_VERSION("7", "'a','b'"), 0, 7, 2},
	    {5, SINGLE_VERSION("8", "'a'"), BW_E_STALE, 7, 2},
	    {4, SINGLE_VERSION("8", "'a'"), BW_E_STALE, 7, 2},
	    {6, SINGLE_VERSION("8", "3"), BW_E_INVALID, 7, 2},
	    {6, SINGLE_VERSION("7", "'a','c'"), BW_E_INVALID, 7, 2},
	    {6, SINGLE_VERSION("7", "'ab'"), BW_E_INVALID, 7, 2},
	    {6,
		INDEX("'current':8,'versions':[" VERSION(
		    "7", "'a','b'") "," VERSION("8", "'a','b','c'") "]"),
		0, 8, 3},
	    {7, SINGLE_VERSION("7", "'a','b'"), 0, 7, 2}, /* rolled back */
	};
	catalogue_t *catalogue = catalogue_create();
	shard_map_t *first = NULL;
	char message[200];

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		shard_map_t *map;

		assert_int_equal(
		    adopt(catalogue, catalogue_adopt_index, "parts",
			steps[i].text, steps[i].object_version, message),
		    steps[i].error);
		map = catalogue_current_map(catalogue, "parts");
		assert_int_equal(
		    shard_map_version(map), steps[i].current_version);
		assert_int_equal(shard_map_count(map), steps[i].shards);
		if (first == NULL)
			first = shard_map_ref(map);
	}
	assert_null(catalogue_current_map(catalogue, "other"));
	catalogue_destroy(catalogue);
	assert_string_equal(shard_map_service(first, 1), "b");
	assert_null(shard_map_service(first, 2));
	shard_map_unref(first);
}

static void
services_are_sorted_and_replaced(void **state)
{
	catalogue_t *catalogue = catalogue_create();
	char message[200], text[200];
	const char *names[] = {"b", "a", "c"};

	for (uint64_t i = 0; i < 3; i++) {
		snprintf(text, sizeof(text), "{'service':'%s',%s}", names[i],
		    SERVERS(SERVER("s1", "80")));
		assert_int_equal(adopt(catalogue, catalogue_adopt_service,
				     names[i], text, i + 1, message),
		    0);
	}
	assert_string_equal(catalogue_service_at(catalogue, 0)->service, "a");
	assert_string_equal(catalogue_service_at(catalogue, 2)->service, "c");
	assert_null(catalogue_service_at(catalogue, 3));
	assert_int_equal(adopt(catalogue, catalogue_adopt_service, "c",
			     "{'service':'c'," SERVERS("") "}", 3, message),
	    BW_E_STALE);
	assert_int_equal(
	    catalogue_find_service(catalogue, "c")->server_count, 1);
	assert_int_equal(adopt(catalogue, catalogue_adopt_service, "c",
			     "{'service':'c'," SERVERS("") "}", 4, message),
	    0);
	assert_int_equal(
	    catalogue_find_service(catalogue, "c")->server_count, 0);
	assert_int_equal(catalogue_service_count(catalogue), 3);
	catalogue_destroy(catalogue);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(wrong_objects_are_refused_by_field),
	    cmocka_unit_test(oversized_objects_are_refused),
	    cmocka_unit_test(only_higher_versions_of_an_index_are_adopted),
	    cmocka_unit_test(services_are_sorted_and_replaced),
	};

	return RUN_TESTS(argc, argv, tests);
}
