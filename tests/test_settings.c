/* Guards the daemon's settings: an unknown, missing, malformed or
 * contradictory setting that is accepted, or a secret that is repeated in a
 * message. */
#include "lib/runner.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/settings.h"

#define KEY "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"
#define MAX_ARGUMENTS 32

typedef struct {
	const char *replace; /* flag to replace, or NULL */
	const char *with;    /* its value; NULL leaves it out */
	const char *extra;   /* one argument more, or NULL */
	const char *variable;
	const char *value;
	const char *why; /* a part of the message; NULL when accepted */
} settings_case_t;

static const char *const base[][2] = {
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
load(const settings_case_t *c, settings_t *settings, char *why, size_t size)
{
	char *arguments[MAX_ARGUMENTS + 1] = {(char *)"bulrushwelld"};
	int count = 1, error;

	for (size_t i = 0; i < G_N_ELEMENTS(base); i++) {
		bool replaced =
		    c->replace != NULL && strcmp(c->replace, base[i][0]) == 0;

		if (replaced && c->with == NULL)
			continue;
		arguments[count++] = (char *)base[i][0];
		arguments[count++] = (char *)(replaced ? c->with : base[i][1]);
	}
	if (c->extra != NULL)
		arguments[count++] = (char *)c->extra;
	if (c->variable != NULL)
		g_setenv(c->variable, c->value, TRUE);
	error = settings_load(count, arguments, settings, why, size);
	if (c->variable != NULL)
		g_unsetenv(c->variable);
	return error;
}

static const settings_case_t cases[] = {
    {.replace = NULL},
    {.extra = "--check"},
    {.extra = "--version"},
    {.replace = "--peers", .with = "", .why = NULL},
    {.replace = "--peers", .with = NULL, .why = NULL},
    {.extra = "--operator-address=127.0.0.1:9101"},
    {.replace = "--node",
	.with = NULL,
	.variable = "BULRUSHWELL_NODE",
	.value = "n9"},
    {.replace = "--node",
	.with = "n1",
	.variable = "BULRUSHWELL_NODE",
	.value = "n9"},
    {.variable = "BULRUSHWELL_CHECK", .value = "1"},
    {.variable = "BULRUSHWELL_FATAL_INVARIANTS", .value = "1"},
    {.variable = "BULRUSHWELL_CHECK", .value = "yes", .why = "CHECK"},
    {.variable = "BULRUSHWELL_KEY", .value = "hunter2", .why = "_KEY"},
    {.variable = "BULRUSHWELL_", .value = "hunter2", .why = "not a setting"},
    {.replace = "--node", .with = NULL, .why = "'node' is missing"},
    {.replace = "--node", .with = "", .why = "'node'"},
    {.replace = "--node", .with = "N1", .why = "'node'"},
    {.replace = "--node", .with = "127.0.0.1:9100", .why = "'node'"},
    {.replace = "--vm", .with = NULL, .why = "'vm' is missing"},
    {.replace = "--cell", .with = "a/b", .why = "'cell'"},
    {.replace = "--data-centre",
	.with = NULL,
	.why = "'data-centre' is missing"},
    {.replace = "--caller-address",
	.with = "localhost:9000",
	.why = "'caller-address'"},
    {.replace = "--caller-address",
	.with = "127.0.0.1",
	.why = "'caller-address'"},
    {.replace = "--caller-address",
	.with = "127.0.0.1:99999",
	.why = "'caller-address'"},
    {.replace = "--peer-address",
	.with = NULL,
	.why = "'peer-address' is missing"},
    {.replace = "--platform", .with = NULL, .why = "'platform' is missing"},
    {.replace = "--platform", .with = "127.0.0.1:9000", .why = "same address"},
    {.replace = "--platform", .with = "127.0.0.1:09000", .why = "same address"},
    {.replace = "--caller-address",
	.with = "127.0.0.1:9100",
	.why = "same address"},
    {.replace = "--peers", .with = "n2", .why = "entry 1"},
    {.replace = "--peers", .with = "n2@127.0.0.1:9202,", .why = "entry 2"},
    {.replace = "--peers", .with = ",n2@127.0.0.1:9202", .why = "entry 1"},
    {.replace = "--peers", .with = "n2@127.0.0.1:9202 ", .why = "entry 1"},
    {.replace = "--peers",
	.with = "n2@127.0.0.1:9202,n2@127.0.0.1:9203",
	.why = "twice"},
    {.replace = "--peers",
	.with = "n2@127.0.0.1:9202,n3@127.0.0.1:9202",
	.why = "twice"},
    {.replace = "--peers",
	.with = "n1@127.0.0.1:9202",
	.why = "names this node"},
    {.replace = "--peers",
	.with = "n2@127.0.0.1:9200",
	.why = "another setting"},
    {.replace = "--peers",
	.with = "n2@10.0.0.2:9200",
	.why = "'peer-key-file' is missing"},
    {.replace = "--peer-address",
	.with = "10.0.0.1:9200",
	.why = "'peer-key-file' is missing"},
    {.extra = "--peer-key-file=/nonexistent/key", .why = "cannot be read"},
    {.extra = "--peer-key-file=/dev/null", .why = "does not hold a key"},
    {.extra = "--peer-key-file=/dev/zero", .why = "does not hold a key"},
    {.extra = "--peer-key=hunter2", .why = "--peer-key;"},
    {.extra = "--check=hunter2", .why = "--check"},
    {.extra = "hunter2", .why = "not a flag"},
    {.extra = "--vm", .why = "--vm"},
    {.extra = "--vm=vm-2", .why = "--vm is given twice"},
    {.extra = "-x", .why = "-x"},
};

static void
settings_are_checked(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char why[256] = "";
		settings_t settings;
		int error = load(&cases[i], &settings, why, sizeof(why));

		if ((error == 0) != (cases[i].why == NULL) ||
		    (error != 0 && strstr(why, cases[i].why) == NULL))
			fail_msg("case %zu: %d '%s'", i, error, why);
		assert_true(error == 0 || error == BW_E_SETTINGS);
		assert_null(strstr(why, "hunter2"));
		assert_true(error == 0 || strchr(why, ';') != NULL);
	}
}

