#include "bulrushwell/tool_render.h"

#include <string.h>

#include "bulrushwell/error.h"

/* Returns a field's text, or "?" if it is absent or not a string. */
static const char *
string_field(const json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text != NULL ? text : "?";
}

/* Returns a field's integer, or 0 if it is absent or not an integer. */
static json_int_t
integer_field(const json_t *object, const char *field)
{
	return json_integer_value(json_object_get(object, field));
}

static bool
is_control(gunichar c)
{
	return (c < ' ' && c != '\n' && c != '\t') || (c >= 0x7f && c < 0xa0);
}

void
tool_render_text(GString *out, const char *text)
{
	for (const char *p = text; *p != '\0'; p = g_utf8_next_char(p)) {
		gunichar c = g_utf8_get_char(p);

		if (is_control(c))
			g_string_append_c(out, '?');
		else
			g_string_append_unichar(out, c);
	}
}

/* Appends at most 20 names: "a, b and 3 more". */
static void
append_names(GString *out, const json_t *names)
{
	size_t count = json_array_size(names);
	size_t shown = MIN(count, (size_t)20);

	if (count == 0)
		g_string_append(out, "none");
	for (size_t i = 0; i < shown; i++) {
		const char *name = json_string_value(json_array_get(names, i));

		g_string_append(out, i > 0 ? ", " : "");
		tool_render_text(out, name != NULL ? name : "?");
	}
	if (count > shown)
		g_string_append_printf(out, " and %zu more", count - shown);
}

/* Appends @format, in which each '%' stands for the next of @fields. */
static void
append_fields(GString *out, const json_t *object, const char *format,
    const char *const *fields)
{
	for (; *format != '\0'; format++) {
		if (*format == '%')
			tool_render_text(out, string_field(object, *fields++));
		else
			g_string_append_c(out, *format);
	}
}

static void
append_callers(GString *out, const json_t *callers)
{
	json_t *names = json_array();

	for (size_t i = 0; i < json_array_size(callers); i++)
		json_array_append_new(names,
		    json_string(
			string_field(json_array_get(callers, i), "name")));
	append_names(out, names);
	json_decref(names);
}

void
tool_render_contract(GString *out, uint64_t version, const json_t *value)
{
	static const char *const customer_field[] = {"customer"};
	static const char *const changed_by_field[] = {"changed_by"};
	bool retired = strcmp(string_field(value, "state"), "retired") == 0;

	append_fields(out, value, "Contract of %", customer_field);
	g_string_append_printf(
	    out, ", version %" G_GUINT64_FORMAT ", ", version);
	g_string_append(out, retired ? "retired" : "in force");
	append_fields(out, value, "; last changed by %.\n", changed_by_field);
	if (retired)
		g_string_append(out,
		    "It is ended for good: its callers are refused. What it "
		    "allowed was:\n");
	g_string_append(out, "  Callers: ");
	append_callers(out, json_object_get(value, "callers"));
	g_string_append(out, "\n  May query the indexes: ");
	append_names(out, json_object_get(value, "may_query"));
	g_string_append(out, "\n  May reserve the services: ");
	append_names(out, json_object_get(value, "may_reserve"));
	g_string_append_printf(out,
	    "\n  At most %g requests a second and %" JSON_INTEGER_FORMAT
	    " at once.\n  Answers are due within %" JSON_INTEGER_FORMAT
	    " ms.\n",
	    json_number_value(json_object_get(value, "rate_per_s")),
	    integer_field(value, "concurrency"),
	    integer_field(value, "deadline_ms"));
	if (json_array_size(json_object_get(value, "may_reserve")) > 0)
		g_string_append_printf(out,
		    "  A reservation's key is remembered for "
		    "%" JSON_INTEGER_FORMAT " hours.\n",
		    integer_field(value, "repeat_window_h"));
}

