#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <sys/socket.h>

/**
 * net_parse_address() - Parses a numeric "IP:PORT" or "[IPv6]:PORT".
 *
 * Return: 0 or BW_E_INVALID.
 */
int net_parse_address(const char *text, struct sockaddr_storage *address);

#endif
