/*
 * Tests the gateway's input validation: settings, configurations, server
 * entries and HTTP messages that are malformed, out of range, truncated or
 * hostile must be refused and must not be misinterpreted.
 */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../platform/decode_config.h"
#include "../platform/decode_server.h"
#include "../source/gateway/exchange_private.h"
#include "../source/gateway/gateway_settings.h"
#include "../source/http/http_message.h"
#include "../source/peers/peer_group.h"
#include "bulrushwell/error.h"

#define REQUIRED_FLAGS                                             \
	"--node=n1", "--data-centre=dc1", "--clients=127.0.0.1:1", \
	    "--health=127.0.0.1:2", "--store=127.0.0.1:3"
#define MAX_FLAGS 20

typedef struct {
	const char *name;
	const char *flags[MAX_FLAGS];
	const char *expected_text; /* part of the message; NULL: valid */
} settings_case_t;

static const settings_case_t settings_cases[] = {
    {"the required settings alone", {REQUIRED_FLAGS}, NULL},
    {"all settings",
	{REQUIRED_FLAGS, "--metrics=127.0.0.1:4", "--peers=127.0.0.1:5",
	    "--store-history-s=60", "--retry-ratio=0.1", "--retry-window-s=5",
	    "--retry-slack=7", "--drain-ms=2000", "--stop-s=8",
	    "--quota-window-s=5", "--quota-overshoot=0.1", "--quota-slack=20"},
	NULL},
    {"limits that are not given",
	{REQUIRED_FLAGS,
	    "--quota-window-s=", "--quota-overshoot=", "--quota-slack="},
	NULL},
    {"a window of nothing", {REQUIRED_FLAGS, "--quota-window-s=0"},
	"--quota-window-s"},
    {"a negative overshoot", {REQUIRED_FLAGS, "--quota-overshoot=-0.1"},
	"--quota-overshoot"},
    {"a slack with letters", {REQUIRED_FLAGS, "--quota-slack=20x"},
	"--quota-slack"},
    {"a node without a store",
	{"--node=n1", "--data-centre=dc1", "--clients=127.0.0.1:1",
	    "--health=127.0.0.1:2"},
	"--store"},
    {"a host name for metrics", {REQUIRED_FLAGS, "--metrics=host:80"},
	"--metrics"},
    {"an address without a port", {REQUIRED_FLAGS, "--metrics=127.0.0.1"},
	"--metrics"},
    {"a port out of range", {REQUIRED_FLAGS, "--metrics=127.0.0.1:70000"},
	"--metrics"},
    {"a host name for peers", {REQUIRED_FLAGS, "--peers=host"}, "--peers"},
    {"a store without history", {REQUIRED_FLAGS, "--store-history-s=0"},
	"--store-history-s"},
    {"a negative ratio", {REQUIRED_FLAGS, "--retry-ratio=-1"}, "--retry-ratio"},
    {"a number with letters", {REQUIRED_FLAGS, "--drain-ms=3s"}, "--drain-ms"},
    {"no evacuations", {REQUIRED_FLAGS, "--evacuate-ms="}, NULL},
    {"too short an evacuation", {REQUIRED_FLAGS, "--evacuate-ms=999"},
	"--evacuate-ms"},
    {"no bound for the configuration", {REQUIRED_FLAGS, "--config-apply-ms="},
	NULL},
    {"0 for the same", {REQUIRED_FLAGS, "--config-apply-ms=0"}, NULL},
    {"too short a bound for it", {REQUIRED_FLAGS, "--config-apply-ms=999"},
	"--config-apply-ms"},
    {"a bound with letters", {REQUIRED_FLAGS, "--config-apply-ms=3s"},
	"--config-apply-ms"},
    {"zero time to stop", {REQUIRED_FLAGS, "--stop-s=0"}, "--stop-s"},
    {"cold servers",
	{REQUIRED_FLAGS, "--warmup-overshoot=1.5", "--warmup-slack=5"}, NULL},
    {"nothing on cold servers",
	{REQUIRED_FLAGS, "--warmup-overshoot=", "--warmup-slack="}, NULL},
    {"an overshoot that is no number",
	{REQUIRED_FLAGS, "--warmup-overshoot=nan"}, "--warmup-overshoot"},
    {"a negative slack", {REQUIRED_FLAGS, "--warmup-slack=-1"},
	"--warmup-slack"},
    {"an unknown flag", {REQUIRED_FLAGS, "--tune=1"}, "tune"},
    {"an unexpected argument", {REQUIRED_FLAGS, "word"}, "word"},
};