void
tool_render_contracts(GString *out, const json_t *list)
{
	static const char *const changed_by_field[] = {"changed_by"};
	const json_t *objects = json_object_get(list, "objects");

	if (json_array_size(objects) == 0)
		g_string_append(out, "There is no contract.\n");
	for (size_t i = 0; i < json_array_size(objects); i++) {
		const json_t *object = json_array_get(objects, i);
		const json_t *value = json_object_get(object, "value");
		bool retired =
		    strcmp(string_field(value, "state"), "retired") == 0;

		tool_render_text(out, string_field(object, "name"));
		g_string_append_printf(out,
		    ": version %" JSON_INTEGER_FORMAT ", %s",
		    integer_field(object, "version"),
		    retired ? "retired" : "in force");
		append_fields(
		    out, value, ", last changed by %\n", changed_by_field);
	}
}

static void
append_age(GString *out, const json_t *object)
{
	g_string_append_printf(out, "%.1f s ago",
	    (double)integer_field(object, "heard_ms") / 1000);
}

static void
append_node(GString *out, const json_t *status)
{
	static const char *const node_fields[] = {
	    "node", "incarnation", "data_centre", "state"};
	const json_t *platform = json_object_get(status, "platform");
	const json_t *assignment = json_object_get(status, "assignment");

	append_fields(out, status,
	    "Node % (incarnation %) in data centre % is %.\n", node_fields);
	if (json_is_true(json_object_get(platform, "reachable")))
		g_string_append(out, "The platform answers; last heard ");
	else
		g_string_append(out,
		    "The platform does not answer: queries continue, changes "
		    "and reservations wait; last heard ");
	append_age(out, platform);
	g_string_append(out, ".\nThis node serves: ");
	append_names(out, json_object_get(assignment, "serving"));
	g_string_append(out, ".\nThis node stands by for: ");
	append_names(out, json_object_get(assignment, "standby"));
	g_string_append(out, ".\n");
}

static void
append_contract_line(GString *out, const json_t *entry)
{
	const json_t *lagging = json_object_get(entry, "lagging");
	bool retired = strcmp(string_field(entry, "state"), "retired") == 0;

	g_string_append(out, "Contract ");
	tool_render_text(out, string_field(entry, "customer"));
	g_string_append_printf(out, ": version %" JSON_INTEGER_FORMAT " is %s",
	    integer_field(entry, "version"), retired ? "retired" : "in force");
	if (json_array_size(lagging) == 0) {
		g_string_append(out, " on every live node.\n");
		return;
	}
	g_string_append(out, " on: ");
	append_names(out, json_object_get(entry, "nodes"));
	g_string_append(out, "; not yet on: ");
	append_names(out, lagging);
	g_string_append(out, ".\n");
}

static void
append_peer_line(GString *out, const json_t *peer)
{
	static const char *const location_fields[] = {"node", "data_centre"};
	static const char *const state_field[] = {"state"};

	append_fields(out, peer, "Peer % in data centre % ", location_fields);
	if (json_is_true(json_object_get(peer, "live")))
		append_fields(out, peer, "is %, heard ", state_field);
	else
		g_string_append(out, "does not answer, last heard ");
	append_age(out, peer);
	g_string_append(out, ".\n");
}

static void
append_service_line(GString *out, const json_t *entry)
{
	const char *serving =
	    json_string_value(json_object_get(entry, "serving"));
	const char *standby =
	    json_string_value(json_object_get(entry, "standby"));

	g_string_append(out, "Service ");
	tool_render_text(out, string_field(entry, "service"));
	if (serving == NULL || serving[0] == '\0') {
		g_string_append(out, " is served by no node.\n");
		return;
	}
	g_string_append(out, " is served by ");
	tool_render_text(out, serving);
	g_string_append(out, ", standby: ");
	tool_render_text(
	    out, standby != NULL && standby[0] != '\0' ? standby : "none");
	g_string_append(out, ".\n");
}

