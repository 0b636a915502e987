#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <sys/socket.h>

/** net_parse_address() - A numeric "IP:PORT"; 0 or BW_E_INVALID. */
int net_parse_address(const char *text, struct sockaddr_storage *address);

#endif
