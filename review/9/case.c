/* The store comes back from a copy that has no entries of the gateways. All
 * gateways together must still keep a tenant's usage cap. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../kit.h"

#define GATEWAYS 6
#define RATE_PER_S 50
#define BURST 50
#define WINDOW_MS 5000
#define OVERSHOOT 0.1
#define SLACK 20
#define BOUND \
	((RATE_PER_S * (WINDOW_MS / 1000) + BURST) * (1 + OVERSHOOT) + SLACK)
#define DRILL_MS 5000 /* after the start of the gateways */
#define AWAY_MS 300
#define LENGTH_MS 105000
#define REQUEST_GAP_MS 20 /* of the client of each gateway */

static const setting_t settings[] = {{"platform.history_s", "20"},
    {"bounds.retry_budget_ratio", "0.2"}, {"bounds.retry_window_s", "10"},
    {"bounds.retry_slack", "188"}, {"bounds.drain_ms", "5000"},
    {"bounds.evacuate_ms", "5000"}, {"bounds.grace_s", "6"},
    {"bounds.warmup_overshoot", "1.5"}, {"bounds.warmup_slack", "5"},
    {"bounds.quota_window_s", "5"}, {"bounds.quota_overshoot", "0.1"},
    {"bounds.quota_slack", "20"}, {"limits.link_mbps", "200.0"},
    {"limits.memory_mb", "260"}, {"limits.max_fds", "4100"}, {NULL, NULL}};

static server_t servers[] = {
    {.id = "i-desk-1", .service = "desk", .zone = "accra-central"},
    {.id = "i-desk-2", .service = "desk", .zone = "accra-central"},
};
static gateway_t gateways[GATEWAYS];
static volatile bool ended;
static int answers, refusals, others;

static void
on_run(server_t *server, const char *id, const char *target, int64_t at)
{
	record("run %s by %s", id, server->id);
}

static void
write_config(void)
{
	store_put("config", "main",
	    json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}],"
		      "s:[{s:s,s:s,s:i}],s:[{s:s,s:[s],s:i,s:i}],"
		      "s:{s:i,s:i,s:i,s:i}}",
		"version", 10, "routes", "name", "account", "host",
		"calendar.example", "path_prefix", "/account/", "service",
		"desk", "route_type", "idempotent", "timeout_ms", 2000,
		"target_latency_ms", 500, "priority", 1, "max_attempts", 2,
		"services", "name", "desk", "health_path", "/health",
		"max_connections", 500, "tenants", "name", "market", "api_keys",
		"key-market-1", "rate_per_s", RATE_PER_S, "burst", BURST,
		"limits", "max_header_bytes", 16384, "max_body_bytes", 262144,
		"header_timeout_ms", 3000, "idle_timeout_ms", 15000));
}

static void *
run_client(void *context)
{
	const gateway_t *gateway = context;
	int number = 0;

	while (!ended) {
		char id[48];
		reply_t reply;

		snprintf(id, sizeof(id), "%s-%d", gateway->name + 9, number++);
		reply = client_request(gateway->clients, "GET",
		    "calendar.example", "/account/7", id,
		    "Authorization: Bearer key-market-1\r\n"
		    "Bulrushwell-Deadline-Ms: 1500\r\n",
		    1500);
		__sync_fetch_and_add(reply.status == 200 ? &answers
			: reply.status == 429		 ? &refusals
							 : &others,
		    1);
		record(
		    "answer %s from %s: %d", id, gateway->name, reply.status);
		reply_free(&reply);
		sleep_ms(REQUEST_GAP_MS);
	}
	return NULL;
}

static int
compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a, right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

/* The most runs in a window, and when it began. */
static int
busiest_window(int64_t *start)
{
	int count = servers[0].arrival_count + servers[1].arrival_count;
	int64_t *times = calloc((size_t)count, sizeof(*times));
	int most = 0, first = 0;
	int64_t next_line = 0;

	memcpy(times, servers[0].arrivals,
	    (size_t)servers[0].arrival_count * sizeof(*times));
	memcpy(times + servers[0].arrival_count, servers[1].arrivals,
	    (size_t)servers[1].arrival_count * sizeof(*times));
	qsort(times, (size_t)count, sizeof(*times), compare_times);
	for (int last = 0; last < count; last++) {
		while (times[first] <= times[last] - WINDOW_MS)
			first++;
		if (times[last] >= next_line) {
			record("runs in the %d ms until %lld ms: %d", WINDOW_MS,
			    (long long)times[last], last - first + 1);
			next_line = times[last] + 2000;
		}
		if (last - first + 1 > most) {
			most = last - first + 1;
			*start = times[first];
		}
	}
	free(times);
	return most;
}

int
main(int argc, char **argv)
{
	const char *trouble_text = getenv("TROUBLE");
	bool trouble = trouble_text == NULL || strcmp(trouble_text, "0") != 0;
	pthread_t threads[GATEWAYS];
	int64_t start = 0, started_at;
	int most;

	record_open(argv[1]);
	store_start();
	write_config();
	for (int i = 0; i < 2; i++) {
		servers[i].slots = 16;
		servers[i].work_ms = 3;
		servers[i].on_run = on_run;
		server_start(&servers[i]);
	}
	sleep_ms(1500);
	store_copy();
	record("the store is copied");
	started_at = now_ms();
	for (int i = 0; i < GATEWAYS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "frontend-central-%d", i + 1);
		gateway_prepare(&gateways[i], name, "accra-central");
		gateway_start(&gateways[i], settings);
	}
	for (int i = 0; i < GATEWAYS; i++)
		gateway_wait_ready(&gateways[i], 10000);
	for (int i = 0; i < GATEWAYS; i++)
		pthread_create(
		    &threads[i], NULL, run_client, (void *)&gateways[i]);
	sleep_until_ms(started_at + DRILL_MS);
	if (trouble) {
		int64_t lost;

		record("the store is away");
		lost = store_restore(AWAY_MS);
		record("the store is back from the copy, %lld changes lost",
		    (long long)lost);
	}
	sleep_until_ms(LENGTH_MS);
	ended = true;
	for (int i = 0; i < GATEWAYS; i++)
		pthread_join(threads[i], NULL);
	most = busiest_window(&start);
	record("%d answers, %d refused with 429, %d others", answers, refusals,
	    others);
	record("at most %d runs in %d ms, from %lld ms; the bound is %.0f",
	    most, WINDOW_MS, (long long)start, BOUND);
	record(most > BOUND ? "QUOTA is broken" : "QUOTA holds");
	printf("at most %d in a window, bound %.0f\n", most, BOUND);
	gateways_kill_all();
	return most > BOUND ? 1 : 0;
}
