/* Guards at-most-once: several nodes share one modelled platform and one
 * modelled upstream under random faults; a second execution of a key, a "not
 * run" that is not true, a "done" that does not match the execution, or an
 * answer that is missing or given twice fails. BW_SEED and BW_STEPS run one
 * longer sequence. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "bulrushwell/claim.h"
#include "bulrushwell/error.h"

#define NODES 3
#define KEYS 6
#define WINDOW_S 3600
#define STEPS 20000
#define CUSTOMER "acme"

typedef struct {
	char key[CLAIM_MAX_KEY + 1];
	int executions;
	int variant; /* of the body that ran */
} key_record_t;

typedef struct {
	int node;
	uint32_t incarnation;
	key_record_t *key;
	int variant;
	int answers;
	bool not_run;
	bool not_sent; /* of an attempt whose dispatch was not sent */
	usec_t deadline;
	uint64_t reserved_at, answered_at, dispatched_at, done_at; /* steps */
	claim_dispatch_t result;
	bool killed;
} request_t;

typedef struct {
	uint64_t version;
	char *text;
} stored_t;

typedef enum { OP_READ, OP_WRITE, OP_DISPATCH } op_kind_t;

typedef struct {
	op_kind_t kind;
	int node;
	uint32_t incarnation;
	char object[2 * NAME_SIZE];
	uint64_t version;
	char *text;
	uint64_t tag;
	bool late; /* answered as lost; may still take effect */
} op_t;

typedef struct {
	GRand *random;
	usec_t now, wall;
	uint64_t step, revision;
	claim_table_t *nodes[NODES];
	uint32_t incarnations[NODES];
	bool paused[NODES];
	bool outage, healed;
	GHashTable *platform; /* name -> stored_t */
	GPtrArray *ops;
	GPtrArray *requests; /* tag - 1 -> request_t */
	GPtrArray *keys;     /* all key_record_t; the last KEYS are in use */
	int executions, done, repeated, refused;
} model_t;

static bool
chance(model_t *model, double probability)
{
	return g_rand_double(model->random) < probability;
}

static int
pick(model_t *model, int below)
{
	return g_rand_int_range(model->random, 0, below);
}

/* Keys are chosen for two buckets, so that writes carry several claims. */
static void
add_key(model_t *model)
{
	key_record_t *record = g_new0(key_record_t, 1);
	char id[256];

	do {
		snprintf(record->key, sizeof(record->key), "%lld-%x",
		    (long long)(model->wall / USEC_PER_SEC - pick(model, 60)),
		    g_rand_int(model->random));
		snprintf(id, sizeof(id), "%s/%s", CUSTOMER, record->key);
	} while (XXH64(id, strlen(id), 0) % CLAIM_BUCKETS >= 2);
	g_ptr_array_add(model->keys, record);
}

static request_t *
request_of(model_t *model, uint64_t tag)
{
	assert_true(tag >= 1 && tag <= model->requests->len);
	return model->requests->pdata[tag - 1];
}

static bool
is_same_work(const request_t *a, const request_t *b)
{
	return a != b && a->node == b->node &&
	    a->incarnation == b->incarnation && a->key == b->key &&
	    a->variant == b->variant;
}

/* Requests that the attempt of @first carries, besides its own. */
static bool
is_carried(const request_t *first, const request_t *other)
{
	return is_same_work(first, other) && first->dispatched_at != 0 &&
	    other->reserved_at >= first->reserved_at &&
	    (first->done_at == 0 || other->reserved_at < first->done_at);
}

static void
check_not_run(model_t *model, request_t *request)
{
	request->not_sent = request->dispatched_at != 0;
	assert_true(request->dispatched_at == 0 ||
	    (request->done_at != 0 && request->result == CLAIM_NOT_SENT));
	for (guint i = 0; i < model->requests->len; i++) {
		const request_t *first = model->requests->pdata[i];

		if (!is_carried(first, request))
			continue;
		request->not_sent = true;
		assert_true(
		    first->done_at != 0 && first->result == CLAIM_NOT_SENT);
	}
}

