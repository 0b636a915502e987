#include "bulrushwell/tool_contract.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/contract.h"
#include "bulrushwell/error.h"
#include "bulrushwell/id.h"

/* Writes the message and returns BW_E_INVALID. */
static int set_error(char *message, size_t message_size, const char *format,
    ...) __attribute__((format(printf, 3, 4)));

static int
set_error(char *message, size_t message_size, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(message, message_size, format, args);
	va_end(args);
	return BW_E_INVALID;
}

static void
free_key(void *data)
{
	tool_caller_key_t *key = data;

	explicit_bzero(key->key, strlen(key->key));
	g_free(key->key);
	g_free(key->caller);
	g_free(key);
}

GPtrArray *
tool_caller_keys_create(void)
{
	return g_ptr_array_new_with_free_func(free_key);
}

/* Returns 256 random bits as 64 hexadecimal digits. */
static char *
generate_key(void)
{
	char high[ID128_TEXT], low[ID128_TEXT];
	char *key;

	id128_format(id128_random(), high);
	id128_format(id128_random(), low);
	key = g_strconcat(high, low, NULL);
	explicit_bzero(high, sizeof(high));
	explicit_bzero(low, sizeof(low));
	return key;
}

/* Returns the array of callers, which is added if the contract has none. */
static json_t *
ensure_callers(json_t *contract)
{
	json_t *callers = json_object_get(contract, "callers");

	if (callers == NULL) {
		callers = json_array();
		json_object_set_new(contract, "callers", callers);
	}
	return callers;
}

/* Returns the array index of a caller, or -1. */
static int
find_caller(const json_t *callers, const char *name)
{
	for (size_t i = 0; i < json_array_size(callers); i++) {
		const char *other = json_string_value(
		    json_object_get(json_array_get(callers, i), "name"));

		if (other != NULL && strcmp(other, name) == 0)
			return (int)i;
	}
	return -1;
}

static int
add_caller(json_t *contract, const char *name, GPtrArray *keys, char *message,
    size_t message_size)
{
	json_t *callers = ensure_callers(contract);
	tool_caller_key_t *key;
	char *digest;

	if (find_caller(callers, name) >= 0)
		return set_error(message, message_size,
		    "the caller '%s' is in the contract already; choose "
		    "another name, or remove it first to get a new key",
		    name);
	key = g_new0(tool_caller_key_t, 1);
	key->caller = g_strdup(name);
	key->key = generate_key();
	g_ptr_array_add(keys, key);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key->key, -1);
	json_array_append_new(callers,
	    json_pack("{s:s, s:s}", "name", name, "key_sha256", digest));
	g_free(digest);
	return 0;
}

static int
remove_caller(
    json_t *contract, const char *name, char *message, size_t message_size)
{
	json_t *callers = ensure_callers(contract);
	int position = find_caller(callers, name);

	if (position < 0)
		return set_error(message, message_size,
		    "the caller '%s' is not in the contract; 'bulrushwell "
		    "contract show' lists the callers",
		    name);
	json_array_remove(callers, (size_t)position);
	return 0;
}

/* Removals come first, so a caller that is in both flags gets a new key. */
static int
edit_callers(json_t *contract, const tool_options_t *options, GPtrArray *keys,
    char *message, size_t message_size)
{
	static const tool_flag_t added[] = {
	    TOOL_FLAG_CALLER, TOOL_FLAG_ADD_CALLER};
	const GPtrArray *names = options->values[TOOL_FLAG_REMOVE_CALLER];

	for (guint i = 0; names != NULL && i < names->len; i++)
		if (remove_caller(contract, g_ptr_array_index(names, i),
			message, message_size) != 0)
			return BW_E_INVALID;
	for (size_t j = 0; j < G_N_ELEMENTS(added); j++) {
		names = options->values[added[j]];
		for (guint i = 0; names != NULL && i < names->len; i++)
			if (add_caller(contract, g_ptr_array_index(names, i),
				keys, message, message_size) != 0)
				return BW_E_INVALID;
	}
	return 0;
}

/* Replaces a list by the names of a flag. Without the flag, an existing list is
 * kept and a missing one becomes empty. */
static void
set_name_list(json_t *contract, const char *field, const GPtrArray *names)
{
	json_t *list;

	if (names == NULL && json_object_get(contract, field) != NULL)
		return;
	list = json_array();
	for (guint i = 0; names != NULL && i < names->len; i++)
		json_array_append_new(
		    list, json_string(g_ptr_array_index(names, i)));
	json_object_set_new(contract, field, list);
}

static json_t *
parse_number(const char *text)
{
	json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);

	if (json_is_number(value))
		return value;
	json_decref(value);
	return NULL;
}

