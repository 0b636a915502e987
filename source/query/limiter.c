#include "bulrushwell/limiter.h"

#include <glib.h>
#include <math.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"

/* A limit never falls below one running query. */
#define MIN_LIMIT 1.0

/* Each decrease multiplies the limit by this factor. */
#define DECREASE_FACTOR 0.7

/* The limit is decreased when more than one answer in this many shows overload.
 * Answers are counted in windows, see index_state_t. Single late shards are
 * normal near the capacity. */
#define ANSWERS_PER_OVERLOAD 10

/* Overloaded answers that a window needs before the limit is decreased: one
 * among few answers is no evidence of overload. */
#define MIN_OVERLOADS 2

/* Answers after which a window with too few overloaded answers ends. */
#define WINDOW_ANSWERS 32

/* A complete answer raises the limit by INCREASE_STEP / limit, so the limit
 * rises by one step for each full set of running queries. Steps of 1 overshoot
 * where a node runs two or three queries at a time. */
#define INCREASE_STEP 0.25

/* The step doubles after each such time without an overloaded answer, up to
 * MAX_INCREASE_STEP. */
#define INCREASE_DOUBLING_SECONDS 2.0
#define MAX_INCREASE_STEP 4.0

/* The limit counts as in use for this long after a query reached it, and is
 * increased only then. */
#define IN_USE_MS 1000

/* The limit is removed when no query has reached it and no answer has shown
 * overload for this long. */
#define UNUSED_TIMEOUT_MS 5000

/* A series of decreases is ineffective when the limit has fallen below
 * INEFFECTIVE_LIMIT_RATIO of its baseline, or to MIN_LIMIT, while the ratio of
 * overloaded answers is still at least EFFECTIVE_OVERLOAD_RATIO of its
 * baseline. */
#define INEFFECTIVE_LIMIT_RATIO 0.125
#define EFFECTIVE_OVERLOAD_RATIO 0.75

/* How long the limit is not decreased after an ineffective series; doubled each
 * time up to the maximum. */
#define DECREASE_BLOCK_MS 5000
#define MAX_DECREASE_BLOCK_MS 60000

/* Lower bound of the retry delay, also used before the first answer. */
#define MIN_RETRY_AFTER_MS 100

/* The running queries of one customer. */
typedef struct {
	uint32_t running;
	uint32_t weight;
} customer_usage_t;

/*
 * The limit of one index. Answers are counted in windows; a window ends when
 * the limit is decreased or restored, or after WINDOW_ANSWERS answers with few
 * overloaded ones. The baseline is the limit and the overload ratio at which
 * the current series of decreases began.
 */
typedef struct {
	limiter_stats_t stats;
	GHashTable *customers;	   /* those with running queries: name ->
				      customer_usage_t */
	uint64_t total_weight;	   /* of @customers */
	uint32_t window_answers;   /* of queries admitted in this window */
	uint32_t window_overloads; /* of these, the overloaded ones */
	usec_t window_started_at;
	usec_t last_overload_at;
	usec_t limit_reached_at; /* when a query last found the limit reached,
				    or the limit was last decreased */
	double baseline_limit;	 /* 0: no series of decreases */
	double baseline_overload_ratio;
	usec_t decrease_blocked_until;
	usec_t decrease_block_time; /* length of the next block */
	usec_t average_duration;    /* of queries, exponentially smoothed */
} index_state_t;

struct limiter {
	GHashTable *indexes; /* name -> index_state_t */
};

static void
free_index(void *data)
{
	index_state_t *index = data;

	g_hash_table_destroy(index->customers);
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
	const index_state_t *index = value;

	return index->stats.running == 0;
}

/* Finds an index or adds it, dropping idle indexes when the table is full.
 * Return: NULL when every index has running queries. */
static index_state_t *
get_index(limiter_t *limiter, const char *name, usec_t now)
{
	index_state_t *index = g_hash_table_lookup(limiter->indexes, name);

	if (index != NULL)
		return index;
	if (g_hash_table_size(limiter->indexes) >= LIMITER_MAX_INDEXES)
		g_hash_table_foreach_remove(limiter->indexes, is_idle, NULL);
	if (g_hash_table_size(limiter->indexes) >= LIMITER_MAX_INDEXES)
		return NULL;
	index = g_new0(index_state_t, 1);
	index->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* A query that is admitted now counts in the first window. */
	index->window_started_at = now - 1;
	index->decrease_blocked_until = now;
	index->decrease_block_time = MS(DECREASE_BLOCK_MS);
	g_hash_table_insert(limiter->indexes, g_strdup(name), index);
	return index;
}

