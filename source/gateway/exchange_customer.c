/* The customer of a request, and which headers that name one are forwarded. */
#include "bulrushwell/error.h"
#include "customer_keys.h"
#include "exchange_private.h"
#include "group_headers.h"

#define AUTHORIZATION_HEADER "Authorization"

/* Which headers of a client are not forwarded. */
static void
choose_dropped_headers(exchange_t *exchange)
{
	bool has_customers = route_table_has_customers(exchange->table);

	exchange->drops_authorization = has_customers;
	exchange->drops_customer = has_customers && !exchange->is_for_peer;
}

static void
set_customer(exchange_t *exchange, slice_t name, int priority)
{
	exchange->customer_name = name;
	exchange->drops_authorization = true;
	exchange->drops_customer = true;
	if (priority != CUSTOMER_NO_PRIORITY)
		exchange->priority = priority;
}

static int
refuse_key(exchange_t *exchange, const char *reason, const char **cause)
{
	exchange->engine->counters.keys_refused++;
	exchange->key_refused = true;
	*cause = reason;
	return BW_E_CUSTOMER_KEY;
}

int
customer_check_key(exchange_t *exchange, const char **cause)
{
	slice_t value, key;
	uint32_t count;

	choose_dropped_headers(exchange);
	if (!route_table_has_customers(exchange->table) ||
	    exchange->route->is_public)
		return 0;
	count =
	    http_message_count(exchange->request, AUTHORIZATION_HEADER, &value);
	if (count == 0)
		return refuse_key(exchange, "no_key", cause);
	if (count > 1 || !customer_key_read(value, &key))
		return refuse_key(exchange, "malformed_key", cause);
	exchange->customer = route_table_find_customer(exchange->table, key);
	if (exchange->customer == NULL)
		return refuse_key(exchange, "unknown_key", cause);
	set_customer(exchange, slice_from(exchange->customer->name),
	    exchange->customer->priority);
	return 0;
}

/* Reads "PRIORITY NAME". */
static bool
read_peer_customer(slice_t value, int *priority, slice_t *name)
{
	const char *blank = memchr(value.data, ' ', value.size);
	int64_t number;

	if (blank == NULL)
		return false;
	number = http_parse_number(
	    (slice_t){value.data, (size_t)(blank - value.data)});
	name->data = blank + 1;
	name->size = value.size - (size_t)(name->data - value.data);
	*priority = (int)number;
	return number >= 0 && customer_name_is_valid(*name);
}

int
customer_accept_peer(exchange_t *exchange, const char **cause)
{
	slice_t value, name;
	int priority;
	uint32_t count =
	    http_message_count(exchange->request, CUSTOMER_HEADER, &value);

	choose_dropped_headers(exchange);
	if (count == 0)
		return 0;
	if (count > 1 || !read_peer_customer(value, &priority, &name)) {
		*cause = "malformed_customer";
		return BW_E_NOT_READY;
	}
	set_customer(exchange, name, priority);
	return 0;
}

void
customer_add_peer_header(const exchange_t *exchange, buffer_t *head)
{
	if (exchange->customer == NULL)
		return;
	buffer_append_text(head, CUSTOMER_HEADER ": ");
	buffer_append_number(head, (unsigned long long)exchange->priority);
	buffer_append(head, " ", 1);
	buffer_append(
	    head, exchange->customer_name.data, exchange->customer_name.size);
	buffer_append(head, "\r\n", 2);
}

void
customer_add_header(const exchange_t *exchange, buffer_t *head)
{
	if (exchange->customer_name.size > 0)
		head_add_field(head,
		    exchange->engine->settings.headers.customer,
		    exchange->customer_name);
}

bool
customer_drops_header(const exchange_t *exchange, slice_t name)
{
	const header_names_t *names = &exchange->engine->settings.headers;

	return (exchange->drops_authorization &&
		   http_header_is(name, AUTHORIZATION_HEADER)) ||
	    (exchange->drops_customer && http_header_is(name, names->customer));
}
