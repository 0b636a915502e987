#ifndef TESTS_LIB_RAW_SERVER_H
#define TESTS_LIB_RAW_SERVER_H

#include <netinet/in.h>

#include "bulrushwell/name.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Server stub that sends given bytes
 *
 * It takes one connection on a free port of 127.0.0.1, reads the head of a
 * request, sends the bytes and closes in order.
 */

typedef struct raw_server raw_server_t;

/**
 * raw_server_create() - Starts the server.
 * @response: must stay valid until the server is destroyed
 */
raw_server_t *raw_server_create(slice_t response);

/** raw_server_destroy() - Waits until the client has closed, and frees it. */
void raw_server_destroy(raw_server_t *server);

/** raw_server_address() - As text. */
const char *raw_server_address(const raw_server_t *server);

/** raw_server_socket_address() - For connect(). */
struct sockaddr_in raw_server_socket_address(const raw_server_t *server);

#endif
