#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "bulrushwell/contract.h"
#include "bulrushwell/error.h"
#include "bulrushwell/id.h"
#include "bulrushwell/tool_command.h"
#include "bulrushwell/tool_render.h"

#define MAX_BODY_FILE_BYTES (16u << 20)
/* The tier responds by the contract's deadline; the extra 3 s covers the
 * network round trip. */
#define CALL_TIMEOUT MS(CONTRACT_MAX_DEADLINE_MS + 3000)
#define MAX_HEADER_COUNT 6

typedef struct {
	const tool_options_t *options;
	bool reserve;	       /* a reservation; otherwise a query */
	char *idempotency_key; /* reservations only */
	char *body;
	size_t body_size;
} caller_request_t;

static int
read_body(caller_request_t *request)
{
	const char *text = tool_options_value(request->options, TOOL_FLAG_BODY);
	const char *path =
	    tool_options_value(request->options, TOOL_FLAG_BODY_FILE);
	struct stat file_info;

	if (path == NULL) {
		request->body = g_strdup(text != NULL ? text : "");
		request->body_size = strlen(request->body);
		return 0;
	}
	if (stat(path, &file_info) != 0 || !S_ISREG(file_info.st_mode) ||
	    file_info.st_size > MAX_BODY_FILE_BYTES ||
	    !g_file_get_contents(
		path, &request->body, &request->body_size, NULL))
		return BW_E_INVALID;
	return 0;
}

static char *
generate_idempotency_key(void)
{
	char random[ID128_TEXT];

	id128_format(id128_random(), random);
	return g_strdup_printf(
	    "%lld-%s", (long long)(clock_wall() / USEC_PER_SEC), random);
}

/* Prints the key before anything is sent: if the response is lost, the operator
 * needs the key to ask for the outcome. */
static void
set_idempotency_key(caller_request_t *request)
{
	const char *given =
	    tool_options_value(request->options, TOOL_FLAG_KEY_ID);

	request->idempotency_key =
	    given != NULL ? g_strdup(given) : generate_idempotency_key();
	fprintf(
	    stderr, "Key of this reservation: %s\n", request->idempotency_key);
	fflush(stderr);
}

static void
send_request(const caller_request_t *request, tool_http_response_t *response)
{
	const tool_options_t *options = request->options;
	const char *deadline = tool_options_value(options, TOOL_FLAG_DEADLINE);
	char *path = g_strdup_printf("/v1/%s/%s",
	    request->reserve ? "reserve" : "query", options->argument);
	char *headers[MAX_HEADER_COUNT] = {NULL};
	size_t count = 0;
	tool_http_request_t http_request = {
	    .method = "POST",
	    .address = tool_options_value(options, TOOL_FLAG_CALLER_ADDRESS),
	    .path = path,
	    .headers = (const char *const *)headers,
	    .body = {request->body, request->body_size},
	    .timeout = CALL_TIMEOUT,
	};

	headers[count++] = g_strdup("Content-Type: application/octet-stream");
	headers[count++] = g_strdup_printf("Authorization: Bearer %s",
	    tool_options_value(options, TOOL_FLAG_KEY));
	if (request->reserve)
		headers[count++] = g_strdup_printf(
		    "Idempotency-Key: %s", request->idempotency_key);
	if (deadline != NULL)
		headers[count++] =
		    g_strdup_printf("X-Deadline-Ms: %s", deadline);
	tool_http_send(&http_request, response);
	while (count > 0)
		g_free(headers[--count]);
	g_free(path);
}

static void
print_response(const caller_request_t *request,
    const tool_http_response_t *response, tool_exit_t code)
{
	GString *out = g_string_new(NULL);
	bool is_error = response->status != 200;

	if (tool_options_has(request->options, TOOL_FLAG_JSON))
		tool_print_json(response->json);
	else if (is_error)
		tool_render_error(out, response->json);
	else if (request->reserve)
		tool_render_reservation(out, response->json);
	else
		tool_render_query(out, response->json);
	if (is_error && request->reserve && code == TOOL_EXIT_OUTCOME_UNKNOWN &&
	    !tool_options_has(request->options, TOOL_FLAG_JSON))
		g_string_append_printf(out,
		    "Repeating the request with --key-id %s is safe: the "
		    "same key never reserves twice.\n",
		    request->idempotency_key);
	fputs(out->str, is_error ? stderr : stdout);
	g_string_free(out, TRUE);
}

/* Reports a missing response, or one that does not have the API's format. */
static tool_exit_t
report_unusable_response(const caller_request_t *request,
    const tool_http_response_t *response, tool_exit_t code)
{
	const char *address =
	    tool_options_value(request->options, TOOL_FLAG_CALLER_ADDRESS);
	char reason[sizeof(response->transport_error) + 32];

	if (response->result == TOOL_HTTP_RESPONDED)
		snprintf(reason, sizeof(reason),
		    "unrecognized response, status %d", response->status);
	else
		snprintf(
		    reason, sizeof(reason), "%s", response->transport_error);
	if (code == TOOL_EXIT_OUTCOME_UNKNOWN)
		return tool_report_error(request->options, code,
		    BW_E_OUTCOME_UNKNOWN,
		    "no usable response from %s (%s), so the reservation may "
		    "have run; repeat it with --key-id %s, which never "
		    "reserves twice",
		    address, reason, request->idempotency_key);
	if (response->result == TOOL_HTTP_NOT_SENT)
		return tool_report_error(request->options, code, BW_E_IO,
		    "no connection to %s (%s), so nothing ran; check the "
		    "address and try again",
		    address, reason);
	return tool_report_error(request->options, code, BW_E_IO,
	    "no usable response from %s (%s); a query is safe to repeat, so "
	    "try again",
	    address, reason);
}

/* @code: the exit code for @response. For status 200, it is
 * TOOL_EXIT_OUTCOME_UNKNOWN (reservation) or TOOL_EXIT_FAILED (query) only when
 * the body does not have the API's format. */
static bool
is_valid_response(const caller_request_t *request,
    const tool_http_response_t *response, tool_exit_t code)
{
	if (response->result != TOOL_HTTP_RESPONDED)
		return false;
	if (response->status != 200)
		return json_is_string(json_object_get(
		    json_object_get(response->json, "error"), "kind"));
	return request->reserve ? code != TOOL_EXIT_OUTCOME_UNKNOWN
				: code != TOOL_EXIT_FAILED;
}

tool_exit_t
tool_run_call(const tool_options_t *options)
{
	caller_request_t request = {.options = options};
	tool_http_response_t response;
	tool_exit_t code;

	request.reserve = options->command == TOOL_COMMAND_RESERVE;
	if (read_body(&request) != 0)
		return tool_report_error(options, TOOL_EXIT_USAGE, BW_E_INVALID,
		    "the file given with --body-file cannot be read; give a "
		    "regular file of at most 16 MB");
	if (request.reserve)
		set_idempotency_key(&request);
	send_request(&request, &response);
	code = request.reserve ? tool_reserve_exit_code(&response)
			       : tool_query_exit_code(&response);
	if (is_valid_response(&request, &response, code))
		print_response(&request, &response, code);
	else
		code = report_unusable_response(&request, &response, code);
	tool_http_response_clear(&response);
	g_free(request.idempotency_key);
	g_free(request.body);
	return code;
}
