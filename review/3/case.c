/*
 * CONFIG: one of three servers of a service crashes once, with several requests
 * of the same content at work. For a minute after it, all gateways refuse each
 * request of that content, though all servers are well: a route that was added
 * later is served nothing, the first one everything.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stage.h"

#define GATEWAYS 3
#define BOARD_SERVERS 3
#define LOOKUP_SERVERS 2
#define CLIENTS 36 /* each third one uses the first route */
#define ROUTE_SHARE 3
#define REQUEST_PAUSE_S 0.05 /* on average */
#define RUN_S 0.06
#define ROUTE_ADDED_AT_S 2.0
#define BOARD_TRAFFIC_AT_S 5.5 /* over config_apply_ms after it */
#define CRASH_AT_S 9.0
#define ENTRY_LAPSES_S 3.6 /* three check-in intervals of 1.2 s */
#define DOWN_S 4.5
#define STEADY_AT_S 18.0 /* over contact_ms after the server is back */
#define END_S 38.0
#define DEADLINE_MS 1500
#define LOWEST_SHARE 0.25 /* of the rule */
#define REQUESTS_MIN 20	  /* of the rule */

#define LOOKUP_ROUTE                                                 \
	"{\"name\":\"reel-lookup\",\"host\":\"" STAGE_HOST "\","     \
	"\"path_prefix\":\"/reels/\",\"route_type\":\"idempotent\"," \
	"\"service\":\"partfind\",\"timeout_ms\":1500,"              \
	"\"target_latency_ms\":250,\"max_attempts\":3,\"priority\":2}"
#define BOARD_ROUTE                                                  \
	",{\"name\":\"board\",\"host\":\"" STAGE_HOST "\","          \
	"\"path_prefix\":\"/board/\",\"route_type\":\"idempotent\"," \
	"\"service\":\"shift-board\",\"timeout_ms\":1500,"           \
	"\"target_latency_ms\":250,\"max_attempts\":3,\"priority\":2}"
#define CONFIG(version, routes)                                             \
	"{\"version\":" version ",\"routes\":[" routes "],"                 \
	"\"services\":[{\"name\":\"partfind\",\"health_path\":\"/health\"," \
	"\"max_connections\":100},{\"name\":\"shift-board\","               \
	"\"health_path\":\"/health\",\"max_connections\":100}],"            \
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144," \
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"

typedef enum { LOOKUP, BOARD, ROUTES } route_t;

typedef struct {
	unsigned number;
	route_t route;
} client_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool board_traffic, steady;
static unsigned sent[ROUTES], served[ROUTES]; /* in steady state */

static bool
serve(const char *server, stage_connection_t *connection,
    stage_message_t *request)
{
	char id[64];

	if (!stage_read_body(connection, request))
		return false;
	stage_header(request, "Bulrushwell-Request-Id", id, sizeof(id));
	stage_record("%s runs %s", server, id);
	stage_sleep(RUN_S);
	return stage_send_text(connection,
	    "HTTP/1.1 200 OK\r\nBulrushwell-Request-Id: %s\r\n"
	    "Bulrushwell-Response-Stamp: %s.%s\r\nContent-Length: 2\r\n\r\nok",
	    id, server, id);
}

/* Sends a request on a new connection; 0: no answer. */
static int
ask(unsigned gateway, const char *path, const char *id)
{
	stage_connection_t connection;
	stage_message_t answer;
	int status = 0;

	if (!stage_connect(gateway_clients(gateway), &connection))
		return 0;
	stage_record("sent %s to gateway %u", id, gateway + 1);
	if (stage_send_text(&connection,
		"GET %s HTTP/1.1\r\nHost: " STAGE_HOST "\r\n"
		"Bulrushwell-Request-Id: %s\r\n"
		"Bulrushwell-Deadline-Ms: %d\r\n\r\n",
		path, id, DEADLINE_MS) &&
	    stage_read_head(&connection, &answer)) {
		status = stage_status(&answer);
		stage_message_free(&answer);
	}
	stage_disconnect(&connection);
	return status;
}

static bool
may_send(route_t route)
{
	bool may;

	pthread_mutex_lock(&lock);
	may = route == LOOKUP || board_traffic;
	pthread_mutex_unlock(&lock);
	return may;
}

static void
count(route_t route, bool was_steady, int status)
{
	pthread_mutex_lock(&lock);
	sent[route] += was_steady;
	served[route] += was_steady && status == 200;
	pthread_mutex_unlock(&lock);
}

