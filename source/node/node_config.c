#include "node_private.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define PULL_INTERVAL_MS 500 /* shortest time between pulls from one peer */

/* A push ends with the object whose text reaches this total; the peer gets the
 * other objects with its next pull. */
#define PUSH_MAX_BYTES 1048576

/* The newest text of an object, kept to be sent to peers. */
typedef struct {
	config_kind_t kind;
	name_t name;
	uint64_t version;
	body_t *text;
} stored_object_t;

static const struct {
	config_kind_t kind;
	const char *name;
} kind_names[] = {
    {CONFIG_CONTRACT, "contract"},
    {CONFIG_SERVICE, "service"},
    {CONFIG_INDEX, "index"},
    {CONFIG_ASSIGNMENT, "assignment"},
};

static const char *
kind_name(config_kind_t kind)
{
	return kind_names[kind - CONFIG_CONTRACT].name;
}

static void
free_object(gpointer data)
{
	stored_object_t *object = data;

	body_unref(object->text);
	g_free(object);
}

static void
free_versions(gpointer data)
{
	g_hash_table_destroy(data);
}

void
config_create(node_t *node)
{
	node->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	node->pulled_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->peer_versions = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_versions);
}

void
config_destroy(node_t *node)
{
	g_hash_table_destroy(node->objects);
	g_hash_table_destroy(node->pulled_at);
	g_hash_table_destroy(node->peer_versions);
}

static char *
object_key(config_kind_t kind, const char *name)
{
	return g_strdup_printf("%s/%s", kind_name(kind), name);
}

static uint64_t
object_digest(const stored_object_t *object)
{
	char text[2 * NAME_SIZE + 32];
	int size =
	    snprintf(text, sizeof(text), "%s/%s/%llu", kind_name(object->kind),
		object->name, (unsigned long long)object->version);

	return XXH3_64bits(text, (size_t)size);
}

static stored_object_t *
find_object(node_t *node, config_kind_t kind, const char *name)
{
	char *key = object_key(kind, name);
	stored_object_t *object = g_hash_table_lookup(node->objects, key);

	g_free(key);
	return object;
}

/* Adds an object to the configuration digest or removes it again. The digest
 * leaves the assignment out: a heartbeat states its version separately. */
static void
toggle_digest(node_t *node, const stored_object_t *object)
{
	if (object->kind != CONFIG_ASSIGNMENT)
		node->board.config_digest ^= object_digest(object);
}

static void
store_object(node_t *node, config_kind_t kind, const char *name,
    uint64_t version, slice_t text)
{
	stored_object_t *object = find_object(node, kind, name);

	if (object == NULL) {
		object = g_new0(stored_object_t, 1);
		object->kind = kind;
		g_strlcpy(object->name, name, sizeof(object->name));
		g_hash_table_insert(
		    node->objects, object_key(kind, name), object);
	} else {
		toggle_digest(node, object);
	}
	INVARIANT(version > object->version,
	    "the version of %s/%s goes from %llu to %llu", kind_name(kind),
	    name, (unsigned long long)object->version,
	    (unsigned long long)version);
	object->version = version;
	body_unref(object->text);
	object->text = body_create(text.data, text.size);
	toggle_digest(node, object);
}

static int
adopt_contract(node_t *node, const char *name, uint64_t version, slice_t text,
    char *message, size_t message_size)
{
	usec_t now = clock_monotonic();
	int error = contract_store_adopt(node->board.contracts, name, text,
	    version, now, message, message_size);

	if (error == 0)
		limits_contract_changed(node,
		    contract_store_find(node->board.contracts, name), now);
	return error;
}

static int
adopt_service(node_t *node, const char *name, uint64_t version, slice_t text,
    char *message, size_t message_size)
{
	int error = catalogue_adopt_service(
	    node->board.catalogue, name, text, version, message, message_size);

	if (error == 0)
		serve_catalogue_changed(node, name, clock_monotonic());
	return error;
}

static int
adopt_index(node_t *node, const char *name, uint64_t version, slice_t text,
    char *message, size_t message_size)
{
	int error = catalogue_adopt_index(
	    node->board.catalogue, name, text, version, message, message_size);

	if (error == 0)
		query_index_changed(node->queries,
		    catalogue_current_map(node->board.catalogue, name),
		    clock_monotonic());
	return error;
}

