/* Tests the exchange of store changes between gateways. Failures guarded
 * against: malformed datagrams are accepted; changes that are lost, repeated or
 * out of order are applied; relays that fall silent or no longer reach the
 * store are not replaced; nodes remain followers although they lack changes. */
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
#define FIRST_PORT 42000 /* no process listens on these ports */
#define MAX_BURST 10	 /* datagrams */
#define TICKS 4		 /* of a link; more than a second datagram needs */

/* A position of a topic. */
#define READ_UP_TO(era, change, revision) \
	{                                 \
		{era, change},            \
		{                         \
			era, revision     \
		}                         \
	}

static const peer_message_t status = {
    .kind = PEER_STATUS,
    .status = {.positions = {READ_UP_TO(0, 4, 9), READ_UP_TO(0, 7, 7)},
	.age = MS(20)},
};

static const peer_message_t suspect = {
    .kind = PEER_SUSPECT,
    .suspect = {UINT64_MAX, 7},
};

static const peer_message_t leaving = {
    .kind = PEER_LEAVING,
    .leaving = {"i-7f3a91c2", 1764900000000},
};

static peer_changes_t
make_changes(void)
{
	return (peer_changes_t){.topic = PEER_SERVERS,
	    .from = 4,
	    .to = 9,
	    .part = 1,
	    .parts = 3,
	    .uncompressed_size = 100,
	    .size = 5,
	    .bytes = "bytes"};
}

static int
encode_and_decode(const peer_message_t *sent, peer_message_t *received)
{
	writer_t writer;
	int error;

	memset(received, 0, sizeof(*received));
	writer_init(&writer);
	peer_message_encode(sent, &writer);
	assert_true(writer.buffer.size <= PEER_DATAGRAM_MAX);
	error = peer_message_decode(
	    (slice_t){writer.buffer.data, writer.buffer.size}, received);
	writer_free(&writer);
	return error;
}

static void
messages_arrive_as_sent(void **state)
{
	peer_message_t sent = {.kind = PEER_CHANGES, .changes = make_changes()};
	peer_message_t received;

	assert_int_equal(encode_and_decode(&status, &received), 0);
	assert_int_equal(received.kind, PEER_STATUS);
	assert_memory_equal(
	    &received.status, &status.status, sizeof(peer_status_t));
	assert_int_equal(encode_and_decode(&suspect, &received), 0);
	assert_int_equal(received.suspect.fingerprint, UINT64_MAX);
	assert_int_equal(received.suspect.crash_number, 7);
	assert_int_equal(encode_and_decode(&leaving, &received), 0);
	assert_int_equal(received.kind, PEER_LEAVING);
	assert_string_equal(received.leaving.server, leaving.leaving.server);
	assert_int_equal(
	    received.leaving.incarnation, leaving.leaving.incarnation);
	sent.changes.size = PEER_PART_MAX_BYTES;
	sent.changes.to = INT64_MAX;
	assert_int_equal(encode_and_decode(&sent, &received), 0);
	assert_int_equal(received.changes.topic, PEER_SERVERS);
	assert_int_equal(received.changes.part, 1);
	assert_int_equal(received.changes.size, PEER_PART_MAX_BYTES);
	assert_memory_equal(received.changes.bytes, sent.changes.bytes, 5);
	assert_int_equal(received.changes.era, 0);
	sent.changes.era = STORE_ERA_MAX;
	assert_int_equal(encode_and_decode(&sent, &received), 0);
	assert_int_equal(received.changes.era, STORE_ERA_MAX);
	sent.changes.era = STORE_ERA_MAX + 1;
	assert_int_equal(encode_and_decode(&sent, &received), BW_E_PROTOCOL);
}

static void
set_eras(peer_status_t *sent)
{
	static const int64_t eras[PEER_TOPICS] = {3, 3, 2};

	for (int i = 0; i < PEER_TOPICS; i++) {
		sent->positions[i].last_change.era = eras[i];
		sent->positions[i].known.era = eras[i];
	}
}

