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
 * One listening socket with a thread for each connection, so a handler may
 * block. Connections can be made silent, and a server can close everything at
 * once as a crash does.
 */
#define FAKE_MAX_HEADERS 8

typedef struct fake_server fake_server_t;
typedef struct fake_connection fake_connection_t;

typedef struct {
	const char *method;
	const char *path;
	slice_t body;
	fake_connection_t *connection;
	bool first; /* of its connection */
	void *mhd;  /* struct MHD_Connection */
} fake_request_t;

typedef struct {
	int status; /* 0 closes the connection without an answer */
	GString *body;
	size_t cut; /* bytes of the body withheld before closing */
	struct {
		const char *name;
		char value[128];
	} headers[FAKE_MAX_HEADERS];
	size_t header_count;
} fake_reply_t;

typedef void (*fake_handler_t)(
    void *context, const fake_request_t *request, fake_reply_t *reply);

typedef struct {
	uint32_t open;
	uint32_t max_open;
	uint64_t made;
	uint64_t refused; /* over the cap */
} fake_connection_counts_t;

/**
 * fake_server_create() - A server that does not listen yet.
 * @max_body: a larger request body is answered with 413
 * @max_connections: further connections are closed; 0 for no cap
 */
fake_server_t *fake_server_create(const char *address, fake_handler_t handler,
    void *context, size_t max_body, uint32_t max_connections);

/** fake_server_destroy() - Stops and frees a server. */
void fake_server_destroy(fake_server_t *server);

/** fake_server_start() - Listens; false when the address is not available. */
bool fake_server_start(fake_server_t *server);

/**
 * fake_server_stop() - Closes the listening socket and all connections, and
 * waits for the handlers. Not to be called by a handler of the same server.
 */
void fake_server_stop(fake_server_t *server);

/** fake_server_crash() - As fake_server_stop(), for a handler of the server. */
void fake_server_crash(fake_server_t *server);

/** fake_server_is_stopping() - Handlers give up their work when it is set. */
bool fake_server_is_stopping(fake_server_t *server);

/**
 * fake_server_silence() - Connections open now never answer again.
 * @except: the connection that carries the order, or NULL
 */
void fake_server_silence(
    fake_server_t *server, const fake_connection_t *except);

/** fake_server_wake_all() - Ends fake_connection_wait() of all handlers. */
void fake_server_wake_all(fake_server_t *server);

void fake_server_get_counts(
    fake_server_t *server, fake_connection_counts_t *counts);

/** fake_connection_wait() - Waits for a wake-up, at most until @until. */
void fake_connection_wait(fake_connection_t *connection, usec_t until);

/** fake_connection_sleep() - Waits until @until or the server stops. */
void fake_connection_sleep(fake_connection_t *connection, usec_t until);

void fake_connection_wake(fake_connection_t *connection);

/** fake_request_header() - A header's value, or NULL. */
const char *fake_request_header(
    const fake_request_t *request, const char *name);

/** fake_request_argument() - A query argument's value, or NULL. */
const char *fake_request_argument(
    const fake_request_t *request, const char *name);

bool fake_request_is(
    const fake_request_t *request, const char *method, const char *path);

/** fake_reply_header() - @name must be a constant. */
void fake_reply_header(fake_reply_t *reply, const char *name,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

/** fake_reply_text() - Sets status and JSON text. */
void fake_reply_text(fake_reply_t *reply, int status, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** fake_reply_json() - Sets status and body, and drops @value. */
void fake_reply_json(fake_reply_t *reply, int status, json_t *value);

/** fake_read_bool(), fake_read_int() - Replace @value if the field is given. */
void fake_read_bool(const json_t *object, const char *name, bool *value);
void fake_read_int(const json_t *object, const char *name, int64_t *value);

/**
 * fake_main_begin() - Call before any thread starts.
 * fake_main_run() - Prints "ready" and ends the process on SIGTERM.
 */
void fake_main_begin(void);
void fake_main_run(void) __attribute__((noreturn));

#endif