static int
load(const settings_case_t *row, gateway_settings_t *settings, char *message,
    size_t message_size)
{
	char *argv[MAX_FLAGS + 2] = {"bulrushwell-gateway"};
	int argc = 1;

	for (int i = 0; i < MAX_FLAGS && row->flags[i] != NULL; i++)
		argv[argc++] = (char *)row->flags[i];
	return gateway_settings_load(
	    argc, argv, settings, message, message_size);
}

/*
 * The longest time for which a poll that the store has lost hides a leaving
 * server: the poll's wait, the margin for its answer and the delay before it is
 * sent again, lengthened by its jitter. The rest of the bound is for the answer
 * and for requests on the way.
 */
static void
a_lost_poll_is_noticed_within_the_drain_time(void **state)
{
	enum { RETRY_DELAY_MS = 120, REST_MS = 300 };
	static const struct {
		const char *flag;
		int drain_ms;
	} cases[] = {{"--drain-ms=3000", 3000}, {"--drain-ms=5000", 5000},
	    {"--drain-ms=6000", 6000}, {"--drain-ms=30000", 30000}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const settings_case_t row = {
		    cases[i].flag, {REQUIRED_FLAGS, cases[i].flag}, NULL};
		gateway_settings_t settings;
		char message[256];

		assert_int_equal(
		    load(&row, &settings, message, sizeof(message)), 0);
		assert_true(settings.registry_polls.wait +
			settings.registry_polls.answer_margin +
			MS(RETRY_DELAY_MS) <=
		    MS(cases[i].drain_ms - REST_MS));
	}
}

/* The same for an evacuation and the configuration, whose poll may follow the
 * pause after a change. Without the flag, the polls have no such bound. */
static void
a_lost_poll_is_noticed_within_the_bound_of_its_kind(void **state)
{
	static const char *const values[] = {
	    "", "1500", "3000", "5000", "30000"};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		char *evacuate = g_strconcat("--evacuate-ms=", values[i], NULL);
		char *apply =
		    g_strconcat("--config-apply-ms=", values[i], NULL);
		const settings_case_t row = {
		    "", {REQUIRED_FLAGS, evacuate, apply}, NULL};
		gateway_settings_t settings;
		char message[256];

		assert_int_equal(
		    load(&row, &settings, message, sizeof(message)), 0);
		for (int j = 0; j < 2; j++) {
			const poll_times_t *times = j == 0
			    ? &settings.evacuation_polls
			    : &settings.config_polls;

			assert_true((times->time_max > 0) == (i > 0));
			if (i > 0)
				assert_true(times->change_delay +
					times->time_max + MS(120) <=
				    MS(atoi(values[i])));
		}
		g_free(evacuate);
		g_free(apply);
	}
}

/*
 * Peers that read the store for this node may report a leaving server too late
 * for a short drain time.
 */
