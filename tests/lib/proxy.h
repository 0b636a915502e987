#ifndef TESTS_LIB_PROXY_H
#define TESTS_LIB_PROXY_H

#include <stdbool.h>

#include "bulrushwell/name.h"

/**
 * DOC: TCP proxy
 *
 * Forwards the connections to its own address to a target address in a thread
 * of the test program, and simulates network failures between them. A node
 * tells its peers the address that it listens on; the proxy replaces such
 * addresses in the forwarded bytes, so that the peers keep using their proxies.
 */
typedef struct proxy proxy_t;

/**
 * typedef proxy_mode_t - What a proxy does with its connections.
 *
 * Bytes that were held are forwarded when the mode allows it again.
 */
typedef enum {
	PROXY_PASS,	     /* forwards everything */
	PROXY_HOLD_ANSWERS,  /* does not forward the target's bytes */
	PROXY_HOLD_REQUESTS, /* does not forward the clients' bytes */
	PROXY_HOLD,	     /* forwards nothing in either direction */
	PROXY_DROP	     /* closes all connections, new ones at once */
} proxy_mode_t;

/**
 * proxy_create() - Starts a proxy in mode PROXY_PASS.
 * @target: address that it connects to
 * @address: set to the address that it listens on
 *
 * Return: the proxy, to be freed with proxy_destroy().
 */
proxy_t *proxy_create(const char *target, address_t address);

/**
 * proxy_replace_text() - Replaces @from by @to in the forwarded bytes.
 *
 * Both have the same length. To be called before the first connection.
 */
void proxy_replace_text(proxy_t *proxy, const char *from, const char *to);

/** proxy_set_mode() - Changes the mode; may be called at any time. */
void proxy_set_mode(proxy_t *proxy, proxy_mode_t mode);

/** proxy_destroy() - Closes all connections, stops the thread and frees it. */
void proxy_destroy(proxy_t *proxy);

#endif
