#include "stage.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define READ_BYTES 65536
#define RUN_MAX 2048
#define WORDS_MAX 64
#define GATEWAYS_PER_ZONE 3
#define SMALL_WINDOW_BYTES 16384

typedef struct {
	pid_t pid; /* 0: not running */
	struct sockaddr_in clients;
	struct sockaddr_in health;
	char ip[INET_ADDRSTRLEN];
	unsigned peer_port;
} gateway_t;

#define SERVER_CONNECTIONS_MAX 256
#define LISTENERS_MAX 64

struct listener {
	int fd;
	char *id;
	server_handler_t handler;
	pthread_mutex_t lock;
	bool stopped;
	int connections[SERVER_CONNECTIONS_MAX]; /* 0: unused */
};

struct served {
	struct listener *listener;
	int fd;
};

extern const struct sockaddr_in *store_address(void);

static char run_command[RUN_MAX];
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started_at;
static struct listener *listeners[LISTENERS_MAX];
static unsigned listener_count;
static gateway_t gateways[STAGE_MAX_GATEWAYS];
static unsigned network; /* second and third byte of the loopback addresses */

/* Time and record */

double
stage_seconds(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - started_at.tv_sec) +
	    (double)(now.tv_nsec - started_at.tv_nsec) / 1e9;
}

void
stage_sleep(double seconds)
{
	struct timespec time = {
	    (time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9)};

	while (nanosleep(&time, &time) != 0 && errno == EINTR)
		;
}

void
stage_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", stage_seconds());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

bool
stage_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return value == NULL || strcmp(value, "0") != 0;
}

void
stage_thread(void *(*run)(void *), void *context)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, context) != 0)
		stage_close(STAGE_NOT_RUN);
	pthread_detach(thread);
}

/* The line `run = "..."` of the gateway's role. */
static bool
read_run_command(void)
{
	FILE *file = fopen("deploy/system.toml", "r");
	char line[RUN_MAX];
	bool found = false;

	while (file != NULL && !found && fgets(line, sizeof(line), file)) {
		char *end = strrchr(line, '"');

		if (strncmp(line, "run = \"", 7) != 0 || end == NULL)
			continue;
		*end = '\0';
		snprintf(run_command, sizeof(run_command), "%s", line + 7);
		found = true;
	}
	if (file != NULL)
		fclose(file);
	return found;
}

void
stage_open(const char *folder)
{
	char path[RUN_MAX + 16];

	clock_gettime(CLOCK_MONOTONIC, &started_at);
	signal(SIGPIPE, SIG_IGN);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (record_file == NULL || !read_run_command()) {
		fprintf(stderr, "no record or no command of the gateway\n");
		_exit(STAGE_NOT_RUN);
	}
	srandom((unsigned)(started_at.tv_nsec ^ getpid()));
	network = (unsigned)(1 + random() % 250) << 8 |
	    (unsigned)(1 + random() % 250);
	stage_record("trouble=%d", stage_trouble());
}

void
stage_close(int code)
{
	for (unsigned i = 0; i < STAGE_MAX_GATEWAYS; i++)
		gateway_kill(i);
	stage_record("exit %d", code);
	fflush(stdout);
	_exit(code);
}

/* Addresses and connections */

static void
stage_address(unsigned host, struct sockaddr_in *address)
{
	*address = (struct sockaddr_in){.sin_family = AF_INET};
	address->sin_addr.s_addr = htonl(127u << 24 | network << 8 | host);
}

