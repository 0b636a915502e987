#include "bulrushwell/message.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/error.h"

static void
read_name(reader_t *reader, name_t name)
{
	char text[NAME_SIZE];

	reader_text(reader, text, sizeof(text));
	if (reader->error == 0 && name_set(name, text) != 0)
		reader->error = BW_E_PROTOCOL;
}

static uint32_t
read_uint32(reader_t *reader)
{
	uint64_t value = reader_uint(reader);

	if (value > UINT32_MAX)
		reader->error = BW_E_PROTOCOL;
	return (uint32_t)value;
}

/* Number of entries of a flat list that has @width fields for each entry. */
static uint32_t
count_entries(reader_t *list, reader_t *reader, uint32_t width)
{
	if (list->error != 0)
		return 0;
	if (list->count % width != 0) {
		reader->error = BW_E_PROTOCOL;
		return 0;
	}
	return list->count / width;
}

static void
propagate_error(reader_t *reader, const reader_t *nested)
{
	if (reader->error == 0)
		reader->error = nested->error;
}

static allowance_loan_t *
read_allowances(reader_t *reader, uint32_t *count)
{
	reader_t list = reader_array(reader, 3 * MESSAGE_MAX_LIST);
	allowance_loan_t *loans;

	*count = count_entries(&list, reader, 3);
	loans = g_new0(allowance_loan_t, *count);
	for (uint32_t i = 0; i < *count; i++) {
		int64_t rate;

		read_name(&list, loans[i].customer);
		rate = reader_int(&list);
		if (rate < 0)
			list.error = BW_E_PROTOCOL;
		loans[i].rate_per_s = (double)rate / 1000;
		loans[i].concurrency = read_uint32(&list);
	}
	propagate_error(reader, &list);
	return loans;
}

static void
decode_heartbeat(message_t *message, reader_t *reader)
{
	heartbeat_t *heartbeat = &message->heartbeat;
	peer_report_t *report = &heartbeat->report;
	char address[ADDRESS_SIZE];
	uint64_t state;
	reader_t list;

	heartbeat->sequence = reader_uint(reader);
	strcpy(report->node, message->sender);
	report->incarnation = message->sender_incarnation;
	read_name(reader, report->vm);
	read_name(reader, report->data_centre);
	reader_text(reader, address, sizeof(address));
	if (reader->error == 0 && address_set(report->address, address) != 0)
		reader->error = BW_E_PROTOCOL;
	state = reader_uint(reader);
	if (state > NODE_STATE_STOPPING)
		reader->error = BW_E_PROTOCOL;
	report->state = (node_state_t)state;
	report->platform_age_ms = reader_int(reader);
	report->assignment_version = reader_uint(reader);
	report->contracts_digest = reader_uint(reader);
	heartbeat->config_digest = reader_uint(reader);
	heartbeat->longest_deadline = reader_int(reader);
	list = reader_array(reader, MESSAGE_MAX_LIST);
	heartbeat->wanted_loan_count = count_entries(&list, reader, 1);
	heartbeat->wanted_loans =
	    g_new0(slot_loan_t, heartbeat->wanted_loan_count);
	for (uint32_t i = 0; i < heartbeat->wanted_loan_count; i++)
		read_name(&list, heartbeat->wanted_loans[i].service);
	propagate_error(reader, &list);
	heartbeat->wanted_allowances =
	    read_allowances(reader, &heartbeat->wanted_allowance_count);
}

static void
decode_heartbeat_reply(heartbeat_reply_t *reply, reader_t *reader)
{
	reader_t list;

	reply->sequence = reader_uint(reader);
	list = reader_array(reader, 2 * MESSAGE_MAX_LIST);
	reply->loan_count = count_entries(&list, reader, 2);
	reply->loans = g_new0(slot_loan_t, reply->loan_count);
	for (uint32_t i = 0; i < reply->loan_count; i++) {
		read_name(&list, reply->loans[i].service);
		reply->loans[i].slots = read_uint32(&list);
	}
	propagate_error(reader, &list);
	reply->allowances = read_allowances(reader, &reply->allowance_count);
}

