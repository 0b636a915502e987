/* Tests that an accepted configuration comes into force on all nodes within a
 * short time and is never replaced by an older one. Also tests the command-line
 * tool that changes the configuration. */
#include "lib/proxy.h"
#include "lib/tool_run.h"
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#include "bulrushwell/message.h"

#define NODES 3
#define DEADLINE_MS 1000
#define WAIT_TIMEOUT_MS 20000

static char command_line[1024];

static const char *
add_platform_flag(harness_t *harness, const char *text)
{
	snprintf(command_line, sizeof(command_line), "%s --platform %s", text,
	    harness->platform_address);
	return command_line;
}

static int64_t
stored_version(harness_t *harness, const char *customer)
{
	char *path = g_strdup_printf("/v1/objects/contract/%s", customer);
	json_t *object = harness_get_json(harness->platform_address, path);
	int64_t version =
	    json_integer_value(json_object_get(object, "version"));

	json_decref(object);
	g_free(path);
	return version;
}

/* The version of a contract that a node has adopted; 0 for none. */
static int64_t
adopted_version(harness_t *harness, int node, const char *customer)
{
	json_t *status = harness_get_json(
	    harness->nodes[node].operator_address, "/v1/status");
	const json_t *list = json_object_get(status, "contracts");
	int64_t version = 0;

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);

		if (strcmp(
			json_string_value(json_object_get(entry, "customer")),
			customer) == 0)
			version = json_integer_value(
			    json_object_get(entry, "version"));
	}
	json_decref(status);
	return version;
}

static void
wait_adopted(
    harness_t *harness, int node, const char *customer, int64_t version)
{
	usec_t until = clock_monotonic() + MS(WAIT_TIMEOUT_MS);

	while (adopted_version(harness, node, customer) < version) {
		if (clock_monotonic() > until)
			fail_msg(
			    "node-%d does not adopt contract %s version %lld",
			    node + 1, customer, (long long)version);
		g_usleep(10000);
	}
}

static int64_t
put_contract(harness_t *harness, const char *customer, bool retired)
{
	const contract_spec_t spec = {customer, "secret-of-the-other-customer",
	    TRAFFIC_INDEX, "", 20000, 100, 500, 24, retired};

	return (int64_t)harness_put_contract(harness, &spec);
}

/* ---- the tool ---- */

/* Two operators read the same version and change it: the second write must
 * fail, or the first change would be lost. */
static void
racing_operators_get_one_winner(void **state)
{
	harness_t *harness = *state;
	tool_run_t *runs[2];
	int winner;

	traffic_start_backends(harness, DEADLINE_MS);
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"slow_ms\":300}");
	for (int i = 0; i < 2; i++) {
		char *text = g_strdup_printf("contract update acme "
					     "--rate-per-s %d --as operator-%d",
		    100 + i, i);

		runs[i] =
		    tool_run_start(harness, add_platform_flag(harness, text));
		g_free(text);
	}
	for (int i = 0; i < 2; i++)
		tool_run_wait(runs[i]);
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"slow_ms\":0}");
	winner = runs[0]->status == 0 ? 0 : 1;
	assert_int_equal(runs[winner]->status, 0);
	assert_int_equal(runs[1 - winner]->status, 5);
	assert_non_null(strstr(
	    runs[1 - winner]->err, winner == 0 ? "operator-0" : "operator-1"));
	for (int i = 0; i < 2; i++)
		tool_run_free(runs[i]);
}

/* The answer to a write is lost: the tool must find out that the write was made
 * and must not repeat it. */
static void
a_lost_answer_of_a_change_is_read_back(void **state)
{
	harness_t *harness = *state;
	int64_t before;

	traffic_start_backends(harness, DEADLINE_MS);
	before = stored_version(harness, "acme");
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"lose_answers\":1}");
	assert_int_equal(tool_run_exit_status(harness,
			     add_platform_flag(harness,
				 "contract update acme --rate-per-s 77")),
	    0);
	assert_int_equal(stored_version(harness, "acme"), before + 1);
}

