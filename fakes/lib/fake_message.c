/* Requests and replies of the stand-ins, and what their main() functions
 * share. */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "fake_internal.h"

const char *
fake_request_header(const fake_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->mhd, MHD_HEADER_KIND, name);
}

const char *
fake_request_argument(const fake_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->mhd, MHD_GET_ARGUMENT_KIND, name);
}

bool
fake_request_is(
    const fake_request_t *request, const char *method, const char *path)
{
	return strcmp(request->method, method) == 0 &&
	    strcmp(request->path, path) == 0;
}

void
fake_reply_add_header(
    fake_reply_t *reply, const char *name, const char *format, ...)
{
	va_list args;

	if (reply->header_count == FAKE_MAX_HEADERS)
		abort();
	reply->headers[reply->header_count].name = name;
	va_start(args, format);
	vsnprintf(reply->headers[reply->header_count].value,
	    sizeof(reply->headers[0].value), format, args);
	va_end(args);
	reply->header_count++;
}

void
fake_reply_text(fake_reply_t *reply, int status, const char *format, ...)
{
	va_list args;

	reply->status = status;
	va_start(args, format);
	g_string_vprintf(reply->body, format, args);
	va_end(args);
}

void
fake_reply_json(fake_reply_t *reply, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

	reply->status = status;
	g_string_assign(reply->body, text);
	free(text);
	json_decref(value);
}

void
fake_read_bool(const json_t *object, const char *name, bool *value)
{
	const json_t *field = json_object_get(object, name);

	if (json_is_boolean(field))
		*value = json_is_true(field);
}

void
fake_read_int(const json_t *object, const char *name, int64_t *value)
{
	const json_t *field = json_object_get(object, name);

	if (json_is_number(field))
		*value = (int64_t)json_number_value(field);
}

static sigset_t termination_signals;

void
fake_main_init(void)
{
	struct rlimit limit;

	sigemptyset(&termination_signals);
	sigaddset(&termination_signals, SIGTERM);
	sigaddset(&termination_signals, SIGINT);
	sigprocmask(SIG_BLOCK, &termination_signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
		limit.rlim_cur = limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
}

void
fake_main_run(void)
{
	int signal_number;

	puts("ready");
	fflush(stdout);
	sigwait(&termination_signals, &signal_number);
	_exit(0);
}
