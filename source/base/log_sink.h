#ifndef LOG_SINK_H
#define LOG_SINK_H

/**
 * DOC: Bounded, non-blocking log output
 *
 * Lines are buffered until log_sink_flush() writes them to standard output.
 * While the buffer is full because the reader is slow, whole lines are dropped
 * and counted; the count is logged once there is space again.
 */

/** log_sink_add() - Queues a line that ends with a newline. */
void log_sink_add(const char *line);

/** log_sink_flush() - Writes up to 4 KiB to standard output; never blocks. */
void log_sink_flush(void);

#endif
