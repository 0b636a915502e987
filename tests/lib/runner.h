#ifndef TESTS_LIB_RUNNER_H
#define TESTS_LIB_RUNNER_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/**
 * DOC: Test runner
 *
 * Runs a table of cmocka tests. Tests that KNOWN-RED.txt lists as
 * "test: PROGRAM/NAME" are known to fail: their names are printed and they are
 * not run, unless BW_RUN_RED is set. BW_KNOWN_RED is the path of a file to read
 * instead of KNOWN-RED.txt. The first argument of the test program is a cmocka
 * filter (with * and ?) of the tests to run.
 */

/** RUN_TESTS() - Calls runner_main() with an array of tests. */
#define RUN_TESTS(argc, argv, tests) \
	runner_main(argc, argv, tests, sizeof(tests) / sizeof((tests)[0]))

/**
 * runner_main() - Runs @count tests.
 *
 * Return: the exit status of the test program; 0 when no test failed.
 */
int runner_main(
    int argc, char **argv, const struct CMUnitTest *tests, size_t count);

#endif
