#include "bulrushwell/limiter.h"

#include <glib.h>
#include <math.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"

#define LIMIT_FLOOR 1.0

/* The limit is multiplied by this when it falls. */
#define LOWER_FACTOR 0.7

/* Signs of overload lower the limit when they are more than one in this many
 * answers. Single late shards are normal near the capacity. */
#define SIGN_SHARE 10

/* One sign among few answers says little. */
#define MIN_SIGNS 2

/* Answers after which a round without enough signs starts again. */
#define ROUND_ANSWERS 32

/* The limit rises by this much for each round of queries. Whole steps overshoot
 * where a node runs two or three queries at a time. */
#define RAISE_STEP 0.25

/* The step doubles for each of these times without a sign, up to RAISE_MAX. */
#define RAISE_SECONDS 2.0
#define RAISE_MAX 4.0

/* The limit counts as in use for this long after a query met it. */
#define IN_USE_MS 1000

/* A limit that no query met for this long ends. */
#define RELEASE_MS 5000

/* Lowering has not helped when the limit is below this part of where it began
 * (or at the floor) and the share of signs above HELPED_SHARE of that then. */
#define FUTILE_PART 0.125
#define HELPED_SHARE 0.75

/* How long a limit that did not help is not lowered again: doubled each time
 * up to the maximum. */
#define FUTILE_MS 5000
#define FUTILE_MAX_MS 60000

/* Before the first answer, and the least that a caller is told to wait. */
#define RETRY_MIN_MS 100

/* A customer with queries running. */
typedef struct {
	uint32_t running;
	uint32_t weight;
} part_t;

typedef struct {
	limiter_stats_t stats;
	GHashTable *parts;    /* customer -> part_t */
	uint64_t weights;     /* of all parts */
	uint32_t answers;     /* of queries that began after lowered_at */
	uint32_t signs;	      /* of these, with signs of overload */
	usec_t lowered_at;    /* also when a round began without lowering */
	usec_t sign_at;	      /* last sign of overload */
	usec_t met_at;	      /* a query last met the limit */
	double fall_limit;    /* where the present fall began; 0: none */
	double fall_share;    /* share of signs when it began */
	usec_t futile_until;  /* the limit does not fall before */
	usec_t futile_period; /* the next such time */
	usec_t elapsed;	      /* smoothed duration of queries */
} index_t;

struct limiter {
	GHashTable *indexes; /* name -> index_t */
};

static void
free_index(void *data)
{
	index_t *index = data;

	g_hash_table_destroy(index->parts);
	g_free(index);
}

limiter_t *
limiter_create(void)
{
	limiter_t *limiter = g_new0(limiter_t, 1);

	limiter->indexes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_index);
	return limiter;
}

void
limiter_destroy(limiter_t *limiter)
{
	if (limiter == NULL)
		return;
	g_hash_table_destroy(limiter->indexes);
	g_free(limiter);
}

static gboolean
is_idle(void *key, void *value, void *data)
{
	const index_t *index = value;

	return index->stats.running == 0;
}

/* NULL when the table is full of indexes with running queries. */
static index_t *
get_index(limiter_t *limiter, const char *name, usec_t now)
{
	index_t *index = g_hash_table_lookup(limiter->indexes, name);

	if (index != NULL)
		return index;
	if (g_hash_table_size(limiter->indexes) >= LIMITER_MAX_INDEXES)
		g_hash_table_foreach_remove(limiter->indexes, is_idle, NULL);
	if (g_hash_table_size(limiter->indexes) >= LIMITER_MAX_INDEXES)
		return NULL;
	index = g_new0(index_t, 1);
	index->parts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	index->lowered_at = now - 1;
	index->futile_until = now;
	index->futile_period = MS(FUTILE_MS);
	g_hash_table_insert(limiter->indexes, g_strdup(name), index);
	return index;
}

static bool
is_below(const index_t *index)
{
	return index->stats.limit <= 0 ||
	    index->stats.running + 1 <= index->stats.limit;
}

/* Whether a query may run although the limit is reached: its customer runs
 * fewer than its part. Customers that run nothing have no part. */
static bool
is_within_part(const index_t *index, const part_t *part, uint32_t weight)
{
	uint32_t running = part != NULL ? part->running : 0;
	uint64_t weights = index->weights + (part != NULL ? 0 : weight);
	uint64_t own = part != NULL ? part->weight : weight;
	double share = index->stats.limit * (double)own / (double)weights;

	return running + 1 <= fmax(share, 1) &&
	    index->stats.running + 1 <= 2 * index->stats.limit;
}

static void
add_running(index_t *index, const char *customer, part_t *part, uint32_t weight)
{
	if (part == NULL) {
		part = g_new0(part_t, 1);
		part->weight = weight;
		index->weights += weight;
		g_hash_table_insert(index->parts, g_strdup(customer), part);
	}
	part->running++;
	index->stats.running++;
}

static void
release_unused(index_t *index, usec_t now)
{
	if (index->stats.limit > 0 && now - index->met_at > MS(RELEASE_MS) &&
	    now - index->sign_at > MS(RELEASE_MS)) {
		index->stats.limit = 0;
		index->fall_limit = 0;
	}
}

