#include "net_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/name.h"

int
net_parse_address(const char *text, struct sockaddr_storage *address)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)address;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
	address_t copy;
	char *colon;

	memset(address, 0, sizeof(*address));
	if (address_set(copy, text) != 0)
		return BW_E_INVALID;
	colon = strrchr(copy, ':');
	*colon = '\0';
	if (copy[0] == '[') {
		colon[-1] = '\0';
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons((uint16_t)atoi(colon + 1));
		inet_pton(AF_INET6, copy + 1, &v6->sin6_addr);
	} else {
		v4->sin_family = AF_INET;
		v4->sin_port = htons((uint16_t)atoi(colon + 1));
		inet_pton(AF_INET, copy, &v4->sin_addr);
	}
	return 0;
}
