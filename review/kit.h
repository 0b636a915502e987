#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

/* Stand-ins for the cases 6 to 10: the platform's store, upstream servers and
 * a client, as threads of the program of the case, and the gateways as
 * processes that it starts with the command of the deploy file. */

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define NAME_MAX_BYTES 64
#define TEXT_MAX_BYTES 256

/* Milliseconds since the program started. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
void sleep_until_ms(int64_t at);

/* Opens record.txt in the folder of the case. */
void record_open(const char *folder);
/* Writes a line with the time. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Ends the program with "couldn't run". */
void cannot_run(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* A port of 127.0.0.1 that is free for TCP and UDP. */
int free_port(void);

/* The platform's store. */

void store_start(void);
int store_port(void);
/* Takes ownership of @spec. Returns the revision of the ack. */
int64_t store_put(const char *kind, const char *name, json_t *spec);
void store_delete(const char *kind, const char *name);
int64_t store_revision(void);
/* Keeps a copy, for store_restore(). */
void store_copy(void);
/*
 * The drill: the store is away for @away_ms, with its connections reset, and
 * comes back from the copy. Returns how many changes were lost.
 */
int64_t store_restore(int64_t away_ms);
/* The store answers nothing for @ms. Calls that it gets or would answer in that
 * time are lost, with their connections. */
void store_silence(int64_t ms);
/* Reads with stale_ok are so old from now on. */
void store_set_stale(int64_t ms);

/* A proxy in front of the store, for one gateway. */
typedef struct {
	int port;
	int listener;
	volatile bool cut;
	volatile int generation;
} proxy_t;

void proxy_start(proxy_t *proxy);
/* Resets the connections and refuses new ones until @cut is false again. */
void proxy_cut(proxy_t *proxy, bool cut);

/* Upstream servers. */

typedef struct server server_t;

struct server {
	char id[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	char zone[NAME_MAX_BYTES];
	int slots;
	int records; /* of a part */
	int work_ms;
	int port;
	int64_t born;
	int64_t sequence;
	bool registered;
	volatile bool dark;	     /* says nothing, accepts nothing */
	volatile int generation;     /* of its process */
	volatile int64_t cold_until; /* now_ms() */
	/* Called when a request begins to run, by its connection's thread. */
	void (*on_run)(server_t *server, const char *request_id,
	    const char *target, int64_t at);
	/* Runs so far, by the time of their arrival. */
	int64_t *arrivals;
	int arrival_count;
	int listener;
	int fillers[4]; /* connections that keep others waiting */
};

/* The server falls silent: what it gets is lost, connections to it hang. */
void server_lose_power(server_t *server);
/* It starts again, under its id, and is cold for a while. */
void server_restart(server_t *server, int64_t cold_ms);

/* Listens, registers the server in the store and writes its heartbeats. */
void server_start(server_t *server);

/* Records of a part: those of a server are the same in each answer. */
#define RECORD_BYTES 16
void server_record(
    const server_t *server, int index, unsigned char bytes[RECORD_BYTES]);

/* Gateways. */

typedef struct {
	char name[NAME_MAX_BYTES];
	const char *zone;
	int clients, health, metrics, peers;
	proxy_t store;
	pid_t pid;
} gateway_t;

typedef struct {
	const char *key;
	const char *value;
} setting_t;

/* Chooses the ports; gateway_start() starts the process and may be called again
 * after it has ended. @settings replace placeholders of the deploy file; ends
 * with a NULL key. */
void gateway_prepare(gateway_t *gateway, const char *name, const char *zone);
void gateway_start(gateway_t *gateway, const setting_t *settings);
/* SIGTERM, and SIGKILL after @grace_ms; returns when the process has ended. */
void gateway_stop(gateway_t *gateway, int64_t grace_ms);
bool gateway_is_ready(const gateway_t *gateway);
void gateway_wait_ready(const gateway_t *gateway, int64_t timeout_ms);
/* A figure of the metrics page; -1: none. For waiting only, not for verdicts.
 */
int64_t gateway_metric(const gateway_t *gateway, const char *name);
void gateways_kill_all(void);

/* Clients. */

typedef struct {
	int status; /* 0: no answer */
	char *head;
	unsigned char *body;
	size_t body_size;
} reply_t;

reply_t client_request(int port, const char *method, const char *host,
    const char *target, const char *request_id, const char *more_headers,
    int deadline_ms);
/* Return: the value of a header in a buffer of the reply, or NULL. */
const char *reply_header(
    const reply_t *reply, const char *name, char *value, size_t size);
void reply_free(reply_t *reply);

#endif
