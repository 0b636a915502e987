/* Guards deadlines against pauses of the process: a request that a node sends
 * after it was paused must not state a later deadline than was meant. Servers
 * ran such requests beside those of the node that had taken over. */
#include "lib/runner.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/time.h>

#include "bulrushwell/clock.h"

#define PAUSES 100
#define PAUSE MS(4)
#define LONGEST_GAP 150 /* microseconds between two pauses */
#define TOLERANCE MS(1) /* of both clocks against each other */
#define REMAINING MS(500)

static volatile sig_atomic_t pauses;

static void
pause_process(int number)
{
	g_usleep(PAUSE);
	pauses++;
}

static void
plan_pause(GRand *random)
{
	struct itimerval timer = {0};

	timer.it_value.tv_usec = g_rand_int_range(random, 20, LONGEST_GAP);
	setitimer(ITIMER_REAL, &timer, NULL);
}

/* Wall time minus monotonic time, read without a pause in between. */
static usec_t
clock_difference(void)
{
	usec_t least = INT64_MAX;

	for (int i = 0; i < 1000; i++) {
		usec_t before = clock_monotonic();
		usec_t wall = clock_wall();
		usec_t took = clock_monotonic() - before;

		if (took < MS(1))
			least = MIN(least, wall - before);
	}
	return least;
}

static void
a_pause_never_makes_a_deadline_later(void **state)
{
	struct sigaction action = {.sa_handler = pause_process};
	usec_t difference = clock_difference();
	GRand *random = g_rand_new_with_seed(1);
	int seen = -1;

	sigaction(SIGALRM, &action, NULL);
	while (pauses < PAUSES) {
		usec_t deadline = clock_monotonic() + REMAINING;
		usec_t wall = clock_to_wall(deadline);

		assert_true(wall <= deadline + difference + TOLERANCE);
		if (pauses != seen) {
			seen = pauses;
			plan_pause(random);
		}
	}
	signal(SIGALRM, SIG_IGN);
	g_rand_free(random);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_pause_never_makes_a_deadline_later),
	};

	return RUN_TESTS(argc, argv, tests);
}