static void
append_index_line(GString *out, const json_t *entry)
{
	static const char *const index_field[] = {"index"};

	append_fields(out, entry, "Index %", index_field);
	g_string_append_printf(out,
	    " is at version %" JSON_INTEGER_FORMAT " with %" JSON_INTEGER_FORMAT
	    " shards.\n",
	    integer_field(entry, "version"), integer_field(entry, "shards"));
}

void
tool_render_status(GString *out, const json_t *status)
{
	static const struct {
		const char *field;
		void (*append)(GString *, const json_t *);
	} parts[] = {
	    {"contracts", append_contract_line},
	    {"peers", append_peer_line},
	    {"services", append_service_line},
	    {"indexes", append_index_line},
	};

	append_node(out, status);
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		const json_t *list = json_object_get(status, parts[i].field);

		for (size_t j = 0; j < json_array_size(list); j++)
			parts[i].append(out, json_array_get(list, j));
	}
}

static const char *
describe_reason(const char *reason)
{
	static const char *const reasons[][2] = {
	    {"timeout", "no answer in time"},
	    {"no_server", "no server is available"},
	    {"version_gone", "the index moved to another version"},
	    {"refused", "the request was refused"},
	    {"crashed", "servers stopped while running it"},
	    {"not_served", "no node serves it at the moment"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (strcmp(reasons[i][0], reason) == 0)
			return reasons[i][1];
	return reason;
}

void
tool_render_query(GString *out, const json_t *answer)
{
	const json_t *coverage = json_object_get(answer, "coverage");
	const json_t *missing = json_object_get(coverage, "missing");
	const json_t *results = json_object_get(answer, "results");
	bool complete = json_is_true(json_object_get(answer, "complete"));

	g_string_append(out,
	    complete ? "The answer is complete: "
		     : "The answer is NOT complete: ");
	g_string_append_printf(out,
	    "%" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
	    " shards of version %" JSON_INTEGER_FORMAT " of the index ",
	    integer_field(coverage, "answered"),
	    integer_field(coverage, "total"), integer_field(answer, "version"));
	tool_render_text(out, string_field(answer, "index"));
	g_string_append_printf(out,
	    " answered, in %" JSON_INTEGER_FORMAT " ms.\n",
	    integer_field(answer, "elapsed_ms"));
	for (size_t i = 0; i < json_array_size(missing); i++) {
		const json_t *entry = json_array_get(missing, i);

		g_string_append_printf(out,
		    "Missing: shard %" JSON_INTEGER_FORMAT ", ",
		    integer_field(entry, "shard"));
		tool_render_text(
		    out, describe_reason(string_field(entry, "reason")));
		g_string_append(out, ".\n");
	}
	for (size_t i = 0; i < json_array_size(results); i++) {
		const json_t *entry = json_array_get(results, i);

		g_string_append_printf(out, "Shard %" JSON_INTEGER_FORMAT ": ",
		    integer_field(entry, "shard"));
		tool_render_text(out, string_field(entry, "body"));
		g_string_append_c(out, '\n');
	}
}

static bool
is_success(json_int_t status)
{
	return status >= 200 && status <= 299;
}

void
tool_render_reservation(GString *out, const json_t *answer)
{
	static const char *const body_field[] = {"body"};
	json_int_t status = integer_field(answer, "upstream_status");

	if (json_is_true(json_object_get(answer, "repeated")))
		g_string_append(out,
		    "This key was used before; this is the outcome of its "
		    "first use. Nothing ran again.\n");
	if (is_success(status))
		g_string_append(out, "The reservation is made.\n");
	else
		g_string_append_printf(out,
		    "The service refused the reservation (its status is "
		    "%" JSON_INTEGER_FORMAT "). It is not made.\n",
		    status);
	append_fields(out, answer, "The service says: %\n", body_field);
}

void
tool_render_error(GString *out, const json_t *response)
{
	static const char *const message_field[] = {"message"};
	static const char *const remedy_field[] = {"remedy"};
	const json_t *error = json_object_get(response, "error");
	json_int_t retry_after_ms = integer_field(error, "retry_after_ms");

	append_fields(out, error, "%.\n", message_field);
	if (json_is_true(json_object_get(error, "not_run")))
		g_string_append(out, "Nothing ran.\n");
	else
		g_string_append(out, "It may have run.\n");
	append_fields(out, error, "What to do: %.\n", remedy_field);
	if (retry_after_ms > 0)
		g_string_append_printf(out, "Wait %.1f s before that.\n",
		    (double)retry_after_ms / 1000);
}

/* Maps the kind of the error to an exit code. A code that means that nothing
 * ran is returned only if the response confirms it with "not_run"; otherwise
 * the result is @fallback. */
static tool_exit_t
error_exit_code(const json_t *response, tool_exit_t fallback)
{
	const json_t *error = json_object_get(response, "error");
	const char *kind = json_string_value(json_object_get(error, "kind"));
	bool not_run = json_is_true(json_object_get(error, "not_run"));

	if (kind == NULL)
		return fallback;
	switch (error_from_kind(kind)) {
	case BW_E_UNAUTHORISED:
	case BW_E_FORBIDDEN:
		return not_run ? TOOL_EXIT_FORBIDDEN : fallback;
	case BW_E_INVALID:
	case BW_E_NOT_FOUND:
	case BW_E_TOO_LARGE:
	case BW_E_KEY_REUSED:
		return not_run ? TOOL_EXIT_INVALID : fallback;
	case BW_E_CONFLICT:
	case BW_E_RETIRED:
	case BW_E_STALE:
		return not_run ? TOOL_EXIT_CONFLICT : fallback;
	case BW_E_OUTCOME_UNKNOWN:
	case BW_E_IN_PROGRESS:
	case BW_E_KEY_EXPIRED:
		return TOOL_EXIT_OUTCOME_UNKNOWN;
	default:
		return not_run ? TOOL_EXIT_NOT_RUN : fallback;
	}
}

static bool
is_complete(const json_t *answer)
{
	const json_t *coverage = json_object_get(answer, "coverage");

	return json_is_true(json_object_get(answer, "complete")) &&
	    json_is_integer(json_object_get(coverage, "total")) &&
	    integer_field(coverage, "answered") ==
	    integer_field(coverage, "total") &&
	    json_array_size(json_object_get(coverage, "missing")) == 0;
}

tool_exit_t
tool_query_exit_code(const tool_http_response_t *response)
{
	if (response->result == TOOL_HTTP_NOT_SENT)
		return TOOL_EXIT_UNREACHABLE;
	if (response->result == TOOL_HTTP_NO_RESPONSE)
		return TOOL_EXIT_FAILED;
	if (response->status != 200)
		return error_exit_code(response->json, TOOL_EXIT_FAILED);
	if (!json_is_object(json_object_get(response->json, "coverage")))
		return TOOL_EXIT_FAILED;
	return is_complete(response->json) ? TOOL_EXIT_OK : TOOL_EXIT_PARTIAL;
}

tool_exit_t
tool_reserve_exit_code(const tool_http_response_t *response)
{
	if (response->result == TOOL_HTTP_NOT_SENT)
		return TOOL_EXIT_UNREACHABLE;
	if (response->result == TOOL_HTTP_NO_RESPONSE)
		return TOOL_EXIT_OUTCOME_UNKNOWN;
	if (response->status != 200)
		return error_exit_code(
		    response->json, TOOL_EXIT_OUTCOME_UNKNOWN);
	if (strcmp(string_field(response->json, "outcome"), "done") != 0 ||
	    !json_is_integer(
		json_object_get(response->json, "upstream_status")))
		return TOOL_EXIT_OUTCOME_UNKNOWN;
	return is_success(integer_field(response->json, "upstream_status"))
	    ? TOOL_EXIT_OK
	    : TOOL_EXIT_FAILED;
}
