#ifndef TESTS_LIB_PLAIN_SERVER_H
#define TESTS_LIB_PLAIN_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: A stand-in of an upstream server that controls every byte it sends
 *
 * Answers each request with records of its own and the headers of the
 * platform. Faults apply to the next requests, then it answers well again. A
 * request whose path holds "crash" ends all connections, and new ones are
 * refused for a while.
 */

typedef enum {
	PLAIN_ANSWER,
	PLAIN_SHED,	      /* 503, marked as not run */
	PLAIN_FAIL,	      /* 500 after it ran */
	PLAIN_OVERLOADED,     /* 503 without the mark: it may have run */
	PLAIN_MISDIRECTED,    /* 421: another server has the address */
	PLAIN_RESET,	      /* runs it and closes without an answer */
	PLAIN_TRUNCATE,	      /* closes in the middle of the body */
	PLAIN_UNFRAMED,	      /* no length; the body ends with the connection */
	PLAIN_UNFRAMED_RESET, /* as above, but reset in the middle */
	PLAIN_GARBAGE,	      /* bytes that are no response */
	PLAIN_EXTRA,	      /* a second response after the first, later */
	PLAIN_INTERIM,	      /* an interim response before the final one */
	PLAIN_ENCODED,	      /* a Content-Encoding that nobody asked for */
	PLAIN_HANG,	      /* reads it and never answers */
	PLAIN_CRASH	      /* refuses connections for a while */
} plain_fault_t;

typedef struct plain_server plain_server_t;

typedef struct {
	uint32_t arrivals;
	uint32_t runs;
	uint32_t crashes;
	uint32_t left; /* connections that ended while a request hung */
	int64_t last_deadline_ms;
	char last_head[2048];
	char last_body[2048];
} plain_record_t;

/** plain_server_create() - Listens on a free port of 127.0.0.1. */
plain_server_t *plain_server_create(const char *id);
void plain_server_destroy(plain_server_t *server);

const char *plain_server_id(const plain_server_t *server);
const char *plain_server_address(const plain_server_t *server);

/** plain_server_fault() - The next @count requests meet @fault. */
void plain_server_fault(
    plain_server_t *server, plain_fault_t fault, uint32_t count);

/** plain_server_delay() - Each answer takes this long. */
void plain_server_delay(plain_server_t *server, int ms);

/** plain_server_runs() - How often it ran the request of that id. */
uint32_t plain_server_runs(plain_server_t *server, const char *request_id);

void plain_server_read(plain_server_t *server, plain_record_t *record);

#endif
