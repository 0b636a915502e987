#ifndef GROUP_HEADERS_H
#define GROUP_HEADERS_H

/** DOC: Headers of the requests and responses between gateways */

/*
 * In a request: all that the answer depends on, as "v2 GROUP GROUPS
 * TARGETS_HASH SOFT_US RECORDS ATTEMPTS PRIORITY". Earlier versions of the
 * program read a number in place of "v2"; they refuse the request as not run,
 * and are refused.
 */
#define GROUP_HEADER "Gateway-Shard-Group"
#define GROUP_FORMAT "v2 %u %u %llx %lld %u %u %u"
#define GROUP_FORM "v2"
/* In a response: what it answers, as "GROUP GROUPS TARGETS_HASH RECORDS". */
#define SERVED_HEADER "Gateway-Served-Group"
#define SERVED_FORMAT "%u %u %llx %u"
#define SERVED_TEXT_MAX 64
/* In a request: "PRIORITY NAME" of the customer. */
#define CUSTOMER_HEADER "Gateway-Customer"
/* In a response: the positions in the group of the shards that answered. */
#define SHARDS_HEADER "Gateway-Shards"
/* In an interim response: the records of these shards in hexadecimal. */
#define RECORDS_HEADER "Gateway-Records"
#define MAX_INTERIM_RECORDS 64

#endif
