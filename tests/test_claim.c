/* Tests the decisions on claims one by one: each stored state, each result of a
 * write, each outcome, and repeats on one node. */
#include "lib/claim_fixture.h"
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"

static void
keys_are_checked(void **state)
{
	static const struct {
		const char *key;
		int error;
	} cases[] = {
	    {KEY, 0},
	    {"1796362300-x", 0},
	    {"1796362301-x", BW_E_INVALID},
	    {"1796358400-x", 0},
	    {"1796358399-x", BW_E_KEY_EXPIRED},
	    {"1796362000-", BW_E_INVALID},
	    {"1796362000", BW_E_INVALID},
	    {"-x", BW_E_INVALID},
	    {"x-1796362000", BW_E_INVALID},
	    {"1796362000-a b", BW_E_INVALID},
	    {"1796362000-a\n", BW_E_INVALID},
	    {"-1796362000-a", BW_E_INVALID},
	    {"99999999999999999999-a", BW_E_INVALID},
	    {"", BW_E_INVALID},
	};
	claim_fixture_t *f = *state;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(
		    claims_reserve(f, i + 1, cases[i].key), cases[i].error);
	assert_int_equal(claims_reserve(f, 1, KEY), BW_E_INVALID);
}

static void
stored_entries_decide(void **state)
{
	static const struct {
		const char *digest, *state;
		int status;
		const char *body;
		bool read_again;
		bool claimed; /* by a new attempt */
		int error;
	} cases[] = {
	    /* TOKEN as the digest stands for another request body. */
	    {DIGEST, "done", 201, "\"seat 7\"", false, false, 0},
	    {DIGEST, "done", 201, "null", false, false, BW_E_UPSTREAM},
	    {TOKEN, "done", 201, "\"seat 7\"", false, false, BW_E_KEY_REUSED},
	    {DIGEST, "unknown", 0, "null", false, false, BW_E_OUTCOME_UNKNOWN},
	    {DIGEST, "claimed", 0, "null", false, false, BW_E_OUTCOME_UNKNOWN},
	    {TOKEN, "claimed", 0, "null", false, false, BW_E_KEY_REUSED},
	    {DIGEST, "released", 0, "null", false, true, 0},
	    {TOKEN, "released", 0, "null", false, false, BW_E_KEY_REUSED},
	    /* Malformed objects are never overwritten. */
	    {DIGEST, "odd", 0, "null", false, false, BW_E_PROTOCOL},
	    {"12", "claimed", 0, "null", false, false, BW_E_PROTOCOL},
	    {DIGEST, "claimed", 201, "null", false, false, BW_E_PROTOCOL},
	    {DIGEST, "claimed", 0, "\"x\"", false, false, BW_E_PROTOCOL},
	    {DIGEST, "done", 0, "\"x\"", false, false, BW_E_PROTOCOL},
	    {DIGEST, "done", 201, "7", false, false, BW_E_PROTOCOL},
	    {DIGEST, "done", 201, "null,\"x\":1", false, false, BW_E_PROTOCOL},
	    {DIGEST, "done", 201, "null}", false, false, BW_E_PROTOCOL},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		claim_fixture_t *f;

		claims_setup((void **)&f);
		claims_reserve_to_read(f, 1);
		claims_read_entry(f, 5, cases[i].digest, cases[i].state,
		    cases[i].status, cases[i].body);
		if (cases[i].claimed) {
			claims_expect_io(f, CLAIM_WRITE);
			assert_null(strstr(f->action.text, TOKEN));
			claims_write_done(f, CLAIM_IO_OK);
			claims_expect_dispatch(f, 1);
		} else {
			claims_expect_answer(f, 1, cases[i].error);
			assert_int_equal(f->action.repeated,
			    strcmp(cases[i].state, "done") == 0 &&
				cases[i].error != BW_E_KEY_REUSED &&
				cases[i].error != BW_E_PROTOCOL);
			assert_true(claim_is_idle(f->table));
		}
		claims_expect_no_action(f);
		claims_teardown((void **)&f);
	}
}

/* A claim of another node that is cached here as "claimed" may have an outcome
 * by now, so the object is read again before the repeat is answered. */
static void
cached_claims_are_read_again(void **state)
{
	claim_fixture_t *f = *state;

	claims_reserve_to_read(f, 1);
	claims_read_entry(f, 5, DIGEST, "claimed", 0, "null");
	claims_expect_answer(f, 1, BW_E_OUTCOME_UNKNOWN);
	claims_reserve_to_read(f, 2);
	claims_read_entry(f, 6, DIGEST, "done", 201, "\"seat 7\"");
	claims_expect_answer(f, 2, 0);
	assert_true(slice_is(body_slice(f->action.body), "seat 7"));
	/* An outcome is final, so a cached one needs no read. */
	assert_int_equal(claims_reserve(f, 3, KEY), 0);
	claims_expect_answer(f, 3, 0);
	claims_expect_no_action(f);
}

