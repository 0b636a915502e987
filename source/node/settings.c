#include "bulrushwell/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"

#define ENVIRONMENT_PREFIX "BULRUSHWELL_"
#define DEFAULT_OPERATOR_ADDRESS "127.0.0.1:9100"
#define Z85_DIGITS                             \
	"0123456789abcdefghijklmnopqrstuvwxyz" \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#"

typedef enum {
	SETTING_NODE,
	SETTING_VM,
	SETTING_CELL,
	SETTING_DATA_CENTRE,
	SETTING_CALLER_ADDRESS,
	SETTING_OPERATOR_ADDRESS,
	SETTING_PEER_ADDRESS,
	SETTING_PLATFORM,
	SETTING_PEERS,
	SETTING_PEER_KEY_FILE,
	SETTING_CHECK,
	SETTING_VERSION,
	SETTING_COUNT
} setting_t;

/* Flag, environment variable and help text of each setting. */
static const struct {
	const char *flag;
	const char *variable;
	bool is_switch;
	const char *argument;
	const char *help;
} setting_table[SETTING_COUNT] = {
    [SETTING_NODE] = {"node", "NODE", false, "NAME", "name of this node"},
    [SETTING_VM] = {"vm", "VM", false, "NAME",
	"name of the VM that it runs on"},
    [SETTING_CELL] = {"cell", "CELL", false, "NAME", "name of its cell"},
    [SETTING_DATA_CENTRE] = {"data-centre", "DATA_CENTRE", false, "NAME",
	"name of its data centre"},
    [SETTING_CALLER_ADDRESS] = {"caller-address", "CALLER_ADDRESS", false,
	"IP:PORT", "address that callers connect to"},
    [SETTING_OPERATOR_ADDRESS] = {"operator-address", "OPERATOR_ADDRESS", false,
	"IP:PORT",
	"address that operators connect to (default " DEFAULT_OPERATOR_ADDRESS
	")"},
    [SETTING_PEER_ADDRESS] = {"peer-address", "PEER_ADDRESS", false, "IP:PORT",
	"address that the other nodes connect to"},
    [SETTING_PLATFORM] = {"platform", "PLATFORM", false, "IP:PORT",
	"address of the platform's object API"},
    [SETTING_PEERS] = {"peers", "PEERS", false, "NODE@IP:PORT,...",
	"the other nodes; may be empty"},
    [SETTING_PEER_KEY_FILE] = {"peer-key-file", "PEER_KEY_FILE", false, "PATH",
	"file with the secret that all nodes share"},
    [SETTING_CHECK] = {"check", "CHECK", true, NULL,
	"check the settings and exit"},
    [SETTING_VERSION] = {"version", "VERSION", true, NULL,
	"print the version and exit"},
};

/* Variables with the prefix that are not settings; event.c reads them. */
static const char *const ignored_variables[] = {"FATAL_INVARIANTS"};

/* State of settings_load(). The values are owned; NULL: not given. */
typedef struct {
	char *values[SETTING_COUNT];
	settings_t *settings;
	char *message;
	size_t message_size;
} loader_t;

static int set_error(loader_t *loader, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static int
set_error(loader_t *loader, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(loader->message, loader->message_size, format, args);
	va_end(args);
	return BW_E_SETTINGS;
}

static int
find_flag(const char *flag)
{
	for (int i = 0; i < SETTING_COUNT; i++)
		if (strcmp(setting_table[i].flag, flag) == 0)
			return i;
	return -1;
}

static int
find_variable(const char *name, size_t length)
{
	for (int i = 0; i < SETTING_COUNT; i++)
		if (strlen(setting_table[i].variable) == length &&
		    memcmp(setting_table[i].variable, name, length) == 0)
			return i;
	return -1;
}

static gboolean
on_flag(const char *name, const char *value, gpointer data, GError **error)
{
	loader_t *loader = data;
	int setting = find_flag(name + strlen("--"));

	if (loader->values[setting] != NULL) {
		g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
		    "the flag %s is given twice; remove one of the two", name);
		return FALSE;
	}
	loader->values[setting] = g_strdup(value != NULL ? value : "1");
	return TRUE;
}

/* GLib's message quotes the argument, which may contain a secret after '=': the
 * message is cut there. */
static int
set_flag_error(loader_t *loader, const GError *error)
{
	int length = (int)strcspn(error->message, "=");

	return set_error(loader, "%.*s; 'bulrushwelld --help' lists the flags",
	    length, error->message);
}

