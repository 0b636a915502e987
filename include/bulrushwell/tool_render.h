#ifndef BULRUSHWELL_TOOL_RENDER_H
#define BULRUSHWELL_TOOL_RENDER_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "bulrushwell/tool.h"
#include "bulrushwell/tool_http.h"

/**
 * DOC: Human-readable output
 *
 * The texts shown come from other machines, so control characters are replaced:
 * a response cannot send escape sequences to the terminal. A text field that is
 * absent or of another type is shown as "?".
 */

/**
 * tool_render_text() - Appends UTF-8 text, with '?' in place of each control
 * character except newline and tab.
 */
void tool_render_text(GString *out, const char *text);

/** tool_render_contract() - Formats a contract; @value is its JSON. */
void tool_render_contract(GString *out, uint64_t version, const json_t *value);

/** tool_render_contracts() - Formats a list, one line for each contract. */
void tool_render_contracts(GString *out, const json_t *list);

/** tool_render_status() - Formats a node's status. */
void tool_render_status(GString *out, const json_t *status);

/** tool_render_query() - Formats the answer to a query, with its coverage. */
void tool_render_query(GString *out, const json_t *answer);

/** tool_render_reservation() - Formats the outcome of a reservation. */
void tool_render_reservation(GString *out, const json_t *answer);

/**
 * tool_render_error() - Formats an error body: its message, whether the request
 * may have run, and the remedy.
 */
void tool_render_error(GString *out, const json_t *response);

/**
 * tool_query_exit_code() - Returns the exit code for the response to a query.
 *
 * The answer counts as complete only if the response says so and its coverage
 * agrees.
 */
tool_exit_t tool_query_exit_code(const tool_http_response_t *response);

/**
 * tool_reserve_exit_code() - Returns the exit code for the response to a
 * reservation.
 *
 * Unless the response proves otherwise, the reservation may have run.
 */
tool_exit_t tool_reserve_exit_code(const tool_http_response_t *response);

#endif
