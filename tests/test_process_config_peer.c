/* Tests what nodes believe of a peer, which the test simulates: an older
 * configuration, and messages of one that is not listed or lacks the key. */
#include "lib/adoption.h"
#include "lib/traffic.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#include "bulrushwell/message.h"

#define DEADLINE_MS 1000
#define WAIT_TIMEOUT_MS 20000

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
	first = adoption_put_contract(harness, "kiln", false);
	text = contract_text(harness, "kiln");
	old = contract_text(harness, TRAFFIC_CUSTOMER);
	retired = adoption_put_contract(harness, "kiln", true);
	adoption_wait(harness, 0, "kiln", retired);
	peer = open_peer("node-2", "vm-2", harness->nodes[1].peer_address,
	    harness->nodes[0].peer_address);
	wait_peer_live(harness, &peer);
	push_contract(&peer, "kiln", (uint64_t)first, text);
	free(text);
	push_contract(&peer, TRAFFIC_CUSTOMER, 1, old);
	free(old);
	adoption_put_contract(harness, "later", false);
	text = contract_text(harness, "later");
	push_contract(&peer, "later", 1000000, text);
	free(text);
	adoption_wait(harness, 0, "later", 1000000);
	assert_int_equal(adoption_version(harness, 0, "kiln"), retired);
	assert_int_equal(adoption_version(harness, 0, TRAFFIC_CUSTOMER),
	    adoption_stored_version(harness, TRAFFIC_CUSTOMER));
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
	assert_int_equal(adoption_version(harness, 0, "acme"),
	    adoption_stored_version(harness, "acme"));
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
	    HARNESS_TEST(old_versions_of_a_peer_are_ignored),
	    HARNESS_TEST(unlisted_peers_are_dropped),
	    HARNESS_TEST(peers_without_the_key_are_not_heard),
	};

	return RUN_TESTS(argc, argv, tests);
}
