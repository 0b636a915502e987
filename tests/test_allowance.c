/* Guards the parts of a contract: units whose parts do not add up to it, a unit
 * used before its former owner's loans have ended, and loans that let lender
 * and borrower use the same part. */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/allowance.h"
#include "bulrushwell/assignment.h"

#define ALL_UNITS UINT64_MAX

/* A node that owns units since long ago. */
static allowance_t *
make_node(uint64_t units, double rate, uint32_t concurrency)
{
	allowance_t *allowance = allowance_create();

	allowance_set_contract(allowance, "c", rate, concurrency, 0);
	allowance_set_units(allowance, units, 0, -SECONDS(10));
	return allowance;
}

static void
assert_part(
    allowance_t *allowance, int at_ms, double rate, uint32_t concurrency)
{
	double has = allowance_rate(allowance, "c", MS(at_ms));
	uint32_t places = allowance_concurrency(allowance, "c", MS(at_ms));

	if (has < rate - 1e-6 || has > rate + 1e-6 || places != concurrency)
		fail_msg("at %d ms: %g and %u instead of %g and %u", at_ms, has,
		    places, rate, concurrency);
}

static void
parts_add_up_to_the_contract(void **state)
{
	static const double rates[] = {0.1, 5, 10, 19.9, 20, 64, 333.3, 1e6};
	static const uint32_t concurrencies[] = {
	    1, 2, 3, 7, 63, 64, 65, 1000, 100000};
	static const uint32_t sizes[] = {1, 2, 7, 33, 64};

	for (size_t i = 0; i < 8 * 9 * 5; i++) {
		double rate = rates[i % 8], sum = 0, bursts = 0;
		uint32_t limit = concurrencies[i / 8 % 9], places = 0;
		uint32_t size = sizes[i / 72];

		for (uint32_t first = 0; first < 64; first += size) {
			allowance_t *node = make_node(
			    allowance_unit_range(first, size), rate, limit);
			double part = allowance_rate(node, "c", 0);

			sum += part;
			if (part > 0)
				bursts += part > 10 ? part / 10 : 1;
			places += allowance_concurrency(node, "c", 0);
			allowance_destroy(node);
		}
		assert_true(sum > rate * 0.999999 && sum < rate * 1.000001);
		assert_int_equal(places, limit);
		assert_true(bursts <= (rate > 160 ? rate / 10 : 16) + 1e-6);
	}
}

static void
units_are_used_after_their_former_owner(void **state)
{
	allowance_t *node = make_node(0xffff, 640, 64);

	assert_part(node, 0, 160, 16);
	assert_int_equal(allowance_units_since(node, 0), -MS(9650));
	allowance_set_units(node, 0xf00ff, MS(250), MS(1000));
	assert_int_equal(allowance_units_since(node, MS(1349)), MS(1349));
	assert_int_equal(allowance_units_since(node, MS(1400)), MS(1350));
	assert_part(node, 1000, 80, 8); /* eight lost, four not usable yet */
	assert_part(node, 1349, 80, 8);
	assert_part(node, 1350, 120, 8);
	assert_part(node, 1599, 120, 8);
	assert_part(node, 1600, 120, 12);
	allowance_close_units(node, 0xff, MS(250), MS(1600));
	assert_part(node, 1600, 40, 4);
	allowance_close_units(node, 0xf, MS(250), MS(1600));
	assert_part(node, 1949, 40, 4);
	assert_part(node, 1950, 80, 4);
	assert_part(node, 2200, 80, 8);
	allowance_set_contract(node, "c", 0, 0, MS(1600));
	assert_part(node, 1600, 0, 0);
	assert_true(allowance_rate(node, "unknown", 0) == 0);
	allowance_set_units(node, 0, 0, MS(1600));
	assert_int_equal(allowance_units_since(node, MS(1700)), MS(1700));
	allowance_destroy(node);
}

/* Loans by a node that owns 640 requests a second and 64 places, in order. */
static const struct {
	int at;
	const char *borrower;
	uint64_t incarnation;
	double wish_rate;
	uint32_t wish_places;
	double own_rate;
	uint32_t own_requests;
	double lent_rate;
	uint32_t lent_places;
	double left_rate;
	uint32_t left_places;
} loans[] = {
    {0, "b", 1, 100, 10, 0, 0, 100, 10, 540, 54},
    {50, "b", 1, 95, 10, 0, 0, 100, 10, 540, 54}, /* whole quanta */
    {100, "b", 1, 0, 2, 0, 0, 0, 2, 540, 54},	  /* the first may last */
    {100, "c", 1, 1000, 100, 335, 33, 200, 21, 340, 33}, /* less its needs */
    {400, "c", 1, 0, 0, 0, 0, 0, 0, 440, 33}, /* b's rate has ended */
    {450, "c", 1, 0, 0, 0, 0, 0, 0, 640, 33}, /* c's rate has ended */
    {650, "c", 1, 0, 0, 0, 0, 0, 0, 640, 41}, /* b's ten places */
    {700, "c", 1, 0, 0, 0, 0, 0, 0, 640, 64},
    {700, "b", 1, 640, 64, 0, 0, 640, 64, 0, 0},
    {710, "b", 2, 640, 64, 0, 0, 0, 0, 0, 0}, /* its restart is another node */
    {720, "b", 1, 640, 64, 0, 60, 640, 4, 0, 0},
    {730, "d", 1, 640, 64, 700, 99, 0, 0, 0, 0},
};

