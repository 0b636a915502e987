/* Guards the ownership of a request's context: it is freed exactly once however
 * the request ends. A health check that is running when its node stops must not
 * leak its context. */
#include "lib/runner.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <unistd.h>

#include "bulrushwell/http_client.h"
#include "bulrushwell/name.h"

#define TIMEOUT_MS 50

typedef enum { END_BY_TIMEOUT, END_BY_CANCEL, END_BY_DESTROY } end_t;

typedef struct {
	int done;
	int freed;
} calls_t;

static void
on_done(void *context, http_result_t result, const http_response_t *response)
{
	((calls_t *)context)->done++;
}

static void
count_free(void *context)
{
	((calls_t *)context)->freed++;
}

/* A server that accepts connections and never answers. */
static int
listen_silently(char *address, size_t size)
{
	struct sockaddr_in name = {
	    .sin_family = AF_INET,
	    .sin_addr = {htonl(INADDR_LOOPBACK)},
	};
	socklen_t length = sizeof(name);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)&name, length), 0);
	assert_int_equal(listen(fd, 1), 0);
	getsockname(fd, (struct sockaddr *)&name, &length);
	snprintf(address, size, "127.0.0.1:%d", ntohs(name.sin_port));
	return fd;
}

static void
a_context_is_freed_once_however_the_request_ends(void **state)
{
	static const struct {
		end_t end;
		int done;
	} cases[] = {
	    {END_BY_TIMEOUT, 1},
	    {END_BY_CANCEL, 0},
	    {END_BY_DESTROY, 0},
	};
	address_t address;
	int fd = listen_silently(address, sizeof(address));

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
		http_client_t *client = http_client_create(loop);
		calls_t calls = {0, 0};
		const http_request_t request = {
		    .method = "GET",
		    .address = address,
		    .path = "/",
		    .timeout = MS(TIMEOUT_MS),
		    .max_response = 1,
		    .done = on_done,
		    .context = &calls,
		    .free_context = count_free,
		};
		handle_t handle = http_client_send(client, &request);

		assert_true(handle != HANDLE_NONE);
		if (cases[i].end == END_BY_TIMEOUT)
			while (calls.done == 0)
				ev_run(loop, EVRUN_ONCE);
		else if (cases[i].end == END_BY_CANCEL)
			http_client_cancel(client, handle);
		http_client_destroy(client);
		ev_loop_destroy(loop);
		assert_int_equal(calls.done, cases[i].done);
		assert_int_equal(calls.freed, 1);
	}
	close(fd);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_context_is_freed_once_however_the_request_ends),
	};

	return RUN_TESTS(argc, argv, tests);
}
