#ifndef TESTS_LIB_OBJECT_STORE_H
#define TESTS_LIB_OBJECT_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: A stand-in of the platform's store, with lists, watches and faults
 */

typedef enum {
	STORE_SERVING,
	STORE_BUSY,    /* 503 */
	STORE_CLOSING, /* closes without an answer */
	STORE_SILENT   /* reads and never answers; the call stays lost */
} store_fault_t;

typedef struct object_store object_store_t;

/** object_store_create() - Pages hold @page objects. */
object_store_t *object_store_create(uint32_t page);
void object_store_destroy(object_store_t *store);

const char *object_store_address(const object_store_t *store);

/** object_store_put() - Writes an object; takes over @spec. */
void object_store_put(
    object_store_t *store, const char *kind, const char *name, json_t *spec);

void object_store_remove(
    object_store_t *store, const char *kind, const char *name);

void object_store_fault(object_store_t *store, store_fault_t fault);

/** object_store_compact() - Forgets history and ends all watches. */
void object_store_compact(object_store_t *store);

/** object_store_forget() - Forgets history; watches that wait go on waiting. */
void object_store_forget(object_store_t *store);

/** object_store_calls() - Calls so far. */
uint64_t object_store_call_count(object_store_t *store);

/** object_store_polls() - Watches that were to wait for a second or more. */
uint32_t object_store_polls(object_store_t *store, const char *kind);

/** object_store_watches() - Watches that wait now, of a kind. */
uint32_t object_store_watches(object_store_t *store, const char *kind);

#endif
