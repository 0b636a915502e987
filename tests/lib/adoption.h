#ifndef TESTS_LIB_ADOPTION_H
#define TESTS_LIB_ADOPTION_H

#include <stdbool.h>
#include <stdint.h>

#include "harness.h"

/**
 * DOC: Which contracts nodes have adopted
 */

/** adoption_stored_version() - The version that the platform has. */
int64_t adoption_stored_version(harness_t *harness, const char *customer);

/** adoption_version() - The version of a contract at a node; 0: none. */
int64_t adoption_version(harness_t *harness, int node, const char *customer);

/** adoption_wait() - Waits until a node has adopted a version or a later one.
 */
void adoption_wait(
    harness_t *harness, int node, const char *customer, int64_t version);

/** adoption_put_contract() - Writes a contract. Return: its version. */
int64_t adoption_put_contract(
    harness_t *harness, const char *customer, bool retired);

#endif
