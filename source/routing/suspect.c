#include "bulrushwell/suspect.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* A request is refused between crashes, so no node gets near it. */
#define MAX_CRASH_NUMBER 100000

typedef struct {
	uint64_t fingerprint;
	uint64_t crashes; /* number of the latest */
	/* Crashes on this node that are numbered 1, of requests that had lost
	 * no connection, and of such that had. */
	bool crashed_first;
	bool crashed_after_loss;
	usec_t refused_until;
	GList link; /* in by_last_crash */
} suspect_t;

struct suspect_list {
	GHashTable *by_fingerprint;
	GQueue by_last_crash; /* the one whose last crash is oldest first */
};

suspect_list_t *
suspect_list_create(void)
{
	suspect_list_t *list = g_new0(suspect_list_t, 1);

	list->by_fingerprint =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&list->by_last_crash);
	return list;
}

void
suspect_list_destroy(suspect_list_t *list)
{
	if (list == NULL)
		return;
	g_hash_table_destroy(list->by_fingerprint);
	g_free(list);
}

/* The hash of each part seeds that of the next, so that moving a byte from one
 * part to the next changes the result. */
uint64_t
suspect_fingerprint(
    const char *customer, const char *method, const char *path, slice_t body)
{
	uint64_t hash = XXH64(customer, strlen(customer), 0);

	hash = XXH64(method, strlen(method), hash);
	hash = XXH64(path, strlen(path), hash);
	return XXH64(body.data, body.size, hash);
}

static suspect_t *
find_suspect(const suspect_list_t *list, uint64_t fingerprint)
{
	return g_hash_table_lookup(list->by_fingerprint, &fingerprint);
}

static void
remove_suspect(suspect_list_t *list, suspect_t *suspect)
{
	g_queue_unlink(&list->by_last_crash, &suspect->link);
	g_hash_table_remove(list->by_fingerprint, &suspect->fingerprint);
}

static suspect_t *
add_suspect(suspect_list_t *list, uint64_t fingerprint)
{
	suspect_t *suspect = g_new0(suspect_t, 1);

	if (g_hash_table_size(list->by_fingerprint) >= SUSPECT_MAX)
		remove_suspect(list, g_queue_peek_head(&list->by_last_crash));
	suspect->fingerprint = fingerprint;
	suspect->link.data = suspect;
	g_hash_table_insert(
	    list->by_fingerprint, &suspect->fingerprint, suspect);
	g_queue_push_tail_link(&list->by_last_crash, &suspect->link);
	return suspect;
}

uint64_t
suspect_next_crash(const suspect_list_t *list, uint64_t fingerprint)
{
	const suspect_t *suspect = find_suspect(list, fingerprint);

	return suspect != NULL ? suspect->crashes + 1 : 1;
}

static suspect_t *
find_or_add_suspect(suspect_list_t *list, uint64_t fingerprint)
{
	suspect_t *suspect = find_suspect(list, fingerprint);

	return suspect != NULL ? suspect : add_suspect(list, fingerprint);
}

bool
suspect_record_crash(
    suspect_list_t *list, uint64_t fingerprint, uint64_t number, usec_t now)
{
	suspect_t *suspect = find_or_add_suspect(list, fingerprint);

	if (number == 0 || number > MAX_CRASH_NUMBER)
		number = 1;
	if (number <= suspect->crashes)
		return false;
	suspect->crashes = number;
	if (suspect->crashes >= 2)
		suspect->refused_until = now + SECONDS(SUSPECT_REFUSE_S);
	g_queue_unlink(&list->by_last_crash, &suspect->link);
	g_queue_push_tail_link(&list->by_last_crash, &suspect->link);
	return true;
}

/* The crashes may be confirmed in any order. */
static uint64_t
number_late_crash(suspect_t *suspect, const suspect_crash_t *crash)
{
	if (crash->number > 1)
		return crash->number;
	if (crash->after_loss)
		suspect->crashed_after_loss = true;
	else
		suspect->crashed_first = true;
	return suspect->crashed_first && suspect->crashed_after_loss ? 2 : 1;
}

uint64_t
suspect_record_late_crash(suspect_list_t *list, uint64_t fingerprint,
    const suspect_crash_t *crash, usec_t now)
{
	uint64_t number =
	    number_late_crash(find_or_add_suspect(list, fingerprint), crash);

	return suspect_record_crash(list, fingerprint, number, now) ? number
								    : 0;
}

void
suspect_record_answer(suspect_list_t *list, uint64_t fingerprint, usec_t now)
{
	suspect_t *suspect = find_suspect(list, fingerprint);

	if (suspect != NULL && now >= suspect->refused_until)
		remove_suspect(list, suspect);
}

suspect_verdict_t
suspect_verdict(const suspect_list_t *list, uint64_t fingerprint, usec_t now)
{
	const suspect_t *suspect = find_suspect(list, fingerprint);

	if (suspect == NULL)
		return SUSPECT_CLEAR;
	return now < suspect->refused_until ? SUSPECT_REFUSED : SUSPECT_ALONE;
}

usec_t
suspect_retry_at(const suspect_list_t *list, uint64_t fingerprint, usec_t now)
{
	const suspect_t *suspect = find_suspect(list, fingerprint);

	if (suspect == NULL || now >= suspect->refused_until)
		return 0;
	return suspect->refused_until;
}
