#ifndef BULRUSHWELL_NAME_H
#define BULRUSHWELL_NAME_H

#include <stdbool.h>

/** Bytes of a name (node, customer, service, index) with its final NUL. */
#define NAME_SIZE 64

/** Bytes of an "IP:PORT" text with its final NUL. */
#define ADDRESS_SIZE 64

/**
 * typedef name_t - A valid name: lower-case letters, digits, '-', '_' and '.',
 * not beginning with '.'.
 */
typedef char name_t[NAME_SIZE];

/** typedef address_t - A valid numeric "IP:PORT". */
typedef char address_t[ADDRESS_SIZE];

/**
 * name_set() - Checks and copies a name.
 *
 * Return: 0, or BW_E_INVALID for a name that is empty, too long or malformed.
 */
int name_set(name_t name, const char *text);

/**
 * address_set() - Checks and copies a numeric IPv4 or [IPv6] address with a
 * port from 1 to 65535.
 *
 * Return: 0 or BW_E_INVALID.
 */
int address_set(address_t address, const char *text);

#endif
