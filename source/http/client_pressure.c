#include "client_pressure.h"

#include <glib.h>

/* Parts of the limit, in hundredths, above which requests are refused: of
 * clients with unsent answers, of priority 0, and less for each priority. */
#define UNSENT_PERCENT 50
#define HIGHEST_PERCENT 90
#define PRIORITY_STEP 5
#define LOWEST_PRIORITY 4
/* Above this, those that hold most are closed. */
#define HIGH_PERCENT 75
/* A client that has made progress within this is not closed for a new one. */
#define IDLE_AGE_MIN MS(500)

/* Reserved for files, as a number and as a part of few descriptors. */
#define FILE_DESCRIPTORS 200
#define FILE_PARTS 4
#define MAX_CLIENTS 3000
#define MAX_GATEWAYS 1500
#define MAX_ADMIN 64
#define MIN_ADMIN 8
#define MIN_CONNECTIONS 16
/* Memory of the process and the kernel for a connection that does nothing. */
#define CONNECTION_BYTES ((size_t)8 * 1024)

static size_t
percent_of(size_t limit, size_t percent)
{
	return limit / 100 * percent;
}

bool
pressure_admits(const pressure_request_t *request)
{
	size_t step = PRIORITY_STEP * MIN(request->priority, LOWEST_PRIORITY);
	size_t percent =
	    request->has_unsent ? UNSENT_PERCENT : HIGHEST_PERCENT - step;

	return request->held <= percent_of(request->limit, percent);
}

bool
pressure_is_high(size_t held, size_t limit)
{
	return held > percent_of(limit, HIGH_PERCENT);
}

int
pressure_choose_holder(
    const pressure_client_t *clients, size_t count, usec_t min_age, usec_t now)
{
	double highest = 0.0;
	int chosen = -1;

	for (size_t i = 0; i < count; i++) {
		const pressure_client_t *client = &clients[i];
		usec_t age = now - client->since;
		double weight = (double)client->bytes * (double)(age + 1);

		if (!client->waits_for_it || age < min_age || weight <= highest)
			continue;
		highest = weight;
		chosen = (int)i;
	}
	return chosen;
}

int
pressure_choose_idle(const pressure_client_t *clients, size_t count, usec_t now)
{
	int chosen = -1;

	for (size_t i = 0; i < count; i++) {
		const pressure_client_t *client = &clients[i];
		const pressure_client_t *best =
		    chosen >= 0 ? &clients[chosen] : NULL;

		if (!client->is_idle || now - client->since < IDLE_AGE_MIN)
			continue;
		if (best == NULL ||
		    (best->has_requested && !client->has_requested) ||
		    (best->has_requested == client->has_requested &&
			client->since < best->since))
			chosen = (int)i;
	}
	return chosen;
}

descriptor_shares_t
descriptor_shares(uint64_t descriptors, size_t memory)
{
	uint64_t files = MIN(FILE_DESCRIPTORS, descriptors / FILE_PARTS);
	uint64_t left = descriptors - files;
	uint64_t in_memory = memory / CONNECTION_BYTES;
	descriptor_shares_t shares;

	/* A half stays for the store, the servers and other gateways. */
	shares.clients = (uint32_t)CLAMP(
	    MIN(left / 3, in_memory), MIN_CONNECTIONS, MAX_CLIENTS);
	shares.gateways = (uint32_t)CLAMP(
	    MIN(left / 6, in_memory / 2), MIN_CONNECTIONS, MAX_GATEWAYS);
	shares.admin = (uint32_t)CLAMP(left / 16, MIN_ADMIN, MAX_ADMIN);
	return shares;
}
