#ifndef BULRUSHWELL_EVENT_H
#define BULRUSHWELL_EVENT_H

#include <stdint.h>

/**
 * DOC: Numbered log events
 *
 * Every log line belongs to an event of this list: name, number, level (log4c
 * priority) and description. docs/EVENTS.md explains them to operators; a test
 * compares the two. Numbers are never reused.
 */
#define BW_EVENT_LIST(X)                                                       \
	X(NODE_STARTED, 100, INFO, "the node listens on its addresses")        \
	X(NODE_READY, 101, INFO, "the node accepts callers")                   \
	X(NODE_NOT_READY, 102, WARN, "the node refuses callers")               \
	X(NODE_STOPPING, 103, INFO, "a planned stop began")                    \
	X(NODE_STOPPED, 104, INFO, "the node ends")                            \
	X(NODE_STOP_CUT, 105, ERROR, "a stop cut requests that still ran")     \
	X(SETTINGS_REFUSED, 106, ERROR, "a setting is wrong; the node ends")   \
	X(PLATFORM_LOST, 200, WARN, "the platform stopped answering")          \
	X(PLATFORM_FOUND, 201, INFO, "the platform answers again")             \
	X(PLATFORM_BAD_REPLY, 202, ERROR, "the platform sent a bad object")    \
	X(CONTRACT_ADOPTED, 300, INFO, "a contract version is in force here")  \
	X(CONTRACT_REFUSED, 301, ERROR, "a contract object is not valid")      \
	X(CONTRACT_STALE, 302, INFO, "an older contract version was ignored")  \
	X(CATALOGUE_ADOPTED, 310, INFO, "a service or index version is used")  \
	X(CATALOGUE_REFUSED, 311, ERROR, "a service or index is not valid")    \
	X(PEER_UP, 400, INFO, "a peer answers")                                \
	X(PEER_SILENT, 401, WARN, "a peer stopped answering")                  \
	X(PEER_REPLACED, 402, INFO, "a peer has a new incarnation")            \
	X(PEER_GONE, 403, INFO, "a peer's incarnation is proven gone")         \
	X(PEER_REJECTED, 404, WARN,                                            \
	    "a message of an unlisted peer was dropped")                       \
	X(PEER_BAD_MESSAGE, 405, WARN, "a peer message could not be decoded")  \
	X(ASSIGNMENT_ADOPTED, 500, INFO, "an assignment version is in force")  \
	X(ASSIGNMENT_PROPOSED, 501, INFO, "a change of assignment is written") \
	X(ASSIGNMENT_REFUSED, 502, ERROR, "an assignment breaks its rules")    \
	X(ASSIGNMENT_CONFLICT, 503, INFO, "another node changed it first")     \
	X(TAKEOVER, 504, WARN, "the standby serves a service")                 \
	X(HANDOVER, 505, INFO, "a stopping node gave up its share")            \
	X(SERVER_LEAVING, 600, INFO, "a server announced that it leaves")      \
	X(SERVER_SILENT, 601, WARN, "connections to a server went silent")     \
	X(SERVER_LYING, 602, WARN, "a server's reply names another request")   \
	X(SERVER_DOWN, 603, WARN, "a server fails repeatedly")                 \
	X(SERVER_UP, 604, INFO, "a server answers again")                      \
	X(SERVER_FOUND, 605, INFO, "discovery reports a new server")           \
	X(SERVER_REPLACED, 606, WARN, "another server has the address")        \
	X(SERVER_MALFORMED, 607, WARN, "a server's answer is not valid HTTP")  \
	X(SERVER_TOO_LARGE, 608, WARN, "a server's answer is too large")       \
	X(SUSPECT_ADDED, 610, WARN, "a request ran when a server died")        \
	X(SUSPECT_REFUSED, 611, WARN,                                          \
	    "a request that kills servers is refused")                         \
	X(CLAIM_CONFLICT, 700, INFO, "another node wrote the claim bucket")    \
	X(CLAIM_UNKNOWN, 701, WARN, "a reservation's outcome is not known")    \
	X(CLAIM_READ_BACK, 702, WARN, "a claim write's answer was lost")       \
	X(INVARIANT_BROKEN, 900, FATAL, "an internal invariant does not hold") \
	X(GATEWAY_STARTED, 1000, INFO, "the gateway listens")                  \
	X(GATEWAY_READY, 1001, INFO, "the gateway serves clients")             \
	X(GATEWAY_NOT_READY, 1002, WARN,                                       \
	    "the gateway reports that it is not ready")                        \
	X(GATEWAY_STOPPING, 1003, INFO, "a planned stop began")                \
	X(GATEWAY_STOPPED, 1004, INFO, "the gateway ends")                     \
	X(GATEWAY_RELOADED, 1005, INFO, "the gateway was told to reload")      \
	X(ROUTES_ADOPTED, 1010, INFO, "a configuration version is in force")   \
	X(ROUTES_REFUSED, 1011, ERROR, "a configuration is not valid")         \
	X(ROUTES_STALE, 1012, INFO, "an older configuration was ignored")      \
	X(SERVER_ENTRY_BAD, 1013, WARN, "a server entry can't be used")        \
	X(NODES_COUNTED, 1014, INFO, "the number of nodes has changed")        \
	X(PEER_ROLE, 1015, INFO,                                               \
	    "the node's role in reading the store changed")                    \
	X(PEERS_TOLD, 1016, INFO, "a relay sent store changes to its peers")   \
	X(SHARD_GROUPS, 1017, INFO,                                            \
	    "the shards are divided into another number of groups")            \
	X(GROUP_RESUMED, 1018, WARN,                                           \
	    "a node sent the sub-requests of a group that a peer did not "     \
	    "serve")                                                           \
	X(STORE_LOST, 1020, WARN, "the store does not answer a watch or call") \
	X(STORE_FOUND, 1021, INFO, "the store answers again")                  \
	X(STORE_LISTED, 1022, INFO, "all objects of a kind were read")         \
	X(STORE_BODY_BAD, 1023, WARN,                                          \
	    "a part of the store's data is unreadable")                        \
	X(SERVER_BACKOFF, 1024, INFO,                                          \
	    "a server wants no requests from this node for a time")            \
	X(STORE_MALFORMED, 1025, WARN,                                         \
	    "an answer of the store is not valid HTTP or too large")           \
	X(STORE_ERA, 1026, WARN, "the store has come back from an older copy") \
	X(STORE_ERA_OLD, 1027, WARN,                                           \
	    "an answer of the store from before it came back was ignored")     \
	X(EVACUATION_BEGAN, 1030, INFO,                                        \
	    "the servers of a data centre get no more requests")               \
	X(EVACUATION_ENDED, 1031, INFO,                                        \
	    "the servers of a data centre get requests again")                 \
	X(EVACUATION_WITHOUT_SERVER, 1032, WARN,                               \
	    "an upstream has servers in evacuated data centres only")          \
	X(SERVER_COLD, 1033, INFO, "a server with a rate limit is cold")       \
	X(COLD_REFUSED, 1034, WARN,                                            \
	    "only cold servers are left, and their rate is used up")           \
	X(COLD_SENDER, 1035, INFO,                                             \
	    "the node's right to send to cold servers has changed")            \
	X(LOAD_REPORT_BAD, 1036, WARN, "a server's load report is malformed")  \
	X(CONFIG_UNCONFIRMED, 1037, WARN,                                      \
	    "the node can't tell whether its configuration is the store's")    \
	X(CONFIG_CONFIRMED, 1038, INFO,                                        \
	    "the node's configuration is the store's again")                   \
	X(NODE_ENTRY_LOST, 1039, WARN,                                         \
	    "the store may have lost this node's entry, which is written "     \
	    "again")                                                           \
	X(REQUEST_ANSWERED, 1100, INFO, "a request was answered")              \
	X(REQUEST_FAILED, 1101, WARN, "a request was refused or failed")       \
	X(ATTEMPT_FAILED, 1102, WARN, "an attempt on a server failed")         \
	X(TASK_FAILED, 1103, WARN, "an upstream gave no answer in time")       \
	X(CLIENT_REFUSED, 1104, WARN,                                          \
	    "a connection or an invalid request was refused")                  \
	X(CLIENT_GONE, 1105, INFO, "a client left before its answer")          \
	X(HEDGE_SENT, 1106, INFO, "a second attempt was sent for a late one")  \
	X(LOG_DROPPED, 1110, WARN, "log lines were left out")                  \
	X(KEY_REFUSED, 1111, WARN, "a request had no valid customer key")      \
	X(RATE_REFUSED, 1114, WARN, "a request exceeded its customer's rate")  \
	X(RATE_SILENT, 1115, WARN,                                             \
	    "the node that grants a customer's rate does not answer")          \
	X(RATE_CHANGED, 1116, INFO, "the limit of a customer has changed")     \
	X(MEMORY_REFUSED, 1120, WARN,                                          \
	    "a request was refused for lack of memory")                        \
	X(MEMORY_CLOSED, 1121, WARN,                                           \
	    "a client was closed for the memory it held")                      \
	X(CONNECTION_EVICTED, 1122, WARN,                                      \
	    "an idle connection was closed for a new one")                     \
	X(DESCRIPTORS_USED_UP, 1123, WARN,                                     \
	    "no descriptor is left for a connection")                          \
	X(CLIENT_LIMITS, 1124, INFO, "the limits of what clients may hold")    \
	X(ANSWER_UNREAD, 1125, INFO,                                           \
	    "a client's next request waits until it reads its answers")

