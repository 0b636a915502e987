#ifndef BULRUSHWELL_CATALOGUE_H
#define BULRUSHWELL_CATALOGUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/name.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Catalogue of services and index versions
 *
 * Holds the latest valid service and index objects of the platform. Formats:
 *
 * service: {"service", "slots", "connections", "servers": [{"server",
 * "address", "incarnation", "data_centre", "state": "live"|"leaving"}]}
 *
 * index: {"index", "current", "versions": [{"version", "shards":
 * [SERVICE, ...]}]}; a shard's number is its position in the array. A published
 * version is immutable: an object is refused when it lists a version of the
 * stored object with other shards.
 */
#define CATALOGUE_MAX_SERVERS 64  /* per service */
#define CATALOGUE_MAX_SHARDS 4096 /* per index version */
#define CATALOGUE_MAX_VERSIONS 16 /* per index */
#define CATALOGUE_MAX_SERVICES 4096
#define CATALOGUE_MAX_INDEXES 1024
#define CATALOGUE_MAX_SLOTS 10000	 /* per server */
#define CATALOGUE_MAX_CONNECTIONS 100000 /* per server */

/** Bytes of the largest object that the platform stores. */
#define CATALOGUE_MAX_OBJECT_SIZE 1048576

/** typedef server_spec_t - One server of a service, as listed. */
typedef struct {
	name_t server;
	address_t address;
	name_t incarnation;
	name_t data_centre;
	bool leaving; /* state "leaving": gets no new requests */
} server_spec_t;

/** typedef service_t - A service and its limits. */
typedef struct {
	name_t service;
	uint64_t version;     /* of the platform object */
	uint32_t slots;	      /* concurrent requests per server */
	uint32_t connections; /* connections per server */
	uint32_t server_count;
	server_spec_t servers[CATALOGUE_MAX_SERVERS];
} service_t;

/** typedef shard_map_t - One published index version; immutable. */
typedef struct shard_map shard_map_t;

/** shard_map_ref() - Takes another reference; NULL is allowed. */
shard_map_t *shard_map_ref(shard_map_t *map);

/** shard_map_unref() - Releases a reference; NULL is allowed. */
void shard_map_unref(shard_map_t *map);

/** shard_map_index() - The name of the index, borrowed. */
const char *shard_map_index(const shard_map_t *map);

uint64_t shard_map_version(const shard_map_t *map);

/** shard_map_count() - The number of shards. */
uint32_t shard_map_count(const shard_map_t *map);

/**
 * shard_map_service() - The service that holds a shard.
 *
 * Return: its name, borrowed, or NULL when there is no such shard. Shards of
 * the same service return the same pointer.
 */
const char *shard_map_service(const shard_map_t *map, uint32_t shard);

typedef struct catalogue catalogue_t;

catalogue_t *catalogue_create(void);
void catalogue_destroy(catalogue_t *catalogue);

/**
 * catalogue_adopt_service(), catalogue_adopt_index() - Validate a version of a
 * platform object and store it in place of the one before.
 * @name: the object's name, which the text must state as well
 * @text: the object as JSON
 * @version: the object's version; an index object lists versions of its own
 * @message: set to the reason of BW_E_INVALID and BW_E_FULL
 *
 * Return: 0, BW_E_STALE when @version is not higher than the stored one,
 * BW_E_INVALID or BW_E_FULL.
 */
int catalogue_adopt_service(catalogue_t *catalogue, const char *name,
    slice_t text, uint64_t version, char *message, size_t message_size);
int catalogue_adopt_index(catalogue_t *catalogue, const char *name,
    slice_t text, uint64_t version, char *message, size_t message_size);

/**
 * catalogue_find_service() - A service by its name, or NULL.
 *
 * Borrowed until the next catalogue_adopt_service().
 */
const service_t *catalogue_find_service(
    const catalogue_t *catalogue, const char *name);

/**
 * catalogue_current_map() - The shard map of the current version of an index,
 * or NULL.
 *
 * Borrowed until the next catalogue_adopt_index(); a reference from
 * shard_map_ref() keeps it for longer.
 */
shard_map_t *catalogue_current_map(
    const catalogue_t *catalogue, const char *index);

size_t catalogue_service_count(const catalogue_t *catalogue);

/**
 * catalogue_service_at(), catalogue_index_at() - An element in the order of the
 * names, borrowed; NULL past the end.
 */
const service_t *catalogue_service_at(
    const catalogue_t *catalogue, size_t position);
size_t catalogue_index_count(const catalogue_t *catalogue);
const char *catalogue_index_at(const catalogue_t *catalogue, size_t position);

#endif
