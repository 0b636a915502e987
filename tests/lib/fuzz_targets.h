#ifndef TESTS_LIB_FUZZ_TARGETS_H
#define TESTS_LIB_FUZZ_TARGETS_H

#include <stddef.h>

/**
 * DOC: What is fuzzed
 *
 * Each target reads bytes that come from outside: HTTP in both directions,
 * datagrams and messages of other nodes, the store's responses and objects,
 * settings and contracts. A target checks what must hold whatever the bytes
 * are; crashes are left to the sanitizers.
 */

/**
 * typedef fuzz_run_t - Reads an input.
 *
 * Return: what does not hold, or NULL.
 */
typedef const char *(*fuzz_run_t)(const char *data, size_t size);

/** typedef fuzz_target_t - A target; its inputs are in tests/fuzz/NAME. */
typedef struct {
	const char *name;
	fuzz_run_t run;
} fuzz_target_t;

/** fuzz_targets() - All targets; @count is set to their number. */
const fuzz_target_t *fuzz_targets(size_t *count);

/** fuzz_find_target() - The target of a name; NULL if there is none. */
const fuzz_target_t *fuzz_find_target(const char *name);

#endif
