/* Stand-in for the platform: versioned objects with conditional updates and
 * watches, and the list of VMs. Tests inject faults, set the list and read
 * counters through the paths under /fake/. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/name.h"
#include "lib/fake_http.h"

#define MAX_VALUE_BYTES (1024 * 1024)
#define MAX_WAIT_MS 60000
#define MAX_KINDS 16

typedef struct {
	char *kind;
	char *name;
	uint64_t version;
	char *value; /* JSON text */
} object_t;

/** typedef faults_t - Faults that are injected now. */
typedef struct {
	bool down;	       /* close each connection without an answer */
	bool stall_watches;    /* watches wait until this is cleared */
	bool hold_claims;      /* claim writes are stored, their answers wait */
	int64_t slow_ms;       /* delay before each request is handled */
	int64_t lose_answers;  /* next writes that are stored, not answered */
	int64_t refuse_writes; /* next writes that are refused with 503 */
} faults_t;

typedef struct {
	fake_server_t *server;
	GMutex lock;	   /* guards what follows */
	GHashTable *kinds; /* kind -> GHashTable of name -> object_t */
	uint64_t revision;
	faults_t faults;
	json_t *vms;	     /* the list that is returned */
	json_t *pending_vms; /* replaces vms at pending_vms_at */
	usec_t pending_vms_at;
	/* Counts of requests; reads include those of the VM list, conflicts are
	 * the writes that were answered with 412. */
	uint64_t reads, writes, watches, conflicts;
	uint64_t claim_calls; /* requests for claims, counted on arrival */
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
claims_are_held(void)
{
	bool held;

	g_mutex_lock(&platform.lock);
	held = platform.faults.hold_claims;
	g_mutex_unlock(&platform.lock);
	return held;
}

static object_t *
find_object(const char *kind, const char *name)
{
	GHashTable *objects = g_hash_table_lookup(platform.kinds, kind);

	return objects != NULL ? g_hash_table_lookup(objects, name) : NULL;
}

/* Creates or replaces an object and returns its new version. Takes ownership of
 * @value. Called with the lock held. */
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

/** typedef precondition_t - The If-None-Match or If-Match header of a write. */
typedef struct {
	bool create;	  /* If-None-Match: the object must not exist */
	uint64_t version; /* that the object must have; 0 for create */
} precondition_t;

/* Returns false unless exactly one of the two headers is given and valid. */
static bool
parse_precondition(const fake_request_t *request, precondition_t *precondition)
{
	const char *if_none_match =
	    fake_request_header(request, "If-None-Match");
	const char *if_match = fake_request_header(request, "If-Match");
	char *end;

	*precondition = (precondition_t){if_none_match != NULL, 0};
	if ((if_none_match != NULL) == (if_match != NULL))
		return false;
	if (if_none_match != NULL)
		return strcmp(if_none_match, "*") == 0;
	if_match += *if_match == '"';
	if (*if_match < '0' || *if_match > '9')
		return false;
	precondition->version = strtoull(if_match, &end, 10);
	end += *end == '"';
	return *end == '\0' && precondition->version > 0;
}

/* Returns the body as compact JSON, which the caller frees, or NULL when it is
 * not valid JSON. */
static char *
parse_value(slice_t body)
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

/* Called with the lock held. Takes ownership of @value. */
static void
write_object(const char *kind, const char *name,
    const precondition_t *precondition, char *value, fake_reply_t *reply)
{
	const object_t *object = find_object(kind, name);
	uint64_t current = object != NULL ? object->version : 0;

	platform.writes++;
	if (platform.faults.refuse_writes > 0) {
		platform.faults.refuse_writes--;
		fake_reply_text(reply, 503, "{\"error\":\"unavailable\"}");
		free(value);
	} else if (current != precondition->version) {
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
	precondition_t precondition;
	char *value = NULL;

	if (parse_precondition(request, &precondition))
		value = parse_value(request->body);
	if (value == NULL) {
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
		return;
	}
	g_mutex_lock(&platform.lock);
	write_object(kind, name, &precondition, value, reply);
	g_mutex_unlock(&platform.lock);
	fake_server_wake_all(platform.server);
	while (strcmp(kind, "claim") == 0 && claims_are_held() &&
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

/* Finds the objects changed after revision @since, sorted by name. Called with
 * the lock held. */
static void
collect_newer_objects(GPtrArray *matches, char **kinds, uint64_t since)
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
				g_ptr_array_add(matches, object);
	}
	g_ptr_array_sort(matches, compare_objects);
}

/* Called with the lock held. */
static void
write_object_list(
    const GPtrArray *matches, uint64_t revision, fake_reply_t *reply)
{
	g_string_printf(reply->body, "{\"revision\":%llu,\"objects\":[",
	    (unsigned long long)revision);
	for (guint i = 0; i < matches->len; i++) {
		if (i > 0)
			g_string_append_c(reply->body, ',');
		append_object(reply->body, matches->pdata[i]);
	}
	g_string_append(reply->body, "]}");
}

/* Returns true and fills in the reply when the watch ends: by a change, at
 * @deadline, or because the platform is down. */
static bool
check_watch(char **kinds, uint64_t since, usec_t deadline, fake_reply_t *reply)
{
	GPtrArray *matches = g_ptr_array_new();
	bool ended = false;

	g_mutex_lock(&platform.lock);
	if (platform.faults.down) {
		reply->status = 0;
		ended = true;
	} else if (!platform.faults.stall_watches) {
		collect_newer_objects(matches, kinds, since);
		ended = matches->len > 0 || clock_monotonic() >= deadline;
		if (ended)
			write_object_list(matches,
			    matches->len > 0 ? platform.revision : since,
			    reply);
	}
	g_mutex_unlock(&platform.lock);
	g_ptr_array_free(matches, TRUE);
	return ended;
}

static bool
parse_number(const char *text, uint64_t max, uint64_t *number)
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
	usec_t deadline = clock_monotonic() + MS(wait_ms);

	while (!check_watch(kinds, since, deadline, reply) &&
	    !fake_server_is_stopping(platform.server)) {
		usec_t now = clock_monotonic();

		/* A stalled watch stays open past its deadline; poll it. */
		fake_connection_wait(request->connection,
		    now < deadline ? deadline : now + MS(100));
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
	GPtrArray *matches = g_ptr_array_new();

	if ((since_text != NULL &&
		!parse_number(since_text, UINT64_MAX, &since)) ||
	    (wait_text != NULL &&
		!parse_number(wait_text, MAX_WAIT_MS, &wait_ms))) {
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
	} else if (since_text != NULL) {
		g_mutex_lock(&platform.lock);
		platform.watches++;
		g_mutex_unlock(&platform.lock);
		watch_objects(kinds, since, wait_ms, request, reply);
	} else {
		g_mutex_lock(&platform.lock);
		platform.reads++;
		collect_newer_objects(matches, kinds, 0);
		write_object_list(matches, platform.revision, reply);
		g_mutex_unlock(&platform.lock);
	}
	g_ptr_array_free(matches, TRUE);
	g_strfreev(kinds);
}

static void
list_vms(fake_reply_t *reply)
{
	g_mutex_lock(&platform.lock);
	platform.reads++;
	if (platform.pending_vms != NULL &&
	    clock_monotonic() >= platform.pending_vms_at) {
		json_decref(platform.vms);
		platform.vms = platform.pending_vms;
		platform.pending_vms = NULL;
	}
	fake_reply_json(reply, 200, json_pack("{s:O}", "vms", platform.vms));
	g_mutex_unlock(&platform.lock);
}

/* Replaces the list of VMs after "lag_ms", 0 when it is not given. */
static void
set_vms(const json_t *command, fake_reply_t *reply)
{
	json_t *vms = json_object_get(command, "vms");
	int64_t lag_ms = 0;

	if (!json_is_array(vms)) {
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
		return;
	}
	fake_read_int(command, "lag_ms", &lag_ms);
	g_mutex_lock(&platform.lock);
	json_decref(platform.pending_vms);
	platform.pending_vms = json_incref(vms);
	platform.pending_vms_at = clock_monotonic() + MS(lag_ms);
	g_mutex_unlock(&platform.lock);
	fake_reply_text(reply, 200, "{}");
}

static void
set_faults(
    const json_t *command, const fake_request_t *request, fake_reply_t *reply)
{
	bool silence = false;

	g_mutex_lock(&platform.lock);
	fake_read_bool(command, "down", &platform.faults.down);
	fake_read_bool(
	    command, "stall_watches", &platform.faults.stall_watches);
	fake_read_bool(command, "hold_claims", &platform.faults.hold_claims);
	fake_read_int(command, "slow_ms", &platform.faults.slow_ms);
	fake_read_int(command, "lose_answers", &platform.faults.lose_answers);
	fake_read_int(command, "refuse_writes", &platform.faults.refuse_writes);
	g_mutex_unlock(&platform.lock);
	fake_read_bool(command, "silence_connections", &silence);
	if (silence)
		fake_server_silence(platform.server, request->connection);
	fake_server_wake_all(platform.server);
	fake_reply_text(reply, 200, "{}");
}

/* Stores @text as it is, like another writer would, JSON or not. */
static void
store_text(const json_t *command, fake_reply_t *reply)
{
	const char *kind = json_string_value(json_object_get(command, "kind"));
	const char *name = json_string_value(json_object_get(command, "name"));
	const char *text = json_string_value(json_object_get(command, "text"));

	if (kind == NULL || name == NULL || text == NULL) {
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
		return;
	}
	g_mutex_lock(&platform.lock);
	store_object(kind, name, strdup(text));
	g_mutex_unlock(&platform.lock);
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
	json_t *command = json_loadb(request->body.data, request->body.size,
	    JSON_REJECT_DUPLICATES, NULL);

	if (fake_request_is(request, "POST", "/fake/faults") && command != NULL)
		set_faults(command, request, reply);
	else if (fake_request_is(request, "POST", "/fake/text") &&
	    command != NULL)
		store_text(command, reply);
	else if (fake_request_is(request, "POST", "/fake/vms") &&
	    command != NULL)
		set_vms(command, reply);
	else if (fake_request_is(request, "GET", "/fake/counters"))
		get_counters(reply);
	else
		fake_reply_text(reply, 400, "{\"error\":\"invalid\"}");
	json_decref(command);
}

static void
handle_object(
    const char *path, const fake_request_t *request, fake_reply_t *reply)
{
	char **parts = g_strsplit(path, "/", 2);
	name_t kind;

	/* The name of a claim is a service's name and a number, so it may be
	 * longer than a name_t. */
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
		handle_object(rest, request, reply);
	else if (strcmp(request->method, "GET") == 0)
		list_objects(rest, request, reply);
	else
		fake_reply_text(reply, 405, "{\"error\":\"method\"}");
}

static void
handle_request(
    void *context, const fake_request_t *request, fake_reply_t *reply)
{
	usec_t delay;

	if (strncmp(request->path, "/fake/", 6) == 0) {
		handle_control(request, reply);
		return;
	}
	g_mutex_lock(&platform.lock);
	delay = MS(platform.faults.slow_ms);
	platform.claim_calls +=
	    g_str_has_prefix(request->path, "/v1/objects/claim/");
	g_mutex_unlock(&platform.lock);
	if (delay > 0 && !is_down())
		fake_connection_sleep(
		    request->connection, clock_monotonic() + delay);
	if (is_down()) {
		reply->status = 0;
		return;
	}
	handle_api(request, reply);
}

int
main(int argc, char **argv)
{
	fake_main_init();
	if (argc != 3 || strcmp(argv[1], "--listen") != 0) {
		fprintf(stderr, "usage: fake_platform --listen IP:PORT\n");
		return 2;
	}
	g_mutex_init(&platform.lock);
	platform.kinds = g_hash_table_new(g_str_hash, g_str_equal);
	platform.vms = json_array();
	platform.server = fake_server_create(
	    argv[2], handle_request, NULL, MAX_VALUE_BYTES, 0);
	if (!fake_server_start(platform.server))
		return 1;
	fake_main_run();
}