static int
open_listener(unsigned host, int segment, struct sockaddr_in *address)
{
	socklen_t size = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1, window = SMALL_WINDOW_BYTES;

	stage_address(host, address);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (segment > 0) {
		setsockopt(
		    fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	}
	if (bind(fd, (struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd, SOMAXCONN) != 0 ||
	    getsockname(fd, (struct sockaddr *)address, &size) != 0) {
		stage_record("cannot listen: %s", strerror(errno));
		stage_close(STAGE_NOT_RUN);
	}
	return fd;
}

bool
stage_connect(const struct sockaddr_in *address, stage_connection_t *connection)
{
	int one = 1;

	*connection = (stage_connection_t){0};
	connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(connection->fd, (const struct sockaddr *)address,
		sizeof(*address)) != 0) {
		close(connection->fd);
		connection->fd = -1;
		return false;
	}
	setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return true;
}

void
stage_disconnect(stage_connection_t *connection)
{
	if (connection->fd >= 0)
		close(connection->fd);
	connection->fd = -1;
	free(connection->data);
	connection->data = NULL;
	connection->size = 0;
}

void
stage_reset(stage_connection_t *connection)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	stage_disconnect(connection);
}

static bool
read_more(stage_connection_t *connection)
{
	ssize_t n;

	connection->data =
	    realloc(connection->data, connection->size + READ_BYTES + 1);
	n = recv(
	    connection->fd, connection->data + connection->size, READ_BYTES, 0);
	if (n <= 0)
		return false;
	connection->size += (size_t)n;
	connection->data[connection->size] = '\0';
	return true;
}

static char *
take(stage_connection_t *connection, size_t size)
{
	char *taken = malloc(size + 1);

	memcpy(taken, connection->data, size);
	taken[size] = '\0';
	memmove(
	    connection->data, connection->data + size, connection->size - size);
	connection->size -= size;
	connection->data[connection->size] = '\0';
	return taken;
}

bool
stage_read_head(stage_connection_t *connection, stage_message_t *message)
{
	char value[32];
	char *end = NULL;

	*message = (stage_message_t){0};
	for (;;) {
		if (connection->size > 0)
			end = memmem(
			    connection->data, connection->size, "\r\n\r\n", 4);
		if (end != NULL)
			break;
		if (!read_more(connection))
			return false;
	}
	message->head = take(connection, (size_t)(end - connection->data) + 4);
	stage_header(message, "Content-Length", value, sizeof(value));
	message->length = strtoul(value, NULL, 10);
	return true;
}

bool
stage_read_body(stage_connection_t *connection, stage_message_t *message)
{
	while (connection->size < message->length)
		if (!read_more(connection))
			return false;
	if (message->length > 0)
		message->body = take(connection, message->length);
	message->body_size = message->length;
	return true;
}

void
stage_drain(stage_connection_t *connection)
{
	char data[READ_BYTES];

	while (recv(connection->fd, data, sizeof(data), 0) > 0)
		;
}

void
stage_message_free(stage_message_t *message)
{
	free(message->head);
	free(message->body);
	*message = (stage_message_t){0};
}

void
stage_header(
    const stage_message_t *message, const char *name, char *value, size_t size)
{
	size_t name_size = strlen(name);
	const char *line = strstr(message->head, "\r\n");

	value[0] = '\0';
	while (line != NULL) {
		const char *end = strstr(line += 2, "\r\n");
		size_t length;

		if (end == NULL || end == line)
			return;
		if (strncasecmp(line, name, name_size) == 0 &&
		    line[name_size] == ':') {
			line += name_size + 1;
			while (*line == ' ')
				line++;
			length = (size_t)(end - line);
			if (length >= size)
				length = size - 1;
			memcpy(value, line, length);
			value[length] = '\0';
			return;
		}
		line = end;
	}
}

int
stage_status(const stage_message_t *message)
{
	const char *space = strchr(message->head, ' ');

	return space != NULL ? atoi(space + 1) : 0;
}

