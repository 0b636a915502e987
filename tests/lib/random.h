#ifndef TESTS_LIB_RANDOM_H
#define TESTS_LIB_RANDOM_H

#include <stdint.h>
#include <stdlib.h>

/**
 * DOC: Repeatable random numbers of the model tests
 *
 * BW_SEED and BW_STEPS in the environment replace a test's own seeds and
 * number of steps, for longer runs by hand.
 */
typedef struct {
	uint64_t state;
} random_t;

/** random_below() - A number from 0 to @bound - 1 (splitmix64). */
static inline uint32_t
random_below(random_t *random, uint32_t bound)
{
	uint64_t z = random->state += 0x9e3779b97f4a7c15u;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return (uint32_t)((z ^ z >> 31) % bound);
}

/** environment_number() - The value of a variable, or @otherwise. */
static inline uint64_t
environment_number(const char *name, uint64_t otherwise)
{
	const char *value = getenv(name);

	return value != NULL ? strtoull(value, NULL, 10) : otherwise;
}

#endif
