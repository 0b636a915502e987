#ifndef LOG_SINK_H
#define LOG_SINK_H

/**
 * DOC: Bounded, non-blocking log output
 *
 * Lines wait in a buffer until log_sink_flush() writes them to standard output.
 * When the reader is slow and the buffer is full, whole lines are dropped and
 * counted; the count is written once there is room again.
 */

/** log_sink_add() - Queues a line that ends with a newline. */
void log_sink_add(const char *line);

/** log_sink_flush() - Writes what standard output takes without blocking. */
void log_sink_flush(void);

#endif
