#ifndef FAKES_LIB_FAKE_HTTP_H
#define FAKES_LIB_FAKE_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"
#include "bulrushwell/slice.h"

/**
 * DOC: HTTP server of the stand-ins
 *
 * A server has one listening socket and a thread for each connection, so a
 * handler may block. To simulate failures, open connections can be made to stop
 * answering, and a server can close all connections at once, as in a crash.
 */
#define FAKE_MAX_HEADERS 8

typedef struct fake_server fake_server_t;
typedef struct fake_connection fake_connection_t;

/** typedef fake_request_t - A request; valid while its handler runs. */
typedef struct {
	const char *method;
	const char *path;
	slice_t body;
	fake_connection_t *connection;
	bool first_on_connection;
	void *mhd; /* struct MHD_Connection */
} fake_request_t;

/** typedef fake_reply_t - Filled in by a handler; 200 and empty by default. */
typedef struct {
	int status; /* 0 closes the connection without an answer */
	GString *body;
	size_t withheld_bytes; /* last bytes of body, not sent; then closes */
	struct {
		const char *name;
		char value[128];
	} headers[FAKE_MAX_HEADERS];
	size_t header_count;
} fake_reply_t;

typedef void (*fake_handler_t)(
    void *context, const fake_request_t *request, fake_reply_t *reply);

/** typedef fake_connection_counts_t - Connections of one server. */
typedef struct {
	uint32_t open;
	uint32_t max_open;
	uint64_t opened;
	uint64_t refused; /* over the limit */
} fake_connection_counts_t;

/**
 * fake_server_create() - Creates a server that does not listen yet.
 * @address: "IP:PORT"
 * @handler: runs on the thread of the connection and may block
 * @context: passed to @handler; not owned
 * @max_body: in bytes; a larger request body is answered with 413
 * @max_connections: further connections are closed; 0 for no limit
 *
 * Return: a server to be freed with fake_server_destroy().
 */
fake_server_t *fake_server_create(const char *address, fake_handler_t handler,
    void *context, size_t max_body, uint32_t max_connections);

/** fake_server_destroy() - Stops and frees a server. */
void fake_server_destroy(fake_server_t *server);

/**
 * fake_server_start() - Listens; no effect on a server that is running.
 *
 * Return: false when the address is not available.
 */
bool fake_server_start(fake_server_t *server);

/**
 * fake_server_stop() - Closes the listening socket and all connections, and
 * waits for the handlers to return. A handler of the same server must call
 * fake_server_crash() instead.
 */
void fake_server_stop(fake_server_t *server);

/**
 * fake_server_crash() - Like fake_server_stop(), but for a handler of the
 * server: returns at once and stops the server on another thread.
 */
void fake_server_crash(fake_server_t *server);

/** fake_server_is_stopping() - True when handlers must return at once. */
bool fake_server_is_stopping(fake_server_t *server);

/**
 * fake_server_silence() - Makes all open connections stop answering for good.
 * @except: a connection that still answers, or NULL
 */
void fake_server_silence(
    fake_server_t *server, const fake_connection_t *except);

/** fake_server_wake_all() - Wakes fake_connection_wait() in all handlers. */
void fake_server_wake_all(fake_server_t *server);

/** fake_server_get_counts() - Copies the counts to @counts. */
void fake_server_get_counts(
    fake_server_t *server, fake_connection_counts_t *counts);

/**
 * fake_connection_wait() - Waits until woken, until the peer closes the
 * connection, or until @deadline of the monotonic clock.
 */
void fake_connection_wait(fake_connection_t *connection, usec_t deadline);

/** fake_connection_sleep() - Waits until @deadline or a stop of the server. */
void fake_connection_sleep(fake_connection_t *connection, usec_t deadline);

/** fake_connection_wake() - Ends a current or the next wait of @connection. */
void fake_connection_wake(fake_connection_t *connection);

/** fake_request_header() - Returns a header's value, or NULL. */
const char *fake_request_header(
    const fake_request_t *request, const char *name);

/** fake_request_argument() - Returns a URL query argument, or NULL. */
const char *fake_request_argument(
    const fake_request_t *request, const char *name);

/** fake_request_is() - True when @request has this method and path. */
bool fake_request_is(
    const fake_request_t *request, const char *method, const char *path);

/**
 * fake_reply_add_header() - Adds a header; at most FAKE_MAX_HEADERS.
 * @name: a constant string; it is not copied
 */
void fake_reply_add_header(fake_reply_t *reply, const char *name,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

/** fake_reply_text() - Sets status and body; @format gives JSON text. */
void fake_reply_text(fake_reply_t *reply, int status, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** fake_reply_json() - Sets status and body; releases @value. */
void fake_reply_json(fake_reply_t *reply, int status, json_t *value);

/**
 * fake_read_bool() - Sets @value when field @name is a boolean.
 * fake_read_int() - Sets @value when field @name is a number; drops fractions.
 */
void fake_read_bool(const json_t *object, const char *name, bool *value);
void fake_read_int(const json_t *object, const char *name, int64_t *value);

/**
 * fake_main_init() - Blocks SIGTERM and SIGINT and raises the limit of open
 * files. To be called before any thread starts.
 * fake_main_run() - Prints "ready" and ends the process at SIGTERM or SIGINT.
 */
void fake_main_init(void);
void fake_main_run(void) __attribute__((noreturn));

#endif
