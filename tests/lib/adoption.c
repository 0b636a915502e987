#include "adoption.h"

#include <string.h>

#include "traffic.h"

#define WAIT_TIMEOUT_MS 20000

int64_t
adoption_stored_version(harness_t *harness, const char *customer)
{
	char *path = g_strdup_printf("/v1/objects/contract/%s", customer);
	json_t *object = harness_get_json(harness->platform_address, path);
	int64_t version =
	    json_integer_value(json_object_get(object, "version"));

	json_decref(object);
	g_free(path);
	return version;
}

int64_t
adoption_version(harness_t *harness, int node, const char *customer)
{
	json_t *status = harness_get_json(
	    harness->nodes[node].operator_address, "/v1/status");
	const json_t *list = json_object_get(status, "contracts");
	int64_t version = 0;

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);

		if (strcmp(
			json_string_value(json_object_get(entry, "customer")),
			customer) == 0)
			version = json_integer_value(
			    json_object_get(entry, "version"));
	}
	json_decref(status);
	return version;
}

void
adoption_wait(
    harness_t *harness, int node, const char *customer, int64_t version)
{
	usec_t until = clock_monotonic() + MS(WAIT_TIMEOUT_MS);

	while (adoption_version(harness, node, customer) < version) {
		if (clock_monotonic() > until)
			fail_msg(
			    "node-%d does not adopt contract %s version %lld",
			    node + 1, customer, (long long)version);
		g_usleep(10000);
	}
}

int64_t
adoption_put_contract(harness_t *harness, const char *customer, bool retired)
{
	const contract_spec_t spec = {customer, "secret-of-the-other-customer",
	    TRAFFIC_INDEX, "", 20000, 100, 500, 24, retired};

	return (int64_t)harness_put_contract(harness, &spec);
}
