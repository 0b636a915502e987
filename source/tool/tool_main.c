#include "bulrushwell/tool.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/tool_command.h"
#include "bulrushwell/tool_render.h"

#define MESSAGE_SIZE 1024

void
tool_print_json(const json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

	printf("%s\n", text != NULL ? text : "null");
	free(text);
}

/* A message may quote names that another machine sent, so control characters
 * and invalid UTF-8 are replaced. */
static void
print_message(const char *message)
{
	GString *out = g_string_new("bulrushwell: ");
	char *text = g_utf8_make_valid(message, -1);

	tool_render_text(out, text);
	fprintf(stderr, "%s.\n", out->str);
	g_free(text);
	g_string_free(out, TRUE);
}

tool_exit_t
tool_report_error(const tool_options_t *options, tool_exit_t code, int error,
    const char *format, ...)
{
	bool not_run = error_is_not_run(error) || code == TOOL_EXIT_UNREACHABLE;
	char message[MESSAGE_SIZE];
	json_t *json;
	va_list args;
	char *text;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	if (!tool_options_has(options, TOOL_FLAG_JSON)) {
		print_message(message);
		return code;
	}
	text = g_utf8_make_valid(message, -1);
	json = json_pack("{s:{s:s, s:i, s:b, s:s, s:s}}", "error", "kind",
	    error_kind(error), "code", error, "not_run", not_run, "message",
	    text, "remedy", error_remedy(error));
	g_free(text);
	tool_print_json(json);
	json_decref(json);
	return code;
}

static tool_exit_t
run_command(const tool_options_t *options)
{
	switch (options->command) {
	case TOOL_COMMAND_STATUS:
		return tool_run_status(options);
	case TOOL_COMMAND_QUERY:
	case TOOL_COMMAND_RESERVE:
		return tool_run_call(options);
	case TOOL_COMMAND_CONFIG_CHECK:
		return tool_run_config_check(options);
	default:
		return tool_run_contract(options);
	}
}

int
tool_main(int argc, char **argv)
{
	tool_options_t options;
	char message[MESSAGE_SIZE / 2];
	tool_exit_t code = TOOL_EXIT_OK;

	if (tool_options_parse(
		argc, argv, &options, message, sizeof(message)) != 0) {
		code = tool_report_error(
		    &options, TOOL_EXIT_USAGE, BW_E_INVALID, "%s", message);
	} else if (options.help) {
		char *help = tool_options_help(options.command);

		fputs(help, stdout);
		g_free(help);
	} else {
		code = run_command(&options);
	}
	tool_options_clear(&options);
	if (fflush(stdout) != 0 && code == TOOL_EXIT_OK)
		code = TOOL_EXIT_FAILED;
	return (int)code;
}
