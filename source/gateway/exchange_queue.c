/* Exchanges and tasks that wait for a place: fan-outs until the concurrency
 * limit admits them, tasks until a server can take an attempt. */
#include <xxhash.h>

#include "bulrushwell/error.h"
#include "exchange_private.h"

/* Places the customer's priority before the route's. */
#define PRIORITY_SHIFT 32

/* A customer has the same flow at each node, of whatever version. */
static uint32_t
flow_of(const exchange_t *exchange)
{
	slice_t name = exchange->customer_name;

	return name.size == 0 ? 0 : XXH32(name.data, name.size, 0);
}

static request_demand_t
demand_of(const exchange_t *exchange, usec_t work)
{
	return (request_demand_t){
	    .priority = ((int64_t)exchange->priority << PRIORITY_SHIFT) +
		exchange->route->priority,
	    .flow = flow_of(exchange),
	    .soft_deadline = exchange->soft_deadline,
	    .deadline = exchange->deadline,
	    .work = work,
	};
}

static bool
has_customers(const exchange_t *exchange)
{
	return route_table_has_customers(exchange->table);
}

/* Replies of other exchanges are sent from the timer: the callers of this are
 * in the middle of one. */
static void
schedule_check(exchange_engine_t *engine)
{
	if (!ev_is_active(&engine->queue_check))
		ev_timer_start(engine->loop, &engine->queue_check);
}

/* Places of an upstream: its connections of this node, none of them free. */
static request_room_t
upstream_room(const upstream_t *upstream)
{
	request_room_t room = {.places = 0, .free = false};

	for (guint i = 0; i < upstream->servers->len; i++) {
		const upstream_server_t *server = upstream->servers->pdata[i];

		room.places += server->connections->len;
	}
	return room;
}

void
task_enqueue(task_t *task, usec_t now)
{
	exchange_t *exchange = task->exchange;
	upstream_t *upstream = task->upstream;
	request_room_t room = upstream_room(upstream);
	usec_t wait;

	task->entry.owner = task;
	task->entry.demand = demand_of(
	    exchange, latency_model_typical(exchange->route_state->latency));
	if (request_queue_offer(upstream->waiting, &task->entry, &room, now,
		&wait) == REQUEST_REFUSE) {
		exchange->place_wait = MAX(exchange->place_wait, wait);
		task_fail(task, "overloaded");
		return;
	}
	task->state = TASK_WAITING;
	if (!has_customers(exchange))
		return;
	g_hash_table_add(exchange->engine->displaced, upstream);
	schedule_check(exchange->engine);
}

void
task_leave_queue(task_t *task)
{
	if (task->entry.queued)
		request_queue_remove(task->upstream->waiting, &task->entry);
}

void
task_on_capacity(void *context, upstream_t *upstream)
{
	exchange_engine_t *engine = context;
	usec_t now = engine_now(engine);
	request_entry_t *entry;

	while ((entry = request_queue_next(upstream->waiting, now)) != NULL) {
		task_t *task = entry->owner;

		/* After a pause of this process its timer may not have run. */
		if (now >= task->exchange->deadline) {
			request_queue_remove(upstream->waiting, entry);
			exchange_reply_if_due(task->exchange, now);
			continue;
		}
		if (!task_try_dispatch(task, now))
			return;
		request_queue_take(upstream->waiting, entry);
		exchange_reply_if_due(task->exchange, now);
	}
}

/* Fails the tasks that more urgent ones have left without a chance. */
static void
fail_displaced_tasks(upstream_t *upstream, usec_t now)
{
	request_room_t room = upstream_room(upstream);
	request_entry_t *entry;
	usec_t wait;

	while ((entry = request_queue_hopeless(
		    upstream->waiting, &room, now, &wait)) != NULL) {
		task_t *task = entry->owner;
		exchange_t *exchange = task->exchange;

		request_queue_remove(upstream->waiting, entry);
		exchange->place_wait = MAX(exchange->place_wait, wait);
		task_fail(task, "displaced");
		exchange_reply_if_due(exchange, now);
	}
}

const char *
exchange_limiter_customer(const exchange_t *exchange)
{
	return exchange->customer != NULL ? exchange->customer->name
					  : exchange->route->name;
}

static request_queue_t *
fanout_queue(exchange_engine_t *engine, const char *key)
{
	request_queue_t *queue =
	    g_hash_table_lookup(engine->fanout_queues, key);

	if (queue == NULL) {
		queue = request_queue_create();
		g_hash_table_insert(
		    engine->fanout_queues, g_strdup(key), queue);
	}
	return queue;
}

static bool
may_run(const exchange_t *exchange, usec_t now)
{
	return limiter_may_admit(exchange->engine->limiter,
	    exchange_limiter_key(exchange), exchange_limiter_customer(exchange),
	    1, now);
}

static request_room_t
fanout_room(const exchange_t *exchange, usec_t now)
{
	limiter_stats_t stats;

	limiter_get_stats(
	    exchange->engine->limiter, exchange_limiter_key(exchange), &stats);
	return (request_room_t){
	    .places = (uint32_t)MAX(stats.limit, 1.0),
	    .free = may_run(exchange, now),
	};
}

