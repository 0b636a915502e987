#include "config_freshness.h"

#include <glib.h>

usec_t
config_freshness_age(const config_freshness_t *freshness, usec_t now)
{
	return freshness->current_at == 0 ? 0 : now - freshness->current_at;
}

static bool
exceeds_limit(const config_freshness_t *freshness, usec_t now)
{
	return freshness->limit > 0 &&
	    config_freshness_age(freshness, now) > freshness->limit;
}

bool
config_freshness_confirm(config_freshness_t *freshness, usec_t at, usec_t now)
{
	usec_t age = config_freshness_age(freshness, now);

	freshness->current_at = MAX(freshness->current_at, at);
	if (!freshness->is_overdue || exceeds_limit(freshness, now))
		return false;
	freshness->is_overdue = false;
	freshness->overdue_for = age;
	return true;
}

bool
config_freshness_check(config_freshness_t *freshness, usec_t now)
{
	if (freshness->is_overdue || !exceeds_limit(freshness, now))
		return false;
	freshness->is_overdue = true;
	return true;
}
