/* Tests the rules of claims one by one: each stored state, each result of a
 * write, each outcome, repeats on one node, expiry and the limits. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "bulrushwell/claim.h"
#include "bulrushwell/error.h"

#define NOW SECONDS(1000)
#define WALL SECONDS(1796362000)
#define KEY "1796361990-reel-4711"
#define DIGEST "00000000000000010000000000000002"
#define TOKEN "0123456789abcdef0123456789abcdef"

typedef struct {
	claim_table_t *table;
	claim_action_t action;	    /* the last one */
	char object[2 * NAME_SIZE]; /* of the last read or write */
	usec_t now, wall;
	uint64_t version;
} fixture_t;

static int
setup(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->table = claim_table_create();
	f->now = NOW;
	f->wall = WALL;
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	fixture_t *f = *state;

	claim_table_destroy(f->table);
	g_free(f);
	return 0;
}

static claim_request_t
make_request(uint64_t tag, const char *key)
{
	claim_request_t request = {.tag = tag,
	    .service = "roster",
	    .customer = "acme",
	    .digest = {1, 2},
	    .repeat_window_s = 3600,
	    .deadline = NOW + MS(100)};

	g_strlcpy(request.key, key, sizeof(request.key));
	return request;
}

static int
reserve(fixture_t *f, uint64_t tag, const char *key)
{
	claim_request_t request = make_request(tag, key);

	return claim_reserve(f->table, &request, f->now, f->wall);
}

/* Finds a key whose claim belongs to the object of the last read or write,
 * trying suffixes from @n on. Returns the next suffix to try. */
static int
find_key(const fixture_t *f, int64_t seconds, int n, char key[64])
{
	char id[128], name[2 * NAME_SIZE];

	do {
		snprintf(key, 64, "%lld-%d", (long long)seconds, n++);
		snprintf(id, sizeof(id), "acme/%s", key);
		snprintf(name, sizeof(name), "roster-%d",
		    (int)(XXH64(id, strlen(id), 0) % CLAIM_BUCKETS));
	} while (strcmp(name, f->object) != 0);
	return n;
}

static void
expect_no_action(fixture_t *f)
{
	assert_false(claim_next_action(f->table, &f->action));
}

static void
expect_io(fixture_t *f, int kind)
{
	assert_true(claim_next_action(f->table, &f->action));
	assert_int_equal(f->action.kind, kind);
	strcpy(f->object, f->action.object);
	if (kind == CLAIM_WRITE)
		assert_int_equal(f->action.version, f->version);
}

static void
expect_dispatch(fixture_t *f, uint64_t tag)
{
	assert_true(claim_next_action(f->table, &f->action));
	assert_int_equal(f->action.kind, CLAIM_DISPATCH);
	assert_int_equal(f->action.tag, tag);
}

static void
expect_answer(fixture_t *f, uint64_t tag, int error)
{
	assert_true(claim_next_action(f->table, &f->action));
	assert_int_equal(f->action.kind, CLAIM_ANSWER);
	assert_int_equal(f->action.tag, tag);
	assert_int_equal(f->action.error, error);
}

static void
read_done(fixture_t *f, const char *text, uint64_t version)
{
	f->version = version;
	claim_read_done(f->table, f->object,
	    version > 0 ? CLAIM_IO_OK : CLAIM_IO_NOT_FOUND, version,
	    slice_from(text), f->now, f->wall);
}

static void
write_done(fixture_t *f, claim_io_result_t result)
{
	if (result == CLAIM_IO_OK)
		f->version++;
	claim_write_done(
	    f->table, f->object, result, f->version, f->now, f->wall);
}

static void
dispatch_done(fixture_t *f, uint64_t tag, claim_dispatch_result_t result)
{
	body_t *body = body_create("seat 7", 6);

	claim_dispatch_done(f->table, tag, result,
	    result == CLAIM_DISPATCH_ANSWERED ? 201 : 0, body, f->now, f->wall);
	body_unref(body);
}

static void
advance_time(fixture_t *f, usec_t time)
{
	f->now += time;
	f->wall += time;
	claim_tick(f->table, f->now, f->wall);
}

static void
reserve_request(fixture_t *f, const claim_request_t *request)
{
	assert_int_equal(claim_reserve(f->table, request, f->now, f->wall), 0);
}

static void
reserve_to_read(fixture_t *f, uint64_t tag)
{
	assert_int_equal(reserve(f, tag, KEY), 0);
	expect_io(f, CLAIM_READ);
}

/* Reserves up to the write of the first claim, in a new object. */
static void
reserve_to_write(fixture_t *f)
{
	reserve_to_read(f, 1);
	read_done(f, "", 0);
	expect_io(f, CLAIM_WRITE);
}

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
	fixture_t *f = *state;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(
		    reserve(f, i + 1, cases[i].key), cases[i].error);
	assert_int_equal(reserve(f, 1, KEY), BW_E_INVALID);
}

