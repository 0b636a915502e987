#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/tool_command.h"
#include "bulrushwell/tool_render.h"
#include "bulrushwell/tool_status.h"

#define STATUS_TIMEOUT SECONDS(3)

int
tool_status_read(
    const char *address, json_t **status, char *message, size_t message_size)
{
	tool_http_request_t request = {
	    .method = "GET",
	    .address = address,
	    .path = "/v1/status",
	    .timeout = STATUS_TIMEOUT,
	};
	tool_http_response_t response;
	int error = 0;

	*status = NULL;
	tool_http_send(&request, &response);
	if (response.result != TOOL_HTTP_RESPONDED) {
		snprintf(message, message_size,
		    "the node at %s does not answer (%s); check the address "
		    "and that the node runs, or ask another node",
		    address, response.transport_error);
		error = BW_E_IO;
	} else if (response.status != 200 ||
	    !json_is_string(json_object_get(response.json, "node"))) {
		snprintf(message, message_size,
		    "the response from %s is not a node status (HTTP status "
		    "%d); give the node's operator address",
		    address, response.status);
		error = BW_E_PROTOCOL;
	} else {
		*status = json_incref(response.json);
	}
	tool_http_response_clear(&response);
	return error;
}

tool_exit_t
tool_run_status(const tool_options_t *options)
{
	const char *address = tool_options_value(options, TOOL_FLAG_NODE);
	GString *out = g_string_new(NULL);
	json_t *status;
	char message[256];
	int error =
	    tool_status_read(address, &status, message, sizeof(message));
	tool_exit_t code = TOOL_EXIT_OK;

	if (error != 0)
		code = tool_report_error(options,
		    error == BW_E_IO ? TOOL_EXIT_UNREACHABLE : TOOL_EXIT_FAILED,
		    error, "%s", message);
	else if (tool_options_has(options, TOOL_FLAG_JSON))
		tool_print_json(status);
	else
		tool_render_status(out, status);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	json_decref(status);
	return code;
}
