/* Guards the state machine of a conditional update against a change that is
 * reported as made but was not, reported as not made but was, or applied twice.
 */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "bulrushwell/tool_change.h"

#define OWN_OPERATION "ours"
#define OTHER_OPERATION "theirs"

typedef struct {
	change_event_t event;
	uint64_t version;
	const char *operation;
	usec_t now;
	change_action_t action;
} change_step_t;

static const struct {
	uint64_t expected_version;
	bool maybe_applied;
	change_step_t steps[6];
} change_cases[] = {
    {3, false, {{CHANGE_WRITE_APPLIED, 4, NULL, 0, CHANGE_DONE}}},
    {0, false, {{CHANGE_WRITE_REFUSED, 0, NULL, 0, CHANGE_REFUSED}}},
    /* response lost, the write took effect */
    {3, true,
	{{CHANGE_WRITE_OUTCOME_UNKNOWN, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FOUND, 4, OWN_OPERATION, 0, CHANGE_DONE}}},
    /* response lost, the write did not take effect */
    {3, true,
	{{CHANGE_WRITE_OUTCOME_UNKNOWN, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FOUND, 3, OTHER_OPERATION, 0, CHANGE_WRITE},
	    {CHANGE_WRITE_APPLIED, 4, NULL, 0, CHANGE_DONE}}},
    {0, true,
	{{CHANGE_WRITE_OUTCOME_UNKNOWN, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_ABSENT, 0, NULL, 0, CHANGE_WRITE},
	    {CHANGE_WRITE_CONFLICT, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FOUND, 1, OWN_OPERATION, 0, CHANGE_DONE}}},
    /* response lost, and another change is stored */
    {3, true,
	{{CHANGE_WRITE_OUTCOME_UNKNOWN, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FOUND, 5, OTHER_OPERATION, 0, CHANGE_CONFLICT}}},
    /* conflict with another change */
    {3, false,
	{{CHANGE_WRITE_CONFLICT, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FOUND, 4, OTHER_OPERATION, 0, CHANGE_CONFLICT}}},
    /* a conflict is certain even when the object cannot be read back */
    {3, false,
	{{CHANGE_WRITE_CONFLICT, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FAILED, 0, NULL, 1, CHANGE_READ},
	    {CHANGE_READ_FAILED, 0, NULL, 11, CHANGE_CONFLICT}}},
    /* a stale read after a conflict does not lead to another write */
    {3, false,
	{{CHANGE_WRITE_CONFLICT, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FOUND, 3, OTHER_OPERATION, 1, CHANGE_READ},
	    {CHANGE_READ_FOUND, 4, OTHER_OPERATION, 2, CHANGE_CONFLICT}}},
    {3, false,
	{{CHANGE_WRITE_NOT_SENT, 0, NULL, 0, CHANGE_WRITE},
	    {CHANGE_WRITE_NOT_SENT, 0, NULL, 11, CHANGE_UNREACHABLE}}},
    {3, true,
	{{CHANGE_WRITE_OUTCOME_UNKNOWN, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FAILED, 0, NULL, 1, CHANGE_READ},
	    {CHANGE_READ_FAILED, 0, NULL, 11, CHANGE_OUTCOME_UNKNOWN}}},
    {3, true,
	{{CHANGE_WRITE_OUTCOME_UNKNOWN, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FOUND, 3, OTHER_OPERATION, 11,
		CHANGE_OUTCOME_UNKNOWN}}},
    {3, true,
	{{CHANGE_WRITE_OUTCOME_UNKNOWN, 0, NULL, 0, CHANGE_READ},
	    {CHANGE_READ_FOUND, 3, OTHER_OPERATION, 1, CHANGE_WRITE},
	    {CHANGE_WRITE_REFUSED, 0, NULL, 2, CHANGE_READ},
	    {CHANGE_READ_FAILED, 0, NULL, 11, CHANGE_OUTCOME_UNKNOWN}}},
};

static void
changes_are_decided(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(change_cases); i++) {
		change_t change;

		change_begin(&change, OWN_OPERATION,
		    change_cases[i].expected_version, 10);
		for (size_t j = 0; j < 6; j++) {
			const change_step_t *step = &change_cases[i].steps[j];
			change_action_t action;

			/* Unused steps are all zero; no step of a case is. */
			if (step->action == CHANGE_WRITE && step->event == 0 &&
			    step->version == 0)
				break;
			action = change_step(&change, step->event,
			    step->version, step->operation, step->now);
			if (action != step->action)
				fail_msg("case %zu step %zu: %d", i, j, action);
		}
		assert_int_equal(
		    change.maybe_applied, change_cases[i].maybe_applied);
	}
}

