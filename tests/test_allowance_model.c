/* Guards the allowance of a fleet under random orders: nodes with clocks that
 * differ by up to 1 %, delayed, lost and repeated messages, units that move,
 * nodes that pause and restart. It fails when all nodes together admit more
 * than the contract's rate with its burst, or run more than its concurrency. */
#include "lib/runner.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/admission.h"
#include "bulrushwell/allowance.h"
#include "bulrushwell/event.h"
#include "bulrushwell/ledger.h"
#include "lib/random.h"

#define NODES 5
#define HISTORY 4096 /* versions of the assignment kept */
#define LONGEST MS(400)

/* Clocks run up to this much too fast. */
#define SKEW 0.01

typedef struct {
	double speed;
	usec_t offset;
	usec_t paused_until; /* true time */
	uint64_t incarnation;
	uint32_t adopted; /* version of the assignment */
	uint64_t closed;
	uint64_t released; /* written, and not adopted yet */
	allowance_t *allowance;
	admission_t *admission;
} node_t;

typedef struct {
	usec_t end;	 /* when its caller's answer comes, true time */
	usec_t deadline; /* true time at which no server runs it any more */
	uint32_t node;
	uint64_t incarnation;
	uint64_t tag;
	bool admitted;
} request_t;

typedef struct {
	usec_t due;
	uint32_t from, to;
	uint64_t incarnation; /* of the borrower */
	bool is_reply;
	allowance_loan_t loan;
	usec_t asked_at; /* on the borrower's clock */
} message_t;

typedef struct {
	random_t random;
	node_t nodes[NODES];
	double rate;
	uint32_t concurrency;
	usec_t now; /* true time */
	uint64_t held[HISTORY][NODES];
	uint32_t version;
	GArray *requests;
	GArray *messages;
	uint64_t tags;
	uint32_t busy; /* nodes that callers use now, as bits */
	double level;  /* of a bucket that empties at the contract's rate */
	usec_t level_at;
	uint64_t admitted, borrowed, moved;
} model_t;

static uint32_t
below(model_t *model, uint32_t bound)
{
	return random_below(&model->random, bound);
}

static usec_t
local(const model_t *model, const node_t *node)
{
	return node->offset + (usec_t)((double)model->now * node->speed);
}

static void
start_node(model_t *model, node_t *node)
{
	allowance_destroy(node->allowance);
	admission_destroy(node->admission);
	node->allowance = allowance_create();
	node->admission = admission_create();
	node->incarnation++;
	node->adopted = 0;
	node->closed = 0;
	node->released = 0;
	node->paused_until = 0;
	node->speed = 1 + SKEW * ((int)below(model, 3) - 1);
	node->offset = below(model, 1000000);
	allowance_set_contract(node->allowance, "c", model->rate,
	    model->concurrency, local(model, node));
}

/* Every admission passes here; the bucket checks all intervals at once. */
static void
check_admission(model_t *model, request_t *request)
{
	double passed = (double)(model->now - model->level_at) / 1e6;
	double burst = fmin(fmax(ALLOWANCE_MIN_BURST, model->rate / 10),
	    NODES + model->rate / 10);
	uint32_t running = 0;

	request->admitted = true;
	model->level =
	    fmax(0, model->level - passed * model->rate * (1 + SKEW)) + 1;
	model->level_at = model->now;
	if (model->level > burst + 1e-6)
		fail_msg("%g requests at once at %g a second", model->level,
		    model->rate);
	for (guint i = 0; i < model->requests->len; i++) {
		request_t *other =
		    &g_array_index(model->requests, request_t, i);

		running += other->admitted &&
		    MIN(other->end, other->deadline) > model->now;
	}
	if (running > model->concurrency)
		fail_msg("%u run of %u", running, model->concurrency);
	model->admitted++;
}

static void
drain(model_t *model, uint32_t position)
{
	admission_action_t action;

	while (
	    admission_next_action(model->nodes[position].admission, &action)) {
		for (guint i = 0; i < model->requests->len; i++) {
			request_t *request =
			    &g_array_index(model->requests, request_t, i);

			if (request->tag != action.tag)
				continue;
			if (action.kind == ADMISSION_ADMIT)
				check_admission(model, request);
			else
				g_array_remove_index_fast(model->requests, i);
			break;
		}
	}
}

/* What a node does before each use: it applies its allowance as of now. */
static void
refresh(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];
	usec_t now = local(model, node);

	admission_set_allowance(node->admission, "c",
	    allowance_rate(node->allowance, "c", now),
	    allowance_concurrency(node->allowance, "c", now), now);
	drain(model, position);
}

