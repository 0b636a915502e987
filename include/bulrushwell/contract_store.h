#ifndef BULRUSHWELL_CONTRACT_STORE_H
#define BULRUSHWELL_CONTRACT_STORE_H

#include "bulrushwell/clock.h"
#include "bulrushwell/contract.h"

/**
 * DOC: Contracts in force on this node
 *
 * A contract is replaced only by a higher version of the same customer's
 * contract. A retired one stays as a tombstone, so that an older version from
 * a peer cannot bring it back.
 */
#define CONTRACT_STORE_MAX 100000

typedef struct contract_store contract_store_t;

contract_store_t *contract_store_create(void);
void contract_store_destroy(contract_store_t *store);

/**
 * contract_store_adopt() - Offers one version of a contract.
 * @customer: the platform object's name, which must equal the text's customer
 *
 * Return: 0 when it is now in force, BW_E_STALE when this version or a higher
 * one is in force already, BW_E_INVALID (with @message), or BW_E_FULL. Nothing
 * changes on error.
 */
int contract_store_adopt(contract_store_t *store, const char *customer,
    slice_t text, uint64_t version, usec_t now, char *message, size_t message_size);

/** contract_store_find() - Borrowed; includes tombstones; NULL if unknown. */
contract_t *contract_store_find(
    const contract_store_t *store, const char *customer);

/**
 * contract_store_authenticate() - The contract in force that lists a key.
 * @key: the secret that the caller sent
 * @caller: set to the caller's name, borrowed from the contract
 *
 * Digests are compared in constant time.
 *
 * Return: borrowed contract, or NULL.
 */
contract_t *contract_store_authenticate(
    const contract_store_t *store, slice_t key, const char **caller);

/** contract_store_digest() - Hash over (customer, version), order-free. */
uint64_t contract_store_digest(const contract_store_t *store);

size_t contract_store_count(const contract_store_t *store);

/** contract_store_at() - The contract at position 0 .. count - 1, by name. */
contract_t *contract_store_at(const contract_store_t *store, size_t position);

/**
 * contract_store_longest_deadline() - The longest deadline among the contract
 * versions known during the last CONTRACT_MAX_DEADLINE_MS: requests admitted
 * under a replaced version may still run.
 */
usec_t contract_store_longest_deadline(
    const contract_store_t *store, usec_t now);

#endif
