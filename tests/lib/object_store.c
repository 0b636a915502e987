#include "object_store.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../fakes/lib/fake_http.h"
#include "harness.h"

#define MAX_EVENTS 500 /* per response to a watch */
#define MAX_BODY_BYTES 1048576
#define UNANSWERED_CALL_TIME SECONDS(60)
#define LONG_POLL_MIN MS(500) /* the gateway's probes wait less */
#define LATE_REPORT_DELAY MS(200)
#define POLL_STEP MS(10)

typedef struct {
	char *kind;
	char *name;
	json_t *spec;
	char *spec_text; /* sent in place of @spec; NULL: none */
	json_int_t revision;
	json_int_t created_revision;
	bool removed;
} stored_object_t;

struct object_store {
	address_t address;
	fake_server_t *http_server;
	GMutex lock;
	GPtrArray *objects; /* stored_object_t, sorted by kind and name */
	json_int_t revision;
	json_int_t expired_revision; /* history up to it was dropped */
	/* same, but watches that already wait are not ended */
	json_int_t expired_for_new_watches;
	uint32_t page_size;
	store_fault_t fault;
	uint64_t call_count;
	GHashTable *watch_counts; /* by kind: watches that wait now */
	GHashTable *poll_counts;  /* by kind: long polls since the start */
	GHashTable *lost_counts;  /* by kind: polls that were lost */
	GHashTable *list_counts;  /* by kind: lists that may not be old */
	GHashTable *write_counts; /* by kind: calls, refused ones included */
	GPtrArray *old_objects;	  /* stored_object_t; NULL: lists are current */
	json_int_t old_revision;
	GPtrArray *copied_objects; /* stored_object_t */
	json_int_t copied_revision;
	int era;
	bool hides_news;      /* from watches that may be old */
	const char *era_text; /* NULL: no era is stated; "": its number is */
};

static void
free_object(void *data)
{
	stored_object_t *stored = data;

	g_free(stored->kind);
	g_free(stored->name);
	json_decref(stored->spec);
	g_free(stored->spec_text);
	g_free(stored);
}

static int
compare_objects(const void *a, const void *b)
{
	const stored_object_t *left = *(stored_object_t *const *)a;
	const stored_object_t *right = *(stored_object_t *const *)b;
	int order = strcmp(left->kind, right->kind);

	return order != 0 ? order : strcmp(left->name, right->name);
}

static stored_object_t *
find_object(object_store_t *store, const char *kind, const char *name)
{
	for (guint i = 0; i < store->objects->len; i++) {
		stored_object_t *stored = store->objects->pdata[i];

		if (strcmp(stored->kind, kind) == 0 &&
		    strcmp(stored->name, name) == 0)
			return stored;
	}
	return NULL;
}

static json_t *
format_object(const stored_object_t *stored)
{
	return json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:n}", "meta", "name",
	    stored->name, "revision", stored->revision, "created_rev",
	    stored->created_revision, "finalizers", "deleting", 0, "spec",
	    stored->spec, "status");
}

static void
write_object(
    object_store_t *store, const char *kind, const char *name, json_t *spec)
{
	stored_object_t *stored = find_object(store, kind, name);

	store->revision++;
	if (stored == NULL) {
		stored = g_new0(stored_object_t, 1);
		stored->kind = g_strdup(kind);
		stored->name = g_strdup(name);
		stored->created_revision = store->revision;
		g_ptr_array_add(store->objects, stored);
		g_ptr_array_sort(store->objects, compare_objects);
	}
	json_decref(stored->spec);
	stored->spec = spec;
	stored->revision = store->revision;
	stored->removed = false;
}

/* Sends a body in which the texts of specifications stand for their objects. */
static void
reply_with_texts(object_store_t *store, fake_reply_t *reply, json_t *body)
{
	char *dumped = json_dumps(body, JSON_COMPACT);
	GString *text = g_string_new(dumped);

	for (guint i = 0; i < store->objects->len; i++) {
		const stored_object_t *stored = store->objects->pdata[i];
		char *placeholder;

		if (stored->spec_text == NULL)
			continue;
		placeholder = json_dumps(stored->spec, JSON_COMPACT);
		g_string_replace(text, placeholder, stored->spec_text, 0);
		free(placeholder);
	}
	fake_reply_text(reply, 200, text->str);
	g_string_free(text, TRUE);
	free(dumped);
	json_decref(body);
}

