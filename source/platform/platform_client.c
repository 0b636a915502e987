#include "bulrushwell/platform_client.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/event.h"
#include "bulrushwell/json_partial.h"

#define PATH_SIZE 384

struct platform_client {
	struct ev_loop *loop;
	http_client_t *http;
	char address[ADDRESS_SIZE];
	char kinds[128];
	platform_events_t events;
	ev_timer retry_timer;
	ev_timer vms_timer;
	handle_t watch;
	handle_t vms_call;
	uint64_t revision;
	bool have_revision;
	bool fresh_connection; /* the last watch failed: do not reuse one */
	uint64_t call_count;
};

/* A read or write in progress. */
typedef struct {
	platform_client_t *client;
	platform_completion_t completion;
	bool is_write;
} call_t;

static void start_watch(platform_client_t *client);

/* An object that can't be read lacks its value, or is null in a list. */
static json_t *
parse_reply(const http_response_t *response)
{
	static const char *const divisible[] = {"objects", NULL};
	static const json_partial_rules_t rules = {
	    .flags = JSON_REJECT_DUPLICATES, .divisible = divisible};
	slice_t body = http_response_body(response);
	bool is_partial;
	json_t *root = json_partial_parse(&rules, body, &is_partial);

	if (is_partial)
		event_log_sampled(EVENT_PLATFORM_BAD_REPLY,
		    "a part of %zu bytes can't be read", body.size);
	if (!json_is_object(root)) {
		json_decref(root);
		event_log(EVENT_PLATFORM_BAD_REPLY,
		    "a reply of %zu bytes is not a JSON object", body.size);
		return NULL;
	}
	return root;
}

static void
report_object(platform_client_t *client, const json_t *object)
{
	const json_t *value = json_object_get(object, "value");
	const char *kind = json_string_value(json_object_get(object, "kind"));
	const char *name = json_string_value(json_object_get(object, "name"));
	json_int_t version =
	    json_integer_value(json_object_get(object, "version"));
	platform_object_t reported = {kind, name, (uint64_t)version, {NULL, 0}};
	char *text;

	if (kind == NULL || name == NULL || version <= 0 || value == NULL) {
		event_log(EVENT_PLATFORM_BAD_REPLY,
		    "an object lacks kind, name, version or value");
		return;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	reported.text = slice_from(text);
	client->events.object_read(client->events.context, &reported);
	free(text);
}

static bool
report_objects(platform_client_t *client, const http_response_t *response)
{
	json_t *root = parse_reply(response);
	json_t *objects, *object;
	json_int_t revision;
	size_t i;

	if (root == NULL)
		return false;
	objects = json_object_get(root, "objects");
	revision = json_integer_value(json_object_get(root, "revision"));
	if (!json_is_array(objects) || revision < 0) {
		json_decref(root);
		event_log(EVENT_PLATFORM_BAD_REPLY,
		    "an object list lacks objects or revision");
		return false;
	}
	json_array_foreach (objects, i, object)
		report_object(client, object);
	client->revision = (uint64_t)revision;
	json_decref(root);
	return true;
}

static void
handle_failed_watch(platform_client_t *client)
{
	client->have_revision = false;
	client->fresh_connection = true;
	client->events.call_failed(client->events.context);
	ev_timer_stop(client->loop, &client->retry_timer);
	ev_timer_set(
	    &client->retry_timer, PLATFORM_RETRY_DELAY_MS / 1000.0, 0.0);
	ev_timer_start(client->loop, &client->retry_timer);
}

static void
on_watch_done(
    void *context, http_result_t result, const http_response_t *response)
{
	platform_client_t *client = context;
	bool was_synced = client->have_revision;

	client->watch = HANDLE_NONE;
	if (result != HTTP_ANSWERED || http_response_status(response) != 200 ||
	    !report_objects(client, response)) {
		handle_failed_watch(client);
		return;
	}
	client->have_revision = true;
	client->fresh_connection = false;
	client->events.answered(client->events.context);
	if (!was_synced)
		client->events.synced(client->events.context);
	start_watch(client);
}

static void
start_watch(platform_client_t *client)
{
	char path[PATH_SIZE];
	http_request_t request = {
	    .method = "GET",
	    .address = client->address,
	    .path = path,
	    .timeout = MS(PLATFORM_CALL_TIMEOUT_MS),
	    .max_response = PLATFORM_MAX_REPLY_BYTES,
	    .fresh_connection = client->fresh_connection,
	    .done = on_watch_done,
	    .context = client,
	};

	if (client->have_revision) {
		snprintf(path, sizeof(path),
		    "/v1/objects/%s?since=%llu&wait_ms=%d", client->kinds,
		    (unsigned long long)client->revision,
		    PLATFORM_WATCH_WAIT_MS);
		request.timeout =
		    MS(PLATFORM_WATCH_WAIT_MS + PLATFORM_WATCH_MARGIN_MS);
	} else {
		snprintf(path, sizeof(path), "/v1/objects/%s", client->kinds);
	}
	client->call_count++;
	client->watch = http_client_send(client->http, &request);
	if (client->watch == HANDLE_NONE)
		handle_failed_watch(client);
}

static void
on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	platform_client_t *client = timer->data;

	if (client->watch == HANDLE_NONE)
		start_watch(client);
}

