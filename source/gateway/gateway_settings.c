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
/*
 * Of the time within which a leaving server must get no more requests, these
 * parts are spent until this node hears of it, and then as a last resort. The
 * rest covers a slow store and requests on their way.
 */
#define DISCOVERY_PART 0.4
#define LAST_RESORT_PART 0.3
/* Of that time, a node that is told by others may have spent this part. */
#define TOLD_PART 0.6
#define STOP_MARGIN MS(600)

typedef enum {
	SET_NODE,
	SET_DATA_CENTRE,
	SET_CLIENTS,
	SET_HEALTH,
	SET_METRICS,
	SET_PEERS,
	SET_STORE,
	SET_STORE_HISTORY_S,
	SET_RETRY_RATIO,
	SET_RETRY_WINDOW_S,
	SET_RETRY_SLACK,
	SET_DRAIN_MS,
	SET_STOP_S,
	SET_COUNT
} setting_t;

typedef struct {
	const char *flag;
	const char *argument;
	const char *help;
	const char *fallback; /* NULL: it must be given; "": it may be absent */
} setting_row_t;

static const setting_row_t rows[SET_COUNT] = {
    [SET_NODE] = {"node", "NAME", "name of this node", NULL},
    [SET_DATA_CENTRE] = {"data-centre", "NAME", "name of its data centre",
	NULL},
    [SET_CLIENTS] = {"clients", "IP:PORT", "where clients connect", NULL},
    [SET_HEALTH] = {"health", "IP:PORT", "where the balancer asks", NULL},
    [SET_METRICS] = {"metrics", "IP:PORT", "where metrics are read", ""},
    [SET_PEERS] = {"peers", "IP:PORT",
	"where other gateways of the data centre send datagrams", ""},
    [SET_STORE] = {"store", "IP:PORT", "the platform's store", NULL},
    [SET_STORE_HISTORY_S] = {"store-history-s", "SECONDS",
	"how long the store keeps changes", DEFAULT_STORE_HISTORY_S},
    [SET_RETRY_RATIO] = {"retry-ratio", "SHARE",
	"extra requests that a service accepts for each request",
	DEFAULT_RETRY_RATIO},
    [SET_RETRY_WINDOW_S] = {"retry-window-s", "SECONDS",
	"time over which extra requests are counted", DEFAULT_RETRY_WINDOW_S},
    [SET_RETRY_SLACK] = {"retry-slack", "COUNT",
	"further extra requests in that time, of all nodes together",
	DEFAULT_RETRY_SLACK},
    [SET_DRAIN_MS] = {"drain-ms", "MS",
	"a leaving server gets no request after this", DEFAULT_DRAIN_MS},
    [SET_STOP_S] = {"stop-s", "SECONDS",
	"a stopping process is killed after this", DEFAULT_STOP_S},
};

static int
refuse(char *why, size_t why_size, setting_t setting, const char *text)
{
	g_snprintf(why, why_size, "--%s '%s' is not valid; give %s (%s)",
	    rows[setting].flag, text, rows[setting].argument,
	    rows[setting].help);
	return BW_E_SETTINGS;
}

static int
set_address(char **texts, setting_t setting, struct sockaddr_in *address,
    char *why, size_t why_size)
{
	if (http_socket_parse(texts[setting], address) != 0)
		return refuse(why, why_size, setting, texts[setting]);
	return 0;
}

static int
set_number(char **texts, setting_t setting, double least, double most,
    double *number, char *why, size_t why_size)
{
	char *end;

	*number = g_ascii_strtod(texts[setting], &end);
	if (end == texts[setting] || *end != '\0' || *number < least ||
	    *number > most)
		return refuse(why, why_size, setting, texts[setting]);
	return 0;
}

static int
set_name(
    char **texts, setting_t setting, char *name, char *why, size_t why_size)
{
	if (texts[setting][0] == '\0' ||
	    strlen(texts[setting]) >= GATEWAY_NAME_MAX)
		return refuse(why, why_size, setting, texts[setting]);
	g_strlcpy(name, texts[setting], GATEWAY_NAME_MAX);
	return 0;
}

/* An empty text leaves the address out. */
static int
set_optional_address(char **texts, setting_t setting, bool *given,
    struct sockaddr_in *address, char *why, size_t why_size)
{
	*given = texts[setting][0] != '\0';
	return *given ? set_address(texts, setting, address, why, why_size) : 0;
}

static int
set_addresses(
    char **texts, gateway_settings_t *settings, char *why, size_t why_size)
{
	if (set_optional_address(texts, SET_METRICS,
		&settings->has_metrics_address, &settings->metrics_address, why,
		why_size) != 0 ||
	    set_optional_address(texts, SET_PEERS, &settings->has_peer_address,
		&settings->peer_address, why, why_size) != 0)
		return BW_E_SETTINGS;
	if (set_address(texts, SET_CLIENTS, &settings->client_address, why,
		why_size) != 0 ||
	    set_address(texts, SET_HEALTH, &settings->health_address, why,
		why_size) != 0 ||
	    set_address(
		texts, SET_STORE, &settings->store_address, why, why_size) != 0)
		return BW_E_SETTINGS;
	return 0;
}

