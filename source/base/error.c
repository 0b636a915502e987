#include "bulrushwell/error.h"

#include <stddef.h>
#include <string.h>

typedef enum { NOT_RUN, UNKNOWN, FAULT } error_class_t;

typedef struct {
	int number;
	const char *kind;
	int http_status;
	error_class_t class;
	const char *remedy;
} error_entry_t;

static const error_entry_t error_table[] = {
#define X(name, number, kind, status, class, remedy) \
	{number, kind, status, class, remedy},
    BW_ERROR_LIST(X)
#undef X
};

static const size_t error_count = sizeof(error_table) / sizeof(error_table[0]);

static const error_entry_t *
find_entry(int error)
{
	for (size_t i = 0; i < error_count; i++)
		if (error_table[i].number == error)
			return &error_table[i];
	return NULL;
}

const char *
error_kind(int error)
{
	const error_entry_t *entry = find_entry(error);

	return entry != NULL ? entry->kind : "unknown_error";
}

const char *
error_remedy(int error)
{
	const error_entry_t *entry = find_entry(error);

	return entry != NULL ? entry->remedy : "report this error number";
}

int
error_http_status(int error)
{
	const error_entry_t *entry = find_entry(error);

	return entry != NULL ? entry->http_status : 500;
}

bool
error_is_not_run(int error)
{
	const error_entry_t *entry = find_entry(error);

	return entry != NULL && entry->class == NOT_RUN;
}

int
error_from_kind(const char *kind)
{
	for (size_t i = 0; i < error_count; i++)
		if (strcmp(error_table[i].kind, kind) == 0)
			return error_table[i].number;
	return BW_E_PROTOCOL;
}
