#include "catalogue_parse.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "bulrushwell/error.h"
#include "shard_map.h"

#define PATH_SIZE 64

int
error_message_set(const error_message_t *message, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(message->text, message->size, format, args);
	va_end(args);
	return BW_E_INVALID;
}

static bool
is_listed(const char *const *names, const char *name)
{
	for (; *names != NULL; names++)
		if (strcmp(*names, name) == 0)
			return true;
	return false;
}

/* Refuses an object whose fields are not exactly @names. */
static int
check_fields(json_t *object, const char *path, const char *const *names,
    const error_message_t *message)
{
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return error_message_set(
		    message, "%s is not an object; write {...}", path);
	json_object_foreach (object, key, value) {
		if (!is_listed(names, key))
			return error_message_set(message,
			    "%s has the unknown field \"%.64s\"; remove it",
			    path, key);
	}
	for (; *names != NULL; names++)
		if (json_object_get(object, *names) == NULL)
			return error_message_set(message,
			    "%s lacks the field \"%s\"; add it", path, *names);
	return 0;
}

static int
read_name(json_t *object, const char *path, const char *field, name_t name,
    const error_message_t *message)
{
	const char *text = json_string_value(json_object_get(object, field));

	if (text == NULL || name_set(name, text) != 0)
		return error_message_set(message,
		    "%s.%s is not a name; use 1 to %d lower-case letters, "
		    "digits, '-', '_' or '.', not beginning with '.'",
		    path, field, NAME_SIZE - 1);
	return 0;
}

static int
read_integer(json_t *object, const char *path, const char *field, int64_t max,
    int64_t *number, const error_message_t *message)
{
	json_t *value = json_object_get(object, field);

	*number = json_integer_value(value);
	if (!json_is_integer(value) || *number < 1 || *number > max)
		return error_message_set(message,
		    "%s.%s is out of range; use an integer from 1 to %" PRId64,
		    path, field, max);
	return 0;
}

static int
read_array(json_t *object, const char *path, const char *field, size_t min,
    size_t max, json_t **array, const error_message_t *message)
{
	size_t count;

	*array = json_object_get(object, field);
	count = json_array_size(*array);
	if (!json_is_array(*array) || count < min || count > max)
		return error_message_set(message,
		    "%s.%s is not an array of %zu to %zu elements; list that "
		    "many",
		    path, field, min, max);
	return 0;
}

static int
load_object(slice_t text, json_t **root, const error_message_t *message)
{
	json_error_t error;

	if (text.size > CATALOGUE_MAX_OBJECT_SIZE)
		return error_message_set(message,
		    "the object has %zu bytes; shorten it to %d", text.size,
		    CATALOGUE_MAX_OBJECT_SIZE);
	*root =
	    json_loadb(text.data, text.size, JSON_REJECT_DUPLICATES, &error);
	if (*root == NULL)
		return error_message_set(message,
		    "the object is not valid JSON (line %d: %s); correct it",
		    error.line, error.text);
	return 0;
}

/* Refuses an object whose text states another name than the platform's. */
static int
check_object_name(json_t *root, const char *field, const char *name,
    const error_message_t *message)
{
	name_t stated;
	int error = read_name(root, field, field, stated, message);

	if (error == 0 && strcmp(stated, name) != 0)
		return error_message_set(message,
		    "%s.%s is \"%s\" but the object's name is \"%.63s\"; make "
		    "them equal",
		    field, field, stated, name);
	return error;
}

static int
read_address(json_t *object, const char *path, address_t address,
    const error_message_t *message)
{
	const char *text =
	    json_string_value(json_object_get(object, "address"));

	if (text == NULL || address_set(address, text) != 0)
		return error_message_set(message,
		    "%s.address is not numeric; write IP:PORT or [IPv6]:PORT",
		    path);
	return 0;
}

