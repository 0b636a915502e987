#include "client_hold.h"

#include "bulrushwell/memory_account.h"

/* What buffer_t allocates at least, and how far it grows beyond its content. */
#define BUFFER_BYTES_MIN 256
#define BUFFER_GROWTH 2

/* Memory of a buffer once @more bytes were added. */
static size_t
capacity_with(const buffer_t *buffer, size_t more)
{
	size_t needed = buffer->size + more;

	if (more == 0 || needed <= buffer->capacity)
		return buffer->capacity;
	return BUFFER_BYTES_MIN + BUFFER_GROWTH * needed;
}

static size_t
bytes_with(const client_hold_t *hold, size_t received, size_t queued)
{
	return hold->fixed_bytes + hold->kernel_bytes +
	    capacity_with(&hold->request.text, received) +
	    capacity_with(&hold->request.body, received) +
	    capacity_with(&hold->pending, received) +
	    capacity_with(&hold->output, queued);
}

bool
client_hold_open(client_hold_t *hold, size_t fixed_bytes)
{
	*hold = (client_hold_t){.fixed_bytes = fixed_bytes};
	http_message_init(&hold->request, HTTP_REQUEST, 0, 0);
	return client_hold_reserve(hold, 0, 0);
}

void
client_hold_close(client_hold_t *hold)
{
	http_message_free(&hold->request);
	buffer_free(&hold->pending);
	buffer_free(&hold->output);
	memory_account_resize(&hold->held, 0);
}

bool
client_hold_reserve(client_hold_t *hold, size_t received, size_t queued)
{
	return memory_account_resize(
	    &hold->held, bytes_with(hold, received, queued));
}

void
client_hold_settle(client_hold_t *hold)
{
	memory_account_resize(&hold->held, bytes_with(hold, 0, 0));
}

void
client_hold_sent(client_hold_t *hold, size_t bytes)
{
	hold->output_sent += bytes;
	if (hold->output_sent < hold->output.size)
		return;
	buffer_clear(&hold->output);
	hold->output_sent = 0;
	client_hold_settle(hold);
}

size_t
client_hold_unsent(const client_hold_t *hold)
{
	return hold->output.size - hold->output_sent;
}

void
client_hold_count_kernel(client_hold_t *hold, size_t bytes)
{
	size_t before = hold->kernel_bytes;

	hold->kernel_bytes = bytes;
	if (!client_hold_reserve(hold, 0, 0))
		hold->kernel_bytes = before;
}