static void *
run_client(void *context)
{
	const client_t *client = context;

	for (unsigned i = 0;; i++) {
		char id[64], path[128] = "/board/today";
		bool was_steady = steady;
		int status;

		stage_sleep(2.0 * REQUEST_PAUSE_S * drand48());
		if (!may_send(client->route))
			continue;
		snprintf(id, sizeof(id), "%c%u-%u",
		    client->route == LOOKUP ? 'l' : 'b', client->number, i);
		if (client->route == LOOKUP)
			snprintf(path, sizeof(path), "/reels/%s", id);
		status = ask(client->number / ROUTE_SHARE % GATEWAYS, path, id);
		count(client->route, was_steady, status);
		stage_record("GET %s %s: %d", path, id, status);
	}
	return NULL;
}

static void
start_servers(const char *service, char prefix, unsigned number,
    struct sockaddr_in *first)
{
	for (unsigned i = 0; i < number; i++) {
		struct sockaddr_in address;
		char id[16];

		snprintf(id, sizeof(id), "i-%c%u", prefix, i + 1);
		server_start(id, serve, 0, &address);
		store_put_server(id, service, &address, "ready");
		if (i == 0)
			*first = address;
	}
}

static void
start_system(void)
{
	struct sockaddr_in first;

	store_start();
	store_put("config", "main", CONFIG("7", LOOKUP_ROUTE));
	start_servers("partfind", 'l', LOOKUP_SERVERS, &first);
	start_servers("shift-board", 'b', BOARD_SERVERS, &first);
	for (unsigned i = 0; i < GATEWAYS; i++)
		gateway_start(i);
	for (unsigned i = 0; i < GATEWAYS; i++)
		if (!gateway_wait_ready(i, 20.0))
			stage_close(STAGE_NOT_RUN);
}

static void
start_clients(void)
{
	static client_t clients[CLIENTS];

	for (unsigned i = 0; i < CLIENTS; i++) {
		clients[i] =
		    (client_t){i, i % ROUTE_SHARE == 0 ? LOOKUP : BOARD};
		stage_thread(run_client, &clients[i]);
	}
}

/* A server crashes; it is back after some seconds, as a new incarnation. */
static void
crash_server(double start)
{
	struct sockaddr_in address;

	stage_sleep(start + CRASH_AT_S - stage_seconds());
	if (stage_trouble())
		server_stop("i-b1");
	stage_sleep(ENTRY_LAPSES_S);
	if (stage_trouble())
		store_remove("servers", "i-b1");
	stage_sleep(DOWN_S - ENTRY_LAPSES_S);
	if (stage_trouble()) {
		server_start("i-b9", serve, 0, &address);
		store_put_server("i-b9", "shift-board", &address, "ready");
	}
}

static void
play(double start)
{
	stage_sleep(start + ROUTE_ADDED_AT_S - stage_seconds());
	store_put("config", "main", CONFIG("8", LOOKUP_ROUTE BOARD_ROUTE));
	stage_sleep(start + BOARD_TRAFFIC_AT_S - stage_seconds());
	pthread_mutex_lock(&lock);
	board_traffic = true;
	pthread_mutex_unlock(&lock);
	crash_server(start);
	stage_sleep(start + STEADY_AT_S - stage_seconds());
	steady = true;
	stage_record("steady state");
	stage_sleep(start + END_S - stage_seconds());
}

static double
share(route_t route)
{
	return sent[route] > 0 ? (double)served[route] / sent[route] : 0.0;
}

int
main(int argc, char **argv)
{
	bool broken;

	if (argc != 2)
		return STAGE_NOT_RUN;
	stage_open(argv[1]);
	srand48(random());
	start_system();
	start_clients();
	play(stage_seconds());
	pthread_mutex_lock(&lock);
	stage_record("in steady state, on the first route: %u of %u served",
	    served[LOOKUP], sent[LOOKUP]);
	stage_record("in steady state, on the route added later: %u of %u "
		     "served",
	    served[BOARD], sent[BOARD]);
	broken = sent[BOARD] >= REQUESTS_MIN &&
	    share(BOARD) < LOWEST_SHARE * share(LOOKUP);
	stage_record("CONFIG is %s", broken ? "broken" : "kept");
	if (served[LOOKUP] == 0)
		stage_close(STAGE_NOT_RUN);
	stage_close(broken ? STAGE_BROKEN : STAGE_HELD);
}
