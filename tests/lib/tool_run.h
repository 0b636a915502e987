#ifndef TESTS_LIB_TOOL_RUN_H
#define TESTS_LIB_TOOL_RUN_H

#include "harness.h"

/** DOC: Runs the command-line tool of the build. */

typedef struct {
	int status; /* exit status, or -1 */
	char *out;
	char *err;
	GThread *thread;
	char **argv;
} tool_run_t;

/** tool_begin() - Runs in a thread; the words are separated by spaces. */
tool_run_t *tool_begin(harness_t *harness, const char *words);
void tool_wait(tool_run_t *run);
void tool_drop(tool_run_t *run);

/** tool_status() - Runs it and returns its exit status. */
int tool_status(harness_t *harness, const char *words);

#endif
