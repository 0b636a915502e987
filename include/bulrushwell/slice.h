#ifndef BULRUSHWELL_SLICE_H
#define BULRUSHWELL_SLICE_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/**
 * typedef slice_t - Borrowed bytes, not NUL-terminated; valid only while their
 * owner keeps them.
 */
typedef struct {
	const char *data;
	size_t size;
} slice_t;

/** slice_from() - The bytes of a string without its final NUL. */
static inline slice_t
slice_from(const char *text)
{
	return (slice_t){text, strlen(text)};
}

static inline bool
slice_equal(slice_t a, slice_t b)
{
	return a.size == b.size &&
	    (a.size == 0 || memcmp(a.data, b.data, a.size) == 0);
}

/** slice_is() - Whether a slice equals a string. */
static inline bool
slice_is(slice_t a, const char *text)
{
	return slice_equal(a, slice_from(text));
}

/** slice_trim() - Without the blanks and tabs at both ends. */
static inline slice_t
slice_trim(slice_t text)
{
	while (text.size > 0 && (*text.data == ' ' || *text.data == '\t')) {
		text.data++;
		text.size--;
	}
	while (text.size > 0 &&
	    (text.data[text.size - 1] == ' ' ||
		text.data[text.size - 1] == '\t'))
		text.size--;
	return text;
}

/** slice_to_text() - Copies a slice, cut to fit, and ends it with a NUL.
 * @size: of @text, at least 1 */
static inline void
slice_to_text(slice_t slice, char *text, size_t size)
{
	size_t length = slice.size < size ? slice.size : size - 1;

	memcpy(text, slice.data, length);
	text[length] = '\0';
}

#endif
