#include "claim_fixture.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "runner.h"

int
claims_setup(void **state)
{
	claim_fixture_t *f = g_new0(claim_fixture_t, 1);

	f->table = claim_table_create();
	f->now = NOW;
	f->wall = WALL;
	*state = f;
	return 0;
}

int
claims_teardown(void **state)
{
	claim_fixture_t *f = *state;

	claim_table_destroy(f->table);
	g_free(f);
	return 0;
}

claim_request_t
claims_make_request(uint64_t tag, const char *key)
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

int
claims_reserve(claim_fixture_t *f, uint64_t tag, const char *key)
{
	claim_request_t request = claims_make_request(tag, key);

	return claim_reserve(f->table, &request, f->now, f->wall);
}

int
claims_find_key(const claim_fixture_t *f, int64_t seconds, int n, char key[64])
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

void
claims_expect_no_action(claim_fixture_t *f)
{
	assert_false(claim_next_action(f->table, &f->action));
}

void
claims_expect_io(claim_fixture_t *f, int kind)
{
	assert_true(claim_next_action(f->table, &f->action));
	assert_int_equal(f->action.kind, kind);
	strcpy(f->object, f->action.object);
	if (kind == CLAIM_WRITE)
		assert_int_equal(f->action.version, f->version);
}

void
claims_expect_dispatch(claim_fixture_t *f, uint64_t tag)
{
	assert_true(claim_next_action(f->table, &f->action));
	assert_int_equal(f->action.kind, CLAIM_DISPATCH);
	assert_int_equal(f->action.tag, tag);
}

void
claims_expect_answer(claim_fixture_t *f, uint64_t tag, int error)
{
	assert_true(claim_next_action(f->table, &f->action));
	assert_int_equal(f->action.kind, CLAIM_ANSWER);
	assert_int_equal(f->action.tag, tag);
	assert_int_equal(f->action.error, error);
}

void
claims_read_done(claim_fixture_t *f, const char *text, uint64_t version)
{
	f->version = version;
	claim_read_done(f->table, f->object,
	    version > 0 ? CLAIM_IO_OK : CLAIM_IO_NOT_FOUND, version,
	    slice_from(text), f->now, f->wall);
}

void
claims_write_done(claim_fixture_t *f, claim_io_result_t result)
{
	if (result == CLAIM_IO_OK)
		f->version++;
	claim_write_done(
	    f->table, f->object, result, f->version, f->now, f->wall);
}

void
claims_dispatch_done(
    claim_fixture_t *f, uint64_t tag, claim_dispatch_result_t result)
{
	body_t *body = body_create("seat 7", 6);

	claim_dispatch_done(f->table, tag, result,
	    result == CLAIM_DISPATCH_ANSWERED ? 201 : 0, body, f->now, f->wall);
	body_unref(body);
}

void
claims_advance_time(claim_fixture_t *f, usec_t time)
{
	f->now += time;
	f->wall += time;
	claim_tick(f->table, f->now, f->wall);
}

void
claims_reserve_request(claim_fixture_t *f, const claim_request_t *request)
{
	assert_int_equal(claim_reserve(f->table, request, f->now, f->wall), 0);
}

void
claims_reserve_to_read(claim_fixture_t *f, uint64_t tag)
{
	assert_int_equal(claims_reserve(f, tag, KEY), 0);
	claims_expect_io(f, CLAIM_READ);
}

void
claims_reserve_to_write(claim_fixture_t *f)
{
	claims_reserve_to_read(f, 1);
	claims_read_done(f, "", 0);
	claims_expect_io(f, CLAIM_WRITE);
}

void
claims_read_entry(claim_fixture_t *f, uint64_t version, const char *digest,
    const char *state, int status, const char *body)
{
	char *text = g_strdup_printf(
	    "{\"bucket\":\"%s\",\"claims\":[{\"customer\":\"acme\",\"key\":"
	    "\"" KEY "\",\"digest\":\"%s\",\"token\":\"" TOKEN
	    "\",\"state\":\"%s\",\"status\":%d,\"body\":%s}],\"removed\":[]}",
	    f->object, digest, state, status, body);

	claims_read_done(f, text, version);
	g_free(text);
}