static void
exit_statuses_tell_what_happened(void **state)
{
	static const struct {
		const char *text;
		int status;
	} cases[] = {
	    {"contract create --customer kiln --caller desk --may-query reels "
	     "--rate-per-s 20000 --concurrency 20 --deadline-ms 500 "
	     "--repeat-window-h 24",
		0},
	    {"contract create --customer kiln --caller desk --may-query reels "
	     "--rate-per-s 20000 --concurrency 20 --deadline-ms 500 "
	     "--repeat-window-h 24",
		5},
	    {"contract show kiln", 0},
	    {"contract show nobody", 3},
	    {"contract list", 0},
	    {"contract update kiln --rate-per-s 30", 0},
	    {"contract update kiln --rate-per-s none", 3},
	    {"contract update kiln --no-such-flag", 2},
	    {"contract retire kiln", 0},
	    {"contract update kiln --rate-per-s 40", 5},
	    {"contract show", 2},
	};
	harness_t *harness = *state;

	traffic_start_backends(harness, DEADLINE_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(tool_run_exit_status(harness,
				     add_platform_flag(harness, cases[i].text)),
		    cases[i].status);
	harness_kill(harness, harness->platform_process);
	assert_int_equal(tool_run_exit_status(harness,
			     add_platform_flag(harness, "contract list")),
	    9);
}

static int
run_tool_as_caller(harness_t *harness, const char *format, const char *key)
{
	char *text =
	    g_strdup_printf(format, harness->nodes[0].caller_address, key);
	int status = tool_run_exit_status(harness, text);

	g_free(text);
	return status;
}

static void
the_tool_acts_as_a_caller(void **state)
{
	static const char query[] =
	    "query reels --body 4711 --caller-address %s --key %s";
	static const char reserve[] =
	    "reserve roster --body 4711 --key-id "
	    "%lld-tool --caller-address %%s --key %%s";
	harness_t *harness = *state;
	char *text;

	traffic_start_tier(harness, 2, DEADLINE_MS);
	assert_int_equal(run_tool_as_caller(harness, query, TRAFFIC_SECRET), 0);
	assert_int_equal(run_tool_as_caller(harness, query, "another-key"), 4);
	text =
	    g_strdup_printf(reserve, (long long)(clock_wall() / USEC_PER_SEC));
	assert_int_equal(run_tool_as_caller(harness, text, TRAFFIC_SECRET), 0);
	assert_int_equal(run_tool_as_caller(harness, text, TRAFFIC_SECRET), 0);
	g_free(text);
	assert_int_equal(harness_record_sum(harness, "requests") > 0, true);
	text = g_strdup_printf(
	    "status --node %s", harness->nodes[0].operator_address);
	assert_int_equal(tool_run_exit_status(harness, text), 0);
	g_free(text);
	text = g_strdup_printf("contract update acme --rate-per-s 15000 "
			       "--wait --node %s",
	    harness->nodes[0].operator_address);
	assert_int_equal(
	    tool_run_exit_status(harness, add_platform_flag(harness, text)), 0);
	g_free(text);
	for (int i = 0; i < 2; i++)
		assert_int_equal(adopted_version(harness, i, "acme"),
		    stored_version(harness, "acme"));
	harness_kill_node(harness, 0);
	assert_int_equal(run_tool_as_caller(harness, query, TRAFFIC_SECRET), 9);
}

/* ---- nodes connected through proxies ---- */

typedef struct {
	harness_t *harness;
	proxy_t *platform_proxies[NODES];
	proxy_t *peer_proxies[NODES][NODES]; /* from node, to node */
} proxied_tier_t;

/* Starts a tier in which each connection from a node to the platform or to
 * another node passes through a proxy of its own. */
static proxied_tier_t
start_proxied_tier(harness_t *harness)
{
	proxied_tier_t tier = {.harness = harness};

	traffic_start_backends(harness, DEADLINE_MS);
	harness_add_nodes(harness, NODES);
	for (int i = 0; i < NODES; i++) {
		tier.platform_proxies[i] =
		    proxy_create(harness->platform_address,
			harness->nodes[i].platform_address);
		for (int j = 0; j < NODES; j++)
			if (i != j)
				tier.peer_proxies[i][j] =
				    proxy_create(harness->nodes[j].peer_address,
					harness->nodes[i].peer_proxies[j]);
	}
	/* The address that node j reports of itself is replaced on the way to
	 * node i by the address of i's proxy to j. */
	for (int i = 0; i < NODES; i++)
		for (int j = 0; j < NODES; j++) {
			if (i == j)
				continue;
			proxy_replace_text(tier.peer_proxies[j][i],
			    harness->nodes[j].peer_address,
			    harness->nodes[i].peer_proxies[j]);
			proxy_replace_text(tier.platform_proxies[i],
			    harness->nodes[j].peer_address,
			    harness->nodes[i].peer_proxies[j]);
		}
	for (int i = 0; i < NODES; i++)
		harness_start_node(harness, i);
	for (int i = 0; i < NODES; i++)
		harness_wait_node_ready(harness, i);
	for (int i = 0; i < NODES; i++)
		traffic_wait_complete(harness, i);
	return tier;
}

static void
set_peer_proxies(proxied_tier_t *tier, int node, proxy_mode_t mode)
{
	for (int i = 0; i < NODES; i++) {
		if (i == node)
			continue;
		proxy_set_mode(tier->peer_proxies[i][node], mode);
		proxy_set_mode(tier->peer_proxies[node][i], mode);
	}
}

static void
destroy_proxies(proxied_tier_t *tier)
{
	for (int i = 0; i < NODES; i++) {
		proxy_destroy(tier->platform_proxies[i]);
		for (int j = 0; j < NODES; j++)
			if (i != j)
				proxy_destroy(tier->peer_proxies[i][j]);
	}
}

/* The platform fails when only one node has read a new version: the others must
 * get it from that node. */
static void
nodes_spread_what_one_has_adopted(void **state)
{
	proxied_tier_t tier = start_proxied_tier(*state);
	harness_t *harness = tier.harness;
	int64_t version;

	proxy_set_mode(tier.platform_proxies[1], PROXY_HOLD);
	proxy_set_mode(tier.platform_proxies[2], PROXY_DROP);
	version = put_contract(harness, "kiln", false);
	wait_adopted(harness, 0, "kiln", version);
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"down\":true}");
	for (int i = 0; i < NODES; i++) {
		wait_adopted(harness, i, "kiln", version);
		traffic_wait_complete(harness, i);
	}
	destroy_proxies(&tier);
}