static void
peers_are_followed_only_with_a_long_drain_time(void **state)
{
	static const struct {
		const char *drain;
		bool may_follow;
		const char *other;
	} cases[] = {{"--drain-ms=1500", false, NULL},
	    {"--drain-ms=2800", false, NULL}, {"--drain-ms=3000", true, NULL},
	    {"--drain-ms=5000", true, "--evacuate-ms=5000"},
	    {"--drain-ms=5000", false, "--evacuate-ms=2800"},
	    {"--drain-ms=5000", true, "--config-apply-ms=3000"},
	    {"--drain-ms=5000", false, "--config-apply-ms=2800"}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const settings_case_t row = {"",
		    {REQUIRED_FLAGS, "--peers=127.0.0.1:5", cases[i].drain,
			cases[i].other},
		    NULL};
		gateway_settings_t settings;
		char message[256];

		assert_int_equal(
		    load(&row, &settings, message, sizeof(message)), 0);
		assert_int_equal(
		    settings.may_follow_peers, cases[i].may_follow);
		/* The wait for peers delays the news as well. */
		if (cases[i].may_follow)
			assert_true(
			    settings.peer_return_wait + PEER_CHANGE_DELAY_MAX <=
			    settings.registry_polls.wait);
	}
}

static void
settings_are_checked(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(settings_cases); i++) {
		const settings_case_t *row = &settings_cases[i];
		gateway_settings_t settings;
		char message[256] = "";
		int error = load(row, &settings, message, sizeof(message));

		if ((error == 0) != (row->expected_text == NULL))
			fail_msg(
			    "%s: error %d, '%s'", row->name, error, message);
		if (row->expected_text != NULL &&
		    strstr(message, row->expected_text) == NULL)
			fail_msg("%s: message '%s'", row->name, message);
	}
}

static void
a_flag_overrides_its_environment_variable(void **state)
{
	const settings_case_t row = {
	    "", {REQUIRED_FLAGS, "--retry-slack=7"}, NULL};
	gateway_settings_t settings;
	char message[256];

	g_setenv("BULRUSHWELL_GATEWAY_RETRY_SLACK", "9", TRUE);
	g_setenv("BULRUSHWELL_GATEWAY_RETRY_RATIO", "0.5", TRUE);
	assert_int_equal(load(&row, &settings, message, sizeof(message)), 0);
	assert_true(settings.retries.slack == 7.0);
	assert_true(settings.retries.ratio == 0.5);
	g_unsetenv("BULRUSHWELL_GATEWAY_RETRY_SLACK");
	g_unsetenv("BULRUSHWELL_GATEWAY_RETRY_RATIO");
}

#define ENTRY(rest)                                       \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\"," \
	"\"zone\":\"dc1\",\"warmup_left_ms\":1500,\"sequence\":4" rest "}"

static const struct {
	const char *name;
	const char *text;
	bool valid;
} entries[] = {
    {"a ready server", ENTRY(",\"slots\":2,\"state\":\"ready\""), true},
    {"a draining server", ENTRY(",\"slots\":2,\"state\":\"draining\""), true},
    {"a server with its start time",
	ENTRY(",\"slots\":2,\"state\":\"ready\",\"born\":1700000000000"), true},
    {"no slots", ENTRY(",\"state\":\"ready\""), false},
    {"slots as text", ENTRY(",\"slots\":\"2\",\"state\":\"ready\""), false},
    {"slots as a fraction", ENTRY(",\"slots\":2.5,\"state\":\"ready\""), false},
    {"zero slots", ENTRY(",\"slots\":0,\"state\":\"ready\""), false},
    {"an unknown state", ENTRY(",\"slots\":2,\"state\":\"asleep\""), false},
    {"a start time that is not a whole number",
	ENTRY(",\"slots\":2,\"state\":\"ready\",\"born\":\"now\""), false},
    {"an address without a port",
	"{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"dc1\","
	"\"warmup_left_ms\":0,\"sequence\":1,\"slots\":2,"
	"\"state\":\"ready\"}",
	false},
    {"a list", "[]", false},
    {"a text", "\"entry\"", false},
    {"nothing", "null", false},
};