/* A datagram as an earlier version reads it: what follows its last field is
 * ignored. Guards against eras that it takes for positions. */
static void
eras_follow_what_earlier_versions_read(void **state)
{
	peer_message_t sent = {.kind = PEER_STATUS, .status.age = 5};
	const char expected[] =
	    "\x9c\x01\x01\x05\x04\x09\x07\x07\x00\x00\x03\x03\x02";
	writer_t writer;

	sent.status.positions[PEER_CONFIG] =
	    (peer_position_t)READ_UP_TO(0, 4, 9);
	sent.status.positions[PEER_SERVERS] =
	    (peer_position_t)READ_UP_TO(0, 7, 7);
	set_eras(&sent.status);
	writer_init(&writer);
	peer_message_encode(&sent, &writer);
	assert_int_equal(writer.buffer.size, sizeof(expected) - 1);
	assert_memory_equal(writer.buffer.data, expected, sizeof(expected) - 1);
	writer_free(&writer);
}

/* Statuses without evacuations, with them, with the eras of the store, and with
 * a further field. Guards against a version that misreads another. */
static void
statuses_of_other_versions_are_read(void **state)
{
	static const slice_t bytes[] = {{"\x97\x01\x01\x05\x04\x09\x07\x07", 8},
	    {"\x99\x01\x01\x05\x04\x09\x07\x07\x02\x08", 10},
	    {"\x9c\x01\x01\x05\x04\x09\x07\x07\x02\x08\x03\x03\x02", 13},
	    {"\x9d\x01\x01\x05\x04\x09\x07\x07\x02\x08\x03\x03\x02\x01", 14}};
	peer_message_t sent = {.kind = PEER_STATUS, .status.age = 5};

	sent.status.positions[PEER_CONFIG] =
	    (peer_position_t)READ_UP_TO(0, 4, 9);
	sent.status.positions[PEER_SERVERS] =
	    (peer_position_t)READ_UP_TO(0, 7, 7);
	for (size_t i = 0; i < G_N_ELEMENTS(bytes); i++) {
		peer_message_t received;
		writer_t writer;

		memset(&received, 0xff, sizeof(received));
		if (i == 1)
			sent.status.positions[PEER_EVACUATIONS] =
			    (peer_position_t)READ_UP_TO(0, 2, 8);
		if (i == 2)
			set_eras(&sent.status);
		assert_int_equal(peer_message_decode(bytes[i], &received), 0);
		assert_memory_equal(
		    &received.status, &sent.status, sizeof(sent.status));
		writer_init(&writer);
		peer_message_encode(&sent, &writer);
		if (i < 3)
			assert_memory_equal(
			    writer.buffer.data, bytes[i].data, bytes[i].size);
		writer_free(&writer);
	}
}

typedef struct {
	const char *name;
	peer_changes_t changes; /* fields other than 0 replace valid ones */
	bool zero_parts;
	bool empty_range;
} bad_changes_t;

static void
refuses_changes_that_make_no_sense(void **state)
{
	static const bad_changes_t cases[] = {
	    {"an unknown topic", {.topic = PEER_TOPICS}, false, false},
	    {"a part beyond the last", {.part = 3}, false, false},
	    {"too many parts", {.parts = PEER_PARTS_MAX + 1}, false, false},
	    {"a content size of 2 GiB", {.uncompressed_size = 1u << 31}, false,
		false},
	    {"no parts at all", {0}, true, false},
	    {"an empty range of revisions", {0}, false, true},
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
		if (row->changes.uncompressed_size != 0)
			changes->uncompressed_size =
			    row->changes.uncompressed_size;
		if (row->zero_parts)
			changes->parts = 0;
		if (row->empty_range)
			changes->to = changes->from;
		if (encode_and_decode(&sent, &received) != BW_E_PROTOCOL)
			fail_msg("%s is accepted", row->name);
	}
}

