#include "raw_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_MAX_BYTES 4096

struct raw_server {
	int listener;
	struct sockaddr_in socket_address;
	address_t address;
	slice_t response;
	GThread *thread;
};

static void
read_request_head(int fd)
{
	char request[REQUEST_MAX_BYTES + 1] = "";
	size_t size = 0;
	ssize_t n = 1;

	while (n > 0 && size < REQUEST_MAX_BYTES &&
	    strstr(request, "\r\n\r\n") == NULL) {
		n = recv(fd, request + size, REQUEST_MAX_BYTES - size, 0);
		size += n > 0 ? (size_t)n : 0;
		request[size] = '\0';
	}
}

/* Unread bytes would turn the server's close into a reset. */
static void
wait_until_closed(int fd)
{
	char bytes[256];

	shutdown(fd, SHUT_WR);
	while (recv(fd, bytes, sizeof(bytes), 0) > 0)
		;
	close(fd);
}

static gpointer
serve(gpointer context)
{
	const raw_server_t *server = context;
	int fd = accept(server->listener, NULL, NULL);

	if (fd < 0)
		return NULL; /* destroyed before a client came */
	read_request_head(fd);
	send(fd, server->response.data, server->response.size, MSG_NOSIGNAL);
	wait_until_closed(fd);
	return NULL;
}

raw_server_t *
raw_server_create(slice_t response)
{
	raw_server_t *server = g_new0(raw_server_t, 1);
	struct sockaddr_in *address = &server->socket_address;
	socklen_t size = sizeof(*address);

	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->response = response;
	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(server->listener, (struct sockaddr *)address, size) != 0 ||
	    listen(server->listener, 1) != 0)
		g_error("raw server: cannot listen on 127.0.0.1");
	getsockname(server->listener, (struct sockaddr *)address, &size);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
	    ntohs(address->sin_port));
	server->thread = g_thread_new("raw", serve, server);
	return server;
}

void
raw_server_destroy(raw_server_t *server)
{
	shutdown(server->listener, SHUT_RDWR);
	g_thread_join(server->thread);
	close(server->listener);
	g_free(server);
}

const char *
raw_server_address(const raw_server_t *server)
{
	return server->address;
}

struct sockaddr_in
raw_server_socket_address(const raw_server_t *server)
{
	return server->socket_address;
}
