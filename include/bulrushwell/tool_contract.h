#ifndef BULRUSHWELL_TOOL_CONTRACT_H
#define BULRUSHWELL_TOOL_CONTRACT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/tool_options.h"

/** typedef tool_caller_key_t - A caller's new key; only its SHA-256 is stored.
 */
typedef struct {
	char *caller;
	char *key;
} tool_caller_key_t;

/** tool_caller_keys_create() - An empty array that frees and wipes its keys. */
GPtrArray *tool_caller_keys_create(void);

/**
 * tool_contract_apply_flags() - Applies the flags to a contract's JSON object.
 * @contract: changed in place; fields that no flag names stay as they are
 * @keys: new keys are appended as &tool_caller_key_t
 * @why: on error, names the flag and the remedy
 *
 * Return: 0 or BW_E_INVALID. The result is not checked as a whole yet.
 */
int tool_contract_apply_flags(json_t *contract, const tool_options_t *options,
    GPtrArray *keys, char *message, size_t message_size);

/** tool_contract_set_change_fields() - Sets state, operation and changed_by. */
void tool_contract_set_change_fields(json_t *contract, const char *state,
    const char *operation, const char *changed_by);

/**
 * tool_contract_serialize() - Checks the contract as a node does.
 * @text: set to JSON to be freed with free()
 *
 * Return: 0 or BW_E_INVALID with @why.
 */
int tool_contract_serialize(
    const json_t *contract, char **text, char *message, size_t message_size);

/**
 * tool_contract_is_in_force() - Whether every live node has a version.
 * @status: a node's status
 * @lagging: set to the names of the nodes that are behind, with ", "
 */
bool tool_contract_is_in_force(const json_t *status, const char *customer,
    uint64_t version, GString *lagging);

#endif
