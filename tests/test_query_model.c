/* Guards the query coordinator under random event orders: a model that knows
 * what was really replied checks every answer. It fails on a shard counted
 * without its own reply, a body of another caller, shard or version, a second
 * or missing FINISH, a node that is not told of the end, a query left behind.
 */
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
#define CALLERS 8

/* One query as its caller sees it; a slot is reused by later callers. */
typedef struct {
	bool live;
	bool finished;
	uint32_t number; /* of the caller */
	handle_t query;
	uint64_t version; /* pinned now */
	id128_t first;
	id128_t id;
	usec_t begun;
	usec_t deadline;
	int retries;
	int handed;
	bool gone; /* a shard said that the version is gone */
	bool owed[NODES][SHARDS];
	bool answered[SHARDS];
} caller_t;

typedef struct {
	uint32_t slot, number, node, shard;
	uint64_t version;
	id128_t id;
} message_t;

typedef struct {
	random_t random;
	query_set_t *set;
	shard_map_t *maps[VERSIONS + 1];
	uint32_t homes[SERVICES][2]; /* serving node and standby */
	uint64_t current;
	caller_t callers[CALLERS];
	GArray *messages; /* message_t on their way */
	usec_t now;
	uint32_t begun;
	uint32_t finishes, removals, retries, answered;
} model_t;

static uint32_t
below(model_t *model, uint32_t bound)
{
	return random_below(&model->random, bound);
}

static const char *const node_names[NODES] = {
    "n0", "n1", "n2", "n3", "n4", "n5"};

static const char *
find_node(void *context, const char *service, const char *except)
{
	const model_t *model = context;
	const uint32_t *homes = model->homes[service[1] - '0'];

	for (int i = 0; i < 2; i++)
		if (homes[i] < NODES &&
		    (except == NULL ||
			strcmp(node_names[homes[i]], except) != 0))
			return node_names[homes[i]];
	return NULL;
}

static void
make_maps(model_t *model)
{
	for (int version = 1; version <= VERSIONS; version++) {
		catalogue_t *catalogue = catalogue_create();
		uint32_t count = 1 + below(model, SHARDS);
		GString *text = g_string_new(NULL);
		char why[200];

		g_string_printf(text,
		    "{\"index\":\"i\",\"current\":%d,\"versions\":[{\"version\""
		    ":%d,\"shards\":[",
		    version, version);
		for (uint32_t i = 0; i < count; i++)
			g_string_append_printf(text, "%s\"s%u\"",
			    i == 0 ? "" : ",", below(model, SERVICES));
		g_string_append(text, "]}]}");
		assert_int_equal(catalogue_adopt_index(catalogue, "i",
				     slice_from(text->str), 1, why, 200),
		    0);
		model->maps[version] =
		    shard_map_keep(catalogue_pin(catalogue, "i"));
		g_string_free(text, TRUE);
		catalogue_destroy(catalogue);
	}
}

static bool
owes(const caller_t *caller, uint32_t node)
{
	for (uint32_t shard = 0; shard < SHARDS; shard++)
		if (caller->owed[node][shard])
			return true;
	return false;
}

/* The id changed: the query was retried on another version. */
static void
check_retry(model_t *model, caller_t *caller, const query_action_t *action)
{
	uint64_t version = shard_map_version(action->map);

	for (uint32_t node = 0; node < NODES; node++)
		assert_false(owes(caller, node));
	assert_true(caller->gone);
	assert_true(++caller->retries <= 2);
	assert_true(version > caller->version);
	assert_true(model->now <=
	    caller->deadline - (caller->deadline - caller->begun) / 4);
	memset(caller->answered, 0, sizeof(caller->answered));
	caller->gone = false;
	caller->version = version;
	caller->id = action->id;
	model->retries++;
}

static void
take_send(model_t *model, caller_t *caller, const query_action_t *action)
{
	uint32_t node = (uint32_t)(action->node[1] - '0');
	uint32_t slot = (uint32_t)(caller - model->callers);
	bool fails = below(model, 20) == 0, listed[SHARDS] = {false};

	assert_true(caller->live && !caller->finished);
	if (!id128_equal(action->id, caller->id))
		check_retry(model, caller, action);
	assert_true(model->now < caller->deadline);
	for (uint32_t i = 0; i < action->shard_count; i++) {
		assert_false(listed[action->shards[i]]);
		listed[action->shards[i]] = true;
	}
	if (fails) {
		query_send_failed(
		    model->set, action->id, action->node, model->now);
		return;
	}
	caller->handed++;
	for (uint32_t i = 0; i < action->shard_count; i++) {
		message_t message = {slot, caller->number, node,
		    action->shards[i], caller->version, action->id};

		caller->owed[node][action->shards[i]] = true;
		g_array_append_val(model->messages, message);
	}
}

