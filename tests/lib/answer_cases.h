#ifndef TESTS_LIB_ANSWER_CASES_H
#define TESTS_LIB_ANSWER_CASES_H

#include <glib.h>
#include <stdbool.h>

#include "bulrushwell/slice.h"

/**
 * DOC: Responses of servers, sound ones and broken ones
 *
 * Each case is a response whose status line, field lines or body differ from an
 * ordinary response in one part. Everything that reads responses must deliver
 * the sound ones and must not take a broken one for an answer.
 */

#define ANSWER_BODY "[22]" /* of all sound responses that have one */

/** typedef answer_case_t - A part without data is the ordinary one. */
typedef struct {
	const char *name;
	slice_t status_line; /* parts are sent with their line ends */
	slice_t first_line;  /* after the status line; ordinary: none */
	slice_t length_line; /* ordinary: the Content-Length */
	slice_t last_line;   /* before the end of the head; ordinary: none */
	slice_t head_end;    /* ordinary: an empty line */
	slice_t body;	     /* ordinary: ANSWER_BODY */
	bool sound;
	int status;    /* of a sound response; 0: 200 */
	bool bodiless; /* a sound response without a body */
} answer_case_t;

/** Status lines and field lines, part by part (RFC 9112, sections 2 to 5). */
extern const answer_case_t answer_line_cases[];
extern const size_t answer_line_case_count;

/** answer_line_case() - The row of answer_line_cases with this name, which must
 * exist. */
const answer_case_t *answer_line_case(const char *name);

/** What says where the body ends (RFC 9112, sections 6 and 7). */
extern const answer_case_t answer_length_cases[];
extern const size_t answer_length_case_count;

/**
 * answer_case_text() - Builds the whole response.
 * @fields: further field lines, each with its line end; may be ""
 *
 * Return: the bytes; the caller frees them with g_string_free().
 */
GString *answer_case_text(const answer_case_t *row, const char *fields);

/** answer_case_status() - The status of a sound response. */
int answer_case_status(const answer_case_t *row);

/** answer_case_body() - The body that a reader of a sound response must see. */
slice_t answer_case_body(const answer_case_t *row);

#endif
