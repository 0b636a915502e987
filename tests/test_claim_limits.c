/* Tests the limits of claims one by one: late writes and reads, expiry, and the
 * sizes of bodies and objects. */
#include "lib/claim_fixture.h"
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"

/* A claim that is stored after its request was answered "not run" is released,
 * and only a new attempt is dispatched. */
static void
late_claims_are_released(void **state)
{
	claim_fixture_t *f = *state;
	claim_request_t repeat = claims_make_request(2, KEY);

	claims_reserve_to_write(f);
	claims_advance_time(f, MS(100));
	claims_expect_answer(f, 1, BW_E_PLATFORM_DOWN);
	repeat.deadline = f->now + MS(100);
	claims_reserve_request(f, &repeat);
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_io(f, CLAIM_WRITE);
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_dispatch(f, 2);
	claims_expect_no_action(f);
	claims_advance_time(f, MS(100));
	claims_expect_answer(f, 2, BW_E_OUTCOME_UNKNOWN);
	assert_false(claim_is_idle(f->table));
	claims_dispatch_done(f, 2, CLAIM_DISPATCH_ANSWERED);
	claims_expect_io(f, CLAIM_WRITE);
	claims_write_done(f, CLAIM_IO_OK);
	assert_true(claim_is_idle(f->table));
}

/* A node that was paused learns only after the deadline that its claim is
 * stored. It must release the claim, not dispatch. */
static void
claims_confirmed_late_do_not_run(void **state)
{
	claim_fixture_t *f = *state;

	claims_reserve_to_write(f);
	f->now += MS(100);
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_answer(f, 1, BW_E_DEADLINE);
	claims_expect_io(f, CLAIM_WRITE);
	assert_non_null(strstr(f->action.text, "released"));
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_no_action(f);
	assert_true(claim_is_idle(f->table));
}

/* An attempt is answered before its deadline while a write with its claim is in
 * doubt. It must not be dispatched when that write turns out to be applied. */
static void
answered_attempts_in_doubt_do_not_run(void **state)
{
	claim_fixture_t *f = *state;
	char *written;

	claims_reserve_to_write(f);
	written = g_strdup(f->action.text);
	claims_write_done(f, CLAIM_IO_UNKNOWN);
	claims_expect_io(f, CLAIM_READ);
	claims_read_done(f, "", 0);
	f->wall += SECONDS(3600);
	claims_advance_time(f, MS(50));
	claims_expect_answer(f, 1, BW_E_KEY_EXPIRED);
	claims_expect_io(f, CLAIM_WRITE);
	claims_write_done(f, CLAIM_IO_CONFLICT);
	claims_expect_io(f, CLAIM_READ);
	claims_read_done(f, written, 1);
	g_free(written);
	claims_expect_io(f, CLAIM_WRITE);
	assert_non_null(strstr(f->action.text, "released"));
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_no_action(f);
	assert_true(claim_is_idle(f->table));
}

/* A body that cannot be stored is in the first answer, as a whole; a repeat
 * gets an error instead of a part of it. */
static void
large_bodies_are_not_stored(void **state)
{
	static const struct {
		size_t size;
		char fill;
		int error; /* of the repeat */
	} cases[] = {
	    {CLAIM_MAX_BODY_BYTES, 'b', 0},
	    {CLAIM_MAX_BODY_BYTES + 1, 'b', BW_E_UPSTREAM},
	    {3, '\xff', BW_E_UPSTREAM},
	    {3, '\0', BW_E_UPSTREAM},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *bytes = g_malloc(cases[i].size);
		claim_fixture_t *f;
		body_t *body;

		claims_setup((void **)&f);
		memset(bytes, cases[i].fill, cases[i].size);
		body = body_create(bytes, cases[i].size);
		claims_reserve_to_write(f);
		claims_write_done(f, CLAIM_IO_OK);
		claims_expect_dispatch(f, 1);
		claim_dispatch_done(f->table, 1, CLAIM_DISPATCH_ANSWERED, 201,
		    body, f->now, f->wall);
		body_unref(body);
		claims_expect_io(f, CLAIM_WRITE);
		claims_write_done(f, CLAIM_IO_OK);
		claims_expect_answer(f, 1, 0);
		assert_int_equal(
		    body_slice(f->action.body).size, cases[i].size);
		assert_int_equal(claims_reserve(f, 2, KEY), 0);
		claims_expect_answer(f, 2, cases[i].error);
		assert_int_equal(f->action.http_status, 201);
		g_free(bytes);
		claims_teardown((void **)&f);
	}
}

