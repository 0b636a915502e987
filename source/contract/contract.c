#include "bulrushwell/contract.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"

#define DIGEST_SIZE 32
#define CHANGED_BY_SIZE 64

typedef struct {
	name_t name;
	unsigned char digest[DIGEST_SIZE];
} caller_t;

typedef struct {
	size_t count;
	name_t *names;
} name_list_t;

struct contract {
	size_t ref_count;
	uint64_t version;
	name_t customer;
	bool retired;
	size_t caller_count;
	caller_t *callers;
	name_list_t may_query;
	name_list_t may_reserve;
	double rate_per_s;
	uint32_t concurrency;
	uint32_t deadline_ms;
	uint32_t repeat_window_h;
	name_t operation;
	char changed_by[CHANGED_BY_SIZE];
	char *text;
	size_t text_size;
};

typedef struct {
	contract_t *contract;
	char *message;
	size_t message_size;
} parser_t;

static int reject(parser_t *parser, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static int
reject(parser_t *parser, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	if (parser->message_size > 0)
		vsnprintf(parser->message, parser->message_size, format, args);
	va_end(args);
	return BW_E_INVALID;
}

static int
parse_name(
    parser_t *parser, const char *field, const json_t *value, name_t name)
{
	const char *text = json_string_value(value);

	if (text != NULL && name_set(name, text) == 0)
		return 0;
	return reject(parser,
	    "the field '%s' is not a name; use 1 to %d lower-case letters, "
	    "digits, '-', '_' or '.', not beginning with '.'",
	    field, NAME_SIZE - 1);
}

static int
parse_customer(parser_t *parser, const char *field, const json_t *value)
{
	return parse_name(parser, field, value, parser->contract->customer);
}

static int
parse_operation(parser_t *parser, const char *field, const json_t *value)
{
	return parse_name(parser, field, value, parser->contract->operation);
}

static int
parse_state(parser_t *parser, const char *field, const json_t *value)
{
	const char *text = json_string_value(value);

	if (text != NULL && strcmp(text, "in_force") == 0)
		parser->contract->retired = false;
	else if (text != NULL && strcmp(text, "retired") == 0)
		parser->contract->retired = true;
	else
		return reject(parser,
		    "the field '%s' has an unknown value; use \"in_force\" or "
		    "\"retired\"",
		    field);
	return 0;
}

static int
parse_changed_by(parser_t *parser, const char *field, const json_t *value)
{
	const char *text = json_string_value(value);
	size_t length = text != NULL ? strlen(text) : 0;
	bool valid = length > 0 && length < CHANGED_BY_SIZE;

	for (size_t i = 0; valid && i < length; i++)
		valid = (unsigned char)text[i] >= ' ' && text[i] != 0x7f;
	if (!valid)
		return reject(parser,
		    "the field '%s' must name who makes the change; use 1 to "
		    "%d bytes without control characters",
		    field, CHANGED_BY_SIZE - 1);
	memcpy(parser->contract->changed_by, text, length + 1);
	return 0;
}

static int
parse_digest(const char *text, unsigned char digest[DIGEST_SIZE])
{
	if (text == NULL || strlen(text) != 2 * DIGEST_SIZE)
		return BW_E_INVALID;
	for (size_t i = 0; i < DIGEST_SIZE; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return BW_E_INVALID;
		digest[i] = (unsigned char)(high << 4 | low);
	}
	return 0;
}

static int
parse_caller(
    parser_t *parser, size_t position, const json_t *value, caller_t *caller)
{
	const json_t *name = json_object_get(value, "name");
	const json_t *digest = json_object_get(value, "key_sha256");

	if (name == NULL || digest == NULL || json_object_size(value) != 2)
		return reject(parser,
		    "entry %zu of the field 'callers' is not valid; give "
		    "exactly 'name' and 'key_sha256'",
		    position + 1);
	if (parse_name(parser, "callers.name", name, caller->name) != 0)
		return BW_E_INVALID;
	if (parse_digest(json_string_value(digest), caller->digest) != 0)
		return reject(parser,
		    "the field 'callers.key_sha256' of caller '%s' is not "
		    "valid; give the key's SHA-256 as 64 hexadecimal digits",
		    caller->name);
	return 0;
}

static int
check_caller_is_unique(parser_t *parser, size_t position)
{
	const caller_t *callers = parser->contract->callers;

	for (size_t i = 0; i < position; i++) {
		if (strcmp(callers[i].name, callers[position].name) == 0)
			return reject(parser,
			    "the field 'callers' names '%s' twice; remove one "
			    "of the two",
			    callers[i].name);
		if (memcmp(callers[i].digest, callers[position].digest,
			DIGEST_SIZE) == 0)
			return reject(parser,
			    "the field 'callers' gives '%s' and '%s' the same "
			    "key; make a key for each caller",
			    callers[i].name, callers[position].name);
	}
	return 0;
}

static int
parse_callers(parser_t *parser, const char *field, const json_t *value)
{
	contract_t *contract = parser->contract;
	size_t count = json_array_size(value);

	if (!json_is_array(value) || count > CONTRACT_MAX_CALLERS)
		return reject(parser,
		    "the field '%s' is not valid; give a list of at most %d "
		    "callers",
		    field, CONTRACT_MAX_CALLERS);
	contract->callers = g_new0(caller_t, count);
	contract->caller_count = count;
	for (size_t i = 0; i < count; i++)
		if (parse_caller(parser, i, json_array_get(value, i),
			&contract->callers[i]) != 0 ||
		    check_caller_is_unique(parser, i) != 0)
			return BW_E_INVALID;
	return 0;
}

static bool
list_contains(const name_list_t *list, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++)
		if (strcmp(list->names[i], name) == 0)
			return true;
	return false;
}

