#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX(a, b) ((a) > (b) ? (a) : (b))
#define DEPLOY_FILE "deploy/system.toml"
#define HEARTBEAT_MS 1200
#define HEAD_MAX 32768
#define GATEWAYS_MAX 16
#define STACK_BYTES (256 * 1024)

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t gateway_pids[GATEWAYS_MAX];

static int64_t
steady_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
now_ms(void)
{
	static int64_t start;

	if (start == 0)
		start = steady_ms() - 1;
	return steady_ms() - start;
}

void
sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	if (ms > 0)
		nanosleep(&ts, NULL);
}

void
sleep_until_ms(int64_t at)
{
	sleep_ms(at - now_ms());
}

void
record_open(const char *folder)
{
	char path[4096];

	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (record_file == NULL)
		cannot_run("no record");
	now_ms();
	signal(SIGPIPE, SIG_IGN);
}

void
record(const char *format, ...)
{
	char text[2048];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	pthread_mutex_lock(&record_lock);
	if (record_file != NULL) {
		fprintf(
		    record_file, "%9.3f %s\n", (double)now_ms() / 1000, text);
		fflush(record_file);
	}
	pthread_mutex_unlock(&record_lock);
}

void
cannot_run(const char *format, ...)
{
	char text[1024];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	record("the case can't run: %s", text);
	printf("the case can't run: %s\n", text);
	gateways_kill_all();
	_exit(2);
}

static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static int
listen_on(int port, int *chosen)
{
	struct sockaddr_in address = loopback(port);
	socklen_t size = sizeof(address);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 512) != 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&address, &size);
	*chosen = ntohs(address.sin_port);
	return fd;
}

/* Below the ports that the kernel gives to outgoing connections. */
#define FIRST_PORT 15000
#define PORTS 15000

int
free_port(void)
{
	static bool is_given[PORTS];
	static unsigned seed;

	if (seed == 0)
		seed = (unsigned)getpid() * 2654435761u ^ (unsigned)time(NULL);
	for (int i = 0; i < 200; i++) {
		struct sockaddr_in address;
		int port = FIRST_PORT + rand_r(&seed) % PORTS;
		int tcp, udp;

		if (is_given[port - FIRST_PORT])
			continue;
		tcp = listen_on(port, &port);
		if (tcp < 0)
			continue;
		address = loopback(port);
		udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		if (bind(udp, (struct sockaddr *)&address, sizeof(address)) !=
		    0)
			port = -1;
		close(udp);
		close(tcp);
		if (port < 0)
			continue;
		is_given[port - FIRST_PORT] = true;
		return port;
	}
	cannot_run("no free port");
	return -1;
}

static void
start_thread(void *(*run)(void *), void *context)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, STACK_BYTES);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, context) != 0)
		cannot_run("no thread");
	pthread_attr_destroy(&attributes);
}

