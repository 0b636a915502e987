#ifndef TESTS_LIB_STORE_MODEL_H
#define TESTS_LIB_STORE_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "../../platform/store_machine.h"

/**
 * DOC: A store and its client without I/O
 *
 * Drives a store machine against a store that is simulated: with latency, lost
 * calls, resets, outages, lost history, reads that are old, and returns from an
 * older copy. What the client knows is compared with what the store has after
 * each fact that it reports. A model is copied with its machine, so that orders
 * of events can branch.
 */

#define MODEL_SERVERS 3
#define MODEL_EVACUATIONS 2 /* objects, if the client follows the kind */
#define MODEL_PAGE 2	    /* servers in a response to a list call */
#define MODEL_CHANGES_MAX 64
#define MODEL_ANSWER_CHANGES 2 /* of a kind in an answer to a poll */
#define MODEL_MANY_CHANGES 100 /* stands for those of an answer that is cut */

/** typedef model_settings_t - The client, and how the store is in general. */
typedef struct {
	store_machine_settings_t machine;
	usec_t latency;
	usec_t slow_latency; /* while the store is slow */
} model_settings_t;

/** typedef model_change_t - A change of the store. */
typedef struct {
	usec_t at;
	store_channel_id_t kind;
	uint32_t object;
	bool present;
} model_change_t;

/** typedef model_call_t - The call of a channel. */
typedef struct {
	bool running;
	bool lost; /* the store will not answer */
	store_query_t query;
	usec_t sent_at;
	uint32_t page; /* QUERY_NEXT_PAGE: its first object */
} model_call_t;

/** typedef model_mirror_t - What the client knows of a kind. */
typedef struct {
	bool present[MODEL_SERVERS];
	int64_t revisions[MODEL_SERVERS]; /* of the objects */
	bool listed[MODEL_SERVERS];
	uint32_t next_page;
	store_position_t told; /* that other nodes know it to have */
} model_mirror_t;

/** typedef store_model_t - A run. */
typedef struct {
	model_settings_t settings;
	store_machine_t *machine;
	usec_t now;
	model_change_t changes[MODEL_CHANGES_MAX]; /* by revision - 1 */
	int64_t revision;			   /* of the store */
	int64_t era;				   /* the same */
	int64_t copied_revision; /* up to where its copy goes */
	int64_t first_kept; /* polls from before it are answered with 410 */
	bool is_away;	    /* loses all calls */
	usec_t old_until;   /* old reads show the state of old_revision... */
	int64_t old_revision;
	int64_t old_era; /* ...in this era */
	bool is_slow;
	usec_t slowness_changed_at;
	bool answers_late; /* polls report a change 200 ms later */
	store_source_t source;
	model_call_t calls[STORE_CHANNELS];
	model_mirror_t mirrors[STORE_KINDS];
	uint64_t call_counts[STORE_CHANNELS];
	uint32_t inputs;     /* since time has passed */
	FILE *trace;	     /* outputs are written to it; NULL: they are not */
	const char *failure; /* NULL: none */
} store_model_t;

/** store_model_open() - Starts a client beside a store whose old reads still
 * show a server that has just left, and an evacuation that was revoked. */
void store_model_open(store_model_t *model, const model_settings_t *settings);
void store_model_close(store_model_t *model);

/** store_model_branch() - A copy, to be closed with store_model_close(). */
void store_model_branch(store_model_t *copy, const store_model_t *model);

/** store_model_run() - Lets time pass until @end. */
void store_model_run(store_model_t *model, usec_t end);

/** store_model_step() - Lets time pass until something has happened. */
void store_model_step(store_model_t *model);

/** store_model_set_slow() - Changes the store's latency. */
void store_model_set_slow(store_model_t *model, bool is_slow);

/** store_model_follows() - Whether the client follows the kind. */
bool store_model_follows(const store_model_t *model, store_channel_id_t kind);

/** store_model_has() - Whether the store has the object now. */
bool store_model_has(
    const store_model_t *model, store_channel_id_t kind, uint32_t object);

/** store_model_change() - Changes an object: adds, changes or removes it. */
void store_model_change(store_model_t *model, store_channel_id_t kind,
    uint32_t object, bool present);

/** store_model_lose_calls() - The running calls get no answer. */
void store_model_lose_calls(store_model_t *model);

/** store_model_end_calls() - The running calls end with @status. */
void store_model_end_calls(store_model_t *model, int status);

/** store_model_drop_history() - Ends polls from before this moment with 410. */
void store_model_drop_history(store_model_t *model);

/** store_model_copy() - The copy from which the store may come back. */
void store_model_copy(store_model_t *model);

/** store_model_restore() - The store comes back from its copy, in a new era; it
 * has lost the running calls and all that was written since. */
void store_model_restore(store_model_t *model);

/** store_model_set_old() - Old reads show this moment from now on, for @time.
 */
void store_model_set_old(store_model_t *model, usec_t time);

/** store_model_set_source() - Who reads the store for the client. */
void store_model_set_source(store_model_t *model, store_source_t source);

/** store_model_tell() - Other nodes send all changes; if they are not accepted,
 * they only say which revision is known. */
void store_model_tell(store_model_t *model);

/** store_model_is_current() - Whether the client knows the state of a kind. */
bool store_model_is_current(
    const store_model_t *model, store_channel_id_t kind);

#endif
