#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include <netinet/in.h>
#include <stdbool.h>

#include "bulrushwell/clock.h"

/** DOC: Non-blocking TCP sockets with the options that all of ours have */

/** http_socket_listen() - A listening socket, or a negative error number. */
int http_socket_listen(const struct sockaddr_in *address);

/** http_socket_accept() - The next connection, or -1 when there is none. */
int http_socket_accept(int listener);

/** http_socket_connect() - Begins to connect; a negative error number. */
int http_socket_connect(const struct sockaddr_in *address);

/**
 * http_socket_detect_silence() - Lets the kernel end a connection whose peer
 * answers no keep-alive probe for about @limit.
 */
void http_socket_detect_silence(int fd, usec_t limit);

/** http_socket_parse() - Reads "IP:PORT"; 0 or BW_E_INVALID. */
int http_socket_parse(const char *text, struct sockaddr_in *address);

#endif
