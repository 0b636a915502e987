/* Process test harness: starting, signalling and reaping processes. */
#include "harness.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

#define POLL_MS 10

/* Process groups to kill when a signal terminates this process. */
static volatile pid_t process_groups[HARNESS_MAX_PROCESSES];

static void
kill_process_groups(int signal_number)
{
	for (int i = 0; i < HARNESS_MAX_PROCESSES; i++)
		if (process_groups[i] > 0)
			kill(-process_groups[i], SIGKILL);
	signal(signal_number, SIG_DFL);
	raise(signal_number);
}

const char *
harness_build_directory(void)
{
	static char path[512];
	const char *build = getenv("BUILD");
	ssize_t length;

	if (build != NULL)
		return build;
	length = readlink("/proc/self/exe", path, sizeof(path) - 1);
	assert_true(length > 0);
	path[length] = '\0';
	for (int i = 0; i < 2; i++)
		*strrchr(path, '/') = '\0';
	return path;
}

int
harness_setup(void **state)
{
	harness_t *harness = g_new0(harness_t, 1);

	harness->servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	harness->platform_process = -1;
	harness->upstream_process = -1;
	for (int i = 0; i < HARNESS_MAX_NODES; i++)
		harness->nodes[i].process = -1;
	signal(SIGTERM, kill_process_groups);
	signal(SIGINT, kill_process_groups);
	signal(SIGABRT, kill_process_groups);
	*state = harness;
	return 0;
}

int
harness_teardown(void **state)
{
	harness_t *harness = *state;

	for (int i = 0; i < harness->process_count; i++) {
		harness_kill(harness, i);
		if (harness->processes[i].output >= 0)
			close(harness->processes[i].output);
	}
	g_hash_table_destroy(harness->servers);
	g_free(harness);
	return 0;
}

static const char *
log_path(const char *name)
{
	static char path[768];
	static int number;

	snprintf(path, sizeof(path), "%s/test-logs", harness_build_directory());
	mkdir(path, 0777);
	snprintf(path, sizeof(path), "%s/test-logs/%s-%d-%d.stderr",
	    harness_build_directory(), name, (int)getpid(), number++);
	return path;
}

static pid_t
spawn(const char *path, char **argv, int output, int log)
{
	posix_spawn_file_actions_t actions;
	posix_spawnattr_t attributes;
	sigset_t empty_mask;
	pid_t pid = 0;
	int error;

	sigemptyset(&empty_mask);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
	posix_spawn_file_actions_adddup2(&actions, log, STDERR_FILENO);
	posix_spawnattr_init(&attributes);
	posix_spawnattr_setflags(
	    &attributes, POSIX_SPAWN_SETPGROUP | POSIX_SPAWN_SETSIGMASK);
	posix_spawnattr_setpgroup(&attributes, 0);
	posix_spawnattr_setsigmask(&attributes, &empty_mask);
	error = posix_spawn(&pid, path, &actions, &attributes, argv, environ);
	posix_spawn_file_actions_destroy(&actions);
	posix_spawnattr_destroy(&attributes);
	if (error != 0)
		fail_msg("cannot start %s: %s", path, strerror(error));
	return pid;
}

static int
open_log(const char *name)
{
	const char *path = log_path(name);
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0666);

	if (fd < 0)
		fail_msg("%s: %s", path, strerror(errno));
	return fd;
}

process_t
harness_spawn(harness_t *harness, const char *program, const char *name,
    const char *const *arguments, bool keep_output)
{
	process_t index = harness->process_count;
	harness_process_t *process = &harness->processes[index];
	GPtrArray *argv = g_ptr_array_new();
	char *path =
	    g_strdup_printf("%s/bin/%s", harness_build_directory(), program);
	int pipes[2] = {-1, -1};
	int log = open_log(name);

	if (index >= HARNESS_MAX_PROCESSES)
		fail_msg("a test has started more than %d processes; run fewer "
			 "seeds at once",
		    HARNESS_MAX_PROCESSES);
	if (keep_output)
		assert_int_equal(pipe2(pipes, O_CLOEXEC), 0);
	g_ptr_array_add(argv, path);
	for (; *arguments != NULL; arguments++)
		g_ptr_array_add(argv, (char *)*arguments);
	g_ptr_array_add(argv, NULL);
	process->pid = spawn(
	    path, (char **)argv->pdata, keep_output ? pipes[1] : log, log);
	process_groups[index] = process->pid;
	process->output = pipes[0];
	g_strlcpy(process->name, name, sizeof(process->name));
	harness->process_count++;
	close(log);
	if (keep_output)
		close(pipes[1]);
	g_ptr_array_free(argv, TRUE);
	g_free(path);
	return index;
}

void
harness_wait_ready(harness_t *harness, process_t process)
{
	const harness_process_t *target = &harness->processes[process];
	usec_t until = clock_monotonic() + MS(HARNESS_TIMEOUT_MS);
	char text[256];
	size_t size = 0;

	while (clock_monotonic() < until && size < sizeof(text) - 1) {
		struct pollfd wait = {target->output, POLLIN, 0};
		int remaining_ms =
		    (int)((until - clock_monotonic()) / USEC_PER_MS);
		ssize_t received;

		if (poll(&wait, 1, remaining_ms + 1) <= 0)
			continue;
		received =
		    read(target->output, text + size, sizeof(text) - 1 - size);
		if (received <= 0)
			break;
		size += (size_t)received;
		text[size] = '\0';
		if (strstr(text, "ready\n") != NULL)
			return;
	}
	fail_msg("%s did not become ready; see its log file", target->name);
}

void
harness_wait_status(
    const char *address, const char *path, int status, int timeout_ms)
{
	usec_t until = clock_monotonic() + MS(timeout_ms);
	int seen = 0;

	while (clock_monotonic() < until) {
		http_reply_t reply =
		    harness_http("GET", address, path, NULL, NULL, 1000);

		seen = reply.status;
		http_reply_clear(&reply);
		if (seen == status)
			return;
		g_usleep(POLL_MS * 1000);
	}
	fail_msg("%s%s returned status %d, expected %d", address, path, seen,
	    status);
}

void
harness_signal(harness_t *harness, process_t process, int signal_number)
{
	pid_t pid = harness->processes[process].pid;

	if (pid > 0)
		kill(pid, signal_number);
}

static void
mark_exited(harness_t *harness, process_t process)
{
	/* The process group may still contain children of the process. */
	kill(-harness->processes[process].pid, SIGKILL);
	harness->processes[process].pid = 0;
	process_groups[process] = 0;
}

void
harness_kill(harness_t *harness, process_t process)
{
	pid_t pid = harness->processes[process].pid;

	if (pid <= 0)
		return;
	kill(-pid, SIGKILL);
	waitpid(pid, NULL, 0);
	mark_exited(harness, process);
}

int
harness_wait_exit(harness_t *harness, process_t process, int timeout_ms)
{
	usec_t until = clock_monotonic() + MS(timeout_ms);
	pid_t pid = harness->processes[process].pid;
	int status;

	if (pid <= 0)
		return -1;
	do {
		if (waitpid(pid, &status, WNOHANG) == pid) {
			mark_exited(harness, process);
			return status;
		}
		g_usleep(POLL_MS * 1000);
	} while (clock_monotonic() < until);
	return -1;
}
