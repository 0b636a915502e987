#include "bulrushwell/memory_account.h"

#include <glib.h>
#include <unistd.h>

/* The limit is one of so many parts of the VM's memory: buffers may have twice
 * the size of what they hold, and the allocator keeps some of what is freed. */
#define MEMORY_PARTS 4
/* A larger VM holds no more than this for its clients. */
#define MAX_LIMIT_BYTES ((size_t)48 * 1024 * 1024)

static size_t vm_bytes;
static size_t total_held;
static size_t peak_held;

/* Return: the largest number if the kernel does not tell. */
static size_t
kernel_memory(void)
{
	long pages = sysconf(_SC_PHYS_PAGES);
	long page_bytes = sysconf(_SC_PAGESIZE);

	return pages > 0 && page_bytes > 0 ? (size_t)pages * (size_t)page_bytes
					   : G_MAXSIZE;
}

void
memory_account_set_vm(size_t bytes)
{
	vm_bytes = bytes;
}

size_t
memory_account_vm(void)
{
	if (vm_bytes == 0)
		vm_bytes = kernel_memory();
	return vm_bytes;
}

size_t
memory_account_limit(void)
{
	return MIN(MAX_LIMIT_BYTES, memory_account_vm() / MEMORY_PARTS);
}

size_t
memory_account_held(void)
{
	return total_held;
}

size_t
memory_account_peak(void)
{
	return peak_held;
}

bool
memory_account_resize(size_t *held, size_t bytes)
{
	size_t others = total_held - *held;

	if (bytes > *held &&
	    (others > memory_account_limit() ||
		bytes > memory_account_limit() - others))
		return false;
	total_held = others + bytes;
	peak_held = MAX(peak_held, total_held);
	*held = bytes;
	return true;
}
