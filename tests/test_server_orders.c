/*
 * Explores the orders of events in the life of one server as a node sees it:
 * what the registry says, late and after outages, and what the server says of
 * itself. Guards against requests to a server after its drain time, and against
 * a server that is left out although it serves.
 *
 * BW_DEPTH is the number of events of the exhaustive search, BW_SEED and
 * BW_STEPS are the first seed and the number of the random orders beyond it.
 */
#include "lib/runner.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

#include "../source/gateway/pool_private.h"
#include "lib/orders.h"
#include "lib/random.h"

/*
 * d: the server announces that it leaves, in its entry and its responses
 * q: it leaves, and its entry is removed; in its responses it says so
 * n: another process has taken its place; m: its entry is written again
 * e: its entry lapses, as the registry was away; b: the entry is back
 * o: this node loses the registry, or reaches it again
 * k: it reads what has changed; r: other nodes tell it; l: it lists the
 * registry s: a report that is older than the last one arrives h: the server
 * says that it leaves, if it does; x: other nodes say so of the process before;
 * z: the node restarts t: 0.7 s pass; u: 3 s pass
 */
#define EVENTS "dqnmebokrlshxztu"
#define DEFAULT_DEPTH 4
#define DEFAULT_RANDOM_ORDERS 40000
#define RANDOM_DEPTH 20
#define SHORT_TIME MS(700)
#define LONG_TIME SECONDS(3)
#define SWEEP_TIME MS(100)
#define MOMENT MS(1) /* so that an outage begins or ends at no other event */
#define POLL_TIME SECONDS(4) /* without an outage the node reads this often */
#define TOLD_AGE MS(2400)    /* that what other nodes tell may have */
#define START_TIME SECONDS(100)
/* The bound of the platform, and the part of it that is used. */
#define DRAIN_BOUND SECONDS(6)
#define DRAIN_LIMIT MS(4500)
/* Entries that lapsed in an outage are back this soon after it, or gone. */
#define LAPSE_BOUND MS(2700)
#define NEVER INT64_MAX
#define SERVER "i-1"
#define SERVICE "one"

typedef enum { SERVES, LEAVES } phase_t;

/* An entry of the registry. */
typedef struct {
	bool present;
	bool draining;
	int64_t incarnation;
	int64_t sequence;
} registration_t;

typedef struct {
	struct ev_loop *loop;
	pool_t *pool;
	FILE *trace;
	const char *failure;
	usec_t now;
	/* What is true. */
	phase_t phase;
	registration_t entry;
	registration_t entry_before;
	usec_t left_at; /* the registry has accepted the leave; NEVER: not */
	bool lapsed;
	/* What the node has heard. */
	registration_t read;
	bool has_read;
	bool is_cut;	/* it does not reach the registry */
	usec_t back_at; /* it reached the registry again; 0: no outage yet */
	usec_t read_at;
	bool heard_leave;     /* it has read the registry after the leave */
	usec_t lapse_ends_at; /* until then a missing entry may come back */
	usec_t said_at; /* the process has said that it leaves; NEVER: not */
} world_t;

static struct ev_loop *shared_loop;

static void
ignore_attempt(void *owner, attempt_t *attempt, attempt_outcome_t outcome,
    const http_message_t *response)
{
}

static void
ignore_capacity(void *context, upstream_t *upstream)
{
}

static void
ignore_crash(void *context, const upstream_server_t *server,
    const interrupted_request_t *interrupted)
{
}

static void
start_node(world_t *world)
{
	static const pool_settings_t settings = {
	    .headers = {.request_id = "X-Id", .not_run = "X-Not-Run"},
	    .drain_limit = DRAIN_LIMIT,
	    .max_response_bytes = 4096,
	};
	static const pool_handlers_t handlers = {
	    .attempt_ended = ignore_attempt,
	    .capacity_available = ignore_capacity,
	    .server_crashed = ignore_crash};

	world->pool = pool_create(world->loop, &settings, &handlers);
	world->read = (registration_t){0};
	world->has_read = false;
	world->heard_leave = false;
	world->lapse_ends_at = 0;
	world->back_at = 0;
	world->said_at = NEVER;
	if (world->is_cut)
		pool_record_registry_call(world->pool, false, world->now);
}

static server_entry_t
entry_of(const registration_t *registration)
{
	return (server_entry_t){
	    .id = SERVER,
	    .service = SERVICE,
	    .slots = 2,
	    .draining = registration->draining,
	    .incarnation = registration->incarnation,
	    .sequence = registration->sequence,
	};
}

