#include "gateway_settings.h"

#include <glib.h>
#include <string.h>

#include "../http/http_socket.h"
#include "../peers/peer_group.h"
#include "bulrushwell/error.h"

#define VARIABLE_PREFIX "BULRUSHWELL_GATEWAY_"
#define DEFAULT_STORE_HISTORY_S "20"
#define DEFAULT_RETRY_RATIO "0.2"
#define DEFAULT_RETRY_WINDOW_S "10"
#define DEFAULT_RETRY_SLACK "20"
#define DEFAULT_DRAIN_MS "3000"
#define DEFAULT_STOP_S "6"
#define DEFAULT_LINK_MBPS "1000"
/*
 * drain-ms is the time after which a leaving server must get no more requests.
 * This node reads the registry again within DISCOVERY_SHARE of it after a
 * change, and uses a leaving server as a last resort until LAST_RESORT_SHARE of
 * it have passed since the server may have begun to leave. The rest covers
 * requests in flight. A poll of the registry waits for POLL_WAIT_SHARE of it
 * and its answer for POLL_MARGIN_SHARE more, so that a poll that was lost hides
 * no leave for longer than a server may still be used.
 */
#define DISCOVERY_SHARE 0.4
#define POLL_WAIT_SHARE 0.6
#define POLL_MARGIN_SHARE 0.2
#define LAST_RESORT_SHARE 0.75
/* For a very short drain-ms; shorter polls would only cost the store calls. */
#define POLL_WAIT_MIN MS(500)
#define POLL_MARGIN_MIN MS(250)
/* Share of drain-ms, evacuate-ms and config-apply-ms within which peers must
 * report. */
#define PEER_DELAY_SHARE 0.6
/*
 * evacuate-ms is the time after which the servers of an evacuated data centre
 * must get no more requests, config-apply-ms the one after which a
 * configuration must be in force. The polls divide them as those of the
 * registry divide drain-ms. The pause after a change adds to the time of a lost
 * poll, and both together must stay below the bound.
 */
#define CHANGE_DELAY_SHARE 0.08
#define EVACUATE_MS_MIN 1000.0	   /* the shortest polls take most of it */
#define CONFIG_APPLY_MS_MIN 1000.0 /* the same */
/* Without a bound on the configuration, a lost poll is found by the probe. */
#define CONFIG_ANSWER_MARGIN SECONDS(3)
#define CONFIG_CHANGE_DELAY MS(400) /* changes within it take one poll */
/* After an outage of the store, peers that send its changes are back by then.
 */
#define PEER_RETURN_WAIT_MAX MS(800)
/* Nodes that start at the same time have found each other by then. */
#define PEER_HELLO_WAIT_MAX MS(1400)
/* A stop ends this long before the process would be killed. */
#define STOP_MARGIN MS(600)
#define BYTES_PER_MB (1024.0 * 1024.0)
/* Less does not hold the process and one request of each kind. */
#define MEMORY_MB_MIN 16.0
#define MAX_FDS_MIN 128.0

typedef enum {
	SETTING_NODE,
	SETTING_DATA_CENTRE,
	SETTING_CLIENTS,
	SETTING_HEALTH,
	SETTING_METRICS,
	SETTING_PEERS,
	SETTING_STORE,
	SETTING_STORE_HISTORY_S,
	SETTING_RETRY_RATIO,
	SETTING_RETRY_WINDOW_S,
	SETTING_RETRY_SLACK,
	SETTING_DRAIN_MS,
	SETTING_EVACUATE_MS,
	SETTING_CONFIG_APPLY_MS,
	SETTING_STOP_S,
	SETTING_LINK_MBPS,
	SETTING_WARM_UP_OVERSHOOT,
	SETTING_WARM_UP_SLACK,
	SETTING_QUOTA_WINDOW_S,
	SETTING_QUOTA_OVERSHOOT,
	SETTING_QUOTA_SLACK,
	SETTING_MEMORY_MB,
	SETTING_MAX_FDS,
	SETTING_COUNT
} setting_t;

typedef struct {
	const char *flag;
	const char *argument;
	const char *help;
	const char *default_value; /* NULL: required; "": optional */
} setting_row_t;

