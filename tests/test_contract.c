/* Guards contracts against malformed or hostile text that is accepted, an older
 * version or a retired contract that comes back into force, a key that is
 * accepted after its contract was retired, and a deadline that is no longer
 * considered while requests run under it. */
#include "lib/runner.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <string.h>

#include "bulrushwell/contract_store.h"
#include "bulrushwell/error.h"

/* SHA-256 of SECRET_A, and an arbitrary other digest. */
#define DIGEST_A \
	"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
#define DIGEST_B \
	"5f4dcc3b5aa765d61d8327deb882cf995f4dcc3b5aa765d61d8327deb882cf99"
#define SECRET_A "secret"

#define CALLER(name, digest) \
	"{\"name\":\"" name "\",\"key_sha256\":\"" digest "\"}"
#define FIELDS(customer, state, callers, query, reserve, rate, concurrency,   \
    deadline, window)                                                         \
	"{\"customer\":" customer ",\"state\":" state ",\"callers\":" callers \
	",\"may_query\":" query ",\"may_reserve\":" reserve                   \
	",\"rate_per_s\":" rate ",\"concurrency\":" concurrency               \
	",\"deadline_ms\":" deadline ",\"repeat_window_h\":" window           \
	",\"operation\":\"op-1\",\"changed_by\":\"Gwen\"}"
#define VALID_CALLERS "[" CALLER("desk", DIGEST_A) "]"
#define WITH_FIELDS(customer, state, callers, query, reserve) \
	FIELDS(customer, state, callers, query, reserve, "40", "8", "250", "24")
#define VALID                                                       \
	WITH_FIELDS("\"llanberis\"", "\"in_force\"", VALID_CALLERS, \
	    "[\"boards\"]", "[\"slotplan-01\"]")
#define WITH_LIMITS(rate, concurrency, deadline, window)                       \
	FIELDS("\"llanberis\"", "\"in_force\"", VALID_CALLERS, "[\"boards\"]", \
	    "[\"slotplan-01\"]", rate, concurrency, deadline, window)

typedef struct {
	const char *text;
	const char *message; /* part of the error message; NULL: accepted */
} parse_case_t;