static int
set_bounds(
    char **texts, gateway_settings_t *settings, char *why, size_t why_size)
{
	double window_s, drain_ms, stop_s, history_s;

	if (set_number(texts, SET_STORE_HISTORY_S, 1.0, 86400.0, &history_s,
		why, why_size) != 0 ||
	    set_number(texts, SET_RETRY_RATIO, 0.0, 10.0,
		&settings->retries.ratio, why, why_size) != 0 ||
	    set_number(texts, SET_RETRY_WINDOW_S, 1.0, 3600.0, &window_s, why,
		why_size) != 0 ||
	    set_number(texts, SET_RETRY_SLACK, 0.0, 1e6,
		&settings->retries.slack, why, why_size) != 0 ||
	    set_number(
		texts, SET_DRAIN_MS, 0.0, 1e6, &drain_ms, why, why_size) != 0 ||
	    set_number(
		texts, SET_STOP_S, 1.0, 3600.0, &stop_s, why, why_size) != 0)
		return BW_E_SETTINGS;
	settings->store_history = (usec_t)(history_s * USEC_PER_SEC);
	settings->retries.window = (usec_t)(window_s * USEC_PER_SEC);
	settings->discovery_interval =
	    (usec_t)(DISCOVERY_PART * drain_ms * USEC_PER_MS);
	settings->drain_limit =
	    (usec_t)(LAST_RESORT_PART * drain_ms * USEC_PER_MS);
	/* A leaving server must not be learned of too late from others. */
	settings->may_follow =
	    TOLD_PART * drain_ms * USEC_PER_MS >= PEER_LEARN_MAX;
	settings->stop_limit = (usec_t)(stop_s * USEC_PER_SEC) - STOP_MARGIN;
	return 0;
}

/* A flag goes before its variable, and both before the default. */
static int
fill_in(char **texts, char *why, size_t why_size)
{
	for (int i = 0; i < SET_COUNT; i++) {
		char *name = g_strconcat(VARIABLE_PREFIX, rows[i].flag, NULL);
		const char *value;

		for (char *at = name; *at != '\0'; at++)
			*at = *at == '-' ? '_' : g_ascii_toupper(*at);
		value = g_getenv(name);
		if (texts[i] == NULL)
			texts[i] =
			    g_strdup(value != NULL ? value : rows[i].fallback);
		if (texts[i] == NULL) {
			g_snprintf(why, why_size,
			    "--%s is missing; give it or set %s", rows[i].flag,
			    name);
			g_free(name);
			return BW_E_SETTINGS;
		}
		g_free(name);
	}
	return 0;
}

static int
parse_flags(int argc, char **argv, char **texts, gateway_settings_t *settings,
    char *why, size_t why_size)
{
	GOptionEntry entries[SET_COUNT + 3] = {{0}};
	gboolean check = FALSE, version = FALSE;
	GError *error = NULL;
	GOptionContext *context = g_option_context_new(NULL);
	bool parsed;

	for (int i = 0; i < SET_COUNT; i++)
		entries[i] =
		    (GOptionEntry){rows[i].flag, 0, 0, G_OPTION_ARG_STRING,
			&texts[i], rows[i].help, rows[i].argument};
	entries[SET_COUNT] = (GOptionEntry){"check", 0, 0, G_OPTION_ARG_NONE,
	    &check, "test the settings and end", NULL};
	entries[SET_COUNT + 1] = (GOptionEntry){"version", 0, 0,
	    G_OPTION_ARG_NONE, &version, "print the version and end", NULL};
	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (parsed && argc > 1)
		g_snprintf(why, why_size, "unknown argument '%s'", argv[1]);
	else if (!parsed)
		g_snprintf(why, why_size, "%s", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	settings->check_only = check;
	settings->version_only = version;
	return parsed && argc <= 1 ? 0 : BW_E_SETTINGS;
}

static int
read_texts(
    char **texts, gateway_settings_t *settings, char *why, size_t why_size)
{
	if (fill_in(texts, why, why_size) != 0 ||
	    set_name(texts, SET_NODE, settings->node, why, why_size) != 0 ||
	    set_name(texts, SET_DATA_CENTRE, settings->data_centre, why,
		why_size) != 0 ||
	    set_addresses(texts, settings, why, why_size) != 0)
		return BW_E_SETTINGS;
	return set_bounds(texts, settings, why, why_size);
}

int
gateway_settings_load(int argc, char **argv, gateway_settings_t *settings,
    char *why, size_t why_size)
{
	char *texts[SET_COUNT] = {0};
	int error;

	*settings = (gateway_settings_t){0};
	error = parse_flags(argc, argv, texts, settings, why, why_size);
	if (error == 0 && !settings->version_only)
		error = read_texts(texts, settings, why, why_size);
	for (int i = 0; i < SET_COUNT; i++)
		g_free(texts[i]);
	return error;
}
