/* Tests the division of a contract between nodes. Failures guarded against:
 * units that do not add up to the contract, a unit that is used before the
 * loans of its former owner have ended, and a loan that lender and borrower use
 * at the same time. */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/allowance.h"
#include "bulrushwell/assignment.h"

#define ALL_UNITS UINT64_MAX

/* A node whose units are all usable at time 0. */
static allowance_t *
make_node(uint64_t units, double rate, uint32_t concurrency)
{
	allowance_t *allowance = allowance_create();

	allowance_set_contract(allowance, "c", rate, concurrency, 0);
	allowance_set_units(allowance, units, 0, -SECONDS(10));
	return allowance;
}

static void
assert_usable(
    allowance_t *allowance, int at_ms, double rate, uint32_t concurrency)
{
	double usable_rate = allowance_rate(allowance, "c", MS(at_ms));
	uint32_t usable_concurrency =
	    allowance_concurrency(allowance, "c", MS(at_ms));

	if (usable_rate < rate - 1e-6 || usable_rate > rate + 1e-6 ||
	    usable_concurrency != concurrency)
		fail_msg("at %d ms: %g and %u instead of %g and %u", at_ms,
		    usable_rate, usable_concurrency, rate, concurrency);
}

static void
parts_add_up_to_the_contract(void **state)
{
	static const double rates[] = {0.1, 5, 10, 19.9, 20, 64, 333.3, 1e6};
	static const uint32_t concurrencies[] = {
	    1, 2, 3, 7, 63, 64, 65, 1000, 100000};
	static const uint32_t sizes[] = {1, 2, 7, 33, 64};

	for (size_t i = 0; i < 8 * 9 * 5; i++) {
		double rate = rates[i % 8], total_rate = 0, bursts = 0;
		uint32_t concurrency = concurrencies[i / 8 % 9],
			 total_concurrency = 0;
		uint32_t size = sizes[i / 72];

		for (uint32_t first = 0; first < 64; first += size) {
			allowance_t *node =
			    make_node(allowance_unit_range(first, size), rate,
				concurrency);
			double part = allowance_rate(node, "c", 0);

			total_rate += part;
			if (part > 0)
				bursts += part > 10 ? part / 10 : 1;
			total_concurrency +=
			    allowance_concurrency(node, "c", 0);
			allowance_destroy(node);
		}
		assert_true(total_rate > rate * 0.999999 &&
		    total_rate < rate * 1.000001);
		assert_int_equal(total_concurrency, concurrency);
		assert_true(bursts <= (rate > 160 ? rate / 10 : 16) + 1e-6);
	}
}

static void
units_are_used_after_their_former_owner(void **state)
{
	allowance_t *node = make_node(0xffff, 640, 64);

	assert_usable(node, 0, 160, 16);
	assert_int_equal(allowance_units_usable_since(node, 0), -MS(9650));
	allowance_set_units(node, 0xf00ff, MS(250), MS(1000));
	assert_int_equal(
	    allowance_units_usable_since(node, MS(1349)), MS(1349));
	assert_int_equal(
	    allowance_units_usable_since(node, MS(1400)), MS(1350));
	assert_usable(node, 1000, 80, 8); /* 8 lost, 4 not usable yet */
	assert_usable(node, 1349, 80, 8);
	assert_usable(node, 1350, 120, 8);
	assert_usable(node, 1599, 120, 8);
	assert_usable(node, 1600, 120, 12);
	allowance_close_units(node, 0xff, MS(250), MS(1600));
	assert_usable(node, 1600, 40, 4);
	allowance_close_units(node, 0xf, MS(250), MS(1600));
	assert_usable(node, 1949, 40, 4);
	assert_usable(node, 1950, 80, 4);
	assert_usable(node, 2200, 80, 8);
	allowance_set_contract(node, "c", 0, 0, MS(1600));
	assert_usable(node, 1600, 0, 0);
	assert_true(allowance_rate(node, "unknown", 0) == 0);
	allowance_set_units(node, 0, 0, MS(1600));
	assert_int_equal(
	    allowance_units_usable_since(node, MS(1700)), MS(1700));
	allowance_destroy(node);
}

/* Successive loans by a node that owns 640 requests per second and a
 * concurrency of 64, and what is left to it. */