static const parse_case_t parse_cases[] = {
    {VALID, NULL},
    {WITH_LIMITS("0.1", "1", "10", "1"), NULL},
    {WITH_LIMITS("1e6", "100000", "10000", "720"), NULL},
    {WITH_FIELDS("\"x\"", "\"retired\"", "[]", "[]", "[]"), NULL},
    {"", "JSON"},
    {"{", "JSON"},
    {"[]", "object"},
    {"null", "JSON"},
    {"{}", "'customer' is missing"},
    {VALID "x", "JSON"},
    {"\xff\xfe{}", "JSON"},
    {"{\"customer\":\"a\",\"customer\":\"b\"}", "twice"},
    {"{\"colour\":1}", "'colour' is unknown"},
    {"{\"\\u001b[2J\":1}", "'(not a name)' is unknown"},
    {WITH_FIELDS(
	 "\"Llanberis\"", "\"in_force\"", VALID_CALLERS, "[\"b\"]", "[]"),
	"'customer'"},
    {WITH_FIELDS("\"\"", "\"in_force\"", VALID_CALLERS, "[\"b\"]", "[]"),
	"'customer'"},
    {WITH_FIELDS("\"../x\"", "\"in_force\"", VALID_CALLERS, "[\"b\"]", "[]"),
	"'customer'"},
    {WITH_FIELDS(
	 "\"a\\u0000b\"", "\"in_force\"", VALID_CALLERS, "[\"b\"]", "[]"),
	"JSON"},
    {WITH_FIELDS("7", "\"in_force\"", VALID_CALLERS, "[\"b\"]", "[]"),
	"'customer'"},
    {WITH_FIELDS("\"x\"", "\"paused\"", VALID_CALLERS, "[\"b\"]", "[]"),
	"'state'"},
    {WITH_FIELDS("\"x\"", "true", VALID_CALLERS, "[\"b\"]", "[]"), "'state'"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", "{}", "[\"b\"]", "[]"), "'callers'"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", "[]", "[\"b\"]", "[]"), "'callers'"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", "[7]", "[\"b\"]", "[]"), "'callers'"},
    {WITH_FIELDS(
	 "\"x\"", "\"in_force\"", "[{\"name\":\"a\"}]", "[\"b\"]", "[]"),
	"'callers'"},
    {WITH_FIELDS("\"x\"", "\"in_force\"",
	 "[" CALLER("a", DIGEST_A) "," CALLER("a", DIGEST_B) "]", "[\"b\"]",
	 "[]"),
	"'a' twice"},
    {WITH_FIELDS("\"x\"", "\"in_force\"",
	 "[" CALLER("a", DIGEST_A) "," CALLER("b", DIGEST_A) "]", "[\"b\"]",
	 "[]"),
	"same key"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", "[" CALLER("a", "hunter2") "]",
	 "[\"b\"]", "[]"),
	"key_sha256"},
    {WITH_FIELDS("\"x\"", "\"in_force\"",
	 "[{\"name\":\"a\",\"key_sha256\":\"" DIGEST_A
	 "\",\"key\":\"hunter2\"}]",
	 "[\"b\"]", "[]"),
	"'callers'"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", VALID_CALLERS, "[]", "[]"),
	"both empty"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", VALID_CALLERS, "[\"b\",\"b\"]", "[]"),
	"'b' twice"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", VALID_CALLERS, "\"b\"", "[]"),
	"'may_query'"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", VALID_CALLERS, "[null]", "[]"),
	"'may_query'"},
    {WITH_FIELDS("\"x\"", "\"in_force\"", VALID_CALLERS, "[]", "[\"a b\"]"),
	"'may_reserve'"},
    {WITH_LIMITS("0", "8", "250", "24"), "'rate_per_s'"},
    {WITH_LIMITS("-1", "8", "250", "24"), "'rate_per_s'"},
    {WITH_LIMITS("1000001", "8", "250", "24"), "'rate_per_s'"},
    {WITH_LIMITS("\"40\"", "8", "250", "24"), "'rate_per_s'"},
    {WITH_LIMITS("1e999", "8", "250", "24"), "JSON"},
    {WITH_LIMITS("NaN", "8", "250", "24"), "JSON"},
    {WITH_LIMITS("40", "0", "250", "24"), "'concurrency'"},
    {WITH_LIMITS("40", "1.5", "250", "24"), "'concurrency'"},
    {WITH_LIMITS("40", "100001", "250", "24"), "'concurrency'"},
    {WITH_LIMITS("40", "4294967297", "250", "24"), "'concurrency'"},
    {WITH_LIMITS("40", "99999999999999999999", "250", "24"), "JSON"},
    {WITH_LIMITS("40", "8", "9", "24"), "'deadline_ms'"},
    {WITH_LIMITS("40", "8", "10001", "24"), "'deadline_ms'"},
    {WITH_LIMITS("40", "8", "null", "24"), "'deadline_ms'"},
    {WITH_LIMITS("40", "8", "250", "0"), "'repeat_window_h'"},
    {WITH_LIMITS("40", "8", "250", "721"), "'repeat_window_h'"},
    {WITH_LIMITS("40", "8", "250", "-1"), "'repeat_window_h'"},
};

static void
texts_are_checked(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(parse_cases); i++) {
		const parse_case_t *c = &parse_cases[i];
		char message[256] = "";
		contract_t *contract;
		int error = contract_parse(slice_from(c->text), 3, &contract,
		    message, sizeof(message));

		if ((error == 0) != (c->message == NULL) ||
		    (c->message != NULL && strstr(message, c->message) == NULL))
			fail_msg("case %zu: %d '%s': %s", i, error, message,
			    c->text);
		assert_null(strstr(message, "hunter2"));
		if (error != 0) {
			assert_int_equal(error, BW_E_INVALID);
			assert_null(contract);
			assert_non_null(strpbrk(message, ";,"));
		}
		contract_unref(contract);
	}
}