static void
server_entries_are_checked(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		json_t *spec =
		    json_loads(entries[i].text, JSON_DECODE_ANY, NULL);
		server_entry_t entry;
		int error = decode_server("i-1", spec, "dc1", &entry);

		if ((error == 0) != entries[i].valid)
			fail_msg("%s: error %d", entries[i].name, error);
		if (error == 0) {
			assert_true(entry.same_data_centre);
			assert_true(entry.warm_up_left == MS(1500));
			assert_int_equal(entry.slots, 2);
		}
		json_decref(spec);
	}
}

#define CONFIG(routes) "{\"version\":7,\"routes\":[" routes "]}"
#define ROUTE(rest) \
	"{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\"" rest "}"

static const struct {
	const char *name;
	const char *text;
	bool valid;
	bool idempotent;
	route_kind_t kind;
} configs[] = {
    {"one service",
	CONFIG(ROUTE(",\"service\":\"s\",\"route_type\":\"idempotent\"")), true,
	true, ROUTE_SINGLE},
    {"an unknown type is not idempotent",
	CONFIG(ROUTE(",\"service\":\"s\",\"route_type\":\"keyed\"")), true,
	false, ROUTE_SINGLE},
    {"no type is not idempotent", CONFIG(ROUTE(",\"service\":\"s\"")), true,
	false, ROUTE_SINGLE},
    {"weights",
	CONFIG(ROUTE(",\"weighted_services\":[{\"service\":\"s\","
		     "\"weight\":3}]")),
	true, false, ROUTE_WEIGHTED},
    {"shards",
	CONFIG(ROUTE(",\"fanout_services\":[\"a\",\"b\"],"
		     "\"route_type\":\"idempotent\"")),
	true, true, ROUTE_FANOUT},
    {"a route without a target", CONFIG(ROUTE("")), false, false, 0},
    {"a shard that is not a string",
	CONFIG(ROUTE(",\"fanout_services\":[\"a\",5]")), false, false, 0},
    {"a route without a host",
	CONFIG("{\"path_prefix\":\"/\",\"service\":\"s\"}"), false, false, 0},
    {"a version as text", "{\"version\":\"7\",\"routes\":[]}", false, false, 0},
    {"no routes", "{\"version\":7}", false, false, 0},
};

static void
configurations_are_adopted_whole_or_not(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(configs); i++) {
		json_t *spec = json_loads(configs[i].text, 0, NULL);
		char message[128] = "";
		route_table_t *table =
		    decode_config(spec, message, sizeof(message));

		if ((table != NULL) != configs[i].valid)
			fail_msg("%s: %s", configs[i].name, message);
		if (table == NULL) {
			assert_true(message[0] != '\0');
		} else {
			const route_t *route = route_table_route(table, 0);

			assert_int_equal(route_table_version(table), 7);
			assert_int_equal(route->kind, configs[i].kind);
			if (route->idempotent != configs[i].idempotent)
				fail_msg(
				    "%s: idempotent is wrong", configs[i].name);
		}
		route_table_unref(table);
		json_decref(spec);
	}
}

static const struct {
	const char *text;	 /* a number of the configuration */
	usec_t timeout;		 /* of a route with this timeout_ms */
	uint32_t max_body_bytes; /* of limits with this number; 0: default */
} numbers[] = {
    {"500", MS(500), 500},
    {"-65536", MS(30000), 0},
    {"-1e300", MS(30000), 0},
    {"1e300", MS(1000000000), UINT32_MAX},
    {"4294967296", MS(1000000000), UINT32_MAX},
};

/* A number out of range must not become another one, which depends on the
 * processor: a limit of -65536 bytes refused every body, or none. */
