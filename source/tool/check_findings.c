#include "check_findings.h"

#include <stdarg.h>

#include "bulrushwell/tool_render.h"

static const char *const severity_names[] = {
    [CHECK_ERROR] = "error",
    [CHECK_WARNING] = "warning",
    [CHECK_CHANGE] = "change",
};

static void
free_finding(void *data)
{
	check_finding_t *finding = data;

	g_free(finding->entry);
	g_free(finding->text);
	g_free(finding);
}

GPtrArray *
check_findings_create(void)
{
	return g_ptr_array_new_with_free_func(free_finding);
}

void
check_findings_add(GPtrArray *findings, check_severity_t severity,
    const char *kind, const char *entry, const char *format, ...)
{
	check_finding_t *finding = g_new(check_finding_t, 1);
	va_list arguments;

	finding->severity = severity;
	finding->kind = kind;
	finding->entry = g_strdup(entry);
	va_start(arguments, format);
	finding->text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_ptr_array_add(findings, finding);
}

uint32_t
check_findings_count(const GPtrArray *findings, check_severity_t severity)
{
	uint32_t count = 0;

	for (guint i = 0; i < findings->len; i++) {
		const check_finding_t *finding = g_ptr_array_index(findings, i);

		count += finding->severity == severity;
	}
	return count;
}

typedef void finding_fn(void *context, const check_finding_t *finding);

static void
for_each_by_severity(
    const GPtrArray *findings, finding_fn *visit, void *context)
{
	for (size_t i = 0; i < G_N_ELEMENTS(severity_names); i++)
		for (guint j = 0; j < findings->len; j++) {
			const check_finding_t *finding =
			    g_ptr_array_index(findings, j);

			if (finding->severity == i)
				visit(context, finding);
		}
}

static void
render_finding(void *context, const check_finding_t *finding)
{
	char *line = g_strdup_printf("%s: %s%s%s",
	    severity_names[finding->severity], finding->entry,
	    finding->entry[0] != '\0' ? ": " : "", finding->text);

	/* A name must not be able to fake a line. */
	g_strdelimit(line, "\n\t", '?');
	tool_render_text(context, line);
	g_string_append(context, ".\n");
	g_free(line);
}

static void
render_count(GString *out, const GPtrArray *findings, check_severity_t severity)
{
	uint32_t count = check_findings_count(findings, severity);

	g_string_append_printf(out, "%u %s%s%s", count,
	    severity_names[severity], count == 1 ? "" : "s",
	    severity == CHECK_CHANGE ? ".\n" : ", ");
}

void
check_findings_render(GString *out, const GPtrArray *findings)
{
	for_each_by_severity(findings, render_finding, out);
	render_count(out, findings, CHECK_ERROR);
	render_count(out, findings, CHECK_WARNING);
	render_count(out, findings, CHECK_CHANGE);
}

static void
append_json(void *context, const check_finding_t *finding)
{
	json_array_append_new(context,
	    json_pack("{s:s, s:s, s:s, s:s}", "severity",
		severity_names[finding->severity], "kind", finding->kind,
		"entry", finding->entry, "text", finding->text));
}

json_t *
check_findings_json(const GPtrArray *findings)
{
	json_t *list = json_array();

	for_each_by_severity(findings, append_json, list);
	return json_pack("{s:i, s:i, s:i, s:o}", "errors",
	    (int)check_findings_count(findings, CHECK_ERROR), "warnings",
	    (int)check_findings_count(findings, CHECK_WARNING), "changes",
	    (int)check_findings_count(findings, CHECK_CHANGE), "findings",
	    list);
}