static void
take_finish(model_t *model, caller_t *caller, const query_answer_t *answer)
{
	bool seen[SHARDS] = {false};
	char body[64];

	assert_true(caller->live && !caller->finished);
	caller->finished = true;
	model->finishes++;
	model->answered += answer->answered;
	for (uint32_t node = 0; node < NODES; node++)
		assert_false(owes(caller, node)); /* all were told */
	assert_true(id128_equal(answer->id, caller->first));
	/* Every shard of a retry may be without a node, so that no SEND shows
	 * the new version. */
	if (answer->answered > 0 || answer->version == caller->version)
		assert_int_equal(answer->version, caller->version);
	else
		memset(caller->answered, 0, sizeof(caller->answered));
	assert_int_equal(
	    answer->total, shard_map_count(model->maps[answer->version]));
	assert_int_equal(answer->sent, caller->handed > 0);
	for (uint32_t i = 0; i < answer->answered; i++) {
		uint32_t shard = answer->results[i].shard;

		assert_false(seen[shard]);
		seen[shard] = true;
		snprintf(body, sizeof(body), "%u/%u/%d", caller->number, shard,
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
		assert_true(caller->answered[answer->results[i].shard]);
	for (uint32_t i = 0; i < answer->total - answer->answered; i++)
		assert_false(caller->answered[answer->missing[i].shard]);
}

static void
drain(model_t *model)
{
	query_action_t action;

	while (query_next_action(model->set, &action)) {
		caller_t *caller = query_context(model->set, action.query);

		switch (action.kind) {
		case QUERY_SEND:
			take_send(model, caller, &action);
			break;
		case QUERY_FINISH:
			take_finish(model, caller, action.answer);
			break;
		case QUERY_CANCEL:
			for (uint32_t i = 0; i < CALLERS; i++) {
				caller = &model->callers[i];
				if (!id128_equal(action.id, caller->id))
					continue;
				uint32_t node =
				    (uint32_t)(action.node[1] - '0');

				assert_true(owes(caller, node)); /* once */
				memset(caller->owed[node], 0,
				    sizeof(caller->owed[node]));
			}
			break;
		}
	}
}

static void
begin_query(model_t *model)
{
	caller_t *caller = &model->callers[below(model, CALLERS)];

	if (caller->live)
		return;
	*caller = (caller_t){.live = true, .number = ++model->begun};
	caller->first = (id128_t){model->begun, 1};
	caller->id = caller->first;
	caller->version = model->current;
	caller->begun = model->now;
	caller->deadline = model->now + MS(1 + below(model, 100));
	assert_int_equal(
	    query_begin(model->set, caller->id, model->maps[caller->version],
		caller->deadline, model->now, caller, &caller->query),
	    0);
}

static void
remove_query(model_t *model)
{
	caller_t *caller = &model->callers[below(model, CALLERS)];

	if (!caller->live || (!caller->finished && below(model, 10) != 0))
		return;
	model->removals += !caller->finished;
	query_remove(model->set, caller->query);
	drain(model);
	for (uint32_t node = 0; node < NODES; node++)
		assert_false(owes(caller, node));
	caller->live = false;
}

static int
choose_error(model_t *model)
{
	static const int errors[] = {BW_E_TIMEOUT, BW_E_NOT_FOUND,
	    BW_E_VERSION_GONE, BW_E_VERSION_GONE, BW_E_OVERLOADED, BW_E_SUSPECT,
	    BW_E_NOT_SERVED, BW_E_STOPPING, BW_E_UPSTREAM};

	return below(model, 5) != 0
	    ? 0
	    : errors[below(model, G_N_ELEMENTS(errors))];
}

/* Makes the message crossed, misdirected or of another version. */
static void
spoil(model_t *model, message_t *message)
{
	const message_t *other = &g_array_index(
	    model->messages, message_t, below(model, model->messages->len));

	switch (below(model, 16)) {
	case 0:
		message->shard = below(model, SHARDS + 2);
		break;
	case 1:
		message->version = 1 + below(model, VERSIONS);
		break;
	case 2:
		message->node = below(model, NODES);
		break;
	case 3:
		message->id = other->id;
		message->slot = other->slot;
		message->number = other->number;
		break;
	default:
		break;
	}
}

static bool
is_true_reply(const model_t *model, const message_t *message)
{
	const caller_t *caller = &model->callers[message->slot];

	return caller->live && !caller->finished &&
	    model->now < caller->deadline &&
	    id128_equal(caller->id, message->id) && message->shard < SHARDS &&
	    caller->owed[message->node][message->shard] &&
	    message->version == caller->version;
}

static void
deliver(model_t *model)
{
	uint32_t position;
	message_t message;
	uint64_t unmatched = query_unmatched(model->set);
	int error = choose_error(model);
	char text[64];
	body_t *body;
	bool matches, again = false;

	if (model->messages->len == 0)
		return;
	position = below(model, model->messages->len);
	message = g_array_index(model->messages, message_t, position);
	if (below(model, 10) != 0) /* otherwise it comes again */
		g_array_remove_index_fast(model->messages, position);
	if (below(model, 20) == 0) /* lost */
		return;
	if (model->messages->len > 0)
		spoil(model, &message);
	matches = is_true_reply(model, &message);
	if (matches) {
		caller_t *caller = &model->callers[message.slot];

		caller->owed[message.node][message.shard] = false;
		again = error == 0 && caller->answered[message.shard];
		caller->answered[message.shard] |= error == 0;
		caller->gone |= error == BW_E_VERSION_GONE;
	}
	snprintf(text, sizeof(text), "%u/%u/%d", message.number, message.shard,
	    (int)message.version);
	body = body_create(text, strlen(text));
	query_reply(model->set, message.id, node_names[message.node],
	    message.shard, message.version, error, body, model->now);
	body_drop(body);
	assert_int_equal(
	    query_unmatched(model->set) - unmatched, !matches || again);
}

/* A reply may come after a deadline and before the tick that is due. */
static void
advance(model_t *model)
{
	model->now += below(model, 8000);
	if (below(model, 2) == 0)
		deliver(model);
}

static void
step(model_t *model)
{
	uint32_t dice = below(model, 100);

	if (dice < 15)
		begin_query(model);
	else if (dice < 75)
		deliver(model);
	else if (dice < 80)
		for (uint32_t i = below(model, 4); i > 0; i--)
			query_peer_lost(model->set,
			    node_names[below(model, NODES)], model->now);
	else if (dice < 83)
		model->homes[below(model, SERVICES)][below(model, 2)] =
		    below(model, NODES + 1);
	else if (dice < 85)
		query_index_changed(model->set,
		    model->maps[model->current = 1 + below(model, VERSIONS)],
		    model->now);
	else if (dice < 92)
		advance(model);
	else
		remove_query(model);
	query_tick(model->set, model->now);
	if (dice >= 15 || below(model, 2) == 0)
		drain(model); /* otherwise the SENDs wait for other events */
}

static void
check_due(model_t *model)
{
	query_tick(model->set, model->now);
	drain(model);
	for (uint32_t i = 0; i < CALLERS; i++)
		assert_true(!model->callers[i].live ||
		    model->callers[i].finished ||
		    model->callers[i].deadline > model->now);
}

static void
run(uint64_t seed, uint64_t steps)
{
	model_t model = {.random = {seed}, .current = 1};
	const query_router_t router = {find_node, &model};

	model.set = query_set_create(&router);
	model.messages = g_array_new(FALSE, FALSE, sizeof(message_t));
	make_maps(&model);
	for (uint64_t i = 0; i < steps; i++) {
		step(&model);
		if (i % 16 == 0)
			check_due(&model);
	}
	model.now += SECONDS(1);
	check_due(&model);
	for (uint32_t i = 0; i < CALLERS; i++)
		if (model.callers[i].live)
			query_remove(model.set, model.callers[i].query);
	assert_int_equal(query_running(model.set), 0);
	assert_int_equal(model.finishes + model.removals, model.begun);
	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
	/* Orders in which nothing happens would prove nothing. */
	assert_true(model.retries > steps / 1000 &&
	    model.answered > steps / 20 && model.removals > steps / 1000);
	query_set_destroy(model.set);
	for (int version = 1; version <= VERSIONS; version++)
		shard_map_drop(model.maps[version]);
	g_array_free(model.messages, TRUE);
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
