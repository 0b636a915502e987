#include "peer_message.h"

#include <string.h>

#include "bulrushwell/error.h"

#define PROTOCOL_VERSION 1
#define HEADER_FIELDS 2
#define POSITION_FIELDS 2
#define CHANGES_FIELDS 7 /* without the era */
#define SUSPECT_FIELDS 2
#define LEAVING_FIELDS 2
#define RATE_REQUEST_FIELDS 8
#define RATE_WANT_FIELDS 6
#define RATE_GRANT_FIELDS 3
#define RATE_GRANTED_FIELDS 6
#define AGE_MAX SECONDS(3600) /* of a relay's last reply from the store */
#define UNCOMPRESSED_SIZE_MAX (1024u * 1024u)

static bool
states_eras(const peer_status_t *status)
{
	for (int i = 0; i < PEER_TOPICS; i++)
		if (status->positions[i].known.era != 0)
			return true;
	return false;
}

/* Earlier versions expect the common topics and ignore what follows. Eras are
 * behind all topics, so that none is taken for a position. */
static int
stated_topics(const peer_status_t *status)
{
	int count = PEER_TOPICS;

	while (count > PEER_COMMON_TOPICS && !states_eras(status) &&
	    !store_position_is_set(status->positions[count - 1].known))
		count--;
	return count;
}

static size_t
status_fields(const peer_status_t *status)
{
	size_t eras = states_eras(status) ? PEER_TOPICS : 0;

	return 1 + POSITION_FIELDS * (size_t)stated_topics(status) + eras;
}

static void
write_status(writer_t *writer, const peer_status_t *status)
{
	writer_int(writer, status->age);
	for (int i = 0; i < stated_topics(status); i++) {
		writer_int(writer, status->positions[i].last_change.revision);
		writer_int(writer, status->positions[i].known.revision);
	}
	for (int i = 0; states_eras(status) && i < PEER_TOPICS; i++)
		writer_int(writer, status->positions[i].known.era);
}

static void
write_changes(writer_t *writer, const peer_changes_t *changes)
{
	writer_uint(writer, changes->topic);
	writer_int(writer, changes->from);
	writer_int(writer, changes->to);
	writer_uint(writer, changes->part);
	writer_uint(writer, changes->parts);
	writer_uint(writer, changes->uncompressed_size);
	writer_bytes(writer, (slice_t){changes->bytes, changes->size});
	if (changes->era != 0)
		writer_int(writer, changes->era);
}

static void
write_rate_request(writer_t *writer, const peer_rate_request_t *request)
{
	writer_uint(writer, request->incarnation);
	writer_uint(writer, request->sequence);
	writer_uint(writer, request->nodes_hash);
	writer_uint(writer, request->wants_report);
	writer_uint(writer, request->report);
	writer_uint(writer, request->part);
	writer_uint(writer, request->parts);
	writer_array(writer, request->count * RATE_WANT_FIELDS);
	for (uint32_t i = 0; i < request->count; i++) {
		const peer_rate_want_t *want = &request->wants[i];

		writer_uint(writer, want->customer);
		writer_uint(writer, want->held.rate);
		writer_uint(writer, want->held.burst);
		writer_uint(writer, want->grant);
		writer_uint(writer, want->demand);
		writer_uint(writer, want->tokens);
	}
}

static void
write_rate_grant(writer_t *writer, const peer_rate_grant_t *grant)
{
	writer_uint(writer, grant->incarnation);
	writer_uint(writer, grant->request);
	writer_array(writer, grant->count * RATE_GRANTED_FIELDS);
	for (uint32_t i = 0; i < grant->count; i++) {
		const peer_rate_granted_t *granted = &grant->granted[i];

		writer_uint(writer, granted->customer);
		writer_uint(writer, granted->sequence);
		writer_uint(writer, granted->share.rate);
		writer_uint(writer, granted->share.burst);
		writer_uint(writer, granted->tokens);
		writer_uint(writer, granted->refused);
	}
}

static void
write_header(writer_t *writer, peer_kind_t kind, size_t fields)
{
	writer_array(writer, HEADER_FIELDS + fields);
	writer_uint(writer, PROTOCOL_VERSION);
	writer_uint(writer, kind);
}

