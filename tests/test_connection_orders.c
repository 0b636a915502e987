/*
 * Explores the orders of events on the connection to one server: what the
 * server sends, how the connection ends, and when this node sends, cancels and
 * reads. Guards against a response that is taken for another one or is not
 * whole, a refusal that nobody has sent, an attempt that ends twice, and an
 * answer that is lost although all of it has arrived.
 *
 * BW_DEPTH is the number of events of the exhaustive search, BW_SEED and
 * BW_STEPS are the first seed and the number of the random orders beyond it. A
 * failure names the order, which BW_ORDER plays again.
 */
#include "lib/runner.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../source/base/loop_clock.h"
#include "../source/gateway/pool.h"
#include "lib/random.h"

/*
 * Events. Capital letters: this node reads what has arrived after the event;
 * small letters: it does not, so that several events arrive at once.
 */
#define EVENTS "slonchriufxq"
/* s: send a request; l: send one that the kernel does not take at once
 * o: the server answers; h: it sends a part of its answer
 * n: a response without an id; c: the answer to the request before
 * r: a refusal without an id; i: an interim response
 * u: an answer without a length; f: an orderly end; x: a reset
 * q: this node cancels the request */
#define DEFAULT_DEPTH 2
#define DEFAULT_RANDOM_ORDERS 300
#define RANDOM_DEPTH 12
#define MAX_REQUESTS 16
#define LONG_REQUEST_BYTES (6 * 1024 * 1024)
#define SERVER_BUFFER_BYTES 4096
#define LOOP_TURNS 4 /* more than any event needs */
#define LATE SECONDS(3600)
#define DELIVERY_STEPS 100
#define DELIVERY_STEP_MS 5

typedef enum { NOT_ENDED, ENDED_ANSWERED, ENDED_NOT_RUN, ENDED_UNKNOWN } end_t;

/* One request, as this node and the server have seen it. */
typedef struct {
	attempt_t *attempt; /* NULL: ended or cancelled */
	bool cancelled;
	bool received;	  /* by the server */
	bool is_long;	  /* the server does not read all of it */
	bool answered;	  /* all of a framed answer was sent */
	bool interrupted; /* its connection has ended */
	bool was_reset;
	char unframed_body[64]; /* of an answer that has ended in order */
	end_t end;
} request_t;

typedef struct {
	const char *order;
	struct ev_loop *loop;
	pool_t *pool;
	upstream_t *upstream;
	latency_model_t *latency;
	int listener;
	int fd;		  /* the server's side of the last connection; -1 */
	int current;	  /* request that it has received last; -1 */
	bool half_sent;	  /* a part of a framed answer */
	bool is_unframed; /* an answer without a length has begun */
	int sent;	  /* requests */
	request_t requests[MAX_REQUESTS];
} world_t;

/* One for all orders: to create a loop takes longer than to play an order. */
static struct ev_loop *shared_loop;
static loop_clock_t shared_clock;

static void
fail_order(const world_t *world, const char *failure, int request)
{
	fail_msg("BW_ORDER=%s: %s, request %d", world->order, failure, request);
}

static void
body_of(int request, char body[32])
{
	snprintf(body, 32, "body of request %d", request);
}

static void
check_answer(const world_t *world, int number, const http_message_t *response)
{
	const request_t *request = &world->requests[number];
	char id[16], body[32];
	slice_t value, got = {response->body.data, response->body.size};

	snprintf(id, sizeof(id), "r%d", number);
	body_of(number, body);
	if (!http_message_find(response, "X-Id", &value) ||
	    !slice_is(value, id))
		fail_order(world, "another request's answer", number);
	if (request->answered && slice_is(got, body))
		return;
	if (request->unframed_body[0] == '\0' ||
	    !slice_is(got, request->unframed_body))
		fail_order(world, "an answer that is not whole", number);
}

