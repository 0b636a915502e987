#include "bulrushwell/tool_options.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/claim.h"
#include "bulrushwell/contract.h"
#include "bulrushwell/error.h"
#include "bulrushwell/name.h"

#define MAX_KEY 256 /* bytes of a caller's key in a header */
#define BIT(command) (1u << (command))
#define CHANGES (BIT(TOOL_CREATE) | BIT(TOOL_UPDATE) | BIT(TOOL_RETIRE))
#define EDITS (BIT(TOOL_CREATE) | BIT(TOOL_UPDATE))
#define CONTRACTS (CHANGES | BIT(TOOL_SHOW) | BIT(TOOL_LIST))
#define CALLS (BIT(TOOL_QUERY) | BIT(TOOL_RESERVE))
#define EVERY (BIT(TOOL_COMMANDS) - 1)

typedef enum {
	VALUE_SWITCH,
	VALUE_TEXT,
	VALUE_NAME,
	VALUE_NAMES, /* may be repeated */
	VALUE_ADDRESS,
	VALUE_HEADER /* sent in an HTTP header: printable, without spaces */
} value_kind_t;

typedef struct {
	const char *name;
	value_kind_t kind;
	const char *variable;
	const char *argument;
	const char *help;
	unsigned commands;
} flag_entry_t;

static const flag_entry_t flags[TOOL_FLAGS] = {
    [TOOL_PLATFORM] = {"platform", VALUE_ADDRESS, "BULRUSHWELL_PLATFORM",
	"IP:PORT", "the platform's object API (BULRUSHWELL_PLATFORM)",
	CONTRACTS},
    [TOOL_NODE] = {"node", VALUE_ADDRESS, "BULRUSHWELL_NODE", "IP:PORT",
	"a node's operator address (BULRUSHWELL_NODE)",
	CHANGES | BIT(TOOL_STATUS)},
    [TOOL_CALLER_ADDRESS] = {"caller-address", VALUE_ADDRESS,
	"BULRUSHWELL_CALLER_ADDRESS", "IP:PORT",
	"where callers connect (BULRUSHWELL_CALLER_ADDRESS)", CALLS},
    [TOOL_KEY] = {"key", VALUE_HEADER, "BULRUSHWELL_KEY", "KEY",
	"the caller's key; better set BULRUSHWELL_KEY, since other users of "
	"the machine can see a command line",
	CALLS},
    [TOOL_CUSTOMER] = {"customer", VALUE_NAME, NULL, "NAME",
	"name of the customer", BIT(TOOL_CREATE)},
    [TOOL_CALLER] = {"caller", VALUE_NAMES, NULL, "NAME",
	"a caller to make a key for; may be repeated", BIT(TOOL_CREATE)},
    [TOOL_ADD_CALLER] = {"add-caller", VALUE_NAMES, NULL, "NAME",
	"a caller to add with a new key; may be repeated", BIT(TOOL_UPDATE)},
    [TOOL_REMOVE_CALLER] = {"remove-caller", VALUE_NAMES, NULL, "NAME",
	"a caller to remove; may be repeated", BIT(TOOL_UPDATE)},
    [TOOL_MAY_QUERY] = {"may-query", VALUE_NAMES, NULL, "INDEX",
	"an index that callers may query; may be repeated; replaces the list",
	EDITS},
    [TOOL_MAY_RESERVE] = {"may-reserve", VALUE_NAMES, NULL, "SERVICE",
	"a service that callers may reserve; may be repeated; replaces the "
	"list",
	EDITS},
    [TOOL_RATE] = {"rate-per-s", VALUE_TEXT, NULL, "N",
	"requests a second, all callers together", EDITS},
    [TOOL_CONCURRENCY] = {"concurrency", VALUE_TEXT, NULL, "N",
	"requests that may run at once", EDITS},
    [TOOL_DEADLINE] = {"deadline-ms", VALUE_TEXT, NULL, "N",
	"milliseconds within which an answer is due", EDITS | CALLS},
    [TOOL_WINDOW] = {"repeat-window-h", VALUE_TEXT, NULL, "N",
	"hours for which a reservation's key is remembered", EDITS},
    [TOOL_FILE] = {"file", VALUE_TEXT, NULL, "FILE",
	"a contract written as JSON; other flags override its fields",
	BIT(TOOL_CREATE)},
    [TOOL_AS] = {"as", VALUE_TEXT, NULL, "NAME",
	"who makes the change (default: your user name)", CHANGES},
    [TOOL_WAIT] = {"wait", VALUE_SWITCH, NULL, NULL,
	"wait until every live node has the change; needs --node", CHANGES},
    [TOOL_KEY_ID] = {"key-id", VALUE_HEADER, NULL, "IDEMPOTENCY_KEY",
	"UNIXSECONDS-TEXT; the same key never reserves twice",
	BIT(TOOL_RESERVE)},
    [TOOL_BODY] = {"body", VALUE_TEXT, NULL, "TEXT", "what to send", CALLS},
    [TOOL_BODY_FILE] = {"body-file", VALUE_TEXT, NULL, "FILE",
	"send the contents of a file", CALLS},
    [TOOL_JSON] = {"json", VALUE_SWITCH, NULL, NULL, "print JSON for programs",
	EVERY},
    [TOOL_HELP] = {"help", VALUE_SWITCH, NULL, NULL, "print this help", EVERY},
};

