#include "bulrushwell/tool_options.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/claim.h"
#include "bulrushwell/contract.h"
#include "bulrushwell/error.h"
#include "bulrushwell/name.h"

#define MAX_HEADER_VALUE 256 /* bytes, without the final NUL */
#define MAX_COUNT 10000000
#define COMMAND_BIT(command) (1u << (command))
#define CONTRACT_WRITE_COMMANDS                         \
	(COMMAND_BIT(TOOL_COMMAND_CONTRACT_CREATE) |    \
	    COMMAND_BIT(TOOL_COMMAND_CONTRACT_UPDATE) | \
	    COMMAND_BIT(TOOL_COMMAND_CONTRACT_RETIRE))
#define CONTRACT_EDIT_COMMANDS                       \
	(COMMAND_BIT(TOOL_COMMAND_CONTRACT_CREATE) | \
	    COMMAND_BIT(TOOL_COMMAND_CONTRACT_UPDATE))
#define CONTRACT_COMMANDS                                                    \
	(CONTRACT_WRITE_COMMANDS | COMMAND_BIT(TOOL_COMMAND_CONTRACT_SHOW) | \
	    COMMAND_BIT(TOOL_COMMAND_CONTRACT_LIST))
#define CALLER_COMMANDS \
	(COMMAND_BIT(TOOL_COMMAND_QUERY) | COMMAND_BIT(TOOL_COMMAND_RESERVE))
#define ALL_COMMANDS (COMMAND_BIT(TOOL_COMMAND_COUNT) - 1)

typedef enum {
	VALUE_SWITCH, /* takes no value */
	VALUE_TEXT,
	VALUE_NAME,
	VALUE_REPEATED_NAME, /* the flag may be repeated */
	VALUE_ADDRESS,
	VALUE_COUNT, /* a whole number from 1 to MAX_COUNT */
	VALUE_HEADER /* for an HTTP header: printable ASCII without spaces */
} value_kind_t;

typedef struct {
	const char *name;
	value_kind_t value_kind;
	const char *environment_variable; /* or NULL */
	const char *value_name;
	const char *help;
	unsigned command_mask; /* commands that accept the flag */
} flag_spec_t;

