#include "bulrushwell/assignment.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/id.h"

#define UINT64_TEXT_SIZE 21 /* digits of UINT64_MAX and a NUL */

/* The first error that was found; later ones do not replace it. */
typedef struct {
	char *message;
	size_t message_size;
	int error;
} parse_context_t;

static void
set_error(parse_context_t *parse, const char *key, const char *problem)
{
	if (parse->error != 0)
		return;
	parse->error = BW_E_INVALID;
	if (parse->message_size > 0)
		snprintf(parse->message, parse->message_size, "%s: %s", key,
		    problem);
}

/* Accepts only an object with exactly @count keys. The caller reads each known
 * key and fails on a missing one, so that an unknown key is always detected. */
static void
check_object(
    parse_context_t *parse, const json_t *object, const char *key, size_t count)
{
	if (!json_is_object(object))
		set_error(parse, key, "expected an object");
	else if (json_object_size(object) != count)
		set_error(parse, key, "a key is missing or unknown");
}

static const char *
read_string(parse_context_t *parse, const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_string(value) ||
	    strlen(json_string_value(value)) != json_string_length(value)) {
		set_error(parse, key, "expected a string");
		return "";
	}
	return json_string_value(value);
}

static void
read_name(
    parse_context_t *parse, const json_t *object, const char *key, name_t name)
{
	if (name_set(name, read_string(parse, object, key)) != 0)
		set_error(parse, key, "expected a name");
}

static uint32_t
read_count(parse_context_t *parse, const json_t *object, const char *key,
    uint32_t minimum)
{
	const json_t *value = json_object_get(object, key);
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < (json_int_t)minimum ||
	    number > UINT32_MAX) {
		set_error(parse, key,
		    "expected an integer from 1 to 4294967295 "
		    "(in a holder from 0)");
		return 0;
	}
	return (uint32_t)number;
}

static uint64_t
read_decimal(parse_context_t *parse, const json_t *object, const char *key)
{
	const char *text = read_string(parse, object, key);
	char canonical[UINT64_TEXT_SIZE];
	uint64_t value = strtoull(text, NULL, 10);

	/* strtoull() also accepts signs, spaces, leading zeros and numbers
	 * above 64 bits; none of these is printed back unchanged. */
	snprintf(canonical, sizeof(canonical), "%" PRIu64, value);
	if (strcmp(text, canonical) != 0)
		set_error(parse, key, "expected a decimal number in a string");
	return value;
}

static uint64_t
read_incarnation(parse_context_t *parse, const json_t *object)
{
	uint64_t value = read_decimal(parse, object, "incarnation");

	if (value == 0)
		set_error(parse, "incarnation", "an incarnation must not be 0");
	return value;
}

static const json_t *
read_array(parse_context_t *parse, const json_t *object, const char *key,
    size_t max_count, uint32_t *count)
{
	const json_t *array = json_object_get(object, key);

	*count = 0;
	if (!json_is_array(array))
		set_error(parse, key, "expected an array");
	else if (json_array_size(array) > max_count)
		set_error(parse, key, "the array has too many elements");
	else
		*count = (uint32_t)json_array_size(array);
	return array;
}

static void
read_member(
    parse_context_t *parse, const json_t *object, assigned_member_t *member)
{
	check_object(parse, object, "members", 3);
	read_name(parse, object, "node", member->node);
	member->incarnation = read_incarnation(parse, object);
	member->units = read_decimal(parse, object, "units");
}

static void
read_holder(parse_context_t *parse, const json_t *object, holder_t *holder)
{
	check_object(parse, object, "holders", 4);
	read_name(parse, object, "node", holder->node);
	holder->incarnation = read_incarnation(parse, object);
	holder->slots = read_count(parse, object, "slots", 0);
	holder->connections = read_count(parse, object, "connections", 0);
}

