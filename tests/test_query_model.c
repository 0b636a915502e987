/* Tests the fan-out of queries with random event orders. A model records the
 * replies that were delivered and checks every answer against them. Detects a
 * shard counted without its own reply, a body of another query, shard or
 * version, a second or missing FINISH, a node without its CANCEL, and a query
 * that never ends. */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "bulrushwell/query.h"
#include "lib/random.h"

#define NODES 6
#define SERVICES 8
#define SHARDS 12
#define VERSIONS 40
#define QUERY_SLOTS 8

/* The model of one query. Slots are reused; @number tells their queries apart.
 */
typedef struct {
	bool active;
	bool finished;
	uint32_t number;
	handle_t handle;
	uint64_t version; /* currently pinned */
	id128_t first_id;
	id128_t id;
	usec_t started_at;
	usec_t deadline;
	int retries;
	int dispatched;
	bool version_gone; /* a reply said that the version is gone */
	bool outstanding[NODES][SHARDS];
	bool answered[SHARDS];
} model_query_t;

typedef struct {
	uint32_t slot, number, node, shard;
	uint64_t version;
	id128_t id;
} reply_t;

typedef struct {
	random_t random;
	query_set_t *set;
	shard_map_t *maps[VERSIONS + 1];
	/* The serving node and the standby of each service; NODES: none. */
	uint32_t service_nodes[SERVICES][2];
	uint64_t current;
	model_query_t queries[QUERY_SLOTS];
	GArray *replies; /* reply_t in transit */
	usec_t now;
	uint32_t begun; /* queries */
	/* Removals of unfinished queries only. */
	uint32_t finishes, removals, retries, answered;
} model_t;

static uint32_t
random_value(model_t *model, uint32_t bound)
{
	return random_below(&model->random, bound);
}

static const char *const node_names[NODES] = {
    "n0", "n1", "n2", "n3", "n4", "n5"};

static const char *
find_node(void *context, const char *service, const char *except)
{
	const model_t *model = context;
	const uint32_t *nodes = model->service_nodes[service[1] - '0'];

	for (int i = 0; i < 2; i++)
		if (nodes[i] < NODES &&
		    (except == NULL ||
			strcmp(node_names[nodes[i]], except) != 0))
			return node_names[nodes[i]];
	return NULL;
}

static void
make_maps(model_t *model)
{
	for (int version = 1; version <= VERSIONS; version++) {
		catalogue_t *catalogue = catalogue_create();
		uint32_t count = 1 + random_value(model, SHARDS);
		GString *text = g_string_new(NULL);
		char message[200];

		g_string_printf(text,
		    "{\"index\":\"i\",\"current\":%d,\"versions\":[{\"version\""
		    ":%d,\"shards\":[",
		    version, version);
		for (uint32_t i = 0; i < count; i++)
			g_string_append_printf(text, "%s\"s%u\"",
			    i == 0 ? "" : ",", random_value(model, SERVICES));
		g_string_append(text, "]}]}");
		assert_int_equal(catalogue_adopt_index(catalogue, "i",
				     slice_from(text->str), 1, message, 200),
		    0);
		model->maps[version] =
		    shard_map_ref(catalogue_current_map(catalogue, "i"));
		g_string_free(text, TRUE);
		catalogue_destroy(catalogue);
	}
}

static bool
has_outstanding(const model_query_t *query, uint32_t node)
{
	for (uint32_t shard = 0; shard < SHARDS; shard++)
		if (query->outstanding[node][shard])
			return true;
	return false;
}

/* A SEND with a new id: the query was retried on another version. */
static void
check_retry(model_t *model, model_query_t *query, const query_action_t *action)
{
	uint64_t version = shard_map_version(action->map);

	for (uint32_t node = 0; node < NODES; node++)
		assert_false(has_outstanding(query, node));
	assert_true(query->version_gone);
	assert_true(++query->retries <= 2);
	assert_true(version > query->version);
	assert_true(model->now <=
	    query->deadline - (query->deadline - query->started_at) / 4);
	memset(query->answered, 0, sizeof(query->answered));
	query->version_gone = false;
	query->version = version;
	query->id = action->id;
	model->retries++;
}

static void
handle_send(model_t *model, model_query_t *query, const query_action_t *action)
{
	uint32_t node = (uint32_t)(action->node[1] - '0');
	uint32_t slot = (uint32_t)(query - model->queries);
	bool fails = random_value(model, 20) == 0, listed[SHARDS] = {false};

	assert_true(query->active && !query->finished);
	if (!id128_equal(action->id, query->id))
		check_retry(model, query, action);
	assert_true(model->now < query->deadline);
	for (uint32_t i = 0; i < action->shard_count; i++) {
		assert_false(listed[action->shards[i]]);
		listed[action->shards[i]] = true;
	}
	if (fails) {
		query_send_failed(
		    model->set, action->id, action->node, model->now);
		return;
	}
	query->dispatched++;
	for (uint32_t i = 0; i < action->shard_count; i++) {
		reply_t reply = {slot, query->number, node, action->shards[i],
		    query->version, action->id};

		query->outstanding[node][action->shards[i]] = true;
		g_array_append_val(model->replies, reply);
	}
}

