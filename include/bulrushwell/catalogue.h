#ifndef BULRUSHWELL_CATALOGUE_H
#define BULRUSHWELL_CATALOGUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/name.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Upstream services and index versions
 *
 * service: {"service", "slots", "connections", "servers": [{"server",
 * "address", "incarnation", "data_centre", "state": "live"|"leaving"}]}
 *
 * index: {"index", "current", "versions": [{"version", "shards":
 * [SERVICE, ...]}]}; a shard's number is its position. A published version is
 * immutable: an object that lists it again with other shards is refused.
 */
#define CATALOGUE_MAX_SERVERS 64
#define CATALOGUE_MAX_SHARDS 4096
#define CATALOGUE_MAX_VERSIONS 16
#define CATALOGUE_MAX_SERVICES 4096
#define CATALOGUE_MAX_INDEXES 1024
#define CATALOGUE_MAX_SLOTS 10000
#define CATALOGUE_MAX_CONNECTIONS 100000
#define CATALOGUE_MAX_TEXT 1048576 /* the largest value of the platform */

typedef struct {
	name_t server;
	address_t address;
	name_t incarnation;
	name_t data_centre;
	bool leaving;
} server_spec_t;

typedef struct {
	name_t service;
	uint64_t version;     /* of the platform object */
	uint32_t slots;	      /* running requests per server */
	uint32_t connections; /* connections per server */
	uint32_t server_count;
	server_spec_t servers[CATALOGUE_MAX_SERVERS];
} service_t;

/** typedef shard_map_t - One published index version; immutable. */
typedef struct shard_map shard_map_t;

shard_map_t *shard_map_keep(shard_map_t *map);
void shard_map_drop(shard_map_t *map);
const char *shard_map_index(const shard_map_t *map);
uint64_t shard_map_version(const shard_map_t *map);
uint32_t shard_map_count(const shard_map_t *map);

/** shard_map_service() - NULL when there is no such shard. Shards of the same
 * service give the same pointer. */
const char *shard_map_service(const shard_map_t *map, uint32_t shard);

typedef struct catalogue catalogue_t;

catalogue_t *catalogue_create(void);
void catalogue_destroy(catalogue_t *catalogue);

/**
 * catalogue_adopt_service(), catalogue_adopt_index() - Offer one version.
 * @name: the platform object's name, which must equal the text's
 *
 * Return: 0, BW_E_STALE, BW_E_INVALID (with @why) or BW_E_FULL.
 */
int catalogue_adopt_service(catalogue_t *catalogue, const char *name,
    slice_t text, uint64_t version, char *why, size_t why_size);
int catalogue_adopt_index(catalogue_t *catalogue, const char *name,
    slice_t text, uint64_t version, char *why, size_t why_size);

/** catalogue_find_service() - Borrowed until the next adoption, or NULL. */
const service_t *catalogue_find_service(
    const catalogue_t *catalogue, const char *name);

/** catalogue_pin() - The current version of an index, borrowed, or NULL. */
shard_map_t *catalogue_pin(const catalogue_t *catalogue, const char *index);

size_t catalogue_service_count(const catalogue_t *catalogue);
const service_t *catalogue_service_at(
    const catalogue_t *catalogue, size_t position);
size_t catalogue_index_count(const catalogue_t *catalogue);
const char *catalogue_index_at(const catalogue_t *catalogue, size_t position);

#endif