static void
take_answer(model_t *model, const claim_action_t *action)
{
	request_t *request = request_of(model, action->tag);
	char expected[256];

	assert_int_equal(++request->answers, 1);
	request->answered_at = model->step;
	if (action->error != 0) {
		assert_true(action->error != BW_E_PROTOCOL);
		request->not_run = error_is_not_run(action->error);
		model->refused += request->not_run;
		if (request->not_run && action->error != BW_E_KEY_REUSED)
			check_not_run(model, request);
		return;
	}
	snprintf(expected, sizeof(expected), "%s/%d", request->key->key,
	    request->variant);
	assert_int_equal(request->key->executions, 1);
	assert_int_equal(request->key->variant, request->variant);
	assert_int_equal(action->http_status, 201);
	assert_true(slice_is(body_slice(action->body), expected));
	model->done++;
	model->repeated += action->repeated;
}

static void
check_dispatch(model_t *model, uint64_t tag)
{
	request_t *request = request_of(model, tag);

	assert_int_equal(request->dispatched_at, 0);
	assert_int_equal(request->answers, 0);
	assert_true(model->now < request->deadline);
	request->dispatched_at = model->step;
	for (guint i = 0; i < model->requests->len; i++) {
		const request_t *other = model->requests->pdata[i];

		if (is_same_work(request, other) && other->not_run &&
		    !other->not_sent)
			assert_true(other->answered_at < request->reserved_at);
	}
}

static void
drain(model_t *model, int node)
{
	claim_action_t action;

	while (claim_next_action(model->nodes[node], &action)) {
		op_t *op;

		if (action.kind == CLAIM_ANSWER) {
			take_answer(model, &action);
			continue;
		}
		if (action.kind == CLAIM_DISPATCH)
			check_dispatch(model, action.tag);
		op = g_new0(op_t, 1);
		op->kind = action.kind == CLAIM_READ ? OP_READ
		    : action.kind == CLAIM_WRITE     ? OP_WRITE
						     : OP_DISPATCH;
		op->node = node;
		op->incarnation = model->incarnations[node];
		strcpy(op->object, action.object);
		op->version = action.version;
		op->text = g_strdup(action.text);
		op->tag = action.tag;
		g_ptr_array_add(model->ops, op);
	}
}

static stored_t *
stored_object(model_t *model, const char *name)
{
	stored_t *stored = g_hash_table_lookup(model->platform, name);

	if (stored == NULL) {
		stored = g_new0(stored_t, 1);
		g_hash_table_insert(model->platform, g_strdup(name), stored);
	}
	return stored;
}

static bool
apply_write(model_t *model, const op_t *op)
{
	stored_t *stored = stored_object(model, op->object);

	if (stored->version != op->version)
		return false;
	g_free(stored->text);
	stored->text = g_strdup(op->text);
	stored->version = ++model->revision;
	return true;
}

static bool
is_alive(const model_t *model, const op_t *op)
{
	return model->incarnations[op->node] == op->incarnation;
}

static void
end_read(model_t *model, const op_t *op)
{
	const stored_t *stored = stored_object(model, op->object);
	claim_io_t result = stored->version > 0 ? CLAIM_IO_OK : CLAIM_IO_ABSENT;
	slice_t text = {stored->text, 0};

	if (stored->text != NULL)
		text.size = strlen(stored->text);
	if (!model->healed && (model->outage || chance(model, 0.05)))
		result = chance(model, 0.5) ? CLAIM_IO_LOST : CLAIM_IO_REFUSED;
	if (is_alive(model, op))
		claim_read_done(model->nodes[op->node], op->object, result,
		    stored->version, text, model->now, model->wall);
}

/* Whether the operation stays, to take effect later. */
static bool
end_write(model_t *model, op_t *op)
{
	claim_io_t result = CLAIM_IO_LOST;
	bool keep = false;

	if (op->late) {
		apply_write(model, op);
		return false;
	}
	if (!model->healed && (model->outage || chance(model, 0.2))) {
		if (chance(model, 0.3))
			result = CLAIM_IO_REFUSED;
		else if (chance(model, 0.4))
			apply_write(model, op);
		else
			keep = chance(model, 0.5);
	} else {
		result =
		    apply_write(model, op) ? CLAIM_IO_OK : CLAIM_IO_CONFLICT;
		/* A client library repeated a write that was applied. */
		if (!model->healed && chance(model, 0.03))
			result = CLAIM_IO_CONFLICT;
	}
	op->late = keep;
	if (is_alive(model, op))
		claim_write_done(model->nodes[op->node], op->object, result,
		    stored_object(model, op->object)->version, model->now,
		    model->wall);
	return keep;
}