static void
decode_group(shard_group_t *group, reader_t *reader)
{
	reader_t list = reader_array(reader, MESSAGE_MAX_SHARDS);

	if (list.error != 0 || list.count < 1) {
		reader->error = BW_E_PROTOCOL;
		return;
	}
	read_name(&list, group->service);
	group->shard_count = list.count - 1;
	group->shards = g_new0(uint32_t, group->shard_count);
	for (uint32_t i = 0; i < group->shard_count; i++)
		group->shards[i] = read_uint32(&list);
	propagate_error(reader, &list);
}

static void
decode_shard_request(shard_request_t *request, reader_t *reader)
{
	reader_t list;

	request->query = reader_id(reader);
	read_name(reader, request->index);
	request->version = reader_uint(reader);
	read_name(reader, request->customer);
	request->weight = read_uint32(reader);
	request->remaining = reader_int(reader);
	request->wall_deadline = reader_int(reader);
	request->fingerprint = reader_uint(reader);
	request->body = reader_bytes(reader);
	list = reader_array(reader, MESSAGE_MAX_LIST);
	request->group_count = count_entries(&list, reader, 1);
	request->groups = g_new0(shard_group_t, request->group_count);
	for (uint32_t i = 0; i < request->group_count; i++)
		decode_group(&request->groups[i], &list);
	propagate_error(reader, &list);
}

static void
decode_shard_reply(shard_reply_t *reply, reader_t *reader)
{
	reader_t list;

	reply->query = reader_id(reader);
	read_name(reader, reply->index);
	reply->version = reader_uint(reader);
	reply->wait = reader_int(reader);
	list = reader_array(reader, 3 * MESSAGE_MAX_SHARDS);
	reply->entry_count = count_entries(&list, reader, 3);
	reply->entries = g_new0(shard_reply_entry_t, reply->entry_count);
	for (uint32_t i = 0; i < reply->entry_count; i++) {
		reply->entries[i].shard = read_uint32(&list);
		reply->entries[i].error = (int)reader_int(&list);
		reply->entries[i].body = reader_bytes(&list);
	}
	propagate_error(reader, &list);
}

static void
decode_reserve_request(reserve_request_t *request, reader_t *reader)
{
	request->id = reader_id(reader);
	read_name(reader, request->service);
	read_name(reader, request->customer);
	reader_text(reader, request->key, sizeof(request->key));
	request->repeat_window_s = read_uint32(reader);
	request->weight = read_uint32(reader);
	request->remaining = reader_int(reader);
	request->wall_deadline = reader_int(reader);
	request->fingerprint = reader_uint(reader);
	request->body = reader_bytes(reader);
}

static void
decode_reserve_reply(reserve_reply_t *reply, reader_t *reader)
{
	reply->id = reader_id(reader);
	reply->error = (int)reader_int(reader);
	reply->http_status = (int)reader_int(reader);
	reply->repeated = reader_uint(reader) != 0;
	reply->body = reader_bytes(reader);
}

static void
decode_config(config_list_t *config, reader_t *reader)
{
	reader_t list = reader_array(reader, 4 * MESSAGE_MAX_SHARDS);

	config->object_count = count_entries(&list, reader, 4);
	config->objects = g_new0(config_object_t, config->object_count);
	for (uint32_t i = 0; i < config->object_count; i++) {
		config_object_t *object = &config->objects[i];
		uint64_t kind = reader_uint(&list);

		if (kind < CONFIG_CONTRACT || kind > CONFIG_ASSIGNMENT)
			list.error = BW_E_PROTOCOL;
		object->kind = (config_kind_t)kind;
		read_name(&list, object->name);
		object->version = reader_uint(&list);
		object->text = reader_bytes(&list);
	}
	propagate_error(reader, &list);
}

