#include "bulrushwell/event.h"

#include <log4c.h>
#include <log4c/appender_type_stream2.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/clock.h"
#include "log_sink.h"

#define LINE_MAX_BYTES 1024
#define NODE_MAX_BYTES 64
#define MAX_INFO_LINES_PER_SECOND 40
#define MAX_WARNING_LINES_PER_SECOND 200

typedef struct {
	int number;
	int priority;
	const char *name;
	uint64_t count;
} event_entry_t;

static event_entry_t events[] = {
#define X(name, number, level, text) {number, LOG4C_PRIORITY_##level, #name, 0},
    BW_EVENT_LIST(X)
#undef X
};

static const int event_numbers[] = {
#define X(name, number, level, text) number,
    BW_EVENT_LIST(X)
#undef X
	0};

static const size_t event_total = sizeof(events) / sizeof(events[0]);
static log4c_category_t *category;
static char node_name[NODE_MAX_BYTES];

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	static char line[LINE_MAX_BYTES + 64];

	snprintf(line, sizeof(line), "%lld.%06ld %s %s\n",
	    (long long)event->evt_timestamp.tv_sec,
	    (long)event->evt_timestamp.tv_usec,
	    log4c_priority_to_string(event->evt_priority), event->evt_msg);
	return line;
}

static const log4c_layout_type_t line_layout = {
    "bulrushwell_line", format_line};

static int
append_to_sink(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	log_sink_add(event->evt_rendered_msg);
	return 0;
}

static const log4c_appender_type_t sink_appender = {
    "bulrushwell_sink", NULL, append_to_sink, NULL};

static void
open_appender(const char *program, const char *node, const char *type)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log4c_layout_type_set(&line_layout);
	layout = log4c_layout_get("bulrushwell");
	log4c_layout_set_type(layout, &line_layout);
	appender = log4c_appender_get("bulrushwell");
	log4c_appender_set_type(appender, log4c_appender_type_get(type));
	if (strcmp(type, "stream2") == 0) {
		log4c_stream2_set_fp(appender, stderr);
		log4c_stream2_set_flags(appender, LOG4C_STREAM2_UNBUFFERED);
	}
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(program);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
	log4c_category_set_additivity(category, 0);
	snprintf(node_name, sizeof(node_name), "%s", node);
}

void
event_open(const char *program, const char *node)
{
	log4c_init();
	open_appender(program, node, "stream2");
}

void
event_open_stdout(const char *program, const char *node)
{
	log4c_init();
	log4c_appender_type_set(&sink_appender);
	open_appender(program, node, sink_appender.name);
}

void
event_flush(void)
{
	log_sink_flush();
}

void
event_close(void)
{
	if (category == NULL)
		return;
	category = NULL;
	log4c_fini();
}

static event_entry_t *
find_event(int number)
{
	for (size_t i = 0; i < event_total; i++)
		if (events[i].number == number)
			return &events[i];
	return NULL;
}

static void
log_text(event_entry_t *event, const char *text)
{
	event->count++;
	if (category != NULL)
		log4c_category_log(category, event->priority, "%s BW%04d %s %s",
		    node_name, event->number, event->name, text);
}

void
event_log(event_number_t number, const char *format, ...)
{
	char text[LINE_MAX_BYTES - 128];
	event_entry_t *event = find_event((int)number);
	va_list args;

	if (event == NULL)
		return;
	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	log_text(event, text);
}

/* Counts a line against the limit of the current second; warnings and errors
 * have a limit of their own. The lines dropped in a second are reported by the
 * first call in a later one. */
static bool
admit_line(int priority)
{
	static usec_t current_second;
	static uint32_t lines[2];
	static uint32_t dropped;
	bool warning = priority <= LOG4C_PRIORITY_WARN;
	usec_t now = clock_monotonic() / USEC_PER_SEC;

	if (now != current_second) {
		uint32_t omitted = dropped;

		current_second = now;
		lines[0] = lines[1] = 0;
		dropped = 0;
		if (omitted > 0)
			event_log(
			    EVENT_LOG_DROPPED, "lines=%u cause=rate", omitted);
	}
	if (lines[warning] >= (warning ? MAX_WARNING_LINES_PER_SECOND
				       : MAX_INFO_LINES_PER_SECOND)) {
		dropped++;
		return false;
	}
	lines[warning]++;
	return true;
}

void
event_log_sampled(event_number_t number, const char *format, ...)
{
	char text[LINE_MAX_BYTES - 128];
	event_entry_t *event = find_event((int)number);
	va_list args;

	if (event == NULL)
		return;
	if (!admit_line(event->priority)) {
		event->count++;
		return;
	}
	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	log_text(event, text);
}

uint64_t
event_count(event_number_t number)
{
	const event_entry_t *event = find_event((int)number);

	return event != NULL ? event->count : 0;
}

const char *
event_name(int number)
{
	const event_entry_t *event = find_event(number);

	return event != NULL ? event->name : NULL;
}

const int *
event_list(void)
{
	return event_numbers;
}

static bool
invariants_are_fatal(void)
{
#ifdef BW_FATAL_INVARIANTS
	return true;
#else
	const char *value = getenv("BULRUSHWELL_FATAL_INVARIANTS");

	return value != NULL && strcmp(value, "1") == 0;
#endif
}

void
event_broken_invariant(
    const char *file, int line, const char *condition, const char *format, ...)
{
	char text[LINE_MAX_BYTES / 2];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	event_log(EVENT_INVARIANT_BROKEN, "%s:%d (%s): %s", file, line,
	    condition, text);
	if (category == NULL)
		fprintf(stderr, "broken invariant at %s:%d (%s): %s\n", file,
		    line, condition, text);
	if (invariants_are_fatal())
		abort();
}
