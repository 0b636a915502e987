#include "runner.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TESTS 256

static bool
is_known_failure(const char *program, const char *test)
{
	const char *path = getenv("BW_KNOWN_RED");
	char line[512], wanted[512];
	bool found = false;
	FILE *file;

	if (getenv("BW_RUN_RED") != NULL)
		return false;
	file = fopen(path != NULL ? path : "KNOWN-RED.txt", "r");
	if (file == NULL)
		return false;
	snprintf(wanted, sizeof(wanted), "test: %s/%s", program, test);
	while (!found && fgets(line, sizeof(line), file) != NULL) {
		line[strcspn(line, "\r\n")] = '\0';
		found = strcmp(line, wanted) == 0;
	}
	fclose(file);
	return found;
}

int
runner_main(int argc, char **argv, const struct CMUnitTest *tests, size_t count)
{
	struct CMUnitTest selected[MAX_TESTS];
	const char *slash = strrchr(argv[0], '/');
	const char *program = slash != NULL ? slash + 1 : argv[0];
	size_t selected_count = 0;

	if (count > MAX_TESTS) {
		fprintf(stderr, "%s: too many tests; increase MAX_TESTS\n",
		    program);
		return 1;
	}
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	for (size_t i = 0; i < count; i++) {
		if (is_known_failure(program, tests[i].name))
			printf("KNOWN RED, not run: %s/%s\n", program,
			    tests[i].name);
		else
			selected[selected_count++] = tests[i];
	}
	return _cmocka_run_group_tests(
	    program, selected, selected_count, NULL, NULL);
}