static int
connect_to(int port)
{
	struct sockaddr_in address = loopback(port);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static void
reset_socket(int fd)
{
	struct linger now = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	shutdown(fd, SHUT_RDWR);
}

static bool
send_all(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size > 0) {
		ssize_t n = send(fd, at, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		at += n;
		size -= (size_t)n;
	}
	return true;
}

/* HTTP of the stand-ins: one request at a time on a connection. */

typedef struct {
	char method[16];
	char target[2048];
	char *head;
	char *body;
	size_t body_size;
} request_t;

typedef struct {
	int fd;
	char buffer[HEAD_MAX];
	size_t size;
} stream_t;

static const char *
find_header(const char *head, const char *name, char *value, size_t size)
{
	size_t length = strlen(name);
	const char *line = strstr(head, "\r\n");

	while (line != NULL && line[2] != '\r') {
		line += 2;
		if (strncasecmp(line, name, length) == 0 &&
		    line[length] == ':') {
			const char *at = line + length + 1;
			const char *end = strstr(at, "\r\n");

			while (*at == ' ')
				at++;
			snprintf(value, size, "%.*s", (int)(end - at), at);
			return value;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

static bool
read_request(stream_t *stream, request_t *request)
{
	char value[64];
	char *end;
	size_t head_size, length = 0, left;

	memset(request, 0, sizeof(*request));
	for (;;) {
		ssize_t n;

		stream->buffer[stream->size] = '\0';
		end = strstr(stream->buffer, "\r\n\r\n");
		if (end != NULL)
			break;
		if (stream->size + 1 >= HEAD_MAX)
			return false;
		n = recv(stream->fd, stream->buffer + stream->size,
		    HEAD_MAX - 1 - stream->size, 0);
		if (n <= 0)
			return false;
		stream->size += (size_t)n;
	}
	head_size = (size_t)(end - stream->buffer) + 4;
	request->head = strndup(stream->buffer, head_size);
	if (sscanf(request->head, "%15s %2047s", request->method,
		request->target) != 2)
		return false;
	if (find_header(
		request->head, "Content-Length", value, sizeof(value)) != NULL)
		length = (size_t)atoll(value);
	request->body = calloc(1, length + 1);
	request->body_size = length;
	left = stream->size - head_size;
	if (left > length)
		left = length;
	memcpy(request->body, stream->buffer + head_size, left);
	stream->size -= head_size + left;
	memmove(
	    stream->buffer, stream->buffer + head_size + left, stream->size);
	while (left < length) {
		ssize_t n =
		    recv(stream->fd, request->body + left, length - left, 0);

		if (n <= 0)
			return false;
		left += (size_t)n;
	}
	return true;
}

static void
free_request(request_t *request)
{
	free(request->head);
	free(request->body);
}

/* Whether the other end has left. */
static bool
has_left(int fd)
{
	struct pollfd poller = {.fd = fd, .events = POLLIN};
	char byte;

	return poll(&poller, 1, 0) > 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/* The store. */

typedef struct {
	char kind[NAME_MAX_BYTES];
	char name[NAME_MAX_BYTES];
	json_t *spec;
	int64_t revision;
	int64_t created;
} object_t;

typedef struct {
	int64_t revision;
	int64_t at; /* now_ms() */
	char kind[NAME_MAX_BYTES];
	bool tombstone;
	json_t *object;
} event_t;

typedef struct {
	object_t *objects;
	int count;
	int64_t revision;
} contents_t;

#define OBJECTS_MAX 1024
#define EVENTS_MAX 65536

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	contents_t now;
	contents_t copy;
	event_t *events;
	int event_count;
	int64_t oldest; /* changes up to it are no longer kept */
	int era;
	bool away;
	bool silent;
	int64_t stale_ms; /* of reads that may be old */
	int generation;	  /* of the connections */
	int port;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER, .era = 1};

static object_t *
find_object(const char *kind, const char *name)
{
	for (int i = 0; i < store.now.count; i++) {
		object_t *object = &store.now.objects[i];

		if (strcmp(object->kind, kind) == 0 &&
		    strcmp(object->name, name) == 0)
			return object;
	}
	return NULL;
}

static json_t *
format_object(const object_t *object)
{
	return json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:{}}", "meta", "name",
	    object->name, "revision", (json_int_t)object->revision,
	    "created_rev", (json_int_t)object->created, "finalizers",
	    "deleting", 0, "spec", object->spec, "status");
}

static void
add_event(const object_t *object, bool tombstone)
{
	event_t *event = &store.events[store.event_count++];

	if (store.event_count >= EVENTS_MAX)
		cannot_run("too many changes");
	event->revision = object->revision;
	event->at = now_ms();
	event->tombstone = tombstone;
	strcpy(event->kind, object->kind);
	event->object = format_object(object);
	pthread_cond_broadcast(&store.changed);
}

/* With the lock held. */
static object_t *
put(const char *kind, const char *name, json_t *spec)
{
	object_t *object = find_object(kind, name);

	if (object != NULL && json_equal(object->spec, spec)) {
		json_decref(spec);
		return object;
	}
	store.now.revision++;
	if (object == NULL) {
		if (store.now.count == OBJECTS_MAX)
			cannot_run("too many objects");
		object = &store.now.objects[store.now.count++];
		memset(object, 0, sizeof(*object));
		snprintf(object->kind, sizeof(object->kind), "%s", kind);
		snprintf(object->name, sizeof(object->name), "%s", name);
		object->created = store.now.revision;
	}
	json_decref(object->spec);
	object->spec = spec;
	object->revision = store.now.revision;
	add_event(object, false);
	return object;
}

int64_t
store_put(const char *kind, const char *name, json_t *spec)
{
	int64_t revision;

	pthread_mutex_lock(&store.lock);
	/* A writer repeats its call until the store answers. */
	while (store.away || store.silent) {
		pthread_mutex_unlock(&store.lock);
		sleep_ms(10);
		pthread_mutex_lock(&store.lock);
	}
	revision = put(kind, name, spec)->revision;
	pthread_mutex_unlock(&store.lock);
	return revision;
}

/* With the lock held. */
static bool
delete_object(const char *kind, const char *name)
{
	object_t *object = find_object(kind, name);

	if (object == NULL)
		return false;
	object->revision = ++store.now.revision;
	add_event(object, true);
	json_decref(object->spec);
	*object = store.now.objects[--store.now.count];
	return true;
}

void
store_delete(const char *kind, const char *name)
{
	pthread_mutex_lock(&store.lock);
	delete_object(kind, name);
	pthread_mutex_unlock(&store.lock);
}

int64_t
store_revision(void)
{
	int64_t revision;

	pthread_mutex_lock(&store.lock);
	revision = store.now.revision;
	pthread_mutex_unlock(&store.lock);
	return revision;
}

static void
copy_contents(contents_t *to, const contents_t *from)
{
	for (int i = 0; i < to->count; i++)
		json_decref(to->objects[i].spec);
	if (to->objects == NULL)
		to->objects = calloc(OBJECTS_MAX, sizeof(object_t));
	memcpy(
	    to->objects, from->objects, (size_t)from->count * sizeof(object_t));
	to->count = from->count;
	to->revision = from->revision;
	for (int i = 0; i < to->count; i++)
		json_incref(to->objects[i].spec);
}

void
store_copy(void)
{
	pthread_mutex_lock(&store.lock);
	copy_contents(&store.copy, &store.now);
	pthread_mutex_unlock(&store.lock);
}

int64_t
store_restore(int64_t away_ms)
{
	int64_t lost;

	pthread_mutex_lock(&store.lock);
	store.away = true;
	store.generation++;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	sleep_ms(away_ms);
	pthread_mutex_lock(&store.lock);
	lost = store.now.revision - store.copy.revision;
	copy_contents(&store.now, &store.copy);
	while (store.event_count > 0 &&
	    store.events[store.event_count - 1].revision > store.now.revision)
		json_decref(store.events[--store.event_count].object);
	store.era++;
	store.away = false;
	pthread_mutex_unlock(&store.lock);
	return lost;
}

void
store_silence(int64_t ms)
{
	pthread_mutex_lock(&store.lock);
	store.silent = true;
	pthread_mutex_unlock(&store.lock);
	sleep_ms(ms);
	pthread_mutex_lock(&store.lock);
	store.silent = false;
	pthread_mutex_unlock(&store.lock);
}

void
store_set_stale(int64_t ms)
{
	store.stale_ms = ms;
}

static bool
send_json(int fd, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	char head[256];
	bool sent;

	snprintf(head, sizeof(head),
	    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
	    "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
	    status, store.era, strlen(text));
	sent = send_all(fd, head, strlen(head)) &&
	    send_all(fd, text, strlen(text));
	free(text);
	json_decref(body);
	return sent;
}

static const char *
argument(const char *target, const char *name, char *value, size_t size)
{
	const char *at = strchr(target, '?');
	size_t length = strlen(name);

	while (at != NULL) {
		at++;
		if (strncmp(at, name, length) == 0 && at[length] == '=') {
			snprintf(value, size, "%.*s",
			    (int)strcspn(at + length + 1, "&"),
			    at + length + 1);
			return value;
		}
		at = strchr(at, '&');
	}
	return NULL;
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(
	    (*(object_t *const *)a)->name, (*(object_t *const *)b)->name);
}

/* With the lock held; the lists of a case fit into one page. */
static json_t *
list_objects(const char *kind)
{
	object_t *found[OBJECTS_MAX];
	int count = 0;
	json_t *items = json_array();

	for (int i = 0; i < store.now.count; i++)
		if (strcmp(store.now.objects[i].kind, kind) == 0)
			found[count++] = &store.now.objects[i];
	qsort(found, (size_t)count, sizeof(found[0]), compare_names);
	for (int i = 0; i < count; i++)
		json_array_append_new(items, format_object(found[i]));
	return json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
	    "at_rev", (json_int_t)store.now.revision);
}

/* What a read that may be old sees: the revision of @stale_ms ago. */
static int64_t
old_revision(int64_t stale_ms)
{
	int64_t revision = store.now.revision;

	for (int i = store.event_count - 1; i >= 0; i--) {
		if (store.events[i].at <= now_ms() - stale_ms)
			break;
		revision = store.events[i].revision - 1;
	}
	return revision;
}

static json_t *
changes_between(const char *kind, int64_t revision, int64_t last)
{
	json_t *events = json_array();

	for (int i = 0; i < store.event_count; i++) {
		const event_t *event = &store.events[i];

		if (event->revision > revision && event->revision <= last &&
		    strcmp(event->kind, kind) == 0)
			json_array_append_new(events,
			    json_pack("{s:O,s:b}", "object", event->object,
				"tombstone", event->tombstone));
	}
	return events;
}

/* With the lock held. Return: false if the connection is to be closed. */
static bool
answer_watch(int fd, const char *kind, int64_t revision, int64_t wait_ms,
    bool may_be_old, int generation, json_t **body, int *status)
{
	int64_t until = now_ms() + wait_ms;

	for (;;) {
		json_t *events;
		int64_t last = store.now.revision;

		if (store.away || store.generation != generation)
			return false;
		if (may_be_old && store.stale_ms > 0)
			last = MAX(old_revision(store.stale_ms), revision);
		if (revision > store.now.revision || revision < store.oldest) {
			*status = 410;
			*body = json_pack("{s:s}", "error", "history is gone");
			return true;
		}
		events = changes_between(kind, revision, last);
		if (json_array_size(events) > 0 || now_ms() >= until) {
			*status = 200;
			*body = json_pack("{s:o,s:I}", "events", events,
			    "at_rev", (json_int_t)last);
			return true;
		}
		json_decref(events);
		pthread_mutex_unlock(&store.lock);
		sleep_ms(2);
		pthread_mutex_lock(&store.lock);
		if (has_left(fd))
			return false;
	}
}

/* A connection on which a response is lost returns nothing further. */
static bool
say_nothing(int fd)
{
	while (!has_left(fd))
		sleep_ms(20);
	return false;
}

static bool
answer_store_call(int fd, const request_t *request, int generation)
{
	char kind[NAME_MAX_BYTES] = "", name[NAME_MAX_BYTES] = "", text[64];
	json_t *body = NULL;
	int status = 404;
	bool is_get = strcmp(request->method, "GET") == 0;
	bool is_old =
	    argument(request->target, "stale_ok", text, sizeof(text)) != NULL;

	sscanf(request->target, "/objects/%63[^/?]/%63[^/?]", kind, name);
	sleep_ms(4); /* the store's usual time for an answer */
	pthread_mutex_lock(&store.lock);
	if (store.silent) {
		pthread_mutex_unlock(&store.lock);
		return say_nothing(fd);
	}
	if (store.away || store.generation != generation) {
		pthread_mutex_unlock(&store.lock);
		return false;
	}
	if (is_get && argument(request->target, "watch", text, sizeof(text))) {
		int64_t revision = atoll(text);
		int64_t wait = 0;

		if (argument(request->target, "wait_ms", text, sizeof(text)) !=
		    NULL)
			wait = atoll(text);
		if (!answer_watch(fd, kind, revision, wait, is_old, generation,
			&body, &status)) {
			pthread_mutex_unlock(&store.lock);
			return false;
		}
	} else if (is_get && name[0] == '\0') {
		status = 200;
		body = list_objects(kind);
	} else if (is_get) {
		const object_t *object = find_object(kind, name);

		status = object != NULL ? 200 : 404;
		body = object != NULL ? format_object(object) : json_object();
	} else {
		json_t *sent = json_loads(request->body, 0, NULL);
		const char *new_name = json_string_value(
		    json_object_get(json_object_get(sent, "meta"), "name"));
		bool creates = strcmp(request->method, "POST") == 0;
		const char *target = creates ? new_name : name;
		const object_t *object =
		    target != NULL ? find_object(kind, target) : NULL;

		if (target == NULL)
			status = 400;
		else if (creates && object != NULL)
			status = 409;
		else if (!creates && object == NULL)
			status = 404;
		else {
			status = 200;
			object = put(kind, target,
			    json_incref(json_object_get(sent, "spec")));
		}
		body = object != NULL ? format_object(object) : json_object();
		json_decref(sent);
	}
	if (store.silent) {
		pthread_mutex_unlock(&store.lock);
		json_decref(body);
		return say_nothing(fd);
	}
	pthread_mutex_unlock(&store.lock);
	return send_json(fd, status, body);
}

static void *
run_store_connection(void *context)
{
	stream_t *stream = context;
	request_t request;
	int generation;
	bool going = true;

	pthread_mutex_lock(&store.lock);
	generation = store.generation;
	if (store.away)
		going = false;
	pthread_mutex_unlock(&store.lock);
	while (going && read_request(stream, &request)) {
		going = answer_store_call(stream->fd, &request, generation);
		free_request(&request);
	}
	reset_socket(stream->fd);
	close(stream->fd);
	free(stream);
	return NULL;
}

typedef struct {
	int listener;
	void *(*run)(void *);
} acceptor_t;

static void *
run_acceptor(void *context)
{
	acceptor_t *acceptor = context;

	for (;;) {
		int one = 1;
		int fd = accept4(acceptor->listener, NULL, NULL, SOCK_CLOEXEC);
		stream_t *stream;

		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		stream = calloc(1, sizeof(*stream));
		stream->fd = fd;
		start_thread(acceptor->run, stream);
	}
}

void
store_start(void)
{
	acceptor_t *acceptor = calloc(1, sizeof(*acceptor));

	store.now.objects = calloc(OBJECTS_MAX, sizeof(object_t));
	store.now.revision = 1000;
	store.oldest = 1000;
	store.events = calloc(EVENTS_MAX, sizeof(event_t));
	pthread_cond_init(&store.changed, NULL);
	acceptor->listener = listen_on(0, &store.port);
	acceptor->run = run_store_connection;
	if (acceptor->listener < 0)
		cannot_run("no port for the store");
	start_thread(run_acceptor, acceptor);
}

int
store_port(void)
{
	return store.port;
}

/* Proxies. */

typedef struct {
	proxy_t *proxy;
	int client;
	int server;
} pair_t;

static void *
run_pair(void *context)
{
	pair_t *pair = context;
	int generation = pair->proxy->generation;
	char data[16384];

	pair->server = connect_to(store.port);
	while (pair->server >= 0 && !pair->proxy->cut &&
	    pair->proxy->generation == generation) {
		struct pollfd pollers[] = {
		    {pair->client, POLLIN, 0}, {pair->server, POLLIN, 0}};
		bool open = true;

		if (poll(pollers, 2, 5) <= 0)
			continue;
		for (int i = 0; i < 2 && open; i++) {
			ssize_t n;

			if (pollers[i].revents == 0)
				continue;
			n = recv(pollers[i].fd, data, sizeof(data), 0);
			open = n > 0 &&
			    send_all(pollers[1 - i].fd, data, (size_t)n);
		}
		if (!open)
			break;
	}
	reset_socket(pair->client);
	close(pair->client);
	if (pair->server >= 0)
		close(pair->server);
	free(pair);
	return NULL;
}

static void *
run_proxy(void *context)
{
	proxy_t *proxy = context;

	for (;;) {
		int fd = accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC);
		pair_t *pair;

		if (fd < 0)
			return NULL;
		if (proxy->cut) {
			reset_socket(fd);
			close(fd);
			continue;
		}
		pair = calloc(1, sizeof(*pair));
		*pair = (pair_t){proxy, fd, -1};
		start_thread(run_pair, pair);
	}
}

