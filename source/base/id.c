#include "bulrushwell/id.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "bulrushwell/error.h"

static void
fill_random(void *buffer, size_t size)
{
	if (getrandom(buffer, size, 0) != (ssize_t)size)
		abort();
}

id128_t
id128_random(void)
{
	id128_t id;

	fill_random(&id, sizeof(id));
	return id;
}

uint64_t
id64_random(void)
{
	uint64_t id = 0;

	while (id == 0)
		fill_random(&id, sizeof(id));
	return id;
}

bool
id128_equal(id128_t a, id128_t b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

void
id128_format(id128_t id, char text[ID128_TEXT])
{
	snprintf(text, ID128_TEXT, "%016llx%016llx", (unsigned long long)id.hi,
	    (unsigned long long)id.lo);
}

int
id128_parse(const char *text, id128_t *id)
{
	uint64_t part[2] = {0, 0};

	if (strlen(text) != ID128_TEXT - 1)
		return BW_E_INVALID;
	for (int i = 0; i < ID128_TEXT - 1; i++) {
		int c = tolower((unsigned char)text[i]);
		uint64_t digit;

		if (c >= '0' && c <= '9')
			digit = (uint64_t)(c - '0');
		else if (c >= 'a' && c <= 'f')
			digit = (uint64_t)(c - 'a' + 10);
		else
			return BW_E_INVALID;
		part[i / 16] = part[i / 16] << 4 | digit;
	}
	id->hi = part[0];
	id->lo = part[1];
	return 0;
}

unsigned int
id128_hash(const void *key)
{
	const id128_t *id = key;

	return (unsigned int)(id->hi ^ id->hi >> 32 ^ id->lo);
}

int
id128_key_equal(const void *a, const void *b)
{
	return id128_equal(*(const id128_t *)a, *(const id128_t *)b);
}
