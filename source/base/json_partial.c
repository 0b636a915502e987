#include "bulrushwell/json_partial.h"

#include <string.h>

/* The body, a list in it, an element, an object in that and a part of it. */
#define MAX_PARTIAL_DEPTH 5

static json_t *read_in_part(
    const json_partial_rules_t *rules, slice_t text, int depth);

static bool
is_space(char character)
{
	return character == ' ' || character == '\t' || character == '\n' ||
	    character == '\r';
}

static slice_t
skip_bytes(slice_t text, size_t count)
{
	return (slice_t){text.data + count, text.size - count};
}

static slice_t
skip_space(slice_t text)
{
	size_t count = 0;

	while (count < text.size && is_space(text.data[count]))
		count++;
	return skip_bytes(text, count);
}

/* Return: bytes of the string at the start of the text; 0: it does not end. */
static size_t
string_size(slice_t text)
{
	for (size_t i = 1; i < text.size; i++) {
		if (text.data[i] == '"')
			return i + 1;
		if (text.data[i] == '\\')
			i++;
	}
	return 0;
}

/* Return: bytes of the object or array at the start of the text; 0: it does not
 * end. Needs no stack, however deeply it is nested. */
static size_t
container_size(slice_t text)
{
	size_t depth = 0;

	for (size_t i = 0; i < text.size; i++) {
		char character = text.data[i];

		if (character == '"') {
			size_t size = string_size(skip_bytes(text, i));

			if (size == 0)
				return 0;
			i += size - 1;
		} else if (character == '{' || character == '[') {
			depth++;
		} else if (character == '}' || character == ']') {
			if (--depth == 0)
				return i + 1;
		}
	}
	return 0;
}

static size_t
scalar_size(slice_t text)
{
	size_t size = 0;

	while (size < text.size && !is_space(text.data[size]) &&
	    strchr(",]}", text.data[size]) == NULL)
		size++;
	return size;
}

/* Return: bytes of the value at the start of the text; 0: there is none. */
static size_t
value_size(slice_t text)
{
	if (text.size == 0)
		return 0;
	switch (text.data[0]) {
	case '"':
		return string_size(text);
	case '{':
	case '[':
		return container_size(text);
	default:
		return scalar_size(text);
	}
}

/* Takes the next value off the front of the text. */
static bool
take_value(slice_t *text, slice_t *value)
{
	*text = skip_space(*text);
	*value = (slice_t){text->data, value_size(*text)};
	*text = skip_space(skip_bytes(*text, value->size));
	return value->size > 0;
}

static bool
take_character(slice_t *text, char character)
{
	*text = skip_space(*text);
	if (text->size == 0 || text->data[0] != character)
		return false;
	*text = skip_bytes(*text, 1);
	return true;
}

static json_t *
read_whole(const json_partial_rules_t *rules, slice_t text)
{
	return json_loadb(
	    text.data, text.size, rules->flags | JSON_DECODE_ANY, NULL);
}

static bool
is_divisible(const json_partial_rules_t *rules, const char *member)
{
	for (const char *const *name = rules->divisible; *name != NULL; name++)
		if (strcmp(member, *name) == 0)
			return true;
	return false;
}

static json_t *
read_member(const json_partial_rules_t *rules, const char *name, slice_t text,
    int depth)
{
	json_t *value = read_whole(rules, text);

	if (value == NULL && is_divisible(rules, name))
		value = read_in_part(rules, text, depth);
	return value;
}

/* @text: after the opening brace */
static json_t *
read_members(const json_partial_rules_t *rules, slice_t text, int depth)
{
	json_t *object = json_object();
	slice_t name, value;

	while (take_value(&text, &name) && take_character(&text, ':') &&
	    take_value(&text, &value)) {
		json_t *key = read_whole(rules, name);
		const char *key_text = json_partial_text(key);

		if (key_text != NULL)
			json_object_set_new(object, key_text,
			    read_member(rules, key_text, value, depth));
		json_decref(key);
		if (!take_character(&text, ','))
			break;
	}
	return object;
}

/* @text: after the opening bracket */
static json_t *
read_elements(const json_partial_rules_t *rules, slice_t text, int depth)
{
	json_t *array = json_array();
	slice_t value;

	while (take_value(&text, &value)) {
		json_t *element = read_whole(rules, value);

		if (element == NULL)
			element = read_in_part(rules, value, depth);
		json_array_append_new(
		    array, element != NULL ? element : json_null());
		if (!take_character(&text, ','))
			break;
	}
	return array;
}

/* Reads the members or elements that can be read; NULL for a scalar. */
static json_t *
read_in_part(const json_partial_rules_t *rules, slice_t text, int depth)
{
	if (depth == MAX_PARTIAL_DEPTH)
		return NULL;
	if (take_character(&text, '{'))
		return read_members(rules, text, depth + 1);
	if (take_character(&text, '['))
		return read_elements(rules, text, depth + 1);
	return NULL;
}

json_t *
json_partial_parse(
    const json_partial_rules_t *rules, slice_t text, bool *is_partial)
{
	slice_t start = skip_space(text);
	json_t *value = read_whole(rules, start);

	*is_partial = value == NULL && start.size > 0;
	/* Of a text that is cut, what is missing would count as not there. */
	if (!*is_partial || value_size(start) == 0)
		return value;
	return read_in_part(rules, start, 0);
}

const char *
json_partial_text(const json_t *value)
{
	const char *text = json_string_value(value);

	if (text == NULL || strlen(text) != json_string_length(value))
		return NULL;
	return text;
}
