#include "bulrushwell/http_client.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>

#include "bulrushwell/event.h"
#include "bulrushwell/http_heads.h"
#include "bulrushwell/response_memory.h"

#define MAX_IDLE_CONNECTIONS 4096
#define MAX_RESPONSE_HEADERS 16
#define MAX_HEADER_BYTES 256
#define MAX_IDLE_EASY_HANDLES 1024
/* Connections whose start is remembered; beyond it all are forgotten. */
#define MAX_KNOWN_CONNECTIONS (4 * MAX_IDLE_CONNECTIONS)

/* Closes a connection on which sent data stays unacknowledged for this long:
 * the other host is gone. */
#define TCP_USER_TIMEOUT_MS 2000

struct http_response {
	int status;
	GString *body;
	size_t header_count;
	struct {
		char name[32];
		char value[MAX_HEADER_BYTES];
	} headers[MAX_RESPONSE_HEADERS];
};

typedef struct {
	http_client_t *client;
	handle_t handle;
	CURL *easy;
	struct curl_slist *headers;
	body_t *body;
	size_t max_response;
	http_heads_t heads;
	size_t body_held; /* of the response memory */
	bool body_too_large;
	http_connected_t connected;
	http_done_t done;
	void *context;
	void (*free_context)(void *context);
	http_response_t response;
} transfer_t;

typedef struct {
	ev_io io;
	http_client_t *client;
} socket_watch_t;

/* When a connection was established. */
typedef struct {
	gint64 key; /* remote address, remote port, local port */
	usec_t opened_at;
} known_connection_t;

struct http_client {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	table_t *transfers;
	GPtrArray *idle_easy_handles;
	GHashTable *connections; /* known_connection_t by its key */
};

const char *
http_response_header(const http_response_t *response, const char *name)
{
	for (size_t i = 0; i < response->header_count; i++)
		if (strcasecmp(response->headers[i].name, name) == 0)
			return response->headers[i].value;
	return NULL;
}

int
http_response_status(const http_response_t *response)
{
	return response->status;
}

slice_t
http_response_body(const http_response_t *response)
{
	return (slice_t){response->body->str, response->body->len};
}

static size_t
on_body(char *data, size_t size, size_t count, void *context)
{
	transfer_t *transfer = context;
	size_t bytes = size * count;

	if (transfer->response.body->len + bytes > transfer->max_response ||
	    !response_memory_take(&transfer->body_held, bytes)) {
		transfer->body_too_large = true;
		return 0;
	}
	g_string_append_len(transfer->response.body, data, (gssize)bytes);
	return bytes;
}

/* Stores only headers whose names begin with 'X': callers read no others. */
static size_t
on_header(char *data, size_t size, size_t count, void *context)
{
	transfer_t *transfer = context;
	http_response_t *response = &transfer->response;
	size_t bytes = size * count, name, value, end;

	if (http_heads_read(&transfer->heads, data, bytes) != HTTP_HEADS_SOUND)
		return 0; /* ends the transfer */
	if (bytes < 3 || (data[0] != 'X' && data[0] != 'x') ||
	    response->header_count == MAX_RESPONSE_HEADERS)
		return bytes;
	for (name = 0; name < bytes && data[name] != ':'; name++)
		;
	for (value = name + 1; value < bytes && data[value] == ' '; value++)
		;
	for (end = bytes; end > value && g_ascii_isspace(data[end - 1]); end--)
		;
	if (name >= sizeof(response->headers[0].name) || value > end ||
	    end - value >= MAX_HEADER_BYTES)
		return bytes;
	memcpy(response->headers[response->header_count].name, data, name);
	response->headers[response->header_count].name[name] = '\0';
	memcpy(response->headers[response->header_count].value, data + value,
	    end - value);
	response->headers[response->header_count].value[end - value] = '\0';
	response->header_count++;
	return bytes;
}

static int
on_new_socket(void *context, curl_socket_t fd, curlsocktype purpose)
{
	unsigned int timeout = TCP_USER_TIMEOUT_MS;

	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	return CURL_SOCKOPT_OK;
}

static gint64
connection_key(const char *remote_address, int remote_port, int local_port)
{
	struct in_addr address = {0};

	inet_pton(AF_INET, remote_address, &address);
	return (gint64)((uint64_t)address.s_addr << 32 |
	    (uint64_t)(uint16_t)remote_port << 16 | (uint16_t)local_port);
}

