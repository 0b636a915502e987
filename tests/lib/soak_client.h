#ifndef TESTS_LIB_SOAK_CLIENT_H
#define TESTS_LIB_SOAK_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/name.h"

/**
 * DOC: A client of the soak: keeps its connections open and judges each answer
 *
 * It sends fan-out, idempotent and non-idempotent requests to one address after
 * the other, as long as the connection lasts, and records each id with its
 * status. Broken promises are counted and described.
 */

typedef struct {
	address_t addresses[8];
	int address_count;
	uint32_t seed;
	uint32_t client;
	int shards; /* of the fan-out route */
} soak_client_settings_t;

typedef struct {
	char id[32];
	int status; /* 0: no answer */
	bool once;  /* not idempotent */
} soak_request_t;

typedef struct soak_client soak_client_t;

soak_client_t *soak_client_start(const soak_client_settings_t *settings);

/** soak_client_stop() - Ends it after its present request. */
void soak_client_stop(soak_client_t *client);

/** soak_client_requests() - Of soak_request_t, after the stop. */
const GArray *soak_client_requests(const soak_client_t *client);

/** soak_client_fault() - The first broken promise, or NULL. */
const char *soak_client_fault(const soak_client_t *client);
uint32_t soak_client_answered(const soak_client_t *client);
void soak_client_destroy(soak_client_t *client);

#endif