void
proxy_start(proxy_t *proxy)
{
	proxy->listener = listen_on(0, &proxy->port);
	if (proxy->listener < 0)
		cannot_run("no port for a proxy");
	start_thread(run_proxy, proxy);
}

void
proxy_cut(proxy_t *proxy, bool cut)
{
	proxy->cut = cut;
	proxy->generation++;
}

/* Servers. */

#define ARRIVALS_MAX 100000

typedef struct {
	stream_t stream;
	server_t *server;
} server_stream_t;

static pthread_mutex_t arrivals_lock = PTHREAD_MUTEX_INITIALIZER;

void
server_record(
    const server_t *server, int index, unsigned char bytes[RECORD_BYTES])
{
	uint32_t seed = 2166136261u;

	for (const char *at = server->service; *at != '\0'; at++)
		seed = (seed ^ (unsigned char)*at) * 16777619u;
	seed = (seed ^ (uint32_t)index) * 2654435761u;
	for (int i = 0; i < RECORD_BYTES; i++) {
		seed = seed * 1664525u + 1013904223u;
		bytes[i] = (unsigned char)(seed >> 24);
	}
}

static json_t *
describe_server(const server_t *server)
{
	char address[64];
	int64_t cold = server->cold_until - now_ms();

	snprintf(address, sizeof(address), "127.0.0.1:%d", server->port);
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:I}", "service",
	    server->service, "address", address, "zone", server->zone,
	    "version", "v1", "slots", server->slots, "state", "ready",
	    "warmup_left_ms", (json_int_t)(cold > 0 ? cold : 0), "sequence",
	    (json_int_t)server->sequence, "born", (json_int_t)server->born);
}