/* Node 3 is cut off from the platform, its peers, or both. As long as one of
 * them is reachable it must adopt a new version. Isolated, it cannot know which
 * configuration is in force and must refuse requests as not run. */
static void
cut_off_nodes_learn_or_refuse(void **state)
{
	static const struct {
		bool platform;
		bool peers;
		proxy_mode_t mode;
		bool isolated;
	} cases[] = {
	    {true, false, PROXY_HOLD, false},
	    {true, false, PROXY_DROP, false},
	    {false, true, PROXY_HOLD, false},
	    {false, true, PROXY_DROP, false},
	    {true, true, PROXY_HOLD, true},
	    {true, true, PROXY_DROP, true},
	};
	proxied_tier_t tier = start_proxied_tier(*state);
	harness_t *harness = tier.harness;
	const harness_node_t *node = &harness->nodes[2];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t version;

		if (cases[i].platform)
			proxy_set_mode(tier.platform_proxies[2], cases[i].mode);
		if (cases[i].peers)
			set_peer_proxies(&tier, 2, cases[i].mode);
		if (cases[i].isolated) {
			reply_t reply;

			harness_wait_status(node->operator_address, "/readyz",
			    503, WAIT_TIMEOUT_MS);
			reply = traffic_query(node->caller_address, "board 1");
			assert_string_equal(reply.kind, "isolated");
			assert_true(reply.not_run);
		}
		version = put_contract(harness, "kiln", false);
		if (!cases[i].isolated)
			wait_adopted(harness, 2, "kiln", version);
		proxy_set_mode(tier.platform_proxies[2], PROXY_PASS);
		set_peer_proxies(&tier, 2, PROXY_PASS);
		wait_adopted(harness, 2, "kiln", version);
		harness_wait_node_ready(harness, 2);
		traffic_wait_complete(harness, 2);
	}
	destroy_proxies(&tier);
}

/* A node is paused while a contract is created and retired, and the platform is
 * down when it continues: it must get the latest version from its peers. */
static void
a_paused_node_catches_up(void **state)
{
	harness_t *harness = *state;
	int64_t version;

	traffic_start_tier(harness, NODES, DEADLINE_MS);
	harness_signal(harness, harness->nodes[1].process, SIGSTOP);
	version = put_contract(harness, "kiln", false);
	wait_adopted(harness, 0, "kiln", version);
	version = put_contract(harness, "kiln", true);
	wait_adopted(harness, 0, "kiln", version);
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"down\":true}");
	harness_signal(harness, harness->nodes[1].process, SIGCONT);
	wait_adopted(harness, 1, "kiln", version);
	traffic_wait_complete(harness, 1);
}

