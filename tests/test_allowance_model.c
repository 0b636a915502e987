/* Simulates several nodes that share one contract, with random events: clocks
 * that are wrong by up to 1 %, delayed, lost and repeated messages, units that
 * change owners, nodes that pause and restart. Fails when all nodes together
 * admit more than the contract's rate and burst, or run more than its
 * concurrency. */
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
#define VERSIONS_KEPT 4096 /* versions of the assignment */
#define LONGEST_DEADLINE MS(400)

/* Clocks run too fast or too slow by up to this fraction. */
#define CLOCK_SKEW 0.01

typedef struct {
	double speed;
	usec_t offset;
	usec_t paused_until; /* true time */
	uint64_t incarnation;
	uint32_t adopted; /* version of the assignment */
	uint64_t closed;
	uint64_t released; /* by a version that this node has not adopted yet */
	uint32_t released_in; /* that version */
	allowance_t *allowance;
	admission_t *admission;
} node_t;

typedef struct {
	usec_t answered_at; /* true time */
	usec_t deadline;    /* true time; no server runs it after this */
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
	uint64_t owned[VERSIONS_KEPT][NODES];
	uint32_t version;
	GArray *requests;
	GArray *messages;
	uint64_t last_tag;
	uint32_t offering_nodes; /* nodes that get requests now, one bit each */
	double bucket_level;	 /* of a leaky bucket for the whole contract */
	usec_t bucket_updated_at;
	uint64_t admitted, borrowed, units_moved;
} model_t;

static uint32_t
random_number(model_t *model, uint32_t bound)
{
	return random_below(&model->random, bound);
}

static usec_t
node_clock(const model_t *model, const node_t *node)
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
	node->speed = 1 + CLOCK_SKEW * ((int)random_number(model, 3) - 1);
	node->offset = random_number(model, 1000000);
	allowance_set_contract(node->allowance, "c", model->rate,
	    model->concurrency, node_clock(model, node));
}

/* Called for every admission. The leaky bucket checks the rate over all
 * intervals. */
static void
check_admission(model_t *model, request_t *request)
{
	double elapsed = (double)(model->now - model->bucket_updated_at) / 1e6;
	double burst = fmin(fmax(ALLOWANCE_MIN_BURST, model->rate / 10),
	    NODES + model->rate / 10);
	uint32_t running = 0;

	request->admitted = true;
	model->bucket_level =
	    fmax(0,
		model->bucket_level -
		    elapsed * model->rate * (1 + CLOCK_SKEW)) +
	    1;
	model->bucket_updated_at = model->now;
	if (model->bucket_level > burst + 1e-6)
		fail_msg("burst of %g requests at a rate of %g per second",
		    model->bucket_level, model->rate);
	for (guint i = 0; i < model->requests->len; i++) {
		request_t *other =
		    &g_array_index(model->requests, request_t, i);

		running += other->admitted &&
		    MIN(other->answered_at, other->deadline) > model->now;
	}
	if (running > model->concurrency)
		fail_msg("%u requests running, limit %u", running,
		    model->concurrency);
	model->admitted++;
}

static void
handle_actions(model_t *model, uint32_t position)
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

/* Applies the current allowance to admission, as nodes do before each use. */
static void
refresh(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];
	usec_t now = node_clock(model, node);

	admission_set_allowance(node->admission, "c",
	    allowance_rate(node->allowance, "c", now),
	    allowance_concurrency(node->allowance, "c", now), now);
	handle_actions(model, position);
}

/* Up to the longest deadline; in half of the cases exactly that. */
static usec_t
random_duration(model_t *model)
{
	usec_t time = 1 + random_number(model, 2 * (uint32_t)LONGEST_DEADLINE);

	return MIN(LONGEST_DEADLINE, time);
}

