#include "bulrushwell/tool_platform.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/tool_http.h"

#define CONTRACT_PATH "/v1/objects/contract"
#define REQUEST_TIMEOUT SECONDS(5)
#define RETRY_PAUSE_MS 200

static void
send_request(const char *address, const char *method, const char *customer,
    const char *condition, const char *text, tool_reply_t *reply)
{
	const char *headers[] = {
	    "Content-Type: application/json", condition, NULL};
	char *path = g_strconcat(CONTRACT_PATH, customer != NULL ? "/" : "",
	    customer != NULL ? customer : "", NULL);
	tool_request_t request = {
	    .method = method,
	    .address = address,
	    .path = path,
	    .headers = headers,
	    .body = slice_from(text != NULL ? text : ""),
	    .timeout = REQUEST_TIMEOUT,
	};

	tool_http_send(&request, reply);
	g_free(path);
}

static int
explain(
    const tool_reply_t *reply, const char *address, char *why, size_t why_size)
{
	if (reply->result != TOOL_HTTP_ANSWERED) {
		snprintf(why, why_size,
		    "the platform at %s gives no answer (%s); check the "
		    "address, or try again when its outage is over",
		    address, reply->problem);
		return BW_E_IO;
	}
	if (reply->status >= 500 || reply->status == 429) {
		snprintf(why, why_size,
		    "the platform at %s cannot serve the request now (status "
		    "%d); try again later",
		    address, reply->status);
		return BW_E_IO;
	}
	if (reply->status >= 400) {
		snprintf(why, why_size,
		    "the platform at %s refused the request (status %d); check "
		    "that the address is the object API's",
		    address, reply->status);
		return BW_E_PROTOCOL;
	}
	snprintf(why, why_size,
	    "the platform at %s sent a reply that is not understood (status "
	    "%d); check that the address is the object API's",
	    address, reply->status);
	return BW_E_PROTOCOL;
}

static uint64_t
version_of(const json_t *object)
{
	json_int_t version =
	    json_integer_value(json_object_get(object, "version"));

	return version > 0 ? (uint64_t)version : 0;
}

static bool
is_object_reply(const tool_reply_t *reply)
{
	return reply->status == 200 && version_of(reply->json) > 0 &&
	    json_is_object(json_object_get(reply->json, "value"));
}

int
tool_platform_read(const char *address, const char *customer,
    tool_object_t *object, char *why, size_t why_size)
{
	tool_reply_t reply;
	int error = 0;

	memset(object, 0, sizeof(*object));
	send_request(address, "GET", customer, NULL, NULL, &reply);
	if (reply.result == TOOL_HTTP_ANSWERED && reply.status == 404) {
		snprintf(why, why_size,
		    "there is no contract of '%s'; 'bulrushwell contract list' "
		    "shows the contracts",
		    customer);
		error = BW_E_NOT_FOUND;
	} else if (reply.result == TOOL_HTTP_ANSWERED &&
	    is_object_reply(&reply)) {
		object->version = version_of(reply.json);
		object->value =
		    json_incref(json_object_get(reply.json, "value"));
	} else {
		error = explain(&reply, address, why, why_size);
	}
	tool_reply_clear(&reply);
	return error;
}

int
tool_platform_list(
    const char *address, json_t **list, char *why, size_t why_size)
{
	tool_reply_t reply;
	int error = 0;

	*list = NULL;
	send_request(address, "GET", NULL, NULL, NULL, &reply);
	if (reply.result == TOOL_HTTP_ANSWERED && reply.status == 200 &&
	    json_is_array(json_object_get(reply.json, "objects")))
		*list = json_incref(reply.json);
	else
		error = explain(&reply, address, why, why_size);
	tool_reply_clear(&reply);
	return error;
}

static change_event_t
write_event(const tool_reply_t *reply)
{
	if (reply->result == TOOL_HTTP_NOT_SENT)
		return CHANGE_WRITE_NOT_SENT;
	if (reply->result == TOOL_HTTP_LOST)
		return CHANGE_WRITE_LOST;
	if (reply->status == 200 && version_of(reply->json) > 0)
		return CHANGE_WRITE_APPLIED;
	if (reply->status == 412)
		return CHANGE_WRITE_CONFLICT;
	if (reply->status >= 400 && reply->status < 500 &&
	    reply->status != 408 && reply->status != 429)
		return CHANGE_WRITE_REFUSED;
	return CHANGE_WRITE_LOST;
}

static change_action_t
write_once(const char *address, const char *customer, const char *text,
    change_t *change, bool *failed, char *why, size_t why_size)
{
	tool_reply_t reply;
	change_event_t event;
	uint64_t version;
	char *condition = change->expected == 0
	    ? g_strdup("If-None-Match: *")
	    : g_strdup_printf("If-Match: %" G_GUINT64_FORMAT, change->expected);

	send_request(address, "PUT", customer, condition, text, &reply);
	g_free(condition);
	event = write_event(&reply);
	version = version_of(reply.json);
	*failed = event != CHANGE_WRITE_APPLIED;
	if (*failed && event != CHANGE_WRITE_CONFLICT)
		explain(&reply, address, why, why_size);
	tool_reply_clear(&reply);
	return change_step(change, event, version, NULL, clock_monotonic());
}

static change_action_t
read_once(const char *address, const char *customer, change_t *change,
    bool *failed, char *why, size_t why_size)
{
	tool_object_t object;
	change_event_t event = CHANGE_READ_FAILED;
	change_action_t action;
	int error =
	    tool_platform_read(address, customer, &object, why, why_size);
	const char *operation =
	    json_string_value(json_object_get(object.value, "operation"));

	if (error == 0)
		event = CHANGE_READ_FOUND;
	else if (error == BW_E_NOT_FOUND)
		event = CHANGE_READ_ABSENT;
	action = change_step(change, event, object.version,
	    operation != NULL ? operation : "", clock_monotonic());
	/* A repeated read or write waits, so that an outage is not met with a
	 * stream of requests. */
	*failed = true;
	json_decref(object.value);
	return action;
}

change_action_t
tool_platform_change(const char *address, const char *customer,
    const char *text, change_t *change, char *why, size_t why_size)
{
	change_action_t action = CHANGE_WRITE;
	bool failed = false, told = false;

	why[0] = '\0';
	while (action == CHANGE_WRITE || action == CHANGE_READ) {
		if (failed && !told && change->deadline > clock_monotonic())
			told = fprintf(stderr,
				   "bulrushwell: no clear answer from the "
				   "platform yet; trying again.\n") > 0;
		if (failed)
			g_usleep(RETRY_PAUSE_MS * USEC_PER_MS);
		if (action == CHANGE_WRITE)
			action = write_once(address, customer, text, change,
			    &failed, why, why_size);
		else
			action = read_once(
			    address, customer, change, &failed, why, why_size);
	}
	return action;
}
