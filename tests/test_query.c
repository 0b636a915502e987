/* Guards the query coordinator, event by event: a shard that is counted without
 * its own reply, a lost or repeated FINISH, shards that are not sent again when
 * a node is lost, results of two versions in one answer, nodes that keep
 * running a query that has ended. */
#include "lib/runner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/query.h"

#define MAX_STEPS 16

/* A service has the name of one letter; the first of its nodes that is up
 * serves it. */
static const char *const nodes_of[26][3] = {
    ['a' - 'a'] = {"n1", "n2"},
    ['b' - 'a'] = {"n2", "n3"},
    ['c' - 'a'] = {"n3"},
};

typedef struct {
	enum {
		END,
		REPLY,
		FAIL, /* the last SEND to a node failed */
		LOST,
		DOWN, /* the router no longer names a node */
		OFFER,
		AT, /* a tick at a time in ms */
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

/* The trace has "n1<01" for shards 0 and 1 sent to n1, "n1!" for a
 * cancellation, and "=7:A.t" for an answer of version 7 in which shard 0
 * answered and shard 2 timed out; "~" follows when nothing was sent. */
typedef struct {
	const char *name;
	const char *services; /* of each shard */
	step_t steps[MAX_STEPS];
	const char *trace;
	int unmatched;
} case_t;

static const case_t cases[] = {
    {"all answer", "aab", {OK("n1", 0), OK("n2", 2), OK("n1", 1)},
	"n1<01 n2<2 =7:AAA ", 0},
    {"deadline", "aab", {OK("n1", 0), {AT, .number = 100}},
	"n1<01 n2<2 n1! n2! =7:Att ", 0},
    {"nothing after the end", "a",
	{OK("n1", 0), OK("n1", 0), {AT, .number = 100}, {LOST, .node = "n1"}},
	"n1<0 =7:A ", 1},
    {"late reply", "a", {{AT, .number = 100}, OK("n1", 0)}, "n1<0 n1! =7:t ",
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
    {"send failed", "aa", {{FAIL, .node = "n1"}, OK("n2", 0), OK("n2", 1)},
	"n1<01 n2<01 =7:AA ", 0},
    {"send failed without another", "c", {{FAIL, .node = "n3"}}, "n3<0 =7:n~ ",
	0},
    {"sends alternate at most four times", "a",
	{{FAIL, .node = "n1"}, {FAIL, .node = "n2"}, {FAIL, .node = "n1"},
	    {FAIL, .node = "n2"}},
	"n1<0 n2<0 n1<0 n2<0 =7:n~ ", 0},
    {"only the last send failed", "ab",
	{{DOWN, .node = "n1"}, {LOST, .node = "n1"}, {FAIL, .node = "n2"},
	    OK("n2", 1), OK("n1", 0)},
	"n1<0 n2<1 n2<0 n1! =7:nA ", 1},
    {"send failed at the deadline", "a",
	{{AT, .number = 99}, {FAIL, .node = "n1", .number = 100}},
	"n1<0 n1! =7:t ", 0},
    {"node lost", "aab",
	{OK("n1", 0), {DOWN, .node = "n1"}, {LOST, .node = "n1"}, OK("n2", 1),
	    OK("n2", 2)},
	"n1<01 n2<2 n2<1 n1! =7:AAA ", 0},
    {"lost node answers after all", "ab",
	{{LOST, .node = "n1"}, OK("n1", 0), OK("n2", 0), OK("n2", 1)},
	"n1<0 n2<1 n2<0 =7:AA ", 1},
    {"lost without another", "ca", {{LOST, .node = "n3"}, OK("n1", 1)},
	"n3<0 n1<1 n3! =7:nA ", 0},
    {"error of a node that lost the shard", "a",
	{{LOST, .node = "n1"}, ERROR("n1", 0, BW_E_UPSTREAM), OK("n2", 0)},
	"n1<0 n2<0 =7:A ", 0},
    {"node no longer serves", "aa",
	{ERROR("n1", 0, BW_E_NOT_SERVED), ERROR("n1", 1, BW_E_STOPPING),
	    OK("n2", 0), OK("n2", 1)},
	"n1<01 n2<0 n2<1 =7:AA ", 0},
    {"nobody serves", "zz", {{END}}, "=7:nn~ ", 0},
    {"retried when offered before", "aab",
	{OK("n1", 0), {OFFER, .version = 8}, ERROR("n1", 1, BW_E_VERSION_GONE),
	    {REPLY, "n2", 2, 0, 7, FIRST_ID}, OK("n1", 0), OK("n1", 1),
	    OK("n2", 2)},
	"n1<01 n2<2 n2! n1<01 n2<2 =8:AAA ", 1},
    {"retried when offered after", "aa",
	{ERROR("n1", 0, BW_E_VERSION_GONE), OK("n1", 1), {AT, .number = 75},
	    {OFFER, .version = 8}, OK("n1", 0), OK("n1", 1)},
	"n1<01 n1<01 =8:AA ", 0},
    {"no retry on a lower version", "aa",
	{{OFFER, .version = 6}, ERROR("n1", 0, BW_E_VERSION_GONE),
	    {OFFER, .version = 7}, OK("n1", 1), {AT, .number = 76}},
	"n1<01 =7:gA ", 0},
    {"no retry in the last quarter", "aa",
	{ERROR("n1", 0, BW_E_VERSION_GONE), {AT, .number = 76},
	    {OFFER, .version = 8}, OK("n1", 1)},
	"n1<01 =7:gA ", 0},
    {"at most two retries", "a",
	{{OFFER, .version = 8}, ERROR("n1", 0, BW_E_VERSION_GONE),
	    {OFFER, .version = 9}, ERROR("n1", 0, BW_E_VERSION_GONE),
	    {OFFER, .version = 10}, ERROR("n1", 0, BW_E_VERSION_GONE)},
	"n1<0 n1<0 n1<0 =9:g ", 0},
    {"caller gone", "ab", {OK("n1", 0), {.op = REMOVE}, OK("n2", 1)},
	"n1<0 n2<1 n2! ", 1},
};

typedef struct {
	const case_t *test;
	query_set_t *set;
	handle_t query;
	id128_t first;
	id128_t current;
	uint64_t pinned;
	const char *down;
	usec_t now;
	GString *trace;
} fixture_t;

static const char *
find_node(void *context, const char *service, const char *except)
{
	const fixture_t *fixture = context;
	const char *const *nodes = nodes_of[service[0] - 'a'];

	for (; *nodes != NULL; nodes++)
		if ((except == NULL || strcmp(*nodes, except) != 0) &&
		    (fixture->down == NULL ||
			strcmp(*nodes, fixture->down) != 0))
			return *nodes;
	return NULL;
}

/* A map in which each shard's service is one letter; the caller drops it. */
static shard_map_t *
make_map(const char *services, uint64_t version)
{
	catalogue_t *catalogue = catalogue_create();
	GString *text = g_string_new(NULL);
	shard_map_t *map;
	char why[200];

	g_string_printf(text,
	    "{\"index\":\"i\",\"current\":%d,\"versions\":[{\"version\":%d,"
	    "\"shards\":[",
	    (int)version, (int)version);
	for (const char *c = services; *c != '\0'; c++)
		g_string_append_printf(
		    text, "%s\"%c\"", c == services ? "" : ",", *c);
	g_string_append(text, "]}]}");
	assert_int_equal(catalogue_adopt_index(catalogue, "i",
			     slice_from(text->str), 1, why, 200),
	    0);
	g_string_free(text, TRUE);
	map = shard_map_keep(catalogue_pin(catalogue, "i"));
	catalogue_destroy(catalogue);
	return map;
}

static void
write_answer(fixture_t *fixture, const query_answer_t *answer)
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
	assert_true(id128_equal(answer->id, fixture->first));
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
			fixture->current = action.id;
			fixture->pinned = shard_map_version(action.map);
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
			write_answer(fixture, action.answer);
			break;
		}
	}
}

