/* Stand-in of many upstream servers, each with a listening socket of its own,
 * and a control address that orders faults and reads records. */
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
order_faults(
    upstream_t *upstream, const fake_request_t *request, fake_reply_t *reply)
{
	json_t *order = json_loadb(request->body.data, request->body.size,
	    JSON_REJECT_DUPLICATES, NULL);

	if (json_is_object(order) && upstream_set_faults(upstream, order))
		fake_reply_text(reply, 200, "{}");
	else
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
	json_decref(order);
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
		order_faults(upstream, request, reply);
	else if (strcmp(parts[3], "record") == 0)
		fake_reply_json(reply, 200, upstream_print_record(upstream));
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
			    "entry %zu of servers: need server, "
			    "listen and incarnation\n",
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
	const char *file = NULL, *control = NULL;
	fake_server_t *server;
	json_error_t why;
	json_t *config;

	fake_main_begin();
	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--config") == 0)
			file = argv[i + 1];
		else if (strcmp(argv[i], "--control") == 0)
			control = argv[i + 1];
	}
	if (file == NULL || control == NULL) {
		fprintf(stderr,
		    "usage: fake_upstream --config FILE "
		    "--control IP:PORT\n");
		return 2;
	}
	config = json_load_file(file, JSON_REJECT_DUPLICATES, &why);
	if (config == NULL) {
		fprintf(stderr, "%s:%d: %s\n", file, why.line, why.text);
		return 2;
	}
	server = fake_server_create(
	    control, handle_control, NULL, UPSTREAM_MAX_BODY, 0);
	if (!start_upstreams(config) || !fake_server_start(server))
		return 1;
	fake_main_run();
}
