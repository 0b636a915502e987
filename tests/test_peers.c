/* Guards what gateways tell each other of the store: malformed datagrams,
 * changes that are lost, repeated or out of order, relays that fall silent or
 * lose the store, nodes that follow although they lack changes. */
#include "lib/runner.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "../source/base/loop_clock.h"
#include "../source/peers/peer_batch.h"
#include "../source/peers/peer_link.h"
#include "bulrushwell/error.h"

#define NODES 5
#define NOW SECONDS(100)
#define MANY_NODES 60
#define FIRST_PORT 42000 /* nobody listens there */
#define MOST_AT_ONCE 10	 /* datagrams */

static const peer_message_t status = {
    .kind = PEER_STATUS,
    .status = {.positions = {{4, 9}, {7, 7}}, .age = MS(20)},
};

static const peer_message_t suspect = {
    .kind = PEER_SUSPECT,
    .suspect = {UINT64_MAX, 7},
};

static peer_changes_t
make_changes(void)
{
	return (peer_changes_t){.topic = PEER_SERVERS,
	    .from = 4,
	    .to = 9,
	    .part = 1,
	    .parts = 3,
	    .whole_size = 100,
	    .size = 5,
	    .bytes = "bytes"};
}

static int
pass(const peer_message_t *sent, peer_message_t *received)
{
	writer_t writer;
	int error;

	memset(received, 0, sizeof(*received));
	writer_init(&writer);
	peer_message_encode(sent, &writer);
	assert_true(writer.buffer.size <= PEER_DATAGRAM_MAX);
	error = peer_message_decode(
	    (slice_t){writer.buffer.data, writer.buffer.size}, received);
	writer_clear(&writer);
	return error;
}

static void
messages_arrive_as_sent(void **state)
{
	peer_message_t sent = {.kind = PEER_CHANGES, .changes = make_changes()};
	peer_message_t received;

	assert_int_equal(pass(&status, &received), 0);
	assert_int_equal(received.kind, PEER_STATUS);
	assert_memory_equal(
	    &received.status, &status.status, sizeof(peer_status_t));
	assert_int_equal(pass(&suspect, &received), 0);
	assert_int_equal(received.suspect.fingerprint, UINT64_MAX);
	assert_int_equal(received.suspect.crash, 7);
	sent.changes.size = PEER_PART_BYTES;
	sent.changes.to = INT64_MAX;
	assert_int_equal(pass(&sent, &received), 0);
	assert_int_equal(received.changes.topic, PEER_SERVERS);
	assert_int_equal(received.changes.part, 1);
	assert_int_equal(received.changes.size, PEER_PART_BYTES);
	assert_memory_equal(received.changes.bytes, sent.changes.bytes, 5);
}

typedef struct {
	const char *failure;
	peer_changes_t changes; /* fields other than 0 replace good ones */
	bool zero_parts;
	bool backwards;
} bad_changes_t;