/* A key whose entry was removed must not become valid again when the repeat
 * window grows. */
static void
removed_keys_stay_expired(void **state)
{
	for (int removed = 0; removed <= 1; removed++) {
		claim_fixture_t *f;
		claim_request_t request = claims_make_request(2, "");
		claim_request_t longer_window = claims_make_request(3, KEY);

		claims_setup((void **)&f);
		claims_reserve_to_read(f, 1);
		claims_read_entry(f, 5, DIGEST, "done", 201, "\"seat 7\"");
		claims_expect_answer(f, 1, 0);
		f->wall +=
		    SECONDS(3600 + CLAIM_MAX_CLOCK_SKEW_S - 10 + removed);
		claims_find_key(f, 1796365800, 0, request.key);
		claims_reserve_request(f, &request);
		claims_expect_io(f, CLAIM_WRITE);
		assert_int_equal(strstr(f->action.text, KEY) == NULL, removed);
		claims_write_done(f, CLAIM_IO_OK);
		claims_expect_dispatch(f, 2);
		longer_window.repeat_window_s = 24 * 3600;
		claims_reserve_request(f, &longer_window);
		claims_expect_answer(f, 3, removed ? BW_E_KEY_EXPIRED : 0);
		claims_teardown((void **)&f);
	}
}

/* A read reply that arrives late must not replace newer content by older. */
static void
older_versions_are_ignored(void **state)
{
	claim_fixture_t *f = *state;

	claims_reserve_to_read(f, 1);
	claims_read_entry(f, 5, DIGEST, "claimed", 0, "null");
	claims_expect_answer(f, 1, BW_E_OUTCOME_UNKNOWN);
	claims_reserve_to_read(f, 2);
	claims_read_entry(f, 4, DIGEST, "claimed", 0, "null");
	claims_expect_answer(f, 2, BW_E_PLATFORM_DOWN);
	assert_int_equal(claims_reserve(f, 3, KEY), 0);
	claims_expect_no_action(f);
	claims_advance_time(f, MS(50));
	claims_expect_io(f, CLAIM_READ);
	claims_read_entry(f, 5, DIGEST, "claimed", 0, "null");
	claims_expect_answer(f, 3, BW_E_OUTCOME_UNKNOWN);
}

static void
full_buckets_refuse(void **state)
{
	claim_fixture_t *f = *state;
	GString *text = g_string_new(NULL);
	char *body = g_strnfill(CLAIM_MAX_BODY_BYTES, 'b');

	claims_reserve_to_read(f, 1);
	g_string_printf(text, "{\"bucket\":\"%s\",\"claims\":[", f->object);
	for (int i = 0; text->len < CLAIM_MAX_OBJECT_BYTES - 2048; i++)
		g_string_append_printf(text,
		    "%s{\"customer\":\"acme\",\"key\":\"1796361990-%d\","
		    "\"digest\":\"" DIGEST "\",\"token\":\"" TOKEN
		    "\",\"state\":\"done\",\"status\":201,\"body\":\"%.*s\"}",
		    i > 0 ? "," : "", i,
		    (int)MIN(CLAIM_MAX_BODY_BYTES,
			CLAIM_MAX_OBJECT_BYTES - 1500 - (int)text->len),
		    body);
	g_string_append(text, "],\"removed\":[]}");
	claims_read_done(f, text->str, 5);
	claims_expect_answer(f, 1, BW_E_FULL);
	claims_expect_no_action(f);
	assert_true(claim_is_idle(f->table));
	g_string_free(text, TRUE);
	g_free(body);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, claims_setup, claims_teardown)

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    TEST(late_claims_are_released),
	    TEST(claims_confirmed_late_do_not_run),
	    TEST(answered_attempts_in_doubt_do_not_run),
	    cmocka_unit_test(large_bodies_are_not_stored),
	    cmocka_unit_test(removed_keys_stay_expired),
	    TEST(older_versions_are_ignored),
	    TEST(full_buckets_refuse),
	};

	return RUN_TESTS(argc, argv, tests);
}