static bool
is_below_limit(const index_state_t *index)
{
	return index->stats.limit <= 0 ||
	    index->stats.running + 1 <= index->stats.limit;
}

/* Whether a query may run although the limit is reached: its customer has fewer
 * queries running than its share of the limit (at least one), by weight among
 * the customers with running queries, and all have fewer than twice the limit.
 */
static bool
is_within_share(
    const index_state_t *index, const customer_usage_t *usage, uint32_t weight)
{
	uint32_t running = usage != NULL ? usage->running : 0;
	uint64_t total_weight =
	    index->total_weight + (usage != NULL ? 0 : weight);
	uint64_t own_weight = usage != NULL ? usage->weight : weight;
	double share =
	    index->stats.limit * (double)own_weight / (double)total_weight;

	return running + 1 <= fmax(share, 1) &&
	    index->stats.running + 1 <= 2 * index->stats.limit;
}

static void
add_running(index_state_t *index, const char *customer, customer_usage_t *usage,
    uint32_t weight)
{
	if (usage == NULL) {
		usage = g_new0(customer_usage_t, 1);
		usage->weight = weight;
		index->total_weight += weight;
		g_hash_table_insert(
		    index->customers, g_strdup(customer), usage);
	}
	usage->running++;
	index->stats.running++;
}

static void
remove_unused_limit(index_state_t *index, usec_t now)
{
	if (index->stats.limit > 0 &&
	    now - index->limit_reached_at > MS(UNUSED_TIMEOUT_MS) &&
	    now - index->last_overload_at > MS(UNUSED_TIMEOUT_MS)) {
		index->stats.limit = 0;
		index->baseline_limit = 0;
	}
}

int
limiter_admit(limiter_t *limiter, const char *name, const char *customer,
    uint32_t weight, usec_t now)
{
	index_state_t *index = get_index(limiter, name, now);
	customer_usage_t *usage;

	if (index == NULL)
		return BW_E_FULL;
	weight = MAX(weight, 1);
	usage = g_hash_table_lookup(index->customers, customer);
	remove_unused_limit(index, now);
	if (!is_below_limit(index))
		index->limit_reached_at = now;
	if (!is_below_limit(index) && !is_within_share(index, usage, weight)) {
		index->stats.refused++;
		return BW_E_OVERLOADED;
	}
	add_running(index, customer, usage, weight);
	return 0;
}

bool
limiter_may_admit(limiter_t *limiter, const char *name, const char *customer,
    uint32_t weight, usec_t now)
{
	index_state_t *index = g_hash_table_lookup(limiter->indexes, name);

	if (index == NULL || is_below_limit(index))
		return true;
	index->limit_reached_at = now;
	return is_within_share(index,
	    g_hash_table_lookup(index->customers, customer), MAX(weight, 1));
}

static void
start_window(index_state_t *index, usec_t now)
{
	index->window_answers = 0;
	index->window_overloads = 0;
	index->window_started_at = now;
}

/* Whether the limit has fallen far below its baseline. The caller has checked
 * that the overload ratio has not (see EFFECTIVE_OVERLOAD_RATIO). */
static bool
is_decrease_ineffective(const index_state_t *index)
{
	double limit = index->stats.limit;

	return index->baseline_limit > MIN_LIMIT &&
	    (limit <= MIN_LIMIT ||
		limit < INEFFECTIVE_LIMIT_RATIO * index->baseline_limit);
}

static void
restore_baseline(index_state_t *index, usec_t now)
{
	index->stats.limit = index->baseline_limit;
	index->stats.restored++;
	index->baseline_limit = 0;
	index->decrease_blocked_until = now + index->decrease_block_time;
	index->decrease_block_time =
	    MIN(2 * index->decrease_block_time, MS(MAX_DECREASE_BLOCK_MS));
}

