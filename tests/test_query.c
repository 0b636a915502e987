/* Tests the fan-out of queries with fixed event sequences. Detects a shard that
 * is counted without its own reply, a lost or repeated FINISH, shards that are
 * not sent again when a node is lost, results of two versions in one answer,
 * and nodes that are not told to stop a query that has ended. */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/query.h"

#define MAX_STEPS 16

/* The nodes of each service in order of preference; a service name is one
 * letter. */
static const char *const service_nodes[26][3] = {
    ['a' - 'a'] = {"n1", "n2"},
    ['b' - 'a'] = {"n2", "n3"},
    ['c' - 'a'] = {"n3"},
};

typedef struct {
	enum {
		END,
		REPLY,
		SEND_FAILED, /* the last SEND to the node failed */
		PEER_LOST,
		ROUTE_LOST, /* the router no longer returns the node */
		NEW_VERSION,
		TICK, /* query_tick() at @number ms */
		REMOVE
	} op;
	const char *node;
	int number; /* shard or ms */
	int error;
	uint64_t version;
	enum { CURRENT_ID, FIRST_ID, OTHER_ID } id;
} step_t;

#define OK(n, shard)                              \
	{                                         \
		REPLY, n, shard, 0, 0, CURRENT_ID \
	}
#define ERROR(n, shard, error)                        \
	{                                             \
		REPLY, n, shard, error, 0, CURRENT_ID \
	}

/* In the trace, "n1<01" is a SEND of shards 0 and 1 to n1, "n1!" a CANCEL, and
 * "=7:At" the answer of version 7 in which shard 0 has a result and shard 1
 * timed out. "~" follows when nothing was sent. Reasons are the first letter of
 * their text, but "g" for version_gone and "s" for no_server. */
typedef struct {
	const char *name;
	const char *services; /* one letter for each shard */
	step_t steps[MAX_STEPS];
	const char *trace;
	int unmatched; /* expected query_unmatched_replies() */
} case_t;

