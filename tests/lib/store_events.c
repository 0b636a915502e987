#include "store_events.h"

#include <string.h>

#define SHORT_TIME MS(60)
#define MEDIUM_TIME MS(400)
#define STATUS_BUSY 503

const model_settings_t store_events_settings = {
    .machine = {.watches = {[STORE_CONFIG] = {.poll_wait = CONFIG_POLL_WAIT,
				.answer_margin = CONFIG_ANSWER_MARGIN,
				.change_delay = CONFIG_CHANGE_DELAY,
				.first_poll_delay = FIRST_POLL_DELAY},
		    [STORE_SERVERS] = {.poll_wait = POLL_WAIT,
			.answer_margin = ANSWER_MARGIN,
			.change_delay = CHANGE_DELAY,
			.first_poll_delay = FIRST_POLL_DELAY,
			.may_list_old = true}},
	.probe_intervals = {[STORE_SOURCE_SELF] = PROBE_INTERVAL,
	    [STORE_SOURCE_SELF_FOR_OTHERS] = RELAY_PROBE_INTERVAL,
	    [STORE_SOURCE_PEERS] = FOLLOWER_PROBE_INTERVAL},
	.peer_return_wait = PEER_RETURN_WAIT,
	.seed = 1},
    .latency = LATENCY,
    .slow_latency = SLOW_LATENCY};

model_settings_t
store_events_with_evacuations(void)
{
	model_settings_t with = store_events_settings;

	with.machine.watches[STORE_EVACUATIONS] =
	    (watch_settings_t){.poll_wait = POLL_WAIT,
		.answer_margin = ANSWER_MARGIN,
		.poll_time_max = EVACUATION_POLL_MAX,
		.change_delay = EVACUATION_DELAY,
		.first_poll_delay = FIRST_POLL_DELAY};
	return with;
}

void
store_events_toggle(
    store_model_t *model, store_channel_id_t kind, uint32_t object)
{
	store_model_change(
	    model, kind, object, !store_model_has(model, kind, object));
}

static void
toggle_outage(store_model_t *model)
{
	model->is_away = !model->is_away;
	if (model->is_away)
		store_model_lose_calls(model);
}

static void
play_store_event(store_model_t *model, char event)
{
	switch (event) {
	case 'c':
		store_model_change(model, STORE_CONFIG, 0, true);
		break;
	case 'a':
		store_events_toggle(model, STORE_SERVERS, 2);
		break;
	case 'b':
		store_model_change(model, STORE_SERVERS, 0, true);
		break;
	case 'p':
		store_model_lose_calls(model);
		break;
	case 'x':
		store_model_end_calls(model, 0);
		break;
	case 'u':
		store_model_end_calls(model, STATUS_BUSY);
		break;
	case 'o':
		toggle_outage(model);
		break;
	case 'g':
		store_model_drop_history(model);
		break;
	case 'h':
		store_model_set_old(model, OLD_TIME);
		break;
	case 'v':
		store_model_copy(model);
		break;
	case 'y':
		store_model_restore(model);
		break;
	case 'z':
		store_model_set_slow(model, !model->is_slow);
		break;
	case 'e':
		store_events_toggle(model, STORE_EVACUATIONS, 0);
		break;
	case 'i':
		store_events_toggle(model, STORE_EVACUATIONS, 1);
		break;
	case 'd':
		model->answers_late = !model->answers_late;
		break;
	}
}

void
store_events_play(store_model_t *model, char event)
{
	switch (event) {
	case 'w':
		store_model_step(model);
		break;
	case 's':
		store_model_run(model, model->now + SHORT_TIME);
		break;
	case 't':
		store_model_run(model, model->now + MEDIUM_TIME);
		break;
	case 'l':
		store_model_run(model, model->now + LONG_TIME);
		break;
	case 'm':
		store_model_set_source(model, STORE_SOURCE_SELF);
		break;
	case 'r':
		store_model_set_source(model, STORE_SOURCE_SELF_FOR_OTHERS);
		break;
	case 'f':
		store_model_set_source(model, STORE_SOURCE_PEERS);
		break;
	case 'k':
		store_model_tell(model);
		break;
	default:
		play_store_event(model, event);
	}
}

uint64_t
store_events_count_calls(const store_model_t *model)
{
	uint64_t count = 0;

	for (int i = 0; i < STORE_CHANNELS; i++)
		count += model->call_counts[i];
	return count;
}

void
store_events_open(store_model_t *model, const char *order)
{
	model_settings_t chosen = order[0] == '+'
	    ? store_events_with_evacuations()
	    : store_events_settings;

	store_model_open(model, &chosen);
	if (strchr(order, '-') == NULL)
		store_model_run(model, model->now + START_TIME);
}
