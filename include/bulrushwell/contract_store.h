#ifndef BULRUSHWELL_CONTRACT_STORE_H
#define BULRUSHWELL_CONTRACT_STORE_H

#include "bulrushwell/clock.h"
#include "bulrushwell/contract.h"

/**
 * DOC: Contracts in force on this node
 *
 * A contract is replaced only by a higher version of the same customer's
 * contract. A retired contract is kept as a tombstone, so that an older version
 * received from a peer does not put it in force again.
 */
#define CONTRACT_STORE_MAX 100000

typedef struct contract_store contract_store_t;

contract_store_t *contract_store_create(void);
void contract_store_destroy(contract_store_t *store);

/**
 * contract_store_adopt() - Adds or replaces a customer's contract.
 * @customer: name of the platform object; must equal the customer in @text
 * @text: the contract as JSON
 * @version: version of the platform object
 * @now: monotonic time; requests admitted under the replaced version before it
 * may still run, see contract_store_longest_deadline()
 * @message: on error, set to a sentence that names the cause and the remedy
 *
 * Return: 0 when the version was adopted, BW_E_STALE when the store holds this
 * version or a higher one, BW_E_INVALID, or BW_E_FULL when there are
 * CONTRACT_STORE_MAX contracts. Nothing changes on error.
 */
int contract_store_adopt(contract_store_t *store, const char *customer,
    slice_t text, uint64_t version, usec_t now, char *message,
    size_t message_size);

/**
 * contract_store_find() - Looks up a customer's contract, retired or not.
 *
 * Return: borrowed contract, or NULL.
 */
contract_t *contract_store_find(
    const contract_store_t *store, const char *customer);

/**
 * contract_store_authenticate() - Finds the contract that lists a caller's key.
 * @key: the secret that the caller sent
 * @caller: set to the caller's name, borrowed from the contract, or to NULL
 *
 * Retired contracts are ignored. Digests are compared in constant time. If
 * several contracts list the key, the first by customer name is used.
 *
 * Return: borrowed contract, or NULL.
 */
contract_t *contract_store_authenticate(
    const contract_store_t *store, slice_t key, const char **caller);

/**
 * contract_store_digest() - Hash of all customers and versions, independent of
 * the order of adoption, to compare the stores of two nodes.
 */
uint64_t contract_store_digest(const contract_store_t *store);

size_t contract_store_count(const contract_store_t *store);

/**
 * contract_store_at() - The contract at a position in order of customer name.
 *
 * Return: borrowed contract, retired or not; NULL past the end.
 */
contract_t *contract_store_at(const contract_store_t *store, size_t position);

/**
 * contract_store_longest_deadline() - The longest deadline that any running
 * request may have.
 *
 * Return: the longest deadline among the contracts in force and the versions
 * replaced during the last CONTRACT_MAX_DEADLINE_MS, under which requests may
 * still run; 0 when there are none.
 */
usec_t contract_store_longest_deadline(
    const contract_store_t *store, usec_t now);

#endif
