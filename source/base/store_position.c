#include "bulrushwell/store_position.h"

#define ERA_DIGITS_MAX 18 /* of STORE_ERA_MAX */

int
store_position_compare(store_position_t a, store_position_t b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	if (a.revision != b.revision)
		return a.revision < b.revision ? -1 : 1;
	return 0;
}

store_position_t
store_position_later(store_position_t a, store_position_t b)
{
	return store_position_compare(a, b) < 0 ? b : a;
}

bool
store_position_is_set(store_position_t position)
{
	return position.revision > 0;
}

int64_t
store_era_parse(slice_t text)
{
	int64_t era = 0;

	if (text.size == 0 || text.size > ERA_DIGITS_MAX)
		return STORE_ERA_UNKNOWN;
	for (size_t i = 0; i < text.size; i++) {
		if (text.data[i] < '0' || text.data[i] > '9')
			return STORE_ERA_UNKNOWN;
		era = era * 10 + (text.data[i] - '0');
	}
	return era;
}
