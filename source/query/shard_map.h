#ifndef QUERY_SHARD_MAP_H
#define QUERY_SHARD_MAP_H

#include "bulrushwell/catalogue.h"

/**
 * shard_map_create() - A map with one reference, owned by the caller.
 * @services: the service of each shard; copied, equal names are stored once
 * @count: number of shards
 */
shard_map_t *shard_map_create(const char *index, uint64_t version,
    const char *const *services, uint32_t count);

#endif