static void
on_attempt_ended(void *owner, attempt_t *attempt, attempt_outcome_t outcome,
    const http_message_t *response)
{
	static const end_t ends[] = {
	    [ATTEMPT_ANSWERED] = ENDED_ANSWERED,
	    [ATTEMPT_NOT_RUN] = ENDED_NOT_RUN,
	    [ATTEMPT_UNKNOWN] = ENDED_UNKNOWN,
	};
	world_t *world = owner;
	int number = atoi(attempt->request_id + 1);
	request_t *request = &world->requests[number];

	if (request->end != NOT_ENDED || request->cancelled)
		fail_order(world, "a second end", number);
	request->end = ends[outcome];
	request->attempt = NULL;
	if (outcome == ATTEMPT_ANSWERED)
		check_answer(world, number, response);
	/* The server here refuses no request by its id. */
	if (outcome == ATTEMPT_NOT_RUN && request->received)
		fail_order(world, "said not to have run", number);
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

static int
listen_on_loopback(struct sockaddr_in *address)
{
	int bytes = SERVER_BUFFER_BYTES;
	socklen_t size = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	*address = (struct sockaddr_in){.sin_family = AF_INET};
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	assert_int_equal(bind(fd, (struct sockaddr *)address, size), 0);
	assert_int_equal(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)address, &size);
	return fd;
}

static void
world_open(world_t *world, const char *order)
{
	static const pool_settings_t settings = {
	    .headers = {.request_id = "X-Id", .not_run = "X-Not-Run"},
	    .drain_limit = SECONDS(1),
	    .max_response_bytes = 65536,
	};
	static const pool_handlers_t handlers = {
	    .attempt_ended = on_attempt_ended,
	    .capacity_available = ignore_capacity,
	    .server_crashed = ignore_crash,
	};
	server_entry_t entry = {
	    .id = "i-1", .service = "one", .slots = 8, .sequence = 1};

	*world = (world_t){.order = order, .fd = -1, .current = -1};
	world->loop = shared_loop;
	world->pool = pool_create(world->loop, &settings, &handlers);
	world->listener = listen_on_loopback(&entry.address);
	pool_set_nodes(world->pool, 1, 0);
	pool_update_server(world->pool, &entry, loop_clock_now(world->loop));
	world->upstream = pool_get_upstream(world->pool, "one");
	world->latency = latency_model_create(MS(100));
}

static void
world_close(world_t *world)
{
	pool_destroy(world->pool);
	latency_model_destroy(world->latency);
	close(world->listener);
	if (world->fd >= 0)
		close(world->fd);
}

static void
turn_loop(const world_t *world)
{
	for (int i = 0; i < LOOP_TURNS; i++)
		ev_run(world->loop, EVRUN_NOWAIT);
}

/* Return: the number of the last request that has arrived; -1: none. */
static int
receive_request(int fd)
{
	char data[SERVER_BUFFER_BYTES + 1];
	ssize_t n = recv(fd, data, SERVER_BUFFER_BYTES, MSG_DONTWAIT);
	const char *at;

	if (n <= 0)
		return -1;
	data[n] = '\0';
	at = strstr(data, "X-Id: r");
	return at != NULL ? atoi(at + strlen("X-Id: r")) : -1;
}