static void
handle_finish(
    model_t *model, model_query_t *query, const query_answer_t *answer)
{
	bool seen[SHARDS] = {false};
	char body[64];

	assert_true(query->active && !query->finished);
	query->finished = true;
	model->finishes++;
	model->answered += answer->answered;
	/* Every node with outstanding shards has got a CANCEL. */
	for (uint32_t node = 0; node < NODES; node++)
		assert_false(has_outstanding(query, node));
	assert_true(id128_equal(answer->id, query->first_id));
	/* When no shard of a retry has a node, no SEND has shown the new
	 * version to the model. */
	if (answer->answered > 0 || answer->version == query->version)
		assert_int_equal(answer->version, query->version);
	else
		memset(query->answered, 0, sizeof(query->answered));
	assert_int_equal(
	    answer->total, shard_map_count(model->maps[answer->version]));
	assert_int_equal(answer->sent, query->dispatched > 0);
	for (uint32_t i = 0; i < answer->answered; i++) {
		uint32_t shard = answer->results[i].shard;

		assert_false(seen[shard]);
		seen[shard] = true;
		snprintf(body, sizeof(body), "%u/%u/%d", query->number, shard,
		    (int)answer->version);
		assert_true(
		    slice_is(body_slice(answer->results[i].body), body));
	}
	for (uint32_t i = 0; i < answer->total - answer->answered; i++) {
		assert_false(seen[answer->missing[i].shard]);
		seen[answer->missing[i].shard] = true;
	}
	for (uint32_t i = 0; i < answer->total; i++)
		assert_true(seen[i]);
	for (uint32_t i = 0; i < answer->answered; i++)
		assert_true(query->answered[answer->results[i].shard]);
	for (uint32_t i = 0; i < answer->total - answer->answered; i++)
		assert_false(query->answered[answer->missing[i].shard]);
}

static void
drain(model_t *model)
{
	query_action_t action;

	while (query_next_action(model->set, &action)) {
		model_query_t *query = query_context(model->set, action.query);

		switch (action.kind) {
		case QUERY_SEND:
			handle_send(model, query, &action);
			break;
		case QUERY_FINISH:
			handle_finish(model, query, action.answer);
			break;
		case QUERY_CANCEL:
			for (uint32_t i = 0; i < QUERY_SLOTS; i++) {
				query = &model->queries[i];
				if (!id128_equal(action.id, query->id))
					continue;
				uint32_t node =
				    (uint32_t)(action.node[1] - '0');

				/* A node gets one CANCEL of a query or retry.
				 */
				assert_true(has_outstanding(query, node));
				memset(query->outstanding[node], 0,
				    sizeof(query->outstanding[node]));
			}
			break;
		}
	}
}

static void
begin_query(model_t *model)
{
	model_query_t *query =
	    &model->queries[random_value(model, QUERY_SLOTS)];

	if (query->active)
		return;
	*query = (model_query_t){.active = true, .number = ++model->begun};
	query->first_id = (id128_t){model->begun, 1};
	query->id = query->first_id;
	query->version = model->current;
	query->started_at = model->now;
	query->deadline = model->now + MS(1 + random_value(model, 100));
	assert_int_equal(
	    query_begin(model->set, query->id, model->maps[query->version],
		query->deadline, model->now, query, &query->handle),
	    0);
}

static void
remove_query(model_t *model)
{
	model_query_t *query =
	    &model->queries[random_value(model, QUERY_SLOTS)];

	if (!query->active ||
	    (!query->finished && random_value(model, 10) != 0))
		return;
	model->removals += !query->finished;
	query_remove(model->set, query->handle);
	drain(model);
	for (uint32_t node = 0; node < NODES; node++)
		assert_false(has_outstanding(query, node));
	query->active = false;
}

static int
choose_error(model_t *model)
{
	static const int errors[] = {BW_E_TIMEOUT, BW_E_NOT_FOUND,
	    BW_E_VERSION_GONE, BW_E_VERSION_GONE, BW_E_OVERLOADED, BW_E_SUSPECT,
	    BW_E_NOT_SERVED, BW_E_STOPPING, BW_E_UPSTREAM};

	return random_value(model, 5) != 0
	    ? 0
	    : errors[random_value(model, G_N_ELEMENTS(errors))];
}

/* Sometimes gives the reply a wrong shard, version, node or query. */
static void
corrupt_reply(model_t *model, reply_t *reply)
{
	const reply_t *other = &g_array_index(
	    model->replies, reply_t, random_value(model, model->replies->len));

	switch (random_value(model, 16)) {
	case 0:
		reply->shard = random_value(model, SHARDS + 2);
		break;
	case 1:
		reply->version = 1 + random_value(model, VERSIONS);
		break;
	case 2:
		reply->node = random_value(model, NODES);
		break;
	case 3:
		reply->id = other->id;
		reply->slot = other->slot;
		reply->number = other->number;
		break;
	default:
		break;
	}
}

