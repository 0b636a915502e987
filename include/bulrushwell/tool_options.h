#ifndef BULRUSHWELL_TOOL_OPTIONS_H
#define BULRUSHWELL_TOOL_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Command line of the tool
 *
 * Each command accepts its own flags only. Addresses and the key may come from
 * the environment; a flag wins.
 */
typedef enum {
	TOOL_CREATE,
	TOOL_SHOW,
	TOOL_LIST,
	TOOL_UPDATE,
	TOOL_RETIRE,
	TOOL_STATUS,
	TOOL_QUERY,
	TOOL_RESERVE,
	TOOL_COMMANDS /* also: none named */
} tool_command_t;

typedef enum {
	TOOL_PLATFORM,
	TOOL_NODE,
	TOOL_CALLER_ADDRESS,
	TOOL_KEY,
	TOOL_CUSTOMER,
	TOOL_CALLER,
	TOOL_ADD_CALLER,
	TOOL_REMOVE_CALLER,
	TOOL_MAY_QUERY,
	TOOL_MAY_RESERVE,
	TOOL_RATE,
	TOOL_CONCURRENCY,
	TOOL_DEADLINE,
	TOOL_WINDOW,
	TOOL_FILE,
	TOOL_AS,
	TOOL_WAIT,
	TOOL_KEY_ID,
	TOOL_BODY,
	TOOL_BODY_FILE,
	TOOL_JSON,
	TOOL_HELP,
	TOOL_FLAGS
} tool_flag_t;

typedef struct {
	tool_command_t command;
	bool help;
	char *argument; /* customer, index or service; NULL when none */
	GPtrArray *values[TOOL_FLAGS]; /* of text; NULL when not given */
} tool_options_t;

/**
 * tool_options_parse() - Reads and checks the command line.
 * @options: to be cleared with tool_options_clear(), also after an error
 * @why: on error, names the flag and the remedy; never holds a value
 *
 * Return: 0 or BW_E_INVALID.
 */
int tool_options_parse(
    int argc, char **argv, tool_options_t *options, char *why, size_t why_size);

void tool_options_clear(tool_options_t *options);

/** tool_options_help() - Help of one command or of all; to be freed. */
char *tool_options_help(tool_command_t command);

/** tool_options_has() - Whether a flag was given. */
bool tool_options_has(const tool_options_t *options, tool_flag_t flag);

/** tool_options_text() - A flag's value, or NULL. */
const char *tool_options_text(const tool_options_t *options, tool_flag_t flag);

/** tool_options_flag_name() - A flag's name without the "--". */
const char *tool_options_flag_name(tool_flag_t flag);

#endif