static int
read_state(json_t *object, const char *path, bool *leaving,
    const error_message_t *message)
{
	const char *text = json_string_value(json_object_get(object, "state"));

	if (text == NULL ||
	    (strcmp(text, "live") != 0 && strcmp(text, "leaving") != 0))
		return error_message_set(message,
		    "%s.state is unknown; use \"live\" or \"leaving\"", path);
	*leaving = strcmp(text, "leaving") == 0;
	return 0;
}

static int
read_server(json_t *object, const char *path, server_spec_t *server,
    const error_message_t *message)
{
	static const char *const fields[] = {
	    "server", "address", "incarnation", "data_centre", "state", NULL};
	int error = check_fields(object, path, fields, message);

	if (error == 0)
		error =
		    read_name(object, path, "server", server->server, message);
	if (error == 0)
		error = read_address(object, path, server->address, message);
	if (error == 0)
		error = read_name(
		    object, path, "incarnation", server->incarnation, message);
	if (error == 0)
		error = read_name(
		    object, path, "data_centre", server->data_centre, message);
	if (error == 0)
		error = read_state(object, path, &server->leaving, message);
	return error;
}

/* Checks that the server at index @server_count repeats no earlier one: two
 * entries for one server or address would double its concurrency limit. */
static int
check_distinct_servers(
    const service_t *service, const char *path, const error_message_t *message)
{
	const server_spec_t *added = &service->servers[service->server_count];

	for (uint32_t i = 0; i < service->server_count; i++) {
		const server_spec_t *other = &service->servers[i];

		if (strcmp(other->server, added->server) == 0)
			return error_message_set(message,
			    "%s.server repeats \"%s\"; list each server once",
			    path, added->server);
		if (strcmp(other->address, added->address) == 0)
			return error_message_set(message,
			    "%s.address repeats \"%s\"; list each address once",
			    path, added->address);
	}
	return 0;
}

static int
read_servers(json_t *root, service_t *service, const error_message_t *message)
{
	json_t *array;
	int error = read_array(root, "service", "servers", 0,
	    CATALOGUE_MAX_SERVERS, &array, message);

	for (size_t i = 0; error == 0 && i < json_array_size(array); i++) {
		char path[PATH_SIZE];

		snprintf(path, sizeof(path), "service.servers[%zu]", i);
		error = read_server(json_array_get(array, i), path,
		    &service->servers[i], message);
		if (error == 0)
			error = check_distinct_servers(service, path, message);
		service->server_count++;
	}
	return error;
}

static int
read_limits(json_t *root, service_t *service, const error_message_t *message)
{
	int64_t slots = 0, connections = 0;
	int error = read_integer(
	    root, "service", "slots", CATALOGUE_MAX_SLOTS, &slots, message);

	if (error == 0)
		error = read_integer(root, "service", "connections",
		    CATALOGUE_MAX_CONNECTIONS, &connections, message);
	if (error == 0 && connections < slots)
		return error_message_set(message,
		    "service.connections is below service.slots; every running "
		    "request needs a connection, so raise it to at least "
		    "%" PRId64,
		    slots);
	service->slots = (uint32_t)slots;
	service->connections = (uint32_t)connections;
	return error;
}

int
catalogue_parse_service(const char *name, slice_t text, uint64_t version,
    service_t **service, const error_message_t *message)
{
	static const char *const fields[] = {
	    "service", "slots", "connections", "servers", NULL};
	service_t *parsed;
	json_t *root;
	int error = load_object(text, &root, message);

	if (error != 0)
		return error;
	parsed = g_new0(service_t, 1);
	g_strlcpy(parsed->service, name, sizeof(parsed->service));
	parsed->version = version;
	error = check_fields(root, "service", fields, message);
	if (error == 0)
		error = check_object_name(root, "service", name, message);
	if (error == 0)
		error = read_limits(root, parsed, message);
	if (error == 0)
		error = read_servers(root, parsed, message);
	json_decref(root);
	if (error != 0)
		g_free(parsed);
	else
		*service = parsed;
	return error;
}