/* Up to the longest deadline, and often all of it. */
static usec_t
some_time(model_t *model)
{
	return MIN(LONGEST, 1 + below(model, 2 * (uint32_t)LONGEST));
}

static void
offer(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];
	usec_t limit = some_time(model);
	usec_t now = local(model, node);
	request_t request = {.node = position,
	    .incarnation = node->incarnation,
	    .tag = ++model->tags,
	    .end = model->now + some_time(model),
	    .deadline = model->now + (usec_t)((double)limit / node->speed)};
	int result;

	refresh(model, position);
	result = admission_offer(
	    node->admission, "c", request.tag, now + limit, 0, now);
	if (result < 0)
		return;
	g_array_append_val(model->requests, request);
	if (result == 0)
		check_admission(model,
		    &g_array_index(
			model->requests, request_t, model->requests->len - 1));
}

/* Requests end, as far as their nodes are awake to notice. */
static void
end_requests(model_t *model)
{
	for (guint i = model->requests->len; i > 0; i--) {
		request_t request =
		    g_array_index(model->requests, request_t, i - 1);
		node_t *node = &model->nodes[request.node];
		bool lives = request.incarnation == node->incarnation;

		if (!request.admitted && lives)
			continue;
		if (MIN(request.end, request.deadline) > model->now ||
		    (lives && node->paused_until > model->now))
			continue;
		g_array_remove_index_fast(model->requests, i - 1);
		if (!lives)
			continue;
		refresh(model, request.node);
		admission_finish(node->admission, "c", local(model, node));
		drain(model, request.node);
		i = MIN(i, model->requests->len + 1);
	}
}

static void
post(model_t *model, message_t message)
{
	if (below(model, 10) == 0)
		return;
	message.due = model->now;
	if (below(model, 2) == 0)
		message.due += below(model, 400000);
	g_array_append_val(model->messages, message);
	if (below(model, 20) == 0) /* arrives twice */
		post(model, message);
}

static void
ask(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];
	message_t message = {.from = position,
	    .to = below(model, NODES),
	    .incarnation = node->incarnation,
	    .loan = {"c", below(model, 3) * model->rate / 2,
		below(model, model->concurrency + 1)},
	    .asked_at = local(model, node)};

	if (message.to != position)
		post(model, message);
}

static void
lend(model_t *model, const message_t *asked)
{
	node_t *node = &model->nodes[asked->to];
	usec_t now = local(model, node);
	message_t answer = *asked;
	admission_stats_t stats;
	char name[8];

	refresh(model, asked->to);
	admission_get_stats(node->admission, "c", &stats);
	snprintf(name, sizeof(name), "n%u", asked->from);
	allowance_lend(node->allowance, name, asked->incarnation, &asked->loan,
	    below(model, 4) == 0 ? 0
				 : admission_demand(node->admission, "c", now),
	    stats.running + stats.waiting, LONGEST, now, &answer.loan);
	refresh(model, asked->to);
	answer.is_reply = true;
	answer.from = asked->to;
	answer.to = asked->from;
	post(model, answer);
}

static void
receive(model_t *model, const message_t *answer)
{
	node_t *node = &model->nodes[answer->to];
	char name[8];

	if (answer->incarnation != node->incarnation)
		return;
	snprintf(name, sizeof(name), "n%u", answer->from);
	refresh(model, answer->to);
	allowance_receive_loan(node->allowance, name, &answer->loan,
	    answer->asked_at, local(model, node));
	refresh(model, answer->to);
	model->borrowed += answer->loan.concurrency > 0;
}

static void
deliver(model_t *model)
{
	for (guint i = model->messages->len; i > 0; i--) {
		message_t message =
		    g_array_index(model->messages, message_t, i - 1);

		if (message.due > model->now ||
		    model->nodes[message.to].paused_until > model->now)
			continue;
		g_array_remove_index_fast(model->messages, i - 1);
		if (message.is_reply)
			receive(model, &message);
		else
			lend(model, &message);
	}
}

static uint64_t *
units_at(model_t *model, uint32_t version)
{
	assert_true(model->version < version + HISTORY);
	return model->held[version % HISTORY];
}

/* Writes a new version of the assignment, in which @units change hands. */
static void
write_units(model_t *model, uint32_t position, uint64_t drop, uint64_t add)
{
	uint32_t next = model->version + 1;

	memcpy(units_at(model, next), units_at(model, model->version),
	    sizeof(model->held[0]));
	units_at(model, next)[position] &= ~drop;
	units_at(model, next)[position] |= add;
	model->version = next;
	model->moved++;
}

