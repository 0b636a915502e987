#ifndef CUSTOMER_KEYS_H
#define CUSTOMER_KEYS_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/slice.h"

/**
 * DOC: The keys with which customers identify themselves
 *
 * A hash table with open addressing, at most half full, so that a lookup takes
 * the same few steps whatever the number of keys. The hash depends on a random
 * secret of the process; nobody outside can choose keys whose lookups take
 * longer, or learn from the duration of a lookup which keys exist. A key is
 * compared in constant time.
 *
 * Memory for each key: its bytes, 16 bytes for its entry and 8 to 16 bytes for
 * the slots. The arrays double when they grow, so up to twice of the first two
 * is allocated, but what is not used takes no memory of the machine.
 */

#define CUSTOMER_KEY_MAX 4096 /* bytes of a key */
#define CUSTOMER_NAME_MAX 256 /* bytes of a name */

typedef struct customer_keys customer_keys_t;

/** customer_keys_create() - An empty table; never NULL. */
customer_keys_t *customer_keys_create(void);

/** customer_keys_destroy() - Frees the table; NULL is allowed. */
void customer_keys_destroy(customer_keys_t *keys);

/**
 * customer_keys_add() - Adds a key, unless the table has it; copies it.
 * @key: valid, see customer_key_is_valid()
 * @customer: index of the customer
 *
 * Return: the customer that holds the key: @customer, or the one with which it
 * was added before.
 */
uint32_t customer_keys_add(
    customer_keys_t *keys, slice_t key, uint32_t customer);

/**
 * customer_keys_find() - Finds the customer that holds a key.
 * @customer: set to the customer's index when the key is found
 */
bool customer_keys_find(
    const customer_keys_t *keys, slice_t key, uint32_t *customer);

/** customer_keys_count() - Number of different keys. */
uint32_t customer_keys_count(const customer_keys_t *keys);

/**
 * customer_keys_at() - Returns a key by its position.
 * @position: below customer_keys_count()
 * @customer: set to its holder
 *
 * Return: valid until a key is added.
 */
slice_t customer_keys_at(
    const customer_keys_t *keys, uint32_t position, uint32_t *customer);

/** customer_keys_steps() - Number of slots that a lookup of @key reads. */
uint32_t customer_keys_steps(const customer_keys_t *keys, slice_t key);

/** customer_keys_memory() - Bytes that the table uses. */
uint64_t customer_keys_memory(const customer_keys_t *keys);

/**
 * customer_key_is_valid() - Whether a key consists of 1 to CUSTOMER_KEY_MAX
 * visible ASCII characters, so that a header can carry it.
 */
bool customer_key_is_valid(slice_t key);

/**
 * customer_key_read() - Reads the value of an Authorization header: the scheme
 * Bearer in any letter case, one or more spaces, a valid key.
 * @key: set to the key, a part of @value
 *
 * Return: false for anything else.
 */
bool customer_key_read(slice_t value, slice_t *key);

/**
 * customer_name_is_valid() - Whether a customer's name is a header value of 1
 * to CUSTOMER_NAME_MAX bytes without blanks at its ends.
 */
bool customer_name_is_valid(slice_t name);

#endif
