#ifndef SOURCE_CLAIM_CLAIM_DOCUMENT_CODEC_H
#define SOURCE_CLAIM_CLAIM_DOCUMENT_CODEC_H

#include <jansson.h>

#include "claim_document.h"

/**
 * claim_document_serialize_entry() - JSON text of an entry; the caller frees it
 * with free().
 */
char *claim_document_serialize_entry(const entry_spec_t *spec);

/**
 * claim_document_parse_entry() - Parses an entry strictly.
 * @spec: zeroed by the caller, who owns its body afterwards, on failure too
 *
 * Return: false for unknown, missing or invalid fields.
 */
bool claim_document_parse_entry(const json_t *json, entry_spec_t *spec);

#endif
