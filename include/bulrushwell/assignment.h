#ifndef BULRUSHWELL_ASSIGNMENT_H
#define BULRUSHWELL_ASSIGNMENT_H

#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/name.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Assignment of services to nodes
 *
 * An assignment states which nodes hold a share of each service's server
 * capacity, and which units of the contracts' allowances each node owns. It is
 * a versioned object of the platform, which every node may replace by a
 * conditional write. An incarnation identifies one process of a node and is
 * higher than those of the node's earlier processes.
 *
 * As JSON: {"cell", "token", "members": [{"node", "incarnation", "units"}],
 * "services": [{"service", "slots", "connections", "holders": [{"node",
 * "incarnation", "slots", "connections"}]}]}. Incarnations and units are
 * decimal strings, since JSON numbers lose 64-bit precision. The first holder
 * is the serving node, the second the standby.
 */
#define ASSIGNMENT_MAX_HOLDERS 4
#define ASSIGNMENT_UNITS 64 /* units of each contract's allowance */
#define ASSIGNMENT_MAX_MEMBERS 64
#define ASSIGNMENT_MAX_SERVICES 4096
#define ASSIGNMENT_TOKEN_SIZE 33 /* 32 hexadecimal digits and a NUL */

/** typedef holder_t - One incarnation of a node with its share of a service. */
typedef struct {
	name_t node;
	uint64_t incarnation;
	uint32_t slots;	      /* concurrent requests on each server */
	uint32_t connections; /* connections to each server */
} holder_t;

/** typedef assigned_service_t - A service and the nodes that share it. */
typedef struct {
	name_t service;
	uint32_t slots;	      /* limit of each server */
	uint32_t connections; /* limit of each server */
	uint32_t holder_count;
	holder_t holders[ASSIGNMENT_MAX_HOLDERS];
} assigned_service_t;

/** typedef assigned_member_t - The allowance units an incarnation owns. */
typedef struct {
	name_t node;
	uint64_t incarnation;
	uint64_t units; /* bit mask of ASSIGNMENT_UNITS bits */
} assigned_member_t;

/**
 * typedef assignment_t - One version of the assignment.
 *
 * Members are sorted by name and incarnation, services by name. The
 * assignment owns the array of services.
 */
typedef struct {
	name_t cell;
	uint64_t version; /* of the platform's object; 0: not yet written */
	char token[ASSIGNMENT_TOKEN_SIZE]; /* random id of the write */
	uint32_t member_count;
	assigned_member_t members[ASSIGNMENT_MAX_MEMBERS];
	uint32_t service_count;
	assigned_service_t *services;
} assignment_t;

/**
 * assignment_create() - Creates an assignment without members and services.
 *
 * Return: the assignment, to be freed with assignment_destroy().
 */
assignment_t *assignment_create(const char *cell);

/** assignment_copy() - Makes a deep copy, owned by the caller. */
assignment_t *assignment_copy(const assignment_t *assignment);

/** assignment_destroy() - Frees an assignment; NULL is ignored. */
void assignment_destroy(assignment_t *assignment);

/**
 * assignment_parse() - Parses the JSON form and validates it with
 * assignment_check().
 * @version: the version of the platform's object
 * @assignment: set to the result, owned by the caller, or to NULL on failure
 * @message: receives the reason of a failure; unchanged on success
 *
 * Return: 0 or BW_E_INVALID.
 */
int assignment_parse(slice_t text, uint64_t version, assignment_t **assignment,
    char *message, size_t message_size);

/** assignment_serialize() - Returns the JSON form, to be freed with free(). */
char *assignment_serialize(const assignment_t *assignment);

/**
 * assignment_check() - Validates an assignment: shares add up to no more than
 * the limits of a service, no unit has two owners, names are in order, and no
 * incarnation of a node holds a service twice.
 * @message: receives the reason of a failure
 *
 * Return: 0 or BW_E_INVALID.
 */
int assignment_check(
    const assignment_t *assignment, char *message, size_t message_size);

/**
 * assignment_find_service() - Finds the entry of a service. The pointer is
 * valid until a service is added.
 *
 * Return: the entry, or NULL when the service is not assigned.
 */
assigned_service_t *assignment_find_service(
    const assignment_t *assignment, const char *service);

/**
 * assignment_add_service() - Inserts an entry without holders in the order of
 * names. The service must not be assigned yet.
 * @slots, @connections: the limits of each server
 *
 * Return: the entry, or NULL when there are ASSIGNMENT_MAX_SERVICES already.
 */
assigned_service_t *assignment_add_service(assignment_t *assignment,
    const char *service, uint32_t slots, uint32_t connections);

/** assignment_find_holder() - Finds an incarnation of a node, or NULL. */
holder_t *assignment_find_holder(
    assigned_service_t *service, const char *node, uint64_t incarnation);

/** assignment_unit_bits() - Bit mask of the units an incarnation owns. */
uint64_t assignment_unit_bits(
    const assignment_t *assignment, const char *node, uint64_t incarnation);

/** assignment_unit_count() - Number of units that an incarnation owns. */
uint32_t assignment_unit_count(
    const assignment_t *assignment, const char *node, uint64_t incarnation);

#endif
