/* Guards a gateway that gets SIGTERM or SIGHUP against dropping or refusing
 * requests that could be served. */
#include "lib/gateway_world.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define DEADLINE_MS 1500
#define STATUS_TIMEOUT_MS 4000

static void
a_planned_stop_cuts_no_request(void **state)
{
	gateway_world_t *world = world_create(*state);
	char *answer;
	int fd, status;

	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_delay(world_replica(world, WORLD_ONE, i), 800);
	fd = world_connect(world);
	world_send_text(fd, WORLD_REQUEST("GET", "/one/x", ""));
	g_usleep(100 * 1000);
	harness_signal(world->harness, world->gateway, SIGTERM);
	harness_wait_status(world->health, "/ready", 503, STATUS_TIMEOUT_MS);
	answer = world_receive(fd, "i-0", 3000);
	assert_non_null(strstr(answer, "HTTP/1.1 200"));
	assert_non_null(strstr(answer, "Connection: close"));
	free(answer);
	close(fd);
	status = harness_wait_exit(world->harness, world->gateway, 6000);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	world_destroy(world);
}

/*
 * Guards clients that connect after SIGTERM against a connection that is closed
 * while a server processes their request.
 */
static void
a_planned_stop_cuts_no_late_request(void **state)
{
	gateway_world_t *world = world_create(*state);
	int answered = 0, refused = 0, closed_early = 0, status;

	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_delay(world_replica(world, WORLD_ONE, i), 400);
	harness_signal(world->harness, world->gateway, SIGTERM);
	for (;;) {
		http_reply_t result =
		    world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
		bool not_listening = result.connect_failed;

		/* Only one may be closed, when listening ends. */
		if (closed_early > 0 && !not_listening)
			fail_msg("a connection was closed while it listened");
		closed_early += !not_listening && result.status == 0;
		if (result.status != 0 && result.status != 200 &&
		    result.status != 503)
			fail_msg("status %d", result.status);
		answered += result.status == 200;
		refused += result.status == 503;
		http_reply_clear(&result);
		if (not_listening)
			break;
	}
	assert_true(answered > 0);
	assert_true(closed_early <= 1);
	print_message("answered %d, refused %d\n", answered, refused);
	status = harness_wait_exit(world->harness, world->gateway, 6000);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	world_destroy(world);
}

typedef struct {
	gateway_world_t *world;
	GMutex lock;
	uint32_t answered;
	uint32_t refused;
} late_clients_t;

/* Sends requests until connections are refused. */
static gpointer
run_late_client(gpointer context)
{
	late_clients_t *clients = context;
	bool listens = true;

	while (listens) {
		http_reply_t result = world_request(
		    clients->world, "POST", "/once/x", DEADLINE_MS, "reel");

		listens = !result.connect_failed;
		g_mutex_lock(&clients->lock);
		clients->answered += result.status == 200;
		clients->refused += result.status == 503;
		g_mutex_unlock(&clients->lock);
		http_reply_clear(&result);
		g_usleep(5 * 1000);
	}
	return NULL;
}

/*
 * Guards against an exit at the time limit of the shutdown while servers
 * process requests. With several clients some request is always running, so
 * that the shutdown lasts until that limit.
 */
static void
a_planned_stop_answers_all_that_it_has_passed_on(void **state)
{
	enum { CLIENTS = 6 };
	late_clients_t clients = {.world = world_create(*state)};
	GThread *threads[CLIENTS];
	uint32_t forwarded;
	int status;

	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_delay(
		    world_replica(clients.world, WORLD_ONE, i), 400);
	for (int i = 0; i < CLIENTS; i++) {
		threads[i] = g_thread_new("late", run_late_client, &clients);
		g_usleep(60 * 1000);
	}
	harness_signal(clients.world->harness, clients.world->gateway, SIGTERM);
	status = harness_wait_exit(
	    clients.world->harness, clients.world->gateway, 6000);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	for (int i = 0; i < CLIENTS; i++)
		g_thread_join(threads[i]);
	forwarded = world_request_count(clients.world, WORLD_ONE);
	print_message("forwarded %u, answered %u, refused %u\n", forwarded,
	    clients.answered, clients.refused);
	assert_true(forwarded > 0);
	assert_int_equal(forwarded, clients.answered);
	world_destroy(clients.world);
}

/* When a client of a stopping gateway connects, and what became of it. */
typedef struct {
	gateway_world_t *world;
	int connect_ms; /* after the signal */
	bool refused;	/* the connection was */
	bool answered;
} slow_client_t;

#define WRITE_DELAY_MS 100 /* from connecting until the request is sent */

/* Sends a request on a connection that has been open for a while. */
static gpointer
run_slow_client(gpointer context)
{
	slow_client_t *client = context;
	char *answer;
	int fd;

	g_usleep((gulong)client->connect_ms * 1000);
	fd = world_try_connect(client->world);
	client->refused = fd < 0;
	if (client->refused)
		return NULL;
	g_usleep(WRITE_DELAY_MS * 1000);
	client->answered =
	    world_try_send(fd, WORLD_REQUEST("GET", "/one/x", ""));
	answer = world_receive(fd, NULL, DEADLINE_MS);
	client->answered = client->answered &&
	    (strstr(answer, "HTTP/1.1 200") != NULL ||
		strstr(answer, "HTTP/1.1 503") != NULL);
	free(answer);
	close(fd);
	return NULL;
}

/*
 * Guards clients that connect at any moment of a stop and take a while to send
 * their request: each connection that was accepted gets an answer. Two clients
 * connect at each moment.
 */