static int
parse_name_list(
    parser_t *parser, const char *field, const json_t *value, name_list_t *list)
{
	size_t count = json_array_size(value);

	if (!json_is_array(value) || count > CONTRACT_MAX_NAMES)
		return reject(parser,
		    "the field '%s' is not valid; give a list of at most %d "
		    "names",
		    field, CONTRACT_MAX_NAMES);
	list->names = g_new0(name_t, count);
	list->count = count;
	for (size_t i = 0; i < count; i++) {
		if (parse_name(parser, field, json_array_get(value, i),
			list->names[i]) != 0)
			return BW_E_INVALID;
		if (list_contains(list, i, list->names[i]))
			return reject(parser,
			    "the field '%s' names '%s' twice; remove one of "
			    "the two",
			    field, list->names[i]);
	}
	return 0;
}

static int
parse_may_query(parser_t *parser, const char *field, const json_t *value)
{
	return parse_name_list(
	    parser, field, value, &parser->contract->may_query);
}

static int
parse_may_reserve(parser_t *parser, const char *field, const json_t *value)
{
	return parse_name_list(
	    parser, field, value, &parser->contract->may_reserve);
}

static int
parse_rate(parser_t *parser, const char *field, const json_t *value)
{
	double rate = json_number_value(value);

	/* The negated comparison also rejects NaN. */
	if (!json_is_number(value) ||
	    !(rate >= CONTRACT_MIN_RATE && rate <= CONTRACT_MAX_RATE))
		return reject(parser,
		    "the field '%s' is out of range; give a number from %g to "
		    "%.0f",
		    field, CONTRACT_MIN_RATE, CONTRACT_MAX_RATE);
	parser->contract->rate_per_s = rate;
	return 0;
}

static int
parse_integer(parser_t *parser, const char *field, const json_t *value, int min,
    int max, uint32_t *result)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < min || number > max)
		return reject(parser,
		    "the field '%s' is out of range; give a whole number from "
		    "%d to %d",
		    field, min, max);
	*result = (uint32_t)number;
	return 0;
}

static int
parse_concurrency(parser_t *parser, const char *field, const json_t *value)
{
	return parse_integer(parser, field, value, 1, CONTRACT_MAX_CONCURRENCY,
	    &parser->contract->concurrency);
}

static int
parse_deadline(parser_t *parser, const char *field, const json_t *value)
{
	return parse_integer(parser, field, value, CONTRACT_MIN_DEADLINE_MS,
	    CONTRACT_MAX_DEADLINE_MS, &parser->contract->deadline_ms);
}

static int
parse_repeat_window(parser_t *parser, const char *field, const json_t *value)
{
	return parse_integer(parser, field, value, 0,
	    CONTRACT_MAX_REPEAT_WINDOW_H, &parser->contract->repeat_window_h);
}

typedef struct {
	const char *name;
	int (*parse)(parser_t *, const char *, const json_t *);
} field_t;

static const field_t fields[] = {
    {"customer", parse_customer},
    {"state", parse_state},
    {"callers", parse_callers},
    {"may_query", parse_may_query},
    {"may_reserve", parse_may_reserve},
    {"rate_per_s", parse_rate},
    {"concurrency", parse_concurrency},
    {"deadline_ms", parse_deadline},
    {"repeat_window_h", parse_repeat_window},
    {"operation", parse_operation},
    {"changed_by", parse_changed_by},
};

static const size_t field_count = sizeof(fields) / sizeof(fields[0]);

static bool
is_field(const char *name)
{
	for (size_t i = 0; i < field_count; i++)
		if (strcmp(fields[i].name, name) == 0)
			return true;
	return false;
}

/* An unknown field's name is untrusted: it is shown only if it is a name. */
static int
check_field_names(parser_t *parser, json_t *root)
{
	const char *key;
	json_t *value;
	name_t shown_name;

	json_object_foreach (root, key, value) {
		if (is_field(key))
			continue;
		if (name_set(shown_name, key) != 0)
			strcpy(shown_name, "(not a name)");
		return reject(parser,
		    "the field '%s' is unknown; remove it or correct its "
		    "spelling",
		    shown_name);
	}
	return 0;
}

