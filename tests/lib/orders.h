#ifndef TESTS_LIB_ORDERS_H
#define TESTS_LIB_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/**
 * DOC: Search for an order of events that breaks a promise
 *
 * An order is a text of letters, each an event; other characters say how it
 * begins. A failing order is shrunk, and the failure names it as BW_ORDER, by
 * which the same test plays it again with a trace.
 */

/** typedef orders_t - The events of a test and how an order is played. */
typedef struct {
	const char *letters;
	/** Plays an order; @trace may be NULL. Return: the failure, or NULL. */
	const char *(*play)(const char *order, FILE *trace);
} orders_t;

/** typedef order_case_t - An order, and what it once broke. */
typedef struct {
	const char *order;
	const char *guards;
} order_case_t;

/** orders_play_cases() - Plays each of @count orders. */
void orders_play_cases(
    const orders_t *orders, const order_case_t *cases, size_t count);

/** orders_fail() - Fails the test with the shortest part of @failing that still
 * fails. */
void orders_fail(const orders_t *orders, const char *failing);

/** orders_play_given() - Plays BW_ORDER, if it is set. Return: whether it is.
 */
bool orders_play_given(const orders_t *orders);

/** orders_play_all() - Plays all orders of up to @depth events. Return: their
 * number. */
uint64_t orders_play_all(const orders_t *orders, uint32_t depth);

/**
 * orders_play_random() - Plays random orders of 1 to @depth events.
 * @begins: what an order may begin with, one of them at random
 * @count: orders, if BW_STEPS does not say; the first seed is BW_SEED
 */
void orders_play_random(const orders_t *orders, const char *const *begins,
    uint32_t begin_count, uint32_t depth, uint64_t count);

#endif