static void
numbers_out_of_range_do_no_harm(void **state)
{
	route_table_t *unset = route_table_create(1);

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		char *text = g_strdup_printf(
		    "{\"version\":7,\"routes\":[" ROUTE(
			",\"service\":\"s\",\"timeout_ms\":%s,"
			"\"max_attempts\":%s,\"priority\":%s") "],"
							       "\"limits\":{"
							       "\"max_body_"
							       "bytes\":%s}}",
		    numbers[i].text, numbers[i].text, numbers[i].text,
		    numbers[i].text);
		json_t *spec = json_loads(text, 0, NULL);
		char message[128] = "";
		route_table_t *table =
		    decode_config(spec, message, sizeof(message));
		uint32_t expected = numbers[i].max_body_bytes != 0
		    ? numbers[i].max_body_bytes
		    : route_table_limits(unset)->max_body_bytes;

		assert_non_null(table);
		assert_int_equal(
		    route_table_route(table, 0)->timeout, numbers[i].timeout);
		assert_int_equal(
		    route_table_limits(table)->max_body_bytes, expected);
		route_table_unref(table);
		json_decref(spec);
		g_free(text);
	}
	route_table_unref(unset);
}

/* The work for a path must not grow with the square of its slashes. Before
 * this guard each match of such a path took seconds. */
static void
long_paths_are_matched_at_once(void **state)
{
	enum { SLASHES = 1000000, MATCHES = 100, LIMIT_S = 60 };
	json_t *spec = json_loads(CONFIG(ROUTE(",\"service\":\"s\"")), 0, NULL);
	char message[128] = "", *path = g_malloc(SLASHES);
	route_table_t *table = decode_config(spec, message, sizeof(message));

	assert_non_null(table);
	memset(path, '/', SLASHES);
	alarm(LIMIT_S);
	for (int i = 0; i < MATCHES; i++)
		assert_non_null(route_table_match(
		    table, slice_from("h"), (slice_t){path, SLASHES}));
	alarm(0);
	route_table_unref(table);
	json_decref(spec);
	g_free(path);
}

typedef struct {
	const char *name;
	enum http_parser_type type;
	const char *bytes;
	http_feed_t result;
	const char *body;
} message_case_t;

static const message_case_t messages[] = {
    {"a body with a length", HTTP_RESPONSE,
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", HTTP_FEED_DONE,
	"abc"},
    {"chunks", HTTP_RESPONSE,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"2\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n",
	HTTP_FEED_DONE, "abc"},
    {"interim responses before the final one", HTTP_RESPONSE,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n"
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz",
	HTTP_FEED_DONE, "z"},
    {"a truncated body", HTTP_RESPONSE,
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", HTTP_FEED_MORE,
	NULL},
    {"length and chunks", HTTP_REQUEST,
	"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
	"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	HTTP_FEED_BAD, NULL},
    {"a negative length", HTTP_REQUEST,
	"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", HTTP_FEED_BAD, NULL},
    {"a chunk size that is not a number", HTTP_REQUEST,
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
	HTTP_FEED_BAD, NULL},
    {"a body beyond the limit", HTTP_REQUEST,
	"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
	HTTP_FEED_BODY_TOO_LARGE, NULL},
    {"headers beyond the limit", HTTP_REQUEST,
	"GET / HTTP/1.1\r\nA: 0123456789012345678901234567890123456789"
	"0123456789012345678901234567890123456789012345678901234567890123456"
	"\r\n\r\n",
	HTTP_FEED_HEADERS_TOO_LARGE, NULL},
};

#define LIMIT_BYTES 64

static http_feed_t
feed_in_pieces(http_message_t *message, const char *bytes, size_t piece)
{
	http_feed_t fed = HTTP_FEED_MORE;
	size_t size = strlen(bytes), at = 0;

	while (at < size && fed == HTTP_FEED_MORE) {
		size_t used;

		fed = http_message_feed(
		    message, bytes + at, MIN(piece, size - at), &used);
		at += used;
		if (fed != HTTP_FEED_INTERIM)
			continue;
		http_message_skip_interim(message);
		fed = HTTP_FEED_MORE;
	}
	return fed;
}

/* The result does not depend on how the bytes are split on arrival. */
static void
messages_are_read_in_any_pieces(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
		for (size_t piece = 1; piece < 200; piece++) {
			const message_case_t *row = &messages[i];
			http_message_t message;
			http_feed_t fed;

			http_message_init(
			    &message, row->type, LIMIT_BYTES, LIMIT_BYTES);
			fed = feed_in_pieces(&message, row->bytes, piece);
			if (fed != row->result)
				fail_msg("%s in pieces of %zu bytes: result %d",
				    row->name, piece, fed);
			if (row->body != NULL) {
				assert_int_equal(
				    message.body.size, strlen(row->body));
				assert_memory_equal(message.body.data,
				    row->body, strlen(row->body));
			}
			http_message_free(&message);
		}
	}
}

