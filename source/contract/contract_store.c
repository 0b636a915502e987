#include "bulrushwell/contract_store.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "bulrushwell/error.h"

#define DIGEST_SIZE 32

/* A replaced version; requests admitted under it may run until it expires. */
typedef struct {
	usec_t expires_at;
	uint32_t deadline_ms;
} replaced_version_t;

struct contract_store {
	GHashTable *by_customer;       /* customer -> GSequenceIter */
	GSequence *sorted_by_customer; /* contracts, one reference each */
	GHashTable *by_key; /* key's digest -> GPtrArray of those in force */
	/* contracts in force, by deadline in milliseconds */
	uint32_t deadline_counts[CONTRACT_MAX_DEADLINE_MS + 1];
	uint32_t longest_deadline_ms;
	GQueue replaced_versions; /* strictly decreasing deadlines */
	uint64_t digest;	  /* see contract_store_digest() */
};

static guint
digest_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

/* Compares all bytes, so that the time does not reveal how many are equal. */
static gboolean
digest_equal(gconstpointer a, gconstpointer b)
{
	const unsigned char *left = a, *right = b;
	unsigned char difference = 0;

	for (size_t i = 0; i < DIGEST_SIZE; i++)
		difference |= left[i] ^ right[i];
	return difference == 0;
}

static void
unref_contract(void *contract)
{
	contract_unref(contract);
}

static void
unref_list(void *list)
{
	g_ptr_array_unref(list);
}

contract_store_t *
contract_store_create(void)
{
	contract_store_t *store = g_new0(contract_store_t, 1);

	store->by_customer = g_hash_table_new(g_str_hash, g_str_equal);
	store->sorted_by_customer = g_sequence_new(unref_contract);
	store->by_key = g_hash_table_new_full(
	    digest_hash, digest_equal, g_free, unref_list);
	g_queue_init(&store->replaced_versions);
	return store;
}

void
contract_store_destroy(contract_store_t *store)
{
	if (store == NULL)
		return;
	g_hash_table_destroy(store->by_customer);
	g_hash_table_destroy(store->by_key);
	g_sequence_free(store->sorted_by_customer);
	g_queue_clear_full(&store->replaced_versions, g_free);
	g_free(store);
}

static int
compare_customers(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(contract_customer(a), contract_customer(b));
}

static int
compare_list_entries(gconstpointer a, gconstpointer b)
{
	const contract_t *const *left = a, *const *right = b;

	return strcmp(contract_customer(*left), contract_customer(*right));
}

static void
index_keys(contract_store_t *store, contract_t *contract)
{
	for (size_t i = 0; i < contract_caller_count(contract); i++) {
		const unsigned char *digest =
		    contract_caller_digest(contract, i);
		GPtrArray *list = g_hash_table_lookup(store->by_key, digest);

		if (list == NULL) {
			list = g_ptr_array_new();
			g_hash_table_insert(store->by_key,
			    g_memdup2(digest, DIGEST_SIZE), list);
		}
		g_ptr_array_add(list, contract);
		g_ptr_array_sort(list, compare_list_entries);
	}
}

static void
unindex_keys(contract_store_t *store, contract_t *contract)
{
	for (size_t i = 0; i < contract_caller_count(contract); i++) {
		const unsigned char *digest =
		    contract_caller_digest(contract, i);
		GPtrArray *list = g_hash_table_lookup(store->by_key, digest);

		if (list == NULL)
			continue;
		g_ptr_array_remove(list, contract);
		if (list->len == 0)
			g_hash_table_remove(store->by_key, digest);
	}
}

/* Earlier entries whose deadline is not longer are removed: the new entry
 * expires later and covers them. At most one entry per deadline remains. */
static void
add_replaced_version(contract_store_t *store, uint32_t deadline_ms, usec_t now)
{
	replaced_version_t *last, *entry;

	while ((last = g_queue_peek_tail(&store->replaced_versions)) != NULL &&
	    last->deadline_ms <= deadline_ms)
		g_free(g_queue_pop_tail(&store->replaced_versions));
	while ((last = g_queue_peek_head(&store->replaced_versions)) != NULL &&
	    last->expires_at < now)
		g_free(g_queue_pop_head(&store->replaced_versions));
	entry = g_new0(replaced_version_t, 1);
	entry->expires_at = now + MS(CONTRACT_MAX_DEADLINE_MS);
	entry->deadline_ms = deadline_ms;
	g_queue_push_tail(&store->replaced_versions, entry);
}

static void
count_deadline(contract_store_t *store, uint32_t deadline_ms)
{
	store->deadline_counts[deadline_ms]++;
	if (deadline_ms > store->longest_deadline_ms)
		store->longest_deadline_ms = deadline_ms;
}

static void
uncount_deadline(contract_store_t *store, uint32_t deadline_ms)
{
	store->deadline_counts[deadline_ms]--;
	while (store->longest_deadline_ms > 0 &&
	    store->deadline_counts[store->longest_deadline_ms] == 0)
		store->longest_deadline_ms--;
}

static uint64_t
hash_version(const contract_t *contract)
{
	const char *customer = contract_customer(contract);

	return XXH3_64bits_withSeed(
	    customer, strlen(customer), contract_version(contract));
}

static void
add_to_indexes(contract_store_t *store, contract_t *contract)
{
	store->digest += hash_version(contract);
	if (contract_is_retired(contract))
		return;
	index_keys(store, contract);
	count_deadline(store, contract_deadline_ms(contract));
}

static void
remove_from_indexes(contract_store_t *store, contract_t *contract, usec_t now)
{
	store->digest -= hash_version(contract);
	if (contract_is_retired(contract))
		return;
	unindex_keys(store, contract);
	add_replaced_version(store, contract_deadline_ms(contract), now);
	uncount_deadline(store, contract_deadline_ms(contract));
}

