/* Guards the pages for operators: docs/EVENTS.md must list exactly the events
 * of the code with the same levels and descriptions, and docs/OPERATIONS.md
 * must explain every kind of error. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"

#define COLUMNS 5

static const struct {
	const char *number;
	const char *name;
	const char *level;
	const char *text;
} events[] = {
#define X(name, number, level, text) {#number, #name, #level, text},
    BW_EVENT_LIST(X)
#undef X
};

/* Splits a row of the table; NULL for any other line. */
static char **
split_row(const char *line)
{
	char **cells;

	if (strncmp(line, "| ", 2) != 0 || !g_ascii_isdigit(line[2]))
		return NULL;
	cells = g_strsplit(line, "|", COLUMNS + 2);
	for (char **cell = cells; *cell != NULL; cell++)
		g_strstrip(*cell);
	if (g_strv_length(cells) != COLUMNS + 2)
		fail_msg("not a row of %d cells: %s", COLUMNS, line);
	return cells;
}

static void
catalogue_matches_the_code(void **state)
{
	size_t row = 0;
	char *text, **lines;

	assert_true(g_file_get_contents("docs/EVENTS.md", &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line != NULL; line++) {
		char **cells = split_row(*line);

		if (cells == NULL)
			continue;
		assert_true(row < G_N_ELEMENTS(events));
		assert_string_equal(cells[1], events[row].number);
		assert_string_equal(cells[2], events[row].name);
		assert_string_equal(cells[3], events[row].level);
		assert_string_equal(cells[4], events[row].text);
		assert_true(strlen(cells[5]) >= strlen("Nothing."));
		if (strcmp(cells[3], "INFO") != 0)
			assert_string_not_equal(cells[5], "Nothing.");
		row++;
		g_strfreev(cells);
	}
	assert_int_equal(row, G_N_ELEMENTS(events));
	g_strfreev(lines);
	g_free(text);
}

static void
numbers_rise_and_have_names(void **state)
{
	const int *numbers = event_list();

	for (size_t i = 0; numbers[i] != 0; i++) {
		assert_non_null(event_name(numbers[i]));
		assert_true(i == 0 || numbers[i] > numbers[i - 1]);
	}
	assert_null(event_name(1));
}

/* The first cell of a row holds one kind, or several with ", " between. */
static bool
page_explains(char **lines, const char *kind)
{
	bool found = false;

	for (char **line = lines; *line != NULL && !found; line++) {
		char **cells = g_strsplit(*line, "|", -1);
		char **kinds = NULL;

		if (g_strv_length(cells) == 6)
			kinds = g_strsplit(g_strstrip(cells[1]), ", ", -1);
		found = kinds != NULL &&
		    g_strv_contains((const char *const *)kinds, kind);
		g_strfreev(kinds);
		g_strfreev(cells);
	}
	return found;
}

static void
every_refusal_is_explained(void **state)
{
	static const char *const kinds[] = {
#define X(name, number, kind, status, class, remedy) kind,
	    BW_ERROR_LIST(X)
#undef X
	};
	char *text, **lines;

	assert_true(
	    g_file_get_contents("docs/OPERATIONS.md", &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!page_explains(lines, kinds[i]))
			fail_msg("not in docs/OPERATIONS.md: %s", kinds[i]);
	g_strfreev(lines);
	g_free(text);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(catalogue_matches_the_code),
	    cmocka_unit_test(numbers_rise_and_have_names),
	    cmocka_unit_test(every_refusal_is_explained),
	};

	return RUN_TESTS(argc, argv, tests);
}