static bool
is_expected_reply(const model_t *model, const reply_t *reply)
{
	const model_query_t *query = &model->queries[reply->slot];

	return query->active && !query->finished &&
	    model->now < query->deadline && id128_equal(query->id, reply->id) &&
	    reply->shard < SHARDS &&
	    query->outstanding[reply->node][reply->shard] &&
	    reply->version == query->version;
}

static void
deliver(model_t *model)
{
	uint32_t position;
	reply_t reply;
	uint64_t unmatched = query_unmatched_replies(model->set);
	int error = choose_error(model);
	char text[64];
	body_t *body;
	bool matches, duplicate = false;

	if (model->replies->len == 0)
		return;
	position = random_value(model, model->replies->len);
	reply = g_array_index(model->replies, reply_t, position);
	if (random_value(model, 10) != 0) /* otherwise it is delivered again */
		g_array_remove_index_fast(model->replies, position);
	if (random_value(model, 20) == 0) /* lost */
		return;
	if (model->replies->len > 0)
		corrupt_reply(model, &reply);
	matches = is_expected_reply(model, &reply);
	if (matches) {
		model_query_t *query = &model->queries[reply.slot];

		query->outstanding[reply.node][reply.shard] = false;
		duplicate = error == 0 && query->answered[reply.shard];
		query->answered[reply.shard] |= error == 0;
		query->version_gone |= error == BW_E_VERSION_GONE;
	}
	snprintf(text, sizeof(text), "%u/%u/%d", reply.number, reply.shard,
	    (int)reply.version);
	body = body_create(text, strlen(text));
	query_reply(model->set, reply.id, node_names[reply.node], reply.shard,
	    reply.version, error, body, model->now);
	body_unref(body);
	assert_int_equal(query_unmatched_replies(model->set) - unmatched,
	    !matches || duplicate);
}

/* Sometimes delivers a reply after a deadline but before query_tick(). */
static void
advance_time(model_t *model)
{
	model->now += random_value(model, 8000);
	if (random_value(model, 2) == 0)
		deliver(model);
}

static void
run_step(model_t *model)
{
	uint32_t event = random_value(model, 100);

	if (event < 15)
		begin_query(model);
	else if (event < 75)
		deliver(model);
	else if (event < 80)
		for (uint32_t i = random_value(model, 4); i > 0; i--)
			query_peer_lost(model->set,
			    node_names[random_value(model, NODES)], model->now);
	else if (event < 83)
		model->service_nodes[random_value(model, SERVICES)]
				    [random_value(model, 2)] =
		    random_value(model, NODES + 1);
	else if (event < 85)
		query_index_changed(model->set,
		    model->maps[model->current =
				    1 + random_value(model, VERSIONS)],
		    model->now);
	else if (event < 92)
		advance_time(model);
	else
		remove_query(model);
	query_tick(model->set, model->now);
	/* Otherwise SENDs stay queued during other events. */
	if (event >= 15 || random_value(model, 2) == 0)
		drain(model);
}

static void
check_deadlines(model_t *model)
{
	query_tick(model->set, model->now);
	drain(model);
	for (uint32_t i = 0; i < QUERY_SLOTS; i++)
		assert_true(!model->queries[i].active ||
		    model->queries[i].finished ||
		    model->queries[i].deadline > model->now);
}

static void
run(uint64_t seed, uint64_t steps)
{
	model_t model = {.random = {seed}, .current = 1};
	const query_router_t router = {find_node, &model};

	model.set = query_set_create(&router);
	model.replies = g_array_new(FALSE, FALSE, sizeof(reply_t));
	make_maps(&model);
	for (uint64_t i = 0; i < steps; i++) {
		run_step(&model);
		if (i % 16 == 0)
			check_deadlines(&model);
	}
	model.now += SECONDS(1);
	check_deadlines(&model);
	for (uint32_t i = 0; i < QUERY_SLOTS; i++)
		if (model.queries[i].active)
			query_remove(model.set, model.queries[i].handle);
	assert_int_equal(query_running_count(model.set), 0);
	assert_int_equal(model.finishes + model.removals, model.begun);
	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
	/* A run without retries, results or removals would test little. */
	assert_true(model.retries > steps / 1000 &&
	    model.answered > steps / 20 && model.removals > steps / 1000);
	query_set_destroy(model.set);
	for (int version = 1; version <= VERSIONS; version++)
		shard_map_unref(model.maps[version]);
	g_array_free(model.replies, TRUE);
}

static void
random_orders_give_true_answers(void **state)
{
	uint64_t steps = environment_number("BW_STEPS", 40000);
	uint64_t seed = environment_number("BW_SEED", 0);

	for (uint64_t i = 1; i <= (seed == 0 ? 8 : 1); i++)
		run(seed == 0 ? i : seed, steps);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(random_orders_give_true_answers),
	};

	return RUN_TESTS(argc, argv, tests);
}
