#include "log_sink.h"

#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
#define PIPE_BUF_BYTES 4096 /* a writable pipe accepts this much */

static char lines[BUFFER_BYTES];
static size_t lines_size;
static unsigned long dropped;

static bool
append_line(const char *line)
{
	size_t size = strlen(line);

	if (lines_size + size > sizeof(lines))
		return false;
	memcpy(lines + lines_size, line, size);
	lines_size += size;
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
	if (append_line(line))
		dropped = 0;
}

void
log_sink_add(const char *line)
{
	if (!append_line(line))
		dropped++;
}

/* Polls instead of setting O_NONBLOCK, which would also affect other processes
 * that share standard output. */
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

	if (lines_size == 0 || !can_write())
		return;
	n = write(STDOUT_FILENO, lines,
	    lines_size < PIPE_BUF_BYTES ? lines_size : PIPE_BUF_BYTES);
	if (n <= 0)
		return;
	memmove(lines, lines + n, lines_size - (size_t)n);
	lines_size -= (size_t)n;
	report_dropped();
}