static void
add_to_count(GHashTable *counts, const char *kind, int change)
{
	int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, kind));

	g_hash_table_insert(
	    counts, g_strdup(kind), GINT_TO_POINTER(count + change));
}

static void
answer_list(object_store_t *store, const char *kind,
    const fake_request_t *request, fake_reply_t *reply)
{
	const char *after = fake_request_argument(request, "after");
	bool may_be_old = fake_request_argument(request, "stale_ok") != NULL;
	json_t *items = json_array();
	bool has_more = false, is_old;
	const GPtrArray *objects;

	g_mutex_lock(&store->lock);
	is_old = may_be_old && store->old_objects != NULL;
	objects = is_old ? store->old_objects : store->objects;
	if (!may_be_old)
		add_to_count(store->list_counts, kind, 1);
	for (guint i = 0; i < objects->len; i++) {
		const stored_object_t *stored = objects->pdata[i];

		if (strcmp(stored->kind, kind) != 0 || stored->removed ||
		    (after != NULL && strcmp(stored->name, after) <= 0))
			continue;
		if (json_array_size(items) == store->page_size) {
			has_more = true;
			break;
		}
		json_array_append_new(items, format_object(stored));
	}
	reply_with_texts(store, reply,
	    json_pack("{s:o,s:b,s:I}", "items", items, "has_more", has_more,
		"at_rev", is_old ? store->old_revision : store->revision));
	g_mutex_unlock(&store->lock);
}

static gint
compare_revisions(gconstpointer a, gconstpointer b)
{
	const stored_object_t *left = *(stored_object_t *const *)a;
	const stored_object_t *right = *(stored_object_t *const *)b;

	return (left->revision > right->revision) -
	    (left->revision < right->revision);
}

/*
 * Return: the events after @revision, at most MAX_EVENTS. @at_rev is set to the
 * revision up to which they are complete.
 */
static json_t *
changes_since(object_store_t *store, const char *kind, json_int_t revision,
    json_int_t *at_rev)
{
	GPtrArray *changed = g_ptr_array_new();
	json_t *events = json_array();

	for (guint i = 0; i < store->objects->len; i++) {
		stored_object_t *stored = store->objects->pdata[i];

		if (strcmp(stored->kind, kind) == 0 &&
		    stored->revision > revision)
			g_ptr_array_add(changed, stored);
	}
	g_ptr_array_sort(changed, compare_revisions);
	*at_rev = store->revision;
	for (guint i = 0; i < changed->len && i < MAX_EVENTS; i++) {
		const stored_object_t *stored = changed->pdata[i];

		if (changed->len > MAX_EVENTS)
			*at_rev = stored->revision;
		json_array_append_new(events,
		    json_pack("{s:b,s:o}", "tombstone", stored->removed,
			"object", format_object(stored)));
	}
	g_ptr_array_free(changed, TRUE);
	return events;
}

static void
answer_watch(object_store_t *store, const char *kind,
    const fake_request_t *request, fake_reply_t *reply)
{
	json_int_t revision = atoll(fake_request_argument(request, "watch"));
	const char *wait = fake_request_argument(request, "wait_ms");
	usec_t deadline =
	    clock_monotonic() + MS(wait != NULL ? atoll(wait) : 0);
	json_int_t at_rev;
	json_t *events;
	bool is_long;
	int era;

	g_mutex_lock(&store->lock);
	era = store->era;
	if (revision < store->expired_for_new_watches ||
	    revision > store->revision) {
		g_mutex_unlock(&store->lock);
		fake_reply_text(reply, 410, "{}");
		return;
	}
	if (store->hides_news &&
	    fake_request_argument(request, "stale_ok") != NULL) {
		g_mutex_unlock(&store->lock);
		fake_reply_json(reply, 200,
		    json_pack("{s:[],s:I}", "events", "at_rev", revision));
		return;
	}
	add_to_count(store->watch_counts, kind, 1);
	is_long = deadline - clock_monotonic() >= LONG_POLL_MIN;
	if (is_long)
		add_to_count(store->poll_counts, kind, 1);
	for (;;) {
		events = changes_since(store, kind, revision, &at_rev);
		if (fake_server_is_stopping(store->http_server) ||
		    store->era != era ||
		    (store->fault != STORE_HOLDING_WATCHES &&
			(revision < store->expired_revision ||
			    json_array_size(events) > 0 ||
			    clock_monotonic() >= deadline)))
			break;
		json_decref(events);
		g_mutex_unlock(&store->lock);
		fake_connection_wait(
		    request->connection, clock_monotonic() + POLL_STEP);
		g_mutex_lock(&store->lock);
	}
	add_to_count(store->watch_counts, kind, -1);
	if (store->fault == STORE_REPORTING_LATE && is_long) {
		g_mutex_unlock(&store->lock);
		fake_connection_sleep(
		    request->connection, clock_monotonic() + LATE_REPORT_DELAY);
		g_mutex_lock(&store->lock);
	}
	if (store->era != era) {
		json_decref(events);
		reply->status = 0;
	} else if (revision < store->expired_revision) {
		json_decref(events);
		fake_reply_text(reply, 410, "{}");
	} else {
		reply_with_texts(store, reply,
		    json_pack("{s:o,s:I}", "events", events, "at_rev", at_rev));
	}
	g_mutex_unlock(&store->lock);
}

