#ifndef QUERY_CATALOGUE_PARSE_H
#define QUERY_CATALOGUE_PARSE_H

#include <stdint.h>

#include "bulrushwell/catalogue.h"

/**
 * DOC: Reading of service and index objects
 *
 * Every refusal names the field and says what to change.
 */

/** typedef complaint_t - Where the reason of a refusal is written. */
typedef struct {
	char *why;
	size_t size;
} complaint_t;

/** complaint_set() - Writes the reason. Return: BW_E_INVALID. */
int complaint_set(const complaint_t *complaint, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** typedef published_version_t - One listed index version. */
typedef struct {
	uint64_t version;
	uint64_t digest; /* of its shard map */
} published_version_t;

typedef struct {
	uint32_t version_count;
	published_version_t versions[CATALOGUE_MAX_VERSIONS];
	shard_map_t *current; /* one reference, owned by the caller */
} parsed_index_t;

/**
 * catalogue_parse_service() - Reads a service object.
 * @service: set to memory that the caller frees with g_free()
 */
int catalogue_parse_service(const char *name, slice_t text, uint64_t version,
    service_t **service, const complaint_t *complaint);

int catalogue_parse_index(const char *name, slice_t text,
    parsed_index_t *parsed, const complaint_t *complaint);

#endif
