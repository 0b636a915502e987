#include "soak_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEADLINE_MS 1200
#define PATIENCE_MS 6000 /* paused processes answer late */
#define ANSWER_MAX_BYTES 16384
#define MAX_PAUSE_MS 25
#define RECORD_BYTES 16
#define FAULT_MAX 256

struct soak_client {
	soak_client_settings_t settings;
	GThread *thread;
	gint stopping;
	GRand *random;
	GArray *requests;
	uint32_t serial;
	uint32_t answered;
	char fault[FAULT_MAX];
	int fd;
	char answer[ANSWER_MAX_BYTES];
	size_t size;
};

static void
break_promise(soak_client_t *client, const char *what, const char *id)
{
	if (client->fault[0] == '\0')
		snprintf(client->fault, sizeof(client->fault),
		    "%s: request %s got '%.120s'", what, id, client->answer);
}

static void
connect_somewhere(soak_client_t *client)
{
	const char *address = client->settings.addresses[g_rand_int_range(
	    client->random, 0, client->settings.address_count)];
	struct sockaddr_in in = {.sin_family = AF_INET};

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	in.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(client->fd, (struct sockaddr *)&in, sizeof(in)) != 0) {
		close(client->fd);
		client->fd = -1;
	}
}

static void
disconnect(soak_client_t *client)
{
	if (client->fd >= 0)
		close(client->fd);
	client->fd = -1;
}

static bool
header(const soak_client_t *client, const char *name, char *value,
    size_t value_size)
{
	const char *end = strstr(client->answer, "\r\n\r\n");
	char *line = g_strdup_printf("\r\n%s: ", name);
	const char *at = strcasestr(client->answer, line);
	size_t skip = strlen(line);

	g_free(line);
	value[0] = '\0';
	if (at == NULL || at > end)
		return false;
	at += skip;
	g_strlcpy(
	    value, at, MIN(value_size, (size_t)(strstr(at, "\r\n") - at) + 1));
	return true;
}

static bool
is_whole(const soak_client_t *client, size_t *body_at, size_t *body_size)
{
	const char *end = strstr(client->answer, "\r\n\r\n");
	char value[32];

	if (end == NULL)
		return false;
	*body_at = (size_t)(end - client->answer) + 4;
	header(client, "Content-Length", value, sizeof(value));
	*body_size = (size_t)atol(value);
	return client->size >= *body_at + *body_size;
}

static bool
receive_answer(soak_client_t *client, size_t *body_at, size_t *body_size)
{
	gint64 until = g_get_monotonic_time() + PATIENCE_MS * 1000;

	client->size = 0;
	client->answer[0] = '\0';
	while (!is_whole(client, body_at, body_size)) {
		struct pollfd poller = {.fd = client->fd, .events = POLLIN};
		int left = (int)((until - g_get_monotonic_time()) / 1000);
		ssize_t n;

		if (left <= 0 || client->size >= ANSWER_MAX_BYTES - 1 ||
		    poll(&poller, 1, left) <= 0)
			return false;
		n = recv(client->fd, client->answer + client->size,
		    ANSWER_MAX_BYTES - 1 - client->size, 0);
		if (n <= 0)
			return false;
		client->size += (size_t)n;
		client->answer[client->size] = '\0';
	}
	return true;
}

/* A single answer names its request and holds its server's records. */
static void
judge_single(
    soak_client_t *client, const char *id, const char *body, size_t size)
{
	char echoed[64], stamp[64];
	char *dot;

	header(client, "Bulrushwell-Request-Id", echoed, sizeof(echoed));
	header(client, "Bulrushwell-Response-Stamp", stamp, sizeof(stamp));
	dot = strchr(stamp, '.');
	if (strcmp(echoed, id) != 0)
		break_promise(client, "an answer to another request", id);
	if (dot == NULL || size != 3 * RECORD_BYTES) {
		break_promise(client, "not a whole answer", id);
		return;
	}
	*dot = '\0';
	if (memmem(body, size, stamp, strlen(stamp)) == NULL)
		break_promise(client, "a body of another server", id);
}