static void
answer_write(object_store_t *store, const char *kind, const char *name,
    const fake_request_t *request, fake_reply_t *reply)
{
	json_t *object =
	    json_loadb(request->body.data, request->body.size, 0, NULL);
	const char *requested_name = json_string_value(
	    json_object_get(json_object_get(object, "meta"), "name"));
	bool is_create = strcmp(request->method, "POST") == 0;
	const char *target_name = is_create ? requested_name : name;

	g_mutex_lock(&store->lock);
	add_to_count(store->write_counts, kind, 1);
	if (target_name == NULL) {
		fake_reply_text(reply, 400, "{}");
	} else if (is_create !=
	    (find_object(store, kind, target_name) == NULL)) {
		fake_reply_text(reply, is_create ? 409 : 404, "{}");
	} else {
		write_object(store, kind, target_name,
		    json_incref(json_object_get(object, "spec")));
		fake_reply_json(reply, 200,
		    format_object(find_object(store, kind, target_name)));
	}
	g_mutex_unlock(&store->lock);
	json_decref(object);
}

static void
leave_unanswered(const fake_request_t *request, fake_reply_t *reply)
{
	fake_connection_sleep(
	    request->connection, clock_monotonic() + UNANSWERED_CALL_TIME);
	reply->status = 0;
}

static bool
lose_poll(
    object_store_t *store, const fake_request_t *request, fake_reply_t *reply)
{
	const char *wait = fake_request_argument(request, "wait_ms");
	const char *kind = strrchr(request->path, '/') + 1;

	if (wait == NULL || MS(atoll(wait)) < LONG_POLL_MIN)
		return false;
	g_mutex_lock(&store->lock);
	add_to_count(store->lost_counts, kind, 1);
	g_mutex_unlock(&store->lock);
	leave_unanswered(request, reply);
	return true;
}

/* Return: whether the fault has determined the response. */
static bool
apply_fault(
    object_store_t *store, const fake_request_t *request, fake_reply_t *reply)
{
	store_fault_t fault;

	g_mutex_lock(&store->lock);
	store->call_count++;
	fault = store->fault;
	g_mutex_unlock(&store->lock);
	switch (fault) {
	case STORE_SERVING:
	case STORE_HOLDING_WATCHES:
	case STORE_REPORTING_LATE:
		return false;
	case STORE_LOSING_POLLS:
		return lose_poll(store, request, reply);
	case STORE_REFUSING_EVACUATIONS:
		if (!g_str_has_suffix(request->path, "/evacuations"))
			return false;
		fake_reply_text(reply, 503, "{}");
		return true;
	case STORE_BUSY:
		fake_reply_text(reply, 503, "{}");
		return true;
	case STORE_CLOSING:
		reply->status = 0;
		return true;
	case STORE_SILENT:
		leave_unanswered(request, reply);
		return true;
	}
	return false;
}

/* Return: the era in which the call has begun. */
static int
begin_call(object_store_t *store)
{
	int era;

	g_mutex_lock(&store->lock);
	era = store->era;
	g_mutex_unlock(&store->lock);
	return era;
}

