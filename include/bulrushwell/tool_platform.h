#ifndef BULRUSHWELL_TOOL_PLATFORM_H
#define BULRUSHWELL_TOOL_PLATFORM_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/tool_change.h"

/** typedef tool_platform_object_t - An object as the platform stores it. */
typedef struct {
	uint64_t version;
	json_t *value; /* a JSON object; owned by whoever read it */
} tool_platform_object_t;

/**
 * tool_platform_read_contract() - Reads the contract of a customer.
 * @object: zeroed on error
 *
 * Return: 0, BW_E_NOT_FOUND, BW_E_IO (no response) or BW_E_PROTOCOL (refused or
 * an unrecognized response), with @message.
 */
int tool_platform_read_contract(const char *address, const char *customer,
    tool_platform_object_t *object, char *message, size_t message_size);

/**
 * tool_platform_list_contracts() - Reads all contracts.
 * @list: set to the platform's response, owned by the caller; NULL on error
 *
 * Return: 0, BW_E_IO or BW_E_PROTOCOL, with @message.
 */
int tool_platform_list_contracts(
    const char *address, json_t **list, char *message, size_t message_size);

/**
 * tool_platform_apply_change() - Performs a change, with retries until its
 * deadline.
 * @text: JSON of the new contract
 * @message: the last failure; empty if there was none
 *
 * Return: a &change_action_t other than CHANGE_WRITE and CHANGE_READ.
 */
change_action_t tool_platform_apply_change(const char *address,
    const char *customer, const char *text, change_t *change, char *message,
    size_t message_size);

#endif