static const case_t cases[] = {
    {"all answer", "aab", {OK("n1", 0), OK("n2", 2), OK("n1", 1)},
	"n1<01 n2<2 =7:AAA ", 0},
    {"deadline", "aab", {OK("n1", 0), {TICK, .number = 100}},
	"n1<01 n2<2 n1! n2! =7:Att ", 0},
    {"nothing after the end", "a",
	{OK("n1", 0), OK("n1", 0), {TICK, .number = 100},
	    {PEER_LOST, .node = "n1"}},
	"n1<0 =7:A ", 1},
    {"late reply", "a", {{TICK, .number = 100}, OK("n1", 0)}, "n1<0 n1! =7:t ",
	1},
    {"wrong version, shard, node or id", "ab",
	{{REPLY, .node = "n1", .version = 6}, OK("n1", 1), OK("n1", 9),
	    OK("n9", 0), OK("n2", 0), {REPLY, "n1", 0, 0, 7, OTHER_ID},
	    OK("n1", 0), OK("n1", 0), OK("n2", 1)},
	"n1<0 n2<1 =7:AA ", 7},
    {"errors", "aaaaaaa",
	{ERROR("n1", 0, BW_E_TIMEOUT), ERROR("n1", 1, BW_E_NOT_FOUND),
	    ERROR("n1", 2, BW_E_OVERLOADED), ERROR("n1", 3, BW_E_SUSPECT),
	    ERROR("n1", 4, BW_E_UPSTREAM), ERROR("n1", 5, BW_E_PROTOCOL),
	    ERROR("n1", 6, BW_E_FULL)},
	"n1<0123456 =7:tsrcffr ", 0},
    {"send failed", "aa",
	{{SEND_FAILED, .node = "n1"}, OK("n2", 0), OK("n2", 1)},
	"n1<01 n2<01 =7:AA ", 0},
    {"send failed, no other node", "c", {{SEND_FAILED, .node = "n3"}},
	"n3<0 =7:n~ ", 0},
    {"sends alternate at most four times", "a",
	{{SEND_FAILED, .node = "n1"}, {SEND_FAILED, .node = "n2"},
	    {SEND_FAILED, .node = "n1"}, {SEND_FAILED, .node = "n2"}},
	"n1<0 n2<0 n1<0 n2<0 =7:n~ ", 0},
    {"only the last send failed", "ab",
	{{ROUTE_LOST, .node = "n1"}, {PEER_LOST, .node = "n1"},
	    {SEND_FAILED, .node = "n2"}, OK("n2", 1), OK("n1", 0)},
	"n1<0 n2<1 n2<0 n1! =7:nA ", 1},
    {"send failed at the deadline", "a",
	{{TICK, .number = 99}, {SEND_FAILED, .node = "n1", .number = 100}},
	"n1<0 n1! =7:t ", 0},
    {"node lost", "aab",
	{OK("n1", 0), {ROUTE_LOST, .node = "n1"}, {PEER_LOST, .node = "n1"},
	    OK("n2", 1), OK("n2", 2)},
	"n1<01 n2<2 n2<1 n1! =7:AAA ", 0},
    {"lost node replies later", "ab",
	{{PEER_LOST, .node = "n1"}, OK("n1", 0), OK("n2", 0), OK("n2", 1)},
	"n1<0 n2<1 n2<0 =7:AA ", 1},
    {"node lost, no other node", "ca", {{PEER_LOST, .node = "n3"}, OK("n1", 1)},
	"n3<0 n1<1 n3! =7:nA ", 0},
    {"error of a node whose shard was moved", "a",
	{{PEER_LOST, .node = "n1"}, ERROR("n1", 0, BW_E_UPSTREAM), OK("n2", 0)},
	"n1<0 n2<0 =7:A ", 0},
    {"node no longer serves", "aa",
	{ERROR("n1", 0, BW_E_NOT_SERVED), ERROR("n1", 1, BW_E_STOPPING),
	    OK("n2", 0), OK("n2", 1)},
	"n1<01 n2<0 n2<1 =7:AA ", 0},
    {"no node serves the service", "zz", {{END}}, "=7:nn~ ", 0},
    {"retried on a version known before", "aab",
	{OK("n1", 0), {NEW_VERSION, .version = 8},
	    ERROR("n1", 1, BW_E_VERSION_GONE), {REPLY, "n2", 2, 0, 7, FIRST_ID},
	    OK("n1", 0), OK("n1", 1), OK("n2", 2)},
	"n1<01 n2<2 n2! n1<01 n2<2 =8:AAA ", 1},
    {"retried on a version known later", "aa",
	{ERROR("n1", 0, BW_E_VERSION_GONE), OK("n1", 1), {TICK, .number = 75},
	    {NEW_VERSION, .version = 8}, OK("n1", 0), OK("n1", 1)},
	"n1<01 n1<01 =8:AA ", 0},
    {"no retry on a lower version", "aa",
	{{NEW_VERSION, .version = 6}, ERROR("n1", 0, BW_E_VERSION_GONE),
	    {NEW_VERSION, .version = 7}, OK("n1", 1), {TICK, .number = 76}},
	"n1<01 =7:gA ", 0},
    {"no retry in the last quarter", "aa",
	{ERROR("n1", 0, BW_E_VERSION_GONE), {TICK, .number = 76},
	    {NEW_VERSION, .version = 8}, OK("n1", 1)},
	"n1<01 =7:gA ", 0},
    {"at most two retries", "a",
	{{NEW_VERSION, .version = 8}, ERROR("n1", 0, BW_E_VERSION_GONE),
	    {NEW_VERSION, .version = 9}, ERROR("n1", 0, BW_E_VERSION_GONE),
	    {NEW_VERSION, .version = 10}, ERROR("n1", 0, BW_E_VERSION_GONE)},
	"n1<0 n1<0 n1<0 =9:g ", 0},
    {"client disconnects", "ab", {OK("n1", 0), {.op = REMOVE}, OK("n2", 1)},
	"n1<0 n2<1 n2! ", 1},
};

typedef struct {
	const case_t *test;
	query_set_t *set;
	handle_t query;
	id128_t first_id;
	id128_t current_id;
	uint64_t pinned_version;
	const char *unavailable_node;
	usec_t now;
	GString *trace;
} fixture_t;

static const char *
find_node(void *context, const char *service, const char *except)
{
	const fixture_t *fixture = context;
	const char *const *nodes = service_nodes[service[0] - 'a'];

	for (; *nodes != NULL; nodes++)
		if ((except == NULL || strcmp(*nodes, except) != 0) &&
		    (fixture->unavailable_node == NULL ||
			strcmp(*nodes, fixture->unavailable_node) != 0))
			return *nodes;
	return NULL;
}