/* Refuses a value for a switch: GLib accepts "--check=no" as "--check". */
static int
check_switches(loader_t *loader, int argc, char **argv)
{
	for (int i = 1; i < argc; i++)
		for (int j = 0; j < SETTING_COUNT; j++) {
			const char *flag = setting_table[j].flag;
			size_t length = strlen(flag);

			if (setting_table[j].is_switch &&
			    strncmp(argv[i], "--", 2) == 0 &&
			    strncmp(argv[i] + 2, flag, length) == 0 &&
			    argv[i][length + 2] == '=')
				return set_error(loader,
				    "the flag --%s takes no value; write --%s "
				    "alone",
				    flag, flag);
		}
	return 0;
}

static int
read_flags(loader_t *loader, int argc, char **argv)
{
	GOptionEntry entries[SETTING_COUNT + 1] = {0};
	GOptionContext *context = g_option_context_new(NULL);
	GOptionGroup *group =
	    g_option_group_new("settings", "", "", loader, NULL);
	char **arguments = g_new0(char *, (size_t)argc + 1);
	GError *error = NULL;
	int result = 0;

	for (int i = 0; i < argc; i++)
		arguments[i] = g_strdup(argv[i]);
	for (int i = 0; i < SETTING_COUNT; i++) {
		entries[i].long_name = setting_table[i].flag;
		/* FILENAME passes the bytes as they are; STRING would convert
		 * them from the locale's encoding. */
		entries[i].flags = setting_table[i].is_switch
		    ? G_OPTION_FLAG_NO_ARG
		    : G_OPTION_FLAG_FILENAME;
		entries[i].arg = G_OPTION_ARG_CALLBACK;
		entries[i].arg_data = on_flag;
		entries[i].description = setting_table[i].help;
		entries[i].arg_description = setting_table[i].argument;
	}
	g_option_group_add_entries(group, entries);
	g_option_context_set_main_group(context, group);
	g_option_context_set_summary(
	    context, "One node of the bulrushwell query tier.");
	if (!g_option_context_parse_strv(context, &arguments, &error)) {
		result = set_flag_error(loader, error);
		g_error_free(error);
	} else if (g_strv_length(arguments) > 1) {
		result = set_error(loader,
		    "an argument is not a flag; every setting is written "
		    "--NAME VALUE");
	}
	g_strfreev(arguments);
	g_option_context_free(context);
	return result;
}

static bool
is_ignored_variable(const char *name, size_t length)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ignored_variables); i++)
		if (strlen(ignored_variables[i]) == length &&
		    memcmp(ignored_variables[i], name, length) == 0)
			return true;
	return false;
}

static int
read_variable(loader_t *loader, const char *name, size_t length)
{
	int setting = find_variable(name, length);
	const char *value = name + length + 1;

	if (setting < 0 && is_ignored_variable(name, length))
		return 0;
	if (setting < 0)
		return set_error(loader,
		    "the environment variable " ENVIRONMENT_PREFIX
		    "%.*s is not a setting; unset it or correct its name",
		    (int)MIN(length, NAME_SIZE), name);
	if (setting_table[setting].is_switch && strcmp(value, "0") != 0 &&
	    strcmp(value, "1") != 0)
		return set_error(loader,
		    "the environment variable " ENVIRONMENT_PREFIX
		    "%s is not a switch; set it to 0 or 1",
		    setting_table[setting].variable);
	if (loader->values[setting] == NULL)
		loader->values[setting] = g_strdup(value);
	return 0;
}

static int
read_environment(loader_t *loader)
{
	size_t prefix = strlen(ENVIRONMENT_PREFIX);

	for (char **entry = environ; entry != NULL && *entry != NULL; entry++) {
		const char *name = *entry + prefix;

		if (strncmp(*entry, ENVIRONMENT_PREFIX, prefix) != 0)
			continue;
		if (read_variable(loader, name, strcspn(name, "=")) != 0)
			return BW_E_SETTINGS;
	}
	return 0;
}

static int
read_name(loader_t *loader, setting_t setting, name_t name)
{
	const char *value = loader->values[setting];
	const char *flag = setting_table[setting].flag;

	if (value == NULL)
		return set_error(loader,
		    "the setting '%s' is missing; give --%s NAME", flag, flag);
	if (name_set(name, value) == 0)
		return 0;
	return set_error(loader,
	    "the setting '%s' is not a name; use 1 to %d lower-case letters, "
	    "digits, '-', '_' or '.'",
	    flag, NAME_SIZE - 1);
}