static const flag_spec_t flag_specs[TOOL_FLAG_COUNT] = {
    [TOOL_FLAG_PLATFORM] = {"platform", VALUE_ADDRESS, "BULRUSHWELL_PLATFORM",
	"IP:PORT",
	"address of the platform's object API (BULRUSHWELL_PLATFORM)",
	CONTRACT_COMMANDS},
    [TOOL_FLAG_NODE] = {"node", VALUE_ADDRESS, "BULRUSHWELL_NODE", "IP:PORT",
	"a node's operator address (BULRUSHWELL_NODE)",
	CONTRACT_WRITE_COMMANDS | COMMAND_BIT(TOOL_COMMAND_STATUS)},
    [TOOL_FLAG_CALLER_ADDRESS] = {"caller-address", VALUE_ADDRESS,
	"BULRUSHWELL_CALLER_ADDRESS", "IP:PORT",
	"address that callers connect to (BULRUSHWELL_CALLER_ADDRESS)",
	CALLER_COMMANDS},
    [TOOL_FLAG_KEY] = {"key", VALUE_HEADER, "BULRUSHWELL_KEY", "KEY",
	"the caller's key; better set BULRUSHWELL_KEY, since other users of "
	"the machine can see a command line",
	CALLER_COMMANDS},
    [TOOL_FLAG_CUSTOMER] = {"customer", VALUE_NAME, NULL, "NAME",
	"name of the customer", COMMAND_BIT(TOOL_COMMAND_CONTRACT_CREATE)},
    [TOOL_FLAG_CALLER] = {"caller", VALUE_REPEATED_NAME, NULL, "NAME",
	"a caller to generate a key for; may be repeated",
	COMMAND_BIT(TOOL_COMMAND_CONTRACT_CREATE)},
    [TOOL_FLAG_ADD_CALLER] = {"add-caller", VALUE_REPEATED_NAME, NULL, "NAME",
	"a caller to add with a new key; may be repeated",
	COMMAND_BIT(TOOL_COMMAND_CONTRACT_UPDATE)},
    [TOOL_FLAG_REMOVE_CALLER] = {"remove-caller", VALUE_REPEATED_NAME, NULL,
	"NAME", "a caller to remove; may be repeated",
	COMMAND_BIT(TOOL_COMMAND_CONTRACT_UPDATE)},
    [TOOL_FLAG_MAY_QUERY] = {"may-query", VALUE_REPEATED_NAME, NULL, "INDEX",
	"an index that callers may query; may be repeated; replaces the list",
	CONTRACT_EDIT_COMMANDS},
    [TOOL_FLAG_MAY_RESERVE] = {"may-reserve", VALUE_REPEATED_NAME, NULL,
	"SERVICE",
	"a service that callers may reserve; may be repeated; replaces the "
	"list",
	CONTRACT_EDIT_COMMANDS},
    [TOOL_FLAG_RATE] = {"rate-per-s", VALUE_TEXT, NULL, "N",
	"requests a second, over all callers", CONTRACT_EDIT_COMMANDS},
    [TOOL_FLAG_CONCURRENCY] = {"concurrency", VALUE_TEXT, NULL, "N",
	"requests that may run at once", CONTRACT_EDIT_COMMANDS},
    [TOOL_FLAG_DEADLINE] = {"deadline-ms", VALUE_TEXT, NULL, "N",
	"milliseconds within which a request is answered",
	CONTRACT_EDIT_COMMANDS | CALLER_COMMANDS},
    [TOOL_FLAG_REPEAT_WINDOW] = {"repeat-window-h", VALUE_TEXT, NULL, "N",
	"hours for which a reservation's idempotency key is remembered",
	CONTRACT_EDIT_COMMANDS},
    [TOOL_FLAG_FILE] = {"file", VALUE_TEXT, NULL, "FILE",
	"a contract written as JSON; other flags override its fields",
	COMMAND_BIT(TOOL_COMMAND_CONTRACT_CREATE)},
    [TOOL_FLAG_AS] = {"as", VALUE_TEXT, NULL, "NAME",
	"who makes the change (default: your user name)",
	CONTRACT_WRITE_COMMANDS},
    [TOOL_FLAG_WAIT] = {"wait", VALUE_SWITCH, NULL, NULL,
	"wait until every live node has the change; needs --node",
	CONTRACT_WRITE_COMMANDS},
    [TOOL_FLAG_KEY_ID] = {"key-id", VALUE_HEADER, NULL, "IDEMPOTENCY_KEY",
	"UNIXSECONDS-TEXT; the same key never reserves twice",
	COMMAND_BIT(TOOL_COMMAND_RESERVE)},
    [TOOL_FLAG_BODY] = {"body", VALUE_TEXT, NULL, "TEXT", "the request body",
	CALLER_COMMANDS},
    [TOOL_FLAG_BODY_FILE] = {"body-file", VALUE_TEXT, NULL, "FILE",
	"a file that holds the request body", CALLER_COMMANDS},
    [TOOL_FLAG_IN_FORCE] = {"in-force", VALUE_TEXT, NULL, "FILE",
	"the version in force, to show what changes; - is standard input",
	COMMAND_BIT(TOOL_COMMAND_CONFIG_CHECK)},
    [TOOL_FLAG_SLOTS] = {"slots", VALUE_COUNT, NULL, "N",
	"requests that all servers together run at once; needs --usual-ms",
	COMMAND_BIT(TOOL_COMMAND_CONFIG_CHECK)},
    [TOOL_FLAG_USUAL] = {"usual-ms", VALUE_COUNT, NULL, "N",
	"milliseconds that a request usually takes on a server",
	COMMAND_BIT(TOOL_COMMAND_CONFIG_CHECK)},
    [TOOL_FLAG_JSON] = {"json", VALUE_SWITCH, NULL, NULL,
	"print JSON for programs", ALL_COMMANDS},
    [TOOL_FLAG_HELP] = {"help", VALUE_SWITCH, NULL, NULL, "print this help",
	ALL_COMMANDS},
};