static int
adopt_assignment(node_t *node, const char *name, uint64_t version, slice_t text,
    char *message, size_t message_size)
{
	assignment_t *next;
	int error;

	if (strcmp(name, node->board.settings.cell) != 0)
		return BW_E_STALE; /* of another cell */
	if (node->board.assignment != NULL &&
	    version <= node->board.assignment->version)
		return BW_E_STALE;
	error = assignment_parse(text, version, &next, message, message_size);
	if (error != 0)
		return error;
	assignment_destroy(node->board.assignment);
	node->board.assignment = next;
	assign_apply_adopted(node, clock_monotonic());
	return 0;
}

static void
log_adoption(config_kind_t kind, const char *name, uint64_t version, int error,
    const char *message)
{
	unsigned long long v = version;

	switch (kind) {
	case CONFIG_CONTRACT:
		if (error == 0)
			event_log(
			    EVENT_CONTRACT_ADOPTED, "%s version %llu", name, v);
		else if (error != BW_E_STALE)
			event_log(EVENT_CONTRACT_REFUSED, "%s version %llu: %s",
			    name, v, message);
		return;
	case CONFIG_SERVICE:
	case CONFIG_INDEX:
		if (error == 0)
			event_log(EVENT_CATALOGUE_ADOPTED, "%s %s version %llu",
			    kind_name(kind), name, v);
		else if (error != BW_E_STALE)
			event_log(EVENT_CATALOGUE_REFUSED,
			    "%s %s version %llu: %s", kind_name(kind), name, v,
			    message);
		return;
	case CONFIG_ASSIGNMENT:
		if (error == 0)
			event_log(EVENT_ASSIGNMENT_ADOPTED, "version %llu", v);
		else if (error != BW_E_STALE)
			event_log(EVENT_ASSIGNMENT_REFUSED, "version %llu: %s",
			    v, message);
		return;
	}
}

int
config_adopt(node_t *node, config_kind_t kind, const char *name,
    uint64_t version, slice_t text)
{
	char message[256] = "";
	int error = BW_E_INVALID;

	switch (kind) {
	case CONFIG_CONTRACT:
		error = adopt_contract(
		    node, name, version, text, message, sizeof(message));
		break;
	case CONFIG_SERVICE:
		error = adopt_service(
		    node, name, version, text, message, sizeof(message));
		break;
	case CONFIG_INDEX:
		error = adopt_index(
		    node, name, version, text, message, sizeof(message));
		break;
	case CONFIG_ASSIGNMENT:
		error = adopt_assignment(
		    node, name, version, text, message, sizeof(message));
		break;
	}
	if (error == 0)
		store_object(node, kind, name, version, text);
	log_adoption(kind, name, version, error, message);
	return error;
}

static void
adopt_node_object(node_t *node, const platform_object_t *object)
{
	json_t *root = json_loadb(
	    object->text.data, object->text.size, JSON_REJECT_DUPLICATES, NULL);
	const char *name, *vm, *data_centre, *address;

	if (json_unpack(root, "{s:s, s:s, s:s, s:s}", "node", &name, "vm", &vm,
		"data_centre", &data_centre, "address", &address) != 0 ||
	    strcmp(name, object->name) != 0) {
		event_log(EVENT_PLATFORM_BAD_REPLY,
		    "node object %s is malformed", object->name);
	} else if (strcmp(name, node->board.settings.node) != 0) {
		membership_add(node->board.membership, name, vm, data_centre,
		    address, clock_monotonic());
	}
	json_decref(root);
}

void
config_adopt_platform_object(node_t *node, const platform_object_t *object)
{
	if (strcmp(object->kind, "node") == 0) {
		adopt_node_object(node, object);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(kind_names); i++)
		if (strcmp(object->kind, kind_names[i].name) == 0)
			config_adopt(node, kind_names[i].kind, object->name,
			    object->version, object->text);
}

