#ifndef BULRUSHWELL_SETTINGS_H
#define BULRUSHWELL_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

#include "bulrushwell/name.h"

/**
 * DOC: Settings of the daemon
 *
 * A setting is given as a flag or as an environment variable, whose name is
 * BULRUSHWELL_ followed by the flag in upper case with '_' for '-'. A flag
 * overrides the variable. Settings only identify the node and its addresses;
 * limits and tuning values are not settings.
 *
 * --node NAME, --vm NAME, --cell NAME, --data-centre NAME,
 * --caller-address IP:PORT, --operator-address IP:PORT (default
 * 127.0.0.1:9100), --peer-address IP:PORT, --platform IP:PORT,
 * --peers NODE@IP:PORT,... (may be empty), --peer-key-file PATH (a file with
 * the secret shared by all nodes, 40 characters of Z85; without it peers are
 * not authenticated, which is allowed only when every peer address is a
 * loopback address), --check (check the settings and exit), --version (print
 * the version and exit).
 */
#define SETTINGS_MAX_PEERS 64

/** Bytes of a peer key with its final NUL. */
#define SETTINGS_PEER_KEY_SIZE 41

/** typedef settings_peer_t - Another node and its peer address. */
typedef struct {
	name_t node;
	address_t address;
} settings_peer_t;

/** typedef settings_t - The checked settings of the daemon. */
typedef struct {
	name_t node;
	name_t vm;
	name_t cell;
	name_t data_centre;
	address_t caller_address;
	address_t operator_address;
	address_t peer_address;
	address_t platform;
	size_t peer_count;
	settings_peer_t peers[SETTINGS_MAX_PEERS];
	char peer_key[SETTINGS_PEER_KEY_SIZE]; /* empty: none */
	bool check_only;
	bool version_only;
} settings_t;

/**
 * settings_load() - Reads and checks flags and environment.
 * @settings: filled on success; nothing in it needs to be freed
 * @message: on error, a message that names the setting and the remedy; never
 * contains a secret
 * @message_size: bytes of @message
 *
 * Refuses unknown flags, unknown BULRUSHWELL_ variables, missing, malformed,
 * and contradictory settings (two addresses that are the same, a peer that is
 * the node itself, a peer named twice).
 *
 * Return: 0 or BW_E_SETTINGS.
 */
int settings_load(int argc, char **argv, settings_t *settings, char *message,
    size_t message_size);

#endif
