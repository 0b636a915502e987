/* Stand-in for many upstream servers, each with its own listening socket. A
 * control address accepts faults to inject and returns the counters of each
 * server. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/upstream.h"

static GPtrArray *upstreams;

static upstream_t *
find_upstream(const char *server)
{
	for (guint i = 0; i < upstreams->len; i++) {
		upstream_t *upstream = upstreams->pdata[i];

		if (strcmp(upstream->server, server) == 0)
			return upstream;
	}
	return NULL;
}

static void
handle_faults(
    upstream_t *upstream, const fake_request_t *request, fake_reply_t *reply)
{
	json_t *command = json_loadb(request->body.data, request->body.size,
	    JSON_REJECT_DUPLICATES, NULL);

	if (json_is_object(command) && upstream_set_faults(upstream, command))
		fake_reply_text(reply, 200, "{}");
	else
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
	json_decref(command);
}

static void
handle_control(
    void *context, const fake_request_t *request, fake_reply_t *reply)
{
	char **parts = g_strsplit(request->path, "/", 4);
	upstream_t *upstream = NULL;

	if (g_strv_length(parts) == 4 && strcmp(parts[1], "fake") == 0)
		upstream = find_upstream(parts[2]);
	if (upstream == NULL)
		fake_reply_text(reply, 404, "{\"error\":\"not_found\"}");
	else if (strcmp(parts[3], "faults") == 0)
		handle_faults(upstream, request, reply);
	else if (strcmp(parts[3], "record") == 0)
		fake_reply_json(reply, 200, upstream_record_to_json(upstream));
	else
		fake_reply_text(reply, 404, "{\"error\":\"not_found\"}");
	g_strfreev(parts);
}

static bool
start_upstreams(const json_t *config)
{
	double delay = json_number_value(json_object_get(config, "delay_ms"));
	json_t *entry;
	size_t i;

	upstreams = g_ptr_array_new();
	json_array_foreach (json_object_get(config, "servers"), i, entry) {
		upstream_t *upstream = upstream_create(entry, delay);

		if (upstream == NULL) {
			fprintf(stderr,
			    "servers[%zu]: server, listen and "
			    "incarnation are required\n",
			    i);
			return false;
		}
		g_ptr_array_add(upstreams, upstream);
		if (!fake_server_start(upstream->http))
			return false;
	}
	return upstreams->len > 0;
}

int
main(int argc, char **argv)
{
	const char *file = NULL, *control_address = NULL;
	fake_server_t *server;
	json_error_t error;
	json_t *config;

	fake_main_init();
	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--config") == 0)
			file = argv[i + 1];
		else if (strcmp(argv[i], "--control") == 0)
			control_address = argv[i + 1];
	}
	if (file == NULL || control_address == NULL) {
		fprintf(stderr,
		    "usage: fake_upstream --config FILE "
		    "--control IP:PORT\n");
		return 2;
	}
	config = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
	if (config == NULL) {
		fprintf(stderr, "%s:%d: %s\n", file, error.line, error.text);
		return 2;
	}
	server = fake_server_create(
	    control_address, handle_control, NULL, UPSTREAM_MAX_BODY_BYTES, 0);
	if (!start_upstreams(config) || !fake_server_start(server))
		return 1;
	fake_main_run();
}