bool
stage_send(stage_connection_t *connection, const void *data, size_t size)
{
	const char *at = data;

	while (size > 0) {
		ssize_t n = send(connection->fd, at, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		at += n;
		size -= (size_t)n;
	}
	return true;
}

bool
stage_send_text(stage_connection_t *connection, const char *format, ...)
{
	char *text;
	va_list args;
	bool sent;
	int size;

	va_start(args, format);
	size = vasprintf(&text, format, args);
	va_end(args);
	sent = size >= 0 && stage_send(connection, text, (size_t)size);
	free(text);
	return sent;
}

/* Servers */

/* Replaces a descriptor in the list of open ones. */
static void
list_connection(struct listener *listener, int from, int to)
{
	pthread_mutex_lock(&listener->lock);
	for (unsigned i = 0; i < SERVER_CONNECTIONS_MAX; i++) {
		if (listener->connections[i] != from)
			continue;
		listener->connections[i] = to;
		break;
	}
	pthread_mutex_unlock(&listener->lock);
}

static void *
serve_connection(void *context)
{
	struct served *served = context;
	stage_connection_t connection = {.fd = served->fd};
	stage_message_t request;
	bool open = true;

	list_connection(served->listener, 0, served->fd);

	while (open && stage_read_head(&connection, &request)) {
		open = served->listener->handler(
		    served->listener->id, &connection, &request);
		stage_message_free(&request);
	}
	list_connection(served->listener, served->fd, 0);
	stage_disconnect(&connection);
	free(served);
	return NULL;
}

static void *
accept_connections(void *context)
{
	struct listener *listener = context;
	int one = 1;

	while (!listener->stopped) {
		int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		struct served *served;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		served = malloc(sizeof(*served));
		*served = (struct served){listener, fd};
		stage_thread(serve_connection, served);
	}
	return NULL;
}

void
server_start(const char *id, server_handler_t handler, int segment,
    struct sockaddr_in *address)
{
	struct listener *listener = calloc(1, sizeof(*listener));

	if (listener_count == LISTENERS_MAX)
		stage_close(STAGE_NOT_RUN);
	listener->fd = open_listener(200, segment, address);
	listener->id = strdup(id);
	listener->handler = handler;
	pthread_mutex_init(&listener->lock, NULL);
	listeners[listener_count++] = listener;
	stage_thread(accept_connections, listener);
}

static void
stop_listener(struct listener *listener)
{
	listener->stopped = true;
	shutdown(listener->fd, SHUT_RDWR);
	pthread_mutex_lock(&listener->lock);
	for (unsigned i = 0; i < SERVER_CONNECTIONS_MAX; i++)
		if (listener->connections[i] != 0)
			shutdown(listener->connections[i], SHUT_RDWR);
	pthread_mutex_unlock(&listener->lock);
	stage_record("%s has ended", listener->id);
}

void
server_stop(const char *id)
{
	for (unsigned i = 0; i < listener_count; i++)
		if (strcmp(listeners[i]->id, id) == 0)
			stop_listener(listeners[i]);
}

/* Gateways */

static unsigned
free_port(unsigned host)
{
	struct sockaddr_in address;

	close(open_listener(host, 0, &address));
	return ntohs(address.sin_port);
}

/* Values of the settings, like those of a small site. */
static void
placeholder(const gateway_t *gateway, unsigned index, const char *name,
    char *value, size_t size)
{
	const struct sockaddr_in *store = store_address();
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &store->sin_addr, ip, sizeof(ip));
	if (strcmp(name, "node_name") == 0)
		snprintf(value, size, "frontend-%u", index + 1);
	else if (strcmp(name, "zone") == 0)
		snprintf(value, size, "zone-%c",
		    (int)('a' + index / GATEWAYS_PER_ZONE));
	else if (strcmp(name, "ip") == 0)
		snprintf(value, size, "%s", gateway->ip);
	else if (strcmp(name, "listen.front") == 0)
		snprintf(value, size, "%s:%u", gateway->ip,
		    ntohs(gateway->clients.sin_port));
	else if (strcmp(name, "listen.readiness") == 0)
		snprintf(value, size, "%s:%u", gateway->ip,
		    ntohs(gateway->health.sin_port));
	else if (strcmp(name, "internal_ports.0") == 0)
		snprintf(value, size, "%u", gateway->peer_port);
	else if (strcmp(name, "platform.address") == 0)
		snprintf(value, size, "%s:%u", ip, ntohs(store->sin_port));
	else if (strcmp(name, "platform.history_s") == 0)
		snprintf(value, size, "20");
	else if (strcmp(name, "bounds.retry_budget_ratio") == 0)
		snprintf(value, size, "0.2");
	else if (strcmp(name, "bounds.retry_window_s") == 0)
		snprintf(value, size, "10");
	else if (strcmp(name, "bounds.retry_slack") == 0)
		snprintf(value, size, "54");
	else if (strcmp(name, "bounds.drain_ms") == 0)
		snprintf(value, size, "3000");
	else if (strcmp(name, "bounds.grace_s") == 0)
		snprintf(value, size, "6");
	else if (strcmp(name, "limits.link_mbps") == 0)
		snprintf(value, size, "1000.0");
	else
		snprintf(value, size, "0");
}

