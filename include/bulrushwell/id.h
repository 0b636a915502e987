#ifndef BULRUSHWELL_ID_H
#define BULRUSHWELL_ID_H

#include <stdbool.h>
#include <stdint.h>

/** typedef id128_t - A random 128-bit identifier. */
typedef struct {
	uint64_t hi;
	uint64_t lo;
} id128_t;

/** Bytes of an id128_t as text, with the final NUL. */
#define ID128_TEXT 33

/** id128_random() - A new identifier from the kernel's random source. */
id128_t id128_random(void);

/** id64_random() - A random non-zero 64-bit number. */
uint64_t id64_random(void);

/** id128_equal() - Whether two identifiers are the same. */
bool id128_equal(id128_t a, id128_t b);

/** id128_format() - Writes 32 hexadecimal digits and a NUL. */
void id128_format(id128_t id, char text[ID128_TEXT]);

/**
 * id128_parse() - Reads exactly 32 hexadecimal digits of either case.
 *
 * Return: 0, or BW_E_INVALID.
 */
int id128_parse(const char *text, id128_t *id);

/** id128_hash(), id128_key_equal() - For a GHashTable with id128_t keys. */
unsigned int id128_hash(const void *key);
int id128_key_equal(const void *a, const void *b);

#endif