/* Ends the read with an object that has one entry, of KEY. */
static void
read_entry(fixture_t *f, uint64_t version, const char *digest,
    const char *state, int status, const char *body)
{
	char *text = g_strdup_printf(
	    "{\"bucket\":\"%s\",\"claims\":[{\"customer\":\"acme\",\"key\":"
	    "\"" KEY "\",\"digest\":\"%s\",\"token\":\"" TOKEN
	    "\",\"state\":\"%s\",\"status\":%d,\"body\":%s}],\"removed\":[]}",
	    f->object, digest, state, status, body);

	read_done(f, text, version);
	g_free(text);
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
		fixture_t *f;

		setup((void **)&f);
		reserve_to_read(f, 1);
		read_entry(f, 5, cases[i].digest, cases[i].state,
		    cases[i].status, cases[i].body);
		if (cases[i].claimed) {
			expect_io(f, CLAIM_WRITE);
			assert_null(strstr(f->action.text, TOKEN));
			write_done(f, CLAIM_IO_OK);
			expect_dispatch(f, 1);
		} else {
			expect_answer(f, 1, cases[i].error);
			assert_int_equal(f->action.repeated,
			    strcmp(cases[i].state, "done") == 0 &&
				cases[i].error != BW_E_KEY_REUSED &&
				cases[i].error != BW_E_PROTOCOL);
			assert_true(claim_is_idle(f->table));
		}
		expect_no_action(f);
		teardown((void **)&f);
	}
}

/* A claim of another node that is cached here as "claimed" may have an outcome
 * by now, so the object is read again before the repeat is answered. */
static void
cached_claims_are_read_again(void **state)
{
	fixture_t *f = *state;

	reserve_to_read(f, 1);
	read_entry(f, 5, DIGEST, "claimed", 0, "null");
	expect_answer(f, 1, BW_E_OUTCOME_UNKNOWN);
	reserve_to_read(f, 2);
	read_entry(f, 6, DIGEST, "done", 201, "\"seat 7\"");
	expect_answer(f, 2, 0);
	assert_true(slice_is(body_slice(f->action.body), "seat 7"));
	/* An outcome is final, so a cached one needs no read. */
	assert_int_equal(reserve(f, 3, KEY), 0);
	expect_answer(f, 3, 0);
	expect_no_action(f);
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
		fixture_t *f;
		char *written, *empty;

		setup((void **)&f);
		reserve_to_write(f);
		written = g_strdup(f->action.text);
		empty = g_strdup_printf(
		    "{\"bucket\":\"%s\",\"claims\":[],\"removed\":[]}",
		    f->object);
		write_done(f, cases[i].result);
		if (cases[i].after_deadline) {
			advance_time(f, MS(100));
			expect_io(f, CLAIM_READ);
			expect_answer(f, 1, cases[i].error);
		} else if (cases[i].read_back) {
			expect_io(f, CLAIM_READ);
		}
		if (cases[i].read_back)
			read_done(f, cases[i].stored ? written : empty,
			    cases[i].version_changed ? 9 : 0);
		if (cases[i].fenced) {
			advance_time(f, cases[i].version_changed ? 0 : MS(50));
			expect_io(f, CLAIM_WRITE);
			if (cases[i].after_deadline && cases[i].stored)
				assert_non_null(
				    strstr(f->action.text, "released"));
			else if (cases[i].after_deadline)
				assert_string_equal(f->action.text, empty);
			write_done(f, CLAIM_IO_OK);
		}
		if (cases[i].dispatched)
			expect_dispatch(f, 1);
		else if (!cases[i].after_deadline)
			expect_answer(f, 1, cases[i].error);
		expect_no_action(f);
		assert_int_equal(claim_is_idle(f->table), !cases[i].dispatched);
		g_free(written);
		g_free(empty);
		teardown((void **)&f);
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
		fixture_t *f;
		char *written;

		setup((void **)&f);
		reserve_to_write(f);
		written = g_strdup(f->action.text);
		write_done(f, CLAIM_IO_OK);
		expect_dispatch(f, 1);
		dispatch_done(f, 1, cases[i / 3].result);
		dispatch_done(f, 1, CLAIM_DISPATCH_NOT_SENT); /* ignored */
		expect_io(f, CLAIM_WRITE);
		assert_non_null(strstr(f->action.text, cases[i / 3].stored));
		if (first_result != CLAIM_IO_OK) {
			write_done(f, first_result);
			/* The outcome is known, so it is answered at the
			 * deadline, and is still to be stored. */
			advance_time(f, MS(100));
			if (first_result == CLAIM_IO_UNKNOWN) {
				expect_io(f, CLAIM_READ);
				expect_answer(f, 1, cases[i / 3].error);
				read_done(f, written, 1);
				advance_time(f, MS(100));
			} else {
				expect_answer(f, 1, cases[i / 3].error);
			}
			assert_false(claim_is_idle(f->table));
			expect_io(f, CLAIM_WRITE);
			assert_non_null(
			    strstr(f->action.text, cases[i / 3].stored));
		}
		write_done(f, CLAIM_IO_OK);
		if (first_result == CLAIM_IO_OK)
			expect_answer(f, 1, cases[i / 3].error);
		expect_no_action(f);
		assert_true(claim_is_idle(f->table));
		g_free(written);
		teardown((void **)&f);
	}
}