static void
decode_permit(permit_t *permit, reader_t *reader)
{
	int64_t rate;

	permit->id = reader_uint(reader);
	permit->tokens = read_uint32(reader);
	read_name(reader, permit->loan.customer);
	rate = reader_int(reader);
	if (rate < 0)
		reader->error = BW_E_PROTOCOL;
	permit->loan.rate_per_s = (double)rate / 1000;
	permit->loan.concurrency = read_uint32(reader);
	permit->longest_deadline = reader_int(reader);
}

static void
decode_fields(message_t *message, reader_t *reader)
{
	switch (message->kind) {
	case MESSAGE_HEARTBEAT:
		decode_heartbeat(message, reader);
		return;
	case MESSAGE_HEARTBEAT_REPLY:
		decode_heartbeat_reply(&message->heartbeat_reply, reader);
		return;
	case MESSAGE_SHARD_REQUEST:
		decode_shard_request(&message->shard_request, reader);
		return;
	case MESSAGE_SHARD_REPLY:
		decode_shard_reply(&message->shard_reply, reader);
		return;
	case MESSAGE_CANCEL:
		message->cancel = reader_id(reader);
		return;
	case MESSAGE_RESERVE_REQUEST:
		decode_reserve_request(&message->reserve_request, reader);
		return;
	case MESSAGE_RESERVE_REPLY:
		decode_reserve_reply(&message->reserve_reply, reader);
		return;
	case MESSAGE_CONFIG_PULL:
	case MESSAGE_CONFIG_PUSH:
		decode_config(&message->config, reader);
		return;
	case MESSAGE_SUSPECT_NOTICE:
		message->suspect.fingerprint = reader_uint(reader);
		message->suspect.crash_number = reader_uint(reader);
		return;
	case MESSAGE_PERMIT_REQUEST:
	case MESSAGE_PERMIT_REPLY:
		decode_permit(&message->permit, reader);
		return;
	}
	reader->error = BW_E_PROTOCOL;
}

static message_t *
decode_object(const msgpack_object *object)
{
	message_t *message;
	reader_t reader;

	reader_init(&reader, object);
	if (reader_uint(&reader) != MESSAGE_PROTOCOL)
		return NULL;
	message = g_new0(message_t, 1);
	message->kind = (message_kind_t)reader_uint(&reader);
	read_name(&reader, message->sender);
	message->sender_incarnation = reader_uint(&reader);
	message->recipient_incarnation = reader_uint(&reader);
	if (reader_error(&reader) == 0)
		decode_fields(message, &reader);
	if (reader_error(&reader) != 0) {
		message_destroy(message);
		return NULL;
	}
	return message;
}

message_t *
message_decode(const char *data, size_t size)
{
	msgpack_unpacked unpacked;
	message_t *message = NULL;
	size_t offset = 0;

	if (!codec_check(data, size))
		return NULL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, size, &offset) ==
		MSGPACK_UNPACK_SUCCESS &&
	    offset == size)
		message = decode_object(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return message;
}

void
message_destroy(message_t *message)
{
	if (message == NULL)
		return;
	switch (message->kind) {
	case MESSAGE_HEARTBEAT:
		g_free(message->heartbeat.wanted_loans);
		g_free(message->heartbeat.wanted_allowances);
		break;
	case MESSAGE_HEARTBEAT_REPLY:
		g_free(message->heartbeat_reply.loans);
		g_free(message->heartbeat_reply.allowances);
		break;
	case MESSAGE_SHARD_REQUEST:
		for (uint32_t i = 0; i < message->shard_request.group_count;
		     i++)
			g_free(message->shard_request.groups[i].shards);
		g_free(message->shard_request.groups);
		break;
	case MESSAGE_SHARD_REPLY:
		g_free(message->shard_reply.entries);
		break;
	case MESSAGE_CONFIG_PULL:
	case MESSAGE_CONFIG_PUSH:
		g_free(message->config.objects);
		break;
	case MESSAGE_CANCEL:
	case MESSAGE_RESERVE_REQUEST:
	case MESSAGE_RESERVE_REPLY:
	case MESSAGE_SUSPECT_NOTICE:
	case MESSAGE_PERMIT_REQUEST:
	case MESSAGE_PERMIT_REPLY:
		break;
	}
	g_free(message);
}
