#ifndef BULRUSHWELL_TOOL_PLATFORM_H
#define BULRUSHWELL_TOOL_PLATFORM_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/tool_change.h"

/** typedef tool_platform_object_t - An object as the platform stores it. */
typedef struct {
	uint64_t version;
	json_t *value; /* owned by the reader; an object */
} tool_platform_object_t;

/**
 * tool_platform_read_contract() - Reads the contract of a customer.
 *
 * Return: 0, BW_E_NOT_FOUND, BW_E_IO (no answer) or BW_E_PROTOCOL (a reply of
 * another shape), with @why.
 */
int tool_platform_read_contract(const char *address, const char *customer,
    tool_platform_object_t *object, char *message, size_t message_size);

/** tool_platform_list_contracts() - The list reply for all contracts; errors as
 * above. */
int tool_platform_list_contracts(
    const char *address, json_t **list, char *message, size_t message_size);

/**
 * tool_platform_apply_change() - Carries a change out, with retries in bounded
 * time.
 * @text: the new value
 *
 * Return: one of the final actions of &change_action_t.
 */
change_action_t tool_platform_apply_change(const char *address,
    const char *customer, const char *text, change_t *change, char *message,
    size_t message_size);

#endif