/* No prefix of a valid text is accepted or read past its end. */
static void
truncated_texts_are_refused(void **state)
{
	for (size_t size = 0; size < strlen(VALID); size++) {
		char *copy = g_memdup2(VALID, size);
		contract_t *contract;
		char message[256];

		assert_int_equal(contract_parse((slice_t){copy, size}, 1,
				     &contract, message, sizeof(message)),
		    BW_E_INVALID);
		g_free(copy);
	}
}

static void
each_field_is_required(void **state)
{
	json_t *good = json_loads(VALID, 0, NULL);
	const char *field;
	json_t *value;

	json_object_foreach (good, field, value) {
		json_t *partial = json_copy(good);
		char message[256], *text;
		contract_t *contract;

		json_object_del(partial, field);
		text = json_dumps(partial, 0);
		assert_int_equal(contract_parse(slice_from(text), 1, &contract,
				     message, sizeof(message)),
		    BW_E_INVALID);
		assert_non_null(strstr(message, field));
		free(text);
		json_decref(partial);
	}
	json_decref(good);
}

static void
oversized_texts_are_refused(void **state)
{
	static const struct {
		const char *field;
		size_t entries;
	} cases[] = {
	    {"may_query", CONTRACT_MAX_NAMES + 1},
	    {"callers", CONTRACT_MAX_CALLERS + 1},
	    {"changed_by", 0},
	};
	contract_t *contract;
	char message[256];
	char *text = g_strnfill(CONTRACT_MAX_TEXT + 1, ' ');

	memcpy(text, VALID, strlen(VALID));
	assert_int_equal(contract_parse((slice_t){text, CONTRACT_MAX_TEXT + 1},
			     1, &contract, message, sizeof(message)),
	    BW_E_INVALID);
	assert_non_null(strstr(message, "too large"));
	assert_int_equal(contract_parse((slice_t){text, CONTRACT_MAX_TEXT}, 1,
			     &contract, message, sizeof(message)),
	    0);
	contract_unref(contract);
	g_free(text);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *root = json_loads(VALID, 0, NULL);
		json_t *list = json_array();
		char *dump, name[80];

		for (size_t j = 0; j < cases[i].entries; j++)
			json_array_append_new(list, json_sprintf("n%zu", j));
		memset(name, 'n', sizeof(name));
		if (cases[i].entries == 0)
			json_object_set_new(root, cases[i].field,
			    json_stringn(name, sizeof(name)));
		else
			json_object_set(root, cases[i].field, list);
		dump = json_dumps(root, 0);
		assert_int_equal(contract_parse(slice_from(dump), 1, &contract,
				     message, sizeof(message)),
		    BW_E_INVALID);
		assert_non_null(strstr(message, cases[i].field));
		free(dump);
		json_decref(list);
		json_decref(root);
	}
}

static void
deep_nesting_is_refused(void **state)
{
	char *text = g_strnfill(60000, '[');
	contract_t *contract;
	char message[256];

	assert_int_equal(contract_parse(slice_from(text), 1, &contract, message,
			     sizeof(message)),
	    BW_E_INVALID);
	g_free(text);
}

static void
values_are_read(void **state)
{
	contract_t *contract;
	char message[256];

	assert_int_equal(contract_parse(slice_from(VALID), 9, &contract,
			     message, sizeof(message)),
	    0);
	assert_string_equal(contract_customer(contract), "llanberis");
	assert_int_equal(contract_version(contract), 9);
	assert_false(contract_is_retired(contract));
	assert_true(contract_rate_per_s(contract) == 40.0);
	assert_int_equal(contract_concurrency(contract), 8);
	assert_int_equal(contract_deadline_ms(contract), 250);
	assert_int_equal(contract_repeat_window_h(contract), 24);
	assert_string_equal(contract_operation(contract), "op-1");
	assert_string_equal(contract_changed_by(contract), "Gwen");
	assert_true(contract_may_query(contract, "boards"));
	assert_false(contract_may_query(contract, "slotplan-01"));
	assert_true(contract_may_reserve(contract, "slotplan-01"));
	assert_false(contract_may_reserve(contract, "boards"));
	assert_true(slice_is(contract_text(contract), VALID));
	assert_int_equal(contract_caller_count(contract), 1);
	assert_string_equal(contract_caller_name(contract, 0), "desk");
	assert_int_equal(contract_caller_digest(contract, 0)[0], 0x2b);
	assert_ptr_equal(contract_ref(contract), contract);
	contract_unref(contract);
	assert_int_equal(contract_version(contract), 9);
	contract_unref(contract);
}

