#include <stdio.h>

#include "../platform/header_names.h"
#include "../platform/platform.h"
#include "bulrushwell/event.h"

#define PROGRAM "bulrushwell-gateway"
#define VERSION "0.2.0"
#define EXIT_INVALID_SETTINGS 2

static int
serve(const gateway_settings_t *settings)
{
	char message[512] = "";
	gateway_t *gateway = gateway_create(
	    settings, &platform_header_names, message, sizeof(message));
	platform_t *platform;

	if (gateway == NULL) {
		event_log(EVENT_SETTINGS_REFUSED, "%s", message);
		event_flush();
		return EXIT_INVALID_SETTINGS;
	}
	platform = platform_create(gateway, settings);
	gateway_run(gateway);
	platform_destroy(platform);
	gateway_destroy(gateway);
	return 0;
}

int
main(int argc, char **argv)
{
	gateway_settings_t settings;
	char message[512] = "";
	int status;

	if (gateway_settings_load(
		argc, argv, &settings, message, sizeof(message)) != 0) {
		fprintf(stderr, "%s: %s\n", PROGRAM, message);
		return EXIT_INVALID_SETTINGS;
	}
	if (settings.version_only) {
		printf("%s %s\n", PROGRAM, VERSION);
		return 0;
	}
	if (settings.check_only) {
		printf("the settings are valid\n");
		return 0;
	}
	event_open_stdout(PROGRAM, settings.node);
	status = serve(&settings);
	event_close();
	return status;
}