/* A map with one service letter for each shard; the caller owns the reference.
 */
static shard_map_t *
make_map(const char *services, uint64_t version)
{
	catalogue_t *catalogue = catalogue_create();
	GString *text = g_string_new(NULL);
	shard_map_t *map;
	char message[200];

	g_string_printf(text,
	    "{\"index\":\"i\",\"current\":%d,\"versions\":[{\"version\":%d,"
	    "\"shards\":[",
	    (int)version, (int)version);
	for (const char *c = services; *c != '\0'; c++)
		g_string_append_printf(
		    text, "%s\"%c\"", c == services ? "" : ",", *c);
	g_string_append(text, "]}]}");
	assert_int_equal(catalogue_adopt_index(catalogue, "i",
			     slice_from(text->str), 1, message, 200),
	    0);
	g_string_free(text, TRUE);
	map = shard_map_ref(catalogue_current_map(catalogue, "i"));
	catalogue_destroy(catalogue);
	return map;
}

static void
trace_answer(fixture_t *fixture, const query_answer_t *answer)
{
	char states[32] = {0}, body[32];

	memset(states, '.', answer->total);
	for (uint32_t i = 0; i < answer->answered; i++) {
		snprintf(body, sizeof(body), "%u of %d",
		    answer->results[i].shard, (int)answer->version);
		assert_true(
		    slice_is(body_slice(answer->results[i].body), body));
		states[answer->results[i].shard] = 'A';
	}
	for (uint32_t i = 0; i < answer->total - answer->answered; i++) {
		const char *text =
		    missing_reason_text(answer->missing[i].reason);

		states[answer->missing[i].shard] =
		    strcmp(text, "version_gone") == 0 ? 'g'
		    : strcmp(text, "no_server") == 0  ? 's'
						      : text[0];
	}
	assert_true(id128_equal(answer->id, fixture->first_id));
	g_string_append_printf(fixture->trace, "=%d:%s%s ",
	    (int)answer->version, states, answer->sent ? "" : "~");
}

static void
drain(fixture_t *fixture)
{
	query_action_t action;

	while (query_next_action(fixture->set, &action)) {
		switch (action.kind) {
		case QUERY_SEND:
			fixture->current_id = action.id;
			fixture->pinned_version = shard_map_version(action.map);
			g_string_append_printf(
			    fixture->trace, "%s<", action.node);
			for (uint32_t i = 0; i < action.shard_count; i++)
				g_string_append_printf(
				    fixture->trace, "%u", action.shards[i]);
			g_string_append_c(fixture->trace, ' ');
			break;
		case QUERY_CANCEL:
			g_string_append_printf(
			    fixture->trace, "%s! ", action.node);
			break;
		case QUERY_FINISH:
			trace_answer(fixture, action.answer);
			break;
		}
	}
}

static void
reply(fixture_t *fixture, const step_t *step)
{
	const id128_t ids[] = {fixture->current_id, fixture->first_id, {1, 2}};
	uint64_t version =
	    step->version != 0 ? step->version : fixture->pinned_version;
	char text[32];
	body_t *body;

	snprintf(text, sizeof(text), "%d of %d", step->number, (int)version);
	body = body_create(text, strlen(text));
	query_reply(fixture->set, ids[step->id], step->node,
	    (uint32_t)step->number, version, step->error, body, fixture->now);
	body_unref(body);
}

static void
change_index(fixture_t *fixture, uint64_t version)
{
	shard_map_t *map = make_map(fixture->test->services, version);

	query_index_changed(fixture->set, map, fixture->now);
	shard_map_unref(map);
}

static void
run_step(fixture_t *fixture, const step_t *step)
{
	if (step->op != REPLY && step->number != 0)
		fixture->now = MS(step->number);
	switch (step->op) {
	case REPLY:
		reply(fixture, step);
		break;
	case SEND_FAILED:
		query_send_failed(fixture->set, fixture->current_id, step->node,
		    fixture->now);
		break;
	case PEER_LOST:
		query_peer_lost(fixture->set, step->node, fixture->now);
		break;
	case ROUTE_LOST:
		fixture->unavailable_node = step->node;
		break;
	case NEW_VERSION:
		change_index(fixture, step->version);
		break;
	case TICK:
		query_tick(fixture->set, fixture->now);
		break;
	case REMOVE:
		query_remove(fixture->set, fixture->query);
		break;
	case END:
		break;
	}
	drain(fixture);
}

