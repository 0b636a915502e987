/*
 * Guards cold servers against more requests than they tolerate: the count of
 * requests that may arrive in one second, when a server counts as cold and for
 * whom, and how limits and responses are read. Uses no servers or processes.
 */
#include "lib/runner.h"

#include <glib.h>
#include <string.h>

#include "../platform/decode_config.h"
#include "../source/gateway/cold_senders.h"
#include "../source/gateway/pool_private.h"
#include "../source/gateway/server_notice.h"

#define START_MS 100000 /* of a case, on the monotonic clock */
#define SHARE 5

static usec_t
case_time(int ms)
{
	return MS(START_MS + ms);
}

/* Requests that start, end after their arrival, or are undone, as letters. */
static const struct {
	const char *name;
	const char *events[2]; /* at 0 and at 500 ms */
	int asked_ms;
	uint32_t count;
	int wait_ms; /* until fewer than SHARE count */
} windows[] = {
    {"running", {"sss", ""}, 5000, 3, 0},
    {"ended lately", {"sse", "e"}, 1000, 2, 0},
    {"a second after an end", {"sse", "e"}, 1100, 1, 0},
    {"all long ago", {"sse", "e"}, 90000, 0, 0},
    {"not arrived", {"ssuu", ""}, 0, 0, 0},
    {"full: the first end frees one", {"ssssse", "eeee"}, 600, 5, 450},
    {"full of running ones", {"sssss", ""}, 300, 5, 1000},
    {"an earlier time than the last end", {"", "se"}, 400, 1, 0},
};

static void
requests_count_while_they_may_arrive(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(windows); i++) {
		cold_limit_t limit = {0};
		usec_t asked = case_time(windows[i].asked_ms);

		for (int j = 0; j < 2; j++)
			for (const char *at = windows[i].events[j]; *at; at++)
				if (*at == 's')
					cold_limit_started(&limit);
				else if (*at == 'u')
					cold_limit_undone(&limit);
				else
					cold_limit_ended(
					    &limit, case_time(500 * j));
		if (cold_limit_count(&limit, asked) != windows[i].count ||
		    cold_limit_wait(&limit, SHARE, asked) !=
			MS(windows[i].wait_ms))
			fail_msg("%s: %u, %lld us", windows[i].name,
			    cold_limit_count(&limit, asked),
			    (long long)cold_limit_wait(&limit, SHARE, asked));
	}
}

/* Events of a case; the warm-up time of the service is 4 s. */
typedef struct {
	const char *name;
	int entry_ms; /* that its first entry states, at 0 */
	int asked_ms;
	bool usable;
	int said_ms;	  /* that a response states at 100; 0: none */
	int restored_ms;  /* its evacuation is revoked then; 0: not */
	int again_ms;	  /* the first entry is read again then; 0: not */
	int newer_ms;	  /* a newer entry says it is warm then; 0: none */
	int woken_ms;	  /* after a pause of this process; 0: there was none */
	bool is_probed;	  /* it has sent a request since */
	bool is_answered; /* which was answered */
	bool waits;	  /* for the answer to another request */
	bool is_remote;	  /* in another data centre */
	bool is_sender;	  /* this node */
	bool is_unlimited;
	uint32_t sent; /* requests that run */
} server_case_t;

static const server_case_t server_cases[] = {
    {"cold by its entry", 3000, 2900, false, .said_ms = 0},
    {"warm in time", 3000, 3001, true, .said_ms = 0},
    {"without a limit", 3000, 10, true, .is_unlimited = true},
    {"its entry is read again", 3000, 3001, true, .again_ms = 2000},
    {"cold by a response", 0, 1050, false, .said_ms = 1000},
    {"warm by then", 0, 1101, true, .said_ms = 1000},
    {"an entry that disagrees", 0, 1050, false, 1000, .newer_ms = 200},
    {"an entry takes back the last", 3000, 300, true, .newer_ms = 200},
    {"restored", 0, 4900, false, .restored_ms = 1000},
    {"restored, then warm", 0, 5001, true, .restored_ms = 1000},
    {"restored, a newer entry", 0, 1600, true, 0, 1000, .newer_ms = 1500},
    {"restored, the same entry", 0, 1600, false, 0, 1000, .again_ms = 1500},
    {"for a sender", 3000, 10, true, .is_sender = true},
    {"elsewhere", 3000, 10, false, .is_sender = true, .is_remote = true},
    {"some requests", 3000, 10, true, .is_sender = true, .sent = SHARE - 1},
    {"its rate is used up", 3000, 10, false, .is_sender = true, .sent = SHARE},
    {"warm, with more requests than that", 0, 200, true, .sent = 50},
    {"after a pause", 0, 3000, true, .woken_ms = 3000},
    {"then a request", 0, 3010, true, .woken_ms = 3000, .is_probed = true,
	.waits = true},
    {"then an answer", 0, 3010, true, .woken_ms = 3000, .is_probed = true,
	.is_answered = true},
    {"then a newer entry", 0, 3300, true, .woken_ms = 3000, .is_probed = true,
	.newer_ms = 3250},
    {"then an entry of the pause", 0, 3010, true, .woken_ms = 3000,
	.is_probed = true, .newer_ms = 3005, .waits = true},
    {"a pause without a limit", 0, 3010, true, .woken_ms = 3000,
	.is_probed = true, .is_unlimited = true},
};