static void
write_entry(world_t *world)
{
	world->entry_before = world->entry;
	world->entry.sequence++;
}

static bool
leave(world_t *world, bool announced)
{
	if (world->phase != SERVES || !world->entry.present)
		return false;
	world->phase = LEAVES;
	world->left_at = world->now;
	write_entry(world);
	if (announced)
		world->entry.draining = true;
	else
		world->entry.present = false;
	return true;
}

static bool
start_next_process(world_t *world)
{
	world->entry_before = world->entry;
	world->entry = (registration_t){.present = true,
	    .incarnation = world->entry.incarnation + 1,
	    .sequence = 1};
	world->phase = SERVES;
	world->left_at = NEVER;
	world->lapsed = false;
	world->heard_leave = false;
	world->lapse_ends_at = 0;
	world->said_at = NEVER;
	return true;
}

static bool
write_again(world_t *world)
{
	if (!world->entry.present)
		return false;
	write_entry(world);
	return true;
}

static bool
lapse(world_t *world)
{
	if (!world->is_cut || !world->entry.present)
		return false;
	world->entry_before = world->entry;
	world->entry.present = false;
	world->lapsed = true;
	return true;
}

static bool
come_back(world_t *world)
{
	if (!world->lapsed || world->is_cut)
		return false;
	world->lapsed = false;
	write_entry(world);
	world->entry.present = true;
	return true;
}

static bool
toggle_outage(world_t *world)
{
	world->now += MOMENT;
	world->is_cut = !world->is_cut;
	if (!world->is_cut)
		world->back_at = world->now;
	pool_record_registry_call(world->pool, !world->is_cut, world->now);
	return true;
}

static void
take_entry(world_t *world)
{
	server_entry_t entry = entry_of(&world->entry);

	if (world->entry.present)
		pool_update_server(world->pool, &entry, world->now);
	else
		pool_server_deregistered(world->pool, SERVER, world->now);
}

static bool
is_same(const registration_t *a, const registration_t *b)
{
	return a->present == b->present && a->draining == b->draining &&
	    a->incarnation == b->incarnation && a->sequence == b->sequence;
}

/* The node has heard all that the registry said @age ago or later. */
static void
note_read(world_t *world, usec_t age)
{
	usec_t outage_end = world->is_cut ? world->now : world->back_at;

	if (!world->entry.present && world->read.present)
		world->lapse_ends_at = outage_end != 0 && !world->heard_leave
		    ? outage_end + LAPSE_BOUND
		    : 0;
	world->read = world->entry;
	world->has_read = true;
	world->read_at = world->now;
	world->heard_leave = world->phase == LEAVES;
	pool_registry_current(world->pool, world->now - age);
}

static bool
read_changes(world_t *world, usec_t age)
{
	if (!world->has_read)
		return false;
	if (!is_same(&world->entry, &world->read))
		take_entry(world);
	note_read(world, age);
	return true;
}

static bool
list_registry(world_t *world)
{
	GHashTable *present;

	if (world->is_cut)
		return false;
	present = g_hash_table_new(g_str_hash, g_str_equal);
	if (world->entry.present) {
		take_entry(world);
		g_hash_table_add(present, (char *)SERVER);
	}
	pool_reconcile_servers(world->pool, present, world->now);
	g_hash_table_destroy(present);
	note_read(world, 0);
	return true;
}

static bool
take_late_report(world_t *world)
{
	server_entry_t entry = entry_of(&world->entry_before);

	if (!world->has_read || !world->entry_before.present ||
	    !world->read.present ||
	    world->entry_before.sequence == world->read.sequence)
		return false;
	pool_update_server(world->pool, &entry, world->now);
	return true;
}

static bool
say_leaving(world_t *world)
{
	if (world->phase != LEAVES || !world->has_read ||
	    world->read.incarnation != world->entry.incarnation)
		return false;
	pool_server_leaving(
	    world->pool, SERVER, world->entry.incarnation, world->now);
	world->said_at = MIN(world->said_at, world->now);
	return true;
}

static bool
is_used(const world_t *world)
{
	return pool_has_usable_server(
	    world->pool, pool_get_upstream(world->pool, SERVICE), world->now);
}

/* The latest time at which the server may be used. */
static usec_t
latest_use(const world_t *world)
{
	usec_t latest = NEVER;

	if (world->phase == LEAVES && world->heard_leave) {
		latest = world->left_at + DRAIN_BOUND;
		latest = MAX(latest, world->lapse_ends_at);
	}
	if (world->said_at != NEVER)
		latest = MIN(latest, world->said_at + DRAIN_BOUND);
	return latest;
}