static void
a_planned_stop_answers_whom_it_accepts(void **state)
{
	enum { MOMENT_MS = 65, LAST_MS = 5200 };
	enum { CLIENTS = 2 * LAST_MS / MOMENT_MS };
	gateway_world_t *world = world_create(*state);
	slow_client_t clients[CLIENTS];
	GThread *threads[CLIENTS];
	int accepted = 0, cut = 0, status;

	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_delay(world_replica(world, WORLD_ONE, i), 50);
	harness_signal(world->harness, world->gateway, SIGTERM);
	for (int i = 0; i < CLIENTS; i++) {
		clients[i] = (slow_client_t){
		    .world = world, .connect_ms = i / 2 * MOMENT_MS};
		threads[i] = g_thread_new("slow", run_slow_client, &clients[i]);
	}
	status = harness_wait_exit(world->harness, world->gateway, 6000);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	for (int i = 0; i < CLIENTS; i++) {
		g_thread_join(threads[i]);
		accepted += !clients[i].refused;
		if (clients[i].refused || clients[i].answered)
			continue;
		cut++;
		print_message(
		    "cut: connected after %d ms\n", clients[i].connect_ms);
	}
	print_message("accepted %d of %d\n", accepted, CLIENTS);
	assert_true(accepted > 0);
	assert_int_equal(cut, 0);
	world_destroy(world);
}

static bool
config_is_in_force(gateway_world_t *world)
{
	return world_metric(world, "config_version") == world->version;
}

/*
 * Guards a request that is still running at the time limit of a stop: it gets
 * an error response rather than a closed connection.
 */
static void
a_planned_stop_answers_at_its_limit(void **state)
{
	gateway_world_t *world = world_create(*state);
	char *answer;
	int fd, status;

	world->timeout_ms = 20000;
	world_configure(world);
	assert_true(world_wait(config_is_in_force, world, 5000));
	world_fault_service(world, WORLD_ONE, PLAIN_HANG, 1000);
	fd = world_connect(world);
	world_send_text(fd,
	    "POST /once/x HTTP/1.1\r\nHost: example.test\r\n"
	    "Bulrushwell-Request-Id: raw2\r\n"
	    "Bulrushwell-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
	g_usleep(100 * 1000);
	harness_signal(world->harness, world->gateway, SIGTERM);
	answer = world_receive(fd, NULL, 7000);
	if (strstr(answer, "HTTP/1.1 502") == NULL &&
	    strstr(answer, "HTTP/1.1 504") == NULL)
		fail_msg("the answer is \"%s\"", answer);
	free(answer);
	close(fd);
	status = harness_wait_exit(world->harness, world->gateway, 1000);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	world_destroy(world);
}

static gpointer
run_slow_booking(gpointer context)
{
	http_reply_t result =
	    world_request(context, "POST", "/once/x", 15000, "reel");

	assert_int_equal(result.status, 200);
	http_reply_clear(&result);
	return NULL;
}

/*
 * Guards a request that arrives late in a stop, while requests are still
 * accepted, and can't be answered before the process ends: it is refused as not
 * run instead of being sent to a server and cut at the limit.
 */
static void
a_planned_stop_refuses_what_it_cannot_finish(void **state)
{
	enum { BOOKINGS = 20, WORK_MS = 2000, LATE_MS = 2600 };
	gateway_world_t *world = world_create(*state);
	GThread *threads[BOOKINGS];
	http_reply_t result;
	uint32_t before;
	int status;

	world->timeout_ms = 20000;
	world_configure(world);
	assert_true(world_wait(config_is_in_force, world, 5000));
	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_delay(
		    world_replica(world, WORLD_ONE, i), WORK_MS);
	for (int i = 0; i < BOOKINGS; i++)
		threads[i] = g_thread_new("slow", run_slow_booking, world);
	for (int i = 0; i < BOOKINGS; i++)
		g_thread_join(threads[i]);
	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_delay(
		    world_replica(world, WORLD_ONE, i), 2 * WORK_MS);
	harness_signal(world->harness, world->gateway, SIGTERM);
	g_usleep(LATE_MS * 1000);
	before = world_request_count(world, WORLD_ONE);
	result = world_request(world, "POST", "/once/x", 15000, "reel");
	assert_int_equal(result.status, 503);
	assert_int_equal(world_request_count(world, WORLD_ONE), before);
	http_reply_clear(&result);
	status = harness_wait_exit(world->harness, world->gateway, 6000);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	world_destroy(world);
}

static void
a_hangup_changes_nothing(void **state)
{
	gateway_world_t *world = world_create(*state);

	for (int i = 0; i < 5; i++) {
		http_reply_t result;

		harness_signal(world->harness, world->gateway, SIGHUP);
		result =
		    world_request(world, "GET", "/all/x", DEADLINE_MS, NULL);
		assert_int_equal(result.status, 200);
		http_reply_clear(&result);
	}
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(a_planned_stop_cuts_no_request),
	    HARNESS_TEST(a_planned_stop_cuts_no_late_request),
	    HARNESS_TEST(a_hangup_changes_nothing),
	    HARNESS_TEST(a_planned_stop_answers_all_that_it_has_passed_on),
	    HARNESS_TEST(a_planned_stop_answers_whom_it_accepts),
	    HARNESS_TEST(a_planned_stop_answers_at_its_limit),
	    HARNESS_TEST(a_planned_stop_refuses_what_it_cannot_finish),
	};

	return RUN_TESTS(argc, argv, tests);
}
