#include "http_socket.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../net/net_address.h"
#include "bulrushwell/error.h"

#define LISTEN_BACKLOG 1024
#define KEEP_ALIVE_PROBES 2

static void
set_option(int fd, int level, int name, int value)
{
	setsockopt(fd, level, name, &value, sizeof(value));
}

int
http_socket_listen(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return BW_E_IO;
	set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		close(fd);
		return BW_E_IO;
	}
	return fd;
}

int
http_socket_accept(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	return fd;
}

bool
http_socket_accept_exhausted(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	    error == ENOMEM;
}

uint64_t
http_socket_descriptors(uint64_t stated)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
	    limit.rlim_cur == RLIM_INFINITY)
		return stated > 0 ? stated : UINT64_MAX;
	return stated > 0 && stated < limit.rlim_cur ? stated : limit.rlim_cur;
}

/* The kernel doubles the value, for its own bookkeeping. */
void
http_socket_limit_buffers(int fd, int bytes)
{
	set_option(fd, SOL_SOCKET, SO_SNDBUF, bytes);
	set_option(fd, SOL_SOCKET, SO_RCVBUF, bytes);
}

int
http_socket_connect(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return BW_E_IO;
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
		0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return BW_E_IO;
	}
	return fd;
}

void
http_socket_detect_silence(int fd, usec_t limit)
{
	int seconds = (int)(limit / USEC_PER_SEC / (KEEP_ALIVE_PROBES + 1));

	if (seconds < 1)
		seconds = 1;
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEP_ALIVE_PROBES);
	set_option(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)(limit / USEC_PER_MS));
}

usec_t
http_socket_round_trip(int fd)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
		return 0;
	return info.tcpi_rtt; /* in microseconds */
}

size_t
http_socket_unsent(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? (size_t)bytes
							     : 0;
}

bool
http_socket_unacknowledged(int fd)
{
	return http_socket_unsent(fd) > 0;
}

void
http_socket_reset_on_close(int fd)
{
	const struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

int
http_socket_parse(const char *text, struct sockaddr_in *address)
{
	struct sockaddr_storage parsed;

	if (net_parse_address(text, &parsed) != 0 ||
	    parsed.ss_family != AF_INET)
		return BW_E_INVALID;
	memcpy(address, &parsed, sizeof(*address));
	return 0;
}