static bool
answer_request(server_t *server, int fd, const request_t *request)
{
	char id[TEXT_MAX_BYTES] = "-", expected[TEXT_MAX_BYTES], head[1024];
	char cold_line[64] = "";
	unsigned char body[64 * RECORD_BYTES];
	size_t size = (size_t)server->records * RECORD_BYTES;
	int64_t at = now_ms();
	int64_t cold = server->cold_until - at;

	find_header(request->head, "Bulrushwell-Request-Id", id, sizeof(id));
	if (find_header(request->head, "Bulrushwell-Expected-Instance",
		expected, sizeof(expected)) != NULL &&
	    strcmp(expected, server->id) != 0) {
		snprintf(head, sizeof(head),
		    "HTTP/1.1 421 Misdirected\r\nBulrushwell-Request-Id: %s\r\n"
		    "Bulrushwell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		    id);
		return send_all(fd, head, strlen(head));
	}
	pthread_mutex_lock(&arrivals_lock);
	if (server->arrivals == NULL)
		server->arrivals = calloc(ARRIVALS_MAX, sizeof(int64_t));
	if (server->arrival_count < ARRIVALS_MAX)
		server->arrivals[server->arrival_count++] = at;
	pthread_mutex_unlock(&arrivals_lock);
	if (server->on_run != NULL)
		server->on_run(server, id, request->target, at);
	sleep_ms(server->work_ms);
	if (cold > 0)
		snprintf(cold_line, sizeof(cold_line),
		    "Bulrushwell-Warmup-Ms: %lld\r\n", (long long)cold);
	for (int i = 0; i < server->records; i++)
		server_record(server, i, body + i * RECORD_BYTES);
	snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nBulrushwell-Request-Id: %s\r\n"
	    "Bulrushwell-Response-Stamp: %s.%s\r\n%sContent-Length: "
	    "%zu\r\n\r\n",
	    id, server->service, id, cold_line, size);
	return send_all(fd, head, strlen(head)) && send_all(fd, body, size);
}

