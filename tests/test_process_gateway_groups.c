/* Guards queries whose shards are served by several gateways: each client gets
 * a whole answer while a serving node is killed, paused, stopped or restarted,
 * and whatever a peer answers. */
#include "lib/gateway_fleet.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define GATEWAYS 6
#define GROUPS 2
#define FEW_CONNECTIONS 4 /* too few for each node to have some */
#define DEADLINE_MS 1500
#define SETTLE_TIMEOUT_MS 12000
#define POLL_STEP_MS 20
#define QUERIES 60
#define QUERIES_WITHOUT_ONE (QUERIES / GATEWAYS * (GATEWAYS - 1))
#define CLIENTS 4
#define RECORD_BYTES 16
#define SERVER_RECORDS 3 /* in the answer of each server */
#define FEW_RECORDS 2
#define ALL_RECORDS (WORLD_SHARDS * SERVER_RECORDS)
/* Too many for the datagrams of a relay, so that each node reads a new version
 * from the store. */
#define MANY_ROUTES 3000

static gateway_world_t *
create_world(harness_t *harness)
{
	gateway_world_t *world = world_create_empty(harness);

	world->max_connections = FEW_CONNECTIONS;
	world_register_all(world);
	world_configure(world);
	harness_wait_status(world->health, "/ready", 200, WORLD_START_MS);
	return world;
}

static bool
has_groups(gateway_world_t *view)
{
	return world_metric(view, "shard_groups") == GROUPS;
}

/* Waits until all gateways have divided the shards. */
static void
wait_for_groups(const gateway_fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++) {
		gateway_world_t view = fleet_gateway_world(fleet, i);

		if (!world_wait(has_groups, &view, SETTLE_TIMEOUT_MS))
			fail_msg("g%d has %lld groups", i,
			    (long long)world_metric(&view, "shard_groups"));
	}
}

static int64_t
sum_metric(const gateway_fleet_t *fleet, const char *name)
{
	int64_t sum = 0;

	for (int i = 0; i < fleet->count; i++) {
		gateway_world_t view = fleet_gateway_world(fleet, i);

		sum += MAX(world_metric(&view, name), 0);
	}
	return sum;
}

typedef struct {
	int whole;    /* all shards answered */
	int partial;  /* some were left out */
	int repeated; /* failed once; the client has sent it again */
	int failed;
} counts_t;

/* Clients send a failed query once more, at any gateway. */
static void
count_query(gateway_world_t *view, counts_t *counts)
{
	http_reply_t result =
	    world_request(view, "GET", "/all/x", DEADLINE_MS, NULL);
	const char *missing;

	if (result.status == 502 || result.status == 503) {
		http_reply_clear(&result);
		counts->repeated++;
		result =
		    world_request(view, "GET", "/all/x", DEADLINE_MS, NULL);
	}
	missing = http_reply_header(&result, "bulrushwell-missing-parts");
	if (result.status != 200)
		counts->failed++;
	else if (missing != NULL && strcmp(missing, "0") == 0)
		counts->whole++;
	else
		counts->partial++;
	http_reply_clear(&result);
}

typedef struct {
	const gateway_fleet_t *fleet;
	int without; /* this gateway gets no queries; -1: all do */
	counts_t counts;
} client_t;

static gpointer
run_client(gpointer context)
{
	client_t *client = context;

	for (int i = 0; i < QUERIES; i++) {
		int gateway = i % client->fleet->count;
		gateway_world_t view;

		if (gateway == client->without)
			continue;
		view = fleet_gateway_world(client->fleet, gateway);
		count_query(&view, &client->counts);
	}
	return NULL;
}

/* Sends queries from several clients; @during is called meanwhile. */
static counts_t
run_queries(gateway_fleet_t *fleet, int without,
    void (*during)(gateway_fleet_t *fleet, int gateway))
{
	client_t clients[CLIENTS];
	GThread *threads[CLIENTS];
	counts_t sum = {0};

	for (int i = 0; i < CLIENTS; i++) {
		clients[i] = (client_t){.fleet = fleet, .without = without};
		threads[i] = g_thread_new("client", run_client, &clients[i]);
	}
	if (during != NULL)
		during(fleet, without);
	for (int i = 0; i < CLIENTS; i++) {
		g_thread_join(threads[i]);
		sum.whole += clients[i].counts.whole;
		sum.partial += clients[i].counts.partial;
		sum.repeated += clients[i].counts.repeated;
		sum.failed += clients[i].counts.failed;
	}
	print_message("whole %d, partial %d, repeated %d, failed %d\n",
	    sum.whole, sum.partial, sum.repeated, sum.failed);
	return sum;
}