/* A model of the platform that loses requests and responses, applies writes
 * late, and takes changes of a second operator. */
typedef struct {
	GRand *random;
	uint64_t version;
	const char *operation;
	int own_writes_applied; /* count; must not exceed 1 */
	bool delayed_write;	/* a write was sent and may still arrive */
	uint64_t delayed_expected_version; /* of that write */
} model_t;

static bool
model_write(model_t *model, uint64_t expected_version, const char *operation)
{
	if (model->version != expected_version)
		return false;
	model->version++;
	model->operation = operation;
	model->own_writes_applied += strcmp(operation, OWN_OPERATION) == 0;
	return true;
}

static change_event_t
model_handle_write(model_t *model, const change_t *change)
{
	switch (g_rand_int_range(model->random, 0, 6)) {
	case 0:
		return CHANGE_WRITE_NOT_SENT;
	case 1: /* the request is lost or delayed */
		model->delayed_write = true;
		model->delayed_expected_version = change->expected_version;
		return CHANGE_WRITE_OUTCOME_UNKNOWN;
	case 2: /* the response is lost */
		model_write(model, change->expected_version, OWN_OPERATION);
		return CHANGE_WRITE_OUTCOME_UNKNOWN;
	default:
		return model_write(
			   model, change->expected_version, OWN_OPERATION)
		    ? CHANGE_WRITE_APPLIED
		    : CHANGE_WRITE_CONFLICT;
	}
}

static change_event_t
model_handle_read(model_t *model)
{
	if (g_rand_int_range(model->random, 0, 3) == 0)
		return CHANGE_READ_FAILED;
	return model->version == 0 ? CHANGE_READ_ABSENT : CHANGE_READ_FOUND;
}

static void
model_inject_events(model_t *model)
{
	if (g_rand_int_range(model->random, 0, 8) == 0)
		model_write(model, model->version, OTHER_OPERATION);
	if (model->delayed_write &&
	    g_rand_int_range(model->random, 0, 3) == 0) {
		model_write(
		    model, model->delayed_expected_version, OWN_OPERATION);
		model->delayed_write = false;
	}
}

static void
check_result(model_t *model, const change_t *change, change_action_t result,
    guint32 seed, int result_counts[])
{
	bool wrong = model->own_writes_applied > 1;

	/* A delayed write arrives after the result was reported. */
	if (model->delayed_write)
		model_write(
		    model, model->delayed_expected_version, OWN_OPERATION);
	wrong = wrong || model->own_writes_applied > 1;
	if (result == CHANGE_DONE)
		wrong = wrong || model->own_writes_applied != 1;
	if (result == CHANGE_UNREACHABLE || result == CHANGE_REFUSED ||
	    (result == CHANGE_CONFLICT && !change->maybe_applied))
		wrong = wrong || model->own_writes_applied != 0;
	if (wrong)
		fail_msg("seed %u: result %d, own writes applied %d times",
		    seed, result, model->own_writes_applied);
	result_counts[result]++;
}

static void
changes_are_reported_truthfully(void **state)
{
	int result_counts[CHANGE_UNREACHABLE + 1] = {0};

	for (guint32 seed = 1; seed <= 5000; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		model_t model = {
		    .random = random, .operation = OTHER_OPERATION};
		change_action_t action = CHANGE_WRITE;
		change_t change;
		usec_t now = 0;

		model.version = (uint64_t)g_rand_int_range(random, 0, 3);
		change_begin(&change, OWN_OPERATION, model.version,
		    g_rand_int_range(random, 0, 12));
		while (action == CHANGE_WRITE || action == CHANGE_READ) {
			change_event_t event = action == CHANGE_WRITE
			    ? model_handle_write(&model, &change)
			    : model_handle_read(&model);

			action = change_step(&change, event, model.version,
			    model.operation, now++);
			model_inject_events(&model);
			assert_true(now < 40);
		}
		check_result(&model, &change, action, seed, result_counts);
		g_rand_free(random);
	}
	/* The seeds reach every result that the model can produce. */
	assert_true(result_counts[CHANGE_DONE] > 0 &&
	    result_counts[CHANGE_CONFLICT] > 0 &&
	    result_counts[CHANGE_OUTCOME_UNKNOWN] > 0 &&
	    result_counts[CHANGE_UNREACHABLE] > 0);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(changes_are_decided),
	    cmocka_unit_test(changes_are_reported_truthfully),
	};

	return RUN_TESTS(argc, argv, tests);
}