static void
offer(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];
	usec_t limit = random_duration(model);
	usec_t now = node_clock(model, node);
	request_t request = {.node = position,
	    .incarnation = node->incarnation,
	    .tag = ++model->last_tag,
	    .answered_at = model->now + random_duration(model),
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

/* Ends requests, but not on nodes that are paused. */
static void
end_requests(model_t *model)
{
	for (guint i = model->requests->len; i > 0; i--) {
		request_t request =
		    g_array_index(model->requests, request_t, i - 1);
		node_t *node = &model->nodes[request.node];
		bool same_process = request.incarnation == node->incarnation;

		if (!request.admitted && same_process)
			continue;
		if (MIN(request.answered_at, request.deadline) > model->now ||
		    (same_process && node->paused_until > model->now))
			continue;
		g_array_remove_index_fast(model->requests, i - 1);
		if (!same_process)
			continue;
		refresh(model, request.node);
		admission_release(
		    node->admission, "c", node_clock(model, node));
		handle_actions(model, request.node);
		i = MIN(i, model->requests->len + 1);
	}
}

static void
send_message(model_t *model, message_t message)
{
	if (random_number(model, 10) == 0)
		return;
	message.due = model->now;
	if (random_number(model, 2) == 0)
		message.due += random_number(model, 400000);
	g_array_append_val(model->messages, message);
	if (random_number(model, 20) == 0) /* arrives twice */
		send_message(model, message);
}

static void
request_loan(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];
	message_t message = {.from = position,
	    .to = random_number(model, NODES),
	    .incarnation = node->incarnation,
	    .loan = {"c", random_number(model, 3) * model->rate / 2,
		random_number(model, model->concurrency + 1)},
	    .asked_at = node_clock(model, node)};

	if (message.to != position)
		send_message(model, message);
}

static void
lend(model_t *model, const message_t *request)
{
	node_t *node = &model->nodes[request->to];
	usec_t now = node_clock(model, node);
	message_t reply = *request;
	admission_stats_t stats;
	char name[8];

	refresh(model, request->to);
	admission_get_stats(node->admission, "c", &stats);
	snprintf(name, sizeof(name), "n%u", request->from);
	allowance_lend(node->allowance, name, request->incarnation,
	    &request->loan,
	    random_number(model, 4) == 0
		? 0
		: admission_demand(node->admission, "c", now),
	    stats.running + stats.waiting, LONGEST_DEADLINE, now, &reply.loan);
	refresh(model, request->to);
	reply.is_reply = true;
	reply.from = request->to;
	reply.to = request->from;
	send_message(model, reply);
}

static void
receive_loan(model_t *model, const message_t *reply)
{
	node_t *node = &model->nodes[reply->to];
	char name[8];

	if (reply->incarnation != node->incarnation)
		return;
	snprintf(name, sizeof(name), "n%u", reply->from);
	refresh(model, reply->to);
	allowance_receive_loan(node->allowance, name, &reply->loan,
	    reply->asked_at, node_clock(model, node));
	refresh(model, reply->to);
	model->borrowed += reply->loan.concurrency > 0;
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
			receive_loan(model, &message);
		else
			lend(model, &message);
	}
}

static uint64_t *
units_at(model_t *model, uint32_t version)
{
	assert_true(model->version < version + VERSIONS_KEPT);
	return model->owned[version % VERSIONS_KEPT];
}

/* Writes a new version of the assignment, in which a node loses the units @drop
 * and gets the units @add. */
static void
write_units(model_t *model, uint32_t position, uint64_t drop, uint64_t add)
{
	uint32_t next = model->version + 1;

	memcpy(units_at(model, next), units_at(model, model->version),
	    sizeof(model->owned[0]));
	units_at(model, next)[position] &= ~drop;
	units_at(model, next)[position] |= add;
	model->version = next;
	model->units_moved++;
}

static uint64_t
random_units(model_t *model)
{
	return allowance_unit_range(
	    random_number(model, 64), 1 + random_number(model, 20));
}

static void
adopt(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];

	if (node->adopted == model->version)
		return;
	node->adopted +=
	    1 + random_number(model, model->version - node->adopted);
	node->closed &= units_at(model, node->adopted)[position];
	if (node->adopted >= node->released_in)
		node->released = 0;
	refresh(model, position);
	allowance_set_units(node->allowance,
	    units_at(model, node->adopted)[position], LONGEST_DEADLINE,
	    node_clock(model, node));
	refresh(model, position);
}