static void *
run_server_connection(void *context)
{
	server_stream_t *connection = context;
	server_t *server = connection->server;
	int generation = server->generation;
	request_t request;
	bool going = true;

	while (going && read_request(&connection->stream, &request)) {
		while (server->dark && server->generation == generation)
			sleep_ms(5);
		going = server->generation == generation &&
		    answer_request(server, connection->stream.fd, &request);
		free_request(&request);
	}
	if (server->generation != generation)
		reset_socket(connection->stream.fd);
	close(connection->stream.fd);
	free(connection);
	return NULL;
}

static void *
run_server(void *context)
{
	server_t *server = context;

	for (;;) {
		struct pollfd poller = {
		    .fd = server->listener, .events = POLLIN};
		int one = 1, fd;
		server_stream_t *connection;

		if (server->dark) {
			sleep_ms(2);
			continue;
		}
		if (poll(&poller, 1, 20) <= 0 || server->dark)
			continue;
		fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connection = calloc(1, sizeof(*connection));
		connection->stream.fd = fd;
		connection->server = server;
		start_thread(run_server_connection, connection);
	}
}

static void *
run_heartbeat(void *context)
{
	server_t *server = context;

	sleep_ms(rand() % HEARTBEAT_MS);
	for (;;) {
		sleep_ms(HEARTBEAT_MS);
		if (server->dark)
			continue;
		server->sequence++;
		store_put("servers", server->id, describe_server(server));
	}
	return NULL;
}

