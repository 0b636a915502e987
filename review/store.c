/* The platform's store: objects by kind and name, lists and watches. */
#include <arpa/inet.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "stage.h"

#define OBJECTS_MAX 4096
#define NAME_SIZE 128

typedef struct {
	char kind[NAME_SIZE];
	char name[NAME_SIZE];
	char *spec; /* JSON text, as it was written */
	long revision;
	long created;
	bool removed;
} object_t;

typedef struct {
	char *text; /* JSON text of the answer, without its end */
	size_t size;
	FILE *file;
} answer_t;

static object_t objects[OBJECTS_MAX]; /* latest state of each name */
static unsigned object_count;
static long revision = 100;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct sockaddr_in address;
static volatile bool silent;

const struct sockaddr_in *
store_address(void)
{
	return &address;
}

void
store_set_silent(bool now_silent)
{
	silent = now_silent;
	stage_record("store: %s", silent ? "silent" : "answers again");
}

static object_t *
find(const char *kind, const char *name)
{
	for (unsigned i = 0; i < object_count; i++)
		if (strcmp(objects[i].kind, kind) == 0 &&
		    strcmp(objects[i].name, name) == 0)
			return &objects[i];
	return NULL;
}

static object_t *
find_present(const char *kind, const char *name)
{
	object_t *object = find(kind, name);

	return object != NULL && !object->removed ? object : NULL;
}

static object_t *
put(const char *kind, const char *name, const char *spec)
{
	object_t *object = find(kind, name);

	if (object == NULL) {
		if (object_count == OBJECTS_MAX)
			stage_close(STAGE_NOT_RUN);
		object = &objects[object_count++];
		snprintf(object->kind, NAME_SIZE, "%s", kind);
		snprintf(object->name, NAME_SIZE, "%s", name);
		object->created = revision + 1;
	}
	free(object->spec);
	object->spec = strdup(spec);
	object->removed = false;
	object->revision = ++revision;
	pthread_cond_broadcast(&changed);
	return object;
}

void
store_put(const char *kind, const char *name, const char *spec)
{
	pthread_mutex_lock(&lock);
	put(kind, name, spec);
	pthread_mutex_unlock(&lock);
	stage_record("store: %s/%s = %s", kind, name, spec);
}

void
store_remove(const char *kind, const char *name)
{
	object_t *object;

	pthread_mutex_lock(&lock);
	object = find(kind, name);
	if (object != NULL) {
		object->removed = true;
		object->revision = ++revision;
		pthread_cond_broadcast(&changed);
	}
	pthread_mutex_unlock(&lock);
	stage_record("store: %s/%s is removed", kind, name);
}

void
store_put_server(const char *id, const char *service,
    const struct sockaddr_in *server, const char *state)
{
	static pthread_mutex_t entry_lock = PTHREAD_MUTEX_INITIALIZER;
	static long sequence;
	static long long born;
	char ip[INET_ADDRSTRLEN], spec[1024];

	pthread_mutex_lock(&entry_lock);
	if (born == 0)
		born = (long long)time(NULL) * 1000;
	inet_ntop(AF_INET, &server->sin_addr, ip, sizeof(ip));
	snprintf(spec, sizeof(spec),
	    "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"zone-a\","
	    "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
	    "\"warmup_left_ms\":0,\"sequence\":%ld,\"born\":%lld}",
	    service, ip, ntohs(server->sin_port), state, ++sequence, born);
	pthread_mutex_unlock(&entry_lock);
	store_put("servers", id, spec);
}

static void
write_object(FILE *file, const object_t *object)
{
	fprintf(file,
	    "{\"meta\":{\"name\":\"%s\",\"revision\":%ld,\"created_rev\":%ld,"
	    "\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":{}}",
	    object->name, object->revision, object->created, object->spec);
}

/* Writes the objects that changed after a revision; returns their number. */
static unsigned
write_objects(FILE *file, const char *kind, long after, bool as_events)
{
	unsigned written = 0;

	for (unsigned i = 0; i < object_count; i++) {
		if (strcmp(objects[i].kind, kind) != 0 ||
		    objects[i].revision <= after ||
		    (objects[i].removed && !as_events))
			continue;
		fputs(written++ > 0 ? "," : "", file);
		fputs(as_events ? "{\"object\":" : "", file);
		write_object(file, &objects[i]);
		if (as_events)
			fprintf(file, ",\"tombstone\":%s}",
			    objects[i].removed ? "true" : "false");
	}
	return written;
}

