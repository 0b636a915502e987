/*
 * Tests how late news of the store can be, and what they cost: ways to notice a
 * lost poll, the bounds of evacuations and of the configuration, outages, and
 * nodes that others read for. Guards against a time or a number of calls that
 * grows. The store is simulated.
 */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "lib/store_events.h"

#define LISTING_TIME MS(100) /* until all has been listed */
#define FIRST_RETRY MS(120)
#define CALLS_OF_A_START 4 /* configuration, two pages, changes since then */

/* A way to notice that the store has lost a poll, and what it costs. */
typedef struct {
	const char *name;
	usec_t config_wait;
	usec_t config_margin;
	usec_t servers_wait;
	usec_t probe_interval;
	usec_t max_config_time; /* until a change is heard */
	usec_t max_servers_time;
	double max_polls; /* a minute */
	double max_probes;
} notice_case_t;

#define LOSSES 30
#define LOSS_INTERVAL SECONDS(20)
#define NO_PROBES SECONDS(36000)

static const notice_case_t notice_cases[] = {
    {"long polls alone", SECONDS(16), CONFIG_ANSWER_MARGIN, SECONDS(16),
	NO_PROBES, SECONDS(20), SECONDS(19), 20, 1},
    {"bounded polls of both kinds", SECONDS(3), CONFIG_ANSWER_MARGIN,
	SECONDS(3), NO_PROBES, MS(6500), MS(4500), 60, 1},
    {"long polls, probes of the configuration", SECONDS(16),
	CONFIG_ANSWER_MARGIN, SECONDS(16), SECONDS(2), MS(2800), SECONDS(19),
	30, 31},
    {"bounded polls of servers, probes of the configuration", SECONDS(16),
	CONFIG_ANSWER_MARGIN, SECONDS(3), SECONDS(2), MS(2800), MS(4500), 40,
	31},
    {"bounded polls of both kinds, 3 s for a configuration, and probes",
	MS(1800), MS(600), SECONDS(3), SECONDS(2), MS(2600), MS(4500), 60, 31},
    {"the same, 5 s for a configuration", SECONDS(3), SECONDS(1), SECONDS(3),
	SECONDS(2), MS(2800), MS(4500), 55, 31},
};

static usec_t
time_to_hear(store_model_t *model, store_channel_id_t kind)
{
	usec_t start = model->now;

	while (!store_model_is_current(model, kind) &&
	    model->now - start < SECONDS(30))
		store_model_run(model, model->now + MS(10));
	return model->now - start;
}

/* Loses the polls at many moments, each time just before a change of @kind.
 * Return: the longest time until it was heard. */
static usec_t
worst_time(store_model_t *model, store_channel_id_t kind)
{
	usec_t worst = 0;

	for (int i = 0; i < LOSSES; i++) {
		usec_t end = model->now + LOSS_INTERVAL + MS(130) * i;
		usec_t time;

		store_model_lose_calls(model);
		store_model_change(model, kind, 0, true);
		time = time_to_hear(model, kind);
		worst = MAX(worst, time);
		store_model_run(model, end);
	}
	return worst;
}

static usec_t
play_notice_case(const notice_case_t *test, store_channel_id_t kind,
    double *polls, double *probes)
{
	model_settings_t chosen = store_events_settings;
	store_model_t model;
	usec_t worst, start;
	double minutes;

	chosen.machine.watches[STORE_CONFIG].poll_wait = test->config_wait;
	chosen.machine.watches[STORE_CONFIG].answer_margin =
	    test->config_margin;
	chosen.machine.watches[STORE_SERVERS].poll_wait = test->servers_wait;
	chosen.machine.probe_intervals[STORE_SOURCE_SELF] =
	    test->probe_interval;
	store_model_open(&model, &chosen);
	start = model.now;
	store_model_run(&model, model.now + START_TIME);
	worst = worst_time(&model, kind);
	minutes = (double)(model.now - start) / SECONDS(60);
	*polls = (double)(model.call_counts[STORE_CONFIG] +
		     model.call_counts[STORE_SERVERS]) /
	    minutes;
	*probes = (double)model.call_counts[STORE_PROBE] / minutes;
	store_model_close(&model);
	return worst;
}