static int64_t
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* With a short queue of new connections that is full, the kernel drops the
 * opening packets of others. */
void
server_lose_power(server_t *server)
{
	server->dark = true;
	sleep_ms(50); /* a running accept() ends */
	listen(server->listener, 0);
	for (int i = 0; i < 4; i++) {
		struct sockaddr_in address = loopback(server->port);

		server->fillers[i] = socket(
		    AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		connect(server->fillers[i], (struct sockaddr *)&address,
		    sizeof(address));
	}
}

void
server_restart(server_t *server, int64_t cold_ms)
{
	struct pollfd poller = {.fd = server->listener, .events = POLLIN};

	for (int i = 0; i < 4; i++)
		close(server->fillers[i]);
	while (poll(&poller, 1, 0) > 0) {
		int fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);

		reset_socket(fd);
		close(fd);
	}
	server->born = wall_ms();
	server->sequence = 1;
	server->cold_until = now_ms() + cold_ms;
	/* The entry is there before the first connection. */
	store_put("servers", server->id, describe_server(server));
	server->generation++;
	listen(server->listener, 512);
	server->dark = false;
}

void
server_start(server_t *server)
{
	server->born = wall_ms();
	server->sequence = 1;
	server->listener = listen_on(server->port, &server->port);
	if (server->listener < 0)
		cannot_run("no port for a server");
	start_thread(run_server, server);
	store_put("servers", server->id, describe_server(server));
	start_thread(run_heartbeat, server);
}

