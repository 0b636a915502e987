#include "bulrushwell/body.h"

#include <glib.h>
#include <string.h>

struct body {
	size_t references;
	size_t size;
	char data[];
};

body_t *
body_create(const void *data, size_t size)
{
	body_t *body = g_malloc(sizeof(*body) + size + 1);

	body->references = 1;
	body->size = size;
	if (size > 0)
		memcpy(body->data, data, size);
	body->data[size] = '\0';
	return body;
}

body_t *
body_ref(body_t *body)
{
	if (body != NULL)
		body->references++;
	return body;
}

void
body_unref(body_t *body)
{
	if (body != NULL && --body->references == 0)
		g_free(body);
}

slice_t
body_slice(const body_t *body)
{
	if (body == NULL)
		return (slice_t){"", 0};
	return (slice_t){body->data, body->size};
}