static void
a_loan_is_not_used_twice(void **state)
{
	allowance_t *node = make_node(ALL_UNITS, 640, 64);

	for (size_t i = 0; i < G_N_ELEMENTS(loans); i++) {
		allowance_loan_t wish = {
		    "c", loans[i].wish_rate, loans[i].wish_places};
		allowance_loan_t loan;

		allowance_lend(node, loans[i].borrower, loans[i].incarnation,
		    &wish, loans[i].own_rate, loans[i].own_requests, MS(250),
		    MS(loans[i].at), &loan);
		if (loan.concurrency != loans[i].lent_places ||
		    (int)(loan.rate_per_s + 0.5) != (int)loans[i].lent_rate)
			fail_msg("loan %zu: %g and %u lent", i, loan.rate_per_s,
			    loan.concurrency);
		assert_part(node, loans[i].at, loans[i].left_rate,
		    loans[i].left_places);
	}
	allowance_destroy(node);
}

static void
a_loan_lasts_from_when_it_was_asked(void **state)
{
	allowance_t *node = make_node(0, 640, 64);
	const allowance_loan_t loan = {"c", 100, 10}, more = {"c", 200, 20};

	allowance_receive_loan(node, "a", &loan, MS(0), MS(200));
	assert_part(node, 200, 100, 10);
	allowance_receive_loan(node, "b", &more, MS(100), MS(200));
	assert_part(node, 299, 300, 30);
	assert_part(node, 300, 200, 20);
	allowance_receive_loan(node, "b", &loan, MS(90), MS(300)); /* older */
	assert_part(node, 300, 200, 20);
	allowance_receive_loan(node, "b", &loan, MS(300), MS(310));
	assert_part(node, 599, 100, 10);
	assert_part(node, 600, 0, 0);
	allowance_receive_loan(node, "b", &loan, MS(300), MS(600)); /* ended */
	assert_part(node, 600, 0, 0);
	allowance_destroy(node);
}

/* More renewals than a hold list has room for still hold the largest. */
static void
shrinking_loans_hold_the_largest(void **state)
{
	allowance_t *node = make_node(ALL_UNITS, 640, 64);
	allowance_loan_t loan;

	for (uint32_t i = 0; i < 20; i++) {
		const allowance_loan_t wish = {"c", 0, 40 - i};

		allowance_lend(
		    node, "b", 1, &wish, 0, 0, MS(250), MS(i), &loan);
		assert_int_equal(loan.concurrency, 40 - i);
		assert_part(node, (int)i, 640, 24);
	}
	for (uint32_t i = 0; i < 20; i++)
		assert_true(
		    allowance_concurrency(node, "c", MS(599 + i)) <= 24 + i);
	assert_part(node, 619, 640, 64);
	allowance_destroy(node);
}

/* A lender that closes units it has lent does without the rest as well. */
static void
closed_units_do_not_free_a_loan(void **state)
{
	allowance_t *node = make_node(ALL_UNITS, 640, 64);
	const allowance_loan_t wish = {"c", 400, 40};
	allowance_loan_t loan;

	allowance_lend(node, "b", 1, &wish, 0, 0, MS(250), 0, &loan);
	allowance_close_units(node, allowance_unit_range(32, 32), MS(250), 0);
	assert_part(node, 0, 0, 0);
	assert_part(node, 350, 320, 0);
	assert_part(node, 600, 320, 32);
	allowance_destroy(node);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(parts_add_up_to_the_contract),
	    cmocka_unit_test(units_are_used_after_their_former_owner),
	    cmocka_unit_test(a_loan_is_not_used_twice),
	    cmocka_unit_test(a_loan_lasts_from_when_it_was_asked),
	    cmocka_unit_test(shrinking_loans_hold_the_largest),
	    cmocka_unit_test(closed_units_do_not_free_a_loan),
	};

	return RUN_TESTS(argc, argv, tests);
}
