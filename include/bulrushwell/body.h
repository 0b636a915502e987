#ifndef BULRUSHWELL_BODY_H
#define BULRUSHWELL_BODY_H

#include <stddef.h>

#include "bulrushwell/slice.h"

/**
 * typedef body_t - Immutable bytes with a reference count. A request body is
 * shared by all attempts of its sub-requests.
 */
typedef struct body body_t;

/** body_create() - Copies @data; the caller owns one reference. */
body_t *body_create(const void *data, size_t size);

/** body_keep() - Takes another reference. */
body_t *body_keep(body_t *body);

/** body_drop() - Gives one reference back; NULL is allowed. */
void body_drop(body_t *body);

/** body_slice() - The bytes; an empty slice for NULL. */
slice_t body_slice(const body_t *body);

#endif
