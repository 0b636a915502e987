#include "bulrushwell/response_memory.h"

#include <glib.h>
#include <unistd.h>

/* The largest limit; buffers may have twice the size of their bytes. */
#define MAX_LIMIT_BYTES ((size_t)32 * 1024 * 1024)
/* The limit is at most one of so many parts of the VM's memory. */
#define MEMORY_PARTS 4

static size_t total_held;

/* Return: the VM's memory in bytes; the largest number if it is not known. */
static size_t
vm_memory(void)
{
	long pages = sysconf(_SC_PHYS_PAGES);
	long page_bytes = sysconf(_SC_PAGESIZE);

	return pages > 0 && page_bytes > 0 ? (size_t)pages * (size_t)page_bytes
					   : G_MAXSIZE;
}

size_t
response_memory_limit(void)
{
	static size_t limit;

	if (limit == 0)
		limit = MIN(MAX_LIMIT_BYTES, vm_memory() / MEMORY_PARTS);
	return limit;
}

bool
response_memory_take(size_t *held, size_t bytes)
{
	size_t left = response_memory_limit() - total_held;

	if (bytes > left || *held + bytes > left)
		return false;
	*held += bytes;
	total_held += bytes;
	return true;
}

void
response_memory_release(size_t *held)
{
	total_held -= *held;
	*held = 0;
}
