#ifndef FAKES_LIB_FAKE_INTERNAL_H
#define FAKES_LIB_FAKE_INTERNAL_H

#include <microhttpd.h>

#include "fake_http.h"

/** struct fake_connection - One open connection. */
struct fake_connection {
	fake_server_t *server;
	int fd;
	int wake;     /* eventfd */
	bool silent;  /* guarded by the server's lock */
	bool counted; /* guarded: false once the peer has closed it */
	uint32_t requests;
};

struct fake_server {
	char address[64];
	fake_handler_t handler;
	void *context;
	size_t max_body;
	uint32_t max_connections;
	GMutex lock;
	GMutex life; /* serialises start and stop */
	struct MHD_Daemon *daemon;
	bool stopping;
	uint64_t starts; /* guarded by life */
	GPtrArray *connections;
	fake_connection_counts_t counts;
};

/** fake_connection_closed_by_peer() - Whether the peer sent its FIN. */
bool fake_connection_closed_by_peer(const fake_connection_t *connection);

/** fake_notify_connection(), fake_accept() - Callbacks of libmicrohttpd. */
void fake_notify_connection(void *context, struct MHD_Connection *mhd,
    void **socket_context, enum MHD_ConnectionNotificationCode code);
enum MHD_Result fake_accept(
    void *context, const struct sockaddr *address, socklen_t size);

#endif