static void
one_write_carries_all_that_waits(void **state)
{
	fixture_t *f = *state;
	char key[64];
	int n = 0;

	reserve_to_write(f);
	for (uint64_t tag = 2; tag <= 4; tag++) {
		n = find_key(f, 1796361990, n, key);
		assert_int_equal(reserve(f, tag, key), 0);
	}
	expect_no_action(f);
	write_done(f, CLAIM_IO_OK);
	expect_dispatch(f, 1);
	expect_io(f, CLAIM_WRITE);
	write_done(f, CLAIM_IO_OK);
	for (uint64_t tag = 2; tag <= 4; tag++)
		expect_dispatch(f, tag);
	for (uint64_t tag = 1; tag <= 4; tag++)
		dispatch_done(f, tag, CLAIM_DISPATCH_ANSWERED);
	expect_io(f, CLAIM_WRITE);
	write_done(f, CLAIM_IO_OK);
	expect_answer(f, 1, 0);
	expect_io(f, CLAIM_WRITE);
	write_done(f, CLAIM_IO_OK);
	for (uint64_t tag = 2; tag <= 4; tag++)
		expect_answer(f, tag, 0);
	expect_no_action(f);
	assert_true(claim_is_idle(f->table));
}

static void
repeats_wait_for_the_first(void **state)
{
	fixture_t *f = *state;
	claim_request_t other_body = make_request(3, KEY);
	claim_request_t short_deadline = make_request(4, KEY);

	reserve_to_write(f);
	assert_int_equal(reserve(f, 2, KEY), 0);
	other_body.digest[1] = 3;
	reserve_request(f, &other_body);
	expect_answer(f, 3, BW_E_KEY_REUSED);
	short_deadline.deadline = f->now + MS(10);
	reserve_request(f, &short_deadline);
	advance_time(f, MS(10));
	expect_answer(f, 4, BW_E_IN_PROGRESS);
	write_done(f, CLAIM_IO_OK);
	expect_dispatch(f, 1);
	expect_no_action(f);
	dispatch_done(f, 1, CLAIM_DISPATCH_ANSWERED);
	expect_io(f, CLAIM_WRITE);
	write_done(f, CLAIM_IO_OK);
	expect_answer(f, 1, 0);
	assert_false(f->action.repeated);
	expect_answer(f, 2, 0);
	assert_true(f->action.repeated);
	expect_no_action(f);
}

/* A claim that is stored after its request was answered "not run" is released,
 * and only a new attempt is dispatched. */
static void
late_claims_are_released(void **state)
{
	fixture_t *f = *state;
	claim_request_t repeat = make_request(2, KEY);

	reserve_to_write(f);
	advance_time(f, MS(100));
	expect_answer(f, 1, BW_E_PLATFORM_DOWN);
	repeat.deadline = f->now + MS(100);
	reserve_request(f, &repeat);
	write_done(f, CLAIM_IO_OK);
	expect_io(f, CLAIM_WRITE);
	write_done(f, CLAIM_IO_OK);
	expect_dispatch(f, 2);
	expect_no_action(f);
	advance_time(f, MS(100));
	expect_answer(f, 2, BW_E_OUTCOME_UNKNOWN);
	assert_false(claim_is_idle(f->table));
	dispatch_done(f, 2, CLAIM_DISPATCH_ANSWERED);
	expect_io(f, CLAIM_WRITE);
	write_done(f, CLAIM_IO_OK);
	assert_true(claim_is_idle(f->table));
}

/* A node that was paused learns only after the deadline that its claim is
 * stored. It must release the claim, not dispatch. */
static void
claims_confirmed_late_do_not_run(void **state)
{
	fixture_t *f = *state;

	reserve_to_write(f);
	f->now += MS(100);
	write_done(f, CLAIM_IO_OK);
	expect_answer(f, 1, BW_E_DEADLINE);
	expect_io(f, CLAIM_WRITE);
	assert_non_null(strstr(f->action.text, "released"));
	write_done(f, CLAIM_IO_OK);
	expect_no_action(f);
	assert_true(claim_is_idle(f->table));
}

