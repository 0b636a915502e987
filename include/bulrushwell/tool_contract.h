#ifndef BULRUSHWELL_TOOL_CONTRACT_H
#define BULRUSHWELL_TOOL_CONTRACT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/tool_options.h"

/**
 * typedef tool_caller_key_t - A caller and its new key.
 *
 * The platform stores only the SHA-256 of the key.
 */
typedef struct {
	char *caller;
	char *key;
} tool_caller_key_t;

/**
 * tool_caller_keys_create() - Creates an array of &tool_caller_key_t that wipes
 * and frees its keys.
 */
GPtrArray *tool_caller_keys_create(void);

/**
 * tool_contract_apply_flags() - Applies the flags to a contract's JSON object.
 * @contract: changed in place; fields without a flag keep their value
 * @keys: new keys are appended as &tool_caller_key_t
 * @message: on error, the field or flag and the remedy
 *
 * Return: 0 or BW_E_INVALID. The resulting contract is not checked as a whole;
 * tool_contract_serialize() does that.
 */
int tool_contract_apply_flags(json_t *contract, const tool_options_t *options,
    GPtrArray *keys, char *message, size_t message_size);

/** tool_contract_set_change_fields() - Sets state, operation and changed_by. */
void tool_contract_set_change_fields(json_t *contract, const char *state,
    const char *operation, const char *changed_by);

/**
 * tool_contract_serialize() - Formats a contract as JSON and checks it as
 * a node does.
 * @text: set to the JSON, to be freed with free(); NULL on error
 *
 * Return: 0 or BW_E_INVALID with @message.
 */
int tool_contract_serialize(
    const json_t *contract, char **text, char *message, size_t message_size);

/**
 * tool_contract_is_adopted() - Whether every live node has a contract version,
 * which may be that of a retirement.
 * @status: a node's status
 * @version: this version or a later one
 * @lagging: set to the names of the nodes that lack it, separated by ", "
 */
bool tool_contract_is_adopted(const json_t *status, const char *customer,
    uint64_t version, GString *lagging);

#endif