/* Gateways. */

void
gateway_prepare(gateway_t *gateway, const char *name, const char *zone)
{
	memset(gateway, 0, sizeof(*gateway));
	snprintf(gateway->name, sizeof(gateway->name), "%s", name);
	gateway->zone = zone;
	gateway->clients = free_port();
	gateway->health = free_port();
	gateway->metrics = free_port();
	gateway->peers = free_port();
	proxy_start(&gateway->store);
}

/* The command of the deploy file, with its placeholders. */
static void
read_command(char *command, size_t size)
{
	FILE *file = fopen(DEPLOY_FILE, "r");
	char line[8192];

	if (file == NULL)
		cannot_run("no " DEPLOY_FILE);
	while (fgets(line, sizeof(line), file) != NULL)
		if (sscanf(line, "run = \"%8000[^\"]", command) == 1) {
			fclose(file);
			return;
		}
	cannot_run("no command in " DEPLOY_FILE);
	(void)size;
}

static const char *
setting_value(
    const gateway_t *gateway, const setting_t *settings, const char *key)
{
	static char text[128];

	for (; settings->key != NULL; settings++)
		if (strcmp(settings->key, key) == 0)
			return settings->value;
	if (strcmp(key, "node_name") == 0)
		return gateway->name;
	if (strcmp(key, "zone") == 0)
		return gateway->zone;
	if (strcmp(key, "ip") == 0)
		return "127.0.0.1";
	if (strcmp(key, "listen.front") == 0)
		snprintf(text, sizeof(text), "127.0.0.1:%d", gateway->clients);
	else if (strcmp(key, "listen.readiness") == 0)
		snprintf(text, sizeof(text), "127.0.0.1:%d", gateway->health);
	else if (strcmp(key, "platform.address") == 0)
		snprintf(
		    text, sizeof(text), "127.0.0.1:%d", gateway->store.port);
	else if (strcmp(key, "internal_ports.0") == 0)
		snprintf(text, sizeof(text), "%d", gateway->peers);
	else
		text[0] = '\0';
	return text;
}

static void
fill_word(const gateway_t *gateway, const setting_t *settings, const char *word,
    char *out, size_t size)
{
	size_t used = 0;

	/* All gateways have one address here, so the port of the metrics is
	 * chosen as well. */
	if (strncmp(word, "--metrics=", 10) == 0) {
		snprintf(out, size, "--metrics=127.0.0.1:%d", gateway->metrics);
		return;
	}
	while (*word != '\0' && used + 1 < size) {
		char key[64];

		if (sscanf(word, "{{%63[^}]}}", key) == 1) {
			used += (size_t)snprintf(out + used, size - used, "%s",
			    setting_value(gateway, settings, key));
			word = strstr(word, "}}") + 2;
			continue;
		}
		out[used++] = *word++;
	}
	out[used] = '\0';
}

static void
remember(pid_t pid)
{
	for (int i = 0; i < GATEWAYS_MAX; i++)
		if (gateway_pids[i] == 0) {
			gateway_pids[i] = pid;
			return;
		}
	cannot_run("too many processes");
}