/*
 * Compares ways to notice a lost poll. Guards against a time or a number of
 * calls that grows; the last two cases are how the gateway does it.
 */
static void
a_lost_poll_costs_few_calls_and_little_time(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(notice_cases); i++) {
		const notice_case_t *test = &notice_cases[i];
		double polls, probes;
		usec_t servers =
		    play_notice_case(test, STORE_SERVERS, &polls, &probes);
		usec_t config =
		    play_notice_case(test, STORE_CONFIG, &polls, &probes);

		print_message("%s: configuration %.2f s, servers %.2f s, "
			      "%.1f polls and %.1f probes a minute\n",
		    test->name, (double)config / USEC_PER_SEC,
		    (double)servers / USEC_PER_SEC, polls, probes);
		assert_true(config <= test->max_config_time);
		assert_true(servers <= test->max_servers_time);
		assert_true(polls <= test->max_polls);
		assert_true(probes <= test->max_probes);
	}
}

typedef struct {
	const char *name;
	const char *before; /* events */
	const char *change;
	usec_t bound; /* until what @change says is known */
} bound_case_t;

static const bound_case_t evacuation_cases[] = {
    {"calm", "+", "e", 3 * LATENCY},
    {"two at once", "+", "ei", EVACUATION_DELAY + 3 * LATENCY},
    {"taken back soon", "+ew", "e", EVACUATION_DELAY + 3 * LATENCY},
    {"a lost poll", "+p", "e", EVACUATION_POLL_MAX + FIRST_RETRY + 3 * LATENCY},
    {"taken back, a lost poll", "+elp", "e",
	EVACUATION_POLL_MAX + FIRST_RETRY + 3 * LATENCY},
    {"two lost polls", "+plp", "ei", EVACUATION_BOUND},
    {"a store that has become slow", "+zlll", "e", EVACUATION_BOUND},
    {"a poll lost by a slow store", "+zlllp", "e", EVACUATION_BOUND},
    {"history gone", "+g", "e", EVACUATION_BOUND},
    {"right after the store was away", "+oleo", "i", EVACUATION_BOUND},
    {"a start", "+-", "e", 3 * FIRST_POLL_DELAY},
    {"a start while the store is away", "+-olo", "e", EVACUATION_BOUND},
};

/* The settings of a contract in which a version is in force within 3 s. */
#define CONFIG_BOUND SECONDS(3)
#define CONFIG_BOUND_WAIT MS(1800)
#define CONFIG_BOUND_MARGIN MS(600)
#define CONFIG_BOUND_MAX (CONFIG_BOUND_WAIT + CONFIG_BOUND_MARGIN)
#define CONFIG_BOUND_DELAY MS(240)

static const bound_case_t config_cases[] = {
    {"calm", "", "c", 3 * LATENCY},
    {"two in quick succession", "cw", "c", CONFIG_BOUND_DELAY + 3 * LATENCY},
    {"a lost poll", "p", "c", CONFIG_BOUND_MAX + FIRST_RETRY + 3 * LATENCY},
    {"a lost poll, and reads that are old", "hp", "c", CONFIG_BOUND},
    {"a version, a lost poll, and reads that are old", "cwhp", "c",
	CONFIG_BOUND},
    {"two lost polls, and reads that are old", "hplhp", "c", CONFIG_BOUND},
    {"history gone, a lost list, and reads that are old", "hcgwhp", "c",
	CONFIG_BOUND},
    {"right after the store was away", "oleo", "c", CONFIG_BOUND},
    {"the store has come back from a copy", "vcyw", "c", CONFIG_BOUND},
    {"the same, and reads that are old", "vchyl", "c", CONFIG_BOUND},
};

/* The longest time until @change is known, at whichever moment between two
 * polls it comes. */
