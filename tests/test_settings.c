/* Settings of the daemon: unknown, missing, malformed and contradictory
 * settings must be refused, and no error message may repeat a secret, which is
 * "hunter2" in the cases. */
#include "lib/runner.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/settings.h"

#define PEER_KEY "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"
#define MAX_ARGUMENTS 32

typedef struct {
	const char *replaced_flag;  /* flag of base_arguments, or NULL */
	const char *replacement;    /* its new value; NULL omits the flag */
	const char *extra_argument; /* additional argument, or NULL */
	const char *variable;
	const char *value;
	const char *expected_text; /* part of the error; NULL when valid */
} settings_case_t;

static const char *const base_arguments[][2] = {
    {"--node", "n1"},
    {"--vm", "vm-1"},
    {"--cell", "wales"},
    {"--data-centre", "cymru-a"},
    {"--caller-address", "127.0.0.1:9000"},
    {"--peer-address", "127.0.0.1:9200"},
    {"--platform", "127.0.0.1:9300"},
    {"--peers", "n2@127.0.0.1:9202,n3@127.0.0.1:9203"},
};

static int
load_case(const settings_case_t *test_case, settings_t *settings, char *message,
    size_t size)
{
	char *arguments[MAX_ARGUMENTS + 1] = {(char *)"bulrushwelld"};
	int count = 1, error;

	for (size_t i = 0; i < G_N_ELEMENTS(base_arguments); i++) {
		bool replaced = test_case->replaced_flag != NULL &&
		    strcmp(test_case->replaced_flag, base_arguments[i][0]) == 0;

		if (replaced && test_case->replacement == NULL)
			continue;
		arguments[count++] = (char *)base_arguments[i][0];
		arguments[count++] = (char *)(replaced ? test_case->replacement
						       : base_arguments[i][1]);
	}
	if (test_case->extra_argument != NULL)
		arguments[count++] = (char *)test_case->extra_argument;
	if (test_case->variable != NULL)
		g_setenv(test_case->variable, test_case->value, TRUE);
	error = settings_load(count, arguments, settings, message, size);
	if (test_case->variable != NULL)
		g_unsetenv(test_case->variable);
	return error;
}

