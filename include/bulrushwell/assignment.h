#ifndef BULRUSHWELL_ASSIGNMENT_H
#define BULRUSHWELL_ASSIGNMENT_H

#include <stddef.h>
#include <stdint.h>

#include "bulrushwell/name.h"
#include "bulrushwell/slice.h"

/**
 * DOC: Assignment of services to nodes
 *
 * JSON: {"cell", "token", "members": [{"node", "incarnation", "units"}],
 * "services": [{"service", "slots", "connections", "holders": [{"node",
 * "incarnation", "slots", "connections"}]}]}. Incarnations and units are
 * decimal text, since JSON numbers lose 64-bit precision. The first holder is
 * the serving node, the next the standby.
 */
#define ASSIGNMENT_MAX_HOLDERS 4
#define ASSIGNMENT_UNITS 64 /* parts of each contract's allowance */
#define ASSIGNMENT_MAX_MEMBERS 64
#define ASSIGNMENT_MAX_SERVICES 4096
#define ASSIGNMENT_TOKEN_SIZE 33

typedef struct {
	name_t node;
	uint64_t incarnation;
	uint32_t slots;	      /* share of each server's slots */
	uint32_t connections; /* share of each server's connections */
} holder_t;

typedef struct {
	name_t service;
	uint32_t slots;	      /* cap of each server */
	uint32_t connections; /* cap of each server */
	uint32_t holder_count;
	holder_t holders[ASSIGNMENT_MAX_HOLDERS];
} assigned_service_t;

typedef struct {
	name_t node;
	uint64_t incarnation;
	uint64_t units; /* one bit for each unit */
} assigned_member_t;

/** typedef assignment_t - One version; members and services sorted by name. */
typedef struct {
	name_t cell;
	uint64_t version; /* of the platform object; 0 for a draft */
	char token[ASSIGNMENT_TOKEN_SIZE]; /* of the writer's attempt */
	uint32_t member_count;
	assigned_member_t members[ASSIGNMENT_MAX_MEMBERS];
	uint32_t service_count;
	assigned_service_t *services;
} assignment_t;

/** assignment_create() - An empty draft. */
assignment_t *assignment_create(const char *cell);
assignment_t *assignment_copy(const assignment_t *assignment);
void assignment_destroy(assignment_t *assignment);

/** assignment_parse() - 0 or BW_E_INVALID; includes assignment_check(). */
int assignment_parse(slice_t text, uint64_t version, assignment_t **assignment,
    char *why, size_t why_size);

/** assignment_print() - JSON text; the caller frees it with free(). */
char *assignment_print(const assignment_t *assignment);

/**
 * assignment_check() - The sums of shares and of units stay within the caps,
 * and no node holds a service twice with one incarnation.
 */
int assignment_check(
    const assignment_t *assignment, char *why, size_t why_size);

/** assignment_find_service() - NULL when the service is not assigned. */
assigned_service_t *assignment_find_service(
    const assignment_t *assignment, const char *service);

/** assignment_add_service() - Adds an entry without holders, in order. */
assigned_service_t *assignment_add_service(assignment_t *assignment,
    const char *service, uint32_t slots, uint32_t connections);

/** assignment_find_holder() - The entry of one incarnation, or NULL. */
holder_t *assignment_find_holder(
    assigned_service_t *service, const char *node, uint64_t incarnation);

/** assignment_unit_bits() - The units held by one incarnation, as bits. */
uint64_t assignment_unit_bits(
    const assignment_t *assignment, const char *node, uint64_t incarnation);

/** assignment_units() - The number of units held by one incarnation. */
uint32_t assignment_units(
    const assignment_t *assignment, const char *node, uint64_t incarnation);

#endif
