#include "bulrushwell/message.h"

static void
encode_heartbeat(const heartbeat_t *heartbeat, writer_t *writer)
{
	const peer_report_t *report = &heartbeat->report;

	writer_uint(writer, heartbeat->sequence);
	writer_text(writer, report->vm);
	writer_text(writer, report->data_centre);
	writer_text(writer, report->address);
	writer_uint(writer, report->state);
	writer_int(writer, report->platform_age_ms);
	writer_uint(writer, report->assignment_version);
	writer_uint(writer, report->contracts_digest);
	writer_uint(writer, heartbeat->config_digest);
	writer_int(writer, heartbeat->longest_deadline);
	writer_array(writer, heartbeat->wanted_loan_count);
	for (uint32_t i = 0; i < heartbeat->wanted_loan_count; i++)
		writer_text(writer, heartbeat->wanted_loans[i].service);
	writer_array(writer, 3 * (size_t)heartbeat->wanted_allowance_count);
	for (uint32_t i = 0; i < heartbeat->wanted_allowance_count; i++) {
		writer_text(writer, heartbeat->wanted_allowances[i].customer);
		writer_int(writer,
		    (int64_t)(heartbeat->wanted_allowances[i].rate_per_s *
			1000));
		writer_uint(
		    writer, heartbeat->wanted_allowances[i].concurrency);
	}
}

static void
encode_heartbeat_reply(const heartbeat_reply_t *reply, writer_t *writer)
{
	writer_uint(writer, reply->sequence);
	writer_array(writer, 2 * (size_t)reply->loan_count);
	for (uint32_t i = 0; i < reply->loan_count; i++) {
		writer_text(writer, reply->loans[i].service);
		writer_uint(writer, reply->loans[i].slots);
	}
	writer_array(writer, 3 * (size_t)reply->allowance_count);
	for (uint32_t i = 0; i < reply->allowance_count; i++) {
		writer_text(writer, reply->allowances[i].customer);
		writer_int(
		    writer, (int64_t)(reply->allowances[i].rate_per_s * 1000));
		writer_uint(writer, reply->allowances[i].concurrency);
	}
}

static void
encode_shard_request(const shard_request_t *request, writer_t *writer)
{
	writer_id(writer, request->query);
	writer_text(writer, request->index);
	writer_uint(writer, request->version);
	writer_text(writer, request->customer);
	writer_uint(writer, request->weight);
	writer_int(writer, request->remaining);
	writer_int(writer, request->wall_deadline);
	writer_uint(writer, request->fingerprint);
	writer_bytes(writer, request->body);
	writer_array(writer, request->group_count);
	for (uint32_t i = 0; i < request->group_count; i++) {
		const shard_group_t *group = &request->groups[i];

		writer_array(writer, 1 + (size_t)group->shard_count);
		writer_text(writer, group->service);
		for (uint32_t j = 0; j < group->shard_count; j++)
			writer_uint(writer, group->shards[j]);
	}
}

static void
encode_shard_reply(const shard_reply_t *reply, writer_t *writer)
{
	writer_id(writer, reply->query);
	writer_text(writer, reply->index);
	writer_uint(writer, reply->version);
	writer_int(writer, reply->wait);
	writer_array(writer, 3 * (size_t)reply->entry_count);
	for (uint32_t i = 0; i < reply->entry_count; i++) {
		writer_uint(writer, reply->entries[i].shard);
		writer_int(writer, reply->entries[i].error);
		writer_bytes(writer, reply->entries[i].body);
	}
}

static void
encode_reserve_request(const reserve_request_t *request, writer_t *writer)
{
	writer_id(writer, request->id);
	writer_text(writer, request->service);
	writer_text(writer, request->customer);
	writer_text(writer, request->key);
	writer_uint(writer, request->repeat_window_s);
	writer_uint(writer, request->weight);
	writer_int(writer, request->remaining);
	writer_int(writer, request->wall_deadline);
	writer_uint(writer, request->fingerprint);
	writer_bytes(writer, request->body);
}

