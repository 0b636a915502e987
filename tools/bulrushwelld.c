#include <stdio.h>

#include "bulrushwell/event.h"
#include "bulrushwell/node.h"
#include "bulrushwell/settings.h"

#define VERSION "0.1.0"

int
main(int argc, char **argv)
{
	settings_t settings;
	char message[512] = "";
	node_t *node;
	int status;

	if (settings_load(argc, argv, &settings, message, sizeof(message)) !=
	    0) {
		event_open("bulrushwelld", "-");
		event_log(EVENT_SETTINGS_REFUSED, "%s", message);
		event_close();
		return 2;
	}
	if (settings.version_only) {
		printf("bulrushwelld %s\n", VERSION);
		return 0;
	}
	if (settings.check_only) {
		printf("the settings are valid\n");
		return 0;
	}
	event_open("bulrushwelld", settings.node);
	node = node_create(&settings, message, sizeof(message));
	if (node == NULL) {
		event_log(EVENT_SETTINGS_REFUSED, "%s", message);
		event_close();
		return 2;
	}
	status = node_run(node);
	node_destroy(node);
	event_close();
	return status;
}