static usec_t
worst_time_of(const bound_case_t *test, const model_settings_t *chosen,
    store_channel_id_t kind, const char **failure)
{
	usec_t worst = 0;

	for (int i = 0; i < LOSSES; i++) {
		store_model_t model;
		usec_t time;

		store_model_open(&model, chosen);
		if (strchr(test->before, '-') == NULL)
			store_model_run(&model, model.now + START_TIME);
		store_model_run(&model, model.now + MS(130) * i);
		for (const char *at = test->before; *at != '\0'; at++)
			if (*at != '+' && *at != '-')
				store_events_play(&model, *at);
		for (const char *at = test->change; *at != '\0'; at++)
			store_events_play(&model, *at);
		time = time_to_hear(&model, kind);
		worst = MAX(worst, time);
		if (model.failure != NULL)
			*failure = model.failure;
		store_model_close(&model);
	}
	return worst;
}

static void
check_bounds(const bound_case_t *cases, size_t count,
    const model_settings_t *chosen, store_channel_id_t kind)
{
	for (size_t i = 0; i < count; i++) {
		const char *failure = NULL;
		usec_t time = worst_time_of(&cases[i], chosen, kind, &failure);

		if (time > cases[i].bound + MS(10) || failure != NULL)
			fail_msg("%s: after %lld ms, %s", cases[i].name,
			    (long long)(time / USEC_PER_MS),
			    failure != NULL ? failure : "too late");
	}
}

/* Guards against an evacuation that a node in contact with the store follows
 * too late. */
static void
evacuations_are_heard_within_their_bound(void **state)
{
	const model_settings_t chosen = store_events_with_evacuations();

	check_bounds(evacuation_cases, G_N_ELEMENTS(evacuation_cases), &chosen,
	    STORE_EVACUATIONS);
}

/* Guards against a version that a node in contact with the store adopts too
 * late, because a call was lost that only an old read would show. */
static void
configurations_are_heard_within_their_bound(void **state)
{
	model_settings_t chosen = store_events_settings;

	chosen.machine.watches[STORE_CONFIG] =
	    (watch_settings_t){.poll_wait = CONFIG_BOUND_WAIT,
		.answer_margin = CONFIG_BOUND_MARGIN,
		.poll_time_max = CONFIG_BOUND_MAX,
		.change_delay = CONFIG_BOUND_DELAY,
		.first_poll_delay = FIRST_POLL_DELAY};
	check_bounds(
	    config_cases, G_N_ELEMENTS(config_cases), &chosen, STORE_CONFIG);
}

typedef struct {
	const char *name;
	usec_t silence; /* of the other nodes after the store is back */
	bool
	    has_change; /* the store has a configuration that they don't know */
	bool polls;
} return_case_t;

static const return_case_t return_cases[] = {
    {"others are back soon", PEER_RETURN_WAIT - MS(150), false, false},
    {"others stay silent", PEER_RETURN_WAIT + MS(200), false, true},
    {"the probe has found what others have missed", MS(300), true, true},
};

/* Polls between the end of an outage and the return of the other nodes. */
static uint64_t
polls_after_outage(const return_case_t *test)
{
	store_model_t model;
	uint64_t polls;

	store_model_open(&model, &store_events_settings);
	store_model_run(&model, model.now + START_TIME);
	store_model_set_source(&model, STORE_SOURCE_PEERS);
	model.is_away = true;
	store_model_lose_calls(&model);
	store_model_set_source(&model, STORE_SOURCE_SELF);
	store_model_run(&model, model.now + LONG_TIME);
	polls =
	    model.call_counts[STORE_CONFIG] + model.call_counts[STORE_SERVERS];
	model.is_away = false;
	if (test->has_change)
		store_model_change(&model, STORE_CONFIG, 0, true);
	while (model.calls[STORE_PROBE].running)
		store_model_step(&model);
	store_model_step(&model);
	store_model_run(&model, model.now + test->silence);
	store_model_set_source(&model, STORE_SOURCE_PEERS);
	polls = model.call_counts[STORE_CONFIG] +
	    model.call_counts[STORE_SERVERS] - polls;
	store_model_close(&model);
	return polls;
}

