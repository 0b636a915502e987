#ifndef STAGE_H
#define STAGE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: Stand-ins for the cases of the review
 *
 * A case is one program that plays the platform's store, the servers and the
 * clients in threads of its own, and starts the gateways as processes, with the
 * command of deploy/system.toml. Everything listens on loopback addresses that
 * are drawn anew for each run. What happens is written to record.txt.
 */

#define STAGE_MAX_GATEWAYS 8
#define STAGE_HOST "reels.example"

/** Exit codes of a case. */
enum { STAGE_HELD = 0, STAGE_BROKEN = 1, STAGE_NOT_RUN = 2 };

/**
 * stage_open() - Reads the command of the gateway and opens record.txt.
 * @folder: of the case
 *
 * Ends the process with STAGE_NOT_RUN when that fails.
 */
void stage_open(const char *folder);

/** stage_trouble() - False when TROUBLE=0: the disruption is left out. */
bool stage_trouble(void);

/** stage_close() - Kills the gateways, then ends the process. */
void stage_close(int code) __attribute__((noreturn));

/** stage_seconds() - Time since stage_open(). */
double stage_seconds(void);
void stage_sleep(double seconds);

/** stage_record() - Writes a line with the time to record.txt. */
void stage_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/** stage_thread() - Starts a detached thread. */
void stage_thread(void *(*run)(void *), void *context);

/* Messages */

/** typedef stage_message_t - A request or a response. */
typedef struct {
	char *head; /* start line and headers, each ends with CR LF */
	char *body;
	size_t body_size;
	size_t length; /* stated by Content-Length */
} stage_message_t;

/** typedef stage_connection_t - A connection with what was read ahead. */
typedef struct {
	int fd;
	char *data;
	size_t size;
} stage_connection_t;

/** stage_connect() - Return: false when there is no connection. */
bool stage_connect(
    const struct sockaddr_in *address, stage_connection_t *connection);
void stage_disconnect(stage_connection_t *connection);

/** stage_reset() - Closes the connection with a reset. */
void stage_reset(stage_connection_t *connection);

/** stage_read_head() - Reads the start line and the headers. */
bool stage_read_head(stage_connection_t *connection, stage_message_t *message);

/** stage_read_body() - Reads the rest of the message. */
bool stage_read_body(stage_connection_t *connection, stage_message_t *message);
void stage_message_free(stage_message_t *message);

/** stage_header() - Copies the value of a header; "" without it. */
void stage_header(
    const stage_message_t *message, const char *name, char *value, size_t size);

/** stage_status() - Status of a response. */
int stage_status(const stage_message_t *message);

/** stage_drain() - Reads and drops all until the other side closes. */
void stage_drain(stage_connection_t *connection);

bool stage_send(stage_connection_t *connection, const void *data, size_t size);
bool stage_send_text(stage_connection_t *connection, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* The platform's store */

void store_start(void);

/** store_put() - Writes an object. @spec: JSON text */
void store_put(const char *kind, const char *name, const char *spec);

/** store_remove() - Removes an object. */
void store_remove(const char *kind, const char *name);

/** store_put_server() - Writes the entry of a server. */
void store_put_server(const char *id, const char *service,
    const struct sockaddr_in *address, const char *state);

/**
 * store_set_silent() - While it is silent, calls that arrive get no answer, and
 * nothing further comes on their connections. Calls that wait are answered
 * later.
 */
void store_set_silent(bool silent);

/* Servers */

/**
 * typedef server_handler_t - Serves one request whose head has been read.
 *
 * Return: false when the connection was closed or is to be closed.
 */
typedef bool (*server_handler_t)(const char *server,
    stage_connection_t *connection, stage_message_t *request);

/**
 * server_start() - Starts a server with a thread for each connection.
 * @segment: largest TCP segment that it accepts, in bytes, with a small receive
 * window, as on a network; 0: the large ones of loopback
 */
void server_start(const char *id, server_handler_t handler, int segment,
    struct sockaddr_in *address);

/** server_stop() - Closes the listener and the connections of a server. */
void server_stop(const char *id);

/* Gateways */

/**
 * gateway_start() - Starts a gateway, on the addresses of its first start.
 * The first three are in zone-a, the next three in zone-b.
 *
 * Its log goes to the folder in GATEWAY_LOGS, or nowhere.
 */
void gateway_start(unsigned index);
void gateway_kill(unsigned index);

/** gateway_wait_ready() - Return: false when it is not ready in time. */
bool gateway_wait_ready(unsigned index, double seconds);
const struct sockaddr_in *gateway_clients(unsigned index);

#endif
