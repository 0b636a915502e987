/* Guards the tool: a reservation reported as not run that may have run; a
 * partial answer shown as complete; an edit that changes more than was named;
 * a key repeated in a message. */
#include "lib/runner.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/contract.h"
#include "bulrushwell/error.h"
#include "bulrushwell/tool_contract.h"
#include "bulrushwell/tool_options.h"
#include "bulrushwell/tool_render.h"

#define MAX_WORDS 24
#define OURS "ours"

static int
parse_line(const char *line, tool_options_t *options, char *why, size_t size)
{
	char **words = g_strsplit(line, " ", MAX_WORDS);
	int result = tool_options_parse(
	    (int)g_strv_length(words), words, options, why, size);

	g_strfreev(words);
	return result;
}

#define ON " --platform 127.0.0.1:9300"
#define AT " --caller-address 127.0.0.1:9000 --key hunter2"

static const struct {
	const char *line;
	const char *why; /* a part of the message; NULL when accepted */
} line_cases[] = {
    {"bulrushwell --help", NULL},
    {"bulrushwell contract --help", NULL},
    {"bulrushwell contract create --help", NULL},
    {"bulrushwell query --help", NULL},
    {"bulrushwell contract list" ON, NULL},
    {"bulrushwell contract show llanberis" ON " --json", NULL},
    {"bulrushwell contract create --customer a --caller b --caller c" ON, NULL},
    {"bulrushwell contract create --file f.json" ON, NULL},
    {"bulrushwell contract update a --rate-per-s 3" ON, NULL},
    {"bulrushwell contract retire a --wait --node 127.0.0.1:9100" ON, NULL},
    {"bulrushwell status --node 127.0.0.1:9100", NULL},
    {"bulrushwell query boards --body x --deadline-ms 100" AT, NULL},
    {"bulrushwell reserve slotplan-01 --key-id 1796362000-x" AT, NULL},
    {"bulrushwell", "no such command"},
    {"bulrushwell frobnicate", "no such command"},
    {"bulrushwell contract", "no such command"},
    {"bulrushwell contract delete a" ON, "no such command"},
    {"bulrushwell contract list", "--platform is missing"},
    {"bulrushwell contract list extra" ON, "too many words"},
    {"bulrushwell contract show" ON, "CUSTOMER is missing"},
    {"bulrushwell contract show ../x" ON, "CUSTOMER is not a name"},
    {"bulrushwell contract show a b" ON, "too many words"},
    {"bulrushwell contract show a --wait" ON, "--wait"},
    {"bulrushwell contract create" ON, "--customer is missing"},
    {"bulrushwell contract create --customer A" ON, "--customer"},
    {"bulrushwell contract create --customer a --customer b" ON, "twice"},
    {"bulrushwell contract create --customer a --add-caller b" ON,
	"--add-caller"},
    {"bulrushwell contract update a" ON, "nothing is named"},
    {"bulrushwell contract update a --as gwen" ON, "nothing is named"},
    {"bulrushwell contract retire a --wait" ON, "--node is missing"},
    {"bulrushwell contract list --json=yes" ON, "takes no value"},
    {"bulrushwell contract list --platform localhost:1", "--platform"},
    {"bulrushwell status", "--node is missing"},
    {"bulrushwell status --node n1", "--node"},
    {"bulrushwell query boards --key hunter2", "--caller-address is missing"},
    {"bulrushwell query boards --caller-address 127.0.0.1:1",
	"--key is missing"},
    {"bulrushwell query boards --key-id hunter2" AT, "--key-id"},
    {"bulrushwell query boards --keys=hunter2" AT, "--keys;"},
    {"bulrushwell query boards --body x --body-file y" AT, "give one of them"},
    {"bulrushwell query boards --deadline-ms 0" AT, "--deadline-ms"},
    {"bulrushwell query boards --deadline-ms 10001" AT, "--deadline-ms"},
    {"bulrushwell query boards --deadline-ms 1e2" AT, "--deadline-ms"},
    {"bulrushwell reserve s --key-id hunter2\r\nX-A:b" AT, "--key-id"},
};

