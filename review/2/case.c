/*
 * MIXED: servers answer long requests early and without a length. A faulty one
 * breaks off some of its answers with a reset. The client gets the part as a
 * complete success.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stage.h"

#define SERVERS 2 /* the first one is faulty: a share of 0.5 */
#define BROKEN_SHARE 0.05
#define TROUBLE_AT_S 1.0
#define TROUBLE_S 5.0
#define END_S 7.0
#define CLIENTS 6
#define REQUEST_BODY_BYTES 250000 /* the limit is 262,144 */
#define ANSWER_BYTES 4000
#define PART_BYTES 1000
#define EARLY_S 0.02
#define ETHERNET_SEGMENT 1460 /* loopback itself has larger ones */

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"feeder-list\","
    "\"host\":\"" STAGE_HOST "\",\"path_prefix\":\"/feeders/\","
    "\"route_type\":\"non_idempotent\",\"service\":\"partfind\","
    "\"timeout_ms\":1500,\"target_latency_ms\":250,\"max_attempts\":3,"
    "\"priority\":2}],\"services\":[{\"name\":\"partfind\","
    "\"health_path\":\"/health\",\"max_connections\":100}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static char answer_body[ANSWER_BYTES];
static char request_body[REQUEST_BODY_BYTES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double traffic_at;
static unsigned answers, broken_off, successes, mixed;

/* The whole answer, without a length. */
static size_t
build_answer(const char *server, const char *id, char *answer, size_t size)
{
	int head = snprintf(answer, size,
	    "HTTP/1.1 200 OK\r\nBulrushwell-Request-Id: %s\r\n"
	    "Bulrushwell-Response-Stamp: %s.%s\r\nConnection: close\r\n\r\n",
	    id, server, id);

	memcpy(answer + head, answer_body, ANSWER_BYTES);
	return (size_t)head + ANSWER_BYTES;
}

/* Whether this answer is broken off, and counts it. */
static bool
breaks_off(const char *server)
{
	double time = stage_seconds() - traffic_at;
	bool breaks = false;

	if (stage_trouble() && strcmp(server, "i-1") == 0 &&
	    time >= TROUBLE_AT_S && time < TROUBLE_AT_S + TROUBLE_S)
		breaks = drand48() < BROKEN_SHARE;
	pthread_mutex_lock(&lock);
	answers++;
	broken_off += breaks;
	pthread_mutex_unlock(&lock);
	return breaks;
}

static bool
serve(const char *server, stage_connection_t *connection,
    stage_message_t *request)
{
	char answer[ANSWER_BYTES + 512], id[64];
	size_t size;

	stage_header(request, "Bulrushwell-Request-Id", id, sizeof(id));
	stage_sleep(EARLY_S);
	size = build_answer(server, id, answer, sizeof(answer));
	if (breaks_off(server)) {
		stage_record("%s runs %s and answers 200 with %d bytes of %d; "
			     "then the connection is reset",
		    server, id, PART_BYTES, ANSWER_BYTES);
		stage_send(
		    connection, answer, size - ANSWER_BYTES + PART_BYTES);
		stage_reset(connection);
		return false;
	}
	stage_record("%s runs %s and answers 200 with %d bytes", server, id,
	    ANSWER_BYTES);
	stage_send(connection, answer, size);
	stage_read_body(connection, request); /* and closes after it */
	return false;
}

static bool
send_request(stage_connection_t *connection, const char *id)
{
	return stage_send_text(connection,
		   "POST /feeders/7 HTTP/1.1\r\nHost: " STAGE_HOST "\r\n"
		   "Bulrushwell-Request-Id: %s\r\n"
		   "Bulrushwell-Deadline-Ms: 1500\r\n"
		   "Content-Length: %d\r\n\r\n",
		   id, REQUEST_BODY_BYTES) &&
	    stage_send(connection, request_body, sizeof(request_body));
}

/* A success with another body than the server's is counted as mixed. */
static void
check_answer(const char *id, const stage_message_t *answer)
{
	bool success = stage_status(answer) == 200;
	bool whole = answer->body_size == ANSWER_BYTES &&
	    memcmp(answer->body, answer_body, ANSWER_BYTES) == 0;
	char stamp[128];

	stage_header(
	    answer, "Bulrushwell-Response-Stamp", stamp, sizeof(stamp));
	pthread_mutex_lock(&lock);
	successes += success;
	mixed += success && !whole;
	pthread_mutex_unlock(&lock);
	stage_record("request %s: %d, stamp '%s', complete answer of %zu "
		     "bytes%s",
	    id, stage_status(answer), stamp, answer->body_size,
	    success && !whole ? " (MIXED)" : "");
}

static void
ask(const char *id)
{
	stage_connection_t connection;
	stage_message_t answer = {0};

	if (!stage_connect(gateway_clients(0), &connection))
		return;
	stage_record("sent %s", id);
	if (send_request(&connection, id) &&
	    stage_read_head(&connection, &answer) &&
	    stage_read_body(&connection, &answer))
		check_answer(id, &answer);
	else
		stage_record("request %s: no complete answer", id);
	stage_message_free(&answer);
	stage_disconnect(&connection);
}

static void *
run_client(void *context)
{
	unsigned number = *(unsigned *)context;

	for (unsigned i = 0;; i++) {
		char id[64];

		snprintf(id, sizeof(id), "c%u-%u", number, i);
		ask(id);
	}
	return NULL;
}

static void
start_system(void)
{
	store_start();
	store_put("config", "main", config);
	for (unsigned i = 0; i < SERVERS; i++) {
		struct sockaddr_in address;
		char id[16];

		snprintf(id, sizeof(id), "i-%u", i + 1);
		server_start(id, serve, ETHERNET_SEGMENT, &address);
		store_put_server(id, "partfind", &address, "ready");
	}
	gateway_start(0);
	if (!gateway_wait_ready(0, 20.0))
		stage_close(STAGE_NOT_RUN);
}

int
main(int argc, char **argv)
{
	static unsigned numbers[CLIENTS];

	if (argc != 2)
		return STAGE_NOT_RUN;
	stage_open(argv[1]);
	srand48(random());
	for (size_t i = 0; i < sizeof(answer_body); i++)
		answer_body[i] = (char)('a' + i % 26);
	memset(request_body, 'b', sizeof(request_body));
	start_system();
	traffic_at = stage_seconds();
	for (unsigned i = 0; i < CLIENTS; i++) {
		numbers[i] = i;
		stage_thread(run_client, &numbers[i]);
	}
	stage_sleep(END_S);
	pthread_mutex_lock(&lock);
	stage_record(
	    "servers: %u answers, %u of them broken off", answers, broken_off);
	stage_record("clients: %u successes, %u of them with a part of the "
		     "server's body",
	    successes, mixed);
	stage_record("MIXED is %s", mixed > 0 ? "broken" : "kept");
	if (successes == 0)
		stage_close(STAGE_NOT_RUN);
	stage_close(mixed > 0 ? STAGE_BROKEN : STAGE_HELD);
}