/* Guards against a request of another gateway that is read as something else
 * than it says. */
static void
a_group_request_has_one_form(void **state)
{
	static const struct {
		const char *headers;
		bool is_valid;
	} cases[] = {
	    {"Gateway-Shard-Group: v2 1 3 9f 1000 5 2 1\r\n", true},
	    {"Gateway-Shard-Group: v2 0 1 ffffffffffffffff 0 0 0 0\r\n", true},
	    {"Gateway-Shard-Group: v2 1 3 9f 1000 5 2 1\r\n"
	     "Gateway-Shard-Group: v2 1 3 9f 1000 9 2 1\r\n",
		false},
	    {"", false},
	    {"Gateway-Shard-Group: v2\r\n", false},
	    {"Gateway-Shard-Group: v2 1 3 9f 1000 5 2\r\n", false},
	    {"Gateway-Shard-Group: v2 1 3 9f 1000 5 2 1 1\r\n", false},
	    {"Gateway-Shard-Group: v2 1 3 9f 1000 5 2 1x\r\n", false},
	    {"Gateway-Shard-Group: v2 1  3 9f 1000 5 2 1\r\n", false},
	    {"Gateway-Shard-Group: v2 1 3 9f 1000 -5 2 1\r\n", false},
	    {"Gateway-Shard-Group: v2 +1 3 9f 1000 5 2 1\r\n", false},
	    {"Gateway-Shard-Group: v2 1 3 0x9f 1000 5 2 1\r\n", false},
	    {"Gateway-Shard-Group: v2 4294967297 3 9f 1000 5 2 1\r\n", false},
	    {"Gateway-Shard-Group: v2 3 3 9f 1000 5 2 1\r\n", false},
	    {"Gateway-Shard-Group: 1 3 9f 1000\r\n", false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf(
		    "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", cases[i].headers);
		http_message_t message;
		group_request_t group;
		size_t used;

		http_message_init(&message, HTTP_REQUEST, 4096, 0);
		assert_int_equal(
		    http_message_feed(&message, text, strlen(text), &used),
		    HTTP_FEED_DONE);
		if (group_request_read(&message, &group) != cases[i].is_valid)
			fail_msg("\"%s\"", cases[i].headers);
		if (i == 0)
			assert_true(group.group == 1 && group.groups == 3 &&
			    group.targets_hash == 0x9f &&
			    group.soft_allowance == 1000 &&
			    group.records == 5 && group.max_attempts == 2 &&
			    group.priority == 1);
		http_message_free(&message);
		g_free(text);
	}
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_group_request_has_one_form),
	    cmocka_unit_test(settings_are_checked),
	    cmocka_unit_test(a_lost_poll_is_noticed_within_the_drain_time),
	    cmocka_unit_test(
		a_lost_poll_is_noticed_within_the_bound_of_its_kind),
	    cmocka_unit_test(peers_are_followed_only_with_a_long_drain_time),
	    cmocka_unit_test(a_flag_overrides_its_environment_variable),
	    cmocka_unit_test(server_entries_are_checked),
	    cmocka_unit_test(configurations_are_adopted_whole_or_not),
	    cmocka_unit_test(numbers_out_of_range_do_no_harm),
	    cmocka_unit_test(long_paths_are_matched_at_once),
	    cmocka_unit_test(messages_are_read_in_any_pieces),
	};

	return RUN_TESTS(argc, argv, tests);
}
