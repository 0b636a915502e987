/* The store is silent for a moment, just as the gateways ask it for changes of
 * the configuration. A version that it acknowledges when it has long been
 * stable again must be in force in time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../kit.h"

#define GATEWAYS 6
#define STALE_MS 5000	     /* "may return data that is seconds old" */
#define SILENCE_AFTER_MS 300 /* after a change */
#define SILENCE_MS 400
#define CONTACT_MS 4000
#define CALM_MS (CONTACT_MS + 500)
#define CONFIG_APPLY_MS 3000
#define MARGIN_MS 50
#define JUDGED_MS 6000
#define REQUEST_GAP_MS 20

static const setting_t settings[] = {{"platform.history_s", "20"},
    {"bounds.retry_budget_ratio", "0.2"}, {"bounds.retry_window_s", "10"},
    {"bounds.retry_slack", "52"}, {"bounds.drain_ms", "3000"},
    {"bounds.grace_s", "6"}, {"bounds.config_apply_ms", "3000"},
    {"limits.link_mbps", "1000.0"}, {"limits.memory_mb", "260"},
    {"limits.max_fds", "4100"}, {NULL, NULL}};

static const char *const zones[GATEWAYS] = {"muscat-ruwi", "muscat-ruwi",
    "muscat-ruwi", "muscat-seeb", "muscat-qurum", "muscat-qurum"};

static server_t servers[] = {
    {.id = "i-old-1", .service = "archive", .zone = "muscat-ruwi"},
    {.id = "i-old-2", .service = "archive", .zone = "muscat-seeb"},
    {.id = "i-new-1", .service = "archive-next", .zone = "muscat-ruwi"},
    {.id = "i-new-2", .service = "archive-next", .zone = "muscat-seeb"},
};

static gateway_t gateways[GATEWAYS];

static void
on_run(server_t *server, const char *id, const char *target, int64_t at)
{
	record(
	    "run %s %s by %s of %s", id, target, server->id, server->service);
}

static void
write_config(int version, const char *service, int timeout_ms)
{
	int64_t revision = store_put("config", "main",
	    json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}],"
		      "s:[{s:s,s:s,s:i},{s:s,s:s,s:i}],s:{s:i,s:i,s:i,s:i}}",
		"version", version, "routes", "name", "fetch", "host",
		"museum.example", "path_prefix", "/fetch/", "service", service,
		"route_type", "idempotent", "timeout_ms", timeout_ms,
		"target_latency_ms", 250, "priority", 1, "max_attempts", 2,
		"services", "name", "archive", "health_path", "/health",
		"max_connections", 38, "name", "archive-next", "health_path",
		"/health", "max_connections", 38, "limits", "max_header_bytes",
		16384, "max_body_bytes", 262144, "header_timeout_ms", 3000,
		"idle_timeout_ms", 15000));

	record("ack of version %d: /fetch/ -> %s, revision %lld", version,
	    service, (long long)revision);
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
	reply = client_request(gateway->clients, "GET", "museum.example",
	    "/fetch/reel", id, "Bulrushwell-Deadline-Ms: 1500\r\n", 1500);
	reply_header(
	    &reply, "Bulrushwell-Response-Stamp", value, sizeof(value));
	is_old = reply.status == 200 && strncmp(value, "archive.", 8) == 0;
	record("answer %s from %s: %d %s%s", id, gateway->name, reply.status,
	    value, is_judged && is_old ? "  <- only an older version" : "");
	reply_free(&reply);
	return is_old;
}

static void
start_all(void)
{
	store_start();
	store_set_stale(STALE_MS);
	write_config(10, "archive", 1500);
	for (int i = 0; i < 4; i++) {
		servers[i].slots = 3;
		servers[i].work_ms = 5;
		servers[i].on_run = on_run;
		server_start(&servers[i]);
	}
	for (int i = 0; i < GATEWAYS; i++) {
		char name[32];

		snprintf(
		    name, sizeof(name), "frontend-%s-%d", zones[i] + 7, i + 1);
		gateway_prepare(&gateways[i], name, zones[i]);
		gateway_start(&gateways[i], settings);
	}
	for (int i = 0; i < GATEWAYS; i++)
		gateway_wait_ready(&gateways[i], 10000);
	sleep_ms(10000);
}

int
main(int argc, char **argv)
{
	const char *trouble_text = getenv("TROUBLE");
	bool trouble = trouble_text == NULL || strcmp(trouble_text, "0") != 0;
	int number = 0, judged = 0, old = 0, old_by[GATEWAYS] = {0};
	int64_t last_old_at = 0, acked_at, judge_from;

	record_open(argv[1]);
	start_all();
	for (; number < 2 * GATEWAYS; number++)
		send_request(number, false);
	write_config(11, "archive", 1400);
	sleep_ms(SILENCE_AFTER_MS);
	if (trouble) {
		record("the store is silent");
		store_silence(SILENCE_MS);
		record("the store answers again");
	}
	sleep_ms(CALM_MS);
	write_config(12, "archive-next", 1400);
	acked_at = now_ms();
	judge_from = acked_at + CONFIG_APPLY_MS + MARGIN_MS;
	while (now_ms() < judge_from + JUDGED_MS) {
		int64_t sent_at = now_ms();
		bool is_judged = sent_at >= judge_from;
		int gateway = number % GATEWAYS;
		bool is_old = send_request(number++, is_judged);

		judged += is_judged;
		if (is_judged && is_old) {
			old++;
			old_by[gateway]++;
			last_old_at = sent_at;
		}
		sleep_ms(REQUEST_GAP_MS);
	}
	record("judged: %d requests, sent %d ms or more after the ack of "
	       "version 12",
	    judged, CONFIG_APPLY_MS + MARGIN_MS);
	for (int i = 0; i < GATEWAYS; i++)
		record("%s: %d run by the service that only versions 10 and 11 "
		       "allow",
		    gateways[i].name, old_by[i]);
	if (old > 0)
		record("the last of them was sent %lld ms after the ack",
		    (long long)(last_old_at - acked_at));
	record(old > 0 ? "CONFIG is broken: %d requests" : "CONFIG holds: %d",
	    old);
	printf(
	    "judged %d, run as only an older version allows %d\n", judged, old);
	gateways_kill_all();
	return old > 0 ? 1 : 0;
}