static void
command_lines_are_checked(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(line_cases); i++) {
		const char *wanted = line_cases[i].why;
		tool_options_t options;
		char why[512] = "";
		int error =
		    parse_line(line_cases[i].line, &options, why, sizeof(why));

		if ((error == 0) != (wanted == NULL) ||
		    (error != 0 && strstr(why, wanted) == NULL))
			fail_msg(
			    "'%s': %d '%s'", line_cases[i].line, error, why);
		assert_null(strstr(why, "hunter2"));
		assert_true(error == 0 || strchr(why, ';') != NULL);
		tool_options_clear(&options);
	}
}

static void
environment_gives_what_flags_leave_out(void **state)
{
	tool_options_t options;
	char why[512];

	g_setenv("BULRUSHWELL_PLATFORM", "127.0.0.1:1", TRUE);
	assert_int_equal(
	    parse_line("bulrushwell contract list", &options, why, sizeof(why)),
	    0);
	assert_string_equal(
	    tool_options_text(&options, TOOL_PLATFORM), "127.0.0.1:1");
	tool_options_clear(&options);
	assert_int_equal(parse_line("bulrushwell contract list" ON, &options,
			     why, sizeof(why)),
	    0);
	assert_string_equal(
	    tool_options_text(&options, TOOL_PLATFORM), "127.0.0.1:9300");
	tool_options_clear(&options);
	g_setenv("BULRUSHWELL_PLATFORM", "hunter2", TRUE);
	assert_int_equal(
	    parse_line("bulrushwell contract list", &options, why, sizeof(why)),
	    BW_E_INVALID);
	assert_null(strstr(why, "hunter2"));
	tool_options_clear(&options);
	g_unsetenv("BULRUSHWELL_PLATFORM");
}

static void
help_has_an_example_for_each_command(void **state)
{
	for (tool_command_t i = 0; i < TOOL_COMMANDS; i++) {
		char *help = tool_options_help(i);

		assert_non_null(strstr(help, "Usage: bulrushwell "));
		assert_non_null(strstr(help, "Example:"));
		assert_non_null(strstr(help, "--json"));
		g_free(help);
	}
}

static json_t *
edit(const char *line, json_t *contract, GPtrArray *keys, const char *wanted)
{
	tool_options_t options;
	char why[512] = "", *text;
	int error;

	if (parse_line(line, &options, why, sizeof(why)) != 0)
		fail_msg("%s: %s", line, why);
	error = tool_contract_edit(contract, &options, keys, why, sizeof(why));
	tool_options_clear(&options);
	if (error == 0) {
		tool_contract_sign(contract, "in_force", OURS, "Gwen");
		error = tool_contract_print(contract, &text, why, sizeof(why));
		if (error == 0)
			free(text);
	}
	if ((error == 0) != (wanted == NULL) ||
	    (wanted != NULL && strstr(why, wanted) == NULL))
		fail_msg("%s: '%s'", line, why);
	return contract;
}

#define CREATE "bulrushwell contract create --platform 127.0.0.1:1 --customer a"
#define WHOLE                                                        \
	CREATE " --caller desk --may-query b --may-reserve s "       \
	       "--rate-per-s 1.5 --concurrency 2 --deadline-ms 100 " \
	       "--repeat-window-h 3"