/* A node that starts while the platform is down must get its configuration and
 * its services from its peers. */
static void
a_node_starts_during_an_outage(void **state)
{
	harness_t *harness = *state;

	traffic_start_tier(harness, 2, DEADLINE_MS);
	harness_add_nodes(harness, 3);
	/* The running nodes accept a new one only when it is in their settings
	 * or its object is stored on the platform. */
	harness_put_object(harness, "node", "node-3",
	    json_pack("{s:s,s:s,s:s,s:s}", "node", "node-3", "vm", "vm-3",
		"data_centre", "dc-3", "address",
		harness->nodes[2].peer_address));
	traffic_wait_complete(harness, 0);
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"down\":true}");
	harness_start_node(harness, 2);
	harness_wait_node_ready(harness, 2);
	traffic_wait_complete(harness, 2);
}

static void
store_text(harness_t *harness, const char *text)
{
	json_t *command = json_pack(
	    "{s:s,s:s,s:s}", "kind", "contract", "name", "odd", "text", text);
	char *body = json_dumps(command, JSON_COMPACT);

	harness_post(harness->platform_address, "/fake/text", body);
	free(body);
	json_decref(command);
}

/* Another writer stores what the JSON library refuses: the other contracts must
 * be read, in a list and as changes. */
static void
an_unreadable_object_hides_only_itself(void **state)
{
	static const char *const texts[] = {
	    "{\"a\":\"\\udcff\"}",
	    "{\"a\":1e999}",
	    "{\"a\":9223372036854775808}",
	    "{\"a\\u0000\":1}",
	    "{\"a\":1,\"a\":2}",
	    "{\"a\":NaN}",
	};
	harness_t *harness = *state;

	traffic_start_tier(harness, 2, DEADLINE_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		store_text(harness, texts[i]);
		wait_adopted(
		    harness, 0, "kiln", put_contract(harness, "kiln", false));
		traffic_wait_complete(harness, 0);
	}
	harness_kill_node(harness, 0);
	harness_start_node(harness, 0);
	harness_wait_node_ready(harness, 0);
	traffic_wait_complete(harness, 0);
}

static int64_t
put_key(harness_t *harness, const char *secret)
{
	const contract_spec_t spec = {
	    "kiln", secret, TRAFFIC_INDEX, "", 20000, 100, 500, 24, false};

	return (int64_t)harness_put_contract(harness, &spec);
}

/* A node restarts, while the platform is up or down, after a key was replaced:
 * it must not accept the old one, which another copy of the contract, or an
 * answer of before, still names. */
static void
a_withdrawn_key_stays_withdrawn_after_a_restart(void **state)
{
	static const char query[] =
	    "query reels --body 4711 --caller-address %s --key %s";
	harness_t *harness = *state;
	int64_t version;

	traffic_start_tier(harness, 2, DEADLINE_MS);
	version = put_key(harness, "first-secret-of-kiln");
	for (int i = 0; i < 2; i++)
		wait_adopted(harness, i, "kiln", version);
	assert_int_equal(
	    run_tool_as_caller(harness, query, "first-secret-of-kiln"), 0);
	version = put_key(harness, "second-secret-of-kiln");
	for (int i = 0; i < 2; i++)
		wait_adopted(harness, i, "kiln", version);
	for (int down = 0; down < 2; down++) {
		if (down)
			harness_post(harness->platform_address, "/fake/faults",
			    "{\"down\":true}");
		harness_kill_node(harness, 0);
		harness_start_node(harness, 0);
		harness_wait_node_ready(harness, 0);
		assert_int_equal(
		    run_tool_as_caller(harness, query, "first-secret-of-kiln"),
		    4);
		wait_adopted(harness, 0, "kiln", version);
		traffic_wait_complete(harness, 0);
		assert_int_equal(
		    run_tool_as_caller(harness, query, "second-secret-of-kiln"),
		    0);
	}
}

/* ---- a peer that the test simulates ---- */

typedef struct {
	void *context;
	void *socket;
	const char *node;
	const char *vm;
	const char *address; /* as stated in its heartbeats */
	uint64_t sequence;
} test_peer_t;