static void
read_service(
    parse_context_t *parse, const json_t *object, assigned_service_t *service)
{
	const json_t *holders;

	check_object(parse, object, "services", 4);
	read_name(parse, object, "service", service->service);
	service->slots = read_count(parse, object, "slots", 1);
	service->connections = read_count(parse, object, "connections", 1);
	holders = read_array(parse, object, "holders", ASSIGNMENT_MAX_HOLDERS,
	    &service->holder_count);
	for (uint32_t i = 0; i < service->holder_count; i++)
		read_holder(
		    parse, json_array_get(holders, i), &service->holders[i]);
}

static void
read_token(parse_context_t *parse, const json_t *object, char *token)
{
	const char *text = read_string(parse, object, "token");
	id128_t id;

	if (id128_parse(text, &id) != 0)
		set_error(parse, "token", "expected 32 hexadecimal digits");
	else
		memcpy(token, text, ASSIGNMENT_TOKEN_SIZE);
}

static void
read_assignment(
    parse_context_t *parse, const json_t *root, assignment_t *assignment)
{
	const json_t *members, *services;
	uint32_t count;

	check_object(parse, root, "assignment", 4);
	read_name(parse, root, "cell", assignment->cell);
	read_token(parse, root, assignment->token);
	members = read_array(parse, root, "members", ASSIGNMENT_MAX_MEMBERS,
	    &assignment->member_count);
	for (uint32_t i = 0; i < assignment->member_count; i++)
		read_member(
		    parse, json_array_get(members, i), &assignment->members[i]);
	services = read_array(
	    parse, root, "services", ASSIGNMENT_MAX_SERVICES, &count);
	if (count > 0)
		assignment->services = g_new0(assigned_service_t, count);
	assignment->service_count = count;
	for (uint32_t i = 0; i < count; i++)
		read_service(parse, json_array_get(services, i),
		    &assignment->services[i]);
}

int
assignment_parse(slice_t text, uint64_t version, assignment_t **assignment,
    char *message, size_t message_size)
{
	parse_context_t parse = {message, message_size, 0};
	json_error_t error;
	json_t *root =
	    json_loadb(text.data, text.size, JSON_REJECT_DUPLICATES, &error);
	assignment_t *parsed = assignment_create("");

	*assignment = NULL;
	parsed->version = version;
	if (root == NULL)
		set_error(&parse, "assignment", error.text);
	else
		read_assignment(&parse, root, parsed);
	json_decref(root);
	if (parse.error == 0)
		parse.error = assignment_check(parsed, message, message_size);
	if (parse.error != 0)
		assignment_destroy(parsed);
	else
		*assignment = parsed;
	return parse.error;
}

static json_t *
print_decimal(uint64_t value)
{
	char text[UINT64_TEXT_SIZE];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	return json_string(text);
}

static json_t *
print_member(const assigned_member_t *member)
{
	return json_pack("{s:s, s:o, s:o}", "node", member->node, "incarnation",
	    print_decimal(member->incarnation), "units",
	    print_decimal(member->units));
}

static json_t *
print_holder(const holder_t *holder)
{
	return json_pack("{s:s, s:o, s:I, s:I}", "node", holder->node,
	    "incarnation", print_decimal(holder->incarnation), "slots",
	    (json_int_t)holder->slots, "connections",
	    (json_int_t)holder->connections);
}

static json_t *
print_service(const assigned_service_t *service)
{
	json_t *holders = json_array();

	for (uint32_t i = 0; i < service->holder_count; i++)
		json_array_append_new(
		    holders, print_holder(&service->holders[i]));
	return json_pack("{s:s, s:I, s:I, s:o}", "service", service->service,
	    "slots", (json_int_t)service->slots, "connections",
	    (json_int_t)service->connections, "holders", holders);
}

char *
assignment_serialize(const assignment_t *assignment)
{
	json_t *members = json_array(), *services = json_array();
	json_t *root;
	char *text;

	for (uint32_t i = 0; i < assignment->member_count; i++)
		json_array_append_new(
		    members, print_member(&assignment->members[i]));
	for (uint32_t i = 0; i < assignment->service_count; i++)
		json_array_append_new(
		    services, print_service(&assignment->services[i]));
	root =
	    json_pack("{s:s, s:s, s:o, s:o}", "cell", assignment->cell, "token",
		assignment->token, "members", members, "services", services);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
