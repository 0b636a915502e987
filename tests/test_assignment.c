/* Tests the JSON form of the assignment: malformed documents, and those whose
 * shares exceed a limit, must be refused; parsing and printing must give the
 * same text again. */
#include "lib/runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/assignment.h"
#include "bulrushwell/error.h"

#define TOKEN "\"token\":\"0123456789abcdef0123456789abcdef\""
#define DOCUMENT_START "{\"cell\":\"muscat\"," TOKEN ","
#define HOLDER(node, incarnation, slots)                        \
	"{\"node\":\"" node "\",\"incarnation\":\"" incarnation \
	"\",\"slots\":" slots ",\"connections\":10}"
#define SERVICE(name, holders)                                      \
	"{\"service\":\"" name "\",\"slots\":2,\"connections\":25," \
	"\"holders\":[" holders "]}"
#define MEMBER(node, incarnation, units)                        \
	"{\"node\":\"" node "\",\"incarnation\":\"" incarnation \
	"\",\"units\":\"" units "\"}"
#define DOCUMENT(members, services)                                            \
	DOCUMENT_START "\"members\":[" members "],\"services\":[" services "]" \
		       "}"
#define DOCUMENT_WITH_HOLDERS(holders) \
	DOCUMENT("", SERVICE("slotplan", holders))

static void
malformed_documents_are_refused(void **state)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
	    {DOCUMENT("", ""), true},
	    {DOCUMENT(MEMBER("a", "1", "64"), SERVICE("slotplan", "")), true},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a", "18446744073709551615", "1")),
		true},
	    {DOCUMENT_WITH_HOLDERS(
		 HOLDER("a", "1", "1") "," HOLDER("b", "1", "1")),
		true},
	    {DOCUMENT_WITH_HOLDERS(
		 HOLDER("a", "1", "1") "," HOLDER("a", "2", "1")),
		true},
	    {"", false},
	    {"[]", false},
	    {"null", false},
	    {DOCUMENT("", "") "x", false},
	    {"{\"cell\":\"muscat\"," TOKEN ",\"members\":[]}", false},
	    {DOCUMENT_START "\"members\":[],\"services\":[],\"more\":1}",
		false},
	    {DOCUMENT_START "\"members\":[],\"services\":[],\"services\":[]}",
		false},
	    {DOCUMENT_START "\"members\":{},\"services\":[]}", false},
	    {DOCUMENT_START "\"members\":[],\"other\":[]}", false},
	    {"{\"cell\":\"Muscat\"," TOKEN ",\"members\":[],\"services\":[]}",
		false},
	    {"{\"cell\":\"muscat\",\"token\":\"12\",\"members\":[],"
	     "\"services\":[]}",
		false},
	    {DOCUMENT(MEMBER("a", "1", "18446744073709551616"), ""), false},
	    {DOCUMENT(MEMBER("a", "1", "33") "," MEMBER("b", "1", "32"), ""),
		false},
	    {DOCUMENT(MEMBER("b", "1", "1") "," MEMBER("a", "1", "1"), ""),
		false},
	    {DOCUMENT(MEMBER("a", "1", "1") "," MEMBER("a", "1", "1"), ""),
		false},
	    {DOCUMENT(MEMBER("a", "1", "-1"), ""), false},
	    {DOCUMENT(MEMBER("a", "1", "1.0"), ""), false},
	    {DOCUMENT(MEMBER("a", "1", "01"), ""), false},
	    {DOCUMENT("7", ""), false},
	    {DOCUMENT("", SERVICE("b", "") "," SERVICE("a", "")), false},
	    {DOCUMENT("", SERVICE("a", "") "," SERVICE("a", "")), false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a", "1", "3")), false},
	    {DOCUMENT_WITH_HOLDERS(
		 HOLDER("a", "1", "2") "," HOLDER("b", "1", "1")),
		false},
	    {DOCUMENT_WITH_HOLDERS(
		 HOLDER("a", "1", "1") "," HOLDER("a", "1", "1")),
		false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a", "0", "1")), false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a", "01", "1")), false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a", "-1", "1")), false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a", " 1", "1")), false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a", "18446744073709551616", "1")),
		false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a\\u0000b", "1", "1")), false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("", "1", "1")), false},
	    {DOCUMENT_WITH_HOLDERS(
		 "{\"node\":\"a\",\"incarnation\":1,\"slots\":1,"
		 "\"connections\":1}"),
		false},
	    {DOCUMENT_WITH_HOLDERS(HOLDER("a", "1", "0") "," HOLDER(
		 "b", "1", "0") "," HOLDER("c", "1", "0") "," HOLDER("d", "1",
		 "0") "," HOLDER("e", "1", "0")),
		false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assignment_t *assignment;
		char message[128] = "";
		int error = assignment_parse(slice_from(cases[i].text), 7,
		    &assignment, message, sizeof(message));

		if ((error == 0) != cases[i].valid)
			fail_msg("case %zu %s: %s", i, cases[i].text, message);
		assert_true(error == 0 || error == BW_E_INVALID);
		assert_int_equal(assignment != NULL, cases[i].valid);
		assert_int_equal(message[0] == '\0', cases[i].valid);
		assignment_destroy(assignment);
	}
}

static void
print_and_parse_agree(void **state)
{
	const char *text = DOCUMENT(MEMBER("a", "1", "4294967295") "," MEMBER(
					"b", "2", "18446744069414584320"),
	    SERVICE("slotplan",
		HOLDER("b", "9007199254740993", "1") "," HOLDER(
		    "a", "1", "1")));
	assignment_t *assignment;
	char message[128];
	char *serialized;

	assert_int_equal(assignment_parse(slice_from(text), 7, &assignment,
			     message, sizeof(message)),
	    0);
	assert_int_equal(assignment->version, 7);
	assert_int_equal(assignment_unit_count(assignment, "b", 2), 32);
	assert_int_equal(assignment_unit_count(assignment, "b", 1), 0);
	serialized = assignment_serialize(assignment);
	assert_string_equal(serialized, text);
	free(serialized);
	assignment_destroy(assignment);
}

static void
services_stay_sorted(void **state)
{
	static const char *names[] = {"m", "a", "z", "b", "y"};
	assignment_t *assignment = assignment_create("muscat");
	assignment_t *copy;
	char message[128];

	for (size_t i = 0; i < 5; i++)
		assignment_add_service(assignment, names[i], 2, 25);
	assert_int_equal(
	    assignment_check(assignment, message, sizeof(message)), 0);
	copy = assignment_copy(assignment);
	assignment_destroy(assignment);
	for (size_t i = 0; i < 5; i++)
		assert_string_equal(
		    assignment_find_service(copy, names[i])->service, names[i]);
	assert_null(assignment_find_service(copy, "c"));
	assignment_destroy(copy);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(malformed_documents_are_refused),
	    cmocka_unit_test(print_and_parse_agree),
	    cmocka_unit_test(services_stay_sorted),
	};

	return RUN_TESTS(argc, argv, tests);
}