static int
check_consistency(parser_t *parser)
{
	const contract_t *contract = parser->contract;

	if (contract->may_reserve.count > 0 && contract->repeat_window_h == 0)
		return reject(parser,
		    "the field 'repeat_window_h' is 0 but 'may_reserve' names "
		    "a service; give a window of 1 hour or more");
	if (contract->retired)
		return 0;
	if (contract->caller_count == 0)
		return reject(parser,
		    "the field 'callers' is empty, so nobody could use the "
		    "contract; name a caller, or retire the contract");
	if (contract->may_query.count == 0 && contract->may_reserve.count == 0)
		return reject(parser,
		    "the fields 'may_query' and 'may_reserve' are both empty, "
		    "so nothing is allowed; name an index or a service, or "
		    "retire the contract");
	return 0;
}

static int
parse_fields(parser_t *parser, json_t *root)
{
	if (!json_is_object(root))
		return reject(parser,
		    "the contract is not a JSON object; write it as "
		    "{\"customer\": ...}");
	if (check_field_names(parser, root) != 0)
		return BW_E_INVALID;
	for (size_t i = 0; i < field_count; i++) {
		const json_t *value = json_object_get(root, fields[i].name);

		if (value == NULL)
			return reject(parser,
			    "the field '%s' is missing; add it",
			    fields[i].name);
		if (fields[i].parse(parser, fields[i].name, value) != 0)
			return BW_E_INVALID;
	}
	return check_consistency(parser);
}

/* jansson's own message quotes the text, which may contain a key pasted by
 * mistake, so only the position is reported. */
static json_t *
load_json(parser_t *parser, slice_t text)
{
	json_error_t error;
	json_t *root;

	if (text.size > CONTRACT_MAX_TEXT) {
		reject(parser,
		    "the contract is too large; keep it within %d bytes",
		    CONTRACT_MAX_TEXT);
		return NULL;
	}
	root = json_loadb(text.data, text.size, JSON_REJECT_DUPLICATES, &error);
	if (root != NULL)
		return root;
	if (json_error_code(&error) == json_error_duplicate_key)
		reject(parser,
		    "a field occurs twice at line %d; remove one of the two",
		    error.line);
	else
		reject(parser,
		    "the contract is not valid JSON at line %d, column %d; "
		    "correct the text there",
		    error.line, error.column);
	return NULL;
}

int
contract_parse(slice_t text, uint64_t version, contract_t **contract,
    char *message, size_t message_size)
{
	parser_t parser = {NULL, message, message_size};
	json_t *root = load_json(&parser, text);
	int error;

	*contract = NULL;
	if (root == NULL)
		return BW_E_INVALID;
	parser.contract = g_new0(contract_t, 1);
	parser.contract->ref_count = 1;
	parser.contract->version = version;
	error = parse_fields(&parser, root);
	json_decref(root);
	if (error != 0) {
		contract_unref(parser.contract);
		return error;
	}
	parser.contract->text = g_memdup2(text.data, text.size);
	parser.contract->text_size = text.size;
	*contract = parser.contract;
	return 0;
}

contract_t *
contract_ref(contract_t *contract)
{
	if (contract != NULL)
		contract->ref_count++;
	return contract;
}

void
contract_unref(contract_t *contract)
{
	if (contract == NULL || --contract->ref_count > 0)
		return;
	g_free(contract->callers);
	g_free(contract->may_query.names);
	g_free(contract->may_reserve.names);
	g_free(contract->text);
	g_free(contract);
}

const char *
contract_customer(const contract_t *contract)
{
	return contract->customer;
}

uint64_t
contract_version(const contract_t *contract)
{
	return contract->version;
}

bool
contract_is_retired(const contract_t *contract)
{
	return contract->retired;
}

double
contract_rate_per_s(const contract_t *contract)
{
	return contract->rate_per_s;
}

uint32_t
contract_concurrency(const contract_t *contract)
{
	return contract->concurrency;
}

uint32_t
contract_deadline_ms(const contract_t *contract)
{
	return contract->deadline_ms;
}

uint32_t
contract_repeat_window_h(const contract_t *contract)
{
	return contract->repeat_window_h;
}

const char *
contract_operation(const contract_t *contract)
{
	return contract->operation;
}

const char *
contract_changed_by(const contract_t *contract)
{
	return contract->changed_by;
}

bool
contract_may_query(const contract_t *contract, const char *index)
{
	return list_contains(
	    &contract->may_query, contract->may_query.count, index);
}

bool
contract_may_reserve(const contract_t *contract, const char *service)
{
	return list_contains(
	    &contract->may_reserve, contract->may_reserve.count, service);
}

slice_t
contract_text(const contract_t *contract)
{
	return (slice_t){contract->text, contract->text_size};
}

size_t
contract_caller_count(const contract_t *contract)
{
	return contract->caller_count;
}

const char *
contract_caller_name(const contract_t *contract, size_t i)
{
	return contract->callers[i].name;
}

const unsigned char *
contract_caller_digest(const contract_t *contract, size_t i)
{
	return contract->callers[i].digest;
}
