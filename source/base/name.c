#include "bulrushwell/name.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"

static bool
is_name_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
	    c == '_' || c == '.';
}

int
name_set(name_t name, const char *text)
{
	size_t length = strlen(text);

	if (length == 0 || length >= NAME_SIZE || text[0] == '.')
		return BW_E_INVALID;
	for (size_t i = 0; i < length; i++)
		if (!is_name_char(text[i]))
			return BW_E_INVALID;
	memcpy(name, text, length + 1);
	return 0;
}

static bool
is_port(const char *text)
{
	size_t length = strlen(text);

	if (length == 0 || length > 5 || strspn(text, "0123456789") != length)
		return false;
	return atoi(text) >= 1 && atoi(text) <= 65535;
}

static bool
is_ip(const char *text, size_t length)
{
	char host[ADDRESS_SIZE];
	unsigned char parsed[16];

	if (length == 0 || length >= sizeof(host))
		return false;
	memcpy(host, text, length);
	host[length] = '\0';
	if (host[0] == '[' && host[length - 1] == ']') {
		host[length - 1] = '\0';
		return inet_pton(AF_INET6, host + 1, parsed) == 1;
	}
	return inet_pton(AF_INET, host, parsed) == 1;
}

int
address_set(address_t address, const char *text)
{
	const char *colon = strrchr(text, ':');

	if (colon == NULL || strlen(text) >= ADDRESS_SIZE)
		return BW_E_INVALID;
	if (!is_port(colon + 1) || !is_ip(text, (size_t)(colon - text)))
		return BW_E_INVALID;
	strcpy(address, text);
	return 0;
}
