#include "bulrushwell/response_memory.h"

#include <glib.h>

#include "bulrushwell/memory_account.h"

/* The largest limit; buffers may have twice the size of their bytes. */
#define MAX_LIMIT_BYTES ((size_t)32 * 1024 * 1024)
/* The limit is at most one of so many parts of the VM's memory. */
#define MEMORY_PARTS 4

static size_t total_held;

size_t
response_memory_limit(void)
{
	return MIN(MAX_LIMIT_BYTES, memory_account_vm() / MEMORY_PARTS);
}

bool
response_memory_take(size_t *held, size_t bytes)
{
	size_t left = response_memory_limit() - total_held;

	if (bytes > left || *held + bytes > left ||
	    !memory_account_resize(held, *held + bytes))
		return false;
	total_held += bytes;
	return true;
}

void
response_memory_release(size_t *held)
{
	total_held -= *held;
	memory_account_resize(held, 0);
}
