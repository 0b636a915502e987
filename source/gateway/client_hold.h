#ifndef CLIENT_HOLD_H
#define CLIENT_HOLD_H

#include "../http/http_message.h"
#include "bulrushwell/buffer.h"

/**
 * DOC: What one client makes this process hold
 *
 * The head and body of its request, the bytes that wait behind it, and the
 * bytes that wait to be sent. Room is charged before the bytes are stored and
 * settled afterwards, so that the account is never exceeded. All bytes come and
 * go through these functions.
 */

typedef struct {
	http_message_t request;
	buffer_t pending; /* bytes after the current request */
	buffer_t output;
	size_t output_sent;  /* bytes of output that were sent */
	size_t held;	     /* charged to the account */
	size_t kernel_bytes; /* unsent bytes in the kernel, when last counted */
	size_t fixed_bytes;  /* of the client itself */
} client_hold_t;

/**
 * client_hold_open() - Charges the client itself.
 * @fixed_bytes: of the structures of the client
 *
 * Return: false when there is no room; nothing is held then.
 */
bool client_hold_open(client_hold_t *hold, size_t fixed_bytes);

/** client_hold_close() - Frees everything and returns the charge. */
void client_hold_close(client_hold_t *hold);

/**
 * client_hold_reserve() - Charges room for more bytes, before they are stored.
 * @received: bytes of the request, or behind it
 * @queued: bytes to send
 *
 * Return: false, without effect, when there is no room.
 */
bool client_hold_reserve(client_hold_t *hold, size_t received, size_t queued);

/** client_hold_settle() - Charges what is held after all. */
void client_hold_settle(client_hold_t *hold);

/** client_hold_sent() - Records that @bytes of the output were sent. */
void client_hold_sent(client_hold_t *hold, size_t bytes);

/** client_hold_unsent() - Bytes of the output that were not sent. */
size_t client_hold_unsent(const client_hold_t *hold);

/** client_hold_count_kernel() - Charges the bytes that the kernel holds of what
 * was sent; if there is no room, as before. */
void client_hold_count_kernel(client_hold_t *hold, size_t bytes);

#endif