static bool
has_changes(const char *kind, long after)
{
	for (unsigned i = 0; i < object_count; i++)
		if (strcmp(objects[i].kind, kind) == 0 &&
		    objects[i].revision > after)
			return true;
	return false;
}

static long
query_number(const char *query, const char *name)
{
	const char *at = query != NULL ? strstr(query, name) : NULL;

	return at != NULL ? strtol(at + strlen(name), NULL, 10) : -1;
}

/* Called with the lock held. */
static void
watch(FILE *file, const char *kind, long after, long wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (!has_changes(kind, after) &&
	    pthread_cond_timedwait(&changed, &lock, &until) == 0)
		;
	fputs("{\"events\":[", file);
	write_objects(file, kind, after, true);
	fprintf(file, "],\"at_rev\":%ld}", revision);
}

/* Called with the lock held. */
static int
get(FILE *file, const char *kind, const char *name, const char *query)
{
	long after = query_number(query, "watch=");
	const object_t *object;

	if (name != NULL) {
		object = find_present(kind, name);
		if (object != NULL)
			write_object(file, object);
		return object != NULL ? 200 : 404;
	}
	if (after >= 0) {
		watch(file, kind, after, query_number(query, "wait_ms="));
		return 200;
	}
	fputs("{\"items\":[", file);
	write_objects(file, kind, 0, false);
	fprintf(file, "],\"has_more\":false,\"at_rev\":%ld}", revision);
	return 200;
}

/* Creates (POST) or replaces (PUT) an object. Called with the lock held. */
static int
write_call(FILE *file, const char *method, const char *kind, const char *name,
    const stage_message_t *request)
{
	json_t *body = json_loadb(request->body != NULL ? request->body : "",
	    request->body_size, 0, NULL);
	bool creates = strcmp(method, "POST") == 0;
	const char *own = name != NULL
	    ? name
	    : json_string_value(
		  json_object_get(json_object_get(body, "meta"), "name"));
	char *spec = json_dumps(json_object_get(body, "spec"), JSON_COMPACT);
	int status = 400;

	if (own == NULL || spec == NULL)
		status = 400;
	else if (creates && find_present(kind, own) != NULL)
		status = 409;
	else if (!creates && find_present(kind, own) == NULL)
		status = 404;
	else
		status = creates ? 201 : 200;
	if (status < 300)
		write_object(file, put(kind, own, spec));
	free(spec);
	json_decref(body);
	return status;
}

static bool
handle_call(const char *server, stage_connection_t *connection,
    stage_message_t *request)
{
	char method[16] = "", target[512] = "", *query, *kind, *name;
	answer_t answer = {0};
	bool sent;
	int status = 400;

	(void)server;
	if (!stage_read_body(connection, request) ||
	    sscanf(request->head, "%15s %511s", method, target) != 2)
		return false;
	if (silent) {
		stage_record("store: no answer to %s %s", method, target);
		stage_drain(connection);
		return false;
	}
	query = strchr(target, '?');
	if (query != NULL)
		*query++ = '\0';
	kind = target + strlen("/objects/");
	name = strncmp(target, "/objects/", 9) == 0 ? strchr(kind, '/') : NULL;
	if (name != NULL)
		*name++ = '\0';
	answer.file = open_memstream(&answer.text, &answer.size);
	pthread_mutex_lock(&lock);
	if (strncmp(target, "/objects/", 9) == 0)
		status = strcmp(method, "GET") == 0
		    ? get(answer.file, kind, name, query)
		    : write_call(answer.file, method, kind, name, request);
	pthread_mutex_unlock(&lock);
	fclose(answer.file);
	sent = stage_send_text(connection,
	    "HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, answer.size, answer.text);
	free(answer.text);
	return sent;
}

void
store_start(void)
{
	server_start("store", handle_call, 0, &address);
}
