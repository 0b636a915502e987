/* Guards the tool against a reservation reported as not run that may have run,
 * a partial answer shown as complete, an update that changes other fields than
 * the given ones, and a caller's key in an error message. */
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
#define OPERATION "ours"

static int
parse_line(
    const char *line, tool_options_t *options, char *message, size_t size)
{
	char **words = g_strsplit(line, " ", MAX_WORDS);
	int result = tool_options_parse(
	    (int)g_strv_length(words), words, options, message, size);

	g_strfreev(words);
	return result;
}

#define PLATFORM_FLAG " --platform 127.0.0.1:9300"
#define CALLER_FLAGS " --caller-address 127.0.0.1:9000 --key hunter2"

static const struct {
	const char *line;
	const char *message; /* part of the error message; NULL: accepted */
} line_cases[] = {
    {"bulrushwell --help", NULL},
    {"bulrushwell contract --help", NULL},
    {"bulrushwell contract create --help", NULL},
    {"bulrushwell query --help", NULL},
    {"bulrushwell contract list" PLATFORM_FLAG, NULL},
    {"bulrushwell contract show llanberis" PLATFORM_FLAG " --json", NULL},
    {"bulrushwell contract create --customer a --caller b --caller "
     "c" PLATFORM_FLAG,
	NULL},
    {"bulrushwell contract create --file f.json" PLATFORM_FLAG, NULL},
    {"bulrushwell contract update a --rate-per-s 3" PLATFORM_FLAG, NULL},
    {"bulrushwell contract retire a --wait --node 127.0.0.1:9100" PLATFORM_FLAG,
	NULL},
    {"bulrushwell status --node 127.0.0.1:9100", NULL},
    {"bulrushwell query boards --body x --deadline-ms 100" CALLER_FLAGS, NULL},
    {"bulrushwell reserve slotplan-01 --key-id 1796362000-x" CALLER_FLAGS,
	NULL},
    {"bulrushwell", "no such command"},
    {"bulrushwell frobnicate", "no such command"},
    {"bulrushwell contract", "no such command"},
    {"bulrushwell contract delete a" PLATFORM_FLAG, "no such command"},
    {"bulrushwell contract list", "--platform is missing"},
    {"bulrushwell contract list extra" PLATFORM_FLAG, "too many words"},
    {"bulrushwell contract show" PLATFORM_FLAG, "CUSTOMER is missing"},
    {"bulrushwell contract show ../x" PLATFORM_FLAG, "CUSTOMER is not a name"},
    {"bulrushwell contract show a b" PLATFORM_FLAG, "too many words"},
    {"bulrushwell contract show a --wait" PLATFORM_FLAG, "--wait"},
    {"bulrushwell contract create" PLATFORM_FLAG, "--customer is missing"},
    {"bulrushwell contract create --customer A" PLATFORM_FLAG, "--customer"},
    {"bulrushwell contract create --customer a --customer b" PLATFORM_FLAG,
	"twice"},
    {"bulrushwell contract create --customer a --add-caller b" PLATFORM_FLAG,
	"--add-caller"},
    {"bulrushwell contract update a" PLATFORM_FLAG, "no change is given"},
    {"bulrushwell contract update a --as gwen" PLATFORM_FLAG,
	"no change is given"},
    {"bulrushwell contract retire a --wait" PLATFORM_FLAG, "--node is missing"},
    {"bulrushwell contract list --json=yes" PLATFORM_FLAG, "takes no value"},
    {"bulrushwell contract list --platform localhost:1", "--platform"},
    {"bulrushwell status", "--node is missing"},
    {"bulrushwell status --node n1", "--node"},
    {"bulrushwell query boards --key hunter2", "--caller-address is missing"},
    {"bulrushwell query boards --caller-address 127.0.0.1:1",
	"--key is missing"},
    {"bulrushwell query boards --key-id hunter2" CALLER_FLAGS, "--key-id"},
    {"bulrushwell query boards --keys=hunter2" CALLER_FLAGS, "--keys;"},
    {"bulrushwell query boards --body x --body-file y" CALLER_FLAGS,
	"give one of them"},
    {"bulrushwell query boards --deadline-ms 0" CALLER_FLAGS, "--deadline-ms"},
    {"bulrushwell query boards --deadline-ms 10001" CALLER_FLAGS,
	"--deadline-ms"},
    {"bulrushwell query boards --deadline-ms 1e2" CALLER_FLAGS,
	"--deadline-ms"},
    {"bulrushwell reserve s --key-id hunter2\r\nX-A:b" CALLER_FLAGS,
	"--key-id"},
};