static const setting_row_t rows[SETTING_COUNT] = {
    [SETTING_NODE] = {"node", "NAME", "name of this node", NULL},
    [SETTING_DATA_CENTRE] = {"data-centre", "NAME", "name of its data centre",
	NULL},
    [SETTING_CLIENTS] = {"clients", "IP:PORT", "listen address for clients",
	NULL},
    [SETTING_HEALTH] = {"health", "IP:PORT", "listen address for health checks",
	NULL},
    [SETTING_METRICS] = {"metrics", "IP:PORT", "listen address for metrics",
	""},
    [SETTING_PEERS] = {"peers", "IP:PORT",
	"listen address for other gateways (UDP and TCP)", ""},
    [SETTING_STORE] = {"store", "IP:PORT", "address of the platform's store",
	NULL},
    [SETTING_STORE_HISTORY_S] = {"store-history-s", "SECONDS",
	"how long the store keeps changes", DEFAULT_STORE_HISTORY_S},
    [SETTING_RETRY_RATIO] = {"retry-ratio", "SHARE",
	"extra requests that a service accepts for each request",
	DEFAULT_RETRY_RATIO},
    [SETTING_RETRY_WINDOW_S] = {"retry-window-s", "SECONDS",
	"time window over which extra requests are counted",
	DEFAULT_RETRY_WINDOW_S},
    [SETTING_RETRY_SLACK] = {"retry-slack", "COUNT",
	"further extra requests in that window, from all nodes together",
	DEFAULT_RETRY_SLACK},
    [SETTING_DRAIN_MS] = {"drain-ms", "MS",
	"time after which a leaving server gets no requests", DEFAULT_DRAIN_MS},
    [SETTING_EVACUATE_MS] = {"evacuate-ms", "MS",
	"time after which servers of an evacuated data centre get no requests",
	""},
    [SETTING_CONFIG_APPLY_MS] = {"config-apply-ms", "MS",
	"time after which a configuration is in force", ""},
    [SETTING_STOP_S] = {"stop-s", "SECONDS",
	"time after which a stopping process is killed", DEFAULT_STOP_S},
    [SETTING_LINK_MBPS] = {"link-mbps", "MBIT/S",
	"bandwidth of the VM's network link", DEFAULT_LINK_MBPS},
    [SETTING_WARM_UP_OVERSHOOT] = {"warmup-overshoot", "FACTOR",
	"bound of a cold server's requests in a second, as a factor of its "
	"warmup_per_s",
	""},
    [SETTING_WARM_UP_SLACK] = {"warmup-slack", "COUNT",
	"further requests in that bound", ""},
    [SETTING_QUOTA_WINDOW_S] = {"quota-window-s", "SECONDS",
	"time window of customers' rates; without it they have none", ""},
    [SETTING_QUOTA_OVERSHOOT] = {"quota-overshoot", "SHARE",
	"how far a customer may exceed its rate in that window", ""},
    [SETTING_QUOTA_SLACK] = {"quota-slack", "COUNT",
	"further requests of a customer in that window", ""},
    [SETTING_MEMORY_MB] = {"memory-mb", "MB",
	"memory of the VM; without it what the kernel reports", ""},
    [SETTING_MAX_FDS] = {"max-fds", "COUNT",
	"descriptors of the VM; without it what the kernel allows", ""},
};

static int
reject_value(
    char *message, size_t message_size, setting_t setting, const char *value)
{
	g_snprintf(message, message_size,
	    "--%s: invalid value '%s'; expected %s (%s)", rows[setting].flag,
	    value, rows[setting].argument, rows[setting].help);
	return BW_E_SETTINGS;
}

static int
parse_address(char **values, setting_t setting, struct sockaddr_in *address,
    char *message, size_t message_size)
{
	if (http_socket_parse(values[setting], address) != 0)
		return reject_value(
		    message, message_size, setting, values[setting]);
	return 0;
}

static int
parse_number(char **values, setting_t setting, double minimum, double maximum,
    double *number, char *message, size_t message_size)
{
	char *end;

	*number = g_ascii_strtod(values[setting], &end);
	if (end == values[setting] || *end != '\0' ||
	    !(*number >= minimum && *number <= maximum))
		return reject_value(
		    message, message_size, setting, values[setting]);
	return 0;
}

