/* Guards what servers say about themselves in their responses: that they leave,
 * and for how long they want no requests. Anything garbled must say nothing,
 * and no number may be misread. */
#include "lib/runner.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../source/gateway/server_notice.h"

#define MAX_BYTES 4096
#define OK "HTTP/1.1 200 OK\r\n"
#define REFUSED "HTTP/1.1 503 Service Unavailable\r\n"
#define END "Content-Length: 0\r\n\r\n"

static const struct {
	const char *name;
	const char *response;
	bool leaving;
	int64_t backoff_ms;
} cases[] = {
    {"nothing", OK END, false, 0},
    {"it leaves", OK "X-Leaving: 1\r\n" END, true, 0},
    {"a name in other case", OK "x-leaving:1 \r\n" END, true, 0},
    {"it leaves and refuses", REFUSED "X-Leaving: 1\r\n" END, true, 0},
    {"leaving: 0", OK "X-Leaving: 0\r\n" END, false, 0},
    {"leaving: true", OK "X-Leaving: true\r\n" END, false, 0},
    {"leaving: 11", OK "X-Leaving: 11\r\n" END, false, 0},
    {"leaving: empty", OK "X-Leaving:\r\n" END, false, 0},
    {"leaving twice", OK "X-Leaving: 0\r\nX-Leaving: 1\r\n" END, true, 0},
    {"a longer name", OK "X-Leaving-Soon: 1\r\n" END, false, 0},
    {"seconds", REFUSED "Retry-After: 2\r\n" END, false, 2000},
    {"a fraction", REFUSED "Retry-After: 0.25\r\n" END, false, 250},
    {"a point at the end", REFUSED "Retry-After: 3.\r\n" END, false, 3000},
    {"zero", REFUSED "Retry-After: 0\r\n" END, false, 0},
    {"no refusal", OK "Retry-After: 2\r\n" END, false, 0},
    {"another refusal",
	"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2\r\n" END, false, 0},
    {"several times: the longest",
	REFUSED "Retry-After: 1\r\nRetry-After: 4\r\nRetry-After: 2\r\n" END,
	false, 4000},
    {"one of several is unreadable",
	REFUSED "Retry-After: soon\r\nRetry-After: 2\r\n" END, false, 2000},
    {"negative", REFUSED "Retry-After: -5\r\n" END, false, 0},
    {"a sign", REFUSED "Retry-After: +5\r\n" END, false, 0},
    {"a date", REFUSED "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT\r\n" END,
	false, 0},
    {"an exponent", REFUSED "Retry-After: 1e3\r\n" END, false, 0},
    {"infinite", REFUSED "Retry-After: inf\r\n" END, false, 0},
    {"not a number", REFUSED "Retry-After: nan\r\n" END, false, 0},
    {"hexadecimal", REFUSED "Retry-After: 0x10\r\n" END, false, 0},
    {"a unit", REFUSED "Retry-After: 5s\r\n" END, false, 0},
    {"a comma", REFUSED "Retry-After: 1,5\r\n" END, false, 0},
    {"a point alone", REFUSED "Retry-After: .\r\n" END, false, 0},
    {"two points", REFUSED "Retry-After: 1.2.3\r\n" END, false, 0},
    {"empty", REFUSED "Retry-After:\r\n" END, false, 0},
    {"very long", REFUSED "Retry-After: 99999999999\r\n" END, false,
	24 * 3600 * 1000},
    {"more digits than a number has",
	REFUSED "Retry-After: 00000000000000000000000000000000000001\r\n" END,
	false, 0},
};

static void
responses_say_what_they_mean(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *bytes = cases[i].response;
		http_message_t response;
		server_notice_t notice;
		size_t used;

		http_message_init(
		    &response, HTTP_RESPONSE, MAX_BYTES, MAX_BYTES);
		assert_int_equal(
		    http_message_feed(&response, bytes, strlen(bytes), &used),
		    HTTP_FEED_DONE);
		notice = server_notice_read(&response, "X-Leaving");
		if (notice.leaving != cases[i].leaving ||
		    notice.backoff != MS(cases[i].backoff_ms))
			fail_msg("%s: leaving %d, %lld us", cases[i].name,
			    notice.leaving, (long long)notice.backoff);
		http_message_free(&response);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(responses_say_what_they_mean),
	};

	return RUN_TESTS(argc, argv, tests);
}