/* Return: 0 when it is not known. */
static usec_t
connection_opened_at(http_client_t *client, gint64 key, bool is_new)
{
	known_connection_t *connection;

	if (!is_new) {
		connection = g_hash_table_lookup(client->connections, &key);
		return connection != NULL ? connection->opened_at : 0;
	}
	if (g_hash_table_size(client->connections) >= MAX_KNOWN_CONNECTIONS)
		g_hash_table_remove_all(client->connections);
	connection = g_new0(known_connection_t, 1);
	connection->key = key;
	connection->opened_at = clock_monotonic();
	g_hash_table_replace(client->connections, &connection->key, connection);
	return connection->opened_at;
}

static int
on_request_ready(void *context, char *remote_address, char *local_address,
    int remote_port, int local_port)
{
	transfer_t *transfer = context;
	gint64 key = connection_key(remote_address, remote_port, local_port);
	long connects = 0;
	usec_t opened_at;

	curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &connects);
	opened_at = connection_opened_at(transfer->client, key, connects > 0);
	if (opened_at != 0 && transfer->connected != NULL)
		transfer->connected(transfer->context, opened_at);
	return CURL_PREREQFUNC_OK;
}

static CURL *
acquire_easy(http_client_t *client)
{
	if (client->idle_easy_handles->len == 0)
		return curl_easy_init();
	return g_ptr_array_remove_index_fast(
	    client->idle_easy_handles, client->idle_easy_handles->len - 1);
}

static void
recycle_easy(http_client_t *client, CURL *easy)
{
	if (client->idle_easy_handles->len >= MAX_IDLE_EASY_HANDLES) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(client->idle_easy_handles, easy);
}

static void
release_transfer(http_client_t *client, transfer_t *transfer)
{
	curl_multi_remove_handle(client->multi, transfer->easy);
	recycle_easy(client, transfer->easy);
	curl_slist_free_all(transfer->headers);
	body_unref(transfer->body);
	g_string_free(transfer->response.body, TRUE);
	response_memory_release(&transfer->body_held);
	if (transfer->free_context != NULL)
		transfer->free_context(transfer->context);
	table_remove(client->transfers, transfer->handle);
}

static http_result_t
classify_result(transfer_t *transfer, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_OK)
		return http_heads_complete(&transfer->heads)
		    ? HTTP_ANSWERED
		    : HTTP_CONNECTION_LOST;
	if (transfer->heads.result == HTTP_HEADS_BROKEN)
		return HTTP_MALFORMED;
	if (transfer->heads.result == HTTP_HEADS_TOO_LARGE ||
	    transfer->body_too_large)
		return HTTP_TOO_LARGE;
	curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (sent == 0)
		return HTTP_NOT_SENT;
	switch (code) {
	case CURLE_OPERATION_TIMEDOUT:
		return HTTP_TIMEOUT;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_BAD_CONTENT_ENCODING:
		return HTTP_MALFORMED;
	default:
		return HTTP_CONNECTION_LOST;
	}
}

static void
log_unusable(CURL *easy, event_number_t event)
{
	const char *url = NULL;

	curl_easy_getinfo(easy, CURLINFO_EFFECTIVE_URL, &url);
	event_log_sampled(event, "url=%s", url);
}

static void
finish_transfer(http_client_t *client, transfer_t *transfer, CURLcode code)
{
	http_result_t result = classify_result(transfer, code);
	handle_t handle = transfer->handle;
	long status = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	transfer->response.status = (int)status;
	if (result == HTTP_MALFORMED)
		log_unusable(transfer->easy, EVENT_SERVER_MALFORMED);
	else if (result == HTTP_TOO_LARGE)
		log_unusable(transfer->easy, EVENT_SERVER_TOO_LARGE);
	transfer->done(transfer->context, result, &transfer->response);
	transfer = table_get(client->transfers, handle);
	if (transfer != NULL)
		release_transfer(client, transfer);
}

static void
collect_finished(http_client_t *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
		CURLcode code = message->data.result;
		char *private = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &private);
		finish_transfer(client, (transfer_t *)(void *)private, code);
	}
}

static void
on_socket_event(struct ev_loop *loop, ev_io *io, int events)
{
	socket_watch_t *watch = (socket_watch_t *)io;
	http_client_t *client = watch->client;
	int mask = 0, running;

	if (events & EV_READ)
		mask |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, io->fd, mask, &running);
	collect_finished(client);
}

static int
on_socket_change(
    CURL *easy, curl_socket_t fd, int what, void *context, void *per_socket)
{
	http_client_t *client = context;
	socket_watch_t *watch = per_socket;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL) {
			ev_io_stop(client->loop, &watch->io);
			curl_multi_assign(client->multi, fd, NULL);
			g_free(watch);
		}
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	if (watch == NULL) {
		watch = g_new0(socket_watch_t, 1);
		watch->client = client;
		ev_init(&watch->io, on_socket_event);
		curl_multi_assign(client->multi, fd, watch);
	} else {
		ev_io_stop(client->loop, &watch->io);
	}
	ev_io_set(&watch->io, fd, events);
	ev_io_start(client->loop, &watch->io);
	return 0;
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	http_client_t *client = timer->data;
	int running;

	curl_multi_socket_action(
	    client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	collect_finished(client);
}

