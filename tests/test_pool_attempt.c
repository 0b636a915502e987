/* Guards the start of an attempt on a server against reads outside the bytes
 * that it is given. Uses no servers and no processes. */
#include "lib/runner.h"

#include <ev.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "../source/gateway/pool.h"

#define REQUEST_ID "9c41d07be2a35f68"

static void
on_attempt_ended(void *owner, attempt_t *attempt, attempt_outcome_t outcome,
    const http_message_t *response)
{
}

static void
on_capacity(void *context, upstream_t *upstream)
{
}

static upstream_server_t *
add_server(pool_t *pool)
{
	server_entry_t entry = {.id = "i-0",
	    .service = "one",
	    .data_centre = "dc1",
	    .slots = 2,
	    .address = {.sin_family = AF_INET, .sin_port = 9}};
	bool busy;

	pool_update_server(pool, &entry, SECONDS(1));
	return pool_choose_server(pool, pool_get_upstream(pool, "one"), NULL, 0,
	    MS(10), SECONDS(1), &busy);
}

/* A mapping of two pages of which the second can't be read. */
static char *
map_guarded_page(size_t page)
{
	char *pages = mmap(NULL, 2 * page, PROT_READ | PROT_WRITE,
	    MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);

	assert_ptr_not_equal(pages, MAP_FAILED);
	assert_int_equal(mprotect(pages + page, page, PROT_NONE), 0);
	return pages;
}

/* A request id is a part of the request's head and has no NUL at its end.
 * Guards against a copy that looks for one behind the head. */
static void
a_request_id_is_read_to_its_end_only(void **state)
{
	const buffer_t head = {"GET / HTTP/1.1\r\n\r\n", 18, 18};
	const pool_settings_t settings = {.headers = {"X-Id", "X-Not-Run"},
	    .drain_limit = SECONDS(3),
	    .max_response_bytes = 4096};
	const pool_handlers_t handlers = {.attempt_ended = on_attempt_ended,
	    .capacity_available = on_capacity};
	size_t page = (size_t)sysconf(_SC_PAGESIZE), size = strlen(REQUEST_ID);
	char *pages = map_guarded_page(page);
	char *id = pages + page - size;
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	pool_t *pool = pool_create(loop, &settings, &handlers);
	const pool_request_t request = {
	    .head = &head, .request_id = {id, size}};
	attempt_t *attempt;

	memcpy(id, REQUEST_ID, size);
	attempt = pool_start_attempt(
	    pool, add_server(pool), &request, pool, SECONDS(1));
	assert_non_null(attempt);
	assert_string_equal(attempt->request_id, REQUEST_ID);
	pool_destroy(pool);
	ev_loop_destroy(loop);
	munmap(pages, 2 * page);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_request_id_is_read_to_its_end_only),
	};

	return RUN_TESTS(argc, argv, tests);
}