static void
send_pull(node_t *node, const char *peer)
{
	message_t message = {.kind = MESSAGE_CONFIG_PULL};
	GArray *list = g_array_new(FALSE, TRUE, sizeof(config_object_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const stored_object_t *object = value;
		config_object_t item = {
		    .kind = object->kind, .version = object->version};

		g_strlcpy(item.name, object->name, sizeof(item.name));
		g_array_append_val(list, item);
	}
	message.config.object_count = list->len;
	message.config.objects = (config_object_t *)(void *)list->data;
	peer_send(node, peer, &message);
	g_array_free(list, TRUE);
}

static bool
may_pull(node_t *node, const char *peer, usec_t now)
{
	usec_t *last_pull = g_hash_table_lookup(node->pulled_at, peer);

	if (last_pull == NULL) {
		last_pull = g_new0(usec_t, 1);
		g_hash_table_insert(node->pulled_at, g_strdup(peer), last_pull);
	} else if (now - *last_pull < MS(PULL_INTERVAL_MS)) {
		return false;
	}
	*last_pull = now;
	return true;
}

void
config_compare_heartbeat(node_t *node, const heartbeat_t *heartbeat)
{
	const peer_report_t *report = &heartbeat->report;
	uint64_t own_version = node->board.assignment != NULL
	    ? node->board.assignment->version
	    : 0;

	if (heartbeat->config_digest == node->board.config_digest &&
	    report->assignment_version <= own_version) {
		if (report->state == NODE_STATE_READY)
			node->board.config_known = true;
		return;
	}
	if (may_pull(node, report->node, clock_monotonic()))
		send_pull(node, report->node);
}

static void
store_peer_versions(node_t *node, const message_t *message)
{
	GHashTable *versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (uint32_t i = 0; i < message->config.object_count; i++) {
		const config_object_t *object = &message->config.objects[i];
		uint64_t *version;

		if (object->kind != CONFIG_CONTRACT)
			continue;
		version = g_new(uint64_t, 1);
		*version = object->version;
		g_hash_table_replace(versions, g_strdup(object->name), version);
	}
	g_hash_table_replace(
	    node->peer_versions, g_strdup(message->sender), versions);
}

static GHashTable *
make_version_table(const config_list_t *config)
{
	GHashTable *object_versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (uint32_t i = 0; i < config->object_count; i++)
		g_hash_table_replace(object_versions,
		    object_key(
			config->objects[i].kind, config->objects[i].name),
		    &config->objects[i].version);
	return object_versions;
}

void
config_received_pull(node_t *node, const message_t *message)
{
	GHashTable *object_versions = make_version_table(&message->config);
	message_t push = {.kind = MESSAGE_CONFIG_PUSH};
	GArray *list = g_array_new(FALSE, TRUE, sizeof(config_object_t));
	GHashTableIter iter;
	gpointer key, value;
	size_t bytes = 0;

	store_peer_versions(node, message);
	g_hash_table_iter_init(&iter, node->objects);
	while (bytes < PUSH_MAX_BYTES &&
	    g_hash_table_iter_next(&iter, &key, &value)) {
		const stored_object_t *object = value;
		const uint64_t *version =
		    g_hash_table_lookup(object_versions, key);
		config_object_t item = {
		    .kind = object->kind, .version = object->version};

		if (version != NULL && *version >= object->version)
			continue;
		g_strlcpy(item.name, object->name, sizeof(item.name));
		item.text = body_slice(object->text);
		bytes += item.text.size;
		g_array_append_val(list, item);
	}
	push.config.object_count = list->len;
	push.config.objects = (config_object_t *)(void *)list->data;
	if (list->len > 0)
		peer_send(node, message->sender, &push);
	g_array_free(list, TRUE);
	g_hash_table_destroy(object_versions);
}

void
config_received_push(node_t *node, const message_t *message)
{
	for (uint32_t i = 0; i < message->config.object_count; i++) {
		const config_object_t *object = &message->config.objects[i];

		config_adopt(node, object->kind, object->name, object->version,
		    object->text);
	}
}

uint64_t
config_peer_version(node_t *node, const peer_t *peer, const char *customer)
{
	const contract_t *own =
	    contract_store_find(node->board.contracts, customer);
	GHashTable *versions;
	const uint64_t *version;

	if (own != NULL &&
	    peer->contracts_digest ==
		contract_store_digest(node->board.contracts))
		return contract_version(own);
	versions = g_hash_table_lookup(node->peer_versions, peer->node);
	if (versions == NULL)
		return 0;
	version = g_hash_table_lookup(versions, customer);
	return version != NULL ? *version : 0;
}