static void
write_results_decide(void **state)
{
	static const struct {
		claim_io_result_t result;
		bool stored;	      /* reading back finds the token */
		bool after_deadline;  /* the deadline passes before the read */
		bool version_changed; /* another node has written meanwhile */
		bool read_back;	      /* the object is read back */
		bool dispatched;      /* the attempt is dispatched in the end */
		bool fenced; /* a write replaces the version in doubt */
		int error;
	} cases[] = {
	    {CLAIM_IO_OK, true, false, false, false, true, false, 0},
	    {CLAIM_IO_REFUSED, false, false, false, false, false, false,
		BW_E_PLATFORM_DOWN},
	    {CLAIM_IO_UNKNOWN, true, false, true, true, true, false, 0},
	    {CLAIM_IO_UNKNOWN, false, false, false, true, true, true, 0},
	    {CLAIM_IO_UNKNOWN, false, false, true, true, true, true, 0},
	    {CLAIM_IO_CONFLICT, true, false, true, true, true, false, 0},
	    {CLAIM_IO_CONFLICT, false, false, true, true, true, true, 0},
	    {CLAIM_IO_UNKNOWN, true, true, true, true, false, true,
		BW_E_PLATFORM_DOWN},
	    {CLAIM_IO_UNKNOWN, false, true, false, true, false, true,
		BW_E_PLATFORM_DOWN},
	    {CLAIM_IO_UNKNOWN, false, true, true, true, false, false,
		BW_E_PLATFORM_DOWN},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		claim_fixture_t *f;
		char *written, *empty;

		claims_setup((void **)&f);
		claims_reserve_to_write(f);
		written = g_strdup(f->action.text);
		empty = g_strdup_printf(
		    "{\"bucket\":\"%s\",\"claims\":[],\"removed\":[]}",
		    f->object);
		claims_write_done(f, cases[i].result);
		if (cases[i].after_deadline) {
			claims_advance_time(f, MS(100));
			claims_expect_io(f, CLAIM_READ);
			claims_expect_answer(f, 1, cases[i].error);
		} else if (cases[i].read_back) {
			claims_expect_io(f, CLAIM_READ);
		}
		if (cases[i].read_back)
			claims_read_done(f, cases[i].stored ? written : empty,
			    cases[i].version_changed ? 9 : 0);
		if (cases[i].fenced) {
			claims_advance_time(
			    f, cases[i].version_changed ? 0 : MS(50));
			claims_expect_io(f, CLAIM_WRITE);
			if (cases[i].after_deadline && cases[i].stored)
				assert_non_null(
				    strstr(f->action.text, "released"));
			else if (cases[i].after_deadline)
				assert_string_equal(f->action.text, empty);
			claims_write_done(f, CLAIM_IO_OK);
		}
		if (cases[i].dispatched)
			claims_expect_dispatch(f, 1);
		else if (!cases[i].after_deadline)
			claims_expect_answer(f, 1, cases[i].error);
		claims_expect_no_action(f);
		assert_int_equal(claim_is_idle(f->table), !cases[i].dispatched);
		g_free(written);
		g_free(empty);
		claims_teardown((void **)&f);
	}
}