static void
refuses_changes_that_make_no_sense(void **state)
{
	static const bad_changes_t cases[] = {
	    {"an unknown topic", {.topic = PEER_TOPICS}, false, false},
	    {"a part beyond the last", {.part = 3}, false, false},
	    {"too many parts", {.parts = PEER_PARTS_MAX + 1}, false, false},
	    {"a content of gigabytes", {.whole_size = 1u << 31}, false, false},
	    {"no parts at all", {0}, true, false},
	    {"changes that end before they begin", {0}, false, true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const bad_changes_t *row = &cases[i];
		peer_message_t sent = {
		    .kind = PEER_CHANGES, .changes = make_changes()};
		peer_message_t received;
		peer_changes_t *changes = &sent.changes;

		if (row->changes.topic != 0)
			changes->topic = row->changes.topic;
		if (row->changes.part != 0)
			changes->part = row->changes.part;
		if (row->changes.parts != 0)
			changes->parts = row->changes.parts;
		if (row->changes.whole_size != 0)
			changes->whole_size = row->changes.whole_size;
		if (row->zero_parts)
			changes->parts = 0;
		if (row->backwards)
			changes->to = changes->from;
		if (pass(&sent, &received) != BW_E_PROTOCOL)
			fail_msg("%s is accepted", row->failure);
	}
}

static void
refuses_bytes_that_are_no_message(void **state)
{
	static const struct {
		const char *failure;
		slice_t bytes;
	} cases[] = {
	    {"nothing", {"", 0}},
	    {"text", {"hello", 5}},
	    {"an empty array", {"\x90", 1}},
	    {"an array that claims gigabytes", {"\xdd\xff\xff\xff\xff", 5}},
	    {"another version", {"\x92\x02\x01", 3}},
	    {"an unknown kind", {"\x92\x01\x09", 3}},
	    {"a status without positions", {"\x93\x01\x01\x00", 4}},
	    {"a negative revision", {"\x97\x01\x01\x00\xff\x01\x00\x00", 8}},
	};
	peer_message_t received;
	writer_t writer;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		if (peer_message_decode(cases[i].bytes, &received) !=
		    BW_E_PROTOCOL)
			fail_msg("%s is accepted", cases[i].failure);
	writer_init(&writer);
	peer_message_encode(&status, &writer);
	for (size_t size = 0; size < writer.buffer.size; size++)
		assert_int_equal(
		    peer_message_decode(
			(slice_t){writer.buffer.data, size}, &received),
		    BW_E_PROTOCOL);
	writer_clear(&writer);
}

typedef struct {
	GArray *parts; /* peer_changes_t */
	peer_batch_t *batch;
} batch_scene_t;

static void
keep_part(void *context, const peer_changes_t *part)
{
	g_array_append_val((GArray *)context, *part);
}

static GString *
make_content(size_t size)
{
	GString *content = g_string_new(NULL);
	GRand *random = g_rand_new_with_seed(1);

	while (content->len < size)
		g_string_append_printf(content, "%08x", g_rand_int(random));
	g_rand_free(random);
	return content;
}

static batch_scene_t
begin_batch(const GString *content)
{
	const peer_changes_t changes = {
	    .topic = PEER_CONFIG, .from = 10, .to = 20};
	batch_scene_t scene = {
	    .parts = g_array_new(FALSE, TRUE, sizeof(peer_changes_t)),
	    .batch = peer_batch_create(),
	};

	assert_true(peer_batch_cut(&changes,
	    (slice_t){content->str, content->len}, keep_part, scene.parts));
	return scene;
}

static void
end_batch(batch_scene_t *scene)
{
	g_array_free(scene->parts, TRUE);
	peer_batch_destroy(scene->batch);
}

/* Applying changes without those before them would hide a leaving server. */
static void
takes_changes_whole_and_in_order_only(void **state)
{
	static const struct {
		const char *name;
		int order[6]; /* of the parts; ends with -1 */
		int64_t revision;
		bool whole;
	} cases[] = {
	    {"all parts", {0, 1, 2, -1}, 10, true},
	    {"some changes are known", {0, 1, 2, -1}, 15, true},
	    {"a part twice", {0, 1, 1, 2, -1}, 10, true},
	    {"begun again", {0, 1, 0, 1, 2, -1}, 10, true},
	    {"the first part is lost", {1, 2, -1}, 10, false},
	    {"a part is lost", {0, 2, -1}, 10, false},
	    {"out of order", {0, 2, 1, -1}, 10, false},
	    {"changes before it are missing", {0, 1, 2, -1}, 9, false},
	    {"all is known", {0, 1, 2, -1}, 20, false},
	};
	GString *content = make_content(5000);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		batch_scene_t scene = begin_batch(content);
		bool whole = false;

		assert_int_equal(scene.parts->len, 3);
		for (const int *at = cases[i].order; *at >= 0; at++)
			whole |= peer_batch_take(scene.batch,
			    &g_array_index(scene.parts, peer_changes_t, *at),
			    cases[i].revision);
		if (whole != cases[i].whole)
			fail_msg("%s: %d", cases[i].name, whole);
		if (whole)
			assert_true(slice_equal(peer_batch_content(scene.batch),
			    (slice_t){content->str, content->len}));
		end_batch(&scene);
	}
	g_string_free(content, TRUE);
}