static void
insert_contract(contract_store_t *store, contract_t *contract)
{
	GSequenceIter *position = g_sequence_insert_sorted(
	    store->sorted_by_customer, contract, compare_customers, NULL);

	g_hash_table_insert(
	    store->by_customer, (char *)contract_customer(contract), position);
	add_to_indexes(store, contract);
}

static void
replace_contract(contract_store_t *store, GSequenceIter *position,
    contract_t *contract, usec_t now)
{
	contract_t *old = contract_ref(g_sequence_get(position));

	remove_from_indexes(store, old, now);
	g_sequence_set(position, contract);
	/* The table borrows its key from the contract: replace the key too. */
	g_hash_table_replace(
	    store->by_customer, (char *)contract_customer(contract), position);
	add_to_indexes(store, contract);
	contract_unref(old);
}

static int
check_replacement(const contract_t *old, const contract_t *next,
    const char *customer, char *message, size_t message_size)
{
	if (strcmp(contract_customer(next), customer) != 0) {
		snprintf(message, message_size,
		    "the field 'customer' is '%s', which differs from the "
		    "object's name; give both the same name",
		    contract_customer(next));
		return BW_E_INVALID;
	}
	if (old != NULL && contract_is_retired(old) &&
	    !contract_is_retired(next)) {
		snprintf(message, message_size,
		    "the field 'state' would bring the retired contract of "
		    "'%s' back; retire it again and create a contract under "
		    "another customer name",
		    customer);
		return BW_E_INVALID;
	}
	return 0;
}

static int
check_version(const contract_store_t *store, const contract_t *old,
    uint64_t version, char *message, size_t message_size)
{
	if (version == 0) {
		snprintf(message, message_size,
		    "the version is 0; use the version of the platform "
		    "object");
		return BW_E_INVALID;
	}
	if (old != NULL && version <= contract_version(old)) {
		snprintf(message, message_size,
		    "this node already has version %llu; nothing to do",
		    (unsigned long long)contract_version(old));
		return BW_E_STALE;
	}
	if (old == NULL && contract_store_count(store) >= CONTRACT_STORE_MAX) {
		snprintf(message, message_size,
		    "this node holds %d contracts, which is its limit; "
		    "use another cell for new customers",
		    CONTRACT_STORE_MAX);
		return BW_E_FULL;
	}
	return 0;
}

int
contract_store_adopt(contract_store_t *store, const char *customer,
    slice_t text, uint64_t version, usec_t now, char *message,
    size_t message_size)
{
	GSequenceIter *position =
	    g_hash_table_lookup(store->by_customer, customer);
	contract_t *old = position != NULL ? g_sequence_get(position) : NULL;
	contract_t *next;
	int error;

	error = check_version(store, old, version, message, message_size);
	if (error == 0)
		error =
		    contract_parse(text, version, &next, message, message_size);
	if (error != 0)
		return error;
	error = check_replacement(old, next, customer, message, message_size);
	if (error != 0) {
		contract_unref(next);
		return error;
	}
	if (position != NULL)
		replace_contract(store, position, next, now);
	else
		insert_contract(store, next);
	return 0;
}

contract_t *
contract_store_find(const contract_store_t *store, const char *customer)
{
	GSequenceIter *position =
	    g_hash_table_lookup(store->by_customer, customer);

	return position != NULL ? g_sequence_get(position) : NULL;
}

static const char *
find_caller(const contract_t *contract, const unsigned char *digest)
{
	const char *name = NULL;

	for (size_t i = 0; i < contract_caller_count(contract); i++)
		if (digest_equal(contract_caller_digest(contract, i), digest))
			name = contract_caller_name(contract, i);
	return name;
}

/*
 * The hash table is keyed by the SHA-256 of the key. Callers cannot choose
 * single bytes of it, so lookup times reveal nothing about other keys. If
 * several contracts list the same key, the first by customer name is used, so
 * that all nodes choose the same one in whatever order they adopted them.
 */
contract_t *
contract_store_authenticate(
    const contract_store_t *store, slice_t key, const char **caller)
{
	unsigned char digest[DIGEST_SIZE];
	gsize size = sizeof(digest);
	GChecksum *checksum;
	GPtrArray *list;
	contract_t *contract;

	*caller = NULL;
	if (key.size == 0)
		return NULL;
	checksum = g_checksum_new(G_CHECKSUM_SHA256);
	g_checksum_update(checksum, (const guchar *)key.data, (gssize)key.size);
	g_checksum_get_digest(checksum, digest, &size);
	g_checksum_free(checksum);
	list = g_hash_table_lookup(store->by_key, digest);
	if (list == NULL)
		return NULL;
	contract = g_ptr_array_index(list, 0);
	*caller = find_caller(contract, digest);
	return contract;
}

uint64_t
contract_store_digest(const contract_store_t *store)
{
	return store->digest;
}

size_t
contract_store_count(const contract_store_t *store)
{
	return g_hash_table_size(store->by_customer);
}

contract_t *
contract_store_at(const contract_store_t *store, size_t position)
{
	if (position >= contract_store_count(store))
		return NULL;
	return g_sequence_get(g_sequence_get_iter_at_pos(
	    store->sorted_by_customer, (gint)position));
}

usec_t
contract_store_longest_deadline(const contract_store_t *store, usec_t now)
{
	uint32_t longest = store->longest_deadline_ms;

	for (GList *link = store->replaced_versions.head; link != NULL;
	     link = link->next) {
		const replaced_version_t *entry = link->data;

		if (entry->expires_at >= now && entry->deadline_ms > longest)
			longest = entry->deadline_ms;
	}
	return MS(longest);
}