/* An attempt is answered before its deadline while a write with its claim is in
 * doubt. It must not be dispatched when that write turns out to be applied. */
static void
answered_attempts_in_doubt_do_not_run(void **state)
{
	fixture_t *f = *state;
	char *written;

	reserve_to_write(f);
	written = g_strdup(f->action.text);
	write_done(f, CLAIM_IO_UNKNOWN);
	expect_io(f, CLAIM_READ);
	read_done(f, "", 0);
	f->wall += SECONDS(3600);
	advance_time(f, MS(50));
	expect_answer(f, 1, BW_E_KEY_EXPIRED);
	expect_io(f, CLAIM_WRITE);
	write_done(f, CLAIM_IO_CONFLICT);
	expect_io(f, CLAIM_READ);
	read_done(f, written, 1);
	g_free(written);
	expect_io(f, CLAIM_WRITE);
	assert_non_null(strstr(f->action.text, "released"));
	write_done(f, CLAIM_IO_OK);
	expect_no_action(f);
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
		fixture_t *f;
		body_t *body;

		setup((void **)&f);
		memset(bytes, cases[i].fill, cases[i].size);
		body = body_create(bytes, cases[i].size);
		reserve_to_write(f);
		write_done(f, CLAIM_IO_OK);
		expect_dispatch(f, 1);
		claim_dispatch_done(f->table, 1, CLAIM_DISPATCH_ANSWERED, 201,
		    body, f->now, f->wall);
		body_unref(body);
		expect_io(f, CLAIM_WRITE);
		write_done(f, CLAIM_IO_OK);
		expect_answer(f, 1, 0);
		assert_int_equal(
		    body_slice(f->action.body).size, cases[i].size);
		assert_int_equal(reserve(f, 2, KEY), 0);
		expect_answer(f, 2, cases[i].error);
		assert_int_equal(f->action.http_status, 201);
		g_free(bytes);
		teardown((void **)&f);
	}
}

/* A key whose entry was removed must not become valid again when the repeat
 * window grows. */
static void
removed_keys_stay_expired(void **state)
{
	for (int removed = 0; removed <= 1; removed++) {
		fixture_t *f;
		claim_request_t request = make_request(2, "");
		claim_request_t longer_window = make_request(3, KEY);

		setup((void **)&f);
		reserve_to_read(f, 1);
		read_entry(f, 5, DIGEST, "done", 201, "\"seat 7\"");
		expect_answer(f, 1, 0);
		f->wall +=
		    SECONDS(3600 + CLAIM_MAX_CLOCK_SKEW_S - 10 + removed);
		find_key(f, 1796365800, 0, request.key);
		reserve_request(f, &request);
		expect_io(f, CLAIM_WRITE);
		assert_int_equal(strstr(f->action.text, KEY) == NULL, removed);
		write_done(f, CLAIM_IO_OK);
		expect_dispatch(f, 2);
		longer_window.repeat_window_s = 24 * 3600;
		reserve_request(f, &longer_window);
		expect_answer(f, 3, removed ? BW_E_KEY_EXPIRED : 0);
		teardown((void **)&f);
	}
}

/* A read reply that arrives late must not replace newer content by older. */
static void
older_versions_are_ignored(void **state)
{
	fixture_t *f = *state;

	reserve_to_read(f, 1);
	read_entry(f, 5, DIGEST, "claimed", 0, "null");
	expect_answer(f, 1, BW_E_OUTCOME_UNKNOWN);
	reserve_to_read(f, 2);
	read_entry(f, 4, DIGEST, "claimed", 0, "null");
	expect_answer(f, 2, BW_E_PLATFORM_DOWN);
	assert_int_equal(reserve(f, 3, KEY), 0);
	expect_no_action(f);
	advance_time(f, MS(50));
	expect_io(f, CLAIM_READ);
	read_entry(f, 5, DIGEST, "claimed", 0, "null");
	expect_answer(f, 3, BW_E_OUTCOME_UNKNOWN);
}

static void
full_buckets_refuse(void **state)
{
	fixture_t *f = *state;
	GString *text = g_string_new(NULL);
	char *body = g_strnfill(CLAIM_MAX_BODY_BYTES, 'b');

	reserve_to_read(f, 1);
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
	read_done(f, text->str, 5);
	expect_answer(f, 1, BW_E_FULL);
	expect_no_action(f);
	assert_true(claim_is_idle(f->table));
	g_string_free(text, TRUE);
	g_free(body);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

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