static void
outcomes_are_stored_before_the_answer(void **state)
{
	static const struct {
		claim_dispatch_result_t result;
		const char *stored;
		int error;
	} cases[] = {
	    {CLAIM_DISPATCH_ANSWERED,
		"\"done\",\"status\":201,\"body\":\"seat 7\"", 0},
	    {CLAIM_DISPATCH_NOT_SENT, "\"released\",\"status\":0",
		BW_E_OVERLOADED},
	    {CLAIM_DISPATCH_UNKNOWN, "\"unknown\",\"status\":0",
		BW_E_OUTCOME_UNKNOWN},
	};
	/* Results of the first write of the outcome. */
	static const claim_io_result_t first_results[] = {
	    CLAIM_IO_OK, CLAIM_IO_REFUSED, CLAIM_IO_UNKNOWN};

	for (size_t i = 0; i < 3 * sizeof(cases) / sizeof(cases[0]); i++) {
		claim_io_result_t first_result = first_results[i % 3];
		claim_fixture_t *f;
		char *written;

		claims_setup((void **)&f);
		claims_reserve_to_write(f);
		written = g_strdup(f->action.text);
		claims_write_done(f, CLAIM_IO_OK);
		claims_expect_dispatch(f, 1);
		claims_dispatch_done(f, 1, cases[i / 3].result);
		claims_dispatch_done(
		    f, 1, CLAIM_DISPATCH_NOT_SENT); /* ignored */
		claims_expect_io(f, CLAIM_WRITE);
		assert_non_null(strstr(f->action.text, cases[i / 3].stored));
		if (first_result != CLAIM_IO_OK) {
			claims_write_done(f, first_result);
			/* The outcome is known, so it is answered at the
			 * deadline, and is still to be stored. */
			claims_advance_time(f, MS(100));
			if (first_result == CLAIM_IO_UNKNOWN) {
				claims_expect_io(f, CLAIM_READ);
				claims_expect_answer(f, 1, cases[i / 3].error);
				claims_read_done(f, written, 1);
				claims_advance_time(f, MS(100));
			} else {
				claims_expect_answer(f, 1, cases[i / 3].error);
			}
			assert_false(claim_is_idle(f->table));
			claims_expect_io(f, CLAIM_WRITE);
			assert_non_null(
			    strstr(f->action.text, cases[i / 3].stored));
		}
		claims_write_done(f, CLAIM_IO_OK);
		if (first_result == CLAIM_IO_OK)
			claims_expect_answer(f, 1, cases[i / 3].error);
		claims_expect_no_action(f);
		assert_true(claim_is_idle(f->table));
		g_free(written);
		claims_teardown((void **)&f);
	}
}

static void
one_write_carries_all_that_waits(void **state)
{
	claim_fixture_t *f = *state;
	char key[64];
	int n = 0;

	claims_reserve_to_write(f);
	for (uint64_t tag = 2; tag <= 4; tag++) {
		n = claims_find_key(f, 1796361990, n, key);
		assert_int_equal(claims_reserve(f, tag, key), 0);
	}
	claims_expect_no_action(f);
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_dispatch(f, 1);
	claims_expect_io(f, CLAIM_WRITE);
	claims_write_done(f, CLAIM_IO_OK);
	for (uint64_t tag = 2; tag <= 4; tag++)
		claims_expect_dispatch(f, tag);
	for (uint64_t tag = 1; tag <= 4; tag++)
		claims_dispatch_done(f, tag, CLAIM_DISPATCH_ANSWERED);
	claims_expect_io(f, CLAIM_WRITE);
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_answer(f, 1, 0);
	claims_expect_io(f, CLAIM_WRITE);
	claims_write_done(f, CLAIM_IO_OK);
	for (uint64_t tag = 2; tag <= 4; tag++)
		claims_expect_answer(f, tag, 0);
	claims_expect_no_action(f);
	assert_true(claim_is_idle(f->table));
}

static void
repeats_wait_for_the_first(void **state)
{
	claim_fixture_t *f = *state;
	claim_request_t other_body = claims_make_request(3, KEY);
	claim_request_t short_deadline = claims_make_request(4, KEY);

	claims_reserve_to_write(f);
	assert_int_equal(claims_reserve(f, 2, KEY), 0);
	other_body.digest[1] = 3;
	claims_reserve_request(f, &other_body);
	claims_expect_answer(f, 3, BW_E_KEY_REUSED);
	short_deadline.deadline = f->now + MS(10);
	claims_reserve_request(f, &short_deadline);
	claims_advance_time(f, MS(10));
	claims_expect_answer(f, 4, BW_E_IN_PROGRESS);
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_dispatch(f, 1);
	claims_expect_no_action(f);
	claims_dispatch_done(f, 1, CLAIM_DISPATCH_ANSWERED);
	claims_expect_io(f, CLAIM_WRITE);
	claims_write_done(f, CLAIM_IO_OK);
	claims_expect_answer(f, 1, 0);
	assert_false(f->action.repeated);
	claims_expect_answer(f, 2, 0);
	assert_true(f->action.repeated);
	claims_expect_no_action(f);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, claims_setup, claims_teardown)

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    TEST(keys_are_checked),
	    cmocka_unit_test(stored_entries_decide),
	    TEST(cached_claims_are_read_again),
	    cmocka_unit_test(write_results_decide),
	    cmocka_unit_test(outcomes_are_stored_before_the_answer),
	    TEST(one_write_carries_all_that_waits),
	    TEST(repeats_wait_for_the_first),
	};

	return RUN_TESTS(argc, argv, tests);
}