static void
execute(model_t *model, request_t *request)
{
	request->key->executions++;
	request->key->variant = request->variant;
	model->executions++;
	assert_int_equal(request->key->executions, 1);
	assert_false(request->not_run);
}

/* Whether the operation stays, to be executed later. */
static bool
end_dispatch(model_t *model, op_t *op)
{
	request_t *request = request_of(model, op->tag);
	bool runs = chance(model, 0.6);
	char text[256];
	body_t *body;

	if (op->late) {
		execute(model, request);
		return false;
	}
	snprintf(
	    text, sizeof(text), "%s/%d", request->key->key, request->variant);
	request->done_at = model->step;
	request->result = CLAIM_UNKNOWN;
	op->late = !runs && chance(model, 0.3);
	if (runs)
		execute(model, request);
	if (runs && chance(model, 0.7))
		request->result = CLAIM_RAN;
	else if (!runs && !op->late && chance(model, 0.7))
		request->result = CLAIM_NOT_SENT;
	body = body_create(text, strlen(text));
	if (is_alive(model, op))
		claim_dispatch_done(model->nodes[op->node], op->tag,
		    request->result, request->result == CLAIM_RAN ? 201 : 0,
		    body, model->now, model->wall);
	body_drop(body);
	return op->late;
}

static void
free_op(gpointer context)
{
	op_t *op = context;

	g_free(op->text);
	g_free(op);
}

static void
end_op(model_t *model, guint position)
{
	op_t *op = model->ops->pdata[position];
	int node = op->node;
	bool keep = false;

	if (is_alive(model, op) && model->paused[node] && !op->late)
		return;
	g_ptr_array_steal_index_fast(model->ops, position);
	if (op->kind == OP_READ)
		end_read(model, op);
	else if (op->kind == OP_WRITE)
		keep = end_write(model, op);
	else
		keep = end_dispatch(model, op);
	if (keep)
		g_ptr_array_add(model->ops, op);
	else
		free_op(op);
	drain(model, node);
}

static void
reserve(model_t *model, int node, key_record_t *key, int variant)
{
	/* Contracts change: a longer window must not revive removed keys. */
	uint32_t window = WINDOW_S * (model->step % 3000 < 1500 ? 1 : 24);
	claim_request_t request = {
	    .digest = {1, (uint64_t)variant}, .repeat_window_s = window};
	request_t *record = g_new0(request_t, 1);

	model->step++;
	record->node = node;
	record->incarnation = model->incarnations[node];
	record->key = key;
	record->variant = variant;
	record->reserved_at = model->step;
	g_ptr_array_add(model->requests, record);
	request.tag = model->requests->len;
	strcpy(request.service, "roster");
	strcpy(request.customer, CUSTOMER);
	strcpy(request.key, key->key);
	request.deadline = model->now + MS(pick(model, 100));
	record->deadline = request.deadline;
	if (claim_reserve(
		model->nodes[node], &request, model->now, model->wall) != 0)
		record->answers = 1;
	drain(model, node);
}

static void
reserve_some(model_t *model)
{
	int recent = MIN((int)model->keys->len, KEYS);
	int position = (int)model->keys->len - 1 - pick(model, recent);
	int node = pick(model, NODES);
	int variant = chance(model, 0.1);

	if (chance(model, 0.1))
		add_key(model);
	if (chance(model, 0.1))
		position = pick(model, (int)model->keys->len);
	if (!model->paused[node])
		reserve(model, node, model->keys->pdata[position], variant);
	node = (node + 1) % NODES;
	if (chance(model, 0.3) && !model->paused[node])
		reserve(model, node, model->keys->pdata[position], variant);
}