static char *
make_contract_text(const char *customer, const char *secret,
    unsigned deadline_ms, bool retired)
{
	char *digest =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, secret, -1);
	char *text = g_strdup_printf(
	    "{\"customer\":\"%s\",\"state\":\"%s\",\"callers\":[{\"name\":"
	    "\"desk\",\"key_sha256\":\"%s\"}],\"may_query\":[\"boards\"],"
	    "\"may_reserve\":[],\"rate_per_s\":1,\"concurrency\":1,"
	    "\"deadline_ms\":%u,\"repeat_window_h\":0,\"operation\":\"op\","
	    "\"changed_by\":\"t\"}",
	    customer, retired ? "retired" : "in_force", digest, deadline_ms);

	g_free(digest);
	return text;
}

static int
adopt(contract_store_t *store, const char *customer, const char *secret,
    unsigned deadline_ms, bool retired, uint64_t version, usec_t now)
{
	char *text = make_contract_text(customer, secret, deadline_ms, retired);
	char message[256];
	int error = contract_store_adopt(store, customer, slice_from(text),
	    version, now, message, sizeof(message));

	g_free(text);
	return error;
}

static bool
accepts_key(const contract_store_t *store, const char *secret)
{
	const char *caller;

	return contract_store_authenticate(
		   store, slice_from(secret), &caller) != NULL;
}

/* Versions arrive in random order and repeatedly; version 12 is retired. */
static void
versions_never_go_back(void **state)
{
	for (guint32 seed = 1; seed <= 200; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		contract_store_t *store = contract_store_create();
		uint64_t highest[3] = {0};
		const char *names[3] = {"a", "b", "c"};

		for (int step = 0; step < 60; step++) {
			int customer = g_rand_int_range(random, 0, 3);
			uint64_t version =
			    (uint64_t)g_rand_int_range(random, 1, 13);
			int error = adopt(store, names[customer], SECRET_A, 100,
			    version == 12, version, step);
			contract_t *contract;

			assert_int_equal(error,
			    version > highest[customer] ? 0 : BW_E_STALE);
			highest[customer] = MAX(highest[customer], version);
			contract = contract_store_find(store, names[customer]);
			assert_int_equal(
			    contract_version(contract), highest[customer]);
			assert_int_equal(contract_is_retired(contract),
			    highest[customer] == 12);
		}
		for (size_t i = 0; i + 1 < contract_store_count(store); i++)
			assert_true(strcmp(contract_customer(
					       contract_store_at(store, i)),
					contract_customer(contract_store_at(
					    store, i + 1))) < 0);
		contract_store_destroy(store);
		g_rand_free(random);
	}
}

/* Nodes compare digests to find out whether they hold the same contracts. */
static void
digest_ignores_the_order(void **state)
{
	for (guint32 seed = 1; seed <= 50; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		contract_store_t *first = contract_store_create();
		contract_store_t *second = contract_store_create();
		int order[20] = {0};

		for (int i = 0; i < 20; i++) {
			int j = g_rand_int_range(random, 0, i + 1);

			order[i] = order[j];
			order[j] = i;
		}
		for (int i = 0; i < 20; i++) {
			char name[2] = {(char)('a' + i % 5), 0};
			char other[2] = {(char)('a' + order[i] % 5), 0};

			adopt(first, name, SECRET_A, 100, false,
			    (uint64_t)i + 1, i);
			adopt(second, other, SECRET_A, 100, false,
			    (uint64_t)order[i] + 1, i);
		}
		assert_true(contract_store_digest(first) ==
		    contract_store_digest(second));
		adopt(second, "a", SECRET_A, 100, false, 50, 99);
		assert_true(contract_store_digest(first) !=
		    contract_store_digest(second));
		contract_store_destroy(first);
		contract_store_destroy(second);
		g_rand_free(random);
	}
}

