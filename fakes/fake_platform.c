/* Stand-in of the platform: objects with versions, conditional updates and
 * watches, the list of VMs, and faults ordered under /fake/. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/name.h"
#include "lib/fake_http.h"

#define MAX_VALUE (1024 * 1024)
#define MAX_WAIT_MS 60000
#define MAX_KINDS 16

typedef struct {
	char *kind;
	char *name;
	uint64_t version;
	char *value; /* JSON text */
} object_t;

typedef struct {
	bool down;
	bool stall_watches;
	bool hold_claims; /* claim writes take effect but wait for the answer */
	int64_t slow_ms;
	int64_t lose_answers;
	int64_t refuse_writes;
} faults_t;

typedef struct {
	fake_server_t *server;
	GMutex lock;
	GHashTable *kinds; /* kind -> GHashTable of name -> object_t */
	uint64_t revision;
	faults_t faults;
	json_t *vms;	  /* visible */
	json_t *next_vms; /* visible from next_vms_at */
	usec_t next_vms_at;
	uint64_t reads, writes, watches, conflicts;
	uint64_t claim_calls; /* counted on arrival */
} platform_t;

static platform_t platform;

static bool
is_down(void)
{
	bool down;

	g_mutex_lock(&platform.lock);
	down = platform.faults.down;
	g_mutex_unlock(&platform.lock);
	return down;
}

static bool
is_holding(void)
{
	bool holding;

	g_mutex_lock(&platform.lock);
	holding = platform.faults.hold_claims;
	g_mutex_unlock(&platform.lock);
	return holding;
}

static object_t *
find_object(const char *kind, const char *name)
{
	GHashTable *objects = g_hash_table_lookup(platform.kinds, kind);

	return objects != NULL ? g_hash_table_lookup(objects, name) : NULL;
}

static uint64_t
store_object(const char *kind, const char *name, char *value)
{
	GHashTable *objects = g_hash_table_lookup(platform.kinds, kind);
	object_t *object = find_object(kind, name);

	if (objects == NULL) {
		objects = g_hash_table_new(g_str_hash, g_str_equal);
		g_hash_table_insert(platform.kinds, g_strdup(kind), objects);
	}
	if (object == NULL) {
		object = g_new0(object_t, 1);
		object->kind = g_strdup(kind);
		object->name = g_strdup(name);
		g_hash_table_insert(objects, object->name, object);
	}
	free(object->value);
	object->value = value;
	object->version = ++platform.revision;
	return object->version;
}

static void
append_object(GString *text, const object_t *object)
{
	g_string_append_printf(text,
	    "{\"kind\":\"%s\",\"name\":\"%s\",\"version\":%llu,\"value\":%s}",
	    object->kind, object->name, (unsigned long long)object->version,
	    object->value);
}

static void
get_object(const char *kind, const char *name, fake_reply_t *reply)
{
	object_t *object;

	g_mutex_lock(&platform.lock);
	platform.reads++;
	object = find_object(kind, name);
	if (object != NULL)
		append_object(reply->body, object);
	else
		fake_reply_text(reply, 404, "{\"error\":\"not_found\"}");
	g_mutex_unlock(&platform.lock);
}

typedef struct {
	bool create;
	uint64_t version;
} condition_t;

static bool
read_condition(const fake_request_t *request, condition_t *condition)
{
	const char *none = fake_request_header(request, "If-None-Match");
	const char *match = fake_request_header(request, "If-Match");
	char *end;

	*condition = (condition_t){none != NULL, 0};
	if ((none != NULL) == (match != NULL))
		return false;
	if (none != NULL)
		return strcmp(none, "*") == 0;
	match += *match == '"';
	if (*match < '0' || *match > '9')
		return false;
	condition->version = strtoull(match, &end, 10);
	end += *end == '"';
	return *end == '\0' && condition->version > 0;
}