/* The server's side of what has happened: new connections and requests. */
static void
let_server_read(world_t *world)
{
	int accepted = accept4(world->listener, NULL, NULL, SOCK_CLOEXEC);
	int number;

	if (accepted >= 0) {
		int yes = 1;

		setsockopt(
		    accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
		if (world->fd >= 0)
			close(world->fd);
		world->fd = accepted;
		world->current = -1;
		world->half_sent = false;
		world->is_unframed = false;
	}
	if (world->fd < 0)
		return;
	number = receive_request(world->fd);
	if (number < 0)
		return;
	world->current = number;
	world->requests[number].received = true;
}

static bool
send_request(world_t *world, bool is_long)
{
	int number = world->sent;
	upstream_server_t *server;
	static char body[LONG_REQUEST_BYTES];
	char text[128], id[16];
	size_t body_size = is_long ? LONG_REQUEST_BYTES : 0;
	buffer_t head = {0};
	pool_request_t request = {.head = &head, .latency = world->latency};
	bool busy;

	if (number == MAX_REQUESTS ||
	    (number > 0 && world->requests[number - 1].attempt != NULL))
		return false;
	server = pool_choose_server(world->pool, world->upstream, NULL, 0,
	    MS(100), loop_clock_now(world->loop), &busy);
	if (server == NULL)
		return false;
	snprintf(id, sizeof(id), "r%d", number);
	snprintf(text, sizeof(text), "POST / HTTP/1.1\r\nX-Id: %s\r\n\r\n", id);
	buffer_append_text(&head, text);
	request.body = (slice_t){body, body_size};
	request.request_id = slice_from(id);
	request.expires_at = loop_clock_now(world->loop) + LATE;
	world->sent++;
	world->requests[number].is_long = is_long;
	world->requests[number].attempt = pool_start_attempt(
	    world->pool, server, &request, world, loop_clock_now(world->loop));
	assert_non_null(world->requests[number].attempt);
	buffer_free(&head);
	turn_loop(world); /* until it is connected, or written */
	let_server_read(world);
	return true;
}

static void
send_text(const world_t *world, const char *text)
{
	send(world->fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Which parts of a framed answer the server sends. */
typedef enum { WHOLE, FIRST_PART, SECOND_PART } part_t;

static void
send_answer(const world_t *world, int number, part_t part)
{
	char body[32], text[256];
	size_t first;

	body_of(number, body);
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Id: r%d\r\nContent-Length: %zu\r\n\r\n%s",
	    number, strlen(body), body);
	first = strlen(text) - strlen(body) / 2;
	if (part == FIRST_PART)
		text[first] = '\0';
	send_text(world, part == SECOND_PART ? text + first : text);
}

static void
end_connection(world_t *world, bool orderly)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	request_t *request =
	    world->current >= 0 ? &world->requests[world->current] : NULL;

	/* Unread bytes turn an orderly end into a reset. */
	if (request != NULL && request->is_long)
		orderly = false;
	if (!orderly)
		setsockopt(
		    world->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	if (orderly && world->is_unframed)
		snprintf(request->unframed_body, sizeof(request->unframed_body),
		    "unframed");
	for (int i = 0; i < world->sent; i++) {
		world->requests[i].interrupted = true;
		world->requests[i].was_reset |= !orderly;
	}
	close(world->fd);
	world->fd = -1;
	world->current = -1;
	world->half_sent = false;
	world->is_unframed = false;
}

static bool
cancel_request(world_t *world)
{
	request_t *request;

	if (world->sent == 0)
		return false;
	request = &world->requests[world->sent - 1];
	if (request->attempt == NULL)
		return false;
	pool_attempt_cancel(world->pool, request->attempt);
	request->attempt = NULL;
	request->cancelled = true;
	return true;
}

/* What the server sends; the caller has checked that it may. */
static bool
send_from_server(world_t *world, char event)
{
	int number = world->current;

	switch (event) {
	case 'o':
		send_answer(
		    world, number, world->half_sent ? SECOND_PART : WHOLE);
		world->half_sent = false;
		world->requests[number].answered = true;
		return true;
	case 'h':
		send_answer(world, number, FIRST_PART);
		world->half_sent = true;
		return true;
	case 'n':
		send_text(world,
		    "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnameless");
		return true;
	case 'c':
		if (number == 0)
			return false;
		send_answer(world, number - 1, WHOLE);
		return true;
	case 'r':
		send_text(world,
		    "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n"
		    "Content-Length: 0\r\n\r\n");
		return true;
	case 'i':
		send_text(world, "HTTP/1.1 103 Early\r\n\r\n");
		return true;
	case 'u': {
		char text[64];

		snprintf(text, sizeof(text),
		    "HTTP/1.1 200 OK\r\nX-Id: r%d\r\n\r\nunframed", number);
		send_text(world, text);
		world->is_unframed = true;
		return true;
	}
	}
	return false;
}

/* Return: false if the event can't happen now, so that the order is skipped. */
static bool
play_event(world_t *world, char event)
{
	switch (event) {
	case 's':
	case 'l':
		return send_request(world, event == 'l');
	case 'q':
		return cancel_request(world);
	}
	if (world->fd < 0)
		return false;
	if (event == 'f' || event == 'x') {
		end_connection(world, event == 'f');
		return true;
	}
	/* What follows a part belongs to it, whatever it is. */
	if (world->current < 0 || world->is_unframed ||
	    (world->half_sent && event != 'o') ||
	    world->requests[world->current].answered)
		return false;
	return send_from_server(world, event);
}

/*
 * An answer that has arrived whole, and whose connection was not reset, must
 * have been delivered, and a request whose connection has ended has an end.
 * Return: the failure, or NULL.
 */
static const char *
find_failure(const world_t *world, int *number)
{
	for (int i = 0; i < world->sent; i++) {
		const request_t *request = &world->requests[i];

		*number = i;
		if (request->answered && !request->cancelled &&
		    !request->was_reset && request->end != ENDED_ANSWERED)
			return "a whole answer is lost";
		if (request->interrupted && !request->cancelled &&
		    request->received && request->end == NOT_ENDED)
			return "no end";
	}
	return NULL;
}

/* The kernel may take a while to deliver what the server has sent. */
static void
check_end(const world_t *world)
{
	const char *failure;
	int number;

	for (int i = 0; i < DELIVERY_STEPS; i++) {
		if (find_failure(world, &number) == NULL)
			return;
		g_usleep(DELIVERY_STEP_MS * 1000);
		turn_loop(world);
	}
	failure = find_failure(world, &number);
	if (failure != NULL)
		fail_order(world, failure, number);
}

/* Return: whether all events of the order could happen. */
static bool
play_order(const char *order)
{
	world_t world;
	bool possible = true;

	world_open(&world, order);
	for (const char *at = order; *at != '\0' && possible; at++) {
		possible = play_event(&world, g_ascii_tolower(*at));
		if (g_ascii_isupper(*at))
			turn_loop(&world);
		let_server_read(&world);
	}
	turn_loop(&world);
	if (possible)
		check_end(&world);
	world_close(&world);
	return possible;
}

static char
event_letter(uint32_t number)
{
	char letter = EVENTS[number / 2];

	return number % 2 == 0 ? letter : g_ascii_toupper(letter);
}

#define LETTERS (2 * (sizeof(EVENTS) - 1))

/* All orders of @depth events that begin with @order, which is extended only
 * while its events can happen. Return: the number of orders. */
static uint64_t
explore(char *order, uint32_t depth)
{
	size_t size = strlen(order);
	uint64_t played = 0;

	if (depth == 0)
		return 0;
	for (uint32_t i = 0; i < LETTERS; i++) {
		order[size] = event_letter(i);
		order[size + 1] = '\0';
		if (play_order(order))
			played += 1 + explore(order, depth - 1);
	}
	order[size] = '\0';
	return played;
}

static void
every_short_order_keeps_the_promises(void **state)
{
	uint32_t depth =
	    (uint32_t)environment_number("BW_DEPTH", DEFAULT_DEPTH);
	char order[64] = "";
	uint64_t played = 0;

	if (getenv("BW_ORDER") != NULL) {
		play_order(getenv("BW_ORDER"));
		return;
	}
	for (int i = 0; i < 2; i++) {
		snprintf(order, sizeof(order), "%c", "sl"[i]);
		played += explore(order, depth);
	}
	print_message("%llu orders of up to %u events after a request\n",
	    (unsigned long long)played, depth);
}

static void
random_long_orders_keep_the_promises(void **state)
{
	uint64_t first = environment_number("BW_SEED", 1);
	uint64_t count = environment_number("BW_STEPS", DEFAULT_RANDOM_ORDERS);
	uint64_t events = 0;

	for (uint64_t seed = first; seed < first + count; seed++) {
		random_t random = {seed};
		char order[RANDOM_DEPTH + 2] = "s";

		for (int i = 1; i <= RANDOM_DEPTH; i++) {
			order[i] = event_letter(random_below(&random, LETTERS));
			order[i + 1] = '\0';
			/* An event that can't happen is replaced by the next
			 * one. */
			if (!play_order(order))
				order[i--] = '\0';
			else
				events++;
			if (random_below(&random, 20) == 0)
				break;
		}
	}
	print_message("%llu random orders, %llu events\n",
	    (unsigned long long)count, (unsigned long long)events);
}

static int
create_loop(void **state)
{
	shared_loop = ev_loop_new(EVFLAG_AUTO);
	loop_clock_start(&shared_clock, shared_loop);
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
		every_short_order_keeps_the_promises, create_loop,
		destroy_loop),
	    cmocka_unit_test_setup_teardown(
		random_long_orders_keep_the_promises, create_loop,
		destroy_loop),
	};

	return RUN_TESTS(argc, argv, tests);
}