/* A name that is too long would be that of another server once it is cut. */
static void
refuses_servers_with_long_names(void **state)
{
	char name[PEER_SERVER_MAX + 1];
	peer_message_t received;
	writer_t writer;

	memset(name, 'i', PEER_SERVER_MAX);
	name[PEER_SERVER_MAX] = '\0';
	writer_init(&writer);
	writer_array(&writer, 4);
	writer_uint(&writer, 1);
	writer_uint(&writer, PEER_LEAVING);
	writer_text(&writer, name);
	writer_int(&writer, 1);
	assert_int_equal(
	    peer_message_decode(
		(slice_t){writer.buffer.data, writer.buffer.size}, &received),
	    BW_E_PROTOCOL);
	writer_free(&writer);
}

static void
refuses_bytes_that_are_no_message(void **state)
{
	static const struct {
		const char *name;
		slice_t bytes;
	} cases[] = {
	    {"nothing", {"", 0}},
	    {"text", {"hello", 5}},
	    {"an empty array", {"\x90", 1}},
	    {"an array that claims to have 2^32 - 1 elements",
		{"\xdd\xff\xff\xff\xff", 5}},
	    {"another version", {"\x92\x02\x01", 3}},
	    {"an unknown kind", {"\x92\x01\x09", 3}},
	    {"a status without positions", {"\x93\x01\x01\x00", 4}},
	    {"a leave without an incarnation", {"\x93\x01\x04\xc4\x01i", 6}},
	    {"a leave whose server has a NUL",
		{"\x94\x01\x04\xc4\x02i\x00\x01", 8}},
	    {"a leave whose server is a number", {"\x94\x01\x04\x07\x01", 5}},
	    {"eras of some topics only",
		{"\x9b\x01\x01\x05\x04\x09\x07\x07\x02\x08\x03\x03", 12}},
	    {"a negative era",
		{"\x9c\x01\x01\x05\x04\x09\x07\x07\x02\x08\x03\xff\x02", 13}},
	    {"a negative revision", {"\x97\x01\x01\x00\xff\x01\x00\x00", 8}},
	};
	peer_message_t received;
	writer_t writer;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		if (peer_message_decode(cases[i].bytes, &received) !=
		    BW_E_PROTOCOL)
			fail_msg("%s is accepted", cases[i].name);
	writer_init(&writer);
	peer_message_encode(&status, &writer);
	for (size_t size = 0; size < writer.buffer.size; size++)
		assert_int_equal(
		    peer_message_decode(
			(slice_t){writer.buffer.data, size}, &received),
		    BW_E_PROTOCOL);
	writer_free(&writer);
}

typedef struct {
	GArray *parts; /* peer_changes_t */
	peer_batch_t *batch;
} batch_fixture_t;

static void
collect_part(void *context, const peer_changes_t *part)
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

static batch_fixture_t
begin_batch(const GString *content)
{
	const peer_changes_t changes = {
	    .topic = PEER_CONFIG, .from = 10, .to = 20};
	batch_fixture_t fixture = {
	    .parts = g_array_new(FALSE, TRUE, sizeof(peer_changes_t)),
	    .batch = peer_batch_create(),
	};

	assert_true(
	    peer_batch_split(&changes, (slice_t){content->str, content->len},
		collect_part, fixture.parts));
	return fixture;
}

static void
end_batch(batch_fixture_t *fixture)
{
	g_array_free(fixture->parts, TRUE);
	peer_batch_destroy(fixture->batch);
}

/* If changes were applied without those before them, this node could miss that
 * a server is leaving. */