static int
on_timeout_change(CURLM *multi, long timeout_ms, void *context)
{
	http_client_t *client = context;

	ev_timer_stop(client->loop, &client->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&client->timer, (double)timeout_ms / 1000.0, 0.0);
		ev_timer_start(client->loop, &client->timer);
	}
	return 0;
}

http_client_t *
http_client_create(struct ev_loop *loop)
{
	http_client_t *client = g_new0(http_client_t, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->transfers =
	    table_create(sizeof(transfer_t), HTTP_CLIENT_MAX_RUNNING);
	client->idle_easy_handles = g_ptr_array_new();
	client->connections =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	ev_init(&client->timer, on_timer);
	client->timer.data = client;
	client->multi = curl_multi_init();
	curl_multi_setopt(
	    client->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAXCONNECTS, (long)MAX_IDLE_CONNECTIONS);
	curl_multi_setopt(
	    client->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	return client;
}

void
http_client_set_connection_limit(http_client_t *client, uint32_t connections)
{
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)connections);
}

uint32_t
http_client_running_count(const http_client_t *client)
{
	return table_count(client->transfers);
}

void
http_client_destroy(http_client_t *client)
{
	handle_t handle = HANDLE_NONE;

	if (client == NULL)
		return;
	while ((handle = table_next(client->transfers, handle)) != HANDLE_NONE)
		release_transfer(client, table_get(client->transfers, handle));
	for (guint i = 0; i < client->idle_easy_handles->len; i++)
		curl_easy_cleanup(
		    g_ptr_array_index(client->idle_easy_handles, i));
	g_ptr_array_free(client->idle_easy_handles, TRUE);
	curl_multi_cleanup(client->multi);
	ev_timer_stop(client->loop, &client->timer);
	table_destroy(client->transfers);
	g_hash_table_destroy(client->connections);
	g_free(client);
}

static void
set_body(transfer_t *transfer, const http_request_t *request)
{
	slice_t bytes = body_slice(request->body);

	if (strcmp(request->method, "GET") == 0)
		return;
	curl_easy_setopt(transfer->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(
	    transfer->easy, CURLOPT_POSTFIELDSIZE, (long)bytes.size);
	curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS, bytes.data);
	if (strcmp(request->method, "POST") != 0)
		curl_easy_setopt(
		    transfer->easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static void
set_connection_rules(CURL *easy, const http_request_t *request)
{
	if (request->close)
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	if (request->fresh_connection) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	} else if (request->max_connection_age > 0) {
		long seconds =
		    (long)(request->max_connection_age / USEC_PER_SEC);

		/* libcurl counts whole seconds and takes 0 as no limit. */
		curl_easy_setopt(
		    easy, CURLOPT_MAXLIFETIME_CONN, seconds > 0 ? seconds : 1L);
	}
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
}

static void
set_options(transfer_t *transfer, const http_request_t *request)
{
	CURL *easy = transfer->easy;
	char url[512];

	g_snprintf(
	    url, sizeof(url), "http://%s%s", request->address, request->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_request_ready);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
	    (long)MAX(1, request->timeout / USEC_PER_MS));
	set_connection_rules(easy, request);
	set_body(transfer, request);
}

handle_t
http_client_send(http_client_t *client, const http_request_t *request)
{
	transfer_t *transfer;
	handle_t handle =
	    table_insert(client->transfers, (void **)(void *)&transfer);

	if (handle == HANDLE_NONE)
		return HANDLE_NONE;
	transfer->client = client;
	transfer->handle = handle;
	transfer->easy = acquire_easy(client);
	transfer->body = body_ref(request->body);
	transfer->max_response = request->max_response;
	http_heads_start(&transfer->heads);
	transfer->connected = request->connected;
	transfer->done = request->done;
	transfer->context = request->context;
	transfer->free_context = request->free_context;
	transfer->response.body = g_string_new(NULL);
	transfer->headers = curl_slist_append(NULL, "Expect:");
	for (size_t i = 0; i < request->header_count; i++)
		transfer->headers =
		    curl_slist_append(transfer->headers, request->headers[i]);
	set_options(transfer, request);
	curl_multi_add_handle(client->multi, transfer->easy);
	return handle;
}

void
http_client_cancel(http_client_t *client, handle_t request)
{
	transfer_t *transfer = table_get(client->transfers, request);

	if (transfer != NULL)
		release_transfer(client, transfer);
}
