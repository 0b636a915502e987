#ifndef TESTS_LIB_OBJECT_STORE_H
#define TESTS_LIB_OBJECT_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Stand-in for the platform's store
 *
 * Serves paged lists, long-polling watches and writes over HTTP, keeps the
 * objects in memory and can be made to fail. All functions may be called from
 * any thread.
 */

typedef enum {
	STORE_SERVING,
	STORE_HOLDING_WATCHES, /* watches wait, whatever has changed */
	/* Long polls received meanwhile get no response, now or later. */
	STORE_LOSING_POLLS,
	/* Long polls report a change 200 ms later than other calls. */
	STORE_REPORTING_LATE,
	STORE_BUSY,		    /* responds with status 503 */
	STORE_REFUSING_EVACUATIONS, /* the same to calls of that kind only */
	STORE_CLOSING, /* closes the connection without a response */
	/* Does not respond; calls received meanwhile get no response later. */
	STORE_SILENT
} store_fault_t;

typedef struct object_store object_store_t;

/**
 * object_store_create() - Starts an empty store on a free port of 127.0.0.1.
 * @page_size: maximum number of objects in a response to a list call
 */
object_store_t *object_store_create(uint32_t page_size);
void object_store_destroy(object_store_t *store);

/** object_store_address() - IP:PORT, valid until the store is destroyed. */
const char *object_store_address(const object_store_t *store);

/** object_store_lost_polls() - Long polls that STORE_LOSING_POLLS has lost. */
uint32_t object_store_lost_polls(object_store_t *store, const char *kind);

/** object_store_put() - Creates or changes an object; takes over @spec. */
void object_store_put(
    object_store_t *store, const char *kind, const char *name, json_t *spec);

/**
 * object_store_put_text() - Like object_store_put(), for an object of another
 * writer whose specification is sent as @text, JSON or not.
 */
void object_store_put_text(object_store_t *store, const char *kind,
    const char *name, const char *text);

/** object_store_has() - Whether the object exists. */
bool object_store_has(
    object_store_t *store, const char *kind, const char *name);

/** object_store_remove() - Removes an object, if it exists. */
void object_store_remove(
    object_store_t *store, const char *kind, const char *name);

/** object_store_set_fault() - Sets the fault of all calls from now on. */
void object_store_set_fault(object_store_t *store, store_fault_t fault);

/** object_store_compact() - Drops the history and ends all watches with 410. */
void object_store_compact(object_store_t *store);

/**
 * object_store_drop_history() - Drops the history for new watches only; watches
 * that already wait are not ended.
 */
void object_store_drop_history(object_store_t *store);

/**
 * object_store_freeze_old() - From now on, lists that may be old show the
 * objects of this moment, page by page, at this revision.
 */
void object_store_freeze_old(object_store_t *store);

/**
 * object_store_state_era() - From now on, all answers state an era, in the
 * header Store-Era. Before, and with NULL, they state none.
 * @text: the header's value instead of the era's number, valid for good; ""
 * for the number
 */
void object_store_state_era(object_store_t *store, const char *text);

/** object_store_copy() - Keeps a copy for object_store_restore(). */
void object_store_copy(object_store_t *store);

/**
 * object_store_begin_restore() - The store is replaced by its copy, in a new
 * era. Ends all calls without a response and refuses further ones until its
 * fault is set again. What was written since the copy is gone; a watch from a
 * later revision gets 410.
 */
void object_store_begin_restore(object_store_t *store);

/** object_store_restore() - The same; the store is back after @away_ms. */
void object_store_restore(object_store_t *store, int away_ms);

/** object_store_hide_news() - From now on, or no longer, watches that may be
 * old report no changes. */
void object_store_hide_news(object_store_t *store, bool hide);

/** object_store_list_count() - Number of list calls of a kind since the start
 * that may not be old. */
uint32_t object_store_list_count(object_store_t *store, const char *kind);

/** object_store_write_count() - Number of write calls of a kind since the
 * start, refused ones included. */
uint32_t object_store_write_count(object_store_t *store, const char *kind);

/** object_store_call_count() - Number of calls since the start. */
uint64_t object_store_call_count(object_store_t *store);

/**
 * object_store_poll_count() - Number of long polls of a kind since the start;
 * watches with a wait of less than 900 ms are not counted.
 */
uint32_t object_store_poll_count(object_store_t *store, const char *kind);

/** object_store_watch_count() - Number of watches of a kind that wait now. */
uint32_t object_store_watch_count(object_store_t *store, const char *kind);

#endif