static void
state_era(object_store_t *store, int era, fake_reply_t *reply)
{
	const char *text;

	g_mutex_lock(&store->lock);
	text = store->era_text;
	g_mutex_unlock(&store->lock);
	if (text != NULL && text[0] != '\0')
		fake_reply_add_header(reply, "Store-Era", "%s", text);
	else if (text != NULL)
		fake_reply_add_header(reply, "Store-Era", "%d", era);
}

static void
answer_call(
    object_store_t *store, const fake_request_t *request, fake_reply_t *reply)
{
	char **parts = g_strsplit(request->path, "/", 4);
	guint count = g_strv_length(parts);

	if (apply_fault(store, request, reply)) {
		g_strfreev(parts);
		return;
	}
	if (count < 3 || strcmp(parts[1], "objects") != 0)
		fake_reply_text(reply, 404, "{}");
	else if (strcmp(request->method, "GET") != 0)
		answer_write(store, parts[2], count > 3 ? parts[3] : NULL,
		    request, reply);
	else if (fake_request_argument(request, "watch") != NULL)
		answer_watch(store, parts[2], request, reply);
	else
		answer_list(store, parts[2], request, reply);
	g_strfreev(parts);
}

static void
handle_request(
    void *context, const fake_request_t *request, fake_reply_t *reply)
{
	object_store_t *store = context;
	int era = begin_call(store);

	answer_call(store, request, reply);
	state_era(store, era, reply);
}

object_store_t *
object_store_create(uint32_t page_size)
{
	object_store_t *store = g_new0(object_store_t, 1);

	g_mutex_init(&store->lock);
	store->era = 1;
	store->objects = g_ptr_array_new_with_free_func(free_object);
	store->watch_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store->poll_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store->lost_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store->list_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store->write_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store->revision = 1;
	store->page_size = page_size;
	harness_find_unused_address(store->address);
	store->http_server = fake_server_create(
	    store->address, handle_request, store, MAX_BODY_BYTES, 0);
	if (!fake_server_start(store->http_server))
		fail_msg(
		    "object store stub: cannot listen on %s", store->address);
	return store;
}

void
object_store_destroy(object_store_t *store)
{
	if (store == NULL)
		return;
	object_store_set_fault(store, STORE_SERVING);
	fake_server_destroy(store->http_server);
	g_ptr_array_free(store->objects, TRUE);
	g_hash_table_destroy(store->watch_counts);
	g_hash_table_destroy(store->poll_counts);
	g_hash_table_destroy(store->lost_counts);
	g_hash_table_destroy(store->list_counts);
	g_hash_table_destroy(store->write_counts);
	if (store->old_objects != NULL)
		g_ptr_array_free(store->old_objects, TRUE);
	if (store->copied_objects != NULL)
		g_ptr_array_free(store->copied_objects, TRUE);
	g_mutex_clear(&store->lock);
	g_free(store);
}

const char *
object_store_address(const object_store_t *store)
{
	return store->address;
}

void
object_store_put(
    object_store_t *store, const char *kind, const char *name, json_t *spec)
{
	g_mutex_lock(&store->lock);
	write_object(store, kind, name, spec);
	g_mutex_unlock(&store->lock);
	fake_server_wake_all(store->http_server);
}

void
object_store_put_text(
    object_store_t *store, const char *kind, const char *name, const char *text)
{
	stored_object_t *stored;

	g_mutex_lock(&store->lock);
	write_object(store, kind, name, json_pack("{s:s}", "text_of", name));
	stored = find_object(store, kind, name);
	g_free(stored->spec_text);
	stored->spec_text = g_strdup(text);
	g_mutex_unlock(&store->lock);
	fake_server_wake_all(store->http_server);
}

bool
object_store_has(object_store_t *store, const char *kind, const char *name)
{
	const stored_object_t *stored;
	bool exists;

	g_mutex_lock(&store->lock);
	stored = find_object(store, kind, name);
	exists = stored != NULL && !stored->removed;
	g_mutex_unlock(&store->lock);
	return exists;
}

void
object_store_remove(object_store_t *store, const char *kind, const char *name)
{
	stored_object_t *stored;

	g_mutex_lock(&store->lock);
	stored = find_object(store, kind, name);
	if (stored != NULL) {
		stored->removed = true;
		stored->revision = ++store->revision;
	}
	g_mutex_unlock(&store->lock);
	fake_server_wake_all(store->http_server);
}