int
limiter_admit(limiter_t *limiter, const char *name, const char *customer,
    uint32_t weight, usec_t now)
{
	index_t *index = get_index(limiter, name, now);
	part_t *part;

	if (index == NULL)
		return BW_E_FULL;
	weight = MAX(weight, 1);
	part = g_hash_table_lookup(index->parts, customer);
	release_unused(index, now);
	if (!is_below(index))
		index->met_at = now;
	if (!is_below(index) && !is_within_part(index, part, weight)) {
		index->stats.refused++;
		return BW_E_OVERLOADED;
	}
	add_running(index, customer, part, weight);
	return 0;
}

bool
limiter_may_admit(limiter_t *limiter, const char *name, const char *customer,
    uint32_t weight, usec_t now)
{
	index_t *index = g_hash_table_lookup(limiter->indexes, name);

	if (index == NULL || is_below(index))
		return true;
	index->met_at = now;
	return is_within_part(
	    index, g_hash_table_lookup(index->parts, customer), MAX(weight, 1));
}

static void
begin_round(index_t *index, usec_t now)
{
	index->answers = 0;
	index->signs = 0;
	index->lowered_at = now;
}

/* Whether the limit fell a long way and the signs stayed. */
static bool
is_futile(const index_t *index)
{
	double limit = index->stats.limit;

	return index->fall_limit > LIMIT_FLOOR &&
	    (limit <= LIMIT_FLOOR || limit < FUTILE_PART * index->fall_limit);
}

static void
restore(index_t *index, usec_t now)
{
	index->stats.limit = index->fall_limit;
	index->stats.restored++;
	index->fall_limit = 0;
	index->futile_until = now + index->futile_period;
	index->futile_period = MIN(2 * index->futile_period, MS(FUTILE_MAX_MS));
}

static void
lower(index_t *index, usec_t now)
{
	double share = (double)index->signs / index->answers;
	double *limit = &index->stats.limit;

	if (*limit <= 0)
		*limit = index->stats.running + 1; /* with the one that ended */
	if (index->fall_limit <= 0 ||
	    share < HELPED_SHARE * index->fall_share) {
		index->fall_limit = *limit;
		index->fall_share = share;
	} else if (is_futile(index)) {
		restore(index, now);
		begin_round(index, now);
		return;
	}
	*limit = fmax(LIMIT_FLOOR, *limit * LOWER_FACTOR);
	index->stats.lowered++;
	index->met_at = now;
	begin_round(index, now);
}

static void
raise_limit(index_t *index, usec_t now)
{
	double quiet = (double)(now - index->sign_at) / (double)USEC_PER_SEC;
	double step = RAISE_STEP * exp2(floor(fmin(quiet, 60) / RAISE_SECONDS));

	if (index->stats.limit <= 0 || now - index->met_at > MS(IN_USE_MS))
		return;
	index->stats.limit += fmin(step, RAISE_MAX) / index->stats.limit;
}

/* A round with few signs shows that the limit helps. */
static void
check_round(index_t *index, usec_t now)
{
	if (index->answers < ROUND_ANSWERS)
		return;
	index->fall_limit = 0;
	index->futile_period = MS(FUTILE_MS);
	begin_round(index, now);
}

static void
count_answer(index_t *index, limiter_outcome_t outcome, usec_t now)
{
	index->answers++;
	if (outcome == LIMITER_OVERLOADED) {
		index->signs++;
		index->sign_at = now;
	}
	if (index->signs >= MIN_SIGNS &&
	    index->signs * SIGN_SHARE > index->answers) {
		if (outcome == LIMITER_OVERLOADED && now >= index->futile_until)
			lower(index, now);
	} else {
		check_round(index, now);
	}
}

static void
remove_running(index_t *index, const char *customer)
{
	part_t *part = g_hash_table_lookup(index->parts, customer);

	INVARIANT(part != NULL, "a query of %s ended that was not admitted",
	    customer);
	if (part == NULL)
		return;
	index->stats.running--;
	if (--part->running > 0)
		return;
	index->weights -= part->weight;
	g_hash_table_remove(index->parts, customer);
}

void
limiter_ended(limiter_t *limiter, const char *name, const char *customer,
    limiter_outcome_t outcome, usec_t elapsed, usec_t now)
{
	index_t *index = g_hash_table_lookup(limiter->indexes, name);

	INVARIANT(index != NULL, "a query of %s ended that never began", name);
	if (index == NULL)
		return;
	remove_running(index, customer);
	if (outcome == LIMITER_OTHER)
		return;
	index->elapsed += (elapsed - index->elapsed) / 8;
	if (outcome == LIMITER_COMPLETE)
		raise_limit(index, now);
	/* Queries that began earlier ran under the former limit. */
	if (now - elapsed > index->lowered_at)
		count_answer(index, outcome, now);
}

usec_t
limiter_retry_after(const limiter_t *limiter, const char *name)
{
	const index_t *index = g_hash_table_lookup(limiter->indexes, name);

	return index != NULL ? MAX(index->elapsed, MS(RETRY_MIN_MS))
			     : MS(RETRY_MIN_MS);
}

void
limiter_get_stats(
    const limiter_t *limiter, const char *name, limiter_stats_t *stats)
{
	const index_t *index = g_hash_table_lookup(limiter->indexes, name);

	*stats = index != NULL ? index->stats : (limiter_stats_t){0};
}

void
limiter_visit(const limiter_t *limiter,
    void (*visit)(
	void *context, const char *index, const limiter_stats_t *stats),
    void *context)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, limiter->indexes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const index_t *index = value;

		visit(context, key, &index->stats);
	}
}
