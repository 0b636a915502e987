#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/tool_command.h"
#include "bulrushwell/tool_render.h"
#include "bulrushwell/tool_status.h"

#define STATUS_TIMEOUT SECONDS(3)

int
tool_status_read(
    const char *address, json_t **status, char *why, size_t why_size)
{
	tool_request_t request = {
	    .method = "GET",
	    .address = address,
	    .path = "/v1/status",
	    .timeout = STATUS_TIMEOUT,
	};
	tool_reply_t reply;
	int error = 0;

	*status = NULL;
	tool_http_send(&request, &reply);
	if (reply.result != TOOL_HTTP_ANSWERED) {
		snprintf(why, why_size,
		    "the node at %s gives no answer (%s); check the address "
		    "and that the node runs, or ask another node",
		    address, reply.problem);
		error = BW_E_IO;
	} else if (reply.status != 200 ||
	    !json_is_string(json_object_get(reply.json, "node"))) {
		snprintf(why, why_size,
		    "the reply of %s is not a status (HTTP status %d); give "
		    "the node's operator address",
		    address, reply.status);
		error = BW_E_PROTOCOL;
	} else {
		*status = json_incref(reply.json);
	}
	tool_reply_clear(&reply);
	return error;
}

tool_exit_t
tool_run_status(const tool_options_t *options)
{
	const char *address = tool_options_text(options, TOOL_NODE);
	GString *out = g_string_new(NULL);
	json_t *status;
	char why[256];
	int error = tool_status_read(address, &status, why, sizeof(why));
	tool_exit_t code = TOOL_OK;

	if (error != 0)
		code = tool_fail(options,
		    error == BW_E_IO ? TOOL_UNREACHABLE : TOOL_FAILED, error,
		    "%s", why);
	else if (tool_options_has(options, TOOL_JSON))
		tool_print_json(status);
	else
		tool_render_status(out, status);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	json_decref(status);
	return code;
}