static void
command_lines_are_checked(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(line_cases); i++) {
		const char *expected_message = line_cases[i].message;
		tool_options_t options;
		char message[512] = "";
		int error = parse_line(
		    line_cases[i].line, &options, message, sizeof(message));

		if ((error == 0) != (expected_message == NULL) ||
		    (error != 0 && strstr(message, expected_message) == NULL))
			fail_msg("'%s': %d '%s'", line_cases[i].line, error,
			    message);
		assert_null(strstr(message, "hunter2"));
		assert_true(error == 0 || strchr(message, ';') != NULL);
		tool_options_clear(&options);
	}
}

static void
environment_gives_what_flags_leave_out(void **state)
{
	tool_options_t options;
	char message[512];

	g_setenv("BULRUSHWELL_PLATFORM", "127.0.0.1:1", TRUE);
	assert_int_equal(parse_line("bulrushwell contract list", &options,
			     message, sizeof(message)),
	    0);
	assert_string_equal(
	    tool_options_value(&options, TOOL_FLAG_PLATFORM), "127.0.0.1:1");
	tool_options_clear(&options);
	assert_int_equal(parse_line("bulrushwell contract list" PLATFORM_FLAG,
			     &options, message, sizeof(message)),
	    0);
	assert_string_equal(
	    tool_options_value(&options, TOOL_FLAG_PLATFORM), "127.0.0.1:9300");
	tool_options_clear(&options);
	g_setenv("BULRUSHWELL_PLATFORM", "hunter2", TRUE);
	assert_int_equal(parse_line("bulrushwell contract list", &options,
			     message, sizeof(message)),
	    BW_E_INVALID);
	assert_null(strstr(message, "hunter2"));
	tool_options_clear(&options);
	g_unsetenv("BULRUSHWELL_PLATFORM");
}

static void
help_has_an_example_for_each_command(void **state)
{
	for (tool_command_t i = 0; i < TOOL_COMMAND_COUNT; i++) {
		char *help = tool_options_help(i);

		assert_non_null(strstr(help, "Usage: bulrushwell "));
		assert_non_null(strstr(help, "Example:"));
		assert_non_null(strstr(help, "--json"));
		g_free(help);
	}
}

static json_t *
apply_command_line(const char *line, json_t *contract, GPtrArray *keys,
    const char *expected_message)
{
	tool_options_t options;
	char message[512] = "", *text;
	int error;

	if (parse_line(line, &options, message, sizeof(message)) != 0)
		fail_msg("%s: %s", line, message);
	error = tool_contract_apply_flags(
	    contract, &options, keys, message, sizeof(message));
	tool_options_clear(&options);
	if (error == 0) {
		tool_contract_set_change_fields(
		    contract, "in_force", OPERATION, "Gwen");
		error = tool_contract_serialize(
		    contract, &text, message, sizeof(message));
		if (error == 0)
			free(text);
	}
	if ((error == 0) != (expected_message == NULL) ||
	    (expected_message != NULL &&
		strstr(message, expected_message) == NULL))
		fail_msg("%s: '%s'", line, message);
	return contract;
}

#define CREATE_COMMAND \
	"bulrushwell contract create --platform 127.0.0.1:1 --customer a"
#define CREATE_FULL_CONTRACT                                                 \
	CREATE_COMMAND " --caller desk --may-query b --may-reserve s "       \
		       "--rate-per-s 1.5 --concurrency 2 --deadline-ms 100 " \
		       "--repeat-window-h 3"