static void
begin(fixture_t *fixture, const char *services)
{
	const query_router_t router = {find_node, fixture};
	shard_map_t *map = make_map(services, 7);

	fixture->set = query_set_create(&router);
	fixture->trace = g_string_new(NULL);
	fixture->first_id = (id128_t){3, 4};
	assert_int_equal(query_begin(fixture->set, fixture->first_id, map,
			     MS(100), 0, fixture, &fixture->query),
	    0);
	shard_map_unref(map);
}

static void
end(fixture_t *fixture)
{
	assert_int_equal(query_running_count(fixture->set), 0);
	assert_int_equal(query_next_timer(fixture->set), 0);
	query_set_destroy(fixture->set);
	g_string_free(fixture->trace, TRUE);
}

static void
events_give_the_stated_actions(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture = {.test = &cases[i]};

		begin(&fixture, cases[i].services);
		drain(&fixture);
		for (size_t k = 0; cases[i].steps[k].op != END; k++)
			run_step(&fixture, &cases[i].steps[k]);
		if (strcmp(fixture.trace->str, cases[i].trace) != 0)
			fail_msg("%s: \"%s\" instead of \"%s\"", cases[i].name,
			    fixture.trace->str, cases[i].trace);
		assert_int_equal(
		    query_unmatched_replies(fixture.set), cases[i].unmatched);
		end(&fixture);
	}
}

/* A SEND that is still queued when its query is removed would start work that
 * is never cancelled, and a FINISH would point to freed memory. */
static void
actions_of_a_removed_query_are_dropped(void **state)
{
	fixture_t fixture = {0};
	handle_t same;
	shard_map_t *map = make_map("a", 7);

	begin(&fixture, "ab");
	assert_int_equal(query_begin(fixture.set, fixture.first_id, map,
			     MS(100), 0, NULL, &same),
	    BW_E_CONFLICT);
	assert_ptr_equal(query_context(fixture.set, fixture.query), &fixture);
	assert_int_equal(query_next_timer(fixture.set), MS(100));
	query_remove(fixture.set, fixture.query);
	assert_null(query_context(fixture.set, fixture.query));
	assert_int_equal(query_begin(fixture.set, fixture.first_id, map,
			     MS(100), MS(100), NULL, &fixture.query),
	    0);
	query_remove(fixture.set, fixture.query);
	drain(&fixture);
	assert_string_equal(fixture.trace->str, "");
	shard_map_unref(map);
	end(&fixture);
}

/* A shard that is reassigned to another node and back before its SEND is
 * dispatched must be sent once. */
static void
a_shard_is_sent_once_in_a_message(void **state)
{
	fixture_t fixture = {0};

	begin(&fixture, "aa");
	query_peer_lost(fixture.set, "n1", 0);
	query_peer_lost(fixture.set, "n2", 0);
	drain(&fixture);
	assert_string_equal(fixture.trace->str, "n1<01 ");
	query_remove(fixture.set, fixture.query);
	end(&fixture);
}

/* All shards that move from one node to another must be sent in one message. */
static void
shards_of_a_lost_node_share_a_message(void **state)
{
	fixture_t fixture = {0};

	begin(&fixture, "aabaa");
	drain(&fixture);
	query_peer_lost(fixture.set, "n1", 0);
	query_reply(fixture.set, fixture.first_id, "n2", 2, 7, BW_E_NOT_SERVED,
	    NULL, 0);
	drain(&fixture);
	assert_string_equal(fixture.trace->str, "n1<0134 n2<2 n2<0134 n3<2 ");
	query_remove(fixture.set, fixture.query);
	end(&fixture);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(events_give_the_stated_actions),
	    cmocka_unit_test(actions_of_a_removed_query_are_dropped),
	    cmocka_unit_test(a_shard_is_sent_once_in_a_message),
	    cmocka_unit_test(shards_of_a_lost_node_share_a_message),
	};

	return RUN_TESTS(argc, argv, tests);
}
