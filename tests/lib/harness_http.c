/* Process test harness: HTTP client and allocation of ports. */
#include "harness.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

/* The ports are below the ephemeral range, so that no outgoing connection takes
 * one. Each test program locks a block of ports of its own. */
#define FIRST_PORT 10000
#define BLOCK_PORTS 400
#define PORT_BLOCKS 50

static int
lock_port_block(void)
{
	for (int block = 0; block < PORT_BLOCKS; block++) {
		char path[64];
		int fd;

		snprintf(path, sizeof(path), "/tmp/bulrushwell-ports-%d.lock",
		    block);
		fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0666);
		if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0)
			return block;
		if (fd >= 0)
			close(fd);
	}
	fail_msg("cannot lock any of the files /tmp/bulrushwell-ports-N.lock");
	return -1;
}

static bool
is_port_free(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool available =
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;

	close(fd);
	return available;
}

void
harness_find_unused_address(address_t address)
{
	static int block = -1, next;

	if (block < 0)
		block = lock_port_block();
	for (int attempt = 0; attempt < BLOCK_PORTS; attempt++) {
		int port =
		    FIRST_PORT + block * BLOCK_PORTS + next++ % BLOCK_PORTS;

		if (is_port_free(port)) {
			snprintf(address, ADDRESS_SIZE, "127.0.0.1:%d", port);
			return;
		}
	}
	fail_msg("no free port in the locked block of this test program");
}

static size_t
append_body(char *data, size_t size, size_t count, void *context)
{
	g_string_append_len(context, data, (gssize)(size * count));
	return size * count;
}

static size_t
store_header(char *data, size_t size, size_t count, void *context)
{
	char *line = g_strndup(data, size * count);
	char *colon = strchr(line, ':');

	if (colon != NULL) {
		char *name = g_ascii_strdown(line, colon - line);

		g_hash_table_insert(
		    context, name, g_strdup(g_strstrip(colon + 1)));
	}
	g_free(line);
	return size * count;
}

static struct curl_slist *
build_header_list(const char *const *headers)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	for (; headers != NULL && *headers != NULL; headers++)
		list = curl_slist_append(list, *headers);
	return list;
}

static void
set_body(CURL *curl, const char *body)
{
	if (body == NULL)
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
}

http_reply_t
harness_http(const char *method, const char *address, const char *path,
    const char *const *headers, const char *body, int timeout_ms)
{
	http_reply_t reply = {0};
	char *url = g_strdup_printf("http://%s%s", address, path);
	struct curl_slist *list = build_header_list(headers);
	CURL *curl = curl_easy_init();
	usec_t start = clock_monotonic();
	long status = 0;
	CURLcode code;

	reply.body = g_string_new(NULL);
	reply.headers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	set_body(curl, body);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, reply.body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, store_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, reply.headers);
	code = curl_easy_perform(curl);
	reply.connect_failed = code == CURLE_COULDNT_CONNECT;
	if (code == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	reply.status = (int)status;
	reply.elapsed = clock_monotonic() - start;
	reply.json =
	    json_loadb(reply.body->str, reply.body->len, JSON_DECODE_ANY, NULL);
	curl_easy_cleanup(curl);
	curl_slist_free_all(list);
	g_free(url);
	return reply;
}

void
http_reply_clear(http_reply_t *reply)
{
	json_decref(reply->json);
	g_string_free(reply->body, TRUE);
	g_hash_table_destroy(reply->headers);
	*reply = (http_reply_t){0};
}

const char *
http_reply_header(const http_reply_t *reply, const char *name)
{
	char *lower = g_ascii_strdown(name, -1);
	const char *value = g_hash_table_lookup(reply->headers, lower);

	g_free(lower);
	return value;
}

void
harness_post(const char *address, const char *path, const char *body)
{
	http_reply_t reply =
	    harness_http("POST", address, path, NULL, body, HARNESS_TIMEOUT_MS);
	int status = reply.status;

	http_reply_clear(&reply);
	if (status != 200)
		fail_msg("%s%s returned status %d for %s", address, path,
		    status, body);
}

json_t *
harness_get_json(const char *address, const char *path)
{
	http_reply_t reply =
	    harness_http("GET", address, path, NULL, NULL, HARNESS_TIMEOUT_MS);
	json_t *json = json_incref(reply.json);
	int status = reply.status;

	http_reply_clear(&reply);
	if (status != 200 || json == NULL)
		fail_msg("%s%s returned status %d or no JSON", address, path,
		    status);
	return json;
}
