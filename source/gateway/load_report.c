#include "load_report.h"

#include <math.h>
#include <string.h>

#define REPORT_NUMBERS_MIN 3 /* the pace may be missing */
#define REPORT_NUMBERS_MAX 4
#define NUMBER_DIGITS_MAX 6
#define RATIO_MIN 0.01 /* of durations, for their logarithm */
#define PACE_USUAL 100 /* percent */
#define SLOW_PACE 1.5  /* factor from which on a server counts as slow */
/*
 * Time constants with which a report loses its weight. A machine is slow for
 * some hundred milliseconds; a queue changes with each request.
 */
#define PACE_FADE_TIME MS(250)
#define LOAD_FADE_TIME MS(100)
/*
 * Of the load assumed without a report, the part that a lower report leaves, so
 * that a server that is idle, or says so, does not attract all nodes at once.
 */
#define ASSUMED_LOAD_KEPT 0.5
/* Greater factors are not believed; they would only exclude the server. */
#define PACE_FACTOR_MAX 4.0
/* Load that is believed, in multiples of the slots. */
#define LOAD_MAX_SLOTS 3.0
/* Statements of less cannot be told from the spread of durations. */
#define CHECKED_DURATION_MIN 1.5
/* Limits of the contradiction by one attempt, and by all. */
#define CONTRADICTION_STEP 0.7
/* Error of true reports: a queue may have grown since the attempt arrived. */
#define CONTRADICTION_ALLOWANCE 0.2
#define CONTRADICTION_MAX 4.0
/* From here on reports have no weight. */
#define CONTRADICTION_REFUTED 2.0

/* Reads the number at the start of @text and removes it from there. */
static bool
take_number(slice_t *text, uint32_t max, uint32_t *number)
{
	size_t digits = 0;

	*number = 0;
	while (digits < text->size && text->data[digits] >= '0' &&
	    text->data[digits] <= '9' && digits < NUMBER_DIGITS_MAX)
		*number = *number * 10 + (uint32_t)(text->data[digits++] - '0');
	text->data += digits;
	text->size -= digits;
	return digits > 0 && *number <= max;
}

static void
skip_blanks(slice_t *text)
{
	while (
	    text->size > 0 && (text->data[0] == ' ' || text->data[0] == '\t')) {
		text->data++;
		text->size--;
	}
}

static bool
take_comma(slice_t *text)
{
	if (text->size == 0 || text->data[0] != ',')
		return false;
	text->data++;
	text->size--;
	return true;
}

bool
load_report_parse(slice_t value, load_report_t *report)
{
	uint32_t numbers[REPORT_NUMBERS_MAX] = {0};
	size_t count = 0;

	do {
		uint32_t max = count < REPORT_NUMBERS_MIN
		    ? LOAD_REPORT_COUNT_MAX
		    : LOAD_REPORT_PACE_MAX;

		if (count == REPORT_NUMBERS_MAX)
			return false;
		skip_blanks(&value);
		if (!take_number(&value, max, &numbers[count++]))
			return false;
		skip_blanks(&value);
	} while (take_comma(&value));
	if (value.size > 0 || count < REPORT_NUMBERS_MIN || numbers[2] == 0 ||
	    (count == REPORT_NUMBERS_MAX && numbers[3] == 0))
		return false;
	*report = (load_report_t){
	    .running = numbers[0],
	    .waiting = numbers[1],
	    .slots = numbers[2],
	    .pace = numbers[3],
	};
	return true;
}

/*
 * Factor that the report states for the work itself. That a machine is faster
 * than usual is not believed, since many nodes would then select it.
 */
static double
stated_pace(const load_report_t *report)
{
	double factor = (double)report->pace / PACE_USUAL;

	return fmin(fmax(factor, 1.0), PACE_FACTOR_MAX);
}

void
server_load_reported(server_load_t *load, const load_report_t *report,
    uint32_t own_attempts, usec_t now)
{
	if (stated_pace(report) < SLOW_PACE)
		load->slow_since = 0;
	else if (load->slow_since == 0)
		load->slow_since = now;
	load->report = *report;
	load->reported_at = now;
	load->own_attempts = own_attempts;
}

/* Duration that the report states, in typical times: queueing and work. */
static double
stated_duration(const load_report_t *report)
{
	double queue = (double)report->waiting / report->slots;

	return stated_pace(report) * (1.0 + fmin(queue, LOAD_MAX_SLOTS));
}

void
server_load_answered(server_load_t *load, usec_t elapsed, usec_t typical)
{
	double ratio = (double)elapsed / (double)(typical > 0 ? typical : 1);
	double stated = stated_duration(&load->report);
	double error, error_without;

	if (stated < CHECKED_DURATION_MIN)
		return;
	error_without = fabs(log(fmax(ratio, RATIO_MIN)));
	error = fabs(log(fmax(ratio, RATIO_MIN) / stated));
	load->contradiction -= CONTRADICTION_ALLOWANCE;
	load->contradiction +=
	    fmin(fmax(error - error_without, -CONTRADICTION_STEP),
		CONTRADICTION_STEP);
	load->contradiction =
	    fmin(fmax(load->contradiction, 0.0), CONTRADICTION_MAX);
}

double
server_load_trust(const server_load_t *load)
{
	return fmax(1.0 - load->contradiction / CONTRADICTION_REFUTED, 0.0);
}

/* Weight of the last report, 0 to 1. */
static double
report_weight(const server_load_t *load, usec_t fade_time, usec_t now)
{
	double age = (double)(now - load->reported_at);

	if (load->reported_at == 0)
		return 0.0;
	return server_load_trust(load) *
	    exp(-fmax(age, 0.0) / (double)fade_time);
}

double
server_load_weight(const server_load_t *load, usec_t now)
{
	return report_weight(load, LOAD_FADE_TIME, now);
}

/* A server that has been slow for longer is expected to stay so for longer: a
 * node would otherwise send it an attempt each PACE_FADE_TIME. */
static usec_t
pace_fade_time(const server_load_t *load)
{
	usec_t slow_for =
	    load->slow_since != 0 ? load->reported_at - load->slow_since : 0;

	return slow_for > PACE_FADE_TIME ? slow_for : PACE_FADE_TIME;
}

double
server_load_pace(const server_load_t *load, usec_t now)
{
	return 1.0 +
	    (stated_pace(&load->report) - 1.0) *
	    report_weight(load, pace_fade_time(load), now);
}

double
server_load_others(const server_load_t *load, double assumed, usec_t now)
{
	const load_report_t *report = &load->report;
	double weight = server_load_weight(load, now);
	double all = fmin((double)report->running + report->waiting,
	    LOAD_MAX_SLOTS * report->slots);
	double stated =
	    fmax(all - load->own_attempts, ASSUMED_LOAD_KEPT * assumed);

	return weight * stated + (1.0 - weight) * assumed;
}