static void
refuses_content_that_cannot_be_unpacked(void **state)
{
	GString *content = make_content(300);
	batch_scene_t scene = begin_batch(content);
	peer_changes_t *part = &g_array_index(scene.parts, peer_changes_t, 0);

	part->whole_size += 1;
	assert_true(peer_batch_take(scene.batch, part, 10));
	assert_int_equal(peer_batch_content(scene.batch).size, 0);
	part->whole_size -= 1;
	part->bytes[part->size / 2] ^= 0x55;
	assert_true(peer_batch_take(scene.batch, part, 10));
	assert_int_equal(peer_batch_content(scene.batch).size, 0);
	end_batch(&scene);
	g_string_free(content, TRUE);
}

static void
cuts_nothing_that_is_too_large(void **state)
{
	const peer_changes_t changes = {
	    .topic = PEER_CONFIG, .from = 10, .to = 20};
	GString *content = make_content(2 * PEER_PARTS_MAX * PEER_PART_BYTES);
	GArray *parts = g_array_new(FALSE, TRUE, sizeof(peer_changes_t));

	assert_false(peer_batch_cut(
	    &changes, (slice_t){content->str, content->len}, keep_part, parts));
	assert_int_equal(parts->len, 0);
	g_array_free(parts, TRUE);
	g_string_free(content, TRUE);
}

/* A node's view of the others: n0 to n3 come before n4, which is this one. */
typedef struct {
	const char *failure;
	int nodes;		 /* in the data centre */
	bool relay[NODES];	 /* a status comes now and then */
	usec_t store_age[NODES]; /* as the status says */
	int64_t changed[NODES];	 /* it knows of a change up to here */
	int64_t own;		 /* this node's revision; 0: nothing read */
	bool lost;		 /* the store does not answer this node */
	peer_role_t before;	 /* else PEER_ALONE */
	peer_role_t at_once;
	peer_role_t later; /* after two seconds */
} role_case_t;

static const role_case_t role_cases[] = {
    {"too few nodes for relays", 3, {false}, {0}, {0}, 10, false, PEER_ALONE,
	PEER_ALONE, PEER_ALONE},
    {"no relay is heard; others may come first", 5, {false}, {0}, {0}, 10,
	false, PEER_ALONE, PEER_ALONE, PEER_RELAY},
    {"a second relay is missing", 5, {true}, {0}, {0}, 10, false, PEER_FOLLOWER,
	PEER_FOLLOWER, PEER_RELAY},
    {"two relays are heard", 5, {true, true}, {0}, {0}, 10, false, PEER_ALONE,
	PEER_FOLLOWER, PEER_FOLLOWER},
    {"any two of the nodes before", 5, {false, false, true, true}, {0}, {0}, 10,
	false, PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER},
    {"one relay has lost the store", 5, {true, true}, {0, SECONDS(2)}, {0}, 10,
	false, PEER_FOLLOWER, PEER_FOLLOWER, PEER_RELAY},
    {"both relays have lost the store", 5, {true, true},
	{SECONDS(2), SECONDS(2)}, {0}, 10, false, PEER_FOLLOWER, PEER_ALONE,
	PEER_RELAY},
    {"nobody reaches the store", 5, {false}, {0}, {0}, 10, true, PEER_ALONE,
	PEER_ALONE, PEER_ALONE},
    {"only relays reach the store", 5, {true, true}, {0}, {0}, 10, true,
	PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER},
    {"only one relay reaches the store", 5, {true}, {0}, {0}, 10, true,
	PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER},
    {"nothing was read yet", 5, {true, true}, {0}, {0}, 0, false, PEER_ALONE,
	PEER_ALONE, PEER_ALONE},
    {"it lacks changes and asks already", 5, {true, true}, {0}, {11, 11}, 10,
	false, PEER_ALONE, PEER_ALONE, PEER_ALONE},
    {"changes may still be on their way", 5, {true, true}, {0}, {11, 11}, 10,
	false, PEER_FOLLOWER, PEER_FOLLOWER, PEER_ALONE},
    {"it knows more than the relays", 5, {true, true}, {0}, {9, 8}, 10, false,
	PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER},
};