void
peer_message_encode(const peer_message_t *message, writer_t *writer)
{
	switch (message->kind) {
	case PEER_STATUS:
		write_header(
		    writer, PEER_STATUS, status_fields(&message->status));
		write_status(writer, &message->status);
		break;
	case PEER_CHANGES:
		write_header(writer, PEER_CHANGES,
		    CHANGES_FIELDS + (message->changes.era != 0));
		write_changes(writer, &message->changes);
		break;
	case PEER_SUSPECT:
		write_header(writer, PEER_SUSPECT, SUSPECT_FIELDS);
		writer_uint(writer, message->suspect.fingerprint);
		writer_uint(writer, message->suspect.crash_number);
		break;
	case PEER_LEAVING:
		write_header(writer, PEER_LEAVING, LEAVING_FIELDS);
		writer_text(writer, message->leaving.server);
		writer_int(writer, message->leaving.incarnation);
		break;
	case PEER_RATE_REQUEST:
		write_header(writer, PEER_RATE_REQUEST, RATE_REQUEST_FIELDS);
		write_rate_request(writer, &message->rate_request);
		break;
	case PEER_RATE_GRANT:
		write_header(writer, PEER_RATE_GRANT, RATE_GRANT_FIELDS);
		write_rate_grant(writer, &message->rate_grant);
		break;
	}
}

/* Reads a number; one above @max makes the message invalid. */
static uint64_t
read_bounded(reader_t *reader, uint64_t max)
{
	uint64_t value = reader_uint(reader);

	if (value > max)
		reader->error = BW_E_PROTOCOL;
	return value;
}

static int64_t
read_revision(reader_t *reader)
{
	return (int64_t)read_bounded(reader, INT64_MAX);
}

static int64_t
read_era(reader_t *reader)
{
	return (int64_t)read_bounded(reader, STORE_ERA_MAX);
}

static int
read_status(reader_t *reader, peer_status_t *status)
{
	bool has_eras;

	status->age = (usec_t)read_bounded(reader, AGE_MAX);
	for (int i = 0; i < PEER_TOPICS; i++) {
		peer_position_t *position = &status->positions[i];

		*position = (peer_position_t){0};
		if (i >= PEER_COMMON_TOPICS && reader_remaining(reader) == 0)
			continue;
		position->last_change.revision = read_revision(reader);
		position->known.revision = read_revision(reader);
		if (position->last_change.revision > position->known.revision)
			reader->error = BW_E_PROTOCOL;
	}
	has_eras = reader_remaining(reader) > 0;
	/* Earlier versions state no eras; those of some topics only make no
	 * sense. */
	for (int i = 0; i < PEER_TOPICS && has_eras; i++) {
		int64_t era = read_era(reader);

		status->positions[i].last_change.era = era;
		status->positions[i].known.era = era;
	}
	return reader_error(reader);
}

static int
read_changes(reader_t *reader, peer_changes_t *changes)
{
	slice_t bytes;

	changes->topic = (peer_topic_t)read_bounded(reader, PEER_TOPICS - 1);
	changes->from = read_revision(reader);
	changes->to = read_revision(reader);
	changes->part = (uint32_t)read_bounded(reader, PEER_PARTS_MAX - 1);
	changes->parts = (uint32_t)read_bounded(reader, PEER_PARTS_MAX);
	changes->uncompressed_size =
	    (uint32_t)read_bounded(reader, UNCOMPRESSED_SIZE_MAX);
	bytes = reader_bytes(reader);
	changes->era = reader_remaining(reader) > 0 ? read_era(reader) : 0;
	if (reader_error(reader) != 0 || bytes.size > PEER_PART_MAX_BYTES ||
	    changes->from >= changes->to || changes->part >= changes->parts)
		return BW_E_PROTOCOL;
	changes->size = (uint32_t)bytes.size;
	memcpy(changes->bytes, bytes.data, bytes.size);
	return 0;
}

static peer_rate_share_t
read_share(reader_t *reader)
{
	peer_rate_share_t share;

	share.rate = (uint32_t)read_bounded(reader, PEER_RATE_WHOLE);
	share.burst = (uint32_t)read_bounded(reader, PEER_RATE_WHOLE);
	return share;
}

