/* Tests at-most-once execution: several nodes share one modelled platform and
 * one modelled upstream under random faults. The test fails if a key is
 * executed twice, if an answer "not run" is false, if an answer "done" does not
 * match the execution, or if an answer is missing or given twice. The
 * environment variables BW_SEED and BW_STEPS run one sequence with this seed
 * and number of steps. */
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
#define REPEAT_WINDOW_S 3600
#define STEPS 20000
#define CUSTOMER "acme"

/* An idempotency key and its executions by the upstream. */
typedef struct {
	char key[CLAIM_MAX_KEY_LENGTH + 1];
	int executions;
	int variant; /* of the body that was executed */
} key_record_t;

/* A request to a node. It is given to the node's claim table under the tag
 * that is its position in model_t.requests plus one. */
typedef struct {
	int node;
	uint32_t incarnation; /* of the node */
	key_record_t *key;
	int variant; /* of the body */
	int answers;
	bool not_run;  /* answered so */
	bool not_sent; /* its attempt's dispatch ended with
			  CLAIM_DISPATCH_NOT_SENT */
	usec_t deadline;
	/* Step numbers; 0: not yet. */
	uint64_t reserved_at, answered_at, dispatched_at, done_at;
	claim_dispatch_result_t result;
	bool killed; /* its node was killed */
} request_t;

/* An object of the platform; version 0 if it does not exist. */
typedef struct {
	uint64_t version;
	char *text;
} stored_object_t;

typedef enum { OP_READ, OP_WRITE, OP_DISPATCH } operation_kind_t;

/* A read, write or dispatch in flight. */
typedef struct {
	operation_kind_t kind;
	int node;
	uint32_t incarnation;
	char object[2 * NAME_SIZE];
	uint64_t version;
	char *text;
	uint64_t tag;
	bool late; /* reported as unknown; takes effect when it ends again */
} operation_t;

typedef struct {
	GRand *random;
	usec_t now, wall;
	uint64_t step, revision;
	claim_table_t *nodes[NODES];
	uint32_t incarnations[NODES];
	bool paused[NODES];
	/* All platform calls fail; no faults are injected any more. */
	bool outage, faults_ended;
	GHashTable *platform; /* name -> stored_object_t */
	GPtrArray *operations;
	GPtrArray *requests; /* tag - 1 -> request_t */
	GPtrArray *keys;     /* key_record_t; the last KEYS are used most */
	int executions, done_count, repeated_count, not_run_count;
} model_t;

static bool
random_bool(model_t *model, double probability)
{
	return g_rand_double(model->random) < probability;
}

static int
random_below(model_t *model, int below)
{
	return g_rand_int_range(model->random, 0, below);
}

/* Adds a key in one of two buckets, so that writes carry several claims. */
static void
add_key(model_t *model)
{
	key_record_t *record = g_new0(key_record_t, 1);
	char id[256];

	do {
		snprintf(record->key, sizeof(record->key), "%lld-%x",
		    (long long)(model->wall / USEC_PER_SEC -
			random_below(model, 60)),
		    g_rand_int(model->random));
		snprintf(id, sizeof(id), "%s/%s", CUSTOMER, record->key);
	} while (XXH64(id, strlen(id), 0) % CLAIM_BUCKETS >= 2);
	g_ptr_array_add(model->keys, record);
}

static request_t *
find_request(model_t *model, uint64_t tag)
{
	assert_true(tag >= 1 && tag <= model->requests->len);
	return model->requests->pdata[tag - 1];
}

static bool
is_same_reservation(const request_t *a, const request_t *b)
{
	return a != b && a->node == b->node &&
	    a->incarnation == b->incarnation && a->key == b->key &&
	    a->variant == b->variant;
}

/* Whether @other waited for the attempt of @first, which was dispatched. */
static bool
is_waiter_of(const request_t *first, const request_t *other)
{
	return is_same_reservation(first, other) && first->dispatched_at != 0 &&
	    other->reserved_at >= first->reserved_at &&
	    (first->done_at == 0 || other->reserved_at < first->done_at);
}

static void
check_not_run(model_t *model, request_t *request)
{
	request->not_sent = request->dispatched_at != 0;
	assert_true(request->dispatched_at == 0 ||
	    (request->done_at != 0 &&
		request->result == CLAIM_DISPATCH_NOT_SENT));
	for (guint i = 0; i < model->requests->len; i++) {
		const request_t *first = model->requests->pdata[i];

		if (!is_waiter_of(first, request))
			continue;
		request->not_sent = true;
		assert_true(first->done_at != 0 &&
		    first->result == CLAIM_DISPATCH_NOT_SENT);
	}
}

