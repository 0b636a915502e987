#ifndef BULRUSHWELL_CONTRACT_H
#define BULRUSHWELL_CONTRACT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/name.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Contract of one customer
 *
 * The JSON object has exactly these fields:
 * customer (name), state ("in_force" or "retired"), callers (array of
 * {"name", "key_sha256"}), may_query (array of index names), may_reserve
 * (array of service names), rate_per_s (number), concurrency (integer),
 * deadline_ms (integer; limit of each request), repeat_window_h (integer; how
 * long a repeat of a reservation is recognised, 0: no reservations), operation
 * (token of the last change), changed_by (who made it). The version is that of
 * the platform object. A contract is immutable and shared by reference.
 */
#define CONTRACT_MAX_CALLERS 64
#define CONTRACT_MAX_NAMES 256 /* of may_query and of may_reserve */
#define CONTRACT_MIN_RATE 0.1
#define CONTRACT_MAX_RATE 1e6
#define CONTRACT_MAX_CONCURRENCY 100000
#define CONTRACT_MIN_DEADLINE_MS 10
#define CONTRACT_MAX_DEADLINE_MS 10000
#define CONTRACT_MAX_REPEAT_WINDOW_H 720
#define CONTRACT_MAX_TEXT 65536 /* bytes of the JSON text */

typedef struct contract contract_t;

/**
 * contract_parse() - Parses and validates a contract.
 * @text: JSON
 * @version: the version of the platform object
 * @contract: set to a contract whose reference the caller owns, or to NULL
 * @message: on error, set to a sentence that names the field and the remedy
 *
 * Return: 0 or BW_E_INVALID.
 */
int contract_parse(slice_t text, uint64_t version, contract_t **contract,
    char *message, size_t message_size);

/** contract_ref() - Takes a reference; NULL is allowed. */
contract_t *contract_ref(contract_t *contract);

/** contract_unref() - Releases a reference; NULL is allowed. */
void contract_unref(contract_t *contract);

const char *contract_customer(const contract_t *contract);
uint64_t contract_version(const contract_t *contract);
bool contract_is_retired(const contract_t *contract);
double contract_rate_per_s(const contract_t *contract);
uint32_t contract_concurrency(const contract_t *contract);
uint32_t contract_deadline_ms(const contract_t *contract);
uint32_t contract_repeat_window_h(const contract_t *contract);
const char *contract_operation(const contract_t *contract);
const char *contract_changed_by(const contract_t *contract);
bool contract_may_query(const contract_t *contract, const char *index);
bool contract_may_reserve(const contract_t *contract, const char *service);

/** contract_text() - The parsed JSON text, unchanged, to be sent to peers. */
slice_t contract_text(const contract_t *contract);

size_t contract_caller_count(const contract_t *contract);
const char *contract_caller_name(const contract_t *contract, size_t i);

/** contract_caller_digest() - SHA-256 of a caller's key, 32 bytes. */
const unsigned char *contract_caller_digest(
    const contract_t *contract, size_t i);

#endif