static void
takes_changes_whole_and_in_order_only(void **state)
{
	static const struct {
		const char *name;
		int order[6]; /* of the parts; ends with -1 */
		store_position_t known;
		bool complete;
	} cases[] = {
	    {"all parts", {0, 1, 2, -1}, {0, 10}, true},
	    {"some changes are known", {0, 1, 2, -1}, {0, 15}, true},
	    {"a part twice", {0, 1, 1, 2, -1}, {0, 10}, true},
	    {"started again", {0, 1, 0, 1, 2, -1}, {0, 10}, true},
	    {"the first part is lost", {1, 2, -1}, {0, 10}, false},
	    {"a part is lost", {0, 2, -1}, {0, 10}, false},
	    {"out of order", {0, 2, 1, -1}, {0, 10}, false},
	    {"changes before the batch are missing", {0, 1, 2, -1}, {0, 9},
		false},
	    {"all changes are known", {0, 1, 2, -1}, {0, 20}, false},
	    {"changes in an earlier era", {0, 1, 2, -1}, {1, 10}, false},
	};
	GString *content = make_content(5000);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		batch_fixture_t fixture = begin_batch(content);
		bool complete = false;

		assert_int_equal(fixture.parts->len, 3);
		for (const int *at = cases[i].order; *at >= 0; at++)
			complete |= peer_batch_add_part(fixture.batch,
			    &g_array_index(fixture.parts, peer_changes_t, *at),
			    cases[i].known);
		if (complete != cases[i].complete)
			fail_msg("%s: %d", cases[i].name, complete);
		if (complete)
			assert_true(
			    slice_equal(peer_batch_uncompress(fixture.batch),
				(slice_t){content->str, content->len}));
		end_batch(&fixture);
	}
	g_string_free(content, TRUE);
}

/* Guards against a node that continues from a revision which the store has
 * given out anew, and against a late list of an era that has ended. */
static void
a_list_of_a_later_era_replaces_what_is_known(void **state)
{
	static const struct {
		const char *name;
		int64_t era;
		int64_t from; /* 0: all objects */
		bool complete;
	} cases[] = {
	    {"all objects of a later era", 3, 0, true},
	    {"changes of a later era", 3, 10, false},
	    {"all objects of the same era, known already", 2, 0, false},
	    {"all objects of an earlier era", 1, 0, false},
	    {"all objects of a store that states no era", 0, 0, false},
	};
	GString *content = make_content(300);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		batch_fixture_t fixture = begin_batch(content);
		peer_changes_t *part =
		    &g_array_index(fixture.parts, peer_changes_t, 0);

		part->era = cases[i].era;
		part->from = cases[i].from;
		if (peer_batch_add_part(fixture.batch, part,
			(store_position_t){2, 25}) != cases[i].complete)
			fail_msg("%s", cases[i].name);
		end_batch(&fixture);
	}
	g_string_free(content, TRUE);
}

static void
refuses_content_that_cannot_be_unpacked(void **state)
{
	GString *content = make_content(300);
	batch_fixture_t fixture = begin_batch(content);
	peer_changes_t *part = &g_array_index(fixture.parts, peer_changes_t, 0);

	part->uncompressed_size += 1;
	assert_true(peer_batch_add_part(
	    fixture.batch, part, (store_position_t){0, 10}));
	assert_int_equal(peer_batch_uncompress(fixture.batch).size, 0);
	part->uncompressed_size -= 1;
	part->bytes[part->size / 2] ^= 0x55;
	assert_true(peer_batch_add_part(
	    fixture.batch, part, (store_position_t){0, 10}));
	assert_int_equal(peer_batch_uncompress(fixture.batch).size, 0);
	end_batch(&fixture);
	g_string_free(content, TRUE);
}

static void
cuts_nothing_that_is_too_large(void **state)
{
	const peer_changes_t changes = {
	    .topic = PEER_CONFIG, .from = 10, .to = 20};
	GString *content =
	    make_content(2 * PEER_PARTS_MAX * PEER_PART_MAX_BYTES);
	GArray *parts = g_array_new(FALSE, TRUE, sizeof(peer_changes_t));

	assert_false(peer_batch_split(&changes,
	    (slice_t){content->str, content->len}, collect_part, parts));
	assert_int_equal(parts->len, 0);
	g_array_free(parts, TRUE);
	g_string_free(content, TRUE);
}

/* What n4 knows of the other nodes, n0 to n3, which come before it in the order
 * of their names. */