static int
edit_numbers(json_t *contract, const tool_options_t *options, char *message,
    size_t message_size)
{
	static const struct {
		tool_flag_t flag;
		const char *field;
	} numbers[] = {
	    {TOOL_FLAG_RATE, "rate_per_s"},
	    {TOOL_FLAG_CONCURRENCY, "concurrency"},
	    {TOOL_FLAG_DEADLINE, "deadline_ms"},
	    {TOOL_FLAG_REPEAT_WINDOW, "repeat_window_h"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		const char *text = tool_options_value(options, numbers[i].flag);
		json_t *value;

		if (text == NULL)
			continue;
		value = parse_number(text);
		if (value == NULL)
			return set_error(message, message_size,
			    "the value of --%s is not a number; write it in "
			    "digits",
			    tool_options_flag_name(numbers[i].flag));
		json_object_set_new(contract, numbers[i].field, value);
	}
	return 0;
}

static int
edit_customer(json_t *contract, const tool_options_t *options, char *message,
    size_t message_size)
{
	const char *customer = tool_options_value(options, TOOL_FLAG_CUSTOMER);
	const char *current =
	    json_string_value(json_object_get(contract, "customer"));

	if (customer == NULL)
		return 0;
	if (current != NULL && strcmp(current, customer) != 0)
		return set_error(message, message_size,
		    "--customer and the contract file give different "
		    "customers; correct one of the two");
	json_object_set_new(contract, "customer", json_string(customer));
	return 0;
}

int
tool_contract_apply_flags(json_t *contract, const tool_options_t *options,
    GPtrArray *keys, char *message, size_t message_size)
{
	json_t *callers = json_object_get(contract, "callers");

	if (callers != NULL && !json_is_array(callers))
		return set_error(message, message_size,
		    "the field 'callers' is not a list; give a list of "
		    "callers");
	if (edit_customer(contract, options, message, message_size) != 0 ||
	    edit_callers(contract, options, keys, message, message_size) != 0)
		return BW_E_INVALID;
	set_name_list(
	    contract, "may_query", options->values[TOOL_FLAG_MAY_QUERY]);
	set_name_list(
	    contract, "may_reserve", options->values[TOOL_FLAG_MAY_RESERVE]);
	if (edit_numbers(contract, options, message, message_size) != 0)
		return BW_E_INVALID;
	/* Without reservations there are no idempotency keys to remember. */
	if (json_object_get(contract, "repeat_window_h") == NULL &&
	    json_array_size(json_object_get(contract, "may_reserve")) == 0)
		json_object_set_new(
		    contract, "repeat_window_h", json_integer(0));
	return 0;
}

void
tool_contract_set_change_fields(json_t *contract, const char *state,
    const char *operation, const char *changed_by)
{
	json_object_set_new(contract, "state", json_string(state));
	json_object_set_new(contract, "operation", json_string(operation));
	json_object_set_new(contract, "changed_by", json_string(changed_by));
}

int
tool_contract_serialize(
    const json_t *contract, char **text, char *message, size_t message_size)
{
	contract_t *parsed;
	int error;

	*text = json_dumps(contract, JSON_COMPACT);
	if (*text == NULL)
		return set_error(message, message_size,
		    "the contract contains text that is not UTF-8; correct it");
	error = contract_parse(
	    slice_from(*text), 0, &parsed, message, message_size);
	contract_unref(parsed);
	if (error == 0)
		return 0;
	free(*text);
	*text = NULL;
	return error;
}

static const json_t *
find_contract(const json_t *status, const char *customer)
{
	const json_t *contracts = json_object_get(status, "contracts");

	for (size_t i = 0; i < json_array_size(contracts); i++) {
		const json_t *entry = json_array_get(contracts, i);
		const char *name =
		    json_string_value(json_object_get(entry, "customer"));

		if (name != NULL && strcmp(name, customer) == 0)
			return entry;
	}
	return NULL;
}

static bool
contains_name(const json_t *names, const char *name)
{
	for (size_t i = 0; i < json_array_size(names); i++) {
		const char *other = json_string_value(json_array_get(names, i));

		if (other != NULL && strcmp(other, name) == 0)
			return true;
	}
	return false;
}

static void
append_name(GString *names, const char *name)
{
	g_string_append_printf(names, "%s%s", names->len > 0 ? ", " : "", name);
}

/* Appends the live peers that are not in @nodes, the nodes that have the
 * contract version. The status may omit a live peer from both "nodes" and
 * "lagging"; such a peer counts as lagging. */
static void
append_unlisted_peers(
    const json_t *status, const json_t *nodes, GString *lagging)
{
	const json_t *peers = json_object_get(status, "peers");

	for (size_t i = 0; i < json_array_size(peers); i++) {
		const json_t *peer = json_array_get(peers, i);
		const char *name =
		    json_string_value(json_object_get(peer, "node"));

		if (name != NULL &&
		    json_is_true(json_object_get(peer, "live")) &&
		    !contains_name(nodes, name))
			append_name(lagging, name);
	}
}

bool
tool_contract_is_adopted(const json_t *status, const char *customer,
    uint64_t version, GString *lagging)
{
	const json_t *entry = find_contract(status, customer);
	const char *node = json_string_value(json_object_get(status, "node"));
	json_int_t node_version =
	    json_integer_value(json_object_get(entry, "version"));
	const json_t *lagging_nodes = json_object_get(entry, "lagging");
	size_t count = json_array_size(lagging_nodes);

	g_string_truncate(lagging, 0);
	if (node_version <= 0 || (uint64_t)node_version < version) {
		append_name(lagging, node != NULL ? node : "this node");
		return false;
	}
	for (size_t i = 0; i < count; i++) {
		const char *name =
		    json_string_value(json_array_get(lagging_nodes, i));

		append_name(lagging, name != NULL ? name : "?");
	}
	if (count == 0)
		append_unlisted_peers(
		    status, json_object_get(entry, "nodes"), lagging);
	return lagging->len == 0;
}
