#ifndef TESTS_LIB_PROXY_H
#define TESTS_LIB_PROXY_H

#include <stdbool.h>

#include "bulrushwell/name.h"

/**
 * DOC: TCP forwarder
 *
 * Forwards the connections to one address to another address in a thread of
 * the test program, and causes the failures of a network between them. A node
 * tells its peers the address that it listens on; the forwarder replaces such
 * addresses in what passes, so that the peers stay behind their forwarders.
 */
typedef struct proxy proxy_t;

typedef enum {
	PROXY_PASS,
	PROXY_HOLD_ANSWERS,  /* what the target sends is kept until PASS */
	PROXY_HOLD_REQUESTS, /* what the clients send is kept until PASS */
	PROXY_HOLD,	     /* both */
	PROXY_DROP	     /* closes all connections, and new ones at once */
} proxy_mode_t;

/** proxy_create() - Starts a forwarder to @target; sets @address. */
proxy_t *proxy_create(const char *target, address_t address);

/** proxy_replace() - Replaces a text by one of equal length; before use. */
void proxy_replace(proxy_t *proxy, const char *from, const char *to);

void proxy_set(proxy_t *proxy, proxy_mode_t mode);
void proxy_destroy(proxy_t *proxy);

#endif
