#ifndef BULRUSHWELL_ERROR_H
#define BULRUSHWELL_ERROR_H

#include <stdbool.h>

/**
 * DOC: Typed errors
 *
 * Every error is a negative number of &enum bw_error. Each number has a kind
 * (a stable word for programs), an HTTP status and a remedy (what the reader
 * of the message can do about it).
 *
 * Columns: name, number, kind, HTTP status, class, remedy.
 * The class tells whether an upstream may have run the request: NOT_RUN when
 * none has received it, UNKNOWN when one may have run it, FAULT for all other
 * errors.
 */
#define BW_ERROR_LIST(X)                                                       \
	X(BW_E_INVALID, -1001, "invalid_request", 400, NOT_RUN,                \
	    "correct the request as the message says and send it again")       \
	X(BW_E_UNAUTHORISED, -1002, "unauthorised", 401, NOT_RUN,              \
	    "send the key of a caller named in a contract that is in force")   \
	X(BW_E_FORBIDDEN, -1003, "forbidden", 403, NOT_RUN,                    \
	    "ask the operator to add this index or service to the contract")   \
	X(BW_E_NOT_FOUND, -1004, "not_found", 404, NOT_RUN,                    \
	    "check the name; 'bulrushwell status' lists what exists")          \
	X(BW_E_TOO_LARGE, -1005, "too_large", 413, NOT_RUN,                    \
	    "send a smaller body")                                             \
	X(BW_E_RATE, -1006, "rate_exceeded", 429, NOT_RUN,                     \
	    "send fewer requests a second, or have the contract's rate "       \
	    "raised")                                                          \
	X(BW_E_CONCURRENCY, -1007, "concurrency_exceeded", 429, NOT_RUN,       \
	    "wait for running requests, or have the contract's limit raised")  \
	X(BW_E_DEADLINE, -1008, "deadline_unreachable", 503, NOT_RUN,          \
	    "send it again later, or with a longer deadline")                  \
	X(BW_E_STOPPING, -1009, "stopping", 503, NOT_RUN,                      \
	    "send it again; the balancer will choose another node")            \
	X(BW_E_ISOLATED, -1010, "isolated", 503, NOT_RUN,                      \
	    "send it again; this node has lost both the platform and its "     \
	    "peers")                                                           \
	X(BW_E_NOT_READY, -1011, "not_ready", 503, NOT_RUN,                    \
	    "send it again in a few seconds; this node is still starting")     \
	X(BW_E_PLATFORM_DOWN, -1012, "platform_unavailable", 503, NOT_RUN,     \
	    "send it again when the platform's store answers")                 \
	X(BW_E_NOT_SERVED, -1013, "not_served", 503, NOT_RUN,                  \
	    "send it again in a second; the service moves to another node")    \
	X(BW_E_OVERLOADED, -1014, "overloaded", 503, NOT_RUN,                  \
	    "send it again later; the servers' slots are taken")               \
	X(BW_E_SUSPECT, -1015, "crashes_servers", 422, NOT_RUN,                \
	    "do not send this request again; servers stopped while running "   \
	    "it")                                                              \
	X(BW_E_KEY_REUSED, -1016, "key_reused", 422, NOT_RUN,                  \
	    "use a new idempotency key for a different request")               \
	X(BW_E_KEY_EXPIRED, -1017, "key_expired", 410, UNKNOWN,                \
	    "check with the service whether the request ran; its key is "      \
	    "older "                                                           \
	    "than the contract's repeat window")                               \
	X(BW_E_OUTCOME_UNKNOWN, -1018, "outcome_unknown", 504, UNKNOWN,        \
	    "the request may have run; check with the service before sending " \
	    "it with a new key")                                               \
	X(BW_E_CONFLICT, -1019, "conflict", 409, FAULT,                        \
	    "read what is in force, decide again and repeat the change")       \
	X(BW_E_VERSION_GONE, -1020, "version_gone", 503, FAULT,                \
	    "send it again; the index moved to a new version")                 \
	X(BW_E_TIMEOUT, -1021, "timeout", 504, FAULT,                          \
	    "send it again, or with a longer deadline")                        \
	X(BW_E_UPSTREAM, -1022, "upstream_failed", 502, FAULT,                 \
	    "look at the message; the upstream did not give a valid answer")   \
	X(BW_E_PROTOCOL, -1023, "protocol", 502, FAULT,                        \
	    "check that all nodes run the same release")                       \
	X(BW_E_FULL, -1024, "full", 503, NOT_RUN,                              \
	    "send it again later; a bounded table of this node is full")       \
	X(BW_E_IO, -1025, "io", 503, FAULT,                                    \
	    "check the address and that the other side is running")            \
	X(BW_E_SETTINGS, -1026, "settings", 500, NOT_RUN,                      \
	    "correct the setting that the message names and start again")      \
	X(BW_E_STALE, -1027, "stale", 409, FAULT,                              \
	    "nothing to do; a newer version is in force")                      \
	X(BW_E_RETIRED, -1028, "retired", 410, NOT_RUN,                        \
	    "create a contract under another customer name")                   \
	X(BW_E_IN_PROGRESS, -1029, "in_progress", 409, UNKNOWN,                \
	    "the first attempt with this key still runs; ask again with the "  \
	    "same key")                                                        \
	X(BW_E_CUSTOMER_KEY, -1030, "customer_key_refused", 401, NOT_RUN,      \
	    "send 'Authorization: Bearer KEY' with a key that the "            \
	    "configuration in force lists for a customer")

enum bw_error {
	BW_OK = 0,
#define X(name, number, kind, status, class, remedy) name = number,
	BW_ERROR_LIST(X)
#undef X
};

/**
 * error_kind() - The kind of an error.
 * @error: a negative error number
 *
 * Return: the kind, or "unknown_error" for a number that is not listed.
 */
const char *error_kind(int error);

/**
 * error_remedy() - What the reader of the message can do about an error.
 *
 * Return: a static string; a default for a number that is not listed.
 */
const char *error_remedy(int error);

/** error_http_status() - The HTTP status of an error; 500 if not listed. */
int error_http_status(int error);

/**
 * error_is_not_run() - Whether the error guarantees that no upstream has
 * received the request.
 */
bool error_is_not_run(int error);

/** error_from_kind() - The number of a kind; BW_E_PROTOCOL if not listed. */
int error_from_kind(const char *kind);

#endif