/*
 * Guards against polls by all nodes at the end of each outage, although those
 * that read the store for them are back at once.
 */
static void
a_follower_waits_for_relays_after_an_outage(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(return_cases); i++) {
		uint64_t polls = polls_after_outage(&return_cases[i]);

		if ((polls > 0) != return_cases[i].polls)
			fail_msg("%s: %llu polls", return_cases[i].name,
			    (unsigned long long)polls);
	}
}

/*
 * Guards against long polls by all nodes at their start, which those that hear
 * of others that read the store for them end at once.
 */
static void
a_new_follower_sends_no_poll(void **state)
{
	store_model_t model;

	store_model_open(&model, &store_events_settings);
	store_model_run(&model, model.now + LISTING_TIME);
	assert_true(store_model_is_current(&model, STORE_CONFIG));
	assert_true(store_model_is_current(&model, STORE_SERVERS));
	store_model_run(&model, model.now + FIRST_POLL_DELAY - LISTING_TIME);
	store_model_set_source(&model, STORE_SOURCE_PEERS);
	store_model_run(&model, model.now + LONG_TIME);
	assert_int_equal(
	    store_events_count_calls(&model) - model.call_counts[STORE_PROBE],
	    CALLS_OF_A_START);
	store_model_close(&model);
}

typedef struct {
	const char *name;
	store_source_t source;
	uint64_t max_probes; /* in an outage of 10 s */
	usec_t max_time;     /* from its end until the store is reached */
} outage_case_t;

/* A probe that gets no answer takes 1.5 s, then come the delays of its retries,
 * each with a jitter of a fifth. */
static const outage_case_t outage_cases[] = {
    {"a node alone", STORE_SOURCE_SELF, 7, MS(480) + MS(1500)},
    {"a relay", STORE_SOURCE_SELF_FOR_OTHERS, 7, MS(480) + MS(1500)},
    {"a follower", STORE_SOURCE_PEERS, 4, MS(3840) + MS(1500)},
};

/*
 * Guards against probes of all nodes in an outage, which are refused or wait,
 * although a few suffice to notice its end.
 */
static void
an_outage_costs_few_probes(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(outage_cases); i++) {
		const outage_case_t *test = &outage_cases[i];
		store_model_t model;
		uint64_t probes;
		usec_t end;

		store_model_open(&model, &store_events_settings);
		store_model_run(&model, model.now + START_TIME);
		store_model_set_source(&model, test->source);
		store_model_run(&model, model.now + SECONDS(1));
		model.is_away = true;
		store_model_lose_calls(&model);
		probes = model.call_counts[STORE_PROBE];
		store_model_run(&model, model.now + SECONDS(10));
		probes = model.call_counts[STORE_PROBE] - probes;
		if (probes > test->max_probes)
			fail_msg("%s: %llu probes", test->name,
			    (unsigned long long)probes);
		model.is_away = false;
		end = model.now;
		probes = model.call_counts[STORE_PROBE];
		while (model.call_counts[STORE_PROBE] == probes &&
		    model.now < end + SECONDS(30))
			store_model_step(&model);
		if (model.now - end > test->max_time)
			fail_msg("%s: reached after %lld ms", test->name,
			    (long long)((model.now - end) / USEC_PER_MS));
		store_model_close(&model);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_lost_poll_costs_few_calls_and_little_time),
	    cmocka_unit_test(an_outage_costs_few_probes),
	    cmocka_unit_test(a_new_follower_sends_no_poll),
	    cmocka_unit_test(a_follower_waits_for_relays_after_an_outage),
	    cmocka_unit_test(evacuations_are_heard_within_their_bound),
	    cmocka_unit_test(configurations_are_heard_within_their_bound),
	};

	return RUN_TESTS(argc, argv, tests);
}