static const struct {
	const char *words[2];
	const char *argument; /* NULL: the command takes none */
	const char *summary;
	const char *example;
} commands[TOOL_COMMANDS] = {
    [TOOL_CREATE] = {{"contract", "create"}, NULL,
	"Writes a new contract and prints the callers' keys once.",
	"  bulrushwell contract create --customer llanberis \\\n"
	"      --caller line-desk --may-query boards --may-reserve "
	"slotplan-01 \\\n"
	"      --rate-per-s 120 --concurrency 24 --deadline-ms 250 \\\n"
	"      --repeat-window-h 24 --wait --node 127.0.0.1:9100"},
    [TOOL_SHOW] = {{"contract", "show"}, "CUSTOMER",
	"Shows the contract that is stored for a customer.",
	"  bulrushwell contract show llanberis"},
    [TOOL_LIST] = {{"contract", "list"}, NULL, "Lists all contracts.",
	"  bulrushwell contract list --platform 127.0.0.1:9300"},
    [TOOL_UPDATE] = {{"contract", "update"}, "CUSTOMER",
	"Changes what is named in a contract and leaves the rest.",
	"  bulrushwell contract update llanberis --rate-per-s 150 \\\n"
	"      --add-caller night-shift --remove-caller old-desk"},
    [TOOL_RETIRE] = {{"contract", "retire"}, "CUSTOMER",
	"Ends a contract for good. Its callers are refused from then on.",
	"  bulrushwell contract retire llanberis --wait --node "
	"127.0.0.1:9100"},
    [TOOL_STATUS] = {{"status", NULL}, NULL,
	"Shows what a node knows: contracts, peers, services, indexes.",
	"  bulrushwell status --node 127.0.0.1:9100"},
    [TOOL_QUERY] = {{"query", NULL}, "INDEX",
	"Sends one query as a caller and shows answer and coverage.",
	"  BULRUSHWELL_KEY=... bulrushwell query boards \\\n"
	"      --caller-address 127.0.0.1:9000 --body 'board 4711'"},
    [TOOL_RESERVE] = {{"reserve", NULL}, "SERVICE",
	"Makes one reservation as a caller, at most once for each key.",
	"  BULRUSHWELL_KEY=... bulrushwell reserve slotplan-01 \\\n"
	"      --caller-address 127.0.0.1:9000 \\\n"
	"      --key-id 1796362000-reel-4711 --body 'reel 4711'"},
};

typedef struct {
	tool_options_t *options;
	char *why;
	size_t why_size;
} parser_t;

static int refuse(parser_t *parser, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static int
refuse(parser_t *parser, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(parser->why, parser->why_size, format, args);
	va_end(args);
	return BW_E_INVALID;
}

const char *
tool_options_flag_name(tool_flag_t flag)
{
	return flags[flag].name;
}

bool
tool_options_has(const tool_options_t *options, tool_flag_t flag)
{
	return options->values[flag] != NULL;
}

const char *
tool_options_text(const tool_options_t *options, tool_flag_t flag)
{
	const GPtrArray *values = options->values[flag];

	return values != NULL ? g_ptr_array_index(values, 0) : NULL;
}

static void
add_value(tool_options_t *options, tool_flag_t flag, const char *value)
{
	if (options->values[flag] == NULL)
		options->values[flag] = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(options->values[flag], g_strdup(value));
}

static bool
is_header_value(const char *value)
{
	size_t length = strlen(value);

	if (length == 0 || length > MAX_KEY)
		return false;
	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isgraph(value[i]))
			return false;
	return true;
}