static const settings_case_t cases[] = {
    {.replaced_flag = NULL},
    {.extra_argument = "--check"},
    {.extra_argument = "--version"},
    {.replaced_flag = "--peers", .replacement = "", .expected_text = NULL},
    {.replaced_flag = "--peers", .replacement = NULL, .expected_text = NULL},
    {.extra_argument = "--operator-address=127.0.0.1:9101"},
    {.replaced_flag = "--node",
	.replacement = NULL,
	.variable = "BULRUSHWELL_NODE",
	.value = "n9"},
    {.replaced_flag = "--node",
	.replacement = "n1",
	.variable = "BULRUSHWELL_NODE",
	.value = "n9"},
    {.variable = "BULRUSHWELL_CHECK", .value = "1"},
    {.variable = "BULRUSHWELL_FATAL_INVARIANTS", .value = "1"},
    {.variable = "BULRUSHWELL_CHECK", .value = "yes", .expected_text = "CHECK"},
    {.variable = "BULRUSHWELL_KEY",
	.value = "hunter2",
	.expected_text = "_KEY"},
    {.variable = "BULRUSHWELL_",
	.value = "hunter2",
	.expected_text = "not a setting"},
    {.replaced_flag = "--node",
	.replacement = NULL,
	.expected_text = "'node' is missing"},
    {.replaced_flag = "--node", .replacement = "", .expected_text = "'node'"},
    {.replaced_flag = "--node", .replacement = "N1", .expected_text = "'node'"},
    {.replaced_flag = "--node",
	.replacement = "127.0.0.1:9100",
	.expected_text = "'node'"},
    {.replaced_flag = "--vm",
	.replacement = NULL,
	.expected_text = "'vm' is missing"},
    {.replaced_flag = "--cell",
	.replacement = "a/b",
	.expected_text = "'cell'"},
    {.replaced_flag = "--data-centre",
	.replacement = NULL,
	.expected_text = "'data-centre' is missing"},
    {.replaced_flag = "--caller-address",
	.replacement = "localhost:9000",
	.expected_text = "'caller-address'"},
    {.replaced_flag = "--caller-address",
	.replacement = "127.0.0.1",
	.expected_text = "'caller-address'"},
    {.replaced_flag = "--caller-address",
	.replacement = "127.0.0.1:99999",
	.expected_text = "'caller-address'"},
    {.replaced_flag = "--peer-address",
	.replacement = NULL,
	.expected_text = "'peer-address' is missing"},
    {.replaced_flag = "--platform",
	.replacement = NULL,
	.expected_text = "'platform' is missing"},
    {.replaced_flag = "--platform",
	.replacement = "127.0.0.1:9000",
	.expected_text = "same address"},
    {.replaced_flag = "--platform",
	.replacement = "127.0.0.1:09000",
	.expected_text = "same address"},
    {.replaced_flag = "--caller-address",
	.replacement = "127.0.0.1:9100",
	.expected_text = "same address"},
    {.replaced_flag = "--peers",
	.replacement = "n2",
	.expected_text = "entry 1"},
    {.replaced_flag = "--peers",
	.replacement = "n2@127.0.0.1:9202,",
	.expected_text = "entry 2"},
    {.replaced_flag = "--peers",
	.replacement = ",n2@127.0.0.1:9202",
	.expected_text = "entry 1"},
    {.replaced_flag = "--peers",
	.replacement = "n2@127.0.0.1:9202 ",
	.expected_text = "entry 1"},
    {.replaced_flag = "--peers",
	.replacement = "n2@127.0.0.1:9202,n2@127.0.0.1:9203",
	.expected_text = "twice"},
    {.replaced_flag = "--peers",
	.replacement = "n2@127.0.0.1:9202,n3@127.0.0.1:9202",
	.expected_text = "twice"},
    {.replaced_flag = "--peers",
	.replacement = "n1@127.0.0.1:9202",
	.expected_text = "names this node"},
    {.replaced_flag = "--peers",
	.replacement = "n2@127.0.0.1:9200",
	.expected_text = "another setting"},
    {.replaced_flag = "--peers",
	.replacement = "n2@10.0.0.2:9200",
	.expected_text = "'peer-key-file' is missing"},
    {.replaced_flag = "--peer-address",
	.replacement = "10.0.0.1:9200",
	.expected_text = "'peer-key-file' is missing"},
    {.extra_argument = "--peer-key-file=/nonexistent/key",
	.expected_text = "cannot be read"},
    {.extra_argument = "--peer-key-file=/dev/null",
	.expected_text = "does not hold a key"},
    {.extra_argument = "--peer-key-file=/dev/zero",
	.expected_text = "does not hold a key"},
    {.extra_argument = "--peer-key=hunter2", .expected_text = "--peer-key;"},
    {.extra_argument = "--check=hunter2", .expected_text = "--check"},
    {.extra_argument = "hunter2", .expected_text = "not a flag"},
    {.extra_argument = "--vm", .expected_text = "--vm"},
    {.extra_argument = "--vm=vm-2", .expected_text = "--vm is given twice"},
    {.extra_argument = "-x", .expected_text = "-x"},
};

static void
settings_are_checked(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char message[256] = "";
		settings_t settings;
		int error =
		    load_case(&cases[i], &settings, message, sizeof(message));

		if ((error == 0) != (cases[i].expected_text == NULL) ||
		    (error != 0 &&
			strstr(message, cases[i].expected_text) == NULL))
			fail_msg("case %zu: %d '%s'", i, error, message);
		assert_true(error == 0 || error == BW_E_SETTINGS);
		assert_null(strstr(message, "hunter2"));
		assert_true(error == 0 || strchr(message, ';') != NULL);
	}
}

