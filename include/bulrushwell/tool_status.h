#ifndef BULRUSHWELL_TOOL_STATUS_H
#define BULRUSHWELL_TOOL_STATUS_H

#include <jansson.h>
#include <stddef.h>

/**
 * tool_status_read() - Reads a node's status.
 * @status: owned by the caller; NULL on error
 *
 * Return: 0, BW_E_IO or BW_E_PROTOCOL with @message.
 */
int tool_status_read(
    const char *address, json_t **status, char *message, size_t message_size);

#endif