static int
parse_name(char **values, setting_t setting, char *name, char *message,
    size_t message_size)
{
	if (values[setting][0] == '\0' ||
	    strlen(values[setting]) >= GATEWAY_NAME_MAX)
		return reject_value(
		    message, message_size, setting, values[setting]);
	g_strlcpy(name, values[setting], GATEWAY_NAME_MAX);
	return 0;
}

/* An empty value means that there is no such address. */
static int
parse_optional_address(char **values, setting_t setting, bool *given,
    struct sockaddr_in *address, char *message, size_t message_size)
{
	*given = values[setting][0] != '\0';
	return *given
	    ? parse_address(values, setting, address, message, message_size)
	    : 0;
}

static int
parse_addresses(char **values, gateway_settings_t *settings, char *message,
    size_t message_size)
{
	if (parse_optional_address(values, SETTING_METRICS,
		&settings->has_metrics_address, &settings->metrics_address,
		message, message_size) != 0 ||
	    parse_optional_address(values, SETTING_PEERS,
		&settings->has_peer_address, &settings->peer_address, message,
		message_size) != 0)
		return BW_E_SETTINGS;
	if (parse_address(values, SETTING_CLIENTS, &settings->client_address,
		message, message_size) != 0 ||
	    parse_address(values, SETTING_HEALTH, &settings->health_address,
		message, message_size) != 0 ||
	    parse_address(values, SETTING_STORE, &settings->store_address,
		message, message_size) != 0)
		return BW_E_SETTINGS;
	return 0;
}

static usec_t
poll_wait(double time)
{
	return MAX((usec_t)(POLL_WAIT_SHARE * time), POLL_WAIT_MIN);
}

static usec_t
poll_margin(double time)
{
	return MAX((usec_t)(POLL_MARGIN_SHARE * time), POLL_MARGIN_MIN);
}

static poll_times_t
divide_time(usec_t limit)
{
	double time = (double)limit;
	poll_times_t times = {.wait = poll_wait(time),
	    .answer_margin = poll_margin(time),
	    .change_delay = (usec_t)(CHANGE_DELAY_SHARE * time)};

	times.time_max = times.wait + times.answer_margin;
	return times;
}

/* The time within which peers must report a change; they may be followed only
 * if they do. */
static usec_t
peer_report_time(usec_t drain, const gateway_settings_t *settings)
{
	usec_t shortest = drain;

	if (settings->evacuation_limit > 0)
		shortest = MIN(shortest, settings->evacuation_limit);
	if (settings->config_limit > 0)
		shortest = MIN(shortest, settings->config_limit);
	return (usec_t)(PEER_DELAY_SHARE * (double)shortest);
}

/* The time that a leaving server gives is shared by all that delays the news
 * of it. */
static void
divide_drain_time(usec_t drain, gateway_settings_t *settings)
{
	double time = (double)drain;
	usec_t peer_time = peer_report_time(drain, settings);

	settings->registry_polls = (poll_times_t){.wait = poll_wait(time),
	    .answer_margin = poll_margin(time),
	    .change_delay = (usec_t)(DISCOVERY_SHARE * time)};
	settings->drain_limit = (usec_t)(LAST_RESORT_SHARE * time);
	settings->may_follow_peers = peer_time >= PEER_CHANGE_DELAY_MAX;
	settings->peer_return_wait =
	    CLAMP(peer_time - PEER_CHANGE_DELAY_MAX, 0, PEER_RETURN_WAIT_MAX);
	if (settings->has_peer_address && settings->may_follow_peers)
		settings->peer_hello_wait = MIN(
		    settings->registry_polls.change_delay, PEER_HELLO_WAIT_MAX);
}

/* An empty value means that evacuations are not followed. */
static int
parse_evacuation_limit(char **values, gateway_settings_t *settings,
    char *message, size_t message_size)
{
	double limit_ms;

	if (values[SETTING_EVACUATE_MS][0] == '\0')
		return 0;
	if (parse_number(values, SETTING_EVACUATE_MS, EVACUATE_MS_MIN, 1e6,
		&limit_ms, message, message_size) != 0)
		return BW_E_SETTINGS;
	settings->evacuation_limit = (usec_t)(limit_ms * USEC_PER_MS);
	settings->evacuation_polls = divide_time(settings->evacuation_limit);
	return 0;
}

/* 0 or an empty value means that there is no bound: a poll may take as long as
 * the store keeps changes. */