static void
register_node(gateway_world_t *world, const char *name, const char *address)
{
	object_store_put(world->store, "nodes", name,
	    json_pack("{s:s,s:s,s:i}", "data_centre", "dc1", "peer_address",
		address, "renewals", 0));
}

/* The nodes are listed before they start, so that all know of each other. */
static void
start_fleet(gateway_fleet_t *fleet, harness_t *harness)
{
	gateway_world_t *world = create_world(harness);

	fleet_prepare(fleet, world, GATEWAYS);
	for (int i = 0; i < GATEWAYS; i++)
		register_node(
		    world, fleet->gateways[i].name, fleet->gateways[i].peers);
	fleet_start_all(fleet);
	wait_for_groups(fleet);
}

static void
stop_fleet(gateway_fleet_t *fleet)
{
	fleet_destroy(fleet);
	world_destroy(fleet->world);
}

static void
queries_are_divided_among_nodes(void **state)
{
	gateway_fleet_t fleet = {0};
	counts_t counts;

	start_fleet(&fleet, *state);
	counts = run_queries(&fleet, -1, NULL);
	assert_int_equal(counts.whole, CLIENTS * QUERIES);
	assert_int_equal(
	    sum_metric(&fleet, "groups_asked_total"), CLIENTS * QUERIES);
	assert_int_equal(
	    sum_metric(&fleet, "groups_served_total"), CLIENTS * QUERIES);
	stop_fleet(&fleet);
}

static void
kill_gateway(gateway_fleet_t *fleet, int gateway)
{
	g_usleep(50 * 1000);
	harness_kill(fleet->world->harness, fleet->gateways[gateway].process);
}

static void
pause_gateway(gateway_fleet_t *fleet, int gateway)
{
	g_usleep(50 * 1000);
	harness_signal(
	    fleet->world->harness, fleet->gateways[gateway].process, SIGSTOP);
}

static void
stop_gateway(gateway_fleet_t *fleet, int gateway)
{
	int status;

	g_usleep(50 * 1000);
	harness_signal(
	    fleet->world->harness, fleet->gateways[gateway].process, SIGTERM);
	status = harness_wait_exit(
	    fleet->world->harness, fleet->gateways[gateway].process, 8000);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

static void
restart_gateway(gateway_fleet_t *fleet, int gateway)
{
	kill_gateway(fleet, gateway);
	fleet_start(fleet, gateway);
	harness_wait_status(
	    fleet->gateways[gateway].health, "/ready", 200, WORLD_START_MS);
}

/* A serving node fails in one of several ways while others ask it. */
static void
a_failing_serving_node_costs_no_answer(void **state)
{
	static const struct {
		const char *name;
		void (*fail)(gateway_fleet_t *fleet, int gateway);
		int max_repeated; /* queries that clients have to repeat */
	} cases[] = {
	    /* Those that the node runs at the moment; each client has one. */
	    {"killed", kill_gateway, CLIENTS},
	    /* Each of the others notices it alone, with one of each client. */
	    {"paused", pause_gateway, CLIENTS * (GATEWAYS - 1)},
	    {"stopped", stop_gateway, 0},
	    {"restarted", restart_gateway, CLIENTS},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		gateway_fleet_t fleet = {0};
		counts_t counts;

		print_message("%s: ", cases[i].name);
		start_fleet(&fleet, *state);
		counts = run_queries(&fleet, 1, cases[i].fail);
		assert_int_equal(counts.failed, 0);
		/* A target latency of 400 ms leaves time for the others. */
		assert_int_equal(counts.partial, 0);
		if (counts.repeated > cases[i].max_repeated)
			fail_msg("%d repeated", counts.repeated);
		counts = run_queries(&fleet, 1, NULL);
		assert_int_equal(counts.whole, CLIENTS * QUERIES_WITHOUT_ONE);
		stop_fleet(&fleet);
	}
}

#define STUBS 5

/* Registers stand-ins as the other nodes of the data centre. */
static void
register_stubs(gateway_world_t *world, plain_server_t **stubs)
{
	for (int i = 0; i < STUBS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "stub-%d", i);
		stubs[i] = plain_server_create(name);
		register_node(world, name, plain_server_address(stubs[i]));
	}
}

