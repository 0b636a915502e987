#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "bulrushwell/contract.h"
#include "bulrushwell/error.h"
#include "bulrushwell/id.h"
#include "bulrushwell/tool_command.h"
#include "bulrushwell/tool_render.h"

#define MAX_BODY_FILE (16u << 20)
/* The tier answers at the contract's deadline at the latest; the rest covers
 * the way there and back. */
#define CALL_TIMEOUT MS(CONTRACT_MAX_DEADLINE_MS + 3000)
#define MAX_HEADERS 6

typedef struct {
	const tool_options_t *options;
	bool reserve;
	char *key_id;
	char *body;
	size_t body_size;
} call_t;

static int
read_body(call_t *call)
{
	const char *text = tool_options_text(call->options, TOOL_BODY);
	const char *path = tool_options_text(call->options, TOOL_BODY_FILE);
	struct stat file;

	if (path == NULL) {
		call->body = g_strdup(text != NULL ? text : "");
		call->body_size = strlen(call->body);
		return 0;
	}
	if (stat(path, &file) != 0 || !S_ISREG(file.st_mode) ||
	    file.st_size > MAX_BODY_FILE ||
	    !g_file_get_contents(path, &call->body, &call->body_size, NULL))
		return BW_E_INVALID;
	return 0;
}

static char *
make_key_id(void)
{
	char random[ID128_TEXT];

	id128_format(id128_random(), random);
	return g_strdup_printf(
	    "%lld-%s", (long long)(clock_wall() / USEC_PER_SEC), random);
}

/* Printed before anything is sent: who loses the answer needs the key to ask
 * for the outcome. */
static void
choose_key_id(call_t *call)
{
	const char *given = tool_options_text(call->options, TOOL_KEY_ID);

	call->key_id = given != NULL ? g_strdup(given) : make_key_id();
	fprintf(stderr, "Key of this reservation: %s\n", call->key_id);
	fflush(stderr);
}

static void
send_call(const call_t *call, tool_reply_t *reply)
{
	const tool_options_t *options = call->options;
	const char *deadline = tool_options_text(options, TOOL_DEADLINE);
	char *path = g_strdup_printf("/v1/%s/%s",
	    call->reserve ? "reserve" : "query", options->argument);
	char *headers[MAX_HEADERS] = {NULL};
	size_t count = 0;
	tool_request_t request = {
	    .method = "POST",
	    .address = tool_options_text(options, TOOL_CALLER_ADDRESS),
	    .path = path,
	    .headers = (const char *const *)headers,
	    .body = {call->body, call->body_size},
	    .timeout = CALL_TIMEOUT,
	};

	headers[count++] = g_strdup("Content-Type: application/octet-stream");
	headers[count++] = g_strdup_printf(
	    "Authorization: Bearer %s", tool_options_text(options, TOOL_KEY));
	if (call->reserve)
		headers[count++] =
		    g_strdup_printf("Idempotency-Key: %s", call->key_id);
	if (deadline != NULL)
		headers[count++] =
		    g_strdup_printf("X-Deadline-Ms: %s", deadline);
	tool_http_send(&request, reply);
	while (count > 0)
		g_free(headers[--count]);
	g_free(path);
}

static void
print_reply(const call_t *call, const tool_reply_t *reply, tool_exit_t code)
{
	GString *out = g_string_new(NULL);
	bool typed = reply->status != 200;

	if (tool_options_has(call->options, TOOL_JSON))
		tool_print_json(reply->json);
	else if (typed)
		tool_render_error(out, reply->json);
	else if (call->reserve)
		tool_render_reservation(out, reply->json);
	else
		tool_render_query(out, reply->json);
	if (typed && call->reserve && code == TOOL_UNKNOWN &&
	    !tool_options_has(call->options, TOOL_JSON))
		g_string_append_printf(out,
		    "Asking again with --key-id %s is safe: the same key "
		    "never reserves twice.\n",
		    call->key_id);
	fputs(out->str, typed ? stderr : stdout);
	g_string_free(out, TRUE);
}

/* No answer, or one that is not of the API's shape. */
static tool_exit_t
explain(const call_t *call, const tool_reply_t *reply, tool_exit_t code)
{
	const char *address =
	    tool_options_text(call->options, TOOL_CALLER_ADDRESS);
	char problem[sizeof(reply->problem) + 32];

	if (reply->result == TOOL_HTTP_ANSWERED)
		snprintf(problem, sizeof(problem),
		    "a reply that is not understood, status %d", reply->status);
	else
		snprintf(problem, sizeof(problem), "%s", reply->problem);
	if (code == TOOL_UNKNOWN)
		return tool_fail(call->options, code, BW_E_OUTCOME_UNKNOWN,
		    "the answer of %s was lost (%s), so the reservation may "
		    "have run; ask again with --key-id %s, which never "
		    "reserves twice",
		    address, problem, call->key_id);
	if (reply->result == TOOL_HTTP_NOT_SENT)
		return tool_fail(call->options, code, BW_E_IO,
		    "no connection to %s (%s), so nothing ran; check the "
		    "address and try again",
		    address, problem);
	return tool_fail(call->options, code, BW_E_IO,
	    "no usable answer from %s (%s); a query may be repeated, so try "
	    "again",
	    address, problem);
}

static bool
is_understood(const call_t *call, const tool_reply_t *reply, tool_exit_t code)
{
	if (reply->result != TOOL_HTTP_ANSWERED)
		return false;
	if (reply->status != 200)
		return json_is_string(json_object_get(
		    json_object_get(reply->json, "error"), "kind"));
	return call->reserve ? code != TOOL_UNKNOWN : code != TOOL_FAILED;
}

tool_exit_t
tool_run_call(const tool_options_t *options)
{
	call_t call = {.options = options};
	tool_reply_t reply;
	tool_exit_t code;

	call.reserve = options->command == TOOL_RESERVE;
	if (read_body(&call) != 0)
		return tool_fail(options, TOOL_USAGE, BW_E_INVALID,
		    "the file of --body-file cannot be read; give a regular "
		    "file of at most 16 MB");
	if (call.reserve)
		choose_key_id(&call);
	send_call(&call, &reply);
	code =
	    call.reserve ? tool_reserve_exit(&reply) : tool_query_exit(&reply);
	if (is_understood(&call, &reply, code))
		print_reply(&call, &reply, code);
	else
		code = explain(&call, &reply, code);
	tool_reply_clear(&reply);
	g_free(call.key_id);
	g_free(call.body);
	return code;
}
