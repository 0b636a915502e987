#include "log_sink.h"

#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SINK_BYTES 65536
#define PIPE_BUF_BYTES 4096 /* a pipe that polls writable takes this much */

static char lines[SINK_BYTES];
static size_t used;
static unsigned long dropped;

static bool
add_bytes(const char *line)
{
	size_t size = strlen(line);

	if (used + size > sizeof(lines))
		return false;
	memcpy(lines + used, line, size);
	used += size;
	return true;
}

static void
report_dropped(void)
{
	char line[64];

	if (dropped == 0)
		return;
	snprintf(
	    line, sizeof(line), "WARN log lines=%lu cause=full\n", dropped);
	if (add_bytes(line))
		dropped = 0;
}

void
log_sink_add(const char *line)
{
	if (!add_bytes(line))
		dropped++;
}

/* The descriptor may be shared, so its flags are left as they are. */
static bool
can_write(void)
{
	struct pollfd poller = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&poller, 1, 0) == 1 && (poller.revents & POLLOUT) != 0;
}

void
log_sink_flush(void)
{
	ssize_t n;

	if (used == 0 || !can_write())
		return;
	n = write(STDOUT_FILENO, lines,
	    used < PIPE_BUF_BYTES ? used : PIPE_BUF_BYTES);
	if (n <= 0)
		return;
	memmove(lines, lines + n, used - (size_t)n);
	used -= (size_t)n;
	report_dropped();
}
