/* A version adds a route over the same shards that returns more records. Until
 * all gateways have it, each answer must still hold the greatest records of the
 * parts that it names. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../kit.h"

#define GATEWAYS 6
#define SHARDS 8
#define REPLICAS 2
#define PART_RECORDS 12 /* parts of 200 B */
#define FEW_RECORDS 5
#define MANY_RECORDS 10
#define MORE_ROUTES 1400
#define CHANGES 6
#define WATCHED_MS 1500 /* after each change */
#define PAUSE_MS 2500

static const setting_t settings[] = {{"platform.history_s", "20"},
    {"bounds.retry_budget_ratio", "0.2"}, {"bounds.retry_window_s", "10"},
    {"bounds.retry_slack", "52"}, {"bounds.drain_ms", "3000"},
    {"bounds.grace_s", "6"}, {"limits.link_mbps", "1000.0"},
    {"limits.memory_mb", "260"}, {"limits.max_fds", "4100"}, {NULL, NULL}};

static server_t servers[SHARDS * REPLICAS];
static gateway_t gateways[GATEWAYS];
static bool trouble;
static int wrong, successes, other_answers;
static int wrong_by[GATEWAYS];
static volatile int changes;
static volatile int64_t acked_at;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
on_run(server_t *server, const char *id, const char *target, int64_t at)
{
	if (strstr(target, "/wide") != NULL)
		record("run %s %s by %s", id, target, server->id);
}

static json_t *
build_fanout(const char *name, const char *prefix, int top)
{
	json_t *shards = json_array();
	json_t *route;

	for (int i = 0; i < SHARDS; i++)
		json_array_append_new(
		    shards, json_string(servers[i * REPLICAS].service));
	route = json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:f,s:o}",
	    "name", name, "host", "museum.example", "path_prefix", prefix,
	    "route_type", "idempotent", "timeout_ms", 1200, "target_latency_ms",
	    200, "priority", 1, "max_attempts", 2, "top_k", top,
	    "min_shard_share", 0.85, "fanout_services", shards);
	return route;
}

/* Routes of other customers, as the desired state has many. */
static void
add_more_routes(json_t *routes)
{
	unsigned seed = 7;

	for (int i = 0; i < MORE_ROUTES; i++) {
		char name[64], host[64], prefix[64];

		snprintf(name, sizeof(name), "r%d-%04x", i,
		    (unsigned)rand_r(&seed) & 0xffff);
		snprintf(host, sizeof(host), "%08x.example",
		    (unsigned)rand_r(&seed));
		snprintf(prefix, sizeof(prefix), "/%08x/%08x/",
		    (unsigned)rand_r(&seed), (unsigned)rand_r(&seed));
		json_array_append_new(routes,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "name",
			name, "host", host, "path_prefix", prefix, "service",
			servers[i % SHARDS * REPLICAS].service, "route_type",
			"idempotent", "timeout_ms", 1500, "target_latency_ms",
			250, "priority", 2, "max_attempts", 2));
	}
}

/* Version 10 + @added has the routes /find/wide1/ to /find/wide@added/. */
static void
write_config(int added)
{
	json_t *routes = json_array(), *services = json_array();
	int64_t revision;

	json_array_append_new(
	    routes, build_fanout("find", "/find/", FEW_RECORDS));
	for (int i = 1; i <= added; i++) {
		char name[32], prefix[32];

		snprintf(name, sizeof(name), "wide%d", i);
		snprintf(prefix, sizeof(prefix), "/find/wide%d/", i);
		json_array_append_new(
		    routes, build_fanout(name, prefix, MANY_RECORDS));
	}
	add_more_routes(routes);
	for (int i = 0; i < SHARDS; i++)
		json_array_append_new(services,
		    json_pack("{s:s,s:s,s:i}", "name",
			servers[i * REPLICAS].service, "health_path", "/health",
			"max_connections", 5));
	revision = store_put("config", "main",
	    json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version",
		10 + added, "routes", routes, "services", services, "limits",
		"max_header_bytes", 16384, "max_body_bytes", 262144,
		"header_timeout_ms", 3000, "idle_timeout_ms", 15000));
	record("ack of version %d, revision %lld", 10 + added,
	    (long long)revision);
}

static int
compare_falling(const void *a, const void *b)
{
	return -memcmp(a, b, RECORD_BYTES);
}

/* Return: whether the body is the greatest @top records of the parts named. */
static bool
is_right(const reply_t *reply, const char *stamps, int top)
{
	unsigned char all[SHARDS * PART_RECORDS][RECORD_BYTES];
	int count = 0;

	for (int i = 0; i < SHARDS; i++) {
		char name[NAME_MAX_BYTES + 2];

		snprintf(
		    name, sizeof(name), "%s.", servers[i * REPLICAS].service);
		if (strstr(stamps, name) == NULL)
			continue;
		for (int j = 0; j < PART_RECORDS; j++)
			server_record(&servers[i * REPLICAS], j, all[count++]);
	}
	qsort(all, (size_t)count, RECORD_BYTES, compare_falling);
	if (top > count)
		top = count;
	return reply->body_size == (size_t)top * RECORD_BYTES &&
	    memcmp(reply->body, all, reply->body_size) == 0;
}