static void
encode_reserve_reply(const reserve_reply_t *reply, writer_t *writer)
{
	writer_id(writer, reply->id);
	writer_int(writer, reply->error);
	writer_int(writer, reply->http_status);
	writer_uint(writer, reply->repeated);
	writer_bytes(writer, reply->body);
}

static void
encode_config(const config_list_t *list, writer_t *writer)
{
	writer_array(writer, 4 * (size_t)list->object_count);
	for (uint32_t i = 0; i < list->object_count; i++) {
		writer_uint(writer, list->objects[i].kind);
		writer_text(writer, list->objects[i].name);
		writer_uint(writer, list->objects[i].version);
		writer_bytes(writer, list->objects[i].text);
	}
}

static void
encode_permit(const permit_t *permit, writer_t *writer)
{
	writer_uint(writer, permit->id);
	writer_uint(writer, permit->tokens);
	writer_text(writer, permit->loan.customer);
	writer_int(writer, (int64_t)(permit->loan.rate_per_s * 1000));
	writer_uint(writer, permit->loan.concurrency);
	writer_int(writer, permit->longest_deadline);
}

#define ENVELOPE_FIELDS 5

/* Number of fields after the envelope; must match what the encoder of this kind
 * writes. */
static size_t
field_count(message_kind_t kind)
{
	switch (kind) {
	case MESSAGE_HEARTBEAT:
		return 12;
	case MESSAGE_HEARTBEAT_REPLY:
		return 3;
	case MESSAGE_SHARD_REQUEST:
		return 11;
	case MESSAGE_SHARD_REPLY:
		return 6;
	case MESSAGE_CANCEL:
		return 2;
	case MESSAGE_RESERVE_REQUEST:
		return 11;
	case MESSAGE_RESERVE_REPLY:
		return 6;
	case MESSAGE_CONFIG_PULL:
	case MESSAGE_CONFIG_PUSH:
		return 1;
	case MESSAGE_SUSPECT_NOTICE:
		return 2;
	case MESSAGE_PERMIT_REQUEST:
	case MESSAGE_PERMIT_REPLY:
		return 6;
	}
	return 0;
}

void
message_encode(const message_t *message, writer_t *writer)
{
	writer_array(writer, ENVELOPE_FIELDS + field_count(message->kind));
	writer_uint(writer, MESSAGE_PROTOCOL);
	writer_uint(writer, message->kind);
	writer_text(writer, message->sender);
	writer_uint(writer, message->sender_incarnation);
	writer_uint(writer, message->recipient_incarnation);
	switch (message->kind) {
	case MESSAGE_HEARTBEAT:
		encode_heartbeat(&message->heartbeat, writer);
		break;
	case MESSAGE_HEARTBEAT_REPLY:
		encode_heartbeat_reply(&message->heartbeat_reply, writer);
		break;
	case MESSAGE_SHARD_REQUEST:
		encode_shard_request(&message->shard_request, writer);
		break;
	case MESSAGE_SHARD_REPLY:
		encode_shard_reply(&message->shard_reply, writer);
		break;
	case MESSAGE_CANCEL:
		writer_id(writer, message->cancel);
		break;
	case MESSAGE_RESERVE_REQUEST:
		encode_reserve_request(&message->reserve_request, writer);
		break;
	case MESSAGE_RESERVE_REPLY:
		encode_reserve_reply(&message->reserve_reply, writer);
		break;
	case MESSAGE_CONFIG_PULL:
	case MESSAGE_CONFIG_PUSH:
		encode_config(&message->config, writer);
		break;
	case MESSAGE_SUSPECT_NOTICE:
		writer_uint(writer, message->suspect.fingerprint);
		writer_uint(writer, message->suspect.crash_number);
		break;
	case MESSAGE_PERMIT_REQUEST:
	case MESSAGE_PERMIT_REPLY:
		encode_permit(&message->permit, writer);
		break;
	}
}
