#include "node_private.h"

#include <jansson.h>
#include <string.h>

/* Time between two health checks of a server, and the timeout of one. A server
 * that announces its stop is noticed within this time and the time of one
 * answer. */
#define HEALTH_INTERVAL_MS 1000
#define HEALTH_MAX_REPLY_BYTES 4096

/* A health check of a server that is in progress. */
typedef struct {
	served_service_t *served;
	name_t server;
	name_t incarnation;
} health_check_t;

/* The health endpoint may be late or wrong. Only the announcement that the
 * server is stopping is used; its state is otherwise judged by its answers to
 * requests. */
static bool
announces_leaving(const http_response_t *response)
{
	slice_t body = http_response_body(response);
	json_t *root = json_loadb(body.data, body.size, 0, NULL);
	const char *state = json_string_value(json_object_get(root, "state"));
	bool leaving = state != NULL && strcmp(state, "leaving") == 0;

	json_decref(root);
	return leaving || http_response_header(response, "X-Draining") != NULL;
}

/* Whether the catalogue still lists the incarnation that was asked. */
static bool
is_current(const health_check_t *check)
{
	const service_t *service = catalogue_find_service(
	    check->served->node->board.catalogue, check->served->service);

	if (service == NULL)
		return false;
	for (uint32_t i = 0; i < service->server_count; i++)
		if (strcmp(service->servers[i].server, check->server) == 0)
			return strcmp(service->servers[i].incarnation,
				   check->incarnation) == 0;
	return false;
}

static void
on_health_done(
    void *context, http_result_t result, const http_response_t *response)
{
	health_check_t *check = context;

	if (result == HTTP_ANSWERED && announces_leaving(response) &&
	    is_current(check))
		scheduler_server_leaving(
		    check->served->scheduler, check->server, clock_monotonic());
}

static void
check_server(served_service_t *served, const server_spec_t *server)
{
	health_check_t *check = g_new0(health_check_t, 1);
	http_request_t request = {
	    .method = "GET",
	    .address = server->address,
	    .path = "/health",
	    .timeout = MS(HEALTH_INTERVAL_MS),
	    .max_response = HEALTH_MAX_REPLY_BYTES,
	    .done = on_health_done,
	    .context = check,
	    .free_context = g_free,
	};

	check->served = served;
	strcpy(check->server, server->server);
	strcpy(check->incarnation, server->incarnation);
	if (http_client_send(served->http, &request) == HANDLE_NONE)
		g_free(check);
}

static void
check_service(served_service_t *served, usec_t now)
{
	const service_t *service = catalogue_find_service(
	    served->node->board.catalogue, served->service);

	if (now - served->health_checked_at < MS(HEALTH_INTERVAL_MS))
		return;
	served->health_checked_at = now;
	if (ledger_share(served->node->board.ledger, served->service) == 0) {
		serve_drop_connections(served);
		return;
	}
	if (service == NULL)
		return;
	served->may_have_connections = true;
	for (uint32_t i = 0; i < service->server_count; i++)
		if (!service->servers[i].leaving)
			check_server(served, &service->servers[i]);
}

void
health_tick(node_t *node, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->served_services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		check_service(value, now);
}