static uint64_t
some_units(model_t *model)
{
	return allowance_unit_range(below(model, 64), 1 + below(model, 20));
}

static void
adopt(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];

	if (node->adopted == model->version)
		return;
	node->adopted += 1 + below(model, model->version - node->adopted);
	node->released &= units_at(model, node->adopted)[position];
	refresh(model, position);
	allowance_set_units(node->allowance,
	    units_at(model, node->adopted)[position], LONGEST,
	    local(model, node));
	refresh(model, position);
}

/* A holder closes units, changes its mind, or releases what it closed; any node
 * takes what is free. */
static void
move_units(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];
	uint64_t taken = 0;

	switch (below(model, 4)) {
	case 0:
		node->closed = node->released |
		    (below(model, 4) == 0 ? 0 : some_units(model));
		allowance_close_units(
		    node->allowance, node->closed, LONGEST, local(model, node));
		refresh(model, position);
		break;
	case 1:
		if (below(model, 2) == 0) {
			node->closed |= some_units(model);
			allowance_close_units(node->allowance, node->closed,
			    LONGEST, local(model, node));
			refresh(model, position);
		}
		node->released =
		    node->closed & units_at(model, node->adopted)[position];
		write_units(model, position, node->released, 0);
		break;
	default:
		for (uint32_t i = 0; i < NODES; i++)
			taken |= units_at(model, model->version)[i];
		write_units(model, position, 0, some_units(model) & ~taken);
		while (below(model, 4) != 0 && node->adopted != model->version)
			adopt(model, position);
		break;
	}
}

/* A node dies and is proven gone; its requests run to their deadlines. */
static void
restart(model_t *model, uint32_t position)
{
	write_units(model, position, UINT64_MAX, 0);
	start_node(model, &model->nodes[position]);
	model->nodes[position].adopted = model->version;
	for (guint i = 0; i < model->requests->len; i++) {
		request_t *request =
		    &g_array_index(model->requests, request_t, i);

		if (request->node == position && request->end > model->now)
			request->end = request->deadline;
	}
}

static void
step(model_t *model)
{
	uint32_t dice = below(model, 1000);
	uint32_t position = below(model, NODES);

	if (below(model, 100) == 0)
		model->busy = below(model, 1 << NODES);

	model->now += below(model, 1 + below(model, 10000));
	end_requests(model);
	deliver(model);
	if (model->nodes[position].paused_until > model->now)
		return;
	refresh(model, position);
	admission_tick(model->nodes[position].admission,
	    local(model, &model->nodes[position]));
	drain(model, position);
	if (dice < 500)
		for (uint32_t i = below(model, 8); i > 0; i--) {
			if ((model->busy >> position & 1) != 0)
				offer(model, position);
		}
	else if (dice < 850)
		ask(model, position);
	else if (dice < 910)
		move_units(model, position);
	else if (dice < 990)
		adopt(model, position);
	else if (dice < 998)
		model->nodes[position].paused_until =
		    model->now + below(model, 1000000);
	else
		restart(model, position);
}

static void
run(uint64_t seed, uint64_t steps)
{
	static const double rates[] = {30, 333.3, 10000, 10000};
	static const uint32_t places[] = {1000, 1000, 5, 70};
	model_t *model = g_new0(model_t, 1);

	model->random.state = seed;
	model->rate = rates[seed % 4];
	model->concurrency = places[seed % 4];
	model->requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	model->messages = g_array_new(FALSE, FALSE, sizeof(message_t));
	for (uint32_t i = 0; i < NODES; i++)
		start_node(model, &model->nodes[i]);
	for (uint64_t i = 0; i < steps; i++)
		step(model);
	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
	/* Orders in which nothing happens would prove nothing. */
	assert_true(model->borrowed > steps / 1000 &&
	    model->moved > steps / 1000 && model->admitted > steps / 500);
	for (uint32_t i = 0; i < NODES; i++) {
		allowance_destroy(model->nodes[i].allowance);
		admission_destroy(model->nodes[i].admission);
	}
	g_array_free(model->requests, TRUE);
	g_array_free(model->messages, TRUE);
	g_free(model);
}

static void
a_fleet_stays_within_the_contract(void **state)
{
	uint64_t steps = environment_number("BW_STEPS", 20000);
	uint64_t seed = environment_number("BW_SEED", 0);

	for (uint64_t i = 1; i <= (seed == 0 ? 12 : 1); i++)
		run(seed == 0 ? i : seed, steps);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_fleet_stays_within_the_contract),
	};

	return RUN_TESTS(argc, argv, tests);
}
