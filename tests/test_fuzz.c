/*
 * Reads altered inputs with everything that reads bytes from outside. Guards
 * against a crash, a limit that does not hold, and a result that depends on how
 * the bytes arrive. All inputs that ever failed are in tests/fuzz and are read
 * first.
 *
 * BW_SEED and BW_STEPS are the first seed and the number of altered inputs of
 * each target; a failure names the seed. "make fuzz" builds the same targets
 * for libFuzzer.
 */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/fuzz_targets.h"
#include "lib/random.h"

#define INPUTS_DIRECTORY "tests/fuzz"
#define DEFAULT_STEPS 6000
#define MAX_ALTERATIONS 6
#define MAX_REPEATS 64
#define INPUT_MAX 4096
#define FAILED_INPUT "build/fuzz-failed"

/* Texts that parsers treat in special ways. */
static const char *const tokens[] = {"\r\n", "\r\n\r\n", "\0", "0", "-1",
    "1e999", "9223372036854775808", "18446744073709551615", "\\u0000",
    "\\udcff", "[[[[", "}}", "null", "\"\"", "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
    "Connection: close\r\n", "\xff\xff\xff\xff", "\xc0", "\xdf", "\xdd"};

static gint
compare_inputs(gconstpointer a, gconstpointer b)
{
	return g_bytes_compare(*(GBytes *const *)a, *(GBytes *const *)b);
}

static GPtrArray *
load_inputs(const fuzz_target_t *target)
{
	GPtrArray *inputs =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	char *directory =
	    g_build_filename(INPUTS_DIRECTORY, target->name, NULL);
	GDir *entries = g_dir_open(directory, 0, NULL);
	const char *name;

	if (entries == NULL)
		fail_msg("no inputs in %s", directory);
	while ((name = g_dir_read_name(entries)) != NULL) {
		char *path = g_build_filename(directory, name, NULL);
		char *data;
		gsize size;

		assert_true(g_file_get_contents(path, &data, &size, NULL));
		g_ptr_array_add(inputs, g_bytes_new_take(data, size));
		g_free(path);
	}
	g_dir_close(entries);
	g_free(directory);
	assert_true(inputs->len > 0);
	/* The order of a directory is not reproducible. */
	g_ptr_array_sort(inputs, compare_inputs);
	return inputs;
}

static void
replace_byte(GByteArray *input, random_t *random)
{
	if (input->len > 0)
		input->data[random_below(random, input->len)] =
		    (guint8)random_below(random, 256);
}

static void
flip_bit(GByteArray *input, random_t *random)
{
	if (input->len > 0)
		input->data[random_below(random, input->len)] ^=
		    (guint8)(1u << random_below(random, 8));
}

static void
remove_range(GByteArray *input, random_t *random)
{
	guint start = random_below(random, input->len + 1);

	g_byte_array_remove_range(
	    input, start, random_below(random, input->len - start + 1));
}

static void
insert_bytes(GByteArray *input, guint at, const char *data, guint size)
{
	GByteArray *rest = g_byte_array_new();

	g_byte_array_append(rest, input->data + at, input->len - at);
	g_byte_array_set_size(input, at);
	g_byte_array_append(input, (const guint8 *)data, size);
	g_byte_array_append(input, rest->data, rest->len);
	g_byte_array_unref(rest);
}

static void
insert_token(GByteArray *input, random_t *random)
{
	const char *token = tokens[random_below(random, G_N_ELEMENTS(tokens))];

	insert_bytes(input, random_below(random, input->len + 1), token,
	    (guint)MAX(strlen(token), 1));
}

static void
repeat_range(GByteArray *input, random_t *random)
{
	guint start = random_below(random, input->len + 1);
	guint size = random_below(random, MIN(input->len - start, 32) + 1);
	guint count = 1 + random_below(random, MAX_REPEATS);
	char range[32];

	memcpy(range, input->data + start, size);
	for (guint i = 0; i < count && input->len < INPUT_MAX; i++)
		insert_bytes(input, start, range, size);
}

/* The end of another input after a start of this one. */
static void
cross_over(GByteArray *input, random_t *random, GPtrArray *inputs)
{
	gsize size;
	const guint8 *other = g_bytes_get_data(
	    inputs->pdata[random_below(random, inputs->len)], &size);
	guint start = random_below(random, (uint32_t)size + 1);

	g_byte_array_set_size(input, random_below(random, input->len + 1));
	g_byte_array_append(input, other + start, (guint)size - start);
}

static void
alter(GByteArray *input, random_t *random, GPtrArray *inputs)
{
	switch (random_below(random, 6)) {
	case 0:
		replace_byte(input, random);
		break;
	case 1:
		flip_bit(input, random);
		break;
	case 2:
		remove_range(input, random);
		break;
	case 3:
		insert_token(input, random);
		break;
	case 4:
		repeat_range(input, random);
		break;
	default:
		cross_over(input, random, inputs);
	}
}

static GByteArray *
build_input(uint64_t seed, GPtrArray *inputs)
{
	random_t random = {seed};
	GBytes *start = inputs->pdata[random_below(&random, inputs->len)];
	GByteArray *input = g_byte_array_new();
	gsize size;
	const guint8 *data = g_bytes_get_data(start, &size);
	uint32_t alterations = 1 + random_below(&random, MAX_ALTERATIONS);

	g_byte_array_append(input, data, (guint)size);
	for (uint32_t i = 0; i < alterations; i++)
		alter(input, &random, inputs);
	return input;
}

/* A copy of the exact size lets the sanitizer see a read beyond the end. */
static void
run_input(const fuzz_target_t *target, const void *data, size_t size,
    const char *name)
{
	char *copy = size > 0 ? g_memdup2(data, size) : g_strdup("");
	const char *failure = target->run(copy, size);

	g_free(copy);
	if (failure == NULL)
		return;
	g_file_set_contents(FAILED_INPUT, data, (gssize)size, NULL);
	fail_msg("%s, %s: %s (the input is in %s)", target->name, name, failure,
	    FAILED_INPUT);
}

static void
run_kept_inputs(const fuzz_target_t *target, GPtrArray *inputs)
{
	for (guint i = 0; i < inputs->len; i++) {
		gsize size;
		const void *data = g_bytes_get_data(inputs->pdata[i], &size);

		run_input(target, data, size, "a kept input");
	}
}

static void
run_altered_inputs(const fuzz_target_t *target, GPtrArray *inputs)
{
	uint64_t first = environment_number("BW_SEED", 1);
	uint64_t count = environment_number("BW_STEPS", DEFAULT_STEPS);

	for (uint64_t seed = first; seed < first + count; seed++) {
		GByteArray *input = build_input(seed, inputs);
		char name[48];

		snprintf(name, sizeof(name), "BW_SEED=%llu",
		    (unsigned long long)seed);
		run_input(target, input->data, input->len, name);
		g_byte_array_unref(input);
	}
}

static void
altered_inputs_break_nothing(void **state)
{
	size_t count;
	const fuzz_target_t *targets = fuzz_targets(&count);

	for (size_t i = 0; i < count; i++) {
		GPtrArray *inputs = load_inputs(&targets[i]);

		run_kept_inputs(&targets[i], inputs);
		run_altered_inputs(&targets[i], inputs);
		g_ptr_array_unref(inputs);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(altered_inputs_break_nothing),
	};

	return RUN_TESTS(argc, argv, tests);
}