static peer_address_t
node_address(int i)
{
	peer_address_t node = {
	    .address = {.sin_family = AF_INET}, .same_data_centre = true};

	snprintf(node.name, sizeof(node.name), "n%d", i);
	node.address.sin_addr.s_addr = htonl(0x0a000001u + (uint32_t)i);
	node.address.sin_port = htons(7740);
	return node;
}

static peer_group_t *
make_group(int nodes)
{
	peer_address_t addresses[NODES];
	peer_group_t *group = peer_group_create("n4");

	for (int i = 0; i < NODES; i++)
		addresses[i] = node_address(i);
	peer_group_set(group, addresses + NODES - nodes, (uint32_t)nodes);
	return group;
}

static void
hear(peer_group_t *group, int i, usec_t age, int64_t changed, usec_t now)
{
	peer_address_t node = node_address(i);
	peer_t *peer = peer_group_find(group, &node.address);
	peer_status_t said = {.age = age};

	if (peer == NULL)
		return;
	for (int topic = 0; topic < PEER_TOPICS; topic++)
		said.positions[topic] = (peer_position_t){changed, changed};
	peer_group_note_status(peer, &said, now);
}

static void
become_follower(peer_group_t *group, const peer_position_t *own, usec_t now)
{
	hear(group, 0, 0, 0, now);
	hear(group, 1, 0, 0, now);
	assert_int_equal(peer_group_role(group, own, now, now), PEER_FOLLOWER);
}

/* Lets the situation last from @from to @until. */
static peer_role_t
role_after(
    peer_group_t *group, const role_case_t *row, usec_t from, usec_t until)
{
	const peer_position_t own[PEER_TOPICS] = {
	    {row->own, row->own}, {row->own, row->own}};
	peer_role_t role = PEER_ALONE;

	for (usec_t now = from; now <= until; now += MS(100)) {
		for (int i = 0; i < NODES; i++)
			if (row->relay[i])
				hear(group, i, row->store_age[i],
				    row->changed[i], now);
		role = peer_group_role(group, own, row->lost ? 0 : now, now);
	}
	return role;
}

static void
the_role_follows_what_is_heard(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(role_cases); i++) {
		const role_case_t *row = &role_cases[i];
		const peer_position_t own[PEER_TOPICS] = {
		    {row->own, row->own}, {row->own, row->own}};
		peer_group_t *group = make_group(row->nodes);
		peer_role_t at_once, later;

		/* Relays that are heard no more have fallen silent by NOW. */
		if (row->before == PEER_FOLLOWER)
			become_follower(group, own, NOW - MS(1300));
		at_once = role_after(group, row, NOW, NOW);
		later = role_after(group, row, NOW, NOW + SECONDS(2));
		if (at_once != row->at_once || later != row->later)
			fail_msg("%s: role %d, later %d", row->failure, at_once,
			    later);
		peer_group_destroy(group);
	}
}

/* When a relay fails, one node takes its place, and not all at once. */
static void
one_node_takes_the_place_of_a_relay(void **state)
{
	const peer_position_t own[PEER_TOPICS] = {{10, 10}, {10, 10}};
	peer_address_t addresses[NODES];
	peer_group_t *groups[NODES];
	peer_role_t roles[NODES] = {PEER_ALONE};
	uint32_t most = 0;

	for (int i = 0; i < NODES; i++)
		addresses[i] = node_address(i);
	for (int i = 0; i < NODES; i++) {
		groups[i] = peer_group_create(addresses[i].name);
		peer_group_set(groups[i], addresses, NODES);
	}
	for (usec_t now = NOW; now < NOW + SECONDS(10); now += MS(250)) {
		/* n0 dies after five seconds. */
		int first = now < NOW + SECONDS(5) ? 0 : 1;
		uint32_t relays = 0;

		for (int i = first; i < NODES; i++) {
			roles[i] = peer_group_role(groups[i], own, now, now);
			relays += roles[i] == PEER_RELAY;
			for (int j = first; j < NODES; j++)
				if (j != i && roles[i] == PEER_RELAY)
					hear(groups[j], i, 0, 10, now);
		}
		most = MAX(most, relays);
	}
	assert_int_equal(most, PEER_RELAYS);
	assert_int_equal(roles[1], PEER_RELAY);
	assert_int_equal(roles[2], PEER_RELAY);
	assert_int_equal(roles[3], PEER_FOLLOWER);
	assert_int_equal(roles[4], PEER_FOLLOWER);
	for (int i = 0; i < NODES; i++)
		peer_group_destroy(groups[i]);
}