static int
read_shards(json_t *object, const char *path, const char **services,
    uint32_t *count, const error_message_t *message)
{
	json_t *array;
	name_t name;
	int error = read_array(
	    object, path, "shards", 1, CATALOGUE_MAX_SHARDS, &array, message);

	if (error != 0)
		return error;
	*count = (uint32_t)json_array_size(array);
	for (uint32_t i = 0; i < *count; i++) {
		services[i] = json_string_value(json_array_get(array, i));
		if (services[i] == NULL || name_set(name, services[i]) != 0)
			return error_message_set(message,
			    "%s.shards[%u] is not a service name; use "
			    "lower-case letters, digits, '-', '_' or '.'",
			    path, i);
	}
	return 0;
}

/* The digest of a shard map, to detect that a published version changed. */
static uint64_t
digest_shards(const char *const *services, uint32_t count)
{
	uint64_t digest = count;

	/* The NUL of each name is hashed too, so that {"a", "b"} and {"ab"}
	 * have different digests. */
	for (uint32_t i = 0; i < count; i++)
		digest = XXH3_64bits_withSeed(
		    services[i], strlen(services[i]) + 1, digest);
	return digest;
}

static int
check_distinct_version(const parsed_index_t *parsed, const char *path,
    uint64_t version, const error_message_t *message)
{
	for (uint32_t i = 0; i < parsed->version_count; i++)
		if (parsed->versions[i].version == version)
			return error_message_set(message,
			    "%s.version repeats %" PRIu64
			    "; list each version once",
			    path, version);
	return 0;
}

static int
read_version(json_t *object, const char *path, const char *index,
    uint64_t current, parsed_index_t *parsed, const error_message_t *message)
{
	static const char *const fields[] = {"version", "shards", NULL};
	const char **services = g_new(const char *, CATALOGUE_MAX_SHARDS);
	published_version_t *entry = &parsed->versions[parsed->version_count];
	uint32_t count = 0;
	int64_t version = 0;
	int error = check_fields(object, path, fields, message);

	if (error == 0)
		error = read_integer(
		    object, path, "version", INT64_MAX, &version, message);
	if (error == 0)
		error = check_distinct_version(
		    parsed, path, (uint64_t)version, message);
	if (error == 0)
		error = read_shards(object, path, services, &count, message);
	if (error == 0) {
		entry->version = (uint64_t)version;
		entry->digest = digest_shards(services, count);
		parsed->version_count++;
		if (entry->version == current)
			parsed->current =
			    shard_map_create(index, current, services, count);
	}
	g_free(services);
	return error;
}

static int
read_versions(json_t *root, const char *index, parsed_index_t *parsed,
    const error_message_t *message)
{
	int64_t current = 0;
	json_t *array = NULL;
	int error = read_integer(
	    root, "index", "current", INT64_MAX, &current, message);

	if (error == 0)
		error = read_array(root, "index", "versions", 1,
		    CATALOGUE_MAX_VERSIONS, &array, message);
	for (size_t i = 0; error == 0 && i < json_array_size(array); i++) {
		char path[PATH_SIZE];

		snprintf(path, sizeof(path), "index.versions[%zu]", i);
		error = read_version(json_array_get(array, i), path, index,
		    (uint64_t)current, parsed, message);
	}
	if (error == 0 && parsed->current == NULL)
		return error_message_set(message,
		    "index.current is %" PRId64
		    ", which index.versions does not list; list it or name a "
		    "listed one",
		    current);
	return error;
}

int
catalogue_parse_index(const char *name, slice_t text, parsed_index_t *parsed,
    const error_message_t *message)
{
	static const char *const fields[] = {
	    "index", "current", "versions", NULL};
	json_t *root;
	int error = load_object(text, &root, message);

	memset(parsed, 0, sizeof(*parsed));
	if (error != 0)
		return error;
	error = check_fields(root, "index", fields, message);
	if (error == 0)
		error = check_object_name(root, "index", name, message);
	if (error == 0)
		error = read_versions(root, name, parsed, message);
	json_decref(root);
	if (error != 0) {
		shard_map_unref(parsed->current);
		parsed->current = NULL;
	}
	return error;
}
