#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include <netinet/in.h>
#include <stdbool.h>

#include "bulrushwell/clock.h"

/** DOC: Non-blocking IPv4 TCP sockets with common options */

/** http_socket_listen() - Returns a listening socket or BW_E_IO. */
int http_socket_listen(const struct sockaddr_in *address);

/**
 * http_socket_accept() - Accepts a connection.
 *
 * Return: a socket, or -1 with errno set, also when none is waiting.
 */
int http_socket_accept(int listener);

/** http_socket_accept_exhausted() - Whether accepting failed with @error for
 * lack of descriptors or memory, so that it fails again at once. */
bool http_socket_accept_exhausted(int error);

/** http_socket_limit_buffers() - Limits the kernel's buffers of a socket, or of
 * those that a listener accepts, to about @bytes in each direction. */
void http_socket_limit_buffers(int fd, int bytes);

/**
 * http_socket_descriptors() - Descriptors that the process may have open.
 * @stated: by the settings; 0: not given
 *
 * Return: @stated, or what the kernel allows if that is less.
 */
uint64_t http_socket_descriptors(uint64_t stated);

/** http_socket_unsent() - Bytes in the kernel that the peer's kernel has not
 * acknowledged; 0 when this is not known. */
size_t http_socket_unsent(int fd);

/**
 * http_socket_connect() - Starts to connect.
 *
 * Return: a socket, writable when the attempt has ended, or BW_E_IO.
 */
int http_socket_connect(const struct sockaddr_in *address);

/**
 * http_socket_detect_silence() - Lets the kernel close a connection whose peer
 * acknowledges neither data nor keep-alive probes for about @limit. Idle time
 * is counted in whole seconds.
 */
void http_socket_detect_silence(int fd, usec_t limit);

/**
 * http_socket_round_trip() - The kernel's estimate of the connection's round
 * trip time; 0 when it has none.
 */
usec_t http_socket_round_trip(int fd);

/**
 * http_socket_unacknowledged() - Whether the peer's kernel has not acknowledged
 * all that was sent; false when this is not known.
 */
bool http_socket_unacknowledged(int fd);

/** http_socket_reset_on_close() - Makes close() reset the connection, so that
 * bytes that have not arrived are lost. */
void http_socket_reset_on_close(int fd);

/** http_socket_parse() - Parses an IPv4 "IP:PORT"; 0 or BW_E_INVALID. */
int http_socket_parse(const char *text, struct sockaddr_in *address);

#endif