static bool
read_vm(const json_t *item, vm_entry_t *entry)
{
	const char *vm = json_string_value(json_object_get(item, "vm"));
	const char *state = json_string_value(json_object_get(item, "state"));

	if (vm == NULL || state == NULL || name_set(entry->vm, vm) != 0)
		return false;
	if (strcmp(state, "live") == 0)
		entry->state = VM_LIVE;
	else if (strcmp(state, "leaving") == 0)
		entry->state = VM_LEAVING;
	else if (strcmp(state, "gone") == 0)
		entry->state = VM_GONE;
	else
		return false;
	return true;
}

/* A list with a malformed entry is not used at all: a VM that is absent from
 * the list counts as gone, which a partial list would report wrongly. */
static void
report_vms(platform_client_t *client, const json_t *root)
{
	const json_t *list = json_object_get(root, "vms");
	size_t count = json_array_size(list);
	vm_entry_t *entries = g_new0(vm_entry_t, count + 1);
	bool valid = json_is_array(list);

	for (size_t i = 0; valid && i < count; i++)
		valid = read_vm(json_array_get(list, i), &entries[i]);
	if (valid)
		client->events.vms_read(client->events.context, entries, count);
	else
		event_log(EVENT_PLATFORM_BAD_REPLY, "the VM list is malformed");
	g_free(entries);
}

static void
on_vms_done(
    void *context, http_result_t result, const http_response_t *response)
{
	platform_client_t *client = context;
	json_t *root;

	client->vms_call = HANDLE_NONE;
	if (result != HTTP_ANSWERED || http_response_status(response) != 200)
		return;
	root = parse_reply(response);
	if (root == NULL)
		return;
	client->events.answered(client->events.context);
	report_vms(client, root);
	json_decref(root);
}

static void
on_vms_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	platform_client_t *client = timer->data;
	http_request_t request = {
	    .method = "GET",
	    .address = client->address,
	    .path = "/v1/vms",
	    .timeout = MS(PLATFORM_CALL_TIMEOUT_MS),
	    .max_response = PLATFORM_MAX_REPLY_BYTES,
	    .fresh_connection = client->fresh_connection,
	    .done = on_vms_done,
	    .context = client,
	};

	if (client->vms_call != HANDLE_NONE)
		return;
	client->call_count++;
	client->vms_call = http_client_send(client->http, &request);
}

platform_client_t *
platform_client_create(struct ev_loop *loop, http_client_t *http,
    const char *address, const char *kinds, const platform_events_t *events)
{
	platform_client_t *client = g_new0(platform_client_t, 1);

	client->loop = loop;
	client->http = http;
	client->events = *events;
	g_strlcpy(client->address, address, sizeof(client->address));
	g_strlcpy(client->kinds, kinds, sizeof(client->kinds));
	ev_init(&client->retry_timer, on_retry);
	client->retry_timer.data = client;
	ev_timer_init(&client->vms_timer, on_vms_timer, 0.0,
	    PLATFORM_VM_POLL_INTERVAL_MS / 1000.0);
	client->vms_timer.data = client;
	ev_timer_start(loop, &client->vms_timer);
	start_watch(client);
	return client;
}

void
platform_client_destroy(platform_client_t *client)
{
	if (client == NULL)
		return;
	ev_timer_stop(client->loop, &client->retry_timer);
	ev_timer_stop(client->loop, &client->vms_timer);
	http_client_cancel(client->http, client->watch);
	http_client_cancel(client->http, client->vms_call);
	g_free(client);
}