/* The usual duration of a fan-out, from its start to its answer. */
static usec_t
usual_duration(const exchange_t *exchange)
{
	const histogram_t *times = exchange->route_state->answer_times;

	return histogram_count(times) > 0 ? histogram_quantile(times, 0.5)
					  : exchange->route->target_latency / 2;
}

static bool
run_now(exchange_t *exchange, usec_t now)
{
	exchange->admitted_at = now;
	exchange->admitted =
	    limiter_admit(exchange->engine->limiter,
		exchange_limiter_key(exchange),
		exchange_limiter_customer(exchange), 1, now) == 0;
	return exchange->admitted;
}

bool
exchange_admit(exchange_t *exchange, usec_t now, bool *refused)
{
	request_room_t room;
	request_queue_t *queue;

	*refused = false;
	/* The receiving node has admitted the query. */
	if (exchange->route->kind != ROUTE_FANOUT || exchange->is_for_peer)
		return true;
	if (!has_customers(exchange)) {
		*refused = !run_now(exchange, now);
		return !*refused;
	}
	room = fanout_room(exchange, now);
	queue = fanout_queue(exchange->engine, exchange_limiter_key(exchange));
	exchange->entry.owner = exchange;
	exchange->entry.demand = demand_of(exchange, usual_duration(exchange));
	switch (request_queue_offer(
	    queue, &exchange->entry, &room, now, &exchange->place_wait)) {
	case REQUEST_PLACE:
		*refused = !run_now(exchange, now);
		return !*refused;
	case REQUEST_WAIT:
		exchange->engine->counters.waited++;
		schedule_check(exchange->engine);
		return false;
	case REQUEST_REFUSE:
		break;
	}
	*refused = true;
	return false;
}

void
exchange_leave_queue(exchange_t *exchange)
{
	if (exchange->entry.queued)
		request_queue_remove(fanout_queue(exchange->engine,
					 exchange_limiter_key(exchange)),
		    &exchange->entry);
}

void
queues_place_freed(exchange_engine_t *engine)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, engine->fanout_queues);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (request_queue_count(value) > 0)
			schedule_check(engine);
}

/* May free the exchange. */
static void
start_waiting(exchange_t *exchange, usec_t now)
{
	exchange->starting = true;
	exchange_run_tasks(exchange, now);
	exchange->starting = false;
	exchange_reply_if_due(exchange, now);
}

static void
run_waiting(request_queue_t *queue, usec_t now)
{
	request_entry_t *entry;

	while ((entry = request_queue_next(queue, now)) != NULL) {
		exchange_t *exchange = entry->owner;

		/* While it waited, its deadline may have passed, servers may
		 * have left, or a planned stop begun. */
		if (exchange_refuse_unservable(exchange, now))
			continue;
		if (!may_run(exchange, now))
			return;
		request_queue_take(queue, entry);
		exchange->place_wait = 0;
		if (run_now(exchange, now))
			start_waiting(exchange, now);
		else
			exchange_refuse(
			    exchange, BW_E_OVERLOADED, "limit", now);
	}
}

static void
refuse_displaced(request_queue_t *queue, usec_t now)
{
	request_entry_t *entry = request_queue_next(queue, now);
	request_room_t room;
	usec_t wait;

	if (entry == NULL)
		return;
	room = fanout_room(entry->owner, now);
	while ((entry = request_queue_hopeless(queue, &room, now, &wait)) !=
	    NULL) {
		exchange_t *exchange = entry->owner;

		request_queue_remove(queue, entry);
		exchange->place_wait = wait;
		exchange->engine->counters.displaced++;
		exchange_refuse(exchange, BW_E_OVERLOADED, "displaced", now);
	}
}

static void
check_fanouts(exchange_engine_t *engine, usec_t now)
{
	GList *queues = g_hash_table_get_values(engine->fanout_queues);

	for (GList *link = queues; link != NULL; link = link->next) {
		run_waiting(link->data, now);
		refuse_displaced(link->data, now);
	}
	g_list_free(queues);
}

static void
on_queue_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	exchange_engine_t *engine = timer->data;
	usec_t now = engine_now(engine);
	GHashTableIter iter;
	void *upstream;

	while (g_hash_table_size(engine->displaced) > 0) {
		g_hash_table_iter_init(&iter, engine->displaced);
		g_hash_table_iter_next(&iter, &upstream, NULL);
		g_hash_table_iter_remove(&iter);
		fail_displaced_tasks(upstream, now);
	}
	check_fanouts(engine, now);
}

static void
destroy_queue(void *queue)
{
	request_queue_destroy(queue);
}

void
queues_create(exchange_engine_t *engine)
{
	engine->fanout_queues = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, destroy_queue);
	engine->displaced = g_hash_table_new(NULL, NULL);
	ev_timer_init(&engine->queue_check, on_queue_check, 0.0, 0.0);
	engine->queue_check.data = engine;
}

void
queues_destroy(exchange_engine_t *engine)
{
	ev_timer_stop(engine->loop, &engine->queue_check);
	g_hash_table_destroy(engine->displaced);
	g_hash_table_destroy(engine->fanout_queues);
}
