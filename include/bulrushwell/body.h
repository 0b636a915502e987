#ifndef BULRUSHWELL_BODY_H
#define BULRUSHWELL_BODY_H

#include <stddef.h>

#include "bulrushwell/slice.h"

/**
 * typedef body_t - Immutable, reference-counted bytes. All attempts of a
 * request share one body. The count is not atomic: use it in one thread only.
 */
typedef struct body body_t;

/** body_create() - Copies @data; the caller owns the first reference. */
body_t *body_create(const void *data, size_t size);

/** body_ref() - Takes another reference and returns @body; NULL is allowed. */
body_t *body_ref(body_t *body);

/**
 * body_unref() - Releases a reference; the last one frees the body. NULL is
 * allowed.
 */
void body_unref(body_t *body);

/**
 * body_slice() - The bytes, valid while the caller holds a reference; an empty
 * slice for NULL.
 */
slice_t body_slice(const body_t *body);

#endif