static void
check_answer(int gateway, const char *id, const char *target, int top,
    const reply_t *reply)
{
	char stamps[2048] = "", missing[16] = "-";
	bool right;

	reply_header(reply, "Bulrushwell-Part-Stamps", stamps, sizeof(stamps));
	reply_header(
	    reply, "Bulrushwell-Missing-Parts", missing, sizeof(missing));
	/* A gateway that has only an older version answers as that one says. */
	right = reply->status != 200 || is_right(reply, stamps, top) ||
	    is_right(reply, stamps, FEW_RECORDS);
	pthread_mutex_lock(&lock);
	successes += reply->status == 200;
	other_answers += reply->status != 200;
	if (!right) {
		wrong++;
		wrong_by[gateway]++;
	}
	pthread_mutex_unlock(&lock);
	record("answer %s %s from %s, %lld ms after the ack: %d, %zu records, "
	       "%s missing%s",
	    id, target, gateways[gateway].name,
	    (long long)(now_ms() - acked_at), reply->status,
	    reply->body_size / RECORD_BYTES, missing,
	    right ? "" : "  <- not the greatest records of the parts named");
}

typedef struct {
	int gateway;
	int64_t until;
} client_t;

static void *
run_client(void *context)
{
	const client_t *client = context;
	int number = 0;

	while (now_ms() < client->until) {
		char id[32], target[64];
		bool wide = trouble && changes > 0 && number % 2 == 0;
		reply_t reply;

		snprintf(id, sizeof(id), "g%d-%d-%d", client->gateway, changes,
		    number++);
		if (wide)
			snprintf(target, sizeof(target), "/find/wide%d/reel",
			    changes);
		else
			snprintf(target, sizeof(target), "/find/reel");
		reply = client_request(gateways[client->gateway].clients, "GET",
		    "museum.example", target, id,
		    "Bulrushwell-Deadline-Ms: 1200\r\n", 1200);
		check_answer(client->gateway, id, target,
		    wide ? MANY_RECORDS : FEW_RECORDS, &reply);
		reply_free(&reply);
		sleep_ms(15);
	}
	return NULL;
}

/* Requests to each gateway for a while, from one client each. */
static void
run_clients(int64_t ms)
{
	pthread_t threads[GATEWAYS];
	client_t clients[GATEWAYS];

	for (int i = 0; i < GATEWAYS; i++) {
		clients[i] = (client_t){i, now_ms() + ms};
		pthread_create(&threads[i], NULL, run_client, &clients[i]);
	}
	for (int i = 0; i < GATEWAYS; i++)
		pthread_join(threads[i], NULL);
}

static void
start_servers(void)
{
	for (int i = 0; i < SHARDS * REPLICAS; i++) {
		server_t *server = &servers[i];

		snprintf(server->service, sizeof(server->service), "motif%d",
		    i / REPLICAS);
		snprintf(server->id, sizeof(server->id), "i-%d-%d",
		    i / REPLICAS, i % REPLICAS);
		strcpy(server->zone, "muscat-ruwi");
		server->slots = 4;
		server->work_ms = 5;
		server->records = PART_RECORDS;
		server->on_run = on_run;
	}
	write_config(0);
	for (int i = 0; i < SHARDS * REPLICAS; i++)
		server_start(&servers[i]);
}

static void
start_gateways(void)
{
	int64_t until;

	for (int i = 0; i < GATEWAYS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "frontend-ruwi-%d", i + 1);
		gateway_prepare(&gateways[i], name, "muscat-ruwi");
		gateway_start(&gateways[i], settings);
	}
	for (int i = 0; i < GATEWAYS; i++)
		gateway_wait_ready(&gateways[i], 10000);
	until = now_ms() + 40000;
	for (int i = 0; i < GATEWAYS; i++)
		while (gateway_metric(&gateways[i], "shard_groups") != 2) {
			if (now_ms() > until)
				cannot_run("no shard groups");
			sleep_ms(100);
		}
	sleep_ms(3000);
}

int
main(int argc, char **argv)
{
	const char *trouble_text = getenv("TROUBLE");

	trouble = trouble_text == NULL || strcmp(trouble_text, "0") != 0;
	record_open(argv[1]);
	store_start();
	start_servers();
	start_gateways();
	run_clients(2000);
	for (int i = 1; i <= CHANGES; i++) {
		if (trouble) {
			write_config(i);
			acked_at = now_ms();
			changes = i;
		}
		run_clients(WATCHED_MS);
		sleep_ms(PAUSE_MS);
	}
	for (int i = 0; i < GATEWAYS; i++)
		record("%s: %d wrong answers", gateways[i].name, wrong_by[i]);
	record("%d successes, %d other answers", successes, other_answers);
	record(wrong > 0 ? "MIXED is broken: %d successes"
			 : "MIXED holds: %d wrong",
	    wrong);
	printf("successes %d, wrong %d, other answers %d\n", successes, wrong,
	    other_answers);
	gateways_kill_all();
	return wrong > 0 ? 1 : 0;
}
