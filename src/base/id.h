/* Identifiers: UUID version 7 (RFC 9562), whose first 48 bits are the issue
   time in milliseconds.  */
#ifndef WY_BASE_ID_H
#define WY_BASE_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#define WY_ID_LEN 36
#define WY_ID_SIZE_BYTES 37

void wy_id_new (const struct wy_clock *clock, char out[WY_ID_SIZE_BYTES]);
bool wy_id_issue_time_ms (const char *id, int64_t *out_ms);
uint64_t wy_hash64 (const void *p, uint64_t n, uint64_t seed);

#endif
