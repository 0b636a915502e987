#include "shard_map.h"

#include <glib.h>
#include <string.h>

struct shard_map {
	size_t references;
	name_t index;
	uint64_t version;
	uint32_t count;
	GStringChunk *names;	/* owns the strings of @services */
	const char *services[]; /* by shard; equal names are one pointer */
};

shard_map_t *
shard_map_create(const char *index, uint64_t version,
    const char *const *services, uint32_t count)
{
	shard_map_t *map =
	    g_malloc0(sizeof(*map) + count * sizeof(map->services[0]));

	map->references = 1;
	g_strlcpy(map->index, index, sizeof(map->index));
	map->version = version;
	map->count = count;
	map->names = g_string_chunk_new(256);
	for (uint32_t i = 0; i < count; i++)
		map->services[i] =
		    g_string_chunk_insert_const(map->names, services[i]);
	return map;
}

shard_map_t *
shard_map_ref(shard_map_t *map)
{
	if (map != NULL)
		map->references++;
	return map;
}

void
shard_map_unref(shard_map_t *map)
{
	if (map == NULL || --map->references > 0)
		return;
	g_string_chunk_free(map->names);
	g_free(map);
}

const char *
shard_map_index(const shard_map_t *map)
{
	return map->index;
}

uint64_t
shard_map_version(const shard_map_t *map)
{
	return map->version;
}

uint32_t
shard_map_count(const shard_map_t *map)
{
	return map->count;
}

const char *
shard_map_service(const shard_map_t *map, uint32_t shard)
{
	return shard < map->count ? map->services[shard] : NULL;
}
