/* Tests that an accepted configuration comes into force on all nodes within a
 * short time and is never replaced by an older one. Also tests the command-line
 * tool that changes the configuration. */
#include "lib/adoption.h"
#include "lib/proxy.h"
#include "lib/tool_run.h"
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
	before = adoption_stored_version(harness, "acme");
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"lose_answers\":1}");
	assert_int_equal(tool_run_exit_status(harness,
			     add_platform_flag(harness,
				 "contract update acme --rate-per-s 77")),
	    0);
	assert_int_equal(adoption_stored_version(harness, "acme"), before + 1);
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
		assert_int_equal(adoption_version(harness, i, "acme"),
		    adoption_stored_version(harness, "acme"));
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
	version = adoption_put_contract(harness, "kiln", false);
	adoption_wait(harness, 0, "kiln", version);
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"down\":true}");
	for (int i = 0; i < NODES; i++) {
		adoption_wait(harness, i, "kiln", version);
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
		version = adoption_put_contract(harness, "kiln", false);
		if (!cases[i].isolated)
			adoption_wait(harness, 2, "kiln", version);
		proxy_set_mode(tier.platform_proxies[2], PROXY_PASS);
		set_peer_proxies(&tier, 2, PROXY_PASS);
		adoption_wait(harness, 2, "kiln", version);
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
	version = adoption_put_contract(harness, "kiln", false);
	adoption_wait(harness, 0, "kiln", version);
	version = adoption_put_contract(harness, "kiln", true);
	adoption_wait(harness, 0, "kiln", version);
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"down\":true}");
	harness_signal(harness, harness->nodes[1].process, SIGCONT);
	adoption_wait(harness, 1, "kiln", version);
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
		adoption_wait(harness, 0, "kiln",
		    adoption_put_contract(harness, "kiln", false));
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
		adoption_wait(harness, i, "kiln", version);
	assert_int_equal(
	    run_tool_as_caller(harness, query, "first-secret-of-kiln"), 0);
	version = put_key(harness, "second-secret-of-kiln");
	for (int i = 0; i < 2; i++)
		adoption_wait(harness, i, "kiln", version);
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
		adoption_wait(harness, 0, "kiln", version);
		traffic_wait_complete(harness, 0);
		assert_int_equal(
		    run_tool_as_caller(harness, query, "second-secret-of-kiln"),
		    0);
	}
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
	};

	/* The tool stores the name of the user who makes a change. */
	g_setenv("USER", "tester", TRUE);
	return RUN_TESTS(argc, argv, tests);
}