static int
parse_config_limit(char **values, gateway_settings_t *settings, char *message,
    size_t message_size)
{
	const char *text = values[SETTING_CONFIG_APPLY_MS];
	double limit_ms;

	settings->config_polls = (poll_times_t){.wait = settings->store_history,
	    .answer_margin = CONFIG_ANSWER_MARGIN,
	    .change_delay = CONFIG_CHANGE_DELAY};
	if (text[0] == '\0' || strcmp(text, "0") == 0)
		return 0;
	if (parse_number(values, SETTING_CONFIG_APPLY_MS, CONFIG_APPLY_MS_MIN,
		1e6, &limit_ms, message, message_size) != 0)
		return BW_E_SETTINGS;
	settings->config_limit = (usec_t)(limit_ms * USEC_PER_MS);
	settings->config_polls = divide_time(settings->config_limit);
	return 0;
}

static int
parse_optional_number(char **values, setting_t setting, double minimum,
    double maximum, double *number, char *message, size_t message_size)
{
	if (values[setting][0] == '\0')
		return 0;
	return parse_number(
	    values, setting, minimum, maximum, number, message, message_size);
}

static int
parse_quota(char **values, gateway_settings_t *settings, char *message,
    size_t message_size)
{
	double window_s = 0.0;

	if (parse_optional_number(values, SETTING_QUOTA_WINDOW_S, 0.1, 60.0,
		&window_s, message, message_size) != 0 ||
	    parse_optional_number(values, SETTING_QUOTA_OVERSHOOT, 0.0, 10.0,
		&settings->rate_bound.overshoot, message, message_size) != 0 ||
	    parse_optional_number(values, SETTING_QUOTA_SLACK, 0.0, 1e6,
		&settings->rate_bound.slack, message, message_size) != 0)
		return BW_E_SETTINGS;
	settings->rate_bound.window = (usec_t)(window_s * USEC_PER_SEC);
	return 0;
}

static int
parse_vm(char **values, gateway_settings_t *settings, char *message,
    size_t message_size)
{
	double memory_mb = 0.0, max_fds = 0.0;

	if (parse_optional_number(values, SETTING_MEMORY_MB, MEMORY_MB_MIN, 1e6,
		&memory_mb, message, message_size) != 0 ||
	    parse_optional_number(values, SETTING_MAX_FDS, MAX_FDS_MIN, 1e7,
		&max_fds, message, message_size) != 0)
		return BW_E_SETTINGS;
	settings->memory_bytes = (size_t)(memory_mb * BYTES_PER_MB);
	settings->max_fds = (uint64_t)max_fds;
	return 0;
}

static int
parse_limits(char **values, gateway_settings_t *settings, char *message,
    size_t message_size)
{
	double window_s, drain_ms, stop_s, history_s;

	if (parse_number(values, SETTING_STORE_HISTORY_S, 1.0, 86400.0,
		&history_s, message, message_size) != 0 ||
	    parse_number(values, SETTING_RETRY_RATIO, 0.0, 10.0,
		&settings->retries.ratio, message, message_size) != 0 ||
	    parse_number(values, SETTING_RETRY_WINDOW_S, 1.0, 3600.0, &window_s,
		message, message_size) != 0 ||
	    parse_number(values, SETTING_RETRY_SLACK, 0.0, 1e6,
		&settings->retries.slack, message, message_size) != 0 ||
	    parse_number(values, SETTING_DRAIN_MS, 0.0, 1e6, &drain_ms, message,
		message_size) != 0 ||
	    parse_evacuation_limit(values, settings, message, message_size) !=
		0 ||
	    parse_number(values, SETTING_STOP_S, 1.0, 3600.0, &stop_s, message,
		message_size) != 0 ||
	    parse_number(values, SETTING_LINK_MBPS, 0.1, 1e6,
		&settings->link_mbps, message, message_size) != 0)
		return BW_E_SETTINGS;
	settings->store_history = (usec_t)(history_s * USEC_PER_SEC);
	if (parse_config_limit(values, settings, message, message_size) != 0)
		return BW_E_SETTINGS;
	settings->retries.window = (usec_t)(window_s * USEC_PER_SEC);
	settings->stop_limit = (usec_t)(stop_s * USEC_PER_SEC) - STOP_MARGIN;
	divide_drain_time((usec_t)(drain_ms * USEC_PER_MS), settings);
	return 0;
}