static void
values_are_read(void **state)
{
	static const settings_case_t flags = {.replace = NULL},
				     variable = {"--node", NULL, NULL,
					 "BULRUSHWELL_NODE", "n9", NULL},
				     both = {"--node", "n1", NULL,
					 "BULRUSHWELL_NODE", "n9", NULL},
				     version = {.extra = "--version"};
	settings_t settings;
	char why[256];

	assert_int_equal(load(&flags, &settings, why, sizeof(why)), 0);
	assert_string_equal(settings.operator_address, "127.0.0.1:9100");
	assert_int_equal(settings.peer_count, 2);
	assert_string_equal(settings.peers[1].node, "n3");
	assert_string_equal(settings.peers[1].address, "127.0.0.1:9203");
	assert_string_equal(settings.peer_key, "");
	assert_false(settings.check_only);
	load(&variable, &settings, why, sizeof(why));
	assert_string_equal(settings.node, "n9");
	load(&both, &settings, why, sizeof(why));
	assert_string_equal(settings.node, "n1");
	load(&version, &settings, why, sizeof(why));
	assert_true(settings.version_only);
}

static void
too_many_peers_are_refused(void **state)
{
	GString *peers = g_string_new(NULL);
	settings_case_t c = {.replace = "--peers"};
	settings_t settings;
	char why[256];

	for (int i = 0; i <= SETTINGS_MAX_PEERS; i++) {
		c.with = peers->str;
		assert_int_equal(load(&c, &settings, why, sizeof(why)), 0);
		g_string_append_printf(
		    peers, "%sp%d@127.0.0.2:%d", i > 0 ? "," : "", i, 1000 + i);
	}
	c.with = peers->str;
	assert_int_equal(load(&c, &settings, why, sizeof(why)), BW_E_SETTINGS);
	assert_non_null(strstr(why, "at most 64"));
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
	    {KEY, -1, true},
	    {KEY "\n", -1, true},
	    {KEY "\n\n", -1, false},
	    {KEY " ", -1, false},
	    {KEY KEY, -1, false},
	    {"hunter2", -1, false},
	    {"", 0, false},
	    {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf\0", 40, false},
	    {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf\"", 40, false},
	};
	char *path = NULL;
	int fd = g_file_open_tmp("bwkeyXXXXXX", &path, NULL);
	char *flag = g_strdup_printf("--peer-key-file=%s", path);
	settings_case_t c = {
	    .replace = "--peers", .with = "n2@10.0.0.2:9200", .extra = flag};

	assert_true(fd >= 0);
	g_close(fd, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		settings_t settings;
		char why[256] = "";

		g_file_set_contents(path, keys[i].text, keys[i].size, NULL);
		assert_int_equal(
		    load(&c, &settings, why, sizeof(why)) == 0, keys[i].valid);
		assert_string_equal(
		    settings.peer_key, keys[i].valid ? KEY : "");
		assert_null(strstr(why, "hunter2"));
		assert_null(strstr(why, "Lns47"));
	}
	g_unlink(path);
	g_free(flag);
	g_free(path);
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
	    cmocka_unit_test(settings_are_checked),
	    cmocka_unit_test(values_are_read),
	    cmocka_unit_test(too_many_peers_are_refused),
	    cmocka_unit_test(peer_keys_are_checked),
	};

	clear_environment();
	return RUN_TESTS(argc, argv, tests);
}