static void
created_contracts_are_whole(void **state)
{
	static const struct {
		const char *line;
		const char *message;
	} cases[] = {
	    {CREATE_FULL_CONTRACT, NULL},
	    {CREATE_COMMAND
		" --caller d --may-query b --rate-per-s 1 --concurrency 1 "
		"--deadline-ms 99",
		NULL},
	    {CREATE_COMMAND, "'callers' is missing"},
	    {CREATE_COMMAND " --caller d --caller d",
		"'d' is in the contract already"},
	    {CREATE_COMMAND " --caller d --may-query b --rate-per-s many",
		"--rate-per-s is not a number"},
	    {CREATE_COMMAND
		" --caller d --may-query b --rate-per-s 1 --concurrency 1.5 "
		"--deadline-ms 99",
		"'concurrency'"},
	    {CREATE_COMMAND
		" --caller d --may-reserve s --rate-per-s 1 --concurrency 1 "
		"--deadline-ms 99",
		"'repeat_window_h' is missing"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *keys = tool_caller_keys_create();

		json_decref(apply_command_line(
		    cases[i].line, json_object(), keys, cases[i].message));
		g_ptr_array_unref(keys);
	}
}

static void
only_digests_of_keys_are_stored(void **state)
{
	GPtrArray *keys = tool_caller_keys_create();
	json_t *contract = apply_command_line(
	    CREATE_FULL_CONTRACT " --caller night", json_object(), keys, NULL);
	char *text = json_dumps(contract, 0);

	assert_int_equal(keys->len, 2);
	for (guint i = 0; i < keys->len; i++) {
		const tool_caller_key_t *key = g_ptr_array_index(keys, i);
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

#define UPDATE_COMMAND "bulrushwell contract update a --platform 127.0.0.1:1 "

static void
updates_change_only_what_is_named(void **state)
{
	static const struct {
		const char *flags;
		const char *fields; /* the fields that change */
		const char *message;
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
		GPtrArray *keys = tool_caller_keys_create();
		json_t *before = apply_command_line(
		    CREATE_FULL_CONTRACT, json_object(), keys, NULL);
		char *line = g_strconcat(UPDATE_COMMAND, cases[i].flags, NULL);
		json_t *after = apply_command_line(
		    line, json_deep_copy(before), keys, cases[i].message);
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

#define STATUS_BODY(version, nodes, lagging, live)                         \
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
	    {STATUS_BODY("4", "[\"n1\",\"n2\"]", "[]", "true"), ""},
	    {STATUS_BODY("5", "[\"n1\",\"n2\"]", "[]", "true"), ""},
	    {STATUS_BODY("4", "[\"n1\"]", "[]", "false"), ""},
	    {STATUS_BODY("4", "[\"n1\"]", "[\"n2\"]", "true"), "n2"},
	    {STATUS_BODY("4", "[\"n1\"]", "[]", "true"), "n2"},
	    {STATUS_BODY("3", "[\"n1\",\"n2\"]", "[]", "true"), "n1"},
	    {STATUS_BODY("-1", "[]", "[]", "true"), "n1"},
	    {"{\"node\":\"n1\",\"contracts\":[]}", "n1"},
	    {"{}", "this node"},
	    {"[]", "this node"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *status = json_loads(cases[i].status, 0, NULL);
		GString *lagging = g_string_new(NULL);

		assert_non_null(status);
		assert_int_equal(
		    tool_contract_is_adopted(status, "a", 4, lagging),
		    cases[i].lagging[0] == '\0');
		assert_string_equal(lagging->str, cases[i].lagging);
		g_string_free(lagging, TRUE);
		json_decref(status);
	}
}

#define ERROR_BODY(kind, not_run) \
	"{\"error\":{\"kind\":\"" kind "\",\"not_run\":" not_run "}}"
#define QUERY_BODY(complete, answered, missing)                           \
	"{\"complete\":" complete ",\"coverage\":{\"answered\":" answered \
	",\"total\":3,\"missing\":" missing "}}"

static const struct {
	tool_http_result_t result;
	int status;
	const char *body;
	tool_exit_t query;
	tool_exit_t reserve;
} response_cases[] = {
    {TOOL_HTTP_NOT_SENT, 0, "", TOOL_EXIT_UNREACHABLE, TOOL_EXIT_UNREACHABLE},
    {TOOL_HTTP_NO_RESPONSE, 0, "", TOOL_EXIT_FAILED, TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_NO_RESPONSE, 200, "", TOOL_EXIT_FAILED,
	TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 200, "", TOOL_EXIT_FAILED, TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 200, "[]", TOOL_EXIT_FAILED,
	TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 200, QUERY_BODY("true", "3", "[]"), TOOL_EXIT_OK,
	TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 200, QUERY_BODY("false", "3", "[]"),
	TOOL_EXIT_PARTIAL, TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 200, QUERY_BODY("true", "2", "[]"), TOOL_EXIT_PARTIAL,
	TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 200, QUERY_BODY("true", "3", "[{}]"),
	TOOL_EXIT_PARTIAL, TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 200, "{\"outcome\":\"done\",\"upstream_status\":200}",
	TOOL_EXIT_FAILED, TOOL_EXIT_OK},
    {TOOL_HTTP_RESPONDED, 200, "{\"outcome\":\"done\",\"upstream_status\":409}",
	TOOL_EXIT_FAILED, TOOL_EXIT_FAILED},
    {TOOL_HTTP_RESPONDED, 200, "{\"outcome\":\"done\"}", TOOL_EXIT_FAILED,
	TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 401, ERROR_BODY("unauthorised", "true"),
	TOOL_EXIT_FORBIDDEN, TOOL_EXIT_FORBIDDEN},
    {TOOL_HTTP_RESPONDED, 403, ERROR_BODY("forbidden", "true"),
	TOOL_EXIT_FORBIDDEN, TOOL_EXIT_FORBIDDEN},
    {TOOL_HTTP_RESPONDED, 400, ERROR_BODY("invalid_request", "true"),
	TOOL_EXIT_INVALID, TOOL_EXIT_INVALID},
    {TOOL_HTTP_RESPONDED, 422, ERROR_BODY("key_reused", "true"),
	TOOL_EXIT_INVALID, TOOL_EXIT_INVALID},
    {TOOL_HTTP_RESPONDED, 429, ERROR_BODY("rate_exceeded", "true"),
	TOOL_EXIT_NOT_RUN, TOOL_EXIT_NOT_RUN},
    {TOOL_HTTP_RESPONDED, 503, ERROR_BODY("stopping", "true"),
	TOOL_EXIT_NOT_RUN, TOOL_EXIT_NOT_RUN},
    {TOOL_HTTP_RESPONDED, 503, ERROR_BODY("a_newer_kind", "true"),
	TOOL_EXIT_NOT_RUN, TOOL_EXIT_NOT_RUN},
    {TOOL_HTTP_RESPONDED, 504, ERROR_BODY("outcome_unknown", "false"),
	TOOL_EXIT_OUTCOME_UNKNOWN, TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 504, ERROR_BODY("timeout", "false"), TOOL_EXIT_FAILED,
	TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 503, ERROR_BODY("stopping", "false"),
	TOOL_EXIT_FAILED, TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 502, "<html>bad gateway</html>", TOOL_EXIT_FAILED,
	TOOL_EXIT_OUTCOME_UNKNOWN},
    {TOOL_HTTP_RESPONDED, 400, "{\"error\":\"text\"}", TOOL_EXIT_FAILED,
	TOOL_EXIT_OUTCOME_UNKNOWN},
};

static void
replies_have_truthful_exit_codes(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(response_cases); i++) {
		tool_http_response_t response = {
		    .result = response_cases[i].result,
		    .status = response_cases[i].status,
		};

		response.json = json_loads(response_cases[i].body, 0, NULL);
		if (tool_query_exit_code(&response) !=
			response_cases[i].query ||
		    tool_reserve_exit_code(&response) !=
			response_cases[i].reserve)
			fail_msg(
			    "case %zu: exit code of query %d, of reserve %d", i,
			    tool_query_exit_code(&response),
			    tool_reserve_exit_code(&response));
		tool_http_response_clear(&response);
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
	const char *expected_text;
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
    {tool_render_status, STATUS_BODY("4", "[\"n1\"]", "[\"n2\"]", "true"),
	"not yet on: n2."},
    {tool_render_status, STATUS_BODY("4", "[\"n1\"]", "[]", "false"),
	"Peer n2 in data centre ? does not answer"},
    {tool_render_status,
	"{\"services\":[{\"service\":\"s\",\"serving\":null}]}",
	"Service s is served by no node."},
    {tool_render_query, QUERY_BODY("true", "3", "[]"),
	"The answer is complete: 3 of 3 shards"},
    {tool_render_query,
	QUERY_BODY("false", "2", "[{\"shard\":1,\"reason\":\"timeout\"}]"),
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

/* Every renderer also accepts JSON of an unexpected structure. */
static void
replies_are_shown_as_sentences(void **state)
{
	static const char *const unexpected[] = {"{}", "[]", "7", "null",
	    "{\"error\":[],\"coverage\":7,\"results\":[[],7],\"contracts\":[7],"
	    "\"peers\":{},\"services\":[null],\"indexes\":[{}],\"objects\":[7]"
	    "}"};

	for (size_t i = 0; i < G_N_ELEMENTS(render_cases); i++) {
		json_t *json = json_loads(render_cases[i].json, 0, NULL);
		GString *out = g_string_new(NULL);

		assert_non_null(json);
		render_cases[i].render(out, json);
		if (strstr(out->str, render_cases[i].expected_text) == NULL)
			fail_msg("case %zu: %s", i, out->str);
		json_decref(json);
		for (size_t j = 0; j < G_N_ELEMENTS(unexpected); j++) {
			json = json_loads(unexpected[j], JSON_DECODE_ANY, NULL);
			render_cases[i].render(out, json);
			json_decref(json);
		}
		g_string_free(out, TRUE);
	}
}

/* Keeps the environment of the shell that runs the tests out of the cases. */
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
