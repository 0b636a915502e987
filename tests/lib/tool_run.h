#ifndef TESTS_LIB_TOOL_RUN_H
#define TESTS_LIB_TOOL_RUN_H

#include "harness.h"

/** DOC: Runs the command-line tool of the build under test. */

typedef struct {
	int status; /* exit status; -1 if it did not start or was killed */
	char *out;  /* standard output */
	char *err;  /* standard error */
	GThread *thread;
	char **argv;
} tool_run_t;

/**
 * tool_run_start() - Starts the tool in a thread.
 * @words: the command line without the program, separated by single spaces
 *
 * Return: to be passed to tool_run_wait(), then to tool_run_free().
 */
tool_run_t *tool_run_start(harness_t *harness, const char *words);

/** tool_run_wait() - Waits until the tool has exited and sets status, out, err.
 */
void tool_run_wait(tool_run_t *run);

/** tool_run_free() - Frees a run that has been waited for. */
void tool_run_free(tool_run_t *run);

/** tool_run_exit_status() - Runs the tool, waits and returns its exit status,
 * or -1. */
int tool_run_exit_status(harness_t *harness, const char *words);

#endif
