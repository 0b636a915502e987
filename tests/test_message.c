/* Guards the messages between nodes: every field must be encoded and decoded
 * unchanged, and truncated or altered bytes must not crash the decoder. */
#include "lib/runner.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/message.h"

static slot_loan_t slot_loans[] = {{"slotplan-01", 2}, {"slotplan-02", 1}};
static allowance_loan_t allowances[] = {{"llanberis", 12.5, 3}};
static uint32_t shards[] = {3, 13, 23};
static shard_group_t shard_groups[] = {{"slotplan-03", 3, shards}};
static shard_reply_entry_t entries[] = {
    {3, 0, {"body", 4}}, {13, -1021, {"", 0}}};
static config_object_t objects[] = {
    {CONFIG_CONTRACT, "llanberis", 7, {"{}", 2}},
    {CONFIG_ASSIGNMENT, "cymru", 9, {"{}", 2}}};

static const message_t messages[] = {
    {.kind = MESSAGE_HEARTBEAT,
	.heartbeat = {.sequence = 5,
	    .report = {.vm = "vm-1",
		.data_centre = "cymru-1",
		.address = "127.0.0.1:9000",
		.state = NODE_STATE_STOPPING,
		.platform_age_ms = -1,
		.assignment_version = 4,
		.contracts_digest = UINT64_MAX},
	    .config_digest = 77,
	    .longest_deadline = 250000,
	    .wanted_loan_count = 2,
	    .wanted_loans = slot_loans,
	    .wanted_allowance_count = 1,
	    .wanted_allowances = allowances}},
    {.kind = MESSAGE_HEARTBEAT_REPLY,
	.heartbeat_reply = {5, 2, slot_loans, 1, allowances}},
    {.kind = MESSAGE_SHARD_REQUEST,
	.shard_request = {.query = {1, 2},
	    .index = "slotplan",
	    .version = 8,
	    .customer = "llanberis",
	    .weight = 3,
	    .remaining = 1000,
	    .wall_deadline = 2000,
	    .fingerprint = 9,
	    .body = {"body", 4},
	    .group_count = 1,
	    .groups = shard_groups}},
    {.kind = MESSAGE_SHARD_REPLY,
	.shard_reply = {{1, 2}, "slotplan", 8, 100, 2, entries}},
    {.kind = MESSAGE_CANCEL, .cancel = {1, 2}},
    {.kind = MESSAGE_RESERVE_REQUEST,
	.reserve_request = {.id = {1, 2},
	    .service = "shift-board",
	    .customer = "llanberis",
	    .key = "1796362000-reel-4711",
	    .repeat_window_s = 3600,
	    .weight = 1,
	    .remaining = 5,
	    .wall_deadline = 6,
	    .fingerprint = 7,
	    .body = {"body", 4}}},
    {.kind = MESSAGE_RESERVE_REPLY,
	.reserve_reply = {{1, 2}, -1018, 0, true, {"", 0}}},
    {.kind = MESSAGE_CONFIG_PULL, .config = {2, objects}},
    {.kind = MESSAGE_CONFIG_PUSH, .config = {2, objects}},
    {.kind = MESSAGE_SUSPECT_NOTICE, .suspect = {3, 4}},
    {.kind = MESSAGE_PERMIT_REQUEST,
	.permit = {1, 2, {"llanberis", 2.5, 1}, 250000}},
    {.kind = MESSAGE_PERMIT_REPLY, .permit = {1, 2, {"llanberis", 0, 0}, 0}},
};

#define MESSAGE_COUNT (sizeof(messages) / sizeof(messages[0]))

static void
encode(size_t position, writer_t *writer)
{
	message_t message = messages[position];

	strcpy(message.sender, "node-1");
	message.sender_incarnation = 42;
	writer_init(writer);
	message_encode(&message, writer);
}

/* Decoding a message and encoding it again gives the same bytes. */
static void
messages_survive_the_wire(void **state)
{
	for (size_t i = 0; i < MESSAGE_COUNT; i++) {
		writer_t first, second;
		message_t *message;

		encode(i, &first);
		message = message_decode(first.buffer.data, first.buffer.size);
		if (message == NULL)
			fail_msg("cannot decode a message of kind %d",
			    (int)messages[i].kind);
		assert_string_equal(message->sender, "node-1");
		writer_init(&second);
		message_encode(message, &second);
		assert_int_equal(first.buffer.size, second.buffer.size);
		assert_memory_equal(
		    first.buffer.data, second.buffer.data, first.buffer.size);
		message_destroy(message);
		writer_free(&first);
		writer_free(&second);
	}
}

static void
truncated_messages_are_refused(void **state)
{
	for (size_t i = 0; i < MESSAGE_COUNT; i++) {
		writer_t writer;

		encode(i, &writer);
		for (size_t size = 0; size < writer.buffer.size; size++) {
			/* With a copy of the exact size, the address sanitizer
			 * detects a read beyond the end. */
			char *copy = g_memdup2(writer.buffer.data, size);

			assert_null(message_decode(copy, size));
			g_free(copy);
		}
		writer_free(&writer);
	}
}

static void
altered_messages_do_no_harm(void **state)
{
	GRand *random = g_rand_new_with_seed(1);

	for (int round = 0; round < 40000; round++) {
		writer_t writer;
		char *copy;
		size_t size;

		encode((size_t)round % MESSAGE_COUNT, &writer);
		size = writer.buffer.size;
		copy = g_memdup2(writer.buffer.data, size);
		for (int i = g_rand_int_range(random, 1, 4); i > 0; i--)
			copy[g_rand_int_range(random, 0, (gint32)size)] =
			    (char)g_rand_int_range(random, 0, 256);
		message_destroy(message_decode(copy, size));
		g_free(copy);
		writer_free(&writer);
	}
	g_rand_free(random);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(messages_survive_the_wire),
	    cmocka_unit_test(truncated_messages_are_refused),
	    cmocka_unit_test(altered_messages_do_no_harm),
	};

	return RUN_TESTS(argc, argv, tests);
}