static void
tombstones_are_never_undone(void **state)
{
	contract_store_t *store = contract_store_create();

	assert_int_equal(adopt(store, "a", SECRET_A, 100, false, 1, 0), 0);
	assert_true(accepts_key(store, SECRET_A));
	assert_int_equal(adopt(store, "a", SECRET_A, 100, true, 2, 0), 0);
	assert_false(accepts_key(store, SECRET_A));
	assert_int_equal(
	    adopt(store, "a", SECRET_A, 100, false, 1, 0), BW_E_STALE);
	assert_int_equal(
	    adopt(store, "a", SECRET_A, 100, false, 2, 0), BW_E_STALE);
	assert_int_equal(
	    adopt(store, "a", SECRET_A, 100, false, 3, 0), BW_E_INVALID);
	assert_int_equal(contract_version(contract_store_find(store, "a")), 2);
	assert_false(accepts_key(store, SECRET_A));
	assert_int_equal(adopt(store, "a", SECRET_A, 100, true, 4, 0), 0);
	assert_int_equal(contract_store_count(store), 1);
	contract_store_destroy(store);
}

static void
refused_adoption_changes_nothing(void **state)
{
	static const struct {
		const char *customer;
		const char *text;
		uint64_t version;
		int error;
	} cases[] = {
	    {"llanberis", "{", 9, BW_E_INVALID},
	    {"llanberis", "", 9, BW_E_INVALID},
	    {"llanberis", VALID, 0, BW_E_INVALID},
	    {"llanberis", VALID, 4, BW_E_STALE},
	    {"llanberis", VALID, 5, BW_E_STALE},
	    {"other", VALID, 9, BW_E_INVALID},
	    {"llanberis", WITH_LIMITS("0", "8", "250", "24"), 9, BW_E_INVALID},
	};
	contract_store_t *store = contract_store_create();
	uint64_t digest;
	char message[256];

	assert_int_equal(contract_store_adopt(store, "llanberis",
			     slice_from(VALID), 5, 0, message, sizeof(message)),
	    0);
	digest = contract_store_digest(store);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		contract_t *contract;

		assert_int_equal(
		    contract_store_adopt(store, cases[i].customer,
			slice_from(cases[i].text), cases[i].version, 0, message,
			sizeof(message)),
		    cases[i].error);
		assert_true(contract_store_digest(store) == digest);
		assert_int_equal(contract_store_count(store), 1);
		contract = contract_store_find(store, "llanberis");
		assert_int_equal(contract_version(contract), 5);
		assert_true(slice_is(contract_text(contract), VALID));
		assert_true(accepts_key(store, SECRET_A));
	}
	assert_null(contract_store_find(store, "other"));
	assert_null(contract_store_at(store, 1));
	contract_store_destroy(store);
}

static void
keys_follow_the_contracts(void **state)
{
	contract_store_t *store = contract_store_create();
	const char *caller;
	contract_t *contract;

	assert_false(accepts_key(store, SECRET_A));
	assert_false(accepts_key(store, ""));
	adopt(store, "b", "shared", 100, false, 1, 0);
	adopt(store, "a", "shared", 100, false, 1, 0);
	contract =
	    contract_store_authenticate(store, slice_from("shared"), &caller);
	assert_string_equal(contract_customer(contract), "a");
	assert_string_equal(caller, "desk");
	adopt(store, "a", "changed", 100, false, 2, 0);
	assert_true(accepts_key(store, "changed"));
	contract =
	    contract_store_authenticate(store, slice_from("shared"), &caller);
	assert_string_equal(contract_customer(contract), "b");
	adopt(store, "b", "shared", 100, true, 2, 0);
	assert_false(accepts_key(store, "shared"));
	adopt(store, "c", "", 100, false, 1, 0);
	assert_false(accepts_key(store, ""));
	assert_false(accepts_key(store, "shared "));
	contract_store_destroy(store);
}