typedef struct {
	const char *name;
	int nodes;		    /* in the data centre */
	bool relay[NODES];	    /* it sends its status every 100 ms */
	usec_t store_age[NODES];    /* time since the store answered it */
	int64_t last_change[NODES]; /* revision of its last change */
	int64_t own_revision;	    /* n4's revision; 0: nothing was read */
	bool store_lost;	    /* the store does not answer n4 */
	peer_role_t before;	    /* PEER_FOLLOWER, or PEER_ALONE */
	peer_role_t at_once;
	peer_role_t later; /* after two seconds */
	int64_t own_era;   /* n4's */
	int64_t era;	   /* of the relays */
} role_case_t;

static const role_case_t role_cases[] = {
    {"too few nodes for relays", 3, {false}, {0}, {0}, 10, false, PEER_ALONE,
	PEER_ALONE, PEER_ALONE, 0, 0},
    {"no relay is active; the nodes before n4 have precedence", 5, {false}, {0},
	{0}, 10, false, PEER_ALONE, PEER_ALONE, PEER_RELAY, 0, 0},
    {"a second relay is missing", 5, {true}, {0}, {0}, 10, false, PEER_FOLLOWER,
	PEER_FOLLOWER, PEER_RELAY, 0, 0},
    {"two relays are active", 5, {true, true}, {0}, {0}, 10, false, PEER_ALONE,
	PEER_FOLLOWER, PEER_FOLLOWER, 0, 0},
    {"any two of the nodes before n4 are relays", 5, {false, false, true, true},
	{0}, {0}, 10, false, PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER, 0, 0},
    {"one relay does not reach the store", 5, {true, true}, {0, SECONDS(2)},
	{0}, 10, false, PEER_FOLLOWER, PEER_FOLLOWER, PEER_RELAY, 0, 0},
    {"no relay reaches the store", 5, {true, true}, {SECONDS(2), SECONDS(2)},
	{0}, 10, false, PEER_FOLLOWER, PEER_ALONE, PEER_RELAY, 0, 0},
    {"no node reaches the store", 5, {false}, {0}, {0}, 10, true, PEER_ALONE,
	PEER_ALONE, PEER_ALONE, 0, 0},
    {"only relays reach the store", 5, {true, true}, {0}, {0}, 10, true,
	PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER, 0, 0},
    {"only one relay reaches the store", 5, {true}, {0}, {0}, 10, true,
	PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER, 0, 0},
    {"nothing was read yet", 5, {true, true}, {0}, {0}, 0, false, PEER_ALONE,
	PEER_ALONE, PEER_ALONE, 0, 0},
    {"it lacks changes and reads the store already", 5, {true, true}, {0},
	{11, 11}, 10, false, PEER_ALONE, PEER_ALONE, PEER_ALONE, 0, 0},
    {"changes may still arrive", 5, {true, true}, {0}, {11, 11}, 10, false,
	PEER_FOLLOWER, PEER_FOLLOWER, PEER_ALONE, 0, 0},
    {"it knows more than the relays", 5, {true, true}, {0}, {9, 8}, 10, false,
	PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER, 0, 0},
    {"the relays have listed all after the store came back", 5, {true, true},
	{0}, {8, 8}, 10, false, PEER_FOLLOWER, PEER_FOLLOWER, PEER_ALONE, 1, 2},
    {"it has done so before the relays", 5, {true, true}, {0}, {12, 12}, 10,
	false, PEER_ALONE, PEER_ALONE, PEER_RELAY, 2, 1},
    {"relays of an earlier version, which states no era", 5, {true, true}, {0},
	{10, 10}, 10, false, PEER_ALONE, PEER_ALONE, PEER_RELAY, 2, 0},
    {"all are in the same era", 5, {true, true}, {0}, {10, 10}, 10, false,
	PEER_ALONE, PEER_FOLLOWER, PEER_FOLLOWER, 2, 2},
};

