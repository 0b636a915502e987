#ifndef BULRUSHWELL_TOOL_OPTIONS_H
#define BULRUSHWELL_TOOL_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Command line of the tool
 *
 * Each command accepts its own flags only. Addresses and the key may be set in
 * the environment; a flag takes precedence.
 */
typedef enum {
	TOOL_COMMAND_CONTRACT_CREATE,
	TOOL_COMMAND_CONTRACT_SHOW,
	TOOL_COMMAND_CONTRACT_LIST,
	TOOL_COMMAND_CONTRACT_UPDATE,
	TOOL_COMMAND_CONTRACT_RETIRE,
	TOOL_COMMAND_STATUS,
	TOOL_COMMAND_QUERY,
	TOOL_COMMAND_RESERVE,
	TOOL_COMMAND_CONFIG_CHECK,
	TOOL_COMMAND_COUNT /* also stands for no command */
} tool_command_t;

typedef enum {
	TOOL_FLAG_PLATFORM,
	TOOL_FLAG_NODE,
	TOOL_FLAG_CALLER_ADDRESS,
	TOOL_FLAG_KEY,
	TOOL_FLAG_CUSTOMER,
	TOOL_FLAG_CALLER,
	TOOL_FLAG_ADD_CALLER,
	TOOL_FLAG_REMOVE_CALLER,
	TOOL_FLAG_MAY_QUERY,
	TOOL_FLAG_MAY_RESERVE,
	TOOL_FLAG_RATE,
	TOOL_FLAG_CONCURRENCY,
	TOOL_FLAG_DEADLINE,
	TOOL_FLAG_REPEAT_WINDOW,
	TOOL_FLAG_FILE,
	TOOL_FLAG_AS,
	TOOL_FLAG_WAIT,
	TOOL_FLAG_KEY_ID,
	TOOL_FLAG_BODY,
	TOOL_FLAG_BODY_FILE,
	TOOL_FLAG_IN_FORCE,
	TOOL_FLAG_SLOTS,
	TOOL_FLAG_USUAL,
	TOOL_FLAG_JSON,
	TOOL_FLAG_HELP,
	TOOL_FLAG_COUNT
} tool_flag_t;

typedef struct {
	tool_command_t command;
	bool help;
	char *argument; /* customer, index, service or file; NULL: none */
	GPtrArray *values[TOOL_FLAG_COUNT]; /* of char *; NULL when not given */
} tool_options_t;

/**
 * tool_options_parse() - Reads and checks the command line.
 * @options: to be cleared with tool_options_clear(), also after an error
 * @message: on error, the flag and the remedy; never contains a flag's value,
 * which may be a key
 *
 * Return: 0 or BW_E_INVALID.
 */
int tool_options_parse(int argc, char **argv, tool_options_t *options,
    char *message, size_t message_size);

/** tool_options_clear() - Frees the values and zeroes the options. */
void tool_options_clear(tool_options_t *options);

/**
 * tool_options_help() - Formats the help text of a command.
 * @command: TOOL_COMMAND_COUNT for the list of commands
 *
 * Return: text to be freed with g_free().
 */
char *tool_options_help(tool_command_t command);

/** tool_options_has() - Whether a flag or its environment variable is given. */
bool tool_options_has(const tool_options_t *options, tool_flag_t flag);

/** tool_options_value() - A flag's first value, or NULL if it is not given. */
const char *tool_options_value(const tool_options_t *options, tool_flag_t flag);

/** tool_options_flag_name() - A flag's name without the "--". */
const char *tool_options_flag_name(tool_flag_t flag);

#endif