static const struct {
	int at_ms;
	const char *borrower;
	uint64_t incarnation;
	double wanted_rate;
	uint32_t wanted_concurrency;
	double own_rate;
	uint32_t own_requests;
	double lent_rate;
	uint32_t lent_concurrency;
	double left_rate;
	uint32_t left_concurrency;
} loans[] = {
    {0, "b", 1, 100, 10, 0, 0, 100, 10, 540, 54},
    {50, "b", 1, 95, 10, 0, 0, 100, 10, 540, 54}, /* whole quanta */
    {100, "b", 1, 0, 2, 0, 0, 0, 2, 540, 54},	  /* first loan still held */
    {100, "c", 1, 1000, 100, 335, 33, 200, 21, 340, 33}, /* own needs kept */
    {400, "c", 1, 0, 0, 0, 0, 0, 0, 440, 33}, /* b's rate has expired */
    {450, "c", 1, 0, 0, 0, 0, 0, 0, 640, 33}, /* c's rate has expired */
    {650, "c", 1, 0, 0, 0, 0, 0, 0, 640, 41}, /* b's concurrency has expired */
    {700, "c", 1, 0, 0, 0, 0, 0, 0, 640, 64},
    {700, "b", 1, 640, 64, 0, 0, 640, 64, 0, 0},
    {710, "b", 2, 640, 64, 0, 0, 0, 0, 0, 0}, /* after a restart of b */
    {720, "b", 1, 640, 64, 0, 60, 640, 4, 0, 0},
    {730, "d", 1, 640, 64, 700, 99, 0, 0, 0, 0},
};

static void
a_loan_is_not_used_twice(void **state)
{
	allowance_t *node = make_node(ALL_UNITS, 640, 64);

	for (size_t i = 0; i < G_N_ELEMENTS(loans); i++) {
		allowance_loan_t wanted = {
		    "c", loans[i].wanted_rate, loans[i].wanted_concurrency};
		allowance_loan_t loan;

		allowance_lend(node, loans[i].borrower, loans[i].incarnation,
		    &wanted, loans[i].own_rate, loans[i].own_requests, MS(250),
		    MS(loans[i].at_ms), &loan);
		if (loan.concurrency != loans[i].lent_concurrency ||
		    (int)(loan.rate_per_s + 0.5) != (int)loans[i].lent_rate)
			fail_msg("loan %zu: %g and %u lent", i, loan.rate_per_s,
			    loan.concurrency);
		assert_usable(node, loans[i].at_ms, loans[i].left_rate,
		    loans[i].left_concurrency);
	}
	allowance_destroy(node);
}

static void
a_loan_lasts_from_when_it_was_asked(void **state)
{
	allowance_t *node = make_node(0, 640, 64);
	const allowance_loan_t loan = {"c", 100, 10}, more = {"c", 200, 20};

	allowance_receive_loan(node, "a", &loan, MS(0), MS(200));
	assert_usable(node, 200, 100, 10);
	allowance_receive_loan(node, "b", &more, MS(100), MS(200));
	assert_usable(node, 299, 300, 30);
	assert_usable(node, 300, 200, 20);
	allowance_receive_loan(node, "b", &loan, MS(90), MS(300)); /* older */
	assert_usable(node, 300, 200, 20);
	allowance_receive_loan(node, "b", &loan, MS(300), MS(310));
	assert_usable(node, 599, 100, 10);
	assert_usable(node, 600, 0, 0);
	allowance_receive_loan(node, "b", &loan, MS(300), MS(600)); /* ended */
	assert_usable(node, 600, 0, 0);
	allowance_destroy(node);
}

/* After more renewals than a hold list has room for, the lender must still hold
 * back the largest loan. */
static void
shrinking_loans_hold_the_largest(void **state)
{
	allowance_t *node = make_node(ALL_UNITS, 640, 64);
	allowance_loan_t loan;

	for (uint32_t i = 0; i < 20; i++) {
		const allowance_loan_t wanted = {"c", 0, 40 - i};

		allowance_lend(
		    node, "b", 1, &wanted, 0, 0, MS(250), MS(i), &loan);
		assert_int_equal(loan.concurrency, 40 - i);
		assert_usable(node, (int)i, 640, 24);
	}
	for (uint32_t i = 0; i < 20; i++)
		assert_true(
		    allowance_concurrency(node, "c", MS(599 + i)) <= 24 + i);
	assert_usable(node, 619, 640, 64);
	allowance_destroy(node);
}

/* If a lender closes some of its units, its loans must be covered by the units
 * that are left. */
static void
closed_units_do_not_free_a_loan(void **state)
{
	allowance_t *node = make_node(ALL_UNITS, 640, 64);
	const allowance_loan_t wanted = {"c", 400, 40};
	allowance_loan_t loan;

	allowance_lend(node, "b", 1, &wanted, 0, 0, MS(250), 0, &loan);
	allowance_close_units(node, allowance_unit_range(32, 32), MS(250), 0);
	assert_usable(node, 0, 0, 0);
	assert_usable(node, 350, 320, 0);
	assert_usable(node, 600, 320, 32);
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
