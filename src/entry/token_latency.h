/* Token latency of the targets.  */
#ifndef WY_ENTRY_TOKEN_LATENCY_H
#define WY_ENTRY_TOKEN_LATENCY_H

#include "entry/state.h"

void wy_token_latency_begin (struct wy_request *r);
void wy_token_latency_chunk (struct wy_request *r, const char *p, size_t n);

#endif
