#ifndef BULRUSHWELL_PLATFORM_CLIENT_H
#define BULRUSHWELL_PLATFORM_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/http_client.h"
#include "bulrushwell/membership.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Client of the platform's object API
 *
 * Reads, conditional writes, one long-polling watch and the VM list. A failed
 * watch is followed by a fresh read of everything, on a new connection.
 */
#define PLATFORM_WATCH_WAIT_MS 4000	/* longest time a watch waits */
#define PLATFORM_WATCH_MARGIN_MS 1000 /* beyond it, the watch is lost */
#define PLATFORM_RETRY_DELAY_MS 300	/* between reads during an outage */
#define PLATFORM_CALL_TIMEOUT_MS 1500	/* for a read or a write */
#define PLATFORM_VM_POLL_INTERVAL_MS 2000	/* between reads of the VM list */
#define PLATFORM_MAX_REPLY_BYTES 67108864

typedef enum {
	PLATFORM_OK,
	PLATFORM_ABSENT,   /* read: no such object */
	PLATFORM_CONFLICT, /* write: another version is stored */
	PLATFORM_REFUSED,  /* certain: nothing was applied */
	PLATFORM_LOST	   /* unknown whether a write was applied */
} platform_result_t;

/** typedef platform_object_t - One object; text is JSON, borrowed. */
typedef struct {
	const char *kind;
	const char *name;
	uint64_t version;
	slice_t text;
} platform_object_t;

/** typedef platform_events_t - What the client reports. */
typedef struct {
	void *context;
	void (*object)(void *context, const platform_object_t *object);
	void (*vms)(void *context, const vm_entry_t *vms, size_t count);
	/* After every answer of the platform, and after every failed call. */
	void (*heard)(void *context);
	void (*failed)(void *context);
	/* The first complete read after a start or a loss has been reported. */
	void (*synced)(void *context);
} platform_events_t;

/** typedef platform_done_t - End of one read or write; @text with PLATFORM_OK
 * of a read. */
typedef void (*platform_done_t)(
    void *context, platform_result_t result, uint64_t version, slice_t text);

/**
 * typedef platform_reply_t - Who is told of the end of a call.
 * @free_context: frees @context after @done, or without it when the client's
 * connections are destroyed; NULL: @context is not owned
 */
typedef struct {
	platform_done_t done;
	void *context;
	void (*free_context)(void *context);
} platform_reply_t;

typedef struct platform_client platform_client_t;

/**
 * platform_client_create() - Begins to watch.
 * @kinds: comma-separated kinds to watch
 */
platform_client_t *platform_client_create(struct ev_loop *loop,
    http_client_t *http, const char *address, const char *kinds,
    const platform_events_t *events);
void platform_client_destroy(platform_client_t *client);

/** platform_read() - Reads one object. */
void platform_read(platform_client_t *client, const char *kind,
    const char *name, const platform_reply_t *completion);

/**
 * platform_write() - Conditional update.
 * @version: the version expected; 0 creates
 */
void platform_write(platform_client_t *client, const char *kind,
    const char *name, uint64_t version, slice_t text,
    const platform_reply_t *completion);

/** platform_calls() - Calls made since creation, a watch as one. */
uint64_t platform_calls(const platform_client_t *client);

#endif
