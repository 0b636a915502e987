/* Runs the command-line tool for the process tests. */
#include "tool_run.h"

#include <sys/wait.h>

static gpointer
run_tool(gpointer context)
{
	tool_run_t *run = context;
	gint status = 0;

	run->status = -1;
	if (g_spawn_sync(NULL, run->argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
		&run->out, &run->err, &status, NULL) &&
	    WIFEXITED(status))
		run->status = WEXITSTATUS(status);
	return NULL;
}

tool_run_t *
tool_run_start(harness_t *harness, const char *words)
{
	tool_run_t *run = g_new0(tool_run_t, 1);
	char *line = g_strdup_printf(
	    "%s/bin/bulrushwell %s", harness_build_directory(), words);

	run->argv = g_strsplit(line, " ", -1);
	g_free(line);
	run->thread = g_thread_new("tool", run_tool, run);
	return run;
}

void
tool_run_wait(tool_run_t *run)
{
	g_thread_join(run->thread);
}

void
tool_run_free(tool_run_t *run)
{
	g_strfreev(run->argv);
	g_free(run->out);
	g_free(run->err);
	g_free(run);
}

int
tool_run_exit_status(harness_t *harness, const char *words)
{
	tool_run_t *run = tool_run_start(harness, words);
	int status;

	tool_run_wait(run);
	status = run->status;
	print_message(
	    "bulrushwell %s: %d %s%s\n", words, status, run->out, run->err);
	tool_run_free(run);
	return status;
}
