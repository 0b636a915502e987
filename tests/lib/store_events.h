#ifndef TESTS_LIB_STORE_EVENTS_H
#define TESTS_LIB_STORE_EVENTS_H

#include "store_model.h"

/**
 * DOC: Events between the store and its client
 *
 * Letters stand for events, so that an order of events is a text:
 *
 * c: the configuration changes; a: a server leaves or returns
 * b: another server changes; w: until something has happened
 * s: 60 ms pass; t: 0.4 s pass; l: 4 s pass
 * p: the store loses the running calls; x: they are reset; u: it refuses them
 * o: an outage begins or ends; g: the store drops its history
 * h: old reads show this moment for 5 s; d: polls report changes late, or no
 * longer; z: the store becomes slow, or fast
 * m: this node reads for itself, r: for others too, f: others read for it
 * k: others tell it all changes
 * v: the store is copied; y: it comes back from its copy, in a new era
 * e, i: an evacuation begins or is revoked, if the client follows them
 */

#define STORE_EVENTS "cabwstlpxuoghdzmrfkeivy"

#define LONG_TIME SECONDS(4)   /* of the event l */
#define OLD_TIME SECONDS(5)    /* for which old reads show a moment */
#define START_TIME SECONDS(20) /* by then the client has read all */

/* The settings of a contract with a drain bound of 5 s. */
#define POLL_WAIT SECONDS(3)
#define ANSWER_MARGIN SECONDS(1)
#define CHANGE_DELAY SECONDS(2)
#define CONFIG_POLL_WAIT SECONDS(16)
#define CONFIG_ANSWER_MARGIN SECONDS(3)
#define CONFIG_CHANGE_DELAY MS(400)
#define PEER_RETURN_WAIT MS(800)
#define FIRST_POLL_DELAY MS(1400)
#define PROBE_INTERVAL SECONDS(2)
#define RELAY_PROBE_INTERVAL MS(500)
#define FOLLOWER_PROBE_INTERVAL SECONDS(6)
#define LATENCY MS(4)
#define SLOW_LATENCY MS(1200)
/* The settings of a contract with an evacuation bound of 5 s. */
#define EVACUATION_BOUND SECONDS(5)
#define EVACUATION_DELAY MS(400)
#define EVACUATION_POLL_MAX SECONDS(4)

/** store_events_settings - A client that follows no evacuations. */
extern const model_settings_t store_events_settings;

/** store_events_with_evacuations() - The same, but it follows them. */
model_settings_t store_events_with_evacuations(void);

/** store_events_open() - Opens the model for an order. At its begin, '+':
 * evacuations are followed; then '-': from the client's start, else from one
 * that has read all. */
void store_events_open(store_model_t *model, const char *order);

/** store_events_play() - Plays the event of a letter. */
void store_events_play(store_model_t *model, char event);

/** store_events_toggle() - Begins an evacuation or revokes it, or a server
 * leaves or returns. */
void store_events_toggle(
    store_model_t *model, store_channel_id_t kind, uint32_t object);

/** store_events_count_calls() - All calls of the client so far. */
uint64_t store_events_count_calls(const store_model_t *model);

#endif
