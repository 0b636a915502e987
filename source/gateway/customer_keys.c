#include "customer_keys.h"

#include <glib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>
#include <xxhash.h>

#include "bulrushwell/event.h"

#define SLOTS_MIN 16
#define SLOTS_PER_KEY 2 /* at least */
#define SCHEME "Bearer"
#define SCHEME_SIZE (sizeof(SCHEME) - 1)
#define DELETE 0x7f

typedef struct {
	uint32_t hash; /* its lower bits choose the first slot */
	uint32_t offset;
	uint32_t size;
	uint32_t customer;
} key_entry_t;

struct customer_keys {
	GByteArray *text;    /* the keys, one after the other */
	GArray *entries;     /* key_entry_t */
	uint32_t *slots;     /* position in entries + 1; 0: free */
	uint32_t slot_count; /* a power of 2 */
};

/* The secret of this process. */
static uint64_t
hash_seed(void)
{
	static uint64_t seed;
	static bool is_set;

	if (is_set)
		return seed;
	is_set = getrandom(&seed, sizeof(seed), 0) == sizeof(seed);
	INVARIANT(is_set, "the kernel gives no random bytes");
	is_set = true;
	return seed;
}

static uint32_t
hash_key(slice_t key)
{
	return (uint32_t)XXH3_64bits_withSeed(key.data, key.size, hash_seed());
}

customer_keys_t *
customer_keys_create(void)
{
	customer_keys_t *keys = g_new0(customer_keys_t, 1);

	keys->text = g_byte_array_new();
	keys->entries = g_array_new(FALSE, FALSE, sizeof(key_entry_t));
	keys->slot_count = SLOTS_MIN;
	keys->slots = g_new0(uint32_t, keys->slot_count);
	return keys;
}

void
customer_keys_destroy(customer_keys_t *keys)
{
	if (keys == NULL)
		return;
	g_byte_array_free(keys->text, TRUE);
	g_array_free(keys->entries, TRUE);
	g_free(keys->slots);
	g_free(keys);
}

static const key_entry_t *
entry_at(const customer_keys_t *keys, uint32_t slot)
{
	return &g_array_index(
	    keys->entries, key_entry_t, keys->slots[slot] - 1);
}

/* Takes the same time whichever bytes differ. */
static bool
is_equal(const uint8_t *a, const uint8_t *b, size_t size)
{
	volatile uint8_t difference = 0;

	for (size_t i = 0; i < size; i++)
		difference |= a[i] ^ b[i];
	return difference == 0;
}

static bool
is_key(const customer_keys_t *keys, const key_entry_t *entry, uint32_t hash,
    slice_t key)
{
	return entry->hash == hash && entry->size == key.size &&
	    is_equal(keys->text->data + entry->offset,
		(const uint8_t *)key.data, key.size);
}

/* Finds the slot of a key, or the free one where it belongs. */
static uint32_t
find_slot(
    const customer_keys_t *keys, uint32_t hash, slice_t key, uint32_t *steps)
{
	uint32_t mask = keys->slot_count - 1;
	uint32_t slot = hash & mask;

	*steps = 1;
	while (keys->slots[slot] != 0 &&
	    !is_key(keys, entry_at(keys, slot), hash, key)) {
		slot = (slot + 1) & mask;
		++*steps;
	}
	return slot;
}

static void
insert_entry(customer_keys_t *keys, uint32_t position)
{
	const key_entry_t *entry =
	    &g_array_index(keys->entries, key_entry_t, position);
	uint32_t mask = keys->slot_count - 1;
	uint32_t slot = entry->hash & mask;

	while (keys->slots[slot] != 0)
		slot = (slot + 1) & mask;
	keys->slots[slot] = position + 1;
}

static void
grow_if_half_full(customer_keys_t *keys)
{
	if ((uint64_t)(keys->entries->len + 1) * SLOTS_PER_KEY <=
	    keys->slot_count)
		return;
	g_free(keys->slots);
	keys->slot_count *= 2;
	keys->slots = g_new0(uint32_t, keys->slot_count);
	for (uint32_t i = 0; i < keys->entries->len; i++)
		insert_entry(keys, i);
}

uint32_t
customer_keys_add(customer_keys_t *keys, slice_t key, uint32_t customer)
{
	key_entry_t entry = {.hash = hash_key(key),
	    .offset = keys->text->len,
	    .size = (uint32_t)key.size,
	    .customer = customer};
	uint32_t holder;

	if (customer_keys_find(keys, key, &holder))
		return holder;
	grow_if_half_full(keys);
	g_byte_array_append(
	    keys->text, (const uint8_t *)key.data, (guint)key.size);
	g_array_append_val(keys->entries, entry);
	insert_entry(keys, keys->entries->len - 1);
	return customer;
}

bool
customer_keys_find(const customer_keys_t *keys, slice_t key, uint32_t *customer)
{
	uint32_t steps;
	uint32_t slot = find_slot(keys, hash_key(key), key, &steps);

	if (keys->slots[slot] == 0)
		return false;
	*customer = entry_at(keys, slot)->customer;
	return true;
}

uint32_t
customer_keys_count(const customer_keys_t *keys)
{
	return keys->entries->len;
}

slice_t
customer_keys_at(
    const customer_keys_t *keys, uint32_t position, uint32_t *customer)
{
	const key_entry_t *entry =
	    &g_array_index(keys->entries, key_entry_t, position);

	*customer = entry->customer;
	return (slice_t){
	    (const char *)keys->text->data + entry->offset, entry->size};
}

uint32_t
customer_keys_steps(const customer_keys_t *keys, slice_t key)
{
	uint32_t steps;

	find_slot(keys, hash_key(key), key, &steps);
	return steps;
}

uint64_t
customer_keys_memory(const customer_keys_t *keys)
{
	uint64_t text = keys->text->len;
	uint64_t entries = (uint64_t)keys->entries->len * sizeof(key_entry_t);
	uint64_t slots = (uint64_t)keys->slot_count * sizeof(uint32_t);

	return sizeof(*keys) + text + entries + slots;
}

bool
customer_key_is_valid(slice_t key)
{
	if (key.size == 0 || key.size > CUSTOMER_KEY_MAX)
		return false;
	for (size_t i = 0; i < key.size; i++)
		if (key.data[i] <= ' ' || key.data[i] >= DELETE)
			return false;
	return true;
}

bool
customer_key_read(slice_t value, slice_t *key)
{
	slice_t text = slice_trim(value);

	if (text.size <= SCHEME_SIZE || text.data[SCHEME_SIZE] != ' ' ||
	    strncasecmp(text.data, SCHEME, SCHEME_SIZE) != 0)
		return false;
	text.data += SCHEME_SIZE;
	text.size -= SCHEME_SIZE;
	while (text.size > 0 && *text.data == ' ') {
		text.data++;
		text.size--;
	}
	*key = text;
	return customer_key_is_valid(text);
}

bool
customer_name_is_valid(slice_t name)
{
	if (name.size == 0 || name.size > CUSTOMER_NAME_MAX ||
	    slice_trim(name).size != name.size)
		return false;
	for (size_t i = 0; i < name.size; i++) {
		unsigned char byte = (unsigned char)name.data[i];

		if ((byte < ' ' && byte != '\t') || byte == DELETE)
			return false;
	}
	return true;
}