static void
reply(fixture_t *fixture, const step_t *step)
{
	const id128_t ids[] = {fixture->current, fixture->first, {1, 2}};
	uint64_t version = step->version != 0 ? step->version : fixture->pinned;
	char text[32];
	body_t *body;

	snprintf(text, sizeof(text), "%d of %d", step->number, (int)version);
	body = body_create(text, strlen(text));
	query_reply(fixture->set, ids[step->id], step->node,
	    (uint32_t)step->number, version, step->error, body, fixture->now);
	body_drop(body);
}

static void
offer(fixture_t *fixture, uint64_t version)
{
	shard_map_t *map = make_map(fixture->test->services, version);

	query_index_changed(fixture->set, map, fixture->now);
	shard_map_drop(map);
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
	case FAIL:
		query_send_failed(
		    fixture->set, fixture->current, step->node, fixture->now);
		break;
	case LOST:
		query_peer_lost(fixture->set, step->node, fixture->now);
		break;
	case DOWN:
		fixture->down = step->node;
		break;
	case OFFER:
		offer(fixture, step->version);
		break;
	case AT:
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
	fixture->first = (id128_t){3, 4};
	assert_int_equal(query_begin(fixture->set, fixture->first, map, MS(100),
			     0, fixture, &fixture->query),
	    0);
	shard_map_drop(map);
}

static void
end(fixture_t *fixture)
{
	assert_int_equal(query_running(fixture->set), 0);
	assert_int_equal(query_next_deadline(fixture->set), 0);
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
		    query_unmatched(fixture.set), cases[i].unmatched);
		end(&fixture);
	}
}

/* A SEND that was not drained when its query ended would start work that nobody
 * cancels, and a FINISH would point to freed memory. */
static void
actions_of_a_removed_query_are_dropped(void **state)
{
	fixture_t fixture = {0};
	handle_t same;
	shard_map_t *map = make_map("a", 7);

	begin(&fixture, "ab");
	assert_int_equal(query_begin(fixture.set, fixture.first, map, MS(100),
			     0, NULL, &same),
	    BW_E_CONFLICT);
	assert_ptr_equal(query_context(fixture.set, fixture.query), &fixture);
	assert_int_equal(query_next_deadline(fixture.set), MS(100));
	query_remove(fixture.set, fixture.query);
	assert_null(query_context(fixture.set, fixture.query));
	assert_int_equal(query_begin(fixture.set, fixture.first, map, MS(100),
			     MS(100), NULL, &fixture.query),
	    0);
	query_remove(fixture.set, fixture.query);
	drain(&fixture);
	assert_string_equal(fixture.trace->str, "");
	shard_map_drop(map);
	end(&fixture);
}

/* A shard that goes to and fro before its SEND is drained is sent once. */
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

/* Shards that leave one node in one round travel in one message. */
static void
shards_of_a_lost_node_share_a_message(void **state)
{
	fixture_t fixture = {0};

	begin(&fixture, "aabaa");
	drain(&fixture);
	query_peer_lost(fixture.set, "n1", 0);
	query_reply(
	    fixture.set, fixture.first, "n2", 2, 7, BW_E_NOT_SERVED, NULL, 0);
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