static bool
is_valid(value_kind_t kind, const char *value)
{
	address_t address;
	name_t name;

	switch (kind) {
	case VALUE_SWITCH:
		return true;
	case VALUE_TEXT:
		return g_utf8_validate(value, -1, NULL);
	case VALUE_NAME:
	case VALUE_NAMES:
		return name_set(name, value) == 0;
	case VALUE_ADDRESS:
		return address_set(address, value) == 0;
	case VALUE_HEADER:
		return is_header_value(value);
	}
	return false;
}

static const char *
describe_kind(value_kind_t kind)
{
	switch (kind) {
	case VALUE_NAME:
	case VALUE_NAMES:
		return "use 1 to 63 lower-case letters, digits, '-', '_' or "
		       "'.'";
	case VALUE_ADDRESS:
		return "write a numeric IP:PORT such as 127.0.0.1:9100";
	case VALUE_HEADER:
		return "use 1 to 256 letters, digits and signs without spaces";
	case VALUE_SWITCH:
	case VALUE_TEXT:
		break;
	}
	return "write it as UTF-8 text";
}

static gboolean
take_flag(const char *name, const char *value, gpointer data, GError **error)
{
	tool_options_t *options = data;
	tool_flag_t flag = 0;

	while (strcmp(flags[flag].name, name + strlen("--")) != 0)
		flag++;
	if (options->values[flag] != NULL && flags[flag].kind != VALUE_NAMES) {
		g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
		    "the flag %s is given twice", name);
		return FALSE;
	}
	add_value(options, flag, value != NULL ? value : "");
	return TRUE;
}

static bool
takes_flag(tool_command_t command, tool_flag_t flag)
{
	return (flags[flag].commands & BIT(command)) != 0;
}

static char *
command_name(tool_command_t command)
{
	const char *second = commands[command].words[1];

	return g_strdup_printf("%s%s%s", commands[command].words[0],
	    second != NULL ? " " : "", second != NULL ? second : "");
}

static GOptionContext *
make_context(tool_command_t command, tool_options_t *options)
{
	GOptionEntry entries[TOOL_FLAGS + 1] = {0};
	GOptionContext *context = g_option_context_new(NULL);
	GOptionGroup *group = g_option_group_new("tool", "", "", options, NULL);
	int count = 0;

	for (tool_flag_t flag = 0; flag < TOOL_FLAGS; flag++) {
		if (!takes_flag(command, flag))
			continue;
		entries[count].long_name = flags[flag].name;
		/* Raw bytes: GLib would convert from the locale. */
		entries[count].flags = G_OPTION_FLAG_FILENAME;
		if (flags[flag].kind == VALUE_SWITCH)
			entries[count].flags = G_OPTION_FLAG_NO_ARG;
		entries[count].arg = G_OPTION_ARG_CALLBACK;
		entries[count].arg_data = take_flag;
		entries[count].description = flags[flag].help;
		entries[count++].arg_description = flags[flag].argument;
	}
	g_option_group_add_entries(group, entries);
	g_option_context_set_main_group(context, group);
	g_option_context_set_help_enabled(context, FALSE);
	return context;
}

static char *
help_of_all(void)
{
	GString *text = g_string_new("Usage: bulrushwell COMMAND ...\n\n"
				     "Commands:\n");

	for (tool_command_t i = 0; i < TOOL_COMMANDS; i++) {
		char *name = command_name(i);

		g_string_append_printf(
		    text, "  %-16s %s\n", name, commands[i].summary);
		g_free(name);
	}
	g_string_append(text,
	    "\n'bulrushwell COMMAND --help' explains a command with an "
	    "example.\n");
	return g_string_free(text, FALSE);
}

