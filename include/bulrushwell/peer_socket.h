#ifndef BULRUSHWELL_PEER_SOCKET_H
#define BULRUSHWELL_PEER_SOCKET_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Peer sockets on ZeroMQ and libev
 *
 * One ROUTER socket receives from all peers; one DEALER socket per peer sends.
 * Nothing here blocks: a message that cannot be queued for a connected peer is
 * refused. With a key, CURVE admits only processes that have the same key.
 */
#define PEER_SOCKET_MAX_MESSAGE 8388608 /* bytes */
#define PEER_SOCKET_QUEUE 10000		/* messages for one peer */

typedef struct peer_socket peer_socket_t;

/** typedef peer_receive_t - Called for each message; @data is borrowed. */
typedef void (*peer_receive_t)(void *context, const char *data, size_t size);

/**
 * peer_socket_create() - Listens for messages of peers.
 * @address: numeric "IP:PORT"
 * @key: CURVE secret key that all nodes share, 40 characters of Z85; empty for
 *     no authentication
 *
 * Return: NULL when the address or the key cannot be used.
 */
peer_socket_t *peer_socket_create(struct ev_loop *loop, const char *address,
    const char *key, peer_receive_t receive, void *context);

/** peer_socket_destroy() - Closes; sends queued messages for up to 500 ms. */
void peer_socket_destroy(peer_socket_t *socket);

/**
 * peer_socket_connect() - Connects to a peer in the background. Replaces an
 * earlier connection to the same node.
 */
void peer_socket_connect(
    peer_socket_t *socket, const char *node, const char *address);

/** peer_socket_disconnect() - Closes the connection; drops queued messages. */
void peer_socket_disconnect(peer_socket_t *socket, const char *node);

/**
 * peer_socket_send() - Queues one message.
 *
 * Return: 0, BW_E_NOT_FOUND for an unknown peer, or BW_E_IO when the peer is
 * not connected or its queue is full; then nothing was sent.
 */
int peer_socket_send(
    peer_socket_t *socket, const char *node, const char *data, size_t size);

/** peer_socket_is_authenticated() - Whether a key authenticates peers. */
bool peer_socket_is_authenticated(const peer_socket_t *socket);

/** peer_socket_bytes() - Bytes of messages queued and received so far. */
void peer_socket_bytes(
    const peer_socket_t *socket, uint64_t *sent, uint64_t *received);

#endif
