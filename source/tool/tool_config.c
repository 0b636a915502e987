#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/tool_command.h"
#include "config_check.h"
#include "config_compare.h"
#include "config_text.h"

#define CONFIG_MAX_BYTES (64u << 20) /* far above 100,000 keys */
#define CHUNK_BYTES 65536
#define STANDARD_INPUT "-"

/* Return: 0 or an errno value. */
static int
read_stream(FILE *stream, GString *text)
{
	char chunk[CHUNK_BYTES];
	size_t count;

	while ((count = fread(chunk, 1, sizeof(chunk), stream)) > 0) {
		if (text->len + count > CONFIG_MAX_BYTES)
			return EFBIG;
		g_string_append_len(text, chunk, (gssize)count);
	}
	return ferror(stream) ? errno : 0;
}

/* Return: 0 or an errno value. */
static int
read_file(const char *path, GString *text)
{
	FILE *stream;
	int error;

	if (strcmp(path, STANDARD_INPUT) == 0)
		return read_stream(stdin, text);
	stream = fopen(path, "r");
	if (stream == NULL)
		return errno;
	error = read_stream(stream, text);
	fclose(stream);
	return error;
}

static tool_exit_t
report_read_error(const tool_options_t *options, const char *path, int error)
{
	return tool_report_error(options, TOOL_EXIT_FAILED, BW_E_INVALID,
	    "'%s' cannot be read (%s); give a file of at most %u MB, or - for "
	    "standard input",
	    path, g_strerror(error), CONFIG_MAX_BYTES >> 20);
}

/* The numbers were checked with the command line. */
static uint32_t
number_of(const tool_options_t *options, tool_flag_t flag)
{
	const char *value = tool_options_value(options, flag);

	return value != NULL ? (uint32_t)g_ascii_strtoull(value, NULL, 10) : 0;
}

static void
check_texts(const tool_options_t *options, const GString *text,
    const GString *text_in_force, GPtrArray *findings)
{
	const check_capacity_t capacity = {
	    .slots = number_of(options, TOOL_FLAG_SLOTS),
	    .usual_duration = MS(number_of(options, TOOL_FLAG_USUAL)),
	};
	route_table_t *in_force = NULL;
	route_table_t *table =
	    config_text_read((slice_t){text->str, text->len}, findings);

	if (text_in_force != NULL)
		in_force = config_text_read_in_force(
		    (slice_t){text_in_force->str, text_in_force->len},
		    findings);
	if (table != NULL)
		config_check(table, &capacity, findings);
	if (table != NULL && in_force != NULL)
		config_compare(in_force, table, findings);
	route_table_unref(in_force);
	route_table_unref(table);
}

static void
print_findings(const tool_options_t *options, const GPtrArray *findings)
{
	GString *out;
	json_t *json;

	if (tool_options_has(options, TOOL_FLAG_JSON)) {
		json = check_findings_json(findings);
		tool_print_json(json);
		json_decref(json);
		return;
	}
	out = g_string_new(NULL);
	check_findings_render(out, findings);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
}

static tool_exit_t
exit_code(const GPtrArray *findings)
{
	if (check_findings_count(findings, CHECK_ERROR) > 0)
		return TOOL_EXIT_INVALID;
	if (check_findings_count(findings, CHECK_WARNING) > 0)
		return TOOL_EXIT_WARNINGS;
	return TOOL_EXIT_OK;
}

/* @in_force: path, or NULL */
static tool_exit_t
run_check(const tool_options_t *options, const char *in_force, GString *text,
    GString *text_in_force)
{
	GPtrArray *findings;
	tool_exit_t code;
	int error = read_file(options->argument, text);

	if (error != 0)
		return report_read_error(options, options->argument, error);
	error = in_force != NULL ? read_file(in_force, text_in_force) : 0;
	if (error != 0)
		return report_read_error(options, in_force, error);
	findings = check_findings_create();
	check_texts(
	    options, text, in_force != NULL ? text_in_force : NULL, findings);
	print_findings(options, findings);
	code = exit_code(findings);
	g_ptr_array_unref(findings);
	return code;
}

tool_exit_t
tool_run_config_check(const tool_options_t *options)
{
	GString *text = g_string_new(NULL);
	GString *text_in_force = g_string_new(NULL);
	tool_exit_t code =
	    run_check(options, tool_options_value(options, TOOL_FLAG_IN_FORCE),
		text, text_in_force);

	g_string_free(text_in_force, TRUE);
	g_string_free(text, TRUE);
	return code;
}
