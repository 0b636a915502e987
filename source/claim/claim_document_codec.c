/* One entry of a claim object as JSON. */
#include "claim_document_codec.h"

#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"

#define ENTRY_FIELD_COUNT 7

static const char *const state_names[] = {
    [ENTRY_CLAIMED] = "claimed",
    [ENTRY_DONE] = "done",
    [ENTRY_UNKNOWN] = "unknown",
    [ENTRY_RELEASED] = "released",
};

bool
claim_document_can_store_body(slice_t body)
{
	return body.size <= CLAIM_MAX_BODY_BYTES &&
	    g_utf8_validate_len(body.data, body.size, NULL);
}

char *
claim_document_serialize_entry(const entry_spec_t *spec)
{
	id128_t digest_id = {spec->digest[0], spec->digest[1]};
	char digest[ID128_TEXT], token[ID128_TEXT];
	slice_t bytes = body_slice(spec->body);
	json_t *body = NULL, *entry;
	char *text;

	if (spec->body != NULL)
		body = json_stringn(bytes.data, bytes.size);
	id128_format(digest_id, digest);
	id128_format(spec->token, token);
	entry = json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:o}", "customer",
	    spec->customer, "key", spec->key, "digest", digest, "token", token,
	    "state", state_names[spec->state], "status", spec->status, "body",
	    body != NULL ? body : json_null());
	text = json_dumps(entry, JSON_COMPACT);
	json_decref(entry);
	return text;
}

static bool
parse_customer_and_key(const json_t *json, entry_spec_t *spec)
{
	const char *customer =
	    json_string_value(json_object_get(json, "customer"));
	const char *key = json_string_value(json_object_get(json, "key"));
	int64_t ignored;

	if (customer == NULL || name_set(spec->customer, customer) != 0 ||
	    key == NULL || claim_parse_key(key, &ignored) != 0)
		return false;
	g_strlcpy(spec->key, key, sizeof(spec->key));
	return true;
}

static bool
parse_id(const json_t *json, const char *field, id128_t *id)
{
	const char *text = json_string_value(json_object_get(json, field));

	return text != NULL && id128_parse(text, id) == 0;
}

static bool
parse_state(const json_t *json, entry_spec_t *spec)
{
	const char *text = json_string_value(json_object_get(json, "state"));

	for (int i = ENTRY_CLAIMED; text != NULL && i <= ENTRY_RELEASED; i++) {
		if (strcmp(state_names[i], text) == 0) {
			spec->state = (entry_state_t)i;
			return true;
		}
	}
	return false;
}

static bool
parse_outcome(const json_t *json, entry_spec_t *spec)
{
	const json_t *status = json_object_get(json, "status");
	const json_t *body = json_object_get(json, "body");
	json_int_t number = json_integer_value(status);
	bool done = spec->state == ENTRY_DONE;

	if (!json_is_integer(status) ||
	    (done ? number < 100 || number > 599 : number != 0))
		return false;
	spec->status = (int)number;
	if (json_is_null(body))
		return true;
	if (!done || !json_is_string(body) ||
	    json_string_length(body) > CLAIM_MAX_BODY_BYTES)
		return false;
	spec->body =
	    body_create(json_string_value(body), json_string_length(body));
	return true;
}

bool
claim_document_parse_entry(const json_t *json, entry_spec_t *spec)
{
	id128_t digest;

	if (json_object_size(json) != ENTRY_FIELD_COUNT ||
	    !parse_customer_and_key(json, spec) ||
	    !parse_id(json, "digest", &digest) ||
	    !parse_id(json, "token", &spec->token) || !parse_state(json, spec))
		return false;
	spec->digest[0] = digest.hi;
	spec->digest[1] = digest.lo;
	return parse_outcome(json, spec);
}
