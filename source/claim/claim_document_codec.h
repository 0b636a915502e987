#ifndef SOURCE_CLAIM_CLAIM_DOCUMENT_CODEC_H
#define SOURCE_CLAIM_CLAIM_DOCUMENT_CODEC_H

#include <jansson.h>

#include "claim_document.h"

/** claim_document_print_entry() - JSON text; the caller frees it with free().
 */
char *claim_document_print_entry(const entry_spec_t *spec);

/**
 * claim_document_read_entry() - Whether @json is strictly an entry.
 * @spec: zeroed; its body is owned by the caller afterwards
 */
bool claim_document_read_entry(const json_t *json, entry_spec_t *spec);

#endif