static void
kill_node(model_t *model, int node)
{
	for (guint i = 0; i < model->requests->len; i++) {
		request_t *request = model->requests->pdata[i];

		if (request->node == node &&
		    request->incarnation == model->incarnations[node])
			request->killed = true;
	}
	claim_table_destroy(model->nodes[node]);
	model->nodes[node] = claim_table_create();
	model->incarnations[node]++;
	model->paused[node] = false;
}

static void
cause_fault(model_t *model)
{
	int node = pick(model, NODES);

	switch (pick(model, 8)) {
	case 0:
		kill_node(model, node);
		break;
	case 1:
	case 2:
	case 3:
		model->paused[node] = !model->paused[node];
		break;
	case 4:
		model->outage = true;
		break;
	case 5:
		if (chance(model, 0.1)) {
			model->now += SECONDS(2 * WINDOW_S);
			model->wall += SECONDS(2 * WINDOW_S);
		}
		break;
	default:
		model->outage = false;
	}
}

static void
pass_time(model_t *model, usec_t time)
{
	model->now += time;
	model->wall += time;
	for (int node = 0; node < NODES; node++) {
		if (model->paused[node])
			continue;
		claim_tick(model->nodes[node], model->now, model->wall);
		drain(model, node);
	}
}

static void
take_step(model_t *model)
{
	double choice = g_rand_double(model->random);

	model->step++;
	if (choice < 0.2)
		reserve_some(model);
	else if (choice < 0.75 && model->ops->len > 0)
		end_op(model, (guint)pick(model, (int)model->ops->len));
	else if (choice < 0.98)
		pass_time(model, pick(model, 8000));
	else
		cause_fault(model);
}

static void
heal(model_t *model)
{
	model->healed = true;
	memset(model->paused, 0, sizeof(model->paused));
	for (int i = 0; i < 1000; i++) {
		while (model->ops->len > 0) {
			model->step++;
			end_op(model, model->ops->len - 1);
		}
		model->step++;
		pass_time(model, MS(100));
	}
	for (int node = 0; node < NODES; node++)
		assert_true(claim_is_idle(model->nodes[node]));
	for (guint i = 0; i < model->requests->len; i++) {
		const request_t *request = model->requests->pdata[i];

		assert_true(request->killed || request->answers == 1);
	}
}

static void
free_stored(gpointer context)
{
	stored_t *stored = context;

	g_free(stored->text);
	g_free(stored);
}

static void
run_model(uint32_t seed, int steps)
{
	model_t model = {.random = g_rand_new_with_seed(seed),
	    .now = SECONDS(1000),
	    .wall = SECONDS(1796362000)};

	model.platform =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stored);
	model.ops = g_ptr_array_new();
	model.requests = g_ptr_array_new_with_free_func(g_free);
	model.keys = g_ptr_array_new_with_free_func(g_free);
	add_key(&model);
	for (int node = 0; node < NODES; node++)
		model.nodes[node] = claim_table_create();
	for (int i = 0; i < steps; i++)
		take_step(&model);
	heal(&model);
	print_message("seed %u: %u requests, %u keys, %d executions, %d done "
		      "(%d repeated), %d not run\n",
	    seed, model.requests->len, model.keys->len, model.executions,
	    model.done, model.repeated, model.refused);
	for (int node = 0; node < NODES; node++)
		claim_table_destroy(model.nodes[node]);
	g_hash_table_destroy(model.platform);
	g_ptr_array_free(model.ops, TRUE);
	g_ptr_array_free(model.requests, TRUE);
	g_ptr_array_free(model.keys, TRUE);
	g_rand_free(model.random);
}

static void
keys_run_at_most_once(void **state)
{
	const char *seed = getenv("BW_SEED");
	const char *steps = getenv("BW_STEPS");
	int count = steps != NULL ? atoi(steps) : STEPS;

	if (seed != NULL) {
		run_model((uint32_t)strtoul(seed, NULL, 10), count);
		return;
	}
	for (uint32_t i = 1; i <= 8; i++)
		run_model(i, count);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(keys_run_at_most_once),
	};

	return RUN_TESTS(argc, argv, tests);
}
