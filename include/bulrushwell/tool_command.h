#ifndef BULRUSHWELL_TOOL_COMMAND_H
#define BULRUSHWELL_TOOL_COMMAND_H

#include <jansson.h>

#include "bulrushwell/tool.h"
#include "bulrushwell/tool_options.h"

/** tool_run_contract() - Runs one of the contract commands. */
tool_exit_t tool_run_contract(const tool_options_t *options);

/** tool_run_status() - Prints a node's status. */
tool_exit_t tool_run_status(const tool_options_t *options);

/** tool_run_call() - Sends a query or a reservation as a caller. */
tool_exit_t tool_run_call(const tool_options_t *options);

/** tool_run_config_check() - Checks a configuration of the gateway. */
tool_exit_t tool_run_config_check(const tool_options_t *options);

/**
 * tool_report_error() - Prints an error that the tool itself detected: as a
 * sentence on standard error, or with --json as JSON on standard output.
 * @error: the BW_E_... number that gives the JSON its kind, not_run and
 * remedy
 * @format: one sentence with the remedy after a ';', without a final full stop
 *
 * Return: @code.
 */
tool_exit_t tool_report_error(const tool_options_t *options, tool_exit_t code,
    int error, const char *format, ...) __attribute__((format(printf, 4, 5)));

/** tool_print_json() - Prints one line of JSON on standard output. */
void tool_print_json(const json_t *value);

#endif