char *
tool_options_help(tool_command_t command)
{
	tool_options_t none = {0};
	GOptionContext *context;
	GString *text;
	char *name, *list;
	const char *argument, *rest;

	if (command == TOOL_COMMANDS)
		return help_of_all();
	argument = commands[command].argument;
	context = make_context(command, &none);
	name = command_name(command);
	text = g_string_new(NULL);
	g_string_append_printf(text, "Usage: bulrushwell %s%s%s [FLAGS]\n\n",
	    name, argument != NULL ? " " : "",
	    argument != NULL ? argument : "");
	g_string_append_printf(text, "%s\n\nExample:\n%s\n",
	    commands[command].summary, commands[command].example);
	list = g_option_context_get_help(context, TRUE, NULL);
	/* GLib's own usage line names the program only; it is passed over. */
	rest = strstr(list, "\n\n");
	g_string_append(text, rest != NULL ? rest + 1 : list);
	g_free(list);
	g_free(name);
	g_option_context_free(context);
	return g_string_free(text, FALSE);
}

static bool
is_help(const char *word)
{
	return strcmp(word, "--help") == 0 || strcmp(word, "help") == 0;
}

/* The number of words that name the command; 0 when none does. */
static int
find_command(int argc, char **argv, tool_command_t *command)
{
	for (tool_command_t i = 0; i < TOOL_COMMANDS; i++) {
		const char *second = commands[i].words[1];

		if (argc < 2 || strcmp(argv[1], commands[i].words[0]) != 0)
			continue;
		*command = i;
		if (second == NULL)
			return 1;
		if (argc > 2 && strcmp(argv[2], second) == 0)
			return 2;
	}
	*command = TOOL_COMMANDS;
	return 0;
}

static int
refuse_switch_values(parser_t *parser, int argc, char **argv)
{
	for (int i = 1; i < argc; i++)
		for (tool_flag_t flag = 0; flag < TOOL_FLAGS; flag++) {
			char *start =
			    g_strdup_printf("--%s=", flags[flag].name);
			bool found = flags[flag].kind == VALUE_SWITCH &&
			    g_str_has_prefix(argv[i], start);

			g_free(start);
			if (found)
				return refuse(parser,
				    "the flag --%s takes no value; write it "
				    "alone",
				    flags[flag].name);
		}
	return 0;
}

/* GLib's messages quote the argument, which may hold a key after a '='. */
static int
refuse_flag(parser_t *parser, const GError *error)
{
	char *name = command_name(parser->options->command);
	int length = (int)strcspn(error->message, "=");

	refuse(parser, "%.*s; 'bulrushwell %s --help' lists the flags", length,
	    error->message, name);
	g_free(name);
	return BW_E_INVALID;
}

static int
take_argument(parser_t *parser, char **rest)
{
	tool_options_t *options = parser->options;
	const char *wanted = commands[options->command].argument;
	guint count = g_strv_length(rest) - 1;
	name_t name;

	if (options->help)
		return 0;
	if (count > (wanted != NULL ? 1u : 0u))
		return refuse(parser,
		    "there are too many words; remove them, or put a value "
		    "with spaces between quotes");
	if (wanted == NULL)
		return 0;
	if (count == 0)
		return refuse(parser,
		    "%s is missing; name it after the "
		    "command",
		    wanted);
	if (name_set(name, rest[1]) != 0)
		return refuse(parser, "%s is not a name; %s", wanted,
		    describe_kind(VALUE_NAME));
	options->argument = g_strdup(rest[1]);
	return 0;
}

static int
parse_flags(parser_t *parser, int argc, char **argv, int words)
{
	tool_options_t *options = parser->options;
	GOptionContext *context = make_context(options->command, options);
	char **rest = g_new0(char *, (size_t)argc + 1);
	GError *error = NULL;
	int result;

	rest[0] = g_strdup(argv[0]);
	for (int i = words + 1; i < argc; i++)
		rest[i - words] = g_strdup(argv[i]);
	if (g_option_context_parse_strv(context, &rest, &error)) {
		options->help = tool_options_has(options, TOOL_HELP);
		result = take_argument(parser, rest);
	} else {
		result = refuse_flag(parser, error);
		g_error_free(error);
	}
	g_strfreev(rest);
	g_option_context_free(context);
	return result;
}

static void
read_environment(tool_options_t *options)
{
	for (tool_flag_t flag = 0; flag < TOOL_FLAGS; flag++) {
		const char *value = flags[flag].variable != NULL
		    ? getenv(flags[flag].variable)
		    : NULL;

		if (value != NULL && options->values[flag] == NULL &&
		    takes_flag(options->command, flag))
			add_value(options, flag, value);
	}
}