/* One gateway among stand-ins for all others. */
typedef struct {
	gateway_world_t *world;
	gateway_fleet_t fleet;
	gateway_world_t view; /* of the gateway */
	plain_server_t *stubs[STUBS];
} stub_world_t;

static void
start_among_stubs(stub_world_t *stub_world, harness_t *harness)
{
	*stub_world = (stub_world_t){.world = create_world(harness)};
	register_stubs(stub_world->world, stub_world->stubs);
	fleet_prepare(&stub_world->fleet, stub_world->world, 1);
	fleet_start_all(&stub_world->fleet);
	wait_for_groups(&stub_world->fleet);
	stub_world->view = fleet_gateway_world(&stub_world->fleet, 0);
}

static void
stop_among_stubs(stub_world_t *stub_world)
{
	fleet_destroy(&stub_world->fleet);
	for (int i = 0; i < STUBS; i++)
		plain_server_destroy(stub_world->stubs[i]);
	world_destroy(stub_world->world);
}

static void
set_stub_faults(const stub_world_t *stub_world, plain_fault_t fault)
{
	for (int i = 0; i < STUBS; i++)
		plain_server_set_fault(stub_world->stubs[i], fault, 1000);
}

/* The stand-ins know nothing of groups: whatever they answer or not, the
 * receiving node serves the group itself. */
static void
whatever_a_peer_answers_the_query_is_whole(void **state)
{
	static const struct {
		const char *name;
		plain_fault_t fault;
	} cases[] = {
	    {"an answer without the shards", PLAIN_ANSWER},
	    {"a refusal", PLAIN_OVERLOADED},
	    {"an error", PLAIN_FAIL},
	    {"a reset", PLAIN_RESET},
	    {"a cut answer", PLAIN_TRUNCATE},
	    {"no HTTP", PLAIN_GARBAGE},
	    {"no answer", PLAIN_HANG},
	    {"a second answer", PLAIN_EXTRA},
	};
	stub_world_t stub_world;

	start_among_stubs(&stub_world, *state);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		counts_t counts = {0};

		set_stub_faults(&stub_world, cases[i].fault);
		for (int j = 0; j < 10; j++)
			count_query(&stub_world.view, &counts);
		if (counts.whole != 10)
			fail_msg("%s: whole %d, partial %d, failed %d",
			    cases[i].name, counts.whole, counts.partial,
			    counts.failed);
	}
	assert_true(world_metric(&stub_world.view, "groups_resumed_total") > 0);
	stop_among_stubs(&stub_world);
}

static uint32_t
count_stub_requests(const stub_world_t *stub_world)
{
	uint32_t requests = 0;

	for (int i = 0; i < STUBS; i++) {
		plain_server_record_t record;

		plain_server_get_record(stub_world->stubs[i], &record);
		requests += record.requests;
	}
	return requests;
}

/* Sends queries until one is passed to a stand-in, as nodes whose answers are
 * of no use are left out for a while. Return: whether the client was given what
 * the stand-in said. */
static bool
is_taken_from_a_stub(stub_world_t *stub_world, const answer_case_t *row)
{
	gint64 until = g_get_monotonic_time() +
	    SETTLE_TIMEOUT_MS * G_TIME_SPAN_MILLISECOND;
	uint32_t before = count_stub_requests(stub_world);
	bool taken = false;

	for (int i = 0; i < STUBS; i++)
		plain_server_set_case(stub_world->stubs[i], row);
	set_stub_faults(stub_world, PLAIN_CASE);
	while (count_stub_requests(stub_world) == before) {
		http_reply_t result = world_request(
		    &stub_world->view, "GET", "/all/x", DEADLINE_MS, NULL);
		const char *stamps =
		    http_reply_header(&result, "bulrushwell-part-stamps");

		taken = stamps != NULL && strstr(stamps, "forged") != NULL;
		http_reply_clear(&result);
		if (g_get_monotonic_time() > until)
			fail_msg("%s: no stand-in was asked", row->name);
	}
	return taken;
}

/* What a stand-in has to say that it answers: the request of the gateway names
 * it. The caller frees it. */
