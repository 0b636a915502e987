#ifndef TOOL_CHECK_FINDINGS_H
#define TOOL_CHECK_FINDINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/**
 * DOC: What the check of a configuration finds
 *
 * Findings never contain a customer's key.
 */
typedef enum {
	CHECK_ERROR,   /* gateways refuse the version */
	CHECK_WARNING, /* accepted, but hardly meant */
	CHECK_CHANGE   /* differs from the version in force */
} check_severity_t;

typedef struct {
	check_severity_t severity;
	const char *kind; /* for programs, such as "route_shadowed" */
	char *entry;	  /* what it concerns; may be empty */
	char *text;	  /* one sentence without a final full stop */
} check_finding_t;

/** check_findings_create() - Creates an array of &check_finding_t that frees
 * its elements. */
GPtrArray *check_findings_create(void);

/**
 * check_findings_add() - Adds a finding.
 * @kind: a literal
 * @entry: copied
 */
void check_findings_add(GPtrArray *findings, check_severity_t severity,
    const char *kind, const char *entry, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/** check_findings_count() - Number of findings of a severity. */
uint32_t check_findings_count(
    const GPtrArray *findings, check_severity_t severity);

/**
 * check_findings_render() - Appends a line for each finding, the severest
 * first, and one with their numbers. Control characters are replaced.
 */
void check_findings_render(GString *out, const GPtrArray *findings);

/** check_findings_json() - Returns the findings in the same order as JSON,
 * owned by the caller. */
json_t *check_findings_json(const GPtrArray *findings);

#endif