static void
created_contracts_are_whole(void **state)
{
	static const struct {
		const char *line;
		const char *why;
	} cases[] = {
	    {WHOLE, NULL},
	    {CREATE " --caller d --may-query b --rate-per-s 1 --concurrency 1 "
		    "--deadline-ms 99",
		NULL},
	    {CREATE, "'callers' is missing"},
	    {CREATE " --caller d --caller d", "'d' is in the contract already"},
	    {CREATE " --caller d --may-query b --rate-per-s many",
		"--rate-per-s is not a number"},
	    {CREATE
		" --caller d --may-query b --rate-per-s 1 --concurrency 1.5 "
		"--deadline-ms 99",
		"'concurrency'"},
	    {CREATE
		" --caller d --may-reserve s --rate-per-s 1 --concurrency 1 "
		"--deadline-ms 99",
		"'repeat_window_h' is missing"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *keys = tool_keys_create();

		json_decref(
		    edit(cases[i].line, json_object(), keys, cases[i].why));
		g_ptr_array_unref(keys);
	}
}

static void
only_digests_of_keys_are_stored(void **state)
{
	GPtrArray *keys = tool_keys_create();
	json_t *contract =
	    edit(WHOLE " --caller night", json_object(), keys, NULL);
	char *text = json_dumps(contract, 0);

	assert_int_equal(keys->len, 2);
	for (guint i = 0; i < keys->len; i++) {
		const tool_key_t *key = g_ptr_array_index(keys, i);
		char *digest = g_compute_checksum_for_string(
		    G_CHECKSUM_SHA256, key->key, -1);

		assert_int_equal(strlen(key->key), 64);
		assert_null(strstr(text, key->key));
		assert_non_null(strstr(text, digest));
		g_free(digest);
	}
	free(text);
	json_decref(contract);
	g_ptr_array_unref(keys);
}

#define UPDATE "bulrushwell contract update a --platform 127.0.0.1:1 "

static void
updates_change_only_what_is_named(void **state)
{
	static const struct {
		const char *flags;
		const char *fields; /* that differ afterwards */
		const char *why;
	} cases[] = {
	    {"--rate-per-s 9", "rate_per_s", NULL},
	    {"--concurrency 9", "concurrency", NULL},
	    {"--deadline-ms 900", "deadline_ms", NULL},
	    {"--repeat-window-h 9", "repeat_window_h", NULL},
	    {"--may-query x --may-query y", "may_query", NULL},
	    {"--may-reserve x", "may_reserve", NULL},
	    {"--add-caller night", "callers", NULL},
	    {"--add-caller night --remove-caller desk", "callers", NULL},
	    {"--add-caller desk --remove-caller desk", "callers", NULL},
	    {"--add-caller desk", "", "already"},
	    {"--remove-caller night", "", "is not in the contract"},
	    {"--remove-caller desk", "callers", "'callers' is empty"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *keys = tool_keys_create();
		json_t *before = edit(WHOLE, json_object(), keys, NULL);
		char *line = g_strconcat(UPDATE, cases[i].flags, NULL);
		json_t *after =
		    edit(line, json_deep_copy(before), keys, cases[i].why);
		const char *field;
		json_t *value;

		json_object_foreach (before, field, value) {
			bool same =
			    json_equal(value, json_object_get(after, field));

			if (same == (strcmp(field, cases[i].fields) == 0))
				fail_msg("%s: %s", cases[i].flags, field);
		}
		json_decref(before);
		json_decref(after);
		g_free(line);
		g_ptr_array_unref(keys);
	}
}

#define STATUS(version, nodes, lagging, live)                              \
	"{\"node\":\"n1\",\"contracts\":[{\"customer\":\"a\","             \
	"\"version\":" version ",\"nodes\":" nodes ",\"lagging\":" lagging \
	"}],\"peers\":[{\"node\":\"n2\",\"live\":" live "}]}"

static void
waiting_ends_when_every_live_node_has_it(void **state)
{
	static const struct {
		const char *status;
		const char *lagging;
	} cases[] = {
	    {STATUS("4", "[\"n1\",\"n2\"]", "[]", "true"), ""},
	    {STATUS("5", "[\"n1\",\"n2\"]", "[]", "true"), ""},
	    {STATUS("4", "[\"n1\"]", "[]", "false"), ""},
	    {STATUS("4", "[\"n1\"]", "[\"n2\"]", "true"), "n2"},
	    {STATUS("4", "[\"n1\"]", "[]", "true"), "n2"},
	    {STATUS("3", "[\"n1\",\"n2\"]", "[]", "true"), "n1"},
	    {STATUS("-1", "[]", "[]", "true"), "n1"},
	    {"{\"node\":\"n1\",\"contracts\":[]}", "n1"},
	    {"{}", "this node"},
	    {"[]", "this node"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *status = json_loads(cases[i].status, 0, NULL);
		GString *lagging = g_string_new(NULL);

		assert_non_null(status);
		assert_int_equal(
		    tool_contract_in_force(status, "a", 4, lagging),
		    cases[i].lagging[0] == '\0');
		assert_string_equal(lagging->str, cases[i].lagging);
		g_string_free(lagging, TRUE);
		json_decref(status);
	}
}

#define ERROR(kind, not_run) \
	"{\"error\":{\"kind\":\"" kind "\",\"not_run\":" not_run "}}"
#define COVERAGE(complete, answered, missing)                             \
	"{\"complete\":" complete ",\"coverage\":{\"answered\":" answered \
	",\"total\":3,\"missing\":" missing "}}"

static const struct {
	tool_http_result_t result;
	int status;
	const char *body;
	tool_exit_t query;
	tool_exit_t reserve;
} reply_cases[] = {
    {TOOL_HTTP_NOT_SENT, 0, "", TOOL_UNREACHABLE, TOOL_UNREACHABLE},
    {TOOL_HTTP_LOST, 0, "", TOOL_FAILED, TOOL_UNKNOWN},
    {TOOL_HTTP_LOST, 200, "", TOOL_FAILED, TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 200, "", TOOL_FAILED, TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 200, "[]", TOOL_FAILED, TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 200, COVERAGE("true", "3", "[]"), TOOL_OK,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 200, COVERAGE("false", "3", "[]"), TOOL_PARTIAL,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 200, COVERAGE("true", "2", "[]"), TOOL_PARTIAL,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 200, COVERAGE("true", "3", "[{}]"), TOOL_PARTIAL,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 200, "{\"outcome\":\"done\",\"upstream_status\":200}",
	TOOL_FAILED, TOOL_OK},
    {TOOL_HTTP_ANSWERED, 200, "{\"outcome\":\"done\",\"upstream_status\":409}",
	TOOL_FAILED, TOOL_FAILED},
    {TOOL_HTTP_ANSWERED, 200, "{\"outcome\":\"done\"}", TOOL_FAILED,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 401, ERROR("unauthorised", "true"), TOOL_FORBIDDEN,
	TOOL_FORBIDDEN},
    {TOOL_HTTP_ANSWERED, 403, ERROR("forbidden", "true"), TOOL_FORBIDDEN,
	TOOL_FORBIDDEN},
    {TOOL_HTTP_ANSWERED, 400, ERROR("invalid_request", "true"), TOOL_INVALID,
	TOOL_INVALID},
    {TOOL_HTTP_ANSWERED, 422, ERROR("key_reused", "true"), TOOL_INVALID,
	TOOL_INVALID},
    {TOOL_HTTP_ANSWERED, 429, ERROR("rate_exceeded", "true"), TOOL_NOT_RUN,
	TOOL_NOT_RUN},
    {TOOL_HTTP_ANSWERED, 503, ERROR("stopping", "true"), TOOL_NOT_RUN,
	TOOL_NOT_RUN},
    {TOOL_HTTP_ANSWERED, 503, ERROR("a_newer_kind", "true"), TOOL_NOT_RUN,
	TOOL_NOT_RUN},
    {TOOL_HTTP_ANSWERED, 504, ERROR("outcome_unknown", "false"), TOOL_UNKNOWN,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 504, ERROR("timeout", "false"), TOOL_FAILED,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 503, ERROR("stopping", "false"), TOOL_FAILED,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 502, "<html>bad gateway</html>", TOOL_FAILED,
	TOOL_UNKNOWN},
    {TOOL_HTTP_ANSWERED, 400, "{\"error\":\"text\"}", TOOL_FAILED,
	TOOL_UNKNOWN},
};

static void
replies_have_truthful_exit_codes(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reply_cases); i++) {
		tool_reply_t reply = {
		    .result = reply_cases[i].result,
		    .status = reply_cases[i].status,
		};

		reply.json = json_loads(reply_cases[i].body, 0, NULL);
		if (tool_query_exit(&reply) != reply_cases[i].query ||
		    tool_reserve_exit(&reply) != reply_cases[i].reserve)
			fail_msg("case %zu: %d %d", i, tool_query_exit(&reply),
			    tool_reserve_exit(&reply));
		tool_reply_clear(&reply);
	}
}

static void
render_list(GString *out, const json_t *value)
{
	tool_render_contracts(out, value);
}

static void
render_value(GString *out, const json_t *value)
{
	tool_render_contract(out, 7, value);
}

typedef struct {
	void (*render)(GString *, const json_t *);
	const char *json;
	const char *shown;
} render_case_t;

static const render_case_t render_cases[] = {
    {render_value,
	"{\"customer\":\"a\",\"state\":\"in_force\",\"callers\":[{\"name\":"
	"\"desk\"}],\"changed_by\":\"gwen\",\"rate_per_s\":1.5}",
	"Contract of a, version 7, in force; last changed by gwen."},
    {render_value, "{\"state\":\"retired\"}", "ended for good"},
    {render_list, "{\"objects\":[]}", "There is no contract."},
    {render_list,
	"{\"objects\":[{\"name\":\"a\",\"version\":2,\"value\":{\"state\":"
	"\"retired\",\"changed_by\":\"gwen\"}}]}",
	"a: version 2, retired, last changed by gwen"},
    {tool_render_status,
	"{\"node\":\"n1\",\"platform\":{\"reachable\":false,\"heard_ms\":1500}"
	"}",
	"The platform does not answer"},
    {tool_render_status, STATUS("4", "[\"n1\"]", "[\"n2\"]", "true"),
	"not yet on: n2."},
    {tool_render_status, STATUS("4", "[\"n1\"]", "[]", "false"),
	"Peer n2 in data centre ? does not answer"},
    {tool_render_status,
	"{\"services\":[{\"service\":\"s\",\"serving\":null}]}",
	"Service s is served by no node."},
    {tool_render_query, COVERAGE("true", "3", "[]"),
	"The answer is complete: 3 of 3 shards"},
    {tool_render_query,
	COVERAGE("false", "2", "[{\"shard\":1,\"reason\":\"timeout\"}]"),
	"Missing: shard 1, no answer in time."},
    {tool_render_reservation,
	"{\"upstream_status\":200,\"repeated\":true,\"body\":\"ok\"}",
	"Nothing ran again."},
    {tool_render_reservation, "{\"upstream_status\":409}", "not made"},
    {tool_render_error,
	"{\"error\":{\"message\":\"m\",\"remedy\":\"r\",\"not_run\":true}}",
	"m.\nNothing ran.\nWhat to do: r."},
    {tool_render_error, "{\"error\":{\"message\":\"m\"}}", "may have run"},
    {tool_render_query,
	"{\"results\":[{\"shard\":0,\"body\":\"a\\u001b[2J\\u009bb\\r\"}]}",
	"Shard 0: a?[2J?b?\n"},
};

/* Every renderer also takes shapes that it does not expect. */
static void
replies_are_shown_as_sentences(void **state)
{
	static const char *const odd[] = {"{}", "[]", "7", "null",
	    "{\"error\":[],\"coverage\":7,\"results\":[[],7],\"contracts\":[7],"
	    "\"peers\":{},\"services\":[null],\"indexes\":[{}],\"objects\":[7]"
	    "}"};

	for (size_t i = 0; i < G_N_ELEMENTS(render_cases); i++) {
		json_t *json = json_loads(render_cases[i].json, 0, NULL);
		GString *out = g_string_new(NULL);

		assert_non_null(json);
		render_cases[i].render(out, json);
		if (strstr(out->str, render_cases[i].shown) == NULL)
			fail_msg("case %zu: %s", i, out->str);
		json_decref(json);
		for (size_t j = 0; j < G_N_ELEMENTS(odd); j++) {
			json = json_loads(odd[j], JSON_DECODE_ANY, NULL);
			render_cases[i].render(out, json);
			json_decref(json);
		}
		g_string_free(out, TRUE);
	}
}

/* The variables of the shell that runs the tests are not part of a case. */
static void
clear_environment(void)
{
	char **names = g_listenv();

	for (char **name = names; *name != NULL; name++)
		if (g_str_has_prefix(*name, "BULRUSHWELL_") &&
		    strcmp(*name, "BULRUSHWELL_FATAL_INVARIANTS") != 0)
			g_unsetenv(*name);
	g_strfreev(names);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(command_lines_are_checked),
	    cmocka_unit_test(environment_gives_what_flags_leave_out),
	    cmocka_unit_test(help_has_an_example_for_each_command),
	    cmocka_unit_test(created_contracts_are_whole),
	    cmocka_unit_test(only_digests_of_keys_are_stored),
	    cmocka_unit_test(updates_change_only_what_is_named),
	    cmocka_unit_test(waiting_ends_when_every_live_node_has_it),
	    cmocka_unit_test(replies_have_truthful_exit_codes),
	    cmocka_unit_test(replies_are_shown_as_sentences),
	};

	clear_environment();
	return RUN_TESTS(argc, argv, tests);
}