static char *
served_header(stub_world_t *stub_world)
{
	unsigned group, groups, records;
	unsigned long long hash;
	long long soft_us;

	set_stub_faults(stub_world, PLAIN_OVERLOADED);
	for (int i = 0; i < QUERIES; i++) {
		http_reply_t result = world_request(
		    &stub_world->view, "GET", "/all/x", DEADLINE_MS, NULL);

		http_reply_clear(&result);
		for (int j = 0; j < STUBS; j++) {
			plain_server_record_t record;
			const char *header;

			plain_server_get_record(stub_world->stubs[j], &record);
			header =
			    strstr(record.last_head, "Gateway-Shard-Group");
			if (header == NULL)
				continue;
			assert_int_equal(
			    sscanf(header,
				"Gateway-Shard-Group: v2 %u %u "
				"%llx %lld %u",
				&group, &groups, &hash, &soft_us, &records),
			    5);
			return g_strdup_printf(
			    "Gateway-Served-Group: %u %u %llx %u\r\n", group,
			    groups, hash, records);
		}
	}
	fail_msg("no stand-in was asked");
	return NULL;
}

/* What a peer says of shards counts only in a sound answer. */
static void
a_broken_answer_of_a_peer_counts_for_nothing(void **state)
{
	static const char shards[] =
	    "Gateway-Shards: 0,1\r\n"
	    "Bulrushwell-Part-Stamps: forged, forged\r\n";
	char *served, *headers;
	static const char *const names[] = {"an ordinary response",
	    "status 000", "two blanks before the status",
	    "a control byte in the name", "a blank in the name",
	    "a blank after Content-Length", "a folded value",
	    "a blank in the name of a trailer", "a tab in the reason"};
	stub_world_t stub_world;

	start_among_stubs(&stub_world, *state);
	served = served_header(&stub_world);
	headers = g_strconcat(served, shards, NULL);
	for (int i = 0; i < STUBS; i++)
		plain_server_set_headers(stub_world.stubs[i], headers);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const answer_case_t *row = answer_line_case(names[i]);

		if (is_taken_from_a_stub(&stub_world, row) != row->sound)
			fail_msg("%s: %s", row->name,
			    row->sound ? "not taken" : "taken");
	}
	stop_among_stubs(&stub_world);
	g_free(headers);
	g_free(served);
}

/* Guards against an answer that is merged although it is one to another
 * question: of fewer records, of other shards, or of a version of the program
 * that does not say. */
static void
an_answer_to_another_question_counts_for_nothing(void **state)
{
	static const char *const served[] = {"",
	    "Gateway-Served-Group: 1 2 0 5\r\n", "Gateway-Served-Group: x\r\n"};
	static const char shards[] =
	    "Gateway-Shards: 0,1\r\n"
	    "Bulrushwell-Part-Stamps: forged, forged\r\n";
	stub_world_t stub_world;

	start_among_stubs(&stub_world, *state);
	for (size_t i = 0; i < G_N_ELEMENTS(served); i++) {
		char *headers = g_strconcat(served[i], shards, NULL);

		for (int j = 0; j < STUBS; j++)
			plain_server_set_headers(stub_world.stubs[j], headers);
		if (is_taken_from_a_stub(
			&stub_world, answer_line_case("an ordinary response")))
			fail_msg("\"%s\" is taken", served[i]);
		g_free(headers);
	}
	stop_among_stubs(&stub_world);
}

static bool
has_version(gateway_world_t *view)
{
	return world_metric(view, "config_version") == view->version;
}

/* Writes a version that only the first gateway can read. */
static void
configure_first_only(gateway_fleet_t *fleet)
{
	gateway_world_t view;

	for (int i = 1; i < fleet->count; i++)
		proxy_set_mode(fleet->gateways[i].store_proxy, PROXY_HOLD);
	fleet->world->top_k = ALL_RECORDS;
	world_configure(fleet->world);
	view = fleet_gateway_world(fleet, 0);
	assert_true(world_wait(has_version, &view, SETTLE_TIMEOUT_MS));
	view = fleet_gateway_world(fleet, 1);
	assert_false(has_version(&view));
}

/*
 * Callers got answers without records that belong to them: a peer with an older
 * version kept as many as that one says.
 */
