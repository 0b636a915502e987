#include "config_text.h"

#include <jansson.h>

#include "../../platform/decode_config.h"

/* As the gateway parses the store's responses. */
#define PARSER_FLAGS JSON_ALLOW_NUL

/* Names the place only, since the parser's own message quotes the text, which
 * may be a key. */
static void
add_syntax_error(
    GPtrArray *findings, const char *entry, const json_error_t *error)
{
	check_findings_add(findings, CHECK_ERROR, "not_json", entry,
	    "line %d, column %d is not valid JSON; correct it there",
	    error->line, error->column);
}

/* The gateway takes the last one of two fields with the same name. */
static void
check_repeated_fields(slice_t text, GPtrArray *findings)
{
	json_error_t error;
	json_t *object = json_loadb(text.data, text.size,
	    PARSER_FLAGS | JSON_REJECT_DUPLICATES, &error);

	if (object == NULL)
		check_findings_add(findings, CHECK_WARNING, "field_repeated",
		    "",
		    "line %d, column %d repeats a field, and the last one "
		    "counts; remove one",
		    error.line, error.column);
	json_decref(object);
}

static void
add_finding(void *context, config_finding_severity_t severity, const char *text)
{
	switch (severity) {
	case CONFIG_FINDING_ERROR:
		check_findings_add(
		    context, CHECK_ERROR, "refused", "", "%s", text);
		break;
	case CONFIG_FINDING_WARNING:
		check_findings_add(
		    context, CHECK_WARNING, "value_ignored", "", "%s", text);
		break;
	}
}

route_table_t *
config_text_read(slice_t text, GPtrArray *findings)
{
	json_error_t error;
	json_t *object = json_loadb(text.data, text.size, PARSER_FLAGS, &error);
	route_table_t *table;

	if (object == NULL) {
		add_syntax_error(findings, "", &error);
		return NULL;
	}
	check_repeated_fields(text, findings);
	table = decode_config_verbosely(
	    decode_config_spec(object), add_finding, findings);
	json_decref(object);
	return table;
}

static void
add_error_in_force(
    void *context, config_finding_severity_t severity, const char *text)
{
	if (severity == CONFIG_FINDING_ERROR)
		check_findings_add(context, CHECK_ERROR, "in_force_refused",
		    "version in force", "%s", text);
}

route_table_t *
config_text_read_in_force(slice_t text, GPtrArray *findings)
{
	json_error_t error;
	json_t *object = json_loadb(text.data, text.size, PARSER_FLAGS, &error);
	route_table_t *table;

	if (object == NULL) {
		add_syntax_error(findings, "version in force", &error);
		return NULL;
	}
	table = decode_config_verbosely(
	    decode_config_spec(object), add_error_in_force, findings);
	json_decref(object);
	return table;
}
