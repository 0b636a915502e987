#ifndef FAKES_LIB_FAKE_INTERNAL_H
#define FAKES_LIB_FAKE_INTERNAL_H

#include <microhttpd.h>

#include "fake_http.h"

/** struct fake_connection - One open connection. */
struct fake_connection {
	fake_server_t *server;
	int fd;
	int wake_fd;	   /* eventfd that fake_connection_wake() writes */
	bool silent;	   /* never answers; guarded by the server's lock */
	bool counted;	   /* in counts.open; guarded by the server's lock */
	uint32_t requests; /* received so far */
};

/** struct fake_server - A listening socket and its connections. */
struct fake_server {
	char address[64];
	fake_handler_t handler;
	void *context;
	size_t max_body;
	uint32_t max_connections;
	GMutex lock;	       /* guards connections, counts and stopping */
	GMutex lifecycle_lock; /* serialises start and stop */
	struct MHD_Daemon *daemon;
	bool stopping;
	uint64_t start_count; /* guarded by lifecycle_lock */
	GPtrArray *connections;
	fake_connection_counts_t counts;
};

/** fake_connection_closed_by_peer() - True when the peer has closed. */
bool fake_connection_closed_by_peer(const fake_connection_t *connection);

/**
 * fake_notify_connection() - Callback at the start and end of a connection.
 * fake_accept() - Callback that refuses connections over the limit.
 */
void fake_notify_connection(void *context, struct MHD_Connection *mhd,
    void **socket_context, enum MHD_ConnectionNotificationCode code);
enum MHD_Result fake_accept(
    void *context, const struct sockaddr *address, socklen_t size);

#endif