static void
check_answer(model_t *model, const claim_action_t *action)
{
	request_t *request = find_request(model, action->tag);
	char expected[256];

	assert_int_equal(++request->answers, 1);
	request->answered_at = model->step;
	if (action->error != 0) {
		assert_true(action->error != BW_E_PROTOCOL);
		request->not_run = error_is_not_run(action->error);
		model->not_run_count += request->not_run;
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
	model->done_count++;
	model->repeated_count += action->repeated;
}

static void
check_dispatch(model_t *model, uint64_t tag)
{
	request_t *request = find_request(model, tag);

	assert_int_equal(request->dispatched_at, 0);
	assert_int_equal(request->answers, 0);
	assert_true(model->now < request->deadline);
	request->dispatched_at = model->step;
	for (guint i = 0; i < model->requests->len; i++) {
		const request_t *other = model->requests->pdata[i];

		if (is_same_reservation(request, other) && other->not_run &&
		    !other->not_sent)
			assert_true(other->answered_at < request->reserved_at);
	}
}

static void
process_actions(model_t *model, int node)
{
	claim_action_t action;

	while (claim_next_action(model->nodes[node], &action)) {
		operation_t *operation;

		if (action.kind == CLAIM_ANSWER) {
			check_answer(model, &action);
			continue;
		}
		if (action.kind == CLAIM_DISPATCH)
			check_dispatch(model, action.tag);
		operation = g_new0(operation_t, 1);
		operation->kind = action.kind == CLAIM_READ ? OP_READ
		    : action.kind == CLAIM_WRITE	    ? OP_WRITE
							    : OP_DISPATCH;
		operation->node = node;
		operation->incarnation = model->incarnations[node];
		strcpy(operation->object, action.object);
		operation->version = action.version;
		operation->text = g_strdup(action.text);
		operation->tag = action.tag;
		g_ptr_array_add(model->operations, operation);
	}
}

static stored_object_t *
find_stored_object(model_t *model, const char *name)
{
	stored_object_t *stored = g_hash_table_lookup(model->platform, name);

	if (stored == NULL) {
		stored = g_new0(stored_object_t, 1);
		g_hash_table_insert(model->platform, g_strdup(name), stored);
	}
	return stored;
}

static bool
apply_write(model_t *model, const operation_t *operation)
{
	stored_object_t *stored = find_stored_object(model, operation->object);

	if (stored->version != operation->version)
		return false;
	g_free(stored->text);
	stored->text = g_strdup(operation->text);
	stored->version = ++model->revision;
	return true;
}

/* Whether the incarnation that started the operation still runs. */
static bool
is_alive(const model_t *model, const operation_t *operation)
{
	return model->incarnations[operation->node] == operation->incarnation;
}

static void
complete_read(model_t *model, const operation_t *operation)
{
	const stored_object_t *stored =
	    find_stored_object(model, operation->object);
	claim_io_result_t result =
	    stored->version > 0 ? CLAIM_IO_OK : CLAIM_IO_NOT_FOUND;
	slice_t text = {stored->text, 0};

	if (stored->text != NULL)
		text.size = strlen(stored->text);
	if (!model->faults_ended && (model->outage || random_bool(model, 0.05)))
		result = random_bool(model, 0.5) ? CLAIM_IO_UNKNOWN
						 : CLAIM_IO_REFUSED;
	if (is_alive(model, operation))
		claim_read_done(model->nodes[operation->node],
		    operation->object, result, stored->version, text,
		    model->now, model->wall);
}

/* Returns whether the operation stays in flight, to take effect later. */
static bool
complete_write(model_t *model, operation_t *operation)
{
	claim_io_result_t result = CLAIM_IO_UNKNOWN;
	bool stays = false;

	if (operation->late) {
		apply_write(model, operation);
		return false;
	}
	if (!model->faults_ended &&
	    (model->outage || random_bool(model, 0.2))) {
		if (random_bool(model, 0.3))
			result = CLAIM_IO_REFUSED;
		else if (random_bool(model, 0.4))
			apply_write(model, operation);
		else
			stays = random_bool(model, 0.5);
	} else {
		result = apply_write(model, operation) ? CLAIM_IO_OK
						       : CLAIM_IO_CONFLICT;
		/* The HTTP client retried a write that was applied. */
		if (!model->faults_ended && random_bool(model, 0.03))
			result = CLAIM_IO_CONFLICT;
	}
	operation->late = stays;
	if (is_alive(model, operation))
		claim_write_done(model->nodes[operation->node],
		    operation->object, result,
		    find_stored_object(model, operation->object)->version,
		    model->now, model->wall);
	return stays;
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

/* Returns whether the operation stays in flight, to be executed later. */
static bool
complete_dispatch(model_t *model, operation_t *operation)
{
	request_t *request = find_request(model, operation->tag);
	bool runs = random_bool(model, 0.6);
	char text[256];
	body_t *body;

	if (operation->late) {
		execute(model, request);
		return false;
	}
	snprintf(
	    text, sizeof(text), "%s/%d", request->key->key, request->variant);
	request->done_at = model->step;
	request->result = CLAIM_DISPATCH_UNKNOWN;
	operation->late = !runs && random_bool(model, 0.3);
	if (runs)
		execute(model, request);
	if (runs && random_bool(model, 0.7))
		request->result = CLAIM_DISPATCH_ANSWERED;
	else if (!runs && !operation->late && random_bool(model, 0.7))
		request->result = CLAIM_DISPATCH_NOT_SENT;
	body = body_create(text, strlen(text));
	if (is_alive(model, operation))
		claim_dispatch_done(model->nodes[operation->node],
		    operation->tag, request->result,
		    request->result == CLAIM_DISPATCH_ANSWERED ? 201 : 0, body,
		    model->now, model->wall);
	body_unref(body);
	return operation->late;
}

static void
free_operation(gpointer context)
{
	operation_t *operation = context;

	g_free(operation->text);
	g_free(operation);
}

static void
complete_operation(model_t *model, guint position)
{
	operation_t *operation = model->operations->pdata[position];
	int node = operation->node;
	bool stays = false;

	if (is_alive(model, operation) && model->paused[node] &&
	    !operation->late)
		return;
	g_ptr_array_steal_index_fast(model->operations, position);
	if (operation->kind == OP_READ)
		complete_read(model, operation);
	else if (operation->kind == OP_WRITE)
		stays = complete_write(model, operation);
	else
		stays = complete_dispatch(model, operation);
	if (stays)
		g_ptr_array_add(model->operations, operation);
	else
		free_operation(operation);
	process_actions(model, node);
}

static void
reserve(model_t *model, int node, key_record_t *key, int variant)
{
	/* Contracts change the window; a longer one must not make removed keys
	 * valid again. */
	uint32_t window =
	    REPEAT_WINDOW_S * (model->step % 3000 < 1500 ? 1 : 24);
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
	request.deadline = model->now + MS(random_below(model, 100));
	record->deadline = request.deadline;
	if (claim_reserve(
		model->nodes[node], &request, model->now, model->wall) != 0)
		record->answers = 1;
	process_actions(model, node);
}

static void
reserve_random_key(model_t *model)
{
	int recent = MIN((int)model->keys->len, KEYS);
	int position = (int)model->keys->len - 1 - random_below(model, recent);
	int node = random_below(model, NODES);
	int variant = random_bool(model, 0.1);

	if (random_bool(model, 0.1))
		add_key(model);
	if (random_bool(model, 0.1))
		position = random_below(model, (int)model->keys->len);
	if (!model->paused[node])
		reserve(model, node, model->keys->pdata[position], variant);
	node = (node + 1) % NODES;
	if (random_bool(model, 0.3) && !model->paused[node])
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
inject_fault(model_t *model)
{
	int node = random_below(model, NODES);

	switch (random_below(model, 8)) {
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
	case 5: /* a jump beyond the shorter repeat window */
		if (random_bool(model, 0.1)) {
			model->now += SECONDS(2 * REPEAT_WINDOW_S);
			model->wall += SECONDS(2 * REPEAT_WINDOW_S);
		}
		break;
	default:
		model->outage = false;
	}
}

static void
advance_time(model_t *model, usec_t time)
{
	model->now += time;
	model->wall += time;
	for (int node = 0; node < NODES; node++) {
		if (model->paused[node])
			continue;
		claim_tick(model->nodes[node], model->now, model->wall);
		process_actions(model, node);
	}
}

static void
run_random_step(model_t *model)
{
	double choice = g_rand_double(model->random);

	model->step++;
	if (choice < 0.2)
		reserve_random_key(model);
	else if (choice < 0.75 && model->operations->len > 0)
		complete_operation(model,
		    (guint)random_below(model, (int)model->operations->len));
	else if (choice < 0.98)
		advance_time(model, random_below(model, 8000));
	else
		inject_fault(model);
}

static void
finish_without_faults(model_t *model)
{
	model->faults_ended = true;
	memset(model->paused, 0, sizeof(model->paused));
	for (int i = 0; i < 1000; i++) {
		while (model->operations->len > 0) {
			model->step++;
			complete_operation(model, model->operations->len - 1);
		}
		model->step++;
		advance_time(model, MS(100));
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
	stored_object_t *stored = context;

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
	model.operations = g_ptr_array_new();
	model.requests = g_ptr_array_new_with_free_func(g_free);
	model.keys = g_ptr_array_new_with_free_func(g_free);
	add_key(&model);
	for (int node = 0; node < NODES; node++)
		model.nodes[node] = claim_table_create();
	for (int i = 0; i < steps; i++)
		run_random_step(&model);
	finish_without_faults(&model);
	print_message("seed %u: %u requests, %u keys, %d executions, %d done "
		      "(%d repeated), %d not run\n",
	    seed, model.requests->len, model.keys->len, model.executions,
	    model.done_count, model.repeated_count, model.not_run_count);
	for (int node = 0; node < NODES; node++)
		claim_table_destroy(model.nodes[node]);
	g_hash_table_destroy(model.platform);
	g_ptr_array_free(model.operations, TRUE);
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