static peer_node_t
node_address(int i)
{
	peer_node_t node = {
	    .address = {.sin_family = AF_INET}, .same_data_centre = true};

	snprintf(node.name, sizeof(node.name), "n%d", i);
	node.address.sin_addr.s_addr = htonl(0x0a000001u + (uint32_t)i);
	node.address.sin_port = htons(7740);
	return node;
}

static peer_group_t *
make_group(int nodes)
{
	peer_node_t addresses[NODES];
	peer_group_t *group = peer_group_create("n4");

	for (int i = 0; i < NODES; i++)
		addresses[i] = node_address(i);
	peer_group_set(group, addresses + NODES - nodes, (uint32_t)nodes);
	return group;
}

static void
receive_status(peer_group_t *group, int i, usec_t age, int64_t era,
    int64_t last_change, usec_t now)
{
	peer_node_t node = node_address(i);
	group_peer_t *peer = peer_group_find(group, &node.address);
	peer_status_t received = {.age = age};

	if (peer == NULL)
		return;
	for (int topic = 0; topic < PEER_TOPICS; topic++)
		received.positions[topic] =
		    (peer_position_t)READ_UP_TO(era, last_change, last_change);
	peer_group_update_status(group, peer, &received, now);
}

static void
become_follower(peer_group_t *group, const peer_position_t *own, usec_t now)
{
	receive_status(group, 0, 0, own->known.era, 0, now);
	receive_status(group, 1, 0, own->known.era, 0, now);
	assert_int_equal(
	    peer_group_update_role(group, own, now, now), PEER_FOLLOWER);
}

/* The role after the situation of @row has lasted from @from to @until. */
static peer_role_t
role_after(
    peer_group_t *group, const role_case_t *row, usec_t from, usec_t until)
{
	const peer_position_t own[PEER_TOPICS] = {
	    READ_UP_TO(row->own_era, row->own_revision, row->own_revision),
	    READ_UP_TO(row->own_era, row->own_revision, row->own_revision)};
	peer_role_t role = PEER_ALONE;

	for (usec_t now = from; now <= until; now += MS(100)) {
		for (int i = 0; i < NODES; i++)
			if (row->relay[i])
				receive_status(group, i, row->store_age[i],
				    row->era, row->last_change[i], now);
		role = peer_group_update_role(
		    group, own, row->store_lost ? 0 : now, now);
	}
	return role;
}

static void
the_role_follows_what_is_heard(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(role_cases); i++) {
		const role_case_t *row = &role_cases[i];
		const peer_position_t own[PEER_TOPICS] = {
		    READ_UP_TO(
			row->own_era, row->own_revision, row->own_revision),
		    READ_UP_TO(
			row->own_era, row->own_revision, row->own_revision)};
		peer_group_t *group = make_group(row->nodes);
		peer_role_t at_once, later;

		/* The statuses that make it a follower expire at NOW. */
		if (row->before == PEER_FOLLOWER)
			become_follower(group, own, NOW - MS(1300));
		at_once = role_after(group, row, NOW, NOW);
		later = role_after(group, row, NOW, NOW + SECONDS(2));
		if (at_once != row->at_once || later != row->later)
			fail_msg(
			    "%s: role %d, later %d", row->name, at_once, later);
		peer_group_destroy(group);
	}
}

/* Guards against a node that relies on relays of an earlier version, which
 * never send evacuations. */
static void
follows_only_relays_that_read_its_topics(void **state)
{
	const peer_position_t own[PEER_TOPICS] = {READ_UP_TO(0, 10, 10),
	    READ_UP_TO(0, 10, 10), READ_UP_TO(0, 10, 10)};
	const peer_status_t earlier = {
	    .positions = {READ_UP_TO(0, 10, 10), READ_UP_TO(0, 10, 10)}};

	for (int topics = PEER_COMMON_TOPICS; topics <= PEER_TOPICS; topics++) {
		peer_node_t relay = node_address(0);
		peer_group_t *group = make_group(NODES);

		peer_group_set_topics(group, topics);
		peer_group_update_status(group,
		    peer_group_find(group, &relay.address), &earlier, NOW);
		assert_int_equal(peer_group_update_role(group, own, NOW, NOW),
		    topics == PEER_TOPICS ? PEER_ALONE : PEER_FOLLOWER);
		receive_status(group, 0, 0, 0, 10, NOW);
		assert_int_equal(peer_group_update_role(group, own, NOW, NOW),
		    PEER_FOLLOWER);
		peer_group_destroy(group);
	}
}

