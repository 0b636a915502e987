/* Guards the client side of a connection to a server against taking a part of
 * a response for the whole one: a reset, also one that shows first while the
 * request is being sent, and an end in the middle of a head or of a framed body
 * complete nothing. */
#include "lib/runner.h"

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "../source/http/http_connection.h"

#define MAX_BODY_BYTES 65536
/* More than the kernel takes while the server does not read. */
#define LONG_REQUEST_BYTES (16 * 1024 * 1024)
#define SERVER_BUFFER_BYTES 4096
#define WAIT_S 5.0

#define HEAD "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
#define UNFRAMED HEAD "\r\n"
#define FRAMED HEAD "Content-Length: 8\r\n\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

typedef enum { END_ORDERLY, END_RESET } end_t;

/* The server sends @response and ends the connection. */
typedef struct {
	const char *name;
	const char *response;
	end_t end;
	bool long_request; /* most of it is unsent when the server ends */
	bool peeked;   /* http_connection_got_interim() sees the end first */
	int body_size; /* of the response that is delivered; -1: none */
} case_t;

static const case_t cases[] = {
    {"unframed, ends orderly", UNFRAMED "abcdefgh", END_ORDERLY, false, false,
	8},
    {"unframed, reset", UNFRAMED "abcd", END_RESET, false, false, -1},
    {"unframed, reset while the request is sent", UNFRAMED "abcd", END_RESET,
	true, false, -1},
    {"unframed, reset and seen by a peek", UNFRAMED "", END_RESET, false, true,
	-1},
    {"unframed and empty, reset while the request is sent", UNFRAMED, END_RESET,
	true, false, -1},
    {"framed and whole, reset while the request is sent", FRAMED "abcdefgh",
	END_RESET, true, false, 8},
    {"framed, cut", FRAMED "abcd", END_ORDERLY, false, false, -1},
    {"framed, cut by a reset while the request is sent", FRAMED "abcd",
	END_RESET, true, false, -1},
    {"chunked, cut", CHUNKED "8\r\nabcd", END_ORDERLY, false, false, -1},
    {"chunked, without the last chunk", CHUNKED "8\r\nabcdefgh\r\n",
	END_ORDERLY, false, false, -1},
    {"no byte", "", END_ORDERLY, false, false, -1},
};

typedef struct {
	struct ev_loop *loop;
	bool sends_head; /* the first response is followed by a HEAD request */
	int responses;
	http_connection_t *connection;
	int peer; /* the server's side */
	int body_size;
	bool closed;
	bool overdue;
} fixture_t;

static void
on_connected(void *owner, http_connection_t *connection)
{
	ev_break(((fixture_t *)owner)->loop, EVBREAK_ALL);
}

static bool
on_responded(
    void *owner, http_connection_t *connection, const http_message_t *response)
{
	fixture_t *fixture = owner;

	fixture->body_size = (int)response->body.size;
	fixture->responses++;
	if (fixture->sends_head && fixture->responses == 1) {
		buffer_t head = {0};

		buffer_append_text(&head, "HEAD / HTTP/1.1\r\n\r\n");
		http_connection_send(
		    connection, &head, (slice_t){NULL, 0}, true);
		buffer_free(&head);
	}
	return true;
}

static void
on_closed(
    void *owner, http_connection_t *connection, http_close_reason_t reason)
{
	fixture_t *fixture = owner;

	fixture->closed = true;
	ev_break(fixture->loop, EVBREAK_ALL);
}

static void
on_overdue(struct ev_loop *loop, ev_timer *timer, int events)
{
	((fixture_t *)timer->data)->overdue = true;
	ev_break(loop, EVBREAK_ALL);
}

static const http_connection_handlers_t handlers = {
    .connected = on_connected,
    .responded = on_responded,
    .closed = on_closed,
};

