/* Guards the gateway against servers that send bytes without end that are no
 * answer, fast or a byte at a time: the client is told in time, the connections
 * are closed, memory is bounded, other clients are served meanwhile, and the
 * servers are used again when they answer. */
#include "lib/gateway_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 700
/* After the deadline of the request the connection is closed within this. */
#define CLOSE_MARGIN_MS 1000
#define NEIGHBOUR_MAX_MS 500
#define RECOVERY_MS 5000 /* longer than a server is left out */
#define DRIP_MS 20
/* Bodies of at most 8 MB are buffered, from few servers at once here. */
#define MAX_MEMORY_KB (64 * 1024)
#define CROWD_CLIENTS 48
#define CROWD_MS 3000
#define CROWD_DEADLINE_MS 2000
#define SMALLEST_VM_KB (160 * 1024) /* memory of a VM */

static const struct {
	const char *name;
	plain_fault_t fault;
} cases[] = {
    {"a header line", PLAIN_ENDLESS_HEADER},
    {"header lines", PLAIN_ENDLESS_HEADERS},
    {"interim responses", PLAIN_ENDLESS_INTERIMS},
    {"the size of a chunk", PLAIN_ENDLESS_CHUNK_SIZE},
    {"chunks", PLAIN_ENDLESS_CHUNKS},
    {"a body beyond the limit", PLAIN_ENDLESS_BODY},
    {"a body without a length", PLAIN_ENDLESS_UNFRAMED},
    {"trailers", PLAIN_ENDLESS_TRAILERS},
    {"bytes without a line", PLAIN_ENDLESS_LINE},
};

static long
peak_memory_kb(const gateway_world_t *world)
{
	pid_t pid = world->harness->processes[world->gateway].pid;
	char path[64], line[256];
	long peak = -1;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	assert_non_null(file);
	while (fgets(line, sizeof(line), file) != NULL)
		if (strncmp(line, "VmHWM:", 6) == 0)
			peak = atol(line + 6);
	fclose(file);
	return peak;
}

static void
check_neighbour(gateway_world_t *world, const char *name)
{
	http_reply_t result =
	    world_request(world, "GET", "/all/x", DEADLINE_MS, NULL);

	if (result.status != 200 || result.elapsed > MS(NEIGHBOUR_MAX_MS))
		fail_msg("%s: a neighbour got status %d after %lld ms", name,
		    result.status, (long long)(result.elapsed / USEC_PER_MS));
	http_reply_clear(&result);
}

static void
check_closed(gateway_world_t *world, uint32_t expected, const char *name)
{
	gint64 until = g_get_monotonic_time() +
	    (DEADLINE_MS + CLOSE_MARGIN_MS) * G_TIME_SPAN_MILLISECOND;

	while (world_disconnect_count(world, WORLD_ONE) < expected) {
		if (g_get_monotonic_time() > until)
			fail_msg("%s: the connection stays open", name);
		check_neighbour(world, name);
		g_usleep(10 * 1000);
	}
}

static bool
is_answered(gateway_world_t *world)
{
	http_reply_t result =
	    world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
	bool answered = result.status == 200;

	http_reply_clear(&result);
	return answered;
}

/* Both servers of the service send without end, each to one request. */
static void
run_case(harness_t *harness, size_t number, int drip_ms)
{
	gateway_world_t *world = world_create(harness);
	const char *name = cases[number].name;
	http_reply_t result;

	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_drip(
		    world_replica(world, WORLD_ONE, i), drip_ms);
	world_fault_service(world, WORLD_ONE, cases[number].fault, 1);
	result = world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
	if (result.status != 502 && result.status != 504)
		fail_msg("%s, %d ms a byte: status %d", name, drip_ms,
		    result.status);
	http_reply_clear(&result);
	check_closed(world, WORLD_REPLICAS, name);
	if (!world_wait(is_answered, world, RECOVERY_MS))
		fail_msg("%s: no answers afterwards", name);
	assert_true(peak_memory_kb(world) < MAX_MEMORY_KB);
	world_destroy(world);
}

static void
bytes_without_end_are_cut_off(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(*state, i, 0);
}

static void
drips_without_end_are_cut_off(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(*state, i, DRIP_MS);
}

/* Sends requests until it is told to stop. */
typedef struct {
	gateway_world_t *world;
	gint stop;
} crowd_t;

static gpointer
run_client(gpointer context)
{
	crowd_t *crowd = context;

	while (!g_atomic_int_get(&crowd->stop)) {
		http_reply_t result = world_request(
		    crowd->world, "GET", "/all/x", CROWD_DEADLINE_MS, NULL);

		http_reply_clear(&result);
	}
	return NULL;
}

/* Many requests at once meet bodies without end: together, these must fit into
 * the memory of the smallest VM, and other clients must be served. */
static void
run_crowd_case(harness_t *harness, const char *name, plain_fault_t fault)
{
	crowd_t crowd = {.world = world_create(harness)};
	gint64 until =
	    g_get_monotonic_time() + CROWD_MS * G_TIME_SPAN_MILLISECOND;
	GThread *threads[CROWD_CLIENTS];
	long peak;

	for (int i = 0; i < WORLD_SHARDS; i++)
		world_fault_service(crowd.world, i, fault, UINT32_MAX);
	for (int i = 0; i < CROWD_CLIENTS; i++)
		threads[i] = g_thread_new("client", run_client, &crowd);
	while (g_get_monotonic_time() < until) {
		http_reply_t result = world_request(
		    crowd.world, "GET", "/one/x", CROWD_DEADLINE_MS, NULL);

		if (result.status != 200)
			fail_msg("%s: a neighbour got %d", name, result.status);
		http_reply_clear(&result);
	}
	g_atomic_int_set(&crowd.stop, 1);
	for (int i = 0; i < CROWD_CLIENTS; i++)
		g_thread_join(threads[i]);
	peak = peak_memory_kb(crowd.world);
	print_message("%s: at most %ld KB\n", name, peak);
	if (peak > SMALLEST_VM_KB)
		fail_msg("%s: %ld KB of %d", name, peak, SMALLEST_VM_KB);
	world_destroy(crowd.world);
}

static void
bodies_without_end_fit_into_memory_together(void **state)
{
	/* Memory that AddressSanitizer keeps after it was freed isn't the
	 * gateway's. */
	g_setenv("ASAN_OPTIONS", "quarantine_size_mb=8", TRUE);
	run_crowd_case(*state, "chunks", PLAIN_ENDLESS_CHUNKS);
	run_crowd_case(
	    *state, "a body without a length", PLAIN_ENDLESS_UNFRAMED);
	g_unsetenv("ASAN_OPTIONS");
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(bytes_without_end_are_cut_off),
	    HARNESS_TEST(drips_without_end_are_cut_off),
	    HARNESS_TEST(bodies_without_end_fit_into_memory_together),
	};

	return RUN_TESTS(argc, argv, tests);
}