static test_peer_t
open_peer(const char *node, const char *vm, const char *address, const char *to)
{
	test_peer_t peer = {.node = node, .vm = vm, .address = address};
	char *endpoint = g_strdup_printf("tcp://%s", to);
	int linger = 0;

	peer.context = zmq_ctx_new();
	peer.socket = zmq_socket(peer.context, ZMQ_DEALER);
	zmq_setsockopt(peer.socket, ZMQ_LINGER, &linger, sizeof(linger));
	assert_int_equal(zmq_connect(peer.socket, endpoint), 0);
	g_free(endpoint);
	return peer;
}

static void
close_peer(test_peer_t *peer)
{
	zmq_close(peer->socket);
	zmq_ctx_term(peer->context);
}

static void
send_message(test_peer_t *peer, message_t *message)
{
	writer_t writer;

	strcpy(message->sender, peer->node);
	message->sender_incarnation = 1;
	writer_init(&writer);
	message_encode(message, &writer);
	/* Without a connection the message is lost, as a message between two
	 * nodes may be. */
	zmq_send(
	    peer->socket, writer.buffer.data, writer.buffer.size, ZMQ_DONTWAIT);
	writer_free(&writer);
}

static void
send_heartbeat(test_peer_t *peer)
{
	message_t message = {.kind = MESSAGE_HEARTBEAT};
	peer_report_t *report = &message.heartbeat.report;

	message.heartbeat.sequence = ++peer->sequence;
	strcpy(report->vm, peer->vm);
	strcpy(report->data_centre, "dc-1");
	strcpy(report->address, peer->address);
	report->state = NODE_STATE_READY;
	report->platform_age_ms = -1;
	send_message(peer, &message);
}

static void
push_contract(
    test_peer_t *peer, const char *name, uint64_t version, const char *text)
{
	message_t message = {.kind = MESSAGE_CONFIG_PUSH};
	config_object_t object = {.kind = CONFIG_CONTRACT,
	    .version = version,
	    .text = slice_from(text)};

	strcpy(object.name, name);
	message.config.object_count = 1;
	message.config.objects = &object;
	send_message(peer, &message);
}

static bool
is_peer_live(harness_t *harness, int node, const char *name)
{
	json_t *status = harness_get_json(
	    harness->nodes[node].operator_address, "/v1/status");
	const json_t *list = json_object_get(status, "peers");
	bool live = false;

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);

		if (strcmp(json_string_value(json_object_get(entry, "node")),
			name) == 0)
			live = json_is_true(json_object_get(entry, "live"));
	}
	json_decref(status);
	return live;
}

static void
wait_peer_live(harness_t *harness, test_peer_t *peer)
{
	usec_t until = clock_monotonic() + MS(WAIT_TIMEOUT_MS);

	do {
		assert_true(clock_monotonic() < until);
		send_heartbeat(peer);
		g_usleep(10000);
	} while (!is_peer_live(harness, 0, peer->node));
}

static char *
contract_text(harness_t *harness, const char *customer)
{
	char *path = g_strdup_printf("/v1/objects/contract/%s", customer);
	json_t *object = harness_get_json(harness->platform_address, path);
	char *text = json_dumps(json_object_get(object, "value"), JSON_COMPACT);

	json_decref(object);
	g_free(path);
	return text;
}

/* A peer that was paused or restored from a backup pushes old versions: neither
 * a retired contract nor earlier limits may come into force again. The adoption
 * of a newer version of a third contract, sent last, shows that the pushes have
 * been handled. */
static void
old_versions_of_a_peer_are_ignored(void **state)
{
	harness_t *harness = *state;
	test_peer_t peer;
	int64_t first, retired;
	char *text, *old;

	traffic_start_backends(harness, DEADLINE_MS);
	harness_add_nodes(harness, 2);
	harness_start_node(harness, 0);
	harness_wait_status(harness->nodes[0].operator_address, "/healthz", 200,
	    WAIT_TIMEOUT_MS);
	first = put_contract(harness, "kiln", false);
	text = contract_text(harness, "kiln");
	old = contract_text(harness, TRAFFIC_CUSTOMER);
	retired = put_contract(harness, "kiln", true);
	wait_adopted(harness, 0, "kiln", retired);
	peer = open_peer("node-2", "vm-2", harness->nodes[1].peer_address,
	    harness->nodes[0].peer_address);
	wait_peer_live(harness, &peer);
	push_contract(&peer, "kiln", (uint64_t)first, text);
	free(text);
	push_contract(&peer, TRAFFIC_CUSTOMER, 1, old);
	free(old);
	put_contract(harness, "later", false);
	text = contract_text(harness, "later");
	push_contract(&peer, "later", 1000000, text);
	free(text);
	wait_adopted(harness, 0, "later", 1000000);
	assert_int_equal(adopted_version(harness, 0, "kiln"), retired);
	assert_int_equal(adopted_version(harness, 0, TRAFFIC_CUSTOMER),
	    stored_version(harness, TRAFFIC_CUSTOMER));
	close_peer(&peer);
}