static void
ignore_capacity(void *context, upstream_t *upstream)
{
}

static void
ignore_end(void *owner, attempt_t *attempt, attempt_outcome_t outcome,
    const http_message_t *response)
{
}

static pool_t *
create_pool(struct ev_loop *loop, const server_case_t *row)
{
	static const pool_settings_t settings = {
	    .cold_bound = {true, 1.5, 5.0}};
	static const pool_handlers_t handlers = {
	    .capacity_available = ignore_capacity, .attempt_ended = ignore_end};
	const service_spec_t service = {
	    "one", 40, SECONDS(4), row->is_unlimited ? 0.0 : 8.0};
	const cold_term_t term = {0, row->is_sender ? INT64_MAX : 0};
	route_table_t *table = route_table_create(1);
	pool_t *pool = pool_create(loop, &settings, &handlers);

	route_table_add_service_spec(table, &service);
	pool_apply_route_table(pool, table);
	pool_set_cold_term(pool, &term);
	route_table_unref(table);
	return pool;
}

static void
play_news(pool_t *pool, const server_case_t *row)
{
	server_entry_t entry = {.id = "i-1",
	    .service = "one",
	    .warm_up_left = MS(row->entry_ms),
	    .same_data_centre = !row->is_remote};
	upstream_server_t *server;

	pool_update_server(pool, &entry, case_time(0));
	server = pool_get_upstream(pool, "one")->servers->pdata[0];
	for (uint32_t i = 0; i < row->sent; i++)
		cold_limit_started(&server->cold_limit);
	pool_cold_said(pool, server, MS(row->said_ms), 0, case_time(100));
	if (row->restored_ms != 0)
		pool_server_restored(pool, "i-1", case_time(row->restored_ms));
	if (row->again_ms != 0)
		pool_update_server(pool, &entry, case_time(row->again_ms));
	if (row->woken_ms != 0) {
		pool_cold_notice_pause(pool, case_time(row->woken_ms - 2000));
		pool_cold_notice_pause(pool, case_time(row->woken_ms));
	}
	if (row->is_probed)
		server->probed_at = case_time(row->woken_ms);
	if (row->is_answered)
		pool_cold_said(pool, server, 0, case_time(row->woken_ms),
		    case_time(row->woken_ms + 5));
	entry.sequence++;
	entry.warm_up_left = 0;
	if (row->newer_ms != 0)
		pool_update_server(pool, &entry, case_time(row->newer_ms));
}

static void
cold_servers_are_left_out(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(server_cases); i++) {
		const server_case_t *row = &server_cases[i];
		struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
		pool_t *pool = create_pool(loop, row);
		upstream_t *upstream = pool_get_upstream(pool, "one");
		usec_t now = case_time(row->asked_ms);
		bool usable, chosen, busy;

		play_news(pool, row);
		usable = pool_has_usable_server(pool, upstream, now);
		chosen = pool_choose_server(pool, upstream, NULL, 0, MS(10),
			     now, &busy) != NULL;
		/* Callers that are refused are told for how long. */
		if (usable != row->usable || busy != row->waits ||
		    chosen != (row->usable && !row->waits) ||
		    (pool_cold_wait(pool, upstream, now) == 0) != usable)
			fail_msg("%s", row->name);
		pool_destroy(pool);
		ev_loop_destroy(loop);
	}
}

/* The loop does not run, so the attempt is not sent. */
static void
a_withdrawn_attempt_does_not_count(void **state)
{
	static const server_case_t row = {.name = "sender", .is_sender = true};
	const buffer_t head = {"GET / HTTP/1.1\r\n\r\n", 18, 18};
	const pool_request_t request = {.head = &head, .request_id = {"q", 1}};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	pool_t *pool = create_pool(loop, &row);
	server_entry_t entry = {.id = "i-1",
	    .service = "one",
	    .data_centre = "dc1",
	    .warm_up_left = SECONDS(3),
	    .same_data_centre = true,
	    .address = {.sin_family = AF_INET, .sin_port = 9}};
	upstream_server_t *server;

	pool_update_server(pool, &entry, case_time(0));
	server = pool_get_upstream(pool, "one")->servers->pdata[0];
	for (int i = 0; i < SHARE; i++) {
		assert_non_null(pool_start_attempt(
		    pool, server, &request, loop, case_time(10)));
		pool_evacuate(pool, "dc1");
		pool_restore(pool, "dc1", case_time(20));
	}
	assert_int_equal(
	    cold_limit_count(&server->cold_limit, case_time(30)), 0);
	pool_destroy(pool);
	ev_loop_destroy(loop);
}

