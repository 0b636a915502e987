#ifndef BULRUSHWELL_NAME_H
#define BULRUSHWELL_NAME_H

#include <stdbool.h>

/** Bytes of a name (node, customer, service, index) with its final NUL. */
#define NAME_SIZE 64

/** Bytes of an "IP:PORT" text with its final NUL. */
#define ADDRESS_SIZE 64

/** typedef name_t - A checked name: lower-case letters, digits, '-', '_', '.'.
 */
typedef char name_t[NAME_SIZE];

/** typedef address_t - A checked numeric "IP:PORT". */
typedef char address_t[ADDRESS_SIZE];

/**
 * name_set() - Copies a name.
 *
 * Return: 0, or BW_E_INVALID for an empty, long or malformed one.
 */
int name_set(name_t name, const char *text);

/** address_set() - Copies a numeric IPv4 or [IPv6] address with a port. */
int address_set(address_t address, const char *text);

#endif