static void
decrease_limit(index_state_t *index, usec_t now)
{
	double overload_ratio =
	    (double)index->window_overloads / index->window_answers;
	double *limit = &index->stats.limit;

	/* The first limit counts the query that just ended as well. */
	if (*limit <= 0)
		*limit = index->stats.running + 1;
	if (index->baseline_limit <= 0 ||
	    overload_ratio <
		EFFECTIVE_OVERLOAD_RATIO * index->baseline_overload_ratio) {
		index->baseline_limit = *limit;
		index->baseline_overload_ratio = overload_ratio;
	} else if (is_decrease_ineffective(index)) {
		restore_baseline(index, now);
		start_window(index, now);
		return;
	}
	*limit = fmax(MIN_LIMIT, *limit * DECREASE_FACTOR);
	index->stats.lowered++;
	index->limit_reached_at = now;
	start_window(index, now);
}

static void
increase_limit(index_state_t *index, usec_t now)
{
	double seconds_without_overload =
	    (double)(now - index->last_overload_at) / (double)USEC_PER_SEC;
	double step = INCREASE_STEP *
	    exp2(floor(fmin(seconds_without_overload, 60) /
		INCREASE_DOUBLING_SECONDS));

	if (index->stats.limit <= 0 ||
	    now - index->limit_reached_at > MS(IN_USE_MS))
		return;
	index->stats.limit +=
	    fmin(step, MAX_INCREASE_STEP) / index->stats.limit;
}

/* Ends a full window. Its few overloaded answers show that the limit works, so
 * the baseline and the block time are reset. */
static void
end_full_window(index_state_t *index, usec_t now)
{
	if (index->window_answers < WINDOW_ANSWERS)
		return;
	index->baseline_limit = 0;
	index->decrease_block_time = MS(DECREASE_BLOCK_MS);
	start_window(index, now);
}

static void
record_answer(index_state_t *index, limiter_outcome_t outcome, usec_t now)
{
	index->window_answers++;
	if (outcome == LIMITER_OVERLOADED) {
		index->window_overloads++;
		index->last_overload_at = now;
	}
	if (index->window_overloads >= MIN_OVERLOADS &&
	    index->window_overloads * ANSWERS_PER_OVERLOAD >
		index->window_answers) {
		if (outcome == LIMITER_OVERLOADED &&
		    now >= index->decrease_blocked_until)
			decrease_limit(index, now);
	} else {
		end_full_window(index, now);
	}
}

static void
remove_running(index_state_t *index, const char *customer)
{
	customer_usage_t *usage =
	    g_hash_table_lookup(index->customers, customer);

	INVARIANT(usage != NULL, "customer %s has no running query to release",
	    customer);
	if (usage == NULL)
		return;
	index->stats.running--;
	if (--usage->running > 0)
		return;
	index->total_weight -= usage->weight;
	g_hash_table_remove(index->customers, customer);
}

void
limiter_release(limiter_t *limiter, const char *name, const char *customer,
    limiter_outcome_t outcome, usec_t elapsed, usec_t now)
{
	index_state_t *index = g_hash_table_lookup(limiter->indexes, name);

	INVARIANT(
	    index != NULL, "index %s has no running query to release", name);
	if (index == NULL)
		return;
	remove_running(index, customer);
	if (outcome == LIMITER_OTHER)
		return;
	index->average_duration += (elapsed - index->average_duration) / 8;
	if (outcome == LIMITER_COMPLETE)
		increase_limit(index, now);
	/* Queries that began earlier ran under the previous limit. */
	if (now - elapsed > index->window_started_at)
		record_answer(index, outcome, now);
}

usec_t
limiter_retry_after(const limiter_t *limiter, const char *name)
{
	const index_state_t *index =
	    g_hash_table_lookup(limiter->indexes, name);

	return index != NULL
	    ? MAX(index->average_duration, MS(MIN_RETRY_AFTER_MS))
	    : MS(MIN_RETRY_AFTER_MS);
}

void
limiter_get_stats(
    const limiter_t *limiter, const char *name, limiter_stats_t *stats)
{
	const index_state_t *index =
	    g_hash_table_lookup(limiter->indexes, name);

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
		const index_state_t *index = value;

		visit(context, key, &index->stats);
	}
}