void
gateway_start(gateway_t *gateway, const setting_t *settings)
{
	char command[8192], *words[64], *save = NULL;
	int count = 0;

	read_command(command, sizeof(command));
	for (char *word = strtok_r(command, " ", &save); word != NULL;
	     word = strtok_r(NULL, " ", &save)) {
		char filled[1024];

		fill_word(gateway, settings, word, filled, sizeof(filled));
		words[count++] = strdup(filled);
	}
	words[count] = NULL;
	gateway->pid = fork();
	if (gateway->pid < 0)
		cannot_run("no process");
	if (gateway->pid == 0) {
		char log[256];
		const char *folder = getenv("CASE_LOGS");
		int fd;

		/* It ends with the program of the case, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		snprintf(log, sizeof(log), "%s/%s.log",
		    folder != NULL ? folder : "/dev/null", gateway->name);
		fd = open(folder != NULL ? log : "/dev/null",
		    O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, 1);
		dup2(fd, 2);
		execv(words[0], words);
		_exit(127);
	}
	remember(gateway->pid);
	record("process %s started", gateway->name);
	for (int i = 0; i < count; i++)
		free(words[i]);
}

static void
forget(pid_t pid)
{
	for (int i = 0; i < GATEWAYS_MAX; i++)
		if (gateway_pids[i] == pid)
			gateway_pids[i] = 0;
}

void
gateway_stop(gateway_t *gateway, int64_t grace_ms)
{
	int64_t until = now_ms() + grace_ms;

	record("SIGTERM to %s", gateway->name);
	kill(gateway->pid, SIGTERM);
	while (waitpid(gateway->pid, NULL, WNOHANG) == 0) {
		if (now_ms() >= until)
			kill(gateway->pid, SIGKILL);
		sleep_ms(20);
	}
	forget(gateway->pid);
	record("%s has ended", gateway->name);
}

bool
gateway_is_ready(const gateway_t *gateway)
{
	reply_t reply = client_request(
	    gateway->health, "GET", "health", "/ready", NULL, "", 1000);
	bool ready = reply.status == 200;

	reply_free(&reply);
	return ready;
}

void
gateway_wait_ready(const gateway_t *gateway, int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	while (!gateway_is_ready(gateway)) {
		if (now_ms() > until)
			cannot_run("%s is not ready", gateway->name);
		sleep_ms(50);
	}
}

int64_t
gateway_metric(const gateway_t *gateway, const char *name)
{
	reply_t reply = client_request(
	    gateway->metrics, "GET", "metrics", "/metrics", NULL, "", 1000);
	char line[128];
	const char *at;
	int64_t value = -1;

	snprintf(line, sizeof(line), "\nbulrushwell_gateway_%s ", name);
	at = reply.body != NULL ? strstr((const char *)reply.body, line) : NULL;
	if (at != NULL)
		value = atoll(at + strlen(line));
	reply_free(&reply);
	return value;
}

void
gateways_kill_all(void)
{
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		if (gateway_pids[i] <= 0)
			continue;
		kill(gateway_pids[i], SIGKILL);
		waitpid(gateway_pids[i], NULL, 0);
		gateway_pids[i] = 0;
	}
}

/* Clients. */

reply_t
client_request(int port, const char *method, const char *host,
    const char *target, const char *request_id, const char *more_headers,
    int deadline_ms)
{
	reply_t reply = {0};
	struct timeval timeout = {
	    deadline_ms / 1000 + 1, deadline_ms % 1000 * 1000};
	int fd = connect_to(port);
	char head[2048], value[64];
	char *data = NULL, *end = NULL;
	size_t size = 0, wanted = SIZE_MAX;
	ssize_t n = 0;

	if (request_id != NULL)
		record("sent %s %s%s as %s to port %d", method, host, target,
		    request_id, port);
	if (fd < 0)
		return reply;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: %s\r\n%s%s%s%sConnection: close\r\n\r\n",
	    method, target, host,
	    request_id != NULL ? "Bulrushwell-Request-Id: " : "",
	    request_id != NULL ? request_id : "",
	    request_id != NULL ? "\r\n" : "", more_headers);
	send_all(fd, head, strlen(head));
	while (size < wanted) {
		data = realloc(data, size + 16385);
		n = recv(fd, data + size, 16384, 0);
		if (n <= 0)
			break;
		size += (size_t)n;
		data[size] = '\0';
		if (end == NULL && (end = strstr(data, "\r\n\r\n")) != NULL &&
		    find_header(data, "Content-Length", value, sizeof(value)))
			wanted =
			    (size_t)(end - data) + 4 + (size_t)atoll(value);
		if (end != NULL)
			end = strstr(data, "\r\n\r\n");
	}
	close(fd);
	if (end != NULL && (size == wanted || wanted == SIZE_MAX)) {
		size_t head_size = (size_t)(end - data) + 4;

		sscanf(data, "HTTP/1.%*d %d", &reply.status);
		reply.head = strndup(data, head_size);
		reply.body_size = size - head_size;
		reply.body = calloc(1, reply.body_size + 1);
		memcpy(reply.body, data + head_size, reply.body_size);
	}
	free(data);
	return reply;
}

const char *
reply_header(const reply_t *reply, const char *name, char *value, size_t size)
{
	return reply->head != NULL ? find_header(reply->head, name, value, size)
				   : NULL;
}

void
reply_free(reply_t *reply)
{
	free(reply->head);
	free(reply->body);
	*reply = (reply_t){0};
}