static void
values_are_read(void **state)
{
	static const settings_case_t flags = {.replaced_flag = NULL},
				     variable = {"--node", NULL, NULL,
					 "BULRUSHWELL_NODE", "n9", NULL},
				     both = {"--node", "n1", NULL,
					 "BULRUSHWELL_NODE", "n9", NULL},
				     version = {.extra_argument = "--version"};
	settings_t settings;
	char message[256];

	assert_int_equal(
	    load_case(&flags, &settings, message, sizeof(message)), 0);
	assert_string_equal(settings.operator_address, "127.0.0.1:9100");
	assert_int_equal(settings.peer_count, 2);
	assert_string_equal(settings.peers[1].node, "n3");
	assert_string_equal(settings.peers[1].address, "127.0.0.1:9203");
	assert_string_equal(settings.peer_key, "");
	assert_false(settings.check_only);
	load_case(&variable, &settings, message, sizeof(message));
	assert_string_equal(settings.node, "n9");
	load_case(&both, &settings, message, sizeof(message));
	assert_string_equal(settings.node, "n1");
	load_case(&version, &settings, message, sizeof(message));
	assert_true(settings.version_only);
}

static void
too_many_peers_are_refused(void **state)
{
	GString *peers = g_string_new(NULL);
	settings_case_t test_case = {.replaced_flag = "--peers"};
	settings_t settings;
	char message[256];

	for (int i = 0; i <= SETTINGS_MAX_PEERS; i++) {
		test_case.replacement = peers->str;
		assert_int_equal(
		    load_case(&test_case, &settings, message, sizeof(message)),
		    0);
		g_string_append_printf(
		    peers, "%sp%d@127.0.0.2:%d", i > 0 ? "," : "", i, 1000 + i);
	}
	test_case.replacement = peers->str;
	assert_int_equal(
	    load_case(&test_case, &settings, message, sizeof(message)),
	    BW_E_SETTINGS);
	assert_non_null(strstr(message, "at most 64"));
	g_string_free(peers, TRUE);
}

static void
peer_keys_are_checked(void **state)
{
	static const struct {
		const char *text;
		gssize size;
		bool valid;
	} keys[] = {
	    {PEER_KEY, -1, true},
	    {PEER_KEY "\n", -1, true},
	    {PEER_KEY "\n\n", -1, false},
	    {PEER_KEY " ", -1, false},
	    {PEER_KEY PEER_KEY, -1, false},
	    {"hunter2", -1, false},
	    {"", 0, false},
	    {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf\0", 40, false},
	    {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf\"", 40, false},
	};
	char *path = NULL;
	int fd = g_file_open_tmp("bwkeyXXXXXX", &path, NULL);
	char *flag = g_strdup_printf("--peer-key-file=%s", path);
	settings_case_t test_case = {.replaced_flag = "--peers",
	    .replacement = "n2@10.0.0.2:9200",
	    .extra_argument = flag};

	assert_true(fd >= 0);
	g_close(fd, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		settings_t settings;
		char message[256] = "";

		g_file_set_contents(path, keys[i].text, keys[i].size, NULL);
		assert_int_equal(load_case(&test_case, &settings, message,
				     sizeof(message)) == 0,
		    keys[i].valid);
		assert_string_equal(
		    settings.peer_key, keys[i].valid ? PEER_KEY : "");
		assert_null(strstr(message, "hunter2"));
		assert_null(strstr(message, "Lns47"));
	}
	g_unlink(path);
	g_free(flag);
	g_free(path);
}

/* Removes variables of the shell that runs the tests; they would change the
 * cases. */
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
	    cmocka_unit_test(settings_are_checked),
	    cmocka_unit_test(values_are_read),
	    cmocka_unit_test(too_many_peers_are_refused),
	    cmocka_unit_test(peer_keys_are_checked),
	};

	clear_environment();
	return RUN_TESTS(argc, argv, tests);
}
