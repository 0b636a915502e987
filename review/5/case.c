/*
 * DRAIN: the store is silent for less than a second. A gateway whose poll of
 * the servers was lost in it waits for that poll for up to 19 s, and meanwhile
 * misses that a server leaves.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "stage.h"

#define GATEWAYS 6 /* three in each of two zones */
#define SERVERS 4  /* i-1 leaves later, i-4 before the silence */
#define CLIENTS 18
#define REQUEST_PAUSE_S 0.2
#define RUN_S 0.1
#define FIRST_LEAVES_AT_S 4.3
#define SILENT_AT_S 5.0
#define SILENT_S 0.8
#define LEAVES_AT_S 10.5 /* over contact_ms after the silence */
#define DRAIN_S 3.0	 /* drain_ms of the small sites */
#define SERVES_ON_S 4.0	 /* drain_ms and a little longer */
#define END_S 16.0
#define DEADLINE_MS 1500

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"reel-booking\","
    "\"host\":\"" STAGE_HOST "\",\"path_prefix\":\"/reels/\","
    "\"route_type\":\"non_idempotent\",\"service\":\"partfind\","
    "\"timeout_ms\":1500,\"target_latency_ms\":250,\"max_attempts\":3,"
    "\"priority\":2}],\"services\":[{\"name\":\"partfind\","
    "\"health_path\":\"/health\",\"max_connections\":100}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double leaves_at; /* when the store had accepted it; 0: not yet */
static unsigned late;	 /* requests that reached i-1 after DRAIN_S */
static double latest;
static unsigned answered, lost;

static void
record_arrival(const char *server, const char *id)
{
	double after;

	if (strcmp(server, "i-1") != 0)
		return;
	pthread_mutex_lock(&lock);
	after = leaves_at > 0.0 ? stage_seconds() - leaves_at : 0.0;
	if (after > DRAIN_S) {
		late++;
		latest = after;
	}
	pthread_mutex_unlock(&lock);
	if (after > 0.0)
		stage_record("%s reaches i-1 %.3f s after it has said that "
			     "it leaves%s",
		    id, after, after > DRAIN_S ? " (DRAIN)" : "");
}

static bool
serve(const char *server, stage_connection_t *connection,
    stage_message_t *request)
{
	char id[64];

	if (!stage_read_body(connection, request))
		return false;
	stage_header(request, "Bulrushwell-Request-Id", id, sizeof(id));
	stage_record("%s runs %s", server, id);
	record_arrival(server, id);
	stage_sleep(RUN_S);
	return stage_send_text(connection,
	    "HTTP/1.1 200 OK\r\nBulrushwell-Request-Id: %s\r\n"
	    "Bulrushwell-Response-Stamp: %s.%s\r\nContent-Length: 2\r\n\r\nok",
	    id, server, id);
}

/* Sends a request on a new connection; 0: no answer. */
static int
ask(unsigned gateway, const char *id)
{
	stage_connection_t connection;
	stage_message_t answer;
	int status = 0;

	if (!stage_connect(gateway_clients(gateway), &connection))
		return 0;
	stage_record("sent %s to gateway %u", id, gateway + 1);
	if (stage_send_text(&connection,
		"POST /reels/%s HTTP/1.1\r\nHost: " STAGE_HOST "\r\n"
		"Bulrushwell-Request-Id: %s\r\n"
		"Bulrushwell-Deadline-Ms: %d\r\n"
		"Content-Length: 4\r\n\r\nbook",
		id, id, DEADLINE_MS) &&
	    stage_read_head(&connection, &answer)) {
		status = stage_status(&answer);
		stage_message_free(&answer);
	}
	stage_disconnect(&connection);
	return status;
}

static void *
run_client(void *context)
{
	unsigned number = *(unsigned *)context;

	for (unsigned i = 0;; i++) {
		char id[64];
		int status;

		snprintf(id, sizeof(id), "c%u-%u", number, i);
		status = ask(number % GATEWAYS, id);
		pthread_mutex_lock(&lock);
		answered += status == 200;
		lost += status == 502;
		pthread_mutex_unlock(&lock);
		stage_record("request %s: %d", id, status);
		stage_sleep(REQUEST_PAUSE_S);
	}
	return NULL;
}

static void
start_system(struct sockaddr_in *addresses)
{
	store_start();
	store_put("config", "main", config);
	for (unsigned i = 0; i < SERVERS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-%u", i + 1);
		server_start(id, serve, 0, &addresses[i]);
		store_put_server(id, "partfind", &addresses[i], "ready");
	}
	for (unsigned i = 0; i < GATEWAYS; i++)
		gateway_start(i);
	for (unsigned i = 0; i < GATEWAYS; i++)
		if (!gateway_wait_ready(i, 20.0))
			stage_close(STAGE_NOT_RUN);
}

static void
leave(const char *id, const struct sockaddr_in *address)
{
	store_put_server(id, "partfind", address, "draining");
	if (strcmp(id, "i-1") != 0)
		return;
	pthread_mutex_lock(&lock);
	leaves_at = stage_seconds();
	pthread_mutex_unlock(&lock);
}

static void
play(const struct sockaddr_in *addresses, double start)
{
	stage_sleep(start + FIRST_LEAVES_AT_S - stage_seconds());
	leave("i-4", &addresses[3]);
	stage_sleep(start + SILENT_AT_S - stage_seconds());
	if (stage_trouble())
		store_set_silent(true);
	stage_sleep(SILENT_S);
	if (stage_trouble())
		store_set_silent(false);
	stage_sleep(start + FIRST_LEAVES_AT_S + SERVES_ON_S - stage_seconds());
	server_stop("i-4");
	stage_sleep(start + LEAVES_AT_S - stage_seconds());
	leave("i-1", &addresses[0]);
	stage_sleep(SERVES_ON_S);
	server_stop("i-1");
	stage_sleep(start + END_S - stage_seconds());
}

int
main(int argc, char **argv)
{
	static unsigned numbers[CLIENTS];
	struct sockaddr_in addresses[SERVERS];

	if (argc != 2)
		return STAGE_NOT_RUN;
	stage_open(argv[1]);
	start_system(addresses);
	for (unsigned i = 0; i < CLIENTS; i++) {
		numbers[i] = i;
		stage_thread(run_client, &numbers[i]);
	}
	play(addresses, stage_seconds());
	pthread_mutex_lock(&lock);
	stage_record(
	    "%u requests answered by servers, %u answered 502", answered, lost);
	stage_record("requests that reached i-1 later than %.1f s after the "
		     "store had accepted its leave: %u, the last after %.3f s",
	    DRAIN_S, late, latest);
	stage_record("DRAIN is %s", late > 0 ? "broken" : "kept");
	if (answered == 0)
		stage_close(STAGE_NOT_RUN);
	stage_close(late > 0 ? STAGE_BROKEN : STAGE_HELD);
}