static int
read_address(loader_t *loader, setting_t setting, address_t address)
{
	const char *value = loader->values[setting];
	const char *flag = setting_table[setting].flag;

	if (value == NULL && setting == SETTING_OPERATOR_ADDRESS)
		value = DEFAULT_OPERATOR_ADDRESS;
	if (value == NULL)
		return set_error(loader,
		    "the setting '%s' is missing; give --%s IP:PORT", flag,
		    flag);
	if (address_set(address, value) == 0)
		return 0;
	return set_error(loader,
	    "the setting '%s' is not an address; write a numeric IP:PORT such "
	    "as 127.0.0.1:9100",
	    flag);
}

static int
read_peer(loader_t *loader, const char *text)
{
	settings_t *settings = loader->settings;
	settings_peer_t *peer = &settings->peers[settings->peer_count];
	char **parts;
	bool valid;

	if (settings->peer_count == SETTINGS_MAX_PEERS)
		return set_error(loader,
		    "the setting 'peers' is too long; name at most %d nodes",
		    SETTINGS_MAX_PEERS);
	parts = g_strsplit(text, "@", 2);
	valid = g_strv_length(parts) == 2 &&
	    name_set(peer->node, parts[0]) == 0 &&
	    address_set(peer->address, parts[1]) == 0;
	g_strfreev(parts);
	settings->peer_count += valid;
	if (valid)
		return 0;
	return set_error(loader,
	    "entry %zu of the setting 'peers' is not valid; write each as "
	    "NODE@IP:PORT, with ',' between them",
	    settings->peer_count + 1);
}

static int
read_peers(loader_t *loader)
{
	const char *value = loader->values[SETTING_PEERS];
	char **entries;
	int result = 0;

	if (value == NULL || value[0] == '\0')
		return 0;
	entries = g_strsplit(value, ",", -1);
	for (char **entry = entries; result == 0 && *entry != NULL; entry++)
		result = read_peer(loader, *entry);
	g_strfreev(entries);
	return result;
}

/* Compares two valid addresses. The same address can be written in several
 * ways, so hosts are compared in binary form and ports as numbers. */
static bool
same_address(const char *a, const char *b)
{
	unsigned char left[16] = {0}, right[16] = {0};
	address_t first, second;
	char *hosts[2] = {first, second};
	char *ports[2];
	int family;

	strcpy(first, a);
	strcpy(second, b);
	for (int i = 0; i < 2; i++) {
		ports[i] = strrchr(hosts[i], ':');
		*ports[i]++ = '\0';
	}
	if (atoi(ports[0]) != atoi(ports[1]) ||
	    (first[0] == '[') != (second[0] == '['))
		return false;
	family = first[0] == '[' ? AF_INET6 : AF_INET;
	for (int i = 0; family == AF_INET6 && i < 2; i++) {
		hosts[i]++;
		hosts[i][strlen(hosts[i]) - 1] = '\0';
	}
	inet_pton(family, hosts[0], left);
	inet_pton(family, hosts[1], right);
	return memcmp(left, right, sizeof(left)) == 0;
}

