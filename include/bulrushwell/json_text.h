#ifndef BULRUSHWELL_JSON_TEXT_H
#define BULRUSHWELL_JSON_TEXT_H

#include <glib.h>

#include "bulrushwell/slice.h"

/**
 * json_text_append() - Appends a quoted, escaped JSON string.
 *
 * Answers carry a string for each shard, so they are written directly instead
 * of through a tree of JSON values. Bytes that are not UTF-8 become U+FFFD.
 */
void json_text_append(GString *out, slice_t text);

#endif