/* When a relay fails, exactly one node replaces it. */
static void
one_node_takes_the_place_of_a_relay(void **state)
{
	const peer_position_t own[PEER_TOPICS] = {
	    READ_UP_TO(0, 10, 10), READ_UP_TO(0, 10, 10)};
	peer_node_t addresses[NODES];
	peer_group_t *groups[NODES];
	peer_role_t roles[NODES] = {PEER_ALONE};
	uint32_t max_relays = 0;

	for (int i = 0; i < NODES; i++)
		addresses[i] = node_address(i);
	for (int i = 0; i < NODES; i++) {
		groups[i] = peer_group_create(addresses[i].name);
		peer_group_set(groups[i], addresses, NODES);
	}
	for (usec_t now = NOW; now < NOW + SECONDS(10); now += MS(250)) {
		/* n0 fails after five seconds. */
		int first = now < NOW + SECONDS(5) ? 0 : 1;
		uint32_t relays = 0;

		for (int i = first; i < NODES; i++) {
			roles[i] =
			    peer_group_update_role(groups[i], own, now, now);
			relays += roles[i] == PEER_RELAY;
			for (int j = first; j < NODES; j++)
				if (j != i && roles[i] == PEER_RELAY)
					receive_status(
					    groups[j], i, 0, 0, 10, now);
		}
		max_relays = MAX(max_relays, relays);
	}
	assert_int_equal(max_relays, PEER_RELAYS);
	assert_int_equal(roles[1], PEER_RELAY);
	assert_int_equal(roles[2], PEER_RELAY);
	assert_int_equal(roles[3], PEER_FOLLOWER);
	assert_int_equal(roles[4], PEER_FOLLOWER);
	for (int i = 0; i < NODES; i++)
		peer_group_destroy(groups[i]);
}

/* Missing changes must be read from the store soon: they may say that a server
 * is leaving. */
static void
a_follower_that_lacks_changes_asks_soon(void **state)
{
	peer_group_t *group = make_group(NODES);
	peer_position_t own[PEER_TOPICS] = {
	    READ_UP_TO(0, 10, 10), READ_UP_TO(0, 10, 10)};
	usec_t now = NOW;

	become_follower(group, own, now);
	while (peer_group_update_role(group, own, now, now) == PEER_FOLLOWER) {
		now += MS(50);
		receive_status(group, 0, 0, 0, 11, now);
		receive_status(group, 1, 0, 0, 10, now);
		assert_true(now < NOW + MS(500));
	}
	own[PEER_CONFIG].known.revision = 11;
	own[PEER_SERVERS].known.revision = 11;
	assert_int_equal(
	    peer_group_update_role(group, own, now, now), PEER_FOLLOWER);
	peer_group_destroy(group);
}

static void
ignore_role(void *context, peer_role_t role)
{
}

/* The link of a node that is the first by name of many. */
static peer_link_t *
create_link(struct ev_loop *loop)
{
	const struct sockaddr_in own = {.sin_family = AF_INET};
	const peer_link_handlers_t handlers = {.role = ignore_role};
	peer_link_t *link = peer_link_create(loop, "a", &own);
	peer_node_t nodes[MANY_NODES];

	for (int i = 0; i < MANY_NODES; i++) {
		nodes[i] = (peer_node_t){.address = {.sin_family = AF_INET},
		    .same_data_centre = true};
		snprintf(nodes[i].name, sizeof(nodes[i].name), "b%d", i);
		nodes[i].address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		nodes[i].address.sin_port = htons((uint16_t)(FIRST_PORT + i));
	}
	peer_link_set_handlers(link, &handlers);
	peer_link_set_nodes(link, nodes, MANY_NODES);
	return link;
}