static const struct {
	const char *words[2];
	const char *argument_name; /* NULL: the command takes no argument */
	const char *summary;
	const char *example;
} command_specs[TOOL_COMMAND_COUNT] = {
    [TOOL_COMMAND_CONTRACT_CREATE] = {{"contract", "create"}, NULL,
	"Writes a new contract and prints the callers' keys once.",
	"  bulrushwell contract create --customer llanberis \\\n"
	"      --caller line-desk --may-query boards --may-reserve "
	"slotplan-01 \\\n"
	"      --rate-per-s 120 --concurrency 24 --deadline-ms 250 \\\n"
	"      --repeat-window-h 24 --wait --node 127.0.0.1:9100"},
    [TOOL_COMMAND_CONTRACT_SHOW] = {{"contract", "show"}, "CUSTOMER",
	"Shows the contract that is stored for a customer.",
	"  bulrushwell contract show llanberis"},
    [TOOL_COMMAND_CONTRACT_LIST] = {{"contract", "list"}, NULL,
	"Lists all contracts.",
	"  bulrushwell contract list --platform 127.0.0.1:9300"},
    [TOOL_COMMAND_CONTRACT_UPDATE] = {{"contract", "update"}, "CUSTOMER",
	"Changes the given fields of a contract and keeps the others.",
	"  bulrushwell contract update llanberis --rate-per-s 150 \\\n"
	"      --add-caller night-shift --remove-caller old-desk"},
    [TOOL_COMMAND_CONTRACT_RETIRE] = {{"contract", "retire"}, "CUSTOMER",
	"Retires a contract permanently. Its callers are then refused.",
	"  bulrushwell contract retire llanberis --wait --node "
	"127.0.0.1:9100"},
    [TOOL_COMMAND_STATUS] = {{"status", NULL}, NULL,
	"Shows a node's contracts, peers, services and indexes.",
	"  bulrushwell status --node 127.0.0.1:9100"},
    [TOOL_COMMAND_QUERY] = {{"query", NULL}, "INDEX",
	"Sends one query as a caller; shows the answer and its coverage.",
	"  BULRUSHWELL_KEY=... bulrushwell query boards \\\n"
	"      --caller-address 127.0.0.1:9000 --body 'board 4711'"},
    [TOOL_COMMAND_RESERVE] = {{"reserve", NULL}, "SERVICE",
	"Makes one reservation as a caller, at most once for each key.",
	"  BULRUSHWELL_KEY=... bulrushwell reserve slotplan-01 \\\n"
	"      --caller-address 127.0.0.1:9000 \\\n"
	"      --key-id 1796362000-reel-4711 --body 'reel 4711'"},
    [TOOL_COMMAND_CONFIG_CHECK] = {{"config", "check"}, "FILE",
	"Checks a configuration of the gateway before it is sent.",
	"  bulrushwell config check new.json --in-force old.json \\\n"
	"      --slots 400 --usual-ms 60"},
};

typedef struct {
	tool_options_t *options;
	char *message;
	size_t message_size;
} parser_t;

/* Writes the message and returns BW_E_INVALID. */
static int set_error(parser_t *parser, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static int
set_error(parser_t *parser, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(parser->message, parser->message_size, format, args);
	va_end(args);
	return BW_E_INVALID;
}

const char *
tool_options_flag_name(tool_flag_t flag)
{
	return flag_specs[flag].name;
}

bool
tool_options_has(const tool_options_t *options, tool_flag_t flag)
{
	return options->values[flag] != NULL;
}

const char *
tool_options_value(const tool_options_t *options, tool_flag_t flag)
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

	if (length == 0 || length > MAX_HEADER_VALUE)
		return false;
	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isgraph(value[i]))
			return false;
	return true;
}

static bool
is_valid_value(value_kind_t kind, const char *value)
{
	address_t address;
	name_t name;

	switch (kind) {
	case VALUE_SWITCH:
		return true;
	case VALUE_TEXT:
		return g_utf8_validate(value, -1, NULL);
	case VALUE_NAME:
	case VALUE_REPEATED_NAME:
		return name_set(name, value) == 0;
	case VALUE_ADDRESS:
		return address_set(address, value) == 0;
	case VALUE_COUNT:
		return g_ascii_string_to_unsigned(
		    value, 10, 1, MAX_COUNT, NULL, NULL);
	case VALUE_HEADER:
		return is_header_value(value);
	}
	return false;
}

static const char *
describe_valid_value(value_kind_t kind)
{
	switch (kind) {
	case VALUE_NAME:
	case VALUE_REPEATED_NAME:
		return "use 1 to 63 lower-case letters, digits, '-', '_' or "
		       "'.'";
	case VALUE_ADDRESS:
		return "write a numeric IP:PORT such as 127.0.0.1:9100";
	case VALUE_HEADER:
		return "use 1 to 256 printable ASCII characters without spaces";
	case VALUE_COUNT:
		return "give a whole number from 1 to 10000000";
	case VALUE_SWITCH:
	case VALUE_TEXT:
		break;
	}
	return "write it as UTF-8 text";
}