static int
check_addresses(loader_t *loader)
{
	const settings_t *settings = loader->settings;
	const struct {
		setting_t setting;
		const char *address;
	} addresses[] = {
	    {SETTING_CALLER_ADDRESS, settings->caller_address},
	    {SETTING_OPERATOR_ADDRESS, settings->operator_address},
	    {SETTING_PEER_ADDRESS, settings->peer_address},
	    {SETTING_PLATFORM, settings->platform},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		for (size_t j = i + 1; j < G_N_ELEMENTS(addresses); j++)
			if (same_address(
				addresses[i].address, addresses[j].address))
				return set_error(loader,
				    "the settings '%s' and '%s' are the same "
				    "address; give each a port of its own",
				    setting_table[addresses[i].setting].flag,
				    setting_table[addresses[j].setting].flag);
	return 0;
}

static bool
is_used_address(const settings_t *settings, const char *address)
{
	return same_address(address, settings->peer_address) ||
	    same_address(address, settings->caller_address) ||
	    same_address(address, settings->operator_address) ||
	    same_address(address, settings->platform);
}

static int
check_peers(loader_t *loader)
{
	const settings_t *settings = loader->settings;
	const settings_peer_t *peers = settings->peers;

	for (size_t i = 0; i < settings->peer_count; i++) {
		if (strcmp(peers[i].node, settings->node) == 0)
			return set_error(loader,
			    "the setting 'peers' names this node, '%s'; list "
			    "only the other nodes",
			    peers[i].node);
		if (is_used_address(settings, peers[i].address))
			return set_error(loader,
			    "the setting 'peers' gives '%s' an address that "
			    "another setting uses; correct one of the two",
			    peers[i].node);
		for (size_t j = 0; j < i; j++)
			if (strcmp(peers[i].node, peers[j].node) == 0 ||
			    same_address(peers[i].address, peers[j].address))
				return set_error(loader,
				    "the setting 'peers' lists '%s' or its "
				    "address twice; remove one of the two",
				    peers[i].node);
	}
	return 0;
}

static bool
is_loopback(const char *address)
{
	return strncmp(address, "127.", 4) == 0 ||
	    strncmp(address, "[::1]", 5) == 0;
}

static int
check_loopback(loader_t *loader)
{
	const settings_t *settings = loader->settings;
	bool loopback = is_loopback(settings->peer_address);

	for (size_t i = 0; i < settings->peer_count; i++)
		loopback = loopback && is_loopback(settings->peers[i].address);
	if (loopback)
		return 0;
	return set_error(loader,
	    "the setting 'peer-key-file' is missing; give the secret that all "
	    "nodes share, since peers are not all on this VM");
}

static bool
is_peer_key(const char *text, size_t length)
{
	return length == SETTINGS_PEER_KEY_SIZE - 1 &&
	    strspn(text, Z85_DIGITS) == length;
}

static int
read_peer_key(loader_t *loader)
{
	const char *path = loader->values[SETTING_PEER_KEY_FILE];
	char text[SETTINGS_PEER_KEY_SIZE + 2] = "";
	size_t length;
	FILE *file;

	if (path == NULL)
		return check_loopback(loader);
	file = fopen(path, "re");
	if (file == NULL)
		return set_error(loader,
		    "the file of the setting 'peer-key-file' cannot be read "
		    "(%s); correct the path or its permissions",
		    strerror(errno));
	length = fread(text, 1, sizeof(text) - 1, file);
	fclose(file);
	if (length > 0 && text[length - 1] == '\n')
		text[--length] = '\0';
	if (!is_peer_key(text, length)) {
		explicit_bzero(text, sizeof(text));
		return set_error(loader,
		    "the file of the setting 'peer-key-file' does not hold a "
		    "key; write 40 characters of Z85 on one line");
	}
	memcpy(loader->settings->peer_key, text, length + 1);
	explicit_bzero(text, sizeof(text));
	return 0;
}

static int
read_values(loader_t *loader)
{
	settings_t *settings = loader->settings;
	const struct {
		setting_t setting;
		char *name;
	} names[] = {
	    {SETTING_NODE, settings->node},
	    {SETTING_VM, settings->vm},
	    {SETTING_CELL, settings->cell},
	    {SETTING_DATA_CENTRE, settings->data_centre},
	};
	const struct {
		setting_t setting;
		char *address;
	} addresses[] = {
	    {SETTING_CALLER_ADDRESS, settings->caller_address},
	    {SETTING_OPERATOR_ADDRESS, settings->operator_address},
	    {SETTING_PEER_ADDRESS, settings->peer_address},
	    {SETTING_PLATFORM, settings->platform},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (read_name(loader, names[i].setting, names[i].name) != 0)
			return BW_E_SETTINGS;
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		if (read_address(loader, addresses[i].setting,
			addresses[i].address) != 0)
			return BW_E_SETTINGS;
	if (read_peers(loader) != 0 || check_addresses(loader) != 0 ||
	    check_peers(loader) != 0)
		return BW_E_SETTINGS;
	return read_peer_key(loader);
}

static bool
is_switch_on(const loader_t *loader, setting_t setting)
{
	const char *value = loader->values[setting];

	return value != NULL && strcmp(value, "1") == 0;
}

int
settings_load(int argc, char **argv, settings_t *settings, char *message,
    size_t message_size)
{
	loader_t loader = {.settings = settings, .message = message};
	int result;

	loader.message_size = message_size;
	memset(settings, 0, sizeof(*settings));
	result = check_switches(&loader, argc, argv);
	if (result == 0)
		result = read_flags(&loader, argc, argv);
	if (result == 0)
		result = read_environment(&loader);
	settings->check_only = is_switch_on(&loader, SETTING_CHECK);
	settings->version_only = is_switch_on(&loader, SETTING_VERSION);
	if (result == 0 && !settings->version_only)
		result = read_values(&loader);
	for (int i = 0; i < SETTING_COUNT; i++)
		g_free(loader.values[i]);
	return result;
}