static int
parse_cold_bound(char **values, gateway_settings_t *settings, char *message,
    size_t message_size)
{
	cold_bound_t *bound = &settings->cold_bound;

	bound->overshoot = 1.0;
	bound->slack = 0.0;
	bound->given = values[SETTING_WARM_UP_OVERSHOOT][0] != '\0' ||
	    values[SETTING_WARM_UP_SLACK][0] != '\0';
	if (parse_optional_number(values, SETTING_WARM_UP_OVERSHOOT, 0.0,
		1000.0, &bound->overshoot, message, message_size) != 0)
		return BW_E_SETTINGS;
	return parse_optional_number(values, SETTING_WARM_UP_SLACK, 0.0, 1e6,
	    &bound->slack, message, message_size);
}

/* A flag takes precedence over its variable, and both over the default. */
static int
resolve_values(char **values, char *message, size_t message_size)
{
	for (int i = 0; i < SETTING_COUNT; i++) {
		char *name = g_strconcat(VARIABLE_PREFIX, rows[i].flag, NULL);
		const char *value;

		for (char *character = name; *character != '\0'; character++)
			*character = *character == '-'
			    ? '_'
			    : g_ascii_toupper(*character);
		value = g_getenv(name);
		if (values[i] == NULL)
			values[i] = g_strdup(
			    value != NULL ? value : rows[i].default_value);
		if (values[i] == NULL) {
			g_snprintf(message, message_size,
			    "--%s is required; pass it or set %s", rows[i].flag,
			    name);
			g_free(name);
			return BW_E_SETTINGS;
		}
		g_free(name);
	}
	return 0;
}

static int
parse_flags(int argc, char **argv, char **values, gateway_settings_t *settings,
    char *message, size_t message_size)
{
	GOptionEntry entries[SETTING_COUNT + 3] = {{0}};
	gboolean check = FALSE, version = FALSE;
	GError *error = NULL;
	GOptionContext *context = g_option_context_new(NULL);
	bool parsed;

	for (int i = 0; i < SETTING_COUNT; i++)
		entries[i] =
		    (GOptionEntry){rows[i].flag, 0, 0, G_OPTION_ARG_STRING,
			&values[i], rows[i].help, rows[i].argument};
	entries[SETTING_COUNT] = (GOptionEntry){"check", 0, 0,
	    G_OPTION_ARG_NONE, &check, "check the settings and exit", NULL};
	entries[SETTING_COUNT + 1] = (GOptionEntry){"version", 0, 0,
	    G_OPTION_ARG_NONE, &version, "print the version and exit", NULL};
	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (parsed && argc > 1)
		g_snprintf(
		    message, message_size, "unknown argument '%s'", argv[1]);
	else if (!parsed)
		g_snprintf(message, message_size, "%s", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	settings->check_only = check;
	settings->version_only = version;
	return parsed && argc <= 1 ? 0 : BW_E_SETTINGS;
}

static int
parse_values(char **values, gateway_settings_t *settings, char *message,
    size_t message_size)
{
	if (resolve_values(values, message, message_size) != 0 ||
	    parse_name(values, SETTING_NODE, settings->node, message,
		message_size) != 0 ||
	    parse_name(values, SETTING_DATA_CENTRE, settings->data_centre,
		message, message_size) != 0 ||
	    parse_addresses(values, settings, message, message_size) != 0)
		return BW_E_SETTINGS;
	if (parse_cold_bound(values, settings, message, message_size) != 0 ||
	    parse_quota(values, settings, message, message_size) != 0 ||
	    parse_vm(values, settings, message, message_size) != 0)
		return BW_E_SETTINGS;
	return parse_limits(values, settings, message, message_size);
}

int
gateway_settings_load(int argc, char **argv, gateway_settings_t *settings,
    char *message, size_t message_size)
{
	char *values[SETTING_COUNT] = {0};
	int error;

	*settings = (gateway_settings_t){0};
	error =
	    parse_flags(argc, argv, values, settings, message, message_size);
	if (error == 0 && !settings->version_only)
		error = parse_values(values, settings, message, message_size);
	for (int i = 0; i < SETTING_COUNT; i++)
		g_free(values[i]);
	return error;
}
