#ifndef TOOL_CONFIG_TEXT_H
#define TOOL_CONFIG_TEXT_H

#include "../gateway/route_table.h"
#include "bulrushwell/slice.h"
#include "check_findings.h"

/**
 * config_text_read() - Reads a version as the gateway does.
 * @text: JSON of the configuration, or of the stored object that holds it
 * @findings: gets the reader's errors and warnings
 *
 * Return: a table whose reference the caller owns, or NULL after an error.
 */
route_table_t *config_text_read(slice_t text, GPtrArray *findings);

/**
 * config_text_read_in_force() - Like config_text_read(), but reports only
 * errors, as errors of the version in force.
 */
route_table_t *config_text_read_in_force(slice_t text, GPtrArray *findings);

#endif
