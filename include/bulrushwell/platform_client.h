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
 * Reads and conditionally writes single objects, follows changes with one long
 * poll, and polls the VM list. After a failed poll all watched objects are read
 * again on a new connection.
 */
#define PLATFORM_WATCH_WAIT_MS 4000	  /* longest wait of a long poll */
#define PLATFORM_WATCH_MARGIN_MS 1000	  /* added to it for the timeout */
#define PLATFORM_RETRY_DELAY_MS 300	  /* after a failed watch */
#define PLATFORM_CALL_TIMEOUT_MS 1500	  /* of a read or a write */
#define PLATFORM_VM_POLL_INTERVAL_MS 2000 /* between reads of the VM list */
#define PLATFORM_MAX_REPLY_BYTES 67108864

typedef enum {
	PLATFORM_OK,
	PLATFORM_NOT_FOUND, /* read: no such object */
	PLATFORM_CONFLICT,  /* write: not applied, another version is stored */
	PLATFORM_REFUSED,   /* not sent or rejected: a write was not applied */
	PLATFORM_OUTCOME_UNKNOWN /* no valid reply: a write may have been
				    applied */
} platform_result_t;

/** typedef platform_object_t - An object; text is its value as JSON. */
typedef struct {
	const char *kind;
	const char *name;
	uint64_t version;
	slice_t text;
} platform_object_t;

/** typedef platform_events_t - Callbacks; their arguments are borrowed. */
typedef struct {
	void *context;
	/* An object was listed or changed. */
	void (*object_read)(void *context, const platform_object_t *object);
	/* The complete VM list was read. */
	void (*vms_read)(void *context, const vm_entry_t *vms, size_t count);
	/* The platform answered a call. */
	void (*answered)(void *context);
	/* A watch, read or write failed. */
	void (*call_failed)(void *context);
	/*
	 * All objects have been reported, after the start or after a failed
	 * watch.
	 */
	void (*synced)(void *context);
} platform_events_t;

/**
 * typedef platform_done_t - End of a read or write.
 * @version: the object's version if @result is PLATFORM_OK, else 0
 * @text: the object's value after a successful read, borrowed; else empty
 */
typedef void (*platform_done_t)(
    void *context, platform_result_t result, uint64_t version, slice_t text);

/**
 * typedef platform_completion_t - Completion callback of a read or write.
 * @done: called once, possibly before the call that starts the operation
 * returns; not called if the HTTP client is destroyed first
 * @free_context: frees @context when the operation has ended, also without
 * @done; NULL if @context is not owned
 */
typedef struct {
	platform_done_t done;
	void *context;
	void (*free_context)(void *context);
} platform_completion_t;

typedef struct platform_client platform_client_t;

/**
 * platform_client_create() - Starts to watch objects and to poll the VM list.
 * @http: must outlive the client
 * @address: host and port of the platform; copied
 * @kinds: comma-separated kinds of objects to watch; copied
 * @events: copied
 *
 * Return: the client, to be freed with platform_client_destroy().
 */
platform_client_t *platform_client_create(struct ev_loop *loop,
    http_client_t *http, const char *address, const char *kinds,
    const platform_events_t *events);
void platform_client_destroy(platform_client_t *client);

/** platform_read() - Reads an object. */
void platform_read(platform_client_t *client, const char *kind,
    const char *name, const platform_completion_t *completion);

/**
 * platform_write() - Writes an object if its stored version is as expected.
 * @version: the expected version; 0: the object must not exist
 * @text: the new value as JSON; copied
 */
void platform_write(platform_client_t *client, const char *kind,
    const char *name, uint64_t version, slice_t text,
    const platform_completion_t *completion);

/** platform_client_call_count() - Calls since creation; each long poll counts
 * as one. */
uint64_t platform_client_call_count(const platform_client_t *client);

#endif