static void
check(world_t *world)
{
	bool serves = world->phase == SERVES && world->has_read &&
	    is_same(&world->read, &world->entry) && world->entry.present;

	if (world->failure != NULL)
		return;
	if (world->now > latest_use(world) && is_used(world))
		world->failure = "used after its drain time";
	else if (serves && !is_used(world))
		world->failure = "left out although it serves";
}

static bool
pass_time(world_t *world, usec_t time)
{
	usec_t end = world->now + time;

	while (world->now < end) {
		world->now += SWEEP_TIME;
		if (!world->is_cut && world->now - world->read_at >= POLL_TIME)
			read_changes(world, 0);
		pool_remove_drained(world->pool, world->now);
		check(world);
	}
	return true;
}

/* Return: false if the event can't happen now. */
static bool
play_event(world_t *world, char event)
{
	switch (event) {
	case 'd':
		return leave(world, true);
	case 'q':
		return leave(world, false);
	case 'n':
		return start_next_process(world);
	case 'm':
		return write_again(world);
	case 'e':
		return lapse(world);
	case 'b':
		return come_back(world);
	case 'o':
		return toggle_outage(world);
	case 'k':
		return !world->is_cut && read_changes(world, 0);
	case 'r':
		return read_changes(world, TOLD_AGE);
	case 'l':
		return list_registry(world);
	case 's':
		return take_late_report(world);
	case 'h':
		return say_leaving(world);
	case 'x':
		pool_server_leaving(world->pool, SERVER,
		    world->entry.incarnation - 1, world->now);
		return true;
	case 'z':
		pool_destroy(world->pool);
		start_node(world);
		return true;
	case 't':
		return pass_time(world, SHORT_TIME);
	case 'u':
		return pass_time(world, LONG_TIME);
	}
	return false;
}

static void
open_world(world_t *world)
{
	*world = (world_t){.loop = shared_loop,
	    .now = START_TIME,
	    .entry = {.present = true, .incarnation = 7, .sequence = 1},
	    .left_at = NEVER};
	start_node(world);
	list_registry(world);
}

/* Events that can't happen are passed over. */
static const char *
play_order(const char *order, FILE *trace)
{
	const char *failure;
	world_t world;

	open_world(&world);
	for (; *order != '\0' && world.failure == NULL; order++) {
		bool happened = play_event(&world, *order);

		check(&world);
		if (trace != NULL)
			fprintf(trace, "%6.1f %c%s used=%d latest=%.1f\n",
			    (double)(world.now - START_TIME) / USEC_PER_SEC,
			    *order, happened ? "" : " (not possible)",
			    is_used(&world),
			    latest_use(&world) == NEVER
				? 0.0
				: (double)(latest_use(&world) - START_TIME) /
				    USEC_PER_SEC);
	}
	pass_time(&world, DRAIN_BOUND + LAPSE_BOUND);
	failure = world.failure;
	pool_destroy(world.pool);
	return failure;
}

static const orders_t orders = {.letters = EVENTS, .play = play_order};

static const order_case_t order_cases[] = {
    {"doeuolb", "an entry that lapsed and is back prolongs no leave"},
    {"odutrer", "an announced leave that lapses in an outage is no lapse"},
};

static void
orders_that_once_failed_keep_the_promises(void **state)
{
	orders_play_cases(&orders, order_cases, G_N_ELEMENTS(order_cases));
}

static void
every_short_order_keeps_the_promises(void **state)
{
	uint32_t depth =
	    (uint32_t)environment_number("BW_DEPTH", DEFAULT_DEPTH);

	if (orders_play_given(&orders))
		return;
	print_message("%llu orders of up to %u events\n",
	    (unsigned long long)orders_play_all(&orders, depth), depth);
}

static void
random_long_orders_keep_the_promises(void **state)
{
	static const char *const begins[] = {""};

	orders_play_random(&orders, begins, G_N_ELEMENTS(begins), RANDOM_DEPTH,
	    DEFAULT_RANDOM_ORDERS);
}

static int
create_loop(void **state)
{
	shared_loop = ev_loop_new(EVFLAG_AUTO);
	return 0;
}

static int
destroy_loop(void **state)
{
	ev_loop_destroy(shared_loop);
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		orders_that_once_failed_keep_the_promises, create_loop,
		destroy_loop),
	    cmocka_unit_test_setup_teardown(
		every_short_order_keeps_the_promises, create_loop,
		destroy_loop),
	    cmocka_unit_test_setup_teardown(
		random_long_orders_keep_the_promises, create_loop,
		destroy_loop),
	};

	return RUN_TESTS(argc, argv, tests);
}
