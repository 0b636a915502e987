#ifndef BULRUSHWELL_PEER_SOCKET_H
#define BULRUSHWELL_PEER_SOCKET_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Peer sockets on ZeroMQ and libev
 *
 * One ROUTER receives from all peers; one DEALER per peer sends. Nothing here
 * blocks: a message that cannot be queued for a connected peer is refused.
 * With a key, CURVE admits only processes that hold the same key.
 */
#define PEER_SOCKET_MAX_MESSAGE 8388608
#define PEER_SOCKET_QUEUE 10000 /* messages that wait for one peer */

typedef struct peer_socket peer_socket_t;

typedef void (*peer_receive_t)(void *context, const char *data, size_t size);

/**
 * peer_socket_create() - Binds the ROUTER.
 * @key: 40 characters of Z85, or empty for no authentication
 *
 * Return: NULL when the address or the key cannot be used.
 */
peer_socket_t *peer_socket_create(struct ev_loop *loop, const char *address,
    const char *key, peer_receive_t receive, void *context);
void peer_socket_destroy(peer_socket_t *socket);

/** peer_socket_connect() - Connects to a peer, or reconnects elsewhere. */
void peer_socket_connect(
    peer_socket_t *socket, const char *node, const char *address);

/** peer_socket_disconnect() - Forgets a peer. */
void peer_socket_disconnect(peer_socket_t *socket, const char *node);

/**
 * peer_socket_send() - Queues one message.
 *
 * Return: 0, BW_E_NOT_FOUND for an unknown peer, or BW_E_IO when the peer is
 * not connected or its queue is full; then nothing was sent.
 */
int peer_socket_send(
    peer_socket_t *socket, const char *node, const char *data, size_t size);

/** peer_socket_is_authenticated() - Whether a key is in use. */
bool peer_socket_is_authenticated(const peer_socket_t *socket);

/** peer_socket_bytes() - Bytes sent and received since creation. */
void peer_socket_bytes(
    const peer_socket_t *socket, uint64_t *sent, uint64_t *received);

#endif