static int
check_values(parser_t *parser)
{
	for (tool_flag_t flag = 0; flag < TOOL_FLAGS; flag++) {
		const GPtrArray *values = parser->options->values[flag];

		for (guint i = 0; values != NULL && i < values->len; i++)
			if (!is_valid(
				flags[flag].kind, g_ptr_array_index(values, i)))
				return refuse(parser,
				    "the value of --%s is not valid; %s",
				    flags[flag].name,
				    describe_kind(flags[flag].kind));
	}
	return 0;
}

static int
require(parser_t *parser, tool_flag_t flag)
{
	if (tool_options_has(parser->options, flag))
		return 0;
	if (flags[flag].variable != NULL)
		return refuse(parser, "--%s is missing; give it or set %s",
		    flags[flag].name, flags[flag].variable);
	return refuse(parser, "--%s is missing; give it", flags[flag].name);
}

static int
check_edits(parser_t *parser)
{
	const tool_options_t *options = parser->options;

	if (options->command == TOOL_CREATE &&
	    !tool_options_has(options, TOOL_FILE) &&
	    require(parser, TOOL_CUSTOMER) != 0)
		return BW_E_INVALID;
	if (options->command != TOOL_UPDATE)
		return 0;
	for (tool_flag_t flag = TOOL_ADD_CALLER; flag <= TOOL_WINDOW; flag++)
		if (tool_options_has(options, flag))
			return 0;
	return refuse(parser,
	    "nothing is named to be changed; give one of the flags that "
	    "'bulrushwell contract update --help' lists");
}

static int
check_call(parser_t *parser)
{
	const tool_options_t *options = parser->options;
	const char *deadline = tool_options_text(options, TOOL_DEADLINE);
	const char *key_id = tool_options_text(options, TOOL_KEY_ID);

	if (require(parser, TOOL_CALLER_ADDRESS) != 0 ||
	    require(parser, TOOL_KEY) != 0)
		return BW_E_INVALID;
	if (tool_options_has(options, TOOL_BODY) &&
	    tool_options_has(options, TOOL_BODY_FILE))
		return refuse(parser,
		    "--body and --body-file are both given; give one of them");
	if (deadline != NULL &&
	    !g_ascii_string_to_unsigned(
		deadline, 10, 1, CONTRACT_MAX_DEADLINE_MS, NULL, NULL))
		return refuse(parser,
		    "the value of --deadline-ms is not valid; give a whole "
		    "number from 1 to %d",
		    CONTRACT_MAX_DEADLINE_MS);
	if (key_id != NULL && strlen(key_id) > CLAIM_MAX_KEY)
		return refuse(parser,
		    "the value of --key-id is too long; use at most %d signs",
		    CLAIM_MAX_KEY);
	return 0;
}

static int
check_combination(parser_t *parser)
{
	const tool_options_t *options = parser->options;
	unsigned command = BIT(options->command);

	if ((command & CALLS) != 0)
		return check_call(parser);
	if (options->command == TOOL_STATUS)
		return require(parser, TOOL_NODE);
	if (require(parser, TOOL_PLATFORM) != 0)
		return BW_E_INVALID;
	if (tool_options_has(options, TOOL_WAIT) &&
	    require(parser, TOOL_NODE) != 0)
		return BW_E_INVALID;
	return check_edits(parser);
}

int
tool_options_parse(
    int argc, char **argv, tool_options_t *options, char *why, size_t why_size)
{
	parser_t parser = {options, why, why_size};
	int words;

	memset(options, 0, sizeof(*options));
	words = find_command(argc, argv, &options->command);
	if (words == 0) {
		options->help = argc < 2 || is_help(argv[1]) ||
		    (argc > 2 && is_help(argv[2]));
		if (argc > 1 && options->help)
			return 0;
		return refuse(&parser,
		    "no such command; 'bulrushwell --help' lists the commands");
	}
	if (refuse_switch_values(&parser, argc, argv) != 0 ||
	    parse_flags(&parser, argc, argv, words) != 0)
		return BW_E_INVALID;
	if (options->help)
		return 0;
	read_environment(options);
	if (check_values(&parser) != 0)
		return BW_E_INVALID;
	return check_combination(&parser);
}

void
tool_options_clear(tool_options_t *options)
{
	for (tool_flag_t flag = 0; flag < TOOL_FLAGS; flag++)
		if (options->values[flag] != NULL)
			g_ptr_array_unref(options->values[flag]);
	g_free(options->argument);
	memset(options, 0, sizeof(*options));
}