static peer_link_t *
create_relay(struct ev_loop *loop)
{
	peer_link_t *link = create_link(loop);

	peer_link_store_answered(link);
	while (peer_link_role(link) != PEER_RELAY)
		ev_run(loop, EVRUN_ONCE);
	return link;
}

/*
 * When a relay of 300 nodes sent each part to all peers at once, its link lost
 * most of the datagrams, and the other nodes adopted a configuration 2.8 s
 * later than the relay.
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
	link = create_relay(loop);
	before = peer_link_counters(link)->sent;
	peer_link_changes_read(link, PEER_CONFIG, true,
	    (store_position_t){0, 10}, (slice_t){content->str, content->len});
	assert_true(peer_link_counters(link)->sent > before);
	assert_true(peer_link_counters(link)->sent <= before + MAX_BURST);
	while (peer_link_counters(link)->sent < before + 3 * MANY_NODES)
		ev_run(loop, EVRUN_ONCE);
	peer_link_destroy(link);
	ev_loop_destroy(loop);
	g_string_free(content, TRUE);
}

/*
 * After an outage, what a node reads first makes it a relay again and is what
 * the others lack. If it was not sent, all of them read the store.
 */
static void
the_changes_that_make_a_relay_are_sent(void **state)
{
	static const char content[] = "[{\"a\":1}]";
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	loop_clock_t clock;
	peer_link_t *link;

	loop_clock_start(&clock, loop);
	link = create_link(loop);
	assert_int_equal(peer_link_role(link), PEER_ALONE);
	peer_link_changes_read(link, PEER_SERVERS, false,
	    (store_position_t){0, 10}, slice_from(content));
	assert_int_equal(peer_link_role(link), PEER_RELAY);
	assert_true(peer_link_counters(link)->sent > 0);
	peer_link_destroy(link);
	ev_loop_destroy(loop);
}

/* Nothing else carries what a server says of itself, and a datagram may be
 * lost. */
static void
a_reported_leave_is_sent_twice(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	loop_clock_t clock;
	peer_link_t *link;

	loop_clock_start(&clock, loop);
	link = create_link(loop);
	peer_link_report_leaving(link, "i-1", 7);
	assert_int_equal(peer_link_counters(link)->sent, MANY_NODES);
	for (int i = 0; i < TICKS; i++)
		ev_run(loop, EVRUN_ONCE);
	assert_int_equal(peer_link_counters(link)->sent, 2 * MANY_NODES);
	peer_link_destroy(link);
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(messages_arrive_as_sent),
	    cmocka_unit_test(statuses_of_other_versions_are_read),
	    cmocka_unit_test(eras_follow_what_earlier_versions_read),
	    cmocka_unit_test(a_list_of_a_later_era_replaces_what_is_known),
	    cmocka_unit_test(follows_only_relays_that_read_its_topics),
	    cmocka_unit_test(refuses_changes_that_make_no_sense),
	    cmocka_unit_test(refuses_servers_with_long_names),
	    cmocka_unit_test(refuses_bytes_that_are_no_message),
	    cmocka_unit_test(takes_changes_whole_and_in_order_only),
	    cmocka_unit_test(refuses_content_that_cannot_be_unpacked),
	    cmocka_unit_test(cuts_nothing_that_is_too_large),
	    cmocka_unit_test(the_role_follows_what_is_heard),
	    cmocka_unit_test(one_node_takes_the_place_of_a_relay),
	    cmocka_unit_test(a_follower_that_lacks_changes_asks_soon),
	    cmocka_unit_test(changes_are_sent_in_small_bursts),
	    cmocka_unit_test(a_reported_leave_is_sent_twice),
	    cmocka_unit_test(the_changes_that_make_a_relay_are_sent),
	};

	return RUN_TESTS(argc, argv, tests);
}