/* The value as compact text, or NULL when it is not JSON. */
static char *
read_value(slice_t body)
{
	json_t *value = json_loadb(body.data, body.size,
	    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
	char *text;

	if (value == NULL)
		return NULL;
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	json_decref(value);
	return text;
}

/* Called with the lock held; takes @value. */
static void
write_object(const char *kind, const char *name, const condition_t *condition,
    char *value, fake_reply_t *reply)
{
	const object_t *object = find_object(kind, name);
	uint64_t current = object != NULL ? object->version : 0;

	platform.writes++;
	if (platform.faults.refuse_writes > 0) {
		platform.faults.refuse_writes--;
		fake_reply_text(reply, 503, "{\"error\":\"unavailable\"}");
		free(value);
	} else if (current != condition->version) {
		platform.conflicts++;
		fake_reply_text(reply, 412, "{\"version\":%llu}",
		    (unsigned long long)current);
		free(value);
	} else {
		fake_reply_text(reply, 200, "{\"version\":%llu}",
		    (unsigned long long)store_object(kind, name, value));
		if (platform.faults.lose_answers > 0) {
			platform.faults.lose_answers--;
			reply->status = 0;
		}
	}
}

static void
put_object(const char *kind, const char *name, const fake_request_t *request,
    fake_reply_t *reply)
{
	condition_t condition;
	char *value = NULL;

	if (read_condition(request, &condition))
		value = read_value(request->body);
	if (value == NULL) {
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
		return;
	}
	g_mutex_lock(&platform.lock);
	write_object(kind, name, &condition, value, reply);
	g_mutex_unlock(&platform.lock);
	fake_server_wake_all(platform.server);
	while (strcmp(kind, "claim") == 0 && is_holding() &&
	    !fake_server_is_stopping(platform.server))
		fake_connection_wait(
		    request->connection, clock_monotonic() + SECONDS(1));
}

static gint
compare_objects(gconstpointer a, gconstpointer b)
{
	const object_t *left = *(object_t *const *)a;
	const object_t *right = *(object_t *const *)b;

	return strcmp(left->name, right->name);
}

/* Called with the lock held. */
static void
collect_changed(GPtrArray *found, char **kinds, uint64_t since)
{
	for (int i = 0; kinds[i] != NULL; i++) {
		GHashTable *objects =
		    g_hash_table_lookup(platform.kinds, kinds[i]);
		GHashTableIter iter;
		gpointer object;

		if (objects == NULL)
			continue;
		g_hash_table_iter_init(&iter, objects);
		while (g_hash_table_iter_next(&iter, NULL, &object))
			if (((object_t *)object)->version > since)
				g_ptr_array_add(found, object);
	}
	g_ptr_array_sort(found, compare_objects);
}

/* Called with the lock held. */
static void
print_list(const GPtrArray *found, uint64_t revision, fake_reply_t *reply)
{
	g_string_printf(reply->body, "{\"revision\":%llu,\"objects\":[",
	    (unsigned long long)revision);
	for (guint i = 0; i < found->len; i++) {
		if (i > 0)
			g_string_append_c(reply->body, ',');
		append_object(reply->body, found->pdata[i]);
	}
	g_string_append(reply->body, "]}");
}

/* Whether the watch has ended, by a change, by time or by a fault. */
static bool
try_watch(char **kinds, uint64_t since, usec_t until, fake_reply_t *reply)
{
	GPtrArray *found = g_ptr_array_new();
	bool ended = false;

	g_mutex_lock(&platform.lock);
	if (platform.faults.down) {
		reply->status = 0;
		ended = true;
	} else if (!platform.faults.stall_watches) {
		collect_changed(found, kinds, since);
		ended = found->len > 0 || clock_monotonic() >= until;
		if (ended)
			print_list(found,
			    found->len > 0 ? platform.revision : since, reply);
	}
	g_mutex_unlock(&platform.lock);
	g_ptr_array_free(found, TRUE);
	return ended;
}

static bool
read_number(const char *text, uint64_t max, uint64_t *number)
{
	char *end;

	if (text == NULL || *text < '0' || *text > '9')
		return false;
	*number = strtoull(text, &end, 10);
	return *end == '\0' && *number <= max;
}

static void
watch_objects(char **kinds, uint64_t since, uint64_t wait_ms,
    const fake_request_t *request, fake_reply_t *reply)
{
	usec_t until = clock_monotonic() + MS(wait_ms);

	while (!try_watch(kinds, since, until, reply) &&
	    !fake_server_is_stopping(platform.server)) {
		usec_t now = clock_monotonic();

		/* A stalled watch is past its time: look again in a while. */
		fake_connection_wait(
		    request->connection, now < until ? until : now + MS(100));
	}
}

static void
list_objects(
    const char *kinds_text, const fake_request_t *request, fake_reply_t *reply)
{
	const char *since_text = fake_request_argument(request, "since");
	const char *wait_text = fake_request_argument(request, "wait_ms");
	char **kinds = g_strsplit(kinds_text, ",", MAX_KINDS);
	uint64_t since = 0, wait_ms = 0;
	GPtrArray *found = g_ptr_array_new();

	if ((since_text != NULL &&
		!read_number(since_text, UINT64_MAX, &since)) ||
	    (wait_text != NULL &&
		!read_number(wait_text, MAX_WAIT_MS, &wait_ms))) {
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
	} else if (since_text != NULL) {
		g_mutex_lock(&platform.lock);
		platform.watches++;
		g_mutex_unlock(&platform.lock);
		watch_objects(kinds, since, wait_ms, request, reply);
	} else {
		g_mutex_lock(&platform.lock);
		platform.reads++;
		collect_changed(found, kinds, 0);
		print_list(found, platform.revision, reply);
		g_mutex_unlock(&platform.lock);
	}
	g_ptr_array_free(found, TRUE);
	g_strfreev(kinds);
}

static void
list_vms(fake_reply_t *reply)
{
	g_mutex_lock(&platform.lock);
	platform.reads++;
	if (platform.next_vms != NULL &&
	    clock_monotonic() >= platform.next_vms_at) {
		json_decref(platform.vms);
		platform.vms = platform.next_vms;
		platform.next_vms = NULL;
	}
	fake_reply_json(reply, 200, json_pack("{s:O}", "vms", platform.vms));
	g_mutex_unlock(&platform.lock);
}

static void
set_vms(const json_t *order, fake_reply_t *reply)
{
	json_t *vms = json_object_get(order, "vms");
	int64_t lag_ms = 0;

	if (!json_is_array(vms)) {
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
		return;
	}
	fake_read_int(order, "lag_ms", &lag_ms);
	g_mutex_lock(&platform.lock);
	json_decref(platform.next_vms);
	platform.next_vms = json_incref(vms);
	platform.next_vms_at = clock_monotonic() + MS(lag_ms);
	g_mutex_unlock(&platform.lock);
	fake_reply_text(reply, 200, "{}");
}

static void
set_faults(
    const json_t *order, const fake_request_t *request, fake_reply_t *reply)
{
	bool silence = false;

	g_mutex_lock(&platform.lock);
	fake_read_bool(order, "down", &platform.faults.down);
	fake_read_bool(order, "stall_watches", &platform.faults.stall_watches);
	fake_read_bool(order, "hold_claims", &platform.faults.hold_claims);
	fake_read_int(order, "slow_ms", &platform.faults.slow_ms);
	fake_read_int(order, "lose_answers", &platform.faults.lose_answers);
	fake_read_int(order, "refuse_writes", &platform.faults.refuse_writes);
	g_mutex_unlock(&platform.lock);
	fake_read_bool(order, "silence_connections", &silence);
	if (silence)
		fake_server_silence(platform.server, request->connection);
	fake_server_wake_all(platform.server);
	fake_reply_text(reply, 200, "{}");
}

static void
get_counters(fake_reply_t *reply)
{
	g_mutex_lock(&platform.lock);
	fake_reply_json(reply, 200,
	    json_pack("{s:I,s:I,s:I,s:I,s:I}", "reads",
		(json_int_t)platform.reads, "writes",
		(json_int_t)platform.writes, "watches",
		(json_int_t)platform.watches, "conflicts",
		(json_int_t)platform.conflicts, "claim_calls",
		(json_int_t)platform.claim_calls));
	g_mutex_unlock(&platform.lock);
}

static void
handle_control(const fake_request_t *request, fake_reply_t *reply)
{
	json_t *order = json_loadb(request->body.data, request->body.size,
	    JSON_REJECT_DUPLICATES, NULL);

	if (fake_request_is(request, "POST", "/fake/faults") && order != NULL)
		set_faults(order, request, reply);
	else if (fake_request_is(request, "POST", "/fake/vms") && order != NULL)
		set_vms(order, reply);
	else if (fake_request_is(request, "GET", "/fake/counters"))
		get_counters(reply);
	else
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
	json_decref(order);
}

static void
handle_named(
    const char *path, const fake_request_t *request, fake_reply_t *reply)
{
	char **parts = g_strsplit(path, "/", 2);
	name_t kind;

	if (name_set(kind, parts[0]) != 0 || parts[1][0] == '\0' ||
	    strlen(parts[1]) >= 2 * NAME_SIZE ||
	    strspn(parts[1], "abcdefghijklmnopqrstuvwxyz0123456789-_.") !=
		strlen(parts[1]))
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
	else if (strcmp(request->method, "GET") == 0)
		get_object(kind, parts[1], reply);
	else if (strcmp(request->method, "PUT") == 0)
		put_object(kind, parts[1], request, reply);
	else
		fake_reply_text(reply, 405, "{\"error\":\"method\"}");
	g_strfreev(parts);
}

static void
handle_api(const fake_request_t *request, fake_reply_t *reply)
{
	static const char prefix[] = "/v1/objects/";
	const char *rest = request->path;

	if (g_str_has_prefix(rest, prefix))
		rest += strlen(prefix);
	if (fake_request_is(request, "GET", "/v1/vms"))
		list_vms(reply);
	else if (rest == request->path)
		fake_reply_text(reply, 404, "{\"error\":\"not_found\"}");
	else if (strchr(rest, '/') != NULL)
		handle_named(rest, request, reply);
	else if (strcmp(request->method, "GET") == 0)
		list_objects(rest, request, reply);
	else
		fake_reply_text(reply, 405, "{\"error\":\"method\"}");
}

static void
handle_request(
    void *context, const fake_request_t *request, fake_reply_t *reply)
{
	usec_t slow;

	if (strncmp(request->path, "/fake/", 6) == 0) {
		handle_control(request, reply);
		return;
	}
	g_mutex_lock(&platform.lock);
	slow = MS(platform.faults.slow_ms);
	platform.claim_calls +=
	    g_str_has_prefix(request->path, "/v1/objects/claim/");
	g_mutex_unlock(&platform.lock);
	if (slow > 0 && !is_down())
		fake_connection_sleep(
		    request->connection, clock_monotonic() + slow);
	if (is_down()) {
		reply->status = 0;
		return;
	}
	handle_api(request, reply);
}

int
main(int argc, char **argv)
{
	fake_main_begin();
	if (argc != 3 || strcmp(argv[1], "--listen") != 0) {
		fprintf(stderr, "usage: fake_platform --listen IP:PORT\n");
		return 2;
	}
	g_mutex_init(&platform.lock);
	platform.kinds = g_hash_table_new(g_str_hash, g_str_equal);
	platform.vms = json_array();
	platform.server =
	    fake_server_create(argv[2], handle_request, NULL, MAX_VALUE, 0);
	if (!fake_server_start(platform.server))
		return 1;
	fake_main_run();
}
