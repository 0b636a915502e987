#ifndef TESTS_LIB_RANDOM_H
#define TESTS_LIB_RANDOM_H

#include <stdint.h>
#include <stdlib.h>

/**
 * DOC: Reproducible random numbers of the model tests
 *
 * The environment variables BW_SEED and BW_STEPS override a test's seeds and
 * number of steps, for longer manual runs.
 */

/** typedef random_t - Generator state; initialised with the seed. */
typedef struct {
	uint64_t state;
} random_t;

/** random_below() - Returns a number from 0 to @bound - 1 (splitmix64). */
static inline uint32_t
random_below(random_t *random, uint32_t bound)
{
	uint64_t z = random->state += 0x9e3779b97f4a7c15u;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return (uint32_t)((z ^ z >> 31) % bound);
}

/** environment_number() - Value of an environment variable, or @fallback. */
static inline uint64_t
environment_number(const char *name, uint64_t fallback)
{
	const char *value = getenv(name);

	return value != NULL ? strtoull(value, NULL, 10) : fallback;
}

#endif