static int
listen_with_small_buffer(struct sockaddr_in *address)
{
	int bytes = SERVER_BUFFER_BYTES;
	socklen_t size = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	*address = (struct sockaddr_in){.sin_family = AF_INET};
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_true(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	assert_int_equal(bind(fd, (struct sockaddr *)address, size), 0);
	assert_int_equal(listen(fd, 1), 0);
	getsockname(fd, (struct sockaddr *)address, &size);
	return fd;
}

static void
run_loop(fixture_t *fixture)
{
	ev_timer timer;

	ev_timer_init(&timer, on_overdue, WAIT_S, 0.0);
	timer.data = fixture;
	ev_timer_start(fixture->loop, &timer);
	ev_run(fixture->loop, 0);
	ev_timer_stop(fixture->loop, &timer);
	assert_false(fixture->overdue);
}

static void
send_request(fixture_t *fixture, bool is_long)
{
	size_t size = is_long ? LONG_REQUEST_BYTES : 0;
	char *body = g_malloc0(size + 1);
	buffer_t head = {0};

	buffer_append_text(&head, "POST / HTTP/1.1\r\n\r\n");
	http_connection_send(
	    fixture->connection, &head, (slice_t){body, size}, false);
	buffer_free(&head);
	g_free(body);
}

static void
fixture_start(fixture_t *fixture)
{
	struct sockaddr_in address;
	int listener = listen_with_small_buffer(&address);

	*fixture = (fixture_t){
	    .loop = ev_loop_new(EVFLAG_AUTO),
	    .body_size = -1,
	};
	fixture->connection = http_connection_create(
	    fixture->loop, &address, MAX_BODY_BYTES, &handlers, fixture);
	assert_non_null(fixture->connection);
	fixture->peer = accept(listener, NULL, NULL);
	assert_true(fixture->peer >= 0);
	close(listener);
	run_loop(fixture); /* until it is connected */
}

static void
fixture_end(fixture_t *fixture)
{
	http_connection_destroy(fixture->connection);
	ev_loop_destroy(fixture->loop);
}

static void
end_server_side(const fixture_t *fixture, end_t end)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	char request[256];

	/* Unread bytes would turn an orderly end into a reset. */
	if (end == END_ORDERLY)
		assert_true(
		    recv(fixture->peer, request, sizeof(request), 0) > 0);
	else
		setsockopt(fixture->peer, SOL_SOCKET, SO_LINGER, &reset,
		    sizeof(reset));
	close(fixture->peer);
}

/* Reads what the server has sent so far, but not its end. */
static void
deliver_head(const fixture_t *fixture)
{
	ev_run(fixture->loop, EVRUN_ONCE);
}

/* Return: the size of the body that was delivered; -1: none. */
static int
play(const case_t *row, size_t size)
{
	fixture_t fixture;

	fixture_start(&fixture);
	send_request(&fixture, row->long_request);
	assert_int_equal(
	    send(fixture.peer, row->response, size, MSG_NOSIGNAL), size);
	if (row->peeked)
		deliver_head(&fixture);
	end_server_side(&fixture, row->end);
	if (row->peeked)
		http_connection_got_interim(fixture.connection);
	run_loop(&fixture);
	assert_true(fixture.closed);
	fixture_end(&fixture);
	return fixture.body_size;
}

static void
only_whole_responses_are_delivered(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *row = &cases[i];
		int body_size = play(row, strlen(row->response));

		if (body_size != row->body_size)
			fail_msg(
			    "%s: a body of %d bytes", row->name, body_size);
	}
}

/* A server that stops in the middle of its head has not answered, wherever it
 * stops. */
static void
a_part_of_a_head_is_no_response(void **state)
{
	static const char *const heads[] = {UNFRAMED, FRAMED, CHUNKED};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		const case_t row = {.response = heads[i]};

		for (size_t size = 0; size < strlen(heads[i]); size++)
			assert_int_equal(play(&row, size), -1);
	}
}

/* The next request may be sent while a response is delivered; that it is a HEAD
 * request must not be forgotten. */
static void
a_request_sent_from_the_callback_is_kept(void **state)
{
	static const char response[] = FRAMED;
	fixture_t fixture;
	char request[256];

	fixture_start(&fixture);
	fixture.sends_head = true;
	send_request(&fixture, false);
	assert_true(recv(fixture.peer, request, sizeof(request), 0) > 0);
	send(fixture.peer, FRAMED "abcdefgh", strlen(FRAMED "abcdefgh"), 0);
	while (fixture.responses == 0)
		ev_run(fixture.loop, EVRUN_ONCE);
	assert_int_equal(fixture.body_size, 8);
	assert_true(recv(fixture.peer, request, sizeof(request), 0) > 0);
	send(fixture.peer, response, strlen(response), 0);
	close(fixture.peer);
	run_loop(&fixture);
	assert_int_equal(fixture.responses, 2);
	assert_int_equal(fixture.body_size, 0);
	fixture_end(&fixture);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_whole_responses_are_delivered),
	    cmocka_unit_test(a_part_of_a_head_is_no_response),
	    cmocka_unit_test(a_request_sent_from_the_callback_is_kept),
	};

	return RUN_TESTS(argc, argv, tests);
}