static void
peers_with_an_older_version_keep_all_records(void **state)
{
	gateway_fleet_t fleet = {0};
	gateway_world_t *world = create_world(*state);
	gateway_world_t view;
	int64_t asked;

	world->more_routes = MANY_ROUTES;
	world->top_k = FEW_RECORDS;
	world_configure(world);
	fleet_prepare(&fleet, world, GATEWAYS);
	fleet_start_all(&fleet);
	wait_for_groups(&fleet);
	configure_first_only(&fleet);
	view = fleet_gateway_world(&fleet, 0);
	asked = world_metric(&view, "groups_asked_total");
	for (int i = 0; i < QUERIES; i++) {
		http_reply_t result =
		    world_request(&view, "GET", "/all/x", DEADLINE_MS, NULL);

		assert_int_equal(result.status, 200);
		assert_string_equal(
		    http_reply_header(&result, "bulrushwell-missing-parts"),
		    "0");
		if (result.body->len != ALL_RECORDS * RECORD_BYTES)
			fail_msg("%u bytes of records", result.body->len);
		http_reply_clear(&result);
	}
	assert_true(world_metric(&view, "groups_asked_total") > asked);
	assert_int_equal(world_metric(&view, "groups_resumed_total"), 0);
	fleet_destroy(&fleet);
	world_destroy(world);
}

/*
 * A peer that has accepted a query and falls silent may have sent its shards as
 * often as the route allows. Guards a client against waiting for it until its
 * own deadline: it hears early enough to send the query again.
 */
static void
a_peer_that_falls_silent_is_not_waited_for(void **state)
{
	stub_world_t stub_world;
	http_reply_t result;

	start_among_stubs(&stub_world, *state);
	set_stub_faults(&stub_world, PLAIN_ACCEPT);
	result =
	    world_request(&stub_world.view, "GET", "/all/x", DEADLINE_MS, NULL);
	assert_int_equal(result.status, 502);
	assert_true(result.elapsed < MS(DEADLINE_MS * 3 / 4));
	http_reply_clear(&result);
	stop_among_stubs(&stub_world);
}

/* Sends a request to the peers' port of a gateway; the caller frees the
 * response. */
static char *
ask_group(const gateway_fleet_t *fleet, const char *group)
{
	gateway_world_t view = fleet_gateway_world(fleet, 0);
	char *text =
	    g_strdup_printf(WORLD_HEAD("GET", "/all/x") "%s" WORLD_END, group);
	char *response;
	int fd;

	memcpy(view.clients, fleet->gateways[0].peers, sizeof(view.clients));
	fd = world_connect(&view);
	world_send_text(fd, text);
	response = world_receive(fd, "Gateway-Not-Run", DEADLINE_MS);
	close(fd);
	g_free(text);
	return response;
}

static void
group_requests_that_make_no_sense_are_refused(void **state)
{
	static const char *const headers[] = {
	    "",
	    "Gateway-Shard-Group: \r\n",
	    "Gateway-Shard-Group: x\r\n",
	    "Gateway-Shard-Group: v2 0 0 0 0 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 2 2 0 0 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 0 2 0 -5 5 2 1\r\n",
	    /* other shards */
	    "Gateway-Shard-Group: v2 0 2 abc 1000 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 0 2\r\n",
	    "Gateway-Shard-Group: v2 0 2 0 1000 5 2\r\n",
	    "Gateway-Shard-Group: v2 0 2 0 1000 4000000000 2 1\r\n",
	    "Gateway-Shard-Group: v2 0 2 0 9223372036854775807 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 99999999999 99999999999 1 1 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 -0 2 0 1000 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 0 +2 0 1000 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 0 2 0x0 1000 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 0  2 0 1000 5 2 1\r\n",
	    "Gateway-Shard-Group: v2 0 2 0 1000 5 2 1 1\r\n",
	    "Gateway-Shard-Group: v2 0 2 0 1000 5 2 1x\r\n",
	    /* of an earlier version of the program */
	    "Gateway-Shard-Group: 0 2 abc 1000\r\n",
	    "Gateway-Shard-Group: 0 2 11111111111111111111111111111111111111"
	    "111111111111111111111111111111111111111111111111111 1000\r\n",
	};
	gateway_fleet_t fleet = {0};

	start_fleet(&fleet, *state);
	for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
		char *response = ask_group(&fleet, headers[i]);

		if (strstr(response, "HTTP/1.1 503") == NULL ||
		    strstr(response, "Gateway-Not-Run") == NULL)
			fail_msg("case %zu: \"%s\"", i, response);
		free(response);
	}
	stop_fleet(&fleet);
}

