#ifndef QUERY_CATALOGUE_PARSE_H
#define QUERY_CATALOGUE_PARSE_H

#include <stdint.h>

#include "bulrushwell/catalogue.h"

/**
 * DOC: Parsing of service and index objects
 *
 * Every error message names the field and says how to correct it.
 */

/** typedef error_message_t - Buffer of the caller for an error message. */
typedef struct {
	char *text;
	size_t size;
} error_message_t;

/** error_message_set() - Formats the message. Return: BW_E_INVALID. */
int error_message_set(const error_message_t *message, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** typedef published_version_t - One listed index version. */
typedef struct {
	uint64_t version;
	uint64_t digest; /* hash of its shard map */
} published_version_t;

/** typedef parsed_index_t - The versions of an index object. */
typedef struct {
	uint32_t version_count;
	published_version_t versions[CATALOGUE_MAX_VERSIONS];
	shard_map_t *current; /* one reference, owned by the caller */
} parsed_index_t;

/**
 * catalogue_parse_service() - Parses a service object.
 * @name: the object's name, which @text must state as well
 * @version: the object's version
 * @service: on success set to memory that the caller frees with g_free()
 *
 * Return: 0 or BW_E_INVALID.
 */
int catalogue_parse_service(const char *name, slice_t text, uint64_t version,
    service_t **service, const error_message_t *message);

/**
 * catalogue_parse_index() - Parses an index object.
 * @name: the object's name, which @text must state as well
 * @parsed: on success holds a reference to a map, owned by the caller
 *
 * Return: 0 or BW_E_INVALID.
 */
int catalogue_parse_index(const char *name, slice_t text,
    parsed_index_t *parsed, const error_message_t *message);

#endif