void
object_store_set_fault(object_store_t *store, store_fault_t fault)
{
	g_mutex_lock(&store->lock);
	store->fault = fault;
	g_mutex_unlock(&store->lock);
	fake_server_wake_all(store->http_server);
}

void
object_store_drop_history(object_store_t *store)
{
	g_mutex_lock(&store->lock);
	store->expired_for_new_watches = ++store->revision;
	g_mutex_unlock(&store->lock);
}

void
object_store_compact(object_store_t *store)
{
	g_mutex_lock(&store->lock);
	store->expired_revision = ++store->revision;
	g_mutex_unlock(&store->lock);
	fake_server_wake_all(store->http_server);
}

uint64_t
object_store_call_count(object_store_t *store)
{
	uint64_t count;

	g_mutex_lock(&store->lock);
	count = store->call_count;
	g_mutex_unlock(&store->lock);
	return count;
}

static uint32_t
read_count(object_store_t *store, GHashTable *counts, const char *kind)
{
	uint32_t count;

	g_mutex_lock(&store->lock);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, kind));
	g_mutex_unlock(&store->lock);
	return count;
}

uint32_t
object_store_watch_count(object_store_t *store, const char *kind)
{
	return read_count(store, store->watch_counts, kind);
}

static GPtrArray *
copy_objects(const GPtrArray *objects)
{
	GPtrArray *copies = g_ptr_array_new_with_free_func(free_object);

	for (guint i = 0; i < objects->len; i++) {
		const stored_object_t *stored = objects->pdata[i];
		stored_object_t *copy = g_memdup2(stored, sizeof(*stored));

		copy->kind = g_strdup(stored->kind);
		copy->name = g_strdup(stored->name);
		copy->spec_text = g_strdup(stored->spec_text);
		copy->spec = json_incref(stored->spec);
		g_ptr_array_add(copies, copy);
	}
	return copies;
}

void
object_store_freeze_old(object_store_t *store)
{
	g_mutex_lock(&store->lock);
	if (store->old_objects != NULL)
		g_ptr_array_free(store->old_objects, TRUE);
	store->old_objects = copy_objects(store->objects);
	store->old_revision = store->revision;
	g_mutex_unlock(&store->lock);
}

void
object_store_state_era(object_store_t *store, const char *text)
{
	g_mutex_lock(&store->lock);
	store->era_text = text;
	g_mutex_unlock(&store->lock);
}

void
object_store_hide_news(object_store_t *store, bool hide)
{
	g_mutex_lock(&store->lock);
	store->hides_news = hide;
	g_mutex_unlock(&store->lock);
}

void
object_store_copy(object_store_t *store)
{
	g_mutex_lock(&store->lock);
	if (store->copied_objects != NULL)
		g_ptr_array_free(store->copied_objects, TRUE);
	store->copied_objects = copy_objects(store->objects);
	store->copied_revision = store->revision;
	g_mutex_unlock(&store->lock);
}

void
object_store_begin_restore(object_store_t *store)
{
	object_store_set_fault(store, STORE_CLOSING);
	g_mutex_lock(&store->lock);
	g_ptr_array_free(store->objects, TRUE);
	store->objects = copy_objects(store->copied_objects);
	store->revision = store->copied_revision;
	store->era++;
	g_mutex_unlock(&store->lock);
	fake_server_wake_all(store->http_server);
}

void
object_store_restore(object_store_t *store, int away_ms)
{
	object_store_begin_restore(store);
	g_usleep((gulong)away_ms * 1000);
	object_store_set_fault(store, STORE_SERVING);
}

uint32_t
object_store_list_count(object_store_t *store, const char *kind)
{
	return read_count(store, store->list_counts, kind);
}

uint32_t
object_store_write_count(object_store_t *store, const char *kind)
{
	return read_count(store, store->write_counts, kind);
}

uint32_t
object_store_poll_count(object_store_t *store, const char *kind)
{
	return read_count(store, store->poll_counts, kind);
}

uint32_t
object_store_lost_polls(object_store_t *store, const char *kind)
{
	return read_count(store, store->lost_counts, kind);
}
