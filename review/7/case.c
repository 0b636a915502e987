/* The store comes back from a copy. A desired state that it acknowledges soon
 * afterwards must be in force at each gateway. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../kit.h"

#define GATEWAYS 4
#define COPY_AGE_MS 5000 /* "some seconds old" */
#define AWAY_MS 300	 /* "away for a moment" */
#define CHANGE_AFTER_MS 1000
#define CONFIG_APPLY_MS 3000
#define MAX_SKEW_MS 12000
#define CONTACT_MS 4000
#define JUDGED_MS 6000
#define REQUEST_GAP_MS 100

static const setting_t settings[] = {{"platform.history_s", "20"},
    {"bounds.retry_budget_ratio", "0.2"}, {"bounds.retry_window_s", "10"},
    {"bounds.retry_slack", "54"}, {"bounds.drain_ms", "3000"},
    {"bounds.grace_s", "6"}, {"limits.link_mbps", "1000.0"},
    {"limits.memory_mb", "260"}, {"limits.max_fds", "4100"}, {NULL, NULL}};

static server_t servers[] = {
    {.id = "i-old-1", .service = "stock", .zone = "cymru-a"},
    {.id = "i-old-2", .service = "stock", .zone = "cymru-b"},
    {.id = "i-new-1", .service = "stock-next", .zone = "cymru-a"},
    {.id = "i-new-2", .service = "stock-next", .zone = "cymru-b"},
};

static gateway_t gateways[GATEWAYS];

static void
on_run(server_t *server, const char *id, const char *target, int64_t at)
{
	record(
	    "run %s %s by %s of %s", id, target, server->id, server->service);
}

static int64_t
write_config(int version, const char *service, int timeout_ms)
{
	int64_t revision = store_put("config", "main",
	    json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}],"
		      "s:[{s:s,s:s,s:i},{s:s,s:s,s:i}],s:{s:i,s:i,s:i,s:i}}",
		"version", version, "routes", "name", "find", "host",
		"plant.example", "path_prefix", "/find/", "service", service,
		"route_type", "idempotent", "timeout_ms", timeout_ms,
		"target_latency_ms", 250, "priority", 1, "max_attempts", 2,
		"services", "name", "stock", "health_path", "/health",
		"max_connections", 100, "name", "stock-next", "health_path",
		"/health", "max_connections", 100, "limits", "max_header_bytes",
		16384, "max_body_bytes", 262144, "header_timeout_ms", 3000,
		"idle_timeout_ms", 15000));

	record("ack of version %d: /find/ -> %s, revision %lld", version,
	    service, (long long)revision);
	return revision;
}

/* Return: whether the request was run by the service of an older version. */
static bool
send_request(int number, bool is_judged)
{
	const gateway_t *gateway = &gateways[number % GATEWAYS];
	char id[32], value[64] = "-";
	reply_t reply;
	bool is_old;

	snprintf(id, sizeof(id), "q%04d", number);
	reply = client_request(gateway->clients, "GET", "plant.example",
	    "/find/reel", id, "Bulrushwell-Deadline-Ms: 1500\r\n", 1500);
	reply_header(
	    &reply, "Bulrushwell-Response-Stamp", value, sizeof(value));
	is_old = reply.status == 200 && strncmp(value, "stock.", 6) == 0;
	record("answer %s from %s: %d %s%s", id, gateway->name, reply.status,
	    value, is_judged && is_old ? "  <- only an older version" : "");
	reply_free(&reply);
	return is_old;
}

int
main(int argc, char **argv)
{
	const char *trouble_text = getenv("TROUBLE");
	bool trouble = trouble_text == NULL || strcmp(trouble_text, "0") != 0;
	int number = 0, judged = 0, old = 0, old_by[GATEWAYS] = {0};
	int64_t acked_at, back_at, judge_from;

	record_open(argv[1]);
	store_start();
	write_config(10, "stock", 1500);
	for (int i = 0; i < 4; i++) {
		servers[i].slots = 4;
		servers[i].work_ms = 5;
		servers[i].on_run = on_run;
		server_start(&servers[i]);
	}
	for (int i = 0; i < GATEWAYS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "frontend-cymru-a-%d", i + 1);
		gateway_prepare(&gateways[i], name, "cymru-a");
		gateway_start(&gateways[i], settings);
	}
	for (int i = 0; i < GATEWAYS; i++)
		gateway_wait_ready(&gateways[i], 10000);
	sleep_ms(10000);
	for (; number < 2 * GATEWAYS; number++)
		send_request(number, false);
	store_copy();
	record("the store is copied at revision %lld",
	    (long long)store_revision());
	sleep_ms(COPY_AGE_MS - 1000);
	write_config(11, "stock", 1400);
	sleep_ms(1000);
	if (trouble) {
		int64_t lost;

		record("the store is away");
		lost = store_restore(AWAY_MS);
		record("the store is back from the copy, revision %lld, %lld "
		       "changes lost",
		    (long long)store_revision(), (long long)lost);
		write_config(11, "stock", 1400);
	}
	back_at = now_ms();
	sleep_ms(CHANGE_AFTER_MS);
	write_config(12, "stock-next", 1400);
	acked_at = now_ms();
	judge_from = acked_at + CONFIG_APPLY_MS + MAX_SKEW_MS + CONTACT_MS;
	while (now_ms() < judge_from + JUDGED_MS) {
		bool is_judged = now_ms() >= judge_from;
		int gateway = number % GATEWAYS;
		bool is_old = send_request(number++, is_judged);

		judged += is_judged;
		if (is_judged && is_old) {
			old++;
			old_by[gateway]++;
		}
		sleep_ms(REQUEST_GAP_MS);
	}
	record("judged: %d requests, sent %lld ms or more after the ack of "
	       "version 12 and %lld ms or more after the return of the store",
	    judged, (long long)(judge_from - acked_at),
	    (long long)(judge_from - back_at));
	for (int i = 0; i < GATEWAYS; i++)
		record("%s: %d run by the service that only versions 10 and 11 "
		       "allow",
		    gateways[i].name, old_by[i]);
	record(old > 0 ? "CONFIG is broken: %d requests" : "CONFIG holds: %d",
	    old);
	printf(
	    "judged %d, run as only an older version allows %d\n", judged, old);
	gateways_kill_all();
	return old > 0 ? 1 : 0;
}
