#include "rate_gate.h"

#include <glib.h>
#include <string.h>

#include "../base/loop_clock.h"

struct rate_gate {
	struct ev_loop *loop;
	customer_rates_t *rates;
	char *node;
	rate_sender_t sender; /* its function may be NULL */
	void (*decided)(const rate_decision_t *decision);
	ev_timer timer;
	bool is_deciding;
};

/*
 * The loop's time is that of its last wakeup. A process that was suspended
 * since must not use a lease that has ended.
 */
static usec_t
gate_now(void)
{
	return clock_monotonic();
}

static void
schedule(rate_gate_t *gate)
{
	usec_t due = customer_rates_next_due(gate->rates);

	ev_timer_stop(gate->loop, &gate->timer);
	if (due == INT64_MAX)
		return;
	ev_timer_set(
	    &gate->timer, (double)MAX(due - gate_now(), 0) / USEC_PER_SEC, 0.0);
	ev_timer_start(gate->loop, &gate->timer);
}

static void
send_messages(rate_gate_t *gate)
{
	const rate_message_t *message;

	while ((message = customer_rates_next_message(gate->rates)) != NULL)
		if (gate->sender.send != NULL)
			gate->sender.send(gate->sender.context, message->node,
			    &message->message);
}

/* A verdict may start another request, whose verdict follows in its turn. */
static void
pass_decisions(rate_gate_t *gate)
{
	rate_decision_t decision;

	if (gate->is_deciding)
		return;
	gate->is_deciding = true;
	while (customer_rates_next_decision(gate->rates, &decision))
		gate->decided(&decision);
	gate->is_deciding = false;
}

static void
flush(rate_gate_t *gate)
{
	send_messages(gate);
	pass_decisions(gate);
	schedule(gate);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	rate_gate_t *gate = timer->data;

	customer_rates_advance(gate->rates, gate_now());
	flush(gate);
}

static uint64_t
random_incarnation(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int() | 1;
}

rate_gate_t *
rate_gate_create(struct ev_loop *loop, const rate_bound_t *bound,
    const char *node, void (*decided)(const rate_decision_t *decision))
{
	rate_gate_t *gate = g_new0(rate_gate_t, 1);

	gate->loop = loop;
	gate->node = g_strdup(node);
	gate->decided = decided;
	gate->rates = customer_rates_create(
	    bound, node, random_incarnation(), gate_now());
	ev_timer_init(&gate->timer, on_timer, 0.0, 0.0);
	gate->timer.data = gate;
	return gate;
}

void
rate_gate_destroy(rate_gate_t *gate)
{
	if (gate == NULL)
		return;
	ev_timer_stop(gate->loop, &gate->timer);
	customer_rates_destroy(gate->rates);
	g_free(gate->node);
	g_free(gate);
}

void
rate_gate_set_sender(rate_gate_t *gate, const rate_sender_t *sender)
{
	gate->sender = *sender;
}

void
rate_gate_set_nodes(rate_gate_t *gate, const peer_node_t *nodes, uint32_t count)
{
	name_t *names = g_new(name_t, MAX(count, 1));

	for (uint32_t i = 0; i < count; i++)
		g_strlcpy(names[i], nodes[i].name, sizeof(names[i]));
	customer_rates_set_nodes(
	    gate->rates, (const name_t *)names, count, gate_now());
	g_free(names);
	flush(gate);
}

void
rate_gate_set_alone(rate_gate_t *gate)
{
	name_t name;

	g_strlcpy(name, gate->node, sizeof(name));
	customer_rates_set_nodes(
	    gate->rates, (const name_t *)&name, 1, gate_now());
	flush(gate);
}

void
rate_gate_set_limits(rate_gate_t *gate, const route_table_t *table)
{
	usec_t now = gate_now();

	customer_rates_begin_limits(gate->rates);
	for (uint32_t i = 0; i < route_table_customer_count(table); i++) {
		const customer_spec_t *customer =
		    route_table_customer(table, i);

		customer_rates_set_limit(gate->rates, customer->name,
		    customer->rate_per_s, customer->burst, now);
	}
	customer_rates_end_limits(gate->rates);
	flush(gate);
}

rate_verdict_t
rate_gate_request(
    rate_gate_t *gate, const char *customer, void *request, usec_t *retry_after)
{
	rate_verdict_t verdict = customer_rates_request(
	    gate->rates, customer, request, gate_now(), retry_after);

	/* Of other requests there are no verdicts now. */
	send_messages(gate);
	if (verdict == RATE_HOLD)
		schedule(gate);
	return verdict;
}

void
rate_gate_cancel(rate_gate_t *gate, const char *customer, const void *request)
{
	customer_rates_cancel(gate->rates, customer, request);
}

void
rate_gate_return(rate_gate_t *gate, const char *customer)
{
	customer_rates_return(gate->rates, customer, gate_now());
}

void
rate_gate_receive(
    rate_gate_t *gate, const char *sender, const peer_message_t *message)
{
	customer_rates_receive(gate->rates, sender, message, gate_now());
	flush(gate);
}

void
rate_gate_visit(rate_gate_t *gate,
    void (*visit)(void *context, const rate_stats_t *stats), void *context)
{
	customer_rates_visit(gate->rates, visit, context, gate_now());
}
