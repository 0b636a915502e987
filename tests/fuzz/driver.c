/* Entry of libFuzzer; the target is that of the variable BW_TARGET. */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "../lib/fuzz_targets.h"

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const fuzz_target_t *target;

int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
	const char *name = getenv("BW_TARGET");

	target = name != NULL ? fuzz_find_target(name) : NULL;
	if (target == NULL) {
		fprintf(stderr, "BW_TARGET names no target\n");
		exit(1);
	}
	return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *failure = target->run((const char *)data, size);

	if (failure == NULL)
		return 0;
	fprintf(stderr, "%s: %s\n", target->name, failure);
	abort();
}