static const struct {
	const char *fields;
	int64_t left_ms;
} notices[] = {{"", 0}, {"X-Cold: 1500\r\n", 1500},
    {"X-Cold: 20\r\nx-cold: 70\r\n", 70}, {"X-Cold:\r\n", 0},
    {"X-Cold: -5\r\n", 0}, {"X-Cold: 1.5\r\n", 0}, {"X-Colder: 10\r\n", 0},
    {"X-Cold: 99999999999999999999999999\r\n", 600000}};

static void
responses_say_how_long(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(notices); i++) {
		char *text = g_strconcat("HTTP/1.1 200 OK\r\n",
		    notices[i].fields, "Content-Length: 0\r\n\r\n", NULL);
		http_message_t response;
		size_t used;

		http_message_init(&response, HTTP_RESPONSE, 4096, 4096);
		http_message_feed(&response, text, strlen(text), &used);
		if (server_notice_warm_up_left(&response, "X-Cold") !=
		    MS(notices[i].left_ms))
			fail_msg("%s", notices[i].fields);
		http_message_free(&response);
		g_free(text);
	}
}

static const struct {
	const char *fields; /* of a service */
	double rate;
	usec_t time;
	uint32_t share; /* of a sender, with 1.5 and 5 for the bound */
} services[] = {{"", 0.0, 0, 1},
    {",\"warmup_s\":2.5,\"warmup_per_s\":8", 8.0, MS(2500), 5},
    {",\"warmup_s\":-3,\"warmup_per_s\":-1", 0.0, 0, 1},
    {",\"warmup_s\":\"3\",\"warmup_per_s\":null", 0.0, 0, 1},
    {",\"warmup_s\":1e300,\"warmup_per_s\":1e300", 1e6, SECONDS(600), 500001}};

static void
limits_are_read_from_the_configuration(void **state)
{
	static const cold_bound_t bound = {true, 1.5, 5.0};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
		char *text = g_strconcat("{\"version\":1,\"routes\":[],"
					 "\"services\":[{\"name\":\"one\"",
		    services[i].fields, "}]}", NULL);
		json_t *spec = json_loads(text, 0, NULL);
		route_table_t *table = decode_config(spec, NULL, 0);
		const service_spec_t *service = route_table_service(table, 0);

		assert_true(service->warm_up_rate == services[i].rate);
		assert_int_equal(service->warm_up_time, services[i].time);
		assert_int_equal(cold_limit_share(&bound, service->warm_up_rate,
				     COLD_SENDERS),
		    services[i].share);
		route_table_unref(table);
		json_decref(spec);
		g_free(text);
	}
}

/* Guards against a node that goes on sending to cold servers although the store
 * may have lost its entry, so that others take its place. */
static void
a_sender_stops_until_lists_have_its_entry_again(void **state)
{
	cold_sender_t sender;
	usec_t now = SECONDS(100);

	cold_sender_init(&sender, now);
	cold_sender_renewed(&sender, true, now);
	cold_sender_listed(&sender, true, 6, 0);
	cold_sender_listed(&sender, true, 6, 0);
	assert_true(cold_sender_term(&sender).until > now);
	cold_sender_unlisted(&sender);
	assert_int_equal(cold_sender_term(&sender).until, 0);
	cold_sender_listed(&sender, false, 6, 0);
	cold_sender_renewed(&sender, true, now + SECONDS(1));
	assert_int_equal(cold_sender_term(&sender).until, 0);
	cold_sender_listed(&sender, true, 6, 0);
	assert_int_equal(cold_sender_term(&sender).until, 0);
	/* Three others may be older. */
	cold_sender_listed(&sender, true, 6, 3);
	assert_int_equal(cold_sender_term(&sender).until, 0);
	cold_sender_listed(&sender, true, 6, 2);
	assert_true(cold_sender_term(&sender).until > now);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_sender_stops_until_lists_have_its_entry_again),
	    cmocka_unit_test(requests_count_while_they_may_arrive),
	    cmocka_unit_test(cold_servers_are_left_out),
	    cmocka_unit_test(a_withdrawn_attempt_does_not_count),
	    cmocka_unit_test(responses_say_how_long),
	    cmocka_unit_test(limits_are_read_from_the_configuration),
	};

	return RUN_TESTS(argc, argv, tests);
}