/* Reads the flat list of items; sets the number of items of @fields fields. */
static reader_t
read_items(reader_t *reader, uint32_t fields, uint32_t *count)
{
	reader_t items = reader_array(reader, PEER_RATE_ITEMS_MAX * fields);

	if (items.count % fields != 0)
		items.error = BW_E_PROTOCOL;
	*count = items.count / fields;
	return items;
}

static int
read_rate_request(reader_t *reader, peer_rate_request_t *request)
{
	reader_t items;

	request->incarnation = reader_uint(reader);
	request->sequence = read_bounded(reader, INT64_MAX);
	request->nodes_hash = reader_uint(reader);
	request->wants_report = (uint32_t)read_bounded(reader, 1);
	request->report = reader_uint(reader);
	request->part = (uint32_t)read_bounded(reader, PEER_RATE_PARTS_MAX - 1);
	request->parts = (uint32_t)read_bounded(reader, PEER_RATE_PARTS_MAX);
	items = read_items(reader, RATE_WANT_FIELDS, &request->count);
	if (reader_error(reader) != 0 || reader_error(&items) != 0 ||
	    (request->parts > 0 && request->part >= request->parts))
		return BW_E_PROTOCOL;
	for (uint32_t i = 0; i < request->count; i++) {
		peer_rate_want_t *want = &request->wants[i];

		want->customer = reader_uint(&items);
		want->held = read_share(&items);
		want->grant = reader_uint(&items);
		want->demand =
		    (uint32_t)read_bounded(&items, PEER_RATE_DEMAND_MAX);
		want->tokens =
		    (uint32_t)read_bounded(&items, PEER_RATE_TOKENS_MAX);
	}
	return reader_error(&items);
}

static int
read_rate_grant(reader_t *reader, peer_rate_grant_t *grant)
{
	reader_t items;

	grant->incarnation = reader_uint(reader);
	grant->request = read_bounded(reader, INT64_MAX);
	items = read_items(reader, RATE_GRANTED_FIELDS, &grant->count);
	if (reader_error(reader) != 0 || reader_error(&items) != 0)
		return BW_E_PROTOCOL;
	for (uint32_t i = 0; i < grant->count; i++) {
		peer_rate_granted_t *granted = &grant->granted[i];

		granted->customer = reader_uint(&items);
		granted->sequence = reader_uint(&items);
		granted->share = read_share(&items);
		granted->tokens =
		    (uint32_t)read_bounded(&items, PEER_RATE_TOKENS_MAX);
		granted->refused =
		    (uint32_t)read_bounded(&items, PEER_RATE_TOKENS_MAX);
	}
	return reader_error(&items);
}

static int
read_message(reader_t *reader, peer_message_t *message)
{
	uint64_t version = reader_uint(reader);

	message->kind = (peer_kind_t)reader_uint(reader);
	if (reader_error(reader) != 0 || version != PROTOCOL_VERSION)
		return BW_E_PROTOCOL;
	switch (message->kind) {
	case PEER_STATUS:
		return read_status(reader, &message->status);
	case PEER_CHANGES:
		return read_changes(reader, &message->changes);
	case PEER_SUSPECT:
		message->suspect.fingerprint = reader_uint(reader);
		message->suspect.crash_number = reader_uint(reader);
		return reader_error(reader);
	case PEER_LEAVING:
		reader_text(reader, message->leaving.server,
		    sizeof(message->leaving.server));
		message->leaving.incarnation = reader_int(reader);
		return reader_error(reader);
	case PEER_RATE_REQUEST:
		return read_rate_request(reader, &message->rate_request);
	case PEER_RATE_GRANT:
		return read_rate_grant(reader, &message->rate_grant);
	}
	return BW_E_PROTOCOL;
}

int
peer_message_decode(slice_t bytes, peer_message_t *message)
{
	msgpack_unpacked unpacked;
	reader_t reader;
	int error = BW_E_PROTOCOL;

	if (!codec_check(bytes.data, bytes.size))
		return BW_E_PROTOCOL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, bytes.data, bytes.size, NULL) ==
	    MSGPACK_UNPACK_SUCCESS) {
		reader_init(&reader, &unpacked.data);
		error = read_message(&reader, message);
	}
	msgpack_unpacked_destroy(&unpacked);
	return error;
}
