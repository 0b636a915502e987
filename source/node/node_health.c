#include "node_private.h"

#include <jansson.h>
#include <string.h>

/* Between two questions to a server. A leaving server is noticed within this
 * time and the time of one answer. */
#define HEALTH_MS 1000
#define HEALTH_MAX_REPLY 4096

/* One question to a server's health endpoint. */
typedef struct {
	served_t *served;
	name_t server;
	name_t incarnation;
} health_call_t;

/* The endpoint may lag or mislead, so only the announcement that the server
 * leaves is believed; whether it is well shows in its answers to requests. */
static bool
announces_leaving(const http_response_t *response)
{
	slice_t body = http_response_body(response);
	json_t *root = json_loadb(body.data, body.size, 0, NULL);
	const char *word = json_string_value(json_object_get(root, "state"));
	bool leaving = word != NULL && strcmp(word, "leaving") == 0;

	json_decref(root);
	return leaving || http_response_header(response, "X-Draining") != NULL;
}

/* The answer counts for the incarnation that was asked. */
static bool
is_current(const health_call_t *call)
{
	const service_t *service = catalogue_find_service(
	    call->served->node->board.catalogue, call->served->service);

	if (service == NULL)
		return false;
	for (uint32_t i = 0; i < service->server_count; i++)
		if (strcmp(service->servers[i].server, call->server) == 0)
			return strcmp(service->servers[i].incarnation,
				   call->incarnation) == 0;
	return false;
}

static void
on_health_done(
    void *context, http_result_t result, const http_response_t *response)
{
	health_call_t *call = context;

	if (result == HTTP_ANSWERED && announces_leaving(response) &&
	    is_current(call))
		scheduler_server_leaving(
		    call->served->scheduler, call->server, clock_monotonic());
}

static void
ask_server(served_t *served, const server_spec_t *server)
{
	health_call_t *call = g_new0(health_call_t, 1);
	http_request_t request = {
	    .method = "GET",
	    .address = server->address,
	    .path = "/health",
	    .timeout = MS(HEALTH_MS),
	    .max_response = HEALTH_MAX_REPLY,
	    .done = on_health_done,
	    .context = call,
	    .free_context = g_free,
	};

	call->served = served;
	strcpy(call->server, server->server);
	strcpy(call->incarnation, server->incarnation);
	if (http_client_send(served->http, &request) == HANDLE_NONE)
		g_free(call);
}

static void
ask_service(served_t *served, usec_t now)
{
	const service_t *service = catalogue_find_service(
	    served->node->board.catalogue, served->service);

	if (now - served->health_at < MS(HEALTH_MS))
		return;
	served->health_at = now;
	if (ledger_share(served->node->board.ledger, served->service) == 0) {
		serve_drop_connections(served);
		return;
	}
	if (service == NULL)
		return;
	served->pooled = true;
	for (uint32_t i = 0; i < service->server_count; i++)
		if (!service->servers[i].leaving)
			ask_server(served, &service->servers[i]);
}

void
health_tick(node_t *node, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		ask_service(value, now);
}