/* Parts and missing shards make up the index; records fall. */
static void
judge_fanout(
    soak_client_t *client, const char *id, const char *body, size_t size)
{
	char stamps[1024], missing[16];
	char **parts;
	guint count;

	header(client, "Bulrushwell-Part-Stamps", stamps, sizeof(stamps));
	header(client, "Bulrushwell-Missing-Parts", missing, sizeof(missing));
	parts = g_strsplit(stamps, ", ", -1);
	count = g_strv_length(parts);
	if (count == 0 || (int)count + atoi(missing) != client->settings.shards)
		break_promise(client, "untrue coverage", id);
	for (guint i = 0; i < count; i++)
		for (guint j = 0; j < i; j++)
			if (strcmp(parts[i], parts[j]) == 0)
				break_promise(client, "a part twice", id);
	for (size_t at = RECORD_BYTES; at + RECORD_BYTES <= size;
	     at += RECORD_BYTES)
		if (memcmp(body + at - RECORD_BYTES, body + at, RECORD_BYTES) <
		    0)
			break_promise(client, "records out of order", id);
	if (size == 0 || size % RECORD_BYTES != 0)
		break_promise(client, "no whole records", id);
	g_strfreev(parts);
}

static void
judge(soak_client_t *client, const soak_request_t *request, bool fanout,
    size_t body_at, size_t body_size)
{
	const char *body = client->answer + body_at;

	if (client->size > body_at + body_size)
		break_promise(client, "bytes after the answer", request->id);
	if (request->status != 200)
		return;
	client->answered++;
	if (fanout)
		judge_fanout(client, request->id, body, body_size);
	else
		judge_single(client, request->id, body, body_size);
}

static void
ask(soak_client_t *client)
{
	static const char *const paths[] = {"/all/x", "/one/x", "/once/x"};
	int kind = g_rand_int_range(client->random, 0, 3);
	soak_request_t request = {.once = kind == 2};
	size_t body_at, body_size;
	char text[512];
	int size;

	snprintf(request.id, sizeof(request.id), "c%u-%u-%u",
	    client->settings.seed, client->settings.client, ++client->serial);
	size = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: example.test\r\n"
	    "Bulrushwell-Request-Id: %s\r\nBulrushwell-Deadline-Ms: %d\r\n"
	    "Content-Length: %d\r\n\r\n%s",
	    request.once ? "POST" : "GET", paths[kind], request.id, DEADLINE_MS,
	    request.once ? 4 : 0, request.once ? "reel" : "");
	if (send(client->fd, text, (size_t)size, MSG_NOSIGNAL) == size &&
	    receive_answer(client, &body_at, &body_size)) {
		char close_mark[32];

		request.status = atoi(client->answer + strlen("HTTP/1.1 "));
		judge(client, &request, kind == 0, body_at, body_size);
		if (header(
			client, "Connection", close_mark, sizeof(close_mark)))
			disconnect(client);
	} else {
		disconnect(client);
	}
	g_array_append_val(client->requests, request);
}

static void *
run(void *argument)
{
	soak_client_t *client = argument;

	while (!g_atomic_int_get(&client->stopping)) {
		if (client->fd < 0)
			connect_somewhere(client);
		if (client->fd >= 0)
			ask(client);
		g_usleep(
		    (gulong)g_rand_int_range(client->random, 0, MAX_PAUSE_MS) *
		    1000);
	}
	disconnect(client);
	return NULL;
}

soak_client_t *
soak_client_start(const soak_client_settings_t *settings)
{
	soak_client_t *client = g_new0(soak_client_t, 1);

	client->settings = *settings;
	client->fd = -1;
	client->random =
	    g_rand_new_with_seed(settings->seed * 100 + settings->client);
	client->requests = g_array_new(FALSE, TRUE, sizeof(soak_request_t));
	client->thread = g_thread_new("client", run, client);
	return client;
}

void
soak_client_stop(soak_client_t *client)
{
	g_atomic_int_set(&client->stopping, 1);
	g_thread_join(client->thread);
}

const GArray *
soak_client_requests(const soak_client_t *client)
{
	return client->requests;
}

const char *
soak_client_fault(const soak_client_t *client)
{
	return client->fault[0] != '\0' ? client->fault : NULL;
}

uint32_t
soak_client_answered(const soak_client_t *client)
{
	return client->answered;
}

void
soak_client_destroy(soak_client_t *client)
{
	g_array_free(client->requests, TRUE);
	g_rand_free(client->random);
	g_free(client);
}