static gboolean
store_flag_value(
    const char *name, const char *value, gpointer data, GError **error)
{
	tool_options_t *options = data;
	tool_flag_t flag = 0;

	while (strcmp(flag_specs[flag].name, name + strlen("--")) != 0)
		flag++;
	if (options->values[flag] != NULL &&
	    flag_specs[flag].value_kind != VALUE_REPEATED_NAME) {
		g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
		    "the flag %s is given twice", name);
		return FALSE;
	}
	add_value(options, flag, value != NULL ? value : "");
	return TRUE;
}

static bool
accepts_flag(tool_command_t command, tool_flag_t flag)
{
	return (flag_specs[flag].command_mask & COMMAND_BIT(command)) != 0;
}

static char *
command_name(tool_command_t command)
{
	const char *second = command_specs[command].words[1];

	return g_strdup_printf("%s%s%s", command_specs[command].words[0],
	    second != NULL ? " " : "", second != NULL ? second : "");
}

static GOptionContext *
create_option_context(tool_command_t command, tool_options_t *options)
{
	GOptionEntry entries[TOOL_FLAG_COUNT + 1] = {0};
	GOptionContext *context = g_option_context_new(NULL);
	GOptionGroup *group = g_option_group_new("tool", "", "", options, NULL);
	int count = 0;

	for (tool_flag_t flag = 0; flag < TOOL_FLAG_COUNT; flag++) {
		if (!accepts_flag(command, flag))
			continue;
		entries[count].long_name = flag_specs[flag].name;
		/* Keeps the raw bytes; GLib would convert from the locale. */
		entries[count].flags = G_OPTION_FLAG_FILENAME;
		if (flag_specs[flag].value_kind == VALUE_SWITCH)
			entries[count].flags = G_OPTION_FLAG_NO_ARG;
		entries[count].arg = G_OPTION_ARG_CALLBACK;
		entries[count].arg_data = store_flag_value;
		entries[count].description = flag_specs[flag].help;
		entries[count++].arg_description = flag_specs[flag].value_name;
	}
	g_option_group_add_entries(group, entries);
	g_option_context_set_main_group(context, group);
	g_option_context_set_help_enabled(context, FALSE);
	return context;
}

