#include "bulrushwell/tool_platform.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/tool_http.h"

#define CONTRACT_OBJECTS_PATH "/v1/objects/contract"
#define REQUEST_TIMEOUT SECONDS(5)
#define RETRY_DELAY_MS 200

static void
send_request(const char *address, const char *method, const char *customer,
    const char *precondition, const char *text, tool_http_response_t *response)
{
	const char *headers[] = {
	    "Content-Type: application/json", precondition, NULL};
	char *path =
	    g_strconcat(CONTRACT_OBJECTS_PATH, customer != NULL ? "/" : "",
		customer != NULL ? customer : "", NULL);
	tool_http_request_t request = {
	    .method = method,
	    .address = address,
	    .path = path,
	    .headers = headers,
	    .body = slice_from(text != NULL ? text : ""),
	    .timeout = REQUEST_TIMEOUT,
	};

	tool_http_send(&request, response);
	g_free(path);
}

/* Writes the message for a request without a usable response. */
static int
describe_failure(const tool_http_response_t *response, const char *address,
    char *message, size_t message_size)
{
	if (response->result != TOOL_HTTP_RESPONDED) {
		snprintf(message, message_size,
		    "the platform at %s does not answer (%s); check the "
		    "address, or try again when its outage is over",
		    address, response->transport_error);
		return BW_E_IO;
	}
	if (response->status >= 500 || response->status == 429) {
		snprintf(message, message_size,
		    "the platform at %s cannot serve the request now (status "
		    "%d); try again later",
		    address, response->status);
		return BW_E_IO;
	}
	if (response->status >= 400) {
		snprintf(message, message_size,
		    "the platform at %s refused the request (status %d); check "
		    "that the address is the object API's",
		    address, response->status);
		return BW_E_PROTOCOL;
	}
	snprintf(message, message_size,
	    "the platform at %s sent an unrecognized response (status "
	    "%d); check that the address is the object API's",
	    address, response->status);
	return BW_E_PROTOCOL;
}

static uint64_t
object_version(const json_t *object)
{
	json_int_t version =
	    json_integer_value(json_object_get(object, "version"));

	return version > 0 ? (uint64_t)version : 0;
}

static bool
is_object_response(const tool_http_response_t *response)
{
	return response->status == 200 && object_version(response->json) > 0 &&
	    json_is_object(json_object_get(response->json, "value"));
}

int
tool_platform_read_contract(const char *address, const char *customer,
    tool_platform_object_t *object, char *message, size_t message_size)
{
	tool_http_response_t response;
	int error = 0;

	memset(object, 0, sizeof(*object));
	send_request(address, "GET", customer, NULL, NULL, &response);
	if (response.result == TOOL_HTTP_RESPONDED && response.status == 404) {
		snprintf(message, message_size,
		    "there is no contract of '%s'; 'bulrushwell contract list' "
		    "shows the contracts",
		    customer);
		error = BW_E_NOT_FOUND;
	} else if (response.result == TOOL_HTTP_RESPONDED &&
	    is_object_response(&response)) {
		object->version = object_version(response.json);
		object->value =
		    json_incref(json_object_get(response.json, "value"));
	} else {
		error =
		    describe_failure(&response, address, message, message_size);
	}
	tool_http_response_clear(&response);
	return error;
}

int
tool_platform_list_contracts(
    const char *address, json_t **list, char *message, size_t message_size)
{
	tool_http_response_t response;
	int error = 0;

	*list = NULL;
	send_request(address, "GET", NULL, NULL, NULL, &response);
	if (response.result == TOOL_HTTP_RESPONDED && response.status == 200 &&
	    json_is_array(json_object_get(response.json, "objects")))
		*list = json_incref(response.json);
	else
		error =
		    describe_failure(&response, address, message, message_size);
	tool_http_response_clear(&response);
	return error;
}

/* A status of 408, 429 or 5xx does not prove that the write was not applied. */
static change_event_t
classify_write(const tool_http_response_t *response)
{
	if (response->result == TOOL_HTTP_NOT_SENT)
		return CHANGE_WRITE_NOT_SENT;
	if (response->result == TOOL_HTTP_NO_RESPONSE)
		return CHANGE_WRITE_OUTCOME_UNKNOWN;
	if (response->status == 200 && object_version(response->json) > 0)
		return CHANGE_WRITE_APPLIED;
	if (response->status == 412)
		return CHANGE_WRITE_CONFLICT;
	if (response->status >= 400 && response->status < 500 &&
	    response->status != 408 && response->status != 429)
		return CHANGE_WRITE_REFUSED;
	return CHANGE_WRITE_OUTCOME_UNKNOWN;
}

/* Writes the object once and passes the result to change_step().
 * @needs_delay: set to whether to pause before the next request */
static change_action_t
attempt_write(const char *address, const char *customer, const char *text,
    change_t *change, bool *needs_delay, char *message, size_t message_size)
{
	tool_http_response_t response;
	change_event_t event;
	uint64_t version;
	char *precondition = change->expected_version == 0
	    ? g_strdup("If-None-Match: *")
	    : g_strdup_printf(
		  "If-Match: %" G_GUINT64_FORMAT, change->expected_version);

	send_request(address, "PUT", customer, precondition, text, &response);
	g_free(precondition);
	event = classify_write(&response);
	version = object_version(response.json);
	*needs_delay = event != CHANGE_WRITE_APPLIED;
	if (*needs_delay && event != CHANGE_WRITE_CONFLICT)
		describe_failure(&response, address, message, message_size);
	tool_http_response_clear(&response);
	return change_step(change, event, version, NULL, clock_monotonic());
}

/* Reads the object once and passes the result to change_step(). */
static change_action_t
attempt_read(const char *address, const char *customer, change_t *change,
    bool *needs_delay, char *message, size_t message_size)
{
	tool_platform_object_t object;
	change_event_t event = CHANGE_READ_FAILED;
	change_action_t action;
	int error = tool_platform_read_contract(
	    address, customer, &object, message, message_size);
	const char *operation =
	    json_string_value(json_object_get(object.value, "operation"));

	if (error == 0)
		event = CHANGE_READ_FOUND;
	else if (error == BW_E_NOT_FOUND)
		event = CHANGE_READ_ABSENT;
	action = change_step(change, event, object.version,
	    operation != NULL ? operation : "", clock_monotonic());
	/* The next request waits, so that a platform in an outage does not get
	 * a stream of requests. */
	*needs_delay = true;
	json_decref(object.value);
	return action;
}

change_action_t
tool_platform_apply_change(const char *address, const char *customer,
    const char *text, change_t *change, char *message, size_t message_size)
{
	change_action_t action = CHANGE_WRITE;
	bool needs_delay = false, notified = false;

	message[0] = '\0';
	while (action == CHANGE_WRITE || action == CHANGE_READ) {
		if (needs_delay && !notified &&
		    change->deadline > clock_monotonic())
			notified =
			    fprintf(stderr,
				"bulrushwell: the platform has not confirmed "
				"the change yet; trying again.\n") > 0;
		if (needs_delay)
			g_usleep(RETRY_DELAY_MS * USEC_PER_MS);
		if (action == CHANGE_WRITE)
			action = attempt_write(address, customer, text, change,
			    &needs_delay, message, message_size);
		else
			action = attempt_read(address, customer, change,
			    &needs_delay, message, message_size);
	}
	return action;
}