static platform_result_t
read_result(const call_t *call, http_result_t result, int status)
{
	if (result == HTTP_NOT_SENT)
		return PLATFORM_REFUSED;
	if (result != HTTP_ANSWERED)
		return PLATFORM_OUTCOME_UNKNOWN;
	switch (status) {
	case 200:
	case 201:
		return PLATFORM_OK;
	case 404:
		return call->is_write ? PLATFORM_CONFLICT : PLATFORM_NOT_FOUND;
	case 412:
		return PLATFORM_CONFLICT;
	case 400:
	case 413:
	case 503:
		return PLATFORM_REFUSED;
	default:
		return PLATFORM_OUTCOME_UNKNOWN;
	}
}

static void
finish_call(
    call_t *call, platform_result_t result, uint64_t version, slice_t text)
{
	if (result == PLATFORM_OK || result == PLATFORM_NOT_FOUND ||
	    result == PLATFORM_CONFLICT)
		call->client->events.answered(call->client->events.context);
	else
		call->client->events.call_failed(call->client->events.context);
	call->completion.done(call->completion.context, result, version, text);
}

static void
on_call_done(
    void *context, http_result_t result, const http_response_t *response)
{
	call_t *call = context;
	platform_result_t outcome =
	    read_result(call, result, http_response_status(response));
	json_t *root, *value;
	uint64_t version;
	char *text = NULL;

	if (outcome != PLATFORM_OK) {
		finish_call(call, outcome, 0, (slice_t){NULL, 0});
		return;
	}
	root = parse_reply(response);
	version =
	    (uint64_t)json_integer_value(json_object_get(root, "version"));
	value = json_object_get(root, "value");
	if (version == 0 || (!call->is_write && value == NULL)) {
		json_decref(root);
		finish_call(
		    call, PLATFORM_OUTCOME_UNKNOWN, 0, (slice_t){NULL, 0});
		return;
	}
	if (!call->is_write)
		text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	finish_call(call, PLATFORM_OK, version,
	    text != NULL ? slice_from(text) : (slice_t){NULL, 0});
	free(text);
	json_decref(root);
}

static void
free_call(void *context)
{
	call_t *call = context;

	if (call->completion.free_context != NULL)
		call->completion.free_context(call->completion.context);
	g_free(call);
}

static void
start_call(platform_client_t *client, http_request_t *request, bool is_write,
    const platform_completion_t *completion)
{
	call_t *call = g_new0(call_t, 1);

	call->client = client;
	call->completion = *completion;
	call->is_write = is_write;
	request->address = client->address;
	request->timeout = MS(PLATFORM_CALL_TIMEOUT_MS);
	request->max_response = PLATFORM_MAX_REPLY_BYTES;
	request->done = on_call_done;
	request->context = call;
	request->free_context = free_call;
	client->call_count++;
	if (http_client_send(client->http, request) != HANDLE_NONE)
		return;
	finish_call(call, PLATFORM_REFUSED, 0, (slice_t){NULL, 0});
	free_call(call);
}

void
platform_read(platform_client_t *client, const char *kind, const char *name,
    const platform_completion_t *completion)
{
	char path[PATH_SIZE];
	http_request_t request = {.method = "GET", .path = path};

	snprintf(path, sizeof(path), "/v1/objects/%s/%s", kind, name);
	request.fresh_connection = client->fresh_connection;
	start_call(client, &request, false, completion);
}

void
platform_write(platform_client_t *client, const char *kind, const char *name,
    uint64_t version, slice_t text, const platform_completion_t *completion)
{
	char path[PATH_SIZE], condition[64];
	http_request_t request = {
	    .method = "PUT",
	    .path = path,
	    .headers = {"Content-Type: application/json", condition},
	    .header_count = 2,
	    /* libcurl repeats a request if the reused connection was closed
	     * before a response; a repeated conditional write would conflict
	     * with the first one. */
	    .fresh_connection = true,
	};

	snprintf(path, sizeof(path), "/v1/objects/%s/%s", kind, name);
	if (version == 0)
		snprintf(condition, sizeof(condition), "If-None-Match: *");
	else
		snprintf(condition, sizeof(condition), "If-Match: \"%llu\"",
		    (unsigned long long)version);
	request.body = body_create(text.data, text.size);
	start_call(client, &request, true, completion);
	body_unref(request.body);
}

uint64_t
platform_client_call_count(const platform_client_t *client)
{
	return client->call_count;
}
