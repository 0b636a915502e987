#ifndef BULRUSHWELL_JSON_TEXT_H
#define BULRUSHWELL_JSON_TEXT_H

#include <glib.h>

#include "bulrushwell/slice.h"

/**
 * json_text_append() - Appends a quoted and escaped JSON string.
 *
 * Query responses hold one string for each shard, so they are written directly
 * instead of through a tree of JSON values. Each byte that is not valid UTF-8
 * becomes U+FFFD.
 */
void json_text_append(GString *out, slice_t text);

#endif