/* Units that this node has released stay closed until it has adopted the
 * version that releases them. */
static void
close_units(model_t *model, uint32_t position, uint64_t units)
{
	node_t *node = &model->nodes[position];

	node->closed =
	    (node->released | units) & units_at(model, node->adopted)[position];
	allowance_close_units(node->allowance, node->closed, LONGEST_DEADLINE,
	    node_clock(model, node));
	refresh(model, position);
}

/* A node closes units, opens them again, releases closed units, or takes units
 * that have no owner. */
static void
move_units(model_t *model, uint32_t position)
{
	node_t *node = &model->nodes[position];
	uint64_t taken = 0;

	switch (random_number(model, 4)) {
	case 0:
		close_units(model, position,
		    random_number(model, 4) == 0 ? 0 : random_units(model));
		break;
	case 1:
		if (random_number(model, 2) == 0)
			close_units(model, position,
			    node->closed | random_units(model));
		node->released =
		    node->closed & units_at(model, node->adopted)[position];
		write_units(model, position, node->released, 0);
		node->released_in = model->version;
		break;
	default:
		for (uint32_t i = 0; i < NODES; i++)
			taken |= units_at(model, model->version)[i];
		write_units(model, position, 0, random_units(model) & ~taken);
		while (random_number(model, 4) != 0 &&
		    node->adopted != model->version)
			adopt(model, position);
		break;
	}
}

/* A node crashes and is proven gone; servers run its requests until their
 * deadlines. */
static void
restart(model_t *model, uint32_t position)
{
	write_units(model, position, UINT64_MAX, 0);
	start_node(model, &model->nodes[position]);
	model->nodes[position].adopted = model->version;
	for (guint i = 0; i < model->requests->len; i++) {
		request_t *request =
		    &g_array_index(model->requests, request_t, i);

		if (request->node == position &&
		    request->answered_at > model->now)
			request->answered_at = request->deadline;
	}
}

static void
step(model_t *model)
{
	uint32_t choice = random_number(model, 1000);
	uint32_t position = random_number(model, NODES);

	if (random_number(model, 100) == 0)
		model->offering_nodes = random_number(model, 1 << NODES);

	model->now += random_number(model, 1 + random_number(model, 10000));
	end_requests(model);
	deliver(model);
	if (model->nodes[position].paused_until > model->now)
		return;
	refresh(model, position);
	admission_tick(model->nodes[position].admission,
	    node_clock(model, &model->nodes[position]));
	handle_actions(model, position);
	if (choice < 500)
		for (uint32_t i = random_number(model, 8); i > 0; i--) {
			if ((model->offering_nodes >> position & 1) != 0)
				offer(model, position);
		}
	else if (choice < 850)
		request_loan(model, position);
	else if (choice < 910)
		move_units(model, position);
	else if (choice < 990)
		adopt(model, position);
	else if (choice < 998)
		model->nodes[position].paused_until =
		    model->now + random_number(model, 1000000);
	else
		restart(model, position);
}

static void
run(uint64_t seed, uint64_t steps)
{
	static const double rates[] = {30, 333.3, 10000, 10000};
	static const uint32_t concurrencies[] = {1000, 1000, 5, 70};
	model_t *model = g_new0(model_t, 1);

	model->random.state = seed;
	model->rate = rates[seed % 4];
	model->concurrency = concurrencies[seed % 4];
	model->requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	model->messages = g_array_new(FALSE, FALSE, sizeof(message_t));
	for (uint32_t i = 0; i < NODES; i++)
		start_node(model, &model->nodes[i]);
	for (uint64_t i = 0; i < steps; i++)
		step(model);
	assert_int_equal(event_count(EVENT_INVARIANT_BROKEN), 0);
	/* A run in which hardly anything happens would prove nothing. */
	assert_true(model->borrowed > steps / 1000 &&
	    model->units_moved > steps / 1000 && model->admitted > steps / 500);
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