/* Messages of a peer that is not listed must be dropped. A heartbeat of a
 * listed peer follows on the same connection; once that peer is live, the
 * earlier messages have been handled. */
static void
unlisted_peers_are_dropped(void **state)
{
	harness_t *harness = *state;
	test_peer_t peer;
	char *text;

	traffic_start_backends(harness, DEADLINE_MS);
	harness_add_nodes(harness, 2);
	harness_start_node(harness, 0);
	harness_wait_status(harness->nodes[0].operator_address, "/healthz", 200,
	    WAIT_TIMEOUT_MS);
	peer = open_peer("stranger", "vm-9", harness->nodes[1].peer_address,
	    harness->nodes[0].peer_address);
	send_heartbeat(&peer);
	text = contract_text(harness, "acme");
	push_contract(&peer, "acme", 1000000, text);
	free(text);
	peer.node = "node-2";
	peer.vm = "vm-2";
	wait_peer_live(harness, &peer);
	assert_false(is_peer_live(harness, 0, "stranger"));
	assert_int_equal(adopted_version(harness, 0, "acme"),
	    stored_version(harness, "acme"));
	close_peer(&peer);
}

/* With a peer key, messages of a process that lacks the key are dropped, even
 * under the name of a listed peer. */
static void
peers_without_the_key_are_not_heard(void **state)
{
	harness_t *harness = *state;
	char public_key[41], secret_key[41];
	char *file = g_strdup_printf("%s/test-logs/peer-%d.key",
	    harness_build_directory(), (int)getpid());
	test_peer_t peer;

	assert_int_equal(zmq_curve_keypair(public_key, secret_key), 0);
	assert_true(g_file_set_contents(file, secret_key, -1, NULL));
	chmod(file, 0600);
	traffic_start_backends(harness, DEADLINE_MS);
	harness_add_nodes(harness, 3);
	for (int i = 0; i < 2; i++)
		harness->nodes[i].peer_key_file = file;
	for (int i = 0; i < 2; i++)
		harness_start_node(harness, i);
	for (int i = 0; i < 2; i++)
		traffic_wait_complete(harness, i);
	assert_true(is_peer_live(harness, 0, "node-2"));
	peer = open_peer("node-3", "vm-3", harness->nodes[2].peer_address,
	    harness->nodes[0].peer_address);
	/* Sends heartbeats for two seconds. A peer with the key would be live
	 * within 100 ms. */
	for (int i = 0; i < 20; i++) {
		send_heartbeat(&peer);
		g_usleep(100000);
		assert_false(is_peer_live(harness, 0, "node-3"));
	}
	close_peer(&peer);
	g_free(file);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(racing_operators_get_one_winner),
	    HARNESS_TEST(a_lost_answer_of_a_change_is_read_back),
	    HARNESS_TEST(exit_statuses_tell_what_happened),
	    HARNESS_TEST(the_tool_acts_as_a_caller),
	    HARNESS_TEST(nodes_spread_what_one_has_adopted),
	    HARNESS_TEST(cut_off_nodes_learn_or_refuse),
	    HARNESS_TEST(a_paused_node_catches_up),
	    HARNESS_TEST(a_node_starts_during_an_outage),
	    HARNESS_TEST(an_unreadable_object_hides_only_itself),
	    HARNESS_TEST(a_withdrawn_key_stays_withdrawn_after_a_restart),
	    HARNESS_TEST(old_versions_of_a_peer_are_ignored),
	    HARNESS_TEST(unlisted_peers_are_dropped),
	    HARNESS_TEST(peers_without_the_key_are_not_heard),
	};

	/* The tool stores the name of the user who makes a change. */
	g_setenv("USER", "tester", TRUE);
	return RUN_TESTS(argc, argv, tests);
}
