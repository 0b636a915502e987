#ifndef TESTS_LIB_CLAIM_FIXTURE_H
#define TESTS_LIB_CLAIM_FIXTURE_H

#include "bulrushwell/claim.h"

/**
 * DOC: A table of claims with a clock, driven by the steps of a test
 *
 * The fixture remembers the last action and the object of the last read or
 * write, which the steps that end a read or write refer to.
 */

#define NOW SECONDS(1000)
#define WALL SECONDS(1796362000)
#define KEY "1796361990-reel-4711"
#define DIGEST "00000000000000010000000000000002"
#define TOKEN "0123456789abcdef0123456789abcdef"

/** typedef claim_fixture_t - The table, its clock and its last action. */
typedef struct {
	claim_table_t *table;
	claim_action_t action;	    /* the last one */
	char object[2 * NAME_SIZE]; /* of the last read or write */
	usec_t now, wall;
	uint64_t version;
} claim_fixture_t;

/** claims_setup() - Creates a claim_fixture_t in @state; for cmocka. */
int claims_setup(void **state);
int claims_teardown(void **state);

/** claims_make_request() - A valid request with @key. */
claim_request_t claims_make_request(uint64_t tag, const char *key);

/** claims_reserve() - Reserves with a valid request. Return: an error or 0. */
int claims_reserve(claim_fixture_t *f, uint64_t tag, const char *key);

/** claims_reserve_request() - Reserves; the request must be accepted. */
void claims_reserve_request(claim_fixture_t *f, const claim_request_t *request);

/** claims_reserve_to_read() - Reserves KEY up to the read of its object. */
void claims_reserve_to_read(claim_fixture_t *f, uint64_t tag);

/**
 * claims_reserve_to_write() - Reserves KEY up to the first write of its claim,
 * in a new object.
 */
void claims_reserve_to_write(claim_fixture_t *f);

/**
 * claims_find_key() - Finds a key whose claim belongs to the object of the last
 * read or write.
 * @n: the first suffix to try
 *
 * Return: the next suffix to try.
 */
int claims_find_key(
    const claim_fixture_t *f, int64_t seconds, int n, char key[64]);

/* claims_expect_*() take the next action, which must be the one described. */
void claims_expect_no_action(claim_fixture_t *f);
void claims_expect_io(claim_fixture_t *f, int kind);
void claims_expect_dispatch(claim_fixture_t *f, uint64_t tag);
void claims_expect_answer(claim_fixture_t *f, uint64_t tag, int error);

/** claims_read_done() - Ends the read; version 0: there is no object. */
void claims_read_done(claim_fixture_t *f, const char *text, uint64_t version);

/** claims_read_entry() - Ends the read with one entry in the object, of KEY. */
void claims_read_entry(claim_fixture_t *f, uint64_t version, const char *digest,
    const char *state, int status, const char *body);

/** claims_write_done() - Ends the write. */
void claims_write_done(claim_fixture_t *f, claim_io_result_t result);

/** claims_dispatch_done() - Ends the dispatch of a request. */
void claims_dispatch_done(
    claim_fixture_t *f, uint64_t tag, claim_dispatch_result_t result);

/** claims_advance_time() - Advances both clocks and lets the table act. */
void claims_advance_time(claim_fixture_t *f, usec_t time);

#endif