static void
fill_in(const gateway_t *gateway, unsigned index, char *text, size_t size)
{
	const char *from = run_command;
	size_t used = 0;

	while (*from != '\0' && used + 1 < size) {
		const char *end = strstr(from, "}}");
		char name[128];

		if (strncmp(from, "{{", 2) != 0 || end == NULL) {
			text[used++] = *from++;
			continue;
		}
		snprintf(name, sizeof(name), "%.*s", (int)(end - from - 2),
		    from + 2);
		placeholder(gateway, index, name, text + used, size - used);
		used += strlen(text + used);
		from = end + 2;
	}
	text[used] = '\0';
}

static void
run_gateway(const gateway_t *gateway, unsigned index)
{
	const char *folder = getenv("GATEWAY_LOGS");
	char command[RUN_MAX], log[RUN_MAX] = "/dev/null";
	char *words[WORDS_MAX] = {0};
	int count = 0, fd;

	fill_in(gateway, index, command, sizeof(command));
	for (char *word = strtok(command, " ");
	     word != NULL && count < WORDS_MAX - 1; word = strtok(NULL, " "))
		words[count++] = word;
	if (folder != NULL)
		snprintf(
		    log, sizeof(log), "%s/gateway-%u.log", folder, index + 1);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	execv(words[0], words);
	_exit(127);
}

static void
choose_addresses(gateway_t *gateway, unsigned index)
{
	unsigned host = 1 + index;

	stage_address(host, &gateway->clients);
	inet_ntop(AF_INET, &gateway->clients.sin_addr, gateway->ip,
	    sizeof(gateway->ip));
	gateway->health = gateway->clients;
	gateway->clients.sin_port = htons((uint16_t)free_port(host));
	gateway->health.sin_port = htons((uint16_t)free_port(host));
	gateway->peer_port = free_port(host);
}

void
gateway_start(unsigned index)
{
	gateway_t *gateway = &gateways[index];

	if (gateway->clients.sin_port == 0)
		choose_addresses(gateway, index);
	gateway->pid = fork();
	if (gateway->pid == 0)
		run_gateway(gateway, index);
	if (gateway->pid < 0)
		stage_close(STAGE_NOT_RUN);
	stage_record("gateway %u started", index + 1);
}

void
gateway_kill(unsigned index)
{
	gateway_t *gateway = &gateways[index];

	if (gateway->pid <= 0)
		return;
	kill(gateway->pid, SIGKILL);
	waitpid(gateway->pid, NULL, 0);
	gateway->pid = 0;
	stage_record("gateway %u killed", index + 1);
}

static bool
is_ready(const gateway_t *gateway)
{
	stage_connection_t connection;
	stage_message_t response;
	bool ready = false;

	if (!stage_connect(&gateway->health, &connection))
		return false;
	if (stage_send_text(
		&connection, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
	    stage_read_head(&connection, &response)) {
		ready = stage_status(&response) == 200;
		stage_message_free(&response);
	}
	stage_disconnect(&connection);
	return ready;
}

bool
gateway_wait_ready(unsigned index, double seconds)
{
	double until = stage_seconds() + seconds;

	while (stage_seconds() < until) {
		if (is_ready(&gateways[index])) {
			stage_record("gateway %u is ready", index + 1);
			return true;
		}
		stage_sleep(0.05);
	}
	stage_record("gateway %u is not ready", index + 1);
	return false;
}

const struct sockaddr_in *
gateway_clients(unsigned index)
{
	return &gateways[index].clients;
}
