#ifndef TESTS_LIB_RUNNER_H
#define TESTS_LIB_RUNNER_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/**
 * DOC: Test program entry
 *
 * Runs a table of cmocka tests. Tests that KNOWN-RED.txt lists as
 * "test: PROGRAM/NAME" are printed and passed over, unless BW_RUN_RED=1.
 * An argument is a cmocka filter (with * and ?) of the tests to run.
 */
#define RUN_TESTS(argc, argv, tests) \
	runner_main(argc, argv, tests, sizeof(tests) / sizeof((tests)[0]))

int runner_main(
    int argc, char **argv, const struct CMUnitTest *tests, size_t count);

#endif