/* A change that does not arrive must be asked for soon: it may be a server
 * that leaves. */
static void
a_follower_that_lacks_changes_asks_soon(void **state)
{
	peer_group_t *group = make_group(NODES);
	peer_position_t own[PEER_TOPICS] = {{10, 10}, {10, 10}};
	usec_t now = NOW;

	become_follower(group, own, now);
	while (peer_group_role(group, own, now, now) == PEER_FOLLOWER) {
		now += MS(50);
		hear(group, 0, 0, 11, now);
		hear(group, 1, 0, 10, now);
		assert_true(now < NOW + MS(500));
	}
	own[PEER_CONFIG].revision = own[PEER_SERVERS].revision = 11;
	assert_int_equal(peer_group_role(group, own, now, now), PEER_FOLLOWER);
	peer_group_destroy(group);
}

static void
ignore_role(void *context, peer_role_t role)
{
}

static peer_link_t *
make_relay(struct ev_loop *loop)
{
	const struct sockaddr_in own = {.sin_family = AF_INET};
	const peer_link_handlers_t handlers = {.role = ignore_role};
	peer_link_t *link = peer_link_create(loop, "a", &own);
	peer_address_t nodes[MANY_NODES];

	for (int i = 0; i < MANY_NODES; i++) {
		nodes[i] = (peer_address_t){.address = {.sin_family = AF_INET},
		    .same_data_centre = true};
		snprintf(nodes[i].name, sizeof(nodes[i].name), "b%d", i);
		nodes[i].address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		nodes[i].address.sin_port = htons((uint16_t)(FIRST_PORT + i));
	}
	peer_link_set_handlers(link, &handlers);
	peer_link_set_nodes(link, nodes, MANY_NODES);
	peer_link_checked(link);
	while (peer_link_role(link) != PEER_RELAY)
		ev_run(loop, EVRUN_ONCE);
	return link;
}

/*
 * A relay of 300 nodes sent each part to all peers at once. Its link lost most
 * of them, and a configuration was in force 2.8 s later than at the relay.
 */
static void
changes_are_sent_in_small_bursts(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	GString *content = make_content(5000);
	loop_clock_t clock;
	peer_link_t *link;
	uint64_t before;

	loop_clock_start(&clock, loop);
	link = make_relay(loop);
	before = peer_link_counters(link)->sent;
	peer_link_read(
	    link, PEER_CONFIG, true, 10, (slice_t){content->str, content->len});
	assert_true(peer_link_counters(link)->sent > before);
	assert_true(peer_link_counters(link)->sent <= before + MOST_AT_ONCE);
	while (peer_link_counters(link)->sent < before + 3 * MANY_NODES)
		ev_run(loop, EVRUN_ONCE);
	peer_link_destroy(link);
	ev_loop_destroy(loop);
	g_string_free(content, TRUE);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(messages_arrive_as_sent),
	    cmocka_unit_test(refuses_changes_that_make_no_sense),
	    cmocka_unit_test(refuses_bytes_that_are_no_message),
	    cmocka_unit_test(takes_changes_whole_and_in_order_only),
	    cmocka_unit_test(refuses_content_that_cannot_be_unpacked),
	    cmocka_unit_test(cuts_nothing_that_is_too_large),
	    cmocka_unit_test(the_role_follows_what_is_heard),
	    cmocka_unit_test(one_node_takes_the_place_of_a_relay),
	    cmocka_unit_test(a_follower_that_lacks_changes_asks_soon),
	    cmocka_unit_test(changes_are_sent_in_small_bursts),
	};

	return RUN_TESTS(argc, argv, tests);
}
