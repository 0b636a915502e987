#ifndef TESTS_LIB_ENDLESS_TEXTS_H
#define TESTS_LIB_ENDLESS_TEXTS_H

#include "plain_server.h"

/** DOC: What the PLAIN_ENDLESS_* faults of plain_server.h send */

typedef struct {
	const char *begin;    /* sent once */
	const char *repeated; /* sent again and again */
} endless_text_t;

/** Only the rows of PLAIN_ENDLESS_* are filled. */
extern const endless_text_t endless_texts[PLAIN_ENDLESS_LINE + 1];

#endif