typedef enum {
#define X(name, number, level, text) EVENT_##name = number,
	BW_EVENT_LIST(X)
#undef X
} event_number_t;

/**
 * event_open() - Opens the log on standard error. Events that are logged before
 * are only counted.
 * @program: name of the log4c category
 * @node: node name that each line contains
 */
void event_open(const char *program, const char *node);

/** event_close() - Closes the log. */
void event_close(void);

/** event_log() - Logs and counts one event. */
void event_log(event_number_t number, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/**
 * event_open_stdout() - Like event_open(), but logs to a bounded buffer that
 * event_flush() writes to standard output, so that logging never blocks.
 */
void event_open_stdout(const char *program, const char *node);

/** event_flush() - Writes up to 4 KiB of the buffer; never blocks. */
void event_flush(void);

/**
 * event_log_sampled() - Logs an event that may occur with every request. Lines
 * beyond a rate limit are dropped; their number is logged as LOG_DROPPED. The
 * limit for warnings and errors is higher than the one for information.
 */
void event_log_sampled(event_number_t number, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/**
 * event_count() - How often an event has occurred in this process, dropped
 * lines included.
 */
uint64_t event_count(event_number_t number);

/** event_name() - The name of an event; NULL if not listed. */
const char *event_name(int number);

/** event_list() - The numbers of all events, ended by 0. */
const int *event_list(void);

/** event_broken_invariant() - Reports a failed INVARIANT(). */
void event_broken_invariant(const char *file, int line, const char *condition,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/**
 * INVARIANT() - Checks a condition that must always hold; also in release
 * builds. A failure is logged as INVARIANT_BROKEN. It aborts the process only
 * when BW_FATAL_INVARIANTS is defined or the environment contains
 * BULRUSHWELL_FATAL_INVARIANTS=1.
 */
#define INVARIANT(condition, ...)                                         \
	do {                                                              \
		if (!(condition))                                         \
			event_broken_invariant(                           \
			    __FILE__, __LINE__, #condition, __VA_ARGS__); \
	} while (0)

#endif