static char *
format_general_help(void)
{
	GString *text = g_string_new("Usage: bulrushwell COMMAND ...\n\n"
				     "Commands:\n");

	for (tool_command_t i = 0; i < TOOL_COMMAND_COUNT; i++) {
		char *name = command_name(i);

		g_string_append_printf(
		    text, "  %-16s %s\n", name, command_specs[i].summary);
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
	tool_options_t empty_options = {0};
	GOptionContext *context;
	GString *text;
	char *name, *flag_help;
	const char *argument, *remaining;

	if (command == TOOL_COMMAND_COUNT)
		return format_general_help();
	argument = command_specs[command].argument_name;
	context = create_option_context(command, &empty_options);
	name = command_name(command);
	text = g_string_new(NULL);
	g_string_append_printf(text, "Usage: bulrushwell %s%s%s [FLAGS]\n\n",
	    name, argument != NULL ? " " : "",
	    argument != NULL ? argument : "");
	g_string_append_printf(text, "%s\n\nExample:\n%s\n",
	    command_specs[command].summary, command_specs[command].example);
	flag_help = g_option_context_get_help(context, TRUE, NULL);
	/* Skips GLib's own usage line, which names the program only. */
	remaining = strstr(flag_help, "\n\n");
	g_string_append(text, remaining != NULL ? remaining + 1 : flag_help);
	g_free(flag_help);
	g_free(name);
	g_option_context_free(context);
	return g_string_free(text, FALSE);
}

static bool
is_help_word(const char *word)
{
	return strcmp(word, "--help") == 0 || strcmp(word, "help") == 0;
}

/* Returns the number of words that name the command; 0 if it is unknown. */
static int
find_command(int argc, char **argv, tool_command_t *command)
{
	for (tool_command_t i = 0; i < TOOL_COMMAND_COUNT; i++) {
		const char *second = command_specs[i].words[1];

		if (argc < 2 || strcmp(argv[1], command_specs[i].words[0]) != 0)
			continue;
		*command = i;
		if (second == NULL)
			return 1;
		if (argc > 2 && strcmp(argv[2], second) == 0)
			return 2;
	}
	*command = TOOL_COMMAND_COUNT;
	return 0;
}

/* Rejects a value for a flag that takes none, as in "--json=yes". */
static int
reject_switch_values(parser_t *parser, int argc, char **argv)
{
	for (int i = 1; i < argc; i++)
		for (tool_flag_t flag = 0; flag < TOOL_FLAG_COUNT; flag++) {
			char *prefix =
			    g_strdup_printf("--%s=", flag_specs[flag].name);
			bool found =
			    flag_specs[flag].value_kind == VALUE_SWITCH &&
			    g_str_has_prefix(argv[i], prefix);

			g_free(prefix);
			if (found)
				return set_error(parser,
				    "the flag --%s takes no value; write it "
				    "alone",
				    flag_specs[flag].name);
		}
	return 0;
}

/* GLib's messages quote the argument, which may contain a key after a '=', so
 * the message is cut there. */
static int
set_flag_error(parser_t *parser, const GError *error)
{
	char *name = command_name(parser->options->command);
	int length = (int)strcspn(error->message, "=");

	set_error(parser, "%.*s; 'bulrushwell %s --help' lists the flags",
	    length, error->message, name);
	g_free(name);
	return BW_E_INVALID;
}

/* @remaining: the program name, then the words that are not flags; ends with
 * NULL */
static int
parse_argument(parser_t *parser, char **remaining)
{
	tool_options_t *options = parser->options;
	const char *argument_name =
	    command_specs[options->command].argument_name;
	guint count = g_strv_length(remaining) - 1;
	name_t name;

	if (options->help)
		return 0;
	if (count > (argument_name != NULL ? 1u : 0u))
		return set_error(parser,
		    "there are too many words on the command line; remove "
		    "the extra ones, or quote a value that contains spaces");
	if (argument_name == NULL)
		return 0;
	if (count == 0)
		return set_error(parser,
		    "%s is missing; give it after the command", argument_name);
	if (options->command == TOOL_COMMAND_CONFIG_CHECK) {
		options->argument = g_strdup(remaining[1]);
		return 0;
	}
	if (name_set(name, remaining[1]) != 0)
		return set_error(parser, "%s is not a name; %s", argument_name,
		    describe_valid_value(VALUE_NAME));
	options->argument = g_strdup(remaining[1]);
	return 0;
}

static int
parse_flags(parser_t *parser, int argc, char **argv, int word_count)
{
	tool_options_t *options = parser->options;
	GOptionContext *context =
	    create_option_context(options->command, options);
	char **remaining = g_new0(char *, (size_t)argc + 1);
	GError *error = NULL;
	int result;

	remaining[0] = g_strdup(argv[0]);
	for (int i = word_count + 1; i < argc; i++)
		remaining[i - word_count] = g_strdup(argv[i]);
	if (g_option_context_parse_strv(context, &remaining, &error)) {
		options->help = tool_options_has(options, TOOL_FLAG_HELP);
		result = parse_argument(parser, remaining);
	} else {
		result = set_flag_error(parser, error);
		g_error_free(error);
	}
	g_strfreev(remaining);
	g_option_context_free(context);
	return result;
}

static void
read_environment(tool_options_t *options)
{
	for (tool_flag_t flag = 0; flag < TOOL_FLAG_COUNT; flag++) {
		const char *value =
		    flag_specs[flag].environment_variable != NULL
		    ? getenv(flag_specs[flag].environment_variable)
		    : NULL;

		if (value != NULL && options->values[flag] == NULL &&
		    accepts_flag(options->command, flag))
			add_value(options, flag, value);
	}
}

static int
check_values(parser_t *parser)
{
	for (tool_flag_t flag = 0; flag < TOOL_FLAG_COUNT; flag++) {
		const GPtrArray *values = parser->options->values[flag];

		for (guint i = 0; values != NULL && i < values->len; i++)
			if (!is_valid_value(flag_specs[flag].value_kind,
				g_ptr_array_index(values, i)))
				return set_error(parser,
				    "the value of --%s is not valid; %s",
				    flag_specs[flag].name,
				    describe_valid_value(
					flag_specs[flag].value_kind));
	}
	return 0;
}

static int
require_flag(parser_t *parser, tool_flag_t flag)
{
	if (tool_options_has(parser->options, flag))
		return 0;
	if (flag_specs[flag].environment_variable != NULL)
		return set_error(parser,
		    "--%s is missing; give it or set the environment "
		    "variable %s",
		    flag_specs[flag].name,
		    flag_specs[flag].environment_variable);
	return set_error(
	    parser, "--%s is missing; give it", flag_specs[flag].name);
}

static int
check_contract_flags(parser_t *parser)
{
	const tool_options_t *options = parser->options;

	if (options->command == TOOL_COMMAND_CONTRACT_CREATE &&
	    !tool_options_has(options, TOOL_FLAG_FILE) &&
	    require_flag(parser, TOOL_FLAG_CUSTOMER) != 0)
		return BW_E_INVALID;
	if (options->command != TOOL_COMMAND_CONTRACT_UPDATE)
		return 0;
	for (tool_flag_t flag = TOOL_FLAG_ADD_CALLER;
	     flag <= TOOL_FLAG_REPEAT_WINDOW; flag++)
		if (tool_options_has(options, flag))
			return 0;
	return set_error(parser,
	    "no change is given; give one of the flags that "
	    "'bulrushwell contract update --help' lists");
}

static int
check_caller_flags(parser_t *parser)
{
	const tool_options_t *options = parser->options;
	const char *deadline = tool_options_value(options, TOOL_FLAG_DEADLINE);
	const char *key_id = tool_options_value(options, TOOL_FLAG_KEY_ID);

	if (require_flag(parser, TOOL_FLAG_CALLER_ADDRESS) != 0 ||
	    require_flag(parser, TOOL_FLAG_KEY) != 0)
		return BW_E_INVALID;
	if (tool_options_has(options, TOOL_FLAG_BODY) &&
	    tool_options_has(options, TOOL_FLAG_BODY_FILE))
		return set_error(parser,
		    "--body and --body-file are both given; give one of them");
	if (deadline != NULL &&
	    !g_ascii_string_to_unsigned(
		deadline, 10, 1, CONTRACT_MAX_DEADLINE_MS, NULL, NULL))
		return set_error(parser,
		    "the value of --deadline-ms is not valid; give a whole "
		    "number from 1 to %d",
		    CONTRACT_MAX_DEADLINE_MS);
	if (key_id != NULL && strlen(key_id) > CLAIM_MAX_KEY_LENGTH)
		return set_error(parser,
		    "the value of --key-id is too long; use at most %d "
		    "characters",
		    CLAIM_MAX_KEY_LENGTH);
	return 0;
}

static int
check_config_flags(parser_t *parser)
{
	const tool_options_t *options = parser->options;
	const char *in_force = tool_options_value(options, TOOL_FLAG_IN_FORCE);

	if (in_force != NULL && strcmp(in_force, "-") == 0 &&
	    strcmp(options->argument, "-") == 0)
		return set_error(parser,
		    "FILE and --in-force are both standard input; give a file "
		    "for one of them");
	if (tool_options_has(options, TOOL_FLAG_SLOTS))
		return require_flag(parser, TOOL_FLAG_USUAL);
	return 0;
}

static int
check_flag_combination(parser_t *parser)
{
	const tool_options_t *options = parser->options;
	unsigned command_bit = COMMAND_BIT(options->command);

	if ((command_bit & CALLER_COMMANDS) != 0)
		return check_caller_flags(parser);
	if (options->command == TOOL_COMMAND_CONFIG_CHECK)
		return check_config_flags(parser);
	if (options->command == TOOL_COMMAND_STATUS)
		return require_flag(parser, TOOL_FLAG_NODE);
	if (require_flag(parser, TOOL_FLAG_PLATFORM) != 0)
		return BW_E_INVALID;
	if (tool_options_has(options, TOOL_FLAG_WAIT) &&
	    require_flag(parser, TOOL_FLAG_NODE) != 0)
		return BW_E_INVALID;
	return check_contract_flags(parser);
}

int
tool_options_parse(int argc, char **argv, tool_options_t *options,
    char *message, size_t message_size)
{
	parser_t parser = {options, message, message_size};
	int word_count;

	memset(options, 0, sizeof(*options));
	word_count = find_command(argc, argv, &options->command);
	if (word_count == 0) {
		options->help = argc < 2 || is_help_word(argv[1]) ||
		    (argc > 2 && is_help_word(argv[2]));
		if (argc > 1 && options->help)
			return 0;
		return set_error(&parser,
		    "no such command; 'bulrushwell --help' lists the commands");
	}
	if (reject_switch_values(&parser, argc, argv) != 0 ||
	    parse_flags(&parser, argc, argv, word_count) != 0)
		return BW_E_INVALID;
	if (options->help)
		return 0;
	read_environment(options);
	if (check_values(&parser) != 0)
		return BW_E_INVALID;
	return check_flag_combination(&parser);
}

void
tool_options_clear(tool_options_t *options)
{
	for (tool_flag_t flag = 0; flag < TOOL_FLAG_COUNT; flag++)
		if (options->values[flag] != NULL)
			g_ptr_array_unref(options->values[flag]);
	g_free(options->argument);
	memset(options, 0, sizeof(*options));
}
