#include "bulrushwell/tool_http.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/http_heads.h"

#define CONNECT_TIMEOUT_MS 2000L

/* A libcurl write callback; returning 0 aborts the transfer. */
static size_t
append_body(char *data, size_t size, size_t count, void *context)
{
	tool_http_response_t *response = context;

	if (response->body->len + size * count > TOOL_HTTP_MAX_RESPONSE_BYTES)
		return 0;
	g_string_append_len(response->body, data, (gssize)(size * count));
	return size * count;
}

/* A libcurl header callback; returning 0 aborts the transfer. */
static size_t
check_head(char *data, size_t size, size_t count, void *context)
{
	http_heads_t *heads = context;
	size_t bytes = size * count;

	return http_heads_read(heads, data, bytes) == HTTP_HEADS_SOUND ? bytes
								       : 0;
}

static struct curl_slist *
build_headers(const tool_http_request_t *request)
{
	/* Without the empty header, libcurl sends "Expect: 100-continue" with
	 * larger bodies and waits up to a second for the interim response. */
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	for (size_t i = 0;
	     request->headers != NULL && request->headers[i] != NULL; i++)
		list = curl_slist_append(list, request->headers[i]);
	return list;
}

static void
configure_request(CURL *curl, const tool_http_request_t *request,
    const char *url, struct curl_slist *headers)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(
	    curl, CURLOPT_TIMEOUT_MS, (long)(request->timeout / USEC_PER_MS));
	if (strcmp(request->method, "GET") == 0)
		return;
	curl_easy_setopt(curl, CURLOPT_POST, 1L);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body.data);
	curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body.size);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
}

/* Return: why there is no response; NULL if there is one. */
static const char *
find_error(CURLcode code, const http_heads_t *heads)
{
	switch (heads->result) {
	case HTTP_HEADS_BROKEN:
		return "the response is not valid HTTP";
	case HTTP_HEADS_TOO_LARGE:
		return "the response has too long a head";
	case HTTP_HEADS_SOUND:
		break;
	}
	if (code != CURLE_OK)
		return curl_easy_strerror(code);
	/* libcurl takes a head that ends in the middle for a whole one. */
	return http_heads_complete(heads) ? NULL
					  : "the response ends in its head";
}

static void
set_result(CURL *curl, CURLcode code, const http_heads_t *heads,
    tool_http_response_t *response)
{
	const char *error = find_error(code, heads);
	long status = 0, sent = 0;

	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
	if (error == NULL) {
		response->result = TOOL_HTTP_RESPONDED;
		response->status = (int)status;
		return;
	}
	response->result = code == CURLE_COULDNT_CONNECT || sent == 0
	    ? TOOL_HTTP_NOT_SENT
	    : TOOL_HTTP_NO_RESPONSE;
	snprintf(response->transport_error, sizeof(response->transport_error),
	    "%s", error);
}

void
tool_http_send(
    const tool_http_request_t *request, tool_http_response_t *response)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = build_headers(request);
	char *url =
	    g_strdup_printf("http://%s%s", request->address, request->path);
	http_heads_t heads;
	CURLcode code;

	memset(response, 0, sizeof(*response));
	response->body = g_string_new(NULL);
	http_heads_start(&heads);
	configure_request(curl, request, url, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, check_head);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &heads);
	code = curl_easy_perform(curl);
	set_result(curl, code, &heads, response);
	if (response->result == TOOL_HTTP_RESPONDED)
		response->json = json_loadb(response->body->str,
		    response->body->len, JSON_REJECT_DUPLICATES, NULL);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(url);
}

void
tool_http_response_clear(tool_http_response_t *response)
{
	if (response->body != NULL)
		g_string_free(response->body, TRUE);
	json_decref(response->json);
	memset(response, 0, sizeof(*response));
}
