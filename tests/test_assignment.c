/* Guards the assignment document: a malformed or overcommitted one that is
 * accepted, and text that does not survive parse and print. */
#include "lib/runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/assignment.h"
#include "bulrushwell/error.h"

#define TOKEN "\"token\":\"0123456789abcdef0123456789abcdef\""
#define HEAD "{\"cell\":\"muscat\"," TOKEN ","
#define HOLDER(node, incarnation, slots)                        \
	"{\"node\":\"" node "\",\"incarnation\":\"" incarnation \
	"\",\"slots\":" slots ",\"connections\":10}"
#define SERVICE(name, holders)                                      \
	"{\"service\":\"" name "\",\"slots\":2,\"connections\":25," \
	"\"holders\":[" holders "]}"
#define MEMBER(node, incarnation, units)                        \
	"{\"node\":\"" node "\",\"incarnation\":\"" incarnation \
	"\",\"units\":\"" units "\"}"
#define WHOLE(members, services) \
	HEAD "\"members\":[" members "],\"services\":[" services "]}"
#define HOLDERS(holders) WHOLE("", SERVICE("slotplan", holders))

static void
malformed_documents_are_refused(void **state)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
	    {WHOLE("", ""), true},
	    {WHOLE(MEMBER("a", "1", "64"), SERVICE("slotplan", "")), true},
	    {HOLDERS(HOLDER("a", "18446744073709551615", "1")), true},
	    {HOLDERS(HOLDER("a", "1", "1") "," HOLDER("b", "1", "1")), true},
	    {HOLDERS(HOLDER("a", "1", "1") "," HOLDER("a", "2", "1")), true},
	    {"", false},
	    {"[]", false},
	    {"null", false},
	    {WHOLE("", "") "x", false},
	    {"{\"cell\":\"muscat\"," TOKEN ",\"members\":[]}", false},
	    {HEAD "\"members\":[],\"services\":[],\"more\":1}", false},
	    {HEAD "\"members\":[],\"services\":[],\"services\":[]}", false},
	    {HEAD "\"members\":{},\"services\":[]}", false},
	    {HEAD "\"members\":[],\"other\":[]}", false},
	    {"{\"cell\":\"Muscat\"," TOKEN ",\"members\":[],\"services\":[]}",
		false},
	    {"{\"cell\":\"muscat\",\"token\":\"12\",\"members\":[],"
	     "\"services\":[]}",
		false},
	    {WHOLE(MEMBER("a", "1", "18446744073709551616"), ""), false},
	    {WHOLE(MEMBER("a", "1", "33") "," MEMBER("b", "1", "32"), ""),
		false},
	    {WHOLE(MEMBER("b", "1", "1") "," MEMBER("a", "1", "1"), ""), false},
	    {WHOLE(MEMBER("a", "1", "1") "," MEMBER("a", "1", "1"), ""), false},
	    {WHOLE(MEMBER("a", "1", "-1"), ""), false},
	    {WHOLE(MEMBER("a", "1", "1.0"), ""), false},
	    {WHOLE(MEMBER("a", "1", "01"), ""), false},
	    {WHOLE("7", ""), false},
	    {WHOLE("", SERVICE("b", "") "," SERVICE("a", "")), false},
	    {WHOLE("", SERVICE("a", "") "," SERVICE("a", "")), false},
	    {HOLDERS(HOLDER("a", "1", "3")), false},
	    {HOLDERS(HOLDER("a", "1", "2") "," HOLDER("b", "1", "1")), false},
	    {HOLDERS(HOLDER("a", "1", "1") "," HOLDER("a", "1", "1")), false},
	    {HOLDERS(HOLDER("a", "0", "1")), false},
	    {HOLDERS(HOLDER("a", "01", "1")), false},
	    {HOLDERS(HOLDER("a", "-1", "1")), false},
	    {HOLDERS(HOLDER("a", " 1", "1")), false},
	    {HOLDERS(HOLDER("a", "18446744073709551616", "1")), false},
	    {HOLDERS(HOLDER("a\\u0000b", "1", "1")), false},
	    {HOLDERS(HOLDER("", "1", "1")), false},
	    {HOLDERS("{\"node\":\"a\",\"incarnation\":1,\"slots\":1,"
		     "\"connections\":1}"),
		false},
	    {HOLDERS(HOLDER("a", "1", "0") "," HOLDER("b", "1", "0") "," HOLDER(
		 "c", "1", "0") "," HOLDER("d", "1", "0") "," HOLDER("e", "1",
		 "0")),
		false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assignment_t *assignment;
		char why[128] = "";
		int error = assignment_parse(slice_from(cases[i].text), 7,
		    &assignment, why, sizeof(why));

		if ((error == 0) != cases[i].valid)
			fail_msg("case %zu %s: %s", i, cases[i].text, why);
		assert_true(error == 0 || error == BW_E_INVALID);
		assert_int_equal(assignment != NULL, cases[i].valid);
		assert_int_equal(why[0] == '\0', cases[i].valid);
		assignment_destroy(assignment);
	}
}

static void
print_and_parse_agree(void **state)
{
	const char *text = WHOLE(MEMBER("a", "1", "4294967295") "," MEMBER(
				     "b", "2", "18446744069414584320"),
	    SERVICE("slotplan",
		HOLDER("b", "9007199254740993", "1") "," HOLDER(
		    "a", "1", "1")));
	assignment_t *assignment;
	char why[128];
	char *printed;

	assert_int_equal(assignment_parse(slice_from(text), 7, &assignment, why,
			     sizeof(why)),
	    0);
	assert_int_equal(assignment->version, 7);
	assert_int_equal(assignment_units(assignment, "b", 2), 32);
	assert_int_equal(assignment_units(assignment, "b", 1), 0);
	printed = assignment_print(assignment);
	assert_string_equal(printed, text);
	free(printed);
	assignment_destroy(assignment);
}

static void
services_stay_sorted(void **state)
{
	static const char *names[] = {"m", "a", "z", "b", "y"};
	assignment_t *assignment = assignment_create("muscat");
	assignment_t *copy;
	char why[128];

	for (size_t i = 0; i < 5; i++)
		assignment_add_service(assignment, names[i], 2, 25);
	assert_int_equal(assignment_check(assignment, why, sizeof(why)), 0);
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