static void
longest_deadline_covers_replaced_versions(void **state)
{
	static const struct {
		usec_t now;
		unsigned deadline_ms; /* of the version adopted; 0: none */
		bool retired;
		usec_t longest;
	} steps[] = {
	    {SECONDS(0), 300, false, MS(300)},
	    {SECONDS(1), 5000, false, MS(5000)},
	    {SECONDS(2), 200, false, MS(5000)},
	    {SECONDS(4), 400, false, MS(5000)},
	    {SECONDS(5), 100, false, MS(5000)},
	    {SECONDS(12), 0, false, MS(5000)},
	    {SECONDS(12) + 1, 0, false, MS(400)},
	    {SECONDS(15) + 1, 0, false, MS(100)},
	    {SECONDS(20), 100, true, MS(100)},
	    {SECONDS(30) + 1, 0, false, 0},
	};
	contract_store_t *store = contract_store_create();

	assert_int_equal(contract_store_longest_deadline(store, 0), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		if (steps[i].deadline_ms != 0)
			assert_int_equal(
			    adopt(store, "a", SECRET_A, steps[i].deadline_ms,
				steps[i].retired, i + 1, steps[i].now),
			    0);
		assert_int_equal(
		    contract_store_longest_deadline(store, steps[i].now),
		    steps[i].longest);
	}
	contract_store_destroy(store);
}

/* A full store refuses new customers only; a contract that it holds can still
 * be changed or retired. */
static void
full_store_still_adopts_changes(void **state)
{
	contract_store_t *store = contract_store_create();
	char name[16];

	for (int i = 0; i < CONTRACT_STORE_MAX; i++) {
		g_snprintf(name, sizeof(name), "c%d", i);
		assert_int_equal(
		    adopt(store, name, SECRET_A, 100, true, 1, 0), 0);
	}
	assert_int_equal(
	    adopt(store, "extra", SECRET_A, 100, false, 1, 0), BW_E_FULL);
	assert_int_equal(adopt(store, "c7", SECRET_A, 100, true, 2, 0), 0);
	contract_store_destroy(store);
}

static void
examples_are_valid(void **state)
{
	static const char *const names[] = {"llanberis", "al-harthi"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_strdup_printf("examples/%s.json", names[i]);
		contract_t *contract;
		char *text, message[256];
		gsize size;

		assert_true(g_file_get_contents(path, &text, &size, NULL));
		if (contract_parse((slice_t){text, size}, 1, &contract, message,
			sizeof(message)) != 0)
			fail_msg("%s: %s", path, message);
		assert_string_equal(contract_customer(contract), names[i]);
		contract_unref(contract);
		g_free(text);
		g_free(path);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(texts_are_checked),
	    cmocka_unit_test(truncated_texts_are_refused),
	    cmocka_unit_test(each_field_is_required),
	    cmocka_unit_test(oversized_texts_are_refused),
	    cmocka_unit_test(deep_nesting_is_refused),
	    cmocka_unit_test(values_are_read),
	    cmocka_unit_test(versions_never_go_back),
	    cmocka_unit_test(digest_ignores_the_order),
	    cmocka_unit_test(tombstones_are_never_undone),
	    cmocka_unit_test(refused_adoption_changes_nothing),
	    cmocka_unit_test(keys_follow_the_contracts),
	    cmocka_unit_test(longest_deadline_covers_replaced_versions),
	    cmocka_unit_test(full_store_still_adopts_changes),
	    cmocka_unit_test(examples_are_valid),
	};

	return RUN_TESTS(argc, argv, tests);
}
