#include "bulrushwell/assignment.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"

/* Writes the reason to @message, if it has room; returns BW_E_INVALID. */
static int
report_invalid(char *message, size_t message_size, const char *format, ...)
{
	va_list args;

	if (message_size == 0)
		return BW_E_INVALID;
	va_start(args, format);
	vsnprintf(message, message_size, format, args);
	va_end(args);
	return BW_E_INVALID;
}

assignment_t *
assignment_create(const char *cell)
{
	assignment_t *assignment = g_new0(assignment_t, 1);

	g_strlcpy(assignment->cell, cell, sizeof(assignment->cell));
	return assignment;
}

assignment_t *
assignment_copy(const assignment_t *assignment)
{
	assignment_t *copy = g_new(assignment_t, 1);

	*copy = *assignment;
	copy->services = g_new(assigned_service_t, assignment->service_count);
	if (assignment->service_count > 0)
		memcpy(copy->services, assignment->services,
		    assignment->service_count * sizeof(*copy->services));
	return copy;
}

void
assignment_destroy(assignment_t *assignment)
{
	if (assignment == NULL)
		return;
	g_free(assignment->services);
	g_free(assignment);
}

/* Returns the position of the first name that does not sort before @service. */
static uint32_t
service_position(const assignment_t *assignment, const char *service)
{
	uint32_t low = 0, high = assignment->service_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (strcmp(assignment->services[middle].service, service) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

assigned_service_t *
assignment_find_service(const assignment_t *assignment, const char *service)
{
	uint32_t position = service_position(assignment, service);

	if (position == assignment->service_count ||
	    strcmp(assignment->services[position].service, service) != 0)
		return NULL;
	return &assignment->services[position];
}

assigned_service_t *
assignment_add_service(assignment_t *assignment, const char *service,
    uint32_t slots, uint32_t connections)
{
	uint32_t position = service_position(assignment, service);
	assigned_service_t *entry;

	if (assignment->service_count == ASSIGNMENT_MAX_SERVICES)
		return NULL;
	assignment->services = g_renew(assigned_service_t, assignment->services,
	    assignment->service_count + 1);
	entry = &assignment->services[position];
	memmove(entry + 1, entry,
	    (assignment->service_count - position) * sizeof(*entry));
	assignment->service_count++;
	memset(entry, 0, sizeof(*entry));
	g_strlcpy(entry->service, service, sizeof(entry->service));
	entry->slots = slots;
	entry->connections = connections;
	return entry;
}

holder_t *
assignment_find_holder(
    assigned_service_t *service, const char *node, uint64_t incarnation)
{
	for (uint32_t i = 0; i < service->holder_count; i++) {
		holder_t *holder = &service->holders[i];

		if (holder->incarnation == incarnation &&
		    strcmp(holder->node, node) == 0)
			return holder;
	}
	return NULL;
}

uint64_t
assignment_unit_bits(
    const assignment_t *assignment, const char *node, uint64_t incarnation)
{
	for (uint32_t i = 0; i < assignment->member_count; i++) {
		const assigned_member_t *member = &assignment->members[i];

		if (member->incarnation == incarnation &&
		    strcmp(member->node, node) == 0)
			return member->units;
	}
	return 0;
}

uint32_t
assignment_unit_count(
    const assignment_t *assignment, const char *node, uint64_t incarnation)
{
	return (uint32_t)__builtin_popcountll(
	    assignment_unit_bits(assignment, node, incarnation));
}

static int
compare_members(const assigned_member_t *a, const assigned_member_t *b)
{
	int order = strcmp(a->node, b->node);

	if (order != 0)
		return order;
	return a->incarnation < b->incarnation ? -1
	    : a->incarnation > b->incarnation  ? 1
					       : 0;
}

static int
check_members(
    const assignment_t *assignment, char *message, size_t message_size)
{
	uint64_t seen_units = 0;

	if (assignment->member_count > ASSIGNMENT_MAX_MEMBERS)
		return report_invalid(message, message_size,
		    "there are more than %d members", ASSIGNMENT_MAX_MEMBERS);
	for (uint32_t i = 0; i < assignment->member_count; i++) {
		const assigned_member_t *member = &assignment->members[i];

		if (i > 0 && compare_members(member - 1, member) >= 0)
			return report_invalid(message, message_size,
			    "member %s is listed twice or out of order",
			    member->node);
		if ((seen_units & member->units) != 0)
			return report_invalid(message, message_size,
			    "member %s owns units that another member owns",
			    member->node);
		seen_units |= member->units;
	}
	return 0;
}

static int
check_service(
    const assigned_service_t *service, char *message, size_t message_size)
{
	uint64_t slots = 0, connections = 0;

	if (service->holder_count > ASSIGNMENT_MAX_HOLDERS)
		return report_invalid(message, message_size,
		    "service %s has more than %d holders", service->service,
		    ASSIGNMENT_MAX_HOLDERS);
	for (uint32_t i = 0; i < service->holder_count; i++) {
		const holder_t *holder = &service->holders[i];

		for (uint32_t j = 0; j < i; j++)
			if (service->holders[j].incarnation ==
				holder->incarnation &&
			    strcmp(service->holders[j].node, holder->node) == 0)
				return report_invalid(message, message_size,
				    "node %s is listed twice as a holder of %s",
				    holder->node, service->service);
		slots += holder->slots;
		connections += holder->connections;
	}
	if (slots > service->slots)
		return report_invalid(message, message_size,
		    "holders of %s have %" PRIu64 " of at most %" PRIu32
		    " slots",
		    service->service, slots, service->slots);
	if (connections > service->connections)
		return report_invalid(message, message_size,
		    "holders of %s have %" PRIu64 " of at most %" PRIu32
		    " connections",
		    service->service, connections, service->connections);
	return 0;
}

int
assignment_check(
    const assignment_t *assignment, char *message, size_t message_size)
{
	int error = check_members(assignment, message, message_size);

	if (assignment->service_count > ASSIGNMENT_MAX_SERVICES)
		return report_invalid(message, message_size,
		    "there are more than %d services", ASSIGNMENT_MAX_SERVICES);
	for (uint32_t i = 0; error == 0 && i < assignment->service_count; i++) {
		const assigned_service_t *service = &assignment->services[i];

		if (i > 0 && strcmp(service[-1].service, service->service) >= 0)
			return report_invalid(message, message_size,
			    "service %s is listed twice or out of order",
			    service->service);
		error = check_service(service, message, message_size);
	}
	return error;
}
