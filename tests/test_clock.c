/* Guards the conversion of deadlines to wall time: a pause of the process
 * during the conversion must not make a deadline later. With a later deadline,
 * servers run such requests at the same time as those of the node that has
 * taken over. */
#include "lib/runner.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/time.h>

#include "bulrushwell/clock.h"

#define PAUSES 100
#define PAUSE MS(4)
#define MAX_GAP_US 150	/* between two pauses */
#define TOLERANCE MS(1) /* for the drift between the clocks */
#define REMAINING MS(500)

static volatile sig_atomic_t pauses;

static void
pause_process(int number)
{
	g_usleep(PAUSE);
	pauses++;
}

static void
schedule_pause(GRand *random)
{
	struct itimerval timer = {0};

	timer.it_value.tv_usec = g_rand_int_range(random, 20, MAX_GAP_US);
	setitimer(ITIMER_REAL, &timer, NULL);
}

/* Wall time minus monotonic time, read without a pause in between. */
static usec_t
clock_difference(void)
{
	usec_t smallest = INT64_MAX;

	for (int i = 0; i < 1000; i++) {
		usec_t before = clock_monotonic();
		usec_t wall = clock_wall();
		usec_t took = clock_monotonic() - before;

		if (took < MS(1))
			smallest = MIN(smallest, wall - before);
	}
	return smallest;
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
			schedule_pause(random);
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
