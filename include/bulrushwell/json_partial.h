#ifndef BULRUSHWELL_JSON_PARTIAL_H
#define BULRUSHWELL_JSON_PARTIAL_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "bulrushwell/slice.h"

/**
 * DOC: JSON of which a part can't be read
 *
 * A store passes on what other writers have stored. One object that the JSON
 * library refuses (bytes that are not UTF-8, lone surrogates, numbers out of
 * range, NUL in a key, very deep nesting) must not hide the others, so such a
 * text is read member by member.
 */

/** typedef json_partial_rules_t - How a text is read. */
typedef struct {
	size_t flags; /* of json_loadb() */
	/* Members that are worth reading in part, up to NULL; any other is read
	 * whole or left out. */
	const char *const *divisible;
} json_partial_rules_t;

/**
 * json_partial_parse() - Parses a text.
 * @is_partial: set to whether something in it can't be read
 *
 * An element that can't be read becomes null or lacks members.
 *
 * Return: the value, to be freed with json_decref(); NULL if nothing can be
 * read.
 */
json_t *json_partial_parse(
    const json_partial_rules_t *rules, slice_t text, bool *is_partial);

/** json_partial_text() - The text of a JSON string; NULL for any other value,
 * and for a string with a NUL in it. */
const char *json_partial_text(const json_t *value);

#endif