/* A client can't choose shards, and servers see no header of the gateways. */
static void
clients_can_not_ask_for_a_group(void **state)
{
	gateway_world_t *world = create_world(*state);
	plain_server_record_t record;
	int fd = world_connect(world);
	char *response;

	world_send_text(fd,
	    WORLD_REQUEST("GET", "/all/x",
		"Gateway-Shard-Group: v2 0 2 0 100000 5 2 1\r\n"));
	response = world_receive(fd, "\r\n\r\n", DEADLINE_MS);
	assert_non_null(strstr(response, "HTTP/1.1 200"));
	assert_non_null(strstr(response, "Bulrushwell-Missing-Parts: 0"));
	assert_null(strstr(response, "Gateway-Shards"));
	plain_server_get_record(world_replica(world, 0, 0), &record);
	assert_true(record.requests == 1);
	assert_null(strstr(record.last_head, "Gateway-"));
	free(response);
	close(fd);
	world_destroy(world);
}

#define TENANTS "[{\"name\":\"acme\",\"priority\":0,\"api_keys\":[\"s3cret\"]}]"
#define KEYED_QUERY                                                        \
	WORLD_REQUEST("GET", "/all/x",                                     \
	    "Authorization: Bearer s3cret\r\nGateway-Customer: 0 evil\r\n" \
	    "Bulrushwell-Tenant: evil\r\n")

/* Sends a query with a key to a gateway, which needs one from now on. */
static void
send_keyed_query(gateway_fleet_t *fleet, int gateway)
{
	gateway_world_t view = fleet_gateway_world(fleet, gateway);
	char *response;
	int fd;

	world_change_tenants(&view, TENANTS);
	fleet->world->version = view.version;
	fd = world_connect(&view);
	world_send_text(fd, KEYED_QUERY);
	response = world_receive(fd, "\r\n\r\n", DEADLINE_MS);
	assert_non_null(strstr(response, "Bulrushwell-Missing-Parts: 0"));
	free(response);
	close(fd);
}

/* Whether all requests state the customer, and none more than that. */
static void
assert_heads_have(plain_server_t **servers, int count, const char *line)
{
	int requests = world_count_heads(servers, count, "HTTP/1.1\r\n");

	assert_true(requests > 0);
	assert_int_equal(world_count_heads(servers, count, line), requests);
	assert_int_equal(world_count_heads(servers, count, "s3cret"), 0);
	assert_int_equal(world_count_heads(servers, count, "evil"), 0);
}

/* The receiving and the serving nodes state one customer to their servers. */
static void
servers_get_one_name_from_all_nodes(void **state)
{
	gateway_fleet_t fleet = {0};

	start_fleet(&fleet, *state);
	for (int i = 0; i < GATEWAYS; i++)
		send_keyed_query(&fleet, i);
	assert_int_equal(sum_metric(&fleet, "groups_served_total"), GATEWAYS);
	assert_heads_have(fleet.world->servers, WORLD_SERVERS,
	    "\r\nBulrushwell-Tenant: acme\r\n");
	stop_fleet(&fleet);
}

static void
no_key_reaches_another_gateway(void **state)
{
	stub_world_t stub_world;

	start_among_stubs(&stub_world, *state);
	send_keyed_query(&stub_world.fleet, 0);
	assert_heads_have(
	    stub_world.stubs, STUBS, "\r\nGateway-Customer: 0 acme\r\n");
	stop_among_stubs(&stub_world);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(queries_are_divided_among_nodes),
	    HARNESS_TEST(a_failing_serving_node_costs_no_answer),
	    HARNESS_TEST(whatever_a_peer_answers_the_query_is_whole),
	    HARNESS_TEST(a_broken_answer_of_a_peer_counts_for_nothing),
	    HARNESS_TEST(an_answer_to_another_question_counts_for_nothing),
	    HARNESS_TEST(peers_with_an_older_version_keep_all_records),
	    HARNESS_TEST(a_peer_that_falls_silent_is_not_waited_for),
	    HARNESS_TEST(group_requests_that_make_no_sense_are_refused),
	    HARNESS_TEST(clients_can_not_ask_for_a_group),
	    HARNESS_TEST(servers_get_one_name_from_all_nodes),
	    HARNESS_TEST(no_key_reaches_another_gateway),
	};

	return RUN_TESTS(argc, argv, tests);
}
